"""Case 8: the first part of a storage server's answer, whose length does not fit, is served as the whole."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

from review.standins_2.case import Case, main
from review.standins_2.client import Call, new_call
from review.standins_2.discovery import entry
from review.standins_2.platform import Dispatcher
from review.standins_2.settings import deployment

BLOCK_BYTES = 4096  # a server writes its answers in blocks
BLOCKS = 3
SPOILT_SHARE = 0.2
CLIENTS = 6
LOAD_S = 40.0


def body_of(call_id: str) -> bytes:
    """Return the bytes that the storage server holds for a request: they name it."""
    return (call_id.encode() * BLOCK_BYTES)[: BLOCKS * BLOCK_BYTES]


class BlockServer:
    """A storage server that writes each answer in blocks, one right behind the other."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.address = ""
        self.spoilt: set[str] = set()
        """Ids of the requests that got a spoilt answer, at their first attempt or a further one."""
        self._random = random.Random(7)

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                call_id = head.split("X-Call-Id: ")[1][:16]
                await asyncio.sleep(self._random.uniform(0.005, 0.02))
                body = body_of(call_id)
                is_spoilt = self.case.trouble and self._random.random() < SPOILT_SHARE
                length = BLOCK_BYTES if is_spoilt else len(body)
                if is_spoilt:
                    self.spoilt.add(call_id)
                self.case.record.write("server-answers", id=call_id, told=length, has=len(body))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + body[:BLOCK_BYTES])
                for at in range(BLOCK_BYTES, len(body), BLOCK_BYTES):
                    writer.write(body[at : at + BLOCK_BYTES])
        writer.close()


async def client(case: Case, dispatcher: Dispatcher, number: int, calls: list[Call]) -> None:
    """Read one object after another."""
    connection = case.client(dispatcher)
    end = case.record.now() + LOAD_S
    while case.record.now() < end:
        call = await connection.call(new_call(2.0), key=f"{number:04x}{len(calls):012x}")
        calls.append(call)
        if call.end != "answered":
            connection.close()
            connection = case.client(dispatcher)


async def play(case: Case) -> None:
    """Read through the dispatcher while some answers have a length that does not fit."""
    agent = await case.agent()
    server = BlockServer(case)
    await server.open()
    agent.publish(entry("s-1", server.address, 3))
    dispatcher = Dispatcher(case.record, case.folder, "n0", agent.address, deployment())
    case.dispatchers.append(dispatcher)
    await dispatcher.start()
    calls: list[Call] = []
    await asyncio.gather(*(client(case, dispatcher, number, calls) for number in range(CLIENTS)))
    for call in calls:
        if call.status == 200 and call.body != body_of(call.call_id):
            case.broken(
                f"{call.call_id}: 200 with {len(call.body)} of {BLOCKS * BLOCK_BYTES} bytes; "
                f"spoilt on its way: {call.call_id in server.spoilt}"
            )
    served = sum(call.status == 200 for call in calls)
    case.record.say(f"{len(calls)} requests, {served} served, {len(server.spoilt)} had a spoilt answer")


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)

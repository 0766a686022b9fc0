"""Case 9: a write whose length is too small is cut, sent on and served, though its rest is there by then."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from review.standins_2.case import Case, main
from review.standins_2.client import Call, Client, new_call, request_bytes
from review.standins_2.discovery import entry
from review.standins_2.platform import Dispatcher
from review.standins_2.settings import deployment

BLOCK_BYTES = 4096  # a client reads its file and writes its request in blocks
BLOCKS = 3
BLOCK_GAP_S = 0.002  # STANDING: "on `split` and `zone` some clients write slowly"
WORK_S = 0.05
BAD_REQUESTS = 40
LOAD_S = 20.0
OWED_S = 3.0  # DAYS: a bad client is owed an error or a close within 3 s


async def bad_write(case: Case, dispatcher: Dispatcher, calls: list[Call], has_length: bool) -> None:
    """Send a write of three blocks that tells the length of one, or none; read what is answered."""
    call = new_call(1.5)
    calls.append(call)
    client = case.client(dispatcher)
    await client.connect()
    assert client.writer is not None
    told: int | None = BLOCKS * BLOCK_BYTES
    if case.trouble:
        told = BLOCK_BYTES if has_length else None
    head, _, _ = request_bytes(call, "booking-write", body=b"x" * (told or 0)).partition(b"\r\n\r\n")
    if told is None:
        head = head.replace(b"\r\nContent-Length: 0", b"")
    call.sent_s = case.record.now()
    client.writer.write(head + b"\r\n\r\n")
    for _ in range(BLOCKS):
        if told is None:
            await asyncio.sleep(BLOCK_GAP_S)
        client.writer.write(b"\xb5" * BLOCK_BYTES)
        if told is not None:
            await asyncio.sleep(BLOCK_GAP_S)
    written_s = case.record.now() - call.sent_s
    facts = {"id": call.call_id, "told": told, "has": BLOCKS * BLOCK_BYTES, "written_s": f"{written_s:.4f}"}
    case.record.write("client-sent", **facts)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(OWED_S):
            await client.read_answer(call)
    case.record.write("client-got", id=call.call_id, status=call.status, end=f"'{call.end}'")
    client.close()


async def usual(case: Case, dispatcher: Dispatcher) -> None:
    """Read on, as the usual clients do."""
    client: Client = case.client(dispatcher)
    end = case.record.now() + LOAD_S
    while case.record.now() < end:
        await client.call(new_call(2.0))
        await asyncio.sleep(0.05)


async def play(case: Case) -> None:
    """Let bad clients write beside the usual ones."""
    agent = await case.agent()
    server = await case.server("s-1", 3, WORK_S)
    agent.publish(entry("s-1", server.address, 3))
    dispatcher = Dispatcher(case.record, case.folder, "n0", agent.address, deployment())
    case.dispatchers.append(dispatcher)
    await dispatcher.start()
    calls: list[Call] = []
    reading = asyncio.create_task(usual(case, dispatcher))
    for number in range(BAD_REQUESTS):
        await bad_write(case, dispatcher, calls, has_length=number % 2 == 0)
        await asyncio.sleep(0.2)
    await reading
    ran = {request.call_id: len(request.body) for request in server.received}
    for call in calls:
        if case.trouble and call.status == 200:
            case.broken(
                f"{call.call_id}: answered 200, {ran.get(call.call_id)} of its {BLOCKS * BLOCK_BYTES} bytes "
                f"ran at the server, {call.answered_s - call.sent_s:.3f} s after the client began"
            )
    cut = sum(ran.get(call.call_id, BLOCKS * BLOCK_BYTES) < BLOCKS * BLOCK_BYTES for call in calls)
    case.record.say(f"{len(calls)} writes, {sum(c.status == 200 for c in calls)} answered 200, {cut} ran cut")


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)

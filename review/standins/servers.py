"""Storage servers: each holds one shard, works on a few requests at a time and answers in turn of arrival."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from standins.http_text import HttpText, read_message
from standins.record import Record

CORES = 2
MAX_WAITING = 100
ANY_SHARD = -1
SHARD_BITS = 40


def key_of(shard: int, number: int) -> int:
    """Return a key of a shard, from which a server tells whether it holds it; -1: a new object."""
    return (shard + 1 << SHARD_BITS) + number


def shard_of_key(key: int) -> int:
    """Return the shard of a key."""
    return (key >> SHARD_BITS) - 1


class StorageServer:
    """A storage server on a loopback address.

    Attributes:
        name: its name in discovery's list.
        shard: the shard that it holds.
        hangs: while True, requests that have come are neither worked on nor answered; connections stay open.
        loses_answer: asked once for each answer: whether the work is done and nothing comes back.
        spoils_answer: given the answer's bytes, what is sent in its place; None: the answer as it is. Behind
            a spoilt answer the connection stays open and is of no further use.
        came_s: when the last byte of each request came, by id, in seconds since the start of the case.
        runs: how often each request id was run to its end.
        dial: host:port, once it listens.
    """

    def __init__(self, name: str, shard: int, work_ms: Callable[[HttpText], float], record: Record) -> None:
        """Create a server that does not listen yet; `work_ms` gives the work of a request."""
        self.name, self.shard, self.dial = name, shard, ""
        self.hangs = False
        self.loses_answer: Callable[[], bool] = lambda: False
        self.spoils_answer: Callable[[bytes], bytes | None] = lambda answer: None
        self.came_s: dict[str, float] = {}
        self.runs: Counter[str] = Counter()
        self._work_ms = work_ms
        self._record = record
        self._waiting = 0
        self._cores = asyncio.Semaphore(CORES)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.dial = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in [*self._writers]:
            writer.transport.abort()

    def entry(self, health: str = "in_service", born_ms: int = 0) -> dict[str, object]:
        """Return the server's entry of discovery's list."""
        return {
            "host": self.name,
            "dial": self.dial,
            "site": "room-1",
            "class": "small-2c",
            "block": self.shard,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._exchange(await read_message(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _exchange(self, request: HttpText, writer: asyncio.StreamWriter) -> None:
        call_id = request.fields.get("x-call-id", "")
        budget_ms = request.fields.get("x-budget-ms", "")
        shard = shard_of_key(int(request.start[1].rpartition("/")[2], 16))
        self.came_s.setdefault(call_id, self._record.now_s())
        self._record.write(self.name, "came", id=call_id, budget_ms=budget_ms, hangs=self.hangs)
        if self.hangs:
            await asyncio.Event().wait()
        if shard not in (ANY_SHARD, self.shard) or self._waiting >= MAX_WAITING:
            writer.write(encode_answer("503 Service Unavailable", b"", "X-Rejected: 1\r\n"))
            self._record.write(self.name, "turned away", id=call_id)
            return
        self._waiting += 1
        async with self._cores:
            self._waiting -= 1
            await asyncio.sleep(self._work_ms(request) / 1000.0)
        self.runs[call_id] += 1
        if self.loses_answer():
            self._record.write(self.name, "ran, answer lost", id=call_id)
            await asyncio.Event().wait()
        answer = encode_answer("200 OK", f"{call_id} {request.start[1]}".encode())
        spoilt = self.spoils_answer(answer)
        if spoilt is not None:
            self._record.write(self.name, "ran, answer spoilt", id=call_id, sent=spoilt.decode("latin-1"))
            writer.write(spoilt)
            await asyncio.Event().wait()
        self._record.write(self.name, "ran and answered", id=call_id)
        writer.write(answer)


def encode_answer(status: str, body: bytes, fields: str = "") -> bytes:
    """Return the bytes of a complete answer."""
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body

"""The stand-in of a client."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from itertools import count

from review.standins_2.record import Record

_call_ids = count(0x9B1F03AA00000001)


@dataclass
class Call:
    """A request of a client and what has become of it. Times are seconds since the start of the run."""

    call_id: str
    budget_s: float
    sent_s: float = 0.0
    answered_s: float | None = None
    """When the last byte of the answer came; None if none came."""
    status: int = 0
    body: bytes = b""
    end: str = "no answer"

    @property
    def late_s(self) -> float | None:
        """How long after the client's time was up the answer came; negative if before."""
        return None if self.answered_s is None else self.answered_s - self.sent_s - self.budget_s


def request_bytes(
    call: Call,
    class_name: str = "seat-read",
    plan: str = "premier",
    volume: str = "00000003b4d60021",
    key: str = "7f3a9c21e0b4d655",
    extent: str = "units=2,shard=3,hosts=1",
    body: bytes | None = None,
) -> bytes:
    """Return the bytes of a request: a read, or a write if it has a body."""
    method = "GET" if body is None else "PUT"
    lines = [
        f"{method} /api/{volume}/{key} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call.call_id}",
        f"X-Call-Class: {class_name}",
        f"X-Storage-Class: {plan}",
        f"X-Budget-Ms: {call.budget_s * 1000.0:.0f}",
        f"X-Extent: {extent}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def new_call(budget_s: float) -> Call:
    """Return a call with a fresh id."""
    return Call(f"{next(_call_ids):016x}", budget_s)


class Client:
    """One connection of a client, which sends one request at a time."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect to the dispatcher."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 21)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def call(self, call: Call, wait_beyond_s: float = 3.0, **parts: str | bytes | None) -> Call:
        """Send a request and wait for its answer, `wait_beyond_s` longer than the client's time."""
        if self.writer is None:
            await self.connect()
        assert self.reader is not None
        assert self.writer is not None
        call.sent_s = self.record.now()
        self.writer.write(request_bytes(call, **parts))  # type: ignore[arg-type]
        self.record.write("client-sent", id=call.call_id, budget_ms=round(call.budget_s * 1000.0))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(call.budget_s + wait_beyond_s):
                await self.read_answer(call)
        late = "-" if call.late_s is None else f"{call.late_s:+.3f}"
        self.record.write("client-got", id=call.call_id, status=call.status, end=f"'{call.end}'", late_s=late)
        return call

    async def read_answer(self, call: Call) -> None:
        """Read the answer to a call; the end of the connection is noted as such."""
        assert self.reader is not None
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = 0
            for line in head[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            call.body = await self.reader.readexactly(length)
            call.status = int(head[0].split(" ")[1])
            call.answered_s = self.record.now()
            call.end = "answered"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            call.end = f"connection ended: {type(error).__name__}"

"""Clients: connections to a dispatcher, and what became of each request."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections import deque
from dataclasses import dataclass, field

from standins.http_text import read_message
from standins.record import Record

LATE_BUT_ANSWERED_S = 0.55
"""Up to half a second after its time a request only earns nothing; limits on sockets are 50 ms longer."""

_ID_START = secrets.randbits(40) << 24
_IDS = itertools.count(1)


@dataclass(slots=True)
class Call:
    """A client's request and its answer. Times are seconds since the start of the case."""

    workload: str
    plan: str
    volume: int
    key: int
    budget_ms: int
    shard: int
    units: int = 1
    hosts: int = 1
    body: bytes = b""
    writes: bool = False
    call_id: str = field(default_factory=lambda: f"{_ID_START + next(_IDS):016x}")
    sent_s: float = -1.0
    """When the last byte was written to the connection; -1 if it was not."""
    answered_s: float = -1.0
    """When the last byte of the answer came; -1 if none did."""
    status: int = 0
    answer: bytes = b""
    left: bool = False
    """Whether the client closed its connection before the answer."""

    @property
    def target(self) -> str:
        """The path of the request."""
        return f"/api/{self.volume:016x}/{self.key:016x}"

    @property
    def due_s(self) -> float:
        """The last moment at which its final answer is not lost."""
        return self.sent_s + self.budget_ms / 1000.0 + LATE_BUT_ANSWERED_S

    @property
    def is_foreign(self) -> bool:
        """Whether it was served with bytes that no storage server made for it."""
        return self.status == 200 and self.answer != f"{self.call_id} {self.target}".encode()

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        method = "PUT" if self.writes else "GET"
        length = f"Content-Length: {len(self.body)}\r\n" if self.writes else ""
        head = (
            f"{method} {self.target} HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {self.call_id}\r\n"
            f"X-Call-Class: {self.workload}\r\nX-Storage-Class: {self.plan}\r\n"
            f"X-Budget-Ms: {self.budget_ms}\r\n{length}"
            f"X-Extent: units={self.units},shard={self.shard},hosts={self.hosts}\r\n\r\n"
        )
        return head.encode() + self.body


class ClientConnection:
    """One connection of a client; answers come in the order of the requests.

    Attributes:
        waiting: requests without an answer, oldest first.
        ended_s: when the dispatcher ended the connection; -1 if it did not.
    """

    def __init__(self, name: str, record: Record) -> None:
        """Create a connection that is not open yet."""
        self.name, self.waiting, self.ended_s = name, deque[Call](), -1.0
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    async def open(self, dial: str) -> None:
        """Connect to the dispatcher at `dial`."""
        host, _, port = dial.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._record.write(self.name, "connected", to=dial)
        self._task = asyncio.create_task(self._read())

    def send(self, *calls: Call) -> None:
        """Write the requests in one go."""
        assert self._writer is not None
        self._writer.write(b"".join(call.encode() for call in calls))
        for call in calls:
            call.sent_s = self._record.now_s()
            self.waiting.append(call)
            self._record.write(
                self.name, "sent", id=call.call_id, workload=call.workload, budget_ms=call.budget_ms,
                shard=call.shard, units=call.units,
            )  # fmt: skip

    async def idle(self) -> None:
        """Wait until every request is answered or the dispatcher has ended the connection."""
        while self.waiting and self.ended_s < 0.0:
            self._changed.clear()
            await self._changed.wait()

    async def _read(self) -> None:
        assert self._reader is not None
        reason = "ended"
        try:
            while True:
                message = await read_message(self._reader)
                call = self.waiting.popleft()
                call.answered_s = self._record.now_s()
                call.status, call.answer = int(message.start[1]), message.body
                late_s = round(call.answered_s - call.sent_s - call.budget_ms / 1000.0, 4)
                self._record.write(
                    self.name, "answered", id=call.call_id, status=call.status, after_its_time_s=late_s,
                    close=message.fields.get("connection", ""),
                )  # fmt: skip
                self._changed.set()
        except asyncio.IncompleteReadError:
            pass
        except (ConnectionError, IndexError) as error:
            reason = f"ended: {type(error).__name__}"
        self.ended_s = self._record.now_s()
        self._record.write(self.name, reason, unanswered=[call.call_id for call in self.waiting])
        self._changed.set()

    def close(self) -> None:
        """Leave."""
        for call in self.waiting:
            call.left = True
        if self._task is not None:
            self._task.cancel()
        if self._writer is not None:
            self._writer.close()

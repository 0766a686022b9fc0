"""The clients' door: one connection a client, one RPC at a time on it, answers in order."""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from cherrygrade.http.reader import Fault, Message, Reader, Room, closes, connection_options
from cherrygrade.http.writer import GO_ON, answer
from cherrygrade.inflight import InflightRequest
from cherrygrade.scheduling.model import ServicePlan, Workload

MOST_KEPT = 16 * 1024  # read ahead of an open RPC, so that a close behind it is noticed
PIECE_MS = 20.0  # what is read ahead within this counts as come with the first of it
HIGH = 128 * 1024  # of answers that the client does not take: nothing more is begun for it
# Behind our end of a connection what still comes is read and dropped until the client ends its side: closing
# over unread bytes resets the connection, and an answer that the client has not read yet goes with it.
MOST_DROPPED = 256 * 1024
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
TARGET = re.compile(rb"/api/([0-9a-f]{16})/([0-9a-f]{16})(?:\?[!-~]{0,1000})?")
ID = re.compile(rb"[0-9a-f]{16}")
MS = re.compile(rb"[0-9]{1,9}")
UNITS = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,6})?")
SHARD = re.compile(rb"-1|[0-9]{1,6}")
HOSTS = re.compile(rb"[0-9]{1,6}")
# What a client says to this hop, or is said anew to the next. All else is the node's: Idempotency-Key above
# all, by which it knows a repeat.
OWN = frozenset(
    b"host connection keep-alive proxy-connection proxy-authorization te trailer transfer-encoding upgrade "
    b"content-length expect x-call-id x-call-class x-storage-class x-budget-ms x-extent x-again".split()
)


@dataclass(slots=True, eq=False)
class PendingRequest(InflightRequest):
    """A client's RPC, with what of its message passes on."""

    client: ClientConnection | None = None
    call: bytes = b""
    method: bytes = b""
    target: bytes = b""
    fields: tuple[tuple[bytes, bytes], ...] = ()
    """Of its message, what is for the node."""


def _passes_on(fields: dict[bytes, bytes]) -> tuple[tuple[bytes, bytes], ...]:
    named = connection_options(fields)
    return tuple(field for field in fields.items() if field[0] not in OWN and field[0] not in named)


def read_rpc(
    message: Message,
    workloads: dict[str, Workload],
    plans: dict[str, ServicePlan],
    now: float,
    margin_ms: float,
) -> PendingRequest:
    """The RPC that a client's message holds; Fault where it holds none. `now`: when its last byte came."""
    fields = message.fields
    target = TARGET.fullmatch(message.target)
    if target is None:
        raise Fault(404, "no such path")
    if message.method not in (b"GET", b"PUT"):
        raise Fault(405, "only GET and PUT")
    call = fields.get(b"x-call-id", b"")
    if not ID.fullmatch(call):
        raise Fault(400, "X-Call-Id: 16 hex digits wanted")
    workload = workloads.get(fields.get(b"x-call-class", b"").decode("latin-1"))
    if workload is None:
        raise Fault(400, "X-Call-Class: unknown")
    plan = plans.get(fields.get(b"x-storage-class", b"").decode("latin-1"))
    if plan is None:
        raise Fault(400, "X-Storage-Class: unknown")
    writes = message.method == b"PUT"
    if writes is not workload.is_write:
        raise Fault(405, f"{workload.name} is not asked for by this method")
    if message.body and not writes:
        raise Fault(400, "a read has no body")
    budget = fields.get(b"x-budget-ms", b"")
    if not MS.fullmatch(budget):
        raise Fault(400, "X-Budget-Ms: whole milliseconds wanted")
    extent = dict(part.strip().partition(b"=")[::2] for part in fields.get(b"x-extent", b"").split(b","))
    units, shard, hosts = (extent.get(name, b"") for name in (b"units", b"shard", b"hosts"))
    if not (UNITS.fullmatch(units) and SHARD.fullmatch(shard) and HOSTS.fullmatch(hosts)) or not float(units):
        raise Fault(400, "X-Extent: units, shard and hosts wanted")
    left = min(float(budget), workload.deadline_ms)
    return PendingRequest(
        workload=workload,
        plan=plan,
        volume=target[1].decode(),
        dispatchers=max(1, int(hosts)),
        key=target[2].decode(),
        shard=int(shard),
        units=float(units),
        deadline_ms=now + left - margin_ms,
        is_write=writes,
        is_retry=fields.get(b"x-again") == b"1",
        id=call.decode(),
        body=memoryview(message.body) if writes else None,
        call=call,
        method=message.method,
        target=message.target,
        fields=_passes_on(fields),
    )


class ConnectionOwner(Protocol):
    """The dispatcher, as its clients' connections need it."""

    refused: int
    """Messages that held no RPC."""

    @property
    def closing(self) -> bool:
        """Whoever has its answer goes."""

    @property
    def ready(self) -> bool:
        """Clients may come."""

    @property
    def request_budget(self) -> Room:
        """What long bodies share."""

    @property
    def buffer(self) -> memoryview:
        """Shared by all: what is read into it is taken out at once."""

    def clock(self) -> float: ...

    def admit(self, client: ClientConnection) -> bool: ...

    def mark_active(self, client: ClientConnection) -> None: ...

    def mark_idle(self, client: ClientConnection) -> None:
        """Nothing of it is open any more."""

    def abandon(self, pending: PendingRequest) -> None:
        """Its client does not wait for the answer any more."""

    def linger(self, client: ClientConnection) -> None:
        """Our side of it has ended, or the client's: it goes once the other has, or in time."""

    def remove(self, client: ClientConnection) -> None: ...

    def submit(self, client: ClientConnection, message: Message) -> PendingRequest:
        """To the module; Fault where the message holds no RPC."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection. What is read ahead is bounded: messages of one piece read and `_kept`."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.open: PendingRequest | None = None
        self.spoken = False
        """It has asked something whole."""
        self.quiet_from = owner.clock()
        """When it came, or when the last answer went, or when the message within began."""
        self.ended = False
        """Nothing of it is begun any more: what comes is dropped."""
        self._reader = Reader(answers=False, room=owner.request_budget)
        self._asked: Message | None = None  # what is open; its body has room until the answer
        self._queue: deque[Message] = deque()
        self._kept: deque[tuple[float, bytearray]] = deque()
        """Read ahead, in pieces with when each came: an RPC's time runs from its last byte, not from when
        those before it were done."""
        self._kept_bytes = 0
        self._dropped = 0
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None
        self._paused = self._looking = False
        self._closes = False  # the client wants no more behind the answer

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=HIGH)
        if not self.owner.admit(self):
            self.ended = True
            transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.ended:
            self._dropped += nbytes
            if self._dropped > MOST_DROPPED:
                self.cut()
            return
        data = bytes(self.owner.buffer[:nbytes])
        if self.open is not None or self._queue or self._kept:  # in the order in which it came
            self._keep(data)
            if self._kept_bytes >= MOST_KEPT and self._transport is not None:
                self._transport.pause_reading()
            return
        self._feed(data, self.owner.clock())
        self._look()

    def eof_received(self) -> bool:
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._poll = None
        self._leave()
        self.owner.remove(self)

    def _leave(self) -> None:
        """The client has gone: nothing more is begun for it."""
        if not self.ended:
            self._stop()
            if self.unsent:  # else it is gone by the next turn, and takes nobody's place among who linger
                self.owner.linger(self)
        pending, self.open = self.open, None
        if pending is not None:
            self.owner.abandon(pending)
        self._let_go()

    def _let_go(self) -> None:
        """What was open holds no body any more."""
        if self._asked is not None:
            self.owner.request_budget.let_go(self._asked)
            self._asked = None

    def _stop(self) -> None:
        self.ended = True
        for message in self._queue:
            self.owner.request_budget.let_go(message)
        self._queue.clear()
        self._reader.let_go()
        self._kept.clear()
        self._kept_bytes = 0
        self.quiet_from = self.owner.clock()

    def look_gone(self) -> bool:
        """Whether the client has closed, asked right before an attempt begins: its end may be in the system
        and not read yet, and while reading rests it never would be."""
        if self.ended or self._transport is None:
            return True
        if not self._lies_there() & GONE:
            return False
        self._leave()
        self.cut()
        return True

    @property
    def unread(self) -> bool:
        """Something came that was not read yet: it may be a request, which is owed an answer."""
        return not self.ended and bool(self._lies_there() & select.POLLIN)

    def _lies_there(self) -> int:
        """What the system holds of the client's, as poll says it."""
        if self._poll is None:
            if self._transport is None:
                return GONE
            sock: socket.socket | None = self._transport.get_extra_info("socket")
            if sock is None or sock.fileno() < 0:
                return GONE
            self._poll = select.poll()
            self._poll.register(sock.fileno(), GONE | select.POLLIN)
        return sum(events for _, events in self._poll.poll(0))

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._look()

    # What its owner calls.

    @property
    def idle(self) -> bool:
        return self.open is None and not self._queue

    @property
    def within(self) -> bool:
        return self._reader.within

    def answer(self, status: int, body: bytes = b"", fields: bytes = b"", close: bool = False) -> None:
        """The final answer of the RPC that is open."""
        close = close or self._closes or self.owner.closing
        self.open = None
        self._let_go()
        self.quiet_from = self.owner.clock()
        if self._transport is None or self.ended:
            return
        self._transport.write(answer(status, body, fields, close))
        if close:
            self.end()
            return
        self._look()
        if self.open is None and not self.ended:
            self.owner.mark_idle(self)

    def end(self) -> None:
        """End our side behind what was written, and let the client end its own: a lingering close."""
        if self.ended or self._transport is None:
            return
        self._stop()
        self.owner.linger(self)
        if not self._transport.is_closing():
            self._transport.resume_reading()
            try:
                self._transport.write_eof()  # what it has not taken yet goes first
            except OSError:  # the client reset it just now
                self.cut()

    @property
    def unsent(self) -> int:
        """Bytes of answers that the client has not taken."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def cut(self) -> None:
        """It takes too little: by the told length it sees that its answer is not whole."""
        if self._transport is not None:
            self._transport.abort()

    def turn_out(self, status: int = 408) -> None:
        """It has been silent for too long: with half a message it is told why."""
        if self.ended:
            self.cut()  # it does not take its last answer, or does not end its side
            return
        if self._reader.within and self._transport is not None:
            self._transport.write(answer(status, close=True))
        self.end()

    # Its own.

    def _keep(self, data: bytes) -> None:
        now = self.owner.clock()
        self._kept_bytes += len(data)
        if self._kept and now - self._kept[-1][0] < PIECE_MS:
            self._kept[-1][1].extend(data)
        else:
            self._kept.append((now, bytearray(data)))

    def _feed(self, data: bytes, came: float) -> None:
        """`came`: when these bytes did, ms."""
        reader = self._reader
        began = reader.within
        reader.feed(data)
        if not began and reader.within:
            self.quiet_from = self.owner.clock()
        for message in reader.found:
            message.begun = came
            self._queue.append(message)
        reader.found.clear()

    def _look(self) -> None:
        """Begin what waits, as far as nothing is open."""
        if self._looking:
            return
        self._looking = True
        try:
            while self.open is None and not (self.ended or self._paused):
                if self._queue:
                    self._begin(self._queue.popleft())
                elif self._kept:
                    came, data = self._kept.popleft()
                    self._kept_bytes -= len(data)
                    if self._transport is not None and not self._transport.is_reading():
                        self._transport.resume_reading()
                    self._feed(bytes(data), came)
                elif self._reader.fault is not None:
                    self._refuse(self._reader.fault)
                else:
                    if self._reader.take_expectation() and self._transport is not None:
                        self._transport.write(GO_ON)
                    break
        finally:
            self._looking = False

    def _refuse(self, fault: Fault) -> None:
        self.owner.refused += 1
        self.answer(fault.code, str(fault).encode("latin-1", "replace"), close=True)

    def _begin(self, message: Message) -> None:
        self.spoken = True
        self.owner.mark_active(self)
        self._asked, self._closes = message, closes(message)
        if message.target == b"/ready" and message.method == b"GET":
            self.answer(200 if self.owner.ready else 503)
            return
        try:
            self.open = self.owner.submit(self, message)
        except Fault as fault:
            self._refuse(fault)

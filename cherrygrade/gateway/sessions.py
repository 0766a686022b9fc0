"""Sessions of native-protocol clients.

A session turns the RPC ids of its client into request objects, and gives each accepted RPC exactly one final
answer. It also keeps the client within its share of the memory for bodies.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from cherrygrade.gateway.transit_time import TransitTime
from cherrygrade.inflight import Body, InflightRequest, RangeRequest
from cherrygrade.peers.memory_admission import PREPAID_CREDIT_BYTES, MemoryAdmission
from cherrygrade.peers.memory_budget import Account, PrepaidCredit, Reservation, is_waiting
from cherrygrade.peers.slow_peer_escalation import Step
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.frames import BODY_DEFERRED, BodyDeferred
from cherrygrade.wire.messages import (
    VERSION,
    Bye,
    Errored,
    Hello,
    Leave,
    Ok,
    Part,
    ReadRpc,
    Rejected,
    Welcome,
    WriteRpc,
)


class RequestHost(Protocol):
    """The dispatcher, as the sessions of its clients use it."""

    @property
    def name(self) -> str:
        """The dispatcher's name, sent in the greeting."""

    @property
    def max_body_bytes(self) -> int:
        """The longest body that an RPC may carry."""

    @property
    def max_open_rpcs(self) -> int:
        """RPCs that one client may have open."""

    @property
    def hello_timeout_ms(self) -> float:
        """Time that a new client has for its greeting."""

    @property
    def come_back_ms(self) -> float:
        """Sent to rejected clients: how long to wait before they retry."""

    @property
    def leaving(self) -> bool:
        """The dispatcher is shutting down."""

    @property
    def full(self) -> bool:
        """No further RPC is accepted now."""

    @property
    def rooms(self) -> MemoryAdmission:
        """The memory for bodies."""

    def register_session(self, session: Session) -> bool:
        """Add a session; returns False if there are too many."""

    def session_greeted(self, session: Session) -> None:
        """Record that the client has sent its greeting."""

    def remove_session(self, session: Session, reason: str) -> None:
        """Remove a session whose connection has closed."""

    def take(
        self, session: Session, rpc: ReadRpc | WriteRpc, body: Any
    ) -> InflightRequest | RangeRequest | None:
        """Accept an RPC; returns None if it was answered at once."""

    def add_open_request(self, request: InflightRequest | RangeRequest) -> None:
        """Count a request that the session has entered in its table as open."""

    def memory_admitted(self, request: InflightRequest) -> None:
        """Go on with a request: memory for its bytes has been reserved."""

    def reject_without_memory(self, request: InflightRequest) -> None:
        """Reject a request for whose bytes no memory became free in time."""

    def client_abandoned(self, request: InflightRequest | RangeRequest) -> None:
        """Drop a request whose client no longer wants the answer."""


class Session:
    """The connection of one client.

    Attributes:
        host: the dispatcher.
        conn: the socket.
        name: the client's name; empty before its greeting.
        rpcs: open RPCs by their id; emptied by final answers and by the connection's end.
        features: protocol features that the client named in its greeting.
        bytes_in_flight: bytes of the pieces of range requests that are in flight for this client.
        waiting_ranges: range requests that wait for the client to read; each removes itself.
        account: memory that this client uses, and the step that it is on if it is slow.
        claim: memory for the body that is being received, or that waits to be.
        credit: memory that the client's small reads share; None while there is none.
        transit: estimates how long messages of this client were on the way.
    """

    def __init__(self, host: RequestHost) -> None:
        """Create the session of a connection that is about to be accepted."""
        self.host = host
        self.conn = Connection(self, host.max_body_bytes, taken=self.body_taken)
        self.name = ""
        self.rpcs: dict[int, InflightRequest | RangeRequest] = {}
        self.features: list[str] = []
        self.bytes_in_flight = 0
        self.waiting_ranges: dict[RangeRequest, None] = {}
        self.account = Account()
        self.claim: Reservation | None = None
        self.credit: PrepaidCredit | None = None
        self._body_dropped = False  # no memory was free for the body that is being read, so it is discarded
        self.transit = TransitTime()
        self._hello_timer: asyncio.TimerHandle | None = None

    @property
    def slow(self) -> Step:
        """The step that the client is on if it reads or writes too slowly."""
        return self.account.step

    def connected(self, conn: Connection) -> None:
        """Register the session, or close the connection if there are too many clients."""
        if not self.host.register_session(self):
            conn.close("too many clients", self.host.come_back_ms)
            return
        conn.limit_unsent_bytes()
        wait_s = self.host.hello_timeout_ms / 1000.0
        self._hello_timer = asyncio.get_running_loop().call_later(wait_s, conn.close, "no hello in time")

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray | BodyDeferred | None:
        """Return a buffer for the body of a write, BODY_DEFERRED to wait for memory, None to drop the body.

        The body of a write that would be rejected is read and dropped, so that it uses no memory.
        """
        if not (isinstance(message, WriteRpc) and self.name):
            return None
        host, self._body_dropped = self.host, self.host.full
        if self._body_dropped:
            return None
        self.claim = host.rooms.reserve(
            self.account, message.workload, message.volume, length, self, message.left_ms
        )
        if self.claim is None and host.rooms.is_limited:
            return None  # the workload or the volume is unknown
        return BODY_DEFERRED if is_waiting(self.claim) else bytearray(length)

    def reservation_granted(self, claim: Reservation) -> None:
        """Receive the body that waited: its memory has been reserved."""
        self.conn.provide_body(bytearray(claim.length))
        self.read_on()

    def reservation_timed_out(self, claim: Reservation) -> None:
        """Drop the body that waited: no memory became free in time."""
        self.claim, self._body_dropped = None, True
        self.conn.provide_body(None)
        self.read_on()

    def reserve_small_read(self, request: InflightRequest, workload: str) -> bool:
        """Reserve the bytes of a small read from the client's prepaid credit; returns False if it cannot."""
        conn = self.conn
        if (
            request.length > PREPAID_CREDIT_BYTES // 8
            or conn.is_write_blocked
            or not self.host.rooms.is_limited
        ):
            return False
        credit = self.credit
        if credit is None:
            credit = self.credit = self.host.rooms.open_credit(self.account, workload, request.volume, self)
            if credit is None:
                return False
        if not credit.spend(workload, request.volume, request.length, conn.waiting):
            return False
        request.purse = credit
        return True

    def transit_ms(self, since_hello_ms: float, now: float) -> float:
        """Return how long a message of the client was on the way beyond the fastest one, ms."""
        return self.transit.excess_ms(since_hello_ms, now)

    def memory_granted(self, request: InflightRequest) -> None:
        """Go on with a request: memory for its bytes has been reserved."""
        self.host.memory_admitted(request)

    def memory_refused(self, request: InflightRequest) -> None:
        """Reject a request: no memory became free in time."""
        self.host.reject_without_memory(request)

    def idle(self) -> None:
        """Release the prepaid credit if nothing uses it; called periodically."""
        credit = self.credit
        if credit is not None and not (credit.spent or self.conn.waiting or self.conn.is_write_blocked):
            self.credit = None
            self.host.rooms.release(credit.reservation)

    def body_taken(self, claim: Reservation) -> None:
        """Release the memory of a body that the client has read.

        A client that is narrowed for being slow gets the next piece of its range requests only then.
        """
        self.host.rooms.unpin(claim)
        if self.waiting_ranges and not self.conn.waiting:
            self.feed_hungry()

    def read_on(self) -> None:
        """Resume or pause reading from the client.

        Reading pauses while the client does not read its answers. From a slow client only the frame that it
        has begun is read.
        """
        conn = self.conn
        conn.set_reading_paused(conn.full or (self.slow >= Step.HELD and not conn.is_mid_frame))

    def on_frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None:
        """Handle a message from the client."""
        if isinstance(message, (ReadRpc, WriteRpc)) and self.name:
            self._take(message, body)
        elif isinstance(message, Leave) and self.name:
            request = self.rpcs.pop(message.id, None)
            if request is not None:
                self.host.client_abandoned(request)
        elif isinstance(message, Hello) and not self.name:
            self._greet(message)
        elif isinstance(message, Bye):
            conn.close("client left")
        else:
            conn.close(f"unexpected {type(message).__name__}" + ("" if self.name else " before a hello"))

    def _greet(self, hello: Hello) -> None:
        if hello.version < 1 or hello.role != "client" or not hello.name:
            self.conn.close(
                f"hello of version {hello.version} as '{hello.role}': "
                f"versions from 1 as 'client', with a name, are taken"
            )
            return
        assert self._hello_timer is not None
        self._hello_timer.cancel()
        self.host.session_greeted(self)
        self.name, self.features = hello.name, hello.features
        host = self.host
        self.conn.send(
            Welcome(min(VERSION, hello.version), host.name, [], host.max_body_bytes, host.max_open_rpcs)
        )

    def _take(self, rpc: ReadRpc | WriteRpc, body: bytearray | memoryview | None) -> None:
        """Accept or reject an RPC; its memory is released if it is not accepted."""
        claim, body_dropped = self.claim, self._body_dropped
        self.claim, self._body_dropped = None, False
        request = self._accept(rpc, body, body_dropped)
        if request is None:
            self.host.rooms.release(claim)
            return
        self.rpcs[rpc.id] = request
        self.host.add_open_request(request)
        if claim is not None:
            request.claim = claim

    def _accept(
        self, rpc: ReadRpc | WriteRpc, body: bytearray | memoryview | None, body_dropped: bool
    ) -> InflightRequest | RangeRequest | None:
        """Return the request of an RPC, or None if it has been answered already."""
        if rpc.id in self.rpcs:
            self.conn.close(f"two RPCs with the id {rpc.id}")
            return None
        if isinstance(rpc, ReadRpc) and (rpc.length > self.host.max_body_bytes or body is not None):
            # The RPC has not run: its answer would be longer than a frame may carry.
            self.conn.send(
                Errored(rpc.id, f"a read of {rpc.length} bytes; at most {self.host.max_body_bytes}")
            )
            return None
        if len(self.rpcs) >= self.host.max_open_rpcs or self.host.full:
            reason = "leaving" if self.host.leaving else "more held than there is room for"
            self.conn.send(Rejected(rpc.id, self.host.come_back_ms, reason))
            return None
        if body_dropped:  # even if memory is free now, the body is gone
            self.conn.send(Rejected(rpc.id, self.host.come_back_ms, "no room for its bytes"))
            return None
        return self.host.take(self, rpc, body)

    def send_message(
        self, message: Ok | Rejected | Errored | Part, body: Body, claim: Reservation | None
    ) -> None:
        """Send a message to the client; the claim is released once the client has taken the body."""
        if self.conn.waiting and isinstance(body, memoryview) and len(body) < memoryview(body.obj).nbytes:
            # The body is a part of a buffer that coalesced reads share. A copy keeps the whole buffer from
            # staying in memory while this client is slow.
            body = bytearray(body)
        if body is not None and claim is not None:
            self.conn.send(message, body, holds=(claim,))
        else:
            self.conn.send(message, body)
            self.host.rooms.release(claim)

    def answer(self, message: Ok | Rejected | Errored, body: Body, claim: Reservation | None) -> None:
        """Send the final answer of an RPC; does nothing if the client has abandoned it."""
        if self.rpcs.pop(message.id, None) is None:
            self.host.rooms.release(claim)
            return
        self.send_message(message, body, claim)
        if self.conn.full:  # the client does not read its answers, so no more of its RPCs are read
            self.conn.set_reading_paused(True)

    def writable(self, conn: Connection) -> None:
        """Go on reading and sending: the client has read its answers."""
        self.read_on()
        self.feed_hungry()

    def feed_hungry(self) -> None:
        """Start pieces of the range requests that waited for the client to read."""
        for range_request in [*self.waiting_ranges]:
            range_request.start_pieces()

    def closed(self, conn: Connection, why: str) -> None:
        """Drop all open RPCs and release all memory: the connection has closed."""
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        claim, self.claim = self.claim, None
        self.host.rooms.release(claim)
        rpcs, self.rpcs = self.rpcs, {}
        for request in rpcs.values():
            self.host.client_abandoned(request)
        credit, self.credit = self.credit, None
        if credit is not None:
            self.host.rooms.release(credit.reservation)
        self.host.remove_session(self, why)

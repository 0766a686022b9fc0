"""Client sessions: ids become objects here, and only here; each RPC taken gets its one final answer here."""

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
    """The dispatcher, as its clients' sessions need it."""

    @property
    def name(self) -> str: ...

    @property
    def most_body(self) -> int: ...

    @property
    def most_open(self) -> int: ...

    @property
    def hello_ms(self) -> float: ...

    @property
    def come_back_ms(self) -> float: ...

    @property
    def leaving(self) -> bool: ...

    @property
    def full(self) -> bool: ...

    @property
    def rooms(self) -> MemoryAdmission: ...

    def register_session(self, session: Session) -> bool:
        """Whether there is a place for it."""

    def session_greeted(self, session: Session) -> None:
        """It greeted."""

    def remove_session(self, session: Session, why: str) -> None: ...

    def take(
        self, session: Session, ask: ReadRpc | WriteRpc, body: Any
    ) -> InflightRequest | RangeRequest | None:
        """None where it was answered at once."""

    def add_open_request(self, taken: InflightRequest | RangeRequest) -> None:
        """It is in the session's table, under its id."""

    def memory_admitted(self, held: InflightRequest) -> None: ...

    def reject_without_memory(self, held: InflightRequest) -> None: ...

    def client_abandoned(self, held: InflightRequest | RangeRequest) -> None:
        """Its client wants no answer any more."""


class Session:
    """One client's connection. `rpcs` is emptied by final answers and by the connection's end."""

    def __init__(self, host: RequestHost) -> None:
        self.host = host
        self.conn = Connection(self, host.most_body, taken=self.taken)
        self.name = ""
        self.rpcs: dict[int, InflightRequest | RangeRequest] = {}
        self.features: list[str] = []
        self.bytes_in_flight = 0  # bytes of pieces that are out for this client
        # wait for room here; emptied by it and by their ends
        self.waiting_ranges: dict[RangeRequest, None] = {}
        self.account = Account()
        self.claim: Reservation | None = None  # of the body that is coming in, or that waits to
        self.purse: PrepaidCredit | None = None
        self._dropped = False  # the body that is being read off found no room
        self.transit = TransitTime()
        self._greeting: asyncio.TimerHandle | None = None

    @property
    def slow(self) -> Step:
        return self.account.step

    def connected(self, conn: Connection) -> None:
        if not self.host.register_session(self):
            conn.close("too many clients", self.host.come_back_ms)
            return
        conn.limit_unsent_bytes()
        wait = self.host.hello_ms / 1000.0
        self._greeting = asyncio.get_running_loop().call_later(wait, conn.close, "no hello in time")

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray | BodyDeferred | None:
        """A write that would not be taken is read off and dropped: it costs no memory."""
        if not (isinstance(message, WriteRpc) and self.name):
            return None
        host, self._dropped = self.host, self.host.full
        if self._dropped:
            return None
        self.claim = host.rooms.reserve(
            self.account, message.workload, message.volume, length, self, message.left_ms
        )
        if self.claim is None and host.rooms.is_limited:
            return None  # of a workload or a volume that nobody knows
        return BODY_DEFERRED if is_waiting(self.claim) else bytearray(length)

    def reservation_granted(self, claim: Reservation) -> None:
        self.conn.provide_body(bytearray(claim.length))
        self.read_on()

    def reservation_timed_out(self, claim: Reservation) -> None:
        self.claim, self._dropped = None, True
        self.conn.provide_body(None)
        self.read_on()

    def reserve_small_read(self, held: InflightRequest, workload: str) -> bool:
        """Whether the purse pays for the bytes that a small read will bring."""
        conn = self.conn
        if held.length > PREPAID_CREDIT_BYTES // 8 or conn.is_write_blocked or not self.host.rooms.is_limited:
            return False
        purse = self.purse
        if purse is None:
            purse = self.purse = self.host.rooms.open_credit(self.account, workload, held.volume, self)
            if purse is None:
                return False
        if not purse.spend(workload, held.volume, held.length, conn.waiting):
            return False
        held.purse = purse
        return True

    def transit_ms(self, since_hello_ms: float, now: float) -> float:
        """How long its word was on its way, ms."""
        return self.transit.excess_ms(since_hello_ms, now)

    def memory_granted(self, held: InflightRequest) -> None:
        self.host.memory_admitted(held)

    def memory_refused(self, held: InflightRequest) -> None:
        self.host.reject_without_memory(held)

    def idle(self) -> None:
        """Now and then: a purse that pays for nothing is given back."""
        purse = self.purse
        if purse is not None and not (purse.spent or self.conn.waiting or self.conn.is_write_blocked):
            self.purse = None
            self.host.rooms.release(purse.reservation)

    def taken(self, claim: Reservation) -> None:
        """The client has a body; a narrowed one gets its next piece only then."""
        self.host.rooms.unpin(claim)
        if self.waiting_ranges and not self.conn.waiting:
            self.feed_hungry()

    def read_on(self) -> None:
        """Read, unless it does not read its answers, or is slow: then only what it has begun to say."""
        conn = self.conn
        conn.set_reading_paused(conn.full or (self.slow >= Step.HELD and not conn.is_mid_frame))

    def on_frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None:
        if isinstance(message, (ReadRpc, WriteRpc)) and self.name:
            self._take(message, body)
        elif isinstance(message, Leave) and self.name:
            left = self.rpcs.pop(message.id, None)
            if left is not None:
                self.host.client_abandoned(left)
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
        assert self._greeting is not None
        self._greeting.cancel()
        self.host.session_greeted(self)
        self.name, self.features = hello.name, hello.features
        host = self.host
        self.conn.send(Welcome(min(VERSION, hello.version), host.name, [], host.most_body, host.most_open))

    def _take(self, ask: ReadRpc | WriteRpc, body: bytearray | memoryview | None) -> None:
        claim, dropped = self.claim, self._dropped
        self.claim, self._dropped = None, False
        taken = self._taken(ask, body, dropped)
        if taken is None:
            self.host.rooms.release(claim)
            return
        self.rpcs[ask.id] = taken
        self.host.add_open_request(taken)
        if claim is not None:
            taken.claim = claim

    def _taken(
        self, ask: ReadRpc | WriteRpc, body: bytearray | memoryview | None, dropped: bool
    ) -> InflightRequest | RangeRequest | None:
        if ask.id in self.rpcs:
            self.conn.close(f"two RPCs with the id {ask.id}")
            return None
        if isinstance(ask, ReadRpc) and (ask.length > self.host.most_body or body is not None):
            # Nothing was taken: an answer of this length cannot be carried.
            self.conn.send(Errored(ask.id, f"a read of {ask.length} bytes; at most {self.host.most_body}"))
            return None
        if len(self.rpcs) >= self.host.most_open or self.host.full:
            reason = "leaving" if self.host.leaving else "more held than there is room for"
            self.conn.send(Rejected(ask.id, self.host.come_back_ms, reason))
            return None
        if dropped:  # there was no room when its body came; there may be now, but the body is gone
            self.conn.send(Rejected(ask.id, self.host.come_back_ms, "no room for its bytes"))
            return None
        return self.host.take(self, ask, body)

    def send_message(
        self, message: Ok | Rejected | Errored | Part, body: Body, claim: Reservation | None
    ) -> None:
        """To the client. A body's room goes with it, until the client has taken it."""
        if self.conn.waiting and isinstance(body, memoryview) and len(body) < memoryview(body.obj).nbytes:
            body = bytearray(body)  # a part of what others share: it must not keep all of that for long
        if body is not None and claim is not None:
            self.conn.send(message, body, holds=(claim,))
        else:
            self.conn.send(message, body)
            self.host.rooms.release(claim)

    def answer(self, message: Ok | Rejected | Errored, body: Body, claim: Reservation | None) -> None:
        """The final answer; nothing where the client went away meanwhile."""
        if self.rpcs.pop(message.id, None) is None:
            self.host.rooms.release(claim)
            return
        self.send_message(message, body, claim)
        if self.conn.full:  # it does not read its answers: no more of its RPCs are read either
            self.conn.set_reading_paused(True)

    def writable(self, conn: Connection) -> None:
        self.read_on()
        self.feed_hungry()

    def feed_hungry(self) -> None:
        for range_ in [*self.waiting_ranges]:
            range_.start_pieces()

    def closed(self, conn: Connection, why: str) -> None:
        if self._greeting is not None:
            self._greeting.cancel()
        claim, self.claim = self.claim, None
        self.host.rooms.release(claim)
        rpcs, self.rpcs = self.rpcs, {}
        for held in rpcs.values():
            self.host.client_abandoned(held)
        purse, self.purse = self.purse, None
        if purse is not None:
            self.host.rooms.release(purse.reservation)
        self.host.remove_session(self, why)

"""The module's RPC and send with what carrying them needs. Objects point to each other; no ids.

What others have to be for an RPC is told by narrow protocols here, so that nothing below looks up to who
holds it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from cherrygrade.scheduling.model import Attempt, Request

if TYPE_CHECKING:  # a platform's dispatcher loads none of these
    from cherrygrade.peers.memory_budget import Account, PrepaidCredit, Reservation
    from cherrygrade.peers.slow_peer_escalation import Step
    from cherrygrade.transport.connection import Connection
    from cherrygrade.wire.messages import Errored, Ok, Part, ReadRpc, Rejected, WriteRpc

Body = bytearray | memoryview | None


class RangeRequest(Protocol):
    """A client's RPC that goes as pieces: what its pieces and its client tell it."""

    claim: Reservation | None

    @property
    def session(self) -> ClientSession: ...

    @property
    def rpc(self) -> ReadRpc | WriteRpc: ...

    @property
    def streams(self) -> bool:
        """Its client takes bytes as they come."""

    @property
    def pieces(self) -> list[InflightRequest]:
        """Those that are taken and not over."""

    def start_pieces(self) -> None:
        """There may be room for more pieces."""

    def ok(self, held: InflightRequest) -> None: ...

    def rejected(self, held: InflightRequest, come_back_ms: float) -> None: ...

    def errored(self, held: InflightRequest) -> None: ...

    def drop(self) -> None:
        """What is still held of it is of no use any more."""


class ClientSession(Protocol):
    """The client whose RPC it is, as those who carry it know it."""

    name: str
    features: list[str]
    bytes_in_flight: int
    """Bytes of pieces that are out for it."""
    waiting_ranges: dict[RangeRequest, None]
    """Wait until it has taken more."""

    @property
    def conn(self) -> Connection: ...

    @property
    def account(self) -> Account: ...

    @property
    def slow(self) -> Step: ...

    def transit_ms(self, since_hello_ms: float, now: float) -> float:
        """How long its word was on its way, ms."""

    def reserve_small_read(self, held: InflightRequest, workload: str) -> bool:
        """Whether its purse pays for the bytes of a small read."""

    def memory_granted(self, held: InflightRequest) -> None:
        """Room for the RPC's bytes came."""

    def memory_refused(self, held: InflightRequest) -> None:
        """It did not come in time."""

    def send_message(
        self, message: Ok | Rejected | Errored | Part, body: Body, claim: Reservation | None
    ) -> None: ...

    def answer(self, message: Ok | Rejected | Errored, body: Body, claim: Reservation | None) -> None: ...


@dataclass(slots=True, eq=False)
class InflightRequest(Request):
    """A client's RPC, with where its answer goes, and what it asked."""

    session: ClientSession | None = None
    rpc: ReadRpc | WriteRpc | None = None
    body: Body = None
    """What a write writes; what a read's ok answer carries."""
    destination: memoryview | None = None
    """Where a read's bytes belong, if that is known before they come."""
    extent: int = -1
    version: int = -1
    """Of the extent, as the map told it; -1: named by key, not by range."""
    range: RangeRequest | None = None
    piece: Any = None
    """What it is of its range; the range's own."""
    claim: Reservation | None = None
    """Room of its own; bytes of a parent that holds them whole are in the parent's."""

    purse: PrepaidCredit | None = None
    """That pays for it in place of a claim of its own."""

    def memory_claim(self) -> Reservation | None:
        """What holds the room of its bytes."""
        return self.claim or (self.range.claim if self.range is not None else None)

    def reservation_granted(self, claim: Reservation) -> None:
        assert self.session is not None
        self.session.memory_granted(self)
        if self.range is not None:
            self.range.start_pieces()

    def reservation_timed_out(self, claim: Reservation) -> None:
        assert self.session is not None
        self.session.memory_refused(self)


@dataclass(slots=True, eq=False)
class InflightAttempt(Attempt):
    """One send, with the frame that carries it, alone or with others, or the HTTP exchange that does."""

    frame: Any = None
    """The frame; of the link that carries it."""
    timer_slot: int = 0
    """Of the wheel of time-outs."""
    claim: Reservation | None = None
    """Pinned where the RPC is over before it."""
    expires_ms: float = 0.0
    """When its answer is waited for no longer."""
    exchange: Any = None
    """The connection that carries it alone."""

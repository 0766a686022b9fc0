"""Requests and attempts of the scheduler, extended by what is needed to carry them.

Objects refer to each other directly, not by identifiers. The protocols here describe the client session and
the range request as far as the modules below the gateway use them, so that those modules do not import the
gateway.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from cherrygrade.scheduling.model import Attempt, Request

if TYPE_CHECKING:  # the platform's dispatcher does not load these modules
    from cherrygrade.peers.memory_budget import Account, PrepaidCredit, Reservation
    from cherrygrade.peers.slow_peer_escalation import Step
    from cherrygrade.transport.connection import Connection
    from cherrygrade.wire.messages import Errored, Ok, Part, ReadRpc, Rejected, WriteRpc

Body = bytearray | memoryview | None
"""The bytes of a message; None: the message has no body."""


class RangeRequest(Protocol):
    """A client's RPC on a byte range, which is carried as several requests, its pieces.

    Attributes:
        claim: memory for the complete range; None where the pieces claim their own.
    """

    claim: Reservation | None

    @property
    def session(self) -> ClientSession:
        """Session of the client that sent the RPC."""

    @property
    def rpc(self) -> ReadRpc | WriteRpc:
        """The RPC as the client sent it."""

    @property
    def streams(self) -> bool:
        """Whether the client takes the bytes in parts, each when its piece is answered."""

    @property
    def pieces(self) -> list[InflightRequest]:
        """The pieces that have started and have not ended."""

    def start_pieces(self) -> None:
        """Start further pieces, as far as the client and the memory allow."""

    def ok(self, piece: InflightRequest) -> None:
        """Take in that a piece succeeded."""

    def rejected(self, piece: InflightRequest, come_back_ms: float) -> None:
        """Take in that a piece was rejected; the client may retry after `come_back_ms`."""

    def errored(self, piece: InflightRequest) -> None:
        """Take in that a piece failed, and may have taken effect."""

    def drop(self) -> None:
        """Abandon the pieces that have not ended."""


class ClientSession(Protocol):
    """A client's session, as the modules that carry its RPCs use it.

    Attributes:
        name: name that the client gave when it connected.
        features: optional features of the protocol that the client supports.
        bytes_in_flight: bytes of pieces that have started for the client and have not ended.
        waiting_ranges: range requests that start further pieces once the client has taken more bytes.
    """

    name: str
    features: list[str]
    bytes_in_flight: int
    waiting_ranges: dict[RangeRequest, None]

    @property
    def conn(self) -> Connection:
        """The client's connection."""

    @property
    def account(self) -> Account:
        """The client's account of memory."""

    @property
    def slow(self) -> Step:
        """The restriction that applies to the client because it reads its answers slowly."""

    def transit_ms(self, since_hello_ms: float, now: float) -> float:
        """Return how much longer a message was in transit than the fastest recent one of the client, ms.

        Args:
            since_hello_ms: when the client sent the message, in ms since its hello by the client's clock; 0
                if the client did not give it.
            now: when the message was received, ms.
        """

    def reserve_small_read(self, request: InflightRequest, workload: str) -> bool:
        """Reserve memory for the answer of a small read from a claim that the client's small reads share.

        Returns:
            Whether the memory was reserved; otherwise the read needs a claim of its own.
        """

    def memory_granted(self, request: InflightRequest) -> None:
        """Take in that memory for the request's bytes was granted."""

    def memory_refused(self, request: InflightRequest) -> None:
        """Take in that memory for the request's bytes was not granted in time."""

    def send_message(
        self, message: Ok | Rejected | Errored | Part, body: Body, claim: Reservation | None
    ) -> None:
        """Send a message to the client; `claim` is released once the client has taken the body."""

    def answer(self, message: Ok | Rejected | Errored, body: Body, claim: Reservation | None) -> None:
        """Send the final answer of an RPC, or only release `claim` if the client no longer waits for it."""


@dataclass(slots=True, eq=False)
class InflightRequest(Request):
    """A request in flight, with the client's session and RPC that it belongs to.

    Attributes:
        session: session of the client; None for a request of the platform.
        rpc: the RPC as the client sent it; None for a request of the platform.
        body: the bytes to write, or the bytes that a read has returned.
        destination: buffer that the bytes of a read are received into, if it is known in advance.
        extent: number of the extent; -1 if the client named a key instead of a range.
        version: version of the extent by the extent map; -1 if the client named a key instead of a range.
        range: the range request that this is a piece of; None if it is not a piece.
        piece: the range request's own object for this piece.
        claim: memory for the request's bytes. None where a range request's claim covers them, or `purse`
            does.
        purse: claim shared by the client's small reads that covers the bytes in place of `claim`.
    """

    session: ClientSession | None = None
    rpc: ReadRpc | WriteRpc | None = None
    body: Body = None
    destination: memoryview | None = None
    extent: int = -1
    version: int = -1
    range: RangeRequest | None = None
    piece: Any = None
    claim: Reservation | None = None
    purse: PrepaidCredit | None = None

    def memory_claim(self) -> Reservation | None:
        """Return the claim that covers the request's bytes, its own or that of its range request."""
        return self.claim or (self.range.claim if self.range is not None else None)

    def reservation_granted(self, claim: Reservation) -> None:
        """Pass on to the session that `claim` was granted, and let a range request start further pieces."""
        assert self.session is not None
        self.session.memory_granted(self)
        if self.range is not None:
            self.range.start_pieces()

    def reservation_timed_out(self, claim: Reservation) -> None:
        """Pass on to the session that `claim` was not granted in time."""
        assert self.session is not None
        self.session.memory_refused(self)


@dataclass(slots=True, eq=False)
class InflightAttempt(Attempt):
    """An attempt in flight, carried by a frame of the native protocol or by an HTTP exchange.

    Attributes:
        frame: the frame that carries the attempt, alone or with others; an object of the gateway's links.
        timer_slot: slot of the timer wheel that holds the attempt's time-out.
        claim: memory of the request that stays in use until the attempt ends, if the request ends before it.
        expires_ms: when the attempt times out, ms.
        exchange: the connection that carries the attempt as an HTTP exchange.
        response_ms: when the node's response was complete, ms, if the outcome became certain only later; else
            0.
    """

    frame: Any = None
    timer_slot: int = 0
    claim: Reservation | None = None
    expires_ms: float = 0.0
    exchange: Any = None
    response_ms: float = 0.0

"""The module's RPC and send with what carrying them needs. Objects point to each other; no ids."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cherrygrade.interface import Rpc, Send

if TYPE_CHECKING:
    from cherrygrade.extents.carrier import Range
    from cherrygrade.extents.parent import Piece
    from cherrygrade.gateway.links import Flight
    from cherrygrade.gateway.sessions import Session
    from cherrygrade.peers.store import Claim, Purse
    from cherrygrade.wire.messages import ReadRpc, WriteRpc

Body = bytearray | memoryview | None


@dataclass(slots=True, eq=False)
class Held(Rpc):
    """A client's RPC, with where its answer goes, and what it asked."""

    session: Session | None = None
    ask: ReadRpc | WriteRpc | None = None
    body: Body = None
    """What a write writes; what a read's ok answer carries."""
    place: memoryview | None = None
    """Where a read's bytes belong, if that is known before they come."""
    extent: int = -1
    version: int = -1
    """Of the extent, as the map told it; -1: named by key, not by range."""
    range: Range | None = None
    piece: Piece | None = None
    """The client's RPC that this is a piece of."""
    claim: Claim | None = None
    """Room of its own; bytes of a parent that holds them whole are in the parent's."""

    purse: Purse | None = None
    """That pays for it in place of a claim of its own."""

    def room(self) -> Claim | None:
        """What holds the room of its bytes."""
        return self.claim or (self.range.claim if self.range is not None else None)

    def roomy(self, claim: Claim) -> None:
        assert self.session is not None
        self.session.gateway.rounds.take(self)
        if self.range is not None:
            self.range.feed()

    def cramped(self, claim: Claim) -> None:
        assert self.session is not None
        self.session.gateway.turn_away(self)


@dataclass(slots=True, eq=False)
class Out(Send):
    """One send, with the frame that carries it, alone or with others, or the HTTP exchange that does."""

    flight: Flight | None = None
    slot: int = 0
    """Of the wheel of time-outs."""
    claim: Claim | None = None
    """Pinned where the RPC is over before it."""
    until_ms: float = 0.0
    """When its answer is waited for no longer."""
    exchange: Any = None
    """The connection that carries it alone."""

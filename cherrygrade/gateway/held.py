"""The module's RPC and send with what carrying them needs. Objects point to each other; no ids."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cherrygrade.interface import Rpc, Send
from cherrygrade.wire.messages import ReadRpc, WriteRpc

if TYPE_CHECKING:
    from cherrygrade.gateway.links import NodeLine
    from cherrygrade.gateway.sessions import Session

Body = bytearray | memoryview | None


@dataclass(slots=True, eq=False)
class Held(Rpc):
    """A client's RPC, with where its answer goes, and what it asked."""

    session: Session | None = None
    ask: ReadRpc | WriteRpc | None = None
    body: Body = None
    """What a write writes; what a read's ok answer carries."""


@dataclass(slots=True, eq=False)
class Out(Send):
    """One send, with the connection that carries it once it has begun to leave."""

    line: NodeLine | None = None
    stream: int = 0
    slot: int = 0
    """Of the wheel of time-outs."""

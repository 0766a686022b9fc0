"""One incoming or outgoing stream between members, or from a person."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import msgspec

from cherrygrade.fleet.membership.membership import Effects
from cherrygrade.fleet.membership.table import MemberRecord
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.admin_server import AdminServer
    from cherrygrade.fleet.runtime.config_connections import ConfigServer
    from cherrygrade.fleet.runtime.council_connections import CouncilClientConnection
    from cherrygrade.fleet.runtime.fleet_agent import FleetAgent

EXCHANGE_S = 2.0
MOST_STREAMS = 16  # that came in and have not ended
AT_ONCE = 64  # claims in one frame
MOST_FRAMES = 64

_claims = msgspec.msgpack.Decoder(list[MemberRecord])


class PeerStream:
    """One exchange of whole rolls, begun here (`to`) or there; or a person's question."""

    def __init__(self, agent: FleetAgent, to: str = "") -> None:
        self.agent, self.to = agent, to
        self.task: asyncio.Task[None] | None = None
        self.conn = Connection(self, 0)
        self.peer = ""
        self.guest: CouncilClientConnection | ConfigServer | AdminServer | None = None
        self._claims: list[MemberRecord] = []
        self._frames = 0
        self._timer: asyncio.TimerHandle | None = None

    async def connect(self, to: tuple[str, int]) -> None:
        host = (self.agent.fleet.bind or self.agent.fleet.place).rpartition(":")[0]
        try:
            async with asyncio.timeout(EXCHANGE_S):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: self.conn, *to, local_addr=(host, 0))
        except OSError:
            self.agent.streams.pop(self, None)

    def connected(self, conn: Connection) -> None:
        if len(self.agent.streams) >= MOST_STREAMS:
            conn.close("too many at once")
            return
        self.agent.streams[self] = None
        self._timer = asyncio.get_running_loop().call_later(EXCHANGE_S, conn.abort, "no exchange in time")
        if self.to:
            conn.send(Hello(VERSION, "member", self.agent.name, [self.agent.fleet.name]))
            self._say()

    def _say(self) -> None:
        claims = self.agent.core.whole()
        loads = [claims[at : at + AT_ONCE] for at in range(0, len(claims), AT_ONCE)]
        for index, load in enumerate(loads):
            self.conn.send(Members(msgspec.msgpack.encode(load), index == len(loads) - 1))

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Hello) and not self.to and not self.peer:
            if message.role == "person":
                data = json.dumps(self.agent.status()).encode()
                conn.send(Welcome(VERSION, self.agent.name))
                for at in range(0, len(data), 8192):
                    conn.send(Members(data[at : at + 8192], at + 8192 >= len(data)))
            elif message.role == "member" and message.features[:1] == [self.agent.fleet.name]:
                self.peer = message.name
                conn.send(Welcome(VERSION, self.agent.name))
            elif message.role == "council" and message.features[:1] == [self.agent.fleet.name]:
                self._council(message.name)
            elif message.role == "config" and message.features[:1] == [self.agent.fleet.name]:
                config = self.agent.config
                self._stays(config.accept(conn) if config is not None else None, message.name)
            elif message.role == "operator":
                self._stays(self._desk(), message.name)
            else:
                conn.close(f"not of this fleet: {message.role} {message.features[:1]}"[:200])
        elif isinstance(message, Welcome) and self.to and not self.peer:
            self.peer = message.name
        elif isinstance(message, Members) and self.guest is not None:
            self.guest.frame_received(message)
        elif isinstance(message, Members) and self.peer:
            self._members(message)
        elif not isinstance(message, Bye):
            conn.close(f"unexpected {type(message).__name__} from a member")

    def _members(self, message: Members) -> None:
        self._frames += 1
        try:
            self._claims += _claims.decode(message.payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.conn.close("claims that can't be read")
            return
        if self._frames > MOST_FRAMES:
            self.conn.close("too many claims")
        elif message.last:
            if not self.to:
                self._say()
            self.agent.core.exchanged(self._claims, self.peer, self.agent.clock())
            self.agent._post(Effects())
            self._claims = []
            if self.to:
                self.conn.close("exchanged")

    def _council(self, name: str) -> None:
        council_server = self.agent.council_server
        self._stays(council_server.accept(self.conn, name) if council_server is not None else None, name)

    def _desk(self) -> AdminServer | None:
        from cherrygrade.fleet.runtime.admin_server import MOST_OPERATORS, AdminServer

        agent = self.agent
        if agent.config is None or agent.council_server is None or len(agent.desks) >= MOST_OPERATORS:
            return None
        desk = AdminServer(agent.config, agent.council_server, self.conn, lambda: agent.desks.pop(desk, None))
        agent.desks[desk] = None
        return desk

    def _stays(self, guest: CouncilClientConnection | ConfigServer | AdminServer | None, name: str) -> None:
        """It is none of the exchanges, and has its own time or none."""
        self.guest = guest
        if guest is None:
            self.conn.close("nobody here for that, or too many at once")
            return
        self.peer = name
        if self._timer is not None:
            self._timer.cancel()
        self.agent.streams.pop(self, None)
        self.conn.send(Welcome(VERSION, self.agent.name))

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        if self.guest is not None:
            self.guest.closed(conn, why)
        if self._timer is not None:
            self._timer.cancel()
        self.agent.streams.pop(self, None)

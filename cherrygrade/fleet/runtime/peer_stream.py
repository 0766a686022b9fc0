"""A stream to or from another member, or from an operator's command."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from cherrygrade.fleet.membership.effects import Effects
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.table import MemberRecord
from cherrygrade.fleet.runtime import stream_roles
from cherrygrade.fleet.runtime.framed_connection import FramedConnection, send_in_frames
from cherrygrade.settings import FleetSettings
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

EXCHANGE_TIMEOUT_S = 2.0
MAX_STREAMS = 16  # exchanges and status queries that have not ended
RECORDS_PER_FRAME = 64
MAX_FRAMES = 64  # of one exchange
MAX_REASON_CHARACTERS = 200

_records_decoder = msgspec.msgpack.Decoder(list[MemberRecord])


class AcceptsMembers(Protocol):
    """The council server, as streams need it."""

    def accept(self, conn: Connection, name: str) -> FramedConnection | None:
        """Serve a stream of this member; None refuses it."""


class AcceptsFetches(Protocol):
    """The configuration exchange, as streams need it."""

    def accept(self, conn: Connection) -> FramedConnection | None:
        """Serve a stream that fetches; None refuses it."""


class StreamOwner(Protocol):
    """The fleet agent, as its streams need it; see `FleetAgent`."""

    name: str
    fleet: FleetSettings
    membership: Membership
    clock: Callable[[], float]
    streams: dict[PeerStream, None]

    @property
    def council_server(self) -> AcceptsMembers | None:
        """The council's part, where there is one."""

    @property
    def config(self) -> AcceptsFetches | None:
        """The configuration's part, where there is one."""

    def status(self) -> dict[str, Any]:
        """Return the answer to a status query."""

    def accept_operator(self, conn: Connection) -> FramedConnection | None:
        """Serve an operator's stream; None refuses it."""

    def apply_effects(self, effects: Effects) -> None:
        """Carry out what a call of the membership asks for."""


class PeerStream:
    """One exchange of membership tables, begun here or there, or a stream that another connection serves.

    A stream that came in says in its `Hello` what it is for. All but exchanges and status queries are handed
    over to a connection of the council, the configuration or the operator's commands.

    Attributes:
        agent: Whose table is exchanged.
        target: The member with whom this dispatcher began an exchange; "" for a stream that came in.
        task: Makes the connection of a stream that began here.
        conn: The connection.
        peer: The name that the other side gave; "" before.
        handler: Serves the stream once it was handed over.
    """

    def __init__(self, agent: StreamOwner, target: str = "") -> None:
        self.agent = agent
        self.target = target
        self.task: asyncio.Task[None] | None = None
        self.conn = Connection(self, 0)
        self.peer = ""
        self.handler: FramedConnection | None = None
        self._records: list[MemberRecord] = []
        self._frames = 0
        self._timer: asyncio.TimerHandle | None = None

    async def connect(self, to: tuple[str, int]) -> None:
        """Connect to the member with whom this dispatcher begins an exchange."""
        host = (self.agent.fleet.bind or self.agent.fleet.place).rpartition(":")[0]
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await loop.create_connection(lambda: self.conn, *to, local_addr=(host, 0))
        except OSError:  # the member is down or cut off: the failure detector finds that out
            self.agent.streams.pop(self, None)

    def connected(self, conn: Connection) -> None:
        """Called by the connection once it is open."""
        if len(self.agent.streams) >= MAX_STREAMS:
            conn.close("too many at once")
            return
        self.agent.streams[self] = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(EXCHANGE_TIMEOUT_S, conn.abort, "no exchange in time")
        if self.target:
            conn.send(Hello(VERSION, stream_roles.MEMBER, self.agent.name, [self.agent.fleet.name]))
            self._send_table()

    def _send_table(self) -> None:
        records = self.agent.membership.all_records()
        batches = [
            records[start : start + RECORDS_PER_FRAME] for start in range(0, len(records), RECORDS_PER_FRAME)
        ]
        for index, batch in enumerate(batches):
            self.conn.send(Members(msgspec.msgpack.encode(batch), index == len(batches) - 1))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Called by the connection for a frame's body: these messages have none."""
        return

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Called by the connection with each frame."""
        if isinstance(message, Hello) and not self.target and not self.peer:
            self._hello_received(message)
        elif isinstance(message, Welcome) and self.target and not self.peer:
            self.peer = message.name
        elif isinstance(message, Members) and self.handler is not None:
            self.handler.frame_received(message)
        elif isinstance(message, Members) and self.peer:
            self._records_received(message)
        elif not isinstance(message, Bye):
            conn.close(f"unexpected {type(message).__name__} from a member")

    def _hello_received(self, hello: Hello) -> None:
        """Serve the stream by its role; all but an operator's have to be of this fleet."""
        agent, conn = self.agent, self.conn
        if hello.role == stream_roles.STATUS:
            status = json.dumps(agent.status()).encode()
            conn.send(Welcome(VERSION, agent.name))
            send_in_frames(conn, status)
            return
        if hello.role == stream_roles.OPERATOR:
            self._hand_over(agent.accept_operator(conn), hello.name)
            return
        of_this_fleet = hello.features[:1] == [agent.fleet.name]
        if of_this_fleet and hello.role == stream_roles.MEMBER:
            self.peer = hello.name
            conn.send(Welcome(VERSION, agent.name))
        elif of_this_fleet and hello.role == stream_roles.COUNCIL:
            server = agent.council_server
            self._hand_over(server.accept(conn, hello.name) if server is not None else None, hello.name)
        elif of_this_fleet and hello.role == stream_roles.CONFIG:
            config = agent.config
            self._hand_over(config.accept(conn) if config is not None else None, hello.name)
        else:
            reason = f"not of this fleet: {hello.role} {hello.features[:1]}"
            conn.close(reason[:MAX_REASON_CHARACTERS])

    def _hand_over(self, handler: FramedConnection | None, name: str) -> None:
        """Leave the stream to `handler`, which has its own timeout or none; None refuses the stream."""
        self.handler = handler
        if handler is None:
            self.conn.close("nobody here for that, or too many at once")
            return
        self.peer = name
        if self._timer is not None:
            self._timer.cancel()
        self.agent.streams.pop(self, None)
        self.conn.send(Welcome(VERSION, self.agent.name))

    def _records_received(self, message: Members) -> None:
        self._frames += 1
        try:
            self._records += _records_decoder.decode(message.payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.conn.close("claims that can't be read")
            return
        if self._frames > MAX_FRAMES:
            self.conn.close("too many claims")
        elif message.last:
            if not self.target:
                self._send_table()
            self.agent.membership.merge_table(self._records, self.peer, self.agent.clock())
            self.agent.apply_effects(Effects())
            self._records = []
            if self.target:
                self.conn.close("exchanged")

    def writable(self, conn: Connection) -> None:
        """Called by the connection when its buffer has room again: nobody waits for that here."""

    def closed(self, conn: Connection, why: str) -> None:
        """Called once when the connection has ended."""
        if self.handler is not None:
            self.handler.closed(conn, why)
        if self._timer is not None:
            self._timer.cancel()
        self.agent.streams.pop(self, None)

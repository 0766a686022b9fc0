"""Streams to and from other members, and from operators' commands."""

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

EXCHANGE_TIMEOUT_S = 2.0  # for connecting, and again for the exchange or status query
MAX_STREAMS = 16  # table exchanges and status queries in progress
RECORDS_PER_FRAME = 64
MAX_FRAMES = 64  # that one peer may send in an exchange
MAX_REASON_CHARACTERS = 200  # of the reason that a refused peer is sent

_records_decoder = msgspec.msgpack.Decoder(list[MemberRecord])


class AcceptsMembers(Protocol):
    """The part of `CouncilServer` that streams use."""

    def accept(self, conn: Connection, name: str) -> FramedConnection | None:
        """Serve a stream of the member `name`; None refuses the stream."""


class AcceptsFetches(Protocol):
    """The part of `ConfigExchange` that streams use."""

    def accept(self, conn: Connection) -> FramedConnection | None:
        """Serve a stream that fetches the configuration; None refuses the stream."""


class StreamOwner(Protocol):
    """The part of `FleetAgent` that its streams use; the attributes are documented there."""

    name: str
    fleet: FleetSettings
    membership: Membership
    clock: Callable[[], float]
    streams: dict[PeerStream, None]

    @property
    def council_server(self) -> AcceptsMembers | None:
        """The council's part; None where the settings name no council."""

    @property
    def config(self) -> AcceptsFetches | None:
        """The shared configuration; None where it is off."""

    def status(self) -> dict[str, Any]:
        """Return the answer to a status query."""

    def accept_operator(self, conn: Connection) -> FramedConnection | None:
        """Serve the stream of an operator's command; None refuses the stream."""

    def apply_effects(self, effects: Effects) -> None:
        """Carry out effects of the membership."""


class PeerStream:
    """One exchange of membership tables, or an incoming stream for another purpose.

    The `Hello` of an incoming stream names its role. Table exchanges and status queries are served here;
    other streams are handed over to a connection of the council, the configuration or the operators'
    commands.

    Attributes:
        agent: The agent whose membership table is exchanged.
        target: Name of the member with which this dispatcher starts an exchange; "" for an incoming stream.
        task: Opens the connection of an exchange that this dispatcher starts.
        conn: The connection.
        peer: The name that the peer sent; "" before.
        handler: Serves the stream after it was handed over; None before.
    """

    def __init__(self, agent: StreamOwner, target: str = "") -> None:
        """Take the agent, and the member with which this dispatcher starts an exchange ("" for none)."""
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
        """Connect to the target at its IP address and port, to start an exchange."""
        host = (self.agent.fleet.bind or self.agent.fleet.place).rpartition(":")[0]
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await loop.create_connection(lambda: self.conn, *to, local_addr=(host, 0))
        except OSError:  # the member is down or cut off: the failure detector notices that
            self.agent.streams.pop(self, None)

    def connected(self, conn: Connection) -> None:
        """Called by the connection once it is open; the stream is refused where too many are open."""
        if len(self.agent.streams) >= MAX_STREAMS:
            conn.close(f"{MAX_STREAMS} streams are open already")
            return
        self.agent.streams[self] = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            EXCHANGE_TIMEOUT_S, conn.abort, f"no exchange within {EXCHANGE_TIMEOUT_S:g} s"
        )
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
        """Called by the connection for memory for a frame's body: `Members` frames have none."""
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
        """Serve the stream by the role that its `Hello` names.

        Streams of members are refused where they belong to another fleet. Status queries and operators'
        commands name no fleet.
        """
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
            reason = f"unknown role or another fleet: role {hello.role}, fleet {hello.features[:1]}"
            conn.close(reason[:MAX_REASON_CHARACTERS])

    def _hand_over(self, handler: FramedConnection | None, name: str) -> None:
        """Hand the stream over to `handler`, which sets its own timeout or none; None refuses the stream."""
        self.handler = handler
        if handler is None:
            self.conn.close("role not served by this dispatcher, or too many connections")
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
            self.conn.close("membership records can't be decoded")
            return
        if self._frames > MAX_FRAMES:
            self.conn.close(f"more than {MAX_FRAMES} frames of membership records")
        elif message.last:
            if not self.target:
                self._send_table()
            self.agent.membership.merge_table(self._records, self.peer, self.agent.clock())
            self.agent.apply_effects(Effects())
            self._records = []
            if self.target:
                self.conn.close("exchanged")

    def writable(self, conn: Connection) -> None:
        """Called by the connection when its send buffer has space again; no sender here waits for that."""

    def closed(self, conn: Connection, why: str) -> None:
        """Called once when the connection has ended; a handler is notified first."""
        if self.handler is not None:
            self.handler.closed(conn, why)
        if self._timer is not None:
            self._timer.cancel()
        self.agent.streams.pop(self, None)

"""Connections that carry the council's messages between voters and members.

Each message is one byte for its kind, followed by a msgpack body.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, ClassVar, Protocol

import msgspec

from cherrygrade.fleet.runtime import stream_roles
from cherrygrade.fleet.runtime.framed_connection import FramedConnection
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Hello

RAFT_MESSAGE = b"r"  # from voter to voter
REQUEST = b"q"  # from a member to a voter
REPLY = b"n"  # from a voter to the member that sent the request
JOIN_REQUEST = b"j"  # from a voter whose store the council has not admitted

MAX_MESSAGE_BYTES = 32 * 1024 * 1024  # the longest message is a Raft snapshot
MAX_QUEUED_MESSAGES = 256  # for a peer that is not connected; the oldest are dropped, Raft resends them
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1  # after an attempt to connect that failed

_encode = msgspec.msgpack.Encoder().encode


class CouncilEndpoint(Protocol):
    """The part of `CouncilServer` that its connections use.

    Attributes:
        name: This dispatcher's name.
        fleet: The fleet's name.
        source: The IP address that connections are made from.
        sent_bytes: Bytes of messages sent, in total.
    """

    name: str
    fleet: str
    source: str
    sent_bytes: int

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return a voter's IP address and port; None where they are not known."""

    def connection_lost(self, connection: CouncilConnection) -> None:
        """Called when a connection has ended, or could not be opened."""

    def message_received(self, connection: CouncilConnection, message: bytes) -> None:
        """Called with each received message."""


class CouncilConnection(FramedConnection):
    """The connection to one voter; it is opened when the first message to the voter is sent.

    Attributes:
        council_server: The server that the connection belongs to.
        name: Name of the voter at the other end.
        queue: Encoded messages that wait for the connection to open.
        ready: Whether the connection is open, so that messages can be sent now.
        connecting: Whether the connection is being opened.
        task: Opens the connection; the server cancels it when it closes.
    """

    max_message_bytes: ClassVar[int] = MAX_MESSAGE_BYTES
    purpose: ClassVar[str] = "on a council connection"

    def __init__(self, council_server: CouncilEndpoint, name: str, conn: Connection | None = None) -> None:
        super().__init__(conn)
        self.council_server = council_server
        self.name = name
        self.queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.ready = False
        self.connecting = False
        self.task: asyncio.Task[None] | None = None

    def send(self, kind: bytes, body: Any) -> None:
        """Send one message now, or once the connection is open.

        Args:
            kind: RAFT_MESSAGE, REQUEST, REPLY or JOIN_REQUEST.
            body: A value that msgpack can encode.
        """
        message = kind + _encode(body)
        if self.ready:
            self.send_message(message)
            return
        self.queue.append(message)
        if not self.connecting:
            self.connecting = True
            self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            address = self.council_server.address_of(self.name)
            if address is None:
                await asyncio.sleep(RECONNECT_DELAY_S)
                return
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                host = self.council_server.source
                await loop.create_connection(lambda: self.conn, *address, local_addr=(host, 0))
        except OSError:  # the voter is down or cut off; the next message to it connects again
            await asyncio.sleep(RECONNECT_DELAY_S)
        finally:
            self.connecting = False
            if not self.conn.open:
                self.council_server.connection_lost(self)

    def send_message(self, message: bytes) -> None:
        """Send one encoded message over the open connection."""
        self.council_server.sent_bytes += len(message)
        super().send_message(message)

    def message_received(self, message: bytes) -> None:
        """Pass one received message to the server."""
        self.council_server.message_received(self, message)

    def connected(self, conn: Connection) -> None:
        """Send this dispatcher's `Hello`, then the queued messages."""
        conn.send(Hello(VERSION, stream_roles.COUNCIL, self.council_server.name, [self.council_server.fleet]))
        self.ready = True
        while self.queue:
            self.send_message(self.queue.popleft())

    def closed(self, conn: Connection, why: str) -> None:
        """Remove the connection from the server; the next message to the voter opens another one."""
        self.ready = False
        self.council_server.connection_lost(self)


class CouncilClientConnection(CouncilConnection):
    """A connection that a member or voter opened; its `PeerStream` passes the frames on."""

    def __init__(self, council_server: CouncilEndpoint, conn: Connection, name: str) -> None:
        super().__init__(council_server, name, conn)
        self.ready = True

    def send(self, kind: bytes, body: Any) -> None:
        """Send one message; it is dropped where the connection has ended, and the member requests again."""
        if self.ready:
            self.send_message(kind + _encode(body))

"""Connections that carry the council's messages between voters and members.

Each message is one byte that says its kind, and a msgpack body.
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

RAFT_MESSAGE = b"r"  # between voters
REQUEST = b"q"  # of a member, to a voter
REPLY = b"n"  # of a voter, to the member
JOIN_REQUEST = b"j"  # of a dispatcher that should be a voter and whose store is not one's

MAX_MESSAGE_BYTES = 32 * 1024 * 1024  # a Raft snapshot
MAX_QUEUED_MESSAGES = 256  # to a peer that is not connected; the oldest are dropped, Raft sends them again
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1

_encode = msgspec.msgpack.Encoder().encode


class CouncilEndpoint(Protocol):
    """The council server, as its connections need it.

    Attributes:
        name: This dispatcher's name.
        fleet: The fleet's name.
        source: The IP address that connections are made from.
        sent_bytes: Bytes of messages sent, in all.
    """

    name: str
    fleet: str
    source: str
    sent_bytes: int

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return where a voter can be reached; None where it is not known."""

    def connection_lost(self, connection: CouncilConnection) -> None:
        """Called when a connection has ended, or could not be made."""

    def message_received(self, connection: CouncilConnection, message: bytes) -> None:
        """Called with each message."""


class CouncilConnection(FramedConnection):
    """The connection to one voter, made when the first message to it is sent.

    Attributes:
        name: The voter at the other end.
        queue: Encoded messages that wait for the connection.
        ready: Whether messages can be sent now.
        connecting: Whether a connection is being made.
        task: Makes the connection; cancelled by the server when it closes.
    """

    max_message_bytes: ClassVar[int] = MAX_MESSAGE_BYTES
    purpose: ClassVar[str] = "in council"

    def __init__(self, council_server: CouncilEndpoint, name: str, conn: Connection | None = None) -> None:
        super().__init__(conn)
        self.council_server = council_server
        self.name = name
        self.queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.ready = False
        self.connecting = False
        self.task: asyncio.Task[None] | None = None

    def send(self, kind: bytes, body: Any) -> None:
        """Send one message now, or once connected.

        Args:
            kind: RAFT_MESSAGE, REQUEST, REPLY or JOIN_REQUEST.
            body: What msgpack can encode.
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
            to = self.council_server.address_of(self.name)
            if to is None:
                await asyncio.sleep(RECONNECT_DELAY_S)
                return
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                host = self.council_server.source
                await loop.create_connection(lambda: self.conn, *to, local_addr=(host, 0))
        except OSError:  # the voter is down or cut off; the next message to it tries again
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
        """Hand one message to the server."""
        self.council_server.message_received(self, message)

    def connected(self, conn: Connection) -> None:
        """Introduce this dispatcher, then send what waits."""
        conn.send(Hello(VERSION, stream_roles.COUNCIL, self.council_server.name, [self.council_server.fleet]))
        self.ready = True
        while self.queue:
            self.send_message(self.queue.popleft())

    def closed(self, conn: Connection, why: str) -> None:
        """Take the connection off the server's; a later message makes another."""
        self.ready = False
        self.council_server.connection_lost(self)


class CouncilClientConnection(CouncilConnection):
    """A connection that a member or voter made to here; its `PeerStream` passes the frames on."""

    def __init__(self, council_server: CouncilEndpoint, conn: Connection, name: str) -> None:
        super().__init__(council_server, name, conn)
        self.ready = True

    def send(self, kind: bytes, body: Any) -> None:
        """Send one message; it is dropped where the connection has ended: the member asks again."""
        if self.ready:
            self.send_message(kind + _encode(body))

"""Connections that fetch a configuration's content, and that serve it to members who fetch it here."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.config.replica_messages import FetchRequest, FetchResponse
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.runtime import stream_roles
from cherrygrade.fleet.runtime.framed_connection import FramedConnection
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Hello

FETCH_TIMEOUT_S = 1.5  # for the connection, and again for the content


class ConfigEndpoint(Protocol):
    """The configuration exchange, as its connections need it.

    Attributes:
        fleet: The fleet's name.
        membership: This dispatcher's membership.
        replica: Answers fetches; None before the start.
        sent_bytes: Bytes of content sent, in all.
        fetches: Fetches that have not ended.
        server_connections: Connections that fetch here.
    """

    fleet: str
    membership: Membership
    replica: ConfigReplica | None
    sent_bytes: int
    fetches: dict[ConfigFetch, None]
    server_connections: dict[ConfigServer, None]

    def fetch_succeeded(self, member: str, response: FetchResponse, length: int) -> None:
        """Called with a member's response, of so many bytes."""

    def fetch_failed(self, member: str, why: str) -> None:
        """Called where nothing came of a fetch."""


class ConfigFetch(FramedConnection):
    """One fetch of content from a member; it ends once, with content or with why there is none.

    Attributes:
        config: Is told how the fetch ended.
        member: The member that is asked.
        task: Makes the connection.
    """

    def __init__(self, config: ConfigEndpoint, member: str, request: FetchRequest) -> None:
        super().__init__()
        self.config = config
        self.member = member
        self.task: asyncio.Task[None] | None = None
        self._request = request
        self._ended = False
        self._timer: asyncio.TimerHandle | None = None

    async def connect(self, to: tuple[str, int] | None, source: str) -> None:
        """Connect to the member; `to` is None where its address is not known."""
        loop = asyncio.get_running_loop()
        if to is None:
            self.fail("no stream: it is not known where it is")
            return
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await loop.create_connection(lambda: self.conn, *to, local_addr=(source, 0))
            self._timer = loop.call_later(FETCH_TIMEOUT_S, self.conn.abort, "no content in time")
        except OSError as error:  # TimeoutError among them
            self.fail(f"no stream: {error.strerror or error or 'no answer in time'}")

    def connected(self, conn: Connection) -> None:
        """Introduce this dispatcher, and ask."""
        conn.send(Hello(VERSION, stream_roles.CONFIG, self.config.membership.name, [self.config.fleet]))
        self.send_message(msgspec.msgpack.encode(self._request))

    def message_received(self, message: bytes) -> None:
        """Hand the content on."""
        response = msgspec.msgpack.decode(message, type=FetchResponse)
        if not self._ended:
            self._end()
            self.config.fetch_succeeded(self.member, response, len(message))
        self.conn.close("fetched")

    def closed(self, conn: Connection, why: str) -> None:
        """Fail, where no content came before."""
        self.fail(f"its stream ended: {why}")

    def fail(self, why: str) -> None:
        """End without content; nothing happens where the fetch has ended already."""
        if not self._ended:
            self._end()
            self.config.fetch_failed(self.member, why)

    def close(self) -> None:
        """End as the dispatcher stops: nobody is told."""
        self._end()
        if self.task is not None:
            self.task.cancel()
        self.conn.abort("dispatcher leaves")

    def _end(self) -> None:
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        self.config.fetches.pop(self, None)


class ConfigServer(FramedConnection):
    """Serves one member that fetches content here; its `PeerStream` passes the frames on."""

    def __init__(self, config: ConfigEndpoint, conn: Connection) -> None:
        super().__init__(conn)
        self.config = config
        self._serving = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FETCH_TIMEOUT_S, conn.abort, "no fetch in time")

    def message_received(self, message: bytes) -> None:
        """Answer the member's request; a second one on the same connection is refused."""
        request = msgspec.msgpack.decode(message, type=FetchRequest)
        replica = self.config.replica
        if replica is None or self._serving:
            self.conn.close("nothing to fetch")
            return
        response = replica.respond_to_fetch(request)
        self._serving = response.content is not None
        encoded = msgspec.msgpack.encode(response)
        self.config.sent_bytes += len(encoded)
        self.send_message(encoded)

    def closed(self, conn: Connection, why: str) -> None:
        """Tell the replica that this transfer has ended, so that it may serve another member."""
        self._timer.cancel()
        self.config.server_connections.pop(self, None)
        if self._serving and self.config.replica is not None:
            self._serving = False
            self.config.replica.response_ended()

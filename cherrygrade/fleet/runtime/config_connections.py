"""Connections that fetch the content of a version from a member, and that serve it to members."""

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

FETCH_TIMEOUT_S = 1.5  # for connecting, and again for the content


class ConfigEndpoint(Protocol):
    """The part of `ConfigExchange` that its connections use.

    Attributes:
        fleet: The fleet's name.
        membership: This dispatcher's membership.
        replica: Answers the fetches of members; None before the start.
        sent_bytes: Bytes of content sent, in total.
        fetches: Fetches in progress.
        server_connections: Connections of members that fetch from this dispatcher.
    """

    fleet: str
    membership: Membership
    replica: ConfigReplica | None
    sent_bytes: int
    fetches: dict[ConfigFetch, None]
    server_connections: dict[ConfigServer, None]

    def fetch_succeeded(self, member: str, response: FetchResponse, length: int) -> None:
        """Called with a member's response, which took `length` bytes."""

    def fetch_failed(self, member: str, reason: str) -> None:
        """Called where a fetch ended without content."""


class ConfigFetch(FramedConnection):
    """One fetch of content from a member; it ends once, with content or with the reason why there is none.

    Attributes:
        config: Its `fetch_succeeded` or `fetch_failed` is called when the fetch ends.
        member: Name of the member that content is requested from.
        task: Opens the connection.
    """

    def __init__(self, config: ConfigEndpoint, member: str, request: FetchRequest) -> None:
        """Take the request, which is sent once `connect` has opened the connection."""
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
            self.fail("no connection: the member's address is not known")
            return
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await loop.create_connection(lambda: self.conn, *to, local_addr=(source, 0))
            self._timer = loop.call_later(FETCH_TIMEOUT_S, self.conn.abort, "no content in time")
        except OSError as error:  # TimeoutError is one of them
            self.fail(f"no connection: {error.strerror or error or 'no answer in time'}")

    def connected(self, conn: Connection) -> None:
        """Send this dispatcher's `Hello`, and the request."""
        conn.send(Hello(VERSION, stream_roles.CONFIG, self.config.membership.name, [self.config.fleet]))
        self.send_message(msgspec.msgpack.encode(self._request))

    def message_received(self, message: bytes) -> None:
        """Pass the content to the exchange, and close the connection."""
        response = msgspec.msgpack.decode(message, type=FetchResponse)
        if not self._ended:
            self._end()
            self.config.fetch_succeeded(self.member, response, len(message))
        self.conn.close("fetched")

    def closed(self, conn: Connection, why: str) -> None:
        """Fail the fetch, where no content was received before."""
        self.fail(f"the connection ended: {why}")

    def fail(self, reason: str) -> None:
        """End the fetch without content; a fetch that has ended already stays as it is."""
        if not self._ended:
            self._end()
            self.config.fetch_failed(self.member, reason)

    def close(self) -> None:
        """End the fetch as the dispatcher stops; neither of the callbacks is called."""
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
    """Serves one member that fetches content; its `PeerStream` passes the frames on."""

    def __init__(self, config: ConfigEndpoint, conn: Connection) -> None:
        """Take the connection, and start the timeout of the transfer."""
        super().__init__(conn)
        self.config = config
        self._serving = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FETCH_TIMEOUT_S, conn.abort, "fetch not completed in time")

    def message_received(self, message: bytes) -> None:
        """Answer the member's request; a second request on the same connection is refused."""
        request = msgspec.msgpack.decode(message, type=FetchRequest)
        replica = self.config.replica
        if replica is None or self._serving:
            self.conn.close("fetch refused: not started yet, or a second request")
            return
        response = replica.respond_to_fetch(request)
        self._serving = response.content is not None
        encoded = msgspec.msgpack.encode(response)
        self.config.sent_bytes += len(encoded)
        self.send_message(encoded)

    def closed(self, conn: Connection, why: str) -> None:
        """Notify the replica that the transfer has ended, so that another member may be served."""
        self._timer.cancel()
        self.config.server_connections.pop(self, None)
        if self._serving and self.config.replica is not None:
            self._serving = False
            self.config.replica.response_ended()

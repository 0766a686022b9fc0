"""Queries a dispatcher's status over a stream to its fleet address."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from cherrygrade.fleet.runtime import stream_roles
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

STATUS_TIMEOUT_S = 3.0  # for connecting and the answer together


class StatusQuery:
    """One status query; implements the owner's side of `Connection`.

    Attributes:
        conn: The connection.
        answer: The status, or a ConnectionError where the connection ended before the status was received.
    """

    def __init__(self) -> None:
        """Create the query; its connection is opened by the caller."""
        self.conn = Connection(self, 0)
        self.answer: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._received = b""

    def connected(self, conn: Connection) -> None:
        """Send the query: it is a `Hello` with the role of a status query, and no other message."""
        conn.send(Hello(VERSION, stream_roles.STATUS, "cherrygrade fleet"))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Called by the connection for memory for a frame's body: `Members` frames have none."""
        return

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Called by the connection with each frame; a status may have any number of frames."""
        if isinstance(message, Members) and not self.answer.done():
            self._received += message.payload
            if message.last:
                self.answer.set_result(json.loads(self._received))
                conn.close("status received")
        elif isinstance(message, Bye) and not self.answer.done():
            self.answer.set_exception(ConnectionError(message.reason))
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__}")

    def writable(self, conn: Connection) -> None:
        """Called by the connection when its send buffer has space again; no sender here waits for that."""

    def closed(self, conn: Connection, why: str) -> None:
        """Fail the query, where the status was not received before."""
        if not self.answer.done():
            self.answer.set_exception(ConnectionError(why))


async def query_status(address: str) -> dict[str, Any]:
    """Return the status of the dispatcher at `address` (IP:PORT); `agent_status` documents it.

    Raises:
        OSError: `address` is not an IP address with a port, or the dispatcher did not answer; TimeoutError is
            one of them.
    """
    to = parse_address(address)
    if to is None:
        raise OSError(f"expected IP:PORT, got {address!r}")
    async with asyncio.timeout(STATUS_TIMEOUT_S):
        query = StatusQuery()
        await asyncio.get_running_loop().create_connection(lambda: query.conn, *to)
        return await query.answer

"""Asks a dispatcher for its status, over a stream like those that members exchange tables on."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from cherrygrade.fleet.runtime import stream_roles
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

STATUS_TIMEOUT_S = 3.0


class StatusQuery:
    """One query; implements the owner's side of `Connection`.

    Attributes:
        conn: The connection.
        answer: The status, or a ConnectionError where the dispatcher ended the connection first.
    """

    def __init__(self) -> None:
        self.conn = Connection(self, 0)
        self.answer: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._received = b""

    def connected(self, conn: Connection) -> None:
        """Ask; the role is the whole question."""
        conn.send(Hello(VERSION, stream_roles.STATUS, "cherrygrade fleet"))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Called by the connection for a frame's body: these messages have none."""
        return

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Called by the connection with each frame; the status has any length."""
        if isinstance(message, Members) and not self.answer.done():
            self._received += message.payload
            if message.last:
                self.answer.set_result(json.loads(self._received))
                conn.close("told")
        elif isinstance(message, Bye) and not self.answer.done():
            self.answer.set_exception(ConnectionError(message.reason))
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__}")

    def writable(self, conn: Connection) -> None:
        """Called by the connection when its buffer has room again: nobody waits for that here."""

    def closed(self, conn: Connection, why: str) -> None:
        """Fail, where no answer came before."""
        if not self.answer.done():
            self.answer.set_exception(ConnectionError(why))


async def query_status(place: str) -> dict[str, Any]:
    """Return what the dispatcher at `place` (IP:PORT) knows of its fleet.

    Raises:
        OSError: `place` is no address, or nobody answered there; TimeoutError among them.
    """
    to = parse_address(place)
    if to is None:
        raise OSError(f"{place}: no place")
    async with asyncio.timeout(STATUS_TIMEOUT_S):
        query = StatusQuery()
        await asyncio.get_running_loop().create_connection(lambda: query.conn, *to)
        return await query.answer

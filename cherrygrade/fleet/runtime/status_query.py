"""A person's question to a dispatcher, over the stream that members exchange rolls on."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

PATIENCE_S = 3.0


class StatusQuery:
    def __init__(self) -> None:
        self.conn = Connection(self, 0)
        self.answer: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._data = b""

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "person", "cherrygrade fleet"))

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Members) and not self.answer.done():
            self._data += message.payload
            if message.last:
                self.answer.set_result(json.loads(self._data))
                conn.close("told")
        elif isinstance(message, Bye) and not self.answer.done():
            self.answer.set_exception(ConnectionError(message.reason))
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__}")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionError(why))


async def ask(place: str) -> dict[str, Any]:
    """What the dispatcher at this place knows of its fleet. OSError where nobody tells."""
    to = parse_address(place)
    if to is None:
        raise OSError(f"{place}: no place")
    async with asyncio.timeout(PATIENCE_S):
        question = StatusQuery()
        await asyncio.get_running_loop().create_connection(lambda: question.conn, *to)
        return await question.answer

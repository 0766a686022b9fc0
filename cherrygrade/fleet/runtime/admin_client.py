"""Asks a dispatcher for an operator's command."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import msgspec

from cherrygrade.fleet.errors import (
    ConfigNotFoundError,
    ConfigRefusedError,
    ConfigUnreachableError,
)
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.fleet.runtime.admin_messages import (
    AdminRequest,
)
from cherrygrade.fleet.runtime.framed_connection import FramedConnection
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

PATIENCE_S = 1.7  # of the command, for one word


class AdminClient(FramedConnection):
    def __init__(self, request: AdminRequest) -> None:
        super().__init__()
        self._request = request
        self._words: asyncio.Queue[dict[str, Any] | str] = asyncio.Queue()

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "operator", "cherrygrade fleet config"))
        self.send_message(msgspec.json.encode(self._request))

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Bye):
            self._words.put_nowait(message.reason)
        elif isinstance(message, Members):
            self.frame_received(message)
        elif not isinstance(message, Welcome):
            conn.close(f"unexpected {type(message).__name__}")

    def message_received(self, message: bytes) -> None:
        self._words.put_nowait(json.loads(message))

    def closed(self, conn: Connection, why: str) -> None:
        self._words.put_nowait(why)

    async def answer(self, within_s: float) -> dict[str, Any]:
        """Each word in that time; an empty one says that it goes on."""
        while True:
            async with asyncio.timeout(within_s):
                told = await self._words.get()
            if isinstance(told, str):
                raise ConnectionError(told)
            if told:
                return told


async def visit(place: str, request: AdminRequest, within_s: float = PATIENCE_S) -> dict[str, Any]:
    """What the dispatcher at this place says to that. ConfigRefused, ConfigUnreached, NoConfig."""
    to = parse_address(place)
    if to is None:
        do = "Give --at a dispatcher's fleet.place."
        raise ConfigNotFoundError(f"{place} is no HOST:PORT", "Nobody was asked.", do)
    try:
        held = AdminClient(request)
        async with asyncio.timeout(within_s):
            await asyncio.get_running_loop().create_connection(lambda: held.conn, *to)
        try:
            told = await held.answer(within_s)
        finally:
            held.conn.close("told")
    except OSError as wrong:  # TimeoutError among them
        why = str(wrong) or f"no answer within {within_s:g} s"
        do = "Give --at another dispatcher."
        raise ConfigUnreachableError(f"{place} does not answer: {why}", "", do) from wrong
    if "what" in told:
        kind = ConfigUnreachableError if told["nobody"] else ConfigRefusedError
        raise kind(told["what"], told["means"], told["do"])
    return told

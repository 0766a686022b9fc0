"""Sends an operator's command to a dispatcher, and returns the answer."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import msgspec

from cherrygrade.fleet.errors import ConfigNotFoundError, ConfigRefusedError, ConfigUnreachableError
from cherrygrade.fleet.runtime import stream_roles
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.fleet.runtime.admin_messages import AdminRequest
from cherrygrade.fleet.runtime.framed_connection import FramedConnection
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

REQUEST_TIMEOUT_S = 1.7  # for the connection, and for each message of the answer


class AdminClient(FramedConnection):
    """One request, and the messages that answer it."""

    def __init__(self, request: AdminRequest) -> None:
        super().__init__()
        self._request = request
        self._events: asyncio.Queue[dict[str, Any] | str] = asyncio.Queue()

    def connected(self, conn: Connection) -> None:
        """Introduce the command, and ask."""
        conn.send(Hello(VERSION, stream_roles.OPERATOR, "cherrygrade fleet config"))
        self.send_message(msgspec.json.encode(self._request))

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Called by the connection with each frame."""
        if isinstance(message, Bye):
            self._events.put_nowait(message.reason)
        elif isinstance(message, Members):
            self.frame_received(message)
        elif not isinstance(message, Welcome):
            conn.close(f"unexpected {type(message).__name__}")

    def message_received(self, message: bytes) -> None:
        """Queue one message of the answer."""
        self._events.put_nowait(json.loads(message))

    def closed(self, conn: Connection, why: str) -> None:
        """Queue why the connection ended."""
        self._events.put_nowait(why)

    async def answer(self, timeout_s: float) -> dict[str, Any]:
        """Return the answer; each message has `timeout_s`, and an empty one says that more follows.

        Raises:
            ConnectionError: The dispatcher ended the connection first.
            TimeoutError: No message came in time.
        """
        while True:
            async with asyncio.timeout(timeout_s):
                event = await self._events.get()
            if isinstance(event, str):
                raise ConnectionError(event)
            if event:
                return event


async def send_admin_request(
    place: str, request: AdminRequest, timeout_s: float = REQUEST_TIMEOUT_S
) -> dict[str, Any]:
    """Return the answer of the dispatcher at `place` (IP:PORT) to a request.

    Raises:
        ConfigNotFoundError: `place` is no address; nobody was asked.
        ConfigUnreachableError: The dispatcher, or a majority of the council, does not answer.
        ConfigRefusedError: The request was refused, with why.
    """
    to = parse_address(place)
    if to is None:
        do = "Give --at a dispatcher's fleet.place."
        raise ConfigNotFoundError(f"{place} is no HOST:PORT", "Nobody was asked.", do)
    try:
        client = AdminClient(request)
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(lambda: client.conn, *to)
        try:
            answer = await client.answer(timeout_s)
        finally:
            client.conn.close("told")
    except OSError as error:  # TimeoutError among them
        why = str(error) or f"no answer within {timeout_s:g} s"
        do = "Give --at another dispatcher."
        raise ConfigUnreachableError(f"{place} does not answer: {why}", "", do) from error
    if "what" in answer:
        error_type = ConfigUnreachableError if answer["nobody"] else ConfigRefusedError
        raise error_type(answer["what"], answer["means"], answer["do"])
    return answer

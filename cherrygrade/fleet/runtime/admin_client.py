"""Sends an operator's command to a dispatcher, and returns its answer."""

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

REQUEST_TIMEOUT_S = 1.7  # for connecting, and again for each message of the answer


class AdminClient(FramedConnection):
    """The connection of one request; it queues the messages that answer the request."""

    def __init__(self, request: AdminRequest) -> None:
        """Take the request, which is sent once the connection is open."""
        super().__init__()
        self._request = request
        self._events: asyncio.Queue[dict[str, Any] | str] = asyncio.Queue()

    def connected(self, conn: Connection) -> None:
        """Send the `Hello` of a command, and the request."""
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
        """Queue the reason why the connection ended."""
        self._events.put_nowait(why)

    async def answer(self, timeout_s: float) -> dict[str, Any]:
        """Wait for the answer and return it.

        An empty message means that the dispatcher is still working on the request.

        Args:
            timeout_s: For each message.

        Raises:
            ConnectionError: The dispatcher closed the connection before the answer.
            TimeoutError: No message was received within the timeout.
        """
        while True:
            async with asyncio.timeout(timeout_s):
                event = await self._events.get()
            if isinstance(event, str):
                raise ConnectionError(event)
            if event:
                return event


async def send_admin_request(
    address: str, request: AdminRequest, timeout_s: float = REQUEST_TIMEOUT_S
) -> dict[str, Any]:
    """Send a request to a dispatcher and return the answer.

    Args:
        address: The dispatcher's IP:PORT, its `fleet.place`.
        request: The request.
        timeout_s: For connecting, and again for each message of the answer.

    Raises:
        ConfigNotFoundError: `address` is not an IP address with a port; no request was sent.
        ConfigUnreachableError: The dispatcher, or a majority of the council, does not answer.
        ConfigRefusedError: The request was refused; the error gives the reason.
    """
    to = parse_address(address)
    if to is None:
        do = "Set --at to a dispatcher's fleet.place."
        raise ConfigNotFoundError(f"expected IP:PORT, got {address!r}", "No request was sent.", do)
    try:
        client = AdminClient(request)
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(lambda: client.conn, *to)
        try:
            answer = await client.answer(timeout_s)
        finally:
            client.conn.close("answer received")
    except OSError as error:  # TimeoutError is one of them
        reason = str(error) or f"no answer within {timeout_s:g} s"
        do = "Set --at to another dispatcher."
        raise ConfigUnreachableError(f"{address} does not answer: {reason}", "", do) from error
    if "what" in answer:
        error_type = ConfigUnreachableError if answer["nobody"] else ConfigRefusedError
        raise error_type(answer["what"], answer["means"], answer["do"])
    return answer

"""The control connection, by which the laboratory sends commands to a stand-in.

A command is answered with Done; a command that fails closes the connection. The connection outlives simulated
crashes of the stand-in.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Control, Done, Hello, Welcome


class ControlConnection:
    """The stand-in's end of one control connection.

    Attributes:
        conn: The connection itself.
    """

    def __init__(self, act: Callable[[str, dict[str, Any]], str | None]) -> None:
        """Prepare for a connection.

        Args:
            act: Carries out a command with its values, and returns the text of Done.
        """
        self._act = act
        self.conn = Connection(self, 0)

    def connected(self, conn: Connection) -> None:
        """Do nothing: the laboratory speaks first."""

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Refuse bodies: control messages have none."""
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        """Answer the hello, or carry out a command; a command that fails closes the connection."""
        if isinstance(message, Hello):
            conn.send(Welcome(VERSION, "control"))
        elif isinstance(message, Control):
            try:
                conn.send(Done(self._act(message.command, message.values) or ""))
            except (KeyError, ValueError, TypeError) as error:
                conn.close(f"control command {message.command!r} failed: {type(error).__name__}: {error}")

    def writable(self, conn: Connection) -> None:
        """Do nothing: answers are short."""

    def closed(self, conn: Connection, reason: str) -> None:
        """Do nothing: the stand-in does not depend on the connection."""


async def open_control(address: str, act: Callable[[str, dict[str, Any]], str | None]) -> asyncio.Server:
    """Listen for control connections.

    Args:
        address: Host and port; the port may be 0.
        act: Carries out a command with its values, and returns the text of Done.
    """
    host, _, port = address.rpartition(":")
    return await asyncio.get_running_loop().create_server(
        lambda: ControlConnection(act).conn, host, int(port)
    )


def port_of(server: asyncio.Server | None) -> int:
    """Return the port that a server listens at; 0 if there is no server."""
    return 0 if server is None else int(server.sockets[0].getsockname()[1])


class Controller:
    """The laboratory's end of a control connection.

    Attributes:
        address: Host and port of the stand-in's control connections.
        conn: The connection itself.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.conn = Connection(self, 0)
        self._pending: list[asyncio.Future[str]] = []

    async def connect(self, timeout_s: float = 10.0) -> None:
        """Connect, and retry every 50 ms while the stand-in does not listen yet.

        Args:
            timeout_s: The time after which a failed attempt is the last one, in seconds.

        Raises:
            OSError: The last attempt failed.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            try:
                await loop.create_connection(lambda: self.conn, host, int(port))
                return
            except OSError:
                if loop.time() > deadline_s:
                    raise
                await asyncio.sleep(0.05)

    async def say(self, command: str, **values: float | str) -> str:
        """Send a command, and return the text of its answer.

        Args:
            command: The name of the command.
            values: The values of the command.

        Raises:
            ConnectionError: The connection ended before the answer, for instance because the command failed.
        """
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._pending.append(future)
        self.conn.send(Control(command, values))
        return await future

    def connected(self, conn: Connection) -> None:
        """Send the hello."""
        conn.send(Hello(VERSION, "lab", "lab"))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Refuse bodies: control messages have none."""
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        """Complete the oldest pending command; answers arrive in the order of the commands."""
        if isinstance(message, Done) and self._pending:
            self._pending.pop(0).set_result(message.text)

    def writable(self, conn: Connection) -> None:
        """Do nothing: commands are short."""

    def closed(self, conn: Connection, reason: str) -> None:
        """Fail all pending commands."""
        for future in self._pending:
            if not future.done():
                future.set_exception(ConnectionError(reason))

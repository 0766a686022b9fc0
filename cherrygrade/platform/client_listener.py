"""The listening socket for clients, and closing it without resetting clients that are being accepted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cherrygrade.platform.socket_events import SocketEvents
from cherrygrade.transport.listening import listen

BACKLOG = 512
ACCEPTS_PER_TURN = 16
MAX_CLOSING_TURNS = 64  # of the event loop, to accept what the kernel has queued before the socket closes
EMPTY_TURNS_TO_CLOSE = 3  # turns with an empty accept queue after which the socket closes


class ClientListener:
    """Accepts clients until it is closed."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None

    @property
    def is_open(self) -> bool:
        """The listening socket exists: clients may still connect."""
        return self._server is not None

    async def open(self, make_connection: Callable[[], asyncio.BaseProtocol], address: str) -> int:
        """Listen on `address` (host:port).

        Returns:
            The port bound.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await listen(make_connection, address, BACKLOG, ACCEPTS_PER_TURN)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close_when_drained(
        self, closed: Callable[[], None], turns_left: int = MAX_CLOSING_TURNS, empty_turns: int = 0
    ) -> None:
        """Close once the accept queue has stayed empty for some turns of the event loop, then call `closed`.

        Closing the socket resets connections that the kernel has accepted and this process has not, and
        asyncio drops those that it accepted in the turn before: they are admitted first.
        """
        if self._server is None:
            return
        queue = SocketEvents(self._server.sockets[0].fileno())
        empty_turns = 0 if queue.pending() else empty_turns + 1
        if turns_left and empty_turns <= EMPTY_TURNS_TO_CLOSE:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.close_when_drained, closed, turns_left - 1, empty_turns)
            return
        self.close()
        closed()

    def close(self) -> None:
        """Close at once."""
        server, self._server = self._server, None
        if server is not None:
            server.close()

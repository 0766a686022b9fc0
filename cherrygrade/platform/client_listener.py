"""The listening socket for clients; it is closed without resetting clients that are being accepted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cherrygrade.platform.socket_events import SocketEvents
from cherrygrade.transport.listening import listen
from cherrygrade.transport.socket_memory import SocketBuffers

BACKLOG = 512
ACCEPTS_PER_ITERATION = 16
# Event-loop iterations in which connections queued by the kernel are still accepted before the socket closes.
MAX_CLOSING_ITERATIONS = 64
EMPTY_ITERATIONS_TO_CLOSE = 3  # iterations with an empty accept queue after which the socket closes


class ClientListener:
    """A listening socket that accepts clients until it is closed."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None

    @property
    def is_open(self) -> bool:
        """Whether the listening socket exists, so that clients may still connect."""
        return self._server is not None

    async def open(
        self, make_connection: Callable[[], asyncio.BaseProtocol], address: str, buffers: SocketBuffers
    ) -> int:
        """Listen for clients.

        Args:
            make_connection: Makes the protocol of each accepted connection.
            address: host:port.
            buffers: Limits on the kernel's memory of each accepted connection.

        Returns:
            The port that was bound.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await listen(make_connection, address, BACKLOG, ACCEPTS_PER_ITERATION, buffers)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close_when_drained(
        self,
        closed: Callable[[], None],
        iterations_left: int = MAX_CLOSING_ITERATIONS,
        empty_iterations: int = 0,
    ) -> None:
        """Close once the accept queue has stayed empty for some event-loop iterations, then call `closed`.

        A close resets connections that the kernel has accepted and this process has not, and asyncio drops
        those that it accepted in the iteration before. Both kinds are admitted first.

        Args:
            closed: Called after the close.
            iterations_left: Event-loop iterations after which the socket is closed in any case.
            empty_iterations: Consecutive iterations in which the accept queue was empty.
        """
        if self._server is None:
            return
        queue = SocketEvents(self._server.sockets[0].fileno())
        empty_iterations = 0 if queue.pending() else empty_iterations + 1
        if iterations_left and empty_iterations <= EMPTY_ITERATIONS_TO_CLOSE:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.close_when_drained, closed, iterations_left - 1, empty_iterations)
            return
        self.close()
        closed()

    def close(self) -> None:
        """Close the listening socket at once."""
        server, self._server = self._server, None
        if server is not None:
            server.close()

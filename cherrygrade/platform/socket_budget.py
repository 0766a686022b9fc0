"""The limits on sockets and memory that the connections to all nodes share."""

from __future__ import annotations

from typing import Protocol

from cherrygrade.http.reader import BodyBudget
from cherrygrade.platform.peer_memory import PeerMemory
from cherrygrade.transport.socket_memory import SocketBuffers


class ClosableConnection(Protocol):
    """A connection that holds one socket of a budget."""

    def close(self) -> None:
        """Close at once, and return the socket to its budget."""


class SocketBudget:
    """Limits the number of sockets that are open to nodes.

    If all are in use, the connection that has been idle for longest is closed for a new one.
    """

    def __init__(
        self,
        max_sockets: int,
        answer_budget: BodyBudget,
        peer_memory: PeerMemory,
        socket_buffers: SocketBuffers,
    ) -> None:
        """Create a budget of which no socket is in use.

        Args:
            max_sockets: The limit on sockets to all nodes together.
            answer_budget: The memory limit that long responses of all nodes share.
            peer_memory: The memory limit that all connections share.
            socket_buffers: Limits on the kernel's memory of each connection.
        """
        self.max_sockets = max_sockets
        self.answer_budget = answer_budget
        self.peer_memory = peer_memory
        self.socket_buffers = socket_buffers
        self.used = 0
        """Sockets that were taken and not released; at most `max_sockets`, unless that is lowered."""
        self.idle: dict[ClosableConnection, None] = {}
        """Connections without an attempt, longest idle first; removed when they are used or closed."""

    def try_take(self) -> bool:
        """Take a socket for a new connection, closing an idle connection if necessary.

        Returns:
            False if all sockets are in use by connections that are not idle.
        """
        if self.used >= self.max_sockets and self.idle:
            next(iter(self.idle)).close()
        if self.used >= self.max_sockets:
            return False
        self.used += 1
        return True

    def release_socket(self, connection: ClosableConnection) -> None:
        """Return the socket of a closed connection."""
        self.used -= 1
        self.idle.pop(connection, None)

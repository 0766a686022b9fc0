"""The sockets and the memory that the connections to all nodes share."""

from __future__ import annotations

from typing import Protocol

from cherrygrade.http.reader import BodyBudget


class ClosableConnection(Protocol):
    """A connection that holds one socket of a budget."""

    def close(self) -> None:
        """Close at once, and return the socket to its budget."""


class SocketBudget:
    """Limits the sockets open to nodes.

    When all are used, the connection that is idle for longest is closed for a new one.
    """

    def __init__(self, max_sockets: int, answer_budget: BodyBudget) -> None:
        """Args: `answer_budget`: memory that long responses of all nodes share."""
        self.max_sockets = max_sockets
        self.answer_budget = answer_budget
        self.used = 0
        """Sockets taken and not returned; at most `max_sockets` unless that was lowered."""
        self.idle: dict[ClosableConnection, None] = {}
        """Connections that carry nothing, longest idle first; removed when they are used or closed."""

    def take(self) -> bool:
        """Whether there is a socket for a new connection; it is taken then."""
        if self.used >= self.max_sockets and self.idle:
            next(iter(self.idle)).close()
        if self.used >= self.max_sockets:
            return False
        self.used += 1
        return True

    def give_back(self, connection: ClosableConnection) -> None:
        """A connection is closed: its socket is free."""
        self.used -= 1
        self.idle.pop(connection, None)

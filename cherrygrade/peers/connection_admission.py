"""Admission of connections whose peer has not identified itself. Uses no I/O, clock or random source."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class ConnectionAdmission(Generic[T]):
    """Limits all connections, and those that have not identified themselves.

    Unidentified connections get at most `max_unidentified` of all places. Beyond that the oldest of them is
    closed for each new connection, so that a crowd of clients that send nothing can't lock out other clients.
    """

    def __init__(self, max_connections: int, max_unidentified: int) -> None:
        """Set the limits.

        Args:
            max_connections: Maximum number of connections.
            max_unidentified: Maximum number of connections whose peer has not identified itself.
        """
        self.max_connections, self.max_unidentified = max_connections, max_unidentified
        # Oldest first; an entry is removed when its connection identifies itself, is displaced or closes.
        self._unidentified: dict[T, None] = {}

    def admit(self, connection: T, open_count: int) -> tuple[bool, T | None]:
        """Decide on a new connection.

        Args:
            connection: The new connection.
            open_count: Number of other open connections, identified or not.

        Returns:
            Whether the connection is admitted, and the connection that has to be closed for it, if any.
        """
        displaced = None
        if self._unidentified and (
            open_count >= self.max_connections or len(self._unidentified) >= self.max_unidentified
        ):
            displaced = next(iter(self._unidentified))
            del self._unidentified[displaced]
        if open_count - (displaced is not None) >= self.max_connections:
            return False, displaced
        self._unidentified[connection] = None
        return True, displaced

    def mark_identified(self, connection: T) -> None:
        """Stop counting the connection as unidentified: its peer identified itself, or it was closed."""
        self._unidentified.pop(connection, None)

"""Connections that have not said who they are. Free of I/O, clock and chance."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class ConnectionAdmission(Generic[T]):
    """Silent ones hold at most a part of all places: the oldest goes when another comes, so that a crowd that
    never speaks shuts nobody out. Emptied by hellos and ends."""

    def __init__(self, max_connections: int, max_unidentified: int) -> None:
        self.max_connections, self.max_unidentified = max_connections, max_unidentified
        self._silent: dict[T, None] = {}

    def admit(self, one: T, others: int) -> tuple[bool, T | None]:
        """Whether there is a place beside so many others, and who has to go for it."""
        goes = None
        if self._silent and (others >= self.max_connections or len(self._silent) >= self.max_unidentified):
            goes = next(iter(self._silent))
            del self._silent[goes]
        if others - (goes is not None) >= self.max_connections:
            return False, goes
        self._silent[one] = None
        return True, goes

    def mark_identified(self, one: T) -> None:
        self._silent.pop(one, None)

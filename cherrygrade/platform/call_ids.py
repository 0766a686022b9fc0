"""Remembers the ids of requests that were sent to a node; free of I/O and clock.

Clients give each request a fresh id. A request with an id that a node may have run already, be it that its
client has left, would take effect twice, so it is refused.
"""

from __future__ import annotations


class SentCallIds:
    """The ids of the requests sent last."""

    def __init__(self, max_ids: int) -> None:
        """Create an empty memory.

        Args:
            max_ids: Number of ids that are remembered; beyond it the oldest is forgotten.
        """
        self.max_ids = max_ids
        self._ids: dict[bytes, None] = {}

    def __contains__(self, call_id: bytes) -> bool:
        """Whether a request with this id was sent."""
        return call_id in self._ids

    def add(self, call_id: bytes) -> None:
        """Remember the id of a request that is sent."""
        self._ids.pop(call_id, None)
        self._ids[call_id] = None
        if len(self._ids) > self.max_ids:
            del self._ids[next(iter(self._ids))]

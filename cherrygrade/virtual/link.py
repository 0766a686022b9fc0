"""One direction of a connection as numbers: what waits at the writer, what is under way, what lies unread.

Free of I/O, clock and chance: times and delays are told. Bytes arrive in their order, whatever each piece
was delayed by; between connections there is no order.
"""

from __future__ import annotations

from collections import deque

PIECE = 64 * 1024  # most bytes that travel as one


class Link:
    """`room` bytes may be under way or unread; the rest waits at the writer. Emptied by reading."""

    def __init__(self, bytes_per_ms: float, capacity_bytes: int) -> None:
        self.bytes_per_ms, self.capacity_bytes = bytes_per_ms, capacity_bytes
        self.waiting_bytes = 0  # bytes that the network has not taken
        self.unread_bytes = 0  # taken, and not read yet
        self._pending: deque[memoryview] = deque()
        self._free_at = self._last = 0.0

    def write(self, some: bytes) -> None:
        if some:
            self._pending.append(memoryview(some))
            self.waiting_bytes += len(some)

    def next_piece(self, now: float, delay_ms: float) -> tuple[float, memoryview] | None:
        """The next piece and when it arrives; None while there is no room or nothing to send."""
        if not self._pending or self.unread_bytes >= self.capacity_bytes:
            return None
        first = self._pending[0]
        size = min(len(first), PIECE, self.capacity_bytes - self.unread_bytes)
        piece = first[:size]
        if size == len(first):
            self._pending.popleft()
        else:
            self._pending[0] = first[size:]
        self.waiting_bytes -= size
        self.unread_bytes += size
        self._free_at = max(self._free_at, now) + size / self.bytes_per_ms
        return self.arrival(self._free_at, delay_ms), piece

    def arrival(self, now: float, delay_ms: float) -> float:
        """When something arrives that leaves now, behind all that left before."""
        self._last = max(self._last, now + delay_ms)
        return self._last

    def read(self, size: int) -> None:
        """The reader took so many bytes: there is room for as many."""
        self.unread_bytes -= size

    def drop(self) -> None:
        """What was not taken yet never leaves."""
        self._pending.clear()
        self.waiting_bytes = 0

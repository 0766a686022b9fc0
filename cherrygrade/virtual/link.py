"""One direction of a simulated connection: bytes that wait at the writer, are in transit, or are unread.

This module does no I/O, reads no clock and draws no random numbers: times and delays are passed in. Bytes
arrive in the order in which they were written, whatever the delay of each piece. Different connections are
not ordered with respect to each other.
"""

from __future__ import annotations

from collections import deque

MAX_PIECE_BYTES = 64 * 1024
"""Size of the largest piece that is transferred at once."""


class Link:
    """A byte stream with limited bandwidth and a limited number of bytes that are in transit or unread.

    Attributes:
        bytes_per_ms: Bandwidth.
        capacity_bytes: Number of bytes that may be in transit or unread; further ones wait at the writer.
        waiting_bytes: Number of bytes that wait at the writer.
        unread_bytes: Number of bytes that are in transit, or arrived and were not read yet.
    """

    def __init__(self, bytes_per_ms: float, capacity_bytes: int) -> None:
        self.bytes_per_ms, self.capacity_bytes = bytes_per_ms, capacity_bytes
        self.waiting_bytes = 0
        self.unread_bytes = 0
        self._waiting: deque[memoryview] = deque()
        self._free_at_ms = self._last_arrival_ms = 0.0

    def write(self, data: bytes) -> None:
        """Append bytes to those that wait at the writer."""
        if data:
            self._waiting.append(memoryview(data))
            self.waiting_bytes += len(data)

    def next_piece(self, now_ms: float, delay_ms: float) -> tuple[float, memoryview] | None:
        """Put the next piece in transit.

        Returns:
            The time at which the piece arrives, ms, and the piece; None if the link is full or nothing waits.
        """
        if not self._waiting or self.unread_bytes >= self.capacity_bytes:
            return None
        first = self._waiting[0]
        size = min(len(first), MAX_PIECE_BYTES, self.capacity_bytes - self.unread_bytes)
        piece = first[:size]
        if size == len(first):
            self._waiting.popleft()
        else:
            self._waiting[0] = first[size:]
        self.waiting_bytes -= size
        self.unread_bytes += size
        self._free_at_ms = max(self._free_at_ms, now_ms) + size / self.bytes_per_ms
        return self.arrival(self._free_at_ms, delay_ms), piece

    def arrival(self, now_ms: float, delay_ms: float) -> float:
        """Return when something that is sent now arrives, ms: not before anything that was sent earlier."""
        self._last_arrival_ms = max(self._last_arrival_ms, now_ms + delay_ms)
        return self._last_arrival_ms

    def read(self, size: int) -> None:
        """Free the capacity of `size` bytes, which the reader has read."""
        self.unread_bytes -= size

    def drop(self) -> None:
        """Discard the bytes that wait at the writer."""
        self._waiting.clear()
        self.waiting_bytes = 0

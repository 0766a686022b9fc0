"""Backoff between connects, spread so that clients that lose one peer together do not reconnect together.

Free of I/O, clock and random source: the spread comes from a hash of a seed and a counter.
"""

from __future__ import annotations

from zlib import crc32


class Backoff:
    """Waits that double from `first_ms` to `max_ms`, each multiplied by a factor of 0.25 to 1.

    Guards against a storm of connects when a rack returns. The failures are forgotten only after a connection
    has lasted `max_ms`, so a peer that accepts and drops each connection does not shorten the waits.

    Attributes:
        losses: failures counted since they were last forgotten.
    """

    def __init__(self, seed: str, first_ms: float = 20.0, max_ms: float = 1000.0) -> None:
        """`seed`: should differ between clients of one peer."""
        self.first_ms, self.max_ms = first_ms, max_ms
        self.losses = 0
        self._seed, self._count = seed, 0
        self._connected_at_ms: float | None = None

    def record_failure(self, now: float) -> float:
        """Count a failed connect or a lost connection; return the time (ms) of the next permitted connect."""
        if self._connected_at_ms is not None and now - self._connected_at_ms >= self.max_ms:
            self.losses = 0
        self._connected_at_ms = None
        self.losses += 1
        self._count += 1
        fraction = crc32(f"{self._seed}:{self._count}".encode()) / 2.0**32
        wait_ms = min(self.max_ms, self.first_ms * 2.0 ** min(self.losses - 1, 16))
        return now + wait_ms * (0.25 + 0.75 * fraction)

    def record_connected(self, now: float) -> None:
        """Record that a connection is established at `now`, ms."""
        self._connected_at_ms = now

"""How long to wait before connecting again, so that many who lost the same peer do not come back as one.

Free of I/O, clock and chance: what varies comes from a seed and a counter.
"""

from __future__ import annotations

from zlib import crc32


class Backoff:
    """Waits that double from `first` to `most` ms, each spread over its whole length by the seed.

    Guards against a storm of connects when a rack returns. `calm` forgets the losses once a connection
    has stood for as long as the longest wait: a peer that greets and drops does not bring the waits down.
    """

    def __init__(self, seed: str, first_ms: float = 20.0, max_ms: float = 1000.0) -> None:
        self.first_ms, self.max_ms = first_ms, max_ms
        self.losses = 0
        self._seed, self._count = seed, 0
        self._stood_from: float | None = None

    def record_failure(self, now: float) -> float:
        """A connect came to nothing or a connection was lost: gives when the next may be tried."""
        if self._stood_from is not None and now - self._stood_from >= self.max_ms:
            self.losses = 0
        self._stood_from = None
        self.losses += 1
        self._count += 1
        chance = crc32(f"{self._seed}:{self._count}".encode()) / 2.0**32
        longest = min(self.max_ms, self.first_ms * 2.0 ** min(self.losses - 1, 16))
        return now + longest * (0.25 + 0.75 * chance)

    def record_connected(self, now: float) -> None:
        """A connection stands."""
        self._stood_from = now

"""Decides whether a small request waits for others that it could be coalesced with. Uses no I/O or clock.

The decision is learned per extent from two measurements: how often an adjacent request followed within the
waiting time, whether or not one did wait, and how often waiting led to a coalesced attempt. Requests of the
same extent that are not adjacent don't count, because they can't share an attempt. The waiting time is a
configured fraction of the time until the latency objective, never more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SMOOTHING = 0.2
"""Weight of each new sample in a moving average."""
RARE_ADJACENCY = 0.1
"""If adjacent requests are rarer than this, they are looked for during 32 ms of every 512 ms only."""
MIN_ADJACENCY = 0.5
"""A request waits only if adjacent ones have followed more often than this."""
MIN_SUCCESS = 0.3
"""Waiting stops if fewer waits than this fraction led to a coalesced attempt."""
RECENT_REQUESTS = 8
"""Number of previous requests of an extent that a new one is compared with."""
BACKOFF_MS = 1000.0
"""Waiting is tried again after this time. The time doubles whenever waiting fails again."""
MAX_BACKOFF_MS = 60_000.0


@dataclass(slots=True)
class _ExtentStats:
    """What was measured of one extent.

    Attributes:
        recent: Arrival time, ms, start and end of the last requests, oldest first.
        adjacency: Fraction of the requests that arrived within the waiting time after an adjacent one.
        success: Fraction of the waits that led to a coalesced attempt.
        backoff_ms: Length of the next backoff, ms.
        wait_from_ms: No request waits before this time, ms.
    """

    recent: deque[tuple[float, int, int]]
    adjacency: float = 0.0
    success: float = 1.0
    backoff_ms: float = BACKOFF_MS
    wait_from_ms: float = 0.0


class CoalescingPredictor:
    """Predicts by extent whether an adjacent request follows soon.

    Attributes:
        max_wait_fraction: Fraction of the time until the latency objective that a request may wait.
        max_extents: Maximum number of extents that statistics are kept of. Beyond it the half that had no
            request for longest is dropped.
    """

    def __init__(self, max_wait_fraction: float, max_extents: int = 4096) -> None:
        """Args: `max_wait_fraction`: of the time until the objective; `max_extents`: bound on memory."""
        self.max_wait_fraction, self.max_extents = max_wait_fraction, max_extents
        self._stats: dict[tuple[str, int], _ExtentStats] = {}
        self._adjacent: set[tuple[str, int]] = set()  # extents where adjacent requests are not rare

    def wait_ms(self, volume: str, extent: int, start: int, end: int, now: float, slack_ms: float) -> float:
        """Return how long a request on a part of an extent may wait for others.

        Args:
            volume: Name of the volume.
            extent: Number of the extent.
            start: First byte of the request, within the extent.
            end: End of the request, exclusive, within the extent.
            now: The time, ms.
            slack_ms: Time until the latency objective, ms.

        Returns:
            The waiting time, ms; 0 if no adjacent request is expected.
        """
        samples_all = not int(now) & 480
        if not (samples_all or self._adjacent) and self._stats:
            return 0.0  # fast path: adjacent requests are rare in all extents
        key = (volume, extent)
        stats = self._stats.get(key)
        if stats is not None and not (samples_all or key in self._adjacent):
            return 0.0
        max_wait = max(0.0, slack_ms * self.max_wait_fraction)
        if stats is None:
            if len(self._stats) >= self.max_extents:
                oldest_first = sorted(self._stats, key=lambda old: self._stats[old].recent[-1][0])
                for old in oldest_first[: max(1, self.max_extents // 2)]:
                    del self._stats[old]
                    self._adjacent.discard(old)
            self._stats[key] = _ExtentStats(deque([(now, start, end)], RECENT_REQUESTS))
            return 0.0
        is_adjacent, since = False, now - max_wait
        for arrived, first, last in reversed(stats.recent):
            if arrived < since:
                break
            if first <= end and start <= last:
                is_adjacent = True
                break
        stats.adjacency += SMOOTHING * (is_adjacent - stats.adjacency)
        (self._adjacent.add if stats.adjacency >= RARE_ADJACENCY else self._adjacent.discard)(key)
        stats.recent.append((now, start, end))
        return max_wait if stats.adjacency > MIN_ADJACENCY and now >= stats.wait_from_ms else 0.0

    def record_wait(self, volume: str, extent: int, now: float, adjacent_count: int) -> None:
        """Account for a wait that is over.

        Args:
            volume: Name of the volume.
            extent: Number of the extent.
            now: The time, ms.
            adjacent_count: Number of waiting requests that could be coalesced; 1 if there were none beside
                the first.
        """
        stats = self._stats.get((volume, extent))
        if stats is None:
            return
        stats.success += SMOOTHING * ((adjacent_count > 1) - stats.success)
        if stats.success < MIN_SUCCESS:
            stats.wait_from_ms, stats.backoff_ms = (
                now + stats.backoff_ms,
                min(MAX_BACKOFF_MS, stats.backoff_ms * 2.0),
            )
            stats.success = MIN_ADJACENCY  # close to `MIN_SUCCESS`, so that the next trial is a short one
        elif stats.success > 0.9:
            stats.backoff_ms = BACKOFF_MS

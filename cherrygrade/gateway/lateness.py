"""How late this process's own clockwork was of late, kept back from each client's time.

An RPC that is given up on is answered by a timer: on a machine whose cores are all taken timers ring late,
and a margin for the answer's way alone would let the client's time run out unanswered. What was seen in the
last SPAN_MS at most is kept back, and never more than half of what the client gives.

Free of I/O and clock.
"""

from __future__ import annotations

SPAN_MS = 5000.0
GRAIN_MS = 5.0  # any timer may be so late
MOST_MS = 1000.0  # a longer stand is no clockwork any more: it would reject all that comes for seconds


class Lateness:
    """The worst of this span and of the one before."""

    def __init__(self, now: float) -> None:
        self._now, self._before, self._ends = 0.0, 0.0, now + SPAN_MS

    def record(self, late_ms: float, now: float) -> None:
        """A timer rang so much after its time."""
        self._turn(now)
        if late_ms > GRAIN_MS:
            self._now = max(self._now, min(late_ms, MOST_MS))

    def margin_ms(self, left_ms: float, now: float) -> float:
        """What to keep back of a client's time, beside the answer's way."""
        self._turn(now)
        return min(max(self._now, self._before), max(0.0, left_ms) / 2.0)

    def _turn(self, now: float) -> None:
        if now >= self._ends:
            fresh = now < self._ends + SPAN_MS
            self._before, self._now = self._now if fresh else 0.0, 0.0
            self._ends = now + SPAN_MS

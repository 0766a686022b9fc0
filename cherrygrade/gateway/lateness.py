"""Reserves part of each client's time for timers of this process that fire late.

An RPC that times out is answered by a timer. On a machine whose cores are all busy timers fire late, and a
margin for sending the answer alone would let the client's deadline pass without an answer. The worst lateness
of the last one or two spans is reserved, but never more than half of the client's time.

Free of I/O and clock.
"""

from __future__ import annotations

SPAN_MS = 5000.0
MIN_LATE_MS = 5.0  # timers may always be this late
MAX_LATE_MS = 1000.0  # a longer stop is an exception: reserving it would reject all RPCs for seconds


class Lateness:
    """The worst lateness of timers in the current span and in the one before."""

    def __init__(self, now: float) -> None:
        """`now`: start of the first span, ms."""
        self._worst_ms, self._previous_worst_ms, self._span_ends_ms = 0.0, 0.0, now + SPAN_MS

    def record(self, late_ms: float, now: float) -> None:
        """Record that a timer fired `late_ms` after its time."""
        self._advance(now)
        if late_ms > MIN_LATE_MS:
            self._worst_ms = max(self._worst_ms, min(late_ms, MAX_LATE_MS))

    def margin_ms(self, remaining_ms: float, now: float) -> float:
        """Return how much of a client's remaining time to reserve for late timers, ms."""
        self._advance(now)
        return min(max(self._worst_ms, self._previous_worst_ms), max(0.0, remaining_ms) / 2.0)

    def _advance(self, now: float) -> None:
        """Begin a new span if the current one has ended."""
        if now >= self._span_ends_ms:
            is_adjacent = now < self._span_ends_ms + SPAN_MS
            self._previous_worst_ms, self._worst_ms = self._worst_ms if is_adjacent else 0.0, 0.0
            self._span_ends_ms = now + SPAN_MS

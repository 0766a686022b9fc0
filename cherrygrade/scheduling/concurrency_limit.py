"""Limits the attempts in flight at one node by additive increase and multiplicative decrease (Cake, 5.2).

The window follows the waiting time at the node relative to the latency objective. It grows only if all of its
slots were used, since otherwise it would grow without any evidence that the node can take more.
"""

from __future__ import annotations

MIN_WINDOW = 1.0
"""Smallest window, slots. Many dispatchers share a node, so each of them keeps only one slot."""

INITIAL_WINDOW = 2.0
"""Window before the first adjustment, slots."""

MAX_WINDOW = 72.0
"""Largest window, slots."""

DECREASE_FACTOR = 0.75
"""Factor by which the window shrinks when attempts wait too long at the node."""

LOW_RELATIVE_WAIT = 0.05
"""Mean wait at the node, over the latency objective, below which the window grows."""

HIGH_RELATIVE_WAIT = 0.12
"""Mean wait at the node, over the latency objective, above which the window shrinks."""

MAX_RELATIVE_WAIT = 1.0
"""Longer waits count as this, so that a single one cannot dominate the mean."""


class ConcurrencyLimit:
    """The window of one node.

    Attributes:
        window: size in slots, between MIN_WINDOW and MAX_WINDOW; it is rounded down to complete slots.
        was_filled: whether all slots were in use at some time since the last adjustment.
        relative_waits: wait at the node over the latency objective, 0 to 1, of each answer since the last
            adjustment.
    """

    def __init__(self) -> None:
        self.window = INITIAL_WINDOW
        self.was_filled = False
        self.relative_waits: list[float] = []

    def record_wait(self, relative_wait: float) -> None:
        """Record how long an attempt waited at the node, as a fraction of its latency objective."""
        self.relative_waits.append(min(MAX_RELATIVE_WAIT, relative_wait))

    def adjust(self) -> None:
        """Grow or shrink the window by the waits recorded since the last adjustment."""
        waits = self.relative_waits
        mean = sum(waits) / len(waits) if waits else LOW_RELATIVE_WAIT
        if mean > HIGH_RELATIVE_WAIT:
            window = self.window * DECREASE_FACTOR
        elif mean < LOW_RELATIVE_WAIT and self.was_filled:
            window = self.window + 1.0
        else:
            window = self.window
        self.window = max(MIN_WINDOW, min(MAX_WINDOW, window))
        self.relative_waits = []

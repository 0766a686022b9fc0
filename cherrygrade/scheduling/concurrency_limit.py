"""Bound on the attempts in flight at one node, by additive increase and multiplicative decrease (Cake, 5.2).

It follows the waiting at the node as a part of the latency objective, and grows only when it was filled, so
that it cannot drift up unused.
"""

from __future__ import annotations

MIN_WINDOW = 1.0
"""Slots; many dispatchers share a node, so the floor is one slot each."""

INITIAL_WINDOW = 2.0
MAX_WINDOW = 72.0
DECREASE = 0.75
LOW_WAITING = 0.05
HIGH_WAITING = 0.12
"""Waiting at the node, as a part of the latency objective: grows below the one, shrinks above the other."""

MAX_RELATIVE_WAIT = 1.0


class ConcurrencyLimit:
    """The window of one node.

    Attributes:
        window: slots, between MIN_WINDOW and MAX_WINDOW; its whole part counts.
        was_filled: whether all slots were used since the last adjustment.
        relative_waits: waiting over latency objective of the answers since the last adjustment, 0 to 1.
    """

    def __init__(self) -> None:
        self.window = INITIAL_WINDOW
        self.was_filled = False
        self.relative_waits: list[float] = []

    def record_wait(self, relative_wait: float) -> None:
        """An answer waited so long at the node, as a part of its latency objective."""
        self.relative_waits.append(min(MAX_RELATIVE_WAIT, relative_wait))

    def adjust(self) -> None:
        """One step, from the answers since the one before."""
        waits = self.relative_waits
        mean = sum(waits) / len(waits) if waits else LOW_WAITING
        if mean > HIGH_WAITING:
            wanted = self.window * DECREASE
        elif mean < LOW_WAITING and self.was_filled:
            wanted = self.window + 1.0
        else:
            wanted = self.window
        self.window = max(MIN_WINDOW, min(MAX_WINDOW, wanted))
        self.relative_waits = []

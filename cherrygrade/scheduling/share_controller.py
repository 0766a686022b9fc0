"""Share and reserved slots of a node's pressed queue, by normalized tail latency (Cake, Algorithm 1).

A latency is normalized by its objective: 1 meets it exactly. Where the 99th percentile misses the objective,
share moves to the pressed side, and once it has nearly all, slots are reserved for it; where the percentile
leaves room to spare, the reverse.
"""

from __future__ import annotations

from collections import deque

LATENCY_WINDOW_MS = 2000.0
"""Latencies that the percentile is taken over."""

MAX_LATENCIES = 512
PERCENTILE = 0.99
INITIAL_SHARE = 0.5
MAX_STEP = 0.1
"""Largest part of the share that one step moves."""

FULL_SHARE = 0.99
NO_SHARE = 0.01
MEETS = 1.0
MEETS_EASILY = 1.2
"""Performance, the reciprocal of the normalized latency, below and above which the controller acts."""

MIN_LATENCY = 1e-6


class ShareController:
    """The controller of one node.

    Attributes:
        share: part of the node's work that goes to the pressed queue, 0 to 1.
        reserved_slots: slots that the batch queue may not take.
        latencies: time and normalized latency of pressed requests, newest last.
        contended: whether both queues waited since the last step.
    """

    def __init__(self) -> None:
        self.share = INITIAL_SHARE
        self.reserved_slots = 0
        self.latencies: deque[tuple[float, float]] = deque(maxlen=MAX_LATENCIES)
        self.contended = False

    def record(self, now: float, normalized_latency: float) -> None:
        """A pressed request ended, or was given up, after so long."""
        self.latencies.append((now, normalized_latency))

    def step(self, now: float, slots: int, waiting_latency: float | None, batch_waits: bool) -> None:
        """One step of the controller.

        Args:
            now: the time that the step belongs to, ms.
            slots: the node's slots.
            waiting_latency: normalized latency so far of the first pressed request that waits; None where
                none waits.
            batch_waits: whether a batch request waits.
        """
        observed = sorted(latency for at, latency in self.latencies if at >= now - LATENCY_WINDOW_MS)
        if waiting_latency is not None:
            observed.append(waiting_latency)
        contended = self.contended or batch_waits
        self.contended = False
        if not observed or not contended:  # share decides nothing on a node where batch did not wait
            return
        tail = observed[int(PERCENTILE * (len(observed) - 1) + 0.5)]
        performance = 1.0 / max(tail, observed[-1] if waiting_latency is not None else 0.0, MIN_LATENCY)
        self._move(performance, slots - self.reserved_slots)

    def _move(self, performance: float, shared_slots: int) -> None:
        target = min(self.share / performance, 1.0)
        moved = min(abs(self.share - target), self.share * MAX_STEP)
        if performance < MEETS and self.share > FULL_SHARE and shared_slots > 1:
            self.share -= 1.0 / shared_slots
            self.reserved_slots += 1
        elif performance < MEETS:
            self.share = min(1.0, self.share + moved)
        elif performance > MEETS_EASILY and self.share < NO_SHARE and self.reserved_slots:
            self.share = min(1.0, self.share + 1.0 / (shared_slots + 1))
            self.reserved_slots -= 1
        elif performance > MEETS_EASILY:
            self.share -= moved

    def fit_reserved_slots(self, window_slots: int) -> None:
        """A reserved slot that the window has shrunk onto comes back as full share."""
        if self.reserved_slots >= window_slots:
            self.reserved_slots = window_slots - 1
            self.share = 1.0

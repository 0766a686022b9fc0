"""Controls the share and the reserved slots of a node's pressed queue by tail latency (Cake, Algorithm 1).

Latencies are normalized by their objective: 1 meets it exactly. While the 99th percentile misses the
objective, the share of the pressed queue grows, and once the share is nearly complete, slots are reserved for
it. While the percentile is well below the objective, both are taken back in reverse order.
"""

from __future__ import annotations

from collections import deque

LATENCY_WINDOW_MS = 2000.0
"""Time over which latencies count for the percentile."""

MAX_LATENCIES = 512
"""Number of the newest latencies that are stored."""

PERCENTILE = 0.99
"""Percentile of the normalized latencies that is controlled, 0 to 1."""

INITIAL_SHARE = 0.5
"""Share of the pressed queue before the first step, 0 to 1."""

MAX_RELATIVE_STEP = 0.1
"""Largest fraction of the share that one step changes."""

FULL_SHARE = 0.99
"""Above this share, slots are reserved instead of raising the share further."""

NO_SHARE = 0.01
"""Below this share, reserved slots are returned instead of lowering the share further."""

MIN_PERFORMANCE = 1.0
"""Performance, the reciprocal of the normalized latency, below which the pressed queue gets more."""

EASY_PERFORMANCE = 1.2
"""Performance above which the pressed queue gets less."""

MIN_LATENCY = 1e-6
"""Smallest normalized latency, as a divisor."""


class ShareController:
    """The controller of one node.

    Attributes:
        share: fraction of the node's work that goes to the pressed queue, 0 to 1.
        reserved_slots: number of slots that the batch queue may not take.
        latencies: time (ms) and normalized latency of pressed requests, newest last.
        contended: whether requests waited in both queues at some time since the last step.
    """

    def __init__(self) -> None:
        self.share = INITIAL_SHARE
        self.reserved_slots = 0
        self.latencies: deque[tuple[float, float]] = deque(maxlen=MAX_LATENCIES)
        self.contended = False

    def record(self, now: float, normalized_latency: float) -> None:
        """Record the normalized latency of a pressed request that ended or was rejected early."""
        self.latencies.append((now, normalized_latency))

    def step(self, now: float, slots: int, waiting_latency: float | None, batch_waits: bool) -> None:
        """Adjust the share and the reserved slots.

        Args:
            now: the scheduled time of the step, ms.
            slots: number of slots of the node.
            waiting_latency: time since arrival, normalized, of the first waiting pressed request; None if
                none waits.
            batch_waits: whether a batch request waits.
        """
        observed = sorted(latency for at, latency in self.latencies if at >= now - LATENCY_WINDOW_MS)
        if waiting_latency is not None:
            observed.append(waiting_latency)
        contended = self.contended or batch_waits
        self.contended = False
        if not observed or not contended:  # without waiting batch requests the share has no effect
            return
        tail = observed[int(PERCENTILE * (len(observed) - 1) + 0.5)]
        performance = 1.0 / max(tail, observed[-1] if waiting_latency is not None else 0.0, MIN_LATENCY)
        self._move(performance, slots - self.reserved_slots)

    def _move(self, performance: float, shared_slots: int) -> None:
        target = min(self.share / performance, 1.0)
        change = min(abs(self.share - target), self.share * MAX_RELATIVE_STEP)
        if performance < MIN_PERFORMANCE and self.share > FULL_SHARE and shared_slots > 1:
            self.share -= 1.0 / shared_slots
            self.reserved_slots += 1
        elif performance < MIN_PERFORMANCE:
            self.share = min(1.0, self.share + change)
        elif performance > EASY_PERFORMANCE and self.share < NO_SHARE and self.reserved_slots:
            self.share = min(1.0, self.share + 1.0 / (shared_slots + 1))
            self.reserved_slots -= 1
        elif performance > EASY_PERFORMANCE:
            self.share -= change

    def fit_reserved_slots(self, window_slots: int) -> None:
        """Keep a slot unreserved in a window that shrank; if that takes slots back, the share becomes 1."""
        if self.reserved_slots >= window_slots:
            self.reserved_slots = window_slots - 1
            self.share = 1.0

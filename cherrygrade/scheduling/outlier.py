"""Outlier detection: ejects a node after consecutive failures, and tracks the node's error rate.

A node that answered nothing while an attempt became overdue, or that could not be connected to, is ejected.
An ejected node gets single attempts as health checks, at growing intervals, until it answers. A reset does
not eject a node, since it may affect one connection only.
"""

from __future__ import annotations

MAX_HEALTH_CHECK_INTERVAL_MS = 4000.0
"""Longest interval between two health checks."""

MAX_DOUBLINGS = 6
"""Largest number of times that the interval between health checks doubles."""

ERROR_WEIGHT = 0.1
"""Weight of the newest answer in the error rate."""

MAX_ERROR_RATE = 0.3
"""No new object is placed on a node with a higher error rate than this, 0 to 1."""

BEFORE_ANY_START_MS = -1e12
"""A time before any node started: stands for a start that is not known."""


class NodeHealth:
    """The health of one node as this dispatcher observes it.

    Attributes:
        consecutive_failures: failures since the last answer; the node is ejected while this is above 0.
        next_health_check_ms: when an ejected node may get the next attempt, ms.
        first_failure_ms: when the first of the consecutive failures was recorded, ms.
        last_answer_ms: when the node last answered an attempt, with success or not, ms.
        error_rate: moving average of failed answers, 0 to 1.
        restarted_ms: when an answer showed that the node had been down, ms. The node may be warming up
            although the endpoint list does not show a new start yet.
    """

    def __init__(self, now: float) -> None:
        self.consecutive_failures = 0
        self.next_health_check_ms = 0.0
        self.first_failure_ms = 0.0
        self.last_answer_ms = now
        self.error_rate = 0.0
        self.restarted_ms = BEFORE_ANY_START_MS

    @property
    def is_ejected(self) -> bool:
        """Whether the node gets no attempts but health checks."""
        return self.consecutive_failures > 0

    @property
    def takes_new_objects(self) -> bool:
        """Whether new objects may be placed on the node."""
        return not self.consecutive_failures and self.error_rate <= MAX_ERROR_RATE

    def record_failure(self, now: float, first_interval_ms: float) -> None:
        """Record that the node is silent or unreachable, and schedule the next health check.

        Args:
            now: the time, ms.
            first_interval_ms: interval before a health check after the second failure. After the first one a
                health check may follow at once, and with each further one the interval about doubles.
        """
        if not self.consecutive_failures:
            self.first_failure_ms = now
        self.consecutive_failures += 1
        doublings = min(self.consecutive_failures - 1, MAX_DOUBLINGS)
        interval_ms = first_interval_ms * (2.0**doublings - 1.0)
        self.next_health_check_ms = now + min(interval_ms, MAX_HEALTH_CHECK_INTERVAL_MS)

    def record_answer(self, now: float, sent_ms: float, succeeded: bool) -> None:
        """Record an answer to an attempt that was sent at `sent_ms`; the node is no longer ejected."""
        # The node was down if it failed twice and the first answer is to an attempt sent after the first
        # failure. A node that was only slow answers earlier attempts first.
        if self.consecutive_failures > 1 and sent_ms > self.first_failure_ms:
            self.restarted_ms = now
        self.consecutive_failures = 0
        self.last_answer_ms = now
        self.error_rate += ERROR_WEIGHT * ((0.0 if succeeded else 1.0) - self.error_rate)

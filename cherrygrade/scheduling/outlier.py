"""Whether a node may be used: consecutive failures, ejection with single health checks, error rate.

A node that was silent through an overdue attempt, or that could not be connected to, is ejected: it gets one
attempt at a time, at growing intervals, until it answers. A reset may be the trouble of one connection only
and ejects nobody.
"""

from __future__ import annotations

MAX_HEALTH_CHECK_INTERVAL_MS = 4000.0
MAX_DOUBLINGS = 6
ERROR_WEIGHT = 0.1
"""Weight of the newest answer in the error rate."""

MAX_ERROR_RATE = 0.3
"""No new object is placed on a node that fails more of its answers than this."""

BEFORE_ANY_START_MS = -1e12


class NodeHealth:
    """What this dispatcher observed of one node.

    Attributes:
        consecutive_failures: failures since the last answer; more than 0: ejected.
        next_health_check_ms: before this an ejected node gets no attempt.
        first_failure_ms: when the present run of failures began.
        last_answer_ms: when the node last answered anything.
        error_rate: moving average over its answers, 0 to 1.
        restarted_ms: when an answer showed that it had been down, and may be warming up although no list
            says so yet.
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
        """Whether it gets health checks alone."""
        return self.consecutive_failures > 0

    @property
    def takes_new_objects(self) -> bool:
        """Whether new objects may be placed there."""
        return not self.consecutive_failures and self.error_rate <= MAX_ERROR_RATE

    def record_failure(self, now: float, patience_ms: float) -> None:
        """It is dead, silent or unreachable: the next health check is put off, each time for longer."""
        if not self.consecutive_failures:
            self.first_failure_ms = now
        self.consecutive_failures += 1
        doublings = min(self.consecutive_failures - 1, MAX_DOUBLINGS)
        wait_ms = patience_ms * (2.0**doublings - 1.0)
        self.next_health_check_ms = now + min(wait_ms, MAX_HEALTH_CHECK_INTERVAL_MS)

    def record_answer(self, now: float, sent_ms: float, succeeded: bool) -> None:
        """It answered an attempt that was sent then."""
        # After two failures nothing that was sent before came back: it was down.
        if self.consecutive_failures > 1 and sent_ms > self.first_failure_ms:
            self.restarted_ms = now
        self.consecutive_failures = 0
        self.last_answer_ms = now
        self.error_rate += ERROR_WEIGHT * ((0.0 if succeeded else 1.0) - self.error_rate)

"""Decides when a request may be retried: idempotency (rule 2) and the retry budget (rule 6).

Without rule 2 a request could take effect twice, or be rejected although it took effect. Without rule 6
retries would add to an overload.
"""

from __future__ import annotations

from collections import deque

from cherrygrade.scheduling.model import (
    Attempt,
    Idempotency,
    Node,
    Outcome,
    Request,
    RetryBudgetSettings,
    Workload,
)

SCOPE_EVERYWHERE = "all"
"""Deduplication scope: every node drops a repeat with the same idempotency key."""

SCOPE_ZONE = "zone"
"""Deduplication scope: the nodes in the zone of the first attempt drop a repeat."""

SCOPE_CELL = "cell"
"""Deduplication scope: the nodes that hold the shard of the first attempt drop a repeat."""


def workload_of(request: Request) -> Workload:
    """Return the workload of a request that was admitted, which always has one."""
    assert request.workload is not None
    return request.workload


def may_have_run(attempt: Attempt) -> bool:
    """Whether the node may have run the attempt, or may still run it."""
    return attempt.outcome is None or not attempt.outcome.never_ran


def may_reject(request: Request) -> bool:
    """Whether the request may be rejected: the client can then retry it without a second effect.

    It may if no node can have run an attempt, or if a repeat has no second effect on any node.
    """
    workload = workload_of(request)
    idempotency = workload.idempotency
    if idempotency is Idempotency.IDEMPOTENT:
        return True
    if idempotency is Idempotency.IDEMPOTENT_WITH_KEY and workload.deduplication_scope == SCOPE_EVERYWHERE:
        return True
    return not any(may_have_run(attempt) for attempt in request.attempts)


def may_run_again(request: Request, node: Node, now: float, this: Attempt | None = None) -> bool:
    """Whether an attempt at the node cannot take effect a second time (rule 2).

    Args:
        request: the request with all its attempts.
        node: the node that the attempt goes to.
        now: the time, ms.
        this: the attempt itself, if the request has it already; it is not counted among the earlier ones.
    """
    earlier = [attempt for attempt in request.attempts if attempt is not this and may_have_run(attempt)]
    if not earlier:
        return True
    workload = workload_of(request)
    if workload.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return workload.idempotency is Idempotency.IDEMPOTENT
    first = earlier[0]
    within_window = now < first.sent_ms + workload.deduplication_window_ms
    return within_window and _same_scope(workload.deduplication_scope, first.node, node)


def _same_scope(scope: str, first: Node, other: Node) -> bool:
    if scope == SCOPE_EVERYWHERE:
        return True
    if scope == SCOPE_ZONE:
        return first.zone == other.zone
    if scope == SCOPE_CELL:
        return first.shard == other.shard
    return False


def outcome_allows_retry(outcome: Outcome | None) -> bool:
    """Whether a retry can be in time: not after a time-out, which comes at the request's deadline."""
    return outcome is not Outcome.TIMED_OUT


MAX_COUNTED_ARRIVALS = 16_384
"""Arrivals in the window beyond these raise the budget no further, so that their times take little memory."""


class RetryBudget:
    """Limits the retries of this dispatcher, relative to the requests that arrive (rule 6).

    Attributes:
        settings: the budget; None: retries are not limited.
        arrivals_ms: times at which requests arrived in the window, oldest first.
        retries_ms: times at which retries started in the window, oldest first.
    """

    def __init__(self, settings: RetryBudgetSettings | None) -> None:
        self.settings = settings
        self.arrivals_ms: deque[float] = deque()
        self.retries_ms: deque[float] = deque()

    def forget_old(self, now: float) -> None:
        """Drop the arrivals and retries that are no longer in the window at `now` (ms)."""
        if self.settings is None:
            return
        window_start_ms = now - self.settings.window_ms
        for times in (self.arrivals_ms, self.retries_ms):
            while times and times[0] <= window_start_ms:
                times.popleft()

    def forget_all(self) -> None:
        """Drop all arrivals and retries, when a budget comes into force or is removed."""
        self.arrivals_ms.clear()
        self.retries_ms.clear()

    def record_arrival(self, now: float) -> None:
        """Count a request that arrived, which raises the budget by `retry_ratio` retries."""
        if self.settings is not None and len(self.arrivals_ms) < MAX_COUNTED_ARRIVALS:
            self.arrivals_ms.append(now)

    def record_attempt(self, request: Request, now: float) -> None:
        """Charge an attempt that starts, unless it is the first of its request."""
        if request.attempts and self.settings is not None:
            self.retries_ms.append(now)

    def allows(self, request: Request) -> bool:
        """Whether the budget allows the next attempt of the request."""
        settings = self.settings
        if settings is None or not request.attempts:
            return True
        allowed = settings.min_retries + settings.retry_ratio * len(self.arrivals_ms)
        return len(self.retries_ms) + 1 <= allowed

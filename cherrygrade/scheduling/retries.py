"""When a request may be attempted again: idempotency (rule 2) and the retry budget (rule 6).

Without rule 2 a request could take effect twice, or a rejection could be given for one that took effect.
Without rule 6 retries would feed an overload.
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

# Which nodes drop a repeat that carries an idempotency key.
SCOPE_EVERYWHERE = "all"
SCOPE_ZONE = "zone"
SCOPE_CELL = "cell"
"""Nodes that hold one shard."""


def workload_of(request: Request) -> Workload:
    """The workload of a request that was admitted."""
    assert request.workload is not None
    return request.workload


def may_have_run(attempt: Attempt) -> bool:
    """Whether an attempt ran, or may still run."""
    return attempt.outcome is None or not attempt.outcome.never_ran


def may_reject(request: Request) -> bool:
    """Whether the client may be told that trying again is harmless.

    It may where nothing of the request ran, or where a repeat has no second effect wherever it goes.
    """
    workload = workload_of(request)
    idempotency = workload.idempotency
    if idempotency is Idempotency.IDEMPOTENT:
        return True
    if idempotency is Idempotency.IDEMPOTENT_WITH_KEY and workload.deduplication_scope == SCOPE_EVERYWHERE:
        return True
    return not any(may_have_run(attempt) for attempt in request.attempts)


def may_run_again(request: Request, node: Node, now: float, this: Attempt | None = None) -> bool:
    """Whether an attempt at the node has no second effect, whatever those before it did (rule 2).

    Args:
        request: the request with all its attempts.
        node: where the attempt goes.
        now: the time, ms.
        this: the attempt that is about to leave, where it was decided on before; it does not count.
    """
    ran = [attempt for attempt in request.attempts if attempt is not this and may_have_run(attempt)]
    if not ran:
        return True
    workload = workload_of(request)
    if workload.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return workload.idempotency is Idempotency.IDEMPOTENT
    first = ran[0]
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
    """Whether a retry can be in time; an attempt times out at its request's deadline."""
    return outcome is not Outcome.TIMED_OUT


class RetryBudget:
    """Attempts beyond the first of a request that this dispatcher may make in a window (rule 6).

    Attributes:
        settings: the budget; None: no such rule.
        arrivals_ms: arrivals of requests in the window, oldest first.
        retries_ms: starts of retries in the window, oldest first.
    """

    def __init__(self, settings: RetryBudgetSettings | None) -> None:
        self.settings = settings
        self.arrivals_ms: deque[float] = deque()
        self.retries_ms: deque[float] = deque()

    def forget_old(self, now: float) -> None:
        """Drop what has left the window."""
        if self.settings is None:
            return
        ends_ms = now - self.settings.window_ms
        for times in (self.arrivals_ms, self.retries_ms):
            while times and times[0] <= ends_ms:
                times.popleft()

    def forget_all(self) -> None:
        """Begin anew: nothing was counted, or nothing is any more."""
        self.arrivals_ms.clear()
        self.retries_ms.clear()

    def record_arrival(self, now: float) -> None:
        """A request arrived: it earns its part of a retry."""
        if self.settings is not None:
            self.arrivals_ms.append(now)

    def record_attempt(self, request: Request, now: float) -> None:
        """An attempt starts; only those beyond the first are charged."""
        if request.attempts and self.settings is not None:
            self.retries_ms.append(now)

    def allows(self, request: Request) -> bool:
        """Whether the budget has room for the request's next attempt."""
        settings = self.settings
        if settings is None or not request.attempts:
            return True
        allowed = settings.min_retries + settings.retry_ratio * len(self.arrivals_ms)
        return len(self.retries_ms) + 1 <= allowed

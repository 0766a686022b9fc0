"""Early rejection: a request that can earn little or nothing any more is answered before its deadline.

A waiting request is rejected early in two cases: an attempt could no longer be answered before the client's
deadline, or the latency objective can no longer be met and a late answer earns too little to wait for. After
a failed attempt a request is rejected early unless a retry can still be in time.
"""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Attempt, NodeState
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.retries import may_run_again, outcome_allows_retry
from cherrygrade.scheduling.timing import GRID_MS
from cherrygrade.scheduling.utility import UtilityRules


class EarlyRejection:
    """Decides on waiting requests, and on requests whose attempt ended without a final answer.

    Attributes:
        settings: the settings in force.
        utility: decides whether a request is beyond its volume's quota.
    """

    def __init__(self, settings: EffectiveSettings, utility: UtilityRules, unplaced: NodeQueue) -> None:
        self.settings = settings
        self.utility = utility
        self._unplaced = unplaced

    def latest_objective_start_ms(self, queued: QueuedRequest, expected_ms: float) -> float:
        """Return the latest start, ms, with which an attempt of `expected_ms` meets the latency objective."""
        return queued.objective_at_ms - expected_ms

    def latest_start_ms(self, queued: QueuedRequest, expected_ms: float) -> float:
        """Return the latest start, ms, with which an attempt of `expected_ms` meets the client's deadline."""
        return queued.request.deadline_ms - max(expected_ms, GRID_MS)

    def node_is_lost(self, queued: QueuedRequest, queue: NodeQueue) -> bool:
        """Whether the node that the request waits at receives no more attempts.

        A new object in the queue of unplaced requests waits for any node, so it has lost none.
        """
        if queue.node.state is NodeState.LIVE:
            return False
        return queue is not self._unplaced or queued.request.shard >= 0

    def is_worthless_late(self, queued: QueuedRequest, queue: NodeQueue, node_is_lost: bool) -> bool:
        """Whether to reject the request once it misses its latency objective.

        Only a batch request inside its volume's quota, at a node that works, goes on waiting.
        """
        if node_is_lost or queue.health.is_ejected or queued.pressed:
            return True
        return self.utility.is_beyond_quota(queued)

    def may_retry(self, queued: QueuedRequest, attempt: Attempt, now: float) -> bool:
        """Whether a request whose attempt failed is queued for a retry.

        The request must have an attempt left, and the end of its latency objective must be ahead. The retry
        budget is checked later, when the attempt starts (`Admission.earliest_start_ms`).
        """
        request = queued.request
        if len(request.attempts) >= self.settings.policy.max_attempts:
            return False
        if now >= min(queued.objective_at_ms, request.deadline_ms - GRID_MS):
            return False
        return outcome_allows_retry(attempt.outcome) and may_run_again(request, attempt.node, now)

    def retry_after_ms(self) -> float:
        """Return the Retry-After of a rejection, ms; 0 where clients do not heed one."""
        return self.settings.policy.max_retry_after_ms

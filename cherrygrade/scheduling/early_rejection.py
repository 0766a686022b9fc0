"""When a request is given up: what can earn no more than little is answered at once.

A request that waits is given up when it comes too late for its client; and, once its latency objective cannot
be met any more, where late units earn nothing worth waiting for. After a failed attempt it is given up
unless a
retry may still be in time.
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
    """Decides on requests that wait, and on those whose attempt ended without an answer."""

    def __init__(self, settings: EffectiveSettings, utility: UtilityRules, unplaced: NodeQueue) -> None:
        self.settings = settings
        self.utility = utility
        self._unplaced = unplaced

    def latest_objective_start_ms(self, queued: QueuedRequest, expected_ms: float) -> float:
        """Until when an attempt that takes so long can meet the latency objective."""
        return queued.objective_at_ms - expected_ms

    def latest_start_ms(self, queued: QueuedRequest, expected_ms: float) -> float:
        """Until when an attempt that takes so long can be in time for the client."""
        return queued.request.deadline_ms - max(expected_ms, GRID_MS)

    def node_is_lost(self, queued: QueuedRequest, queue: NodeQueue) -> bool:
        """Whether its node gets nothing any more; new objects without a node only wait for one."""
        if queue.node.state is NodeState.LIVE:
            return False
        return queue is not self._unplaced or queued.request.shard >= 0

    def is_worthless_late(self, queued: QueuedRequest, queue: NodeQueue, node_is_lost: bool) -> bool:
        """Whether to give the request up once it misses its objective; batch inside its quota waits on."""
        if node_is_lost or queue.health.is_ejected or queued.pressed:
            return True
        return self.utility.is_beyond_quota(queued)

    def may_retry(self, queued: QueuedRequest, attempt: Attempt, now: float) -> bool:
        """Whether a request whose attempt failed is queued again, while it can still meet its objective.

        The retry budget is checked when the attempt starts (`Admission.earliest_start_ms`).
        """
        request = queued.request
        if len(request.attempts) >= self.settings.policy.max_attempts:
            return False
        if now >= min(queued.objective_at_ms, request.deadline_ms - GRID_MS):
            return False
        return outcome_allows_retry(attempt.outcome) and may_run_again(request, attempt.node, now)

    def retry_after_ms(self) -> float:
        """What a rejected client is told; 0 where no Retry-After is heeded."""
        return self.settings.policy.max_retry_after_ms

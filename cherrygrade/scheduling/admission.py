"""The one place that every attempt passes: the seven rules of the service.

The numbers are the rules' names, not the order of the checks.

1. One final answer, in time. 2. No effect twice. 3. Nothing to a node that is draining or gone. 4. All
dispatchers together never push a warming node over. 5. Keyed order. 6. The retry budget. 7. Limits of plans
over all dispatchers.
"""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import (
    ANY_SHARD,
    Attempt,
    Node,
    NodeState,
    PeerDirectory,
    Request,
    RetryBudgetSettings,
    SlowStartSettings,
)
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.ordering import KeyOrder
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.retries import RetryBudget, may_reject, may_run_again
from cherrygrade.scheduling.slow_start import SlowStartLimit
from cherrygrade.scheduling.timing import GRID_MS, NEVER_MS


class Admission:
    """Admits attempts.

    Attributes:
        settings: the settings in force.
        peers: the other dispatchers.
        slow_start: rule 4.
        order: rule 5.
        retry_budget: rule 6.
    """

    def __init__(
        self,
        settings: EffectiveSettings,
        number: int,
        peers: PeerDirectory,
        slow_start: SlowStartSettings,
        retry_budget: RetryBudgetSettings | None,
        key_rest_ms: float,
    ) -> None:
        self.settings = settings
        self.peers = peers
        self.slow_start = SlowStartLimit(slow_start, number, peers, settings.utility.mean_units)
        self.order = KeyOrder(key_rest_ms)
        self.retry_budget = RetryBudget(retry_budget)

    def start_round(self, now: float) -> None:
        """Forget what is over."""
        self.slow_start.start_round(now)
        self.retry_budget.forget_old(now)
        self.order.forget_old(now)

    def record_arrival(self, queued: QueuedRequest, now: float) -> None:
        """A request arrived."""
        self.retry_budget.record_arrival(now)
        self.order.add(queued)

    def record_attempt(self, queued: QueuedRequest, queue: NodeQueue, now: float) -> None:
        """An attempt starts: charge it to every rule that counts. Called before the host adds it."""
        request = queued.request
        self.retry_budget.record_attempt(request, now)
        if not request.attempts:
            queued.volume.spend_limit(request.units)
        self.slow_start.record(queue, request.units, now)

    def may_reject(self, request: Request) -> bool:
        """Whether the client may be told that trying again is harmless (rule 2)."""
        return may_reject(request)

    def may_run_again(self, request: Request, node: Node, now: float, this: Attempt | None = None) -> bool:
        """Whether an attempt at the node has no second effect (rule 2); see `retries.may_run_again`."""
        return may_run_again(request, node, now, this)

    def earliest_start_ms(self, queued: QueuedRequest, queue: NodeQueue, now: float) -> float:
        """When the request may be attempted at the node, as far as is known now.

        Returns:
            `now` or less: at once; later: look again then; NEVER_MS: time alone won't do.
        """
        if not (self._in_time(queued.request, now) and self._attempt_is_left(queued)):
            return NEVER_MS
        if not may_run_again(queued.request, queue.node, now):  # rule 2
            return NEVER_MS
        if not self._node_serves(queued.request, queue.node):
            return NEVER_MS
        if not self.order.is_its_turn(queued, now):  # rule 5
            return self.order.next_turn_ms(queued)
        admitted = self.retry_budget.allows(queued.request)  # rule 6
        admitted = self._within_limit(queued, now) and admitted
        admitted = admitted and self.slow_start.units_left(queue, now) >= queued.request.units  # rule 4
        return now if admitted else now + GRID_MS

    def _in_time(self, request: Request, now: float) -> bool:
        """Rule 1: no attempt for a request that has its answer or whose time is up."""
        return not request.finished and now < request.deadline_ms

    def _attempt_is_left(self, queued: QueuedRequest) -> bool:
        """Whether the site allows one more attempt, beside one in flight only where it allows hedging."""
        policy = self.settings.policy
        if len(queued.request.attempts) >= policy.max_attempts:
            return False
        return policy.allows_hedging or not queued.in_flight

    def _node_serves(self, request: Request, node: Node) -> bool:
        """Rule 3, and whether the node holds the request's shard."""
        return node.state is NodeState.LIVE and request.shard in (ANY_SHARD, node.shard)

    def _within_limit(self, queued: QueuedRequest, now: float) -> bool:
        """Rule 7: first attempts are charged to the volume's limit.

        The limit is refilled here, since it fills while nothing of the volume arrives or ends.
        """
        volume, request = queued.volume, queued.request
        if request.attempts or not volume.plan.limit_rate:
            return True
        volume.refill(now)
        return not self.peers.forfeits_quota and volume.within_limit(request.units)

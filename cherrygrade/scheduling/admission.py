"""Admission control: the seven rules of the service that every attempt has to satisfy.

The rules are numbered so that other modules can refer to them; the numbers do not give the order in which
they are checked.

1. Each request gets exactly one final answer, before its deadline.
2. No request takes effect twice.
3. No attempt goes to a node that is draining or gone.
4. All dispatchers together never overload a node that is warming up (slow start).
5. Requests of an ordered workload on one key run one after another.
6. Retries stay within the retry budget.
7. A plan's limit holds over all dispatchers together.
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
    """Decides when a request may be attempted at a node.

    Attributes:
        settings: the settings in force.
        peers: the dispatchers that quotas are divided among.
        slow_start: enforces rule 4.
        order: enforces rule 5.
        retry_budget: enforces rule 6.
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
        """Drop the counts and cool-downs that have expired by `now` (ms)."""
        self.slow_start.start_round(now)
        self.retry_budget.forget_old(now)
        self.order.forget_old(now)

    def record_arrival(self, queued: QueuedRequest, now: float) -> None:
        """Count the arrival for the retry budget, and queue the request behind those of its key."""
        self.retry_budget.record_arrival(now)
        self.order.add(queued)

    def record_attempt(self, queued: QueuedRequest, queue: NodeQueue, now: float) -> None:
        """Charge an attempt to the retry budget, the volume's limit and the node's slow start.

        It must be called before the host adds the attempt to the request.
        """
        request = queued.request
        self.retry_budget.record_attempt(request, now)
        if not request.attempts:
            queued.volume.spend_limit(request.units)
        self.slow_start.record(queue, request.units, now)

    def may_reject(self, request: Request) -> bool:
        """Whether a rejection is safe: a retry by the client would have no second effect (rule 2)."""
        return may_reject(request)

    def may_run_again(self, request: Request, node: Node, now: float, this: Attempt | None = None) -> bool:
        """Whether an attempt at the node cannot take effect a second time; see `retries.may_run_again`."""
        return may_run_again(request, node, now, this)

    def earliest_start_ms(self, queued: QueuedRequest, queue: NodeQueue, now: float) -> float:
        """When the request may be attempted at the node, as far as is known now.

        Returns:
            A time in ms. The attempt may start at once if it is not after `now`; otherwise the request has to
            be checked again at that time. It is NEVER_MS if waiting alone cannot make an attempt possible.
        """
        if not (self._in_time(queued.request, now) and self._attempt_remains(queued)):
            return NEVER_MS
        if not may_run_again(queued.request, queue.node, now):  # rule 2
            return NEVER_MS
        if not self._node_serves(queued.request, queue.node):
            return NEVER_MS
        if not self.order.may_start(queued, now):  # rule 5
            return self.order.next_check_ms(queued)
        admitted = self.retry_budget.allows(queued.request)  # rule 6
        admitted = self._within_limit(queued, now) and admitted
        admitted = admitted and self.slow_start.units_left(queue, now) >= queued.request.units  # rule 4
        return now if admitted else now + GRID_MS

    def _in_time(self, request: Request, now: float) -> bool:
        """Rule 1: a request that is finished or past its deadline is not attempted."""
        return not request.finished and now < request.deadline_ms

    def _attempt_remains(self, queued: QueuedRequest) -> bool:
        """Whether the site allows one more attempt; while one is in flight, only as a hedged request."""
        policy = self.settings.policy
        if len(queued.request.attempts) >= policy.max_attempts:
            return False
        return policy.allows_hedging or not queued.in_flight

    def _node_serves(self, request: Request, node: Node) -> bool:
        """Rule 3: the node must be live. It must also hold the request's shard."""
        return node.state is NodeState.LIVE and request.shard in (ANY_SHARD, node.shard)

    def _within_limit(self, queued: QueuedRequest, now: float) -> bool:
        """Rule 7: the volume's limit has capacity for a first attempt; retries are not limited.

        The limit is refilled here because arrivals and outcomes, which refill it otherwise, may not occur
        while a request of the volume waits.
        """
        volume, request = queued.volume, queued.request
        if request.attempts or not volume.plan.limit_rate:
            return True
        volume.refill(now)
        return not self.peers.forfeits_quota and volume.within_limit(request.units)

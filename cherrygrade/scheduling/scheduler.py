"""The scheduler of a dispatcher: a round takes in everything that happened since the last one, and decides.

A host calls `Scheduler.decide` once per round with all inputs, and with a sink that carries out the decisions
in order. The design is Cake's: each node has a pressed and a batch queue (`node_queue.py`), a controller sets
the share and the reserved slots of the pressed queue by normalized tail latency (`share_controller.py`), and
a window limits the attempts in flight (`concurrency_limit.py`). Every attempt has to pass `admission.py`.

The scheduler does no I/O and reads neither a clock nor a random source. Times are milliseconds of the host's
clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from cherrygrade.scheduling.admission import Admission
from cherrygrade.scheduling.client_retries import ClientRetries
from cherrygrade.scheduling.coalescing import Coalescing
from cherrygrade.scheduling.early_rejection import EarlyRejection
from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.endpoint_polling import EndpointPolling
from cherrygrade.scheduling.latency_estimate import SharedLatency
from cherrygrade.scheduling.load_gossip import ANSWERED, ENDED, SENT, LoadGossip
from cherrygrade.scheduling.model import (
    Attempt,
    DecisionSink,
    Node,
    NodeState,
    Outcome,
    PeerDirectory,
    Request,
    RetryBudgetSettings,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.scheduling.node_queue import OVERDUE_OBJECTIVES, NodeQueue
from cherrygrade.scheduling.placement import Placement
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.quota import VolumeQuota
from cherrygrade.scheduling.seeded_random import Counter
from cherrygrade.scheduling.utility import UtilityRules
from cherrygrade.scheduling.volume_table import VolumeTable
from cherrygrade.scheduling.wake_ups import WakeUps


class Scheduler:
    """Takes all scheduling decisions of one dispatcher.

    Attributes:
        settings: the settings in force.
        peers: the dispatchers that quotas are divided among.
        admission: the rules that every attempt has to satisfy.
        utility: ranks requests by what they earn.
        volume_table: token buckets by volume.
        requests: requests from their arrival until they are finished and have no attempt in flight.
        shared_latency: latency estimates over all nodes.
        unplaced: queue of the requests that no listed node can take.
        placement: the node queues; chooses one for each request.
        wake_ups: schedules the checks of node queues.
        load_gossip: sends and receives load reports.
        polling: schedules polls for the endpoint list.
        client_retries: recognizes retries by clients.
        early_rejection: decides which requests are rejected early.
        coalescing: lets requests share an attempt.
        touched: node queues to check in this round, in order; empty between rounds.
    """

    def __init__(
        self,
        *,
        seed: int,
        number: int,
        dispatchers: int,
        workloads: Sequence[Workload],
        utility: UtilityModel,
        slow_start: SlowStartSettings,
        retry_budget: RetryBudgetSettings | None,
        policy: SitePolicy,
        key_rest_ms: float,
        peers: PeerDirectory | None = None,
    ) -> None:
        """Create a scheduler that knows no nodes.

        Args:
            seed: seed of random decisions; it differs between dispatchers, so that they choose differently.
            number: this dispatcher's seat: its number in the fleet, from 0.
            dispatchers: number of dispatchers.
            workloads: the site's workloads.
            utility: what units of work earn.
            slow_start: how much a node that is warming up can take.
            retry_budget: limits retries; None: no limit.
            policy: what the site allows a dispatcher to do.
            key_rest_ms: cool-down of an ordered key after an attempt whose outcome is unknown.
            peers: the fleet's dispatchers; None: a fixed number of them.
        """
        self.settings = EffectiveSettings(policy, utility, workloads)
        self.peers = peers or PeerDirectory(dispatchers)
        self.admission = Admission(self.settings, number, self.peers, slow_start, retry_budget, key_rest_ms)
        self.utility = UtilityRules(self.settings)
        self.volume_table = VolumeTable(self.settings)
        self.requests: dict[Request, QueuedRequest] = {}
        self.shared_latency = SharedLatency(self.settings.tightest_objective_ms)
        no_node = Node("", state=NodeState.DRAINING)
        self.unplaced = self._new_queue(no_node, 0.0, [])
        counter = Counter()
        self.placement = Placement(self.admission, self.unplaced, seed, counter)
        self.wake_ups = WakeUps(counter)
        self.load_gossip = LoadGossip(self.settings, self.peers, number)
        self.polling = EndpointPolling(self.settings, seed, dispatchers)
        self.client_retries = ClientRetries(self.settings)
        self.early_rejection = EarlyRejection(self.settings, self.utility, self.unplaced)
        self.coalescing = Coalescing(self.settings, self.admission)
        self.touched: dict[NodeQueue, None] = {}

    @property
    def node_queues(self) -> dict[Node, NodeQueue]:
        """Node queues by node."""
        return self.placement.queues

    @property
    def volumes(self) -> dict[str, VolumeQuota]:
        """Token buckets by volume."""
        return self.volume_table.volumes

    def limit_tables(self, max_entries: int) -> None:
        """Limit the entries of each table whose keys clients choose, volumes and keys."""
        self.volume_table.max_volumes = max_entries
        self.client_retries.max_remembered = max_entries

    def _new_queue(self, node: Node, now: float, sends: list[tuple[float, float]]) -> NodeQueue:
        return NodeQueue(node, now, self.settings.tightest_objective_ms, self.shared_latency, sends)

    # Rounds.

    def decide(
        self,
        now: float,
        sink: DecisionSink,
        *,
        arrivals: Sequence[Request] = (),
        responses: Sequence[Attempt] = (),
        outcomes: Sequence[Attempt] = (),
        cancellations: Sequence[Request] = (),
        endpoint_changes: Sequence[Node] = (),
        endpoint_list_received: bool | None = None,
        gossip: Sequence[tuple[int, bytes]] = (),
    ) -> None:
        """Run a round.

        Args:
            now: the time, ms; not before that of the previous round.
            sink: carries out the decisions.
            arrivals: requests that arrived.
            responses: attempts that their node has responded to; their slots are free, their outcomes follow.
            outcomes: attempts that ended, with their outcome.
            cancellations: requests that their client cancelled, already marked as finished.
            endpoint_changes: nodes that the endpoint list describes anew.
            endpoint_list_received: True if a list was received, False if a poll failed, None if neither.
            gossip: load report messages, with the seats of their senders.
        """
        self.admission.start_round(now)
        self.update_endpoints(now, endpoint_changes, endpoint_list_received)
        self.client_retries.start_round(now)
        for peer, message in gossip:
            self.load_gossip.receive(peer, message, now)
        for attempt in responses:
            queue = self.placement.queues.get(attempt.node)
            if queue is not None and queue.record_response(attempt):
                self._touch(queue, now)
        for attempt in outcomes:
            self._settle(attempt, now, sink)
        for request in arrivals:
            self._arrive(request, now, sink)
        for request in cancellations:  # after arrivals: a request may arrive and be cancelled in one round
            queued = self.requests.get(request)
            if queued is not None:
                self._finish(queued, now)
        while (due := self.wake_ups.pop_due(now)) is not None:
            self._touch(due, now)
        while self.touched:
            self._check(next(iter(self.touched)), now, sink)
        self._finish_round(now, sink)

    def _touch(self, queue: NodeQueue, now: float) -> None:
        """Make the periodic steps of a node queue now, and have the queue checked later in this round."""
        self.touched[queue] = None
        queue.catch_up(now)

    def _check(self, queue: NodeQueue, now: float, sink: DecisionSink) -> None:
        """Check a node queue; each part of the check lowers `next_check_ms` to when it is needed again."""
        previous_check_ms = queue.next_check_ms
        queue.release_overdue(now, OVERDUE_OBJECTIVES * self.settings.tightest_objective_ms)
        self._review_waiting(queue, now, sink)
        self._fill(queue, now, sink)
        del self.touched[queue]
        self.wake_ups.schedule(queue, previous_check_ms, now)

    def _finish_round(self, now: float, sink: DecisionSink) -> None:
        """Send load reports, poll for the endpoint list if that is due, and request the next wake-up."""
        self.load_gossip.send(now, sink)
        if self.polling.take_due(now):
            sink.subscribe()
        other_ms = min(self.polling.poll_at_ms, self.load_gossip.publish_at_ms)
        self.wake_ups.request_next(now, other_ms, sink)

    # Endpoints.

    def update_endpoints(self, now: float, changes: Sequence[Node], received: bool | None) -> None:
        """Apply changes of the endpoint list; for `received` see `endpoint_list_received` of `decide`."""
        queues = self.placement.queues
        for node in changes:
            if node not in queues:
                sends = self.admission.slow_start.initial_sends(node, now)
                queues[node] = self._new_queue(node, now, sends)
        if changes:
            self._forget_idle(now)
            for queue in [*queues.values(), self.unplaced]:  # waiting requests may find a node now
                if queue.has_waiting:
                    self._touch(queue, now)
        self.polling.update(now, received)

    def _forget_idle(self, now: float) -> None:
        """Drop idle volumes and unused queues of nodes that are gone, and index the remaining ones."""
        self.volume_table.forget_idle(now)
        queues = self.placement.queues
        for queue in [*queues.values()]:
            if queue.node.state is NodeState.GONE and not (queue.attempts or queue.has_waiting):
                del queues[queue.node]
        self.placement.index([*queues.values(), self.unplaced])
        self.load_gossip.index(queues.values())

    # Requests, from arrival to final answer.

    def _arrive(self, request: Request, now: float, sink: DecisionSink) -> None:
        workload, plan = request.workload, request.plan
        if workload is None or plan is None:
            sink.reject(request, 0.0)
            return
        volume = self.volume_table.add_request(request, plan, now)
        objective_at_ms = self.client_retries.objective_at_ms(request, workload, now)
        queued = QueuedRequest(request, workload, volume, now, objective_at_ms)
        self.requests[request] = queued
        self.admission.record_arrival(queued, now)
        self._place(queued, now)

    def _place(self, queued: QueuedRequest, now: float) -> None:
        """Choose a node for the request and queue it there; rank it if it is new."""
        queue = self.placement.choose(queued, now)
        queued.assign(queue.node, queue.coalescable)
        self._touch(queue, now)
        if queued.queue is None and not queued.request.attempts:
            self.utility.rank(queued, queue, now)
        queued.move_to(queue.pressed if queued.pressed else queue.batch)

    def _settle(self, attempt: Attempt, now: float, sink: DecisionSink) -> None:
        """Take in the outcome of an attempt: its request is finished, retried or rejected early."""
        queue, request = self.placement.queues[attempt.node], attempt.request
        self._touch(queue, now)
        queued = queue.attempts[attempt]
        answered = attempt.outcome is Outcome.OK and attempt.carried_by is None
        kind = ANSWERED if answered else ENDED
        self.load_gossip.report(queue, kind, request.units, attempt.latency_ms, now)
        queue.record_outcome(attempt, now, self.settings.tightest_objective_ms)
        self.admission.order.record_outcome(attempt, now)
        queued.volume.refill(now)
        queued.volume.charge_elsewhere(attempt.units_elsewhere)
        if request.finished:
            self._finish(queued, now)
        elif request in self.requests and not queued.in_flight and queued.queue is None:
            if self.early_rejection.may_retry(queued, attempt, now):
                self._place(queued, now)
            else:
                self._reject_early(queued, now, sink)

    def _reject_early(self, queued: QueuedRequest, now: float, sink: DecisionSink) -> None:
        """Give the final answer now: a rejection if a retry has no second effect, otherwise a failure."""
        self.client_retries.record_early_rejection(queued)
        if self.admission.may_reject(queued.request):
            sink.reject(queued.request, self.early_rejection.retry_after_ms())
        else:
            sink.fail(queued.request)
        self._finish(queued, now)

    def _finish(self, queued: QueuedRequest, now: float) -> None:
        """Stop scheduling a request that is finished, and forget it once no attempt is in flight."""
        queued.move_to(None)
        if queued.in_flight:
            return
        following = self.admission.order.remove(queued)
        if following is not None and following.node is not None:
            self._touch(self.placement.queues.get(following.node, self.unplaced), now)
        if self.requests.pop(queued.request, None) is not None:
            queued.volume.open_requests -= 1

    def _review_waiting(self, queue: NodeQueue, now: float, sink: DecisionSink) -> None:
        """Reject waiting requests that can earn too little, and move those that wait at a lost node."""
        rules = self.early_rejection
        for queued in [*queue.pressed, *queue.batch]:
            expected_ms = queue.latency.expected_ms(queued.request.units)
            objective_start_ms = rules.latest_objective_start_ms(queued, expected_ms)
            latest_start_ms = rules.latest_start_ms(queued, expected_ms)
            misses_objective = now > objective_start_ms
            if misses_objective and queued.pressed:  # else the tail would cover only answered requests
                client_ms = queued.request.deadline_ms - queued.arrived_ms
                queue.controller.record(now, client_ms / queued.workload.latency_objective_ms)
            node_is_lost = rules.node_is_lost(queued, queue)
            worthless = misses_objective and rules.is_worthless_late(queued, queue, node_is_lost)
            if now > latest_start_ms or worthless:
                self._reject_early(queued, now, sink)
                continue
            queue.next_check_ms = min(queue.next_check_ms, latest_start_ms)
            if not misses_objective:
                queue.next_check_ms = min(queue.next_check_ms, objective_start_ms)
            if node_is_lost:
                self._place(queued, now)

    # Filling slots.

    def _fill(self, queue: NodeQueue, now: float, sink: DecisionSink) -> None:
        """Start attempts until no further one may start."""
        health = queue.health
        ejected_until_ms = health.next_health_check_ms if health.is_ejected else 0.0
        if now >= ejected_until_ms:
            while queue.node.state is NodeState.LIVE and self._start_one(queue, now, sink):
                pass
        if queue.has_waiting:  # the share and the window are adjusted while requests wait
            queue.next_check_ms = min(queue.next_check_ms, queue.next_step_ms)
            if ejected_until_ms > now:
                queue.next_check_ms = min(queue.next_check_ms, ejected_until_ms)

    def _start_one(self, queue: NodeQueue, now: float, sink: DecisionSink) -> bool:
        """Start an attempt at the node, and return whether one was started."""
        if not (queue.has_waiting or self.unplaced.has_waiting):
            queue.record_filled()
            return False
        if queue.health.takes_new_objects and queue.busy < queue.slots:
            self._take_unplaced(self.unplaced.pressed, queue, queue.pressed, now)
            self._take_unplaced(self.unplaced.batch, queue, queue.batch, now)
        for waiting in [queue.followers_of_newest(), *queue.fillable_queues()]:
            if self._start_from(waiting, queue, now, sink):
                return True
        return False

    def _take_unplaced(
        self,
        waiting: list[QueuedRequest],
        queue: NodeQueue,
        own: list[QueuedRequest],
        now: float,
    ) -> None:
        """Take over the first unplaced new object, if it arrived before the first of the node's own queue."""
        if not waiting:
            return
        first = waiting[0]
        if first.request.shard >= 0 or (own and first.arrived_ms >= own[0].arrived_ms):
            return
        if self.admission.slow_start.units_left(queue, now) >= first.request.units:
            first.assign(queue.node, queue.coalescable)
            queue.next_check_ms = now  # check the queue again at once
            first.move_to(own)

    def _start_from(
        self, waiting: list[QueuedRequest], queue: NodeQueue, now: float, sink: DecisionSink
    ) -> bool:
        """Start an attempt of the first request that admission allows, and return whether there was one."""
        for queued in waiting:
            earliest_ms = self.admission.earliest_start_ms(queued, queue, now)
            if earliest_ms > now:
                queue.next_check_ms = min(queue.next_check_ms, earliest_ms)
                continue
            attempt = self._start(queued, queue, now, sink)
            self._coalesce(queued, attempt, queue, now, sink)
            queue.record_attempt(queued, attempt)
            queue.next_check_ms = min(queue.next_check_ms, queued.overdue_at_ms)
            return True
        return False

    def _start(self, queued: QueuedRequest, queue: NodeQueue, now: float, sink: DecisionSink) -> Attempt:
        """Start an attempt, and charge it to the share, the quotas and the load reports."""
        request = queued.request
        queue.charge_share(queued)
        queued.move_to(None)
        self.admission.record_attempt(queued, queue, now)
        self.load_gossip.report(queue, SENT, request.units, 0.0, now)
        return sink.send(request, queue.node, request.deadline_ms - now)

    def _coalesce(
        self, queued: QueuedRequest, attempt: Attempt, queue: NodeQueue, now: float, sink: DecisionSink
    ) -> None:
        """Let neighbouring requests share the attempt, unless it is a health check."""
        request = queued.request
        if not request.coalescable or request.key not in queue.coalescable or queue.health.is_ejected:
            return

        def start(other: QueuedRequest) -> Attempt:
            return self._start(other, queue, now, sink)

        self.coalescing.join_neighbours(queued, attempt, queue, now, start)

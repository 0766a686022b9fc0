"""The scheduler: one round takes in all that happened since the last, and decides.

A host calls `Scheduler.decide` once a round with everything that came in, and a sink that takes the decisions
in order. The design is Cake's: each node has a pressed and a batch queue (`node_queue.py`), a controller
moves
share and reserved slots by normalized tail latency (`share_controller.py`), and a window bounds the
attempts in
flight (`concurrency_limit.py`). Every attempt passes `admission.py`.

Free of I/O, clock and chance. Times are milliseconds of the host's clock.
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
from cherrygrade.scheduling.wake_ups import WakeUps

FORGET_VOLUME_MS = 60_000.0
"""A volume's buckets are dropped once it was idle for so long."""


class Scheduler:
    """All decisions of one dispatcher.

    Attributes:
        settings: the settings in force.
        peers: the other dispatchers.
        admission: the rules that every attempt passes.
        volumes: buckets by volume; dropped once idle.
        requests: requests from their arrival until they are finished and nothing of them is in flight.
        placement: node queues, and which of them a request goes to.
        load_gossip: load reports between dispatchers.
        polling: when to poll for the endpoint list.
        client_retries: what is known of clients' own retries.
        touched: node queues that this round concerns, in order; emptied by the round.
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
        """Start with no endpoints known.

        Args:
            seed: told to no other dispatcher, so that all choose differently.
            number: this dispatcher's number, from 0.
            dispatchers: how many there are.
            workloads: the site's workloads.
            utility: what units earn.
            slow_start: what a node that warms up bears; see `SlowStartSettings`.
            retry_budget: None: retries have no budget.
            policy: what the site lets a dispatcher do.
            key_rest_ms: how long a key rests after an unknown outcome.
            peers: the other dispatchers; None: as many as there are, by number.
        """
        self.settings = EffectiveSettings(policy, utility, workloads)
        self.peers = peers or PeerDirectory(dispatchers)
        self.admission = Admission(self.settings, number, self.peers, slow_start, retry_budget, key_rest_ms)
        self.utility = UtilityRules(self.settings)
        self.volumes: dict[str, VolumeQuota] = {}
        self.requests: dict[Request, QueuedRequest] = {}
        self.shared_latency = SharedLatency(self.settings.tightest_objective_ms)
        nowhere = Node("", state=NodeState.DRAINING)
        self.unplaced = self._new_queue(nowhere, 0.0, [])
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

    def _new_queue(self, node: Node, now: float, sends: list[tuple[float, float]]) -> NodeQueue:
        objective_ms = self.settings.tightest_objective_ms
        return NodeQueue(node, now, objective_ms, self.shared_latency, sends)

    # One round.

    def decide(
        self,
        now: float,
        sink: DecisionSink,
        *,
        arrivals: Sequence[Request] = (),
        outcomes: Sequence[Attempt] = (),
        cancellations: Sequence[Request] = (),
        endpoint_changes: Sequence[Node] = (),
        endpoint_list_received: bool | None = None,
        gossip: Sequence[tuple[int, bytes]] = (),
    ) -> None:
        """One round.

        Args:
            now: the time, ms; never less than in the round before.
            sink: takes the decisions.
            arrivals: requests that arrived.
            outcomes: attempts that ended, their outcome filled in.
            cancellations: requests whose client does not wait any more; marked as finished.
            endpoint_changes: nodes of which the endpoint list says something new.
            endpoint_list_received: True: a list was received; False: a poll for it failed; None: neither.
            gossip: messages of other dispatchers, with their numbers.
        """
        self.admission.start_round(now)
        self.update_endpoints(now, endpoint_changes, endpoint_list_received)
        self.client_retries.start_round(now)
        for peer, message in gossip:
            self.load_gossip.receive(peer, message, now)
        for attempt in outcomes:
            self._settle(attempt, now, sink)
        for request in arrivals:
            self._arrive(request, now, sink)
        for request in cancellations:  # behind arrivals: a request may arrive and be cancelled in one round
            queued = self.requests.get(request)
            if queued is not None:
                self._finish(queued, now)
        while (due := self.wake_ups.pop_due(now)) is not None:
            self._touch(due, now)
        while self.touched:
            self._attend(next(iter(self.touched)), now, sink)
        self._ask_to_be_called(now, sink)

    def _touch(self, queue: NodeQueue, now: float) -> None:
        """This round concerns a node queue: its steps are caught up before anything else."""
        self.touched[queue] = None
        queue.catch_up(now)

    def _attend(self, queue: NodeQueue, now: float, sink: DecisionSink) -> None:
        """All that may be due at a node queue; each part lowers `due_ms` to its next look."""
        previous_due_ms = queue.due_ms
        queue.release_overdue(now, OVERDUE_OBJECTIVES * self.settings.tightest_objective_ms)
        self._sweep(queue, now, sink)
        self._fill(queue, now, sink)
        del self.touched[queue]
        self.wake_ups.schedule(queue, previous_due_ms, now)

    def _ask_to_be_called(self, now: float, sink: DecisionSink) -> None:
        """Send gossip, poll for the list when due, and ask for the next wake-up."""
        self.load_gossip.send(now, sink)
        if self.polling.take_due(now):
            sink.subscribe()
        other_ms = min(self.polling.poll_at_ms, self.load_gossip.publish_at_ms)
        self.wake_ups.request_next(now, other_ms, sink)

    # Endpoints.

    def update_endpoints(self, now: float, changes: Sequence[Node], received: bool | None) -> None:
        """Take in what the endpoint list says; `received` as for `decide`."""
        queues = self.placement.queues
        for node in changes:
            if node not in queues:
                sends = self.admission.slow_start.initial_sends(node, now)
                queues[node] = self._new_queue(node, now, sends)
        if changes:
            self._forget_idle(now)
            for queue in [*queues.values(), self.unplaced]:  # what waits may have a place now
                if queue.has_waiting:
                    self._touch(queue, now)
        self.polling.update(now, received)

    def _forget_idle(self, now: float) -> None:
        """Drop idle volumes and nodes that are gone, and index the others."""
        volumes = self.volumes
        self.volumes = {
            name: volume for name, volume in volumes.items() if now - volume.refilled_ms < FORGET_VOLUME_MS
        }
        queues = self.placement.queues
        for queue in [*queues.values()]:
            if queue.node.state is NodeState.GONE and not (queue.attempts or queue.has_waiting):
                del queues[queue.node]
        self.placement.index([*queues.values(), self.unplaced])
        self.load_gossip.index(queues.values())

    # A request, from its arrival to its end.

    def _arrive(self, request: Request, now: float, sink: DecisionSink) -> None:
        workload, plan = request.workload, request.plan
        if workload is None or plan is None:
            sink.reject(request, 0.0)
            return
        volume = self.volumes.get(request.volume)
        if volume is None:
            volume = VolumeQuota(plan, request.dispatchers, now, self.settings.utility)
            self.volumes[request.volume] = volume
        volume.refill(now)
        objective_at_ms = self.client_retries.objective_at_ms(request, workload, now)
        queued = QueuedRequest(request, workload, volume, now, objective_at_ms)
        self.requests[request] = queued
        self.admission.record_arrival(queued, now)
        self._place(queued, now)

    def _place(self, queued: QueuedRequest, now: float) -> None:
        """Choose a node, and queue the request there."""
        queue = self.placement.choose(queued, now)
        queued.assign(queue.node, queue.nearby)
        self._touch(queue, now)
        if queued.queue is None and not queued.request.attempts:
            self.utility.rank(queued, queue, now)
        queued.move_to(queue.pressed if queued.pressed else queue.batch)

    def _settle(self, attempt: Attempt, now: float, sink: DecisionSink) -> None:
        """An attempt ended: its request is finished, retried or given up."""
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
                self._give_up(queued, now, sink)

    def _give_up(self, queued: QueuedRequest, now: float, sink: DecisionSink) -> None:
        """Answer at once: a rejection where trying again is harmless, else an error."""
        self.client_retries.record_given_up(queued)
        if self.admission.may_reject(queued.request):
            sink.reject(queued.request, self.early_rejection.retry_after_ms())
        else:
            sink.fail(queued.request)
        self._finish(queued, now)

    def _finish(self, queued: QueuedRequest, now: float) -> None:
        """The request has its answer; it is forgotten once nothing of it is in flight."""
        queued.move_to(None)
        if queued.in_flight:
            return
        following = self.admission.order.remove(queued)
        if following is not None and following.node is not None:
            self._touch(self.placement.queues.get(following.node, self.unplaced), now)
        self.requests.pop(queued.request, None)

    def _sweep(self, queue: NodeQueue, now: float, sink: DecisionSink) -> None:
        """Give up what is not worth waiting any more, and move what waits at a lost node."""
        early_rejection = self.early_rejection
        for queued in [*queue.pressed, *queue.batch]:
            expected_ms = queue.latency.expected_ms(queued.request.units)
            objective_start_ms = early_rejection.latest_objective_start_ms(queued, expected_ms)
            latest_start_ms = early_rejection.latest_start_ms(queued, expected_ms)
            misses_objective = now > objective_start_ms
            if misses_objective and queued.pressed:  # else the controller saw only what was answered
                client_ms = queued.request.deadline_ms - queued.arrived_ms
                queue.controller.record(now, client_ms / queued.workload.latency_objective_ms)
            is_lost = early_rejection.node_is_lost(queued, queue)
            worthless = misses_objective and early_rejection.is_worthless_late(queued, queue, is_lost)
            if now > latest_start_ms or worthless:
                self._give_up(queued, now, sink)
                continue
            queue.due_ms = min(queue.due_ms, latest_start_ms)
            if not misses_objective:
                queue.due_ms = min(queue.due_ms, objective_start_ms)
            if is_lost:
                self._place(queued, now)

    # Filling slots.

    def _fill(self, queue: NodeQueue, now: float, sink: DecisionSink) -> None:
        """Start attempts until nothing more may start."""
        health = queue.health
        closed_until_ms = health.next_health_check_ms if health.is_ejected else 0.0
        if now >= closed_until_ms:
            while queue.node.state is NodeState.LIVE and self._start_one(queue, now, sink):
                pass
        if queue.has_waiting:  # the controller and the window go on while something waits
            queue.due_ms = min(queue.due_ms, queue.next_step_ms)
            if closed_until_ms > now:
                queue.due_ms = min(queue.due_ms, closed_until_ms)

    def _start_one(self, queue: NodeQueue, now: float, sink: DecisionSink) -> bool:
        """Start one attempt; whether one could start."""
        if not (queue.has_waiting or self.unplaced.has_waiting):
            queue.note_filled()
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
        """Take over the first new object that waits for a node, if it arrived before the own first."""
        if not waiting:
            return
        first = waiting[0]
        if first.request.shard >= 0 or (own and first.arrived_ms >= own[0].arrived_ms):
            return
        if self.admission.slow_start.units_left(queue, now) >= first.request.units:
            first.assign(queue.node, queue.nearby)
            queue.due_ms = now  # looked at again at once
            first.move_to(own)

    def _start_from(
        self, waiting: list[QueuedRequest], queue: NodeQueue, now: float, sink: DecisionSink
    ) -> bool:
        """Start an attempt of the first that admission lets go; whether there was one."""
        for queued in waiting:
            earliest_ms = self.admission.earliest_start_ms(queued, queue, now)
            if earliest_ms > now:
                queue.due_ms = min(queue.due_ms, earliest_ms)
                continue
            attempt = self._start(queued, queue, now, sink)
            self._coalesce(queued, attempt, queue, now, sink)
            queue.record_attempt(queued, attempt)
            queue.due_ms = min(queue.due_ms, queued.overdue_at_ms)
            return True
        return False

    def _start(self, queued: QueuedRequest, queue: NodeQueue, now: float, sink: DecisionSink) -> Attempt:
        """Start an attempt, and charge it to whatever counts attempts."""
        request = queued.request
        queue.charge_share(queued)
        queued.move_to(None)
        self.admission.record_attempt(queued, queue, now)
        self.load_gossip.report(queue, SENT, request.units, 0.0, now)
        return sink.send(request, queue.node, request.deadline_ms - now)

    def _coalesce(
        self, queued: QueuedRequest, attempt: Attempt, queue: NodeQueue, now: float, sink: DecisionSink
    ) -> None:
        """Let neighbours share the attempt, unless it checks the node's health."""
        request = queued.request
        if not request.coalescable or request.key not in queue.nearby or queue.health.is_ejected:
            return

        def start(other: QueuedRequest) -> Attempt:
            return self._start(other, queue, now, sink)

        self.coalescing.join_neighbours(queued, attempt, queue, now, start)

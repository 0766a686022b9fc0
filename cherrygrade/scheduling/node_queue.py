"""The queue of one node: its pressed and batch queues, its slots, and the attempts in flight at the node.

The design is Cake's first-level scheduler. A window limits the attempts in flight, each of which takes a
slot. The share decides which of the two queues fills a free slot, and reserved slots are not given to batch.
"""

from __future__ import annotations

from zlib import crc32

from cherrygrade.scheduling.concurrency_limit import ConcurrencyLimit
from cherrygrade.scheduling.latency_estimate import RARE_ANSWERS_MS, LatencyEstimate, SharedLatency
from cherrygrade.scheduling.model import Attempt, Node, Outcome
from cherrygrade.scheduling.outlier import NodeHealth
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.share_controller import ShareController
from cherrygrade.scheduling.timing import NEVER_MS

CONTROL_INTERVAL_MS = 200.0
"""Interval between two steps of the share controller."""

WINDOW_INTERVAL_MS = 1000.0
"""Interval between two adjustments of the window."""

OVERDUE_OBJECTIVES = 1.5
"""An attempt is overdue when its answer is late by this multiple of the tightest latency objective."""

SMALL_WINDOW = 2.0
"""Batch yields on a crowded node (CROWDED_WAITING) while the window is smaller than this, slots."""

CROWDED_WAITING = 0.25
"""A node is crowded where the wait exceeds this fraction of the tightest latency objective."""

MIN_SHARE = 0.01
"""Smallest share that charged units are divided by, for either queue."""

NODE_HASH_MASK = 0xFFFF
"""Bits of a node's hash that load reports carry."""

REPORTED_SILENCE_MS = 2000.0
"""A node whose reported wait is shorter than this still answers other dispatchers."""

MIN_UNITS = 1e-6
"""Smallest divisor of a latency, units."""


class NodeQueue:
    """The queues, the slots and the observed state of one node.

    Attributes:
        node: the node, as described by the endpoint list.
        tightest_objective_ms: the shortest latency objective of the site's workloads.
        pressed: waiting requests of Cake's pressed queue, in order of `sort_key`.
        batch: waiting requests of Cake's batch queue, in order of `sort_key`.
        coalescable: waiting requests that may share an attempt, by key.
        latency: estimated latency of the node.
        health: observed health of the node.
        controller: controls the share and the reserved slots of the pressed queue.
        limit: limits the attempts in flight.
        batch_debt: units charged to the pressed queue minus those charged to batch, each divided by the
            queue's share. Above 0 the batch queue is next.
        attempts: attempts in flight, with the request of each; removed by their outcomes.
        busy: number of attempts that occupy a slot.
        batch_busy: number of attempts of batch requests that occupy a slot.
        newest_attempt: the attempt started last; None before the first.
        newest_exceeds_window: whether the newest attempt was started while all slots were occupied.
        next_step_ms: when the controller makes its next step, ms.
        next_window_ms: when the window is adjusted next, ms.
        next_check_ms: the earliest time at which the queue has to be checked again, ms.
        node_hash: 16-bit hash of the node's address, by which load reports name the node.
        warm_up_sends: time (ms) and units of the attempts that count towards the slow start limit.
    """

    def __init__(
        self,
        node: Node,
        now: float,
        tightest_objective_ms: float,
        shared: SharedLatency,
        warm_up_sends: list[tuple[float, float]],
    ) -> None:
        self.node = node
        self.tightest_objective_ms = tightest_objective_ms
        self.pressed: list[QueuedRequest] = []
        self.batch: list[QueuedRequest] = []
        self.coalescable: dict[str, list[QueuedRequest]] = {}
        self.latency = LatencyEstimate(shared)
        self.health = NodeHealth(now)
        self.controller = ShareController()
        self.limit = ConcurrencyLimit()
        self.batch_debt = 0.0
        self.attempts: dict[Attempt, QueuedRequest] = {}
        self.busy = 0
        self.batch_busy = 0
        self.newest_attempt: Attempt | None = None
        self.newest_exceeds_window = False
        self.next_step_ms = now + CONTROL_INTERVAL_MS
        self.next_window_ms = now + WINDOW_INTERVAL_MS
        self.next_check_ms = NEVER_MS
        self.node_hash = crc32(node.address.encode()) & NODE_HASH_MASK
        self.warm_up_sends = warm_up_sends

    # Slots, and the queues that fill them.

    @property
    def slots(self) -> int:
        """Number of attempts that may occupy a slot; 1 while the node is ejected, for a health check."""
        return 1 if self.health.consecutive_failures else int(self.limit.window)

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits in either queue."""
        return bool(self.pressed or self.batch)

    def record_filled(self) -> None:
        """Record for the next adjustment of the window whether all slots are occupied."""
        self.limit.was_filled = self.limit.was_filled or self.busy >= self.slots

    def fillable_queues(self) -> list[list[QueuedRequest]]:
        """Return the queues that may fill a free slot, first the one that is next by the share."""
        slots = self.slots
        free = slots - self.busy
        if free <= 0 or not self.has_waiting:
            self.limit.was_filled = self.limit.was_filled or free <= 0
            return []
        if not self.batch:
            return [self.pressed]
        self.controller.contended = self.controller.contended or bool(self.pressed)
        batch_may = self._batch_may_take_a_slot(slots)
        if not self.pressed:
            return [self.batch] if batch_may else []
        if not batch_may:
            return [self.pressed]
        return [self.pressed, self.batch] if self.batch_debt <= 0.0 else [self.batch, self.pressed]

    def _batch_may_take_a_slot(self, slots: int) -> bool:
        # Pressed requests of other dispatchers are visible here only as waiting at the node, and batch yields
        # to them as well.
        crowding_ms = CROWDED_WAITING * self.tightest_objective_ms
        if self.limit.window < SMALL_WINDOW and self.latency.waiting_ms > crowding_ms:
            return False
        # On a slow node slots stay reserved for long, so batch may borrow them while no pressed request waits
        # or is in flight.
        pressed_is_present = bool(self.pressed) or self.batch_busy < self.busy
        reserved = min(self.controller.reserved_slots, slots - 1) if pressed_is_present else 0
        return self.batch_busy < slots - reserved

    def followers_of_newest(self) -> list[QueuedRequest]:
        """Return the waiting requests on the key of the newest attempt.

        A node needs much less work for a request on the same key right after it, so one of them may start
        even if all slots are occupied.
        """
        newest = self.newest_attempt
        if newest is None or newest.outcome or self.newest_exceeds_window or self.health.consecutive_failures:
            return []
        key = newest.request.key
        if not key:
            return []
        return [queued for queued in [*self.pressed, *self.batch] if queued.request.key == key]

    def record_attempt(self, queued: QueuedRequest, attempt: Attempt) -> None:
        """Record an attempt that has started: it occupies a slot until its outcome or until it is overdue."""
        self.newest_attempt = attempt
        self.attempts[attempt] = queued
        expected_ms = self.latency.expected_ms(attempt.coalesced_units or attempt.request.units)
        overdue_margin_ms = OVERDUE_OBJECTIVES * self.tightest_objective_ms
        queued.overdue_at_ms = attempt.sent_ms + overdue_margin_ms + expected_ms
        self.newest_exceeds_window = self.busy >= self.slots
        queued.slot_released = False
        self.busy += 1
        if not queued.pressed:
            self.batch_busy += 1

    def charge_share(self, queued: QueuedRequest) -> None:
        """Charge a request's units, divided by the share of its queue, to `batch_debt`."""
        if queued.pressed:
            divisor = max(self.controller.share, MIN_SHARE)
        else:
            divisor = min(self.controller.share - 1.0, -MIN_SHARE)
        self.batch_debt += queued.request.units / divisor
        if not (self.pressed and self.batch):  # a queue without waiting requests is owed nothing
            self.batch_debt = 0.0

    def release_slot(self, queued: QueuedRequest) -> None:
        """Free the slot of the request's newest attempt, if it still occupies one."""
        if not queued.slot_released:
            self.busy -= 1
            if not queued.pressed:
                self.batch_busy -= 1
        queued.slot_released = True

    # Periodic steps.

    def catch_up(self, now: float) -> None:
        """Make the periodic steps that have become due since the last call.

        The controller makes one step, however many intervals have passed. The estimated wait of an idle node
        decays with each interval.
        """
        missed_steps = int((now - self.next_step_ms) // CONTROL_INTERVAL_MS) + 1
        is_reported = self.latency.is_reported(now)
        if missed_steps > 0:
            if not (self.busy or is_reported):
                self.latency.decay(missed_steps)
            self._step_controller(self.next_step_ms)
            self.next_step_ms += missed_steps * CONTROL_INTERVAL_MS
        if not is_reported:
            self._observe_unanswered(now)
        if now >= self.next_window_ms:
            self._adjust_window()
            passed_intervals = (now - self.next_window_ms) // WINDOW_INTERVAL_MS
            self.next_window_ms += (passed_intervals + 1.0) * WINDOW_INTERVAL_MS

    def _step_controller(self, at_ms: float) -> None:
        waiting_latency: float | None = None
        if self.pressed:
            first = self.pressed[0]
            waiting_latency = (at_ms - first.arrived_ms) / first.workload.latency_objective_ms
        self.controller.step(at_ms, self.slots, waiting_latency, bool(self.batch))

    def _observe_unanswered(self, now: float) -> None:
        """Raise the estimated wait by attempts that are still unanswered.

        An attempt counts only if the node's last answer came more than RARE_ANSWERS_MS before it was sent. A
        newer answer is a better observation of the wait.
        """
        last_answer_ms = self.health.last_answer_ms
        for attempt, queued in self.attempts.items():
            sent_ms = attempt.sent_ms
            if attempt.outcome or queued.slot_released or last_answer_ms > sent_ms - RARE_ANSWERS_MS:
                continue
            units = attempt.coalesced_units or attempt.request.units
            self.latency.observe_unanswered(now - sent_ms, units)

    def _adjust_window(self) -> None:
        self.limit.adjust()
        self.limit.was_filled = self.busy >= self.slots
        self.controller.fit_reserved_slots(int(self.limit.window))

    def release_overdue(self, now: float, first_interval_ms: float) -> None:
        """Free the slots of overdue attempts, and eject the node if it has not answered anything since.

        This protects against lost messages and silent nodes. It sets `next_check_ms` to the time at which the
        next attempt becomes overdue.

        Args:
            now: the time, ms.
            first_interval_ms: first interval between health checks of a silent node.
        """
        self.next_check_ms = NEVER_MS
        is_silent = False
        for attempt, queued in self.attempts.items():
            if queued.slot_released:
                continue
            if now <= queued.overdue_at_ms:
                self.next_check_ms = min(self.next_check_ms, queued.overdue_at_ms)
                continue
            self.release_slot(queued)
            is_silent = is_silent or self.health.last_answer_ms < attempt.sent_ms
        answers_others = self.latency.is_reported(now) and self.latency.waiting_ms < REPORTED_SILENCE_MS
        if is_silent and not answers_others:
            self.health.record_failure(now, first_interval_ms)

    # Responses to and outcomes of attempts.

    def record_response(self, attempt: Attempt) -> bool:
        """Free the slot of an attempt that the node is done with, although its outcome is not known yet.

        Returns:
            Whether the attempt is in flight at this node.
        """
        queued = self.attempts.get(attempt)
        if queued is None:
            return False
        self.release_slot(queued)
        if self.newest_attempt is attempt:
            self.newest_attempt = None
        return True

    def record_outcome(self, attempt: Attempt, now: float, first_interval_ms: float) -> None:
        """Free the slot of an attempt that ended, and update the estimates and the health of the node.

        Args:
            attempt: the attempt, with its outcome.
            now: the time, ms.
            first_interval_ms: first interval between health checks of a node that could not be connected to.
        """
        queued = self.attempts.pop(attempt)
        self.release_slot(queued)
        outcome = attempt.outcome
        succeeded = outcome is Outcome.OK
        if attempt.carried_by is not None:  # the carrying attempt updates the estimates
            if queued.pressed and succeeded:
                self._record_latency(attempt, queued, now)
            return
        silent_ms = now - self.health.last_answer_ms
        if outcome is Outcome.CONNECT_FAILED:
            self.health.record_failure(now, first_interval_ms)
        if outcome in (Outcome.OK, Outcome.FAILED, Outcome.REJECTED):
            self.health.record_answer(now, attempt.sent_ms, succeeded)
        units = attempt.coalesced_units or attempt.request.units
        if succeeded:
            self.latency.observe_work(attempt.latency_ms / max(units, MIN_UNITS), silent_ms, now)
        unanswered = outcome is Outcome.TIMED_OUT and self.health.last_answer_ms < attempt.sent_ms
        if succeeded or unanswered:
            waited_ms = max(0.0, attempt.latency_ms - units * self.latency.unit_ms)
            self.latency.observe_waiting(waited_ms, silent_ms, now)
            self.limit.record_wait(waited_ms / queued.workload.latency_objective_ms)
            if queued.pressed:
                self._record_latency(attempt, queued, now)

    def _record_latency(self, attempt: Attempt, queued: QueuedRequest, now: float) -> None:
        """Pass the time since the request arrived, over its latency objective, to the controller."""
        waited_ms = attempt.sent_ms + attempt.latency_ms - queued.arrived_ms
        self.controller.record(now, waited_ms / queued.workload.latency_objective_ms)

"""One node as this dispatcher uses it: its pressed and batch queue, slots, and the attempts in flight there.

The design is Cake's first-level scheduler: share picks the queue that fills a free slot, reserved slots are
kept from batch, a window bounds the attempts in flight.
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
"""Between two steps of the share controller."""

WINDOW_INTERVAL_MS = 1000.0
"""Between two adjustments of the window."""

OVERDUE_OBJECTIVES = 1.5
"""An attempt is overdue so many of the tightest latency objectives behind its expected answer."""

SHORT_WINDOW = 2.0
CROWDED_WAITING = 0.25
"""Batch yields where the window is under SHORT_WINDOW and waiting over this part of the tightest
objective."""

MIN_SHARE = 0.01
"""Bound on the divisor by which work is charged to a side."""

NODE_HASH_MASK = 0xFFFF
REPORTED_SILENCE_MS = 2000.0
"""A node that aggregated reports give less waiting than this answers others."""

MIN_UNITS = 1e-6


class NodeQueue:
    """Queues, slots and observations of one node.

    Attributes:
        node: the node, as the endpoint list has it.
        tightest_objective_ms: the shortest latency objective of the site.
        pressed, batch: requests that wait, in order of `sort_key`.
        nearby: requests that wait and may share an attempt, by key.
        latency, health, controller, limit: what is estimated and decided of this node.
        batch_debt: units that one side is ahead of its share; above 0 the batch queue is next.
        attempts: in flight at the node, with the request of each; removed by their outcomes.
        busy: attempts that hold a slot.
        batch_busy: those of them that are of the batch side.
        newest_attempt: the attempt started last; None before the first.
        newest_is_extra: whether that one went beyond the window.
        next_step_ms, next_window_ms: when the controller and the window step next.
        due_ms: the earliest time at which anything is wanted here.
        node_hash: 16 bits that gossip names the node by.
        warm_up_sends: time and units of attempts in the window of the slow start.
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
        self.nearby: dict[str, list[QueuedRequest]] = {}
        self.latency = LatencyEstimate(shared)
        self.health = NodeHealth(now)
        self.controller = ShareController()
        self.limit = ConcurrencyLimit()
        self.batch_debt = 0.0
        self.attempts: dict[Attempt, QueuedRequest] = {}
        self.busy = 0
        self.batch_busy = 0
        self.newest_attempt: Attempt | None = None
        self.newest_is_extra = False
        self.next_step_ms = now + CONTROL_INTERVAL_MS
        self.next_window_ms = now + WINDOW_INTERVAL_MS
        self.due_ms = NEVER_MS
        self.node_hash = crc32(node.address.encode()) & NODE_HASH_MASK
        self.warm_up_sends = warm_up_sends

    # Slots and queues.

    @property
    def slots(self) -> int:
        """Attempts that may be in flight; an ejected node gets one health check at a time."""
        return 1 if self.health.consecutive_failures else int(self.limit.window)

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits in either queue."""
        return bool(self.pressed or self.batch)

    def note_filled(self) -> None:
        """Remember for the window whether all slots are used."""
        self.limit.was_filled = self.limit.was_filled or self.busy >= self.slots

    def fillable_queues(self) -> list[list[QueuedRequest]]:
        """The queues that may fill a slot now, the one that share picks first."""
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
        # Other dispatchers' pressed requests show only as waiting at the node: batch yields to them too.
        crowding_ms = CROWDED_WAITING * self.tightest_objective_ms
        if self.limit.window < SHORT_WINDOW and self.latency.waiting_ms > crowding_ms:
            return False
        # On a slow node slots stay reserved: they are lent while no pressed request waits or is in flight.
        pressed_is_here = bool(self.pressed) or self.batch_busy < self.busy
        reserved = min(self.controller.reserved_slots, slots - 1) if pressed_is_here else 0
        return self.batch_busy < slots - reserved

    def followers_of_newest(self) -> list[QueuedRequest]:
        """Requests on the key of the newest attempt: right behind it a node has much less work.

        One of them may go beyond the window.
        """
        newest = self.newest_attempt
        if newest is None or newest.outcome or self.newest_is_extra or self.health.consecutive_failures:
            return []
        key = newest.request.key
        if not key:
            return []
        return [queued for queued in [*self.pressed, *self.batch] if queued.request.key == key]

    def record_attempt(self, queued: QueuedRequest, attempt: Attempt) -> None:
        """An attempt has started and takes a slot."""
        self.newest_attempt = attempt
        self.attempts[attempt] = queued
        expected_ms = self.latency.expected_ms(attempt.coalesced_units or attempt.request.units)
        patience_ms = OVERDUE_OBJECTIVES * self.tightest_objective_ms
        queued.overdue_at_ms = attempt.sent_ms + patience_ms + expected_ms
        self.newest_is_extra = self.busy >= self.slots
        queued.slot_released = False
        self.busy += 1
        if not queued.pressed:
            self.batch_busy += 1

    def charge_share(self, queued: QueuedRequest) -> None:
        """Charge a request's units to its side, by the side's share."""
        if queued.pressed:
            divisor = max(self.controller.share, MIN_SHARE)
        else:
            divisor = min(self.controller.share - 1.0, -MIN_SHARE)
        self.batch_debt += queued.request.units / divisor
        if not (self.pressed and self.batch):  # nothing is owed to a side that did not wait
            self.batch_debt = 0.0

    def release_slot(self, queued: QueuedRequest) -> None:
        """The newest attempt of the request holds no slot any more."""
        if not queued.slot_released:
            self.busy -= 1
            if not queued.pressed:
                self.batch_busy -= 1
        queued.slot_released = True

    # Time.

    def catch_up(self, now: float) -> None:
        """Make the steps owed since this node last mattered.

        All steps but the first only let the observed waiting fade.
        """
        owed = int((now - self.next_step_ms) // CONTROL_INTERVAL_MS) + 1
        is_reported = self.latency.is_reported(now)
        if owed > 0:
            if not (self.busy or is_reported):
                self.latency.fade(owed)
            self._step_controller(self.next_step_ms)
            self.next_step_ms += owed * CONTROL_INTERVAL_MS
        if not is_reported:
            self._observe_unanswered(now)
        if now >= self.next_window_ms:
            self._adjust_window()
            passed = (now - self.next_window_ms) // WINDOW_INTERVAL_MS
            self.next_window_ms += (passed + 1.0) * WINDOW_INTERVAL_MS

    def _step_controller(self, at_ms: float) -> None:
        waiting_latency: float | None = None
        if self.pressed:
            first = self.pressed[0]
            waiting_latency = (at_ms - first.arrived_ms) / first.workload.latency_objective_ms
        self.controller.step(at_ms, self.slots, waiting_latency, bool(self.batch))

    def _observe_unanswered(self, now: float) -> None:
        """What stays in flight tells of waiting, unless it was sent in a gap without any answer."""
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

    def release_overdue(self, now: float, patience_ms: float) -> None:
        """Take back the slots of overdue attempts; a silent node is ejected.

        Guards against lost messages and silent nodes. Sets `due_ms` to the next attempt that turns overdue.

        Args:
            now: the time, ms.
            patience_ms: first interval between health checks of a silent node.
        """
        self.due_ms = NEVER_MS
        silent = False
        for attempt, queued in self.attempts.items():
            if queued.slot_released:
                continue
            if now <= queued.overdue_at_ms:
                self.due_ms = min(self.due_ms, queued.overdue_at_ms)
                continue
            self.release_slot(queued)
            silent = silent or self.health.last_answer_ms < attempt.sent_ms
        answers_others = self.latency.is_reported(now) and self.latency.waiting_ms < REPORTED_SILENCE_MS
        if silent and not answers_others:
            self.health.record_failure(now, patience_ms)

    # Outcomes.

    def record_outcome(self, attempt: Attempt, now: float, patience_ms: float) -> None:
        """An attempt ended; `patience_ms` is the first interval between health checks of a failed node."""
        queued = self.attempts.pop(attempt)
        self.release_slot(queued)
        outcome = attempt.outcome
        succeeded = outcome is Outcome.OK
        if attempt.carried_by is not None:  # the attempt that carried it tells of the node
            if queued.pressed and succeeded:
                self._record_latency(attempt, queued, now)
            return
        silent_ms = now - self.health.last_answer_ms
        if outcome is Outcome.CONNECT_FAILED:
            self.health.record_failure(now, patience_ms)
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
        """Time that the client waited, over its latency objective."""
        waited_ms = attempt.sent_ms + attempt.latency_ms - queued.arrived_ms
        self.controller.record(now, waited_ms / queued.workload.latency_objective_ms)

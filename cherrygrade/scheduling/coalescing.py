"""Neighbouring ranges that share one attempt.

What waits at the node anyway and adjoins shares the attempt and its slot, while nobody misses a latency
objective by it. Reads may overlap, writes only touch. Each passes admission and is charged as if it went
alone.
"""

from __future__ import annotations

from collections.abc import Callable

from cherrygrade.scheduling.admission import Admission
from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Attempt, Request
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.timing import NEVER_MS

StartAttempt = Callable[[QueuedRequest], Attempt]


def _order(queued: QueuedRequest) -> tuple[bool, float]:
    return not queued.pressed, queued.sort_key


class SharedRange:
    """The byte range of an attempt as it grows.

    Attributes:
        low, high: first byte, and the one behind the last.
        objective_at_ms: the earliest latency objective of those in it that can still be met.
    """

    def __init__(self, first: QueuedRequest, objective_at_ms: float) -> None:
        request = first.request
        self.is_write = request.is_write
        self.low = request.offset
        self.high = request.offset + request.length
        self.objective_at_ms = objective_at_ms

    def length_with(self, request: Request) -> int:
        """Bytes from end to end if the request joined."""
        return max(self.high, request.offset + request.length) - min(self.low, request.offset)

    def adjoins(self, request: Request) -> bool:
        """Whether nothing lies between; writes may not overlap."""
        end = request.offset + request.length
        if self.is_write:
            return end == self.low or request.offset == self.high
        return request.offset <= self.high and self.low <= end

    def grow(self, request: Request, objective_at_ms: float) -> None:
        """The request joined."""
        self.low = min(self.low, request.offset)
        self.high = max(self.high, request.offset + request.length)
        self.objective_at_ms = min(self.objective_at_ms, objective_at_ms)


class Coalescing:
    """Lets waiting requests join an attempt that starts."""

    def __init__(self, settings: EffectiveSettings, admission: Admission) -> None:
        self.settings = settings
        self.admission = admission

    def join_neighbours(
        self,
        first: QueuedRequest,
        attempt: Attempt,
        queue: NodeQueue,
        now: float,
        start: StartAttempt,
    ) -> None:
        """Let every neighbour that fits join.

        Args:
            first: the request whose attempt starts.
            attempt: that attempt; it carries those that join.
            queue: the node.
            now: the time, ms.
            start: starts the attempt of one that joins.
        """
        waiting = self._candidates(first, queue)
        shared = SharedRange(first, _objective_if_met(first, queue, now))
        before = len(waiting) + 1
        while waiting and len(waiting) < before:  # each that joined may bring others within reach
            before = len(waiting)
            waiting = [
                queued for queued in waiting if not self._join(queued, attempt, shared, queue, now, start)
            ]

    def _candidates(self, first: QueuedRequest, queue: NodeQueue) -> list[QueuedRequest]:
        request = first.request
        found = [
            queued
            for queued in queue.nearby[request.key]
            if queued.request.volume == request.volume and queued.request.is_write == request.is_write
        ]
        found.sort(key=_order)
        return found

    def _join(
        self,
        queued: QueuedRequest,
        attempt: Attempt,
        shared: SharedRange,
        queue: NodeQueue,
        now: float,
        start: StartAttempt,
    ) -> bool:
        policy, request = self.settings.policy, queued.request
        length = shared.length_with(request)
        units = max(policy.min_units, length / policy.bytes_per_unit)
        objective_at_ms = _objective_if_met(queued, queue, now)
        is_full = (
            length > policy.max_coalesced_bytes
            or len(attempt.coalesced or ()) >= policy.max_coalesced_requests
        )
        if is_full or not shared.adjoins(request):
            return False
        if now + queue.latency.expected_ms(units) > min(shared.objective_at_ms, objective_at_ms):
            return False
        if self.admission.earliest_start_ms(queued, queue, now) > now:
            return False
        joined = start(queued)
        queue.attempts[joined] = queued
        queued.slot_released = True  # it holds no slot of its own
        queued.overdue_at_ms = NEVER_MS
        joined.carried_by = attempt
        attempt.coalesced_units = units
        attempt.coalesced = [*(attempt.coalesced or ()), joined]
        shared.grow(request, objective_at_ms)
        return True


def _objective_if_met(queued: QueuedRequest, queue: NodeQueue, now: float) -> float:
    """When its objective ends; NEVER_MS where it can't be met anyway."""
    expected_at_ms = now + queue.latency.expected_ms(queued.request.units)
    return queued.objective_at_ms if expected_at_ms <= queued.objective_at_ms else NEVER_MS

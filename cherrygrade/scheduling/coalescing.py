"""Coalescing: requests on neighbouring byte ranges of one key share an attempt.

Requests that wait at the node and adjoin the range of an attempt share the attempt and its slot, as long as
none of them misses a latency objective because of it. Reads may overlap, writes may only touch. Each request
passes admission and is charged as if it were sent alone.
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
"""Starts an attempt of a request that joins, and returns the attempt."""


def _queue_order(queued: QueuedRequest) -> tuple[bool, float]:
    return not queued.pressed, queued.sort_key


class SharedRange:
    """The byte range of an attempt while requests join it.

    Attributes:
        is_write: whether the attempt writes; a write joins only writes, a read only reads.
        low: offset of the first byte.
        high: offset behind the last byte.
        objective_at_ms: when the earliest latency objective that can still be met ends, ms; NEVER_MS if none
            can be met.
    """

    def __init__(self, first: QueuedRequest, objective_at_ms: float) -> None:
        request = first.request
        self.is_write = request.is_write
        self.low = request.offset
        self.high = request.offset + request.length
        self.objective_at_ms = objective_at_ms

    def length_with(self, request: Request) -> int:
        """Return the length in bytes that the range would have if the request joined."""
        return max(self.high, request.offset + request.length) - min(self.low, request.offset)

    def adjoins(self, request: Request) -> bool:
        """Whether the request's range touches this one. Reads may also overlap it, writes may not."""
        end = request.offset + request.length
        if self.is_write:
            return end == self.low or request.offset == self.high
        return request.offset <= self.high and self.low <= end

    def grow(self, request: Request, objective_at_ms: float) -> None:
        """Extend the range by a request that joins, whose latency objective ends at `objective_at_ms`."""
        self.low = min(self.low, request.offset)
        self.high = max(self.high, request.offset + request.length)
        self.objective_at_ms = min(self.objective_at_ms, objective_at_ms)


class Coalescing:
    """Lets waiting requests join an attempt that starts.

    Attributes:
        settings: the settings in force.
        admission: the rules that each request that joins must satisfy.
    """

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
        """Let every waiting neighbour that fits join the attempt.

        Args:
            first: the request whose attempt starts.
            attempt: the attempt, which carries the attempts of the requests that join.
            queue: the queue of the node that the attempt goes to.
            now: the time, ms.
            start: starts the attempt of a request that joins.
        """
        waiting = self._candidates(first, queue)
        shared = SharedRange(first, _objective_if_met(first, queue, now))
        count_before = len(waiting) + 1
        while waiting and len(waiting) < count_before:  # a request that joined may close the gap to others
            count_before = len(waiting)
            waiting = [
                queued for queued in waiting if not self._join(queued, attempt, shared, queue, now, start)
            ]

    def _candidates(self, first: QueuedRequest, queue: NodeQueue) -> list[QueuedRequest]:
        request = first.request
        candidates = [
            queued
            for queued in queue.coalescable[request.key]
            if queued.request.volume == request.volume and queued.request.is_write == request.is_write
        ]
        candidates.sort(key=_queue_order)
        return candidates

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
        queued.slot_released = True  # it shares the slot of the carrying attempt
        queued.overdue_at_ms = NEVER_MS
        joined.carried_by = attempt
        attempt.coalesced_units = units
        attempt.coalesced = [*(attempt.coalesced or ()), joined]
        shared.grow(request, objective_at_ms)
        return True


def _objective_if_met(queued: QueuedRequest, queue: NodeQueue, now: float) -> float:
    """When the request's latency objective ends; NEVER_MS if it cannot be met any more."""
    expected_at_ms = now + queue.latency.expected_ms(queued.request.units)
    return queued.objective_at_ms if expected_at_ms <= queued.objective_at_ms else NEVER_MS

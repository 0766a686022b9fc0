"""Schedules when each node queue has to be checked again, and requests wake-ups from the host."""

from __future__ import annotations

from heapq import heappop, heappush

from cherrygrade.scheduling.model import DecisionSink
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.seeded_random import Counter
from cherrygrade.scheduling.timing import NEVER_MS, next_grid_ms

ROUNDING_MS = 0.01
"""A wake-up may come this much early, since hosts round times."""


class WakeUps:
    """Scheduled checks of node queues.

    Attributes:
        entries: heap of scheduled time (ms), number and queue. An entry is valid while its time is the
            queue's `next_check_ms`; outdated ones are dropped when they reach the top.
        requested_ms: times of the wake-ups that were requested and have not come yet.
    """

    def __init__(self, counter: Counter) -> None:
        self.entries: list[tuple[float, int, NodeQueue]] = []
        self.requested_ms: set[float] = set()
        self._counter = counter

    def schedule(self, queue: NodeQueue, previous_check_ms: float, now: float) -> None:
        """Round a queue's `next_check_ms` up to the grid, and enter it if it differs from before."""
        queue.next_check_ms = min(NEVER_MS, next_grid_ms(max(queue.next_check_ms, now)))
        if previous_check_ms != queue.next_check_ms < NEVER_MS:
            heappush(self.entries, (queue.next_check_ms, self._counter.next(), queue))

    def pop_due(self, now: float) -> NodeQueue | None:
        """Return the next queue to check by `now` and reset its `next_check_ms`; None if there is none."""
        while self.entries and self.entries[0][0] <= now + ROUNDING_MS:
            check_ms, _, queue = heappop(self.entries)
            if check_ms == queue.next_check_ms:
                queue.next_check_ms = NEVER_MS
                return queue
        return None

    def request_next(self, now: float, other_ms: float, sink: DecisionSink) -> None:
        """Request the next wake-up from the host, unless one was requested for that time.

        Args:
            now: the time, ms.
            other_ms: the earliest time that something other than a node queue is scheduled for.
            sink: receives the request.
        """
        while self.entries and self.entries[0][0] != self.entries[0][2].next_check_ms:
            heappop(self.entries)
        self.requested_ms = {at for at in self.requested_ms if at > now + ROUNDING_MS}
        at_ms = min(other_ms, self.entries[0][0] if self.entries else NEVER_MS)
        if at_ms < NEVER_MS and at_ms not in self.requested_ms:
            self.requested_ms.add(at_ms)
            sink.wake(max(0.0, at_ms - now))

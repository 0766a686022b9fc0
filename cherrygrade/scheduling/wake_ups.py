"""When the scheduler wants to be called again: the due time of each node queue, and wake-ups asked for."""

from __future__ import annotations

from heapq import heappop, heappush

from cherrygrade.scheduling.model import DecisionSink
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.seeded_random import Counter
from cherrygrade.scheduling.timing import NEVER_MS, next_mark

ROUNDING_MS = 0.01
"""A wake-up may come a rounding early."""


class WakeUps:
    """Due times of node queues.

    Attributes:
        entries: heap of due time, number and queue. Only the entry that matches its queue's `due_ms` counts;
            older ones are dropped as they surface.
        requested_ms: wake-ups that were asked for and are to come.
    """

    def __init__(self, counter: Counter) -> None:
        self.entries: list[tuple[float, int, NodeQueue]] = []
        self.requested_ms: set[float] = set()
        self._counter = counter

    def schedule(self, queue: NodeQueue, previous_due_ms: float, now: float) -> None:
        """Put a queue's `due_ms` on the grid, and enter it if it is another than before."""
        queue.due_ms = min(NEVER_MS, next_mark(max(queue.due_ms, now)))
        if previous_due_ms != queue.due_ms < NEVER_MS:
            heappush(self.entries, (queue.due_ms, self._counter.next(), queue))

    def pop_due(self, now: float) -> NodeQueue | None:
        """The next queue that is due by now, its `due_ms` reset; None where none is."""
        while self.entries and self.entries[0][0] <= now + ROUNDING_MS:
            due_ms, _, queue = heappop(self.entries)
            if due_ms == queue.due_ms:
                queue.due_ms = NEVER_MS
                return queue
        return None

    def request_next(self, now: float, other_ms: float, sink: DecisionSink) -> None:
        """Ask the host for the next wake-up, unless that was done.

        Args:
            now: the time, ms.
            other_ms: the earliest time that anything but a node queue is due.
            sink: takes the request.
        """
        while self.entries and self.entries[0][0] != self.entries[0][2].due_ms:
            heappop(self.entries)
        self.requested_ms = {at for at in self.requested_ms if at > now + ROUNDING_MS}
        at_ms = min(other_ms, self.entries[0][0] if self.entries else NEVER_MS)
        if at_ms < NEVER_MS and at_ms not in self.requested_ms:
            self.requested_ms.add(at_ms)
            sink.wake(max(0.0, at_ms - now))

"""A request as the scheduler holds it, from its arrival until it is finished and no attempt is in flight."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING

from cherrygrade.scheduling.model import Request, Workload
from cherrygrade.scheduling.quota import VolumeQuota

if TYPE_CHECKING:
    from cherrygrade.scheduling.node_queue import NodeQueue


def _sort_key(queued: QueuedRequest) -> float:
    return queued.sort_key


class QueuedRequest:
    """One request with its place in a queue.

    Attributes:
        request: the host's object.
        workload: its workload.
        volume: the quota that it is charged to.
        arrived_ms: when it arrived.
        objective_at_ms: when its latency objective ends.
        utility_level: part of its value that its units earn, 0 to 1.
        sort_key: its place in a queue, lowest first; equals keep the order of arrival.
        overdue_at_ms: when its newest attempt is taken for lost and holds no slot any more.
        queue: the queue that it waits in; None while it waits in none.
        node_queue: the node that it was placed on; None before the first placement.
        nearby: requests that may share an attempt with it, by key, while it waits; else None.
        pressed: whether it belongs to the pressed side of Cake's two queues.
        slot_released: whether its newest attempt holds no slot of the node.
    """

    def __init__(
        self,
        request: Request,
        workload: Workload,
        volume: VolumeQuota,
        now: float,
        objective_at_ms: float,
    ) -> None:
        self.request = request
        self.workload = workload
        self.volume = volume
        self.arrived_ms = now
        self.objective_at_ms = objective_at_ms
        self.utility_level = 1.0
        self.sort_key = 0.0
        self.overdue_at_ms = 0.0
        self.queue: list[QueuedRequest] | None = None
        self.node_queue: NodeQueue | None = None
        self.nearby: dict[str, list[QueuedRequest]] | None = None
        self.pressed = False
        self.slot_released = False

    @property
    def in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        for attempt in self.request.attempts:
            if attempt.outcome is None:
                return True
        return False

    def move_to(self, queue: list[QueuedRequest] | None) -> None:
        """Leave the queue that it waits in for this one, or for none."""
        if self.queue is not None:
            self.queue.remove(self)
        self._leave_nearby()
        if queue is not None and self.request.coalescable and self.node_queue is not None:
            self.nearby = self.node_queue.nearby
            self.nearby.setdefault(self.request.key, []).append(self)
        self.queue = queue
        if queue:
            insort(queue, self, key=_sort_key)
        elif queue is not None:
            queue.append(self)

    def _leave_nearby(self) -> None:
        nearby = self.nearby
        if nearby is None:
            return
        self.nearby = None
        key = self.request.key
        nearby[key].remove(self)
        if not nearby[key]:
            del nearby[key]

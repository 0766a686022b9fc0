"""A request as the scheduler holds it, from its arrival until it is finished and no attempt is in flight."""

from __future__ import annotations

from bisect import insort

from cherrygrade.scheduling.model import Node, Request, Workload
from cherrygrade.scheduling.quota import VolumeQuota


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
        node: the node that it was placed on; None before the first placement.
        nearby: requests that wait at that node and may share an attempt, by key; None before.
        is_nearby: whether it is one of them now.
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
        self.node: Node | None = None
        self.nearby: dict[str, list[QueuedRequest]] | None = None
        self.is_nearby = False
        self.pressed = False
        self.slot_released = False

    @property
    def in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.request.attempts)

    def assign(self, node: Node, nearby: dict[str, list[QueuedRequest]]) -> None:
        """Place it on a node; `nearby` is the table of that node's queue."""
        self._leave_nearby()
        self.node = node
        self.nearby = nearby

    def move_to(self, queue: list[QueuedRequest] | None) -> None:
        """Leave the queue that it waits in for this one, or for none."""
        if self.queue is not None:
            self.queue.remove(self)
        self._leave_nearby()
        if queue is not None and self.request.coalescable and self.nearby is not None:
            self.nearby.setdefault(self.request.key, []).append(self)
            self.is_nearby = True
        self.queue = queue
        if queue:
            insort(queue, self, key=_sort_key)
        elif queue is not None:
            queue.append(self)

    def _leave_nearby(self) -> None:
        nearby = self.nearby
        if nearby is None or not self.is_nearby:
            return
        self.is_nearby = False
        key = self.request.key
        nearby[key].remove(self)
        if not nearby[key]:
            del nearby[key]

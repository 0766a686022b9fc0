"""The scheduler's state of a request, from its arrival until it is finished and no attempt is in flight."""

from __future__ import annotations

from bisect import insort

from cherrygrade.scheduling.model import Node, Request, Workload
from cherrygrade.scheduling.quota import VolumeQuota


def _sort_key(queued: QueuedRequest) -> float:
    return queued.sort_key


class QueuedRequest:
    """A request with its place in a queue.

    Attributes:
        request: the host's request.
        workload: workload of the request.
        volume: quota that the request is charged to.
        arrived_ms: when the request arrived, ms.
        objective_at_ms: when the latency objective ends, ms.
        utility_level: fraction of their value that the request's units earn, 0 to 1.
        sort_key: position in a queue, lowest first; requests with equal keys keep the order of arrival.
        overdue_at_ms: when the newest attempt counts as lost and its slot is released, ms.
        queue: the queue that the request waits in; None while it does not wait.
        node: the node that the request was placed on; None before the first placement.
        coalescable_at_node: the waiting requests of that node that may share an attempt, by key; None before
            the first placement.
        is_coalescable_now: whether `coalescable_at_node` contains this request.
        pressed: whether the request belongs in Cake's pressed queue; otherwise it belongs in the batch queue.
        slot_released: whether the newest attempt does not occupy a slot of the node.
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
        self.coalescable_at_node: dict[str, list[QueuedRequest]] | None = None
        self.is_coalescable_now = False
        self.pressed = False
        self.slot_released = False

    @property
    def in_flight(self) -> bool:
        """Whether an attempt of the request has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.request.attempts)

    def assign(self, node: Node, coalescable: dict[str, list[QueuedRequest]]) -> None:
        """Place the request on a node, whose waiting coalescable requests are given by key."""
        self._leave_coalescable()
        self.node = node
        self.coalescable_at_node = coalescable

    def move_to(self, queue: list[QueuedRequest] | None) -> None:
        """Move the request from the queue that it waits in to another one; None: to no queue."""
        if self.queue is not None:
            self.queue.remove(self)
        self._leave_coalescable()
        if queue is not None and self.request.coalescable and self.coalescable_at_node is not None:
            self.coalescable_at_node.setdefault(self.request.key, []).append(self)
            self.is_coalescable_now = True
        self.queue = queue
        if queue:
            insort(queue, self, key=_sort_key)
        elif queue is not None:
            queue.append(self)

    def _leave_coalescable(self) -> None:
        coalescable = self.coalescable_at_node
        if coalescable is None or not self.is_coalescable_now:
            return
        self.is_coalescable_now = False
        key = self.request.key
        coalescable[key].remove(self)
        if not coalescable[key]:
            del coalescable[key]

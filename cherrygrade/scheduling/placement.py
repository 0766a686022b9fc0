"""Chooses the node that a request goes to.

A request on existing data goes to the node that holds its shard. A live node has credit for new objects if it
is not ejected, answers with few errors and has a free slot that no pressed request waits for. Two nodes with
credit are compared, beginning at a random node, and the one with the lower expected latency is chosen; a node
that is warming up is not chosen. The random start keeps dispatchers with the same information from all
choosing the same node.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrygrade.scheduling.admission import Admission
from cherrygrade.scheduling.model import Node, NodeState
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.retries import may_have_run
from cherrygrade.scheduling.seeded_random import Counter, random_uint32
from cherrygrade.scheduling.slow_start import UNLIMITED_UNITS
from cherrygrade.scheduling.timing import NEVER_MS

CANDIDATES = 2
"""Nodes with credit that are compared; ranking all nodes would take too long in a large fleet."""


class Placement:
    """Indexes the node queues, and chooses one for each request.

    Attributes:
        admission: decides whether a node is still warming up.
        queues: one queue per node; removed once the node is gone and has no attempt or waiting request.
        by_shard: queues of the nodes that hold a shard; rebuilt with each endpoint list.
        unplaced: queue of the requests that no listed node can take: new objects while no node has credit,
            and requests on shards that no listed node holds.
    """

    def __init__(self, admission: Admission, unplaced: NodeQueue, seed: int, counter: Counter) -> None:
        self.admission = admission
        self.queues: dict[Node, NodeQueue] = {}
        self.by_shard: dict[int, list[NodeQueue]] = {}
        self.unplaced = unplaced
        self._seed = seed
        self._counter = counter

    def index(self, queues: Iterable[NodeQueue]) -> None:
        """Rebuild the index of queues by the shard of their node."""
        self.by_shard = {}
        for queue in queues:
            self.by_shard.setdefault(queue.node.shard, []).append(queue)

    def has_waiting(self, node: Node) -> bool:
        """Whether a request waits for a free slot of the node."""
        queue = self.queues.get(node)
        return self.unplaced.has_waiting or (queue is not None and queue.has_waiting)

    def choose(self, queued: QueuedRequest, now: float) -> NodeQueue:
        """Return the queue of the node that a request goes to."""
        number = self._counter.next()
        shard = self._shard_of(queued)
        if shard >= 0:
            return self._queue_of_shard(shard)
        return self._fastest_queue(queued, number, now)

    def _shard_of(self, queued: QueuedRequest) -> int:
        """Return the shard that the request is bound to; ANY_SHARD if none.

        A new object that may have been written goes back to the shard of that attempt, the only one where a
        repeat is dropped.
        """
        request = queued.request
        if request.shard >= 0:
            return request.shard
        for attempt in request.attempts:
            if may_have_run(attempt):
                return attempt.node.shard
        return request.shard

    def _queue_of_shard(self, shard: int) -> NodeQueue:
        queues = self.by_shard.get(shard)
        if not queues:
            return self.unplaced
        for queue in queues:
            if queue.node.state is NodeState.LIVE:
                return queue
        return queues[0]

    def _fastest_queue(self, queued: QueuedRequest, number: int, now: float) -> NodeQueue:
        chosen, lowest_ms = self.unplaced, NEVER_MS
        queues = [*self.queues.values()]
        start = random_uint32(self._seed, number) % len(queues) if queues else 0
        remaining = CANDIDATES
        for queue in queues[start:] + queues[:start]:
            if not _has_credit(queue):
                continue
            remaining -= 1
            if remaining < 0 and lowest_ms < NEVER_MS:
                break
            expected_ms = queue.latency.expected_ms(queued.request.units)
            if expected_ms < lowest_ms and self._is_warm(queue, now):
                chosen, lowest_ms = queue, expected_ms
        return chosen

    def _is_warm(self, queue: NodeQueue, now: float) -> bool:
        return self.admission.slow_start.units_left(queue, now) >= UNLIMITED_UNITS


def _has_credit(queue: NodeQueue) -> bool:
    if queue.node.state is not NodeState.LIVE or not queue.health.takes_new_objects:
        return False
    return queue.slots - queue.busy - len(queue.pressed) > 0

"""Which node a request goes to.

A request on existing data goes to the node that holds its shard. A new object goes where an answer is
expected
sooner, of the first two nodes with credit from a random start: dispatchers that know the same would otherwise
all run to the same node. Credit is a free slot that no pressed request waits for.
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
"""Nodes with credit that are compared; a large fleet is not ranked whole."""


class Placement:
    """Node queues by node and by shard.

    Attributes:
        queues: one queue a node; dropped once the node is gone and nothing of it is left.
        by_shard: queues that may hold a shard; made anew with each list.
        unplaced: holds requests that no listed node can take: new objects without credit anywhere, and
            shards that no node in the list holds.
    """

    def __init__(self, admission: Admission, unplaced: NodeQueue, seed: int, counter: Counter) -> None:
        self.admission = admission
        self.queues: dict[Node, NodeQueue] = {}
        self.by_shard: dict[int, list[NodeQueue]] = {}
        self.unplaced = unplaced
        self._seed = seed
        self._counter = counter

    def index(self, queues: Iterable[NodeQueue]) -> None:
        """Enter queues under the shards of their nodes, in order."""
        self.by_shard = {}
        for queue in queues:
            self.by_shard.setdefault(queue.node.shard, []).append(queue)

    def choose(self, queued: QueuedRequest, now: float) -> NodeQueue:
        """The node queue for a request."""
        number = self._counter.next()
        shard = self._shard_of(queued)
        if shard >= 0:
            return self._home_of(shard)
        return self._soonest(queued, number, now)

    def _shard_of(self, queued: QueuedRequest) -> int:
        """A new object that may have run goes back to its first node: only there its repeat is dropped."""
        request = queued.request
        if request.shard >= 0:
            return request.shard
        for attempt in request.attempts:
            if may_have_run(attempt):
                return attempt.node.shard
        return request.shard

    def _home_of(self, shard: int) -> NodeQueue:
        homes = self.by_shard.get(shard)
        if not homes:
            return self.unplaced
        for queue in homes:
            if queue.node.state is NodeState.LIVE:
                return queue
        return homes[0]

    def _soonest(self, queued: QueuedRequest, number: int, now: float) -> NodeQueue:
        chosen, soonest_ms = self.unplaced, NEVER_MS
        queues = [*self.queues.values()]
        start = random_uint32(self._seed, number) % len(queues) if queues else 0
        left = CANDIDATES
        for queue in queues[start:] + queues[:start]:
            if not _has_credit(queue):
                continue
            left -= 1
            if left < 0 and soonest_ms < NEVER_MS:
                break
            expected_ms = queue.latency.expected_ms(queued.request.units)
            if expected_ms < soonest_ms and self._is_warm(queue, now):
                chosen, soonest_ms = queue, expected_ms
        return chosen

    def _is_warm(self, queue: NodeQueue, now: float) -> bool:
        return self.admission.slow_start.units_left(queue, now) >= UNLIMITED_UNITS


def _has_credit(queue: NodeQueue) -> bool:
    if queue.node.state is not NodeState.LIVE or not queue.health.takes_new_objects:
        return False
    return queue.slots - queue.busy - len(queue.pressed) > 0

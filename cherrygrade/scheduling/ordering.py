"""Keyed order: requests of an ordered workload on one key run one after another (rule 5).

After an attempt whose outcome is unknown no request on the key starts for a cool-down period, since the node
may still run that attempt.
"""

from __future__ import annotations

from collections import deque

from cherrygrade.scheduling.model import Attempt
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.retries import workload_of
from cherrygrade.scheduling.timing import NEVER_MS


class KeyOrder:
    """Queues the requests of ordered workloads by key.

    Attributes:
        cool_down_ms: cool-down of a key after an attempt whose outcome is unknown.
        queues: unfinished requests by key, in order of arrival; the first one may run. A key is removed with
            its last request.
        cool_down_until_ms: end of the cool-down by key, ms; removed once it has passed.
    """

    def __init__(self, cool_down_ms: float) -> None:
        self.cool_down_ms = cool_down_ms
        self.queues: dict[str, deque[QueuedRequest]] = {}
        self.cool_down_until_ms: dict[str, float] = {}

    def forget_old(self, now: float) -> None:
        """Drop the cool-downs that have ended by `now` (ms)."""
        if self.cool_down_until_ms:
            cool_downs = self.cool_down_until_ms
            self.cool_down_until_ms = {key: ends_ms for key, ends_ms in cool_downs.items() if ends_ms > now}

    def add(self, queued: QueuedRequest) -> None:
        """Queue a request that arrived behind the earlier ones of its key, if its workload is ordered."""
        if queued.workload.ordered and queued.request.key:
            self.queues.setdefault(queued.request.key, deque()).append(queued)

    def remove(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Remove a request that is finished and has no attempt in flight.

        Returns:
            The request that is now first of the key; None if there is none.
        """
        key = queued.request.key
        queue = self.queues.get(key)
        if queue is None:
            return None
        if queued in queue:
            queue.remove(queued)
            if not queue:
                del self.queues[key]
        return queue[0] if queue else None

    def record_outcome(self, attempt: Attempt, now: float) -> None:
        """Start the cool-down of the key if the node may still run the attempt after its outcome."""
        request, outcome = attempt.request, attempt.outcome
        if outcome is not None and outcome.may_still_run and request.key and workload_of(request).ordered:
            self.cool_down_until_ms[request.key] = now + self.cool_down_ms

    def may_start(self, queued: QueuedRequest, now: float) -> bool:
        """Whether the request is not ordered, or is the first of a key that is not in a cool-down."""
        key = queued.request.key
        if not (queued.workload.ordered and key):
            return True
        return self.queues[key][0] is queued and now >= self.cool_down_until_ms.get(key, now)

    def next_check_ms(self, queued: QueuedRequest) -> float:
        """Return when to check again a request that may not start: the end of the key's cool-down, ms.

        It is NEVER_MS where the request waits for another to finish.
        """
        return self.cool_down_until_ms.get(queued.request.key, NEVER_MS)

"""Keyed order: requests of an ordered workload on one key run one behind the other (rule 5).

After an attempt whose outcome is unknown the key rests, since that attempt may still run.
"""

from __future__ import annotations

from collections import deque

from cherrygrade.scheduling.model import Attempt
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.retries import workload_of
from cherrygrade.scheduling.timing import NEVER_MS


class KeyOrder:
    """Ordered requests by key.

    Attributes:
        cool_down_ms: how long a key rests after an unknown outcome.
        turns: ordered requests of a key, the one whose turn it is first; a key goes with its last request.
        resting_until_ms: when a key's rest ends; dropped once it is over.
    """

    def __init__(self, cool_down_ms: float) -> None:
        self.cool_down_ms = cool_down_ms
        self.turns: dict[str, deque[QueuedRequest]] = {}
        self.resting_until_ms: dict[str, float] = {}

    def forget_old(self, now: float) -> None:
        """Drop rests that are over."""
        if self.resting_until_ms:
            resting = self.resting_until_ms
            self.resting_until_ms = {key: until for key, until in resting.items() if until > now}

    def add(self, queued: QueuedRequest) -> None:
        """A request arrived; it stands behind those of its key."""
        if queued.workload.ordered and queued.request.key:
            self.turns.setdefault(queued.request.key, deque()).append(queued)

    def remove(self, queued: QueuedRequest) -> QueuedRequest | None:
        """The request is finished and nothing of it is in flight.

        Returns:
            The request of its key that may go now, if there is one.
        """
        key = queued.request.key
        turn = self.turns.get(key)
        if turn is None:
            return None
        if queued in turn:
            turn.remove(queued)
            if not turn:
                del self.turns[key]
        return turn[0] if turn else None

    def record_outcome(self, attempt: Attempt, now: float) -> None:
        """An attempt that may still run makes its key rest."""
        request, outcome = attempt.request, attempt.outcome
        if outcome is not None and outcome.may_still_run and request.key and workload_of(request).ordered:
            self.resting_until_ms[request.key] = now + self.cool_down_ms

    def is_its_turn(self, queued: QueuedRequest, now: float) -> bool:
        """Whether the request is the first of its key, and the key does not rest."""
        key = queued.request.key
        if not (queued.workload.ordered and key):
            return True
        return self.turns[key][0] is queued and now >= self.resting_until_ms.get(key, now)

    def next_turn_ms(self, queued: QueuedRequest) -> float:
        """When to look again at a request whose turn it is not; NEVER_MS if time alone won't do."""
        return self.resting_until_ms.get(queued.request.key, NEVER_MS)

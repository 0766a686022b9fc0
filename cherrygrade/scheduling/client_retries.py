"""Retries that clients make: a repeat is late since its first try.

Where clients mark their retries, the mark tells. Elsewhere a retry can only follow a request that was given
up
here, so the volume and key of those are remembered for a while.
"""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Request, Workload
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.timing import NEVER_MS

DEFAULT_REMEMBER_MS = 1000.0
"""How long given-up requests are remembered before any request told of its time."""


class ClientRetries:
    """Finds when the latency objective of an arriving request ends.

    Attributes:
        longest_ms: the longest time that clients gave a request, by workload.
        recently_given_up, earlier_given_up: volume and key of requests that were given up, with when their
            objective ended. Two generations; the older goes each time the longest time has passed.
        next_generation_ms: when that is.
        previous_round_ms, round_ms: times of the round before and of this one.
    """

    def __init__(self, settings: EffectiveSettings) -> None:
        self.settings = settings
        self.longest_ms: dict[str, float] = {}
        self.recently_given_up: dict[tuple[str, str], float] = {}
        self.earlier_given_up: dict[tuple[str, str], float] = {}
        self.next_generation_ms = 0.0
        self.previous_round_ms = 0.0
        self.round_ms = 0.0

    def start_round(self, now: float) -> None:
        """A round begins."""
        self.previous_round_ms = self.round_ms
        self.round_ms = now
        if now >= self.next_generation_ms:
            self.earlier_given_up = self.recently_given_up
            self.recently_given_up = {}
            remember_ms = max(self.longest_ms.values(), default=DEFAULT_REMEMBER_MS)
            self.next_generation_ms = now + remember_ms

    def record_given_up(self, queued: QueuedRequest) -> None:
        """A request was given up: what arrives next for its volume and key may be its retry."""
        request = queued.request
        self.recently_given_up[request.volume, request.key] = queued.objective_at_ms

    def objective_at_ms(self, request: Request, workload: Workload, now: float) -> float:
        """When the latency objective of a request that arrives now ends.

        A retry that is short of time is late since its first try. Else its client is in a hurry, and it lost
        no more than this dispatcher stood still. An unmarked retry follows what was given up and keeps the
        later of both objectives: a client in a hurry retries with little time left too.
        """
        left_ms = request.deadline_ms - now
        longest_ms = max(self.longest_ms.get(workload.name, 0.0), left_ms)
        self.longest_ms[workload.name] = longest_ms
        given_up_ms = self._given_up_ms(request)
        if self.settings.policy.clients_mark_retries:
            is_first = not request.is_retry
        else:
            is_first = given_up_ms <= -NEVER_MS
        most_spent_ms = now - self.previous_round_ms if is_first else NEVER_MS
        spent_ms = min(longest_ms - left_ms, most_spent_ms)
        return max(given_up_ms, now + workload.latency_objective_ms - spent_ms)

    def _given_up_ms(self, request: Request) -> float:
        key = (request.volume, request.key)
        recently = self.recently_given_up.get(key, -NEVER_MS)
        return max(recently, self.earlier_given_up.get(key, -NEVER_MS))

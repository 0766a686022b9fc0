"""Recognizes retries by clients: the latency objective of a retry counts from the client's first try.

Where clients mark their retries, the mark is used. Elsewhere a request counts as a retry if it follows one
of the same volume and key that this dispatcher rejected early, so volume and key of those are remembered for
a while.
"""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Request, Workload
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.timing import NEVER_MS

DEFAULT_REMEMBER_MS = 1000.0
"""How long early rejections are remembered while no request has shown how long its clients wait."""


MAX_REMEMBERED = 65_536
"""Limit on remembered early rejections where the host sets none."""


class ClientRetries:
    """Computes when the latency objective of an arriving request ends.

    Early rejections are remembered in two generations. When a new one begins, the older one is dropped.

    Attributes:
        settings: the settings in force.
        max_timeout_ms: the longest time until its deadline that a request arrived with, by workload name, ms.
        recently_rejected: end of the latency objective (ms) by volume and key, of requests that were rejected
            early in the present generation.
        earlier_rejected: the same of the generation before.
        max_remembered: limit on the entries of a generation; the oldest are dropped beyond it.
        next_generation_ms: when the next generation begins, ms. A generation lasts as long as the longest
            `max_timeout_ms`.
        previous_round_ms: time of the round before this one, ms.
        round_ms: time of this round, ms.
    """

    def __init__(self, settings: EffectiveSettings) -> None:
        self.settings = settings
        self.max_timeout_ms: dict[str, float] = {}
        self.recently_rejected: dict[tuple[str, str], float] = {}
        self.earlier_rejected: dict[tuple[str, str], float] = {}
        self.max_remembered = MAX_REMEMBERED
        self.next_generation_ms = 0.0
        self.previous_round_ms = 0.0
        self.round_ms = 0.0

    def start_round(self, now: float) -> None:
        """Note the time of the round, ms, and begin a new generation when one is scheduled."""
        self.previous_round_ms = self.round_ms
        self.round_ms = now
        if now >= self.next_generation_ms:
            self.earlier_rejected = self.recently_rejected
            self.recently_rejected = {}
            remember_ms = max(self.max_timeout_ms.values(), default=DEFAULT_REMEMBER_MS)
            self.next_generation_ms = now + remember_ms

    def record_early_rejection(self, queued: QueuedRequest) -> None:
        """Remember a request that is rejected early; the next of its volume and key may be its retry."""
        request = queued.request
        self.recently_rejected[request.volume, request.key] = queued.objective_at_ms
        if len(self.recently_rejected) > self.max_remembered:
            del self.recently_rejected[next(iter(self.recently_rejected))]

    def objective_at_ms(self, request: Request, workload: Workload, now: float) -> float:
        """Return when the latency objective of a request that arrives now ends, ms.

        A retry with less time left than other requests of its workload has spent the difference since its
        first try, and its objective ends earlier by that. A first try with little time left comes from a
        client with a short timeout; at most it has waited since the previous round, while this dispatcher
        read nothing. An unmarked retry keeps the later objective of the two, its own and that of
        the rejected request, since a client with a short timeout also retries with little time left.
        """
        remaining_ms = request.deadline_ms - now
        max_timeout_ms = max(self.max_timeout_ms.get(workload.name, 0.0), remaining_ms)
        self.max_timeout_ms[workload.name] = max_timeout_ms
        rejected_objective_at_ms = self._rejected_objective_at_ms(request)
        if self.settings.policy.clients_mark_retries:
            is_first = not request.is_retry
        else:
            is_first = rejected_objective_at_ms <= -NEVER_MS
        max_spent_ms = now - self.previous_round_ms if is_first else NEVER_MS
        spent_ms = min(max_timeout_ms - remaining_ms, max_spent_ms)
        return max(rejected_objective_at_ms, now + workload.latency_objective_ms - spent_ms)

    def _rejected_objective_at_ms(self, request: Request) -> float:
        key = (request.volume, request.key)
        recently = self.recently_rejected.get(key, -NEVER_MS)
        return max(recently, self.earlier_rejected.get(key, -NEVER_MS))

"""When to poll for the endpoint list, where it is not pushed: with backoff, at random times."""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.seeded_random import random_fraction
from cherrygrade.scheduling.timing import NEVER_MS

MIN_SPREAD_MS = 1000.0
SPREAD_PER_DISPATCHER_MS = 25.0
"""Polls of all dispatchers at once would jam discovery."""

BACKOFF_FACTOR = 2.0


def poll_spread_ms(dispatchers: int) -> float:
    """Span that the first polls of so many dispatchers are spread over."""
    return max(MIN_SPREAD_MS, SPREAD_PER_DISPATCHER_MS * dispatchers)


class EndpointPolling:
    """The next poll.

    Attributes:
        spread_ms: span of a first poll.
        wait_ms: span of the next poll; grows with each poll that failed.
        poll_at_ms: when to poll next; NEVER_MS while the list is pushed or a poll is under way.
    """

    def __init__(self, settings: EffectiveSettings, seed: int, dispatchers: int) -> None:
        self.settings = settings
        self._seed = seed
        self.spread_ms = poll_spread_ms(dispatchers)
        self.wait_ms = self.spread_ms
        self.poll_at_ms = 0.0 if settings.policy.polls_endpoints else NEVER_MS

    def update(self, now: float, received: bool | None) -> None:
        """Plan the next poll.

        Args:
            now: the time, ms.
            received: True: a list was received; False: a poll failed; None: neither.
        """
        policy = self.settings.policy
        if not policy.polls_endpoints or (received is None and self.poll_at_ms):
            return
        if received:
            self.poll_at_ms = NEVER_MS
            self.wait_ms = self.spread_ms
        else:
            self.poll_at_ms = now + self.wait_ms * random_fraction(self._seed, self.wait_ms)
            self.wait_ms = min(self.wait_ms * BACKOFF_FACTOR, policy.max_poll_interval_ms)

    def take_due(self, now: float) -> bool:
        """Whether to poll now; no other poll is due until its outcome is known."""
        if now < self.poll_at_ms:
            return False
        self.poll_at_ms = NEVER_MS
        return True

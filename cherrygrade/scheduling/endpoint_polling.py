"""Decides when to poll for an endpoint list that is not pushed: at random times, with backoff."""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.seeded_random import random_fraction
from cherrygrade.scheduling.timing import NEVER_MS

MIN_SPREAD_MS = 1000.0
"""Shortest time span that the first polls of all dispatchers are spread over."""

SPREAD_PER_DISPATCHER_MS = 25.0
"""Time span per dispatcher; the first polls are spread out so that they do not overload discovery."""

BACKOFF_FACTOR = 2.0
"""Factor by which the wait before the next poll grows with each failed poll."""


def poll_spread_ms(dispatchers: int) -> float:
    """Return the time span, ms, that the first polls of this many dispatchers are spread over."""
    return max(MIN_SPREAD_MS, SPREAD_PER_DISPATCHER_MS * dispatchers)


class EndpointPolling:
    """Schedules the polls of one dispatcher.

    Attributes:
        settings: the settings in force.
        spread_ms: time span within which the first poll is made.
        wait_ms: time span within which the next poll is made; grows with each failed poll.
        poll_at_ms: when to poll next; NEVER_MS while the list is pushed or a poll is in progress.
    """

    def __init__(self, settings: EffectiveSettings, seed: int, dispatchers: int) -> None:
        self.settings = settings
        self._seed = seed
        self.spread_ms = poll_spread_ms(dispatchers)
        self.wait_ms = self.spread_ms
        self.poll_at_ms = 0.0 if settings.policy.polls_endpoints else NEVER_MS

    def update(self, now: float, received: bool | None) -> None:
        """Schedule the next poll.

        Args:
            now: the time, ms.
            received: True if a list was received, False if a poll failed, None if neither happened.
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
        """Whether to poll now. No further poll is scheduled until `update` learns the outcome."""
        if now < self.poll_at_ms:
            return False
        self.poll_at_ms = NEVER_MS
        return True

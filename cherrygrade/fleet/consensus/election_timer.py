"""When a Raft voter begins an election: after a random time without a leader's message."""

from __future__ import annotations

from zlib import crc32

ELECTION_TIMEOUT_MS = 600.0
"""Without a leader's message, before an election; a random part is added to it."""
ELECTION_TIMEOUT_SPREAD_MS = 600.0
"""The upper bound of the random part of the election timeout."""
NEVER = 1e15
"""A time in ms that is never reached."""


class ElectionTimer:
    """The election timeout of one voter; its random part follows from the seed, the name and a count.

    Attributes:
        seed: Of the random part.
        name: The voter.
        draws: How many timeouts were drawn; input of the next one.
        expires_at: The time in ms of the next election.
        leader_contact_at: The time in ms of the last message of a leader.
    """

    def __init__(self, name: str, seed: int, now: float) -> None:
        """The timer runs from now on."""
        self.seed = seed
        self.name = name
        self.draws = 0
        self.leader_contact_at = -NEVER
        self.expires_at = NEVER
        self.restart(now)

    def restart(self, now: float) -> None:
        """Draw a new timeout that begins now."""
        self.draws += 1
        fraction = crc32(f"{self.seed}:{self.name}:{self.draws}".encode()) / 2.0**32
        timeout_ms = ELECTION_TIMEOUT_MS + ELECTION_TIMEOUT_SPREAD_MS * fraction
        self.expires_at = now + timeout_ms

    def leader_is_recent(self, now: float) -> bool:
        """Whether a leader was heard from within the least timeout."""
        return now - self.leader_contact_at < ELECTION_TIMEOUT_MS

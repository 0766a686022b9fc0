"""The timer that makes a Raft voter begin an election after a random time without a message from a leader."""

from __future__ import annotations

from zlib import crc32

ELECTION_TIMEOUT_MS = 600.0
"""The shortest time without a message from a leader before an election; a random part is added to it."""
ELECTION_TIMEOUT_SPREAD_MS = 600.0
"""The upper bound of the random part of the election timeout."""
NEVER = 1e15
"""A time in ms that is never reached."""


class ElectionTimer:
    """The election timeout of one voter; its random part follows from the seed, the name and a counter.

    Attributes:
        seed: The seed of the random part.
        name: The voter, as `NAME/STORE_ID`.
        draws: How many timeouts were drawn; the counter from which the next one follows.
        expires_at: The time in ms of the next election.
        leader_contact_at: The time in ms of the last message from a leader.
    """

    def __init__(self, name: str, seed: int, now: float) -> None:
        """Start the timer.

        Args:
            name: The voter, as `NAME/STORE_ID`.
            seed: The seed of the random part.
            now: The time in ms.
        """
        self.seed = seed
        self.name = name
        self.draws = 0
        self.leader_contact_at = -NEVER
        self.expires_at = NEVER
        self.restart(now)

    def restart(self, now: float) -> None:
        """Draw a new timeout and start it now."""
        self.draws += 1
        fraction = crc32(f"{self.seed}:{self.name}:{self.draws}".encode()) / 2.0**32
        timeout_ms = ELECTION_TIMEOUT_MS + ELECTION_TIMEOUT_SPREAD_MS * fraction
        self.expires_at = now + timeout_ms

    def leader_is_recent(self, now: float) -> bool:
        """Return whether a message from a leader arrived within the shortest timeout."""
        return now - self.leader_contact_at < ELECTION_TIMEOUT_MS

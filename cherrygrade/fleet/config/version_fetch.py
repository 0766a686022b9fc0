"""Which member this member fetches a version from, and when it retries after a failure."""

from __future__ import annotations

from typing import NamedTuple

from cherrygrade.fleet.config.replica_messages import FetchFrom, FetchRequest, ReachableMember, StageDigest
from cherrygrade.fleet.config.seeded_random import SeededRandom
from cherrygrade.fleet.config.versions import ConfigVersion
from cherrygrade.fleet.config.witnesses import Witnesses

RETRY_MS = 100.0
"""Wait before a fetch is retried; it doubles with each failure."""
MAX_RETRY_MS = 1000.0
"""The longest wait before a fetch is retried."""
FETCH_TIMEOUT_MS = 4000.0
"""Time after which a fetch fails whose end the caller has not reported."""
FAILURES_BEFORE_REPORT = 2
"""Failures in a row before `VersionFetch.error` is set."""


class CurrentFetch(NamedTuple):
    """The fetch in progress.

    Attributes:
        name: The member that the version is fetched from.
        started_at_ms: When the fetch began.
        wanted: The version that is fetched.
    """

    name: str
    started_at_ms: float
    wanted: StageDigest


class VersionFetch:
    """Fetches the version that witnesses have confirmed, from one member at a time.

    Attributes:
        current: The fetch in progress; None for none.
        next_start_ms: The time before which no other fetch begins.
        tried: The members that failed. The set is cleared once another version is wanted, or all members
            have been tried.
        failures: The number of failures since the last success.
        error: For operators, why fetches fail; "" if they do not.
    """

    def __init__(self, zone: str, rng: SeededRandom) -> None:
        self.current: CurrentFetch | None = None
        self.next_start_ms = 0.0
        self.tried: set[str] = set()
        self.failures = 0
        self.error = ""
        self._zone = zone
        self._rng = rng
        self._retry_ms = RETRY_MS

    def restart(self) -> None:
        """Allow a fetch from any member at once, because another version is wanted."""
        self.tried.clear()
        self.next_start_ms = 0.0

    def next_deadline(self) -> float:
        """Return the time in ms at which the current fetch times out. There has to be a current fetch."""
        assert self.current is not None
        return self.current.started_at_ms + FETCH_TIMEOUT_MS

    def end(self, name: str) -> CurrentFetch | None:
        """End the current fetch and return it; return None if it is not from this member."""
        current = self.current
        if current is None or current.name != name:
            return None
        self.current = None
        return current

    def expire(self, now: float) -> None:
        """Fail the current fetch once it has timed out."""
        current = self.current
        if current is not None and now >= self.next_deadline():
            self.current = None
            self.fail(current.name, f"{current.name}: no answer within {FETCH_TIMEOUT_MS:.0f} ms", now)

    def fail(self, name: str, reason: str, now: float) -> None:
        """Note that a member did not serve the version; it is tried again only after all others.

        Args:
            name: The member.
            reason: What went wrong, for operators.
            now: The current time in ms.
        """
        self.tried.add(name)
        self.failures += 1
        if self.failures >= FAILURES_BEFORE_REPORT:
            self.error = reason
        self._wait(now)

    def succeed(self) -> None:
        """Note that the version was received."""
        self._retry_ms = RETRY_MS
        self.failures = 0
        self.error = ""

    def begin(
        self,
        wanted: StageDigest,
        base: ConfigVersion | None,
        members: dict[str, ReachableMember],
        witnesses: Witnesses,
        now: float,
    ) -> FetchFrom | None:
        """Begin a fetch.

        Args:
            wanted: The version to fetch.
            base: The version in force here, which the content may be a difference against; None for none.
            members: The members that can be reached, by name.
            witnesses: What members have reported.
            now: The current time in ms.

        Returns:
            The member and the request to send to it; None if all candidates have been tried, so that the next
            fetch begins anew after a wait.
        """
        candidates = self._candidates(wanted.number, members, witnesses)
        if not candidates:
            self.tried.clear()
            self._wait(now)
            return None
        name = self._rng.pick(candidates)
        self.current = CurrentFetch(name, now, wanted)
        base_number, base_digest_prefix = (base.number, base.digest_prefix) if base is not None else (0, 0)
        request = FetchRequest(wanted.number, wanted.digest_prefix, base_number, base_digest_prefix)
        return FetchFrom(name, request)

    def _candidates(
        self, number: int, members: dict[str, ReachableMember], witnesses: Witnesses
    ) -> list[str]:
        """Return untried members that reported the version, of the own zone if possible; else the voters."""
        sources = [name for name in witnesses.sources(number) if name not in self.tried and name in members]
        in_zone = [name for name in sources if members[name].zone == self._zone]
        voters = [name for name in witnesses.voters if name in members and name not in self.tried]
        return in_zone or sources or voters

    def _wait(self, now: float) -> None:
        """Let no fetch begin until the backoff has passed, and double the backoff."""
        self.next_start_ms = now + self._rng.jittered(self._retry_ms)
        self._retry_ms = min(MAX_RETRY_MS, 2.0 * self._retry_ms)

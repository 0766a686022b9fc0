"""From whom this member fetches a version, and when it tries again."""

from __future__ import annotations

from typing import NamedTuple

from cherrygrade.fleet.config.replica_messages import FetchFrom, FetchRequest, ReachableMember, StageDigest
from cherrygrade.fleet.config.seeded_chance import SeededChance
from cherrygrade.fleet.config.versions import ConfigVersion
from cherrygrade.fleet.config.witnesses import Witnesses

RETRY_MS = 100.0
"""Before a fetch is tried again; doubled each time,"""
MAX_RETRY_MS = 1000.0
"""up to this."""
FETCH_TIMEOUT_MS = 4000.0
"""A caller that has not ended a fetch by then has forgotten it."""
FAILURES_BEFORE_REPORT = 2


class CurrentFetch(NamedTuple):
    """The fetch that is under way: from whom, since when in ms, and of what."""

    name: str
    begun_at: float
    wanted: StageDigest


class VersionFetch:
    """The fetch of the version that is believed.

    Attributes:
        current: The fetch that is under way; None for none.
        begin_at: The time in ms before which no other begins.
        tried: The members that failed since something new was believed, or all had been tried.
        failures: How many fetches have failed since one succeeded.
        error: Why they fail, as a text for people; "" where they do not.
    """

    def __init__(self, zone: str, chance: SeededChance) -> None:
        self.current: CurrentFetch | None = None
        self.begin_at = 0.0
        self.tried: set[str] = set()
        self.failures = 0
        self.error = ""
        self._zone = zone
        self._chance = chance
        self._retry_ms = RETRY_MS

    def restart(self) -> None:
        """Something else is wanted: all may be tried, at once."""
        self.tried.clear()
        self.begin_at = 0.0

    def next_deadline(self) -> float:
        """The time in ms at which the current fetch is given up; there has to be one."""
        assert self.current is not None
        return self.current.begun_at + FETCH_TIMEOUT_MS

    def end(self, name: str) -> CurrentFetch | None:
        """The current fetch, which is none any more; None where it is not from this member."""
        current = self.current
        if current is None or current.name != name:
            return None
        self.current = None
        return current

    def give_up_late(self, now: float) -> None:
        """Give a fetch up that nobody has ended."""
        current = self.current
        if current is not None and now >= self.next_deadline():
            self.current = None
            self.fail(current.name, f"{current.name}: no answer in time", now)

    def fail(self, name: str, reason: str, now: float) -> None:
        """A member did not give what it has; it is tried again only after all others."""
        self.tried.add(name)
        self.failures += 1
        if self.failures >= FAILURES_BEFORE_REPORT:
            self.error = reason
        self._wait(now)

    def succeed(self) -> None:
        """The version is here."""
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
        """Begin a fetch of `wanted`; None where all have been tried."""
        candidates = self._candidates(wanted.number, members, witnesses)
        if not candidates:
            self.tried.clear()
            self._wait(now)
            return None
        name = self._chance.pick(candidates)
        self.current = CurrentFetch(name, now, wanted)
        base_number, base_digest_prefix = (base.number, base.digest_prefix) if base is not None else (0, 0)
        request = FetchRequest(wanted.number, wanted.digest_prefix, base_number, base_digest_prefix)
        return FetchFrom(name, request)

    def _candidates(
        self, number: int, members: dict[str, ReachableMember], witnesses: Witnesses
    ) -> list[str]:
        """Who told of the version, of the own zone if there are any; else the voters."""
        sources = [name for name in witnesses.sources(number) if name not in self.tried and name in members]
        in_zone = [name for name in sources if members[name].zone == self._zone]
        voters = [name for name in witnesses.voters if name in members and name not in self.tried]
        return in_zone or sources or voters

    def _wait(self, now: float) -> None:
        self.begin_at = now + self._chance.jittered(self._retry_ms)
        self._retry_ms = min(MAX_RETRY_MS, 2.0 * self._retry_ms)

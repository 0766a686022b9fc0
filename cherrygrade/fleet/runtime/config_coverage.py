"""Who of the fleet does not have a version of the configuration in force, and why."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.config.replica_messages import OwnAdvert
from cherrygrade.fleet.membership.effects import Effects, MemberConfigReport
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.table import Member, MemberState

REPLY_TIMEOUT_S = 0.35  # for the reports of those that are missing, where an operator asks
MAX_QUERIES = 50  # members asked at once
MAX_REPORTS = 4096  # members whose last report is remembered
LONG_AGO_MS = -1e15


@dataclass(frozen=True, slots=True)
class MissingMember:
    """One that is not known to have a version in force; also its JSON form in answers to operators.

    Attributes:
        name: "" where nobody is known at the seat.
        seat: -1 for this dispatcher itself.
        why: For people.
        lives: Whether it is believed to be running: others are not waited for.
    """

    name: str
    seat: int
    why: str
    lives: bool


@dataclass(frozen=True, slots=True)
class FirsthandReport:
    """What a member itself said last: its start (Unix ms), stage, trouble, and when it was received (ms)."""

    birth: int
    stage: int
    why: str
    received_ms: float


class ConfigCoverage:
    """Remembers members' reports, and finds out who lacks a version.

    Attributes:
        reports: The last report of each member, by name; the oldest are dropped beyond MAX_REPORTS.
    """

    def __init__(
        self, membership: Membership, seed: int, clock: Callable[[], float], post: Callable[[Effects], None]
    ) -> None:
        """Take the membership, the seed of queries' nonces, a clock in ms, and what sends effects."""
        self.reports: dict[str, FirsthandReport] = {}
        self._membership = membership
        self._seed = seed
        self._clock = clock
        self._post = post
        self._queries = 0

    def report_received(self, report: MemberConfigReport, now: float) -> None:
        """Remember a member's own report."""
        self.reports.pop(report.name, None)
        self.reports[report.name] = FirsthandReport(
            report.incarnation, report.config.stage, report.refusal, now
        )
        while len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]

    async def missing(self, number: int, replica: ConfigReplica) -> list[MissingMember]:
        """Return all of the fleet of record that are not known to have a version or a later one in force.

        Those that live are asked now, and have REPLY_TIMEOUT_S to answer.
        """
        own = replica.own_advert()
        lacking = self._lacking_members(number, own)
        asked = lacking[:MAX_QUERIES]
        for member in asked:
            self._queries += 1
            nonce = crc32(f"{self._seed}:person:{self._queries}".encode())
            self._post(self._membership.query_config(member.name, nonce))
        asked_ms = self._clock()
        if lacking:
            await asyncio.sleep(REPLY_TIMEOUT_S)
        found: list[MissingMember] = []
        if own.stage < 2 * number:
            found.append(_late(self._membership.name, -1, replica.stage, replica.status()))
        for member in lacking:
            if self._stage(member) < 2 * number:
                found.append(self._late_member(member, asked_ms, member in asked))
        return found + self._dead_members() + self._unknown_seats()

    def _lacking_members(self, number: int, own: OwnAdvert) -> list[Member]:
        """Return living members that neither said themselves nor through others that they have it."""
        bits = own.bits if own.stage >= 2 * number else b""
        everybody_has_it = own.stage >= 2 * number and not own.bits
        lacking = []
        for member in self._membership.table.others():
            seat = member.seat
            has_it = everybody_has_it or (0 <= seat < 8 * len(bits) and bits[seat // 8] >> seat % 8 & 1)
            if not has_it and self._stage(member) < 2 * number:
                lacking.append(member)
        return lacking

    def _stage(self, member: Member) -> int:
        """Return the stage that a member reported since its start, -1 where it did not."""
        report = self.reports.get(member.name)
        return report.stage if report is not None and report.birth == member.incarnation else -1

    def _late_member(self, member: Member, asked_ms: float, was_asked: bool) -> MissingMember:
        report = self.reports.get(member.name, FirsthandReport(0, 0, "", LONG_AGO_MS))
        why = report.why
        if member.state is MemberState.SUSPECT or (report.received_ms < asked_ms and was_asked):
            why = "cut off: it gave no answer"
        return _late(member.name, member.seat, report.stage, why)

    def _living_seats(self) -> set[int]:
        return {member.seat for member in self._membership.table.living()}

    def _dead_members(self) -> list[MissingMember]:
        """Return those of record that left or failed and whose seat no living member has."""
        found = []
        living = self._living_seats()
        now_ms = asyncio.get_running_loop().time() * 1000.0
        for member in self._membership.table.dead():
            if 0 <= member.seat < self._membership.fleet_size and member.seat not in living:
                left = member.state is MemberState.LEFT
                why = "left" if left else "dead, or cut off from here"
                since_s = round((now_ms - member.state_since_ms) / 1000.0)
                found.append(MissingMember(member.name, member.seat, f"{why}, for {since_s} s", False))
        return found

    def _unknown_seats(self) -> list[MissingMember]:
        known = self._living_seats() | {member.seat for member in self._membership.table.dead()}
        return [
            MissingMember("", seat, "nobody of it is known here", False)
            for seat in range(self._membership.fleet_size)
            if seat not in known
        ]


def _late(name: str, seat: int, stage: int, why: str) -> MissingMember:
    on = f"on version {stage // 2}" if stage > 1 else "on its own file"
    return MissingMember(name, seat, f"{why or 'late'}; {on}", True)

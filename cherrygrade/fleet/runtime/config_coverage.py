"""Finds the members that do not have a version of the configuration in force, and the reasons.

A seat is a dispatcher's number in the fleet, from 0. A stage is 2N while version N is being introduced, and
2N+1 once it is settled.
"""

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

REPLY_TIMEOUT_S = 0.35  # for the reports of the members that are queried on behalf of an operator
MAX_QUERIES = 50  # members that one operator's request queries
MAX_REPORTS = 4096  # members whose last report is stored
LONG_AGO_MS = -1e15


@dataclass(frozen=True, slots=True)
class MissingMember:
    """A member that is not known to have a version in force.

    The names of the fields are keys of the answers to operators.

    Attributes:
        name: The member's name; "" where no member with the seat is known.
        seat: The member's seat; -1 for this dispatcher itself.
        why: The reason, for operators.
        lives: Whether the member is believed to be running; operators' commands wait for no others.
    """

    name: str
    seat: int
    why: str
    lives: bool


@dataclass(frozen=True, slots=True)
class DirectReport:
    """The last report that a member itself sent about its configuration.

    Attributes:
        incarnation: The member's incarnation, Unix ms.
        stage: The stage in force there.
        refusal: The reason why the member refuses a newer version, or can't fetch it; "" where it has none.
        received_ms: The time at which the report was received, ms.
    """

    incarnation: int
    stage: int
    refusal: str
    received_ms: float


class ConfigCoverage:
    """Stores members' reports, and finds the members that lack a version.

    Attributes:
        reports: The last report of each member, by name; beyond MAX_REPORTS the oldest are dropped.
    """

    def __init__(
        self, membership: Membership, seed: int, clock: Callable[[], float], post: Callable[[Effects], None]
    ) -> None:
        """Take the membership and callbacks.

        Args:
            membership: This dispatcher's membership.
            seed: Seeds the nonces of queries.
            clock: Returns the time in ms.
            post: Sends the membership's effects.
        """
        self.reports: dict[str, DirectReport] = {}
        self._membership = membership
        self._seed = seed
        self._clock = clock
        self._post = post
        self._queries = 0

    def report_received(self, report: MemberConfigReport, now: float) -> None:
        """Store a member's own report."""
        self.reports.pop(report.name, None)
        self.reports[report.name] = DirectReport(report.incarnation, report.config.stage, report.refusal, now)
        while len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]

    async def missing(self, number: int, replica: ConfigReplica) -> list[MissingMember]:
        """Return all members and seats not known to have version `number` or a later one in force.

        Living members are queried, and have REPLY_TIMEOUT_S to answer.
        """
        own = replica.own_advert()
        lacking = self._lacking_members(number, own)
        queried = lacking[:MAX_QUERIES]
        for member in queried:
            self._queries += 1
            nonce = crc32(f"{self._seed}:person:{self._queries}".encode())
            self._post(self._membership.query_config(member.name, nonce))
        queried_ms = self._clock()
        if lacking:
            await asyncio.sleep(REPLY_TIMEOUT_S)
        missing: list[MissingMember] = []
        if own.stage < 2 * number:
            missing.append(_late(self._membership.name, -1, replica.stage, replica.status()))
        for member in lacking:
            if self._stage(member) < 2 * number:
                missing.append(self._late_member(member, queried_ms, member in queried))
        return missing + self._dead_members() + self._unknown_seats()

    def _lacking_members(self, number: int, own: OwnAdvert) -> list[Member]:
        """Return living members that neither their own report nor the seat bitmap shows on the version."""
        bits = own.bits if own.stage >= 2 * number else b""
        all_have_it = own.stage >= 2 * number and not own.bits
        lacking = []
        for member in self._membership.table.others():
            seat = member.seat
            has_it = all_have_it or (0 <= seat < 8 * len(bits) and bits[seat // 8] >> seat % 8 & 1)
            if not has_it and self._stage(member) < 2 * number:
                lacking.append(member)
        return lacking

    def _stage(self, member: Member) -> int:
        """Return the stage that a member reported in its present incarnation, -1 where it reported none."""
        report = self.reports.get(member.name)
        return report.stage if report is not None and report.incarnation == member.incarnation else -1

    def _late_member(self, member: Member, queried_ms: float, was_queried: bool) -> MissingMember:
        report = self.reports.get(member.name, DirectReport(0, 0, "", LONG_AGO_MS))
        reason = report.refusal
        if member.state is MemberState.SUSPECT or (report.received_ms < queried_ms and was_queried):
            reason = "cut off: it gave no answer"
        return _late(member.name, member.seat, report.stage, reason)

    def _living_seats(self) -> set[int]:
        return {member.seat for member in self._membership.table.living()}

    def _dead_members(self) -> list[MissingMember]:
        """Return members that left or failed and whose seat, one of the fleet's, no living member has."""
        missing = []
        living = self._living_seats()
        now_ms = asyncio.get_running_loop().time() * 1000.0
        for member in self._membership.table.dead():
            if 0 <= member.seat < self._membership.fleet_size and member.seat not in living:
                has_left = member.state is MemberState.LEFT
                reason = "left" if has_left else "dead, or cut off from here"
                since_s = round((now_ms - member.state_since_ms) / 1000.0)
                missing.append(MissingMember(member.name, member.seat, f"{reason}, for {since_s} s", False))
        return missing

    def _unknown_seats(self) -> list[MissingMember]:
        known = self._living_seats() | {member.seat for member in self._membership.table.dead()}
        return [
            MissingMember("", seat, "nobody of it is known here", False)
            for seat in range(self._membership.fleet_size)
            if seat not in known
        ]


def _late(name: str, seat: int, stage: int, reason: str) -> MissingMember:
    in_force = f"on version {stage // 2}" if stage > 1 else "on its own file"
    return MissingMember(name, seat, f"{reason or 'late'}; {in_force}", True)

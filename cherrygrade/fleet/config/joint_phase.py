"""The joint phase of a version that divides quotas anew: parts shrink first, and grow once that is safe.

The change from the old to the new quota parts is called a quota move (`versions.py`).

The joint phase follows Raft's joint consensus (Ongaro, Ousterhout 2014, section 6): while a version is in it,
each dispatcher uses the smaller of its old and new quota parts. The council's leader settles the version once
each seat of the larger fleet is proven: the member at the seat has reported directly that it is on that stage
or a later one, or has announced that it leaves the fleet. A member that does not answer proves nothing.

A seat is a dispatcher's number in the fleet, from 0. Free of I/O and clock; times are in ms of
one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from cherrygrade.fleet.config.replica_messages import ConfigQuestion
from cherrygrade.fleet.config.versions import QuotaDivisors

MAX_QUESTIONS_PER_SECOND = 50.0
"""Queries that the leader sends."""
MAX_QUESTIONS_PER_TICK = 5
REPEAT_MS = 1000.0
"""Time after which a member that has not answered is queried again."""
REQUIRED_ROUNDS = 2
"""Rounds in which all seats have to be proven; `JointPhase` gives the reason for more than one."""
NEVER_MS = 1e15
"""A time that is never reached."""


@dataclass(frozen=True, slots=True)
class QuotaParts:
    """The quota parts of one dispatcher.

    Attributes:
        dispatcher_counts: Among how many dispatchers a cold node's quota is divided, sorted. If
            there are several counts, the part is computed for each as if it were the only one, and
            the smallest applies.
        hosts: By volume, the number that its limit is divided by.
        has_parts: Whether the dispatcher has any quota part, be it of cold nodes or of limits.
    """

    dispatcher_counts: tuple[int, ...]
    hosts: dict[str, int] = field(default_factory=dict)
    has_parts: bool = True


def quota_parts(
    seat: int, divisors: QuotaDivisors, old_divisors: QuotaDivisors | None = None, is_certain: bool = True
) -> QuotaParts:
    """Return the quota parts of a seat under a version.

    Args:
        seat: The seat; negative for none.
        divisors: The divisors of the version.
        old_divisors: The divisors that quotas move away from, if the version is in the joint phase (an even
            stage); else None.
        is_certain: Whether the dispatcher knows the fleet's version (`ConfigReplica.is_certain`); without it,
            there are no parts.
    """
    hosts = dict(divisors.hosts)
    counts: tuple[int, ...] = (divisors.dispatchers,)
    if old_divisors is not None:
        for volume, count in old_divisors.hosts:
            if volume in hosts:
                hosts[volume] = max(hosts[volume], count)
        counts = tuple(sorted({divisors.dispatchers, old_divisors.dispatchers}))
    return QuotaParts(counts, hosts, is_certain and 0 <= seat < min(counts))


def seat_count(divisors: QuotaDivisors, old_divisors: QuotaDivisors) -> int:
    """Return the number of seats that a quota move concerns: those of the larger fleet."""
    return max(divisors.dispatchers, old_divisors.dispatchers)


@dataclass(frozen=True, slots=True)
class SeatedMember:
    """A member's claim to a seat, as last known to the membership table.

    Attributes:
        seat: The seat.
        name: The member.
        incarnation: Which incarnation of the member's process claims the seat; a later one is larger.
        is_living: Whether the member is not known to be dead.
        has_left: Whether the member announced that it leaves the fleet.
    """

    seat: int
    name: str
    incarnation: int
    is_living: bool
    has_left: bool = False


class PendingQuestion(NamedTuple):
    """An unanswered query.

    Attributes:
        nonce: The nonce of the query.
        sent_at_ms: When the query was sent.
    """

    nonce: int
    sent_at_ms: float


NO_QUESTION = PendingQuestion(0, -NEVER_MS)
"""Stands for a member that was not queried."""


class JointPhase:
    """The leader's collection of proof that a quota move may be settled.

    All seats have to be proven in two rounds: once all are, all members are queried again, and earlier
    answers no longer count. With a single round, a member could answer, lose its disk in a restart, and
    become certain of the old stage through a member that had not answered yet. Each leader begins anew, and
    does not rely on the answers that another leader received.

    Attributes:
        stage: The stage to reach: twice the number of the version with which the move began.
        seats: The number of seats that the move concerns.
        seed: The seed of the nonces.
        stages: By name and incarnation, the highest stage that the member reported in this round. Entries are
            dropped with the member's claim.
        pending: The unanswered queries by name, dropped with the member's claim.
        completed_rounds: The number of completed rounds; at most REQUIRED_ROUNDS, and it never decreases.
    """

    def __init__(self, stage: int, seats: int, seed: int, now: float) -> None:
        self.stage = stage
        self.seats = seats
        self.seed = seed
        self.stages: dict[tuple[str, int], int] = {}
        self.pending: dict[str, PendingQuestion] = {}
        self.completed_rounds = 0
        # The start time makes the nonces of each leadership different.
        self._nonces_drawn = crc32(f"{seed}:{stage}:{now!r}".encode())
        self._next_tick_ms = now

    def receive_answer(self, name: str, incarnation: int, stage: int, nonce: int) -> None:
        """Process an answer sent from the address that the membership table has for the member.

        An answer counts only with the nonce of the pending query, and only once.
        """
        question = self.pending.get(name, NO_QUESTION)
        if question.nonce and question.nonce == nonce:
            del self.pending[name]
            member = (name, incarnation)
            self.stages[member] = max(stage, self.stages.get(member, 0))

    def is_complete(self, claims: Iterable[SeatedMember]) -> bool:
        """Return whether the move may be settled now, and complete a round if all its seats are proven.

        It is to be called after each answer, with the current claims.
        """
        if self.completed_rounds < REQUIRED_ROUNDS and not self.missing(claims):
            self.completed_rounds += 1
            if self.completed_rounds < REQUIRED_ROUNDS:
                self.stages.clear()
                self.pending.clear()
        return self.completed_rounds >= REQUIRED_ROUNDS

    def missing(self, claims: Iterable[SeatedMember]) -> dict[int, str]:
        """Return the seats that lack proof in this round, each with the reason, for operators.

        A seat is proven if the last member that claimed it is, and all living members that claim it are. So a
        member that left does not stand for a member that took its seat later, nor an earlier incarnation of a
        process for a later one.
        """
        by_seat: dict[int, list[SeatedMember]] = {}
        for claim in claims:
            if 0 <= claim.seat < self.seats:
                by_seat.setdefault(claim.seat, []).append(claim)
        reasons = {seat: self._unproven_reason(by_seat.get(seat, [])) for seat in range(self.seats)}
        return {seat: reason for seat, reason in reasons.items() if reason}

    def next_deadline(self) -> float:
        """Return the time in ms at which `tick` is to be called."""
        return self._next_tick_ms

    def tick(self, claims: Iterable[SeatedMember], now: float) -> list[ConfigQuestion]:
        """Return the queries to send now, and drop the answers of members that no longer claim a seat."""
        if now < self._next_tick_ms:
            return []
        seated = [claim for claim in claims if 0 <= claim.seat < self.seats]
        incarnations = {(claim.name, claim.incarnation) for claim in seated}
        self.stages = {member: stage for member, stage in self.stages.items() if member in incarnations}
        unproven = {claim.name for claim in seated if claim.is_living and not self.is_proven(claim)}
        self.pending = {name: question for name, question in self.pending.items() if name in unproven}
        due = [name for name in unproven if now - self._last_query_ms(name) >= REPEAT_MS]
        # The member queried longest ago comes first, so that each member is queried eventually.
        due.sort(key=lambda name: (self._last_query_ms(name), name))
        questions = [self._question(name, now) for name in due[:MAX_QUESTIONS_PER_TICK]]
        self._next_tick_ms = now + MAX_QUESTIONS_PER_TICK * 1000.0 / MAX_QUESTIONS_PER_SECOND
        return questions

    def is_proven(self, claim: SeatedMember) -> bool:
        """Return whether this member has left, or has reported the stage or a later one in this round."""
        return claim.has_left or self.stages.get((claim.name, claim.incarnation), -1) >= self.stage

    def _unproven_reason(self, claims: list[SeatedMember]) -> str:
        """Return why a seat with these claims lacks proof; "" if it does not."""
        last = max(claims, key=lambda claim: (claim.incarnation, claim.name), default=None)
        if last is None:
            return "nobody is known to have held it"
        lacking = [
            claim for claim in claims if (claim is last or claim.is_living) and not self.is_proven(claim)
        ]
        if not lacking:
            return ""
        claim = lacking[0]
        if not claim.is_living:
            return f"{claim.name} failed, and has not left"
        stage = self.stages.get((claim.name, claim.incarnation))
        return f"{claim.name} has not answered" if stage is None else f"{claim.name} is on stage {stage}"

    def _last_query_ms(self, name: str) -> float:
        """Return when a member was last queried; long ago if no query to it is pending."""
        return self.pending.get(name, NO_QUESTION).sent_at_ms

    def _question(self, name: str, now: float) -> ConfigQuestion:
        """Return a query to a member, and remember it as pending in place of any earlier one."""
        self._nonces_drawn += 1
        nonce = crc32(f"{self.seed}:{self._nonces_drawn}".encode()) | 1
        self.pending[name] = PendingQuestion(nonce, now)
        return ConfigQuestion(name, nonce)

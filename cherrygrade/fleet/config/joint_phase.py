"""The joint phase of a version that divides quotas anew: shrinking parts first, growing ones once it is safe.

After Raft's joint consensus (Ongaro, Ousterhout 2014, section 6): while a version is joint, each dispatcher
uses the smaller of its two parts. The leader settles it once every seat of the larger count has said
first-hand that it is on that stage or later, or has left by its own message. Silence is no proof.

Free of I/O and clock; times are in ms of one clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from cherrygrade.fleet.config.replica_messages import ConfigQuestion
from cherrygrade.fleet.config.versions import QuotaDivisors

MAX_QUESTIONS_PER_S = 50.0
"""That the leader sends."""
QUESTIONS_PER_TICK = 5
REPEAT_MS = 1000.0
"""Before a member that has not answered is asked again."""
REQUIRED_ROUNDS = 2
"""Times that all seats have to prove their stage."""
NEVER = 1e15
"""A time in ms that is never reached."""


@dataclass(frozen=True, slots=True)
class QuotaParts:
    """What one dispatcher may use.

    Attributes:
        dispatcher_counts: By how many dispatchers a cold node's room is divided, sorted; of several the
            smallest room counts, each reckoned as if it were the only one.
        hosts: By volume, what its limit is divided by.
        has_parts: False where this seat has no part at all, of cold nodes or limits.
    """

    dispatcher_counts: tuple[int, ...]
    hosts: dict[str, int] = field(default_factory=dict)
    has_parts: bool = True


def quota_parts(
    seat: int, divisors: QuotaDivisors, old_divisors: QuotaDivisors | None = None, is_certain: bool = True
) -> QuotaParts:
    """The parts of a seat under a version.

    Args:
        seat: The seat; negative for none.
        divisors: Those of the version.
        old_divisors: What its parts move away from while it is joint (an even stage), else None.
        is_certain: Whether the dispatcher knows the fleet's version (`ConfigReplica.is_certain`).
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
    """How many seats a move concerns."""
    return max(divisors.dispatchers, old_divisors.dispatchers)


@dataclass(frozen=True, slots=True)
class SeatedMember:
    """One claim of a seat, as the membership table has it or had it last.

    Attributes:
        seat: The seat.
        name: The member.
        birth: Identifies the life of its process.
        is_living: It is not known to be dead.
        has_left: It left by its own message.
    """

    seat: int
    name: str
    birth: int
    is_living: bool
    has_left: bool = False


class PendingQuestion(NamedTuple):
    """The nonce of a question, and when it was asked in ms."""

    nonce: int
    asked_at: float


NO_QUESTION = PendingQuestion(0, -NEVER)


class JointPhase:
    """The leader's search for proof that a move may be settled.

    All seats have to prove their stage twice: once all have, all are asked again, and nothing said before
    counts. Otherwise a member that said it and was restarted without what it had stored could have become
    certain by the word of another that had not said it yet. Each leader begins anew: what another one learned
    proves nothing to it.

    Attributes:
        stage: What each seat has to reach: twice the number of the version with which the move began.
        seats: How many seats the move concerns.
        seed: Of the nonces.
        stages: By name and birth, the highest stage said in this round; goes with the claims.
        pending: By name, the question without an answer; goes with the claims.
        completed_rounds: At most REQUIRED_ROUNDS; never decreases.
    """

    def __init__(self, stage: int, seats: int, seed: int, now: float) -> None:
        self.stage = stage
        self.seats = seats
        self.seed = seed
        self.stages: dict[tuple[str, int], int] = {}
        self.pending: dict[str, PendingQuestion] = {}
        self.completed_rounds = 0
        # No two leaderships draw the same nonces.
        self._nonces_drawn = crc32(f"{seed}:{stage}:{now!r}".encode())
        self._next_at = now

    def receive_answer(self, name: str, birth: int, stage: int, nonce: int) -> None:
        """Note an answer that came from the address that the membership table has for the name.

        It counts only with the nonce of the question, and once.
        """
        question = self.pending.get(name, NO_QUESTION)
        if question.nonce and question.nonce == nonce:
            del self.pending[name]
            life = (name, birth)
            self.stages[life] = max(stage, self.stages.get(life, 0))

    def is_complete(self, claims: Iterable[SeatedMember]) -> bool:
        """Whether the move may be settled now; ends a round. To be asked after answers, with fresh claims."""
        if self.completed_rounds < REQUIRED_ROUNDS and not self.missing(claims):
            self.completed_rounds += 1
            if self.completed_rounds < REQUIRED_ROUNDS:
                self.stages.clear()
                self.pending.clear()
        return self.completed_rounds >= REQUIRED_ROUNDS

    def missing(self, claims: Iterable[SeatedMember]) -> dict[int, str]:
        """The seats that lack proof in this round, and why, as a text for people.

        A seat is proven by its last holder and by all that claim it and live: a member that leaves proves
        nothing of one that took its seat since, nor an earlier life of a later one.
        """
        by_seat: dict[int, list[SeatedMember]] = {}
        for claim in claims:
            if 0 <= claim.seat < self.seats:
                by_seat.setdefault(claim.seat, []).append(claim)
        reasons = {seat: self._why_unproven(by_seat.get(seat, [])) for seat in range(self.seats)}
        return {seat: reason for seat, reason in reasons.items() if reason}

    def next_deadline(self) -> float:
        """The time in ms at which `tick` is to be called."""
        return self._next_at

    def tick(self, claims: Iterable[SeatedMember], now: float) -> list[ConfigQuestion]:
        """The questions that are due now."""
        if now < self._next_at:
            return []
        seated = [claim for claim in claims if 0 <= claim.seat < self.seats]
        lives = {(claim.name, claim.birth) for claim in seated}
        self.stages = {life: stage for life, stage in self.stages.items() if life in lives}
        unproven = {claim.name for claim in seated if claim.is_living and not self.is_proven(claim)}
        self.pending = {name: question for name, question in self.pending.items() if name in unproven}
        due = [name for name in unproven if now - self._asked_at(name) >= REPEAT_MS]
        # Who was asked longest ago comes first, so that nobody is passed over for ever.
        due.sort(key=lambda name: (self._asked_at(name), name))
        questions = [self._question(name, now) for name in due[:QUESTIONS_PER_TICK]]
        self._next_at = now + QUESTIONS_PER_TICK * 1000.0 / MAX_QUESTIONS_PER_S
        return questions

    def is_proven(self, claim: SeatedMember) -> bool:
        """Whether this member has left, or has said in this round that it is on the stage."""
        return claim.has_left or self.stages.get((claim.name, claim.birth), -1) >= self.stage

    def _why_unproven(self, claims: list[SeatedMember]) -> str:
        """Why a seat with these claims lacks proof; "" where it does not."""
        last = max(claims, key=lambda claim: (claim.birth, claim.name), default=None)
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
        stage = self.stages.get((claim.name, claim.birth))
        return f"{claim.name} has not answered" if stage is None else f"{claim.name} is on stage {stage}"

    def _asked_at(self, name: str) -> float:
        return self.pending.get(name, NO_QUESTION).asked_at

    def _question(self, name: str, now: float) -> ConfigQuestion:
        self._nonces_drawn += 1
        nonce = crc32(f"{self.seed}:{self._nonces_drawn}".encode()) | 1
        self.pending[name] = PendingQuestion(nonce, now)
        return ConfigQuestion(name, nonce)

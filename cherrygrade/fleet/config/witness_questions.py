"""Whom this member asks for its version: to confirm an advert, or to learn what the fleet is on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cherrygrade.fleet.config.replica_messages import UNCERTAIN, ConfigQuestion, ReachableMember, StageDigest
from cherrygrade.fleet.config.seeded_chance import SeededChance
from cherrygrade.fleet.config.witnesses import Witnesses

MAX_RANDOM_MEMBERS = 3
"""Members asked by chance, before a voter is."""
MAX_DENYING_VOTERS = 2
"""Voters that say they are on less, until an advert is doubted."""
MAX_PENDING = 2
"""Questions without an answer, for one advert."""
SECOND_ADVERT_MS = 100.0
"""For a second member that adverts the same, before others are asked."""
ANSWER_TIMEOUT_MS = 400.0
UNCERTAIN_INTERVAL_MS = 500.0
"""Between questions of a member that does not know the fleet's version; doubled each time,"""
MAX_UNCERTAIN_INTERVAL_MS = 2000.0
"""up to this."""
REPEAT_MS = 500.0
"""Before members that were all asked are asked again; doubled each time,"""
MAX_REPEAT_MS = 8000.0
"""up to this."""
NEVER = 1e15


class PendingQuestion(NamedTuple):
    """Who was asked, and when in ms."""

    name: str
    asked_at: float


@dataclass(slots=True)
class WitnessQuery:
    """The search for witnesses of an advert.

    Attributes:
        stage: The highest stage that was adverted.
        asked: The members asked for it.
        random_members: How many of them were drawn by chance.
        denying_voters: The voters that answered with less.
        next_at: The time in ms before which nobody else is drawn.
        repeat_ms: The last wait before all were asked again; 0.0 before the first.
    """

    stage: int
    asked: set[str] = field(default_factory=set)
    random_members: int = 0
    denying_voters: set[str] = field(default_factory=set)
    next_at: float = 0.0
    repeat_ms: float = 0.0


class WitnessQuestions:
    """The questions of one member.

    Attributes:
        pending: By nonce; emptied by answers and by time.
        query: The search that is under way; None for none.
        sent_to_voters: How many questions went to voters, in all.
        sent_to_members: How many questions went to other members, in all.
    """

    def __init__(self, zone: str, witnesses: Witnesses, chance: SeededChance, now: float) -> None:
        self.pending: dict[int, PendingQuestion] = {}
        self.query: WitnessQuery | None = None
        self.sent_to_voters = 0
        self.sent_to_members = 0
        self._zone = zone
        self._witnesses = witnesses
        self._chance = chance
        self._uncertain_interval_ms = UNCERTAIN_INTERVAL_MS
        self._uncertain_at = now + UNCERTAIN_INTERVAL_MS * chance.fraction()

    def is_asked(self, name: str, nonce: int) -> bool:
        """Whether this is the nonce of a question that this member has not answered."""
        question = self.pending.get(nonce)
        return question is not None and question.name == name

    def answered(self, name: str, nonce: int, answer: StageDigest, now: float) -> None:
        """Note the answer to a pending question."""
        del self.pending[nonce]
        query = self.query
        if query is None:
            return
        query.next_at = now
        if name in self._witnesses.voters and answer.stage < query.stage and answer != UNCERTAIN:
            query.denying_voters.add(name)

    def expire(self, now: float) -> None:
        """Forget questions that nobody answered in time."""
        late = [
            nonce for nonce, question in self.pending.items() if now >= question.asked_at + ANSWER_TIMEOUT_MS
        ]
        for nonce in late:
            del self.pending[nonce]

    def next_deadline(self, is_certain: bool, has_members: bool) -> float:
        """The time in ms at which there may be something to ask or to expire."""
        deadline = NEVER
        if self.pending:
            first = min(question.asked_at for question in self.pending.values())
            deadline = min(deadline, first + ANSWER_TIMEOUT_MS)
        if self.query is not None:
            deadline = min(deadline, self.query.next_at)
        elif not is_certain and has_members:
            deadline = min(deadline, self._uncertain_at)
        return deadline

    def ask(
        self, stage: int, is_certain: bool, members: dict[str, ReachableMember], now: float
    ) -> list[ConfigQuestion]:
        """The questions that are due.

        Args:
            stage: The stage in force here.
            is_certain: Whether this member knows the fleet's version.
            members: The living members by name, without this one.
            now: In ms.
        """
        adverts = self._witnesses.open_adverts(max(stage, self._witnesses.believed.stage), now)
        self._update_query(adverts, now)
        query = self.query
        if query is None:
            if not is_certain and now >= self._uncertain_at and members:
                return self._ask_uncertain(members, now)
            return []
        if len(query.denying_voters) >= min(MAX_DENYING_VOTERS, len(self._witnesses.voters)) > 0:
            for name in adverts:
                self._witnesses.doubt(name, now)
            self.query = None
            return []
        return self._ask_for_query(query, adverts, members, now)

    def _update_query(self, adverts: dict[str, StageDigest], now: float) -> None:
        if adverts:
            highest = max(advert.stage for advert in adverts.values())
            if self.query is None:
                self.query = WitnessQuery(highest, next_at=now + SECOND_ADVERT_MS)
            elif self.query.stage < highest:
                self.query.stage = highest
                self.query.asked.clear()
                self.query.denying_voters.clear()
                self.query.random_members = 0
        elif self.query is not None:
            self.query = None
            self._uncertain_interval_ms = UNCERTAIN_INTERVAL_MS
            self._uncertain_at = now + UNCERTAIN_INTERVAL_MS

    def _ask_for_query(
        self,
        query: WitnessQuery,
        adverts: dict[str, StageDigest],
        members: dict[str, ReachableMember],
        now: float,
    ) -> list[ConfigQuestion]:
        questions: list[ConfigQuestion] = []
        # Those that adverted it come first, each once.
        for name in adverts:
            if name not in query.asked and len(self.pending) < MAX_PENDING:
                query.asked.add(name)
                questions.append(self._question(name, now))
        if now < query.next_at:
            return questions
        query.next_at = now + ANSWER_TIMEOUT_MS
        waiting_for = {question.name for question in self.pending.values()}
        # A voter's own word suffices, if it comes: nobody else is asked meanwhile.
        if len(waiting_for) < MAX_PENDING and not waiting_for & {*self._witnesses.voters}:
            questions += self._ask_another(query, members, now)
        return questions

    def _ask_another(
        self, query: WitnessQuery, members: dict[str, ReachableMember], now: float
    ) -> list[ConfigQuestion]:
        """One more: by chance, of the own zone if possible; after some of them a voter."""
        voters = self._witnesses.voters
        fresh = [name for name in members if name not in query.asked]
        if query.random_members < MAX_RANDOM_MEMBERS and fresh:
            query.random_members += 1
            in_zone = [name for name in fresh if members[name].zone == self._zone and name not in voters]
            return [self._ask_drawn(in_zone or fresh, query, now)]
        fresh_voters = [name for name in voters if name in members and name not in query.asked]
        if fresh_voters:
            return [self._ask_drawn(fresh_voters, query, now)]
        query.repeat_ms = min(MAX_REPEAT_MS, max(2.0 * query.repeat_ms, REPEAT_MS))
        query.next_at = now + self._chance.jittered(query.repeat_ms)
        query.random_members = 0
        query.asked.clear()
        return []

    def _ask_drawn(self, names: list[str], query: WitnessQuery, now: float) -> ConfigQuestion:
        name = self._chance.pick(names)
        query.asked.add(name)
        return self._question(name, now)

    def _ask_uncertain(self, members: dict[str, ReachableMember], now: float) -> list[ConfigQuestion]:
        """Two by chance, from the second time on one of them a voter: nobody adverted anything."""
        names = [*members]
        drawn = [self._chance.pick(names), self._chance.pick(names)]
        voters = [name for name in self._witnesses.voters if name in members]
        if voters and self._uncertain_interval_ms > UNCERTAIN_INTERVAL_MS:
            drawn[0] = self._chance.pick(voters)
        questions = [self._question(name, now) for name in dict.fromkeys(drawn)]
        self._uncertain_at = now + self._chance.jittered(self._uncertain_interval_ms)
        self._uncertain_interval_ms = min(MAX_UNCERTAIN_INTERVAL_MS, 2.0 * self._uncertain_interval_ms)
        return questions

    def _question(self, name: str, now: float) -> ConfigQuestion:
        nonce = self._chance.nonce()
        self.pending[nonce] = PendingQuestion(name, now)
        if name in self._witnesses.voters:
            self.sent_to_voters += 1
        else:
            self.sent_to_members += 1
        return ConfigQuestion(name, nonce)

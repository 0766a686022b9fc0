"""Which members this member queries for their stage: to confirm an advert, or to learn the fleet's stage."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cherrygrade.fleet.config.replica_messages import UNCERTAIN, ConfigQuestion, ReachableMember, StageDigest
from cherrygrade.fleet.config.seeded_random import SeededRandom
from cherrygrade.fleet.config.witnesses import Witnesses

MAX_RANDOM_MEMBERS = 3
"""Randomly drawn members that are queried before a voter is."""
MAX_DENYING_VOTERS = 2
"""Voters that answer with a lower stage before an advert is doubted."""
MAX_PENDING = 2
"""Queries of a search that may be unanswered at the same time."""
SECOND_ADVERT_MS = 100.0
"""Time for which only the members that sent the advert are queried: a second one may send it meanwhile."""
ANSWER_TIMEOUT_MS = 400.0
UNCERTAIN_INTERVAL_MS = 500.0
"""Interval between the first queries while this member does not know the fleet's version; it doubles."""
MAX_UNCERTAIN_INTERVAL_MS = 2000.0
"""The longest interval between queries while this member does not know the fleet's version."""
REPEAT_MS = 500.0
"""First wait before a search that found too few witnesses starts over; it doubles each time."""
MAX_REPEAT_MS = 8000.0
"""The longest wait before a search starts over."""
NEVER_MS = 1e15
"""A time that is never reached."""


class PendingQuestion(NamedTuple):
    """An unanswered query.

    Attributes:
        name: The member that was queried.
        sent_at_ms: When the query was sent.
    """

    name: str
    sent_at_ms: float


@dataclass(slots=True)
class WitnessSearch:
    """The search for witnesses of an advert.

    Attributes:
        stage: The highest stage of the open adverts.
        queried: The members queried for it.
        random_members: The number of `queried` members that were drawn at random.
        denying_voters: The voters that answered with a lower stage.
        next_draw_ms: The time before which no further member is drawn.
        repeat_ms: The last wait before the search started over, in ms; 0.0 before the first.
    """

    stage: int
    queried: set[str] = field(default_factory=set)
    random_members: int = 0
    denying_voters: set[str] = field(default_factory=set)
    next_draw_ms: float = 0.0
    repeat_ms: float = 0.0


class WitnessQuestions:
    """The queries of one member.

    Attributes:
        pending: The unanswered queries by nonce; a query is removed by its answer or its timeout.
        search: The search in progress; None for none.
        sent_to_voters: The number of queries sent to voters so far.
        sent_to_members: The number of queries sent to other members so far.
    """

    def __init__(self, zone: str, witnesses: Witnesses, rng: SeededRandom, now: float) -> None:
        self.pending: dict[int, PendingQuestion] = {}
        self.search: WitnessSearch | None = None
        self.sent_to_voters = 0
        self.sent_to_members = 0
        self._zone = zone
        self._witnesses = witnesses
        self._rng = rng
        self._uncertain_interval_ms = UNCERTAIN_INTERVAL_MS
        self._next_uncertain_ms = now + UNCERTAIN_INTERVAL_MS * rng.fraction()

    def is_pending(self, name: str, nonce: int) -> bool:
        """Return whether this is the nonce of a query that this member has not answered."""
        question = self.pending.get(nonce)
        return question is not None and question.name == name

    def receive_answer(self, name: str, nonce: int, answer: StageDigest, now: float) -> None:
        """Process the answer to a pending query."""
        del self.pending[nonce]
        search = self.search
        if search is None:
            return
        search.next_draw_ms = now
        if name in self._witnesses.voters and answer.stage < search.stage and answer != UNCERTAIN:
            search.denying_voters.add(name)

    def expire(self, now: float) -> None:
        """Drop the queries that were not answered within ANSWER_TIMEOUT_MS."""
        expired = [
            nonce
            for nonce, question in self.pending.items()
            if now >= question.sent_at_ms + ANSWER_TIMEOUT_MS
        ]
        for nonce in expired:
            del self.pending[nonce]

    def next_deadline(self, is_certain: bool, has_members: bool) -> float:
        """Return the time in ms at which a query may be due or time out."""
        deadline = NEVER_MS
        if self.pending:
            first = min(question.sent_at_ms for question in self.pending.values())
            deadline = min(deadline, first + ANSWER_TIMEOUT_MS)
        if self.search is not None:
            deadline = min(deadline, self.search.next_draw_ms)
        elif not is_certain and has_members:
            deadline = min(deadline, self._next_uncertain_ms)
        return deadline

    def due_questions(
        self, stage: int, is_certain: bool, members: dict[str, ReachableMember], now: float
    ) -> list[ConfigQuestion]:
        """Return the queries to send now.

        Args:
            stage: The stage in force here.
            is_certain: Whether this member knows the fleet's version.
            members: The other living members by name.
            now: The current time in ms.
        """
        adverts = self._witnesses.open_adverts(max(stage, self._witnesses.believed.stage), now)
        self._update_search(adverts, now)
        search = self.search
        if search is None:
            if not is_certain and now >= self._next_uncertain_ms and members:
                return self._uncertain_questions(members, now)
            return []
        if len(search.denying_voters) >= min(MAX_DENYING_VOTERS, len(self._witnesses.voters)) > 0:
            for name in adverts:
                self._witnesses.doubt(name, now)
            self.search = None
            return []
        return self._search_questions(search, adverts, members, now)

    def _update_search(self, adverts: dict[str, StageDigest], now: float) -> None:
        """Begin, restart or end the search as the open adverts require."""
        if adverts:
            highest = max(advert.stage for advert in adverts.values())
            if self.search is None:
                self.search = WitnessSearch(highest, next_draw_ms=now + SECOND_ADVERT_MS)
            elif self.search.stage < highest:
                self.search.stage = highest
                self.search.queried.clear()
                self.search.denying_voters.clear()
                self.search.random_members = 0
        elif self.search is not None:
            self.search = None
            self._uncertain_interval_ms = UNCERTAIN_INTERVAL_MS
            self._next_uncertain_ms = now + UNCERTAIN_INTERVAL_MS

    def _search_questions(
        self,
        search: WitnessSearch,
        adverts: dict[str, StageDigest],
        members: dict[str, ReachableMember],
        now: float,
    ) -> list[ConfigQuestion]:
        """Return the queries of the search that are due now."""
        questions: list[ConfigQuestion] = []
        # The members that sent the adverts are queried first, each once.
        for name in adverts:
            if name not in search.queried and len(self.pending) < MAX_PENDING:
                search.queried.add(name)
                questions.append(self._question(name, now))
        if now < search.next_draw_ms:
            return questions
        search.next_draw_ms = now + ANSWER_TIMEOUT_MS
        queried_now = {question.name for question in self.pending.values()}
        # A voter's answer suffices, so no other member is queried while one is pending.
        if len(queried_now) < MAX_PENDING and not queried_now & {*self._witnesses.voters}:
            questions += self._next_question(search, members, now)
        return questions

    def _next_question(
        self, search: WitnessSearch, members: dict[str, ReachableMember], now: float
    ) -> list[ConfigQuestion]:
        """Return a query to one more member: first random ones, of the own zone if possible, then voters.

        Once the random members and all voters have been queried, there is none, and the search starts over
        after a wait.
        """
        voters = self._witnesses.voters
        unqueried = [name for name in members if name not in search.queried]
        if search.random_members < MAX_RANDOM_MEMBERS and unqueried:
            search.random_members += 1
            in_zone = [name for name in unqueried if members[name].zone == self._zone and name not in voters]
            return [self._random_question(in_zone or unqueried, search, now)]
        unqueried_voters = [name for name in voters if name in members and name not in search.queried]
        if unqueried_voters:
            return [self._random_question(unqueried_voters, search, now)]
        search.repeat_ms = min(MAX_REPEAT_MS, max(2.0 * search.repeat_ms, REPEAT_MS))
        search.next_draw_ms = now + self._rng.jittered(search.repeat_ms)
        search.random_members = 0
        search.queried.clear()
        return []

    def _random_question(self, names: list[str], search: WitnessSearch, now: float) -> ConfigQuestion:
        """Return a query to one of the members, drawn at random."""
        name = self._rng.pick(names)
        search.queried.add(name)
        return self._question(name, now)

    def _uncertain_questions(self, members: dict[str, ReachableMember], now: float) -> list[ConfigQuestion]:
        """Return queries to two random members while there is no advert.

        From the second time on, one of the two is a voter.
        """
        names = [*members]
        drawn = [self._rng.pick(names), self._rng.pick(names)]
        voters = [name for name in self._witnesses.voters if name in members]
        if voters and self._uncertain_interval_ms > UNCERTAIN_INTERVAL_MS:
            drawn[0] = self._rng.pick(voters)
        questions = [self._question(name, now) for name in dict.fromkeys(drawn)]
        self._next_uncertain_ms = now + self._rng.jittered(self._uncertain_interval_ms)
        self._uncertain_interval_ms = min(MAX_UNCERTAIN_INTERVAL_MS, 2.0 * self._uncertain_interval_ms)
        return questions

    def _question(self, name: str, now: float) -> ConfigQuestion:
        """Return a query to a member, and remember it as pending."""
        nonce = self._rng.nonce()
        self.pending[nonce] = PendingQuestion(name, now)
        if name in self._witnesses.voters:
            self.sent_to_voters += 1
        else:
            self.sent_to_members += 1
        return ConfigQuestion(name, nonce)

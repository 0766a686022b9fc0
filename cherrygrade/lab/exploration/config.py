"""A model of a version of the configuration that moves parts, for exploration: three members, two versions,
with the product's own `fleet/config/` (and its council's agreed log taken as agreed).

`a` leads, settles and goes by its own log, `b` votes and may lag behind, `c` votes not. Who is started anew
has what is on its disk, or (`losses`) nothing. An answer may be heard at any later time, again, after later
ones, or never, which covers a cut. It is drawn up as the question leaves, which leaves nothing out, for a
question changes nothing at its asker; what is written to disk is in force at once, for a start anew between
the two finds what a start after them finds. Words that nobody would take any more are forgotten.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import cache
from typing import NamedTuple

from cherrygrade.fleet.config.joint_phase import JointPhase, SeatedMember, quota_parts
from cherrygrade.fleet.config.joint_phase import PendingQuestion as SeatQuestion
from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.config.replica_messages import FetchResponse, ReplicaEffects, StageDigest, StoredConfig
from cherrygrade.fleet.config.version_content import VersionContent
from cherrygrade.fleet.config.version_fetch import CurrentFetch
from cherrygrade.fleet.config.version_log import VersionLog
from cherrygrade.fleet.config.versions import (
    ConfigVersion,
    PutVersion,
    QuotaDivisors,
    SettleVersion,
    encode,
    text_digest,
)
from cherrygrade.fleet.config.witness_questions import PendingQuestion
from cherrygrade.lab.exploration.explore import Breach, Told

NAMES, VOTERS = ("a", "b", "c"), ("a", "b")
ZONE = "z"


class Log(NamedTuple):
    """What is agreed on in turn: (version, stage); the divisors of each version by number."""

    entries: tuple[tuple[ConfigVersion, int], ...]
    parts: dict[int, QuotaDivisors]
    forged: ConfigVersion


@cache
def log_of(before: int, after: int) -> Log:
    log, found = VersionLog(), []
    counts = {1: QuotaDivisors(before), 2: QuotaDivisors(after)}
    for number, now in counts.items():
        text = f"place: dispatchers: {now.dispatchers}\n"
        op = PutVersion(1.0, str(number), number - 1, text, (), text_digest(text), "ann", now, counts[1])
        told = log.apply(number, encode(op))
        assert log.newest is not None
        found.append((log.newest, told.stage))
    log.apply(3, encode(SettleVersion(1.0, 2)))
    assert log.newest is not None
    found.append((log.newest, log.stage))
    newest = log.newest
    forged = ConfigVersion(
        2, newest.previous_digest, "forged\n", "", 0.0, newest.old_divisors, newest.move_started
    )
    return Log(tuple(found), counts, forged)


class Mind(NamedTuple):
    """A member: its life, what is on its disk, what it has in memory. `known`: of the log, as a voter."""

    life: int = 1
    disk: tuple[int, int] = (3, 1)
    stage: int = 3
    number: int = 1
    sure: bool = True
    forged: bool = False
    believed: tuple[int, int] = (3, 1)
    heard: bool = False
    said: tuple[tuple[str, tuple[tuple[int, int], ...]], ...] = ()
    asks: frozenset[tuple[int, str]] = frozenset()
    known: int = 0


class Asking(NamedTuple):
    """The leader's settling."""

    rounds: int = 0
    said: tuple[tuple[str, int, int], ...] = ()
    asked: tuple[tuple[str, int], ...] = ()


class Word(NamedTuple):
    """An answer: to a question, or to the leader's (`proof`)."""

    by: str
    life: int
    to: str
    to_life: int
    nonce: int
    stage: int
    mark: int
    proof: bool


class Now(NamedTuple):
    """`seen`: lives that the leader knows of. `high`: the highest stage that each was on, on this disk."""

    minds: tuple[Mind, ...] = (Mind(), Mind(), Mind())
    agreed: int = 1
    asking: Asking | None = Asking()
    seen: tuple[int, ...] = (1, 1, 1)
    high: tuple[int, ...] = (3, 3, 3)
    told: int = 0
    asks: int = 0
    proofs: int = 0
    crashes: int = 0
    losses: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """`before`, `after`: dispatchers of the two versions; `asks` of members, `proofs` that the leader asks
    for, in this order as far as they lack it; `askers`: who asks of its own; `who` is started anew;
    `ahead`: who is on the joint stage at the start; `liar`: c says whatever it likes."""

    before: int = 3
    after: int = 2
    asks: int = 2
    proofs: int = 6
    crashes: int = 1
    losses: int = 1
    order: str = "cba"
    askers: str = "bc"
    who: str = "abc"
    ahead: str = ""
    liar: bool = False


NARROW = Bounds(asks=1, crashes=0, losses=1, who="c", askers="c", ahead="ac")
WHOLE = (
    Bounds(asks=1, crashes=0, losses=0),
    Bounds(asks=1, crashes=1, losses=0, who="c", askers="c"),
    Bounds(asks=1, crashes=0, losses=1, who="c", askers="c"),
    Bounds(asks=1, crashes=1, losses=0, who="a", askers="c"),
    Bounds(asks=1, proofs=3, who="b", askers="b"),
    Bounds(asks=2, proofs=2, crashes=0, losses=0, liar=True),
    NARROW,
    replace(NARROW, before=2, after=3),
)
"""What `lab explore config` goes through whole."""


@dataclass(frozen=True, slots=True)
class Planted:
    """Breakages, each to be found."""

    goes_back: bool = False  # a voter's word is taken though it is lower
    undigested: bool = False  # content is taken as it comes
    grows_early: bool = False  # parts of the new version are used while it is joint
    one_round: bool = False  # settled after one round
    old_answers: bool = False  # an answer of `who` counts whichever question it is to
    trusts_one: bool = False  # one member's word is believed
    sure_at_once: bool = False  # one that lost its disk takes itself for sure


class Config:
    def __init__(self, bounds: Bounds, planted: Planted = Planted()) -> None:
        self.bounds, self.planted = bounds, planted
        self.log = log_of(bounds.before, bounds.after)
        self.versions = {version.number: version for version, _ in self.log.entries}
        self.marks = {version.number: version.digest_prefix for version in self.versions.values()}
        self.numbers = {mark: number for number, mark in self.marks.items()}
        self._told: Told[Word] = Told()

    def start(self) -> Now:
        """Version 2 has just been agreed on."""
        minds, high = [Mind(known=1), Mind(), Mind()], [3, 3, 3]
        for at, name in enumerate(NAMES):
            if name in self.bounds.ahead:
                ahead = minds[at]._replace(disk=(4, 2), stage=4, number=2, believed=(4, 2))
                minds[at], high[at] = ahead, 4
        return Now(tuple(minds), high=tuple(high))

    # The product's objects from a state, and back.

    def _replica(self, name: str, mind: Mind) -> ConfigReplica:
        one = ConfigReplica(name, ZONE, NAMES.index(name), 3, [*VOTERS], 1, float(mind.life))
        one.stage = mind.stage
        if mind.number:
            one.version = self.log.forged if mind.forged else self.versions[mind.number]
            one.store.add(one.version)
        one._is_certain, one.witnesses.has_confirmation = mind.sure, mind.heard
        one.witnesses.believed = StageDigest(mind.believed[0], self._mark(mind.believed[1]))
        one.witnesses.statements = {
            by: [StageDigest(s, self._mark(m)) for s, m in words] for by, words in mind.said
        }
        one.questions.pending = {nonce: PendingQuestion(by, 0.0) for nonce, by in mind.asks}
        return one

    def _mark(self, number: int) -> int:
        return self.marks.get(number, number)

    def _mind(self, one: ConfigReplica, mind: Mind) -> Mind:
        words = tuple(
            (by, tuple((s, self.numbers.get(m, m)) for s, m in words))
            for by, words in sorted(one.witnesses.statements.items())
        )
        believed = (
            one.believed.stage,
            self.numbers.get(one.believed.digest_prefix, one.believed.digest_prefix),
        )
        return mind._replace(
            stage=one.stage,
            number=one.version.number if one.version is not None else 0,
            forged=one.version is not None and one.version.text == self.log.forged.text,
            sure=one._is_certain,
            heard=one.witnesses.has_confirmation,
            believed=believed,
            said=words,
            asks=frozenset((nonce, by) for nonce, (by, _) in one.questions.pending.items()),
        )

    def _settling(self, asking: Asking) -> JointPhase:
        one = JointPhase(self.log.entries[1][1], 3, 1, 0.0)
        one.completed_rounds = asking.rounds
        one.stages = {(name, life): stage for name, life, stage in asking.said}
        one.pending = {name: SeatQuestion(nonce, 0.0) for name, nonce in asking.asked}
        return one

    def _asking(self, one: JointPhase) -> Asking:
        said = tuple(sorted((name, life, stage) for (name, life), stage in one.stages.items()))
        return Asking(
            one.completed_rounds,
            said,
            tuple(sorted((name, nonce) for name, (nonce, _) in one.pending.items())),
        )

    # Steps.

    def steps(self, now: Now) -> Iterator[tuple[str, Now]]:
        for at, name in enumerate(NAMES):
            for what, after in self._member(now, at, name):
                yield what, self._forget(after)
        if now.asking is not None:
            for what, after in self._leader(now):
                yield what, self._forget(after)

    def _member(self, now: Now, at: int, name: str) -> Iterator[tuple[str, Now]]:
        bounds, mind = self.bounds, now.minds[at]
        lies = bounds.liar and name == "c"
        if name in VOTERS:
            for known in range(mind.known, (now.agreed if name != "a" else mind.known) + 1):
                one = self._replica(name, mind)
                version, stage = self.log.entries[known]
                does = one.learn_committed(version, stage, 0.0, leader_confirmed=name == "a")
                known_ = now._replace(minds=self._with(now, at, mind._replace(known=known)))
                yield from self._after(known_, at, one, does, f"{name} has {stage} of its log", now)
        wants = not lies and (not mind.sure or mind.stage < 5)
        if name in bounds.askers and now.asks < bounds.asks and wants:
            for to, other in enumerate(NAMES):
                if other == name:
                    continue
                asks = mind.asks | {(now.asks + 1, other)}
                minds = self._with(now, at, mind._replace(asks=asks))
                for stage, number in self._says(other, now.minds[to], bounds.liar and other == "c"):
                    life = (other, now.minds[to].life)
                    word = Word(*life, name, mind.life, now.asks + 1, stage, number, False)
                    told = now.told | self._told.mask([word])
                    more = now._replace(asks=now.asks + 1, minds=minds, told=told)
                    yield f"{name} asks {other}, which answers {stage}", more
        for word in self._told.of(now.told):
            if word.to == name and not word.proof:
                yield from self._hears(now, at, word)
        yield from self._content(now, at, name)
        if now.crashes < bounds.crashes and name in bounds.who:
            yield f"{name} starts anew", self._restart(now, at, mind.disk, now.crashes + 1, now.losses)
        if now.losses < bounds.losses and name != "a" and name in bounds.who:
            more = self._restart(now, at, (0, 0), now.crashes, now.losses + 1)
            yield f"{name} starts anew without its disk", more

    def _forget(self, now: Now) -> Now:
        """Words that nobody would take any more."""
        kept = []
        for word in self._told.of(now.told):
            to = now.minds[NAMES.index(word.to)]
            if word.to_life != to.life:
                continue
            if word.proof:
                nonces = {nonce for _, nonce in now.asking.asked} if now.asking is not None else set()
                if word.nonce in nonces or (now.asking is not None and self._counts_late(word)):
                    kept.append(word)
            elif (word.nonce, word.by) in to.asks:
                kept.append(word)
        return now._replace(told=self._told.mask(kept))

    def _says(self, name: str, mind: Mind, lies: bool) -> list[tuple[int, int]]:
        """Stage and number; a liar any, and one that there is not."""
        if lies:
            return [(4, 2), (5, 2), (7, 77)]
        return [self._told_of(name, mind)]

    def _told_of(self, name: str, mind: Mind) -> tuple[int, int]:
        here = self._replica(name, mind).own_advert()
        return here.stage, self.numbers.get(here.digest_prefix, here.digest_prefix)

    def _hears(self, now: Now, at: int, word: Word) -> Iterator[tuple[str, Now]]:
        name, mind = NAMES[at], now.minds[at]
        one = self._replica(name, mind)
        mark = self._mark(word.mark)
        if self.planted.goes_back and word.by in VOTERS and word.stage:
            one.stage, one.witnesses.believed = 0, StageDigest(0, 0)
        if self.planted.trusts_one:
            one.witnesses.voters = [*NAMES]
        does = one.receive_statement(word.by, word.stage, mark, 0.0, word.nonce)
        yield from self._after(now, at, one, does, f"{name} hears {word.by}'s {word.stage}")

    def _content(self, now: Now, at: int, name: str) -> Iterator[tuple[str, Now]]:
        mind = now.minds[at]
        one = self._replica(name, mind)
        stage, mark = one.believed
        if not one.wants_version or stage // 2 in one.store.versions:
            return
        for version in (*self.versions.values(), self.log.forged):
            one = self._replica(name, mind)
            one.fetch.current = CurrentFetch("x", 0.0, StageDigest(stage, mark))
            if self.planted.undigested:
                one.store.add(version)
                does = one.apply(version, stage)
            else:
                does = one.fetch_finished("x", FetchResponse(VersionContent(version)), 0.0)
            yield from self._after(now, at, one, does, f"{name} is given {version.text.strip()}")

    def _after(
        self,
        now: Now,
        at: int,
        one: ConfigReplica,
        does: ReplicaEffects,
        what: str,
        before: Now | None = None,
    ) -> Iterator[tuple[str, Now]]:
        """On disk and in force with what a call came to, until it comes to nothing more."""
        disk, high = now.minds[at].disk, [*now.high]
        while does.apply is not None:
            assert does.store is not None
            disk = (does.store.stage, does.store.version.number)
            does = one.apply_finished(does.apply[1], "", 0.0)
            if one.stage < high[at]:
                raise Breach(f"{NAMES[at]} goes back from stage {high[at]} to {one.stage}")
            high[at] = one.stage
        mind = self._mind(one, now.minds[at])._replace(disk=disk)
        after = now._replace(minds=self._with(now, at, mind), high=tuple(high))
        if after != (before or now):
            yield what, after

    def _restart(self, now: Now, at: int, disk: tuple[int, int], crashes: int, losses: int) -> Now:
        mind, name = now.minds[at], NAMES[at]
        stage, number = disk
        version = self.versions.get(number)
        kept = StoredConfig(stage, version) if version is not None else None
        one = ConfigReplica(name, ZONE, at, 3, [*VOTERS], 1, float(mind.life + 1), kept)
        if kept is not None:
            one.apply_finished(stage, "", 0.0)
        elif self.planted.sure_at_once:
            one._is_certain = True
        anew = self._mind(one, Mind(mind.life + 1, disk, known=mind.known))
        high = [*now.high]
        high[at] = max(high[at], stage) if stage else 0
        asking = Asking() if name == "a" and now.agreed == 1 else now.asking
        minds = self._with(now, at, anew)
        more = now._replace(minds=minds, high=tuple(high), asking=asking, crashes=crashes, losses=losses)
        return more._replace(seen=(anew.life, *now.seen[1:])) if name == "a" else more

    def _leader(self, now: Now) -> Iterator[tuple[str, Now]]:
        assert now.asking is not None
        for at, name in enumerate(NAMES):
            if now.seen[at] < now.minds[at].life:
                seen = tuple(now.minds[at].life if here == at else life for here, life in enumerate(now.seen))
                yield f"a hears that {name} is back", now._replace(seen=seen)
        settling = self._settling(now.asking)
        claims = [SeatedMember(at, name, now.seen[at], True) for at, name in enumerate(NAMES)]
        if now.proofs < self.bounds.proofs:
            for name in self.bounds.order:
                at = NAMES.index(name)
                if settling.is_proven(claims[at]) or (name in settling.pending and now.seen[at] == 1):
                    continue
                one, mind, nonce = self._settling(now.asking), now.minds[at], 100 + now.proofs
                one.pending[name] = SeatQuestion(nonce, 0.0)
                stage, number = self._told_of(name, mind)
                more = now._replace(proofs=now.proofs + 1)
                if name == "a":
                    one.receive_answer("a", now.seen[0], stage, nonce)
                else:
                    word = Word(name, mind.life, "a", now.minds[0].life, nonce, stage, number, True)
                    more = more._replace(told=now.told | self._told.mask([word]))
                yield from self._proved(more, one, claims, f"a asks {name}, which answers {stage}")
                break
        for word in self._told.of(now.told):
            at = NAMES.index(word.by)
            if not word.proof or word.life != now.seen[at]:
                continue
            one, nonce = self._settling(now.asking), word.nonce
            if self._counts_late(word) and word.by in one.pending:
                nonce = one.pending[word.by][0]
            one.receive_answer(word.by, word.life, word.stage, nonce)
            yield from self._proved(now, one, claims, f"a hears that {word.by} is on {word.stage}")

    def _counts_late(self, word: Word) -> bool:
        return self.planted.old_answers and word.by in self.bounds.who

    def _proved(
        self, now: Now, one: JointPhase, claims: list[SeatedMember], what: str
    ) -> Iterator[tuple[str, Now]]:
        whole = one.is_complete(claims) or (self.planted.one_round and one.completed_rounds > 0)
        if whole:
            minds = self._with(now, 0, now.minds[0]._replace(known=2))
            yield f"{what}: settled", now._replace(agreed=2, asking=None, minds=minds)
        elif (asking := self._asking(one)) != now.asking:
            yield what, now._replace(asking=asking)

    def _with(self, now: Now, at: int, mind: Mind) -> tuple[Mind, ...]:
        return tuple(mind if here == at else one for here, one in enumerate(now.minds))

    # What must not be.

    def wrong(self, now: Now) -> str:
        through = 0.0
        for at, mind in enumerate(now.minds):
            if mind.forged:
                return f"{NAMES[at]} has what nobody put in force"
            if mind.believed[1] > 2:
                return f"{NAMES[at]} believes in a version that there is not"
            if mind.stage > self.log.entries[now.agreed][1]:
                return f"{NAMES[at]} is on stage {mind.stage}, which is not agreed on"
            if mind.number:
                version = self.versions[mind.number]
                old = version.old_divisors if not mind.stage & 1 and not self.planted.grows_early else None
                own = quota_parts(at, self.log.parts[mind.number], old, mind.sure)
                through += 1.0 / max(own.dispatcher_counts) if own.has_parts else 0.0
            elif mind.sure:  # on its own file, which says what version 1 says
                through += 1.0 / self.bounds.before if at < self.bounds.before else 0.0
        if through > 1.0 + 1e-9:
            return f"parts of {through:.2f} limits are in use"
        return ""

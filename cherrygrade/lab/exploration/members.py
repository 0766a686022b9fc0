"""A model of three members for exploration: the roll, probing and joining of `fleet/`, as they are.

Time is left out: an accusation, a burial and a forgetting may come at any moment, which covers every clock
and every stall. The network is the set of all claims that anybody ever held and so may have sent: each may
come to anybody at any time, never, or again, which covers loss, doubling and reordering. Witnesses only
shorten waits and are left out too.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from cherrygrade.fleet.membership.failure_detector import FINAL_PROBES, ProbeEffects
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.membership_state import MembershipSettings
from cherrygrade.fleet.membership.messages import Probe
from cherrygrade.fleet.membership.table import Member, MemberInfo, MemberRecord, MemberState
from cherrygrade.lab.exploration.explore import Breach, Told

NAMES = ("a", "b", "c")
FACTS = {name: MemberInfo(f"10.0.0.{at}:1", seat=at) for at, name in enumerate(NAMES)}
LATE = 1e12


class Entry(NamedTuple):
    """One line of a roll. `turn_facts`: the turn that facts were told with, -1 where they are not known."""

    name: str
    incarnation: int
    refutations: int
    state: int
    turn_facts: int

    @property
    def key(self) -> tuple[int, bool, int, int]:
        return (self.incarnation, self.state == MemberState.LEFT, self.refutations, self.state)


class Mind(NamedTuple):
    """What one process knows; `buried`: deaths that it ever knew of and forgot, by our count, not by its
    own."""

    incarnation: int
    entries: tuple[Entry, ...]
    gone: tuple[tuple[str, int, int], ...]
    left: bool = False
    buried: tuple[tuple[str, int, int], ...] = ()

    def entry(self, name: str) -> Entry | None:
        return next((one for one in self.entries if one.name == name), None)


class Word(NamedTuple):
    """A claim under way; `itself`: by the word of whom it is about."""

    entry: Entry
    facts: bool
    itself: bool

    def __str__(self) -> str:
        one = self.entry
        told = f"{one.name}.{one.incarnation}/{one.refutations}:{MemberState(one.state).name}"
        return f"{told} by itself" if self.itself else told


class Now(NamedTuple):
    """`minds` by name, None where no process lives; `told`: all that is or was under way, a bit a word;
    `turns`: the highest that each life raised itself to."""

    minds: tuple[Mind | None, ...]
    told: int
    turns: tuple[tuple[str, int, int], ...]
    accusations: int
    crashes: int
    restarts: int


@dataclass(frozen=True, slots=True)
class Bounds:
    accusations: int = 2
    crashes: int = 1
    restarts: int = 1
    leaves: bool = False
    forgets: bool = True


def thaw(name: str, mind: Mind) -> Membership:
    """A member as the product has it, that knows this."""
    core = Membership(MembershipSettings(name, mind.incarnation, FACTS[name], 3, [], 1), 0.0)
    core.has_left = mind.left
    members = core.table.members
    members.clear()
    core.table._digest = 0
    core.table._dead.clear()
    for entry in mind.entries:
        facts = FACTS[entry.name] if entry.turn_facts >= 0 else None
        member = Member(
            MemberRecord(entry.name, entry.incarnation, entry.refutations, entry.state, facts), 0.0, ""
        )
        member.info_refutations = entry.turn_facts
        members[entry.name] = member
        core.table._index(member)
    core.table.version += 1
    core.table.forgotten.update({name: (birth, turn) for name, birth, turn in mind.gone})
    return core


def freeze(core: Membership) -> Mind:
    entries = tuple(
        sorted(
            Entry(
                one.name,
                one.incarnation,
                one.refutations,
                int(one.state),
                one.info_refutations if one.info is not None else -1,
            )
            for one in core.table
        )
    )
    gone = tuple(sorted((name, birth, turn) for name, (birth, turn) in core.table.forgotten.items()))
    return Mind(core.incarnation, entries, gone, core.has_left)


def accuse(core: Membership, name: str) -> None:
    """A probe of it came back neither straight nor through others."""
    probing = core.failure_detector
    probing.started_ms = -LATE  # it is no newcomer
    probing._probe(core.table.members[name], 1.0, ProbeEffects(), repeated=True)
    probing.last_received_ms = 2.0  # others spoke: it is not deaf
    probing._end_period(3.0, ProbeEffects())


def bury(core: Membership, name: str) -> None:
    """A suspicion ran out."""
    core.failure_detector.suspicion_end_ms[name] = 0.0
    for call in range(1, FINAL_PROBES + 2):  # the last calls, and what comes of them
        core.failure_detector._declare_failures(call * LATE, ProbeEffects())


class Members:
    """The model. Three that know each other; what may go wrong is bounded by `bounds`."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        # What a mind comes to is worked out once: each goes with the exploration.
        self._told: Told[Word] = Told()
        self._after: dict[tuple[int, Mind, str, object], Mind] = {}
        self._judged: dict[tuple[Mind | None, ...], str] = {}

    def start(self) -> Now:
        entries = tuple(Entry(name, 1000, 0, MemberState.ALIVE, 0) for name in NAMES)
        minds = tuple(Mind(1000, entries, ()) for _ in NAMES)
        turns = tuple((name, 1000, 0) for name in NAMES)
        return self._spread(Now(minds, 0, turns, 0, 0, 0))

    # Steps.

    def steps(self, now: Now) -> Iterator[tuple[str, Now]]:
        bounds = self.bounds
        for at, name in enumerate(NAMES):
            mind = now.minds[at]
            if mind is None:
                if now.restarts < bounds.restarts:
                    yield f"{name} starts anew", self._restart(now, at)
                continue
            if now.crashes < bounds.crashes:
                minds = (*now.minds[:at], None, *now.minds[at + 1 :])
                yield f"{name} crashes", now._replace(minds=minds, crashes=now.crashes + 1)
                if bounds.leaves and not mind.left:
                    yield f"{name} leaves", self._leave(now, at)
            if mind.left:
                continue
            for entry in mind.entries:
                if entry.name == name:
                    continue
                if entry.state == MemberState.ALIVE and now.accusations < bounds.accusations:
                    after = self._does(now, at, mind, "accuses", entry.name)
                    yield f"{name} accuses {entry.name}", after._replace(accusations=now.accusations + 1)
                if entry.state == MemberState.SUSPECT:
                    yield f"{name} buries {entry.name}", self._does(now, at, mind, "buries", entry.name)
            if bounds.forgets and any(entry.state >= MemberState.FAILED for entry in mind.entries):
                yield f"{name} forgets", self._does(now, at, mind, "forgets", "")
            for word in self._told.of(now.told):
                if self._comes_to(at, mind, "hears", word) != mind:
                    yield f"{name} hears {word}", self._does(now, at, mind, "hears", word)

    def _restart(self, now: Now, at: int) -> Now:
        name, birth = NAMES[at], 2000 + now.restarts
        mind = Mind(birth, (Entry(name, birth, 0, MemberState.ALIVE, 0),), ())
        minds = (*now.minds[:at], mind, *now.minds[at + 1 :])
        turns = tuple(sorted([*now.turns, (name, birth, 0)]))
        return self._spread(now._replace(minds=minds, turns=turns, restarts=now.restarts + 1))

    def _leave(self, now: Now, at: int) -> Now:
        mind, name = now.minds[at], NAMES[at]
        assert mind is not None
        core = thaw(name, mind)
        mail = core.leave(0.0)
        words = {
            Word(
                Entry(one.name, one.incarnation, one.refutations, one.state, one.refutations),
                one.info is not None,
                True,
            )
            for _, page in mail.messages
            for one in getattr(page, "news", [])
        }
        turns = {(name, birth): turn for name, birth, turn in now.turns}
        turns |= {(name, mind.incarnation): max([0, *(word.entry.refutations for word in words)])}
        told = tuple(sorted((name, birth, turn) for (name, birth), turn in turns.items()))
        now = now._replace(told=now.told | self._told.mask(words), crashes=now.crashes + 1, turns=told)
        return self._put(now, at, freeze(core)._replace(buried=mind.buried))

    def _comes_to(self, at: int, mind: Mind, act: str, what: object) -> Mind:
        key = (at, mind, act, what)
        after = self._after.get(key)
        if after is None:
            core = thaw(NAMES[at], mind)
            ACTS[act](core, what)
            after = freeze(core)
            buried = {*mind.buried}
            buried |= {
                (e.name, e.incarnation, e.refutations) for e in mind.entries if after.entry(e.name) is None
            }
            after = self._after[key] = after._replace(buried=tuple(sorted(buried)))
            _monotone(NAMES[at], mind, after)
        return after

    def _does(self, now: Now, at: int, mind: Mind, act: str, what: object) -> Now:
        return self._put(now, at, self._comes_to(at, mind, act, what))

    def _put(self, now: Now, at: int, after: Mind) -> Now:
        turns = dict(((name, birth), turn) for name, birth, turn in now.turns)
        own = after.entry(NAMES[at])
        if own is not None:
            key = (own.name, own.incarnation)
            turns[key] = max(turns.get(key, 0), own.refutations)
        minds = (*now.minds[:at], after, *now.minds[at + 1 :])
        told = tuple(sorted((name, birth, turn) for (name, birth), turn in turns.items()))
        return self._spread(now._replace(minds=minds, turns=told))

    def _spread(self, now: Now) -> Now:
        """Whatever is held may be told."""
        words: set[Word] = set()
        for name, mind in zip(NAMES, now.minds, strict=True):
            if mind is not None and not mind.left:
                for entry in mind.entries:
                    words.add(Word(entry, entry.turn_facts == entry.refutations, entry.name == name))
                for gone, birth, turn in mind.gone:  # to whoever comes back
                    words.add(Word(Entry(gone, birth, turn, MemberState.FAILED, -1), False, False))
        return now._replace(told=now.told | self._told.mask(words))

    # What has to hold.

    def wrong(self, now: Now) -> str:
        turns = {(name, birth): turn for name, birth, turn in now.turns}
        for name, mind in zip(NAMES, now.minds, strict=True):
            if mind is None:
                continue
            own = mind.entry(name)
            if own is None or (own.state != MemberState.ALIVE and not mind.left):
                return f"{name} does not hold itself for living"
            for entry in mind.entries:
                if entry.refutations > turns.get((entry.name, entry.incarnation), -1):
                    return f"{name} holds turn {entry.refutations} of {entry.name}, which it never came to"
                if entry.state == MemberState.LEFT and self._lives(now, entry):
                    return f"{name} takes {entry.name} for gone by its own will, and it is here"
        if now.minds not in self._judged:
            self._judged[now.minds] = self._comes_together(now)
        return self._judged[now.minds]

    def _lives(self, now: Now, entry: Entry) -> bool:
        mind = now.minds[NAMES.index(entry.name)]
        return mind is not None and mind.incarnation == entry.incarnation and not mind.left

    def _comes_together(self, now: Now) -> str:
        """With all words between the living delivered from now on, and the dead found out, each holds just
        the living for alive."""
        cores = {
            name: thaw(name, mind)
            for name, mind in zip(NAMES, now.minds, strict=True)
            if mind is not None and not mind.left
        }
        for _ in range(12):
            for name, core in cores.items():
                for member in [*core.table]:
                    if member.name not in cores and member.living:
                        if member.state is MemberState.ALIVE:
                            accuse(core, member.name)
                        bury(core, member.name)
                for other in cores.values():
                    if other is not core:
                        page = Probe(name, core.incarnation, 1, core.table.digest, [core.table.own.record()])
                        for answer in other.receive(page, FACTS[name].address, 0.0).replies:
                            core.receive(answer, FACTS[other.name].address, 0.0)
                        other.merge_table(core.all_records(), name, 0.0)
            digests = {core.table.digest for core in cores.values()}
            alive = all(
                {one.name for one in core.table if one.state is MemberState.ALIVE} == cores.keys()
                for core in cores.values()
            )
            if alive and len(digests) <= 1:
                return ""
        held = {
            name: sorted(
                f"{one.name}/{one.incarnation}/{one.refutations}:{one.state.name}" for one in core.table
            )
            for name, core in cores.items()
        }
        return f"those who live do not come together: {held}"


def hear(core: Membership, word: Word) -> None:
    entry = word.entry
    facts = FACTS[entry.name] if word.facts else None
    claim = MemberRecord(entry.name, entry.incarnation, entry.refutations, entry.state, facts)
    core.record_merger.merge([claim], entry.name if word.itself else "x", 0.0)


ACTS: dict[str, Callable[[Membership, Any], object]] = {
    "accuses": accuse,
    "buries": bury,
    "forgets": lambda core, _: core.table.forget(LATE),
    "hears": hear,
}


def _monotone(name: str, before: Mind, after: Mind) -> None:
    """Nothing that was known is unknown later: no old life, no older word, whatever was forgotten."""
    for entry in before.entries:
        held = after.entry(entry.name)
        if held is not None and held.key < entry.key:
            raise Breach(f"{name} took {held} for newer than {entry}")
    for gone, birth, turn in before.buried:
        held = after.entry(gone)
        if held is not None and (held.incarnation, held.refutations) <= (birth, turn):
            raise Breach(f"{name} takes {gone} back, which was dead in turn {turn}, by {held}")

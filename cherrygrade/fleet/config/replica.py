"""A dispatcher's part in the spread of versions: what it holds, whom it believes, whom it asks.

A page that tells a higher stage is a hint and nothing more. (stage, mark) is believed once a voter of the
council said it, or two different living members did, each first-hand: in an answer with a number that this
one drew, from the place that the roll holds for that name. The content is fetched from who told it, whole or
as a difference, and taken only if its digest is the one believed and its stage higher than the one in force.

Free of I/O, clock and chance: calls in, a `ReplicaEffects` out; times in ms of any one clock; chance by
crc32.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from zlib import crc32

import msgspec

from cherrygrade.fleet.config.errors import ConfigContentError
from cherrygrade.fleet.config.version_content import VersionContent, content_for, verified_version
from cherrygrade.fleet.config.versions import ConfigVersion

MOST_IN = 8  # fetches served at once; who comes more is told "busy"
FAN = 3  # members that a new stage is pushed to, once: one at least of another zone
WITNESSES = 2  # members that said it; a voter alone suffices
TRIES = 3  # members asked by chance, before a voter is
MOST_VOTERS = 2  # voters that say they are on less, until a hint is doubted
SECOND_MS = 100.0  # that a second one that tells the same is waited for, before others are asked
ASK_MS = 400.0  # that an answer is waited for
REST_MS, MOST_REST_MS = 100.0, 1000.0  # before a fetch is tried again, doubled each time
FETCH_MS = 4000.0  # a carrier that does not end a fetch by then has forgotten it
DOUBT_MS, MOST_DOUBT_MS = 500.0, 60_000.0  # in which hints of one that nobody bore out start nothing
UNSURE_MS = 500.0  # between questions of one that is not sure, doubled each time up to MOST_UNSURE_MS
MOST_UNSURE_MS = 2000.0
QUESTION_MS, MOST_QUESTION_MS = 500.0, 8000.0  # before a question that all were asked is put again
LINGER_MS = 10_000.0  # that bits ride on once they are full, so that the others' become so
MOST_HELD, MOST_HELD_BYTES = 8, 1_048_576  # versions that others may fetch, or have a difference against
MOST_SAID = 4  # last words of one member
MOST_HINTS = 64
UNSURE = 1  # the mark beside stage 0 of one that does not know what the fleet is on: no witness of anything
NEVER = 1e15


class StoredConfig(msgspec.Struct, array_like=True, frozen=True):
    """What is on disk. `before`: what was in force before `version`, should that one be refused here."""

    stage: int
    version: ConfigVersion
    before_stage: int = 0
    before: ConfigVersion | None = None


class ReachableMember(msgspec.Struct, frozen=True):
    """A living member that can be reached, as the roll has it."""

    name: str
    zone: str
    seat: int


class OwnAdvert(msgspec.Struct, frozen=True):
    """What this one says of itself, on `OwnAdvert` and (without bits) on any page; (0, UNSURE) while it is
    not
    sure. Bits: by seat, little end first; b"" where they are full or nothing is in force."""

    stage: int
    mark: int
    bits: bytes = b""


class FetchRequest(msgspec.Struct, array_like=True, frozen=True):
    """A fetch, as the stream carries it: this version; `base` and `base_mark`: what the asker holds (0, 0:
    nothing)."""

    number: int
    mark: int
    base: int = 0
    base_mark: int = 0


class FetchResponse(msgspec.Struct, array_like=True, frozen=True):
    """The answer to it: content, or why not ("busy": another may do; "gone": no longer, or not yet, held)."""

    content: VersionContent | None = None
    why: str = ""


@dataclass(slots=True)
class ReplicaEffects:
    """What a call comes to, carried out in this order: `keep` on disk and synced (where nothing can be kept,
    it says so), then `force`; then pages; `fetch` opens a stream to that member."""

    keep: StoredConfig | None = None
    force: tuple[ConfigVersion, int] | None = None
    """Answer with `forced`."""
    which: list[tuple[str, int]] = field(default_factory=list)
    """Name and nonce: page Which."""
    push: list[str] = field(default_factory=list)
    """Whom to send a Push with this one's stage and mark."""
    fetch: tuple[str, FetchRequest] | None = None
    """Answer with `fetched` or `unfetched`."""


@dataclass(slots=True)
class WitnessQuery:
    """Whether a hint holds. `asked`: members, in this question; `by_chance` of them were no hinters;
    `denied`: voters that answered with less; `rest`: before all are asked again, where no voter can be."""

    stage: int
    asked: set[str] = field(default_factory=set)
    by_chance: int = 0
    denied: set[str] = field(default_factory=set)
    next_at: float = 0.0
    rest: float = 0.0


class ConfigReplica:
    """One dispatcher's. `seats`: of the fleet of record, for the bits. `voters`: names. `kept`: as read from
    disk; the host has put it in force already, and says so with `forced` before anything else; None: nothing
    whole was there, and the own file is in force (stage 0). `now` tells this life's numbers from another's.

    `said` and `hinted` hold words of the living on stages above this one's; `_asks` is emptied by answers and
    by time, `_doubts` with the living; `held` is bounded."""

    def __init__(
        self,
        name: str,
        zone: str,
        seat: int,
        seats: int,
        voters: list[str],
        seed: int,
        now: float,
        kept: StoredConfig | None = None,
    ) -> None:
        self.name, self.zone, self.seat, self.seats = name, zone, seat, seats
        self.voters = [voter for voter in voters if voter != name]
        self.seed = seed
        self.stage = 0
        self.version: ConfigVersion | None = None
        self.refused = ""
        self.cant = ""
        self.held: OrderedDict[int, ConfigVersion] = OrderedDict()
        self.said: dict[str, list[tuple[int, int]]] = {}
        self.hinted: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.asked_voters = self.asked_members = 0
        self._believed = (0, 0)
        self._heard = False  # witnesses told a stage, be it none
        self._sure = False
        self._refused_number = 0
        self._starting = kept
        self._forcing: tuple[ConfigVersion, int] | None = None
        if kept is not None:
            self._forcing = (kept.version, kept.stage)
        self._near: dict[str, ReachableMember] = {}
        self._names: list[str] = []
        self._asks: dict[int, tuple[str, float]] = {}
        self._question: WitnessQuery | None = None
        self._doubts: dict[str, tuple[int, float]] = {}
        self._out: tuple[str, float, int, int] | None = None  # from whom, since when, what
        self._tried: set[str] = set()
        self._rest, self._fetch_at = REST_MS, 0.0
        self._failures = 0
        self._serving = 0
        self._pushing = False
        self._bits = 0
        self._full_at = NEVER
        self._contents: OrderedDict[tuple[int, int], VersionContent] = OrderedDict()
        self._count = crc32(f"{seed}:{name}:{now!r}".encode())
        self._unsure, self._unsure_at = UNSURE_MS, now + UNSURE_MS * self._chance()
        self._stirred = True  # a beat is wanted at once

    @property
    def mark(self) -> int:
        return self.version.digest_prefix if self.version is not None else 0

    @property
    def sure(self) -> bool:
        """Whether it has known what the fleet is on: what it kept is in force, or it came to what witnesses
        said. One that never did serves on its own file and has no part (parts.parts): the fleet may have
        dealt them out anew. A voter's own log does not make it sure, it may lag."""
        return self._sure

    @property
    def believed(self) -> tuple[int, int]:
        """The highest (stage, mark) with witnesses; in force or not yet."""
        return self._believed

    def status(self) -> str:
        """For people: "" where all is well, else "refused: KEY", "can't fetch: WHY" or "late"."""
        if self.refused and self._refused_number >= self._believed[0] // 2:
            return f"refused: {self.refused}"
        if self._believed[0] <= self.stage:
            return "" if self.sure else "not sure what the fleet is on"
        return f"can't fetch: {self.cant}" if self.cant else "late"

    def here(self) -> OwnAdvert:
        """The stage in force here, its mark, and who else is on it."""
        if not self.sure:
            return OwnAdvert(0, UNSURE)
        bits = b"" if not self.stage or self._full_at < -NEVER else self._bytes()
        return OwnAdvert(self.stage, self.mark, bits)

    def on(self, seat: int) -> bool:
        """Whether that seat is known to be on the stage in force here; for people."""
        return bool(self._bits >> seat & 1) if seat >= 0 else False

    # What comes in.

    def hint(self, by: str, stage: int, mark: int, now: float, bits: bytes = b"") -> ReplicaEffects:
        """Any page of this living member told that."""
        self._merge(stage, mark, bits, now)
        if stage <= self.stage or by == self.name or self.hinted.get(by, (0, 0))[0] >= stage:
            return ReplicaEffects()
        if by in self.hinted or len(self.hinted) < MOST_HINTS:
            self.hinted[by] = (stage, mark)
            self._stirred = True
        return ReplicaEffects()

    def answered(
        self, by: str, stage: int, mark: int, now: float, nonce: int = 0, bits: bytes = b""
    ) -> ReplicaEffects:
        """First-hand, from the place that the roll holds for the name: a `OwnAdvert` with this one's
        nonce, or
        (`nonce` 0) an Answer to this one's own probe, as the caller has checked."""
        if nonce and self._asks.get(nonce, ("", 0.0))[0] != by:
            return self.hint(by, stage, mark, now, bits)
        if nonce:
            del self._asks[nonce]
            if self._question is not None:
                self._question.next_at = now
                if by in self.voters and stage < self._question.stage and (stage, mark) != (0, UNSURE):
                    self._question.denied.add(by)
            self._stirred = True
        self._merge(stage, mark, bits, now)
        if (stage, mark) == (0, UNSURE) or (self.sure and stage <= self.stage):
            return ReplicaEffects()
        words = self.said.setdefault(by, [])
        if (stage, mark) not in words:
            words.append((stage, mark))
            del words[:-MOST_SAID]
        self.hint(by, stage, mark, now)
        self._believe(stage, mark)
        return self._advance(now)

    def learned(
        self, version: ConfigVersion | None, stage: int, now: float, proven: bool = False
    ) -> ReplicaEffects:
        """A voter's own log agreed on it; None: there is no version. `proven`: this voter leads, and has
        applied all of the log that there was as its lead began (Voter._leads): then it is sure of what the
        fleet is on. Has to be told once at least, also where there is no version: all others become sure by
        its word. A follower's own log may lag."""
        if version is not None and stage > self._believed[0]:
            self._hold(version)
            self._believed = (stage, version.digest_prefix)
        if proven:
            self._heard = True
            self._look_sure()
        return self._advance(now)

    def wanted(self, wanted: FetchRequest) -> FetchResponse:
        """Somebody fetches; where content is given, `served` has to follow once the stream ends."""
        version = self.held.get(wanted.number)
        if version is None or version.digest_prefix != wanted.mark:
            return FetchResponse(None, "gone")
        if self._serving >= MOST_IN:
            return FetchResponse(None, "busy")
        self._serving += 1
        base = self.held.get(wanted.base)
        if base is None or base.digest_prefix != wanted.base_mark:
            return FetchResponse(VersionContent(version))
        key = (version.number, base.number)
        if key not in self._contents:
            self._contents[key] = content_for(version, base)
            while len(self._contents) > MOST_HELD:
                self._contents.popitem(last=False)
        return FetchResponse(self._contents[key])

    def served(self) -> None:
        self._serving = max(0, self._serving - 1)

    def fetched(self, by: str, gave: FetchResponse, now: float) -> ReplicaEffects:
        if self._out is None or self._out[0] != by:
            return ReplicaEffects()  # it was given up meanwhile
        _, _, stage, mark = self._out
        self._out = None
        if gave.content is None:
            self._tried.add(by)
            if gave.why != "busy":  # it does not hold it (any more), though its stage is the one
                self.hinted.pop(by, None)
            return self._advance(now)
        try:
            version = verified_version(gave.content, stage // 2, mark, self.version)
        except ConfigContentError as wrong:
            return self._failed(by, f"{by}: {wrong}", now)
        self._hold(version)
        self._rest, self._failures, self.cant = REST_MS, 0, ""
        # Even if a later one is believed by now: who is always behind would never take any.
        does = self._into(version, stage)
        return does if does.force is not None else self._advance(now)

    def unfetched(self, by: str, why: str, now: float) -> ReplicaEffects:
        """No stream to it, or it broke."""
        if self._out is None or self._out[0] != by:
            return ReplicaEffects()
        self._out = None
        return self._failed(by, f"{by}: {why}", now)

    def forced(self, stage: int, why: str, now: float) -> ReplicaEffects:
        """How `force` ended: in force (""), or why it is refused here."""
        if self._forcing is None or self._forcing[1] != stage:
            return ReplicaEffects()
        version, _ = self._forcing
        self._forcing = None
        start, self._starting = self._starting, None
        if why:
            self.refused, self._refused_number = why, version.number
            if start is not None and start.before is not None:
                self._forcing = (start.before, start.before_stage)  # what was in force before, in doubt
                return ReplicaEffects(force=self._forcing)
            does = self._advance(now)
            if does.keep is None and start is None and self.version is not None:
                does.keep = StoredConfig(self.stage, self.version)
            return does
        if start is not None:
            self._sure = True
        if version.number > self._refused_number:
            self.refused = ""
        self.version, self.stage = version, stage
        self._hold(version)
        self._bits = 1 << self.seat if self.seat >= 0 else 0
        self._full_at = NEVER
        self._merge(stage, version.digest_prefix, b"", now)
        self._pushing = True
        self._drop_said()
        self.hinted = OrderedDict((by, word) for by, word in self.hinted.items() if word[0] > stage)
        if self._believed[0] < stage:
            self._believed = (stage, version.digest_prefix)
        self._look_sure()
        self._stirred = True
        return self._advance(now)

    # Time.

    def due(self) -> float:
        if self._stirred:
            return 0.0
        at = NEVER
        if self._wants and self._out is None and self._forcing is None:
            at = self._fetch_at
        if self._out is not None:
            at = min(at, self._out[1] + FETCH_MS)
        if self._asks:
            at = min(at, min(asked for _, asked in self._asks.values()) + ASK_MS)
        if self._question is not None:
            at = min(at, self._question.next_at)
        elif not self.sure and self._names:
            at = min(at, self._unsure_at)
        if 0.0 < self._full_at < NEVER:
            at = min(at, self._full_at + LINGER_MS)
        return at

    def beat(self, living: list[ReachableMember], now: float) -> ReplicaEffects:
        """What is due."""
        self._stirred = False
        self._near = {one.name: one for one in living if one.name != self.name}
        self._names = [*self._near]
        self._forget(now)
        does = self._advance(now)
        if self._out is not None and now >= self._out[1] + FETCH_MS:
            by = self._out[0]
            self._out = None
            self._failed(by, f"{by}: no answer in time", now)
        if self._pushing and self.sure and self._names:
            self._pushing = False
            does.push = self._some()
        self._ask(does, now)
        self._fetch(does, now)
        return does

    # Its own.

    def _look_sure(self) -> None:
        if not self._sure and self._heard and self.stage >= self._believed[0]:
            self._sure = self._stirred = True
            self._drop_said()

    def _drop_said(self) -> None:
        above = {by: [word for word in words if word[0] > self.stage] for by, words in self.said.items()}
        self.said = {by: words for by, words in above.items() if words}

    def _chance(self) -> float:
        self._count += 1
        return crc32(f"{self.seed}:{self._count}".encode()) / 2.0**32

    def _drawn(self, names: list[str]) -> str:
        return names[int(self._chance() * len(names))]

    def _some(self) -> list[str]:
        """FAN of the living: most of its own zone, one of another."""
        near = [name for name in self._names if self._near[name].zone == self.zone]
        far = [name for name in self._names if self._near[name].zone != self.zone]
        found: list[str] = []
        for names, most in ((far, 1 if near else FAN), (near, FAN), (far, FAN)):
            left = [name for name in names if name not in found]
            for _ in range(min(most, FAN - len(found), len(left))):
                found.append(left.pop(int(self._chance() * len(left))))
        return found

    @property
    def _wants(self) -> bool:
        stage, _ = self._believed
        return stage > self.stage and stage // 2 > self._refused_number

    def _believe(self, stage: int, mark: int) -> None:
        """Whether what was just said has its witnesses. One that says a later stage of the same version bears
        out the earlier one too, not the other way round."""
        for told in (stage, stage & ~1):
            if self._heard and told <= self._believed[0]:
                continue
            by = [
                name
                for name, words in self.said.items()
                if any(w[1] == mark and w[0] // 2 == told // 2 and w[0] >= told for w in words)
            ]
            if len(by) >= WITNESSES or any(name in self.voters for name in by):
                self._heard = True
                if told > self._believed[0]:
                    self._believed = (told, mark)
                    for name in by:
                        self._doubts.pop(name, None)
                    self._tried.clear()
                    self._fetch_at = 0.0
                    self._stirred = True
                self._look_sure()

    def _advance(self, now: float) -> ReplicaEffects:
        """Into force with what is held and believed."""
        stage, mark = self._believed
        version = self.held.get(stage // 2)
        return (
            self._into(version, stage)
            if version is not None and version.digest_prefix == mark
            else ReplicaEffects()
        )

    def _into(self, version: ConfigVersion, stage: int) -> ReplicaEffects:
        """Into force, where that goes on from what is and nothing else is on its way there."""
        stage = version.stage(bool(stage & 1))
        if self._forcing is not None or stage <= self.stage or version.number <= self._refused_number:
            return ReplicaEffects()
        self._forcing = (version, stage)
        return ReplicaEffects(
            keep=StoredConfig(stage, version, self.stage, self.version), force=self._forcing
        )

    def _hold(self, version: ConfigVersion) -> None:
        self.held[version.number] = version
        self.held.move_to_end(version.number)
        length = sum(len(one.text) for one in self.held.values())
        while len(self.held) > 1 and (len(self.held) > MOST_HELD or length > MOST_HELD_BYTES):
            length -= len(self.held.popitem(last=False)[1].text)

    def _forget(self, now: float) -> None:
        """Words of the dead, asks that nobody answered, hints that came true."""
        for table in (self.said, self.hinted, self._doubts):
            for name in [name for name in table if name not in self._near]:
                del table[name]
        late = [nonce for nonce, (_, at) in self._asks.items() if now >= at + ASK_MS]
        for nonce in late:
            del self._asks[nonce]
        if 0.0 < self._full_at < NEVER and now >= self._full_at + LINGER_MS:
            self._full_at = -2.0 * NEVER

    # Hints and questions.

    def _ask(self, does: ReplicaEffects, now: float) -> None:
        above = max(self.stage, self._believed[0])
        open_ = {
            by: word
            for by, word in self.hinted.items()
            if word[0] > above and now >= self._doubts.get(by, (0, 0.0))[1]
        }
        if open_:
            top = max(word[0] for word in open_.values())
            if self._question is None:
                self._question = WitnessQuery(top, next_at=now + SECOND_MS)
            elif self._question.stage < top:
                self._question.stage = top
                self._question.asked.clear()
                self._question.denied.clear()
                self._question.by_chance = 0
        elif self._question is not None:
            self._question = None
            self._unsure, self._unsure_at = UNSURE_MS, now + UNSURE_MS
        question = self._question
        if question is None:
            if not self.sure and now >= self._unsure_at and self._names:
                self._ask_unsure(does, now)
            return
        if len(question.denied) >= min(MOST_VOTERS, len(self.voters)) > 0:  # nobody bears it out
            for by in open_:
                times = self._doubts.get(by, (0, 0.0))[0]
                self._doubts[by] = (times + 1, now + min(MOST_DOUBT_MS, DOUBT_MS * 2.0**times))
            self._question = None
            return
        for by in open_:  # those that told it, each once, two of them at a time
            if by not in question.asked and len(self._asks) < 2:
                self._which(by, question, does, now)
        if now < question.next_at:
            return
        question.next_at = now + ASK_MS  # an answer brings that forward
        waits = {name for name, _ in self._asks.values()}
        if len(waits) < 2 and not waits & {*self.voters}:  # a voter's own word suffices, if it comes
            self._draw(question, does, now)

    def _draw(self, question: WitnessQuery, does: ReplicaEffects, now: float) -> None:
        """One more: by chance, mostly of the own zone; after TRIES of them a voter."""
        fresh = [name for name in self._names if name not in question.asked]
        if question.by_chance < TRIES and fresh:
            question.by_chance += 1
            near = [name for name in fresh if self._near[name].zone == self.zone and name not in self.voters]
            self._which(self._drawn(near or fresh), question, does, now)
            return
        voters = [name for name in self.voters if name in self._near and name not in question.asked]
        if voters:
            self._which(self._drawn(voters), question, does, now)
        else:  # all of them again, later each time
            question.rest = min(MOST_QUESTION_MS, max(2.0 * question.rest, QUESTION_MS))
            question.next_at = now + question.rest * (0.75 + 0.5 * self._chance())
            question.by_chance = 0
            question.asked.clear()

    def _which(self, name: str, question: WitnessQuery, does: ReplicaEffects, now: float) -> None:
        question.asked.add(name)
        self._send(name, does, now)

    def _send(self, name: str, does: ReplicaEffects, now: float) -> None:
        nonce = int(self._chance() * 2**32) << 20 | self._count & 0xFFFFF
        self._asks[nonce or 1] = (name, now)
        does.which.append((name, nonce or 1))
        if name in self.voters:
            self.asked_voters += 1
        else:
            self.asked_members += 1

    def _ask_unsure(self, does: ReplicaEffects, now: float) -> None:
        """Nobody told anything, and it has to know: two by chance, later one of them a voter."""
        names = [self._drawn(self._names), self._drawn(self._names)]
        voters = [name for name in self.voters if name in self._near]
        if voters and self._unsure > UNSURE_MS:
            names[0] = self._drawn(voters)
        for name in dict.fromkeys(names):
            self._send(name, does, now)
        self._unsure_at = now + self._unsure * (0.75 + 0.5 * self._chance())
        self._unsure = min(MOST_UNSURE_MS, 2.0 * self._unsure)

    # Content.

    def _fetch(self, does: ReplicaEffects, now: float) -> None:
        if not self._wants or self._out is not None or self._forcing is not None or now < self._fetch_at:
            return
        stage, mark = self._believed
        number = stage // 2
        if (version := self.held.get(number)) is not None and version.digest_prefix == mark:
            return  # it goes into force
        tellers = [by for by, word in self.hinted.items() if word[0] // 2 >= number]
        tellers += [by for by, words in self.said.items() if words[-1][0] // 2 >= number]
        tellers = [by for by in dict.fromkeys(tellers) if by not in self._tried and by in self._near]
        near = [by for by in tellers if self._near[by].zone == self.zone]
        tellers = near or tellers or [by for by in self.voters if by in self._near and by not in self._tried]
        if not tellers:  # all were tried: again, later each time
            self._tried.clear()
            self._fetch_at = now + self._rest * (0.75 + 0.5 * self._chance())
            self._rest = min(MOST_REST_MS, 2.0 * self._rest)
            return
        by = self._drawn(tellers)
        self._out = (by, now, stage, mark)
        base, base_mark = (self.version.number, self.mark) if self.version is not None else (0, 0)
        does.fetch = (by, FetchRequest(number, mark, base, base_mark))

    def _failed(self, by: str, why: str, now: float) -> ReplicaEffects:
        self._tried.add(by)
        self._failures += 1
        if self._failures >= 2:
            self.cant = why
        self._fetch_at = now + self._rest * (0.75 + 0.5 * self._chance())
        self._rest = min(MOST_REST_MS, 2.0 * self._rest)
        return ReplicaEffects()

    # Who is on which: for people.

    def _merge(self, stage: int, mark: int, bits: bytes, now: float) -> None:
        if not self.stage or (stage, mark) != (self.stage, self.mark):
            return
        if bits:
            self._bits |= int.from_bytes(bits, "little") & ((1 << self.seats) - 1)
        if self._full_at == NEVER and self._bits == (1 << self.seats) - 1:
            self._full_at = now

    def _bytes(self) -> bytes:
        return self._bits.to_bytes((self.seats + 7) // 8, "little")

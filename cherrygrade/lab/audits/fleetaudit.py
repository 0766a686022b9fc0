"""Judges the fleet's promises from the ways between dispatchers and from the day's own notes of its
processes.

What a dispatcher knows is told by the digest of its roll on the pages that it sends: the audit works out
which digest the truth has, from who lives and what each said of itself. No dispatcher's log is read.
"""

from __future__ import annotations

import json
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

from cherrygrade.fleet.membership.messages import IndirectProbeRequest, MessageCodec
from cherrygrade.fleet.membership.table import Member, MemberInfo, MemberRecord, MemberState
from cherrygrade.lab.audits.audit import Verdict, lines
from cherrygrade.standin.receiver import carried_out
from cherrygrade.standin.receiver import judge as one_holder
from cherrygrade.standin.ways import ENTRY, FLEET

MAX_DETECTION_MS = 5000.0  # from a death to all that live knowing it
MANY, MAX_MASS_FAILURE_DETECTION_MS = 5, 10000.0  # where so many and more than a tenth die at once
MAX_RECONVERGENCE_MS = 5000.0  # from a heal, or a start, to all rolls being whole again
MAX_REPORT_DELAY_MS = 500.0  # and to saying so: the digest of its next page tells it
STALL_MS = 2000.0  # who stands still or is cut off for no longer is not called dead
QUIET_MS = 5000.0
PROBED_MS = 6000.0  # an accusation comes this soon behind a probe of the accuser's
RESTING_BYTES = 2048.0  # a member's bytes a second at rest
BEARABLE = {"lossy": 0.05, "slow_way": 50.0}  # on ways where nobody living may be called dead
DIGEST_INTERVAL_MS = 20.0
PROMISES = (11, 12, 13, 14, 15, 16, 17)


@dataclass(slots=True)
class ProcessRun:
    """One process under a name: from when to when, by the laboratory's process table."""

    number: int
    started_ms: float
    ended_ms: float = 1e18
    left: bool = False


@dataclass(slots=True)
class Datagram:
    at: float
    source: int
    to: int
    kind: str
    length: int
    lost: bool
    digest: int
    told: list[tuple[str, int, int, int, str]] = field(default_factory=list)
    target: str = ""


@dataclass(slots=True)
class FleetHistory:
    """A day as the ways and the process table have it."""

    process_runs: dict[int, list[ProcessRun]] = field(default_factory=lambda: defaultdict(list))
    pages: list[Datagram] = field(default_factory=list)
    by_sender: dict[int, list[Datagram]] = field(default_factory=lambda: defaultdict(list))
    facts: dict[tuple[str, int], list[tuple[int, MemberInfo]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    births: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    stops: dict[int, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    cuts: list[tuple[float, float, set[int]]] = field(default_factory=list)
    rough: list[tuple[float, float]] = field(default_factory=list)
    lies: list[tuple[float, set[int]]] = field(default_factory=list)
    changes: list[float] = field(default_factory=list)
    start: float = 0.0
    end: float = 0.0

    def living(self, at: float) -> list[int]:
        return [
            n
            for n, lives in self.process_runs.items()
            if any(one.started_ms <= at < one.ended_ms for one in lives)
        ]

    def max_detection_ms(self, at: float) -> float:
        """In what time a death at this time is to be known to all."""
        ended = [one.ended_ms for lives in self.process_runs.values() for one in lives]
        together = sum(abs(one - at) <= 500.0 for one in ended)
        many = together >= MANY and together * 10 > len(self.living(at - 501.0))
        return MAX_MASS_FAILURE_DETECTION_MS if many else MAX_DETECTION_MS

    def lied_about(self, number: int, at: float) -> bool:
        return any(number in about and told <= at <= told + MAX_DETECTION_MS for told, about in self.lies)

    def troubled(self, number: int, first: float, last: float) -> bool:
        """Whether it stood still or was cut off, for longer than a stall, at some time in this span."""
        spans = [*self.stops[number], *self.rough]
        spans += [(begin, end) for begin, end, on in self.cuts if on]
        return any(
            end - begin > STALL_MS and begin <= last and first <= end + MAX_RECONVERGENCE_MS
            for begin, end in spans
        )


def read(folder: Path) -> FleetHistory:
    story, halted, cut = FleetHistory(), dict[int, float](), dict[str, tuple[float, set[int]]]()
    for at, event, *facts in lines(folder / "day.jsonl"):
        if event == "day":
            story.start = facts[0]
        elif event == "life":
            story.process_runs[facts[0]].append(ProcessRun(facts[0], at))
            story.changes.append(at)
        elif event in ("killed", "told to leave"):
            life = story.process_runs[facts[0]][-1]
            life.ended_ms, life.left = at, event != "killed"
            story.changes.append(at)
        elif event == "stopped":
            halted[facts[0]] = at
        elif event == "continued":
            story.stops[facts[0]].append((halted.pop(facts[0]), at))
            story.changes.append(at)
        elif event == "cut":
            cut[json.dumps(facts[0])] = (at, set(facts[0]))
        elif event == "healed":
            begun, on = cut.pop(json.dumps(facts[0]))
            story.cuts.append((begun, at, on))
            story.changes.append(at)
        elif event == "lied":
            story.lies.append((at, {*facts[0]}))
            story.changes.append(at)
        elif event == "rough":
            story.changes += [at, at + facts[0]]
            if facts[2] > BEARABLE.get(facts[1], 1e9):
                story.rough.append((at, at + facts[0]))
        elif event == "ended":
            story.end = at
    book = MessageCodec(FLEET)
    for at, source, to, lost, data in datagrams(folder / "ways.log"):
        said = book.read(data)
        page = Datagram(at, source, to, type(said).__name__, len(data), lost, getattr(said, "digest", 0))
        if said is not None and said.name == f"d{source}" and said.incarnation not in story.births[said.name]:
            story.births[said.name].append(said.incarnation)  # by its own word, from its own place
        if isinstance(said, IndirectProbeRequest):
            page.target = said.target.name
        for claim in getattr(said, "records", []):
            page.told.append((claim.name, claim.incarnation, claim.refutations, claim.state, claim.accuser))
            _facts(story, claim)
        story.pages.append(page)
        story.by_sender[source].append(page)
    return story


def datagrams(file: Path) -> Iterator[tuple[float, int, int, bool, bytes]]:
    data, at = file.read_bytes() if file.exists() else b"", 0
    while at + ENTRY.size <= len(data):
        when, source, to, lost, length = ENTRY.unpack_from(data, at)
        at += ENTRY.size + length
        yield when, source, to, lost, data[at - length : at]


def _facts(story: FleetHistory, claim: MemberRecord) -> None:
    """What a member told of itself, whoever passes it on; a name that no process had is a lie of the
    day's."""
    if claim.info is None or claim.state == MemberState.LEFT or not claim.name[1:].isdigit():
        return
    told = story.facts[(claim.name, claim.incarnation)]
    if (claim.refutations, claim.info) not in told:
        told.append((claim.refutations, claim.info))


class ExpectedDigest:
    """Which digest the roll of all that live has: marks by member, under the turn that it told last."""

    def __init__(self, story: FleetHistory) -> None:
        self.story = story
        self._digests: dict[int, int] = {}  # by grain of time
        self._marks: dict[tuple[str, int, int], int] = {}
        self.turns: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(lambda: [(0.0, 0)])
        for page in story.pages:
            for name, birth, turn, standing, _ in page.told:
                known = self.turns[(name, birth)]
                if standing == MemberState.ALIVE and turn > known[-1][1]:
                    known.append((page.at, turn))

    def digest(self, at: float) -> int:
        """At the beginning of this grain of time; -1 where somebody's first word is not out yet."""
        grain = int(at // DIGEST_INTERVAL_MS)
        if grain not in self._digests:
            self._digests[grain] = self._digest(grain * DIGEST_INTERVAL_MS)
        return self._digests[grain]

    def _digest(self, at: float) -> int:
        found = 0
        for number in self.story.living(at):
            name = f"d{number}"
            births = sorted(self.story.births.get(name, []))
            lives = [one for one in self.story.process_runs[number] if one.started_ms <= at]
            if len(births) < len(lives):
                return -1
            birth = births[len(lives) - 1]
            turn = max(turn for told, turn in self.turns[(name, birth)] if told <= at)
            key = (name, birth, turn)
            if key not in self._marks:
                facts = [one for one in self.story.facts[(name, birth)] if one[0] <= turn]
                if not facts:
                    return -1
                claim = MemberRecord(
                    name, birth, turn, MemberState.ALIVE, max(facts, key=lambda one: one[0])[1]
                )
                self._marks[key] = Member(claim, 0.0, "").digest()
            found ^= self._marks[key]
        return found


def judge(folder: Path) -> list[Verdict]:
    story = read(folder)
    verdicts = judge_by(story, ExpectedDigest(story), PROMISES)
    record = folder / "receiver.jsonl"
    return [*verdicts, _alone(record), _done(story, record)] if record.exists() else verdicts


def judge_by(story: FleetHistory, truth: ExpectedDigest, numbers: Iterable[int]) -> list[Verdict]:
    """By the rules with these numbers alone."""
    rules = dict(zip(PROMISES, [_known, _nobody, _equal, _old, _unprobed, _words, _rest], strict=True))
    verdicts = []
    for number in numbers:
        verdict = Verdict(number)
        rules[number](story, truth, verdict)
        verdicts.append(verdict)
    return verdicts


def _alone(record: Path) -> Verdict:
    """By the receiver's record alone."""
    verdict = Verdict(18)
    verdict.judged = len(carried_out(record))
    for wrong in one_holder(record):
        verdict.add_breach(wrong)
    return verdict


def _done(story: FleetHistory, record: Path) -> Verdict:
    """In the last seconds of a day that nothing changed any more in, each task that was ever done is."""
    verdict, tasks, late = Verdict(19), set[str](), set[str]()
    if any(at > story.end - 2.0 * QUIET_MS for at in story.changes):
        return verdict
    for at, task, *_ in carried_out(record):
        tasks.add(task)
        if at > story.end - QUIET_MS:
            late.add(task)
    verdict.judged = len(tasks)
    for task in sorted(tasks - late):
        verdict.add_breach(f"{task} was not done in the last {QUIET_MS / 1000.0:.0f} s")
    return verdict


def _known(story: FleetHistory, truth: ExpectedDigest, verdict: Verdict) -> None:
    """After a death, with nothing else changing, each that lives shows the digest without the dead one in
    time."""
    for number, lives in story.process_runs.items():
        for life in lives:
            by = life.ended_ms + story.max_detection_ms(life.ended_ms)
            others = [at for at in story.changes if life.ended_ms + 1000.0 < at < by]
            cut = any(
                begin < by and end > life.ended_ms - MAX_RECONVERGENCE_MS for begin, end, _ in story.cuts
            )
            if life.ended_ms > story.end or by > story.end or others or cut or life.left:
                continue
            verdict.judged += 1
            for one in story.living(by):
                if not _shows(story, truth, one, life.ended_ms, by + MAX_REPORT_DELAY_MS):
                    verdict.add_breach(
                        f"d{number} died at {life.ended_ms:.0f}: d{one} does not know it by {by:.0f}"
                    )


def _shows(story: FleetHistory, truth: ExpectedDigest, number: int, first: float, last: float) -> bool:
    """Whether it told the true digest at some time in this span."""
    pages = story.by_sender[number]
    for page in pages[bisect_left(pages, first, key=lambda page: page.at) :]:
        if page.at > last:
            break
        if page.digest and page.digest == truth.digest(page.at):
            return True
    return False


def _nobody(story: FleetHistory, truth: ExpectedDigest, verdict: Verdict) -> None:
    convicted: set[str] = set()
    for page in story.pages:
        for name, birth, _, standing, _ in page.told:
            if standing != MemberState.FAILED:
                continue
            number = int(name[1:])
            births = sorted(story.births.get(name, []))
            lives = story.process_runs[number]
            life = (
                lives[births.index(birth)] if birth in births and births.index(birth) < len(lives) else None
            )
            verdict.judged += 1
            if life is None or page.at >= life.ended_ms:
                continue
            troubled = story.troubled(number, page.at - MAX_DETECTION_MS, page.at)
            if troubled or story.lied_about(number, page.at):
                verdict.excused += 1
            elif name not in convicted:
                convicted.add(name)
                verdict.add_breach(f"{name} lives and is called dead by d{page.source} at {page.at:.0f}")


def _equal(story: FleetHistory, truth: ExpectedDigest, verdict: Verdict) -> None:
    """Wherever nothing changed for a while, all that live show the true digest at its end."""
    marks = sorted([*story.changes, story.end])
    for before, after in pairwise(marks):
        cut = any(begin < after and end > before for begin, end, _ in story.cuts)
        halted = any(b < after and e > before for spans in story.stops.values() for b, e in spans)
        if after - before < MAX_DETECTION_MS + QUIET_MS or cut or halted:
            continue
        for number in story.living(after - 1.0):
            verdict.judged += 1
            if not _shows(story, truth, number, after - 2000.0, after):
                verdict.add_breach(f"d{number} holds another roll than the true one at {after:.0f}")


def _old(story: FleetHistory, truth: ExpectedDigest, verdict: Verdict) -> None:
    """A turn is raised by the member alone: nobody who is dead goes on to another."""
    for page in story.pages:
        for name, birth, turn, standing, _ in page.told:
            births = sorted(story.births.get(name, []))
            if standing != MemberState.ALIVE or birth not in births:
                continue
            verdict.judged += 1
            lives = story.process_runs[int(name[1:])]
            at = births.index(birth)
            if at >= len(lives) or page.at < lives[at].ended_ms + 1000.0:
                continue
            own = max(t for told, t in truth.turns[(name, birth)] if told <= lives[at].ended_ms + 1000.0)
            if turn > own:
                verdict.add_breach(
                    f"{name} died at {lives[at].ended_ms:.0f} and lives on in turn {turn} at {page.at:.0f}"
                )


def _unprobed(story: FleetHistory, truth: ExpectedDigest, verdict: Verdict) -> None:
    probed: dict[tuple[int, int], float] = {}
    seen: set[tuple[str, str, int, int]] = set()
    for page in story.pages:
        if page.kind == "Probe":
            probed[(page.source, page.to)] = page.at
        for name, birth, turn, standing, by in page.told:
            if standing != MemberState.SUSPECT or by != f"d{page.source}" or (by, name, birth, turn) in seen:
                continue
            seen.add((by, name, birth, turn))
            verdict.judged += 1
            at = probed.get((page.source, int(name[1:])), -1e18)
            if page.at - at > PROBED_MS:
                verdict.add_breach(
                    f"{by} accuses {name} at {page.at:.0f}, not probed in {PROBED_MS / 1000.0:.0f} s"
                )


def _words(story: FleetHistory, truth: ExpectedDigest, verdict: Verdict) -> None:
    late: dict[int, int] = defaultdict(int)
    for page in story.pages:
        if page.kind != "SchedulerMessage":
            continue
        verdict.judged += 1
        lives = [one for one in story.process_runs[page.to] if one.started_ms <= page.at]
        gone = bool(lives) and page.at > lives[-1].ended_ms + story.max_detection_ms(lives[-1].ended_ms)
        cut = any(begin < page.at and end > page.at - MAX_DETECTION_MS for begin, end, _ in story.cuts)
        late[page.to] += gone and not cut
    for number, count in late.items():
        if count:
            verdict.add_breach(f"{count} words to d{number} after it was to be known dead")


def _rest(story: FleetHistory, truth: ExpectedDigest, verdict: Verdict) -> None:
    """In the last seconds of a day that nothing changed any more in. Words of the modules are not counted."""
    first = story.end - QUIET_MS
    disturbed = any(at > first - QUIET_MS for at in story.changes)
    if disturbed or not story.pages:
        return
    sent: dict[int, int] = defaultdict(int)
    for page in story.pages:
        if first <= page.at <= story.end and page.kind != "SchedulerMessage":
            sent[page.source] += page.length
    for number in story.living(story.end - 1.0):
        verdict.judged += 1
        rate = sent[number] / (QUIET_MS / 1000.0)
        if rate > RESTING_BYTES:
            verdict.add_breach(f"d{number} sends {rate:.0f} bytes a second at rest")


def figures(folder: Path) -> dict[str, float]:
    """What the benchmark and the report show of a day: times from deaths and heals, bytes at rest and at
    most."""
    story = read(folder)
    truth = ExpectedDigest(story)
    found: dict[str, float] = {}
    known: list[float] = []
    for lives in story.process_runs.values():
        for life in lives:
            if life.ended_ms < story.end - MAX_DETECTION_MS and not life.left:
                known += [
                    ms_to_expected_digest(story, truth, one, life.ended_ms)
                    for one in story.living(life.ended_ms + MAX_DETECTION_MS)
                ]
    if known:
        found |= {"death_first_ms": min(known), "death_last_ms": max(known)}
    heals = [end for _, end, _ in story.cuts]
    if heals:
        back = [
            ms_to_expected_digest(story, truth, one, at)
            for at in heals
            for one in story.living(at + MAX_RECONVERGENCE_MS)
        ]
        found["heal_last_ms"] = max(back)
    count = max(1, len(story.living(story.end - 1.0)))
    by_second: dict[int, int] = defaultdict(int)
    for page in story.pages:
        if page.kind != "SchedulerMessage":
            by_second[int((page.at - story.start) // 1000.0)] += page.length
    ends = int((story.end - story.start) // 1000.0)
    rest = [by_second[second] for second in range(ends - 5, ends)]
    found["rest_bytes_s"] = sum(rest) / 5.0 / count
    uses: dict[tuple[int, int], list[tuple[float, float]]] = defaultdict(list)
    for at, event, *facts in lines(folder / "day.jsonl"):
        if event == "use":
            uses[(facts[0], facts[1])].append((at, facts[2]))
            found["memory_kib"] = max(found.get("memory_kib", 0.0), facts[3])
    parts = [
        1000.0 * (two[1] - one[1]) / (two[0] - one[0])
        for one, two in (u for u in uses.values() if len(u) == 2)
    ]
    found["core_permille"] = 1000.0 * sum(parts) / len(parts) if parts else 0.0
    found["most_bytes_s"] = max(by_second.values(), default=0) / count
    return found


def ms_to_expected_digest(story: FleetHistory, truth: ExpectedDigest, number: int, after: float) -> float:
    """Ms from then until its digest was the true one; 1e9 where it never was."""
    pages = story.by_sender[number]
    for page in pages[bisect_left(pages, after, key=lambda page: page.at) :]:
        if page.digest and page.digest == truth.digest(page.at):
            return page.at - after
    return 1e9

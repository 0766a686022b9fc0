"""Judges a day from what clients, nodes and register recorded on their own sides, never from dispatchers.

Clocks: all processes of a day share one machine's monotonic clock. `SLACK_MS` allows for the time between a
process writing to a socket and the other side noting it.
"""

from __future__ import annotations

import base64
import itertools
import json
import zlib
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from cherrygrade.lab.rig.load import STAMP, content
from cherrygrade.lab.rig.scenario import Scenario, site_of
from cherrygrade.scheduling.model import Idempotency, Workload
from cherrygrade.settings import SiteSettings

SLACK_MS = 60.0
ENOUGH = 5  # pieces of evidence kept for each rule
RULES = {
    1: "no RPC is lost",
    2: "no effect happens twice",
    3: "drains are kept",
    4: "no cold node is pushed over",
    5: "order is kept",
    6: "further sends stay in budget",
    7: "limits are kept",
    8: "acknowledged bytes are there, and right",
    11: "the dead are known dead",
    12: "nobody living is called dead",
    13: "after quiet all rolls are equal",
    14: "no old life comes back",
    15: "nobody is accused unprobed",
    16: "words go to the living",
    17: "at rest members say little",
    18: "no two act for one task",
    19: "tasks are done where the most can speak",
}


@dataclass(slots=True)
class Verdict:
    rule: int
    judged: int = 0
    broken: int = 0
    excused: int = 0
    evidence: list[str] = field(default_factory=list)

    def convict(self, text: str) -> None:
        self.broken += 1
        if len(self.evidence) < ENOUGH:
            self.evidence.append(text)


@dataclass(slots=True)
class Asked:
    """One client's RPC, as its client saw it."""

    origin: str
    op: str
    workload: str
    volume: str
    verb: str
    key: str
    at: float
    until: float
    host: int
    answers: list[tuple[float, str, Any]] = field(default_factory=list)
    lost_at: float | None = None
    late: bool = False


@dataclass(slots=True)
class Seen:
    """One send, as its node saw it. `end`: when it stopped being out there, and how."""

    dispatcher: str
    origin: str
    number: int
    node: int
    address: str
    volume: str
    key: str
    units: float
    at: float
    end: float = 1e18
    how: str = "open"


def lines(path: Path) -> list[list[Any]]:
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()] if path.exists() else []


class Evidence:
    """All records of a day, put together by RPC and by node."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.site: SiteSettings = site_of(folder)
        self.asked: dict[str, Asked] = {}
        self.seen: list[Seen] = []
        self.by_origin: dict[str, list[Seen]] = defaultdict(list)
        self.ops: dict[str, list[Any]] = {}
        self.done: dict[str, tuple[str, float]] = {}
        self.first_at: dict[str, float] = {}
        self.wrong: list[list[Any]] = []
        self.fell: list[tuple[float, int, int]] = []
        self.told: dict[tuple[str, str], list[tuple[float, str, int, float]]] = defaultdict(list)
        self.halts: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.deaths: dict[int, list[float]] = defaultdict(list)
        self.shut: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.placed: dict[str, str] = {}
        self.codes: list[list[Any]] = []
        self.start = 0.0
        self._day()
        for path in sorted(folder.glob("load-*.jsonl")):
            self._load(path)
        for index in range(len(scenario.nodes)):
            self._node(index)
        self._register()

    def _day(self) -> None:
        halted: dict[int, float] = {}
        for at, event, *facts in lines(self.folder / "day.jsonl"):
            if event == "day":
                self.start = facts[0]
            elif event == "stopped":
                halted[facts[0]] = at
            elif event == "continued":
                self.halts[facts[0]].append((halted.pop(facts[0]), at))
            elif event in ("killed", "gone"):  # on a starved machine a process takes its time to die
                self.deaths[facts[0]].append(at)
            elif event == "shut":
                for number in facts[0]:
                    self.shut[number].append((at, at + facts[1] + SLACK_MS))
            elif event == "placed":
                self.placed[facts[1]] = facts[2]
            elif event == "codes":
                self.codes = facts[0]

    def _load(self, path: Path) -> None:
        for at, event, *facts in lines(path):
            if event == "sent":
                client, id_, op, workload, volume, verb, key, until, _ = facts
                origin = f"{client}:{id_}"
                self.asked[origin] = Asked(
                    origin, op, workload, volume, verb, key, at, until, int(client.rpartition("-")[2])
                )
            elif event == "answer":
                asked = self.asked.get(f"{facts[0]}:{facts[1]}")
                if asked is not None:
                    asked.answers.append((at, facts[2], facts[3]))
            elif event == "late":
                self.asked[f"{facts[0]}:{facts[1]}"].late = True
            elif event == "lost":
                self.asked[f"{facts[0]}:{facts[1]}"].lost_at = at
            elif event == "first":
                self.ops[facts[0]], self.first_at[facts[0]] = facts, at
            elif event == "done":
                self.done[facts[0]] = (facts[1], facts[2])
            elif event == "wrong bytes":
                self.wrong.append(facts)

    def _node(self, index: int) -> None:
        address = ""
        open_: dict[tuple[str, str, int], Seen] = {}
        for at, event, *facts in lines(self.folder / f"node-{index}.jsonl"):
            if event == "start":
                address = self.placed.get(facts[1], facts[1])
            elif event == "recv":
                dispatcher, origin, number, _, volume, key, units, _, _ = facts
                seen = Seen(dispatcher, origin, number, index, address, volume, key, units, at)
                open_[(dispatcher, origin, number)] = seen
                self.seen.append(seen)
                self.by_origin[origin].append(seen)
            elif event in ("answer", "withdraw", "lost", "reset"):
                found = open_.get((facts[0], facts[1], facts[2]))
                if found is not None and found.how == "open":
                    found.end, found.how = at, f"answer {facts[3]}" if event == "answer" else event
            elif event == "fell":
                self.fell.append((at, index, facts[0]))

    def _register(self) -> None:
        newest: dict[str, int] = {}
        for at, event, *facts in lines(self.folder / "register.jsonl"):
            # A word from the past tells nothing: it carries an older version than one told before.
            if event == "told" and facts[1] >= newest.get(facts[0], -1):
                newest[facts[0]] = facts[1]
                for address, standing, start, age in facts[3]:
                    self.told[(facts[0], address)].append((at, standing, start, age))

    def workload(self, name: str) -> Workload:
        return self.site.trade.workloads[name]

    def halted(self, host: int, first: float, last: float) -> bool:
        """Whether the dispatcher stood still at some time within this span."""
        return any(begin - SLACK_MS <= last and first <= end + SLACK_MS for begin, end in self.halts[host])

    def heard_at(self, dispatcher: str, at: float) -> float:
        """When a word written to a dispatcher could be read: not before it went on."""
        for begin, end in self.halts[host_of(dispatcher)]:
            if begin - SLACK_MS <= at <= end:
                return end
        return at


def host_of(dispatcher: str) -> int:
    return int(dispatcher[1:].partition(".")[0])


def judge(scenario: Scenario, folder: Path) -> tuple[list[Verdict], Evidence]:
    evidence = Evidence(scenario, folder)
    rules = [_lost, _twice, _drains, _cold, _order, _budget, _limits, _bytes]
    verdicts = []
    for number, rule in enumerate(rules, 1):
        verdict = Verdict(number)
        rule(evidence, verdict)
        verdicts.append(verdict)
    return verdicts, evidence


def _lost(ev: Evidence, verdict: Verdict) -> None:
    for asked in ev.asked.values():
        verdict.judged += 1
        who = (
            f"{asked.origin} ({asked.workload}, d{asked.host}, sent {asked.at:.1f}, until {asked.until:.1f})"
        )
        excused = any(
            asked.at - SLACK_MS <= death <= asked.until + SLACK_MS for death in ev.deaths[asked.host]
        )
        # Sent with less time left than answers need for their way: already given up on when it came.
        excused = excused or asked.until - asked.at < ev.site.bounds.answer_ms
        excused = excused or ev.halted(asked.host, asked.until, asked.until)
        # The way between the client and its dispatcher was shut: what the latter said lay in it.
        excused = excused or any(
            begin <= asked.until + SLACK_MS and asked.at <= end for begin, end in ev.shut[asked.host]
        )
        if len(asked.answers) > 1:
            verdict.convict(f"{who}: {len(asked.answers)} final answers")
        elif not asked.answers or asked.answers[0][0] > asked.until:
            if excused:
                verdict.excused += 1
            elif asked.lost_at is not None:
                verdict.convict(f"{who}: connection lost at {asked.lost_at:.1f} with no answer")
            else:
                when = f"answered at {asked.answers[0][0]:.1f}" if asked.answers else "never answered"
                verdict.convict(f"{who}: {when}")
        if asked.answers:
            after = [
                seen
                for seen in ev.by_origin.get(asked.origin, [])
                if seen.at > asked.answers[0][0] + SLACK_MS
            ]
            if after and not ev.halted(asked.host, asked.answers[0][0], after[0].at):
                verdict.convict(
                    f"{who}: sent to node {after[0].node} at {after[0].at:.1f}, after its answer "
                    f"at {asked.answers[0][0]:.1f}"
                )
    for name, life, why, code in ev.codes:
        if why != "kill" and code:
            verdict.convict(f"{name} (life {life}) left with exit code {code}")


def _twice(ev: Evidence, verdict: Verdict) -> None:
    copies = ev.site.bearings.permits.allows_hedging
    for origin, sends in ev.by_origin.items():
        asked = ev.asked.get(origin)
        if asked is None:
            continue
        verdict.judged += 1
        work = ev.workload(asked.workload)
        sends = sorted(sends, key=lambda seen: seen.at)
        ran = [seen for seen in sends if seen.how != "answer 2"]
        for earlier, later in itertools.pairwise(sends):
            if not copies and later.at < earlier.end - SLACK_MS and earlier.how != "open":
                verdict.convict(
                    f"{origin}: two sends out, node {earlier.node} until {earlier.end:.1f} "
                    f"({earlier.how}), node {later.node} from {later.at:.1f}"
                )
        if work.idempotency is Idempotency.IDEMPOTENT:
            continue
        if work.idempotency is Idempotency.NON_IDEMPOTENT and len(ran) > 1:
            verdict.convict(
                f"{origin} ({asked.workload}): sent {len(ran)} times though it may have run "
                f"({', '.join(f'node {s.node} at {s.at:.1f} {s.how}' for s in ran)})"
            )
        if work.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and ran:
            for seen in sends:
                if seen.at > ran[0].at + work.deduplication_window_ms + SLACK_MS:
                    verdict.convict(
                        f"{origin}: sent again {seen.at - ran[0].at:.0f} ms after it may have run"
                    )
                if work.deduplication_scope == "cell" and seen.at > ran[0].at and seen.node != ran[0].node:
                    verdict.convict(f"{origin}: sent again outside its group, node {seen.node}")
        rejected = [answer for answer in asked.answers if answer[1] == "rejected"]
        if (
            rejected
            and ran
            and (work.idempotency is Idempotency.NON_IDEMPOTENT or work.deduplication_scope != "all")
        ):
            verdict.convict(
                f"{origin} ({asked.workload}): rejected though it may have run at node {ran[0].node}"
            )
    counts: dict[str, int] = defaultdict(int)
    for (volume, key), held in _held(ev).items():
        for op, facts in ev.ops.items():
            if facts[3] == "append" and (facts[2], facts[4]) == (volume, key):
                counts[op] += sum(data.count(content(op, STAMP)) for _, _, data in held)
    for op, count in counts.items():
        verdict.judged += 1
        if count > 1 and ev.workload(ev.ops[op][1]).idempotency is not Idempotency.IDEMPOTENT:
            verdict.convict(
                f"operation {op} ({ev.ops[op][1]}) stands {count} times in the bytes of {ev.ops[op][4]}"
            )


def _drains(ev: Evidence, verdict: Verdict) -> None:
    grace = ev.scenario.grace_ms + SLACK_MS
    times = {key: [word[0] for word in words] for key, words in ev.told.items()}
    for seen in ev.seen:
        verdict.judged += 1
        key = (seen.dispatcher, seen.address)
        words = ev.told.get(key, [])
        index = bisect_right(times.get(key, []), seen.at)
        # The words of the last grace do not bind yet; of those before, the newest does.
        standing = [
            word for word in words[:index] if ev.heard_at(seen.dispatcher, word[0]) <= seen.at - grace
        ]
        recent = [word for word in words[:index] if word not in standing]
        if standing and standing[-1][1] != "live" and not any(word[1] == "live" for word in recent):
            verdict.convict(
                f"{seen.origin}: sent to node {seen.node} ({seen.address}) at {seen.at:.1f} by "
                f"{seen.dispatcher}, told '{standing[-1][1]}' at {standing[-1][0]:.1f}"
            )


def _cold(ev: Evidence, verdict: Verdict) -> None:
    for at, node, start in ev.fell:
        verdict.judged += 1
        span = ev.scenario.nodes[node].build.fall_span_ms
        total = told = 0.0
        for seen in ev.seen:
            if seen.node == node and at - span <= seen.at <= at:
                words = ev.told.get((seen.dispatcher, seen.address), [])
                knew = any(word[0] <= seen.at and word[2] >= start for word in words)
                total, told = total + seen.units, told + seen.units * knew
        if told * 3.0 >= total * 2.0:
            verdict.convict(
                f"node {node} (start {start}) fell at {at:.1f} under {total:.1f} units in "
                f"{span:.0f} ms, {told:.1f} from dispatchers told of its start"
            )
        else:
            verdict.excused += 1
    verdict.judged = verdict.judged or len(ev.seen)


def _order(ev: Evidence, verdict: Verdict) -> None:
    rest = ev.site.bearings.key_rest_ms
    turns: dict[tuple[str, str], list[Seen]] = defaultdict(list)
    for seen in ev.seen:
        asked = ev.asked.get(seen.origin)
        if asked is not None and seen.key and ev.workload(asked.workload).ordered:
            turns[(seen.dispatcher, seen.key)].append(seen)
    for (dispatcher, key), sends in turns.items():
        sends.sort(key=lambda seen: seen.at)
        for earlier, later in itertools.pairwise(sends):
            verdict.judged += 1
            if earlier.origin == later.origin:
                continue
            if later.at < earlier.end - SLACK_MS and earlier.how != "open":
                verdict.convict(
                    f"key {key} at {dispatcher}: {later.origin} sent at {later.at:.1f} while "
                    f"{earlier.origin} was out until {earlier.end:.1f} ({earlier.how})"
                )
            elif earlier.how in ("withdraw", "lost", "reset") and later.at < earlier.end + rest - SLACK_MS:
                verdict.convict(
                    f"key {key} at {dispatcher}: {later.origin} sent {later.at - earlier.end:.0f} ms "
                    f"after {earlier.origin} ended as {earlier.how}; it rests {rest:.0f}"
                )
        firsts: dict[str, int] = {}
        for seen in sends:
            client, _, id_ = seen.origin.rpartition(":")
            if seen.number == 0:
                if int(id_) < firsts.get(client, 0):
                    verdict.convict(
                        f"key {key} at {dispatcher}: {seen.origin} sent after a later one of its client"
                    )
                firsts[client] = max(firsts.get(client, 0), int(id_))


def _budget(ev: Evidence, verdict: Verdict) -> None:
    budget = ev.site.bearings.budget
    if budget is None:
        return
    taken: dict[int, list[float]] = defaultdict(list)
    for asked in ev.asked.values():
        taken[asked.host].append(asked.at)
    further: dict[str, list[float]] = defaultdict(list)
    for seen in ev.seen:
        if seen.number:
            further[seen.dispatcher].append(seen.at)
    for dispatcher, times in further.items():
        times.sort()
        took = sorted(taken[host_of(dispatcher)])
        for index, at in enumerate(times):
            verdict.judged += 1
            made = index + 1 - bisect_right(times, at - budget.window_ms + SLACK_MS)
            held = bisect_right(took, at) - bisect_right(took, at - budget.window_ms - SLACK_MS)
            if made > budget.min_retries + budget.retry_ratio * held:
                verdict.convict(
                    f"{dispatcher}: {made} further sends in the {budget.window_ms:.0f} ms before {at:.1f}, "
                    f"with {held} RPCs taken: {budget.min_retries + budget.retry_ratio * held:.1f} allowed"
                )


def _limits(ev: Evidence, verdict: Verdict) -> None:
    firsts: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for sends in ev.by_origin.values():
        first = min(sends, key=lambda seen: seen.at)
        firsts[first.volume].append((first.at, first.units))
    for volume, times in firsts.items():
        plan = ev.site.trade.volumes[volume].plan
        if not plan.limit_rate:
            continue
        store, last = plan.limit_burst, 0.0
        spare = plan.limit_tolerance + plan.limit_rate * SLACK_MS / 1000.0
        for at, units in sorted(times):
            verdict.judged += 1
            store = min(plan.limit_burst, store + plan.limit_rate * (at - last) / 1000.0) - units
            last = at
            if store < -spare:
                verdict.convict(
                    f"volume {volume} at {at:.1f}: {-store:.1f} units past its limit "
                    f"({plan.limit_rate} a second, {plan.limit_burst} deep)"
                )


def _held(ev: Evidence) -> dict[tuple[str, str], list[tuple[int, int, bytes]]]:
    """What nodes hold at the day's end: node, CRC, and the bytes where they are few."""
    held: dict[tuple[str, str], list[tuple[int, int, bytes]]] = defaultdict(list)
    for index in range(len(ev.scenario.nodes)):
        path = ev.folder / f"node-{index}.bytes.json"
        if path.exists():
            for volume, key, _, crc, data in json.loads(path.read_text()):
                held[(volume, key)].append((index, crc, base64.b64decode(data)))
    return held


def _bytes(ev: Evidence, verdict: Verdict) -> None:
    held = _held(ev)
    for op, volume, key in ev.wrong:
        verdict.convict(f"operation {op}: wrong bytes read from {volume}/{key}")
    for asked in ev.asked.values():
        oks = [answer for answer in asked.answers if answer[1] == "ok"]
        if not oks or asked.verb == "read" or asked.op not in ev.ops:
            continue
        facts = ev.ops[asked.op]
        where = [(crc, data) for node, crc, data in held[(asked.volume, asked.key)] if node == oks[0][2]]
        if asked.verb == "append":
            there = any(content(asked.op, STAMP) in data for _, data in where)
        elif facts[3] == "new":
            there = any(crc == zlib.crc32(content(asked.op, max(STAMP, facts[5]))) for crc, _ in where)
        else:
            continue  # written over by others since
        verdict.judged += 1
        if not there:
            verdict.convict(f"{asked.origin}: acknowledged, but not among the bytes of node {oks[0][2]}")

"""Checks a scenario run against the rules, from the records of clients, nodes and the registry stand-in.

Records of dispatchers are not used: a dispatcher must not be judged by its own statements. All processes of
a run share the monotonic clock of one machine. Times are in ms of that clock. `CLOCK_SLACK_MS` allows for
the time between a process writing to a socket and the receiving process recording it.
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

CLOCK_SLACK_MS = 60.0
MAX_EVIDENCE = 5  # texts stored for each rule
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
"""Titles of the rules by number, as report.json and `lab audit` show them.

This module checks 1 to 8, `fleetaudit.py` checks 11 to 19 (the promises of a fleet). The function
of each rule says what the rule demands.
"""


@dataclass(slots=True)
class Verdict:
    """Result of one rule; report.json writes the fields under their names.

    Attributes:
        rule: Key in `RULES`.
        judged: Number of cases that the rule applied to.
        broken: Number of breaches.
        excused: Number of cases that look like breaches, but that the rule allows.
        evidence: Descriptions of the first `MAX_EVIDENCE` breaches.
    """

    rule: int
    judged: int = 0
    broken: int = 0
    excused: int = 0
    evidence: list[str] = field(default_factory=list)

    def add_breach(self, text: str) -> None:
        """Counts one breach and stores its description, up to `MAX_EVIDENCE` of them."""
        self.broken += 1
        if len(self.evidence) < MAX_EVIDENCE:
            self.evidence.append(text)


@dataclass(slots=True)
class ClientRequest:
    """One request, as its client recorded it.

    Attributes:
        origin: Client name and request id, "CLIENT:ID".
        op: Operation that the request belongs to; a retry by the client is another request of it.
        at_ms: Time of sending, ms.
        deadline_ms: Deadline, ms.
        host: Number of the dispatcher that the client sent it to.
        answers: Time (ms), kind and detail of each final answer; the detail is the shard, the retry delay
            in ms or the reason, by kind.
        lost_at_ms: Time at which the connection was lost before an answer, ms; None if it was not.
        late: Whether the client stopped waiting at the deadline.
    """

    origin: str
    op: str
    workload: str
    volume: str
    verb: str
    key: str
    at_ms: float
    deadline_ms: float
    host: int
    answers: list[tuple[float, str, Any]] = field(default_factory=list)
    lost_at_ms: float | None = None
    late: bool = False


@dataclass(slots=True)
class NodeAttempt:
    """One attempt, as its storage node recorded it.

    Attributes:
        dispatcher: Name of the sending dispatcher, "dNUMBER.INCARNATION".
        origin: Request that the attempt belongs to, see `ClientRequest.origin`.
        number: Attempt number within the request, from 0.
        node: Index of the node in the scenario.
        address: Address under which the registry lists the node.
        units: Work of the attempt, in units.
        at_ms: Time of receipt, ms.
        ended_ms: Time at which the attempt ended, ms; 1e18 while it is open.
        outcome: How it ended: "open", "answer CODE", "withdraw", "lost" or "reset".
    """

    dispatcher: str
    origin: str
    number: int
    node: int
    address: str
    volume: str
    key: str
    units: float
    at_ms: float
    ended_ms: float = 1e18
    outcome: str = "open"


def lines(path: Path) -> list[list[Any]]:
    """Returns the entries of a record file, each `[time in ms, event, *facts]`; none if there is no file."""
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()] if path.exists() else []


class Evidence:
    """All records of a scenario run, grouped by request and by node.

    Attributes:
        scenario: Scenario that was run.
        folder: Folder of the record files.
        site: Settings of the dispatchers.
        requests: Client requests by origin.
        attempts: All attempts that nodes received.
        by_origin: The same attempts by request.
        ops: Facts of each operation's "first" event, by operation.
        done: Result and duration in ms of each operation.
        started_ms: Start of each operation, ms.
        wrong_reads: Operation, volume and key of reads that returned wrong bytes.
        collapses: Time (ms), node and start number of each node failure under load.
        state_updates: Time (ms), state, start number and age of a node, as the registry sent them, by
            dispatcher and address.
        pauses: Times (from, to; ms) in which a dispatcher was stopped by a signal, by number.
        exits_ms: Times at which a dispatcher was killed or found ended, by number.
        blocked: Times (from, to; ms) in which clients could not reach a dispatcher, by number.
        listed_addresses: Address that the registry lists, by own address of a node.
        exit_codes: Name, incarnation, cause and exit code of each dispatcher process that ended.
        start: Start of the run, ms.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        """Reads the record files of a run of `scenario` from `folder`."""
        self.scenario, self.folder = scenario, folder
        self.site: SiteSettings = site_of(folder)
        self.requests: dict[str, ClientRequest] = {}
        self.attempts: list[NodeAttempt] = []
        self.by_origin: dict[str, list[NodeAttempt]] = defaultdict(list)
        self.ops: dict[str, list[Any]] = {}
        self.done: dict[str, tuple[str, float]] = {}
        self.started_ms: dict[str, float] = {}
        self.wrong_reads: list[list[Any]] = []
        self.collapses: list[tuple[float, int, int]] = []
        self.state_updates: dict[tuple[str, str], list[tuple[float, str, int, float]]] = defaultdict(list)
        self.pauses: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.exits_ms: dict[int, list[float]] = defaultdict(list)
        self.blocked: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.listed_addresses: dict[str, str] = {}
        self.exit_codes: list[list[Any]] = []
        self.start = 0.0
        self._read_run()
        for path in sorted(folder.glob("load-*.jsonl")):
            self._read_load(path)
        for index in range(len(scenario.nodes)):
            self._read_node(index)
        self._read_register()

    def _read_run(self) -> None:
        stopped_at: dict[int, float] = {}
        for at, event, *facts in lines(self.folder / "day.jsonl"):
            if event == "day":
                self.start = facts[0]
            elif event == "stopped":
                stopped_at[facts[0]] = at
            elif event == "continued":
                self.pauses[facts[0]].append((stopped_at.pop(facts[0]), at))
            elif event in ("killed", "gone"):  # on a busy machine a process ends some time after the signal
                self.exits_ms[facts[0]].append(at)
            elif event == "shut":
                for number in facts[0]:
                    self.blocked[number].append((at, at + facts[1] + CLOCK_SLACK_MS))
            elif event == "placed":
                self.listed_addresses[facts[1]] = facts[2]
            elif event == "codes":
                self.exit_codes = facts[0]

    def _read_load(self, path: Path) -> None:
        for at, event, *facts in lines(path):
            if event == "sent":
                client, id_, op, workload, volume, verb, key, until, _ = facts
                origin = f"{client}:{id_}"
                self.requests[origin] = ClientRequest(
                    origin, op, workload, volume, verb, key, at, until, int(client.rpartition("-")[2])
                )
            elif event == "answer":
                request = self.requests.get(f"{facts[0]}:{facts[1]}")
                if request is not None:
                    request.answers.append((at, facts[2], facts[3]))
            elif event == "late":
                self.requests[f"{facts[0]}:{facts[1]}"].late = True
            elif event == "lost":
                self.requests[f"{facts[0]}:{facts[1]}"].lost_at_ms = at
            elif event == "first":
                self.ops[facts[0]], self.started_ms[facts[0]] = facts, at
            elif event == "done":
                self.done[facts[0]] = (facts[1], facts[2])
            elif event == "wrong bytes":
                self.wrong_reads.append(facts)

    def _read_node(self, index: int) -> None:
        address = ""
        open_attempts: dict[tuple[str, str, int], NodeAttempt] = {}
        for at, event, *facts in lines(self.folder / f"node-{index}.jsonl"):
            if event == "start":
                address = self.listed_addresses.get(facts[1], facts[1])
            elif event == "recv":
                dispatcher, origin, number, _, volume, key, units, _, _ = facts
                attempt = NodeAttempt(dispatcher, origin, number, index, address, volume, key, units, at)
                open_attempts[(dispatcher, origin, number)] = attempt
                self.attempts.append(attempt)
                self.by_origin[origin].append(attempt)
            elif event in ("answer", "withdraw", "lost", "reset"):
                found = open_attempts.get((facts[0], facts[1], facts[2]))
                if found is not None and found.outcome == "open":
                    found.ended_ms, found.outcome = at, f"answer {facts[3]}" if event == "answer" else event
            elif event == "fell":
                self.collapses.append((at, index, facts[0]))

    def _read_register(self) -> None:
        newest: dict[str, int] = {}
        for at, event, *facts in lines(self.folder / "register.jsonl"):
            # A list with an older version than one that was sent before is ignored, as dispatchers ignore it.
            if event == "told" and facts[1] >= newest.get(facts[0], -1):
                newest[facts[0]] = facts[1]
                for address, state, start, age in facts[3]:
                    self.state_updates[(facts[0], address)].append((at, state, start, age))

    def workload(self, name: str) -> Workload:
        """Returns the settings of a workload."""
        return self.site.trade.workloads[name]

    def was_paused(self, host: int, first: float, last: float) -> bool:
        """Whether the dispatcher was stopped by a signal at some time from `first` to `last` (ms)."""
        return any(
            begin - CLOCK_SLACK_MS <= last and first <= end + CLOCK_SLACK_MS
            for begin, end in self.pauses[host]
        )

    def readable_at(self, dispatcher: str, at: float) -> float:
        """Returns when a dispatcher could read a message sent at `at` (ms): if stopped, when it continued."""
        for begin, end in self.pauses[host_of(dispatcher)]:
            if begin - CLOCK_SLACK_MS <= at <= end:
                return end
        return at


def host_of(dispatcher: str) -> int:
    """Returns the number of a dispatcher named "dNUMBER.INCARNATION"."""
    return int(dispatcher[1:].partition(".")[0])


def judge(scenario: Scenario, folder: Path) -> tuple[list[Verdict], Evidence]:
    """Checks the records in `folder` against rules 1 to 8.

    Returns:
        The verdicts in the order of the rules, and the records that they are based on.
    """
    evidence = Evidence(scenario, folder)
    rules = [_lost, _twice, _drains, _cold, _order, _budget, _limits, _bytes]
    verdicts = []
    for number, rule in enumerate(rules, 1):
        verdict = Verdict(number)
        rule(evidence, verdict)
        verdicts.append(verdict)
    return verdicts, evidence


def _lost(ev: Evidence, verdict: Verdict) -> None:
    """Each request has exactly one answer by its deadline, no attempt after it, and exits are clean."""
    for request in ev.requests.values():
        verdict.judged += 1
        who = (
            f"{request.origin} ({request.workload}, d{request.host}, sent {request.at_ms:.1f}, "
            f"deadline {request.deadline_ms:.1f})"
        )
        excused = any(
            request.at_ms - CLOCK_SLACK_MS <= exit_ms <= request.deadline_ms + CLOCK_SLACK_MS
            for exit_ms in ev.exits_ms[request.host]
        )
        # Answers need `answer_ms` to reach the client: a request with less time is rejected on receipt.
        excused = excused or request.deadline_ms - request.at_ms < ev.site.bounds.answer_ms
        excused = excused or ev.was_paused(request.host, request.deadline_ms, request.deadline_ms)
        # The network path between client and dispatcher was blocked, so an answer could not arrive.
        excused = excused or any(
            begin <= request.deadline_ms + CLOCK_SLACK_MS and request.at_ms <= end
            for begin, end in ev.blocked[request.host]
        )
        if len(request.answers) > 1:
            verdict.add_breach(f"{who}: {len(request.answers)} final answers, expected one")
        elif not request.answers or request.answers[0][0] > request.deadline_ms:
            if excused:
                verdict.excused += 1
            elif request.lost_at_ms is not None:
                verdict.add_breach(f"{who}: connection lost at {request.lost_at_ms:.1f} before an answer")
            else:
                when = f"answered at {request.answers[0][0]:.1f}" if request.answers else "never answered"
                verdict.add_breach(f"{who}: {when}")
        if request.answers:
            after = [
                attempt
                for attempt in ev.by_origin.get(request.origin, [])
                if attempt.at_ms > request.answers[0][0] + CLOCK_SLACK_MS
            ]
            if after and not ev.was_paused(request.host, request.answers[0][0], after[0].at_ms):
                verdict.add_breach(
                    f"{who}: sent to node {after[0].node} at {after[0].at_ms:.1f}, after its answer "
                    f"at {request.answers[0][0]:.1f}"
                )
    for name, incarnation, reason, code in ev.exit_codes:
        if reason != "kill" and code:
            verdict.add_breach(f"{name} (incarnation {incarnation}): expected exit code 0, got {code}")


def _twice(ev: Evidence, verdict: Verdict) -> None:
    """Attempts do not overlap, and are repeated only where the workload's idempotency allows it."""
    hedging_allowed = ev.site.bearings.permits.allows_hedging
    for origin, sends in ev.by_origin.items():
        request = ev.requests.get(origin)
        if request is None:
            continue
        verdict.judged += 1
        work = ev.workload(request.workload)
        sends = sorted(sends, key=lambda attempt: attempt.at_ms)
        # Code 2: the node was full and did not execute the attempt. Any other attempt may have run.
        ran = [attempt for attempt in sends if attempt.outcome != "answer 2"]
        for earlier, later in itertools.pairwise(sends):
            if (
                not hedging_allowed
                and later.at_ms < earlier.ended_ms - CLOCK_SLACK_MS
                and earlier.outcome != "open"
            ):
                verdict.add_breach(
                    f"{origin}: two attempts at once, node {earlier.node} until {earlier.ended_ms:.1f} "
                    f"({earlier.outcome}), node {later.node} from {later.at_ms:.1f}"
                )
        if work.idempotency is Idempotency.IDEMPOTENT:
            continue
        if work.idempotency is Idempotency.NON_IDEMPOTENT and len(ran) > 1:
            verdict.add_breach(
                f"{origin} ({request.workload}): not idempotent, sent {len(ran)} times though it may "
                f"have run "
                f"({', '.join(f'node {s.node} at {s.at_ms:.1f} {s.outcome}' for s in ran)})"
            )
        if work.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and ran:
            for attempt in sends:
                if attempt.at_ms > ran[0].at_ms + work.deduplication_window_ms + CLOCK_SLACK_MS:
                    verdict.add_breach(
                        f"{origin}: sent again {attempt.at_ms - ran[0].at_ms:.0f} ms after it may have run"
                    )
                if (
                    work.deduplication_scope == "cell"
                    and attempt.at_ms > ran[0].at_ms
                    and attempt.node != ran[0].node
                ):
                    verdict.add_breach(
                        f"{origin}: sent again outside its deduplication scope, to node {attempt.node}"
                    )
        rejected = [answer for answer in request.answers if answer[1] == "rejected"]
        if (
            rejected
            and ran
            and (work.idempotency is Idempotency.NON_IDEMPOTENT or work.deduplication_scope != "all")
        ):
            verdict.add_breach(
                f"{origin} ({request.workload}): rejected though it may have run on node {ran[0].node}"
            )
    counts: dict[str, int] = defaultdict(int)
    for (volume, key), held in _stored_bytes(ev).items():
        for op, facts in ev.ops.items():
            if facts[3] == "append" and (facts[2], facts[4]) == (volume, key):
                counts[op] += sum(data.count(content(op, STAMP)) for _, _, data in held)
    for op, count in counts.items():
        verdict.judged += 1
        if count > 1 and ev.workload(ev.ops[op][1]).idempotency is not Idempotency.IDEMPOTENT:
            verdict.add_breach(
                f"operation {op} ({ev.ops[op][1]}) is stored {count} times, expected once, in {ev.ops[op][4]}"
            )


def _drains(ev: Evidence, verdict: Verdict) -> None:
    """A dispatcher sends nothing to a node that it has known as not live for longer than the grace time."""
    grace = ev.scenario.grace_ms + CLOCK_SLACK_MS
    times = {key: [update[0] for update in updates] for key, updates in ev.state_updates.items()}
    for attempt in ev.attempts:
        verdict.judged += 1
        key = (attempt.dispatcher, attempt.address)
        updates = ev.state_updates.get(key, [])
        index = bisect_right(times.get(key, []), attempt.at_ms)
        # Updates received within the grace time are not binding yet; the newest of the older ones is.
        binding = [
            update
            for update in updates[:index]
            if ev.readable_at(attempt.dispatcher, update[0]) <= attempt.at_ms - grace
        ]
        recent = [update for update in updates[:index] if update not in binding]
        if binding and binding[-1][1] != "live" and not any(update[1] == "live" for update in recent):
            verdict.add_breach(
                f"{attempt.origin}: sent to node {attempt.node} ({attempt.address}) at {attempt.at_ms:.1f} "
                f"by {attempt.dispatcher}, which was sent state '{binding[-1][1]}' at {binding[-1][0]:.1f}"
            )


def _cold(ev: Evidence, verdict: Verdict) -> None:
    """No node fails under load sent mostly (two thirds) by dispatchers that knew of its recent start."""
    for at, node, start in ev.collapses:
        verdict.judged += 1
        span = ev.scenario.nodes[node].build.fall_span_ms
        total = informed = 0.0
        for attempt in ev.attempts:
            if attempt.node == node and at - span <= attempt.at_ms <= at:
                updates = ev.state_updates.get((attempt.dispatcher, attempt.address), [])
                knew = any(update[0] <= attempt.at_ms and update[2] >= start for update in updates)
                total, informed = total + attempt.units, informed + attempt.units * knew
        if informed * 3.0 >= total * 2.0:
            verdict.add_breach(
                f"node {node} (start {start}) failed at {at:.1f} under {total:.1f} units in "
                f"{span:.0f} ms, {informed:.1f} from dispatchers that knew of its start"
            )
        else:
            verdict.excused += 1
    verdict.judged = verdict.judged or len(ev.attempts)


def _order(ev: Evidence, verdict: Verdict) -> None:
    """Attempts of an ordered key do not overlap, wait after a failure, and keep the client's order."""
    key_rest_ms = ev.site.bearings.key_rest_ms
    by_key: dict[tuple[str, str], list[NodeAttempt]] = defaultdict(list)
    for attempt in ev.attempts:
        request = ev.requests.get(attempt.origin)
        if request is not None and attempt.key and ev.workload(request.workload).ordered:
            by_key[(attempt.dispatcher, attempt.key)].append(attempt)
    for (dispatcher, key), sends in by_key.items():
        sends.sort(key=lambda attempt: attempt.at_ms)
        for earlier, later in itertools.pairwise(sends):
            verdict.judged += 1
            if earlier.origin == later.origin:
                continue
            if later.at_ms < earlier.ended_ms - CLOCK_SLACK_MS and earlier.outcome != "open":
                verdict.add_breach(
                    f"key {key} at {dispatcher}: {later.origin} sent at {later.at_ms:.1f} while "
                    f"{earlier.origin} was in flight until {earlier.ended_ms:.1f} ({earlier.outcome})"
                )
            elif (
                earlier.outcome in ("withdraw", "lost", "reset")
                and later.at_ms < earlier.ended_ms + key_rest_ms - CLOCK_SLACK_MS
            ):
                verdict.add_breach(
                    f"key {key} at {dispatcher}: {later.origin} sent {later.at_ms - earlier.ended_ms:.0f} ms "
                    f"after {earlier.origin} ended as {earlier.outcome}; minimum pause: {key_rest_ms:.0f}"
                )
        firsts: dict[str, int] = {}
        for attempt in sends:
            client, _, id_ = attempt.origin.rpartition(":")
            if attempt.number == 0:
                if int(id_) < firsts.get(client, 0):
                    verdict.add_breach(
                        f"key {key} at {dispatcher}: {attempt.origin} sent after a later one of its client"
                    )
                firsts[client] = max(firsts.get(client, 0), int(id_))


def _budget(ev: Evidence, verdict: Verdict) -> None:
    """Attempts after the first of a request stay within the retry budget of their dispatcher."""
    budget = ev.site.bearings.budget
    if budget is None:
        return
    received_by_host: dict[int, list[float]] = defaultdict(list)
    for request in ev.requests.values():
        received_by_host[request.host].append(request.at_ms)
    retries: dict[str, list[float]] = defaultdict(list)
    for attempt in ev.attempts:
        if attempt.number:
            retries[attempt.dispatcher].append(attempt.at_ms)
    for dispatcher, times in retries.items():
        times.sort()
        arrivals = sorted(received_by_host[host_of(dispatcher)])
        for index, at in enumerate(times):
            verdict.judged += 1
            retried = index + 1 - bisect_right(times, at - budget.window_ms + CLOCK_SLACK_MS)
            received = bisect_right(arrivals, at) - bisect_right(
                arrivals, at - budget.window_ms - CLOCK_SLACK_MS
            )
            if retried > budget.min_retries + budget.retry_ratio * received:
                verdict.add_breach(
                    f"{dispatcher}: {retried} retries in the {budget.window_ms:.0f} ms before {at:.1f}, "
                    f"with {received} requests received: "
                    f"{budget.min_retries + budget.retry_ratio * received:.1f} allowed"
                )


def _limits(ev: Evidence, verdict: Verdict) -> None:
    """First attempts of each volume stay within its rate limit, burst and tolerance."""
    firsts: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for sends in ev.by_origin.values():
        first = min(sends, key=lambda attempt: attempt.at_ms)
        firsts[first.volume].append((first.at_ms, first.units))
    for volume, times in firsts.items():
        plan = ev.site.trade.volumes[volume].plan
        if not plan.limit_rate:
            continue
        tokens, last = plan.limit_burst, 0.0
        tolerance = plan.limit_tolerance + plan.limit_rate * CLOCK_SLACK_MS / 1000.0
        for at, units in sorted(times):
            verdict.judged += 1
            tokens = min(plan.limit_burst, tokens + plan.limit_rate * (at - last) / 1000.0) - units
            last = at
            if tokens < -tolerance:
                verdict.add_breach(
                    f"volume {volume} at {at:.1f}: {-tokens:.1f} units above its limit "
                    f"({plan.limit_rate} units/s, burst of {plan.limit_burst} units)"
                )


def _stored_bytes(ev: Evidence) -> dict[tuple[str, str], list[tuple[int, int, bytes]]]:
    """Returns what nodes store at the end of the run, by volume and key.

    Each entry has the node, the CRC of the bytes, and the bytes themselves (empty above 64 KiB).
    """
    held: dict[tuple[str, str], list[tuple[int, int, bytes]]] = defaultdict(list)
    for index in range(len(ev.scenario.nodes)):
        path = ev.folder / f"node-{index}.bytes.json"
        if path.exists():
            for volume, key, _, crc, data in json.loads(path.read_text()):
                held[(volume, key)].append((index, crc, base64.b64decode(data)))
    return held


def _bytes(ev: Evidence, verdict: Verdict) -> None:
    """Acknowledged writes are stored on the node that the answer names, and reads return the right bytes."""
    held = _stored_bytes(ev)
    for op, volume, key in ev.wrong_reads:
        verdict.add_breach(f"operation {op}: read wrong bytes from {volume}/{key}")
    for request in ev.requests.values():
        oks = [answer for answer in request.answers if answer[1] == "ok"]
        if not oks or request.verb == "read" or request.op not in ev.ops:
            continue
        facts = ev.ops[request.op]
        where = [(crc, data) for node, crc, data in held[(request.volume, request.key)] if node == oks[0][2]]
        if request.verb == "append":
            there = any(content(request.op, STAMP) in data for _, data in where)
        elif facts[3] == "new":
            there = any(crc == zlib.crc32(content(request.op, max(STAMP, facts[5]))) for crc, _ in where)
        else:
            continue  # later writes replaced the bytes
        verdict.judged += 1
        if not there:
            verdict.add_breach(f"{request.origin}: acknowledged, but its bytes are not on node {oks[0][2]}")

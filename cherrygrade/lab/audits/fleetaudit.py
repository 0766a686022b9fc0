"""Checks the fleet's promises, from recorded datagrams and from the laboratory's record of its processes.

Each probe carries the digest of its sender's membership table. The audit computes the digest that a correct
table has, from the processes that run and from the properties that each announced of itself, and compares.
No log of a dispatcher is read. Times are in ms of the machine's monotonic clock.
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
from cherrygrade.standin.receiver import judge as holder_conflicts
from cherrygrade.standin.ways import ENTRY, FLEET

MAX_DETECTION_MS = 5000.0  # from the end of a process until all running members have recorded its failure
MASS_FAILURE_MEMBERS, MAX_MASS_FAILURE_DETECTION_MS = 5, 10000.0
"""The longer bound holds where so many members, and more than a tenth of them, end within 500 ms."""

MAX_RECONVERGENCE_MS = 5000.0  # from a heal or a start until all membership tables are equal again
MAX_REPORT_DELAY_MS = 500.0  # from a change of the table until the next datagram carries its digest
TOLERATED_STALL_MS = 2000.0  # a member stopped or cut off for no longer must not be declared failed
QUIET_MS = 5000.0  # length of the span without changes in which promises for a settled fleet are checked
MAX_ACCUSATION_DELAY_MS = 6000.0  # from the accuser's last probe of a member to its suspicion
MAX_RESTING_BYTES_PER_SECOND = 2048.0  # sent by one member of a settled fleet
TOLERATED_FAULT_SIZE = {"lossy": 0.05, "slow_way": 50.0}
"""Loss (part of the datagrams) and delay (ms) up to which no running member may be declared failed."""

DIGEST_INTERVAL_MS = 20.0  # resolution in time of the expected digest
PROMISES = (11, 12, 13, 14, 15, 16, 17)  # rules checked from datagrams and the process table


@dataclass(slots=True)
class ProcessRun:
    """One process of a dispatcher, by the laboratory's process table.

    Attributes:
        number: Number of the dispatcher.
        started_ms: Start of the process, ms.
        ended_ms: End of the process, ms; 1e18 while it runs.
        left: Whether it was asked to leave, instead of being killed.
    """

    number: int
    started_ms: float
    ended_ms: float = 1e18
    left: bool = False


@dataclass(slots=True)
class Datagram:
    """One recorded datagram between dispatchers.

    Attributes:
        at: Time of sending, ms.
        source: Number of the sender.
        to: Number of the receiver.
        kind: Class name of the message.
        length: Length in bytes.
        lost: Whether the fault injection dropped it.
        digest: Digest of the sender's membership table; 0 where the message carries none.
        records: Name, incarnation, refutation counter, state and accuser of each member record in it.
        target: Member to be probed, in a request for an indirect probe.
    """

    at: float
    source: int
    to: int
    kind: str
    length: int
    lost: bool
    digest: int
    records: list[tuple[str, int, int, int, str]] = field(default_factory=list)
    target: str = ""


@dataclass(slots=True)
class FleetHistory:
    """A scenario run, as recorded by the fault-injecting network and by the laboratory.

    Spans of time are pairs (from, to) in ms.

    Attributes:
        process_runs: Processes of each dispatcher number, in the order of their start.
        datagrams: All datagrams.
        by_sender: The same datagrams by the sender's number.
        infos: Refutation counter and announced properties, by name and incarnation.
        incarnations: Incarnations of each name, as the member itself sent them.
        stops: Spans in which a dispatcher was stopped by a signal, by number.
        cuts: Spans of network partitions, with the numbers cut off.
        degraded: Spans in which loss or delay exceeded `TOLERATED_FAULT_SIZE`.
        forged: Times at which forged records were injected, with the member numbers in these.
        changes: Times of starts, ends, faults and heals.
        start: Start of the run, ms.
        end: End of the run, ms.
    """

    process_runs: dict[int, list[ProcessRun]] = field(default_factory=lambda: defaultdict(list))
    datagrams: list[Datagram] = field(default_factory=list)
    by_sender: dict[int, list[Datagram]] = field(default_factory=lambda: defaultdict(list))
    infos: dict[tuple[str, int], list[tuple[int, MemberInfo]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    incarnations: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    stops: dict[int, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    cuts: list[tuple[float, float, set[int]]] = field(default_factory=list)
    degraded: list[tuple[float, float]] = field(default_factory=list)
    forged: list[tuple[float, set[int]]] = field(default_factory=list)
    changes: list[float] = field(default_factory=list)
    start: float = 0.0
    end: float = 0.0

    def living(self, at: float) -> list[int]:
        """Returns the numbers of the dispatchers whose process runs at `at` (ms)."""
        return [
            n
            for n, runs in self.process_runs.items()
            if any(one.started_ms <= at < one.ended_ms for one in runs)
        ]

    def max_detection_ms(self, at: float) -> float:
        """Returns the time (ms) within which all members must record a failure at `at` (ms)."""
        ended = [one.ended_ms for runs in self.process_runs.values() for one in runs]
        together = sum(abs(one - at) <= 500.0 for one in ended)
        mass_failure = together >= MASS_FAILURE_MEMBERS and together * 10 > len(self.living(at - 501.0))
        return MAX_MASS_FAILURE_DETECTION_MS if mass_failure else MAX_DETECTION_MS

    def has_forged_records(self, number: int, at: float) -> bool:
        """Whether forged records about the member may still be around at `at` (ms)."""
        return any(
            number in numbers and sent_ms <= at <= sent_ms + MAX_DETECTION_MS
            for sent_ms, numbers in self.forged
        )

    def was_disturbed(self, number: int, first: float, last: float) -> bool:
        """Whether the member was stopped or cut off from `first` to `last` (ms), beyond a tolerated stall."""
        spans = [*self.stops[number], *self.degraded]
        spans += [(begin, end) for begin, end, on in self.cuts if on]
        return any(
            end - begin > TOLERATED_STALL_MS and begin <= last and first <= end + MAX_RECONVERGENCE_MS
            for begin, end in spans
        )


def read(folder: Path) -> FleetHistory:
    """Reads the history of a run from the records in its folder."""
    history, stopped_at, open_cuts = FleetHistory(), dict[int, float](), dict[str, tuple[float, set[int]]]()
    for at, event, *facts in lines(folder / "day.jsonl"):
        if event == "day":
            history.start = facts[0]
        elif event == "life":
            history.process_runs[facts[0]].append(ProcessRun(facts[0], at))
            history.changes.append(at)
        elif event in ("killed", "told to leave"):
            run = history.process_runs[facts[0]][-1]
            run.ended_ms, run.left = at, event != "killed"
            history.changes.append(at)
        elif event == "stopped":
            stopped_at[facts[0]] = at
        elif event == "continued":
            history.stops[facts[0]].append((stopped_at.pop(facts[0]), at))
            history.changes.append(at)
        elif event == "cut":
            open_cuts[json.dumps(facts[0])] = (at, set(facts[0]))
        elif event == "healed":
            started, numbers = open_cuts.pop(json.dumps(facts[0]))
            history.cuts.append((started, at, numbers))
            history.changes.append(at)
        elif event == "lied":
            history.forged.append((at, {*facts[0]}))
            history.changes.append(at)
        elif event == "rough":
            history.changes += [at, at + facts[0]]
            if facts[2] > TOLERATED_FAULT_SIZE.get(facts[1], 1e9):
                history.degraded.append((at, at + facts[0]))
        elif event == "ended":
            history.end = at
    codec = MessageCodec(FLEET)
    for at, source, to, lost, data in datagrams(folder / "ways.log"):
        message = codec.read(data)
        datagram = Datagram(
            at, source, to, type(message).__name__, len(data), lost, getattr(message, "digest", 0)
        )
        if (
            message is not None
            and message.name == f"d{source}"
            and message.incarnation not in history.incarnations[message.name]
        ):
            # The member itself sent the message, from its own address.
            history.incarnations[message.name].append(message.incarnation)
        if isinstance(message, IndirectProbeRequest):
            datagram.target = message.target.name
        for record in getattr(message, "records", []):
            datagram.records.append(
                (record.name, record.incarnation, record.refutations, record.state, record.accuser)
            )
            _store_info(history, record)
        history.datagrams.append(datagram)
        history.by_sender[source].append(datagram)
    return history


def datagrams(file: Path) -> Iterator[tuple[float, int, int, bool, bytes]]:
    """Yields the time (ms), sender, receiver, whether it was lost, and the bytes of each logged datagram."""
    data, at = file.read_bytes() if file.exists() else b"", 0
    while at + ENTRY.size <= len(data):
        when, source, to, lost, length = ENTRY.unpack_from(data, at)
        at += ENTRY.size + length
        yield when, source, to, lost, data[at - length : at]


def _store_info(history: FleetHistory, record: MemberRecord) -> None:
    """Stores properties that a member announced, whichever member forwards them.

    Names that no process has come from forged records and are ignored.
    """
    if record.info is None or record.state == MemberState.LEFT or not record.name[1:].isdigit():
        return
    announced = history.infos[(record.name, record.incarnation)]
    if (record.refutations, record.info) not in announced:
        announced.append((record.refutations, record.info))


class ExpectedDigest:
    """Digest of the membership table that lists exactly the running members, over time.

    The digest of a table is the exclusive or of its members' digests. Each member counts with the highest
    refutation counter that it has sent by then.
    """

    def __init__(self, history: FleetHistory) -> None:
        """Prepares the digests of a run; each is computed when it is first needed."""
        self.history = history
        self._digests: dict[int, int] = {}  # by time / DIGEST_INTERVAL_MS
        self._digest_by_record: dict[tuple[str, int, int], int] = {}
        self.refutation_history: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(
            lambda: [(0.0, 0)]
        )
        for datagram in history.datagrams:
            for name, incarnation, refutations, state, _ in datagram.records:
                known = self.refutation_history[(name, incarnation)]
                if state == MemberState.ALIVE and refutations > known[-1][1]:
                    known.append((datagram.at, refutations))

    def digest(self, at: float) -> int:
        """Returns the digest at `at` (ms), rounded down to a multiple of `DIGEST_INTERVAL_MS`.

        Returns -1 while a running member has not announced itself yet.
        """
        interval = int(at // DIGEST_INTERVAL_MS)
        if interval not in self._digests:
            self._digests[interval] = self._digest(interval * DIGEST_INTERVAL_MS)
        return self._digests[interval]

    def _digest(self, at: float) -> int:
        found = 0
        for number in self.history.living(at):
            name = f"d{number}"
            incarnations = sorted(self.history.incarnations.get(name, []))
            runs = [one for one in self.history.process_runs[number] if one.started_ms <= at]
            if len(incarnations) < len(runs):
                return -1
            incarnation = incarnations[len(runs) - 1]
            refutations = max(
                refutations
                for sent_ms, refutations in self.refutation_history[(name, incarnation)]
                if sent_ms <= at
            )
            key = (name, incarnation, refutations)
            if key not in self._digest_by_record:
                facts = [one for one in self.history.infos[(name, incarnation)] if one[0] <= refutations]
                if not facts:
                    return -1
                record = MemberRecord(
                    name, incarnation, refutations, MemberState.ALIVE, max(facts, key=lambda one: one[0])[1]
                )
                self._digest_by_record[key] = Member(record, 0.0, "").digest()
            found ^= self._digest_by_record[key]
        return found


def judge(folder: Path) -> list[Verdict]:
    """Checks promises 11 to 17, and 18 and 19 where a receiver has recorded orders."""
    history = read(folder)
    verdicts = judge_by(history, ExpectedDigest(history), PROMISES)
    record = folder / "receiver.jsonl"
    return [*verdicts, _single_holders(record), _tasks_done(history, record)] if record.exists() else verdicts


def judge_by(history: FleetHistory, expected: ExpectedDigest, numbers: Iterable[int]) -> list[Verdict]:
    """Checks the promises with these numbers alone."""
    rules = dict(
        zip(
            PROMISES,
            [
                _failures_recorded,
                _running_not_failed,
                _tables_equal,
                _counters_final,
                _probed_first,
                _no_late_messages,
                _little_traffic,
            ],
            strict=True,
        )
    )
    verdicts = []
    for number in numbers:
        verdict = Verdict(number)
        rules[number](history, expected, verdict)
        verdicts.append(verdict)
    return verdicts


def _single_holders(record: Path) -> Verdict:
    """No two holders act for one task at a time, by the receiver's record alone."""
    verdict = Verdict(18)
    verdict.judged = len(carried_out(record))
    for wrong in holder_conflicts(record):
        verdict.add_breach(wrong)
    return verdict


def _tasks_done(history: FleetHistory, record: Path) -> Verdict:
    """Each task seen in a run is also carried out in the last `QUIET_MS` of the run.

    Runs with a change in the last two `QUIET_MS` are not judged.
    """
    verdict, tasks, late = Verdict(19), set[str](), set[str]()
    if any(at > history.end - 2.0 * QUIET_MS for at in history.changes):
        return verdict
    for at, task, *_ in carried_out(record):
        tasks.add(task)
        if at > history.end - QUIET_MS:
            late.add(task)
    verdict.judged = len(tasks)
    for task in sorted(tasks - late):
        verdict.add_breach(f"{task} was not carried out in the last {QUIET_MS / 1000.0:.0f} s")
    return verdict


def _failures_recorded(history: FleetHistory, expected: ExpectedDigest, verdict: Verdict) -> None:
    """After a failure without other changes, each running member sends a digest without the failed one."""
    for number, runs in history.process_runs.items():
        for run in runs:
            by = run.ended_ms + history.max_detection_ms(run.ended_ms)
            others = [at for at in history.changes if run.ended_ms + 1000.0 < at < by]
            partitioned = any(
                begin < by and end > run.ended_ms - MAX_RECONVERGENCE_MS for begin, end, _ in history.cuts
            )
            if run.ended_ms > history.end or by > history.end or others or partitioned or run.left:
                continue
            verdict.judged += 1
            for one in history.living(by):
                if not _sends_expected(history, expected, one, run.ended_ms, by + MAX_REPORT_DELAY_MS):
                    verdict.add_breach(
                        f"d{number} ended at {run.ended_ms:.0f}: d{one} has not recorded it by {by:.0f}"
                    )


def _sends_expected(
    history: FleetHistory, expected: ExpectedDigest, number: int, first: float, last: float
) -> bool:
    """Whether the member sent the expected digest at some time from `first` to `last` (ms)."""
    datagrams = history.by_sender[number]
    for datagram in datagrams[bisect_left(datagrams, first, key=lambda datagram: datagram.at) :]:
        if datagram.at > last:
            break
        if datagram.digest and datagram.digest == expected.digest(datagram.at):
            return True
    return False


def _running_not_failed(history: FleetHistory, expected: ExpectedDigest, verdict: Verdict) -> None:
    """No running member is declared failed, unless it was stopped, cut off or named by forged records."""
    reported: set[str] = set()
    for datagram in history.datagrams:
        for name, incarnation, _, state, _ in datagram.records:
            if state != MemberState.FAILED:
                continue
            number = int(name[1:])
            incarnations = sorted(history.incarnations.get(name, []))
            runs = history.process_runs[number]
            run = (
                runs[incarnations.index(incarnation)]
                if incarnation in incarnations and incarnations.index(incarnation) < len(runs)
                else None
            )
            verdict.judged += 1
            if run is None or datagram.at >= run.ended_ms:
                continue
            was_disturbed = history.was_disturbed(number, datagram.at - MAX_DETECTION_MS, datagram.at)
            if was_disturbed or history.has_forged_records(number, datagram.at):
                verdict.excused += 1
            elif name not in reported:
                reported.add(name)
                verdict.add_breach(
                    f"{name} runs but is declared failed by d{datagram.source} at {datagram.at:.0f}"
                )


def _tables_equal(history: FleetHistory, expected: ExpectedDigest, verdict: Verdict) -> None:
    """After a span without changes, all running members send the expected digest."""
    change_times = sorted([*history.changes, history.end])
    for before, after in pairwise(change_times):
        partitioned = any(begin < after and end > before for begin, end, _ in history.cuts)
        stopped = any(b < after and e > before for spans in history.stops.values() for b, e in spans)
        if after - before < MAX_DETECTION_MS + QUIET_MS or partitioned or stopped:
            continue
        for number in history.living(after - 1.0):
            verdict.judged += 1
            if not _sends_expected(history, expected, number, after - 2000.0, after):
                verdict.add_breach(f"d{number} has a wrong membership table at {after:.0f}")


def _counters_final(history: FleetHistory, expected: ExpectedDigest, verdict: Verdict) -> None:
    """Only a member raises its own refutation counter, so the counter of an ended process does not grow."""
    for datagram in history.datagrams:
        for name, incarnation, refutations, state, _ in datagram.records:
            incarnations = sorted(history.incarnations.get(name, []))
            if state != MemberState.ALIVE or incarnation not in incarnations:
                continue
            verdict.judged += 1
            runs = history.process_runs[int(name[1:])]
            at = incarnations.index(incarnation)
            if at >= len(runs) or datagram.at < runs[at].ended_ms + 1000.0:
                continue
            own = max(
                sent
                for sent_ms, sent in expected.refutation_history[(name, incarnation)]
                if sent_ms <= runs[at].ended_ms + 1000.0
            )
            if refutations > own:
                verdict.add_breach(
                    f"{name} ended at {runs[at].ended_ms:.0f} but is alive with "
                    f"refutation {refutations} at {datagram.at:.0f}"
                )


def _probed_first(history: FleetHistory, expected: ExpectedDigest, verdict: Verdict) -> None:
    """A member suspects another only soon after a probe of its own."""
    probed: dict[tuple[int, int], float] = {}
    seen: set[tuple[str, str, int, int]] = set()
    for datagram in history.datagrams:
        if datagram.kind == "Probe":
            probed[(datagram.source, datagram.to)] = datagram.at
        for name, incarnation, refutations, state, by in datagram.records:
            if (
                state != MemberState.SUSPECT
                or by != f"d{datagram.source}"
                or (by, name, incarnation, refutations) in seen
            ):
                continue
            seen.add((by, name, incarnation, refutations))
            verdict.judged += 1
            at = probed.get((datagram.source, int(name[1:])), -1e18)
            if datagram.at - at > MAX_ACCUSATION_DELAY_MS:
                verdict.add_breach(
                    f"{by} suspects {name} at {datagram.at:.0f}, not probed in the last "
                    f"{MAX_ACCUSATION_DELAY_MS / 1000.0:.0f} s"
                )


def _no_late_messages(history: FleetHistory, expected: ExpectedDigest, verdict: Verdict) -> None:
    """No scheduler messages go to a member whose failure must be known."""
    late_messages: dict[int, int] = defaultdict(int)
    for datagram in history.datagrams:
        if datagram.kind != "SchedulerMessage":
            continue
        verdict.judged += 1
        runs = [one for one in history.process_runs[datagram.to] if one.started_ms <= datagram.at]
        failed = bool(runs) and datagram.at > runs[-1].ended_ms + history.max_detection_ms(runs[-1].ended_ms)
        partitioned = any(
            begin < datagram.at and end > datagram.at - MAX_DETECTION_MS for begin, end, _ in history.cuts
        )
        late_messages[datagram.to] += failed and not partitioned
    for number, count in late_messages.items():
        if count:
            verdict.add_breach(f"{count} scheduler messages to d{number} after its failure had to be known")


def _little_traffic(history: FleetHistory, expected: ExpectedDigest, verdict: Verdict) -> None:
    """In a settled fleet each member sends little; scheduler messages are not counted.

    The last `QUIET_MS` of a run are checked. Runs with a change in the last two `QUIET_MS` are not judged.
    """
    first = history.end - QUIET_MS
    disturbed = any(at > first - QUIET_MS for at in history.changes)
    if disturbed or not history.datagrams:
        return
    sent: dict[int, int] = defaultdict(int)
    for datagram in history.datagrams:
        if first <= datagram.at <= history.end and datagram.kind != "SchedulerMessage":
            sent[datagram.source] += datagram.length
    for number in history.living(history.end - 1.0):
        verdict.judged += 1
        rate = sent[number] / (QUIET_MS / 1000.0)
        if rate > MAX_RESTING_BYTES_PER_SECOND:
            verdict.add_breach(f"d{number} sends {rate:.0f} bytes/s in a settled fleet")


def figures(folder: Path) -> dict[str, float]:
    """Returns the figures of a run that reports and benchmarks show.

    These are the times (ms) from failures and heals until members have recorded them, bytes per second and
    member in the last 5 s and in the busiest second, memory (KiB) and processor time (thousandths of a
    core). A figure is missing where the run has no case of it.
    """
    history = read(folder)
    expected = ExpectedDigest(history)
    found: dict[str, float] = {}
    known: list[float] = []
    for runs in history.process_runs.values():
        for run in runs:
            if run.ended_ms < history.end - MAX_DETECTION_MS and not run.left:
                known += [
                    ms_to_expected_digest(history, expected, one, run.ended_ms)
                    for one in history.living(run.ended_ms + MAX_DETECTION_MS)
                ]
    if known:
        found |= {"death_first_ms": min(known), "death_last_ms": max(known)}
    heals = [end for _, end, _ in history.cuts]
    if heals:
        heal_ms = [
            ms_to_expected_digest(history, expected, one, at)
            for at in heals
            for one in history.living(at + MAX_RECONVERGENCE_MS)
        ]
        found["heal_last_ms"] = max(heal_ms)
    count = max(1, len(history.living(history.end - 1.0)))
    by_second: dict[int, int] = defaultdict(int)
    for datagram in history.datagrams:
        if datagram.kind != "SchedulerMessage":
            by_second[int((datagram.at - history.start) // 1000.0)] += datagram.length
    ends = int((history.end - history.start) // 1000.0)
    rest = [by_second[second] for second in range(ends - 5, ends)]
    found["rest_bytes_s"] = sum(rest) / 5.0 / count
    uses: dict[tuple[int, int], list[tuple[float, float]]] = defaultdict(list)
    for at, event, *facts in lines(folder / "day.jsonl"):
        if event == "use":
            uses[(facts[0], facts[1])].append((at, facts[2]))
            found["memory_kib"] = max(found.get("memory_kib", 0.0), facts[3])
    core_fractions = [
        1000.0 * (after[1] - before[1]) / (after[0] - before[0])
        for before, after in (samples for samples in uses.values() if len(samples) == 2)
    ]
    found["core_permille"] = 1000.0 * sum(core_fractions) / len(core_fractions) if core_fractions else 0.0
    found["most_bytes_s"] = max(by_second.values(), default=0) / count
    return found


def ms_to_expected_digest(
    history: FleetHistory, expected: ExpectedDigest, number: int, after: float
) -> float:
    """Returns the time (ms) from `after` until the member sent the expected digest; 1e9 if it never did."""
    datagrams = history.by_sender[number]
    for datagram in datagrams[bisect_left(datagrams, after, key=lambda datagram: datagram.at) :]:
        if datagram.digest and datagram.digest == expected.digest(datagram.at):
            return datagram.at - after
    return 1e9

"""What a scale run's samples come to: lateness, figures by role and part of the run, hollow against real.

Free of I/O and clock: samples in, the report's entries out.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import msgspec

from cherrygrade.lab.scale.plan import Bounds
from cherrygrade.lab.scale.rows import Row

BUSY_HOST = 0.7  # of the one core that an event loop has, over a second
WAITED = 0.5  # of how late a loop was, spent ready to run and without a core: then it was the machine

WITHIN = 1.25  # words and bytes of a hollow member over a real one's, either way


class Sample(msgspec.Struct):
    """One second of one host, counters as they stood at its end."""

    at: float
    cpu_s: float
    machinery_s: float
    waited_ms: float
    """Ready to run, and no core was free."""
    late: list[float]
    rss_kib: int
    fds: int
    counts: dict[int, list[int]]
    """By member: datagrams sent, their bytes, got, theirs, stream bytes sent and got, streams, modules' words
    got, their bytes, bytes of asks, leases."""


class HostResult(msgspec.Struct):
    index: int
    base_kib: int
    samples: list[Sample]
    forced: list[Row] = []


LOADED = "under load"
SENT, SENT_BYTES, GOT, GOT_BYTES, STREAM_SENT, STREAM_GOT, STREAMS, WORDS, WORDS_BYTES, ASKED, HELD = range(
    11
)


@dataclass(slots=True)
class Seen:
    """One second of one process, as the system counts it: seconds of a core, KiB, descriptors, bytes
    written."""

    at: float
    cpu_s: float
    rss_kib: int
    fds: int
    disk: int


@dataclass(slots=True)
class Phase:
    when: str
    begun: float
    ended: float
    machine: float = 0.0
    """Of all cores, taken by anybody; 0 to 1."""
    ours: float = 0.0
    """Of all cores, taken by this run."""


@dataclass(frozen=True, slots=True)
class Figure:
    role: str
    what: str
    unit: str
    when: str
    mean: float
    worst_second: float
    spread: tuple[float, float]

    def told(self) -> dict[str, Any]:
        return {
            "role": self.role,
            "what": self.what,
            "unit": self.unit,
            "when": self.when,
            "mean": _short(self.mean),
            "worst_second": _short(self.worst_second),
            "spread": [_short(one) for one in self.spread],
        }


def _short(value: float) -> float:
    return round(value, 1) if abs(value) >= 10.0 else round(value, 3)


def part_of(values: Sequence[float], part: float) -> float:
    """Of sorted values; 0 where there are none."""
    return values[min(len(values) - 1, int(part * len(values)))] if values else 0.0


# Promises.

NEVER = 1e9
TASKS = "tasks"


@dataclass(frozen=True, slots=True)
class Promise:
    """`part`: of the run that it was seen in, "" for all of it. Held where `seen` is at most `bound`."""

    what: str
    part: str
    bound: float
    seen: float
    unit: str

    def told(self) -> dict[str, Any]:
        seen: float | str = round(self.seen, 1) if self.seen < NEVER else "not within the part"
        what = f"{self.part}: {self.what}" if self.part else self.what
        held = self.seen <= self.bound
        return {"what": what, "bound": self.bound, "seen": seen, "unit": self.unit, "held": held}


def judged(promises: Iterable[Promise], late: dict[str, Any]) -> list[Promise]:
    """Those that are verdicts: of parts that were measured, of tasks where the disk was in time too; of the
    whole run, where all that were played are, or where it was held in spite of the rest."""
    parts = late["parts"]
    measured = {when for when, one in parts.items() if one["measured"] is True}
    slow = {when for when, one in parts.items() if one["disk_worst_ms"] > late["bound_disk_ms"]}
    found = []
    for one in promises:
        if one.part:
            counts = one.part in measured and not (one.unit == TASKS and one.part in slow)
        else:
            counts = len(measured) == len(parts) or one.seen <= one.bound
        if counts:
            found.append(one)
    return found


# Lateness.


def lateness(
    hosts: Iterable[HostResult],
    phases: Iterable[Phase],
    bounds: Bounds,
    disk: Sequence[tuple[float, float]] = (),
) -> dict[str, Any]:
    """By part of the run: how late the run's own event loops were, and whether that part counts as measured;
    where not, whether the machine was taken or this run's processes are too full."""
    hosts, told = [*hosts], {}
    for phase in phases:
        late: list[float] = []
        busy = 0.0
        latest = (0.0, 0.0, 0.0)  # the second with the latest turn: how late, waited, part of a core
        for host in hosts:
            inside = [one for one in host.samples if phase.begun < one.at <= phase.ended + 1000.0]
            late += [value for one in inside for value in one.late]
            for before, after in pairwise(inside):
                took = (after.at - before.at) / 1000.0
                share = (after.cpu_s - before.cpu_s) / took if took > 0.0 else 0.0
                busy = max(busy, share)
                if after.late:
                    latest = max(latest, (after.late[-1], after.waited_ms - before.waited_ms, share))
        late.sort()
        p99, worst = part_of(late, 0.99), late[-1] if late else 0.0
        why = ""
        if not late:
            why = "no samples"
        elif p99 > bounds.late_p99_ms or worst > bounds.late_worst_ms:
            most, waited, share = latest
            if waited >= WAITED * most:
                whose = "others" if phase.machine - phase.ours > phase.ours else "this run's own processes"
                cause = f"no core was free for {waited:.0f} ms of that second, taken by {whose}"
            elif share > BUSY_HOST:
                cause = "a host's one core was full"
            else:
                cause = (
                    f"the host ran {share:.2f} of a core and waited {waited:.0f} ms for one in that second"
                )
            why = f"late by {p99:.0f} ms (99 in 100) and {worst:.0f} ms at most: {cause}"
        told[phase.when] = {
            "p99_ms": _short(p99),
            "worst_ms": _short(worst),
            "disk_worst_ms": _short(
                max((ms for at, ms in disk if phase.begun < at <= phase.ended), default=0.0)
            ),
            "machine": round(phase.machine, 3),
            "ours": round(phase.ours, 3),
            "busiest_host": round(busy, 3),
            "measured": why or True,
        }
    return {
        "bound_p99_ms": bounds.late_p99_ms,
        "bound_worst_ms": bounds.late_worst_ms,
        "bound_disk_ms": bounds.late_disk_ms,
        "parts": told,
    }


def measured(late: dict[str, Any]) -> bool | str:
    """Of the whole run."""
    wrong = [
        f"{when}: {one['measured']}" for when, one in late["parts"].items() if one["measured"] is not True
    ]
    return "; ".join(wrong) or True


# Figures.


def members(hosts: Iterable[HostResult], phase: Phase) -> list[Figure]:
    """Of hollow dispatchers, and of those among them that held leases."""
    wanted = {
        "messages sent": ("messages/s", (SENT,)),
        "bytes sent": ("B/s", (SENT_BYTES, STREAM_SENT)),
        "messages received": ("messages/s", (GOT,)),
        "bytes received": ("B/s", (GOT_BYTES, STREAM_GOT)),
    }
    seconds: dict[str, dict[int, list[float]]] = {what: defaultdict(list) for what in wanted}
    each: dict[str, dict[int, list[float]]] = {what: defaultdict(list) for what in wanted}
    cpu: dict[int, list[tuple[float, int]]] = defaultdict(list)
    host_cpu, host_memory, host_fds, streams = [], [], [], list[float]()
    words: dict[str, dict[int, list[float]]] = {"messages received": defaultdict(list)}
    words["bytes received"] = defaultdict(list)
    asked: dict[int, list[float]] = defaultdict(list)
    asked_seconds: dict[int, list[float]] = defaultdict(list)
    for host in hosts:
        inside = [one for one in host.samples if phase.begun - 999.0 < one.at <= phase.ended + 1.0]
        parts, memory = [], []
        for before, after in pairwise(inside):
            took, count = (after.at - before.at) / 1000.0, len(after.counts)
            if took <= 0.0 or not count:
                continue
            second = int(after.at // 1000.0)
            spent = (after.cpu_s - before.cpu_s) - (after.machinery_s - before.machinery_s)
            cpu[second].append((1000.0 * spent / took, count))
            parts.append(1000.0 * spent / took / count)
            memory.append((after.rss_kib - host.base_kib) / count)
            host_fds.append(after.fds / count)
            for number, now in after.counts.items():
                then = before.counts.get(number)
                if then is None:
                    continue
                streams.append(float(now[STREAMS]))
                for what, (_, indexes) in wanted.items():
                    moved = sum(now[at] - then[at] for at in indexes) / took
                    seconds[what][second].append(moved)
                    each[what][number].append(moved)
                words["messages received"][second].append((now[WORDS] - then[WORDS]) / took)
                words["bytes received"][second].append((now[WORDS_BYTES] - then[WORDS_BYTES]) / took)
                if now[HELD]:
                    moved = max(0, now[ASKED] - then[ASKED]) / took
                    asked[number].append(moved)
                    asked_seconds[second].append(moved)
        if parts:
            host_cpu.append(_mean(parts))
            host_memory.append(_mean(memory))
    role, found = "dispatcher control", list[Figure]()
    for what, (unit, _) in wanted.items():
        found += _figure(role, what, unit, phase.when, seconds[what], each[what])
    if cpu:
        by_second = [sum(s for s, _ in some) / sum(n for _, n in some) for some in cpu.values()]
        # A host's samples of one second are one figure each; the mean is over members.
        mean, low, high = _mean(by_second), min(host_cpu), max(host_cpu)
        found.append(
            Figure(role, "cpu", "thousandths of a core", phase.when, mean, max(by_second), (low, high))
        )
        mean, low, high = _mean(host_memory), min(host_memory), max(host_memory)
        found.append(Figure(role, "memory", "KiB", phase.when, mean, high, (low, high)))
        found.append(_plain(role, "connections", "connections", phase.when, streams))
        found.append(_plain(role, "descriptors", "descriptors", phase.when, host_fds))
    if phase.when == LOADED:
        for what, seconds_of in words.items():
            found += _figure("modules' words", what, wanted[what][0], phase.when, seconds_of, seconds_of)
    if asked:
        found += _figure("lease holder", "bytes sent", "B/s", phase.when, asked_seconds, asked)
    return found


def datagrams(hosts: Iterable[HostResult], phase: Phase) -> tuple[float, float, float, float]:
    """Of one hollow member a second: datagrams sent, their bytes, got, theirs; without streams."""
    moved: list[list[float]] = [[], [], [], []]
    for host in hosts:
        inside = [one for one in host.samples if phase.begun <= one.at <= phase.ended]
        if len(inside) < 2:
            continue
        first, last = inside[0], inside[-1]
        took = (last.at - first.at) / 1000.0
        for number, now in last.counts.items():
            then = first.counts.get(number)
            if then is not None:
                for at, what in enumerate((SENT, SENT_BYTES, GOT, GOT_BYTES)):
                    moved[at].append((now[what] - then[what]) / took)
    sent, sent_bytes, got, got_bytes = (_mean(values) for values in moved)
    return sent, sent_bytes, got, got_bytes


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _figure(
    role: str, what: str, unit: str, when: str, seconds: dict[int, list[float]], each: dict[int, list[float]]
) -> list[Figure]:
    """Mean over members and seconds; the second in which the mean over members was highest; the lowest and
    the highest member."""
    if not seconds:
        return []
    means = [_mean(some) for some in seconds.values()]
    own = [_mean(some) for some in each.values()]
    return [Figure(role, what, unit, when, _mean(means), max(means), (min(own), max(own)))]


def _plain(role: str, what: str, unit: str, when: str, values: Sequence[float]) -> Figure:
    if not values:
        return Figure(role, what, unit, when, 0.0, 0.0, (0.0, 0.0))
    return Figure(role, what, unit, when, _mean(values), max(values), (min(values), max(values)))


def processes(role: str, seen: Sequence[Sequence[Seen]], phase: Phase, disk: bool = False) -> list[Figure]:
    """Of real processes in one role, as the system counts them."""
    cpu: dict[int, list[float]] = defaultdict(list)
    each, memory, fds, written = list[float](), list[float](), list[float](), list[float]()
    for one in seen:
        inside = [at for at in one if phase.begun - 999.0 < at.at <= phase.ended + 1.0]
        parts = []
        for before, after in pairwise(inside):
            took = (after.at - before.at) / 1000.0
            if took > 0.0 and after.cpu_s >= before.cpu_s:  # less: another life
                parts.append(1000.0 * (after.cpu_s - before.cpu_s) / took)
                cpu[int(after.at // 1000.0)].append(parts[-1])
                written.append((after.disk - before.disk) / took)
        if parts:
            each.append(_mean(parts))
            memory.append(inside[-1].rss_kib)
            fds.append(float(inside[-1].fds))
    if not each:
        return []
    means = [_mean(some) for some in cpu.values()]
    when = phase.when
    found = [
        Figure(role, "cpu", "thousandths of a core", when, _mean(each), max(means), (min(each), max(each))),
        _plain(role, "memory", "KiB", when, memory),
        _plain(role, "descriptors", "descriptors", when, fds),
    ]
    if disk:
        found.append(_plain(role, "disk bytes", "B/s", when, written))
    return found


# Hollow against real.


@dataclass(slots=True)
class Part:
    """Of members in one role over the same span: each a second."""

    sent: float
    sent_bytes: float
    got: float
    got_bytes: float
    cpu: float
    memory_kib: float


def against(hollow: Part, real: Part, bare_cpu: float, bare_kib: float) -> list[dict[str, Any]]:
    """What a hollow member comes to over a real one. Words and bytes within WITHIN; of processor time and
    memory a real process has more than the fleet in it, so the bare one's are taken off, and the factor is
    told."""
    rows = [
        ("messages sent", hollow.sent, real.sent, True),
        ("bytes sent", hollow.sent_bytes, real.sent_bytes, True),
        ("messages received", hollow.got, real.got, True),
        ("bytes received", hollow.got_bytes, real.got_bytes, True),
        ("cpu", hollow.cpu, real.cpu - bare_cpu, False),
        ("memory", hollow.memory_kib, real.memory_kib - bare_kib, False),
    ]
    found = []
    for what, one, other, bound in rows:
        factor = one / other if other > 0.0 else 0.0
        told: dict[str, Any] = {"what": what, "hollow": _short(one), "real": _short(other)}
        told["factor"] = round(factor, 3)
        if bound:
            told |= {"within": WITHIN, "held": 1.0 / WITHIN <= factor <= WITHIN}
        found.append(told)
    return found

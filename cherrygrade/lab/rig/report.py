"""Report of a scenario run: verdicts by rule, service by workload and by second, and evidence of breaches."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from cherrygrade.lab.audits.audit import RULES, Evidence, Verdict

MS_PER_SECOND = 1000.0


@dataclass(slots=True)
class Service:
    """Results of one workload; report.json writes the fields under their names.

    The value of an operation is the priority weight of its workload times the price of its service
    plan. It counts once per operation, whatever the client retried. An answer after the latency objective
    earns the workload's late part of it.

    Attributes:
        workload: Name of the workload.
        operations: Number of operations.
        in_time: Operations answered within the latency objective.
        late: Operations answered after it.
        rejected: Operations that ended with a rejection.
        errored: Operations that ended with an error.
        due: Value of all operations.
        got: Value earned.
        p50_ms: Median duration of the answered operations.
        p99_ms: 99th percentile of it.
        seconds: Value due and earned, by second of the run.
    """

    workload: str
    operations: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    errored: int = 0
    due: float = 0.0
    got: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    seconds: dict[int, list[float]] = field(default_factory=dict)


def service(evidence: Evidence) -> list[Service]:
    """Returns the results of each workload, in the order of their names."""
    found: dict[str, Service] = {}
    durations_us: dict[str, HdrHistogram] = defaultdict(lambda: HdrHistogram(1, 60_000_000, 3))
    for op, facts in evidence.ops.items():
        work = evidence.workload(facts[1])
        volume = evidence.site.trade.volumes[facts[2]]
        one = found.setdefault(facts[1], Service(facts[1]))
        value = work.priority_weight * volume.plan.price
        kind, took_ms = evidence.done.get(op, ("errored", 0.0))
        one.operations += 1
        one.due += value
        got = 0.0
        if kind == "ok":
            durations_us[facts[1]].record_value(max(1, int(took_ms * 1000.0)))
            one.in_time += took_ms <= work.latency_objective_ms
            one.late += took_ms > work.latency_objective_ms
            got = value if took_ms <= work.latency_objective_ms else value * work.late_utility
        else:
            one.rejected += kind == "rejected"
            one.errored += kind == "errored"
        one.got += got
        second = one.seconds.setdefault(
            int((evidence.started_ms[op] - evidence.start) / MS_PER_SECOND), [0.0, 0.0]
        )
        second[0] += value
        second[1] += got
    for name, one in found.items():
        if durations_us[name].total_count:
            one.p50_ms = durations_us[name].get_value_at_percentile(50.0) / 1000.0
            one.p99_ms = durations_us[name].get_value_at_percentile(99.0) / 1000.0
    return [found[name] for name in sorted(found)]


def total(services: list[Service]) -> float:
    """Returns the part of the value due that was earned, over all workloads, from 0 to 1."""
    return sum(one.got for one in services) / max(1e-9, sum(one.due for one in services))


def spark(services: list[Service]) -> str:
    """Returns a bar chart in text of the service by second, one character each."""
    by_second: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for one in services:
        for second, (due, got) in one.seconds.items():
            by_second[second][0] += due
            by_second[second][1] += got
    bars = "▁▂▃▄▅▆▇█"
    return "".join(
        bars[min(7, int(8 * by_second[s][1] / max(1e-9, by_second[s][0])))] for s in sorted(by_second)
    )


def write(evidence: Evidence, verdicts: list[Verdict], folder: Path) -> None:
    """Writes report.json beside the records, with the same figures that `lab audit` prints."""
    services = service(evidence)
    report = {
        "scenario": evidence.scenario.name,
        "seed": evidence.scenario.seed,
        "rules": {RULES[one.rule]: one for one in verdicts},
        "service": total(services),
        "workloads": services,
    }
    (folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))


def show(evidence: Evidence, verdicts: list[Verdict], console: Console) -> None:
    """Prints the verdicts, the service by workload and second, and the evidence of breaches."""
    services = service(evidence)
    table = Table(title=f"{evidence.scenario.name}, seed {evidence.scenario.seed}", title_justify="left")
    for name in ("rule", "judged", "broken", "excused", ""):
        table.add_column(name, justify="left" if name in ("rule", "") else "right")
    for one in verdicts:
        result = "[red]BROKEN" if one.broken else ("[green]held" if one.judged else "[dim]no demand")
        table.add_row(RULES[one.rule], str(one.judged), str(one.broken), str(one.excused), result)
    console.print(table)
    work = Table()
    for name in (
        "workload",
        "operations",
        "in time",
        "late",
        "rejected",
        "errored",
        "p50 ms",
        "p99 ms",
        "service",
    ):
        work.add_column(name, justify="left" if name == "workload" else "right")
    for each in services:
        work.add_row(
            each.workload,
            str(each.operations),
            str(each.in_time),
            str(each.late),
            str(each.rejected),
            str(each.errored),
            f"{each.p50_ms:.1f}",
            f"{each.p99_ms:.1f}",
            f"{each.got / max(1e-9, each.due):.3f}",
        )
    console.print(work)
    console.print(f"service {total(services):.3f} of value due; by second {spark(services)}")
    for one in verdicts:
        for text in one.evidence:
            console.print(f"[red]{RULES[one.rule]}:[/] {text}", highlight=False)

"""What a day came to: a table of rules, service by workload, and where the losses were."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from cherrygrade.lab.audits.audit import RULES, Evidence, Verdict

SECOND = 1000.0


@dataclass(slots=True)
class Service:
    """One workload's day. Value counts each operation's first try once; late answers earn the late part."""

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
    """Value due and got by second of the day."""


def service(evidence: Evidence) -> list[Service]:
    found: dict[str, Service] = {}
    times: dict[str, HdrHistogram] = defaultdict(lambda: HdrHistogram(1, 60_000_000, 3))
    for op, facts in evidence.ops.items():
        work = evidence.workload(facts[1])
        volume = evidence.site.trade.volumes[facts[2]]
        one = found.setdefault(facts[1], Service(facts[1]))
        worth = work.priority_weight * volume.plan.price
        kind, took = evidence.done.get(op, ("errored", 0.0))
        one.operations += 1
        one.due += worth
        got = 0.0
        if kind == "ok":
            times[facts[1]].record_value(max(1, int(took * 1000.0)))
            one.in_time += took <= work.latency_objective_ms
            one.late += took > work.latency_objective_ms
            got = worth if took <= work.latency_objective_ms else worth * work.late_utility
        else:
            one.rejected += kind == "rejected"
            one.errored += kind == "errored"
        one.got += got
        second = one.seconds.setdefault(int((evidence.started_ms[op] - evidence.start) / SECOND), [0.0, 0.0])
        second[0] += worth
        second[1] += got
    for name, one in found.items():
        if times[name].total_count:
            one.p50_ms = times[name].get_value_at_percentile(50.0) / 1000.0
            one.p99_ms = times[name].get_value_at_percentile(99.0) / 1000.0
    return [found[name] for name in sorted(found)]


def total(services: list[Service]) -> float:
    """Value answered within the soft deadline (late answers at their part) over value due."""
    return sum(one.got for one in services) / max(1e-9, sum(one.due for one in services))


def spark(services: list[Service]) -> str:
    """Service by second, a mark each."""
    due: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for one in services:
        for second, (wanted, got) in one.seconds.items():
            due[second][0] += wanted
            due[second][1] += got
    marks = "▁▂▃▄▅▆▇█"
    return "".join(marks[min(7, int(8 * due[s][1] / max(1e-9, due[s][0])))] for s in sorted(due))


def write(evidence: Evidence, verdicts: list[Verdict], folder: Path) -> None:
    """report.json beside the records: what `lab audit` prints, for programs."""
    services = service(evidence)
    told = {
        "scenario": evidence.scenario.name,
        "seed": evidence.scenario.seed,
        "rules": {RULES[one.rule]: one for one in verdicts},
        "service": total(services),
        "workloads": services,
    }
    (folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(told), indent=1))


def show(evidence: Evidence, verdicts: list[Verdict], console: Console) -> None:
    services = service(evidence)
    table = Table(title=f"{evidence.scenario.name}, seed {evidence.scenario.seed}", title_justify="left")
    for name in ("rule", "judged", "broken", "excused", ""):
        table.add_column(name, justify="left" if name in ("rule", "") else "right")
    for one in verdicts:
        mark = "[red]BROKEN" if one.broken else ("[green]held" if one.judged else "[dim]no demand")
        table.add_row(RULES[one.rule], str(one.judged), str(one.broken), str(one.excused), mark)
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

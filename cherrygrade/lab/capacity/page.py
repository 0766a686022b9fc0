"""The tables of docs/CAPACITY.md, from reports and targets; the sentences around them stay as written."""

from __future__ import annotations

import re
import sys
from dataclasses import dataclass, field
from pathlib import Path

from jinja2 import Environment, StrictUndefined

from cherrygrade.errors import OperatorError
from cherrygrade.lab.capacity.errors import PageWrong
from cherrygrade.lab.capacity.reports import Figure, Promise, Report, Row, Target, read_reports, read_target
from cherrygrade.lab.capacity.slopes import ENOUGH, LEAST, Point, Seen, Slope, at, fit, pooled, reaches

WITHIN, OVER, NOTHING, NOT_RUN, NO_BUDGET = "within", "**over**", "**nothing carries it**", "not run", "-"
MARKED = re.compile(r"(<!-- drawn: ([a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)


@dataclass(slots=True)
class Line:
    """One row with what the runs gave: figures of one series of reports, along one size."""

    row: Row
    slope: Slope | None = None
    points: list[Point] = field(default_factory=list)
    group: tuple[tuple[str, float], ...] = ()
    reports: list[str] = field(default_factory=list)

    def target(self, times: float = 1.0) -> Seen | None:
        """None where nothing was run, or too few sizes to say anything of this one."""
        size = self.row.at * times
        same = [point for point in self.points if point.size == size]
        if same:
            return Seen(same[0].mean, 1.0)
        if self.slope is None or (size > self.points[-1].size and len(self.points) < LEAST):
            return None
        return at(self.slope, size)

    def verdict(self, seen: Seen | None) -> str:
        if self.row.carried:
            return NOTHING
        if seen is None:
            return NOT_RUN
        if self.row.budget is None:
            return NO_BUDGET
        return WITHIN if seen.figure <= self.row.budget else OVER


def drawn_from(row: Row, reports: list[Report], when: str = "", worst: bool = False) -> Line:
    """The series that this row is drawn from: of all that keep `group` the same, the one with most sizes,
    then that of the largest others."""
    series: dict[tuple[tuple[str, float], ...], tuple[list[Point], list[str]]] = {}
    for report in reports:
        for figure in report.figures:
            if not report.counts(figure.when) or not _of(row, figure, when or row.when):
                continue
            if worst and figure.worst_second is None:
                continue
            sizes = {**report.size, **figure.size}
            factor = report.factor(row.what) if row.as_real else 1.0
            if row.over not in sizes or factor is None:
                continue
            key = tuple((name, sizes[name]) for name in row.group if name in sizes)
            points, names = series.setdefault(key, ([], []))
            points.append(_point(figure, sizes[row.over], worst, factor))
            if report.name not in names:
                names.append(report.name)
    if not series:
        return Line(row)
    best = max(series, key=lambda key: (len({p.size for p in series[key][0]}), [value for _, value in key]))
    points, names = series[best]
    found = pooled(points)
    return Line(row, fit(found, spread_known=not worst) if len(found) > 1 else None, found, best, names)


def _of(row: Row, figure: Figure, when: str) -> bool:
    return (figure.role, figure.what, figure.unit, figure.when) == (row.role, row.what, row.unit, when)


def _point(figure: Figure, size: float, worst: bool, factor: float) -> Point:
    if worst and figure.worst_second is not None:
        value = figure.worst_second / factor
        return Point(size, value, value, value)
    low, high = figure.range
    return Point(size, figure.mean / factor, min(low, figure.mean) / factor, max(high, figure.mean) / factor)


def number(value: object) -> str:
    """Three figures, with commas; whole where it is large. What is no number is told as it is."""
    if value is None:
        return "-"
    if not isinstance(value, int | float) or isinstance(value, bool):
        return str(value)
    if abs(value) < 1e-6:
        return "0"
    if abs(value) >= 100.0:
        return f"{value:,.0f}"
    digits = 2 if abs(value) < 1.0 else 1
    if abs(value) < 0.01:
        return f"{value:.2g}"
    return f"{value:.{digits}f}".rstrip("0").rstrip(".")


def counted(report: Report) -> str:
    """Whether a report's figures count; where not all do, why."""
    if report.measured is True:
        return "yes"
    return f"{'in part' if report.any_counts else '**no**'}: {report.measured}"


def told(seen: Seen | None, sizes: int = ENOUGH) -> str:
    """A figure; where it lies beyond what was run, by how much, and whether that was few sizes."""
    if seen is None:
        return NOT_RUN
    if not seen.extrapolated:
        return number(seen.figure)
    few = f" {sizes} sizes" if sizes < ENOUGH else ""
    return f"{number(seen.figure)} (x{seen.beyond:.2g} beyond{few})"


def told_at(line: Line, times: float = 1.0) -> str:
    return told(line.target(times), len(line.points))


def cell(line: Line) -> str:
    """Figure and verdict at target; where that was not run, what the largest size gave and its verdict."""
    seen = line.target()
    if seen is not None:
        return f"{told_at(line)} {line.verdict(seen)}".removesuffix(f" {NO_BUDGET}")
    if not line.points:
        return NOT_RUN
    last = line.points[-1]
    verdict = line.verdict(Seen(last.mean, 1.0))
    return f"{NOT_RUN}; at {number(last.size)} {number(last.mean)} {verdict}".removesuffix(f" {NO_BUDGET}")


def named(row: Row) -> str:
    """The quantity and its unit, where that says more."""
    return row.what if row.unit in ("", row.what) else f"{row.what}, {row.unit}"


def sloped(line: Line) -> str:
    slope = line.slope
    if slope is None:
        return NOT_RUN if not line.points else f"one size: {number(line.points[0].mean)}"
    few = "" if len(slope.points) >= ENOUGH else f", **{len(slope.points)} sizes only**"
    bend = f"; **bends**: {number(slope.first)}, then {number(slope.last)}" if slope.bends else ""
    off = f"off the line {number(slope.residual)}"
    sign = "-" if slope.per < 0.0 else "+"
    return f"{number(slope.base)} {sign} {number(abs(slope.per))} each ({off}{few}){bend}"


def spans(line: Line) -> str:
    """Sizes run, and the spread at the largest."""
    if not line.points:
        return "-"
    sizes = ", ".join(number(point.size) for point in line.points)
    last = line.points[-1]
    held = ", ".join(f"{name} {number(value)}" for name, value in line.group)
    spread = f"; {number(last.low)} to {number(last.high)} at {number(last.size)}"
    return sizes + (f" ({held})" if held else "") + (spread if last.high > last.low else "")


TEMPLATES = {
    "goals": """\
| theirs | ours | shown by |
| --- | --- | --- |
{% for goal in target.goals -%}
| {{ goal.theirs }} | {{ goal.ours }} | {{ goal.by }} |
{% endfor %}""",
    "runs": """\
| report | command | commit | size | counts | its own machinery late |
| --- | --- | --- | --- | --- | --- |
{% for one in reports -%}
| `{{ one.name }}` | `{{ one.command }}` | {{ one.commit[:9] }} | {{ pairs(one.size) }} | \
{{ counted(one) }} | {{ pairs(one.late) or "-" }} |
{% endfor %}""",
    "roles": """\
{% for role in target.roles %}{% if lines[role] -%}
**{{ role }}**

| what | over | slope as measured | sizes | at target | budget | verdict | mechanism | run |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
{% for line in lines[role] -%}
| {{ named(line.row) }}{{ " (" ~ line.row.note ~ ")" if line.row.note }} \
| {{ line.row.over }} | {{ sloped(line) }} | {{ spans(line) }} \
| {{ told_at(line) }} at {{ number(line.row.at) }} \
| {{ number(line.row.budget) ~ " (" ~ line.row.budget_by ~ ")" if line.row.budget is not none else "none" }} \
| {{ line.verdict(line.target()) }}{{ ": " ~ line.row.carried if line.row.carried }} \
| `{{ line.row.mechanism }}` | {{ line.reports | map("replace", ".json", "") | join(", ") or "-" }} |
{% endfor %}
{% endif %}{% endfor %}""",
    "faults": """\
| role | what, worst second | budget |{% for when in target.faults %} {{ when }} |{% endfor %}
| --- | --- | --- |{% for when in target.faults %} --- |{% endfor %}
{% for row, cells in faults -%}
| {{ row.role }} | {{ named(row) }} | {{ number(row.budget) }} |\
{% for cell in cells %} {{ cell }} |{% endfor %}
{% endfor %}""",
    "promises": """\
| promise | bound | seen, by report | held |
| --- | --- | --- | --- |
{% for one in promises -%}
| {{ one.what }} | {{ one.bound }} | {{ one.seen }} | {{ one.held }} |
{% endfor %}""",
    "first": """\
| role | what | when | passes its budget at | target | run |
| --- | --- | --- | --- | --- | --- |
{% for one in first -%}
| {{ one.role }} | {{ one.what }} | {{ one.when }} | {{ one.reach }} {{ one.over }} | {{ one.at }} \
| {{ one.reports }} |
{% endfor %}""",
    "twice": """\
| role | what | at target | at twice the target | budget | verdict |
| --- | --- | --- | --- | --- | --- |
{% for line in budgeted -%}
| {{ line.row.role }} | {{ named(line.row) }}, over {{ line.row.over }} \
| {{ told_at(line) }} | {{ told_at(line, 2.0) }} | {{ number(line.row.budget) }} \
| {{ line.verdict(line.target(2.0)) }} |
{% endfor %}""",
}


def tables(target: Target, reports: list[Report]) -> dict[str, str]:
    """Each drawn table by its name."""
    lines = {
        role: [drawn_from(row, reports) for row in target.rows if row.role == role] for role in target.roles
    }
    faults = []
    first: list[tuple[float, dict[str, str]]] = []
    for row in target.rows:
        cells = []
        for when in target.faults if row.faults else []:
            line = drawn_from(row, reports, when, worst=True)
            cells.append(cell(line))
            _reach(line, when, first)
        if cells:
            faults.append((row, cells))
        _reach(drawn_from(row, reports), row.when, first)
    values = {
        "target": target,
        "reports": reports,
        "lines": lines,
        "faults": faults,
        "promises": promises(reports),
        "first": [one for _, one in sorted(first, key=lambda pair: pair[0])],
        "budgeted": [
            line for some in lines.values() for line in some if line.row.budget is not None and line.points
        ],
        "number": number,
        "told_at": told_at,
        "named": named,
        "sloped": sloped,
        "spans": spans,
        "counted": counted,
        "pairs": lambda pairs: ", ".join(f"{name} {number(value)}" for name, value in pairs.items()),
    }
    made = Environment(undefined=StrictUndefined, keep_trailing_newline=True, autoescape=False)
    found = {name: made.from_string(text).render(values) for name, text in TEMPLATES.items()}
    return {name: text.rstrip("\n") + "\n" for name, text in found.items()}


def promises(reports: list[Report]) -> list[dict[str, str]]:
    """A row a promise, over all reports. What is to be none at all in each part of a run is one promise, and
    its worst part is shown."""
    found: dict[tuple[str, str], dict[str, list[Promise]]] = {}
    for report in reports:
        for one in report.promises if report.any_counts else []:
            what = one.what if one.bound else one.what.rpartition(": ")[2]
            bound = f"{number(one.bound)} {one.unit}".strip()
            found.setdefault((what, bound), {}).setdefault(report.name, []).append(one)
    rows = []
    for (what, bound), by_report in found.items():
        seen, broken = [], []
        for name, some in by_report.items():
            worst = max(some, key=lambda one: (one.held is False, _value(one.seen)))
            seen.append(f"{name.removesuffix('.json')}: {number(worst.seen)}")
            broken += [name.removesuffix(".json")] * (worst.held is False)
        held = "yes" if not broken else "**no**" if len(by_report) == 1 else f"**no**: {', '.join(broken)}"
        rows.append({"what": what, "bound": bound, "seen": ", ".join(seen), "held": held})
    return rows


def _value(seen: object) -> float:
    return float(seen) if isinstance(seen, int | float) else float("inf")


def _reach(line: Line, when: str, first: list[tuple[float, dict[str, str]]]) -> None:
    """Where the line passes its budget, if it does so below twice the target."""
    if line.slope is None or line.row.budget is None:
        return
    size = reaches(line.slope, line.row.budget)
    if size > 2.0 * line.row.at or (size > line.points[-1].size and len(line.points) < LEAST):
        return
    beyond = size / line.slope.points[-1].size
    under = " or fewer" if line.slope.points[0].mean > line.row.budget else ""
    first.append(
        (
            size / line.row.at,
            {
                "role": line.row.role,
                "what": named(line.row),
                "when": when,
                "reach": number(size) + under + (f" (x{beyond:.2g} beyond)" if beyond > 1.0 else ""),
                "over": line.row.over,
                "at": number(line.row.at),
                "reports": ", ".join(name.removesuffix(".json") for name in line.reports),
            },
        )
    )


def redraw(page: str, drawn: dict[str, str]) -> str:
    """The page with its tables drawn anew; PageWrong where a table has no place, two, or an unknown name."""
    names = [match[2] for match in MARKED.finditer(page)]
    if sorted(names) != sorted(drawn):
        raise PageWrong(f"the page has places for {sorted(names)}, the tables are {sorted(drawn)}")
    return MARKED.sub(lambda match: match[1] + drawn[match[2]] + match[3], page)


def main(root: Path, check: bool = False) -> int:
    """Redraw docs/CAPACITY.md, or only say whether it is as the reports have it. 1 where it is not, 2 where
    something cannot be read."""
    folder, file = root / "docs" / "capacity", root / "docs" / "CAPACITY.md"
    try:
        target = read_target(folder)
        page = file.read_text()
        new = redraw(page, tables(target, read_reports(folder, target)))
    except OperatorError as trouble:
        print(trouble, file=sys.stderr)
        return 2
    if check:
        print("as the reports have it" if new == page else "the page and its reports differ: script/capacity")
        return int(new != page)
    file.write_text(new)
    print(f"{file.relative_to(root)}: {'as it was' if new == page else 'redrawn'}")
    return 0

"""Reports of runs, and the record of targets that they are held against: read and checked whole."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from cherrygrade.lab.capacity.errors import ReportWrong, TargetWrong

TARGET = "target.json"


class Figure(msgspec.Struct, frozen=True):
    """One role's figure in one phase. `size`: where it differs from its report's, the keys that do.
    `spread`: least and most, over repeats or over members; one number: how far either way, usually."""

    role: str
    what: str
    unit: str
    when: str
    mean: float
    worst_second: float | None = None
    spread: tuple[float, float] | float | None = None
    size: dict[str, float] = {}

    @property
    def range(self) -> tuple[float, float]:
        if isinstance(self.spread, tuple):
            return self.spread
        apart = self.spread or 0.0
        return self.mean - apart, self.mean + apart


class Promise(msgspec.Struct, frozen=True):
    what: str
    bound: Any
    seen: Any
    held: bool | None
    unit: str = ""


class Report(msgspec.Struct, frozen=True):
    """`measured`: true, or why not all of it counts. Where `lateness` tells each part of the run by itself,
    parts that were measured count; else nothing of it does."""

    command: str
    commit: str
    seed: int | str
    size: dict[str, float]
    measured: bool | str
    figures: list[Figure]
    machine: dict[str, Any] = {}
    lateness: dict[str, Any] = {}
    promises: list[Promise] = []
    hollow_against_real: Any = None
    """Of a scale run: what a hollow member comes to over a real one, by quantity."""
    name: str = ""

    def counts(self, when: str) -> bool:
        """Whether figures of this part of the run do."""
        if self.measured is True:
            return True
        part = self._parts.get(when)
        return isinstance(part, dict) and part.get("measured") is True

    def factor(self, what: str) -> float | None:
        """Hollow over real; None where the run does not tell it."""
        told = self.hollow_against_real
        rows = told.get("rows", []) if isinstance(told, dict) else []
        found = next((one.get("factor") for one in rows if one.get("what") == what), None)
        return float(found) if isinstance(found, int | float) and found > 0.0 else None

    @property
    def _parts(self) -> dict[str, Any]:
        parts = self.lateness.get("parts", {})
        return parts if isinstance(parts, dict) else {}

    @property
    def any_counts(self) -> bool:
        return self.measured is True or any(self.counts(when) for when in self._parts)

    @property
    def late(self) -> dict[str, Any]:
        """Its own machinery's lateness, the worst of all parts where they are told one by one."""
        told = [part for part in self._parts.values() if isinstance(part, dict)] or [self.lateness]
        found: dict[str, Any] = {}
        for part in told:
            for name, value in part.items():
                if "ms" in name and isinstance(value, int | float):
                    found[name] = max(value, found.get(name, value))
        return found


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity of one role as the page has it.

    `over`: the size that it grows with; `at`: that size at target. `group`: other sizes that have to be the
    same along a line. `budget` null: the target sets none. `carried`: why nothing carries it, else "".
    `faults`: whether the worst second of each fault is shown. `as_real`: the figure is of hollow members, and
    is divided by what its run found a hollow one to be of a real one; without that it does not count.
    """

    role: str
    what: str
    unit: str
    over: str
    at: float
    mechanism: str
    budget: float | None = None
    budget_by: str = ""
    group: list[str] = []
    when: str = "rest"
    carried: str = ""
    faults: bool = False
    as_real: bool = False
    note: str = ""


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A line of the target: theirs, ours, what of it is shown by which row or promise."""

    theirs: str
    ours: str
    by: str


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`also`: what reports of other benchmarks call a role or a quantity; what stands in brackets or behind
    a semicolon there is passed over."""

    roles: list[str]
    quantities: list[str]
    faults: list[str]
    goals: list[Goal]
    rows: list[Row]
    also: dict[str, str] = {}

    def named(self, told: str) -> str:
        return self.also.get(re.split(r";| \(", told)[0], told)


def read_target(folder: Path) -> Target:
    """TargetWrong where it cannot be read, or a row names what is not listed."""
    file = folder / TARGET
    try:
        target = msgspec.json.decode(file.read_bytes(), type=Target)
    except OSError as trouble:
        raise TargetWrong(f"{file.name}: {trouble.strerror}") from None
    except msgspec.MsgspecError as trouble:
        raise TargetWrong(f"{file.name}: {trouble}") from None
    for number, row in enumerate(target.rows):
        place = f"{file.name}: rows[{number}]"
        if row.role not in target.roles:
            raise TargetWrong(f"{place}: role '{row.role}' is not one of {', '.join(target.roles)}")
        if row.what not in target.quantities:
            raise TargetWrong(f"{place}: '{row.what}' is not one of {', '.join(target.quantities)}")
        if (row.budget is None) != (not row.budget_by):
            raise TargetWrong(f"{place}: a budget and who set it go together")
        if not row.mechanism:
            raise TargetWrong(f"{place}: the mechanism's file is lacking")
    return target


def read_report(name: str, data: bytes, target: Target) -> Report:
    """ReportWrong where it cannot be read, or a figure has no command, commit, known role or quantity."""
    try:
        report = msgspec.json.decode(data, type=Report)
    except msgspec.MsgspecError as trouble:
        raise ReportWrong(f"{name}: {trouble}") from None
    if not report.command.strip():
        raise ReportWrong(f"{name}: no command: nobody can say which run gave its figures")
    if not report.commit.strip():
        raise ReportWrong(f"{name}: no commit: nobody can say which code gave its figures")
    if report.measured is False:
        raise ReportWrong(f"{name}: `measured` is false and does not say why")
    figures = []
    for number, told in enumerate(report.figures):
        role, what = target.named(told.role), target.named(told.what)
        figure = msgspec.structs.replace(told, role=role, what=what)
        figures.append(figure)
        place = f"{name}: figures[{number}]"
        if figure.role not in target.roles:
            raise ReportWrong(f"{place}: role '{figure.role}' is not one of {', '.join(target.roles)}")
        if figure.what not in target.quantities:
            raise ReportWrong(f"{place}: '{figure.what}' is not one of {', '.join(target.quantities)}")
        if figure.range[0] > figure.range[1]:
            raise ReportWrong(f"{place}: spread {figure.spread} is the wrong way round")
    return msgspec.structs.replace(report, name=name, figures=figures)


def read_reports(folder: Path, target: Target) -> list[Report]:
    """All reports of the folder, by name."""
    files: Iterable[Path] = sorted(file for file in folder.glob("*.json") if file.name != TARGET)
    return [read_report(file.name, file.read_bytes(), target) for file in files]

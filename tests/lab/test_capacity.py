"""The page of capacity: lines through what was measured, and the page held to its reports."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cherrygrade.lab.capacity.errors import PageWrong, ReportWrong, TargetWrong, TooFew
from cherrygrade.lab.capacity.page import drawn_from, main, number, redraw, tables, told
from cherrygrade.lab.capacity.reports import Report, Row, Target, read_report, read_reports, read_target
from cherrygrade.lab.capacity.slopes import Point, Seen, at, fit, pooled, reaches

ROOT = Path(__file__).resolve().parents[2]
FOLDER = ROOT / "docs" / "capacity"


def points(*pairs: tuple[float, float], spread: float = 0.0) -> list[Point]:
    return [Point(size, mean, mean - spread, mean + spread) for size, mean in pairs]


# Slopes.


def test_a_straight_line_is_found() -> None:
    slope = fit(points((10, 25), (20, 45), (40, 85), (80, 165)))
    assert slope.per == pytest.approx(2.0) and slope.base == pytest.approx(5.0)
    assert slope.residual == pytest.approx(0.0, abs=1e-9) and not slope.bends


def test_the_least_squares_line_leaves_what_does_not_fit_as_residual() -> None:
    slope = fit(points((0, 0), (1, 2), (2, 2), (3, 4)))
    assert slope.per == pytest.approx(1.2) and slope.base == pytest.approx(0.2)
    assert slope.residual == pytest.approx(0.2**0.5)


def test_a_line_wants_two_sizes() -> None:
    with pytest.raises(TooFew):
        fit(points((10, 1), (10, 2)))


def test_it_bends_where_the_last_interval_is_steeper_than_the_spread_allows() -> None:
    grows = [(10.0, 10.0), (20.0, 20.0), (40.0, 60.0), (80.0, 180.0)]
    assert fit(points(*grows)).bends
    assert (fit(points(*grows)).first, fit(points(*grows)).last) == (1.0, 3.0)
    assert not fit(points(*grows, spread=8.1)).bends
    assert fit(points(*grows, spread=7.9)).bends


def test_two_points_bend_nowhere() -> None:
    assert not fit(points((10, 1), (20, 5))).bends


def test_sizes_that_were_run_twice_are_pooled() -> None:
    one = pooled([Point(5, 2, 1, 3), Point(5, 4, 3.5, 6), Point(1, 1, 1, 1)])
    assert one == [Point(1, 1, 1, 1), Point(5, 3, 1, 6)]


def test_a_size_that_was_run_is_told_as_seen() -> None:
    slope = fit(points((0, 0), (1, 2), (2, 2), (3, 4)))
    assert at(slope, 2.0) == Seen(2.0, 1.0)


def test_between_two_sizes_the_nearest_count() -> None:
    slope = fit(points((10, 10), (20, 30), (40, 30)))
    assert at(slope, 15.0) == Seen(20.0, 1.0)
    assert at(slope, 30.0) == Seen(30.0, 1.0)


def test_beyond_the_largest_size_it_is_extrapolated_and_says_by_how_much() -> None:
    slope = fit(points((10, 25), (20, 45), (40, 85)))
    seen = at(slope, 100.0)
    assert seen.figure == pytest.approx(205.0) and seen.beyond == 2.5 and seen.extrapolated


@pytest.mark.parametrize(("last", "beyond"), [(60.0, 140.0), (24.0, 32.0)])
def test_beyond_a_bend_the_last_interval_s_slope_holds(last: float, beyond: float) -> None:
    slope = fit(points((10, 10), (20, 20), (40, last)))
    assert slope.bends and at(slope, 80.0).figure == pytest.approx(beyond)
    assert reaches(slope, beyond) == pytest.approx(80.0)


def test_what_falls_is_taken_for_even() -> None:
    assert at(fit(points((10, 30), (20, 29), (40, 20))), 400.0) == Seen(20.0, 10.0)
    assert at(fit(points((10, 30), (20, 30), (40, 20))), 400.0).figure == 20.0


def test_without_a_known_spread_nothing_is_said_to_bend() -> None:
    grows = points((10, 10), (20, 20), (40, 60), (80, 180))
    assert fit(grows).bends and not fit(grows, spread_known=False).bends
    line = fit(grows, spread_known=False)
    assert at(line, 160.0).figure == pytest.approx(line.base + line.per * 160.0)


def test_where_a_budget_is_passed() -> None:
    slope = fit(points((10, 20), (20, 40), (40, 80)))
    assert reaches(slope, 60.0) == pytest.approx(30.0)
    assert reaches(slope, 200.0) == pytest.approx(100.0)
    assert reaches(slope, 15.0) == 10.0
    assert reaches(fit(points((10, 20), (20, 20), (40, 20))), 30.0) == float("inf")


# Reports.

TARGET = Target(
    roles=["dispatcher control", "register"],
    quantities=["bytes sent", "cpu"],
    faults=["one dead", "half cut"],
    goals=[],
    rows=[
        Row(
            role="dispatcher control",
            what="bytes sent",
            unit="B/s",
            over="dispatchers",
            at=580,
            mechanism="fleet/members/probing.py",
            budget=3000,
            budget_by="target",
            group=["nodes"],
            faults=True,
        ),
        Row(role="register", what="cpu", unit="us", over="nodes", at=1200, mechanism="standin/register.py"),
    ],
)


def figure(mean: float, when: str = "rest", worst: float | None = None, **size: float) -> dict[str, Any]:
    return {
        "role": "dispatcher control",
        "what": "bytes sent",
        "unit": "B/s",
        "when": when,
        "mean": mean,
        "worst_second": worst,
        "spread": [mean - 10.0, mean + 10.0],
        "size": size,
    }


def report(*figures: dict[str, Any], **changed: Any) -> dict[str, Any]:
    told: dict[str, Any] = {
        "command": "cherrygrade lab scale --seed 1",
        "commit": "abc",
        "seed": 1,
        "size": {"dispatchers": 40, "nodes": 12},
        "machine": {"cores": 8},
        "measured": True,
        "lateness": {"p99 ms": 3.0},
        "figures": [*figures],
        "promises": [],
    }
    return told | changed


def read(told: dict[str, Any], name: str = "one.json") -> Report:
    return read_report(name, json.dumps(told).encode(), TARGET)


def sizes(*pairs: tuple[float, float], **more: Any) -> list[Report]:
    return [
        read(report(figure(mean, **more), size={"dispatchers": size, "nodes": 12}), f"scale-{size:.0f}.json")
        for size, mean in pairs
    ]


@pytest.mark.parametrize(
    ("changed", "says"),
    [
        ({"command": " "}, "no command"),
        ({"commit": ""}, "no commit"),
        ({"measured": False}, "does not say why"),
        ({"figures": [figure(1.0) | {"role": "proxy"}]}, "role 'proxy'"),
        ({"figures": [figure(1.0) | {"what": "luck"}]}, "'luck'"),
        ({"figures": [figure(1.0) | {"mean": "some"}]}, "float"),
        ({"figures": [figure(1.0) | {"spread": [2.0, 1.0]}]}, "wrong way round"),
    ],
)
def test_a_report_that_says_what_no_run_gave_is_refused(changed: dict[str, Any], says: str) -> None:
    with pytest.raises(ReportWrong, match=says):
        read(report(**changed))


def test_other_names_of_roles_and_quantities_are_those_of_the_list() -> None:
    told = report(figure(1.0) | {"role": "dispatcher", "what": "sent (a change: 12 bytes)", "spread": 0.5})
    with pytest.raises(ReportWrong, match="role 'dispatcher'"):
        read(told)
    also = {"dispatcher": "dispatcher control", "sent": "bytes sent"}
    target = msgspec.structs.replace(TARGET, also=also)
    (one,) = read_report("one.json", json.dumps(told).encode(), target).figures
    assert (one.role, one.what, one.range) == ("dispatcher control", "bytes sent", (0.5, 1.5))


def test_a_report_without_a_command_key_is_refused() -> None:
    told = report(figure(1.0))
    del told["command"]
    with pytest.raises(ReportWrong, match="command"):
        read(told)


@pytest.mark.parametrize(
    ("key", "value", "says"),
    [("role", "proxy", "role 'proxy'"), ("what", "luck", "'luck'"), ("mechanism", "", "mechanism")],
)
def test_a_row_of_the_target_names_what_is_listed(tmp_path: Path, key: str, value: str, says: str) -> None:
    told = json.loads((FOLDER / "target.json").read_bytes())
    told["rows"][0][key] = value
    (tmp_path / "target.json").write_text(json.dumps(told))
    with pytest.raises(TargetWrong, match=says):
        read_target(tmp_path)


def test_a_budget_says_who_set_it(tmp_path: Path) -> None:
    told = json.loads((FOLDER / "target.json").read_bytes())
    told["rows"][0]["budget_by"] = ""
    (tmp_path / "target.json").write_text(json.dumps(told))
    with pytest.raises(TargetWrong, match="who set it"):
        read_target(tmp_path)


def test_nothing_of_a_report_that_was_not_measured_counts() -> None:
    late = [read(report(figure(1e9), measured="its own loops were late"))]
    assert not drawn_from(TARGET.rows[0], late).points


def test_of_a_report_in_parts_those_that_were_measured_count() -> None:
    parts = {"rest": {"measured": True, "p99_ms": 2.0}, "half cut": {"measured": "late", "p99_ms": 90.0}}
    one = read(
        report(
            figure(100.0, worst=120.0),
            figure(900.0, "half cut", worst=9000.0),
            measured="half cut: late",
            lateness={"parts": parts},
        )
    )
    assert [point.mean for point in drawn_from(TARGET.rows[0], [one]).points] == [100.0]
    assert not drawn_from(TARGET.rows[0], [one], "half cut", worst=True).points
    assert one.late == {"p99_ms": 90.0}


def test_what_hollow_members_cost_stands_as_a_real_ones() -> None:
    row = msgspec.structs.replace(TARGET.rows[0], as_real=True)
    plain = report(figure(100.0, worst=120.0))
    assert not drawn_from(row, [read(plain)]).points
    rows = [{"what": "cpu", "factor": 0.1}, {"what": "bytes sent", "factor": 0.5}]
    told = read(plain | {"hollow_against_real": {"rows": rows}})
    assert drawn_from(row, [told]).points == [Point(40, 200.0, 180.0, 220.0)]
    assert drawn_from(row, [told], worst=True).points == [Point(40, 240.0, 240.0, 240.0)]
    assert not drawn_from(row, [read(plain | {"hollow_against_real": "not run"})]).points


# Lines of the page.


def test_the_longest_series_of_one_group_is_drawn() -> None:
    few = [read(report(figure(50.0), size={"dispatchers": 40, "nodes": 1200}))]
    many = sizes((40, 100), (120, 300), (240, 600), (400, 1000))
    line = drawn_from(TARGET.rows[0], few + many)
    assert line.group == (("nodes", 12),) and len(line.points) == 4
    seen = line.target()
    assert seen is not None and seen.figure == pytest.approx(1450.0) and seen.beyond == pytest.approx(1.45)
    assert line.verdict(seen) == "within"
    assert told(seen, 4) == "1,450 (x1.4 beyond)" and told(seen, 3) == "1,450 (x1.4 beyond 3 sizes)"


def test_verdicts() -> None:
    row, over = TARGET.rows[0], sizes((40, 400), (580, 5800))
    line = drawn_from(row, over)
    assert line.verdict(line.target()) == "**over**"
    none = drawn_from(row, [])
    assert none.target() is None and none.verdict(none.target()) == "not run"
    plain = drawn_from(TARGET.rows[1], [])
    assert plain.verdict(Seen(1.0, 1.0)) == "-"


def test_one_size_alone_says_nothing_of_another() -> None:
    line = drawn_from(TARGET.rows[0], sizes((40, 400)))
    assert line.target() is None
    assert drawn_from(TARGET.rows[0], sizes((580, 400))).target() == Seen(400.0, 1.0)


def test_tables_say_not_run_where_nothing_was() -> None:
    drawn = tables(TARGET, sizes((40, 400), (580, 500), when="one dead", worst=3500.0))
    row = next(line for line in drawn["faults"].splitlines() if "dispatcher control" in line)
    assert row.endswith("| 3,000 | 3,500 **over** | not run |")
    assert "| register |" not in drawn["faults"]
    assert "not run at 1,200" in drawn["roles"]


def test_a_fault_that_was_not_run_at_target_tells_its_largest_size() -> None:
    told = sizes((40, 400), (120, 500), when="one dead", worst=3500.0)
    row = next(line for line in tables(TARGET, told)["faults"].splitlines() if "dispatcher control" in line)
    assert row.endswith("| 3,000 | not run; at 120 3,500 **over** | not run |")


def test_what_passes_its_budget_first_stands_first() -> None:
    told = sizes((40, 400), (580, 5800)) + sizes((40, 4000), (580, 5000), when="one dead", worst=4000.0)
    rows = [line for line in tables(TARGET, told)["first"].splitlines() if "dispatcher control" in line]
    assert [row.split(" | ")[2] for row in rows] == ["one dead", "rest"]
    assert "| 300 dispatchers |" in rows[1] and "| 40 or fewer dispatchers |" in rows[0]


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (0.004321, "0.0043"), (0.5, "0.5"), (12.34, "12.3"), (1234.5, "1,234"), ("late", "late")],
)
def test_numbers(value: object, text: str) -> None:
    assert number(value) == text


# The page.


def test_a_page_without_a_place_for_a_table_is_refused() -> None:
    with pytest.raises(PageWrong):
        redraw("<!-- drawn: roles -->\n<!-- end -->\n", {"roles": "a\n", "faults": "b\n"})
    with pytest.raises(PageWrong):
        redraw("<!-- drawn: roles -->\n<!-- end -->\n<!-- drawn: roles -->\n<!-- end -->\n", {"roles": "a\n"})


def test_sentences_between_tables_stay() -> None:
    page = "Before.\n<!-- drawn: roles -->\nold\n<!-- end -->\nAfter \\1 it.\n"
    new = redraw(page, {"roles": "| new \\1 |\n"})
    assert new == "Before.\n<!-- drawn: roles -->\n| new \\1 |\n<!-- end -->\nAfter \\1 it.\n"


def copied(tmp_path: Path) -> Path:
    (tmp_path / "docs").mkdir()
    shutil.copytree(FOLDER, tmp_path / "docs" / "capacity")
    shutil.copy(ROOT / "docs" / "CAPACITY.md", tmp_path / "docs" / "CAPACITY.md")
    return tmp_path


def test_the_page_is_as_its_reports_have_it() -> None:
    target = read_target(FOLDER)
    page = (ROOT / "docs" / "CAPACITY.md").read_text()
    assert redraw(page, tables(target, read_reports(FOLDER, target))) == page, "script/capacity redraws it"


def test_a_changed_figure_of_any_report_shows(tmp_path: Path) -> None:
    root = copied(tmp_path)
    assert main(root, check=True) == 0
    target = read_target(FOLDER)
    drawn = [drawn_from(row, read_reports(FOLDER, target)) for row in target.rows]
    names = {name for line in drawn for name in line.reports}
    assert names, "no report is drawn from"
    for name in sorted(names):
        file = root / "docs" / "capacity" / name
        before = file.read_bytes()
        told = json.loads(before)
        for figure in told["figures"]:
            figure["mean"] = figure["mean"] * 3.0 + 1.0
            figure["spread"] = None
        file.write_text(json.dumps(told))
        assert main(root, check=True) == 1, name
        file.write_bytes(before)
    assert main(root, check=True) == 0


def test_a_changed_budget_shows(tmp_path: Path) -> None:
    root = copied(tmp_path)
    file = root / "docs" / "capacity" / "target.json"
    told = json.loads(file.read_bytes())
    next(row for row in told["rows"] if "budget" in row)["budget"] = 1.0
    file.write_text(json.dumps(told))
    assert main(root, check=True) == 1


def test_a_report_that_is_refused_leaves_the_page_as_it_was(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    root = copied(tmp_path)
    page = (root / "docs" / "CAPACITY.md").read_text()
    (root / "docs" / "capacity" / "worse.json").write_text(json.dumps(report(command="")))
    assert main(root) == 2
    assert "worse.json: no command" in capsys.readouterr().err
    assert (root / "docs" / "CAPACITY.md").read_text() == page


def test_each_mechanism_is_there() -> None:
    for row in read_target(FOLDER).rows:
        assert (ROOT / "cherrygrade" / row.mechanism.partition(" ")[0]).exists(), row.mechanism


def test_each_row_of_the_target_is_another() -> None:
    rows = read_target(FOLDER).rows
    keys = {(row.role, row.what, row.unit, row.over, row.when) for row in rows}
    assert len(keys) == len(rows)

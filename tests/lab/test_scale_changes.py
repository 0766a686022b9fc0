"""Changes of the configuration in the scale run: plan, judging, and small runs with planted breakages."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from cherrygrade.lab.scale import changes, judge, plan, run
from cherrygrade.lab.scale.changes import Gap, Put, Story
from cherrygrade.lab.scale.follow import GOES_BACK, TAKES_ANY
from cherrygrade.lab.scale.plan import Scale
from cherrygrade.lab.scale.putting import logged
from cherrygrade.lab.scale.rows import Row
from cherrygrade.lab.scale.sums import NEVER, Phase

ROOT = Path(__file__).parents[2]
FILE = ROOT / "scenarios" / "scale-config.rec"
A, B, C = "a" * 16, "b" * 16, "c" * 16


def scale(*more: str) -> Scale:
    return run.read_scale(FILE, "\n".join(more))


# The plan.


def test_a_part_has_as_many_changes_as_fit_and_a_tail_in_which_the_last_one_can_come():
    made = scale()
    assert changes.count(made, 66_000.0) == 20 and changes.count(made, 5_000.0) == 0
    steps = {one.when: one for one in changes.steps(made, False)}
    assert steps[changes.CHANGES].note == "20 changes, one each 3 s"
    faster = scale("change_every_ms: 2000", "spans: changes: 406000")
    assert {one.when: one.note for one in changes.steps(faster, False)}[changes.CHANGES] == (
        "200 changes, one each 2 s"
    )
    assert {*steps[changes.MISSED].on} == {one.number for one in plan.seats(made) if one.region == 1}
    assert steps[changes.MISSED].on == steps[changes.HEALED].on


def test_without_a_council_or_a_span_there_are_none():
    assert not changes.steps(scale("voters: 0"), False)
    usual = run.read_scale(ROOT / "scenarios" / "scale.rec")
    assert not changes.steps(usual, False) and not changes.steps(usual, True)
    assert changes.HEALED not in {one.when for one in changes.steps(scale("spans: missed: 0"), False)}


def test_a_scenario_without_faults_has_the_rest_and_its_own_parts_alone():
    made = scale()
    assert [one.when for one in plan.steps(made, False)] == ["rest"]
    assert [one.when for one in changes.steps(made, True)] == [
        changes.CONFIGURED, changes.CHANGES, changes.KILLED, changes.MISSED, changes.HEALED,
    ]  # fmt: skip
    assert len(plan.steps(run.read_scale(ROOT / "scenarios" / "scale.rec"), False)) > 1


def test_each_change_has_another_text_and_the_leader_is_killed_a_few_times():
    assert len({changes.text(number) for number in range(200)}) == 200
    assert [index for index in range(20) if changes.kills(index)] == [2, 8, 14]


# What it came to.


def story(*rows: Row, puts: tuple[Put, ...] = (), gaps: tuple[Gap, ...] = ()) -> Story:
    return Story([*puts], [*rows], [*gaps], {1: A, 2: B, 3: C})


ONE = Put("changes", 1000.0, 1100.0, 1, A)
TWO = Put("changes", 4000.0, 4100.0, 2, B)


def test_a_change_took_until_its_last_member_had_it_or_a_later_one():
    (came,) = changes.came(
        story(Row(1300.0, 0, 1, 3, A), Row(1050.0, 1, 1, 3, A), Row(1900.0, 2, 1, 5, B), puts=(ONE,)), 3
    )
    assert came.each == (200.0, 0.0, 800.0)  # who had it before its asker heard took none
    assert (came.last, came.last_of_begun, came.passed_over) == (800.0, 900.0, 1)
    assert came.told()["last_ms"] == 800.0 and came.told()["members"] == 3


def test_one_that_never_had_it_is_told_and_breaks_the_goal():
    came = changes.came(story(Row(1300.0, 0, 1, 3, A), puts=(ONE,)), 2)
    assert came[0].last == NEVER and came[0].told()["last_ms"] == "not within the run"
    broken = broken_of(story(Row(1300.0, 0, 1, 3, A), puts=(ONE,)), 2)
    assert broken == [
        "from agreement to the last in force, worst",
        "from agreement to the last in force, p99",
    ]


def broken_of(told: Story, members: int) -> list[str]:
    phases = {"changes": Phase("changes", 900.0, 9000.0)}
    return [one.what for one in changes.promises(told, phases, members) if one.seen > one.bound]


def test_who_was_dead_cut_off_or_killed_before_it_had_it_is_no_part_of_that_change_alone():
    rows = [Row(1300.0, 0, 1, 3, A), Row(4200.0, 0, 1, 5, B), Row(4300.0, 1, 1, 5, B)]
    away = Put("changes", 1000.0, 1100.0, 1, A, frozenset({1}))
    assert [one.each for one in changes.came(story(*rows, puts=(away, TWO)), 2)] == [(200.0,), (100.0, 200.0)]
    killed = story(*rows, puts=(ONE, TWO), gaps=(Gap(1, 1050.0, 3000.0),))
    assert [one.each for one in changes.came(killed, 2)] == [(200.0,), (100.0, 200.0)]
    late = story(*rows, puts=(ONE,), gaps=(Gap(1, 5000.0, 6000.0),))  # killed long after: it had its time
    assert changes.came(late, 2)[0].each == (200.0, 3200.0)


def test_a_change_that_was_never_agreed_and_a_slow_one_are_told():
    lost = Put("changes", 5000.0, NEVER)
    assert broken_of(story(Row(1300.0, 0, 1, 3, A), puts=(ONE, lost)), 1) == ["changes that were not agreed"]
    slow = story(Row(4500.0, 0, 1, 3, A), puts=(ONE,))
    assert broken_of(slow, 1) == ["from agreement to the last in force, p99"]
    assert len(broken_of(story(Row(7500.0, 0, 1, 3, A), puts=(ONE,)), 1)) == 2


def test_a_version_that_nobody_agreed_on_and_a_stage_that_goes_back_are_convicted():
    well = [Row(1300.0, 0, 1, 2, A), Row(1400.0, 0, 1, 3, A), Row(4300.0, 0, 1, 5, B)]
    assert not broken_of(story(*well, puts=(ONE, TWO)), 1)
    strange = story(*well, Row(5000.0, 0, 1, 7, A), puts=(ONE, TWO))
    assert broken_of(strange, 1) == ["members on a version that the council had not agreed on"]
    back = story(*well, Row(5000.0, 0, 1, 3, A), puts=(ONE, TWO))
    assert broken_of(back, 1) == ["members whose stage went back"]
    joint = story(
        *well, Row(5000.0, 0, 1, 4, B), puts=(ONE, TWO)
    )  # of the same number, and back all the same
    assert broken_of(joint, 1) == ["members whose stage went back"]
    anew = story(*well, Row(5000.0, 0, 2, 3, A), puts=(ONE, TWO))  # another life, that kept nothing
    assert not broken_of(anew, 1)


def test_a_heal_took_until_the_last_that_lived_through_it_had_the_newest():
    phase = Phase(changes.HEALED, 5000.0, 12_000.0)
    rows = [Row(4200.0, 0, 1, 5, B), Row(1300.0, 1, 1, 3, A), Row(6500.0, 1, 1, 5, B)]
    assert changes.healed(story(*rows, puts=(ONE, TWO)), phase, 2) == 1500.0
    assert changes.healed(story(*rows[:2], puts=(ONE, TWO)), phase, 2) == NEVER
    late = [*rows[:2], Row(12_500.0, 1, 1, 5, B)]
    assert changes.healed(story(*late, puts=(ONE, TWO)), phase, 2) == NEVER
    assert changes.healed(story(*rows[:2], puts=(ONE, TWO), gaps=(Gap(1, 5500.0, 6000.0),)), phase, 2) == 0.0


def test_what_members_spent_is_by_change_and_another_life_is_no_figure():
    def state(asked: int, fetched: int) -> dict[str, int]:
        return {"asked_voters": asked, "asked_members": 0, "fetched_bytes": fetched, "given_bytes": 0}

    found = changes.spent({"7": state(1, 100), "8": state(0, 0)}, {"7": state(5, 300), "8": state(2, 400)}, 2)
    assert found[changes.SPENT["asked_voters"]] == 3.0  # of all together
    assert found[changes.SPENT["fetched_bytes"]] == [150.0, 200.0]  # mean and most
    assert changes.SPENT["fetched_bytes"] not in changes.spent({"7": state(1, 100)}, {"7": state(2, 50)}, 2)


def test_the_bytes_of_a_version_at_rest_are_held_against_none_where_both_were_measured():
    def figures(*rest: tuple[str, float]) -> dict[str, Any]:
        rows = [{"role": "dispatcher control", "what": "bytes sent", "when": w, "mean": m} for w, m in rest]
        return {"figures": rows}

    more = changes.at_rest(figures(("rest", 1000.0), (changes.CONFIGURED, 1060.0)))
    assert more is not None and round(more.seen, 3) == 6.0 and more.seen > more.bound
    assert changes.at_rest(figures(("rest", 1000.0))) is None


def test_sides_are_judged_over_the_cut_with_changes_as_over_the_plain_one():
    made = scale("dispatchers: 40")
    few = {str(number): "among the few" for number in range(40)}
    most = dict.fromkeys(few, "among the most")

    def broken(sides: dict[str, str]) -> list[str]:
        return [one.what for one in judge.sides(made, [[changes.MISSED, sides]]) if one.seen > one.bound]

    assert not broken(few)
    assert len(broken(most)) == 2


def test_a_real_members_log_tells_when_what_came_into_force(tmp_path):
    file = tmp_path / "dispatcher-3.log"
    told = {"event": "configuration in force", "number": 2, "stage": 5, "digest": B, "since": 4321.0}
    file.write_text(json.dumps({"event": "listening"}) + "\nnoise\n" + json.dumps(told) + "\n")
    assert logged(file, 3) == [Row(4321.0, 3, 0, 5, B)]
    assert logged(tmp_path / "none", 3) == []


# Runs, small.

SMALL = [
    "dispatchers: 12", "real: 4", "voters: 3", "bare: 0", "nodes: 1", "loaded: 0", "change_every_ms: 2000",
    "spans: {calm: 0, rest: 0, configured: 0, changes: 12500, changes_killed: 0, missed: 0, missed_heal: 0}",
]  # fmt: skip


def seen(told: dict[str, Any], what: str) -> Any:
    """Whatever the machine's pace: what was too late to be measured is looked at too."""
    rows = [*told["promises"], *told["promises_not_measured"]]
    return next(one["seen"] for one in rows if one["what"] == what)


STRANGE = "members on a version that the council had not agreed on"
BACK = "members whose stage went back"
NOT_AGREED = "changes that were not agreed"


@pytest.mark.few
def test_a_small_fleet_takes_each_change_and_the_report_tells_of_each():
    told = run.play(scale(*SMALL), "test")
    assert [one["number"] for one in told["changes"]] == [1, 2, 3]
    assert all(one["members"] == 12 and one["last_ms"] != "not within the run" for one in told["changes"])
    assert seen(told, STRANGE) == seen(told, BACK) == seen(told, NOT_AGREED) == 0
    assert "not run: rest" == str(told["measured"]).rpartition("; ")[2]
    part = told["configuration"][changes.CHANGES]
    assert part["changes"] == 3 and part["leader_killed"] == 0
    assert told["lateness"]["parts"][changes.CHANGES]["disk_worst_ms"] > 0.0
    mean, most = part[changes.SPENT["fetched_bytes"]]
    assert 0.0 < mean <= most


@pytest.mark.few
def test_a_member_that_takes_content_without_a_digest_is_convicted():
    told = run.play(scale(*SMALL), "test", breaks=TAKES_ANY)
    assert seen(told, STRANGE) == 1 and seen(told, BACK) == 0


@pytest.mark.few
def test_a_member_whose_stage_goes_back_is_convicted():
    told = run.play(scale(*SMALL), "test", breaks=GOES_BACK)
    assert seen(told, BACK) == 1 and seen(told, STRANGE) == 0

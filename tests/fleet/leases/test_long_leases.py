"""Days of a council and its leases by the rig; each takes a minute or more, so they stand behind a marker."""

from __future__ import annotations

from pathlib import Path

import pytest

from cherrygrade.lab.audits import fleetaudit
from cherrygrade.lab.audits.audit import Verdict, judge
from cherrygrade.lab.rig.run import play

DAY = Path("scenarios/fleet-leases.rec")
pytestmark = [pytest.mark.long, pytest.mark.timeout(600)]


def day(folder: Path, given: str, program: tuple[str, ...] = ("cherrygrade", "serve")) -> dict[int, Verdict]:
    scenario = play(DAY, folder, given, program)
    verdicts = [*judge(scenario, folder)[0], *fleetaudit.judge(folder)]
    return {one.rule: one for one in verdicts}


@pytest.mark.parametrize("seed", [11, 12])
def test_two_never_act_for_one_task_whatever_the_day_brings(tmp_path, seed):
    verdicts = day(tmp_path, f"seed: {seed}")
    assert not [one.evidence for one in verdicts.values() if one.broken]
    assert verdicts[18].judged > 1000 and verdicts[19].judged == 12


def test_a_holder_that_does_not_look_at_its_clock_is_convicted_where_nobody_looks_at_numbers(tmp_path):
    verdicts = day(tmp_path, "council: numbered: false", ("cherrygrade.lab.audits.broken", "18"))
    assert verdicts[18].broken

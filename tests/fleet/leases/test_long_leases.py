"""Scenario runs with real processes: a council grants leases while dispatchers crash, pause and are cut off.

Each run takes a minute or more, so the tests are marked `long`.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from cherrygrade.lab.audits import fleetaudit
from cherrygrade.lab.audits.audit import Verdict, judge
from cherrygrade.lab.rig.run import play

SCENARIO = Path("scenarios/fleet-leases.rec")
pytestmark = [pytest.mark.long, pytest.mark.timeout(600)]


def run_scenario(
    folder: Path, overrides: str, program: tuple[str, ...] = ("cherrygrade", "serve")
) -> dict[int, Verdict]:
    scenario = play(SCENARIO, folder, overrides, program)
    verdicts = [*judge(scenario, folder)[0], *fleetaudit.judge(folder)]
    return {verdict.rule: verdict for verdict in verdicts}


@pytest.mark.parametrize("seed", [11, 12])
def test_holders_never_act_at_once_in_a_scenario_run(tmp_path, seed):
    verdicts = run_scenario(tmp_path, f"seed: {seed}")
    assert not [verdict.evidence for verdict in verdicts.values() if verdict.broken]
    assert verdicts[18].judged > 1000 and verdicts[19].judged == 12


def test_audit_finds_a_holder_that_ignores_its_clock(tmp_path):
    # The receiver does not compare fencing numbers here, so that nothing but the clock stops a former holder.
    verdicts = run_scenario(tmp_path, "council: numbered: false", ("cherrygrade.lab.audits.broken", "18"))
    assert verdicts[18].broken

"""The scheduler's decisions on seeded random inputs have the recorded digests, compiled and interpreted.

This guards against any change of decisions, down to the order of arithmetic and the last bit of a time.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from support.decision_storm import SCENARIOS, digests

from cherrygrade import compiled
from cherrygrade.scheduling import scheduler

RECORDED = json.loads(Path(__file__).with_name("decisions.json").read_text())
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
CASES = [(name, seed) for name, seeds in RECORDED["digests"].items() for seed in seeds]


def recorded(name: str, seed: str) -> list[str]:
    """Return the recorded digests of a scenario and a seed."""
    found: list[str] = RECORDED["digests"][name][seed]
    return found


def test_each_scenario_has_its_digests():
    assert {scenario.name for scenario in SCENARIOS} == set(RECORDED["digests"])


@pytest.mark.parametrize(("name", "seed"), CASES)
def test_decisions_are_those_recorded(name, seed):
    found = digests(scheduler.Scheduler, BY_NAME[name], int(seed), RECORDED["rounds"])
    assert found == recorded(name, seed)


@pytest.mark.parametrize(("name", "seed"), CASES)
def test_compiled_decisions_are_those_recorded(name, seed):
    make, is_compiled = compiled.scheduler_class()
    if not is_compiled:
        pytest.skip("no compiled scheduler in this environment: its sources are interpreted")
    assert digests(make, BY_NAME[name], int(seed), RECORDED["rounds"]) == recorded(name, seed)

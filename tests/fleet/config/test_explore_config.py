"""Exhaustive search, within bounds, of the states that a version which moves quotas can lead to.

The search has to find no fault in the program, and one in each variant with a planted fault. `lab explore
config` searches more states.
"""

from dataclasses import replace

import pytest

from cherrygrade.lab.exploration.config import NARROW, Bounds, Config, Planted
from cherrygrade.lab.exploration.explore import explore

MAX_STATES = 60_000


@pytest.mark.parametrize(
    "bounds, min_states",
    [
        (Bounds(asks=1, crashes=0, losses=0), 15_000),
        (Bounds(asks=1, proofs=3, crashes=1, losses=0, who="ac", askers="c"), 5_000),
        (Bounds(asks=2, proofs=2, crashes=0, losses=0, liar=True), 3_500),
        (NARROW, 20_000),
        (replace(NARROW, before=2, after=3, proofs=3), 3_000),
    ],
    ids=["calm", "crash", "liar", "lost", "raised"],
)
def test_no_state_breaks_a_rule(bounds: Bounds, min_states: int) -> None:
    result = explore(Config(bounds), MAX_STATES)
    assert result.whole and not result.breach, result
    assert result.states >= min_states


CALM = Bounds(asks=2, proofs=0, crashes=0, losses=0)


@pytest.mark.parametrize(
    "bounds, planted, breach",
    [
        (CALM, Planted(goes_back=True), "goes back"),
        (CALM, Planted(undigested=True), "what nobody put in force"),
        (CALM, Planted(grows_early=True), "limits are in use"),
        (replace(CALM, before=2, after=3), Planted(grows_early=True), "limits are in use"),
        (replace(CALM, liar=True), Planted(trusts_one=True), "believes in a version that there is not"),
        (replace(NARROW, proofs=3), Planted(one_round=True), "limits are in use"),
        (NARROW, Planted(old_answers=True), "limits are in use"),
        (NARROW, Planted(sure_at_once=True), "limits are in use"),
    ],
    ids=[
        "stage decreases",
        "content without digest check",
        "parts grow before others shrank",
        "parts grow before others shrank, more dispatchers",
        "one member suffices as witness",
        "one round",
        "late answer counts",
        "certain without its disk",
    ],
)
def test_a_planted_fault_is_found(bounds: Bounds, planted: Planted, breach: str) -> None:
    result = explore(Config(bounds, planted), MAX_STATES)
    assert breach in result.breach, result

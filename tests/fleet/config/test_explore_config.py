"""Every state that a version of the configuration that moves parts can come to, within bounds, and broken
variants that have to be found. `lab explore config` goes through more."""

from dataclasses import replace

import pytest

from cherrygrade.lab.exploration.config import NARROW, Bounds, Config, Planted
from cherrygrade.lab.exploration.explore import explore

MOST = 60_000


@pytest.mark.parametrize(
    "bounds, states",
    [
        (Bounds(asks=1, crashes=0, losses=0), 15_000),
        (Bounds(asks=1, proofs=3, crashes=1, losses=0, who="ac", askers="c"), 5_000),
        (Bounds(asks=2, proofs=2, crashes=0, losses=0, liar=True), 3_500),
        (NARROW, 20_000),
        (replace(NARROW, before=2, after=3, proofs=3), 3_000),
    ],
    ids=["calm", "crash", "liar", "lost", "raised"],
)
def test_nothing_wrong_is_found(bounds: Bounds, states: int) -> None:
    found = explore(Config(bounds), MOST)
    assert found.whole and not found.breach, found
    assert found.states >= states


CALM = Bounds(asks=2, proofs=0, crashes=0, losses=0)


@pytest.mark.parametrize(
    "bounds, planted, told",
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
        "a number that goes back",
        "content without digest",
        "parts that grow before others shrank",
        "and where they are dealt to more",
        "one member's word",
        "one round",
        "a late answer",
        "sure without its disk",
    ],
)
def test_a_broken_one_is_convicted(bounds: Bounds, planted: Planted, told: str) -> None:
    found = explore(Config(bounds, planted), MOST)
    assert told in found.breach, found

"""Every state that a lease can come to between two leaders, two holders and a receiver, within bounds; and
each planted breakage found."""

from __future__ import annotations

import pytest

from cherrygrade.lab.exploration.explore import explore
from cherrygrade.lab.exploration.holders import Bounds, Holders, Planted

QUIET = {"orders": 0, "crashes": 0, "restarts": 0, "gives": False}


@pytest.mark.parametrize(
    ("bounds", "least"),
    [
        (Bounds(steps=7, asks=2, orders=1, changes=0, crashes=0, restarts=0), 40_000),
        (Bounds(steps=0, asks=3, orders=2, changes=0, crashes=1, restarts=1), 40_000),
        (Bounds(steps=9, asks=2, changes=1, who="xy", **QUIET), 40_000),
        (Bounds(steps=5, asks=3, changes=1, who="xxy", **QUIET), 40_000),
    ],
)
def test_two_never_act_at_once_nor_in_an_order_that_one_could_not(bounds: Bounds, least: int) -> None:
    found = explore(Holders(bounds), 200_000)
    assert found.whole and not found.breach, str(found)
    assert found.states > least


@pytest.mark.parametrize(
    ("planted", "bounds", "told"),
    [
        ("from_answer", Bounds(steps=9, asks=2, changes=0, **QUIET), "both may act"),
        ("trusts", Bounds(steps=9, asks=3, changes=1, who="xxy", **QUIET), "both may act"),
        ("unproven", Bounds(steps=5, asks=3, changes=1, who="xxy", **QUIET), "both may act"),
        ("forgets", Bounds(steps=7, asks=2, orders=2, changes=0, crashes=0), "behind"),
        ("lives", Bounds(steps=0, asks=2, orders=2, changes=0, restarts=0), "of two lives"),
        ("overtakes", Bounds(steps=0, asks=1, orders=1, changes=0, crashes=0), "under way"),
    ],
)
def test_a_planted_breakage_is_found(planted: str, bounds: Bounds, told: str) -> None:
    found = explore(Holders(bounds, Planted(**{planted: True})), 400_000)
    assert told in found.breach, str(found)

"""Exhaustive exploration of one lease: two leaders, two holders and a receiver of orders.

No reachable state within the bounds may let both holders act, or a receiver carry out an order of a former
holder after one of its successor. To show that the exploration would find such states, each planted fault
must lead to one.
"""

from __future__ import annotations

import pytest

from cherrygrade.lab.exploration.explore import explore
from cherrygrade.lab.exploration.holders import Bounds, Holders, Planted

NO_ORDERS_OR_CRASHES = {"orders": 0, "crashes": 0, "restarts": 0, "gives": False}


@pytest.mark.parametrize(
    ("bounds", "min_states"),
    [
        (Bounds(steps=7, asks=2, orders=1, changes=0, crashes=0, restarts=0), 40_000),
        (Bounds(steps=0, asks=3, orders=2, changes=0, crashes=1, restarts=1), 40_000),
        (Bounds(steps=9, asks=2, changes=1, who="xy", **NO_ORDERS_OR_CRASHES), 40_000),
        (Bounds(steps=5, asks=3, changes=1, who="xxy", **NO_ORDERS_OR_CRASHES), 40_000),
    ],
)
def test_holders_never_act_at_once_and_orders_never_arrive_out_of_order(
    bounds: Bounds, min_states: int
) -> None:
    result = explore(Holders(bounds), 200_000)
    assert result.whole and not result.breach, str(result)
    assert result.states > min_states


@pytest.mark.parametrize(
    ("planted", "bounds", "expected_breach"),
    [
        ("from_answer", Bounds(steps=9, asks=2, changes=0, **NO_ORDERS_OR_CRASHES), "both may act"),
        ("trusts", Bounds(steps=9, asks=3, changes=1, who="xxy", **NO_ORDERS_OR_CRASHES), "both may act"),
        ("unproven", Bounds(steps=5, asks=3, changes=1, who="xxy", **NO_ORDERS_OR_CRASHES), "both may act"),
        ("forgets", Bounds(steps=7, asks=2, orders=2, changes=0, crashes=0), "behind"),
        ("lives", Bounds(steps=0, asks=2, orders=2, changes=0, restarts=0), "of two lives"),
        ("overtakes", Bounds(steps=0, asks=1, orders=1, changes=0, crashes=0), "under way"),
    ],
)
def test_planted_fault_is_found(planted: str, bounds: Bounds, expected_breach: str) -> None:
    result = explore(Holders(bounds, Planted(**{planted: True})), 400_000)
    assert expected_breach in result.breach, str(result)

"""On which side of a partition this dispatcher takes itself to be, and what it may do there.

Free of I/O, clock and chance. `RULES_BY_STATE` is the one place that says what each state allows;
`docs/fleet.md` shows the same table.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ISOLATED_AFTER_MS = 5000.0
"""Without any message for this long, a dispatcher takes itself to be isolated."""

OVERLOADED_SELF_DOUBT = 4
"""Self-doubt of the failure detector from which a dispatcher takes itself to be overloaded: it is late more
often than others are."""


class PartitionState(Enum):
    """The side of a partition; the values are shown to operators and stay as they are."""

    MAJORITY = "among the most"
    MINORITY = "among the few"
    ISOLATED = "alone"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class PartitionRules:
    """What a dispatcher does in a state.

    The names of the fields are keys of the fleet's status answer.

    Attributes:
        keeps: It aggregates load reports for other dispatchers and sends the result.
        believes: It uses what load aggregators report of nodes.
        accuses: It suspects other members by its own probes.
        asks_out: It may ask that a node or a dispatcher be taken out of use.
        parts: Whose count of dispatchers divides cold nodes and limits.
    """

    keeps: bool
    believes: bool
    accuses: bool
    asks_out: bool
    parts: str = "the fleet of record"


RULES_BY_STATE: dict[PartitionState, PartitionRules] = {
    PartitionState.MAJORITY: PartitionRules(keeps=True, believes=True, accuses=True, asks_out=True),
    # Reports of a minority cover a part of the load only; docs/fleet.md gives the bound of the harm.
    PartitionState.MINORITY: PartitionRules(keeps=True, believes=True, accuses=True, asks_out=False),
    PartitionState.ISOLATED: PartitionRules(keeps=False, believes=False, accuses=False, asks_out=False),
    PartitionState.OVERLOADED: PartitionRules(keeps=False, believes=True, accuses=False, asks_out=False),
}


def partition_state(fleet_size: int, living: int, silence_ms: float, self_doubt: int) -> PartitionState:
    """The side on which a dispatcher is.

    Args:
        fleet_size: Dispatchers of the fleet as the settings have it.
        living: Living members of its table, itself among them.
        silence_ms: Time since it received any message of the fleet, ms.
        self_doubt: Self-doubt of its failure detector, 0 to 8.
    """
    if fleet_size > 1 and (living <= 1 or silence_ms >= ISOLATED_AFTER_MS):
        return PartitionState.ISOLATED
    if self_doubt >= OVERLOADED_SELF_DOUBT:
        return PartitionState.OVERLOADED
    return PartitionState.MAJORITY if 2 * living > fleet_size else PartitionState.MINORITY

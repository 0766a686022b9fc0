"""Determines in which part of a partitioned fleet a dispatcher is, and which actions are allowed there.

Only `RULES_BY_STATE` defines the actions that each state allows; `docs/fleet.md` shows the same table.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ISOLATED_AFTER_MS = 5000.0
"""A dispatcher that has received no message of the fleet for this long considers itself isolated."""

OVERLOADED_SELF_DOUBT = 4
"""Self-doubt of the failure detector from which a dispatcher considers itself overloaded, because it is late
more often than other members are."""


class PartitionState(Enum):
    """Partition state of a dispatcher; the values are shown to operators and must not change.

    Attributes:
        MAJORITY: It knows more than half of the fleet to be living.
        MINORITY: It knows half of the fleet or less to be living.
        ISOLATED: It knows no other living member, or receives no messages.
        OVERLOADED: Its own acks and timers are so late that it can't judge other members.
    """

    MAJORITY = "among the most"
    MINORITY = "among the few"
    ISOLATED = "alone"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class PartitionRules:
    """Actions that are allowed to a dispatcher in a partition state.

    The names of the fields are keys of the fleet's status answer and must not change.

    Attributes:
        keeps: Whether it acts as load aggregator for other dispatchers.
        believes: Whether it uses the load reports of load aggregators.
        accuses: Whether it may suspect other members because of its own probes.
        asks_out: Whether it may request that a node or a dispatcher be taken out of use.
        parts: Whose number of dispatchers divides quotas and the load of nodes in slow start; "the fleet of
            record" is the fleet as the settings define it.
    """

    keeps: bool
    believes: bool
    accuses: bool
    asks_out: bool
    parts: str = "the fleet of record"


RULES_BY_STATE: dict[PartitionState, PartitionRules] = {
    PartitionState.MAJORITY: PartitionRules(keeps=True, believes=True, accuses=True, asks_out=True),
    # The load reports of a minority cover only a part of the load. docs/fleet.md states how much harm this
    # can do at most.
    PartitionState.MINORITY: PartitionRules(keeps=True, believes=True, accuses=True, asks_out=False),
    PartitionState.ISOLATED: PartitionRules(keeps=False, believes=False, accuses=False, asks_out=False),
    PartitionState.OVERLOADED: PartitionRules(keeps=False, believes=True, accuses=False, asks_out=False),
}
"""Actions that are allowed in each state."""


def partition_state(fleet_size: int, living: int, silence_ms: float, self_doubt: int) -> PartitionState:
    """Return a dispatcher's partition state.

    Args:
        fleet_size: Number of dispatchers in the fleet according to the settings.
        living: Number of living members in the dispatcher's table, including itself.
        silence_ms: Time since the dispatcher received any message of the fleet, ms.
        self_doubt: Self-doubt of the dispatcher's failure detector, 0 to 8.
    """
    if fleet_size > 1 and (living <= 1 or silence_ms >= ISOLATED_AFTER_MS):
        return PartitionState.ISOLATED
    if self_doubt >= OVERLOADED_SELF_DOUBT:
        return PartitionState.OVERLOADED
    return PartitionState.MAJORITY if 2 * living > fleet_size else PartitionState.MINORITY

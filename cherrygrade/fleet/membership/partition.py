"""What this dispatcher takes itself for, and what follows.

Free of I/O, clock and chance. `TABLE` is the one place that says what each side does; `docs/fleet.md`
shows the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ALONE_MS = 5000.0  # with nobody heard for so long
TIRED = 4  # of the doubt in itself: it is late more often than others are


class PartitionState(Enum):
    MOST = "among the most"
    FEW = "among the few"
    ALONE = "alone"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class PartitionRules:
    """What a side does. `parts`: whose count deals out the parts of cold nodes and of limits."""

    keeps: bool
    """Pools what is known of nodes, and tells it."""
    believes: bool
    """Takes keepers' words for what is seen here."""
    accuses: bool
    """Calls others suspect on its own."""
    asks_out: bool
    """May ask that a node or a dispatcher be taken out of use."""
    parts: str = "the fleet of record"


TABLE: dict[PartitionState, PartitionRules] = {
    PartitionState.MOST: PartitionRules(keeps=True, believes=True, accuses=True, asks_out=True),
    # Words of the own side tell of a part of the load only: bounded harm, see docs/fleet.md.
    PartitionState.FEW: PartitionRules(keeps=True, believes=True, accuses=True, asks_out=False),
    PartitionState.ALONE: PartitionRules(keeps=False, believes=False, accuses=False, asks_out=False),
    PartitionState.OVERLOADED: PartitionRules(keeps=False, believes=True, accuses=False, asks_out=False),
}


def side(record: int, living: int, heard_ago_ms: float, doubt: int) -> PartitionState:
    """`record`: dispatchers of the fleet as the settings have it; `living`: those on the roll that live,
    this one among them; since when nobody was heard; the doubt in itself, 0 to 8."""
    if record > 1 and (living <= 1 or heard_ago_ms >= ALONE_MS):
        return PartitionState.ALONE
    if doubt >= TIRED:
        return PartitionState.OVERLOADED
    return PartitionState.MOST if 2 * living > record else PartitionState.FEW

"""The fleet as the module asks for it: who keeps a node, and whether its own parts are its own.

Free of I/O, clock and chance; `core.py` knows, this tells it in the module's terms.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.scheduling.model import PeerDirectory


class FleetPeerDirectory(PeerDirectory):
    """Seats are the dispatchers' numbers. `has`: False where the configuration gives this one no part."""

    def __init__(self, core: Membership, number: int) -> None:
        super().__init__(core.fleet_size)
        self.core, self.number, self.has = core, number, True

    @property
    def forfeits_quota(self) -> bool:  # type: ignore[override]
        return self.core.forfeits_seat or not self.has

    def aggregator(self, node: int) -> int:
        return self.core.aggregators.aggregator_seat(node)

    def publishes(self, node: int, now: float) -> bool:
        """One that is alone, or late with everything, leaves telling to others: sides.TABLE."""
        keepers = self.core.aggregators
        return (
            self.core.partition_rules.keeps
            and keepers.aggregator_seat(node) == self.number
            and keepers.settled(node, now)
        )

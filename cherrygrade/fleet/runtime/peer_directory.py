"""The fleet's membership, as the scheduler's `PeerDirectory`.

Free of I/O, clock and randomness: it translates what `membership/membership.py` knows.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.scheduling.model import PeerDirectory


class FleetPeerDirectory(PeerDirectory):
    """Which dispatcher aggregates a node's load, and whether this one may use its part of the quotas.

    Attributes:
        core: The membership that answers.
        number: This dispatcher's seat; seats are the scheduler's dispatcher numbers.
        has: False while the configuration gives this dispatcher no part of the quotas.
    """

    def __init__(self, core: Membership, number: int) -> None:
        super().__init__(core.record)
        self.core = core
        self.number = number
        self.has = True

    @property
    def forfeits_quota(self) -> bool:  # type: ignore[override]
        """Whether this dispatcher must leave its part of the quotas unused."""
        return self.core.yields or not self.has

    def aggregator(self, node: int) -> int:
        """Return the seat of the dispatcher that aggregates the load reports of `node`."""
        return self.core.keepers.keeper(node)

    def publishes(self, node: int, now: float) -> bool:
        """Return whether this dispatcher publishes the aggregated load of `node` at `now` (ms).

        One that is cut off or overloaded leaves publishing to others: see the rules in `partition.TABLE`.
        """
        keepers = self.core.keepers
        return self.core.follows.keeps and keepers.keeper(node) == self.number and keepers.settled(node, now)

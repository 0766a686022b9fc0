"""The fleet's membership, as the scheduler's `PeerDirectory`.

Free of I/O, clock and randomness: it translates what `membership/membership.py` knows.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.scheduling.model import PeerDirectory


class FleetPeerDirectory(PeerDirectory):
    """Which dispatcher aggregates a node's load, and whether this one may use its part of the quotas.

    Attributes:
        membership: The membership that answers.
        seat: This dispatcher's seat; seats are the scheduler's dispatcher numbers.
        has_quota: False while the configuration gives this dispatcher no part of the quotas.
    """

    def __init__(self, membership: Membership, seat: int) -> None:
        super().__init__(membership.fleet_size)
        self.membership = membership
        self.seat = seat
        self.has_quota = True

    @property
    def forfeits_quota(self) -> bool:  # type: ignore[override]
        """Whether this dispatcher must leave its part of the quotas unused."""
        return self.membership.forfeits_seat or not self.has_quota

    def aggregator(self, node: int) -> int:
        """Return the seat of the dispatcher that aggregates the load reports of `node`."""
        return self.membership.aggregators.aggregator_seat(node)

    def publishes(self, node: int, now: float) -> bool:
        """Return whether this dispatcher publishes the aggregated load of `node` at `now` (ms).

        One that is cut off or overloaded leaves publishing to others: see `partition.RULES_BY_STATE`.
        """
        aggregators = self.membership.aggregators
        return (
            self.membership.partition_rules.keeps
            and aggregators.aggregator_seat(node) == self.seat
            and aggregators.settled(node, now)
        )

"""Presents the fleet's membership to the scheduler, as its `PeerDirectory`.

This module is free of I/O, clock and randomness: it converts the knowledge of `membership/membership.py`.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.scheduling.model import PeerDirectory


class FleetPeerDirectory(PeerDirectory):
    """Answers which dispatcher aggregates a node's load, and whether this dispatcher may use its quotas.

    Attributes:
        membership: This dispatcher's membership.
        seat: This dispatcher's seat, its number in the fleet from 0; the scheduler's dispatcher number.
        has_quota: False while the configuration gives this dispatcher no quotas.
    """

    def __init__(self, membership: Membership, seat: int) -> None:
        super().__init__(membership.fleet_size)
        self.membership = membership
        self.seat = seat
        self.has_quota = True

    @property
    def forfeits_quota(self) -> bool:  # type: ignore[override]
        """Whether this dispatcher must leave its quotas unused."""
        return self.membership.forfeits_seat or not self.has_quota

    def aggregator(self, node: int) -> int:
        """Return the seat of the dispatcher that aggregates the load reports of `node`."""
        return self.membership.aggregators.aggregator_seat(node)

    def publishes(self, node: int, now: float) -> bool:
        """Return whether this dispatcher publishes the aggregated load of `node` at `now` (ms).

        A dispatcher that is cut off or overloaded leaves publishing to others: see
        `partition.RULES_BY_STATE`.
        """
        aggregators = self.membership.aggregators
        return (
            self.membership.partition_rules.keeps
            and aggregators.aggregator_seat(node) == self.seat
            and aggregators.settled(node, now)
        )

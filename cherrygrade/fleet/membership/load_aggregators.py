"""Assigns each storage node a load aggregator: the dispatcher that aggregates the node's load reports.

The assignment is rendezvous hashing over the seats of the living members (Thaler, Ravishankar 1998). A seat
is a dispatcher's number in the fleet, from 0. The aggregator of a node is the seat that ranks first for it.
When an aggregator fails, only its own nodes move, each to the seat that ranked second for it.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

SETTLE_MS = 1000.0
"""How long a new aggregator only receives load reports before it sends any, because it does not know yet how
many units are in flight at the node."""

LONG_AGO_MS = -1e15
"""Time of the last change of aggregator that is assumed for a node whose aggregator never changed."""


class LoadAggregators:
    """The aggregator of each node, by the 16-bit hash of the node's address.

    Attributes:
        seats: Seats of the living members, sorted.

    `_seat_by_node` caches the assignment, and `_moved_ms` has the time at which a node's aggregator changed,
    for at least `SETTLE_MS`. Both have at most one entry for each hash and are rebuilt when `seats` changes.
    """

    def __init__(self, seats: Iterable[int]) -> None:
        self.seats: tuple[int, ...] = tuple(sorted({*seats}))
        self._seat_by_node: dict[int, int] = {}
        self._moved_ms: dict[int, float] = {}

    def aggregator_seat(self, node_hash: int) -> int:
        """Return the seat of the node's aggregator; -1 where there is none."""
        seat = self._seat_by_node.get(node_hash)
        if seat is None:
            seat = self._seat_by_node[node_hash] = highest_ranked_seat(node_hash, self.seats)
        return seat

    def settled(self, node_hash: int, now: float) -> bool:
        """Return whether the node's aggregator has had the node long enough to know its units in flight."""
        return now >= self._moved_ms.get(node_hash, LONG_AGO_MS) + SETTLE_MS

    def update_seats(self, seats: Iterable[int], now: float) -> bool:
        """Set the seats of the living members, and return whether they changed."""
        new_seats = tuple(sorted({*seats}))
        if new_seats == self.seats:
            return False
        before = self._seat_by_node
        self.seats = new_seats
        self._seat_by_node = {node_hash: highest_ranked_seat(node_hash, new_seats) for node_hash in before}
        moved_ms = {}
        for node_hash, former_seat in before.items():
            if self._seat_by_node[node_hash] != former_seat:
                moved_ms[node_hash] = now
            elif self._moved_ms.get(node_hash, LONG_AGO_MS) > now - SETTLE_MS:
                moved_ms[node_hash] = self._moved_ms[node_hash]
        self._moved_ms = moved_ms
        return True


def highest_ranked_seat(node_hash: int, seats: tuple[int, ...]) -> int:
    """Return the seat that ranks first for the node; -1 where there are no seats."""
    return max(seats, key=lambda seat: (crc32(b"%d:%d" % (node_hash, seat)), seat), default=-1)

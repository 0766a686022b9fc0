"""Which dispatcher aggregates the load reports of which node.

Rendezvous hashing over the seats of the living (Thaler, Ravishankar 1998).

The aggregator of a node is the seat that ranks first for it. When one dies only its own nodes move, each to
the seat that ranked second. Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

SETTLE_MS = 1000.0
"""How long a new aggregator only receives, before it sends: it does not know yet what is in flight."""

LONG_AGO_MS = -1e15
"""The time since which a node has its aggregator where that never changed."""


class LoadAggregators:
    """The aggregator of each node, by the node's 16-bit mark.

    Attributes:
        seats: Seats of the living, sorted.

    Both tables hold at most one entry a mark. They are rebuilt when `seats` changes: `_seat_by_node` caches
    the assignment, and `_moved_at` holds when a node moved, in ms, for `SETTLE_MS` at least.
    """

    def __init__(self, seats: Iterable[int]) -> None:
        self.seats: tuple[int, ...] = tuple(sorted({*seats}))
        self._seat_by_node: dict[int, int] = {}
        self._moved_at: dict[int, float] = {}

    def aggregator_seat(self, node: int) -> int:
        """The seat of the node's aggregator; -1 where there is none."""
        seat = self._seat_by_node.get(node)
        if seat is None:
            seat = self._seat_by_node[node] = highest_ranked_seat(node, self.seats)
        return seat

    def settled(self, node: int, now: float) -> bool:
        """Whether the node's aggregator has been so for long enough to know what is in flight there."""
        return now >= self._moved_at.get(node, LONG_AGO_MS) + SETTLE_MS

    def update_seats(self, seats: Iterable[int], now: float) -> bool:
        """Take over the seats of the living; returns whether any came or went."""
        new_seats = tuple(sorted({*seats}))
        if new_seats == self.seats:
            return False
        before = self._seat_by_node
        self.seats = new_seats
        self._seat_by_node = {node: highest_ranked_seat(node, new_seats) for node in before}
        moved_at = {}
        for node, former_seat in before.items():
            if self._seat_by_node[node] != former_seat:
                moved_at[node] = now
            elif self._moved_at.get(node, LONG_AGO_MS) > now - SETTLE_MS:
                moved_at[node] = self._moved_at[node]
        self._moved_at = moved_at
        return True


def highest_ranked_seat(node: int, seats: tuple[int, ...]) -> int:
    """The seat with the highest hash for the node; -1 where there are no seats."""
    return max(seats, key=lambda seat: (crc32(b"%d:%d" % (node, seat)), seat), default=-1)

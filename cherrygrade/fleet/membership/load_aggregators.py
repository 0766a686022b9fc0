"""Who keeps which node: the living with a seat, by rendezvous hashing (Thaler, Ravishankar 1998).

Each node's keeper is who ranks first for it; when one dies only its own nodes change hands, and each of
them to whoever ranked second. Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

SETTLE_MS = 1000.0  # a new keeper listens for so long before it tells: what it has not heard of is out there


class LoadAggregators:
    """Both tables hold a node each, by the mark of 16 bits that words name it by, and no more than there
    are such marks; they are made anew when the living change, with what did not move carried over."""

    def __init__(self, seats: Iterable[int]) -> None:
        self.seats: tuple[int, ...] = tuple(sorted({*seats}))
        self._told: dict[int, int] = {}
        self._since: dict[int, float] = {}

    def keeper(self, node: int) -> int:
        """The keeper's seat; -1 where there is none."""
        found = self._told.get(node)
        if found is None:
            found = self._told[node] = first(node, self.seats)
        return found

    def settled(self, node: int, now: float) -> bool:
        """Whether its keeper has been so for long enough to know what is out at the node."""
        return now >= self._since.get(node, -1e15) + SETTLE_MS

    def living(self, seats: Iterable[int], now: float) -> bool:
        """The living changed; whether any seat came or went."""
        now_seats = tuple(sorted({*seats}))
        if now_seats == self.seats:
            return False
        before, self.seats = self._told, now_seats
        self._told = {node: first(node, now_seats) for node in before}
        self._since = {
            node: now if self._told[node] != keeper else at
            for node, keeper in before.items()
            if (at := self._since.get(node, -1e15)) > now - SETTLE_MS or self._told[node] != keeper
        }
        return True


def first(node: int, seats: tuple[int, ...]) -> int:
    return max(seats, key=lambda seat: (crc32(b"%d:%d" % (node, seat)), seat), default=-1)

"""How much of the fleet's talk one dispatcher takes up in a second, whatever happens to the fleet.

Pages cost by their length, since what they hold is what takes time. What comes beyond the ration waits, the
most useful first: answers to one's own probes, then what others need to hear from this one, then news, which
comes again anyhow. What waits for too long is of no use to anybody. Guards against a fleet whose processes
starve being kept there by its own talk: 140 of 200 that came back at once made 60 pages a second for each.

Free of I/O and clock.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")

A_SECOND = 60.0  # units; at rest a member of two hundred takes up some 8
BURST = 120.0
UNIT_BYTES = 1024.0
LEAST = 0.5  # of any page, however short
OF_NEED = 60.0  # beyond what there is, for answers, probes and words: who does not answer is called dead
MOST_WAITING = 96
STALE_MS = 1500.0  # who probed has asked others, or again, by then
RANKS = {b"a": 0, b"c": 0, b"h": 0, b"p": 1, b"w": 1, b"q": 2, b"v": 2, b"n": 3}
"""By the letter that a page begins with: answers, probes and words, asks for others and of the configuration,
news."""


def cost(kind: bytes, length: int) -> float:
    """Words between modules are not the fleet's talk, and short work."""
    return length / UNIT_BYTES if kind == b"w" else LEAST + length / UNIT_BYTES


class InboundBudget(Generic[T]):
    """`waiting` is emptied by `next`; at most MOST_WAITING pages of all ranks stand there."""

    def __init__(self, now: float, a_second: float = A_SECOND, burst: float = BURST) -> None:
        self.a_second, self.burst = a_second, burst
        self.dropped = 0
        self.waiting: list[deque[tuple[float, float, T]]] = [deque() for _ in range(1 + max(RANKS.values()))]
        self._store, self._at = burst, now

    @property
    def short(self) -> bool:
        """More came than can be taken up: this one says the least that keeps it known."""
        return self._store < 0.25 * self.burst

    def came(self, kind: bytes, length: int, page: T, now: float) -> None:
        """A page came; one that nothing is known of has the last rank."""
        rank = RANKS.get(kind, len(self.waiting) - 1)
        self.waiting[rank].append((now, cost(kind, length), page))
        if sum(map(len, self.waiting)) > MOST_WAITING:
            for least in reversed(self.waiting):
                if least:
                    least.popleft()
                    self.dropped += 1
                    break

    def spent(self, kind: bytes, length: int, now: float) -> None:
        """A page of one's own was sent: that is work too. An answer is paid for by what it answers, and a
        word to all by its module: else a keeper that told two hundred would not answer for two seconds."""
        if kind not in (b"a", b"c", b"h", b"w"):
            self._fill(now)
            self._store = max(self._store - cost(kind, length), -OF_NEED)

    def next(self, now: float) -> T | None:
        """The page to take up now; None where none waits or the ration is used up."""
        self._fill(now)
        for rank, held in enumerate(self.waiting):
            while held:
                came, units, page = held[0]
                if now - came > STALE_MS:
                    held.popleft()
                    self.dropped += 1
                    continue
                if self._store < self._least(rank):
                    return None
                held.popleft()
                self._store -= units
                return page
        return None

    def due(self, now: float) -> float | None:
        """When the next page may be taken up; None where none waits."""
        rank = next((rank for rank, held in enumerate(self.waiting) if held), None)
        if rank is None:
            return None
        self._fill(now)
        return now + max(0.0, self._least(rank) - self._store) / self.a_second * 1000.0

    def _least(self, rank: int) -> float:
        return -OF_NEED if rank <= 1 else 0.0

    def _fill(self, now: float) -> None:
        self._store = min(self.burst, self._store + max(0.0, now - self._at) / 1000.0 * self.a_second)
        self._at = now

"""Chance that follows from a seed alone, so that a run can be repeated."""

from __future__ import annotations

from zlib import crc32


class SeededChance:
    """A sequence of numbers by crc32.

    Attributes:
        seed: Of the sequence.
        count: Where the sequence stands; increases with each draw.
    """

    def __init__(self, seed: int, first_count: int) -> None:
        self.seed = seed
        self.count = first_count

    def fraction(self) -> float:
        """The next number, from 0 to below 1."""
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) / 2.0**32

    def index(self, length: int) -> int:
        """An index into a sequence of this length."""
        return int(self.fraction() * length)

    def pick(self, names: list[str]) -> str:
        """One of the names."""
        return names[self.index(len(names))]

    def jittered(self, interval_ms: float) -> float:
        """An interval from three to five quarters of this one."""
        return interval_ms * (0.75 + 0.5 * self.fraction())

    def nonce(self) -> int:
        """A number that no other draw gives soon; never 0."""
        nonce = int(self.fraction() * 2**32) << 20 | self.count & 0xFFFFF
        return nonce or 1

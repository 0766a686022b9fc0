"""A pseudo-random source that depends on its seed alone, so that a run can be repeated."""

from __future__ import annotations

from zlib import crc32


class SeededRandom:
    """A pseudo-random sequence: the crc32 of the seed and a counter.

    Attributes:
        seed: The seed of the sequence.
        count: The counter of the last draw; it increases by 1 with each draw.
    """

    def __init__(self, seed: int, first_count: int) -> None:
        self.seed = seed
        self.count = first_count

    def fraction(self) -> float:
        """Draw a number from 0 to below 1."""
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) / 2.0**32

    def index(self, length: int) -> int:
        """Draw an index into a sequence of this length."""
        return int(self.fraction() * length)

    def pick(self, names: list[str]) -> str:
        """Draw one of the names."""
        return names[self.index(len(names))]

    def jittered(self, interval_ms: float) -> float:
        """Draw a duration between 0.75 and 1.25 times the interval, in ms."""
        return interval_ms * (0.75 + 0.5 * self.fraction())

    def nonce(self) -> int:
        """Draw a number that is never 0.

        The low 20 bits are the counter, so that nonces differ for 2**20 draws.
        """
        nonce = int(self.fraction() * 2**32) << 20 | self.count & 0xFFFFF
        return nonce or 1

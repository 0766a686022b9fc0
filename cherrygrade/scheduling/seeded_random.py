"""Random numbers computed from a seed and a counter, so that a run can be repeated exactly."""

from __future__ import annotations

from zlib import crc32

CRC_VALUES = 2.0**32


def random_uint32(seed: int, number: int) -> int:
    """Return a 32-bit random number for a seed and the number of the draw."""
    return crc32(f"{seed}:{number}".encode())


def random_fraction(seed: int, value: float) -> float:
    """Return a random number in [0, 1) for a seed and a value that identifies the draw."""
    return crc32(f"{seed}:{value}".encode()) / CRC_VALUES


class Counter:
    """Counts up from 1. One counter numbers the random draws and the heap entries of a scheduler."""

    def __init__(self) -> None:
        self.value = 0

    def next(self) -> int:
        """Return the next number."""
        self.value += 1
        return self.value

"""Random numbers computed from a seed and a counter, so that a run can be repeated exactly."""

from __future__ import annotations

from zlib import crc32

CRC_VALUES = 2.0**32


def random_uint32(seed: int, number: int) -> int:
    """A 32-bit number for the draw of this number."""
    return crc32(f"{seed}:{number}".encode())


def random_fraction(seed: int, value: float) -> float:
    """A number from 0 up to 1 for a draw that is told from others by this value."""
    return crc32(f"{seed}:{value}".encode()) / CRC_VALUES


class Counter:
    """Numbers in order; draws and heap entries share them."""

    def __init__(self) -> None:
        self.value = 0

    def next(self) -> int:
        """The next number."""
        self.value += 1
        return self.value

"""Which extent of a volume lies on which shard, as far as is known. Free of I/O.

A later epoch of the register, and within one epoch a higher version of an entry, replaces what is known;
nothing else does, whichever way it came. Entries go with their volume, which stays while it is served.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

NOWHERE = 2**31 - 1  # a shard that no node holds: where an extent lies is not known now


@dataclass(frozen=True, slots=True)
class Stretch:
    """A part of a range within one extent: bytes from `start` of the extent, at `at` of the range."""

    extent: int
    start: int
    length: int
    at: int


@dataclass(slots=True)
class _Volume:
    epoch: int
    size: int
    extent_bytes: int
    homes: list[tuple[int, int]]  # shard and version, by extent


class ExtentMap:
    def __init__(self) -> None:
        self._volumes: dict[str, _Volume] = {}

    def known(self, volume: str) -> bool:
        return volume in self._volumes

    def size(self, volume: str) -> int:
        return self._volumes[volume].size

    def home(self, volume: str, extent: int) -> tuple[int, int]:
        """Shard and version; NOWHERE and -1 where not known."""
        held = self._volumes.get(volume)
        if held is None or not 0 <= extent < len(held.homes):
            return NOWHERE, -1
        return held.homes[extent]

    def hear(
        self,
        volume: str,
        epoch: int,
        size: int,
        extent_bytes: int,
        first: int,
        homes: Iterable[tuple[int, int]],
    ) -> list[int]:
        """A word of the register on extents from `first` on; gives those of which it told something new."""
        held = self._volumes.get(volume)
        if held is not None and epoch < held.epoch:
            return []
        if held is None or epoch > held.epoch or held.extent_bytes != extent_bytes:
            count = -(-size // extent_bytes)
            held = self._volumes[volume] = _Volume(epoch, size, extent_bytes, [(NOWHERE, -1)] * count)
        learned = []
        for extent, (shard, version) in enumerate(homes, first):
            if 0 <= extent < len(held.homes) and version > held.homes[extent][1]:
                held.homes[extent] = (shard, version)
                learned.append(extent)
        return learned

    def forget(self, volume: str, extent: int, version: int) -> None:
        """A node's answer told that this entry is old; a newer one heard meanwhile stays."""
        held = self._volumes.get(volume)
        if held is not None and 0 <= extent < len(held.homes) and held.homes[extent][1] <= version:
            held.homes[extent] = (NOWHERE, held.homes[extent][1])

    def stretches(self, volume: str, offset: int, length: int, most: int) -> Iterator[Stretch]:
        """The range cut at the ends of extents, and into pieces of at most `most` bytes on its even marks."""
        extent_bytes = self._volumes[volume].extent_bytes
        at, end = offset, offset + length
        while at < end:
            extent, start = divmod(at, extent_bytes)
            stop = min(end, (extent + 1) * extent_bytes, extent * extent_bytes + (start // most + 1) * most)
            yield Stretch(extent, start, stop - at, at - offset)
            at = stop

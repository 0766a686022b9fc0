"""Which shard each extent of a volume is on, as far as that is known. Uses no I/O.

An entry is replaced only by one of a later register epoch or, within an epoch, of a higher version, whichever
way it arrives. The entries of a volume stay as long as the volume is served.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

UNKNOWN_SHARD = 2**31 - 1
"""Stands for the shard of an extent whose location is not known; no node has this shard."""


@dataclass(frozen=True, slots=True)
class ExtentSlice:
    """A part of a byte range, within one extent.

    Attributes:
        extent: Number of the extent.
        start: First byte, within the extent.
        length: Length, bytes.
        range_offset: First byte, within the range.
    """

    extent: int
    start: int
    length: int
    range_offset: int


@dataclass(slots=True)
class _Volume:
    """Attributes: `size`: bytes; `locations`: shard and version by extent."""

    epoch: int
    size: int
    extent_bytes: int
    locations: list[tuple[int, int]]


class ExtentMap:
    """The locations of the extents of all volumes that were asked for."""

    def __init__(self) -> None:
        self._volumes: dict[str, _Volume] = {}

    def known(self, volume: str) -> bool:
        """Return whether the size of the volume and of its extents is known."""
        return volume in self._volumes

    def size(self, volume: str) -> int:
        """Return the size of a known volume, bytes."""
        return self._volumes[volume].size

    def location(self, volume: str, extent: int) -> tuple[int, int]:
        """Return the shard and the version of an extent; UNKNOWN_SHARD and -1 if they are not known."""
        known = self._volumes.get(volume)
        if known is None or not 0 <= extent < len(known.locations):
            return UNKNOWN_SHARD, -1
        return known.locations[extent]

    def update(
        self,
        volume: str,
        epoch: int,
        size: int,
        extent_bytes: int,
        first: int,
        locations: Iterable[tuple[int, int]],
    ) -> list[int]:
        """Take in a message of the register.

        Args:
            volume: Name of the volume.
            epoch: Epoch of the register.
            size: Size of the volume, bytes.
            extent_bytes: Size of an extent, bytes.
            first: Number of the first extent in `locations`.
            locations: Shard and version by extent.

        Returns:
            The extents whose entry was replaced.
        """
        known = self._volumes.get(volume)
        if known is not None and epoch < known.epoch:
            return []
        if known is None or epoch > known.epoch or known.extent_bytes != extent_bytes:
            count = -(-size // extent_bytes)
            known = self._volumes[volume] = _Volume(epoch, size, extent_bytes, [(UNKNOWN_SHARD, -1)] * count)
        updated = []
        for extent, (shard, version) in enumerate(locations, first):
            if 0 <= extent < len(known.locations) and version > known.locations[extent][1]:
                known.locations[extent] = (shard, version)
                updated.append(extent)
        return updated

    def forget(self, volume: str, extent: int, version: int) -> None:
        """Drop an entry that a node reported as outdated, unless a newer version was received meanwhile."""
        known = self._volumes.get(volume)
        if known is not None and 0 <= extent < len(known.locations) and known.locations[extent][1] <= version:
            known.locations[extent] = (UNKNOWN_SHARD, known.locations[extent][1])

    def slices(self, volume: str, offset: int, length: int, max_bytes: int) -> Iterator[ExtentSlice]:
        """Cut a range of a known volume at the ends of extents and into parts of at most `max_bytes`.

        Within an extent the cuts are at multiples of `max_bytes`.
        """
        extent_bytes = self._volumes[volume].extent_bytes
        at, end = offset, offset + length
        while at < end:
            extent, start = divmod(at, extent_bytes)
            stop = min(
                end, (extent + 1) * extent_bytes, extent * extent_bytes + (start // max_bytes + 1) * max_bytes
            )
            yield ExtentSlice(extent, start, stop - at, at - offset)
            at = stop

"""Groups time-outs into slots, so that one event-loop timer serves all. Free of I/O and clock."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")


class TimerWheel(Generic[T]):
    """Items with an expiry time, kept in slots of `resolution_ms`.

    An item is taken out up to one resolution late and never early. Items leave by `remove` and by
    `take_expired`; the heap has one number for each slot in use.
    """

    def __init__(self, resolution_ms: float = 5.0) -> None:
        """`resolution_ms`: length of a slot."""
        self.resolution_ms = resolution_ms
        self._slots: dict[int, dict[T, None]] = {}
        self._slot_heap: list[int] = []

    def add(self, item: T, expires_ms: float) -> int:
        """Add an item and return its slot, which `remove` needs."""
        slot = int(expires_ms // self.resolution_ms) + 1
        items = self._slots.get(slot)
        if items is None:
            items = self._slots[slot] = {}
            heappush(self._slot_heap, slot)
        items[item] = None
        return slot

    def remove(self, item: T, slot: int) -> None:
        """Remove an item; does nothing if it has been taken out already."""
        items = self._slots.get(slot)
        if items is not None:
            items.pop(item, None)

    def take_expired(self, now: float) -> list[T]:
        """Remove and return the expired items, by slot, and within a slot in the order they were added."""
        expired: list[T] = []
        while self._slot_heap and self._slot_heap[0] * self.resolution_ms <= now:
            expired.extend(self._slots.pop(heappop(self._slot_heap)))
        return expired

    def next_expiry_ms(self) -> float | None:
        """Return when `take_expired` next has something to return, or None; removes empty slots."""
        while self._slot_heap and not self._slots[self._slot_heap[0]]:
            del self._slots[heappop(self._slot_heap)]
        return self._slot_heap[0] * self.resolution_ms if self._slot_heap else None

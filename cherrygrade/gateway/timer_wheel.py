"""Which sends are out of time, without a timer each. Free of I/O and clock."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")


class TimerWheel(Generic[T]):
    """Items due at a time, kept in slots of `grain` ms; an item comes out up to one grain late, never early.

    Emptied by `drop` and by `due`; the heap holds one number a slot that is in use.
    """

    def __init__(self, grain: float = 5.0) -> None:
        self.grain = grain
        self._slots: dict[int, dict[T, None]] = {}
        self._order: list[int] = []

    def add(self, item: T, at: float) -> int:
        """Gives the slot, which `drop` wants back."""
        slot = int(at // self.grain) + 1
        held = self._slots.get(slot)
        if held is None:
            held = self._slots[slot] = {}
            heappush(self._order, slot)
        held[item] = None
        return slot

    def remove(self, item: T, slot: int) -> None:
        """Nothing happens where the item came out already."""
        held = self._slots.get(slot)
        if held is not None:
            held.pop(item, None)

    def take_expired(self, now: float) -> list[T]:
        """Take out what is due, in the order of its times by slot, of its putting within one."""
        found: list[T] = []
        while self._order and self._order[0] * self.grain <= now:
            found.extend(self._slots.pop(heappop(self._order)))
        return found

    def next_expiry_ms(self) -> float | None:
        """When to look again; slots that emptied meanwhile are cleared away here."""
        while self._order and not self._slots[self._order[0]]:
            del self._slots[heappop(self._order)]
        return self._order[0] * self.grain if self._order else None

"""Orders at whoever carries them out: one with a lower number than was seen does nothing.

Free of I/O and clock.
"""

from __future__ import annotations


class FencingGuard:
    """An old leader's or holder's come to nothing. `seen`: the highest number for each thing or task of the
    fleet's; who has something to lose keeps it over a restart, on disk before it carries an order out."""

    def __init__(self, seen: dict[str, int] | None = None) -> None:
        self.seen = dict(seen or {})

    def take(self, name: str, number: int) -> bool:
        """Whether to carry it out; the same one again is carried out again, as its answer may be lost."""
        if number < self.seen.get(name, 0):
            return False
        self.seen[name] = number
        return True

"""Fencing: an order with a lower number than one that was accepted before is refused.

For whoever carries out the orders of leaders and lease holders. Free of I/O and clock.
"""

from __future__ import annotations


class FencingGuard:
    """Refuses the orders of former leaders and holders.

    Attributes:
        highest: By resource or task, the highest number accepted; never decreases. Whoever has something to
            lose stores it, before an order is carried out, and gives it back after a restart.
    """

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self.highest = dict(highest or {})

    def accept(self, name: str, number: int) -> bool:
        """Whether to carry an order out; one that is repeated is, as its answer may be lost."""
        if number < self.highest.get(name, 0):
            return False
        self.highest[name] = number
        return True

"""Fencing: a receiver refuses an order whose number is lower than one that it accepted before.

Receivers of orders from leaders and lease holders use it. This module does no I/O and reads no clock.
"""

from __future__ import annotations


class FencingGuard:
    """Refuses the orders of former leaders and holders.

    Attributes:
        highest: By resource or task, the highest number accepted; never decreases. A receiver for which
            a late order does harm stores these numbers before it carries an order out, and passes them
            in again after a restart.
    """

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self.highest = dict(highest or {})

    def accept(self, name: str, number: int) -> bool:
        """Return whether to carry an order out, and remember its number.

        An order whose number equals the highest one is carried out: it may repeat an order whose
        reply was lost.
        """
        if number < self.highest.get(name, 0):
            return False
        self.highest[name] = number
        return True

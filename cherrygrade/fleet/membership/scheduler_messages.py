"""Which messages between schedulers are delivered.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cherrygrade.fleet.membership import seat_claims
from cherrygrade.fleet.membership.messages import SchedulerMessage
from cherrygrade.fleet.membership.table import Member, MembershipTable

MAX_MESSAGES_PER_SECOND = 400
"""Of one member; the rest is dropped."""


@dataclass(slots=True)
class _SecondCount:
    """Messages of one member in the second that began at `began`, ms."""

    began: float = 0.0
    count: int = 0


class SchedulerMessageFilter:
    """Delivers messages of the member that holds the seat it speaks for, up to a rate.

    Counts by member name are dropped once the member is no longer living.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _SecondCount] = {}

    def accepts(
        self, message: SchedulerMessage, sender: Member | None, table: MembershipTable, now: float
    ) -> bool:
        """Whether to deliver the message; counts it against its sender's rate.

        Args:
            message: What came.
            sender: The member of the message's name; None where it is not known.
            table: The members, to find the holder of the seat.
            now: The time, ms.
        """
        if sender is None or not sender.living or sender.incarnation != message.incarnation:
            return False
        if message.seat < 0 or seat_claims.holder(table, message.seat) is not sender:
            return False
        second = self._counts.setdefault(message.name, _SecondCount())
        if now < second.began + 1000.0:
            second.count += 1
        else:
            second.began = now
            second.count = 1
        return second.count <= MAX_MESSAGES_PER_SECOND

    def forget(self, is_living: Callable[[str], bool]) -> None:
        """Drop the counts of members that are no longer living."""
        self._counts = {name: second for name, second in self._counts.items() if is_living(name)}

"""Decides which messages of other dispatchers' schedulers are delivered.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cherrygrade.fleet.membership import seat_claims
from cherrygrade.fleet.membership.messages import SchedulerMessage
from cherrygrade.fleet.membership.table import Member, MembershipTable

MAX_MESSAGES_PER_SECOND = 400
"""Messages of one member that are delivered in a second; further ones are dropped."""


@dataclass(slots=True)
class _SecondCount:
    """Number of messages of one member in the second that began at `start_ms`."""

    start_ms: float = 0.0
    count: int = 0


class SchedulerMessageFilter:
    """Accepts messages whose sender has the seat that the message names, up to a rate.

    The counts by member name are dropped once the member is no longer living.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _SecondCount] = {}

    def accepts(
        self, message: SchedulerMessage, sender: Member | None, table: MembershipTable, now: float
    ) -> bool:
        """Return whether to deliver a message, and count it towards its sender's rate.

        Args:
            message: The received message.
            sender: The member with the sender's name; None where it is not known.
            table: The membership table, which determines who has the seat.
            now: The current time, ms.
        """
        if sender is None or not sender.living or sender.incarnation != message.incarnation:
            return False
        if message.seat < 0 or seat_claims.holder(table, message.seat) is not sender:
            return False
        second = self._counts.setdefault(message.name, _SecondCount())
        if now < second.start_ms + 1000.0:
            second.count += 1
        else:
            second.start_ms = now
            second.count = 1
        return second.count <= MAX_MESSAGES_PER_SECOND

    def forget(self, is_living: Callable[[str], bool]) -> None:
        """Drop the counts of members that are no longer living."""
        self._counts = {name: second for name, second in self._counts.items() if is_living(name)}

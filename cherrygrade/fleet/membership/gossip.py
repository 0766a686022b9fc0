"""Queue of the member records that are to be passed on by gossip.

Each member that receives a changed record passes it on a limited number of times: with every probe and ack
that it sends, and, while the record is fresh, in a few datagrams that are sent for it alone. So the record
reaches the fleet within a few hops instead of a few probe periods (rumour mongering: Demers and others 1987).
Records that were lost are recovered by the exchange of full tables (`table_exchange.py`).

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log2
from zlib import crc32

from cherrygrade.fleet.membership.table import MemberRecord, MembershipTable, MemberState

RETRANSMIT_FACTOR = 1.0
"""Times that a member passes a record on, divided by the base-2 logarithm of the number of members."""

MIN_TRANSMISSIONS = 2
"""Times that a member passes a record on at least, however many records are queued."""

FANOUT = 3
"""Members to which a push of fresh records is sent."""

PUSH_DELAY_MS = 50.0
"""How long a fresh record waits for other records to be pushed together with it."""

PUSH_INTERVAL_MS = 400.0
"""Minimum time between two pushes of one member; prevents a storm when many records change at once."""

SHORT_PUSH_INTERVAL_MS = 100.0
"""The same while at most `MAX_RECORDS` records are queued: the refutation of a wrong suspicion has to arrive
before the suspicion ends."""

NEVER_MS = 1e15
"""A time that is never reached."""

MAX_RECORDS = 16
"""Records in one probe or ack."""

MAX_PUSHED_RECORDS = 40
"""Records without info in one push."""

RECORD_COST = 1.0
"""Size of a record without info, in the unit of `MAX_PUSHED_RECORDS`."""

RECORD_WITH_INFO_COST = 2.5
"""Size of a record with info, in the same unit."""


class GossipQueue:
    """Names of the members whose record is to be passed on.

    Attributes:
        seed: Seed of the order in which this member passes records on.
        transmissions: How often the record of each queued member was passed on, by name. A change of the
            record sets the count to 0; an entry is removed once the count is high enough, or by `drop`.
        fresh: Names of members whose record was not pushed yet.
        next_push_ms: When the next push may be sent, ms; `NEVER_MS` where no record is fresh.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.transmissions: dict[str, int] = {}
        self.fresh: set[str] = set()
        self.next_push_ms = NEVER_MS
        self._ranks: dict[str, int] = {}  # same keys as `transmissions`
        self._last_push_ms = -NEVER_MS

    def add(self, name: str, now: float) -> None:
        """Queue a member's record, which has changed."""
        self.transmissions[name] = 0
        if name not in self._ranks:
            self._ranks[name] = crc32(f"{self.seed}:{name}".encode())
        self.fresh.add(name)
        many_queued = len(self.transmissions) > MAX_RECORDS
        interval_ms = PUSH_INTERVAL_MS if many_queued else SHORT_PUSH_INTERVAL_MS
        self.next_push_ms = min(self.next_push_ms, max(now + PUSH_DELAY_MS, self._last_push_ms + interval_ms))

    def drop(self, name: str) -> None:
        """Remove a member's record from the queue, because other members have it already."""
        if self.transmissions.pop(name, None) is not None:
            del self._ranks[name]
        self.fresh.discard(name)

    def pick(
        self, table: MembershipTable, max_count: int = MAX_RECORDS, first: Iterable[str] = ()
    ) -> list[MemberRecord]:
        """Choose records to send with a datagram, and count them as passed on.

        Args:
            table: The table that has the records.
            max_count: Maximum number of records.
            first: Names of members whose records precede all others, whether they are queued or not.

        Returns:
            The records of `first`, then the queued records that were passed on least often.
        """
        limit = self._max_transmissions(len(table.members))
        names = [name for name in dict.fromkeys(first) if name in table.members][:max_count]
        others = [name for name in self.transmissions if name not in names] if names else self.transmissions
        names += nsmallest(max_count - len(names), others, key=self._rank)
        records = []
        for name in names:
            if name in self.transmissions:
                self._count_transmission(name, limit, name in table.members)
            if name in table.members:
                # No receiver needs the address of a dead member, and receivers have that of a suspect.
                records.append(table.members[name].record(_carries_info(table, name)))
        return records

    def push(self, table: MembershipTable, now: float) -> list[MemberRecord]:
        """Return the fresh records for one push; empty before `next_push_ms`.

        Records that do not fit wait for the next push.
        """
        if now < self.next_push_ms:
            return []
        self.fresh &= self.transmissions.keys()
        names: list[str] = []
        capacity = float(MAX_PUSHED_RECORDS)
        for name in nsmallest(MAX_PUSHED_RECORDS, self.fresh, key=self._rank):
            capacity -= RECORD_WITH_INFO_COST if _carries_info(table, name) else RECORD_COST
            if capacity < 0.0:
                break
            names.append(name)
        self.fresh -= {*names}
        self._last_push_ms = now
        self.next_push_ms = now + PUSH_INTERVAL_MS if self.fresh else NEVER_MS
        return self.pick(table, len(names), names)

    def _max_transmissions(self, member_count: int) -> int:
        """Return how often a record is passed on.

        While many records are queued each is passed on less often, because the exchange of tables is cheaper
        then.
        """
        limit = ceil(RETRANSMIT_FACTOR * log2(member_count + 1))
        return max(MIN_TRANSMISSIONS, limit * MAX_RECORDS // max(MAX_RECORDS, len(self.transmissions)))

    def _count_transmission(self, name: str, limit: int, known: bool) -> None:
        self.transmissions[name] += 1
        if self.transmissions[name] >= limit or not known:
            del self.transmissions[name]
            del self._ranks[name]

    def _rank(self, name: str) -> tuple[int, int]:
        """Return a sort key: records that were passed on least often come first.

        Records with the same count have a different order on each member, so that the members do not all
        pass on the same few records of many.
        """
        return self.transmissions.get(name, 0), self._ranks.get(name, 0)


def _carries_info(table: MembershipTable, name: str) -> bool:
    """Return whether a member's record is sent with info: only the record of an alive member is."""
    member = table.members.get(name)
    return member is not None and member.state is MemberState.ALIVE

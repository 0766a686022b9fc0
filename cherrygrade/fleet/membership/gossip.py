"""How records of members spread.

A record is passed on a bounded number of times by each member that receives it: on every probe and ack, and
in a few datagrams of its own while it is fresh, so that it is all over the fleet in a few hops rather than a
few rounds of probes (rumour mongering: Demers and others 1987). What was lost is made good by the exchange
of whole tables (`table_exchange.py`).

Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log2
from zlib import crc32

from cherrygrade.fleet.membership.table import MemberRecord, MembershipTable, MemberState

RETRANSMIT_FACTOR = 1.0
"""A record is passed on this many times the logarithm (base 2) of the fleet's size."""

MIN_TRANSMISSIONS = 2
"""Of a record, however many there are."""

FANOUT = 3
"""Members that get a push of fresh records."""

PUSH_DELAY_MS = 50.0
"""How long a fresh record waits for others to go along."""

PUSH_INTERVAL_MS = 400.0
"""Between two pushes of one member; guards against a storm when many records change at once."""

SHORT_PUSH_INTERVAL_MS = 100.0
"""The same while few records change: one that is wrongly suspected has no time to lose."""

NEVER_MS = 1e15

MAX_RECORDS = 16
"""On one probe or ack."""

MAX_PUSHED_RECORDS = 40
"""On one push, counted in records without info."""

RECORD_COST = 1.0
"""Of a record without info, in the unit of `MAX_PUSHED_RECORDS`."""

RECORD_WITH_INFO_COST = 2.5
"""Of a record with info, in the same unit."""


class GossipQueue:
    """Records to be passed on, by member.

    Attributes:
        seed: Of this member's own order of records.
        transmissions: How often each member's record was passed on. An entry goes once that is often
            enough, or with `drop`; a change of the record sets it to 0.
        fresh: Members whose record was not pushed yet.
        push_at: When the next push is due, ms; `NEVER_MS` where nothing is fresh.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.transmissions: dict[str, int] = {}
        self.fresh: set[str] = set()
        self.push_at = NEVER_MS
        self._ranks: dict[str, int] = {}  # same keys as `transmissions`
        self._pushed_at = -NEVER_MS

    def add(self, name: str, now: float) -> None:
        """The member's record changed."""
        self.transmissions[name] = 0
        if name not in self._ranks:
            self._ranks[name] = crc32(f"{self.seed}:{name}".encode())
        self.fresh.add(name)
        many = len(self.transmissions) > MAX_RECORDS
        interval_ms = PUSH_INTERVAL_MS if many else SHORT_PUSH_INTERVAL_MS
        self.push_at = min(self.push_at, max(now + PUSH_DELAY_MS, self._pushed_at + interval_ms))

    def drop(self, name: str) -> None:
        """The member's record need not be passed on: others know it."""
        if self.transmissions.pop(name, None) is not None:
            del self._ranks[name]
        self.fresh.discard(name)

    def pick(
        self, table: MembershipTable, max_count: int = MAX_RECORDS, first: Iterable[str] = ()
    ) -> list[MemberRecord]:
        """Records to go along with a datagram; counts them as passed on.

        Args:
            table: Where the records are.
            max_count: How many at most.
            first: Members whose record goes before all, whether it is queued or not.

        Returns:
            Those of `first`, then those passed on least often.
        """
        limit = self._max_transmissions(len(table.members))
        names = [name for name in dict.fromkeys(first) if name in table.members][:max_count]
        rest = [name for name in self.transmissions if name not in names] if names else self.transmissions
        names += nsmallest(max_count - len(names), rest, key=self._rank)
        records = []
        for name in names:
            if name in self.transmissions:
                self._count_transmission(name, limit, name in table.members)
            if name in table.members:
                # Nobody needs the address of the dead, nor again that of a suspect.
                records.append(table.members[name].record(_carries_info(table, name)))
        return records

    def push(self, table: MembershipTable, now: float) -> list[MemberRecord]:
        """Records of one datagram of fresh gossip; empty before `push_at`.

        What does not fit waits for the next push.
        """
        if now < self.push_at:
            return []
        self.fresh &= self.transmissions.keys()
        names: list[str] = []
        room = float(MAX_PUSHED_RECORDS)
        for name in nsmallest(MAX_PUSHED_RECORDS, self.fresh, key=self._rank):
            room -= RECORD_WITH_INFO_COST if _carries_info(table, name) else RECORD_COST
            if room < 0.0:
                break
            names.append(name)
        self.fresh -= {*names}
        self._pushed_at = now
        self.push_at = now + PUSH_INTERVAL_MS if self.fresh else NEVER_MS
        return self.pick(table, len(names), names)

    def _max_transmissions(self, members: int) -> int:
        """How often a record is passed on.

        With many records at once each is passed on less often: the exchange of tables is cheaper then.
        """
        limit = ceil(RETRANSMIT_FACTOR * log2(members + 1))
        return max(MIN_TRANSMISSIONS, limit * MAX_RECORDS // max(MAX_RECORDS, len(self.transmissions)))

    def _count_transmission(self, name: str, limit: int, known: bool) -> None:
        self.transmissions[name] += 1
        if self.transmissions[name] >= limit or not known:
            del self.transmissions[name]
            del self._ranks[name]

    def _rank(self, name: str) -> tuple[int, int]:
        """What was passed on least goes first.

        Among equals each member has an order of its own, so that not all pass on the same few of many.
        """
        return self.transmissions.get(name, 0), self._ranks.get(name, 0)


def _carries_info(table: MembershipTable, name: str) -> bool:
    member = table.members.get(name)
    return member is not None and member.state is MemberState.ALIVE

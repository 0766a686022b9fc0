"""How news of members travels, and when whole rolls are compared.

News is told a bounded number of times by each who hears it: on every probe and answer, and in a few
datagrams of its own while it is fresh, so that a word is all over the fleet in a few hops and not in a few
rounds of probes (rumour mongering: Demers and others 1987). What got lost is mended by digests of the
whole roll, which ride along too: where they differ for a while, two members exchange their rolls over a
stream.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log2
from zlib import crc32

from cherrygrade.fleet.membership.table import MemberRecord, MembershipTable, MemberState

TELL_FACTOR = 1.0  # an item is told so many times the logarithm of the fleet's size, then no more
LEAST_TOLD = 2
FAN = 3  # who gets a datagram of fresh news
PUSH_MS = 50.0  # fresh news waits so long for more of it
AGAIN_MS = 400.0  # between two pushes of one member: guards against a storm when much is news at once
BRIEF_MS = 100.0  # while it is little: who is wrongly suspected has no time to lose
NEVER = 1e15
MOST_ITEMS = 16  # of news on one datagram that tell all of a member
MOST_SHORT = 40  # on one of fresh news, as far as they are words of suspicion and death, which tell less
FULL, SHORT = 2.5, 1.0  # what the two take of a datagram's MOST_SHORT
DIFFER_MS = 1000.0  # digests have to differ for so long: news under way explains less than that
EXCHANGE_MS = 1000.0  # between two exchanges that this member begins


def _tells_all(roll: MembershipTable, name: str) -> bool:
    member = roll.members.get(name)
    return member is not None and member.standing is MemberState.ALIVE


class GossipQueue:
    """`items`: names of whom there is news, and how many times it was told. Emptied by telling, and by new
    news."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.items: dict[str, int] = {}
        self._places: dict[str, int] = {}  # each name's place in this member's order; goes with its item
        self.fresh: set[str] = set()  # not pushed yet; emptied by pushes
        self.push_at = NEVER
        self._pushed_at = -NEVER

    def add(self, name: str, now: float) -> None:
        self.items[name] = 0
        if name not in self._places:
            self._places[name] = crc32(f"{self.seed}:{name}".encode())
        self.fresh.add(name)
        pause = AGAIN_MS if len(self.items) > MOST_ITEMS else BRIEF_MS
        self.push_at = min(self.push_at, max(now + PUSH_MS, self._pushed_at + pause))

    def drop(self, name: str) -> None:
        """Others know it."""
        if self.items.pop(name, None) is not None:
            del self._places[name]
        self.fresh.discard(name)

    def _order(self, name: str) -> tuple[int, int]:
        """What was told least goes first; else each member has an order of its own, so that not all tell the
        same few of many."""
        return self.items.get(name, 0), self._places.get(name, 0)

    def pick(
        self, roll: MembershipTable, most: int = MOST_ITEMS, first: Iterable[str] = ()
    ) -> list[MemberRecord]:
        """What goes along with a datagram: `first` before all, then what was told least."""
        limit = ceil(TELL_FACTOR * log2(len(roll.members) + 1))
        # Of much news at once each is told less often: whole rolls tell it cheaper.
        limit = max(LEAST_TOLD, limit * MOST_ITEMS // max(MOST_ITEMS, len(self.items)))
        names = [name for name in dict.fromkeys(first) if name in roll.members][:most]
        rest = [name for name in self.items if name not in names] if names else self.items
        names += nsmallest(most - len(names), rest, key=self._order)
        claims = []
        for name in names:
            if name in self.items:
                self.items[name] += 1
                if self.items[name] >= limit or name not in roll.members:
                    del self.items[name], self._places[name]
            if name in roll.members:
                # Nobody needs the place of the dead, nor again that of a suspect.
                claims.append(roll.members[name].claim(_tells_all(roll, name)))
        return claims

    def push(self, roll: MembershipTable, now: float) -> list[MemberRecord]:
        """One datagram's load of fresh news, once it is time; what does not fit waits for the next."""
        if now < self.push_at:
            return []
        self.fresh &= self.items.keys()
        load, room = list[str](), float(MOST_SHORT)
        for name in nsmallest(MOST_SHORT, self.fresh, key=self._order):
            room -= FULL if _tells_all(roll, name) else SHORT
            if room < 0.0:
                break
            load.append(name)
        self.fresh -= {*load}
        self._pushed_at = now
        self.push_at = now + AGAIN_MS if self.fresh else NEVER
        return self.pick(roll, len(load), load)


class ExchangeTrigger:
    """Since when all digests that come differ from the own one; one that is equal ends it. Guards against
    waiting for a second word of the same member, which in a large fleet comes late."""

    def __init__(self) -> None:
        self.since = NEVER
        self.next_at = 0.0

    def heard(self, equal: bool, now: float) -> bool:
        """A digest came; whether to exchange rolls with its member now."""
        self.since = NEVER if equal else min(self.since, now)
        if now - self.since < DIFFER_MS or now < self.next_at:
            return False
        self.since = NEVER
        self.next_at = now + EXCHANGE_MS
        return True

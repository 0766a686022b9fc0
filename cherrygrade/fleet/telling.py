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
from math import ceil, log2

from cherrygrade.fleet.roll import Claim, Roll

TELL_FACTOR = 1.0  # an item is told so many times the logarithm of the fleet's size, then no more
FAN = 3  # who gets a datagram of fresh news
PUSH_MS = 50.0  # fresh news waits so long for more of it
MOST_ITEMS = 24  # of news on one datagram
DIFFER_MS = 1000.0  # digests have to differ for so long: news under way explains less than that
EXCHANGE_MS = 1000.0  # between two exchanges that this member begins


class News:
    """`items`: names of whom there is news, and how many times it was told. Emptied by telling, and by new
    news."""

    def __init__(self) -> None:
        self.items: dict[str, int] = {}
        self.fresh: set[str] = set()  # not pushed yet; emptied by pushes
        self.push_at = 1e15

    def add(self, name: str, now: float) -> None:
        self.items[name] = 0
        self.fresh.add(name)
        self.push_at = min(self.push_at, now + PUSH_MS)

    def pick(self, roll: Roll, most: int = MOST_ITEMS, first: Iterable[str] = ()) -> list[Claim]:
        """What goes along with a datagram: `first` before all, then what was told least."""
        limit = ceil(TELL_FACTOR * log2(len(roll.members) + 1))
        names = [name for name in dict.fromkeys(first) if name in roll.members]
        told = self.items
        names += sorted((name for name in told if name not in names), key=lambda name: (told[name], name))
        claims = []
        for name in names[:most]:
            if name in self.items:
                self.items[name] += 1
                if self.items[name] >= limit or name not in roll.members:
                    del self.items[name]
            if name in roll.members:
                claims.append(roll.members[name].claim())
        return claims

    def push(self, roll: Roll, now: float) -> list[list[Claim]]:
        """Datagrams' loads of fresh news, once it is time; each goes to FAN others."""
        if now < self.push_at:
            return []
        names, self.fresh, self.push_at = sorted(self.fresh & self.items.keys()), set(), 1e15
        loads = [names[at : at + MOST_ITEMS] for at in range(0, len(names), MOST_ITEMS)]
        return [self.pick(roll, len(load), load) for load in loads]


class Exchanges:
    """Whose digest differs since when. Emptied by equal digests and with the members."""

    def __init__(self) -> None:
        self.differs: dict[str, float] = {}
        self.next_at = 0.0

    def heard(self, name: str, equal: bool, now: float) -> bool:
        """A digest came; whether to exchange rolls with its member now."""
        if equal:
            self.differs.pop(name, None)
            return False
        since = self.differs.setdefault(name, now)
        if now - since < DIFFER_MS or now < self.next_at:
            return False
        self.differs.clear()
        self.next_at = now + EXCHANGE_MS
        return True

    def forget(self, living: set[str]) -> None:
        self.differs = {name: at for name, at in self.differs.items() if name in living}

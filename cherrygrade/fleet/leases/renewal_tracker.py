"""A leader's count of how long leases still run, in its memory and by its own clock.

After Gray and Cheriton (1989): the holder reckons its end from when it asked, by its clock; who grants counts
all of it again from the last answer that it may have given, by its own. A leader that begins counts every
lease from then on, whatever was counted before it: a renewal by the one before may have been answered until
then, since each answer waits for a majority's proof (Raft's read index, Ongaro 2014, 6.4). Wall clocks decide
nothing; `drift` is by how much two clocks' pace may differ.

Free of I/O and clock.
"""

from __future__ import annotations

from cherrygrade.fleet.leases.lease_table import Lease, LeaseTable

NEVER = 1e15


class RenewalTracker:
    """`answered_at` holds the lives that hold leases; `expiring` what is on its way to be freed in
    this lead."""

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.leading_since = NEVER
        self.answered_at: dict[tuple[str, int], float] = {}
        self.expiring: set[int] = set()

    def reset(self, now: float) -> None:
        """A lead begins, or goes on being none (`now` NEVER)."""
        self.leading_since = now
        self.answered_at.clear()
        self.expiring.clear()

    def renew(self, grants: LeaseTable, holder: str, incarnation: int, now: float) -> dict[str, int]:
        """What an answer that leaves now renews, numbers by task. What is on its way to be freed is not
        renewed any more: the entry may be agreed already."""
        self.answered_at[(holder, incarnation)] = now
        return {t: n for t, n in grants.numbers_of(holder, incarnation).items() if n not in self.expiring}

    def expiry_of(self, lease: Lease) -> float:
        return self._since((lease.holder, lease.incarnation)) + lease.duration_ms * (1.0 + self.drift)

    def _since(self, life: tuple[str, int]) -> float:
        return max(self.leading_since, self.answered_at.get(life, -NEVER))

    def take_expired(self, grants: LeaseTable, now: float, most: int = 1 << 30) -> list[Lease]:
        """Those whose time is counted to the end, so many at most; each is told once in a lead. What it costs
        goes by how many live, not by how many leases they hold."""
        found: list[Lease] = []
        for life, leases in grants.by_holder.items():
            if len(found) >= most or now < self._first(grants, life):
                continue
            free = [one for one in leases.values() if one.number not in self.expiring]
            found += [one for one in free if self.expiry_of(one) <= now][: most - len(found)]
        if found:
            self.expiring |= {one.number for one in found}
            self.expiring &= {one.number for one in grants.leases.values()}
        self.answered_at = {life: at for life, at in self.answered_at.items() if life in grants.by_holder}
        return found

    def next_expiry(self, grants: LeaseTable) -> float:
        """When one may be over next; it is looked for a life at a time."""
        counts = [life for life, leases in grants.by_holder.items() if self._counts(leases)]
        return min((self._first(grants, life) for life in counts), default=NEVER)

    def _first(self, grants: LeaseTable, life: tuple[str, int]) -> float:
        """None of this life's is over before."""
        return self._since(life) + grants.min_duration_ms[life] * (1.0 + self.drift)

    def _counts(self, leases: dict[str, Lease]) -> bool:
        return not self.expiring or any(one.number not in self.expiring for one in leases.values())

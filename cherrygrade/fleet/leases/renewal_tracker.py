"""How long leases still run, as their leader counts it in memory by its own clock.

After Gray and Cheriton (1989): the holder counts the duration from when it sent the request, by its clock.
The leader counts the full duration from the last reply that it may have sent, by its own clock. A new leader
counts every lease from the beginning of its leadership: the previous leader may have replied to a renewal
until then, because each reply waits until a majority confirms the leadership (Raft's read index, Ongaro 2014,
section 6.4). No wall clock is used; `drift` is the share by which the rates of two clocks may differ.

This module does no I/O and reads no clock. Times are ms of the leader's clock.
"""

from __future__ import annotations

from cherrygrade.fleet.leases.lease_table import Lease, LeaseTable

NEVER = 1e15
"""A time in ms that is never reached."""


class RenewalTracker:
    """The leader's count of the leases' durations.

    Attributes:
        drift: The share by which the rates of two clocks may differ.
        leading_since: The time in ms at which the leadership began; NEVER while not leader.
        answered_at: The time in ms of the last reply that renewed leases, by holder and incarnation; an entry
            is removed once its incarnation holds no lease.
        expiring: The numbers of leases for which this leader has begun to write an `Expire` entry.
    """

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.leading_since = NEVER
        self.answered_at: dict[tuple[str, int], float] = {}
        self.expiring: set[int] = set()

    def reset(self, now: float) -> None:
        """Begin a leadership at a time in ms; NEVER ends it."""
        self.leading_since = now
        self.answered_at.clear()
        self.expiring.clear()

    def renew(self, table: LeaseTable, holder: str, incarnation: int, now: float) -> dict[str, int]:
        """Renew the leases of one incarnation of a holder by a reply that is sent now.

        A lease that is expiring is not renewed: its `Expire` entry may be committed already.

        Returns:
            The numbers of the renewed leases, by task.
        """
        self.answered_at[(holder, incarnation)] = now
        return {
            task: number
            for task, number in table.numbers_of(holder, incarnation).items()
            if number not in self.expiring
        }

    def expiry_of(self, lease: Lease) -> float:
        """Return the time in ms at which a lease expires."""
        return self._counted_from((lease.holder, lease.incarnation)) + lease.duration_ms * (1.0 + self.drift)

    def _counted_from(self, owner: tuple[str, int]) -> float:
        return max(self.leading_since, self.answered_at.get(owner, -NEVER))

    def take_expired(self, table: LeaseTable, now: float, max_count: int = 1 << 30) -> list[Lease]:
        """Return leases that have expired, each one once in a leadership, and mark them as expiring.

        The cost grows with the number of holders, not with the number of their leases.

        Args:
            table: The table of leases.
            now: The time in ms.
            max_count: How many leases are returned at most.
        """
        expired: list[Lease] = []
        for owner, leases in table.by_holder.items():
            if len(expired) >= max_count or now < self._earliest_expiry(table, owner):
                continue
            running = [lease for lease in leases.values() if lease.number not in self.expiring]
            expired += [lease for lease in running if self.expiry_of(lease) <= now][
                : max_count - len(expired)
            ]
        if expired:
            self.expiring |= {lease.number for lease in expired}
            self.expiring &= {lease.number for lease in table.leases.values()}
        self.answered_at = {owner: at for owner, at in self.answered_at.items() if owner in table.by_holder}
        return expired

    def next_expiry(self, table: LeaseTable) -> float:
        """Return a time in ms before which no lease expires; NEVER if none runs."""
        owners = [owner for owner, leases in table.by_holder.items() if self._has_running(leases)]
        return min((self._earliest_expiry(table, owner) for owner in owners), default=NEVER)

    def _earliest_expiry(self, table: LeaseTable, owner: tuple[str, int]) -> float:
        """Return a time in ms before which no lease of this holder expires."""
        return self._counted_from(owner) + table.min_duration_ms[owner] * (1.0 + self.drift)

    def _has_running(self, leases: dict[str, Lease]) -> bool:
        return not self.expiring or any(lease.number not in self.expiring for lease in leases.values())

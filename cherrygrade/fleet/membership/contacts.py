"""Addresses that are probed without a known member behind them.

They are contact points, and members that are said to be back.

Free of I/O, clock and chance: what varies comes from a seed and a counter.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from cherrygrade.fleet.membership.gossip import PUSH_INTERVAL_MS
from cherrygrade.fleet.membership.table import Member

JOIN_INTERVAL_MS = 500.0
"""Between two probes of contact points while no other member is known."""

REJOIN_INTERVAL_MS = 10_000.0
"""The same once one is known: a contact point may be among those beyond a partition."""

MAX_RETURNING = 16
"""Members said to be back that are probed at once."""


class Contacts:
    """When which contact point is probed.

    Attributes:
        addresses: host:port of the contact points, without this dispatcher's own.
        next_at: When the next are probed, ms.
        returning: Addresses of members that were forgotten as dead and are said to be back, by name; at
            most `MAX_RETURNING`, emptied by each probing. They are probed to confirm it themselves.
    """

    def __init__(self, addresses: Iterable[str], own_address: str, seed: int, now: float) -> None:
        self.addresses = [address for address in addresses if address != own_address]
        self.next_at = now
        self.returning: dict[str, str] = {}
        self._seed = seed
        self._count = 0

    def hasten(self, now: float) -> None:
        """Probe soon: somebody that this dispatcher does not know may have news of it."""
        self.next_at = min(self.next_at, now + PUSH_INTERVAL_MS)

    def member_returned(self, name: str, address: str, now: float) -> None:
        """Others say that a forgotten member is back at the address."""
        if len(self.returning) < MAX_RETURNING:
            self.returning[name] = address
            self.hasten(now)

    def take_due(self, others: list[Member], now: float) -> list[str]:
        """Addresses to probe now; sets the next time.

        Args:
            others: Members that are known and can be reached; their addresses need no probe.
            now: The time, ms.
        """
        chance = crc32(f"{self._seed}:contact:{self._count}".encode()) / 2.0**32
        interval_ms = REJOIN_INTERVAL_MS if others else JOIN_INTERVAL_MS
        self.next_at = now + interval_ms * (0.75 + 0.5 * chance)
        self._count += 1
        known = {member.info.address for member in others if member.info is not None}
        unknown = [address for address in self.addresses if address not in known]
        found = [unknown[self._count % len(unknown)]] if unknown else []
        found += [address for address in self.returning.values() if address not in found]
        self.returning.clear()
        return found

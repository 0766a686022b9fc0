"""Chooses the addresses to probe that do not belong to a member in the table.

These are the contact points, and addresses of dropped members that others report to be running again.

The module does no I/O and reads no clock; random choices derive from a seed and a counter.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from cherrygrade.fleet.membership.gossip import PUSH_INTERVAL_MS
from cherrygrade.fleet.membership.table import Member

JOIN_INTERVAL_MS = 500.0
"""Average time between two probes of contact points while no other member is known."""

REJOIN_INTERVAL_MS = 10_000.0
"""The same once another member is known; a contact point may belong to the other part of a partitioned
fleet."""

MAX_RETURNING = 16
"""Members reported to be running again that are probed together."""


class Contacts:
    """Schedule of the probes of contact points and returning members.

    Attributes:
        addresses: host:port of the contact points, except this dispatcher's own.
        next_probe_ms: When addresses are probed next, ms.
        returning: Addresses, by name, of members that were dropped as dead and that others report to be
            running; at most `MAX_RETURNING`. They are probed so that they confirm it themselves, and each
            `take_due` empties the dict.
    """

    def __init__(self, addresses: Iterable[str], own_address: str, seed: int, now: float) -> None:
        self.addresses = [address for address in addresses if address != own_address]
        self.next_probe_ms = now
        self.returning: dict[str, str] = {}
        self._seed = seed
        self._count = 0

    def hasten(self, now: float) -> None:
        """Probe contact points soon, to reach members that this dispatcher does not know."""
        self.next_probe_ms = min(self.next_probe_ms, now + PUSH_INTERVAL_MS)

    def member_returned(self, name: str, address: str, now: float) -> None:
        """Remember to probe a dropped member that others report to be running at the address."""
        if len(self.returning) < MAX_RETURNING:
            self.returning[name] = address
            self.hasten(now)

    def take_due(self, others: list[Member], now: float) -> list[str]:
        """Return the addresses to probe now, and schedule the next probes.

        Args:
            others: Living members with a known address, which need no probe here.
            now: The current time, ms.
        """
        random_part = crc32(f"{self._seed}:contact:{self._count}".encode()) / 2.0**32
        interval_ms = REJOIN_INTERVAL_MS if others else JOIN_INTERVAL_MS
        self.next_probe_ms = now + interval_ms * (0.75 + 0.5 * random_part)
        self._count += 1
        known = {member.info.address for member in others if member.info is not None}
        unknown = [address for address in self.addresses if address not in known]
        to_probe = [unknown[self._count % len(unknown)]] if unknown else []
        to_probe += [address for address in self.returning.values() if address not in to_probe]
        self.returning.clear()
        return to_probe

"""When two members exchange their whole tables over a stream (anti-entropy: Demers and others 1987).

Gossip that was lost is made good by digests of the whole table, which ride on probes and acks. Where they
differ for a while, or where one member does not know the other, the tables are exchanged.

Free of I/O, clock and chance.
"""

from __future__ import annotations

NEVER_MS = 1e15

DIFFERENT_FOR_MS = 1000.0
"""How long digests have to differ: gossip under way explains less than that."""

EXCHANGE_INTERVAL_MS = 1000.0
"""Between two exchanges that this member begins because digests differ."""

UNKNOWN_EXCHANGE_INTERVAL_MS = 200.0
"""After an exchange that this member begins with one that it does not know."""

UNKNOWN_GRACE_MS = 500.0
"""In which an unknown prober begins the exchange itself, if it does."""

MAX_UNKNOWN_PROBERS = 16


class ExchangeTrigger:
    """Decides with each digest that comes whether to exchange tables with its sender.

    Attributes:
        different_since: Since when all digests of known members have differed from the own one, ms; an equal
            one ends it. Not kept by member: in a large fleet a second digest of one member comes late.
        next_at: When the next exchange may begin, ms.
        unknown_probers: Since when members that are not known here probe this one, ms, by name; at most
            `MAX_UNKNOWN_PROBERS`, the oldest go.
    """

    def __init__(self) -> None:
        self.different_since = NEVER_MS
        self.next_at = 0.0
        self.unknown_probers: dict[str, float] = {}

    def known_digest(self, name: str, equal: bool, now: float) -> bool:
        """A digest of a known member came; returns whether to exchange tables with it now."""
        self.unknown_probers.pop(name, None)
        self.different_since = NEVER_MS if equal else min(self.different_since, now)
        if now - self.different_since < DIFFERENT_FOR_MS or now < self.next_at:
            return False
        self.different_since = NEVER_MS
        self.next_at = now + EXCHANGE_INTERVAL_MS
        return True

    def unknown_digest(self, name: str, asked_by_us: bool, now: float) -> bool:
        """A digest of a member that is unknown here, dead, or of a former incarnation came.

        The one that probed begins the exchange. If an unknown prober goes on probing for longer, it knows
        this member, and nobody else would begin.

        Args:
            name: The sender.
            asked_by_us: The digest came with the ack of a probe of this dispatcher.
            now: The time, ms.

        Returns:
            Whether to exchange tables with it now.
        """
        begin = asked_by_us
        if not asked_by_us:
            begin = now > self.unknown_probers.setdefault(name, now) + UNKNOWN_GRACE_MS
            if len(self.unknown_probers) > MAX_UNKNOWN_PROBERS:
                del self.unknown_probers[next(iter(self.unknown_probers))]
        if not begin or now < self.next_at:
            return False
        self.next_at = now + UNKNOWN_EXCHANGE_INTERVAL_MS
        return True

"""Decides when two members exchange their full tables over a stream (anti-entropy: Demers and others 1987).

Each probe and ack carries a digest of the sender's table. Members exchange their tables where the digests
differ for some time, because gossip was lost, or where one member does not know the other.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

NEVER_MS = 1e15
"""A time that is never reached."""

MIN_DIFFERENCE_MS = 1000.0
"""How long digests have to differ before an exchange; gossip that is under way explains a shorter time."""

EXCHANGE_INTERVAL_MS = 1000.0
"""Minimum time between two exchanges that this member begins because digests differ."""

UNKNOWN_EXCHANGE_INTERVAL_MS = 200.0
"""Minimum time after an exchange that this member begins with a member that it does not know."""

UNKNOWN_GRACE_MS = 500.0
"""Time in which an unknown member that probes this one is expected to begin the exchange itself."""

MAX_UNKNOWN_PROBERS = 16
"""Unknown members that are remembered."""


class ExchangeTrigger:
    """Decides for each received digest whether to exchange tables with its sender.

    Attributes:
        different_since_ms: Time since which all digests of known members have differed from this member's
            own, ms; an equal digest resets it to `NEVER_MS`. It is not stored by member, because in a large
            fleet it takes long until the same member sends another digest.
        next_exchange_ms: When the next exchange may begin, ms.
        unknown_probers: Time since which members that are not known here have been probing this one, ms, by
            name; at most `MAX_UNKNOWN_PROBERS`, the oldest are dropped.
    """

    def __init__(self) -> None:
        self.different_since_ms = NEVER_MS
        self.next_exchange_ms = 0.0
        self.unknown_probers: dict[str, float] = {}

    def known_digest(self, name: str, equal: bool, now: float) -> bool:
        """Process a digest of a known member, and return whether to exchange tables with it now.

        Args:
            name: Name of the sender.
            equal: Whether the digest equals this member's own.
            now: The current time, ms.
        """
        self.unknown_probers.pop(name, None)
        self.different_since_ms = NEVER_MS if equal else min(self.different_since_ms, now)
        if now - self.different_since_ms < MIN_DIFFERENCE_MS or now < self.next_exchange_ms:
            return False
        self.different_since_ms = NEVER_MS
        self.next_exchange_ms = now + EXCHANGE_INTERVAL_MS
        return True

    def unknown_digest(self, name: str, in_ack: bool, now: float) -> bool:
        """Process a digest of a member that is not in the table as living, or not in that incarnation.

        The member that sent the probe begins the exchange. If an unknown member continues to probe for longer
        than `UNKNOWN_GRACE_MS`, it already knows this member and will not begin an exchange, so this member
        does.

        Args:
            name: Name of the sender.
            in_ack: Whether the digest was received in an ack of a probe that this dispatcher sent.
            now: The current time, ms.

        Returns:
            Whether to exchange tables with the sender now.
        """
        begin = in_ack
        if not in_ack:
            begin = now > self.unknown_probers.setdefault(name, now) + UNKNOWN_GRACE_MS
            if len(self.unknown_probers) > MAX_UNKNOWN_PROBERS:
                del self.unknown_probers[next(iter(self.unknown_probers))]
        if not begin or now < self.next_exchange_ms:
            return False
        self.next_exchange_ms = now + UNKNOWN_EXCHANGE_INTERVAL_MS
        return True

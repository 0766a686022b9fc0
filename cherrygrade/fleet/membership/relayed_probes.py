"""Probes that this dispatcher sends for other members that got no ack themselves (SWIM's ping-req).

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from dataclasses import dataclass

from cherrygrade.fleet.membership.failure_detector import DIRECT_TIMEOUT_MS, NEVER_MS

MAX_RELAYED_PROBES = 256
"""Relayed probes that may await an ack at once."""

FORGET_AFTER_MS = 1000.0
"""Time after which a relayed probe is dropped; a later ack is of no use to the requester."""


@dataclass(slots=True)
class RelayedProbe:
    """A probe sent on behalf of another member.

    Attributes:
        number: Number of the requester's own probe, which the result repeats.
        target: Name of the probed member.
        sent_ms: When the relayed probe was sent, ms.
        requester: host:port of the member that requested it.
        timeout_reported: Whether the requester was notified that no ack arrived in time.
    """

    number: int
    target: str
    sent_ms: float
    requester: str
    timeout_reported: bool = False


class RelayedProbes:
    """Relayed probes without an ack, by the number with which this dispatcher sent them.

    There are at most `MAX_RELAYED_PROBES`. An entry is removed with its ack, or after `FORGET_AFTER_MS`.
    """

    def __init__(self) -> None:
        self._by_number: dict[int, RelayedProbe] = {}

    @property
    def full(self) -> bool:
        """Whether no further probe may be relayed now."""
        return len(self._by_number) >= MAX_RELAYED_PROBES

    def add(self, number: int, probe: RelayedProbe) -> None:
        """Store a probe that is sent with the number."""
        self._by_number[number] = probe

    def take_acked(self, number: int, name: str) -> RelayedProbe | None:
        """Remove and return the relayed probe that an ack answers.

        This dispatcher's own probes may have the same numbers, so the name has to match too.

        Args:
            number: Number in the ack.
            name: Name of the member that sent the ack.

        Returns:
            The probe; None where the ack answers no relayed probe.
        """
        probe = self._by_number.get(number)
        if probe is None or probe.target != name:
            return None
        return self._by_number.pop(number)

    def next_timeout_ms(self) -> float:
        """Return when the next relayed probe times out, ms."""
        pending = (probe.sent_ms for probe in self._by_number.values() if not probe.timeout_reported)
        return min((sent_ms + DIRECT_TIMEOUT_MS for sent_ms in pending), default=NEVER_MS)

    def take_timed_out(self, now: float) -> list[RelayedProbe]:
        """Return the probes that have timed out, each of them once; a later ack is still relayed."""
        timed_out = []
        for probe in self._by_number.values():
            if not probe.timeout_reported and now >= probe.sent_ms + DIRECT_TIMEOUT_MS:
                probe.timeout_reported = True
                timed_out.append(probe)
        return timed_out

    def forget(self, now: float) -> None:
        """Drop the probes whose ack would be too late for the requester."""
        self._by_number = {
            number: probe
            for number, probe in self._by_number.items()
            if now < probe.sent_ms + FORGET_AFTER_MS
        }

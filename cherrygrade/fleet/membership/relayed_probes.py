"""Probes that this dispatcher makes for other members, which got no answer themselves (SWIM's ping-req).

Free of I/O, clock and chance.
"""

from __future__ import annotations

from dataclasses import dataclass

from cherrygrade.fleet.membership.failure_detector import DIRECT_TIMEOUT_MS, NEVER_MS

MAX_RELAYED_PROBES = 256

FORGET_AFTER_MS = 1000.0
"""An ack that comes later is of no use to who asked."""


@dataclass(slots=True)
class RelayedProbe:
    """A probe for another member.

    Attributes:
        number: The number under which the requester sent its own probe.
        target: Name of the probed member.
        at: When it was sent, ms.
        requester: host:port of the member that asked for it.
        denied: The requester was told that no ack came in time.
    """

    number: int
    target: str
    at: float
    requester: str
    denied: bool = False


class RelayedProbes:
    """Relayed probes without an ack, by the number under which this dispatcher sent them.

    At most `MAX_RELAYED_PROBES`; an entry goes with its ack, or after `FORGET_AFTER_MS`.
    """

    def __init__(self) -> None:
        self._by_number: dict[int, RelayedProbe] = {}

    @property
    def full(self) -> bool:
        """Whether no further probe may be made for others now."""
        return len(self._by_number) >= MAX_RELAYED_PROBES

    def add(self, number: int, probe: RelayedProbe) -> None:
        """A probe is sent under the number."""
        self._by_number[number] = probe

    def take_acked(self, number: int, name: str) -> RelayedProbe | None:
        """The probe that an ack of the member answers; None where the ack is of no relayed probe.

        Numbers of this dispatcher's own probes may coincide with these, so the name has to fit too.
        """
        probe = self._by_number.get(number)
        if probe is None or probe.target != name:
            return None
        return self._by_number.pop(number)

    def next_timeout_ms(self) -> float:
        """When the next requester is to be told that no ack came, ms."""
        pending = (probe.at for probe in self._by_number.values() if not probe.denied)
        return min((at + DIRECT_TIMEOUT_MS for at in pending), default=NEVER_MS)

    def deny_overdue(self, now: float) -> list[RelayedProbe]:
        """Probes whose ack is overdue, each returned once; a late ack is still passed on."""
        overdue = []
        for probe in self._by_number.values():
            if not probe.denied and now >= probe.at + DIRECT_TIMEOUT_MS:
                probe.denied = True
                overdue.append(probe)
        return overdue

    def forget(self, now: float) -> None:
        """Drop the probes whose ack would come too late."""
        self._by_number = {
            number: probe for number, probe in self._by_number.items() if now < probe.at + FORGET_AFTER_MS
        }

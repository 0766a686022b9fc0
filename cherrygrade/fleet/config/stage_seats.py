"""Which seats of the fleet are known to be on the stage in force here.

A seat is a dispatcher's number in the fleet, from 0. The bitmap is reported to operators; it proves nothing,
and no decision rests on it.
"""

from __future__ import annotations

FULL_LINGER_MS = 10_000.0
"""Time for which the bitmap is still sent after all seats are known, so that the other members
learn it too."""
NEVER_MS = 1e15
"""A time that is never reached."""


class StageSeats:
    """A bitmap of the seats on the stage in force here, merged from what members on the same stage report.

    Attributes:
        own_seat: This member's seat; negative if it has none.
        count: The number of seats of the fleet of record.
        bits: The bitmap; bit n is set if seat n is known to be on the stage in force here.
        full_since_ms: When all seats became known; NEVER_MS before that, and -2 * NEVER_MS once the bitmap is
            no longer sent.
    """

    def __init__(self, own_seat: int, count: int) -> None:
        self.own_seat = own_seat
        self.count = count
        self.bits = 0
        self.full_since_ms = NEVER_MS

    def restart(self) -> None:
        """Begin anew because another stage came into force: only this member is known to be on it."""
        self.bits = 1 << self.own_seat if self.own_seat >= 0 else 0
        self.full_since_ms = NEVER_MS

    def merge(self, bits: bytes, now: float) -> None:
        """Add the bitmap of another member on the same stage; b"" adds nothing."""
        all_bits = (1 << self.count) - 1
        if bits:
            self.bits |= int.from_bytes(bits, "little") & all_bits
        if self.full_since_ms == NEVER_MS and self.bits == all_bits:
            self.full_since_ms = now

    def expire(self, now: float) -> None:
        """Stop sending the bitmap once all seats have been known for FULL_LINGER_MS."""
        if 0.0 < self.full_since_ms < NEVER_MS and now >= self.full_since_ms + FULL_LINGER_MS:
            self.full_since_ms = -2.0 * NEVER_MS

    def next_deadline(self) -> float:
        """Return the time in ms at which `expire` has something to do."""
        return self.full_since_ms + FULL_LINGER_MS if 0.0 < self.full_since_ms < NEVER_MS else NEVER_MS

    def to_send(self) -> bytes:
        """Return the bitmap, little-endian; b"" once other members have had time to learn that it is full."""
        if self.full_since_ms < -NEVER_MS:
            return b""
        return self.bits.to_bytes((self.count + 7) // 8, "little")

    def has(self, seat: int) -> bool:
        """Return whether this seat is known to be on the stage in force here."""
        return bool(self.bits >> seat & 1) if seat >= 0 else False

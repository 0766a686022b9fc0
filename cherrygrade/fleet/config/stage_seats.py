"""Which seats of the fleet are known to be on the stage in force here: for people, no proof of anything."""

from __future__ import annotations

FULL_LINGER_MS = 10_000.0
"""Once all seats are known the bits are sent for so long yet, so that the others learn of all, too."""
NEVER = 1e15
"""A time in ms that is never reached."""


class StageSeats:
    """A bit for each seat, joined with what other members on the same stage tell.

    Attributes:
        own_seat: This member's seat; negative where it has none.
        count: The seats of the fleet of record.
        bits: By seat, whether it is known to be on the stage in force here.
        full_at: The time in ms at which all were known; NEVER before, -2 * NEVER once nothing is sent.
    """

    def __init__(self, own_seat: int, count: int) -> None:
        self.own_seat = own_seat
        self.count = count
        self.bits = 0
        self.full_at = NEVER

    def restart(self) -> None:
        """Another stage came into force: only this member is known to be on it."""
        self.bits = 1 << self.own_seat if self.own_seat >= 0 else 0
        self.full_at = NEVER

    def merge(self, bits: bytes, now: float) -> None:
        """Add what another member on the same stage told; b"" for nothing."""
        all_bits = (1 << self.count) - 1
        if bits:
            self.bits |= int.from_bytes(bits, "little") & all_bits
        if self.full_at == NEVER and self.bits == all_bits:
            self.full_at = now

    def expire(self, now: float) -> None:
        """Stop sending the bits once they have been full for long enough."""
        if 0.0 < self.full_at < NEVER and now >= self.full_at + FULL_LINGER_MS:
            self.full_at = -2.0 * NEVER

    def next_deadline(self) -> float:
        """The time in ms at which `expire` has something to do."""
        return self.full_at + FULL_LINGER_MS if 0.0 < self.full_at < NEVER else NEVER

    def to_send(self) -> bytes:
        """The bits, little end first; b"" once all members had the time to learn that they are full."""
        if self.full_at < -NEVER:
            return b""
        return self.bits.to_bytes((self.count + 7) // 8, "little")

    def has(self, seat: int) -> bool:
        """Whether this seat is known to be on the stage."""
        return bool(self.bits >> seat & 1) if seat >= 0 else False

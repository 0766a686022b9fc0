"""How fast a peer moves bytes while it is the peer that is waited for. Free of I/O and clock."""

from __future__ import annotations


class TransferRate:
    """Bytes a second over two spans, of time that counts only while something waits for the peer.

    Time in which this process stood still, and time with nothing to move, is no time of the peer's. Both
    spans fade by their length, so that two numbers each are all that is kept.
    """

    def __init__(self, short_ms: float, long_ms: float) -> None:
        self.spans = (short_ms, long_ms)
        self.bytes = [0.0, 0.0]
        self.ms = [0.0, 0.0]
        self.waited = 0.0  # ms that something waited without a pause

    def record(self, moved: int, took_ms: float) -> None:
        """In `took_ms`, all of it with something waiting, the peer moved so many bytes."""
        self.waited += took_ms
        for index, span in enumerate(self.spans):
            kept = max(0.0, 1.0 - took_ms / span)
            self.bytes[index] = self.bytes[index] * kept + moved
            self.ms[index] = self.ms[index] * kept + took_ms

    def reset_wait(self) -> None:
        """Nothing waits for it."""
        self.waited = 0.0

    def bytes_per_second(self) -> float:
        """The higher of the two spans' rates, so that a pause of the short span is no verdict against a peer;
        infinite where nothing was seen yet."""
        rates = [1000.0 * moved / ms for moved, ms in zip(self.bytes, self.ms, strict=True) if ms > 0.0]
        return max(rates, default=float("inf"))

"""Transfer rate of a peer, measured only while data waits for the peer. Uses no I/O or clock."""

from __future__ import annotations


class TransferRate:
    """Bytes per second over a short and a long window.

    Only time in which data waits for the peer counts. Time in which this process was stalled, or had nothing
    to transfer, is not held against the peer. Old samples decay linearly with the length of each window, so
    that only two numbers per window are stored.

    Attributes:
        windows_ms: Lengths of the short and the long window, ms.
        bytes: Decayed number of transferred bytes, by window.
        elapsed_ms: Decayed time that was counted, ms, by window.
        waited_ms: Time for which data has waited without interruption, ms.
    """

    def __init__(self, short_ms: float, long_ms: float) -> None:
        """Args: `short_ms`, `long_ms`: lengths of the two windows."""
        self.windows_ms = (short_ms, long_ms)
        self.bytes = [0.0, 0.0]
        self.elapsed_ms = [0.0, 0.0]
        self.waited_ms = 0.0

    def record(self, moved_bytes: int, elapsed_ms: float) -> None:
        """Add an interval during all of which data waited for the peer.

        Args:
            moved_bytes: Bytes that the peer took or delivered in the interval.
            elapsed_ms: Length of the interval, ms.
        """
        self.waited_ms += elapsed_ms
        for index, window_ms in enumerate(self.windows_ms):
            retained = max(0.0, 1.0 - elapsed_ms / window_ms)
            self.bytes[index] = self.bytes[index] * retained + moved_bytes
            self.elapsed_ms[index] = self.elapsed_ms[index] * retained + elapsed_ms

    def reset_wait(self) -> None:
        """Note that no data waits for the peer now."""
        self.waited_ms = 0.0

    def bytes_per_second(self) -> float:
        """Return the higher rate of the two windows; infinity before the first sample.

        The higher one is used so that a pause as long as the short window does not count against a peer.
        """
        rates = [
            1000.0 * moved / elapsed
            for moved, elapsed in zip(self.bytes, self.elapsed_ms, strict=True)
            if elapsed > 0.0
        ]
        return max(rates, default=float("inf"))

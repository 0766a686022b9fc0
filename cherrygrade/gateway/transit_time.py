"""Estimates how long a client's message waited on its way, without comparing clocks. Free of I/O and clock.

Each RPC carries the time since its client's greeting, by the client's clock. Its arrival by our clock minus
that time is the same for all messages of a connection, but for what each waited: in the client's queue, in
the network, or in our socket while this process was stopped. The smallest difference of the last minute or
two is taken for a message that did not wait.
"""

from __future__ import annotations

SPAN_MS = 60_000.0  # within this time two clocks drift apart by a few ms only


class TransitTime:
    """The estimate for one client's connection."""

    def __init__(self) -> None:
        """Create an estimate without a message."""
        self._min_ms = self._previous_min_ms = float("inf")
        self._span_ends_ms = 0.0

    def excess_ms(self, since_hello_ms: float, now: float) -> float:
        """Return how much longer this message took than the fastest of the last one or two minutes.

        Guards against treating an RPC as new that lay in the socket while this process was stopped: its
        client may have stopped waiting for it.

        Args:
            since_hello_ms: client's time since its greeting; 0 if the client does not send it.
            now: when the message was received, ms.

        Returns:
            The excess in ms; 0 if the client does not send the time.
        """
        if since_hello_ms <= 0.0:
            return 0.0
        difference_ms = now - since_hello_ms
        if now >= self._span_ends_ms:
            self._previous_min_ms, self._min_ms, self._span_ends_ms = (
                self._min_ms,
                float("inf"),
                now + SPAN_MS,
            )
        self._min_ms = min(self._min_ms, difference_ms)
        return difference_ms - min(self._min_ms, self._previous_min_ms)

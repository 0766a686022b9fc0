"""How long a client's word was on its way, told without comparing clocks. Free of I/O and clock.

A client says with each RPC how long ago it greeted. What that adds to, by our clock, is the same for every
word but for the time it waited on the way: in the client's queue, the network, our own socket while this
process stood still. The least sum seen lately stands for no waiting.
"""

from __future__ import annotations

SPAN_MS = 60_000.0  # clocks drift apart by a few ms in that time


class TransitTime:
    """One client's connection. Holds two numbers, whatever was heard."""

    def __init__(self) -> None:
        self._least = self._before = float("inf")
        self._until = 0.0

    def excess_ms(self, since_hello_ms: float, now: float) -> float:
        """How much longer than the quickest of the last minute or two this word took, ms; 0 where untold.

        Guards against taking an RPC for fresh that lay in the socket while this process was stopped: its
        client may have given up on it.
        """
        if since_hello_ms <= 0.0:
            return 0.0
        gap = now - since_hello_ms
        if now >= self._until:
            self._before, self._least, self._until = self._least, float("inf"), now + SPAN_MS
        self._least = min(self._least, gap)
        return gap - min(self._least, self._before)

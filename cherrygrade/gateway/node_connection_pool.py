"""Which of a node's connections a send takes, when one more is opened, and when one is let go.

Free of I/O, clock and chance. A `PooledConnection` is one connection as the pool knows it; its owner keeps
the socket.
"""

from __future__ import annotations

from cherrygrade.gateway.backoff import Backoff

PER_CONNECT = 4  # waiting sends for each connect that may be under way


class PooledConnection:
    """One connection to a node: being made, ready, or closing (takes nothing new, finishes what is out)."""

    def __init__(self, now: float) -> None:
        self.ready = self.full = self.closing = False
        self.busy = 0
        self.quiet_from = now


class NodeConnectionPool:
    """At most `most_lines` connections to one node, each with at most `streams` sends out.

    Lines leave by `gone`; the table is bounded by `most_lines`, closing ones aside, which end with
    their last send.
    """

    def __init__(self, seed: str, most_lines: int, streams: int, idle_ms: float) -> None:
        self.most_lines, self.streams, self.idle_ms = most_lines, streams, idle_ms
        self.lines: list[PooledConnection] = []
        self.backoff = Backoff(seed)
        self.connect_from = 0.0

    def pick(self) -> PooledConnection | None:
        """The least busy connection that takes one more send now, the oldest among equals."""
        best = None
        for line in self.lines:
            if line.ready and not (line.full or line.closing) and line.busy < self.streams:
                if best is None or line.busy < best.busy:
                    best = line
        return best

    def wants(self, waiting: int, now: float) -> bool:
        """Whether to begin one more connect for sends that wait and find no line."""
        making = sum(1 for line in self.lines if not line.ready)
        held = sum(1 for line in self.lines if not line.closing)
        return held < self.most_lines and waiting > making * PER_CONNECT and now >= self.connect_from

    def begin(self, now: float) -> PooledConnection:
        line = PooledConnection(now)
        self.lines.append(line)
        return line

    def stands(self, line: PooledConnection, now: float) -> None:
        line.ready, line.quiet_from = True, now
        self.backoff.record_connected(now)

    def gone(self, line: PooledConnection, now: float, wanted: bool) -> None:
        """The line is lost; `wanted` unless it was we who let it go."""
        if line in self.lines:
            self.lines.remove(line)
            if wanted:
                self.connect_from = self.backoff.record_failure(now)

    def took(self, line: PooledConnection) -> None:
        line.busy += 1

    def gave(self, line: PooledConnection, now: float) -> None:
        line.busy -= 1
        if not line.busy:
            line.quiet_from = now

    def unused(self, now: float) -> list[PooledConnection]:
        """Lines to close: unused for the idle time, or closing and done."""
        return [
            line
            for line in self.lines
            if line.ready and not line.busy and (line.closing or now - line.quiet_from >= self.idle_ms)
        ]

"""Decides which connection to a storage node carries a frame, and when connections are opened and closed.

Free of I/O, clock and random source. A `PooledConnection` is the pool's record of one connection; the socket
belongs to `node_client.NodeConnection`. Times are in ms.
"""

from __future__ import annotations

from cherrygrade.gateway.backoff import Backoff

MAX_WAITING_PER_CONNECT = 4  # one more connect is started for each so many frames that wait


class PooledConnection:
    """The pool's record of one connection to a storage node.

    Attributes:
        is_ready: the node has answered the greeting.
        is_full: the write buffer is full; no frame is started until it has drained.
        is_closing: the node is closing the connection: it may still answer frames, but takes no new ones.
        in_flight: frames sent and not ended.
        idle_since_ms: when the last frame ended, or when the connection became ready.
    """

    def __init__(self, now: float) -> None:
        """`now`: when the connect starts, ms."""
        self.is_ready = self.is_full = self.is_closing = False
        self.in_flight = 0
        self.idle_since_ms = now


class NodeConnectionPool:
    """The connections to one storage node.

    A closing connection does not count against `max_connections`; it is closed after its last frame.

    Attributes:
        max_connections: connections that may be open or being opened at one time.
        max_in_flight: frames in flight on each connection.
        idle_timeout_ms: a connection without frames is closed after this time.
        connections: all open ones and those being opened; `remove` takes them out.
        next_connect_ms: no connect is started before this time.
    """

    def __init__(self, seed: str, max_connections: int, max_in_flight: int, idle_timeout_ms: float) -> None:
        """`seed`: spreads the backoff after failures."""
        self.max_connections, self.max_in_flight, self.idle_timeout_ms = (
            max_connections,
            max_in_flight,
            idle_timeout_ms,
        )
        self.connections: list[PooledConnection] = []
        self.backoff = Backoff(seed)
        self.next_connect_ms = 0.0

    def choose(self) -> PooledConnection | None:
        """Return the connection with the fewest frames that can take one more, the oldest among equals."""
        best = None
        for connection in self.connections:
            if (
                connection.is_ready
                and not (connection.is_full or connection.is_closing)
                and connection.in_flight < self.max_in_flight
            ):
                if best is None or connection.in_flight < best.in_flight:
                    best = connection
        return best

    def should_connect(self, waiting: int, now: float) -> bool:
        """Return whether to open one more connection for `waiting` frames that no connection can take."""
        connecting = sum(1 for connection in self.connections if not connection.is_ready)
        counted = sum(1 for connection in self.connections if not connection.is_closing)
        return (
            counted < self.max_connections
            and waiting > connecting * MAX_WAITING_PER_CONNECT
            and now >= self.next_connect_ms
        )

    def add_connecting(self, now: float) -> PooledConnection:
        """Add a connection that is being opened."""
        connection = PooledConnection(now)
        self.connections.append(connection)
        return connection

    def mark_ready(self, connection: PooledConnection, now: float) -> None:
        """Record that the node has answered the greeting."""
        connection.is_ready, connection.idle_since_ms = True, now
        self.backoff.record_connected(now)

    def remove(self, connection: PooledConnection, now: float, is_failure: bool) -> None:
        """Remove a connection. `is_failure`: this process did not close it, so the next connect backs off."""
        if connection in self.connections:
            self.connections.remove(connection)
            if is_failure:
                self.next_connect_ms = self.backoff.record_failure(now)

    def frame_started(self, connection: PooledConnection) -> None:
        """Count a frame that is sent on the connection."""
        connection.in_flight += 1

    def frame_ended(self, connection: PooledConnection, now: float) -> None:
        """Count off a frame that was answered or abandoned."""
        connection.in_flight -= 1
        if not connection.in_flight:
            connection.idle_since_ms = now

    def to_close(self, now: float) -> list[PooledConnection]:
        """Return the connections without frames that are closing or have been idle for the idle time-out."""
        return [
            connection
            for connection in self.connections
            if connection.is_ready
            and not connection.in_flight
            and (connection.is_closing or now - connection.idle_since_ms >= self.idle_timeout_ms)
        ]

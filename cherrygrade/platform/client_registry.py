"""The registry of client connections: which are open, which of these are idle, and which are being closed."""

from __future__ import annotations

from cherrygrade.peers.connection_admission import ConnectionAdmission
from cherrygrade.platform.client_connection import ClientConnection


class ClientRegistry:
    """Admits clients up to a limit, and records in which order they may be closed for new clients."""

    def __init__(self, max_connections: int, max_lingering: int) -> None:
        """Create an empty registry.

        Args:
            max_connections: Limit on open connections.
            max_lingering: Limit on half-closed connections, which are counted apart.
        """
        self.max_connections = max_connections
        self.max_lingering = max_lingering
        self.connections: dict[ClientConnection, None] = {}
        """Open connections, in the order in which they were admitted."""
        self.idle: dict[ClientConnection, None] = {}
        """Open connections whose last request was answered, longest idle first. A new request removes the
        connection from here."""
        self.lingering: dict[ClientConnection, None] = {}
        """Half-closed connections, oldest first, until the other side closes or the sweep aborts them."""
        self._turned_away_count = 0
        self._arrivals: ConnectionAdmission[ClientConnection] = ConnectionAdmission(
            max_connections, max_connections // 2
        )

    def admit(self, client: ClientConnection) -> bool:
        """Register a new connection; if the registry is full, close another connection for it.

        Returns:
            False if there is no place for the new connection.
        """
        # A client that was answered is closed rather than one that may be about to send its first request.
        if len(self.connections) >= self.max_connections:
            idle = next(
                (other for other in self.idle if not (other.within_message or other.has_unread_bytes)), None
            )
            if idle is not None:
                idle.close_idle()
        admitted, displaced = self._arrivals.admit(client, len(self.connections))
        if displaced is not None:
            displaced.close_idle()
        if admitted:
            self.connections[client] = None
        else:
            self._turned_away_count += 1
        return admitted

    def take_turned_away_count(self) -> int:
        """Return how many connections found no place since the last call, and reset the count."""
        count, self._turned_away_count = self._turned_away_count, 0
        return count

    def mark_active(self, client: ClientConnection) -> None:
        """Note that the client has sent a complete request."""
        self._arrivals.mark_identified(client)
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """Note that the last request of the client was answered."""
        self.idle.pop(client, None)
        self.idle[client] = None

    def linger(self, client: ClientConnection) -> None:
        """Keep a half-closed connection until the other side closes; abort the oldest of too many."""
        self._remove_open(client)
        self.lingering[client] = None
        if len(self.lingering) > self.max_lingering:
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            oldest.abort()

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that is closed on both sides."""
        self._remove_open(client)
        self.lingering.pop(client, None)

    def _remove_open(self, client: ClientConnection) -> None:
        self._arrivals.mark_identified(client)
        self.idle.pop(client, None)
        self.connections.pop(client, None)

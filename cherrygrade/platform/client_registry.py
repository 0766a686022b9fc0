"""Which clients are connected, which of them are idle, and which connections are being closed."""

from __future__ import annotations

from cherrygrade.peers.connection_admission import ConnectionAdmission
from cherrygrade.platform.client_connection import ClientConnection


class ClientRegistry:
    """Admits clients up to a limit and keeps the order in which they may be closed to make room."""

    def __init__(self, max_connections: int, max_lingering: int) -> None:
        """Args: `max_connections`: open to clients; `max_lingering`: half-closed, beside those."""
        self.max_connections = max_connections
        self.max_lingering = max_lingering
        self.connections: dict[ClientConnection, None] = {}
        """Open connections, in the order in which they were admitted."""
        self.idle: dict[ClientConnection, None] = {}
        """The subset whose last request was answered, longest idle first; a new request removes it."""
        self.lingering: dict[ClientConnection, None] = {}
        """Half-closed connections, oldest first, until the other side closes too or the sweep aborts them."""
        self._arrivals: ConnectionAdmission[ClientConnection] = ConnectionAdmission(
            max_connections, max_connections // 2
        )

    def admit(self, client: ClientConnection) -> bool:
        """Register a new connection, closing another one for it where the registry is full.

        Returns:
            Whether there is a place for it.
        """
        # An answered client is closed before one that may be about to send its first request.
        if len(self.connections) >= self.max_connections:
            idle = next((one for one in self.idle if not (one.within_message or one.has_unread_bytes)), None)
            if idle is not None:
                idle.close_idle()
        admitted, displaced = self._arrivals.admit(client, len(self.connections))
        if displaced is not None:
            displaced.close_idle()
        if admitted:
            self.connections[client] = None
        return admitted

    def mark_active(self, client: ClientConnection) -> None:
        """It has sent a whole request."""
        self._arrivals.mark_identified(client)
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """Its last request was answered."""
        self.idle.pop(client, None)
        self.idle[client] = None

    def linger(self, client: ClientConnection) -> None:
        """One side has closed: keep the connection until the other has, or until too many linger."""
        self._remove_open(client)
        self.lingering[client] = None
        if len(self.lingering) > self.max_lingering:
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            oldest.abort()

    def remove(self, client: ClientConnection) -> None:
        """Its connection is closed on both sides."""
        self._remove_open(client)
        self.lingering.pop(client, None)

    def _remove_open(self, client: ClientConnection) -> None:
        self._arrivals.mark_identified(client)
        self.idle.pop(client, None)
        self.connections.pop(client, None)

"""What a client's connection needs of the dispatcher."""

from __future__ import annotations

from typing import Protocol, TypeVar

from cherrygrade.http.reader import BodyBudget, Message
from cherrygrade.platform.peer_memory import PeerMemory
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.platform.turn_queue import TurnQueue
from cherrygrade.transport.socket_memory import SocketBuffers

Client_contra = TypeVar("Client_contra", contravariant=True)
"""The class of the clients' connections."""


class ConnectionOwner(Protocol[Client_contra]):
    """The part of the dispatcher that its clients' connections use."""

    refused: int
    """Number of messages that were refused because they contained no acceptable request."""

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their next answer."""

    @property
    def ready(self) -> bool:
        """Whether clients may send requests; the answer to `GET /ready`."""

    @property
    def request_budget(self) -> BodyBudget:
        """The memory limit that long request bodies share."""

    @property
    def peer_memory(self) -> PeerMemory:
        """The memory limit that all connections share."""

    @property
    def socket_buffers(self) -> SocketBuffers:
        """Limits on the kernel's memory of each connection."""

    @property
    def turn_queue(self) -> TurnQueue:
        """Connections that wait to be read or served further."""

    @property
    def receive_buffer(self) -> memoryview:
        """A buffer that all connections share; bytes read into it are copied out at once."""

    def clock(self) -> float:
        """Return the time of the rounds' clock in ms."""

    def admit(self, client: Client_contra) -> bool:
        """Register a new connection; return False if there is no place for it."""

    def mark_active(self, client: Client_contra) -> None:
        """Note that the client has sent a complete request."""

    def mark_idle(self, client: Client_contra) -> None:
        """Note that all requests of the client are answered."""

    def linger(self, client: Client_contra) -> None:
        """Note that one side has closed; the connection ends when the other has, or after a time limit."""

    def remove(self, client: Client_contra) -> None:
        """Forget a connection that is closed on both sides."""

    def submit(self, client: Client_contra, message: Message) -> PendingRequest:
        """Hand a request to the scheduler.

        Raises:
            HttpError: The message contains no acceptable request.
        """

    def abandon(self, pending: PendingRequest) -> None:
        """Cancel a request whose client has closed."""

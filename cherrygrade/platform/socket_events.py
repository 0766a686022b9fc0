"""Socket events and bytes that the kernel has and the event loop has not delivered yet."""

from __future__ import annotations

import asyncio
import select
import socket

READABLE = select.POLLIN
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketEvents:
    """Reads the pending events and bytes of one socket without waiting and without consuming them."""

    def __init__(self, descriptor: int, events: int = READABLE) -> None:
        """Watch a socket.

        Args:
            descriptor: The file descriptor of the socket.
            events: A mask of `READABLE` and `CLOSED`; errors and hang-ups are always reported.
        """
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, events)

    def pending(self) -> int:
        """Return the mask of events that are pending now; 0 for none."""
        return sum(events for _, events in self._poll.poll(0))

    def peek(self, max_bytes: int) -> bytes:
        """Return the first unread bytes of a TCP socket without consuming them; empty if there are none."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno=self._descriptor)
        try:
            return sock.recv(max_bytes, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:  # nothing is unread, or the peer has reset the connection
            return b""
        finally:
            sock.detach()


class TransportEvents:
    """Reads the pending events and bytes of the socket of a transport; without one it counts as closed."""

    def __init__(self) -> None:
        """Create an object without a transport."""
        self._transport: asyncio.Transport | None = None
        self._events: SocketEvents | None = None

    def attach(self, transport: asyncio.Transport) -> None:
        """Watch the socket of a transport."""
        self._transport = transport

    def detach(self) -> None:
        """Forget the transport, whose socket is closed."""
        self._transport = self._events = None

    def pending(self) -> int:
        """Return the mask of events that are pending now; 0 for none."""
        if self._events is None:
            sock: socket.socket | None = None
            if self._transport is not None:
                sock = self._transport.get_extra_info("socket")
            if sock is None or sock.fileno() < 0:
                return CLOSED
            self._events = SocketEvents(sock.fileno(), CLOSED | READABLE)
        return self._events.pending()

    def peek(self, max_bytes: int) -> bytes:
        """Return the first unread bytes without consuming them; empty if there are none."""
        return b"" if self._events is None else self._events.peek(max_bytes)

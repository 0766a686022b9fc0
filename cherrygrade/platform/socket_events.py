"""Socket events and bytes that the kernel has and the event loop has not delivered yet."""

from __future__ import annotations

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

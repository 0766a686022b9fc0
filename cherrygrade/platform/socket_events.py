"""Socket events that the kernel has and the event loop has not delivered yet."""

from __future__ import annotations

import select

READABLE = select.POLLIN
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketEvents:
    """Reads the pending events of one socket without waiting and without consuming them."""

    def __init__(self, descriptor: int, events: int = READABLE) -> None:
        """Watch a socket.

        Args:
            descriptor: The file descriptor of the socket.
            events: A mask of `READABLE` and `CLOSED`; errors and hang-ups are always reported.
        """
        self._poll = select.poll()
        self._poll.register(descriptor, events)

    def pending(self) -> int:
        """Return the mask of events that are pending now; 0 for none."""
        return sum(events for _, events in self._poll.poll(0))

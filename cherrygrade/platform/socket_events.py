"""What the kernel holds for a socket that the event loop has not delivered yet."""

from __future__ import annotations

import select

READABLE = select.POLLIN
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketEvents:
    """Reads the pending events of one socket without waiting and without consuming them."""

    def __init__(self, descriptor: int, events: int = READABLE) -> None:
        """Args: `events`: mask of `READABLE` and `CLOSED`; errors and hang-ups are always reported."""
        self._poll = select.poll()
        self._poll.register(descriptor, events)

    def pending(self) -> int:
        """The mask of events that are pending now; 0 for none."""
        return sum(events for _, events in self._poll.poll(0))

"""The orderly shutdown of the platform's dispatcher, from SIGTERM to the exit code."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from cherrygrade.gateway.lifecycle import EXIT_CLEAN, EXIT_FORCED
from cherrygrade.platform.client_listener import ClientListener
from cherrygrade.platform.client_registry import ClientRegistry

ACCEPTING_MS = 700.0  # time after SIGTERM in which the platform may still direct new clients here
# The platform kills the process ACCEPTING_MS plus the longest deadline after SIGTERM, and counts at most
# MAX_DRAINING_MS of that deadline.
MAX_DRAINING_MS = 3000.0
CLOSING_MS = 270.0  # time before the kill at which the listener closes and answers start to close connections
FINAL_ANSWERS_MS = 170.0  # time before the kill at which every request that is still open is answered
FLUSHING_MS = 90.0  # time after that in which clients can read their last answers and close their side
SERVICE_UNAVAILABLE = 503


class ShutdownPhase(IntEnum):
    """Phase of the shutdown; it only increases."""

    SERVING = 0
    """No shutdown was ordered."""
    ACCEPTING = 1
    """New connections and new requests are served as before."""
    DRAINING = 2
    """Clients are served as before, and FLUSHING begins as soon as there are no clients and no requests."""
    CLOSING = 3
    """The listener closes; idle clients are closed, other clients are closed after their next answer."""
    FLUSHING = 4
    """Every request has its final answer; clients read their answers and close."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times at which the phases begin, in ms after SIGTERM.

    The schedule for a longest deadline of 2 s:

    | at, ms | phase        | what happens to an open request                                          |
    |--------|--------------|--------------------------------------------------------------------------|
    | 0      | ACCEPTING    | continues; a new request gets a deadline before the final answers        |
    | 700    | DRAINING     | continues; the process exits now if it has no client and no request      |
    | 2430   | CLOSING      | continues; its answer closes its connection                              |
    | 2530   | FLUSHING     | is answered at once: 503 if a retry is harmless, else 502                |
    | 2620   | exit         | connections that are still open are aborted                              |
    | 2700   |              | the platform kills the process                                           |

    A second SIGTERM starts FLUSHING at once, and so does a scheduler fault.
    """

    window_ms: float
    """Time from SIGTERM until the platform kills the process."""

    @classmethod
    def for_deadline(cls, longest_deadline_ms: float) -> ShutdownSchedule:
        """Return the schedule for a dispatcher with this longest deadline of a request."""
        return cls(min(longest_deadline_ms, MAX_DRAINING_MS) + ACCEPTING_MS)

    @property
    def closing_at_ms(self) -> float:
        """Time at which CLOSING begins."""
        return self.window_ms - CLOSING_MS

    @property
    def final_answers_at_ms(self) -> float:
        """Latest time at which FLUSHING begins."""
        return self.window_ms - FINAL_ANSWERS_MS


class Shutdown:
    """Moves through the phases; callbacks answer the requests and end the process."""

    def __init__(
        self,
        schedule: ShutdownSchedule,
        listener: ClientListener,
        clients: ClientRegistry,
        open_requests: Callable[[], int],
        answer_all: Callable[[int], None],
        exited: Callable[[int], None],
    ) -> None:
        """Create a shutdown that has not been ordered yet.

        Args:
            schedule: The times of the phases.
            listener: The listening socket, which is closed in CLOSING.
            clients: The clients; idle ones are closed in CLOSING, all others in FLUSHING.
            open_requests: Returns the number of requests without a final answer.
            answer_all: Given the exit code, answers all open requests and stops all other work.
            exited: Called once with the exit code, as the last step.
        """
        self.phase = ShutdownPhase.SERVING
        self.ordered = False
        """Whether `begin` was called. After a scheduler fault FLUSHING begins without it."""
        self._schedule = schedule
        self._listener = listener
        self._clients = clients
        self._open_requests = open_requests
        self._answer_all = answer_all
        self._exited = exited
        self._exit_code = EXIT_CLEAN
        self._has_exited = False
        self._phase_timers: list[asyncio.TimerHandle] = []
        self._flush_timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Start the schedule; clients are served until shortly before the platform kills the process."""
        self.ordered = True
        # The platform directs clients here for all of ACCEPTING_MS, even if the process could exit earlier.
        self.phase = max(self.phase, ShutdownPhase.ACCEPTING)
        loop = asyncio.get_running_loop()
        self._phase_timers = [
            loop.call_later(ACCEPTING_MS / 1000.0, self._accepting_over),
            loop.call_later(self._schedule.closing_at_ms / 1000.0, self.begin_closing),
            loop.call_later(self._schedule.final_answers_at_ms / 1000.0, self.end, EXIT_FORCED),
        ]

    def _accepting_over(self) -> None:
        self.phase = max(self.phase, ShutdownPhase.DRAINING)
        self.check_finished()

    def begin_closing(self) -> None:
        """Stop listening and close idle clients; other clients are closed after their next answer."""
        self.phase = max(self.phase, ShutdownPhase.CLOSING)
        self._listener.close_when_drained(self.check_finished)
        for client in [*self._clients.connections]:
            if client.is_idle and not (client.within_message or client.has_unread_bytes):
                client.close_gracefully()
        self.check_finished()

    def check_finished(self) -> None:
        """Go on to the next step early if there is nothing left to wait for."""
        loop = asyncio.get_running_loop()
        clients = self._clients
        if self.phase is ShutdownPhase.FLUSHING:
            if not (clients.connections or clients.lingering or self._listener.is_open):
                loop.call_soon(self._exit)
            return
        if self.phase is ShutdownPhase.CLOSING:
            clients_may_come = self._listener.is_open
        else:
            clients_may_come = self.phase is not ShutdownPhase.DRAINING
        if self.ordered and not (clients_may_come or clients.connections or self._open_requests()):
            loop.call_soon(self.end, EXIT_CLEAN)

    def end(self, exit_code: int) -> None:
        """Give every request its final answer, and let clients read it for FLUSHING_MS before the exit."""
        if self.phase is ShutdownPhase.FLUSHING:
            return
        self.phase = ShutdownPhase.FLUSHING
        self._exit_code = exit_code
        self._answer_all(exit_code)
        for timer in self._phase_timers:
            timer.cancel()
        for client in [*self._clients.connections]:
            # Unread bytes are read in the next event-loop iteration; a request in them is answered with 503.
            if not client.has_unread_bytes:
                client.close_idle(SERVICE_UNAVAILABLE)
        self._flush_timer = asyncio.get_running_loop().call_later(FLUSHING_MS / 1000.0, self._exit)
        self._listener.close_when_drained(self.check_finished)
        self.check_finished()

    def _exit(self) -> None:
        if self._has_exited:
            return
        self._has_exited = True
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._listener.close()
        for client in [*self._clients.connections, *self._clients.lingering]:
            client.abort()
        self._exited(self._exit_code)

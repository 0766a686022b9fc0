"""The orderly shutdown of the platform's dispatcher, from SIGTERM to the exit code."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from cherrygrade.gateway.lifecycle import EXIT_CLEAN, EXIT_FORCED
from cherrygrade.platform.client_listener import ClientListener
from cherrygrade.platform.client_registry import ClientRegistry

ACCEPTING_MS = 700.0  # after SIGTERM the platform may still direct new clients here for this long
MAX_DRAINING_MS = 3000.0  # the platform kills after the longest deadline, this at most, and ACCEPTING_MS
TURNING_AWAY_MS = 270.0  # before the kill: from here on the listener closes and answers carry a close
FINAL_ANSWERS_MS = 170.0  # before the kill: every request still open is answered now
FLUSHING_MS = 90.0  # from then on, for clients to read their last answers and to close their side
SERVICE_UNAVAILABLE = 503


class ShutdownPhase(IntEnum):
    """Where the shutdown is; only ever moves forward."""

    SERVING = 0
    """No shutdown was ordered."""
    ACCEPTING = 1
    """New connections and new requests are served as before."""
    DRAINING = 2
    """As before, and the shutdown goes on to FLUSHING as soon as no client and no request is left."""
    TURNING_AWAY = 3
    """The listener closes, idle clients are closed, other clients are closed with their next answer."""
    FLUSHING = 4
    """Every request has its final answer; clients read what was written and close."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When each phase begins, in ms after SIGTERM.

    With a longest deadline of 2 s:

    | at, ms | phase        | what happens to an open request                                          |
    |--------|--------------|--------------------------------------------------------------------------|
    | 0      | ACCEPTING    | runs on; requests from now on get a deadline before the final answers    |
    | 700    | DRAINING     | runs on; without any client or request left the process exits now        |
    | 2430   | TURNING_AWAY | runs on; its answer closes its connection                                |
    | 2530   | FLUSHING     | is answered at once: 503 where trying again is harmless, else 502        |
    | 2620   | exit         | connections still open are aborted                                       |
    | 2700   |              | the platform kills the process                                           |

    A second order to leave goes to FLUSHING at once, and so does a scheduler that raised.
    """

    window_ms: float
    """From SIGTERM until the platform kills."""

    @classmethod
    def for_deadline(cls, longest_deadline_ms: float) -> ShutdownSchedule:
        """The schedule of a dispatcher whose longest request deadline is this."""
        return cls(min(longest_deadline_ms, MAX_DRAINING_MS) + ACCEPTING_MS)

    @property
    def turning_away_at_ms(self) -> float:
        """When TURNING_AWAY begins."""
        return self.window_ms - TURNING_AWAY_MS

    @property
    def final_answers_at_ms(self) -> float:
        """When FLUSHING begins at the latest."""
        return self.window_ms - FINAL_ANSWERS_MS


class Shutdown:
    """Moves through the phases; what each does to requests is left to the callbacks."""

    def __init__(
        self,
        schedule: ShutdownSchedule,
        listener: ClientListener,
        clients: ClientRegistry,
        open_requests: Callable[[], int],
        answer_all: Callable[[int], None],
        exited: Callable[[int], None],
    ) -> None:
        """Wire a shutdown that has not been ordered.

        Args:
            schedule: When each phase begins.
            listener: Closed when clients are turned away.
            clients: Closed when idle, then all.
            open_requests: How many requests have no final answer yet.
            answer_all: Gives each of them its final answer and stops all other work; given the exit code.
            exited: Called once, last, with the exit code.
        """
        self.phase = ShutdownPhase.SERVING
        self.ordered = False
        """SIGTERM came. A broken scheduler leads to FLUSHING without it."""
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
        """Start the schedule: serve clients on, until shortly before the platform kills."""
        self.ordered = True
        # Clients are directed here until the platform's time is over, however soon this process could end.
        self.phase = max(self.phase, ShutdownPhase.ACCEPTING)
        loop = asyncio.get_running_loop()
        self._phase_timers = [
            loop.call_later(ACCEPTING_MS / 1000.0, self._accepting_over),
            loop.call_later(self._schedule.turning_away_at_ms / 1000.0, self.turn_clients_away),
            loop.call_later(self._schedule.final_answers_at_ms / 1000.0, self.end, EXIT_FORCED),
        ]

    def _accepting_over(self) -> None:
        self.phase = max(self.phase, ShutdownPhase.DRAINING)
        self.check_finished()

    def turn_clients_away(self) -> None:
        """Stop listening and close idle clients; the others are closed with their next answer."""
        self.phase = max(self.phase, ShutdownPhase.TURNING_AWAY)
        self._listener.close_when_drained(self.check_finished)
        for client in [*self._clients.connections]:
            if client.is_idle and not (client.within_message or client.has_unread_bytes):
                client.close_gracefully()
        self.check_finished()

    def check_finished(self) -> None:
        """Go on early where nothing is left to wait for."""
        loop = asyncio.get_running_loop()
        clients = self._clients
        if self.phase is ShutdownPhase.FLUSHING:
            if not (clients.connections or clients.lingering or self._listener.is_open):
                loop.call_soon(self._exit)
            return
        if self.phase is ShutdownPhase.TURNING_AWAY:
            clients_may_come = self._listener.is_open
        else:
            clients_may_come = self.phase is not ShutdownPhase.DRAINING
        if self.ordered and not (clients_may_come or clients.connections or self._open_requests()):
            loop.call_soon(self.end, EXIT_CLEAN)

    def end(self, exit_code: int) -> None:
        """Give every request its final answer now and clients a moment to read it."""
        if self.phase is ShutdownPhase.FLUSHING:
            return
        self.phase = ShutdownPhase.FLUSHING
        self._exit_code = exit_code
        self._answer_all(exit_code)
        for timer in self._phase_timers:
            timer.cancel()
        for client in [*self._clients.connections]:
            # Unread bytes are read in the next turn, and a request among them is answered with 503.
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

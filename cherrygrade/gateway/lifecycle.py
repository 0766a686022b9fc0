"""What every process that hosts a scheduler shares: signals, a timer for time-outs, the report of a crash."""

from __future__ import annotations

import asyncio
import gc
import signal
import traceback
from collections.abc import Callable
from typing import Protocol, TypeVar

from cherrygrade.gateway.timer_wheel import TimerWheel

T = TypeVar("T")
# Exit codes: all open requests were answered; the scheduler raised; requests were cut short.
EXIT_CLEAN, EXIT_BROKEN, EXIT_FORCED = 0, 70, 75


class HostProcess(Protocol):
    """A dispatcher that `serve` runs.

    Attributes:
        done: the exit code, set once everything has stopped.
    """

    done: asyncio.Future[int]

    async def start(self) -> int:
        """Start serving; returns the port."""

    def leave(self) -> None:
        """Shut down; called for SIGTERM and SIGINT."""


class WakeTimer:
    """One event-loop timer that wakes its owner when the next item of a timer wheel expires."""

    def __init__(
        self, wheel: TimerWheel[T], clock: Callable[[], float], wake: Callable[[float], None]
    ) -> None:
        """Create a timer that is not set.

        Args:
            wheel: the items.
            clock: returns the event loop's clock, ms.
            wake: called with the time; takes the expired items out of the wheel.
        """
        self._next_expiry_ms, self._clock, self._wake = wheel.next_expiry_ms, clock, wake
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms = 0.0

    def schedule(self) -> None:
        """Set the timer to the wheel's next expiry; to be called after each item that is added."""
        expires_ms = self._next_expiry_ms()
        if expires_ms is None or (self._timer is not None and self._timer_ms <= expires_ms):
            return
        self.close()
        self._timer_ms = expires_ms
        self._timer = asyncio.get_running_loop().call_at(expires_ms / 1000.0, self._fire)

    def _fire(self) -> None:
        self._timer = None
        if self._next_expiry_ms() is not None:
            self._wake(self._clock())
            self.schedule()

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()


def log_scheduler_crash(log: Callable[..., None], error: Exception, round_summary: str) -> None:
    """Log that the scheduler raised `error` in the round described by `round_summary`."""
    log(
        "scheduler crashed",
        round=round_summary,
        traceback="".join(traceback.format_exception(error)),
    )


async def serve(process: HostProcess, started: Callable[[int], None] | None = None) -> int:
    """Run a dispatcher until it has shut down.

    Args:
        process: the dispatcher.
        started: called with the port once it serves.

    Returns:
        The exit code: EXIT_CLEAN, EXIT_BROKEN or EXIT_FORCED.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.leave)
    port = await process.start()
    gc.freeze()  # objects that live as long as the process are not scanned: each scan paused all for 10 ms
    if started is not None:
        started(port)
    code = await process.done
    await asyncio.sleep(0)  # lets closing connections report their end
    return code

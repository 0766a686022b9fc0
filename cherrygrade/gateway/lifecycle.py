"""What the life of any host process of the module needs: signals, a timer for time-outs, its fault."""

from __future__ import annotations

import asyncio
import gc
import signal
import traceback
from collections.abc import Callable
from typing import Protocol, TypeVar

from cherrygrade.gateway.timer_wheel import TimerWheel

T = TypeVar("T")
EXIT_CLEAN, EXIT_BROKEN, EXIT_FORCED = 0, 70, 75


class HostProcess(Protocol):
    done: asyncio.Future[int]

    async def start(self) -> int: ...

    def leave(self) -> None: ...


class WakeTimer:
    """One timer of the event loop for all that stands on a wheel; `ring(now)` takes out what is due."""

    def __init__(
        self, wheel: TimerWheel[T], clock: Callable[[], float], ring: Callable[[float], None]
    ) -> None:
        self._next_at, self._clock, self._ring_ = wheel.next_expiry_ms, clock, ring
        self._timer: asyncio.TimerHandle | None = None
        self._at = 0.0

    def schedule(self) -> None:
        at = self._next_at()
        if at is None or (self._timer is not None and self._at <= at):
            return
        self.close()
        self._at = at
        self._timer = asyncio.get_running_loop().call_at(at / 1000.0, self._ring)

    def _ring(self) -> None:
        self._timer = None
        if self._next_at() is not None:
            self._ring_(self._clock())
            self.schedule()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


def log_scheduler_crash(log: Callable[..., None], trouble: Exception, round_: str) -> None:
    log("module broke", round=round_, traceback="".join(traceback.format_exception(trouble)))


async def serve(life: HostProcess, started: Callable[[int], None] | None = None) -> int:
    """Run until told to leave; gives the exit code: 0 all answered, 70 the module broke, 75 cut short."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, life.leave)
    port = await life.start()
    gc.freeze()  # what the program is made of is not looked through again: that was 10 ms for everybody
    if started is not None:
        started(port)
    code = await life.done
    await asyncio.sleep(0)  # connections that close tell so once
    return code

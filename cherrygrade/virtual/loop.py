"""An asyncio event loop in virtual time: its clock jumps to the next timer whenever no callback is ready.

Each callback belongs to the `Process` in whose context it was scheduled. Callbacks of a paused process are
deferred, in order, until it resumes; those of a terminated process are dropped. The loop opens no sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from typing import Any

CURRENT: ContextVar[Process | None] = ContextVar("process", default=None)
"""The simulated process that the current callback belongs to; None for the simulation itself."""
START_S = 1000.0
"""Time at which the virtual clock starts, s. As on a machine that has been up for a while, it is never 0."""


class NoPendingEventsError(RuntimeError):
    """The run cannot continue: no callback is ready and no timer is scheduled."""


class Process:
    """A simulated process: the owner of callbacks.

    Attributes:
        name: Name of the process, by which partitions refer to it.
        alive: False after `terminate`.
        paused: Whether callbacks are deferred.
        deferred: Callbacks that were due while the process was paused. `resume` and `terminate` empty it.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive, self.paused = True, False
        self.deferred: list[tuple[list[asyncio.Handle], Callable[..., Any], tuple[Any, ...], Context]] = []

    def context(self) -> Context:
        """Return a new context; callbacks that are scheduled in it belong to this process."""
        new_context = copy_context()
        new_context.run(CURRENT.set, self)
        return new_context

    def pause(self) -> None:
        """Defer the callbacks of this process until `resume`."""
        self.paused = True

    def resume(self) -> None:
        """Run the deferred callbacks in order, and later ones as usual.

        This must be called while the virtual loop runs.
        """
        self.paused = False
        deferred, self.deferred = self.deferred, []
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        for handle_cell, callback, args, context in deferred:
            loop.requeue(self, handle_cell, callback, args, context)

    def terminate(self) -> None:
        """Drop the deferred callbacks and all later ones."""
        self.alive = False
        self.deferred.clear()


class _NoSelector:
    """Replaces the loop's selector: the loop waits for timers alone, by advancing its clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        self._loop.advance_time(timeout)
        return []

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop with a virtual clock and a simulated network in place of sockets.

    Attributes:
        network: The `Network` of this loop, which sets itself here.
        callbacks_run: Number of callbacks that were run for processes.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_now_s = START_S
        self._selector = _NoSelector(self)
        self._clock_resolution = 1e-9
        self.network: Any = None
        self.callbacks_run = 0

    def time(self) -> float:
        """Return the virtual time, s."""
        return self._virtual_now_s

    def advance_time(self, timeout: float | None) -> None:
        """Advance the clock to the next timer, unless callbacks are ready.

        Args:
            timeout: Time until the next timer, s; 0 if callbacks are ready, None if no timer is scheduled.

        Raises:
            NoPendingEventsError: If no callback is ready and no timer is scheduled.
        """
        if timeout is None:
            raise NoPendingEventsError(
                f"no callback is ready and no timer is scheduled at virtual time {self._virtual_now_s:.6f} s"
            )
        if timeout > 0.0:
            scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
            self._virtual_now_s = max(self._virtual_now_s, scheduled[0].when())

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for the process of its context."""
        run_context = context if context is not None else copy_context()
        process = run_context.get(CURRENT)
        if process is None:
            return super().call_soon(callback, *args, context=run_context)
        handle_cell: list[asyncio.Handle] = []
        handle = super().call_soon(
            self._run_for_process, process, handle_cell, callback, args, run_context, context=run_context
        )
        handle_cell.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback for the process of its context, at a time in s of virtual time."""
        run_context = context if context is not None else copy_context()
        process = run_context.get(CURRENT)
        if process is None:
            return super().call_at(when, callback, *args, context=run_context)
        handle_cell: list[asyncio.Handle] = []
        handle = super().call_at(
            when,
            self._run_for_process,
            process,
            handle_cell,
            callback,
            args,
            run_context,
            context=run_context,
        )
        handle_cell.append(handle)
        return handle

    def _run_for_process(
        self, process: Process, handle_cell: list[asyncio.Handle], callback: Any, args: Any, context: Context
    ) -> None:
        # `handle_cell` holds the callback's handle, which exists only after the callback was scheduled. A
        # deferred callback may have been cancelled by one that ran before it.
        if not process.alive or (handle_cell and handle_cell[0].cancelled()):
            return
        if process.paused:
            process.deferred.append((handle_cell, callback, args, context))
            return
        self.callbacks_run += 1
        callback(*args)

    def requeue(
        self, process: Process, handle_cell: list[asyncio.Handle], callback: Any, args: Any, context: Context
    ) -> None:
        """Schedule a callback again that was deferred while its process was paused."""
        super().call_soon(
            self._run_for_process, process, handle_cell, callback, args, context, context=context
        )

    # These methods use the simulated network in place of sockets.

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect to a listener of the simulated network."""
        return await self.network.connect(protocol_factory, f"{host}:{port}")

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Listen on the simulated network."""
        return self.network.listen(protocol_factory, host, port)

    listen = create_server

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **options: Any
    ) -> Any:
        """Bind a datagram transport on the simulated network."""
        protocol = protocol_factory()
        transport = self.network.bind(local_addr, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

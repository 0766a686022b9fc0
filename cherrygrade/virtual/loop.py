"""An asyncio event loop in virtual time: its clock jumps to the next timer whenever nothing is ready.

What runs belongs to a `Process`, told by the context it was scheduled in. A process that stands still has its
callbacks kept, in order, until it goes on; those of a dead one are dropped. The loop itself opens no socket.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from typing import Any

CURRENT: ContextVar[Process | None] = ContextVar("process", default=None)
START_S = 1000.0  # times are never 0, as on a machine that has been up for a while


class NoPendingEventsError(RuntimeError):
    """Everybody waits and nothing is due: the day cannot go on."""


class Process:
    """Who callbacks belong to. `kept` is emptied by going on or by the end."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive, self.still = True, False
        self.kept: list[tuple[list[asyncio.Handle], Callable[..., Any], tuple[Any, ...], Context]] = []

    def context(self) -> Context:
        """A context in which all that is scheduled belongs to this process."""
        made = copy_context()
        made.run(CURRENT.set, self)
        return made

    def pause(self) -> None:
        self.still = True

    def resume(self) -> None:
        self.still = False
        kept, self.kept = self.kept, []
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        for cell, callback, args, context in kept:
            loop.again(self, cell, callback, args, context)

    def end(self) -> None:
        self.alive = False
        self.kept.clear()


class _Idle:
    """In a selector's place: there is nothing to wait for but time."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        self._loop.skip(timeout)
        return []

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    def __init__(self) -> None:
        super().__init__()
        self._virtual_now = START_S
        self._selector = _Idle(self)
        self._clock_resolution = 1e-9
        self.network: Any = None
        self.steps = 0  # callbacks run for processes

    def time(self) -> float:
        return self._virtual_now

    def skip(self, timeout: float | None) -> None:
        """Nothing is ready: go to the next timer."""
        if timeout is None:
            raise NoPendingEventsError(f"nothing left to happen at {self._virtual_now:.6f} s")
        if timeout > 0.0:
            scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
            self._virtual_now = max(self._virtual_now, scheduled[0].when())

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        made = context if context is not None else copy_context()
        process = made.get(CURRENT)
        if process is None:
            return super().call_soon(callback, *args, context=made)
        cell: list[asyncio.Handle] = []
        handle = super().call_soon(self._step, process, cell, callback, args, made, context=made)
        cell.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        made = context if context is not None else copy_context()
        process = made.get(CURRENT)
        if process is None:
            return super().call_at(when, callback, *args, context=made)
        cell: list[asyncio.Handle] = []
        handle = super().call_at(when, self._step, process, cell, callback, args, made, context=made)
        cell.append(handle)
        return handle

    def _step(
        self, process: Process, cell: list[asyncio.Handle], callback: Any, args: Any, context: Context
    ) -> None:
        if not process.alive or (cell and cell[0].cancelled()):  # one kept may be called off by another
            return
        if process.still:
            process.kept.append((cell, callback, args, context))
            return
        self.steps += 1
        callback(*args)

    def again(
        self, process: Process, cell: list[asyncio.Handle], callback: Any, args: Any, context: Context
    ) -> None:
        """What was kept while its process stood still."""
        super().call_soon(self._step, process, cell, callback, args, context, context=context)

    # What a loop on sockets does with them, done by the network.

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        return await self.network.connect(protocol_factory, f"{host}:{port}")

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        return self.network.listen(protocol_factory, host, port)

    listen = create_server

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **more: Any
    ) -> Any:
        protocol = protocol_factory()
        transport = self.network.bind(local_addr, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

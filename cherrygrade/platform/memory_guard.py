"""Keeps the measured memory of the process within its limit."""

from __future__ import annotations

from collections.abc import Callable

from cherrygrade.peers.process_memory import ProcessMemory
from cherrygrade.peers.socket_queues import SocketQueues
from cherrygrade.platform.memory_pressure import MemoryPressure, PressureLimits
from cherrygrade.platform.peer_memory import MemoryLimits, PeerMemory

MIN_PAUSE_MS = 50.0
"""Least time between two returns of memory."""
PAUSES_PER_RETURN = 9.0
"""A return of memory is followed by a pause of this many times its length: it takes a tenth of the time."""


class MemoryGuard:
    """Measures the process when connections have taken memory, and returns what they have released.

    Above the target, freed memory is given back first. If that is not enough, connections may hold less, so
    that those which hold most give it up.
    """

    def __init__(
        self,
        process: ProcessMemory,
        peers: PeerMemory,
        pressure: MemoryPressure,
        step_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        """Watch the memory of a process.

        Args:
            process: Measures the process.
            peers: What connections hold.
            pressure: Decides what is done.
            step_bytes: The process is measured whenever connections have taken this much.
            clock: Returns the time in ms as it is read, not that of the event-loop iteration.
        """
        self._process = process
        self._peers = peers
        self._pressure = pressure
        self._clock = clock
        self._queued_bytes = 0
        """Kernel memory of the sockets' queues, as measured by the last `sweep`."""
        self._next_return_ms = 0.0
        peers.watch_growth(step_bytes, self.check)

    @classmethod
    def for_process(
        cls,
        process: ProcessMemory,
        peers: PeerMemory,
        memory_bytes: int,
        idle_bytes: int,
        limits: MemoryLimits,
        clock: Callable[[], float],
    ) -> MemoryGuard:
        """Return the guard of a process.

        Args:
            process: Measures the process.
            peers: What connections hold.
            memory_bytes: The memory that the process may use, with the queues of its sockets.
            idle_bytes: The memory of the process before any peer has connected.
            limits: What peers may make the process hold.
            clock: Returns the time in ms as it is read.
        """
        targets = PressureLimits.for_process(memory_bytes, idle_bytes, limits)
        pressure = MemoryPressure(targets, limits.connections_bytes)
        return cls(process, peers, pressure, targets.step_bytes, clock)

    def check(self) -> None:
        """Measure the process, and let connections hold as much as fits."""
        excess_bytes = self._excess_bytes()
        if excess_bytes > 0 and self._give_back():
            excess_bytes = self._excess_bytes()
            self._peers.set_limit(self._pressure.peer_limit(excess_bytes, self._peers.total_bytes))
        elif excess_bytes > 0:  # what was given up since the last return is not free yet
            limit_bytes = self._pressure.unraised_limit(self._peers.max_bytes, self._peers.total_bytes)
            self._peers.set_limit(limit_bytes)
        else:
            self._peers.set_limit(self._pressure.peer_limit(0, 0))

    def sweep(self) -> None:
        """Measure the sockets' queues and the process, and give back what was released; called regularly."""
        self._queued_bytes = SocketQueues.sum_of(
            holder.socket_queues for holder in self._peers.holders
        ).total_bytes
        self.check()
        if self._pressure.is_worth_returning(self._process.resident_bytes(), self._peers.released_bytes):
            self._give_back()

    def _excess_bytes(self) -> int:
        return self._pressure.excess_bytes(self._process.resident_bytes(), self._queued_bytes)

    def _give_back(self) -> bool:
        """Return freed memory to the kernel, unless that was done a moment ago.

        Returns:
            Whether it was done.
        """
        started_ms = self._clock()
        if started_ms < self._next_return_ms:
            return False
        self._peers.released_bytes = 0
        self._process.give_back()
        ended_ms = self._clock()
        pause_ms = max(MIN_PAUSE_MS, (ended_ms - started_ms) * PAUSES_PER_RETURN)
        self._next_return_ms = ended_ms + pause_ms
        return True

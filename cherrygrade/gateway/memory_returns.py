"""Gives memory that a dispatcher of the native protocol has freed back to the kernel."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cherrygrade.peers.process_memory import ProcessMemory

INTERVAL_S = 10.0
KEPT_DIVISOR = 8
"""1/8 of the memory for bodies may stay with the allocator while it is not needed."""
BYTES_PER_KIB = 1024


class MemoryReturns:
    """Measures the process at intervals, and gives back what is free if it is large."""

    def __init__(self, process: ProcessMemory, room_bytes: int, log: Callable[..., None]) -> None:
        """Take the present memory of the process for that of the idle one.

        Args:
            process: Measures the process.
            room_bytes: Memory for bodies.
            log: Writes a log event, given by its name and its facts as keywords.
        """
        self._process = process
        self._kept_bytes = process.resident_bytes() + room_bytes // KEPT_DIVISOR
        self._log = log

    def start(self) -> None:
        """Sweep at intervals from now on, as long as the event loop runs."""
        asyncio.get_running_loop().call_later(INTERVAL_S, self._sweep_and_reschedule)

    def _sweep_and_reschedule(self) -> None:
        self.sweep()
        self.start()

    def sweep(self) -> None:
        """Give free memory back, and log it, if more is resident than may stay."""
        before_bytes = self._process.resident_bytes()
        if before_bytes <= self._kept_bytes:
            return
        self._process.give_back()
        self._log(
            "memory",
            resident_kib=before_bytes // BYTES_PER_KIB,
            after_return_kib=self._process.resident_bytes() // BYTES_PER_KIB,
        )

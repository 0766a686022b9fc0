"""Decides by the measured memory of the process how much connections may hold; free of I/O and clock.

What connections count is less than what the process takes: the allocator and the garbage collector keep what
was freed, and small objects are not counted. So the limit on connections follows the measured memory.
"""

from __future__ import annotations

from dataclasses import dataclass

from cherrygrade.platform.peer_memory import MemoryLimits

MARGIN_DIVISOR = 16
"""1/16 of the memory is for what is taken between two measurements."""
STEPS_PER_MARGIN = 4
"""Memory is measured each time that connections have taken this part of the margin."""
KEPT_DIVISOR = 8
"""1/8 of the memory beyond that of the idle process may stay with the allocator while it is not needed."""
MIN_PEERS_DIVISOR = 2
"""Connections may hold 1/2 of their limit in any case: shedding more would not free what they do not hold."""


@dataclass(frozen=True, slots=True)
class PressureLimits:
    """The measured memory at which something is done, in bytes."""

    target_bytes: int
    """Above this, connections may hold less."""
    kept_bytes: int
    """Above this, memory that was freed is given back to the kernel."""
    step_bytes: int
    """Memory is measured whenever connections have taken this much."""
    queues_bytes: int
    """Kernel memory of sockets that `target_bytes` allows for."""

    @classmethod
    def for_process(cls, memory_bytes: int, idle_bytes: int, limits: MemoryLimits) -> PressureLimits:
        """Return the limits for a process.

        Args:
            memory_bytes: The memory that the process may use, with the queues of its sockets.
            idle_bytes: The memory of the process before any peer has connected.
            limits: What peers may make the process hold.
        """
        margin_bytes = memory_bytes // MARGIN_DIVISOR
        return cls(
            target_bytes=memory_bytes - limits.queues_bytes - margin_bytes,
            kept_bytes=idle_bytes + max(0, memory_bytes - idle_bytes) // KEPT_DIVISOR,
            step_bytes=margin_bytes // STEPS_PER_MARGIN,
            queues_bytes=limits.queues_bytes,
        )


class MemoryPressure:
    """Decides how much connections may hold, and when freed memory is given back."""

    def __init__(self, limits: PressureLimits, max_peer_bytes: int) -> None:
        """Create the decisions for a process.

        Args:
            limits: The measured memory at which something is done.
            max_peer_bytes: What connections may hold while there is no pressure.
        """
        self._limits = limits
        self._max_peer_bytes = max_peer_bytes
        self._min_peer_bytes = max_peer_bytes // MIN_PEERS_DIVISOR

    def excess_bytes(self, resident_bytes: int, queued_bytes: int) -> int:
        """Return by how much the process is above its target; 0 or less while it is not.

        Args:
            resident_bytes: The resident memory of the process.
            queued_bytes: The kernel's memory of the queues of its sockets, as last measured.
        """
        unplanned_bytes = max(0, queued_bytes - self._limits.queues_bytes)
        return resident_bytes + unplanned_bytes - self._limits.target_bytes

    def peer_limit(self, excess_bytes: int, held_bytes: int) -> int:
        """Return how much connections may hold while the process is `excess_bytes` above its target."""
        if excess_bytes <= 0:
            return self._max_peer_bytes
        return max(self._min_peer_bytes, min(self._max_peer_bytes, held_bytes - excess_bytes))

    def unraised_limit(self, limit_bytes: int, held_bytes: int) -> int:
        """Return a limit at which connections neither grow nor have to give up what they hold."""
        return max(self._min_peer_bytes, min(limit_bytes, held_bytes))

    def is_worth_returning(self, resident_bytes: int, released_bytes: int) -> bool:
        """Return whether freed memory is to be given back.

        Args:
            resident_bytes: The resident memory of the process.
            released_bytes: What connections have released since memory was last given back.
        """
        return resident_bytes > self._limits.kept_bytes and released_bytes >= self._limits.step_bytes

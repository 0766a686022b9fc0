"""The memory of this process as the kernel measures it, and the return of what is free."""

from __future__ import annotations

import gc
import os
import resource
from typing import Any

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 256
RESIDENT_FIELD = 1
"""Index of the resident pages in STATM_PATH."""
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 32 * 1024
"""A block of this size or more has a mapping of its own, so that its memory is returned when it is freed."""
TRIM_THRESHOLD_BYTES = 128 * 1024
"""Free memory at the end of the heap beyond this is returned when it is freed."""


def _load_libc() -> Any:
    """Return the C library; None where Python cannot call it."""
    try:
        import ctypes

        return ctypes.CDLL(None)
    except (ImportError, OSError, MemoryError):  # built without libffi, or executable memory is refused
        return None


class ProcessMemory:
    """Measures the memory of this process, and returns what is free.

    Attributes:
        collected: Number of unreachable objects that `give_back` has found in all.
        returned_bytes: Memory by which `give_back` has made the process smaller in all.
    """

    def __init__(self) -> None:
        """Open the kernel's file; where there is none, `resident_bytes` returns 0."""
        self.collected = 0
        self.returned_bytes = 0
        self._libc = _load_libc()
        self._page_bytes = resource.getpagesize()
        try:
            self._descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = -1

    def limit_retained_blocks(self) -> None:
        """Let the allocator return long blocks when they are freed.

        By default it retains more and more, after each long block that is freed.
        """
        if hasattr(self._libc, "mallopt"):
            self._libc.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
            self._libc.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)

    def resident_bytes(self) -> int:
        """Return the memory that the process has resident; 0 where the kernel does not tell."""
        try:
            fields = os.pread(self._descriptor, STATM_BYTES, 0).split()
            return int(fields[RESIDENT_FIELD]) * self._page_bytes
        except (OSError, ValueError, IndexError):
            return 0

    def give_back(self) -> None:
        """Free unreachable objects, and return free memory of the allocator to the kernel.

        Closed transports of asyncio refer to themselves, so that only the garbage collector frees them.
        """
        before_bytes = self.resident_bytes()
        self.collected += gc.collect()
        if hasattr(self._libc, "malloc_trim"):  # of the GNU C library
            self._libc.malloc_trim(0)
        self.returned_bytes += max(0, before_bytes - self.resident_bytes())

    @staticmethod
    def tracked_objects() -> int:
        """Return how many objects the garbage collector tracks beyond those of the idle process."""
        return len(gc.get_objects())

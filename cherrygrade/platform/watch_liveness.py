"""Decides when a silent watch of discovery counts as broken; free of I/O and clock.

When a watch has been silent for 6 s, the platform assumes that the dispatcher knows all changes, whether or
not they arrived. The next watch must have received its first list by then: `SILENCE_LIMIT_MS` and two
attempts of `FIRST_LIST_LIMIT_MS` leave 1 s of the 6 s.
"""

from __future__ import annotations

SILENCE_LIMIT_MS = 3000.0  # discovery sends an empty line every 2 s; it may be 1 s late
FIRST_LIST_LIMIT_MS = 1000.0  # counted from the connect; the agent is on this machine and answers at once


class WatchLiveness:
    """Computes the time until which a watch may be silent."""

    def __init__(self, now_ms: float, full_list_requested: bool) -> None:
        """Start with the connect of a watch.

        Args:
            now_ms: The time at which the connect started.
            full_list_requested: Whether the watch requested the full list rather than changes.
        """
        self.deadline_ms = now_ms + FIRST_LIST_LIMIT_MS
        """When the watch counts as broken, ms; `bytes_received` moves this time at each sign of life."""
        self._has_list = not full_list_requested
        self._within_object = False  # the last bytes left an object unfinished

    def bytes_received(self, now_ms: float, complete_object: bool, within_object: bool) -> None:
        """Move the deadline if the bytes are a sign of life.

        A requested full list is the first sign of life: otherwise a watch could send empty lines and never
        the list. Further bytes of an object that remains unfinished are no sign of life either.

        Args:
            now_ms: The time at which the bytes were read.
            complete_object: Whether an object ended within the bytes.
            within_object: Whether the bytes end within an object.
        """
        self._has_list = self._has_list or complete_object
        if self._has_list and not (within_object and self._within_object):
            self.deadline_ms = now_ms + SILENCE_LIMIT_MS
        self._within_object = within_object and self._has_list

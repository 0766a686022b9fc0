"""When a watch of discovery that says nothing counts as broken; free of I/O and clock.

The platform counts a change as known 6 s after a watch fell silent, whether or not it arrived. So the next
watch has to have its first list before: `SILENCE_LIMIT_MS`, and then two tries of `FIRST_LIST_LIMIT_MS`,
leave a second of the 6 over.
"""

from __future__ import annotations

SILENCE_LIMIT_MS = 3000.0  # an empty line is due every 2 s: this one was a second late
FIRST_LIST_LIMIT_MS = 1000.0  # from the connect on: the agent is on this machine and answers at once


class WatchLiveness:
    """The time until which one watch may say nothing."""

    def __init__(self, now_ms: float, whole_list_wanted: bool) -> None:
        """Args: `now_ms`: when its connect began; `whole_list_wanted`: it requested the whole list."""
        self.deadline_ms = now_ms + FIRST_LIST_LIMIT_MS
        """The watch is broken when it has not moved by then."""
        self._has_list = not whole_list_wanted
        self._within_object = False  # the last bytes left an object unfinished

    def bytes_received(self, now_ms: float, whole_object: bool, within_object: bool) -> None:
        """Move the deadline if the bytes are a sign of life.

        Until a whole list that was requested has arrived nothing else counts: a watch with nothing but empty
        lines would hide what it owes. Nor do more bytes of an object that does not end.

        Args:
            now_ms: When they were read.
            whole_object: An object ended within them.
            within_object: They leave an object unfinished.
        """
        self._has_list = self._has_list or whole_object
        if self._has_list and not (within_object and self._within_object):
            self.deadline_ms = now_ms + SILENCE_LIMIT_MS
        self._within_object = within_object and self._has_list

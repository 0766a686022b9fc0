"""A record of what one process saw on its own sockets.

Each event is a line of JSON: the time in ms of the event loop's monotonic clock, the event's name, and its
facts.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec

_encoder = msgspec.json.Encoder()


class Record:
    """A record of events, in a file or, for tests, in memory.

    Attributes:
        lines: The events, if they are not written to a file.
    """

    def __init__(self, path: Path | None = None) -> None:
        """Open the record.

        Args:
            path: The file that events are appended to; None to keep them in `lines`.
        """
        self.lines: list[list[Any]] = []
        self._file = path.open("ab") if path else None

    def note(self, event: str, *facts: Any) -> None:
        """Record an event with the present time.

        Args:
            event: The event's name.
            facts: The values that are recorded with it.
        """
        line = [round(asyncio.get_running_loop().time() * 1000.0, 3), event, *facts]
        if self._file is None:
            self.lines.append(line)
        else:
            self._file.write(_encoder.encode(line) + b"\n")

    def flush(self) -> None:
        """Write buffered events to the file."""
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        """Close the file; later events are kept in `lines`."""
        if self._file is not None:
            self._file.close()
            self._file = None

"""The record of a case: what was sent, answered and run, one JSON object a line."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes events with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        """Create or empty the file at `path`."""
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def write(self, who: str, event: str, **facts: Any) -> None:
        """Write one event."""
        line = {"t": round(self.now_s(), 4), "who": who, "event": event, **facts}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()

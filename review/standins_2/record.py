"""The record of a case: what was sent, answered and run, one line an event, with the time since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes the lines of one run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start

    def write(self, event: str, **facts: object) -> None:
        """Write an event with its facts."""
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{self.now():9.4f} {event} {text}".rstrip() + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

"""What one side saw pass on its own sockets, a JSON line each: time (ms, monotonic), event, facts."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec

_encoder = msgspec.json.Encoder()


class Record:
    """Lines go to a file, or stay in `lines` where there is none (tests)."""

    def __init__(self, path: Path | None = None) -> None:
        self.lines: list[list[Any]] = []
        self._file = path.open("ab") if path else None

    def note(self, event: str, *facts: Any) -> None:
        line = [round(asyncio.get_running_loop().time() * 1000.0, 3), event, *facts]
        if self._file is None:
            self.lines.append(line)
        else:
            self._file.write(_encoder.encode(line) + b"\n")

    def flush(self) -> None:
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None

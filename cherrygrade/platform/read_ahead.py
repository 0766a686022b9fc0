"""Bytes that a client has sent ahead of the request that is served; free of I/O and clock.

They stay unparsed until it is their turn, as parsed messages take several times the memory.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_CHUNK_MS = 20.0
"""Bytes that arrive within this time count as received with the first of them."""


@dataclass(slots=True)
class Chunk:
    """Bytes that arrived at about the same time."""

    received_ms: float
    """When the first of the bytes arrived. The deadline of a request counts from the arrival of its last
    byte, not from the answer to the request before it."""
    data: bytearray | bytes


class ReadAhead:
    """A queue of bytes, each with the time of its arrival."""

    def __init__(self) -> None:
        self.size = 0
        """Number of bytes in the queue."""
        self._chunks: deque[Chunk] = deque()

    def append(self, data: bytes, now: float) -> None:
        """Add bytes that arrived at `now`, in ms, behind the others."""
        self.size += len(data)
        last = self._chunks[-1] if self._chunks else None
        if last is None or now - last.received_ms >= MAX_CHUNK_MS:
            self._chunks.append(Chunk(now, bytearray(data)))
        elif isinstance(last.data, bytearray):
            last.data += data
        else:
            last.data = bytearray(last.data) + data

    def put_back(self, chunk: Chunk) -> None:
        """Add bytes that were taken before all others."""
        self.size += len(chunk.data)
        self._chunks.appendleft(chunk)

    def take(self) -> Chunk:
        """Remove and return the first bytes; the queue must not be empty."""
        chunk = self._chunks.popleft()
        self.size -= len(chunk.data)
        return chunk

    def start(self, max_bytes: int) -> bytes:
        """Return the first bytes, at most `max_bytes`, without removing them."""
        start = b""
        for chunk in self._chunks:
            start += chunk.data[: max_bytes - len(start)]
            if len(start) >= max_bytes:
                break
        return start

    def clear(self) -> None:
        """Remove all bytes."""
        self._chunks.clear()
        self.size = 0

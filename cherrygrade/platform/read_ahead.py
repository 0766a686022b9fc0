"""Bytes that a client has sent and that are not parsed yet; free of I/O and clock.

What a client sends ahead of the request that is served stays unparsed until it is its turn, as parsed
messages take several times the memory.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_CHUNK_MS = 20.0
"""Bytes that arrive within this time count as received with the first of them."""
MAX_PIECE_BYTES = 16 * 1024
"""Bytes that are taken out of the queue at once."""


@dataclass(slots=True)
class _Chunk:
    """Bytes that arrived at about the same time."""

    received_ms: float
    data: bytearray


class ReadAhead:
    """A queue of bytes, each with the time of its arrival."""

    def __init__(self) -> None:
        self.size = 0
        """Number of bytes in the queue."""
        self._chunks: deque[_Chunk] = deque()

    @property
    def received_ms(self) -> float:
        """When the first bytes arrived; the queue must not be empty.

        The deadline of a request counts from the arrival of its last byte, not from the answer to the request
        before it.
        """
        return self._chunks[0].received_ms

    def append(self, data: memoryview, now: float) -> None:
        """Add a copy of bytes that arrived at `now`, in ms."""
        self.size += len(data)
        if self._chunks and now - self._chunks[-1].received_ms < MAX_CHUNK_MS:
            self._chunks[-1].data += data
        else:
            self._chunks.append(_Chunk(now, bytearray(data)))

    def piece(self, max_bytes: int = MAX_PIECE_BYTES) -> bytes:
        """Return the first bytes, at most `max_bytes`; all of them arrived at `received_ms`."""
        return bytes(self._chunks[0].data[:max_bytes])

    def consume(self, size: int) -> None:
        """Remove bytes of the last `piece`."""
        self.size -= size
        first = self._chunks[0].data
        del first[:size]
        if not first:
            self._chunks.popleft()

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

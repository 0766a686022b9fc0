"""Writes to a connection in pieces, so that a small send buffer of the kernel does not slow it down.

A peer may delay its acknowledgement by 40 ms or more until a second segment has arrived (RFC 1122, 4.2.3.2).
The kernel makes one segment of a large write, however small the send buffer is. With pieces, several segments
fit, and the rest is held once, by its owner's object, and not copied into the event loop's buffer.
"""

from __future__ import annotations

import asyncio
from collections import deque

PIECES_PER_BUFFER = 4
MIN_PIECE_BYTES = 4 * 1024
HIGH_WATER_BYTES = 128 * 1024
"""A writer is full once more bytes than this are unsent."""
LOW_WATER_BYTES = 32 * 1024
"""A writer is no longer full once no more bytes than this are unsent."""


def piece_size(send_buffer_bytes: int) -> int:
    """Return the size of pieces, in bytes, of which several fit into the kernel's send buffer."""
    return max(MIN_PIECE_BYTES, send_buffer_bytes // PIECES_PER_BUFFER)


class PiecewiseWriter:
    """Writes bytes to a transport; its protocol passes on `pause_writing` and `resume_writing`.

    Whenever bytes wait here, the transport's buffer is not empty, so that it will call `resume_writing`.
    """

    def __init__(self, transport: asyncio.Transport, piece_bytes: int) -> None:
        """Take over the writing to a transport.

        Args:
            transport: The transport; nothing else writes to it.
            piece_bytes: The most that is passed to the transport at once.
        """
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._piece_bytes = piece_bytes
        self._waiting: deque[memoryview] = deque()
        self._waiting_bytes = 0
        self._is_paused = False
        self._ends = False
        self.is_full = False
        """Whether more than HIGH_WATER_BYTES were unsent, and since then always more than LOW_WATER_BYTES."""

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken yet."""
        return self._waiting_bytes + self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Write bytes behind those that were written before."""
        self._waiting.append(memoryview(data))
        self._waiting_bytes += len(data)
        self._write_pieces()
        if self.unsent_bytes > HIGH_WATER_BYTES:
            self.is_full = True

    def write_eof(self) -> None:
        """Close this side of the connection behind the bytes that were written.

        Raises:
            OSError: The peer has reset the connection.
        """
        self._ends = True
        self._write_pieces()

    def pause(self) -> None:
        """Stop writing: the kernel has not taken all of the last piece."""
        self._is_paused = True

    def resume(self) -> None:
        """Continue writing: the kernel has taken all of the last piece.

        Raises:
            OSError: The peer has reset the connection, and `write_eof` was called.
        """
        self._is_paused = False
        self._write_pieces()
        if self.unsent_bytes <= LOW_WATER_BYTES:
            self.is_full = False

    def discard(self) -> None:
        """Forget the bytes that wait here; the transport is about to be aborted."""
        self._waiting.clear()
        self._waiting_bytes = 0

    def _write_pieces(self) -> None:
        while self._waiting and not self._is_paused:
            data = self._waiting.popleft()
            if len(data) > self._piece_bytes:
                self._waiting.appendleft(data[self._piece_bytes :])
                data = data[: self._piece_bytes]
            self._waiting_bytes -= len(data)
            self._transport.write(data)
        if self._ends and not self._waiting:
            self._ends = False
            self._transport.write_eof()

"""Incremental reader that stops at the end of each message, free of I/O.

The bytes behind a message stay with the caller: unread bytes take less memory than parsed messages, and what
follows a message may show that its length is wrong.
"""

from __future__ import annotations

from cherrygrade.http.reader import Framing, MessageReader

HEAD_END = b"\r\n\r\n"
LINE_ENDS = b"\r\n"
LAST_CHUNK_SIZE = b"0"
LAST_CHUNK_START = b"\n" + LAST_CHUNK_SIZE


class SingleMessageReader(MessageReader):
    """Reads messages one at a time."""

    _head = b""
    """The head that is being read; at most MAX_HEAD_BYTES and one read."""
    _keeps_head = False
    """Whether the head is kept until the end of the message."""

    _may_have_last_chunk = False
    """Whether a line of a chunked body began as the last chunk does; its lines are then read one by one."""

    def feed_message(self, data: bytes) -> int:
        """Read bytes up to the end of a message.

        Nothing is read as long as `messages` has a complete message.

        Returns:
            The number of bytes that were read; less than all if a message has ended before, or at an error.
        """
        position = 0
        while position < len(data) and self.error is None and not self.messages:
            position += self._feed_part(data, position)
        return position

    def feed_head(self, data: bytes) -> int:
        """Read bytes up to the end of the head, or line ends before it, as `feed_message` does.

        The head of the message must not have been read yet.

        Returns:
            The number of bytes that were read.
        """
        return self._feed_part(data, 0)

    def _feed_part(self, data: bytes, position: int) -> int:
        """Read bytes from `position` on up to the end of a part of the message; return their number."""
        size = self._next_size(data, position)
        super().feed(data[position : position + size])
        if self._is_head_over():
            self._head = b""
        if self._message is None:
            self._may_have_last_chunk = False
        return size

    def _is_head_over(self) -> bool:
        """Whether the head that was kept is not needed any more."""
        if self._message is not None:
            return not (self._in_head or self._keeps_head)
        # Line ends before a message, an interim response or a message have ended.
        return not (self.messages and self._keeps_head)

    @property
    def memory_bytes(self) -> int:
        """Memory of the message that is being read, of its head, and of the complete message."""
        return super().memory_bytes + len(self._head)

    def close(self) -> None:
        """Drop all messages, and return what they claimed; nothing is read any more."""
        super().close()
        self._head = b""

    def _next_size(self, data: bytes, position: int) -> int:
        """Return how many bytes from `position` on can be read without going beyond the message."""
        message = self._message
        if self._in_head:
            return self._next_head_bytes(data[position:] if position else data)
        if message is not None and message.framing is Framing.CONTENT_LENGTH:
            return min(len(data) - position, int(message.fields[b"content-length"]) - len(self._body))
        if message is not None and message.framing is Framing.CHUNKED:
            return self._next_chunked_bytes(data, position)
        return len(data) - position  # only the close marks the end

    def _next_chunked_bytes(self, data: bytes, position: int) -> int:
        """Return how many bytes can be read without going beyond the last chunk and its trailer."""
        if not self._may_have_last_chunk:
            starts_here = data.startswith(LAST_CHUNK_SIZE, position)
            self._may_have_last_chunk = starts_here or data.find(LAST_CHUNK_START, position) >= 0
        if not self._may_have_last_chunk:
            return len(data) - position
        end = data.find(b"\n", position) + 1  # the message ends with a line end
        return (end or len(data)) - position

    def _next_head_bytes(self, data: bytes) -> int:
        """Return how many bytes of `data` belong to the head, and keep these."""
        if self._message is None:  # RFC 9112, 2.2: line ends before a message are skipped
            line_end_bytes = len(data) - len(data.lstrip(LINE_ENDS))
            if line_end_bytes:
                return line_end_bytes
        previous = self._head[1 - len(HEAD_END) :]
        found_at = (previous + data).find(HEAD_END)
        size = len(data) if found_at < 0 else found_at + len(HEAD_END) - len(previous)
        self._head += data[:size]
        return size

"""Incremental reader of the responses on one connection, free of I/O.

It reads one response at a time, and compares the bytes that follow a response with the response itself.
Responses are not pipelined: on a correct connection nothing follows a response before the next request.
"""

from __future__ import annotations

from enum import Enum

from cherrygrade.http.reader import BodyBudget, Framing, Message, MessageReader

HEAD_END = b"\r\n\r\n"
LINE_ENDS = b"\r\n"


class Trailing(Enum):
    """What has arrived behind a complete response."""

    NOTHING = "no byte"
    PARTIAL_COPY = "the start of the same response"
    COPY = "the same response, whole"
    OTHER = "anything else"


class ResponseReader(MessageReader):
    """Reads the responses of one connection, one at a time."""

    def __init__(self, budget: BodyBudget) -> None:
        """Create a reader that expects the start of a response.

        Args:
            budget: Memory for bodies beyond `MAX_BODY_BYTES`.
        """
        super().__init__(responses=True, budget=budget)
        self.trailing = Trailing.NOTHING
        """What has arrived behind the response; always NOTHING while `response` is None."""
        self._response_budget = budget
        self._head = b""
        """The head of the response without interim responses; at most MAX_HEAD_BYTES and one read."""
        self._copied_bytes = 0
        """Number of bytes behind the response that repeat it from its start."""

    @property
    def response(self) -> Message | None:
        """The complete response; None until its last byte has arrived, and again after `take_response`."""
        return self.messages[0] if self.messages else None

    def feed(self, data: bytes) -> None:
        """Read bytes in the order of their arrival; the results are in `response`, `trailing` and `error`."""
        # The parser skips line ends between messages without a callback, so it must not be given more than
        # one response: what follows the response would not be noticed.
        while data and self.error is None and not self.messages:
            size = self._next_head_bytes(data) if self._in_head else self._next_body_bytes(data)
            super().feed(data[:size])
            data = data[size:]
            if self._message is None and not self.messages:
                self._head = b""  # line ends before a response, or an interim response, have ended
        if self.messages:
            self._examine_trailing(data)

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

    def _next_body_bytes(self, data: bytes) -> int:
        """Return how many bytes of `data` may belong to the body."""
        message = self._message
        if message is None or message.framing is not Framing.CONTENT_LENGTH:
            return len(data)  # the last chunk or the close marks the end
        return int(message.fields[b"content-length"]) - len(self._body)

    def _examine_trailing(self, data: bytes) -> None:
        """Compare bytes that follow the response with it."""
        if len(self.messages) > 1 or self._message is not None or self.error is not None:
            self.trailing = Trailing.OTHER  # the parser has found them behind the last chunk
        if not data or self.trailing in (Trailing.OTHER, Trailing.COPY):
            return
        copy = (self._head + self.messages[0].body)[self._copied_bytes :]
        if not (copy.startswith(data) or data.startswith(copy)):
            self.trailing = Trailing.OTHER
            return
        self._copied_bytes += min(len(copy), len(data))
        self.trailing = Trailing.COPY if len(data) >= len(copy) else Trailing.PARTIAL_COPY

    def take_response(self) -> Message:
        """Return the complete response, whose memory is no longer claimed, and expect the next one."""
        response = self.messages[0]
        self._discard_messages()
        return response

    def release(self) -> None:
        """Return all claimed bytes, also those of a response that was not taken."""
        self._discard_messages()
        super().release()

    def _discard_messages(self) -> None:
        for message in self.messages:
            self._response_budget.release(message)
        self.messages.clear()
        self._head = b""
        self._copied_bytes = 0
        self.trailing = Trailing.NOTHING

"""Incremental reader of the responses on one connection, free of I/O.

It reads one response at a time, and compares the bytes that follow a response with the response itself.
Responses are not pipelined: on a correct connection nothing follows a response before the next request.
"""

from __future__ import annotations

from enum import Enum

from cherrygrade.http.reader import BodyBudget, Message
from cherrygrade.http.single_message_reader import SingleMessageReader


class Trailing(Enum):
    """What has arrived behind a complete response."""

    NOTHING = "no byte"
    PARTIAL_COPY = "the start of the same response"
    COPY = "the same response, whole"
    OTHER = "anything else"


class ResponseReader(SingleMessageReader):
    """Reads the responses of one connection, one at a time."""

    _keeps_head = True

    def __init__(self, budget: BodyBudget) -> None:
        """Create a reader that expects the start of a response.

        Args:
            budget: Memory for bodies beyond `MAX_BODY_BYTES`.
        """
        super().__init__(responses=True, budget=budget)
        self.trailing = Trailing.NOTHING
        """What has arrived behind the response; always NOTHING while `response` is None."""
        self._response_budget = budget
        self._copied_bytes = 0
        """Number of bytes behind the response that repeat it from its start."""

    @property
    def response(self) -> Message | None:
        """The complete response; None until its last byte has arrived, and again after `take_response`."""
        return self.messages[0] if self.messages else None

    def feed(self, data: bytes) -> None:
        """Read bytes in the order of their arrival; the results are in `response`, `trailing` and `error`."""
        size = self.feed_message(data)
        if self.messages:
            self._examine_trailing(data[size:])

    def _examine_trailing(self, data: bytes) -> None:
        """Compare bytes that follow the response with it."""
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

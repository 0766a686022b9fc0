"""The requests of one client: read ahead as bytes, and parsed one at a time; free of I/O."""

from __future__ import annotations

from enum import Enum

from cherrygrade.http.reader import MAX_HEAD_BYTES, BodyBudget, HttpError, Message
from cherrygrade.http.single_message_reader import SingleMessageReader
from cherrygrade.platform.read_ahead import MAX_PIECE_BYTES, ReadAhead

CHUNKED_BYTES_PER_TURN = 2 * 1024
"""Bytes of a chunked body that are parsed at once; its chunks may be as short as a byte."""


class Parsing(Enum):
    """What parsing has led to."""

    MESSAGE = "a complete message"
    ERROR = "an error, after which nothing is parsed"
    NEEDS_BYTES = "all bytes are parsed"
    NEEDS_TURN = "bytes of a chunked body are left, which take long to parse"


class RequestStream:
    """Bytes that a client has sent, and the request that is parsed from them.

    Nothing behind a complete message is parsed until the message is taken.
    """

    def __init__(self, budget: BodyBudget) -> None:
        """Create a stream of which nothing has arrived.

        Args:
            budget: Memory for long bodies.
        """
        self._reader = SingleMessageReader(responses=False, budget=budget)
        self._read_ahead = ReadAhead()

    @property
    def within_message(self) -> bool:
        """Whether the start of a message was parsed and its end was not."""
        return self._reader.within_message

    @property
    def is_empty(self) -> bool:
        """Whether no message is complete and all bytes are parsed."""
        return not (self._reader.messages or self._read_ahead.size)

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that were read ahead."""
        return self._read_ahead.size

    @property
    def memory_bytes(self) -> int:
        """Memory of what was read ahead and of the message that is parsed or complete."""
        return self._read_ahead.size + self._reader.memory_bytes

    @property
    def error(self) -> HttpError | None:
        """The first error; messages before it remain valid."""
        return self._reader.error

    def append(self, data: memoryview, now: float) -> None:
        """Add a copy of bytes that arrived at `now`, in ms."""
        self._read_ahead.append(data, now)

    def start(self, max_bytes: int) -> bytes:
        """Return the first unparsed bytes, at most `max_bytes`."""
        return self._read_ahead.start(max_bytes)

    def parse(self, has_turn: bool) -> Parsing:
        """Parse up to the end of a message.

        Args:
            has_turn: Whether CHUNKED_BYTES_PER_TURN of a chunked body may be parsed.
        """
        while not self._reader.messages and self._reader.error is None and self._read_ahead.size:
            if self._reader.within_chunked_body:
                if not has_turn:
                    return Parsing.NEEDS_TURN
                has_turn = False
            self._parse_piece()
        if self._reader.messages:
            return Parsing.MESSAGE
        return Parsing.ERROR if self._reader.error is not None else Parsing.NEEDS_BYTES

    def _parse_piece(self) -> None:
        received_ms = self._read_ahead.received_ms
        if self._reader.is_before_body:
            size = self._reader.feed_head(self._read_ahead.piece(MAX_HEAD_BYTES))
        else:
            max_bytes = CHUNKED_BYTES_PER_TURN if self._reader.within_chunked_body else MAX_PIECE_BYTES
            size = self._reader.feed_message(self._read_ahead.piece(max_bytes))
        self._read_ahead.consume(size)
        for message in self._reader.messages:
            message.received_ms = received_ms

    def take_message(self) -> Message:
        """Return the complete message, and expect the next one."""
        return self._reader.messages.pop()

    def take_expectation(self) -> bool:
        """Return whether the client waits for `100 Continue`; at most once for each message."""
        return self._reader.take_expectation()

    def close(self) -> None:
        """Drop everything; nothing more is parsed."""
        self._reader.close()
        self._read_ahead.clear()

"""Incremental reader of HTTP/1.1 messages (RFC 9112), free of I/O.

`httptools` (llhttp without leniencies) parses the grammar and rejects contradictory framing: two lengths, a
length beside a transfer encoding, bare line feeds, white space before a colon. It sets no limits on sizes, so
this module limits the head, the number of fields, the body, and all bytes of a message including its framing.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import httptools

MAX_HEAD_BYTES = 8 * 1024
MAX_FIELDS = 64
MAX_BODY_BYTES = 64 * 1024
MAX_LONG_BODY_BYTES = 1024 * 1024  # a body beyond MAX_BODY_BYTES also needs memory of a `BodyBudget`
MAX_FRAMING_FACTOR = 4  # bytes of a body as transferred, including chunk sizes and extensions, per body byte
MAX_ERROR_CHARS = 200
MESSAGE_BYTES = 1024  # memory of a message without its fields and its body
FIELD_BYTES = 128  # memory of a field besides its name and its value
# Scheme and authority of a request target in absolute form (RFC 9112, 3.2.2). They address this server and
# are removed; only the path and the query are forwarded.
ABSOLUTE_FORM_PREFIX = re.compile(rb"(?i:http)://[^/?#]+(?=/)")


class BodyBudget:
    """A memory limit for bodies beyond MAX_BODY_BYTES, shared by many readers.

    A reader claims bytes before it reads them. The owner of the complete message releases them.
    """

    def __init__(self, max_bytes: int, copies: int = 1) -> None:
        """Create a budget of which nothing is claimed.

        Args:
            max_bytes: The limit on all claimed bytes together.
            copies: How many copies of each body are in memory at the same time.
        """
        self.max_bytes = max_bytes
        self.copies = copies
        self.reserved_bytes = 0
        """Bytes claimed and not yet freed, counting all copies; at most `max_bytes`, unless that is lowered
        while bytes are claimed."""

    def claim(self, size: int) -> bool:
        """Claim `size` more bytes of bodies.

        Returns:
            False if they exceed the budget; nothing is claimed then.
        """
        if self.reserved_bytes + size * self.copies > self.max_bytes:
            return False
        self.reserved_bytes += size * self.copies
        return True

    def free(self, size: int) -> None:
        """Return `size` bytes that were claimed."""
        self.reserved_bytes -= size * self.copies

    def release(self, message: Message) -> None:
        """Return the bytes that `message` has claimed, once its body is no longer used."""
        size, message.claimed_bytes = message.claimed_bytes, 0
        self.free(size)


CLOSED_STATUS = 400


class HttpError(Exception):
    """The peer sent a message that cannot be used; the text names the fault."""

    def __init__(self, status: int, reason: str) -> None:
        """Create an error.

        Args:
            status: The status code with which a client is answered.
            reason: The body of that answer.
        """
        super().__init__(reason)
        self.status = status


class Framing(Enum):
    """What marked the end of a message."""

    NO_BODY = "neither length nor encoding"
    CONTENT_LENGTH = "as many bytes of body as the head tells"
    CHUNKED = "the last chunk"
    UNTIL_CLOSE = "the orderly end of the connection"


class Message:
    """One complete message.

    A field that was sent more than once has all its values, separated by commas.
    """

    __slots__ = ("body", "claimed_bytes", "fields", "framing", "method", "received_ms", "status", "target")

    def __init__(self) -> None:
        self.method = b""
        """The method of a request; empty in a response."""
        self.target = b""
        """The target of a request, in origin form; empty in a response."""
        self.status = 0
        """The status code of a response; 0 in a request."""
        self.fields: dict[bytes, bytes] = {}
        """Header fields by lower-case name, without trailer fields."""
        self.body = b""
        self.framing = Framing.NO_BODY
        self.claimed_bytes = 0
        """Bytes of the reader's budget that the body has claimed."""
        self.received_ms = 0.0
        """When the last byte arrived, on the clock of the caller that sets it; 0 until then."""

    @property
    def memory_bytes(self) -> int:
        """Memory that the message takes, without the target; the head is bounded by MAX_HEAD_BYTES."""
        return MESSAGE_BYTES + FIELD_BYTES * len(self.fields) + len(self.body)


class MessageReader:
    """Reads the messages of one direction of a connection."""

    def __init__(self, responses: bool, budget: BodyBudget | None = None) -> None:
        """Create a reader that expects the start of a message.

        Args:
            responses: True to read responses, False to read requests.
            budget: Memory for bodies beyond MAX_BODY_BYTES; without a budget such a body is an error.
        """
        self.messages: list[Message] = []
        """Complete messages in the order of arrival; the owner removes them."""
        self.error: HttpError | None = None
        """The first error. Nothing is read after it; messages that were complete before it remain valid."""
        self._responses = responses
        self._budget = budget
        self._claimed_bytes = 0  # for the message that is being read
        parser_class: Any = httptools.HttpResponseParser if responses else httptools.HttpRequestParser
        self._parser = parser_class(self)
        self._message: Message | None = None
        self._body = bytearray()
        self._in_head = True
        self._head_bytes = 0  # field names and values of the message that is being read
        self._field_count = 0  # field lines of the message that is being read, trailer fields included
        self._wire_bytes = 0  # fed since the last complete message

    @property
    def within_message(self) -> bool:
        """Whether the start of a message was read and its end was not."""
        return self._message is not None

    @property
    def within_chunked_body(self) -> bool:
        """Whether the head of a message with a chunked body was read and its end was not."""
        message = self._message
        return message is not None and not self._in_head and message.framing is Framing.CHUNKED

    @property
    def is_before_body(self) -> bool:
        """Whether the end of a head is expected, or the start of a message."""
        return self._in_head

    @property
    def memory_bytes(self) -> int:
        """Memory of the message that is being read and of the complete ones."""
        if self._message is None and not self.messages:
            return 0
        size = sum(message.memory_bytes for message in self.messages)
        if self._message is not None:
            size += self._message.memory_bytes + self._head_bytes + len(self._body)
        return size

    def take_expectation(self) -> bool:
        """Report whether the peer waits for `100 Continue` before it sends a body (RFC 9110, 10.1.1).

        Returns:
            True at most once for each message; the caller then sends the interim response.
        """
        message = self._message
        if message is None or self._in_head or self._body or self.error is not None:
            return False
        expected: bytes = message.fields.pop(b"expect", b"")
        return expected.lower() == b"100-continue" and self._parser.get_http_version() != "1.0"

    def feed(self, data: bytes) -> None:
        """Read bytes in the order of their arrival; the results are in `messages` and `error`."""
        if self.error is not None:
            return
        messages_before = len(self.messages)
        self._wire_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.error = _without_traceback(error)
        if len(self.messages) > messages_before:
            self._wire_bytes = 0
        if self.error is None and self._message is not None:
            self._check_wire_size()

    def _check_wire_size(self) -> None:
        max_body_bytes = max(MAX_BODY_BYTES, len(self._body))
        if self._in_head and self._wire_bytes > MAX_HEAD_BYTES:
            self.error = HttpError(431, "the head is too long")
        elif self._wire_bytes > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * max_body_bytes:
            self.error = HttpError(413, "the message does not end")

    # Callbacks of the parser. An exception that they raise ends `feed_data` with an HttpParserError.

    def on_message_begin(self) -> None:
        """Handle the start of a message."""
        self._message = Message()
        self._in_head = True
        self._head_bytes = self._field_count = 0
        self._body = bytearray()

    def on_url(self, data: bytes) -> None:
        """Handle a part of the request's target."""
        assert self._message is not None
        self._message.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field or a trailer field."""
        message = self._message
        assert message is not None
        self._head_bytes += len(name) + len(value)
        self._field_count += 1
        if self._head_bytes > MAX_HEAD_BYTES or self._field_count > MAX_FIELDS:
            raise HttpError(431, "the head is too long")
        if not self._in_head:
            return  # trailer fields are not used
        name = name.lower()
        value = value.strip(b" \t")  # RFC 9110, 5.5: white space around a value is not part of it
        fields = message.fields
        fields[name] = fields[name] + b"," + value if name in fields else value

    def on_headers_complete(self) -> None:
        """Handle the end of the head: check the framing before the body is read."""
        message = self._message
        assert message is not None
        self._in_head = False
        if self._parser.should_upgrade():
            raise HttpError(400, "no other protocol is spoken here")
        length = message.fields.get(b"content-length", b"")
        encoding = message.fields.get(b"transfer-encoding")
        if encoding is not None and encoding.lower() != b"chunked":
            raise HttpError(501, "no such transfer encoding is read here")
        if encoding is not None:
            message.framing = Framing.CHUNKED
        elif length:
            message.framing = Framing.CONTENT_LENGTH
            self._claim_body(int(length))
        if self._responses:
            message.status = self._parser.get_status_code()
        else:
            message.method = self._parser.get_method()
            prefix = ABSOLUTE_FORM_PREFIX.match(message.target)
            if prefix is not None:
                message.target = message.target[prefix.end() :]

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        self._claim_body(len(self._body) + len(data))
        self._body += data

    def _claim_body(self, size: int) -> None:
        """Claim memory of the budget for a body that has `size` bytes in total.

        Raises:
            HttpError: The body exceeds the limit (413), or the budget is used up (503).
        """
        missing = size - MAX_BODY_BYTES - self._claimed_bytes
        if missing <= 0:
            return
        if self._budget is None or size > MAX_LONG_BODY_BYTES:
            raise HttpError(413, "the body is too long")
        if not self._budget.claim(missing):
            raise HttpError(503, "there is no room for a body as long as this just now")
        self._claimed_bytes += missing

    def release(self) -> None:
        """Return the bytes claimed for the message that is being read, once that message is not needed."""
        if self._budget is not None:
            self._budget.free(self._claimed_bytes)
        self._claimed_bytes = 0

    def close(self) -> None:
        """Drop all messages, and return what they claimed; nothing is read any more.

        The parser refers to the reader and the reader to the parser, so that without this the memory of both
        would stay until a run of the garbage collector.
        """
        self.release()
        if self._budget is not None:
            for message in self.messages:
                self._budget.release(message)
        self.messages.clear()
        self._message, self._body = None, bytearray()
        self._parser = None
        self.error = self.error or HttpError(CLOSED_STATUS, "the connection is closed")

    def end(self) -> None:
        """Handle the orderly close of the connection by the peer, which ends a response without a length."""
        message = self._message
        if not self._responses or message is None or self._in_head or self.error is not None:
            return
        if message.framing is Framing.NO_BODY:
            message.framing = Framing.UNTIL_CLOSE
            self.on_message_complete()

    def on_message_complete(self) -> None:
        """Handle the end of a message. Interim responses (1xx) are dropped."""
        message, self._message = self._message, None
        assert message is not None
        message.body, self._body = bytes(self._body), bytearray()
        message.claimed_bytes, self._claimed_bytes = self._claimed_bytes, 0
        self._in_head = True
        if not (self._responses and 100 <= message.status < 200):
            self.messages.append(message)


def _without_traceback(error: httptools.HttpParserError) -> HttpError:
    """Return the error to keep; a traceback would keep all bytes and objects of the calls that it names."""
    # httptools replaces an exception of a callback by its own, with the original as context.
    cause = error.__context__
    if isinstance(cause, HttpError):
        return HttpError(cause.status, str(cause))
    return HttpError(400, str(error)[:MAX_ERROR_CHARS])


def connection_options(fields: dict[bytes, bytes]) -> set[bytes]:
    """Return the options of the field `Connection` in lower case (RFC 9110, 7.6.1)."""
    return {option.strip().lower() for option in fields.get(b"connection", b"").split(b",")}


def closes_connection(message: Message) -> bool:
    """Return whether the peer closes the connection after this message."""
    return b"close" in connection_options(message.fields)

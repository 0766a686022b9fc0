"""Incremental reader of HTTP/1.1 messages (RFC 9112), free of I/O.

`httptools` (llhttp without leniencies) knows the grammar and turns away framing that contradicts itself: two
lengths, a length beside an encoding, bare line ends, white space before a colon. What it does not bound is
bounded here: a head, its fields, a body, and all bytes that a message may take on the way.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import httptools

MAX_HEAD_BYTES = 8 * 1024
MAX_FIELDS = 64
MAX_BODY_BYTES = 64 * 1024
MAX_LONG_BODY_BYTES = 1024 * 1024  # of a body beyond MAX_BODY_BYTES, as far as the budget allows
MAX_FRAMING_FACTOR = 4  # bytes of a message's body as sent, chunk heads with it, over those of the body
MAX_ERROR_CHARS = 200
# The absolute form of a request's target (RFC 9112, 3.2.2) up to its path: the authority is this hop's.
ABSOLUTE_FORM_PREFIX = re.compile(rb"(?i:http)://[^/?#]+(?=/)")


class BodyBudget:
    """Memory for bodies beyond MAX_BODY_BYTES, shared by many readers.

    A reader claims bytes before it reads them; the owner of a message releases them.
    """

    def __init__(self, max_bytes: int, copies: int = 1) -> None:
        """Args: `max_bytes`: in total; `copies`: how often each body is held at the same time."""
        self.max_bytes = max_bytes
        self.copies = copies
        self.held_bytes = 0
        """Claimed and not released, copies included; at most `max_bytes` unless that was lowered."""

    def claim(self, size: int) -> bool:
        """Whether there is memory for `size` more bytes; they are held then."""
        if self.held_bytes + size * self.copies > self.max_bytes:
            return False
        self.held_bytes += size * self.copies
        return True

    def free(self, size: int) -> None:
        """Return `size` bytes that were claimed."""
        self.held_bytes -= size * self.copies

    def release(self, message: Message) -> None:
        """Return what the message's body holds, once the body is not used any more."""
        size, message.claimed_bytes = message.claimed_bytes, 0
        self.free(size)


class HttpError(Exception):
    """The peer sent something that cannot be used; the text says what."""

    def __init__(self, status: int, reason: str) -> None:
        """Args: `status`: what a client is answered with; `reason`: the body of that answer."""
        super().__init__(reason)
        self.status = status


class Framing(Enum):
    """How the end of a message was known."""

    NO_BODY = "neither length nor encoding"
    LENGTH_KNOWN = "a length, or chunks with their end"
    UNTIL_CLOSE = "the orderly end of the connection"


class Message:
    """One whole message. A field that was sent twice holds both values, separated by a comma."""

    __slots__ = ("body", "claimed_bytes", "fields", "framing", "method", "received_ms", "status", "target")

    def __init__(self) -> None:
        self.method = b""
        """Of a request."""
        self.target = b""
        """Of a request, in origin form."""
        self.status = 0
        """Of a response."""
        self.fields: dict[bytes, bytes] = {}
        """Names in lower case; trailers are not among them."""
        self.body = b""
        self.framing = Framing.NO_BODY
        self.claimed_bytes = 0
        """What its body holds of the reader's budget."""
        self.received_ms = 0.0
        """When its last byte arrived; set by whoever queues the message, on a clock of its own."""


class MessageReader:
    """Reads one direction of a connection."""

    def __init__(self, responses: bool, budget: BodyBudget | None = None) -> None:
        """Start before the first message.

        Args:
            responses: Read responses; requests otherwise.
            budget: Memory for long bodies; without one they are errors.
        """
        self.messages: list[Message] = []
        """Whole messages in the order in which they ended; the owner empties it."""
        self.error: HttpError | None = None
        """Nothing more is read after it; messages read before it stand."""
        self._responses = responses
        self._budget = budget
        self._claimed_bytes = 0  # of the message that is being read
        parser_class: Any = httptools.HttpResponseParser if responses else httptools.HttpRequestParser
        self._parser = parser_class(self)
        self._message: Message | None = None
        self._body = bytearray()
        self._in_head = True
        self._head_bytes = 0  # of the fields of the message that is being read
        self._wire_bytes = 0  # fed since the last whole message

    @property
    def within_message(self) -> bool:
        """A message has begun and not ended."""
        return self._message is not None

    def take_expectation(self) -> bool:
        """Whether the peer waits for `100 Continue` before it sends a body (RFC 9110, 10.1.1).

        True once for a message: the caller sends the interim response.
        """
        message = self._message
        if message is None or self._in_head or self._body or self.error is not None:
            return False
        expected: bytes = message.fields.pop(b"expect", b"")
        return expected.lower() == b"100-continue" and self._parser.get_http_version() != "1.0"

    def feed(self, data: bytes) -> None:
        """Read bytes as they arrive; results are in `messages` and `error`."""
        if self.error is not None:
            return
        messages_before = len(self.messages)
        self._wire_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # What a callback below raised is the context of the parser's own error.
            cause = error.__context__
            self.error = (
                cause if isinstance(cause, HttpError) else HttpError(400, str(error)[:MAX_ERROR_CHARS])
            )
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

    # Called by the parser. An exception here comes out of feed_data as the context of its own.

    def on_message_begin(self) -> None:
        """A message's first byte was read."""
        self._message = Message()
        self._in_head = True
        self._head_bytes = 0
        self._body = bytearray()

    def on_url(self, data: bytes) -> None:
        """A part of the request's target was read."""
        assert self._message is not None
        self._message.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field was read, of the head or of the trailers."""
        message = self._message
        assert message is not None
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES or len(message.fields) >= MAX_FIELDS:
            raise HttpError(431, "the head is too long")
        if not self._in_head:
            return  # trailers are not used
        name = name.lower()
        value = value.strip(b" \t")  # white space around it: RFC 9110, 5.5
        fields = message.fields
        fields[name] = fields[name] + b"," + value if name in fields else value

    def on_headers_complete(self) -> None:
        """The head was read: check its framing before the body."""
        message = self._message
        assert message is not None
        self._in_head = False
        if self._parser.should_upgrade():
            raise HttpError(400, "no other protocol is spoken here")
        length = message.fields.get(b"content-length", b"")
        encoding = message.fields.get(b"transfer-encoding")
        if encoding is not None and encoding.lower() != b"chunked":
            raise HttpError(501, "no such transfer encoding is read here")
        if length or encoding is not None:
            message.framing = Framing.LENGTH_KNOWN
        if length:
            self._claim_body(int(length))
        if self._responses:
            message.status = self._parser.get_status_code()
        else:
            message.method = self._parser.get_method()
            prefix = ABSOLUTE_FORM_PREFIX.match(message.target)
            if prefix is not None:
                message.target = message.target[prefix.end() :]

    def on_body(self, data: bytes) -> None:
        """A part of the body was read."""
        self._claim_body(len(self._body) + len(data))
        self._body += data

    def _claim_body(self, size: int) -> None:
        """Claim memory for a body of `size` bytes in total.

        Raises:
            HttpError: It is too long, or the budget is used up.
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
        """Return what the message that is being read has claimed: it is not needed any more."""
        if self._budget is not None:
            self._budget.free(self._claimed_bytes)
        self._claimed_bytes = 0

    def end(self) -> None:
        """The peer closed the connection in order, which ends a response without a length."""
        message = self._message
        if not self._responses or message is None or self._in_head or self.error is not None:
            return
        if message.framing is Framing.NO_BODY:
            message.framing = Framing.UNTIL_CLOSE
            self.on_message_complete()

    def on_message_complete(self) -> None:
        """The message's last byte was read. Interim responses (1xx) are dropped."""
        message, self._message = self._message, None
        assert message is not None
        message.body, self._body = bytes(self._body), bytearray()
        message.claimed_bytes, self._claimed_bytes = self._claimed_bytes, 0
        self._in_head = True
        if not (self._responses and 100 <= message.status < 200):
            self.messages.append(message)


def connection_options(fields: dict[bytes, bytes]) -> set[bytes]:
    """What the field `Connection` names, in lower case (RFC 9110, 7.6.1)."""
    return {option.strip().lower() for option in fields.get(b"connection", b"").split(b",")}


def closes(message: Message) -> bool:
    """Whether the peer closes the connection after this message."""
    return b"close" in connection_options(message.fields)

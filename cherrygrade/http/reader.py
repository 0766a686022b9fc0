"""Reads HTTP/1.1 messages out of bytes as they come.

`httptools` (llhttp without leniencies) knows the grammar and turns away framing that contradicts itself: two
lengths, a length beside an encoding, bare line ends, white space before a colon. What it does not bound is
bounded here: a head, its fields, a body, and all that a message may bring on the way.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import httptools

MOST_HEAD, MOST_FIELDS = 8 * 1024, 64
MOST_BODY = 64 * 1024
MOST_LONG = 1024 * 1024  # of a body beyond that, as far as there is room
# The absolute form of a request's target (RFC 9112, 3.2.2) up to its path: whom it names is who was asked.
ABSOLUTE = re.compile(rb"(?i:http)://[^/?#]+(?=/)")


class Room:
    """Bytes of bodies beyond MOST_BODY that all readers together may hold, each as often as it is held in
    `copies`. Emptied as the owner lets messages go."""

    def __init__(self, most: int, copies: int = 1) -> None:
        self.most, self.copies, self.held = most, copies, 0

    def claim(self, size: int) -> bool:
        if self.held + size * self.copies > self.most:
            return False
        self.held += size * self.copies
        return True

    def free(self, size: int) -> None:
        self.held -= size * self.copies

    def let_go(self, message: Message) -> None:
        """Nobody holds the message's body any more."""
        size, message.claimed = message.claimed, 0
        self.free(size)


class Fault(Exception):
    """What the peer sent is not to be used; `code` is what a client is told."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


class Framing(Enum):
    """What told where a message ends."""

    NONE = "nothing"
    TOLD = "a length, or chunks with their end"
    ENDED = "the orderly end of its connection"


class Message:
    """One whole message. A field that came twice holds both values, parted by a comma."""

    __slots__ = ("begun", "body", "claimed", "fields", "framing", "method", "status", "target")

    def __init__(self) -> None:
        self.method = self.target = b""
        self.status = 0
        self.fields: dict[bytes, bytes] = {}
        self.body = b""
        self.framing = Framing.NONE
        self.claimed = 0
        """Bytes that its body has of the room."""
        self.begun = 0.0
        """When its last byte came, for whoever keeps it waiting."""


class Reader:
    """One direction of a connection. `found` holds whole messages, emptied by the owner; after `fault`
    nothing more is read, what was found before it stands."""

    def __init__(self, answers: bool, room: Room | None = None) -> None:
        self._answers, self._room, self._claimed = answers, room, 0
        self.found: list[Message] = []
        self.fault: Fault | None = None
        parser: Any = httptools.HttpResponseParser if answers else httptools.HttpRequestParser
        self._parser = parser(self)
        self._message: Message | None = None
        self._body = bytearray()
        self._in_head = True
        self._head = self._wire = 0

    @property
    def within(self) -> bool:
        """A message has begun and not ended."""
        return self._message is not None

    def take_expectation(self) -> bool:
        """The peer holds a body back until it is told to go on (RFC 9110, 10.1.1); told once a message."""
        message = self._message
        if message is None or self._in_head or self._body or self.fault is not None:
            return False
        expected: bytes = message.fields.pop(b"expect", b"")
        return expected.lower() == b"100-continue" and self._parser.get_http_version() != "1.0"

    def feed(self, data: bytes) -> None:
        if self.fault is not None:
            return
        whole = len(self.found)
        self._wire += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as trouble:
            cause = trouble.__context__
            self.fault = cause if isinstance(cause, Fault) else Fault(400, str(trouble)[:200])
        if len(self.found) > whole:
            self._wire = 0
        if self.fault is None and self._message is not None:
            if self._in_head and self._wire > MOST_HEAD:
                self.fault = Fault(431, "the head is too long")
            elif self._wire > MOST_HEAD + 4 * max(MOST_BODY, len(self._body)):
                self.fault = Fault(413, "the message does not end")

    # What the parser calls. An exception here comes out of feed_data as the context of its own.

    def on_message_begin(self) -> None:
        self._message, self._in_head, self._head = Message(), True, 0
        self._body = bytearray()

    def on_url(self, some: bytes) -> None:
        assert self._message is not None
        self._message.target += some

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self._message
        assert message is not None
        self._head += len(name) + len(value)
        if self._head > MOST_HEAD or len(message.fields) >= MOST_FIELDS:
            raise Fault(431, "the head is too long")
        if not self._in_head:
            return  # trailers tell nothing here
        name, value = name.lower(), value.strip(b" \t")  # white space around it: RFC 9110, 5.5
        fields = message.fields
        fields[name] = fields[name] + b"," + value if name in fields else value

    def on_headers_complete(self) -> None:
        message = self._message
        assert message is not None
        self._in_head = False
        if self._parser.should_upgrade():
            raise Fault(400, "no other protocol is spoken here")
        length = message.fields.get(b"content-length", b"")
        encoding = message.fields.get(b"transfer-encoding")
        if encoding is not None and encoding.lower() != b"chunked":
            raise Fault(501, "no such transfer encoding is read here")
        if length or encoding is not None:
            message.framing = Framing.TOLD
        if length:
            self._fit(int(length))
        if self._answers:
            message.status = self._parser.get_status_code()
        else:
            message.method = self._parser.get_method()
            authority = ABSOLUTE.match(message.target)
            if authority is not None:
                message.target = message.target[authority.end() :]

    def on_body(self, some: bytes) -> None:
        self._fit(len(self._body) + len(some))
        self._body += some

    def _fit(self, size: int) -> None:
        """A body of this size is read, or nothing of it."""
        more = size - MOST_BODY - self._claimed
        if more <= 0:
            return
        if self._room is None or size > MOST_LONG:
            raise Fault(413, "the body is too long")
        if not self._room.claim(more):
            raise Fault(503, "there is no room for a body as long as this just now")
        self._claimed += more

    def let_go(self) -> None:
        """Nobody waits for the message within any more."""
        if self._room is not None:
            self._room.free(self._claimed)
        self._claimed = 0

    def end(self) -> None:
        """The peer ended the connection in order: an answer that told no length is whole by that."""
        message = self._message
        if not self._answers or message is None or self._in_head or self.fault is not None:
            return
        if message.framing is Framing.NONE:
            message.framing = Framing.ENDED
            self.on_message_complete()

    def on_message_complete(self) -> None:
        message, self._message = self._message, None
        assert message is not None
        message.body, self._body = bytes(self._body), bytearray()
        message.claimed, self._claimed = self._claimed, 0
        self._in_head = True
        if not (self._answers and 100 <= message.status < 200):
            self.found.append(message)


def connection_options(fields: dict[bytes, bytes]) -> set[bytes]:
    """What `Connection` names, in lower case (RFC 9110, 7.6.1)."""
    return {option.strip().lower() for option in fields.get(b"connection", b"").split(b",")}


def closes(message: Message) -> bool:
    """The peer ends the connection behind this message."""
    return b"close" in connection_options(message.fields)

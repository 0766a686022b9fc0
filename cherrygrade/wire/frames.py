"""Frames: eight bytes of head, a MessagePack header, a raw body (docs/protocol.md, 'Frames').

`FrameReader` is fed by whoever owns the bytes: it lends the place where the next bytes belong and is told
how many were put there. A body is received straight into the place that its owner gave for it.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

import msgspec

from cherrygrade.wire.messages import KINDS, Message

HEAD = struct.Struct(">BBHI")  # kind, flags, header's length, body's length
SKIP_IF_UNKNOWN = 1  # flag: a reader that does not know this kind passes it over
MOST_HEADER = 16384
SCRATCH = 256 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoders = {kind: msgspec.msgpack.Decoder(made) for kind, made in KINDS.items()}
_numbers = {made: kind for kind, made in KINDS.items()}


class ProtocolError(Exception):
    """The peer broke the protocol and the boundary of frames is lost, or cannot be trusted any more."""


def encode(message: Message, body_length: int = 0, flags: int = 0) -> bytes:
    """Head and header of one frame; the body, of the stated bytes, is written behind it by the caller."""
    header = _encoder.encode(message)
    if len(header) > MOST_HEADER:
        raise ProtocolError(f"a header of {len(header)} bytes; at most {MOST_HEADER}")
    return HEAD.pack(_numbers[type(message)], flags, len(header), body_length) + header


class BodyDeferred:
    """What `room` gives where a body's place is not known yet: the reader stands still until `give`."""


BODY_DEFERRED = BodyDeferred()
Room = Callable[[Any, int], "bytearray | memoryview | BodyDeferred | None"]
Taker = Callable[[Any, "bytearray | memoryview | None"], None]


# Bytes that come in are put here and cut before anything else is read, whichever connection they are of:
# connections by the thousand keep only what they began to say.
_PAGE = memoryview(bytearray(SCRATCH))


class FrameReader:
    """Cuts a stream of bytes into messages and bodies.

    `room(message, length)` gives the place for a body, None to have it read off and dropped, or
    BODY_DEFERRED: its owner feeds nothing more then until it has called `give`. `taker(message, body)` gets
    each whole frame.
    Bytes go to the place last lent by `place`, and `filled` follows at once: readers share a page. What a
    reader keeps is bounded by one head and header, and one body; a page while a body's place is to be given.
    Raises ProtocolError out of `filled`; after that the reader must not be used again.
    """

    def __init__(self, room: Room, taker: Taker, most_body: int) -> None:
        self.most_body = most_body
        self._room, self._taker = room, taker
        self._rest = b""  # the start of a frame, or what follows a head whose body has no place yet
        self._message: Any = None  # its body is under way
        self._body: bytearray | memoryview | None = None
        self._body_view: memoryview | None = None
        self._wanted = self._got = 0
        self._later: tuple[Any, int] | None = None
        self.idle = True  # stands at a boundary of frames

    def place(self) -> memoryview:
        """Where the next bytes belong; never empty."""
        if self._message is not None:
            if self._body_view is not None:
                return self._body_view[self._got :]
            return _PAGE[: min(self._wanted - self._got, SCRATCH)]  # dropped
        kept = len(self._rest)
        if not kept:
            return _PAGE
        _PAGE[:kept] = self._rest
        return _PAGE[kept:]

    def filled(self, count: int) -> None:
        """Bytes were put at the place last lent."""
        if self._message is None:
            self._cut(_PAGE, len(self._rest) + count)
            return
        self._got += count
        if self._got == self._wanted:
            self._whole()

    @property
    def waits(self) -> bool:
        """A body's place is to be given."""
        return self._later is not None

    def give(self, body: bytearray | memoryview | None) -> None:
        """The place that `room` put off; what has come meanwhile is cut."""
        assert self._later is not None
        (message, length), self._later = self._later, None
        came = memoryview(self._rest)
        at = self._begin(message, length, body, came, len(came))
        if self._message is None:
            self._cut(came[at:], len(came) - at)

    def _begin(
        self, message: Any, length: int, body: bytearray | memoryview | None, came: memoryview, end: int
    ) -> int:
        """A body begins with what has come of it. Gives where that ends; a whole body is taken."""
        here = min(length, end)
        view = None if body is None else memoryview(body)
        if view is not None:
            view[:here] = came[:here]
        self._message, self._body, self._body_view = message or _PASSED, body, view
        self._wanted, self._got = length, here
        if here == length:
            self._whole()
        else:
            self._rest, self.idle = b"", False
        return here

    def _whole(self) -> None:
        message, body = self._message, self._body
        self._message = self._body = self._body_view = None
        self.idle = True
        self._taker(message, body)

    def _cut(self, page: memoryview, end: int) -> None:
        start = 0
        while end - start >= HEAD.size:
            kind, flags, header_length, body_length = HEAD.unpack_from(page, start)
            if header_length > MOST_HEADER:
                raise ProtocolError(f"a header of {header_length} bytes; at most {MOST_HEADER}")
            if body_length > self.most_body:
                raise ProtocolError(f"a body of {body_length} bytes; at most {self.most_body}")
            body_at = start + HEAD.size + header_length
            if body_at > end:
                break
            message = self._decode(kind, flags, page[start + HEAD.size : body_at])
            start = body_at
            if not body_length:
                if message is not None:
                    self._taker(message, None)
                continue
            body = None if message is None else self._room(message, body_length)
            if isinstance(body, BodyDeferred):
                self._later, self._rest, self.idle = (message, body_length), bytes(page[start:end]), False
                return
            start += self._begin(message, body_length, body, page[start:end], end - start)
            if self._message is not None:
                return
        self._rest = bytes(page[start:end]) if start < end else b""
        self.idle = start == end

    def _decode(self, kind: int, flags: int, header: memoryview) -> Any:
        decoder = _decoders.get(kind)
        if decoder is None:
            if flags & SKIP_IF_UNKNOWN:
                return None
            raise ProtocolError(f"unknown kind of frame {kind}")
        try:
            return decoder.decode(header)
        except msgspec.MsgspecError as trouble:
            raise ProtocolError(f"header of kind {kind}: {trouble}") from trouble


class _Passed:
    """Stands for a message of an unknown kind while its body is read off."""


_PASSED = _Passed()

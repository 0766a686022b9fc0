"""Frames: eight bytes of head, a MessagePack header and a raw body (docs/protocol.md, 'Frames').

The owner of the bytes gets the buffer for the next bytes from a `FrameReader`, and reports how many it has
put there. A body is received straight into the buffer that is provided for it.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

import msgspec

from cherrygrade.wire.messages import KINDS, Message

HEAD = struct.Struct(">BBHI")
"""Kind, flags, length of the header, length of the body."""
MIN_CHECKED_BYTES = 2
"""Kind and flags, the part of a head from which a frame that cannot be read is recognized."""
SKIP_IF_UNKNOWN = 1
"""Flag: a reader that does not know the kind skips the frame."""
MAX_HEADER_BYTES = 16384
RECEIVE_BUFFER_BYTES = 256 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoders = {kind: msgspec.msgpack.Decoder(message_type) for kind, message_type in KINDS.items()}
_kinds = {message_type: kind for kind, message_type in KINDS.items()}


class ProtocolError(Exception):
    """The peer broke the protocol; the boundaries of further frames are unknown or can't be trusted."""


def encode(message: Message, body_length: int = 0, flags: int = 0) -> bytes:
    """Encode the head and the header of a frame.

    Args:
        message: The header.
        body_length: Size of the body, bytes, which the caller sends after the returned bytes.
        flags: The flags of the frame.

    Returns:
        The head and the header.

    Raises:
        ProtocolError: The header is too long.
    """
    header = _encoder.encode(message)
    if len(header) > MAX_HEADER_BYTES:
        raise ProtocolError(f"a header of {len(header)} bytes; at most {MAX_HEADER_BYTES}")
    return HEAD.pack(_kinds[type(message)], flags, len(header), body_length) + header


class BodyDeferred:
    """Stands for a buffer that is not available yet.

    The reader accepts no more bytes until `FrameReader.provide_body` is called.
    """


BODY_DEFERRED = BodyDeferred()
BodyBufferFunction = Callable[[Any, int], "bytearray | memoryview | BodyDeferred | None"]
FrameFunction = Callable[[Any, "bytearray | memoryview | None"], None]


# All readers share this buffer. Received bytes are processed before any other connection is read, so that
# thousands of connections store only the frames that they received in part.
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class FrameReader:
    """Splits a stream of bytes into messages and bodies.

    After `get_buffer` has returned a buffer, the received bytes must be reported by `buffer_updated` before
    any other reader is used, because readers share a buffer. A reader stores at most one head and header and
    one body, or what is in the shared buffer while a body is deferred. Once `buffer_updated` or
    `provide_body` has raised ProtocolError, the reader must not be used any more.

    A frame with a body is passed on only if the bytes received behind it can be a frame: otherwise they may
    be the rest of its body, whose length was told too small. Bytes of a later read are not awaited.

    Attributes:
        max_body_bytes: Maximum size of a body, bytes.
        idle: No part of a further frame was received.
    """

    def __init__(self, body_buffer: BodyBufferFunction, on_frame: FrameFunction, max_body_bytes: int) -> None:
        """Set up a reader at the start of a frame.

        Args:
            body_buffer: Called with a message and the size of its body, bytes. Returns a buffer of this size;
                None to discard the body; or BODY_DEFERRED, after which `provide_body` must be called before
                more bytes are received.
            on_frame: Called with the message and the body of each complete frame.
            max_body_bytes: Maximum size of a body, bytes.
        """
        self.max_body_bytes = max_body_bytes
        self._body_buffer, self._on_frame = body_buffer, on_frame
        self._remainder = (
            b""  # the start of a frame, or the bytes received after a head whose body is deferred
        )
        self._message: Any = None  # the message whose body is being received
        self._body: bytearray | memoryview | None = None
        self._body_view: memoryview | None = None
        self._body_length = self._received = 0
        self._deferred: tuple[Any, int] | None = None
        self.idle = True

    def get_buffer(self) -> memoryview:
        """Return the buffer for the next bytes, which is never empty."""
        if self._message is not None:
            if self._body_view is not None:
                return self._body_view[self._received :]
            # The body is discarded.
            return _RECEIVE_BUFFER[: min(self._body_length - self._received, RECEIVE_BUFFER_BYTES)]
        remainder_length = len(self._remainder)
        if not remainder_length:
            return _RECEIVE_BUFFER
        _RECEIVE_BUFFER[:remainder_length] = self._remainder
        return _RECEIVE_BUFFER[remainder_length:]

    def buffer_updated(self, count: int) -> None:
        """Process bytes that were received into the last buffer.

        Args:
            count: Number of the bytes.

        Raises:
            ProtocolError: The bytes break the protocol.
        """
        if self._message is None:
            self._split(_RECEIVE_BUFFER, len(self._remainder) + count)
            return
        self._received += count
        if self._received == self._body_length:
            self._complete()

    @property
    def is_body_deferred(self) -> bool:
        """The reader waits for `provide_body`."""
        return self._deferred is not None

    def provide_body(self, body: bytearray | memoryview | None) -> None:
        """Provide the deferred buffer, or None to discard the body, and process the bytes received since.

        Args:
            body: The buffer.

        Raises:
            ProtocolError: The bytes received since break the protocol.
        """
        assert self._deferred is not None
        (message, length), self._deferred = self._deferred, None
        received = memoryview(self._remainder)
        at = self._begin_body(message, length, body, received, len(received))
        if self._message is None:
            self._split(received[at:], len(received) - at)

    def _begin_body(
        self, message: Any, length: int, body: bytearray | memoryview | None, received: memoryview, end: int
    ) -> int:
        """Start a body with the bytes that were received of it.

        Returns:
            The position in `received` up to which bytes were used.
        """
        available = min(length, end)
        self._check_following(length, received[available:end])
        view = None if body is None else memoryview(body)
        if view is not None:
            view[:available] = received[:available]
        self._message, self._body, self._body_view = message or _SKIPPED, body, view
        self._body_length, self._received = length, available
        if available == length:
            self._complete()
        else:
            self._remainder, self.idle = b"", False
        return available

    def _complete(self) -> None:
        message, body = self._message, self._body
        self._message = self._body = self._body_view = None
        self.idle = True
        self._on_frame(message, body)

    def _split(self, buffer: memoryview, end: int) -> None:
        """Process the bytes of `buffer` before `end`, up to a frame that is incomplete."""
        start = 0
        while end - start >= HEAD.size:
            kind, flags, header_length, body_length = HEAD.unpack_from(buffer, start)
            self._check_lengths(header_length, body_length)
            body_at = start + HEAD.size + header_length
            if body_at > end:
                break
            message = self._decode(kind, flags, buffer[start + HEAD.size : body_at])
            start = body_at
            if not body_length:
                if message is not None:
                    self._on_frame(message, None)
                continue
            body = None if message is None else self._body_buffer(message, body_length)
            if isinstance(body, BodyDeferred):
                self._deferred, self._remainder, self.idle = (
                    (message, body_length),
                    bytes(buffer[start:end]),
                    False,
                )
                return
            start += self._begin_body(message, body_length, body, buffer[start:end], end - start)
            if self._message is not None:
                return
        self._remainder = bytes(buffer[start:end]) if start < end else b""
        self.idle = start == end

    def _check_lengths(self, header_length: int, body_length: int) -> None:
        if header_length > MAX_HEADER_BYTES:
            raise ProtocolError(f"a header of {header_length} bytes; at most {MAX_HEADER_BYTES}")
        if body_length > self.max_body_bytes:
            raise ProtocolError(f"a body of {body_length} bytes; at most {self.max_body_bytes}")

    def _check_following(self, body_length: int, following: memoryview) -> None:
        """Raise ProtocolError if the bytes that follow a body cannot be a frame."""
        try:
            if len(following) >= MIN_CHECKED_BYTES:
                _check_kind(*following[:MIN_CHECKED_BYTES])
            if len(following) >= HEAD.size:
                self._check_lengths(*HEAD.unpack_from(following)[MIN_CHECKED_BYTES:])
        except ProtocolError as error:
            raise ProtocolError(f"no frame follows a body of {body_length} bytes: {error}") from error

    def _decode(self, kind: int, flags: int, header: memoryview) -> Any:
        """Return the message; None if its kind is unknown and the frame may be skipped."""
        _check_kind(kind, flags)
        decoder = _decoders.get(kind)
        if decoder is None:
            return None
        try:
            return decoder.decode(header)
        except msgspec.MsgspecError as error:
            raise ProtocolError(f"header of kind {kind}: {error}") from error


def _check_kind(kind: int, flags: int) -> None:
    """Raise ProtocolError if a frame of this kind can neither be read nor skipped."""
    if kind not in _decoders and not flags & SKIP_IF_UNKNOWN:
        raise ProtocolError(f"unknown kind of frame {kind}")


class _Skipped:
    """Stands for a message of an unknown kind while its body is discarded."""


_SKIPPED = _Skipped()

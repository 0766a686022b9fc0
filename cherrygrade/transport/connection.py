"""One connection that carries frames, based on asyncio's BufferedProtocol.

Bodies are received straight into buffers that the connection's owner provides. Of the data to send, at most
one chunk is in the event loop's own buffer. The rest is queued here without being copied until the socket
takes more.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from cherrygrade.transport.socket_memory import limit_unread_time
from cherrygrade.wire.frames import BodyDeferred, FrameReader, ProtocolError, encode
from cherrygrade.wire.messages import Bye, Message

Bytes = bytes | bytearray | memoryview
MAX_KERNEL_UNSENT_BYTES = 128 * 1024
"""Default limit of the data that the operating system buffers before it is sent."""
LINGER_S = 0.25
"""Time that a slow peer has to take the last bytes after the connection is closed."""
CHUNK_BYTES = 256 * 1024
"""Part of a large body that is passed to the socket at once."""
SMALL_BUFFER_BYTES = 16 * 1024
"""Buffers below this size are joined into one write."""


class Owner(Protocol):
    """Handles the events of a connection."""

    def connected(self, conn: Connection) -> None:
        """Handle that the connection is open."""

    def body_buffer(
        self, conn: Connection, message: Any, length: int
    ) -> bytearray | memoryview | BodyDeferred | None:
        """Return the buffer for the body of a message.

        Args:
            conn: The connection.
            message: The header of the frame.
            length: Size of the body, bytes.

        Returns:
            A buffer of this size; None to discard the body; BODY_DEFERRED if the owner calls
            `Connection.provide_body` later. Nothing more is read before that.
        """

    def on_frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None:
        """Handle a complete frame; the body is None if there was none or it was discarded."""

    def writable(self, conn: Connection) -> None:
        """Handle that a connection that was full takes more data."""

    def closed(self, conn: Connection, why: str) -> None:
        """Handle that the connection is closed, for the given reason."""


class Connection(asyncio.BufferedProtocol):
    """A connection that carries frames in both directions.

    `Owner.closed` is called exactly once, however the connection ends, and no method of the owner is called
    after it.

    Attributes:
        owner: Handles the events of the connection.
        high: The connection is full if more bytes than this wait to be sent.
        low: The connection is no longer full once no more bytes than this wait to be sent.
        peer: Host and port of the other side; "" before the connection is open.
        waiting: Bytes that wait to be sent.
        open: The connection is open.
        moved: Bytes sent and received since the connection was opened.
    """

    def __init__(
        self,
        owner: Owner,
        max_body_bytes: int,
        high: int = 1024 * 1024,
        low: int = 256 * 1024,
        taken: Callable[[Any], None] | None = None,
    ) -> None:
        """Set up a connection that asyncio opens later.

        Args:
            owner: Handles the events of the connection.
            max_body_bytes: Maximum size of a received body, bytes.
            high: The connection is full if more bytes than this wait to be sent.
            low: The connection is no longer full once no more bytes than this wait to be sent.
            taken: Called with each object given to `send` as `holds`, once the bytes of its frame were sent.
        """
        self.owner, self.high, self.low, self._release = owner, high, low, taken
        self.peer = ""
        self.waiting = 0
        self.open = False
        self.moved = 0
        self._reader = FrameReader(self._body_buffer, self._on_frame, max_body_bytes)
        self._unsent: deque[bytes | bytearray | memoryview] = deque()
        self._written_bytes = 0  # passed to the event loop since the connection was opened
        # Value of `_written_bytes` at the end of a frame, and an object to release once the frame was sent.
        self._holds: deque[tuple[int, Any]] = deque()
        self._transport: asyncio.Transport | None = None
        self._is_write_paused = self._is_full = self._is_flush_scheduled = self._is_closing = False
        self._close_reason = ""

    # Methods that the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle that the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport, self.open = transport, True
        self._call_soon = asyncio.get_running_loop().call_soon
        transport.set_write_buffer_limits(high=0)
        address = transport.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if address else "?"
        self.owner.connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next received bytes."""
        return self._reader.get_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes received into the buffer."""
        self.moved += nbytes
        if self._is_closing:
            return
        try:
            self._reader.buffer_updated(nbytes)
            if self._reader.is_body_deferred:
                self.set_reading_paused(True)
        except ProtocolError as error:
            self.close(str(error))

    def provide_body(self, body: bytearray | memoryview | None) -> None:
        """Provide the buffer that `Owner.body_buffer` deferred, or None to discard the body.

        Reading stays paused until the owner calls `set_reading_paused`.
        """
        if self._is_closing or not self.open:
            return
        try:
            self._reader.provide_body(body)
        except ProtocolError as error:
            self.close(str(error))

    def eof_received(self) -> bool:
        """Close the connection, because the peer sends nothing more.

        The peer may still read our answers, or not; only closing would show that. Requests of a half-closed
        peer are not continued.
        """
        self._close_reason = self._close_reason or (
            "peer closed the connection" if self._reader.idle else "peer closed the connection within a frame"
        )
        return False

    def pause_writing(self) -> None:
        """Stop writing: the socket did not take all data."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Continue writing: the socket has taken all data."""
        self._is_write_paused = False
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle that the connection is closed."""
        limit_unread_time(self._transport)
        self.open = False
        self._unsent.clear()
        self.waiting = 0
        self._release_sent(release_all=True)
        self.owner.closed(self, self._close_reason or (str(exc) if exc else "peer closed the connection"))

    # Methods that the owner calls.

    @property
    def full(self) -> bool:
        """More than `high` bytes wait to be sent; `Owner.writable` is called once at most `low` do."""
        return self._is_full

    @property
    def is_write_blocked(self) -> bool:
        """The socket did not take all data of the last write."""
        return self._is_write_paused

    @property
    def is_mid_frame(self) -> bool:
        """A frame was received in part."""
        return not self._reader.idle

    @property
    def waits_for_peer(self) -> bool:
        """There is data that the peer does not take, or a frame that the peer does not complete."""
        # A body that waits for its buffer waits for this process, not for the peer.
        is_receiving = self.is_mid_frame and not self._reader.is_body_deferred
        return self.open and not self._is_closing and (self._is_write_paused or is_receiving)

    def send(
        self,
        message: Message,
        body: Bytes | None = None,
        more: Sequence[Bytes | None] = (),
        holds: Sequence[Any] = (),
    ) -> None:
        """Queue a frame; all frames queued in one event-loop iteration are written together.

        Nothing is sent if the connection is closed or closing.

        Args:
            message: The header of the frame.
            body: The body, or its first part.
            more: Further parts of the body; parts are not copied.
            holds: Objects that are passed to `taken` once the bytes of the frame were sent.
        """
        if not self.open or self._is_closing:
            if self._release is not None:
                for one in holds:
                    self._release(one)
            return
        length = 0 if body is None else len(body)
        length += sum(len(part) for part in more if part is not None)
        head = encode(message, length)
        self._unsent.append(head)
        self.waiting += len(head) + length
        if body:
            self._unsent.append(body)
        for part in more:
            if part:
                self._unsent.append(part)
        for one in holds:
            self._holds.append((self._written_bytes + self.waiting, one))
        if self.waiting > self.high:
            self._is_full = True
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._call_soon(self._flush)

    def send_raw(self, data: bytes) -> None:
        """Send bytes that need not be a frame, for stand-ins that cut off a frame or send it slowly."""
        if self.open and not self._is_closing:
            self._unsent.append(data)
            self.waiting += len(data)
            self._flush()

    def close(self, reason: str, come_back_ms: float = 0.0) -> None:
        """Close the connection, and tell the peer why if the socket takes a last frame.

        Args:
            reason: The reason, for the peer and for `Owner.closed`.
            come_back_ms: Delay after which the peer may connect again, ms; 0 if none is given.
        """
        if not self.open or self._is_closing:
            return
        self.send(Bye(reason[:1000], come_back_ms))
        self._flush()
        self._is_closing, self._close_reason = True, reason
        if self._transport is not None:
            if self._unsent:  # the peer does not read: the data might never be sent
                self._transport.abort()
            else:
                self._transport.close()
                if self._transport.get_write_buffer_size():  # the peer may not even read this
                    asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def abort(self, why: str) -> None:
        """Drop the connection at once, without telling the peer."""
        self._close_reason, self._is_closing = self._close_reason or why, True
        if self._transport is not None:
            self._transport.abort()

    def limit_unsent_bytes(self, max_bytes: int = MAX_KERNEL_UNSENT_BYTES) -> None:
        """Limit the unsent data in the operating system's buffer, if the system supports it.

        Otherwise this buffer would conceal for long that a peer reads slowly.
        """
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        option = getattr(socket, "TCP_NOTSENT_LOWAT", None)
        if sock is not None and option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, max_bytes)

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading; while a body waits for its buffer, reading stays paused."""
        if self._transport is None or not self.open:
            return
        paused = paused or self._reader.is_body_deferred
        if paused and self._transport.is_reading():
            self._transport.pause_reading()
        elif not paused and not self._transport.is_reading():
            self._transport.resume_reading()

    def _body_buffer(self, message: Any, length: int) -> bytearray | memoryview | BodyDeferred | None:
        return self.owner.body_buffer(self, message, length)

    def _on_frame(self, message: Any, body: bytearray | memoryview | None) -> None:
        if not self._is_closing:
            self.owner.on_frame(self, message, body)

    def _flush(self) -> None:
        """Write queued data until the socket takes no more."""
        self._is_flush_scheduled = False
        unsent, transport = self._unsent, self._transport
        if transport is None or not self.open:
            return
        while unsent and not self._is_write_paused:
            if len(unsent[0]) >= SMALL_BUFFER_BYTES:
                chunk = memoryview(unsent.popleft())
                if len(chunk) > CHUNK_BYTES:
                    unsent.appendleft(chunk[CHUNK_BYTES:])
                    chunk = chunk[:CHUNK_BYTES]
                self._write(chunk, len(chunk))
                continue
            small = [unsent.popleft()]
            size = len(small[0])
            while unsent and len(unsent[0]) < SMALL_BUFFER_BYTES and size < CHUNK_BYTES:
                size += len(unsent[0])
                small.append(unsent.popleft())
            self._write(b"".join(small) if len(small) > 1 else small[0], size)
        self._release_sent()
        if self._is_full and self.waiting <= self.low:
            self._is_full = False
            self.owner.writable(self)

    def _write(self, data: Bytes, size: int) -> None:
        assert self._transport is not None
        self.waiting -= size
        self.moved += size
        self._written_bytes += size
        self._transport.write(data)

    def _release_sent(self, release_all: bool = False) -> None:
        """Release the objects held for frames that were sent, or all of them.

        A frame of which the event loop still buffers a part was not sent.
        """
        if not self._holds or self._transport is None or self._release is None:
            return
        sent_bytes = self._written_bytes - self._transport.get_write_buffer_size()
        while self._holds and (release_all or self._holds[0][0] <= sent_bytes):
            self._release(self._holds.popleft()[1])

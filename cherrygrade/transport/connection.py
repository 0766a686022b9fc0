"""One connection that carries frames, on asyncio's BufferedProtocol.

Bodies are received straight into the place their owner gives. On the write side at most one chunk stands in
the event loop's own buffer; the rest waits here as it was handed over, uncopied, until the socket takes more.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from cherrygrade.wire.frames import BodyDeferred, FrameReader, ProtocolError, encode
from cherrygrade.wire.messages import Bye, Message

Bytes = bytes | bytearray | memoryview
UNSENT = 128 * 1024
LINGER_S = 0.25  # for the last words to a peer that is slow to take them
CHUNK = 256 * 1024  # of a large body handed to the socket at once
SMALL = 16 * 1024  # pieces under this are joined into one write


class Owner(Protocol):
    """Who is told of what a connection brings."""

    def connected(self, conn: Connection) -> None: ...

    def body_buffer(
        self, conn: Connection, message: Any, length: int
    ) -> bytearray | memoryview | BodyDeferred | None: ...

    def on_frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None: ...

    def writable(self, conn: Connection) -> None: ...

    def closed(self, conn: Connection, why: str) -> None: ...


class Connection(asyncio.BufferedProtocol):
    """`closed` is told exactly once to the owner, whatever ended it; nothing is told after it."""

    def __init__(
        self,
        owner: Owner,
        most_body: int,
        high: int = 1024 * 1024,
        low: int = 256 * 1024,
        taken: Callable[[Any], None] | None = None,
    ) -> None:
        self.owner, self.high, self.low, self._taken = owner, high, low, taken
        self.peer = ""
        self.waiting = 0  # bytes handed over and not yet taken by the socket
        self.open = False
        self.moved = 0  # bytes that the peer took or brought, in all
        self._reader = FrameReader(self._room, self._frame, most_body)
        self._pieces: deque[bytes | bytearray | memoryview] = deque()
        self._sent = 0  # handed to the event loop
        self._holds: deque[tuple[int, Any]] = deque()  # where a frame ends, and what holds its bytes' room
        self._transport: asyncio.Transport | None = None
        self._paused = self._full = self._flushing = self._closing = False
        self._why = ""

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport, self.open = transport, True
        self._soon = asyncio.get_running_loop().call_soon
        transport.set_write_buffer_limits(high=0)
        name = transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else "?"
        self.owner.connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._reader.place()

    def buffer_updated(self, nbytes: int) -> None:
        self.moved += nbytes
        if self._closing:
            return
        try:
            self._reader.filled(nbytes)
            if self._reader.waits:
                self.set_reading_paused(True)
        except ProtocolError as trouble:
            self.close(str(trouble))

    def provide_body(self, body: bytearray | memoryview | None) -> None:
        """The place that `room` put off, or None to drop the body; reading goes on by
        `set_reading_paused`."""
        if self._closing or not self.open:
            return
        try:
            self._reader.give(body)
        except ProtocolError as trouble:
            self.close(str(trouble))

    def eof_received(self) -> bool:
        # A peer that will not read our answers either, or may: which one, only closing tells. Half-closed
        # peers keep no RPC alive.
        self._why = self._why or ("peer closed" if self._reader.idle else "peer closed within a frame")
        return False

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._pieces.clear()
        self.waiting = 0
        self._let_go(all_of_it=True)
        self.owner.closed(self, self._why or (str(exc) if exc else "peer closed"))

    # What the owner calls.

    @property
    def full(self) -> bool:
        """More waits for the peer than the high mark; `writable` is told once it is under the low one."""
        return self._full

    @property
    def is_write_blocked(self) -> bool:
        """The socket took less than it was last given."""
        return self._paused

    @property
    def is_mid_frame(self) -> bool:
        """A frame of the peer's has begun and not ended."""
        return not self._reader.idle

    @property
    def waits_for_peer(self) -> bool:
        """Something is handed over that it does not take, or it began a frame that it does not end."""
        reads = self.is_mid_frame and not self._reader.waits  # else its body waits for our room
        return self.open and not self._closing and (self._paused or reads)

    def send(
        self,
        message: Message,
        body: Bytes | None = None,
        more: Sequence[Bytes | None] = (),
        holds: Sequence[Any] = (),
    ) -> None:
        """Hand a frame over; it goes out with what else this turn of the event loop hands over.

        The body may stand in several places: `more` follows it, nothing is joined here. `taken`
        is told of each of `holds` once the frame's bytes need no room here any more.
        """
        if not self.open or self._closing:
            if self._taken is not None:
                for one in holds:
                    self._taken(one)
            return
        length = 0 if body is None else len(body)
        length += sum(len(piece) for piece in more if piece is not None)
        head = encode(message, length)
        self._pieces.append(head)
        self.waiting += len(head) + length
        if body:
            self._pieces.append(body)
        for piece in more:
            if piece:
                self._pieces.append(piece)
        for one in holds:
            self._holds.append((self._sent + self.waiting, one))
        if self.waiting > self.high:
            self._full = True
        if not self._flushing:
            self._flushing = True
            self._soon(self._flush)

    def send_raw(self, some: bytes) -> None:
        """Bytes as they are: for stand-ins that break off, or trickle, a frame."""
        if self.open and not self._closing:
            self._pieces.append(some)
            self.waiting += len(some)
            self._flush()

    def close(self, reason: str, come_back_ms: float = 0.0) -> None:
        """Tell the peer why, as far as the socket takes it, and close; nothing more is read."""
        if not self.open or self._closing:
            return
        self.send(Bye(reason[:1000], come_back_ms))
        self._flush()
        self._closing, self._why = True, reason
        if self._transport is not None:
            if self._pieces:  # the peer does not read: what waits would wait for good
                self._transport.abort()
            else:
                self._transport.close()
                if self._transport.get_write_buffer_size():  # it may never take even these
                    asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def abort(self, why: str) -> None:
        """Drop the connection as if its line were cut."""
        self._why, self._closing = self._why or why, True
        if self._transport is not None:
            self._transport.abort()

    def limit_unsent_bytes(self, unsent: int = UNSENT) -> None:
        """Let the system hold no more than this unsent, where it can: its buffers hide a slow reader."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        option = getattr(socket, "TCP_NOTSENT_LOWAT", None)
        if sock is not None and option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, unsent)

    def set_reading_paused(self, hold: bool) -> None:
        """Read nothing more until told otherwise."""
        if self._transport is None or not self.open:
            return
        hold = hold or self._reader.waits
        if hold and self._transport.is_reading():
            self._transport.pause_reading()
        elif not hold and not self._transport.is_reading():
            self._transport.resume_reading()

    def _room(self, message: Any, length: int) -> bytearray | memoryview | BodyDeferred | None:
        return self.owner.body_buffer(self, message, length)

    def _frame(self, message: Any, body: bytearray | memoryview | None) -> None:
        if not self._closing:
            self.owner.on_frame(self, message, body)

    def _flush(self) -> None:
        self._flushing = False
        pieces, transport = self._pieces, self._transport
        if transport is None or not self.open:
            return
        while pieces and not self._paused:
            if len(pieces[0]) >= SMALL:
                piece = memoryview(pieces.popleft())
                if len(piece) > CHUNK:
                    pieces.appendleft(piece[CHUNK:])
                    piece = piece[:CHUNK]
                self._write(piece, len(piece))
                continue
            small = [pieces.popleft()]
            size = len(small[0])
            while pieces and len(pieces[0]) < SMALL and size < CHUNK:
                size += len(pieces[0])
                small.append(pieces.popleft())
            self._write(b"".join(small) if len(small) > 1 else small[0], size)
        self._let_go()
        if self._full and self.waiting <= self.low:
            self._full = False
            self.owner.writable(self)

    def _write(self, some: Bytes, size: int) -> None:
        assert self._transport is not None
        self.waiting -= size
        self.moved += size
        self._sent += size
        self._transport.write(some)

    def _let_go(self, all_of_it: bool = False) -> None:
        """Frames that have wholly left; what the event loop keeps of the last write has not."""
        if not self._holds or self._transport is None or self._taken is None:
            return
        gone = self._sent - self._transport.get_write_buffer_size()
        while self._holds and (all_of_it or self._holds[0][0] <= gone):
            self._taken(self._holds.popleft()[1])

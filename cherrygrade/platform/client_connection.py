"""One client's connection: one request at a time on it, answers in the order of the requests."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from cherrygrade.http.reader import BodyBudget, HttpError, Message, MessageReader, closes
from cherrygrade.http.writer import CONTINUE, encode_response
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.platform.socket_events import CLOSED, READABLE, SocketEvents

MAX_READ_AHEAD_BYTES = 16 * 1024  # beyond an open request, so that the client's close behind it is noticed
READ_AHEAD_CHUNK_MS = 20.0  # what is read ahead within this counts as received with the first of it
WRITE_HIGH_WATER_BYTES = 128 * 1024  # of answers that the client does not read: no further request is served
# After this process has closed its side, what still arrives is read and discarded until the client closes:
# closing with unread bytes resets the connection, and an answer that the client has not read goes with it.
MAX_DISCARDED_BYTES = 256 * 1024
REQUEST_TIMEOUT = 408


class ConnectionOwner(Protocol):
    """The dispatcher, as its clients' connections need it."""

    refused: int
    """Messages that held no request that could be taken."""

    @property
    def closing(self) -> bool:
        """Connections close with their next answer."""

    @property
    def ready(self) -> bool:
        """Clients may send requests; answered to `GET /ready`."""

    @property
    def request_budget(self) -> BodyBudget:
        """Memory that long request bodies share."""

    @property
    def receive_buffer(self) -> memoryview:
        """Shared by all connections: what is read into it is copied out at once."""

    def clock(self) -> float:
        """The rounds' clock, ms."""

    def admit(self, client: ClientConnection) -> bool:
        """Whether there is a place for a new connection."""

    def mark_active(self, client: ClientConnection) -> None:
        """The client has sent a whole request."""

    def mark_idle(self, client: ClientConnection) -> None:
        """Nothing of the client is open any more."""

    def linger(self, client: ClientConnection) -> None:
        """One side has closed: the connection goes once the other has, or in time."""

    def remove(self, client: ClientConnection) -> None:
        """The connection is closed."""

    def submit(self, client: ClientConnection, message: Message) -> PendingRequest:
        """Hand a request to the scheduler. Raises HttpError where the message holds none."""

    def abandon(self, pending: PendingRequest) -> None:
        """The request's client has closed."""


@dataclass(slots=True)
class _ReadAheadChunk:
    """Bytes that arrived while a request was open."""

    received_ms: float
    """A request's deadline counts from its last byte, not from when those before it were answered."""
    data: bytearray


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection.

    Its memory is bounded: one request, the messages of one read, and the read-ahead.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        """Wait for the event loop to connect it."""
        self.request: PendingRequest | None = None
        """The request that is open."""
        self.has_requested = False
        """It has sent a whole request."""
        self.idle_since_ms = owner.clock()
        """When it connected, or was last answered, or began its unfinished message, or was closed by us."""
        self.is_closing = False
        """No request of it is served any more: what arrives is discarded."""
        self._owner = owner
        self._reader = MessageReader(responses=False, budget=owner.request_budget)
        self._message: Message | None = None  # of the open request; its body holds memory until the answer
        self._queue: deque[Message] = deque()  # read, and not served yet
        self._read_ahead: deque[_ReadAheadChunk] = deque()
        self._read_ahead_bytes = 0
        self._discarded_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._socket_events: SocketEvents | None = None
        self._writing_paused = False
        self._serving = False  # within `_serve_next`
        self._close_after_answer = False  # the client has requested it

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The client was accepted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        if not self._owner.admit(self):
            self.is_closing = True
            transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop reads to."""
        return self._owner.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes arrived."""
        if self.is_closing:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        data = bytes(self._owner.receive_buffer[:nbytes])
        # Bytes are fed in the order in which they arrived.
        if self.request is not None or self._queue or self._read_ahead:
            self._store_read_ahead(data)
            if self._read_ahead_bytes >= MAX_READ_AHEAD_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        self._feed(data, self._owner.clock())
        self._serve_next()

    def eof_received(self) -> bool:
        """The client has closed its side."""
        self._client_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed, by whichever side."""
        self._transport = None
        self._socket_events = None
        self._client_closed()
        self._owner.remove(self)

    def pause_writing(self) -> None:
        """The client does not read its answers: no further request is served."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """The client has read."""
        self._writing_paused = False
        self._serve_next()

    # State.

    @property
    def is_idle(self) -> bool:
        """No request is open or waits to be served."""
        return self.request is None and not self._queue

    @property
    def within_message(self) -> bool:
        """A message has begun and not ended."""
        return self._reader.within_message

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the client has not read and the kernel has not taken."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def has_unread_bytes(self) -> bool:
        """Something arrived that was not read yet: it may be a request, which is owed an answer."""
        return not self.is_closing and bool(self._pending_events() & READABLE)

    def check_closed(self) -> bool:
        """Whether the client has closed; if so, its connection is aborted.

        Called right before an attempt is sent: the client's close may be in the kernel and not read yet, and
        while reading is paused it never would be.
        """
        if self.is_closing or self._transport is None:
            return True
        if not self._pending_events() & CLOSED:
            return False
        self._client_closed()
        self.abort()
        return True

    def _pending_events(self) -> int:
        if self._socket_events is None:
            if self._transport is None:
                return CLOSED
            sock: socket.socket | None = self._transport.get_extra_info("socket")
            if sock is None or sock.fileno() < 0:
                return CLOSED
            self._socket_events = SocketEvents(sock.fileno(), CLOSED | READABLE)
        return self._socket_events.pending()

    # Answering and closing; called by the dispatcher too.

    def answer(self, status: int, body: bytes = b"", fields: bytes = b"", close: bool = False) -> None:
        """Write the final answer of the open request, and serve the next one.

        Args:
            status: The answer's status code.
            body: Its whole body.
            fields: Further fields as whole lines.
            close: Close the connection behind it; so does a client's `Connection: close`, or a shutdown.
        """
        close = close or self._close_after_answer or self._owner.closing
        self.request = None
        self._release_message()
        self.idle_since_ms = self._owner.clock()
        if self._transport is None or self.is_closing:
            return
        self._transport.write(encode_response(status, body, fields, close))
        if close:
            self.close_gracefully()
            return
        self._serve_next()
        if self.request is None and not self.is_closing:
            self._owner.mark_idle(self)

    def close_gracefully(self) -> None:
        """Close this side behind what was written, and let the client close its own: a lingering close."""
        if self.is_closing or self._transport is None:
            return
        self._stop_serving()
        self._owner.linger(self)
        if not self._transport.is_closing():
            self._transport.resume_reading()
            try:
                self._transport.write_eof()  # behind what the client has not read yet
            except OSError:  # the client reset it just now
                self.abort()

    def close_idle(self, status: int = REQUEST_TIMEOUT) -> None:
        """Close a connection that was silent for too long or makes room; half a message is answered."""
        if self.is_closing:
            self.abort()  # it does not read its last answer, or does not close its side
            return
        if self._reader.within_message and self._transport is not None:
            self._transport.write(encode_response(status, close=True))
        self.close_gracefully()

    def abort(self) -> None:
        """Close at once. By the length that it was sent the client sees that its answer is cut."""
        if self._transport is not None:
            self._transport.abort()

    def _client_closed(self) -> None:
        """Nothing more is served for the client, and its open request is abandoned."""
        if not self.is_closing:
            self._stop_serving()
            # Otherwise it is closed by the next turn, and takes no place among those that linger.
            if self.unsent_bytes:
                self._owner.linger(self)
        pending, self.request = self.request, None
        if pending is not None:
            self._owner.abandon(pending)
        self._release_message()

    def _stop_serving(self) -> None:
        self.is_closing = True
        for message in self._queue:
            self._owner.request_budget.release(message)
        self._queue.clear()
        self._reader.release()
        self._read_ahead.clear()
        self._read_ahead_bytes = 0
        self.idle_since_ms = self._owner.clock()

    def _release_message(self) -> None:
        """The open request's body is not used any more."""
        if self._message is not None:
            self._owner.request_budget.release(self._message)
            self._message = None

    # Reading and serving.

    def _store_read_ahead(self, data: bytes) -> None:
        now = self._owner.clock()
        self._read_ahead_bytes += len(data)
        if self._read_ahead and now - self._read_ahead[-1].received_ms < READ_AHEAD_CHUNK_MS:
            self._read_ahead[-1].data.extend(data)
        else:
            self._read_ahead.append(_ReadAheadChunk(now, bytearray(data)))

    def _feed_read_ahead(self) -> None:
        chunk = self._read_ahead.popleft()
        self._read_ahead_bytes -= len(chunk.data)
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        self._feed(bytes(chunk.data), chunk.received_ms)

    def _feed(self, data: bytes, received_ms: float) -> None:
        """Queue the messages that are whole now. `received_ms`: when these bytes arrived."""
        reader = self._reader
        was_within_message = reader.within_message
        reader.feed(data)
        if not was_within_message and reader.within_message:
            self.idle_since_ms = self._owner.clock()
        for message in reader.messages:
            message.received_ms = received_ms
            self._queue.append(message)
        reader.messages.clear()

    def _serve_next(self) -> None:
        """Serve what was read, until a request is open or nothing is left."""
        if self._serving:  # an answer within the loop below: it goes on by itself
            return
        self._serving = True
        try:
            while self.request is None and not (self.is_closing or self._writing_paused):
                if self._queue:
                    self._serve(self._queue.popleft())
                elif self._read_ahead:
                    self._feed_read_ahead()
                elif self._reader.error is not None:
                    self._refuse(self._reader.error)
                else:
                    if self._reader.take_expectation() and self._transport is not None:
                        self._transport.write(CONTINUE)
                    break
        finally:
            self._serving = False

    def _serve(self, message: Message) -> None:
        self.has_requested = True
        self._owner.mark_active(self)
        self._message = message
        self._close_after_answer = closes(message)
        if message.target == b"/ready" and message.method == b"GET":
            self.answer(200 if self._owner.ready else 503)
            return
        try:
            self.request = self._owner.submit(self, message)
        except HttpError as error:
            self._refuse(error)

    def _refuse(self, error: HttpError) -> None:
        self._owner.refused += 1
        self.answer(error.status, str(error).encode("latin-1", "replace"), close=True)

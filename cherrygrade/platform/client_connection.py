"""A client's connection: it serves one request at a time and answers in the order of the requests."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from cherrygrade.http.reader import BodyBudget, HttpError, Message, MessageReader, closes_connection
from cherrygrade.http.writer import CONTINUE, encode_response
from cherrygrade.platform.message_end import is_request_whole
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.platform.socket_events import CLOSED, READABLE, SocketEvents

# While a request is open, bytes behind it are read up to this limit, so that the client's close is noticed.
MAX_READ_AHEAD_BYTES = 16 * 1024
READ_AHEAD_CHUNK_MS = 20.0  # bytes read ahead within this time count as received with the first of them
WRITE_HIGH_WATER_BYTES = 128 * 1024  # while more answer bytes are unsent, no further request is served
# After this process has closed its side, bytes that still arrive are discarded until the client closes. A
# close with unread bytes resets the connection, and the client loses an answer that it has not read.
MAX_DISCARDED_BYTES = 256 * 1024
REQUEST_TIMEOUT = 408


class ConnectionOwner(Protocol):
    """The part of the dispatcher that its clients' connections use."""

    refused: int
    """Number of messages that were refused because they contained no acceptable request."""

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their next answer."""

    @property
    def ready(self) -> bool:
        """Whether clients may send requests; the answer to `GET /ready`."""

    @property
    def request_budget(self) -> BodyBudget:
        """The memory limit that long request bodies share."""

    @property
    def receive_buffer(self) -> memoryview:
        """A buffer that all connections share; bytes read into it are copied out at once."""

    def clock(self) -> float:
        """Return the time of the rounds' clock in ms."""

    def admit(self, client: ClientConnection) -> bool:
        """Register a new connection; return False if there is no place for it."""

    def mark_active(self, client: ClientConnection) -> None:
        """Note that the client has sent a complete request."""

    def mark_idle(self, client: ClientConnection) -> None:
        """Note that all requests of the client are answered."""

    def linger(self, client: ClientConnection) -> None:
        """Note that one side has closed; the connection ends when the other has, or after a time limit."""

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection that is closed on both sides."""

    def submit(self, client: ClientConnection, message: Message) -> PendingRequest:
        """Hand a request to the scheduler.

        Raises:
            HttpError: The message contains no acceptable request.
        """

    def abandon(self, pending: PendingRequest) -> None:
        """Cancel a request whose client has closed."""


@dataclass(slots=True)
class _ReadAheadChunk:
    """Bytes that arrived while a request was open."""

    received_ms: float
    """When the bytes arrived. The deadline of a request counts from the arrival of its last byte, not from
    the answer to the request before it."""
    data: bytearray


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection.

    Its memory is bounded: one request, the messages of one read, and the read-ahead.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        """Create a connection that the event loop has not connected yet."""
        self.request: PendingRequest | None = None
        """The open request: handed to the scheduler and not yet answered."""
        self.has_requested = False
        """Whether the client has sent a complete request."""
        self.idle_since_ms = owner.clock()
        """Time of the last of these events: connect, answer, start of a message that is still incomplete,
        close of this side."""
        self.is_closing = False
        """Whether the connection is being closed: no request is served, arriving bytes are discarded."""
        self._owner = owner
        self._reader = MessageReader(responses=False, budget=owner.request_budget)
        self._message: Message | None = None  # of the open request; its body uses the budget until the answer
        self._queue: deque[Message] = deque()  # read and not yet served
        self._read_ahead: deque[_ReadAheadChunk] = deque()
        self._read_ahead_bytes = 0
        self._discarded_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._socket_events: SocketEvents | None = None
        self._writing_paused = False
        self._serving = False  # `_serve_next` is running
        self._close_after_answer = False  # the open request has `Connection: close`

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a client that was accepted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        if not self._owner.admit(self):
            self.is_closing = True
            transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads."""
        return self._owner.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that arrived."""
        if self.is_closing:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        data = bytes(self._owner.receive_buffer[:nbytes])
        # The reader must get bytes in the order of their arrival, so new bytes queue behind older ones.
        if self.request is not None or self._queue or self._read_ahead:
            self._store_read_ahead(data)
            if self._read_ahead_bytes >= MAX_READ_AHEAD_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        self._feed(data, self._owner.clock())
        self._serve_next()

    def eof_received(self) -> bool:
        """Handle the close of the client's side."""
        self._client_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whichever side closed it."""
        self._transport = None
        self._socket_events = None
        self._client_closed()
        self._owner.remove(self)

    def pause_writing(self) -> None:
        """Serve no further request while the client does not read its answers."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Continue to serve requests: the client has read enough of its answers."""
        self._writing_paused = False
        self._serve_next()

    # State that the dispatcher reads.

    @property
    def is_idle(self) -> bool:
        """Whether no request is open or waits to be served."""
        return self.request is None and not self._queue

    @property
    def within_message(self) -> bool:
        """Whether the start of a message was read and its end was not."""
        return self._reader.within_message

    @property
    def unsent_bytes(self) -> int:
        """Number of answer bytes that this process still buffers because the kernel has not taken them."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the kernel has unread bytes, which may be a request that has to be answered."""
        return not self.is_closing and bool(self._pending_events() & READABLE)

    def check_closed(self) -> bool:
        """Return whether the client has closed; if so, abort its connection.

        Called right before an attempt is sent. The client's close may have reached the kernel and not the
        event loop, which does not deliver it at all while reading is paused.
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

    # Answering and closing; also called by the dispatcher.

    def answer(self, status: int, body: bytes = b"", fields: bytes = b"", close: bool = False) -> None:
        """Write the final answer of the open request, and serve the next request.

        Args:
            status: The status code.
            body: The complete body.
            fields: Further header fields as complete lines.
            close: Close the connection after the answer. The client's `Connection: close` and a shutdown do
                the same.
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
        """Close this side after the bytes written so far, then wait for the client's close."""
        if self.is_closing or self._transport is None:
            return
        self._stop_serving()
        self._owner.linger(self)
        if not self._transport.is_closing():
            self._transport.resume_reading()
            try:
                self._transport.write_eof()  # takes effect after the bytes that are still buffered
            except OSError:  # the client has just reset the connection
                self.abort()

    def close_idle(self, status: int = REQUEST_TIMEOUT) -> None:
        """Close a connection that was silent for too long, or whose place is needed.

        Args:
            status: The status code with which an incomplete message is answered.
        """
        if self.is_closing:
            self.abort()  # the client does not read its last answer, or does not close its side
            return
        if self._reader.within_message and self._transport is not None:
            self._transport.write(encode_response(status, close=True))
        self.close_gracefully()

    def abort(self) -> None:
        """Close both sides at once; `Content-Length` shows the client that an answer was cut short."""
        if self._transport is not None:
            self._transport.abort()

    def _client_closed(self) -> None:
        """Stop serving the client, and abandon its open request."""
        if not self.is_closing:
            self._stop_serving()
            # Without unsent bytes the connection is closed in the next event-loop iteration anyway, so it
            # takes no place among the lingering connections.
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
        """Return the memory of the open request's body, which is no longer used."""
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
        """Read bytes that arrived at `received_ms`, and queue the messages that are complete now."""
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
        """Serve queued messages until a request is open or no message is left."""
        if self._serving:  # called by an answer within the loop below, which continues by itself
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
        self._close_after_answer = closes_connection(message)
        is_followed_by_garbage = not self._queue and self._reader.error_precedes_target
        if not is_request_whole(message, is_followed_by_garbage):
            self._refuse(HttpError(400, "no request follows this one: is its Content-Length too small?"))
            return
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

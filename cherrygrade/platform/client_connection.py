"""A client's connection: it serves one request at a time and answers in the order of the requests."""

from __future__ import annotations

import asyncio

from cherrygrade.http.reader import HttpError, Message, closes_connection
from cherrygrade.http.writer import CONTINUE, encode_response
from cherrygrade.peers.socket_queues import SocketQueues
from cherrygrade.platform.client_answers import (
    NO_MEMORY,
    NO_MEMORY_AFTER_SEND,
    NOT_WHOLE,
    OK,
    REQUEST_TIMEOUT,
    SERVICE_UNAVAILABLE,
    Answer,
)
from cherrygrade.platform.connection_owner import ConnectionOwner
from cherrygrade.platform.message_end import MAX_REQUEST_WAIT_MS, MessageEnd, request_end
from cherrygrade.platform.peer_memory import CONNECTION_BYTES, REQUEST_BYTES, MemoryUse
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.platform.request_stream import Parsing, RequestStream
from cherrygrade.platform.socket_events import CLOSED, READABLE, TransportEvents
from cherrygrade.transport.piecewise_writer import PiecewiseWriter, piece_size
from cherrygrade.transport.socket_memory import limit_unread_time, socket_queues

# While a request is open, bytes behind it are read on, so that the client's close is noticed; a client that
# sends more than this ahead gets an error.
MAX_READ_AHEAD_BYTES = 256 * 1024
MAX_SERVED_PER_TURN = 8  # messages of a client in a row, before those of other clients get their turn
# After this process has closed its side, bytes that still arrive are discarded until the client closes. A
# close with unread bytes resets the connection, and the client loses an answer that it has not read.
MAX_DISCARDED_BYTES = 256 * 1024
# Unsent bytes of a client beyond these are those of an answer that it does not read, not of an error.
MAX_ERROR_ANSWER_BYTES = 1024
MAX_REQUEST_LINE_BYTES = 2048  # of a request line that follows a request, this much is looked at


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection.

    It reports the memory that it holds for the client to `PeerMemory`: one request, a part of the next one,
    bytes read ahead and unsent answers.
    """

    def __init__(self, owner: ConnectionOwner[ClientConnection]) -> None:
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
        self._requests = RequestStream(owner.request_budget)
        self._message: Message | None = None  # of the open request; its body uses the budget until the answer
        self._message_end = MessageEnd.OPEN  # of the open request
        self._answer: Answer | None = None  # to the open request; waits for the timer
        self._answer_timer: asyncio.TimerHandle | None = None
        self._discarded_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._writer: PiecewiseWriter | None = None  # None without a transport
        self._events = TransportEvents()
        self._may_have_more = False  # the last read has filled the buffer
        self._serving = False  # `_serve_next` is running
        self._has_turn = False  # a part of a chunked body may be parsed
        self._close_after_answer = False  # the open request has `Connection: close`

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a client that was accepted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._events.attach(transport)
        self._writer = PiecewiseWriter(transport, piece_size(self._owner.socket_buffers.send_bytes))
        if self._owner.admit(self):
            self._owner.peer_memory.update(self)
        else:
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
        self._requests.append(self._owner.receive_buffer[:nbytes], self._owner.clock())
        self._may_have_more = nbytes == len(self._owner.receive_buffer)
        if self.request is not None:
            self._judge_request(self._following_bytes())
        else:
            self._serve_next()
        if self._requests.unparsed_bytes > MAX_READ_AHEAD_BYTES:
            self.give_up()
        self._report_memory()

    def eof_received(self) -> bool:
        """Handle the close of the client's side."""
        self._client_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whichever side closed it."""
        limit_unread_time(self._transport)
        self._transport = self._writer = None
        self._events.detach()
        self._client_closed()
        self._requests.close()
        self._owner.peer_memory.remove(self)
        self._owner.remove(self)

    def pause_writing(self) -> None:
        """Pass no more bytes to the kernel: it has not taken all."""
        assert self._writer is not None
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continue to write, and to serve requests if the client has read enough of its answers."""
        assert self._writer is not None
        was_full = self._writer.is_full
        try:
            self._writer.resume()
        except OSError:  # the client has just reset the connection
            self.abort()
            return
        if was_full and not self._writer.is_full:
            self._serve_next()

    # State that the dispatcher reads.

    @property
    def is_idle(self) -> bool:
        """Whether no request is open or waits to be served."""
        return self.request is None and self._requests.is_empty

    @property
    def within_message(self) -> bool:
        """Whether the start of a message was read and its end was not."""
        return self._requests.within_message

    @property
    def unsent_bytes(self) -> int:
        """Number of answer bytes that this process still buffers because the kernel has not taken them."""
        return self._writer.unsent_bytes if self._writer is not None else 0

    @property
    def memory_use(self) -> MemoryUse:
        """Memory that the connection holds for the client."""
        idle_bytes = CONNECTION_BYTES + self._requests.memory_bytes + self.unsent_bytes
        held_bytes = idle_bytes
        if self._message is not None:
            held_bytes += REQUEST_BYTES + self._message.memory_bytes
        if self._answer is not None:
            held_bytes += len(self._answer.body)
        return MemoryUse(idle_bytes, held_bytes)

    @property
    def socket_queues(self) -> SocketQueues:
        """Kernel memory of the connection's socket."""
        return socket_queues(self._transport)

    def give_up(self) -> None:
        """Answer with an error and close, so that next to nothing is held; abort if answers are not read."""
        if self.is_closing or self.unsent_bytes > MAX_ERROR_ANSWER_BYTES:
            self._client_closed()  # before the abort takes effect, so that no other gives up for its bytes
            self.abort()
        elif self.is_idle and not self.within_message:
            self.close_gracefully()
        else:
            has_open_request = self.request is not None
            self._abandon_request()
            self._refuse(NO_MEMORY_AFTER_SEND if has_open_request else NO_MEMORY)

    def _report_memory(self) -> None:
        if self._transport is not None:
            self._owner.peer_memory.update(self)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the kernel has unread bytes, which may be a request that has to be answered."""
        return not self.is_closing and bool(self._events.pending() & READABLE)

    def check_request(self) -> bool:
        """Return whether the open request may be sent: the client has not closed, and it is whole.

        Called right before an attempt; bytes and the close that only the kernel has so far count.
        """
        if self.is_closing or self._transport is None:
            return False
        events = self._events.pending()
        if events & CLOSED:
            self._client_closed()
            self.abort()
            return False
        return self._judge_request(self._following_bytes(events))

    def _judge_request(self, following: bytes) -> bool:
        """Refuse the open request if the bytes behind it leave its end in doubt; return whether it stays."""
        if following and self._message_end is MessageEnd.OPEN and self._message is not None:
            self._message_end = request_end(self._message.framing, following)
            if self._message_end is MessageEnd.IN_DOUBT:
                self._refuse_open_request()
        return not self.is_closing

    def _following_bytes(self, events: int = 0) -> bytes:
        """Return the first bytes behind the open request, also if by `events` only the kernel has them."""
        if not self._requests.unparsed_bytes and events & READABLE:
            return self._events.peek(MAX_REQUEST_LINE_BYTES)
        return self._requests.start(MAX_REQUEST_LINE_BYTES)

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
        self._answer = Answer(status, body, fields, close)
        wait_ms = 0.0
        if status == OK and self._message is not None and self._message_end is MessageEnd.OPEN:
            wait_ms = self._message.received_ms + MAX_REQUEST_WAIT_MS - self._owner.clock()
        if wait_ms > 0.0 and not self._owner.closing:
            loop = asyncio.get_running_loop()
            self._answer_timer = loop.call_later(wait_ms / 1000.0, self._write_answer)
        else:
            self._write_answer()

    def _write_answer(self) -> None:
        """Write the answer that waits, unless bytes behind its request leave the request's end in doubt."""
        answer = self._answer
        if answer is None:
            return
        if answer.status == OK:
            self._judge_request(self._following_bytes(self._events.pending()))
            if self._message_end is MessageEnd.IN_DOUBT:
                return
        close = answer.close or self._close_after_answer or self._owner.closing
        self._discard_answer()
        self.request = None
        self._release_message()
        self.idle_since_ms = self._owner.clock()
        if self._writer is None or self.is_closing:
            return
        self._writer.write(encode_response(answer.status, answer.body, answer.fields, close))
        self._report_memory()
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
        if self._answer is not None:  # it waits for the end of its request to become certain
            self._close_after_answer = True
            self._write_answer()
            return
        self._stop_serving()
        self._owner.linger(self)
        if not self._transport.is_closing() and self._writer is not None:
            self._transport.resume_reading()
            try:
                self._writer.write_eof()
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
        if self._requests.within_message and self._writer is not None:
            self._writer.write(encode_response(status, close=True))
        self.close_gracefully()

    def abort(self) -> None:
        """Close both sides at once; `Content-Length` shows the client that an answer was cut short."""
        if self._transport is not None and self._writer is not None:
            self._writer.discard()
            self._transport.abort()

    def _client_closed(self) -> None:
        """Stop serving the client, and abandon its open request."""
        if not self.is_closing:
            self._stop_serving()
            # Without unsent bytes the connection is closed in the next event-loop iteration anyway, so it
            # takes no place among the lingering connections.
            if self.unsent_bytes:
                self._owner.linger(self)
        self._abandon_request()

    def _abandon_request(self) -> None:
        """Withdraw the open request, if it has no answer yet."""
        pending, self.request = self.request, None
        if pending is not None and self._answer is None:
            self._owner.abandon(pending)
        self._discard_answer()
        self._release_message()

    def _discard_answer(self) -> None:
        self._answer = None
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _stop_serving(self) -> None:
        self.is_closing = True
        self._owner.turn_queue.remove(self)
        self._requests.close()
        self.idle_since_ms = self._owner.clock()

    def _release_message(self) -> None:
        """Return the memory of the open request's body, which is no longer used."""
        if self._message is not None:
            self._owner.request_budget.release(self._message)
            self._message = None

    # Reading and serving.

    def _serve_next(self) -> None:
        """Serve messages until a request is open or no complete message is left, or for a turn."""
        # An answer within the loop below calls this too, and the loop continues by itself.
        if self._serving or self in self._owner.turn_queue:
            return
        self._serving = True
        served = 0
        try:
            while self.request is None and not self.is_closing and self._read_message():
                if served == MAX_SERVED_PER_TURN:
                    self._owner.turn_queue.add(self)
                    break
                served += 1
                self._serve(self._requests.take_message())
        finally:
            self._serving = False

    def take_turn(self) -> None:
        """Continue to parse and to serve what was read ahead."""
        if self._transport is None or self.is_closing:
            return
        if self._events.pending() & CLOSED:  # nothing was read meanwhile, not even this
            self._client_closed()
            self.abort()
            return
        self._transport.resume_reading()
        self._has_turn = True
        self._serve_next()
        self._has_turn = False
        self._report_memory()

    def _read_message(self) -> bool:
        """Parse what was read ahead; return whether a message is complete and may be served."""
        if self._writer is None:
            return False
        was_within_message = self._requests.within_message
        parsing = self._requests.parse(self._has_turn)
        self._has_turn = False
        if not was_within_message and self._requests.within_message:
            self.idle_since_ms = self._owner.clock()
        if parsing is Parsing.NEEDS_TURN:
            self._wait_for_turn()
        if self._writer.is_full:  # the client does not read its answers
            return False
        if parsing is Parsing.ERROR and self._requests.error is not None:
            self._refuse(self._requests.error)
        elif parsing is Parsing.NEEDS_BYTES and self._requests.take_expectation():
            self._writer.write(CONTINUE)
        return parsing is Parsing.MESSAGE

    def _wait_for_turn(self) -> None:
        """Parse the rest of what was read ahead later; until then nothing more is read."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
            self._owner.turn_queue.add(self)

    def _serve(self, message: Message) -> None:
        self.has_requested = True
        self._owner.mark_active(self)
        self._message = message
        self._message_end = request_end(message.framing, b"")
        self._close_after_answer = closes_connection(message)
        # A read that has not filled the buffer has left nothing in the kernel.
        events = self._events.pending() if self._may_have_more else 0
        if not self._judge_request(self._following_bytes(events)):
            return
        if message.target == b"/ready" and message.method == b"GET":
            self._answer = Answer(OK if self._owner.ready else SERVICE_UNAVAILABLE)
            self._write_answer()
            return
        try:
            self.request = self._owner.submit(self, message)
        except HttpError as error:
            self._refuse(error)

    def _refuse_open_request(self) -> None:
        """Refuse the open request, which the bytes behind it show not to be whole; it may have been sent."""
        self._abandon_request()
        self._refuse(NOT_WHOLE)

    def _refuse(self, error: HttpError) -> None:
        self._owner.refused += 1
        self.answer(error.status, str(error).encode("latin-1", "replace"), close=True)

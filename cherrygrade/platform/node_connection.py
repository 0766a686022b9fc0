"""An HTTP/1.1 connection to a storage node, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol

from cherrygrade.http.reader import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    BodyBudget,
    Framing,
    Message,
    closes_connection,
)
from cherrygrade.http.response_reader import ResponseReader, Trailing
from cherrygrade.inflight import InflightAttempt
from cherrygrade.peers.socket_queues import SocketQueues
from cherrygrade.platform.message_end import MessageEnd, response_end, response_end_after_wait
from cherrygrade.platform.node_messages import response_outcome
from cherrygrade.platform.peer_memory import CONNECTION_BYTES, MemoryUse, PeerMemory
from cherrygrade.platform.socket_events import SocketEvents
from cherrygrade.scheduling.model import Outcome
from cherrygrade.transport.piecewise_writer import PiecewiseWriter, piece_size
from cherrygrade.transport.socket_memory import SocketBuffers, limit_unread_time, socket_queues

USUAL_RESPONSE_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
REUSABLE_FRAMINGS = (Framing.CONTENT_LENGTH, Framing.CHUNKED)


class NodeConnectionOwner(Protocol):
    """The part of the connection pool that its connections use."""

    @property
    def receive_buffer(self) -> memoryview:
        """A buffer that all connections share; bytes read into it are copied out at once."""

    @property
    def socket_buffers(self) -> SocketBuffers:
        """Limits on the kernel's memory of each connection."""

    @property
    def answer_budget(self) -> BodyBudget:
        """The memory limit that long responses share."""

    @property
    def peer_memory(self) -> PeerMemory:
        """The memory limit that all connections share."""

    def connected(self, connection: NodeConnection) -> None:
        """Handle an established connection."""

    def connection_closed(self, connection: NodeConnection) -> None:
        """Handle a closed connection; may be called more than once."""

    def await_response_end(self, connection: NodeConnection, attempt: InflightAttempt) -> None:
        """Note a complete response whose end is not certain; `confirm_response` is called after a wait."""

    def response_received(
        self, connection: NodeConnection, attempt: InflightAttempt, response: Message
    ) -> None:
        """Finish an attempt with its response."""

    def response_invalid(self, attempt: InflightAttempt) -> None:
        """Finish an attempt whose response is malformed."""

    def response_in_doubt(self, attempt: InflightAttempt) -> None:
        """Finish an attempt whose response may be cut short."""

    def finish(self, attempt: InflightAttempt, outcome: Outcome) -> None:
        """Finish an attempt that has no response."""


class NodeConnection(asyncio.BufferedProtocol):
    """A connection to a node, from its connect to its close."""

    def __init__(self, owner: NodeConnectionOwner, connect_started_ms: float) -> None:
        """Create a connection that the event loop has not established yet.

        Args:
            owner: The pool.
            connect_started_ms: The time of the rounds' clock at which the connect starts.
        """
        self.connect_started_ms = connect_started_ms
        self.attempt: InflightAttempt | None = None
        """The attempt that the connection carries; None while it is idle."""
        self.is_up = False
        """Whether the connect has succeeded."""
        self.is_raced = False
        """Whether the connect was slow, so that another one was started beside it. It no longer counts as
        connecting then."""
        self.is_closed = False
        """Whether the connection is closed; nothing is read any more."""
        self.is_fully_sent = False
        """Whether the kernel has taken the last byte of the attempt."""
        self.idle_since_ms = 0.0
        """The time of the rounds' clock at which the last response arrived."""
        self._owner = owner
        self._reader = ResponseReader(owner.answer_budget)
        self._is_awaiting_end = False  # until the end of the complete response is certain or in doubt
        self._transport: asyncio.Transport | None = None
        self._writer: PiecewiseWriter | None = None  # None without a transport
        self._socket: socket.socket | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the success of the connect."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        # The writer has the event loop call `pause_writing` for any byte that the kernel does not take, so
        # that `is_fully_sent` is correct.
        self._writer = PiecewiseWriter(transport, piece_size(self._owner.socket_buffers.send_bytes))
        if self.is_closed:
            self.close()
            return
        self._owner.peer_memory.update(self)
        self._owner.connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads."""
        return self._owner.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes of a response."""
        if self.is_closed:
            return
        attempt = self.attempt
        if attempt is None:  # the bytes belong to no request
            self.close()
            return
        self._reader.feed(bytes(self._owner.receive_buffer[:nbytes]))
        response = self._reader.response
        if response is not None:
            # A full buffer may have ended the read, not the response: the bytes behind it are read first.
            if nbytes < len(self._owner.receive_buffer) or self.is_clean():
                self._handle_response(attempt, response)
        elif self._reader.error is not None:
            self._response_invalid(attempt)
        if not self.is_closed:
            self._owner.peer_memory.update(self)

    def _response_invalid(self, attempt: InflightAttempt) -> None:
        self.attempt = None
        self.close()
        self._owner.response_invalid(attempt)

    def _handle_response(self, attempt: InflightAttempt, response: Message) -> None:
        """Finish the attempt with a complete response, once its end is certain or in doubt."""
        end = response_end(response.framing, self._reader.trailing)
        # Whatever follows a response by which the attempt has failed anyway, nothing of it is used.
        has_failed = response_outcome(response) is Outcome.FAILED
        if end is MessageEnd.CERTAIN or (has_failed and self._reader.trailing is Trailing.NOTHING):
            self._take_response(attempt)
        elif end is MessageEnd.IN_DOUBT:
            self._reject_response(attempt)
        elif not self._is_awaiting_end:
            self._is_awaiting_end = True
            self._owner.await_response_end(self, attempt)

    def confirm_response(self) -> bool:
        """Finish the attempt whose response has waited for further bytes; called right before a round.

        Returns:
            False if the socket has unread bytes or the node's close: they are read first, and then either
            end the attempt, or this has to be called again.
        """
        attempt = self.attempt
        if attempt is None or self.is_closed or not self._is_awaiting_end:
            return True
        if response_end_after_wait(self._reader.trailing) is MessageEnd.IN_DOUBT:
            self._reject_response(attempt)
        elif not self.is_clean():
            return False
        else:
            self._take_response(attempt)
        return True

    def _reject_response(self, attempt: InflightAttempt) -> None:
        """Finish the attempt without its response, whose end is in doubt."""
        self.attempt = None
        self.close()
        self._owner.response_in_doubt(attempt)

    def _take_response(self, attempt: InflightAttempt) -> None:
        has_trailing_bytes = self._reader.trailing is not Trailing.NOTHING
        self._is_awaiting_end = False
        response = self._reader.take_response()  # the owner takes the body at once
        self.attempt = None
        ends_here = closes_connection(response) or response.framing not in REUSABLE_FRAMINGS
        # If the request was not fully sent, its remaining bytes would precede the next request.
        if has_trailing_bytes or ends_here or not self.is_fully_sent:
            self.close()
        self._owner.response_received(self, attempt, response)

    def eof_received(self) -> bool:
        """Handle the node's orderly close, which ends a response without a length; a reset does not."""
        attempt = self.attempt
        if attempt is not None and not self.is_closed:
            self._reader.end()
            if self._reader.response is not None and self._reader.trailing is Trailing.NOTHING:
                self._take_response(attempt)
        return False

    def pause_writing(self) -> None:
        """Note that the kernel has not taken all bytes that were written."""
        assert self._writer is not None
        self.is_fully_sent = False
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continue to write; note whether the kernel has taken all bytes of the attempt."""
        assert self._writer is not None
        self._writer.resume()
        self.is_fully_sent = not self._writer.unsent_bytes

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whichever side closed it."""
        limit_unread_time(self._transport)
        self._transport = self._writer = None
        self._discard_response()
        attempt, self.attempt = self.attempt, None
        was_closed, self.is_closed = self.is_closed, True
        self._owner.peer_memory.remove(self)
        self._reader.close()
        self._owner.connection_closed(self)
        if attempt is not None and not was_closed:
            # A node cannot have run a request that was not fully sent.
            self._owner.finish(attempt, Outcome.RESET if self.is_fully_sent else Outcome.CONNECT_FAILED)

    # Called by the pool.

    def is_clean(self) -> bool:
        """Return whether nothing, not even the node's close, has arrived since the last response.

        Bytes that arrived before an attempt is sent would be taken for the attempt's response.
        """
        if self._socket is None or self._transport is None or self._transport.is_closing():
            return False
        return not SocketEvents(self._socket.fileno()).pending()

    def send(self, attempt: InflightAttempt, request: bytes) -> None:
        """Send the request of an attempt, which uses the connection alone until the response or the close."""
        assert self._transport is not None
        assert self._writer is not None
        self.attempt = attempt
        attempt.exchange = self
        self.is_fully_sent = True
        self._writer.write(request)
        self._owner.peer_memory.update(self)
        if self._transport.is_closing():
            self.is_fully_sent = False  # a closing transport sends nothing

    @property
    def memory_use(self) -> MemoryUse:
        """Memory that the connection holds for the node.

        A response of usual length to an open attempt does not count as idle: it is complete soon, unlike
        bytes that wait for a client to read or to write.
        """
        unsent_bytes = self._writer.unsent_bytes if self._writer is not None else 0
        exchange_bytes = self._reader.memory_bytes + unsent_bytes
        usual_bytes = USUAL_RESPONSE_BYTES if self.attempt is not None else 0
        idle_bytes = CONNECTION_BYTES + max(0, exchange_bytes - usual_bytes)
        return MemoryUse(idle_bytes, CONNECTION_BYTES + exchange_bytes)

    @property
    def socket_queues(self) -> SocketQueues:
        """Kernel memory of the connection's socket."""
        return socket_queues(self._transport)

    def give_up(self) -> None:
        """Close the connection; an attempt on it has failed and may have run."""
        attempt = self.attempt
        if attempt is not None:
            self._response_invalid(attempt)
        else:
            self.close()

    def close(self) -> None:
        """Close at once, without reading more or sending buffered bytes."""
        self.is_closed = True
        self._discard_response()
        self._owner.peer_memory.remove(self)
        if self._transport is not None:
            if self._socket is not None:
                with contextlib.suppress(OSError):  # the node may have closed already
                    self._socket.shutdown(socket.SHUT_RDWR)
            if self._writer is not None:
                self._writer.discard()
            self._transport.abort()
        self._owner.connection_closed(self)

    def _discard_response(self) -> None:
        """Return the memory of a response that was not taken, and stop waiting for its end."""
        self._reader.release()
        self._is_awaiting_end = False

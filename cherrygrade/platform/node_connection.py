"""One HTTP/1.1 connection to a storage node: one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol

from cherrygrade.http.reader import BodyBudget, Framing, Message, MessageReader, closes
from cherrygrade.inflight import InflightAttempt
from cherrygrade.platform.socket_events import SocketEvents
from cherrygrade.scheduling.model import Outcome


class NodeConnectionOwner(Protocol):
    """The pool, as its connections need it."""

    @property
    def receive_buffer(self) -> memoryview:
        """Shared by all connections: what is read into it is copied out at once."""

    @property
    def answer_budget(self) -> BodyBudget:
        """Memory that long responses share."""

    def connected(self, connection: NodeConnection) -> None:
        """It is up."""

    def connection_closed(self, connection: NodeConnection) -> None:
        """It is closed; may be called more than once."""

    def response_received(
        self, connection: NodeConnection, attempt: InflightAttempt, response: Message
    ) -> None:
        """An attempt has its response."""

    def response_invalid(self, attempt: InflightAttempt) -> None:
        """What the node answered an attempt with is no response."""

    def finish(self, attempt: InflightAttempt, outcome: Outcome) -> None:
        """An attempt is over without a response."""


class NodeConnection(asyncio.BufferedProtocol):
    """One connection to a node, from its connect on."""

    def __init__(self, owner: NodeConnectionOwner, connect_started_ms: float) -> None:
        """Args: `connect_started_ms`: the rounds' clock as its connect begins."""
        self.connect_started_ms = connect_started_ms
        self.attempt: InflightAttempt | None = None
        """What it carries; None while it is idle."""
        self.is_up = False
        """The connect has succeeded."""
        self.is_raced = False
        """It was not up in time: another connect races it, and it no longer counts as connecting."""
        self.is_closed = False
        """Nothing is read any more."""
        self.is_fully_sent = False
        """The kernel has taken the last byte of the attempt."""
        self.idle_since_ms = 0.0
        """The rounds' clock when its last response came."""
        self._owner = owner
        self._reader = MessageReader(responses=True, budget=owner.answer_budget)
        self._transport: asyncio.Transport | None = None
        self._socket: socket.socket | None = None

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connect has succeeded."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        # Any byte that the kernel does not take pauses writing: `is_fully_sent` follows from that.
        transport.set_write_buffer_limits(high=0)
        if self.is_closed:
            self.close()
            return
        self._owner.connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop reads to."""
        return self._owner.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes of a response arrived."""
        if self.is_closed:
            return
        attempt = self.attempt
        if attempt is None:  # bytes that belong to no request
            self.close()
            return
        self._reader.feed(bytes(self._owner.receive_buffer[:nbytes]))
        if self._reader.messages:
            self._take_response(attempt)
        elif self._reader.error is not None:
            self.attempt = None
            self.close()
            self._owner.response_invalid(attempt)

    def _take_response(self, attempt: InflightAttempt) -> None:
        reader = self._reader
        response = reader.messages[0]
        has_excess_bytes = len(reader.messages) > 1 or reader.within_message or reader.error is not None
        for message in reader.messages:  # the body is handed on at once
            self._owner.answer_budget.release(message)
        reader.messages.clear()
        self.attempt = None
        ends_here = closes(response) or response.framing is not Framing.LENGTH_KNOWN
        # What was not sent of the attempt would stand in front of the next one.
        if has_excess_bytes or ends_here or not self.is_fully_sent:
            self.close()
        self._owner.response_received(self, attempt, response)

    def eof_received(self) -> bool:
        """The node closed in order, which ends a response without a length; a reset never does."""
        attempt = self.attempt
        if attempt is not None and not self.is_closed:
            self._reader.end()
            if self._reader.messages:
                self._take_response(attempt)
        return False

    def pause_writing(self) -> None:
        """The kernel did not take all that was written."""
        self.is_fully_sent = False

    def resume_writing(self) -> None:
        """The kernel has taken all that was written."""
        self.is_fully_sent = True

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed, by whichever side."""
        self._transport = None
        self._reader.release()
        attempt, self.attempt = self.attempt, None
        was_closed, self.is_closed = self.is_closed, True
        self._owner.connection_closed(self)
        if attempt is not None and not was_closed:
            # A node cannot have run a request that never left whole.
            self._owner.finish(attempt, Outcome.RESET if self.is_fully_sent else Outcome.CONNECT_FAILED)

    # Called by the pool.

    def is_clean(self) -> bool:
        """Whether nothing arrived since the last response, not even the node's close.

        Earlier bytes would be read as the next attempt's response.
        """
        if self._socket is None or self._transport is None or self._transport.is_closing():
            return False
        return not SocketEvents(self._socket.fileno()).pending()

    def send(self, attempt: InflightAttempt, request: bytes) -> None:
        """Write an attempt's request; the connection is its own until the response or the close."""
        assert self._transport is not None
        self.attempt = attempt
        attempt.exchange = self
        self.is_fully_sent = True
        self._transport.write(request)
        if self._transport.is_closing():
            self.is_fully_sent = False  # the kernel took nothing of it

    def close(self) -> None:
        """Close at once: nothing more is read, and nothing that is still buffered is sent."""
        self.is_closed = True
        self._reader.release()
        if self._transport is not None:
            if self._socket is not None:
                with contextlib.suppress(OSError):  # the node may have closed already
                    self._socket.shutdown(socket.SHUT_RDWR)
            self._transport.abort()
        self._owner.connection_closed(self)

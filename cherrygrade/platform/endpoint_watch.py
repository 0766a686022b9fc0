"""An HTTP watch: a request for discovery's endpoint list whose response continues with every change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from cherrygrade.http.writer import encode_request
from cherrygrade.platform.endpoint_list import parse_address
from cherrygrade.platform.json_object_stream import MAX_OBJECT_BYTES, JsonObjectStream
from cherrygrade.platform.watch_liveness import WatchLiveness
from cherrygrade.transport.connecting import connect
from cherrygrade.transport.socket_memory import DEFAULT_BUFFERS, SocketBuffers

RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_ERROR_CHARS = 200
TARGET = b"/v1/endpoints?follow=1"


@dataclass(frozen=True, slots=True)
class WatchCallbacks:
    """Callbacks to the owner of a watch."""

    received: Callable[[Any], None]
    """Called with each JSON object once it is complete. If it raises ValueError, the watch ends."""
    ended: Callable[[str], None]
    """Called once with the reason, unless the owner closed the watch."""
    silent: Callable[[], None]
    """Called once when nothing has arrived for too long; the watch stays open."""


class EndpointWatch(asyncio.BufferedProtocol):
    """A connection to discovery, from its connect to its close."""

    def __init__(
        self,
        address: str,
        since_version: int,
        callbacks: WatchCallbacks,
        max_object_bytes: int = MAX_OBJECT_BYTES,
        socket_buffers: SocketBuffers = DEFAULT_BUFFERS,
    ) -> None:
        """Start to connect.

        Args:
            address: Discovery's host:port.
            since_version: The version after which changes are requested; if negative, the full list is.
            callbacks: Callbacks to the owner.
            max_object_bytes: Limit on each JSON object that discovery sends.
            socket_buffers: Limits on the kernel's memory of the connection.
        """
        self.address = address
        self.has_received = False
        """Whether the owner has accepted an object of this watch."""
        self._since_version = since_version
        self._callbacks = callbacks
        self._socket_buffers = socket_buffers
        self._buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self._objects = JsonObjectStream(max_object_bytes)
        self._parser: Any = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._is_closed = False
        loop = asyncio.get_running_loop()
        self._liveness = WatchLiveness(loop.time() * 1000.0, full_list_requested=since_version < 0)
        self._silence_timer: asyncio.TimerHandle | None = None
        self._restart_silence_timer()
        self._connect_task = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            address = parse_address(self.address)
            await connect(lambda: self, address.host, address.port, self._socket_buffers)
        except (OSError, ValueError) as error:
            self._end(f"connect: {error or type(error).__name__}")

    def _restart_silence_timer(self) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_at(self._liveness.deadline_ms / 1000.0, self._on_silence_timeout)

    def _on_silence_timeout(self) -> None:
        self._silence_timer = None
        self._callbacks.silent()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request once the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._is_closed:
            transport.abort()
            return
        target = TARGET
        if self._since_version >= 0:
            target += b"&since=%d" % self._since_version
        transport.write(encode_request(b"GET", target, self.address.encode("latin-1")))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that arrived."""
        if self._is_closed:
            return
        received_before, self.has_received = self.has_received, False
        try:
            self._parser.feed_data(bytes(self._buffer[:nbytes]))
        except httptools.HttpParserError as error:
            # httptools replaces an exception of a callback below by its own, with the original as context.
            self._end(f"malformed data: {str(error.__context__ or error)[:MAX_ERROR_CHARS]}")
            return
        received_now = self.has_received
        self.has_received = received_now or received_before
        now_ms = asyncio.get_running_loop().time() * 1000.0
        self._liveness.bytes_received(now_ms, received_now, self._objects.within_object)
        if not self._is_closed:
            self._restart_silence_timer()

    def eof_received(self) -> bool:
        """Close this side too when discovery has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whichever side closed it."""
        self._transport = None
        self._end(str(exc) if exc else "closed")

    # Callbacks of the parser. An exception that they raise ends `feed_data` with an HttpParserError.

    def on_headers_complete(self) -> None:
        """Check the status once the head of the response is complete."""
        status = self._parser.get_status_code()
        if status != 200:
            raise ValueError(f"status 200 wanted, not {status}")

    def on_body(self, data: bytes) -> None:
        """Hand the objects that a part of the body completes to the owner."""
        for message in self._objects.feed(data):
            if self._is_closed:
                return
            self._callbacks.received(message)
            self.has_received = True

    def on_message_complete(self) -> None:
        """Reject the end of the response: a watch has no end."""
        raise ValueError("discovery ended the response")

    # Ending the watch.

    def _end(self, reason: str) -> None:
        if self._is_closed:
            return
        self.close()
        self._callbacks.ended(reason)

    def close(self) -> None:
        """Close the connection at once, without a callback to the owner."""
        self._is_closed = True
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

"""One HTTP watch of discovery's list of endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from cherrygrade.http.writer import encode_request
from cherrygrade.platform.endpoint_list import parse_address
from cherrygrade.platform.json_object_stream import JsonObjectStream
from cherrygrade.platform.watch_liveness import WatchLiveness

RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_ERROR_CHARS = 200
TARGET = b"/v1/endpoints?follow=1"


@dataclass(frozen=True, slots=True)
class WatchCallbacks:
    """Calls to the owner of a watch."""

    received: Callable[[Any], None]
    """Each JSON object, as it ends. ValueError ends the watch."""
    ended: Callable[[str], None]
    """Once, with the reason, unless the owner closed it."""
    silent: Callable[[], None]
    """Once, when it said nothing for too long; it stays open."""


class EndpointWatch(asyncio.BufferedProtocol):
    """One connection to discovery, from its connect on."""

    def __init__(self, address: str, since_version: int, callbacks: WatchCallbacks) -> None:
        """Connect.

        Args:
            address: Discovery's host:port.
            since_version: Changes after this one are requested; the whole list if it is negative.
            callbacks: Calls to the owner.
        """
        self.address = address
        self.has_received = False
        """An object of it was taken."""
        self._since_version = since_version
        self._callbacks = callbacks
        self._buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self._objects = JsonObjectStream()
        self._parser: Any = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._is_closed = False
        loop = asyncio.get_running_loop()
        self._liveness = WatchLiveness(loop.time() * 1000.0, whole_list_wanted=since_version < 0)
        self._silence_timer: asyncio.TimerHandle | None = None
        self._restart_silence_timer()
        self._connect_task = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            address = parse_address(self.address)
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: self, address.host, address.port)
        except (OSError, ValueError) as error:
            self._end(f"connect: {error or type(error).__name__}")

    def _restart_silence_timer(self) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_at(self._liveness.deadline_ms / 1000.0, self._silence_over)

    def _silence_over(self) -> None:
        self._silence_timer = None
        self._callbacks.silent()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connect has succeeded: send the request."""
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
        """Where the event loop reads to."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes arrived."""
        if self._is_closed:
            return
        received_before, self.has_received = self.has_received, False
        try:
            self._parser.feed_data(bytes(self._buffer[:nbytes]))
        except httptools.HttpParserError as error:
            # What a callback below raised is the context of the parser's own error.
            self._end(f"nonsense: {str(error.__context__ or error)[:MAX_ERROR_CHARS]}")
            return
        received_now = self.has_received
        self.has_received = received_now or received_before
        now_ms = asyncio.get_running_loop().time() * 1000.0
        self._liveness.bytes_received(now_ms, received_now, self._objects.within_object)
        if not self._is_closed:
            self._restart_silence_timer()

    def eof_received(self) -> bool:
        """Discovery has closed its side: so does this one."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed, by whichever side."""
        self._transport = None
        self._end(str(exc) if exc else "closed")

    # Called by the parser. An exception here comes out of feed_data as the context of its own.

    def on_headers_complete(self) -> None:
        """The response's head was read."""
        status = self._parser.get_status_code()
        if status != 200:
            raise ValueError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """A part of the body was read."""
        for message in self._objects.feed(data):
            if self._is_closed:
                return
            self._callbacks.received(message)
            self.has_received = True

    def on_message_complete(self) -> None:
        """The response has ended, which a watch never does."""
        raise ValueError("the watch was ended")

    # Closing.

    def _end(self, reason: str) -> None:
        if self._is_closed:
            return
        self.close()
        self._callbacks.ended(reason)

    def close(self) -> None:
        """Close at once, without a call to the owner."""
        self._is_closed = True
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

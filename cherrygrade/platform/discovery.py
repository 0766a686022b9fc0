"""Follows discovery: one watch, begun anew with growing waits whenever it ends, goes quiet or tells nonsense.

A silent discovery leaves the last list standing.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import httptools

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.http.writer import ask
from cherrygrade.interface import Node
from cherrygrade.platform.listing import Listing, place

QUIET_S = 5.0  # an empty line is due every 2 s
MOST_LINE = 4 * 1024 * 1024
BUFFER = 64 * 1024


class Watch(asyncio.BufferedProtocol):
    """One connection to discovery. `told` is given each line, `over` once why it ended."""

    def __init__(self, address: str, since: int, told: Callable[[Any], None], over: Callable[[str], None]):
        self.address = address
        self._since, self._told, self._over = since, told, over
        self._buffer = memoryview(bytearray(BUFFER))
        self._line = bytearray()
        self._parser: Any = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._quiet: asyncio.TimerHandle | None = None
        self._ended = False
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(2.0):
                await asyncio.get_running_loop().create_connection(lambda: self, *place(self.address))
        except (OSError, ValueError) as trouble:
            self.end(f"connect: {trouble or type(trouble).__name__}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._ended:
            transport.abort()
            return
        target = b"/v1/endpoints?follow=1"
        if self._since >= 0:
            target += b"&since=%d" % self._since
        transport.write(ask(b"GET", target, self.address.encode("latin-1")))
        self._wait()

    def _wait(self) -> None:
        if self._quiet is not None:
            self._quiet.cancel()
        self._quiet = asyncio.get_running_loop().call_later(QUIET_S, self.end, "quiet")

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._ended:
            return
        self._wait()
        try:
            self._parser.feed_data(bytes(self._buffer[:nbytes]))
        except httptools.HttpParserError as trouble:
            self.end(f"nonsense: {str(trouble.__context__ or trouble)[:200]}")

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status != 200:
            raise ValueError(f"status {status}")

    def on_body(self, some: bytes) -> None:
        self._line += some
        if len(self._line) > MOST_LINE:
            raise ValueError("a line without end")
        while not self._ended and (at := self._line.find(b"\n")) >= 0:
            line = bytes(self._line[:at]).strip()
            del self._line[: at + 1]
            if line:
                self._told(json.loads(line))

    def on_message_complete(self) -> None:
        raise ValueError("the watch was ended")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.end(str(exc) if exc else "closed")

    def end(self, why: str) -> None:
        if self._ended:
            return
        self.close()
        self._over(why)

    def close(self) -> None:
        self._ended = True
        if self._quiet is not None:
            self._quiet.cancel()
        self._task.cancel()
        if self._transport is not None:
            self._transport.abort()


class Follower:
    """One watch; two while the address changes: the old one goes once the new one has told something."""

    def __init__(
        self,
        address: str,
        name: str,
        listing: Listing,
        clock: Callable[[], float],
        heard: Callable[[list[Node]], None],
        log: Callable[..., None],
    ) -> None:
        self.address, self.listing = address, listing
        self._clock, self._heard, self._log = clock, heard, log
        self._backoff = Backoff(name)
        self._watch: Watch | None = None
        self._old: Watch | None = None
        self._again: asyncio.TimerHandle | None = None
        self._ended = False

    def start(self) -> None:
        self._again = None
        watch: Watch

        def told(word: Any) -> None:
            self._told(watch, word)

        def over(why: str) -> None:
            self._over(watch, why)

        watch = self._watch = Watch(self.address, self.listing.version, told, over)

    def move(self, address: str) -> None:
        """Discovery is elsewhere from now on."""
        self.address = address
        if self._old is not None:
            self._old.close()
        self._old, self._watch = self._watch, None
        if self._again is not None:
            self._again.cancel()
        self._backoff.losses = 0
        self.start()

    def _told(self, watch: Watch, word: Any) -> None:
        nodes = self.listing.hear(word)
        if watch is self._watch:
            self._backoff.made(self._clock())
            if self._old is not None:
                self._old.close()
                self._old = None
        if nodes:
            self._heard(nodes)

    def _over(self, watch: Watch, why: str) -> None:
        if watch is self._old:
            self._old = None
            return
        if self._ended or watch is not self._watch:
            return
        self._watch = None
        self._log("discovery lost", address=self.address, why=why)
        now = self._clock()
        wait = (self._backoff.lost(now) - now) / 1000.0
        self._again = asyncio.get_running_loop().call_later(wait, self.start)

    def close(self) -> None:
        self._ended = True
        if self._again is not None:
            self._again.cancel()
        for watch in (self._watch, self._old):
            if watch is not None:
                watch.close()

"""Follows discovery: one watch, begun anew whenever it ends, falls silent or tells nonsense.

A watch that is silent is broken and asked anew, beside it: the silent one stays until another has told
something, since a discovery that is down answers whom it answers first. A silent discovery leaves the last
list standing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import httptools

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.http.writer import ask
from cherrygrade.platform.listing import Listing, place
from cherrygrade.platform.watching import AGAIN_MS, Objects, Silence
from cherrygrade.scheduling.model import Node

BUFFER = 64 * 1024


class Watch(asyncio.BufferedProtocol):
    """One connection to discovery. `told` is given each object, `over` once why it ended, `silent` that it
    said nothing for too long; it stays open then. `since` under 0 asks for the whole list."""

    def __init__(
        self,
        address: str,
        since: int,
        told: Callable[[Any], None],
        over: Callable[[str], None],
        silent: Callable[[], None],
    ) -> None:
        self.address = address
        self.spoke = False
        """It has told a list."""
        self._since, self._told, self._over, self._silent = since, told, over, silent
        self._buffer = memoryview(bytearray(BUFFER))
        self._objects = Objects()
        self._parser: Any = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._ended = False
        loop = asyncio.get_running_loop()
        self._silence = Silence(loop.time() * 1000.0, since < 0)
        self._quiet: asyncio.TimerHandle | None = None
        self._wait()
        self._task = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
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

    def _wait(self) -> None:
        if self._quiet is not None:
            self._quiet.cancel()
        self._quiet = asyncio.get_running_loop().call_at(self._silence.until_ms / 1000.0, self._quietened)

    def _quietened(self) -> None:
        self._quiet = None
        self._silent()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._ended:
            return
        spoke, self.spoke = self.spoke, False
        try:
            self._parser.feed_data(bytes(self._buffer[:nbytes]))
        except httptools.HttpParserError as trouble:
            self.end(f"nonsense: {str(trouble.__context__ or trouble)[:200]}")
            return
        told, self.spoke = self.spoke, self.spoke or spoke
        self._silence.heard(asyncio.get_running_loop().time() * 1000.0, told, self._objects.within)
        if not self._ended:
            self._wait()

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status != 200:
            raise ValueError(f"status {status}")

    def on_body(self, some: bytes) -> None:
        for word in self._objects.feed(some):
            if self._ended:
                return
            self._told(word)
            self.spoke = True

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


class DiscoveryClient:
    """One watch; two while one is silent or its address changes: the old one goes once the new one told."""

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
        self._backoff = Backoff(name, most=AGAIN_MS)
        self._watch: Watch | None = None
        self._old: Watch | None = None
        self._again: asyncio.TimerHandle | None = None
        self._ended = self._unsure = False
        """`_unsure`: what a silent watch missed is not known: the next one has to tell the whole list."""

    def start(self) -> None:
        self._again = None
        watch: Watch

        def told(word: Any) -> None:
            self._told(watch, word)

        def over(why: str) -> None:
            self._over(watch, why)

        def silent() -> None:
            self._silent(watch)

        since = -1 if self._unsure else self.listing.version
        watch = self._watch = Watch(self.address, since, told, over, silent)

    def move(self, address: str) -> None:
        """Discovery is elsewhere from now on."""
        self.address = address
        if self._ended:
            return
        self._set_aside()
        if self._again is not None:
            self._again.cancel()
        self._backoff.losses = 0
        self.start()

    def _set_aside(self) -> None:
        """The watch stays beside the next one if it has told anything; one that never did makes room."""
        watch, self._watch = self._watch, None
        if watch is not None and not watch.spoke and self._old is not None:
            watch.close()
        elif watch is not None:
            if self._old is not None:
                self._old.close()
            self._old = watch

    def _told(self, watch: Watch, word: Any) -> None:
        nodes = self.listing.hear(word)
        if watch is self._watch:
            self._backoff.made(self._clock())
            self._unsure = False
            if self._old is not None:
                self._old.close()
                self._old = None
        if nodes is not None:
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

    def _silent(self, watch: Watch) -> None:
        if self._ended or watch is not self._watch:
            return
        self._log("discovery silent", address=self.address, told=watch.spoke)
        self._unsure = True
        self._set_aside()
        self.start()

    def close(self) -> None:
        self._ended = True
        if self._again is not None:
            self._again.cancel()
        for watch in (self._watch, self._old):
            if watch is not None:
                watch.close()

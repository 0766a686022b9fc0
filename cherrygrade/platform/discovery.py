"""Follows discovery by a watch, which is restarted whenever it ends, falls silent or sends malformed data.

A silent watch counts as broken, and another one starts beside it. The silent one stays open until the other
has received something, because a discovery service that returns from an outage first serves the watches it
has. While discovery is silent, the last list remains in use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.platform.endpoint_list import NO_VERSION, EndpointList
from cherrygrade.platform.endpoint_watch import EndpointWatch, WatchCallbacks
from cherrygrade.platform.json_object_stream import MAX_OBJECT_BYTES
from cherrygrade.scheduling.model import Node
from cherrygrade.transport.socket_memory import DEFAULT_BUFFERS, SocketBuffers

MAX_RECONNECT_WAIT_MS = 250.0  # short, as discovery may be reachable for only a moment during an outage


class DiscoveryClient:
    """Keeps one watch open, and beside it a silent or former one until the new watch receives something."""

    def __init__(
        self,
        address: str,
        name: str,
        endpoint_list: EndpointList,
        clock: Callable[[], float],
        endpoints_changed: Callable[[list[Node]], None],
        log: Callable[..., None],
        max_message_bytes: int = MAX_OBJECT_BYTES,
        socket_buffers: SocketBuffers = DEFAULT_BUFFERS,
    ) -> None:
        """Create a client; `start` connects it.

        Args:
            address: Discovery's host:port.
            name: Seeds the waits between connects, so that dispatchers don't connect at the same time.
            endpoint_list: The list to which discovery's messages are applied.
            clock: Returns the time in ms.
            endpoints_changed: Called with the changed nodes of each message that is not outdated.
            log: Writes a log event, given by its name and its facts as keywords.
            max_message_bytes: Limit on each message of discovery; a longer one ends the watch.
            socket_buffers: Limits on the kernel's memory of each watch.
        """
        self.address = address
        self.endpoint_list = endpoint_list
        self._clock = clock
        self._endpoints_changed = endpoints_changed
        self._log = log
        self._max_message_bytes = max_message_bytes
        self._socket_buffers = socket_buffers
        self._backoff = Backoff(name, max_ms=MAX_RECONNECT_WAIT_MS)
        self._watch: EndpointWatch | None = None
        self._old_watch: EndpointWatch | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        self._full_list_needed = False
        """Whether the next watch requests the full list, as a silent watch may have missed changes."""

    def start(self) -> None:
        """Start a watch."""
        self._reconnect_timer = None
        watch: EndpointWatch
        callbacks = WatchCallbacks(
            received=lambda message: self._received(watch, message),
            ended=lambda reason: self._watch_ended(watch, reason),
            silent=lambda: self._watch_silent(watch),
        )
        since_version = NO_VERSION if self._full_list_needed else self.endpoint_list.version
        watch = self._watch = EndpointWatch(
            self.address, since_version, callbacks, self._max_message_bytes, self._socket_buffers
        )

    def change_address(self, address: str) -> None:
        """Follow discovery at another address (host:port) from now on."""
        self.address = address
        if self._is_closed:
            return
        self._retire_watch()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        self._backoff.losses = 0
        self.start()

    def close(self) -> None:
        """Close all watches."""
        self._is_closed = True
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        for watch in (self._watch, self._old_watch):
            if watch is not None:
                watch.close()

    def _retire_watch(self) -> None:
        """Keep the current watch as the old one, if it has received something or there is no old one yet."""
        watch, self._watch = self._watch, None
        if watch is None:
            return
        if not watch.has_received and self._old_watch is not None:
            watch.close()
            return
        if self._old_watch is not None:
            self._old_watch.close()
        self._old_watch = watch

    # Called by watches.

    def _received(self, watch: EndpointWatch, message: Any) -> None:
        nodes = self.endpoint_list.apply(message)
        if watch is self._watch:
            self._backoff.record_connected(self._clock())
            self._full_list_needed = False
            if self._old_watch is not None:
                self._old_watch.close()
                self._old_watch = None
        if nodes is not None:
            self._endpoints_changed(nodes)

    def _watch_ended(self, watch: EndpointWatch, reason: str) -> None:
        if watch is self._old_watch:
            self._old_watch = None
            return
        if self._is_closed or watch is not self._watch:
            return
        self._watch = None
        self._log("discovery watch ended", address=self.address, reason=reason)
        now = self._clock()
        wait_s = (self._backoff.record_failure(now) - now) / 1000.0
        self._reconnect_timer = asyncio.get_running_loop().call_later(wait_s, self.start)

    def _watch_silent(self, watch: EndpointWatch) -> None:
        if self._is_closed or watch is not self._watch:
            return
        self._log("discovery watch silent", address=self.address, had_received=watch.has_received)
        self._full_list_needed = True
        self._retire_watch()
        self.start()

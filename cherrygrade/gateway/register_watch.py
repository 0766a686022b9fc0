"""Keeps a connection to the register: requests the endpoint list and extent maps, and passes them on.

While the register is unreachable the last endpoint list stays in use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.gateway.registered_nodes import RegisteredNodes
from cherrygrade.scheduling.model import Node
from cherrygrade.transport.connecting import connect
from cherrygrade.transport.connection import Connection
from cherrygrade.transport.socket_memory import DEFAULT_BUFFERS
from cherrygrade.wire.messages import VERSION, AskMap, Bye, Follow, Hello, MapPart, Roster, Welcome

MAX_BODY_BYTES = 0  # a register sends no bodies
ANSWER_TIMEOUT_MS = 2000.0  # for a connect, and for the answer to a request of the endpoint list


class RegisterWatch:
    """The connection to the register; reconnects with a backoff until it is closed.

    Attributes:
        address: host:port of the register.
        name: this dispatcher's name, sent in the greeting.
        registered_nodes: the endpoint list as last received.
        is_polled: the scheduler requests the list. Otherwise it is requested on each new connection.
    """

    def __init__(
        self,
        address: str,
        name: str,
        registered_nodes: RegisteredNodes,
        is_polled: bool,
        clock: Callable[[], float],
        endpoints_received: Callable[[list[Node], bool | None], None],
        extents_received: Callable[[MapPart], None],
        log: Callable[..., None],
        source: str = "",
    ) -> None:
        """Create a watch; `start` opens the connection.

        Args:
            address: host:port of the register.
            name: this dispatcher's name.
            registered_nodes: updated by each message about the endpoint list.
            is_polled: the scheduler requests the list.
            clock: returns the time, ms.
            endpoints_received: called with the nodes that changed, and with True if a request of the list
                was answered, False if it failed, or None if this is neither.
            extents_received: called with each part of an extent map.
            log: called with an event and its facts.
            source: local address of the connection; chosen by the system if empty.
        """
        self.address, self.name, self.registered_nodes, self.is_polled = (
            address,
            name,
            registered_nodes,
            is_polled,
        )
        self._clock, self._endpoints_received, self._extents_received, self._log = (
            clock,
            endpoints_received,
            extents_received,
            log,
        )
        self._local_address = (source, 0) if source else None
        self._backoff = Backoff(f"{name}>{address}")
        self._conn: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._answer_timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        # The scheduler's request is not answered; a full list was requested because a change was missed.
        self._is_list_requested = self._is_gap_requested = False

    def start(self) -> None:
        """Connect to the register."""
        self._connect_task = asyncio.get_running_loop().create_task(self._connect())

    def close(self) -> None:
        """Close the connection and do not reconnect."""
        self._is_closed = True
        for timer in (self._reconnect_timer, self._answer_timer):
            if timer is not None:
                timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._conn is not None:
            self._conn.close("dispatcher leaves")

    def request_endpoint_list(self, push: bool) -> None:
        """Request the full endpoint list for the scheduler. `push`: subscribe to its changes too."""
        self._is_list_requested = True
        if self._answer_timer is None:
            loop = asyncio.get_running_loop()
            self._answer_timer = loop.call_later(ANSWER_TIMEOUT_MS / 1000.0, self._answer_timed_out)
        if self._conn is not None and self._conn.open:
            self._conn.send(Follow(push=push))

    def request_extent_map(self, volume: str, first_extent: int, count: int) -> None:
        """Request where `count` extents lie; does nothing without a connection, so callers ask again."""
        if self._conn is not None and self._conn.open:
            self._conn.send(AskMap(volume, first_extent, count))

    def _answer_timed_out(self) -> None:
        self._answer_timer = None
        if self._is_list_requested:
            self._is_list_requested = False
            self._endpoints_received([], False)

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        conn = Connection(self, MAX_BODY_BYTES)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000.0):
                await connect(lambda: conn, host, int(port), DEFAULT_BUFFERS, self._local_address)
        except OSError as error:
            self.closed(conn, f"connect: {error or type(error).__name__}")

    def connected(self, conn: Connection) -> None:
        """Greet the register; request the list, unless the scheduler polls it and waits for no answer."""
        self._conn = conn
        self._backoff.record_connected(self._clock())
        conn.send(Hello(VERSION, "dispatcher", self.name))
        if not self.is_polled or self._is_list_requested:
            conn.send(Follow(push=True))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Accept no bodies."""
        return None

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Handle a message from the register."""
        if isinstance(message, Roster):
            changed = self.registered_nodes.apply(message, self._clock())
            if changed is None:
                if self.registered_nodes.gap and not self._is_gap_requested:
                    self._is_gap_requested = True
                    conn.send(Follow(push=True))
                return
            self._is_gap_requested = False
            request_answered = True if self._is_list_requested and message.full else None
            if request_answered:
                self._is_list_requested = False
                if self._answer_timer is not None:
                    self._answer_timer.cancel()
                    self._answer_timer = None
            self._endpoints_received(changed, request_answered)
        elif isinstance(message, MapPart):
            self._extents_received(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} from the register")

    def writable(self, conn: Connection) -> None:
        """Do nothing: requests are short."""

    def closed(self, conn: Connection, why: str) -> None:
        """Reconnect after a backoff, and report to the scheduler that its subscription has ended."""
        self._conn, self._is_gap_requested = None, False
        if self._is_closed:
            return
        self._log("register connection lost", address=self.address, why=why)
        if self.is_polled and not self._is_list_requested:
            self._endpoints_received([], False)  # the subscription ended with the connection
        now = self._clock()
        wait_s = (self._backoff.record_failure(now) - now) / 1000.0
        self._reconnect_timer = asyncio.get_running_loop().call_later(wait_s, self.start)

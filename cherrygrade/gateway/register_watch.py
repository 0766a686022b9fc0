"""Follows the register: connects, asks, hears, and tells the module what was learned.

Losing the register leaves the last list standing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.gateway.registered_nodes import RegisteredNodes
from cherrygrade.scheduling.model import Node
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, AskMap, Bye, Follow, Hello, MapPart, Roster, Welcome

MOST_BODY = 0  # a register sends no bodies
ANSWER_MS = 2000.0  # an ask that is not answered by then has come to nothing


class RegisterWatch:
    """`heard(nodes, answered)` is told of each word: nodes learned of, and whether an ask was answered
    (True), came to nothing (False), or neither (None)."""

    def __init__(
        self,
        address: str,
        name: str,
        book: RegisteredNodes,
        must_ask: bool,
        clock: Callable[[], float],
        heard: Callable[[list[Node], bool | None], None],
        mapped: Callable[[MapPart], None],
        log: Callable[..., None],
        source: str = "",
    ) -> None:
        self.address, self.name, self.book, self.must_ask = address, name, book, must_ask
        self._clock, self._heard, self._mapped, self._log = clock, heard, mapped, log
        self._from = (source, 0) if source else None
        self._backoff = Backoff(f"{name}>{address}")
        self._conn: Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self._handle: asyncio.TimerHandle | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self._ended = False
        self._asked = self._wanted = False

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._connect())

    def close(self) -> None:
        self._ended = True
        for handle in (self._handle, self._deadline):
            if handle is not None:
                handle.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._conn is not None:
            self._conn.close("dispatcher leaves")

    def ask(self, push: bool) -> None:
        """The module asks for the list."""
        self._asked = True
        if self._deadline is None:
            loop = asyncio.get_running_loop()
            self._deadline = loop.call_later(ANSWER_MS / 1000.0, self._unanswered)
        if self._conn is not None and self._conn.open:
            self._conn.send(Follow(push=push))

    def ask_map(self, volume: str, first: int, count: int) -> None:
        """Ask where extents lie; nothing where the register is away, whoever waits asks again."""
        if self._conn is not None and self._conn.open:
            self._conn.send(AskMap(volume, first, count))

    def _unanswered(self) -> None:
        self._deadline = None
        if self._asked:
            self._asked = False
            self._heard([], False)

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        conn = Connection(self, MOST_BODY)
        try:
            async with asyncio.timeout(ANSWER_MS / 1000.0):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: conn, host, int(port), local_addr=self._from)
        except OSError as trouble:
            self.closed(conn, f"connect: {trouble or type(trouble).__name__}")

    def connected(self, conn: Connection) -> None:
        self._conn = conn
        self._backoff.record_connected(self._clock())
        conn.send(Hello(VERSION, "dispatcher", self.name))
        if not self.must_ask or self._asked:
            conn.send(Follow(push=True))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Roster):
            learned = self.book.apply(message, self._clock())
            if learned is None:
                if self.book.gap and not self._wanted:
                    self._wanted = True
                    conn.send(Follow(push=True))
                return
            self._wanted = False
            answered = True if self._asked and message.full else None
            if answered:
                self._asked = False
                if self._deadline is not None:
                    self._deadline.cancel()
                    self._deadline = None
            self._heard(learned, answered)
        elif isinstance(message, MapPart):
            self._mapped(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} from the register")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        self._conn, self._wanted = None, False
        if self._ended:
            return
        self._log("register lost", address=self.address, why=why)
        if self.must_ask and not self._asked:
            self._heard([], False)  # the subscription went with the connection
        now = self._clock()
        wait = (self._backoff.record_failure(now) - now) / 1000.0
        self._handle = asyncio.get_running_loop().call_later(wait, self.start)

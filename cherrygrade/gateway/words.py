"""The way for short words between dispatchers: each listens at a place of its own and connects to others'.

A word may be lost: it goes nowhere while no connection stands or while the other does not read, and nothing
waits for it. What comes from whoever is not one of the places' dispatchers closes that connection only.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Any

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import MOST_WORD, VERSION, Bye, Hello, Welcome, Word

CONNECT_S, HELLO_S = 2.0, 2.0
UNREAD = 16 * 1024  # bytes that may wait for another dispatcher; words beyond them are lost


class Mouth:
    """The connection to one other dispatcher; made when there is something to say, again after a wait."""

    def __init__(self, place: str, name: str, clock: Callable[[], float], log: Callable[..., None]) -> None:
        self.place, self.name, self._clock, self._log = place, name, clock, log
        self._conn: Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self._backoff, self._not_before = Backoff(f"{name}>{place}"), 0.0

    def say(self, payload: bytes) -> bool:
        """Whether it is on its way."""
        conn = self._conn
        if conn is None:
            if self._task is None and self._clock() >= self._not_before:
                self._task = asyncio.get_running_loop().create_task(self._connect())
            return False
        if conn.waiting + len(payload) > UNREAD:
            return False
        conn.send(Word(payload))
        return True

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._conn is not None:
            self._conn.close("dispatcher leaves")

    async def _connect(self) -> None:
        host, _, port = self.place.rpartition(":")
        conn = Connection(self, 0)
        try:
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().create_connection(lambda: conn, host, int(port))
        except OSError as trouble:
            self.closed(conn, f"connect: {trouble or type(trouble).__name__}")

    def connected(self, conn: Connection) -> None:
        self._conn, self._task = conn, None
        self._backoff.made(self._clock())
        conn.send(Hello(VERSION, "peer", self.name))

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} from a dispatcher")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        self._conn = self._task = None
        self._not_before = self._backoff.lost(self._clock())
        self._log("no way to a dispatcher", place=self.place, why=why)


class Ear:
    """A connection that came in: a hello, then words."""

    def __init__(self, words: Words) -> None:
        self.words, self.greeted = words, False
        self.conn = Connection(self, 0)
        self._greeting: asyncio.TimerHandle | None = None

    def connected(self, conn: Connection) -> None:
        if len(self.words.ears) >= 2 * len(self.words.mouths) + 2:  # old connections may not have ended yet
            conn.close("more dispatchers than there are")
            return
        self.words.ears[self] = None
        self._greeting = asyncio.get_running_loop().call_later(HELLO_S, conn.close, "no hello in time")

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Word) and self.greeted:
            self.words.came(message.payload)
        elif isinstance(message, Hello) and not self.greeted and message.role == "peer":
            self.greeted = True
            assert self._greeting is not None
            self._greeting.cancel()
            conn.send(Welcome(min(VERSION, message.version), self.words.name))
        elif isinstance(message, Bye):
            conn.close("dispatcher left")
        else:
            conn.close(f"unexpected {type(message).__name__}; only dispatchers' words are heard here")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        if self._greeting is not None:
            self._greeting.cancel()
        self.words.ears.pop(self, None)


class Words:
    """All ways of one dispatcher: `places` by number, its own among them. Mouths are one a place; ears go
    with their connections."""

    def __init__(
        self,
        places: Sequence[str],
        number: int,
        name: str,
        clock: Callable[[], float],
        heard: Callable[[bytes], None],
        log: Callable[..., None],
    ) -> None:
        self.name, self.came, self.said, self.lost = name, heard, 0, 0
        self.mouths = {
            at: Mouth(place, name, clock, log) for at, place in enumerate(places) if at != number
        }
        self.ears: dict[Ear, None] = {}
        self._own = places[number]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self._own.rpartition(":")
        door = socket.create_server((host, int(port)), backlog=len(self.mouths) + 2)
        door.setblocking(False)
        self._server = await asyncio.get_running_loop().create_server(lambda: Ear(self).conn, sock=door)

    def tell(self, peer: int | None, payload: bytes) -> None:
        if len(payload) > MOST_WORD:
            raise ValueError(f"a word of {len(payload)} bytes; at most {MOST_WORD}")
        for at, mouth in self.mouths.items():
            if peer is None or at == peer:
                on_its_way = mouth.say(payload)
                self.said, self.lost = self.said + on_its_way, self.lost + (not on_its_way)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for mouth in self.mouths.values():
            mouth.close()
        for ear in [*self.ears]:
            ear.conn.close("dispatcher leaves")

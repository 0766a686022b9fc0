"""The way for short words between dispatchers: each listens at a place of its own and connects to others'.

A word may be lost: it goes nowhere while no connection stands or while the other does not read, and nothing
waits for it. What comes from whoever is not one of the places' dispatchers closes that connection only.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.transport.connection import Connection
from cherrygrade.transport.listening import listen
from cherrygrade.wire.messages import MOST_WORD, VERSION, Bye, Hello, Welcome, Word

RATE = 400  # words of one dispatcher that are heard in a second; the rest is dropped

CONNECT_S, HELLO_S = 2.0, 2.0
UNREAD = 16 * 1024  # bytes that may wait for another dispatcher; words beyond them are lost


class Mouth:
    """The connection to one other dispatcher; made when there is something to say, again after a wait."""

    def __init__(
        self, place: str, name: str, seat: str, clock: Callable[[], float], log: Callable[..., None]
    ) -> None:
        self.place, self.name, self.seat, self._clock, self._log = place, name, seat, clock, log
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
        self._backoff.record_connected(self._clock())
        conn.send(Hello(VERSION, "peer", self.name, [self.seat]))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        if not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} from a dispatcher")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        self._conn = self._task = None
        self._not_before = self._backoff.record_failure(self._clock())
        self._log("no way to a dispatcher", place=self.place, why=why)


class Ear:
    """A connection that came in: a hello that tells who speaks, then words."""

    def __init__(self, words: PeerMessaging) -> None:
        self.words, self.number = words, -1
        self._second, self._heard = 0.0, 0
        self.conn = Connection(self, 0)
        self._greeting: asyncio.TimerHandle | None = None

    def connected(self, conn: Connection) -> None:
        if len(self.words.ears) >= 2 * len(self.words.mouths) + 2:  # old connections may not have ended yet
            conn.close("more dispatchers than there are")
            return
        self.words.ears[self] = None
        self._greeting = asyncio.get_running_loop().call_later(HELLO_S, conn.close, "no hello in time")

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Word) and self.number >= 0:
            second = self.words.clock() // 1000.0
            self._heard = self._heard + 1 if second == self._second else 1
            self._second = second
            if self._heard > RATE:
                self.words.dropped += 1
            else:
                self.words.came(self.number, message.payload)
        elif isinstance(message, Hello) and self.number < 0 and message.role == "peer":
            number = self.words.number_of(message.features)
            if number is None:
                why = f"dispatcher of another fleet: {message.features[:1]}, not {self.words.seats}"
                conn.close(why[:900])
                return
            self.number = number
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


class PeerMessaging:
    """All ways of one dispatcher: `places` by number, its own among them. Mouths are one a place; ears go
    with their connections."""

    def __init__(
        self,
        places: Sequence[str],
        number: int,
        name: str,
        clock: Callable[[], float],
        heard: Callable[[int, bytes], None],
        log: Callable[..., None],
    ) -> None:
        self.name, self.came, self.clock = name, heard, clock
        self.said = self.lost = self.dropped = 0
        self.seats = [f"{at}/{len(places)}" for at in range(len(places))]
        self.mouths = {
            at: Mouth(place, name, self.seats[number], clock, log)
            for at, place in enumerate(places)
            if at != number
        }
        self.ears: dict[Ear, None] = {}
        self._own = places[number]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await listen(lambda: Ear(self).conn, self._own, len(self.mouths) + 2)

    def number_of(self, features: Sequence[str]) -> int | None:
        """Who speaks, if it is one of the others of this fleet."""
        seat = features[0] if features else ""
        number = self.seats.index(seat) if seat in self.seats else -1
        return number if number in self.mouths else None

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

"""Connections that carry the council's messages between voters and members."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec

from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.council_server import CouncilServer

PART = 8192  # of a word in one frame
MOST_WORD = 32 * 1024 * 1024  # a snapshot in frames
MOST_QUEUED = 256  # words to a peer that is not connected; the oldest go: Raft says them again
CONNECT_S, AGAIN_S = 1.0, 0.1
_encode = msgspec.msgpack.Encoder().encode


class CouncilConnection:
    """One connection for the council's words, made here (`to`) or there. Words come in frames."""

    def __init__(self, council_server: CouncilServer, name: str = "") -> None:
        self.council_server, self.name = council_server, name
        self.conn = Connection(self, 0)
        self.queue: deque[bytes] = deque(maxlen=MOST_QUEUED)
        self.ready = self.connecting = False
        self._within = bytearray()
        self.task: asyncio.Task[None] | None = None

    # To a voter.

    def say(self, kind: bytes, word: Any) -> None:
        data = kind + _encode(word)
        if self.ready:
            self._send(data)
            return
        self.queue.append(data)
        if not self.connecting:
            self.connecting = True
            self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            to = self.council_server.place(self.name)
            if to is None:
                await asyncio.sleep(AGAIN_S)
                return
            async with asyncio.timeout(CONNECT_S):
                loop = asyncio.get_running_loop()
                host = self.council_server.source
                await loop.create_connection(lambda: self.conn, *to, local_addr=(host, 0))
        except OSError:
            await asyncio.sleep(AGAIN_S)
        finally:
            self.connecting = False
            if not self.conn.open:
                self.council_server.lost(self)

    def _send(self, data: bytes) -> None:
        self.council_server.said_bytes += len(data)
        for at in range(0, len(data), PART):
            self.conn.send(Members(data[at : at + PART], at + PART >= len(data)))

    # What the connection tells.

    def connected(self, conn: Connection) -> None:
        fleet = self.council_server.fleet
        conn.send(Hello(VERSION, "council", self.council_server.name, [fleet]))
        self.ready = True
        while self.queue:
            self._send(self.queue.popleft())

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Members):
            self.part(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} in council")

    def part(self, message: Members) -> None:
        self._within += message.payload
        if len(self._within) > MOST_WORD:
            self.conn.close("a word without end")
        elif message.last:
            data, self._within = bytes(self._within), bytearray()
            try:
                self.council_server.came(self, data)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.conn.close("a word that can't be read")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        self.ready = False
        self.council_server.lost(self)


class CouncilClientConnection(CouncilConnection):
    """One that came in: the agent's stream hands its frames on."""

    def __init__(self, council_server: CouncilServer, conn: Connection, name: str) -> None:
        super().__init__(council_server, name)
        self.conn, self.ready = conn, True

    def say(self, kind: bytes, word: Any) -> None:
        if self.ready:  # else it has gone, and asks again if it wants to know
            self._send(kind + _encode(word))

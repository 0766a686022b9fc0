"""A connection whose messages may be longer than one frame."""

from __future__ import annotations

from typing import Any

import msgspec

from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import Bye, Members, Welcome

PART = 8192  # of a word in one frame
MOST_WORD = 1024 * 1024  # a version in frames


class FramedConnection:
    """Words in frames over one connection, each way at most MOST_WORD."""

    def __init__(self, conn: Connection | None = None) -> None:
        self.conn = Connection(self, 0) if conn is None else conn
        self._within = bytearray()

    def say(self, word: bytes) -> None:
        for at in range(0, max(1, len(word)), PART):
            self.conn.send(Members(word[at : at + PART], at + PART >= len(word)))

    def part(self, message: Members) -> None:
        self._within += message.payload
        if len(self._within) > MOST_WORD:
            self.conn.close("a word without end")
        elif message.last:
            data, self._within = bytes(self._within), bytearray()
            try:
                self.word(data)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.conn.close("a word that can't be read")

    def word(self, data: bytes) -> None:
        raise NotImplementedError

    # What a connection of its own tells.

    def connected(self, conn: Connection) -> None: ...

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Members):
            self.part(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} of a configuration")

    def writable(self, conn: Connection) -> None: ...

    def closed(self, conn: Connection, why: str) -> None: ...

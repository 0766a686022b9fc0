"""Connections that fetch configuration content, and that serve it to members who fetch."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cherrygrade.fleet.config.replica import (
    FetchRequest,
    FetchResponse,
)
from cherrygrade.fleet.runtime.framed_connection import FramedConnection
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Hello

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.config_exchange import ConfigExchange

FETCH_S = 1.5  # for a connection, and again for all that comes by it


class ConfigFetch(FramedConnection):
    """One fetch out."""

    def __init__(self, config: ConfigExchange, by: str, wanted: FetchRequest) -> None:
        super().__init__()
        self.config, self.by, self._wanted = config, by, wanted
        self._over = False
        self._timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    async def connect(self, to: tuple[str, int] | None, source: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            if to is None:
                raise OSError("it is not known where it is")
            async with asyncio.timeout(FETCH_S):
                await loop.create_connection(lambda: self.conn, *to, local_addr=(source, 0))
            self._timer = loop.call_later(FETCH_S, self.conn.abort, "no content in time")
        except OSError as refused:  # TimeoutError among them
            self.end(f"no stream: {refused.strerror or refused or 'no answer in time'}")

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "config", self.config.core.name, [self.config.fleet]))
        self.say(msgspec.msgpack.encode(self._wanted))

    def word(self, data: bytes) -> None:
        gave = msgspec.msgpack.decode(data, type=FetchResponse)
        if not self._over:
            self._finish()
            self.config.fetched(self.by, gave, len(data))
        self.conn.close("fetched")

    def closed(self, conn: Connection, why: str) -> None:
        self.end(f"its stream ended: {why}")

    def end(self, why: str) -> None:
        """Nothing came of it."""
        if not self._over:
            self._finish()
            self.config.unfetched(self.by, why)

    def close(self) -> None:
        self._finish()
        if self.task is not None:
            self.task.cancel()
        self.conn.abort("dispatcher leaves")

    def _finish(self) -> None:
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        self.config.fetches.pop(self, None)


class ConfigServer(FramedConnection):
    """One that fetches from here; the agent's stream hands its frames on."""

    def __init__(self, config: ConfigExchange, conn: Connection) -> None:
        super().__init__(conn)
        self.config, self._serves = config, False
        self._timer = asyncio.get_running_loop().call_later(FETCH_S, conn.abort, "no fetch in time")

    def word(self, data: bytes) -> None:
        wanted = msgspec.msgpack.decode(data, type=FetchRequest)
        replica = self.config.replica
        if replica is None or self._serves:
            self.conn.close("nothing to fetch")
            return
        gave = replica.wanted(wanted)
        self._serves = gave.content is not None
        word = msgspec.msgpack.encode(gave)
        self.config.given_bytes += len(word)
        self.say(word)

    def closed(self, conn: Connection, why: str) -> None:
        self._timer.cancel()
        self.config.givers.pop(self, None)
        if self._serves and self.config.replica is not None:
            self._serves = False
            self.config.replica.served()

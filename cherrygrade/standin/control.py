"""The laboratory's connection to a stand-in: commands in, done or an error back. Outlives its crashes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Control, Done, Hello, Welcome


class ControlDoor:
    """Owner of one control connection; `act(command, values)` gives the text of Done."""

    def __init__(self, act: Callable[[str, dict[str, Any]], str | None]) -> None:
        self._act = act
        self.conn = Connection(self, 0)

    def connected(self, conn: Connection) -> None:
        pass

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        if isinstance(message, Hello):
            conn.send(Welcome(VERSION, "control"))
        elif isinstance(message, Control):
            try:
                conn.send(Done(self._act(message.command, message.values) or ""))
            except (KeyError, ValueError, TypeError) as trouble:
                conn.close(f"{message.command}: {type(trouble).__name__} {trouble}")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        pass


async def open_control(address: str, act: Callable[[str, dict[str, Any]], str | None]) -> asyncio.Server:
    host, _, port = address.rpartition(":")
    return await asyncio.get_running_loop().create_server(lambda: ControlDoor(act).conn, host, int(port))


def port_of(server: asyncio.Server | None) -> int:
    return 0 if server is None else int(server.sockets[0].getsockname()[1])


class Controller:
    """The laboratory's side."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.conn = Connection(self, 0)
        self._waits: list[asyncio.Future[str]] = []

    async def connect(self, patience_s: float = 10.0) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        until = loop.time() + patience_s
        while True:
            try:
                await loop.create_connection(lambda: self.conn, host, int(port))
                return
            except OSError:
                if loop.time() > until:
                    raise
                await asyncio.sleep(0.05)

    async def say(self, command: str, **values: float | str) -> str:
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._waits.append(future)
        self.conn.send(Control(command, values))
        return await future

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "lab", "lab"))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        if isinstance(message, Done) and self._waits:
            self._waits.pop(0).set_result(message.text)

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        for future in self._waits:
            if not future.done():
                future.set_exception(ConnectionError(why))

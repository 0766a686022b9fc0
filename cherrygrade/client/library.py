"""`Client`: reads and writes through one dispatcher, each with one answer inside its deadline.

An answer is `Ok`, `Rejected` (trying again is harmless; not before `come_back_ms`) or `Errored` (promises
nothing: it may have run). The library sends an RPC once; whether to try again is its caller's, who knows
what a second run would do. Lost connections are made anew with growing waits, spread by chance.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.transport.connection import Connection
from cherrygrade.wire import messages as wire

CONNECT_MS = 1000.0


@dataclass(frozen=True, slots=True)
class Ok:
    """Shard: which took or held the bytes; -1 where the service did not tell."""

    body: bytes | bytearray | memoryview = b""
    shard: int = -1


@dataclass(frozen=True, slots=True)
class Rejected:
    come_back_ms: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Errored:
    reason: str = ""


Answer = Ok | Rejected | Errored


class Client:
    """`async with Client("127.0.0.1:7400", "ticketing-1") as client: await client.read(...)`.

    `told(event, id, **facts)` is called for each RPC sent and each answer got: the laboratory's record.
    """

    def __init__(
        self,
        address: str,
        name: str,
        most_body: int = 16 * 1024 * 1024,
        told: Callable[..., None] | None = None,
    ) -> None:
        self.address, self.name, self.most_body = address, name, most_body
        self._told = told
        self._ids = itertools.count(1)
        self._open: dict[
            int, tuple[asyncio.Future[Answer], Connection]
        ] = {}  # emptied by answers, deadlines, lost lines
        self._lengths: dict[int, int] = {}  # of open reads; emptied with them
        self._parts: dict[int, bytearray] = {}  # what came of them so far; emptied with them
        self._conn: Connection | None = None
        self._retired: set[Connection] = set()  # told to leave; closed once nothing is open there
        self._ready: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._backoff = Backoff(f"{name}>{address}")
        self._come_from = 0.0
        self._greeted = 0.0  # when the connection said hello, by the event loop
        self._closed = False

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *trouble: object) -> None:
        self.close()

    async def read(
        self,
        workload: str,
        volume: str,
        key: str = "",
        *,
        shard: int = -1,
        offset: int = 0,
        length: int,
        deadline_ms: float,
        repeat: bool = False,
    ) -> Answer:
        """`length` bytes from `offset`, within `deadline_ms` from now: of the volume as a byte range, or of
        the object `key` on `shard`."""

        def ask(id_: int, left: float, at: float) -> wire.Message:
            return wire.ReadRpc(id_, workload, volume, key, shard, offset, length, left, repeat, at)

        return await self._run(ask, None, deadline_ms, length)

    async def write(
        self,
        workload: str,
        volume: str,
        key: str,
        body: bytes | bytearray | memoryview,
        *,
        shard: int = -1,
        offset: int = 0,
        append: bool = False,
        token: bytes = b"",
        deadline_ms: float,
        repeat: bool = False,
    ) -> Answer:
        """Write at `offset`, or behind what is there; shard -1 makes a new object, the answer tells where."""

        def ask(id_: int, left: float, at: float) -> wire.Message:
            return wire.WriteRpc(id_, workload, volume, key, shard, offset, left, repeat, token, append, at)

        return await self._run(ask, body, deadline_ms)

    def close(self) -> None:
        """Close the connection; what is open is errored."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        for conn in [*self._retired, *([self._conn] if self._conn is not None else [])]:
            conn.close("client closes")
            self._lose(conn, "client closed")

    async def _run(
        self, ask: Callable[[int, float, float], wire.Message], body: Any, deadline_ms: float, length: int = 0
    ) -> Answer:
        loop = asyncio.get_running_loop()
        until = loop.time() + deadline_ms / 1000.0
        try:
            async with asyncio.timeout_at(until):
                conn = await self._connected()
        except TimeoutError:
            return Rejected(0.0, "no connection within the deadline")
        except ConnectionError as trouble:
            return Rejected(0.0, str(trouble))
        id_ = next(self._ids)
        future: asyncio.Future[Answer] = loop.create_future()
        self._open[id_] = (future, conn)
        if length:
            self._lengths[id_] = length
        left = (until - loop.time()) * 1000.0
        message = ask(id_, left, (loop.time() - self._greeted) * 1000.0)
        if self._told is not None:
            self._told("sent", id_, until=until * 1000.0, message=message, body=body)
        conn.send(message, body)
        timer = loop.call_at(until, self._late, id_)
        try:
            return await future
        finally:
            timer.cancel()
            self._lengths.pop(id_, None)
            self._parts.pop(id_, None)
            if self._open.pop(id_, None) is not None:  # the caller was cancelled
                conn.send(wire.Leave(id_))
                self._close_retired(conn)

    def _late(self, id_: int) -> None:
        future, conn = self._open.pop(id_, (None, None))
        if future is not None and conn is not None and not future.done():
            if self._told is not None:
                self._told("late", id_)
            conn.send(wire.Leave(id_))
            future.set_result(Errored("no answer within the deadline"))
            self._close_retired(conn)

    async def _connected(self) -> Connection:
        if self._closed:
            raise ConnectionError("client closed")
        if self._conn is None or not self._conn.open or self._ready is None:
            if self._task is None or self._task.done():
                self._ready = asyncio.get_running_loop().create_future()
                self._task = asyncio.get_running_loop().create_task(self._connect())
        assert self._ready is not None
        await asyncio.shield(self._ready)
        assert self._conn is not None
        return self._conn

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        while True:
            await asyncio.sleep(max(0.0, self._come_from - loop.time() * 1000.0) / 1000.0)
            conn = Connection(self, self.most_body)
            try:
                async with asyncio.timeout(CONNECT_MS / 1000.0):
                    await loop.create_connection(lambda made=conn: made, host, int(port))  # type: ignore[misc]
                    assert self._ready is not None
                    await asyncio.shield(self._ready)
                return
            except OSError:
                conn.abort("no welcome in time")
                self._come_from = self._backoff.record_failure(loop.time() * 1000.0)

    # What the connection tells.

    def connected(self, conn: Connection) -> None:
        self._greeted = asyncio.get_running_loop().time() - 0.001
        conn.send(wire.Hello(wire.VERSION, "client", self.name, ["parts"]))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray | memoryview | None:
        if isinstance(message, wire.Ok) and message.id in self._open:
            return bytearray(length)
        if isinstance(message, wire.Part) and message.id in self._lengths:
            whole = self._parts.get(message.id)
            if whole is None:
                whole = self._parts[message.id] = bytearray(self._lengths[message.id])
            if message.at + length <= len(whole):
                return memoryview(whole)[message.at : message.at + length]
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        if isinstance(message, wire.Welcome):
            self._conn = conn
            self._backoff.record_connected(asyncio.get_running_loop().time() * 1000.0)
            if self._ready is not None and not self._ready.done():
                self._ready.set_result(None)
            return
        if isinstance(message, wire.Leaving):
            # Nothing new goes this way; what is open gets its answers, then we close.
            if conn is self._conn:
                self._conn = self._ready = None
            self._come_from = max(
                self._come_from, asyncio.get_running_loop().time() * 1000.0 + message.come_back_ms
            )
            self._retired.add(conn)
            self._close_retired(conn)
            return
        if isinstance(message, wire.Bye):
            self._come_from = max(
                self._come_from, asyncio.get_running_loop().time() * 1000.0 + message.come_back_ms
            )
            return
        if isinstance(message, wire.Part):
            return  # its bytes are where they belong
        if not isinstance(message, wire.Ok | wire.Rejected | wire.Errored):
            conn.close(f"unexpected {type(message).__name__}")
            return
        if self._told is not None:
            self._told("answer", message.id, message=message, body=body)
        future, _ = self._open.pop(message.id, (None, None))
        if future is not None and not future.done():
            self._answer(future, message, body if body is not None else self._parts.get(message.id))
        self._close_retired(conn)

    def _answer(self, future: asyncio.Future[Answer], message: Any, body: Any) -> None:
        if isinstance(message, wire.Ok):
            future.set_result(Ok(b"" if body is None else body, message.shard))
        elif isinstance(message, wire.Rejected):
            future.set_result(Rejected(message.come_back_ms, message.reason))
        else:
            future.set_result(Errored(message.reason))

    def writable(self, conn: Connection) -> None:
        pass

    def _close_retired(self, conn: Connection) -> None:
        if conn in self._retired and not any(one is conn for _, one in self._open.values()):
            self._retired.discard(conn)
            conn.close("client leaves")

    def closed(self, conn: Connection, why: str) -> None:
        self._retired.discard(conn)
        if conn is self._conn:
            self._conn = self._ready = None
            now = asyncio.get_running_loop().time() * 1000.0
            self._come_from = max(self._come_from, self._backoff.record_failure(now))
        self._lose(conn, f"connection lost: {why}")

    def _lose(self, conn: Connection, reason: str) -> None:
        """What is open on it may have run, and no answer can come any more."""
        lost = [(id_, future) for id_, (future, one) in self._open.items() if one is conn]
        for id_, future in lost:
            del self._open[id_]
            if self._told is not None:
                self._told("lost", id_)
            if not future.done():
                future.set_result(Errored(reason))

"""`Client`: reads and writes through one dispatcher, each with one answer within its deadline.

The library sends each RPC once. Whether to retry is decided by the caller, who knows the effect of a second
run. After a connection was lost, the delay before the next one grows, and is spread so that clients do not
reconnect at once.
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
"""Time limit for connecting, including the Welcome of the dispatcher."""


@dataclass(frozen=True, slots=True)
class Ok:
    """The RPC succeeded.

    Attributes:
        body: The bytes of a read; b"" for a write.
        shard: The shard that stored or held the bytes; -1 if the service did not tell.
    """

    body: bytes | bytearray | memoryview = b""
    shard: int = -1


@dataclass(frozen=True, slots=True)
class Rejected:
    """The RPC was not carried out, so that a retry is safe.

    Attributes:
        come_back_ms: Delay before a retry, ms; 0 if none is given.
        reason: Why the RPC was rejected.
    """

    come_back_ms: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Errored:
    """The RPC failed, and may have taken effect.

    Attributes:
        reason: How the RPC failed.
    """

    reason: str = ""


Answer = Ok | Rejected | Errored


class Client:
    """A client of one dispatcher, which connects when the first RPC is sent.

    Use it as a context manager::

        async with Client("127.0.0.1:7400", "ticketing-1") as client:
            answer = await client.read(...)

    Attributes:
        address: host:port of the dispatcher.
        name: Name of the client.
        most_body: Maximum size of a received body, bytes.
    """

    def __init__(
        self,
        address: str,
        name: str,
        most_body: int = 16 * 1024 * 1024,
        told: Callable[..., None] | None = None,
    ) -> None:
        """Set up a client without connecting.

        Args:
            address: host:port of the dispatcher.
            name: Name of the client, by which the dispatcher knows it.
            most_body: Maximum size of a received body, bytes.
            told: Called as `told(event, id, **facts)` for each RPC that is sent, answered, late or lost, so
                that the laboratory can record them.
        """
        self.address, self.name, self.most_body = address, name, most_body
        self._told = told
        self._ids = itertools.count(1)
        # By id, RPCs without an answer; an entry is removed by the answer, the deadline or a lost connection.
        self._open: dict[int, tuple[asyncio.Future[Answer], Connection]] = {}
        # By id, the length of open reads, and the bytes of those that are answered in parts.
        self._lengths: dict[int, int] = {}
        self._parts: dict[int, bytearray] = {}
        self._conn: Connection | None = None
        # Connections that the dispatcher is about to close; they are closed here once no RPC is open on them.
        self._retired: set[Connection] = set()
        self._ready: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._backoff = Backoff(f"{name}>{address}")
        self._connect_from_ms = 0.0
        self._hello_at_s = 0.0  # when the Hello was sent, by the clock of the event loop
        self._closed = False

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
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
        """Read a byte range of a volume, or of the object `key` on `shard`.

        Args:
            workload: Name of the workload.
            volume: Name of the volume.
            key: Key of the object; "" to read from the volume.
            shard: Shard of the object; -1 if there is no key.
            offset: First byte to read.
            length: Number of bytes to read.
            deadline_ms: Time until an answer is of no more use, from now, ms.
            repeat: The caller has sent this read before.

        Returns:
            The answer.
        """

        def make_message(id_: int, remaining_ms: float, since_hello_ms: float) -> wire.Message:
            return wire.ReadRpc(
                id_, workload, volume, key, shard, offset, length, remaining_ms, repeat, since_hello_ms
            )

        return await self._run(make_message, None, deadline_ms, length)

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
        """Write to a byte range of a volume, or to an object.

        Args:
            workload: Name of the workload.
            volume: Name of the volume.
            key: Key of the object; "" to write to the volume.
            body: The bytes to write.
            shard: Shard of the object; -1 creates a new object, whose shard is in the answer.
            offset: Position of the first byte to write.
            append: Write at the end of the object instead.
            token: Idempotency key; b"" if there is none.
            deadline_ms: Time until an answer is of no more use, from now, ms.
            repeat: The caller has sent this write before.

        Returns:
            The answer.
        """

        def make_message(id_: int, remaining_ms: float, since_hello_ms: float) -> wire.Message:
            return wire.WriteRpc(
                id_, workload, volume, key, shard, offset, remaining_ms, repeat, token, append, since_hello_ms
            )

        return await self._run(make_message, body, deadline_ms)

    def close(self) -> None:
        """Close the connection; open RPCs are answered `Errored`."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        for conn in [*self._retired, *([self._conn] if self._conn is not None else [])]:
            conn.close("client closes")
            self._lose(conn, "client closed")

    async def _run(
        self,
        make_message: Callable[[int, float, float], wire.Message],
        body: Any,
        deadline_ms: float,
        length: int = 0,
    ) -> Answer:
        """Send an RPC and wait for its answer.

        Args:
            make_message: Makes the message from the id, the remaining time and the time since the Hello, ms.
            body: The bytes to write; None for a read.
            deadline_ms: Time until an answer is of no more use, from now, ms.
            length: Number of bytes to read; 0 for a write.

        Returns:
            The answer.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + deadline_ms / 1000.0
        try:
            async with asyncio.timeout_at(deadline_s):
                conn = await self._connected()
        except TimeoutError:
            return Rejected(0.0, "no connection within the deadline")
        except ConnectionError as error:
            return Rejected(0.0, str(error))
        id_ = next(self._ids)
        future: asyncio.Future[Answer] = loop.create_future()
        self._open[id_] = (future, conn)
        if length:
            self._lengths[id_] = length
        remaining_ms = (deadline_s - loop.time()) * 1000.0
        message = make_message(id_, remaining_ms, (loop.time() - self._hello_at_s) * 1000.0)
        if self._told is not None:
            self._told("sent", id_, until=deadline_s * 1000.0, message=message, body=body)
        conn.send(message, body)
        timer = loop.call_at(deadline_s, self._time_out, id_)
        try:
            return await future
        finally:
            timer.cancel()
            self._lengths.pop(id_, None)
            self._parts.pop(id_, None)
            if self._open.pop(id_, None) is not None:  # the caller was canceled
                conn.send(wire.Leave(id_))
                self._close_retired(conn)

    def _time_out(self, id_: int) -> None:
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
            await asyncio.sleep(max(0.0, self._connect_from_ms - loop.time() * 1000.0) / 1000.0)
            conn = Connection(self, self.most_body)
            try:
                async with asyncio.timeout(CONNECT_MS / 1000.0):
                    await loop.create_connection(lambda made=conn: made, host, int(port))  # type: ignore[misc]
                    assert self._ready is not None
                    await asyncio.shield(self._ready)
                return
            except OSError:
                conn.abort("no welcome in time")
                self._connect_from_ms = self._backoff.record_failure(loop.time() * 1000.0)

    # Methods that the connection calls.

    def connected(self, conn: Connection) -> None:
        """Greet the dispatcher."""
        self._hello_at_s = asyncio.get_running_loop().time() - 0.001
        conn.send(wire.Hello(wire.VERSION, "client", self.name, ["parts"]))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray | memoryview | None:
        """Return the buffer for the bytes of an open read; None to discard them."""
        if isinstance(message, wire.Ok) and message.id in self._open:
            return bytearray(length)
        if isinstance(message, wire.Part) and message.id in self._lengths:
            buffer = self._parts.get(message.id)
            if buffer is None:
                buffer = self._parts[message.id] = bytearray(self._lengths[message.id])
            if message.at + length <= len(buffer):
                return memoryview(buffer)[message.at : message.at + length]
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        """Handle a message of the dispatcher."""
        if isinstance(message, wire.Welcome):
            self._conn = conn
            self._backoff.record_connected(asyncio.get_running_loop().time() * 1000.0)
            if self._ready is not None and not self._ready.done():
                self._ready.set_result(None)
            return
        if isinstance(message, wire.Leaving):
            # No new RPC is sent on this connection; it is closed once the open ones are answered.
            if conn is self._conn:
                self._conn = self._ready = None
            self._connect_from_ms = max(
                self._connect_from_ms, asyncio.get_running_loop().time() * 1000.0 + message.come_back_ms
            )
            self._retired.add(conn)
            self._close_retired(conn)
            return
        if isinstance(message, wire.Bye):
            self._connect_from_ms = max(
                self._connect_from_ms, asyncio.get_running_loop().time() * 1000.0 + message.come_back_ms
            )
            return
        if isinstance(message, wire.Part):
            return  # its bytes were received into the buffer of the read
        if not isinstance(message, wire.Ok | wire.Rejected | wire.Errored):
            conn.close(f"unexpected {type(message).__name__} from a dispatcher")
            return
        if self._told is not None:
            self._told("answer", message.id, message=message, body=body)
        future, _ = self._open.pop(message.id, (None, None))
        if future is not None and not future.done():
            received = body if body is not None else self._parts.get(message.id)
            self._answer(future, message, b"" if received is None else received)
        self._close_retired(conn)

    def _answer(self, future: asyncio.Future[Answer], message: Any, body: Any) -> None:
        if isinstance(message, wire.Ok):
            length = self._lengths.get(message.id, 0)
            if len(body) == length:
                future.set_result(Ok(body, message.shard))
            else:
                future.set_result(Errored(f"{len(body)} bytes received of a read of {length} bytes"))
        elif isinstance(message, wire.Rejected):
            future.set_result(Rejected(message.come_back_ms, message.reason))
        else:
            future.set_result(Errored(message.reason))

    def writable(self, conn: Connection) -> None:
        """Do nothing: RPCs are sent even if the connection is full."""

    def _close_retired(self, conn: Connection) -> None:
        if conn in self._retired and not any(one is conn for _, one in self._open.values()):
            self._retired.discard(conn)
            conn.close("client closes a connection that the dispatcher leaves")

    def closed(self, conn: Connection, why: str) -> None:
        """Answer the open RPCs of a lost connection, and delay the next connection."""
        self._retired.discard(conn)
        if conn is self._conn:
            self._conn = self._ready = None
            now = asyncio.get_running_loop().time() * 1000.0
            self._connect_from_ms = max(self._connect_from_ms, self._backoff.record_failure(now))
        self._lose(conn, f"connection lost: {why}")

    def _lose(self, conn: Connection, reason: str) -> None:
        """Answer `Errored` to the RPCs that are open on the connection: they may have run."""
        lost = [(id_, future) for id_, (future, one) in self._open.items() if one is conn]
        for id_, future in lost:
            del self._open[id_]
            if self._told is not None:
                self._told("lost", id_)
            if not future.done():
                future.set_result(Errored(reason))

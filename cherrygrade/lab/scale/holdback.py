"""An event loop whose sockets between members feel the plan's ways: words wait, are lost, do not pass.

The product's code runs on it unchanged. Of two hollow members the sender's process holds a word back; of a
real one and a hollow one the hollow one's does, in both directions. What a member sends and gets is counted
here, by its address, and what passes is noted for the audit.
"""

from __future__ import annotations

import asyncio
from array import array
from collections import deque
from collections.abc import Callable
from time import perf_counter
from typing import Any, BinaryIO

from cherrygrade.fleet.membership.messages import message_tag
from cherrygrade.lab.scale.plan import Ways, number_of
from cherrygrade.lab.scale.watch import Watch
from cherrygrade.standin.emulated_network import ENTRY_HEADER

SHUT_S = 0.05  # a stream that is cut is looked at again after this
COUNTS = (
    "sent", "sent_bytes", "got", "got_bytes", "stream_sent_bytes", "stream_got_bytes", "streams",
    "words_got", "words_got_bytes",
)  # fmt: skip
SENT, SENT_BYTES, GOT, GOT_BYTES, STREAM_SENT, STREAM_GOT, STREAMS, WORDS, WORDS_BYTES = range(len(COUNTS))


class Between:
    """What this process knows of the ways; counts by member, and the notes."""

    def __init__(self, ways: Ways, real: int, log: BinaryIO | None) -> None:
        self.ways, self.real, self._log = ways, real, log
        self.counts: dict[int, array[int]] = {}
        self.watch = Watch()
        self.machinery_s = 0.0  # spent on noting: none of it is the members'

    def count(self, number: int, what: int, by: int = 1) -> None:
        counts = self.counts.get(number)
        if counts is None:
            counts = self.counts[number] = array("q", [0] * len(COUNTS))
        counts[what] += by

    def note(self, at: float, source: int, to: int, lost: bool, data: bytes) -> None:
        if self._log is None:
            return
        begun = perf_counter()
        if self.watch.passed(at, source, data):
            self._log.write(ENTRY_HEADER.pack(at, source, to, lost, len(data)) + data)
        self.machinery_s += perf_counter() - begun


class HeldDatagrams(asyncio.DatagramTransport):
    """What a member sends by."""

    def __init__(self, loop: HeldLoop, under: asyncio.DatagramTransport, me: int) -> None:
        super().__init__()
        self._loop, self._under, self._me = loop, under, me

    def sendto(self, data: Any, addr: Any = None) -> None:
        between, loop = self._loop.between, self._loop
        to = number_of(addr[0])
        between.count(self._me, SENT)
        between.count(self._me, SENT_BYTES, len(data))
        if to < 0:
            self._under.sendto(data, addr)
            return
        after = between.ways.fate(self._me, to)
        between.note(loop.time() * 1000.0, self._me, to, after < 0.0, data)
        if after > 0.0:
            loop.call_later(after / 1000.0, self._late, data, addr)
        elif after == 0.0:
            self._under.sendto(data, addr)

    def _late(self, data: bytes, addr: Any) -> None:
        if not self._under.is_closing():
            self._under.sendto(data, addr)

    def close(self) -> None:
        self._under.close()

    def abort(self) -> None:
        self._under.abort()

    def is_closing(self) -> bool:
        return self._under.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._under.get_extra_info(name, default)


class HeldEar(asyncio.DatagramProtocol):
    """What a member hears by: from real ones words wait here."""

    def __init__(self, loop: HeldLoop, inner: asyncio.DatagramProtocol, me: int) -> None:
        self._loop, self._inner, self._me = loop, inner, me
        self.held: HeldDatagrams | None = None

    def connection_made(self, transport: Any) -> None:
        self.held = HeldDatagrams(self._loop, transport, self._me)
        self._inner.connection_made(self.held)

    def connection_lost(self, exc: Exception | None) -> None:
        self._inner.connection_lost(exc)

    def error_received(self, exc: Exception) -> None:
        self._inner.error_received(exc)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        loop, between = self._loop, self._loop.between
        source = number_of(addr[0])
        if 0 <= source < between.real:
            after = between.ways.fate(source, self._me)
            between.note(loop.time() * 1000.0, source, self._me, after < 0.0, data)
            if after < 0.0:
                return
            if after > 0.0:
                loop.call_later(after / 1000.0, self._hear, data, addr)
                return
        self._hear(data, addr)

    def _hear(self, data: bytes, addr: Any) -> None:
        if self.held is None or self.held.is_closing():
            return
        words = message_tag(data) == b"w"  # of modules: what they say is no talk of the fleet's own
        self._loop.between.count(self._me, WORDS if words else GOT)
        self._loop.between.count(self._me, WORDS_BYTES if words else GOT_BYTES, len(data))
        self._inner.datagram_received(data, addr)


class Queue:
    """Pieces of a stream in their order, each so late; while the way is cut, none."""

    def __init__(self, loop: HeldLoop, one: int, other: int) -> None:
        self._loop, self._one, self._other = loop, one, other
        self._delay_s = loop.between.ways.delay(one, other) / 1000.0
        self._pieces: deque[tuple[float, Callable[..., None], tuple[Any, ...]]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def empty(self) -> bool:
        return not self._pieces

    def put(self, act: Callable[..., None], *parts: Any) -> None:
        if not (self._delay_s or self._pieces or self._shut()):
            act(*parts)
            return
        self._pieces.append((self._loop.time() + self._delay_s, act, parts))
        if self._timer is None:
            self._timer = self._loop.call_later(self._delay_s, self._go)

    def _shut(self) -> bool:
        ways = self._loop.between.ways
        return bool(ways.cuts) and ways.shut(self._one, self._other)

    def _go(self) -> None:
        self._timer = None
        if self._shut():
            self._timer = self._loop.call_later(SHUT_S, self._go)
            return
        now = self._loop.time() + 0.0005
        while self._pieces and self._pieces[0][0] <= now:
            _, act, parts = self._pieces.popleft()
            act(*parts)
        if self._pieces:
            self._timer = self._loop.call_at(self._pieces[0][0], self._go)

    def drop(self) -> None:
        self._pieces.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HeldStream(asyncio.Transport, asyncio.Protocol):
    """Stands between a socket and the product's connection: transport to one, protocol to the other."""

    def __init__(self, loop: HeldLoop, inner: Any, me: int, peer: int = -1) -> None:
        asyncio.Transport.__init__(self)
        self._loop, self.inner, self._me, self._peer = loop, inner, me, peer
        self._under: asyncio.Transport | None = None
        self._out: Queue | None = None
        self._in: Queue | None = None

    # The socket's side.

    def connection_made(self, transport: Any) -> None:
        self._under = transport
        if self._peer < 0:
            name = transport.get_extra_info("peername")
            self._peer = number_of(name[0]) if name else -1
        if self._peer >= 0:
            self._out = Queue(self._loop, self._me, self._peer)
            if self._peer < self._loop.between.real:
                self._in = Queue(self._loop, self._peer, self._me)
        self._loop.between.count(self._me, STREAMS)
        self.inner.connection_made(self)

    def data_received(self, data: bytes) -> None:
        self._loop.between.count(self._me, STREAM_GOT, len(data))
        if self._in is not None:
            self._in.put(self._feed, data)
        else:
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        if not isinstance(self.inner, asyncio.BufferedProtocol):
            self.inner.data_received(data)
            return
        rest = memoryview(data)
        while rest:
            place: Any = self.inner.get_buffer(len(rest))
            size = min(len(place), len(rest))
            place[:size] = rest[:size]
            rest = rest[size:]
            self.inner.buffer_updated(size)

    def eof_received(self) -> bool:
        if self._in is not None and not self._in.empty:
            self._in.put(self._eof)
            return True
        return bool(self.inner.eof_received())

    def _eof(self) -> None:
        if not self.inner.eof_received():
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._out is not None:
            self._out.drop()
        if self._in is not None and not self._in.empty:
            self._in.put(self._lost, exc)
        else:
            self._lost(exc)

    def _lost(self, exc: Exception | None) -> None:
        self._loop.between.count(self._me, STREAMS, -1)
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()

    # The product's side.

    def write(self, data: Any) -> None:
        self._loop.between.count(self._me, STREAM_SENT, len(data))
        assert self._under is not None
        if self._out is None:
            self._under.write(data)
        else:
            self._out.put(self._write, bytes(data))

    def _write(self, data: bytes) -> None:
        if self._under is not None and not self._under.is_closing():
            self._under.write(data)

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def close(self) -> None:
        assert self._under is not None
        if self._out is None or self._out.empty:
            self._under.close()
        else:
            self._out.put(self._under.close)

    def abort(self) -> None:
        assert self._under is not None
        for queue in (self._out, self._in):
            if queue is not None:
                queue.drop()
        self._under.abort()

    def is_closing(self) -> bool:
        return self._under is None or self._under.is_closing()

    def is_reading(self) -> bool:
        return self._under is not None and self._under.is_reading()

    def pause_reading(self) -> None:
        assert self._under is not None
        self._under.pause_reading()

    def resume_reading(self) -> None:
        assert self._under is not None
        self._under.resume_reading()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert self._under is not None
        self._under.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        return 0 if self._under is None else self._under.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        assert self._under is not None
        return self._under.get_write_buffer_limits()

    def can_write_eof(self) -> bool:
        return self._under is not None and self._under.can_write_eof()

    def write_eof(self) -> None:
        assert self._under is not None
        self._under.write_eof()

    def set_protocol(self, protocol: Any) -> None:
        self.inner = protocol

    def get_protocol(self) -> Any:
        return self.inner

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default if self._under is None else self._under.get_extra_info(name, default)


class HeldLoop(asyncio.SelectorEventLoop):
    """Sockets that are bound to a member's address are held back; all others are as they are."""

    def __init__(self) -> None:
        super().__init__()
        self._between: Between | None = None

    @property
    def between(self) -> Between:
        assert self._between is not None
        return self._between

    @between.setter
    def between(self, between: Between) -> None:
        self._between = between

    async def create_datagram_endpoint(
        self,
        protocol_factory: Callable[[], Any],
        local_addr: Any = None,
        remote_addr: Any = None,
        **more: Any,
    ) -> tuple[Any, Any]:
        me = number_of(local_addr[0]) if local_addr else -1
        if me < 0:
            return await super().create_datagram_endpoint(protocol_factory, local_addr, remote_addr, **more)
        inner = protocol_factory()
        _, ear = await super().create_datagram_endpoint(lambda: HeldEar(self, inner, me), local_addr, **more)
        return ear.held, inner

    async def create_connection(
        self,
        protocol_factory: Callable[[], Any],
        host: Any = None,
        port: Any = None,
        *,
        local_addr: Any = None,
        **more: Any,
    ) -> tuple[Any, Any]:
        me = number_of(local_addr[0]) if local_addr else -1
        if me < 0:
            return await super().create_connection(
                protocol_factory, host, port, local_addr=local_addr, **more
            )
        peer = number_of(host)
        if peer >= 0:
            ways = self.between.ways
            while ways.shut(me, peer):  # nobody answers; who waits ends it by time
                await asyncio.sleep(SHUT_S)
            if delay := ways.delay(me, peer):
                await asyncio.sleep(2.0 * delay / 1000.0)  # there and back, before anything goes
        made: list[HeldStream] = []

        def factory() -> HeldStream:
            made.append(HeldStream(self, protocol_factory(), me, peer))
            return made[-1]

        await super().create_connection(factory, host, port, local_addr=local_addr, **more)
        return made[-1], made[-1].inner

    async def create_server(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **more: Any
    ) -> asyncio.Server:
        sock = more.get("sock")
        address = sock.getsockname()[0] if sock is not None else host
        me = number_of(address) if isinstance(address, str) else -1
        if me < 0:
            return await super().create_server(protocol_factory, host, port, **more)
        return await super().create_server(
            lambda: HeldStream(self, protocol_factory(), me), host, port, **more
        )

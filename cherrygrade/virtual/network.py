"""The network of a virtual loop: listeners, connections between processes, and what goes wrong on the way.

Transports keep to the contract of `asyncio.BufferedProtocol`. Chance comes from one seed, a generator a
part: a draw more in one leaves the others as they were.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import copy_context
from dataclasses import dataclass
from typing import Any

import numpy

from cherrygrade.virtual.datagrams import DatagramConditions, VirtualDatagrams
from cherrygrade.virtual.link import Link
from cherrygrade.virtual.loop import CURRENT, Process, VirtualLoop


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """What a way between two processes is like. Ms; parts of pieces."""

    delay_ms: float = 0.05
    jitter_ms: float = 0.05
    bytes_per_ms: float = 1_000_000.0
    buffer_bytes: int = 256 * 1024
    loss_probability: float = (
        0.0  # of pieces, that come a while later, as a loss does on a line that sends again
    )
    retransmit_ms: float = 200.0
    partial_read_probability: float = 0.1  # of reads, that bring a part of what lies there


class RandomStreams:
    """A generator for each part, from one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._parts: dict[str, numpy.random.Generator] = {}

    def part(self, name: str) -> numpy.random.Generator:
        made = self._parts.get(name)
        if made is None:
            key = [self.seed, *name.encode()]
            made = self._parts[name] = numpy.random.Generator(numpy.random.PCG64(key))
        return made


class _Name:
    """In a socket's place, for who asks a server where it listens."""

    def __init__(self, host: str, port: int) -> None:
        self._at = (host, port)

    def getsockname(self) -> tuple[str, int]:
        return self._at


class Listener:
    """In a server's place. Who connects is accepted when its process gets to it."""

    def __init__(self, network: Network, factory: Callable[[], Any], host: str, port: int) -> None:
        self.network, self.factory, self.at = network, factory, f"{host}:{port}"
        self.process, self.context = CURRENT.get(), copy_context()
        self.sockets = [_Name(host, port)]

    def close(self) -> None:
        if self.network.listeners.get(self.at) is self:
            del self.network.listeners[self.at]

    async def wait_closed(self) -> None:
        pass


class Network:
    """`cuts` holds pairs of process names between which nothing moves; it comes once they are mended."""

    def __init__(self, loop: VirtualLoop, seed: int, link_conditions: LinkConditions | None = None) -> None:
        self.loop, self.link_conditions, self.random_streams = (
            loop,
            link_conditions or LinkConditions(),
            RandomStreams(seed),
        )
        self.listeners: dict[str, Listener] = {}
        self.transports: dict[VirtualTransport, None] = {}  # until their connection is lost
        self.partitions: set[frozenset[str]] = set()
        self.blocked_datagram_paths: set[tuple[str, str]] = set()  # ways that carry no datagrams: from, to
        self.datagrams: dict[tuple[str, int], Any] = {}  # by place; until closed, or their process ends
        self.datagrams_sent = self.datagram_bytes = 0
        self._ports = 20000
        self.datagram_conditions: DatagramConditions | None = None
        loop.network = self

    def now_ms(self) -> float:
        return self.loop.time() * 1000.0

    def listen(self, factory: Callable[[], Any], host: str, port: int | str) -> Listener:
        number = int(port)
        if not number:
            self._ports += 1
            number = self._ports
        listener = Listener(self, factory, host, number)
        if listener.at in self.listeners:
            raise OSError(98, f"{listener.at} is taken")
        self.listeners[listener.at] = listener
        return listener

    def bind(self, place: tuple[str, int], protocol: Any) -> Any:
        """For datagrams; `rain` says what becomes of them."""
        if place in self.datagrams:
            raise OSError(98, f"{place} is taken")
        return VirtualDatagrams(self, self.datagram_conditions or DatagramConditions(), place, protocol)

    def delay(self, part: str) -> float:
        """Of one piece on its way."""
        air, draw = self.link_conditions, self.random_streams.part(part)
        jitter = air.jitter_ms * float(draw.random()) if air.jitter_ms else 0.0
        lost = air.retransmit_ms if air.loss_probability and draw.random() < air.loss_probability else 0.0
        return air.delay_ms + jitter + lost

    async def connect(self, factory: Callable[[], Any], at: str) -> tuple[Any, Any]:
        """One way there and one back; a listener in a process that stands still greets all the same."""
        ours = CURRENT.get()
        await asyncio.sleep(self.delay("connect") / 1000.0)
        listener = self.listeners.get(at)
        theirs = listener.process if listener else None
        pair = frozenset((ours.name if ours else "", theirs.name if theirs else ""))
        while pair in self.partitions or self.is_partitioned(
            *[end.name if end else "" for end in (ours, theirs)]
        ):
            await asyncio.sleep(0.05)
        if listener is None or (theirs is not None and not theirs.alive):
            await asyncio.sleep(self.delay("connect") / 1000.0)
            raise ConnectionRefusedError(111, f"nobody listens at {at}")
        self._ports += 1
        host = at.rpartition(":")[0]
        near = VirtualTransport(self, ours, (host, int(at.rpartition(":")[2])), f"{self._ports}>")
        far = VirtualTransport(self, theirs, (host, self._ports), f"{self._ports}<")
        near.peer, far.peer = far, near
        self.transports[near] = self.transports[far] = None
        self.loop.call_soon(far.begin, listener.factory, context=listener.context.copy())
        await asyncio.sleep(self.delay("connect") / 1000.0)
        protocol = near.begin(factory)
        return near, protocol

    def is_partitioned(self, one: str, other: str) -> bool:
        """Whether nothing gets from one process to the other."""
        return frozenset((one, other)) in self.partitions or (one, other) in self.blocked_datagram_paths

    def partition(self, one: str, other: str) -> None:
        self.partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        pair = frozenset((one, other))
        self.partitions.discard(pair)
        for transport in self.transports:
            if transport.pair == pair:
                transport.move_on()

    def kill(self, process: Process) -> None:
        """The process is gone: its listeners with it, and whoever it was connected to hears the end."""
        process.end()
        for listener in [*self.listeners.values()]:
            if listener.process is process:
                listener.close()
        for place, end in [*self.datagrams.items()]:
            if end.process is process:
                del self.datagrams[place]
        for transport in [*self.transports]:
            if transport.process is process:
                transport.vanish()


class VirtualTransport(asyncio.Transport):
    """One end of a connection. `inbox` is emptied by the protocol's reading; `road`, what is on its way to
    the other end, by arrivals: in the order in which it left, whichever timer comes first."""

    def __init__(
        self, network: Network, process: Process | None, peername: tuple[str, int], part: str
    ) -> None:
        super().__init__({"peername": peername})
        self.network, self.process, self.part = network, process, part
        self.context = process.context() if process else copy_context()
        air = network.link_conditions
        self.link = Link(air.bytes_per_ms, air.buffer_bytes)
        self.peer: VirtualTransport = self
        self.inbox: deque[memoryview] = deque()
        self.road: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._due = 0  # timers for what is on the road
        self._protocol: Any = None
        self._reading, self._paused = True, False
        self._closing = self._lost = self._ended = self._busy = self._finished = False

    @property
    def pair(self) -> frozenset[str]:
        names = [end.process.name if end.process else "" for end in (self, self.peer)]
        return frozenset(names)

    def begin(self, factory: Callable[[], Any]) -> Any:
        self._protocol = factory()
        self._protocol.connection_made(self)
        self._deliver()
        return self._protocol

    # What the protocol's owner calls.

    def write(self, data: Any) -> None:
        if self._closing or self._lost:
            return
        self.link.write(bytes(data))
        self.pump()
        if self.link.waiting_bytes and not self._paused:
            self._paused = True
            self._protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        return self.link.waiting_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass  # whatever waits at all is too much, as the gateway asks for

    def is_reading(self) -> bool:
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        self._reading = True
        self.network.loop.call_soon(self._deliver, context=self.context)

    def is_closing(self) -> bool:
        return self._closing or self._lost

    def close(self) -> None:
        if not (self._closing or self._lost):
            self._closing = True
            self.inbox.clear()
            self.pump()

    def abort(self) -> None:
        if not self._lost:
            self._closing = True
            self.link.drop()
            self._tell(self.peer.reset)
            self._lose(None)

    # What the other end brings.

    def pump(self) -> None:
        """Give the network what it takes; what closes ends once all has left."""
        while not self._lost:
            taken = self.link.next_piece(self.network.now_ms(), self.network.delay(self.part))
            if taken is None:
                break
            self._carry(taken[0], self.peer.landed, taken[1])
        if self._lost or self.link.waiting_bytes:
            return
        if self._closing:
            self._tell(self.peer.ended)
            self._lose(None)
        elif self._paused:
            self._paused = False
            self._protocol.resume_writing()

    def landed(self, piece: memoryview) -> None:
        if self._lost or self._closing:  # nobody reads here any more, and the system says so
            self._tell(self.peer.reset)
            return
        self.inbox.append(piece)
        self._deliver()

    def ended(self) -> None:
        """The other end closed, behind all that it wrote."""
        self._ended = True
        self._deliver()

    def reset(self) -> None:
        if not self._lost:
            self._closing = True
            self.link.drop()
            self._lose(ConnectionResetError(104, "connection reset by peer"))

    def vanish(self) -> None:
        """Its process died: nothing is told here, the other end hears of it."""
        self._lost = True
        self._tell(self.peer.reset)
        self.network.transports.pop(self, None)

    def _tell(self, act: Callable[[], None]) -> None:
        self._carry(self.link.arrival(self.network.now_ms(), self.network.delay(self.part)), act)

    def _carry(self, at_ms: float, act: Callable[..., None], *args: Any) -> None:
        self.road.append((act, args))
        self._due += 1
        self.network.loop.call_at(at_ms / 1000.0, self._come, context=self.peer.context)

    def _come(self) -> None:
        self._due -= 1
        if self.pair not in self.network.partitions:  # else it stays on the road until that is mended
            act, args = self.road.popleft()
            act(*args)

    def move_on(self) -> None:
        for _ in range(len(self.road) - self._due):
            self._due += 1
            at = self.link.arrival(self.network.now_ms(), self.network.delay(self.part))
            self.network.loop.call_at(at / 1000.0, self._come, context=self.peer.context)

    def _lose(self, why: Exception | None) -> None:
        self._lost = True
        self.inbox.clear()
        self.network.transports.pop(self, None)
        if self._protocol is not None:
            self.network.loop.call_soon(self._protocol.connection_lost, why, context=self.context)

    def _deliver(self) -> None:
        if self._busy or self._protocol is None:
            return
        self._busy, draw = True, self.network.random_streams.part(self.part + "read")
        try:
            while self.inbox and self._reading and not (self._closing or self._lost):
                piece = self.inbox[0]
                buffer = memoryview(self._protocol.get_buffer(-1))
                size = min(len(buffer), len(piece))
                if size > 1 and draw.random() < self.network.link_conditions.partial_read_probability:
                    size = int(draw.integers(1, size))
                buffer[:size] = piece[:size]
                if size == len(piece):
                    self.inbox.popleft()
                else:
                    self.inbox[0] = piece[size:]
                peer = self.peer
                peer.link.read(size)
                if peer.link.waiting_bytes and not peer._lost:
                    at = self.network.now_ms() + self.network.link_conditions.delay_ms
                    self.network.loop.call_at(at / 1000.0, peer.pump, context=peer.context)
                self._protocol.buffer_updated(size)
        finally:
            self._busy = False
        if self._ended and not self.inbox and not (self._closing or self._lost or self._finished):
            self._finished = True
            if not self._protocol.eof_received():
                self.close()

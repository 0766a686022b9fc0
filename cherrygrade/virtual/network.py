"""The simulated network of a virtual loop: listeners, connections between processes, delays and partitions.

Transports serve protocols of the kind `asyncio.BufferedProtocol`. All random numbers come from one seed. Each
connection and each use has a generator of its own, so an additional draw in one does not change the others.
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
    """Delay, bandwidth and faults of the connections between processes.

    Attributes:
        delay_ms: Least delay of a piece, ms.
        jitter_ms: Greatest random delay that is added to it, ms.
        bytes_per_ms: Bandwidth of each direction of a connection.
        buffer_bytes: Number of bytes that may be in transit or unread in each direction of a connection.
        loss_probability: Part of the pieces that are lost once and arrive after a retransmission, 0 to 1.
        retransmit_ms: Additional delay of a piece that is lost, ms.
        partial_read_probability: Part of the reads that return only some of the bytes that arrived, 0 to 1.
    """

    delay_ms: float = 0.05
    jitter_ms: float = 0.05
    bytes_per_ms: float = 1_000_000.0
    buffer_bytes: int = 256 * 1024
    loss_probability: float = 0.0
    retransmit_ms: float = 200.0
    partial_read_probability: float = 0.1


class RandomStreams:
    """Random generators from one seed, one for each name.

    Attributes:
        seed: The seed of all generators.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._generators: dict[str, numpy.random.Generator] = {}

    def generator(self, name: str) -> numpy.random.Generator:
        """Return the generator of this name; its numbers depend on the seed and the name alone."""
        generator = self._generators.get(name)
        if generator is None:
            key = [self.seed, *name.encode()]
            generator = self._generators[name] = numpy.random.Generator(numpy.random.PCG64(key))
        return generator


class _ListeningSocket:
    """Stands for a server's socket; it can only report the address."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)

    def getsockname(self) -> tuple[str, int]:
        """Return host and port."""
        return self._address


class Listener:
    """A server that accepts connections, in place of `asyncio.Server`.

    A connection to a paused process is accepted when the process resumes.

    Attributes:
        address: `host:port`.
        process: The process that listens; None for the simulation itself.
        sockets: One object that reports the address, as for `asyncio.Server`.
    """

    def __init__(self, network: Network, factory: Callable[[], Any], host: str, port: int) -> None:
        self.network, self.factory, self.address = network, factory, f"{host}:{port}"
        self.process, self.context = CURRENT.get(), copy_context()
        self.sockets = [_ListeningSocket(host, port)]

    def close(self) -> None:
        """Stop listening and free the address; accepted connections stay open."""
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]

    async def wait_closed(self) -> None:
        """Return at once, because `close` leaves nothing to wait for."""
        pass


class Network:
    """Listeners, connections and datagram transports of all simulated processes.

    Attributes:
        loop: The event loop that the network belongs to.
        link_conditions: Delay, bandwidth and faults of connections.
        random_streams: The random generators.
        listeners: Listener for each address `host:port`.
        transports: Both ends of all connections; an end is removed when it is disconnected.
        partitions: Pairs of process names that are partitioned from each other. Bytes on their connections
            arrive once the partition is healed; datagrams are dropped.
        blocked_datagram_paths: Pairs of a sender's and a receiver's name; datagrams from the first to the
            second are dropped, and connections from the first to the second wait.
        datagrams: Datagram transport for each address, until it is closed or its process is killed.
        datagrams_sent: Number of datagrams sent, lost ones included.
        datagram_bytes: Number of bytes in them.
        datagram_conditions: Loss, duplication and delay for datagram transports that are bound from now on;
            None for the defaults.
    """

    def __init__(self, loop: VirtualLoop, seed: int, link_conditions: LinkConditions | None = None) -> None:
        self.loop, self.link_conditions, self.random_streams = (
            loop,
            link_conditions or LinkConditions(),
            RandomStreams(seed),
        )
        self.listeners: dict[str, Listener] = {}
        self.transports: dict[VirtualTransport, None] = {}
        self.partitions: set[frozenset[str]] = set()
        self.blocked_datagram_paths: set[tuple[str, str]] = set()
        self.datagrams: dict[tuple[str, int], Any] = {}
        self.datagrams_sent = self.datagram_bytes = 0
        self._last_port = 20000
        self.datagram_conditions: DatagramConditions | None = None
        loop.network = self

    def now_ms(self) -> float:
        """Return the virtual time, ms."""
        return self.loop.time() * 1000.0

    def listen(self, factory: Callable[[], Any], host: str, port: int | str) -> Listener:
        """Listen at an address; port 0 means the next free port.

        Raises:
            OSError: If the address is in use.
        """
        number = int(port)
        if not number:
            self._last_port += 1
            number = self._last_port
        listener = Listener(self, factory, host, number)
        if listener.address in self.listeners:
            raise OSError(98, f"{listener.address} is already in use")
        self.listeners[listener.address] = listener
        return listener

    def bind(self, address: tuple[str, int], protocol: Any) -> Any:
        """Bind a datagram transport, which has the conditions in `datagram_conditions`.

        Raises:
            OSError: If the address is in use.
        """
        if address in self.datagrams:
            raise OSError(98, f"{address} is already in use")
        return VirtualDatagrams(self, self.datagram_conditions or DatagramConditions(), address, protocol)

    def draw_delay_ms(self, stream: str) -> float:
        """Draw the delay of one piece, ms, from the random generator of this name."""
        conditions, rng = self.link_conditions, self.random_streams.generator(stream)
        jitter_ms = conditions.jitter_ms * float(rng.random()) if conditions.jitter_ms else 0.0
        loss_ms = (
            conditions.retransmit_ms
            if conditions.loss_probability and rng.random() < conditions.loss_probability
            else 0.0
        )
        return conditions.delay_ms + jitter_ms + loss_ms

    async def connect(self, factory: Callable[[], Any], address: str) -> tuple[Any, Any]:
        """Connect the current process to a listener, which takes a round trip.

        As with a kernel's accept queue, this succeeds while the listening process is paused. Across a
        partition it waits until the partition is healed.

        Returns:
            The transport and its protocol.

        Raises:
            ConnectionRefusedError: If no live process listens at the address.
        """
        client = CURRENT.get()
        await asyncio.sleep(self.draw_delay_ms("connect") / 1000.0)
        listener = self.listeners.get(address)
        server = listener.process if listener else None
        pair = frozenset((client.name if client else "", server.name if server else ""))
        while pair in self.partitions or self.is_partitioned(
            *[end.name if end else "" for end in (client, server)]
        ):
            await asyncio.sleep(0.05)
        if listener is None or (server is not None and not server.alive):
            await asyncio.sleep(self.draw_delay_ms("connect") / 1000.0)
            raise ConnectionRefusedError(111, f"no listener at {address}")
        self._last_port += 1
        host = address.rpartition(":")[0]
        near = VirtualTransport(self, client, (host, int(address.rpartition(":")[2])), f"{self._last_port}>")
        far = VirtualTransport(self, server, (host, self._last_port), f"{self._last_port}<")
        near.peer, far.peer = far, near
        self.transports[near] = self.transports[far] = None
        self.loop.call_soon(far.start, listener.factory, context=listener.context.copy())
        await asyncio.sleep(self.draw_delay_ms("connect") / 1000.0)
        protocol = near.start(factory)
        return near, protocol

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Return whether datagrams from one process to the other are dropped."""
        return (
            frozenset((sender, receiver)) in self.partitions
            or (sender, receiver) in self.blocked_datagram_paths
        )

    def partition(self, one: str, other: str) -> None:
        """Partition two processes, given by name, from each other."""
        self.partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End the partition between two processes; bytes in transit between them arrive."""
        pair = frozenset((one, other))
        self.partitions.discard(pair)
        for transport in self.transports:
            if transport.process_names == pair:
                transport.resume_arrivals()

    def kill(self, process: Process) -> None:
        """Terminate a process, close its listeners and datagram transports, and reset its connections."""
        process.terminate()
        for listener in [*self.listeners.values()]:
            if listener.process is process:
                listener.close()
        for address, endpoint in [*self.datagrams.items()]:
            if endpoint.process is process:
                del self.datagrams[address]
        for transport in [*self.transports]:
            if transport.process is process:
                transport.process_killed()


class VirtualTransport(asyncio.Transport):
    """One end of a connection.

    What is sent arrives in the order in which it was sent, whichever arrival timer fires first.

    Attributes:
        process: The process at this end; None for the simulation itself.
        stream: Name of the random generator for the delays of this end.
        link: The direction from this end to the other.
        peer: The other end.
        inbox: Pieces that arrived here and were not read yet.
        in_transit: Pieces and notifications on the way to the other end: callbacks and their arguments.
    """

    def __init__(
        self, network: Network, process: Process | None, peername: tuple[str, int], stream: str
    ) -> None:
        super().__init__({"peername": peername})
        self.network, self.process, self.stream = network, process, stream
        self.context = process.context() if process else copy_context()
        conditions = network.link_conditions
        self.link = Link(conditions.bytes_per_ms, conditions.buffer_bytes)
        self.peer: VirtualTransport = self
        self.inbox: deque[memoryview] = deque()
        self.in_transit: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._arrival_timers = 0  # number of timers that are set for what is in transit
        self._protocol: Any = None
        self._reading, self._paused = True, False
        self._closing = self._disconnected = self._eof_received = self._delivering = self._eof_delivered = (
            False
        )

    @property
    def process_names(self) -> frozenset[str]:
        """The names of the processes at both ends."""
        names = [end.process.name if end.process else "" for end in (self, self.peer)]
        return frozenset(names)

    def start(self, factory: Callable[[], Any]) -> Any:
        """Create the protocol of this end and return it, and deliver what has arrived already."""
        self._protocol = factory()
        self._protocol.connection_made(self)
        self._deliver()
        return self._protocol

    # Methods of `asyncio.Transport`, called by the process at this end.

    def write(self, data: Any) -> None:
        """Send bytes; the protocol's writing is paused as long as any of them wait for capacity."""
        if self._closing or self._disconnected:
            return
        self.link.write(bytes(data))
        self.send_waiting()
        if self.link.waiting_bytes and not self._paused:
            self._paused = True
            self._protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that wait for capacity of the link."""
        return self.link.waiting_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: writing is paused as soon as any bytes wait.

        This is the limit that the gateway sets.
        """
        pass

    def is_reading(self) -> bool:
        """Return whether arriving bytes are delivered to the protocol."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Stop delivering bytes to the protocol."""
        self._reading = False

    def resume_reading(self) -> None:
        """Deliver the bytes that arrived meanwhile, and later ones as they arrive."""
        self._reading = True
        self.network.loop.call_soon(self._deliver, context=self.context)

    def is_closing(self) -> bool:
        """Return whether this end is closing or disconnected."""
        return self._closing or self._disconnected

    def close(self) -> None:
        """Send what waits, then close the connection; bytes that arrived and were not read are discarded."""
        if not (self._closing or self._disconnected):
            self._closing = True
            self.inbox.clear()
            self.send_waiting()

    def abort(self) -> None:
        """Discard what waits, and reset the connection."""
        if not self._disconnected:
            self._closing = True
            self.link.drop()
            self._notify_peer(self.peer.receive_reset)
            self._disconnect(None)

    # Called by the other end and by the network.

    def send_waiting(self) -> None:
        """Put waiting bytes in transit as capacity allows.

        If none wait any more, a closing end disconnects, and a protocol whose writing was paused resumes it.
        """
        while not self._disconnected:
            sent = self.link.next_piece(self.network.now_ms(), self.network.draw_delay_ms(self.stream))
            if sent is None:
                break
            self._schedule_arrival(sent[0], self.peer.receive, sent[1])
        if self._disconnected or self.link.waiting_bytes:
            return
        if self._closing:
            self._notify_peer(self.peer.receive_eof)
            self._disconnect(None)
        elif self._paused:
            self._paused = False
            self._protocol.resume_writing()

    def receive(self, piece: memoryview) -> None:
        """Take in a piece that arrived; a closed end answers with a reset, as a kernel does."""
        if self._disconnected or self._closing:
            self._notify_peer(self.peer.receive_reset)
            return
        self.inbox.append(piece)
        self._deliver()

    def receive_eof(self) -> None:
        """Take in that the other end closed; the protocol is told once it has read all bytes."""
        self._eof_received = True
        self._deliver()

    def receive_reset(self) -> None:
        """Disconnect this end, because the other end reset the connection."""
        if not self._disconnected:
            self._closing = True
            self.link.drop()
            self._disconnect(ConnectionResetError(104, "connection reset by peer"))

    def process_killed(self) -> None:
        """Disconnect this end without telling its protocol, and reset the other end."""
        self._disconnected = True
        self._notify_peer(self.peer.receive_reset)
        self.network.transports.pop(self, None)

    def _notify_peer(self, callback: Callable[[], None]) -> None:
        """Call a method of the other end when a notification that is sent now arrives there."""
        self._schedule_arrival(
            self.link.arrival(self.network.now_ms(), self.network.draw_delay_ms(self.stream)), callback
        )

    def _schedule_arrival(self, at_ms: float, callback: Callable[..., None], *args: Any) -> None:
        self.in_transit.append((callback, args))
        self._arrival_timers += 1
        self.network.loop.call_at(at_ms / 1000.0, self._arrive, context=self.peer.context)

    def _arrive(self) -> None:
        self._arrival_timers -= 1
        # Across a partition nothing arrives: it stays in transit until `resume_arrivals`.
        if self.process_names not in self.network.partitions:
            callback, args = self.in_transit.popleft()
            callback(*args)

    def resume_arrivals(self) -> None:
        """Set timers for what is in transit and did not arrive because of a partition."""
        for _ in range(len(self.in_transit) - self._arrival_timers):
            self._arrival_timers += 1
            at_ms = self.link.arrival(self.network.now_ms(), self.network.draw_delay_ms(self.stream))
            self.network.loop.call_at(at_ms / 1000.0, self._arrive, context=self.peer.context)

    def _disconnect(self, error: Exception | None) -> None:
        self._disconnected = True
        self.inbox.clear()
        self.network.transports.pop(self, None)
        if self._protocol is not None:
            self.network.loop.call_soon(self._protocol.connection_lost, error, context=self.context)

    def _deliver(self) -> None:
        """Pass the bytes that arrived to the protocol, and after the last of them the end of the stream."""
        if self._delivering or self._protocol is None:
            return
        self._delivering, rng = True, self.network.random_streams.generator(self.stream + "read")
        try:
            while self.inbox and self._reading and not (self._closing or self._disconnected):
                piece = self.inbox[0]
                buffer = memoryview(self._protocol.get_buffer(-1))
                size = min(len(buffer), len(piece))
                if size > 1 and rng.random() < self.network.link_conditions.partial_read_probability:
                    size = int(rng.integers(1, size))
                buffer[:size] = piece[:size]
                if size == len(piece):
                    self.inbox.popleft()
                else:
                    self.inbox[0] = piece[size:]
                peer = self.peer
                peer.link.read(size)
                if peer.link.waiting_bytes and not peer._disconnected:
                    at_ms = self.network.now_ms() + self.network.link_conditions.delay_ms
                    self.network.loop.call_at(at_ms / 1000.0, peer.send_waiting, context=peer.context)
                self._protocol.buffer_updated(size)
        finally:
            self._delivering = False
        if (
            self._eof_received
            and not self.inbox
            and not (self._closing or self._disconnected or self._eof_delivered)
        ):
            self._eof_delivered = True
            if not self._protocol.eof_received():
                self.close()

"""All ways of a fleet's dispatchers, as one process: datagrams and streams alike go through it, and meet
what a day says.

Each dispatcher tells the others a place of its own on loopback (`told`) and listens at another (`bound`);
what is sent to a told place comes here, whoever it is for, and the sender is known by the place that it
sends from. What passes is recorded as it is: the audit of the fleet rests on it.

Nodes, the register and each dispatcher's door for clients may have a told place of their own too, on the
port beside; streams to them pass the same way.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from pathlib import Path
from typing import Any

from cherrygrade.fleet.membership.messages import GossipPush, MessageCodec, Probe
from cherrygrade.fleet.membership.table import MemberRecord, MemberState
from cherrygrade.standin.control import open_control, port_of

ENTRY_HEADER = struct.Struct(">dHH?H")  # of the log: when, from, to, whether it was lost, bytes that follow
PKTINFO = 8  # of Linux: which local address a datagram came to, or goes from
BATCH = 64
FLEET = "lab"
ANNOUNCED_NET, BOUND_NET = "127.64", "127.32"
NODE_NET, REGISTER_HOST, CLIENT_NET = "127.96", "127.97.0.1", "127.98"
FIRST_NODE_NUMBER, REGISTER_NUMBER, CLIENTS_NUMBER = (
    1000,
    900,
    901,
)  # numbers of those that are no dispatchers


def host(net: str, number: int) -> str:
    return f"{net}.{number // 250}.{number % 250 + 1}"


def numbers_of_far_end(name: str, count: int) -> list[int]:
    """Of 'node 3', 'nodes', 'register', 'clients'; `count`: how many nodes there are."""
    if name == "nodes":
        return [FIRST_NODE_NUMBER + at for at in range(count)]
    kind, _, at = name.partition(" ")
    return [
        {"node": FIRST_NODE_NUMBER + int(at or 0), "register": REGISTER_NUMBER, "clients": CLIENTS_NUMBER}[
            kind
        ]
    ]


def number_of(address: str) -> int:
    _, _, high, low = address.split(".")
    return int(high) * 250 + int(low) - 1


class Way:
    """What one direction between two dispatchers does now."""

    __slots__ = ("delay_ms", "doubled", "jitter_ms", "lost", "shut")

    def __init__(self) -> None:
        self.shut = 0  # how many troubles shut it
        self.lost = self.doubled = self.delay_ms = self.jitter_ms = 0.0


class EmulatedNetwork:
    """`ways` holds those that something was said of; `streams` end with either side."""

    def __init__(self, count: int, port: int, bound: int, fleet: str, seed: int, log: Path | None) -> None:
        self.count, self.port, self.bound = count, port, bound
        self.book = MessageCodec(fleet)
        self.chance = random.Random(seed)
        self.ways: dict[tuple[int, int], Way] = {}
        self.all = Way()
        self.streams: dict[Pipe, None] = {}
        self.places: dict[str, tuple[int, str]] = {}  # told hosts of the others: whose, and where it listens
        self.births: dict[int, tuple[str, int]] = {}  # by what passed: each dispatcher's name and birth
        self.passed = self.dropped = self.bytes = 0
        self._log = log.open("wb", buffering=1 << 20) if log is not None else None
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._beside: asyncio.Server | None = None
        self._control: asyncio.Server | None = None

    async def start(self, control: str) -> int:
        """Gives the control port."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.IPPROTO_IP, PKTINFO, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024 * 1024)
        self._socket.setblocking(False)
        self._socket.bind(("0.0.0.0", self.port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        self._server = await asyncio.start_server(self._stream, "0.0.0.0", self.port)
        self._beside = await asyncio.start_server(self._far_stream, "0.0.0.0", 0)
        self._control = await open_control(control, self.act)
        return port_of(self._control)

    def close(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
        for server in (self._server, self._beside, self._control):
            if server is not None:
                server.close()
        for pipe in [*self.streams]:
            pipe.cut()
        if self._log is not None:
            self._log.close()

    # What the laboratory says.

    def act(self, command: str, values: dict[str, Any]) -> str:
        """`on`: numbers parted by spaces; those between them and the others, or all ways where there are
        none."""
        on = {int(part) for part in str(values.get("on", "")).split()}
        far = {int(part) for part in str(values.get("far", "")).split()}
        size = float(values.get("size", 0.0))
        if command == "place":
            self.places[str(values["host"])] = (int(values["number"]), str(values["to"]))
            return ""
        if command == "port":
            assert self._beside is not None
            return str(self._beside.sockets[0].getsockname()[1])
        if command == "reset":
            for pipe in [*self.streams]:
                if (not on or on & {pipe.source, pipe.to}) and (not far or far & {pipe.source, pipe.to}):
                    pipe.cut()
            return ""
        if command == "noise":
            self._noise(on)
            return ""
        if command == "lies":
            return " ".join(str(number) for number in self._lies(on))
        for one in self._pairs(on, far, one_way=command == "deafen" and size > 0.0):
            way = self.ways.setdefault(one, Way())
            if command in ("cut", "deafen"):
                way.shut += 1
            elif command == "heal":
                way.shut = max(0, way.shut - 1)
            elif command == "slow":
                way.delay_ms, way.jitter_ms = size, size
            elif command in ("lost", "doubled"):
                setattr(way, command, size)
            else:
                raise ValueError(command)
        return ""

    def _pairs(self, on: set[int], far: set[int], one_way: bool) -> list[tuple[int, int]]:
        others = far or set(range(self.count)) - on
        if not on and far:
            on = set(range(self.count))
        if not on:
            return [(one, other) for one in others for other in others if one != other]
        out = [(one, other) for one in on for other in others]
        return out if one_way else out + [(other, one) for one, other in out]

    def _noise(self, on: set[int]) -> None:
        """Bytes at random, an old version, another fleet's page, a forged one: to these, as if from the
        first."""
        stranger = MessageCodec("another fleet")
        forged = GossipPush("nobody", 1, [])
        loads = [self.chance.randbytes(size) for size in (1, 16, 200, 1400)]
        loads += [b"cgF0" + self.book.write(forged)[4:], stranger.write(Probe("d0", 9, 1, 1))]
        for to in on or range(self.count):
            for load in loads:
                self._forward(load, (to + 1) % self.count, to)

    def _lies(self, on: set[int]) -> list[int]:
        """To these, as if from the first that spoke: that the others are dead. Gives who is lied about."""
        if not self.births:
            return []
        liar = min(self.births)
        name, birth = self.births[liar]
        about = [number for number in sorted(self.births) if number != liar][:8]
        dead = [MemberRecord(*self.births[number], 0, MemberState.FAILED) for number in about]
        for to in on or range(self.count):
            if to != liar:
                self._forward(self.book.write(GossipPush(name, birth, dead)), liar, to)
        return about

    # Datagrams.

    def _read(self) -> None:
        assert self._socket is not None
        for _ in range(BATCH):
            try:
                data, more, _, source = self._socket.recvmsg(2048, 64)
            except (BlockingIOError, ConnectionError):
                return
            to = next((info[8:12] for level, kind, info in more if kind == PKTINFO), b"")
            if not to or not source[0].startswith(BOUND_NET):
                continue
            self._came(data, number_of(source[0]), number_of(socket.inet_ntoa(to)))

    def _came(self, data: bytes, source: int, to: int) -> None:
        way = self.ways.get((source, to), self.all)
        lost = bool(way.shut) or self.chance.random() < way.lost
        self.bytes += len(data)
        if source not in self.births:
            self._know(data, source)
        self._note(data, source, to, lost)
        if lost:
            self.dropped += 1
            return
        for _ in range(1 + (self.chance.random() < way.doubled)):
            after = way.delay_ms + way.jitter_ms * self.chance.random()
            if after > 0.0:
                asyncio.get_running_loop().call_later(after / 1000.0, self._forward, data, source, to)
            else:
                self._forward(data, source, to)

    def _forward(self, data: bytes, source: int, to: int) -> None:
        if self._socket is None:
            return
        info = struct.pack("I4s4s", 0, socket.inet_aton(host(ANNOUNCED_NET, source)), bytes(4))
        try:
            self._socket.sendmsg(
                [data], [(socket.IPPROTO_IP, PKTINFO, info)], 0, (host(BOUND_NET, to), self.bound)
            )
            self.passed += 1
        except OSError:
            self.dropped += 1

    def _know(self, data: bytes, source: int) -> None:
        page = self.book.read(data)
        if page is not None:
            self.births[source] = (page.name, page.incarnation)

    def _note(self, data: bytes, source: int, to: int, lost: bool) -> None:
        """As it is: it is read by the audit, not here, so that the ways keep up with a fleet of hundreds."""
        if self._log is not None:
            now = asyncio.get_running_loop().time() * 1000.0
            self._log.write(ENTRY_HEADER.pack(now, source, to, lost, len(data)) + data)

    # Streams.

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer, mine = writer.get_extra_info("peername")[0], writer.get_extra_info("sockname")[0]
        if not (peer.startswith(BOUND_NET) and mine.startswith(ANNOUNCED_NET)):
            writer.close()
            return
        await self._pass(
            reader,
            writer,
            number_of(peer),
            number_of(mine),
            f"{host(BOUND_NET, number_of(mine))}:{self.bound}",
        )

    async def _far_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """To a node, the register, or a dispatcher's door for clients."""
        peer, mine = writer.get_extra_info("peername")[0], writer.get_extra_info("sockname")[0]
        number, place = self.places.get(mine, (-1, ""))
        if number < 0:
            writer.transport.abort()
            return
        source = number_of(peer) if peer.startswith(BOUND_NET) else CLIENTS_NUMBER
        await self._pass(reader, writer, source, number, place)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: int, to: int, place: str
    ) -> None:
        way = self.ways.get((source, to), self.all)
        while way.shut:  # nobody answers
            await asyncio.sleep(0.05)
            way = self.ways.get((source, to), self.all)
        try:
            at, _, port = place.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(at, int(port))
        except OSError:
            writer.transport.abort()
            return
        pipe = Pipe(self, source, to, (writer, far_writer))
        self.streams[pipe] = None
        try:
            there = pipe.pump(reader, far_writer, (source, to))
            back = pipe.pump(far_reader, writer, (to, source))
            await asyncio.gather(there, back)
        finally:
            self.streams.pop(pipe, None)
            pipe.cut()


class Pipe:
    """One stream that passes."""

    def __init__(
        self, ways: EmulatedNetwork, source: int, to: int, ends: tuple[asyncio.StreamWriter, ...]
    ) -> None:
        self.ways, self.source, self.to, self.ends = ways, source, to, ends

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: tuple[int, int]
    ) -> None:
        try:
            while data := await reader.read(65536):
                way = self.ways.ways.get(pair, self.ways.all)
                while way.shut:  # half open: it comes once the way is there again
                    await asyncio.sleep(0.05)
                    way = self.ways.ways.get(pair, self.ways.all)
                if way.delay_ms:
                    await asyncio.sleep((way.delay_ms + way.jitter_ms * self.ways.chance.random()) / 1000.0)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            self.cut()

    def cut(self) -> None:
        for end in self.ends:
            if end.transport is not None and not end.is_closing():
                end.transport.abort()

"""Emulation of the network between the dispatchers of a fleet, with faults that are set by control commands.

One process forwards all datagrams and streams between the dispatchers. Each dispatcher announces one
loopback address to the others (in ANNOUNCED_NET) and listens at another (in BOUND_NET). Traffic to any
dispatcher's announced address arrives at this process, which knows the sender by the address that it sends
from. Datagrams are logged unchanged, because the audit of the fleet reads them from the log.

Storage nodes, the register and the dispatchers' listeners for clients may have announced addresses too, on a
second port. Streams to them are forwarded in the same way.

The two ends of a connection are known by their numbers: dispatchers count from 0, storage nodes from
FIRST_NODE_NUMBER; the register and all clients together have one number each.
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

ENTRY_HEADER = struct.Struct(">dHH?H")
"""The header of a log entry: time in ms, sender, receiver, whether the datagram was lost, and the length in
bytes of the datagram, which follows the header."""
IP_PKTINFO = 8
"""The socket option of Linux that gives the local address of a received datagram, and sets the source address
of a sent one."""
MAX_DATAGRAMS_AT_ONCE = 64
"""The number of datagrams that are read before the event loop continues with other work."""
FLEET = "lab"
"""The name of the laboratory's fleet."""
ANNOUNCED_NET, BOUND_NET = "127.64", "127.32"
"""The loopback nets of the addresses that dispatchers announce, and of those that they listen at."""
NODE_NET, REGISTER_HOST, CLIENT_NET = "127.96", "127.97.0.1", "127.98"
"""The announced addresses of storage nodes, the register, and the dispatchers' listeners for clients."""
FIRST_NODE_NUMBER, REGISTER_NUMBER, CLIENTS_NUMBER = 1000, 900, 901
"""The numbers of ends that are no dispatchers; storage nodes count on from the first."""


def host(net: str, number: int) -> str:
    """Return the loopback address of a number within a net of two bytes, such as "127.64"."""
    return f"{net}.{number // 250}.{number % 250 + 1}"


def numbers_of_far_end(name: str, count: int) -> list[int]:
    """Return the numbers of the far ends that a scenario names.

    Args:
        name: "node 3", "nodes", "register" or "clients".
        count: The number of storage nodes.

    Raises:
        KeyError: The name is none of these.
    """
    if name == "nodes":
        return [FIRST_NODE_NUMBER + at for at in range(count)]
    kind, _, at = name.partition(" ")
    return [
        {"node": FIRST_NODE_NUMBER + int(at or 0), "register": REGISTER_NUMBER, "clients": CLIENTS_NUMBER}[
            kind
        ]
    ]


def number_of(address: str) -> int:
    """Return the number of an address that `host` returned."""
    _, _, high, low = address.split(".")
    return int(high) * 250 + int(low) - 1


class DirectionFaults:
    """The faults of one direction between two ends.

    Attributes:
        cuts: The number of faults in force that cut the direction; nothing passes while it is above 0.
        lost: The probability that a datagram is lost.
        doubled: The probability that a datagram is delivered twice.
        delay_ms: The shortest delay, in milliseconds.
        jitter_ms: The longest random delay that is added to it, in milliseconds.
    """

    __slots__ = ("cuts", "delay_ms", "doubled", "jitter_ms", "lost")

    def __init__(self) -> None:
        self.cuts = 0
        self.lost = self.doubled = self.delay_ms = self.jitter_ms = 0.0


class EmulatedNetwork:
    """The network between the dispatchers of a fleet.

    Attributes:
        count: The number of dispatchers.
        port: The port of the announced addresses of dispatchers.
        bound: The port that dispatchers listen at.
        codec: The encoding of the fleet's gossip messages.
        rng: The random source of losses, duplicates, delays and random datagrams.
        faults: The faults by sender and receiver; other directions have `default_faults`.
        default_faults: The faults of directions that no command named: none, unless a test sets some.
        streams: The streams that are being forwarded; a stream ends when either side closes or resets it.
        listen_addresses: By announced host of a storage node, the register or a dispatcher's listener for
            clients: its number, and the address that streams to it are forwarded to.
        incarnations: By dispatcher, the name and the incarnation in its first readable datagram.
        passed: The number of datagrams forwarded.
        dropped: The number of datagrams lost, or refused by the system on sending.
        bytes: The number of bytes of all datagrams received.
    """

    def __init__(self, count: int, port: int, bound: int, fleet: str, seed: int, log: Path | None) -> None:
        """Prepare a network that is not started yet.

        Args:
            count: The number of dispatchers.
            port: The port of the announced addresses.
            bound: The port that dispatchers listen at.
            fleet: The fleet's name, which is part of each gossip message.
            seed: The seed of the random source.
            log: The file that datagrams are logged to; None for no log.
        """
        self.count, self.port, self.bound = count, port, bound
        self.codec = MessageCodec(fleet)
        self.rng = random.Random(seed)
        self.faults: dict[tuple[int, int], DirectionFaults] = {}
        self.default_faults = DirectionFaults()
        self.streams: dict[ForwardedStream, None] = {}
        self.listen_addresses: dict[str, tuple[int, str]] = {}
        self.incarnations: dict[int, tuple[str, int]] = {}
        self.passed = self.dropped = self.bytes = 0
        self._log = log.open("wb", buffering=1 << 20) if log is not None else None
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._far_end_server: asyncio.Server | None = None
        self._control: asyncio.Server | None = None

    async def start(self, control: str) -> int:
        """Start forwarding, and return the port of the control connection.

        Args:
            control: The address at which control commands are received; its port may be 0.

        Raises:
            OSError: An address or a port is in use.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024 * 1024)
        self._socket.setblocking(False)
        self._socket.bind(("0.0.0.0", self.port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read_datagrams)
        self._server = await asyncio.start_server(self._dispatcher_stream, "0.0.0.0", self.port)
        self._far_end_server = await asyncio.start_server(self._far_end_stream, "0.0.0.0", 0)
        self._control = await open_control(control, self.act)
        return port_of(self._control)

    def close(self) -> None:
        """Stop forwarding, and close the log."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
        for server in (self._server, self._far_end_server, self._control):
            if server is not None:
                server.close()
        for stream in [*self.streams]:
            stream.abort()
        if self._log is not None:
            self._log.close()

    # Control commands.

    def act(self, command: str, values: dict[str, Any]) -> str:
        """Carry out a control command.

        Args:
            command: The name of the command.
            values: The values of the command. `on` and `far` are numbers separated by spaces. A fault
                concerns the directions between `on` and `far`, or between `on` and all other dispatchers
                if `far` is missing. If `on` is missing, it concerns all dispatchers. `size` is a
                probability or a delay in milliseconds.

        Returns:
            For "port", the port of the far ends' announced addresses; for "lies", the dispatchers that were
            reported as failed; otherwise nothing.

        Raises:
            KeyError: A value of the command is missing.
            ValueError: The command is unknown, or a value is no number.
        """
        on = {int(part) for part in str(values.get("on", "")).split()}
        far = {int(part) for part in str(values.get("far", "")).split()}
        size = float(values.get("size", 0.0))
        if command == "place":
            self.listen_addresses[str(values["host"])] = (int(values["number"]), str(values["to"]))
            return ""
        if command == "port":
            assert self._far_end_server is not None
            return str(self._far_end_server.sockets[0].getsockname()[1])
        if command == "reset":
            for stream in [*self.streams]:
                if (not on or on & {stream.source, stream.to}) and (
                    not far or far & {stream.source, stream.to}
                ):
                    stream.abort()
            return ""
        if command == "noise":
            self._send_invalid(on)
            return ""
        if command == "lies":
            return " ".join(str(number) for number in self._send_false_failures(on))
        for direction in self._directions(on, far, one_way=command == "deafen" and size > 0.0):
            faults = self.faults.setdefault(direction, DirectionFaults())
            if command in ("cut", "deafen"):
                faults.cuts += 1
            elif command == "heal":
                faults.cuts = max(0, faults.cuts - 1)
            elif command == "slow":
                faults.delay_ms, faults.jitter_ms = size, size
            elif command in ("lost", "doubled"):
                setattr(faults, command, size)
            else:
                raise ValueError(f"unknown control command {command!r} of the emulated network")
        return ""

    def _directions(self, on: set[int], far: set[int], one_way: bool) -> list[tuple[int, int]]:
        """Return sender and receiver of each direction that a command concerns."""
        others = far or set(range(self.count)) - on
        if not on and far:
            on = set(range(self.count))
        if not on:
            return [(one, other) for one in others for other in others if one != other]
        directions = [(one, other) for one in on for other in others]
        return directions if one_way else directions + [(other, one) for one, other in directions]

    def _send_invalid(self, on: set[int]) -> None:
        """Send invalid datagrams to some dispatchers, or to all, as if each came from its neighbour.

        They are random bytes, a message of an earlier protocol version from an unknown member, and a
        message of another fleet.
        """
        other_fleet = MessageCodec("another fleet")
        from_unknown_member = GossipPush("nobody", 1, [])
        datagrams = [self.rng.randbytes(size) for size in (1, 16, 200, 1400)]
        datagrams += [
            b"cgF0" + self.codec.write(from_unknown_member)[4:],
            other_fleet.write(Probe("d0", 9, 1, 1)),
        ]
        for to in on or range(self.count):
            for datagram in datagrams:
                self._forward(datagram, (to + 1) % self.count, to)

    def _send_false_failures(self, on: set[int]) -> list[int]:
        """Report other dispatchers as failed to some dispatchers, or to all.

        The reports seem to come from the dispatcher with the lowest known number.

        Returns:
            The numbers of the dispatchers that were reported as failed, at most 8.
        """
        if not self.incarnations:
            return []
        sender = min(self.incarnations)
        name, incarnation = self.incarnations[sender]
        reported = [number for number in sorted(self.incarnations) if number != sender][:8]
        failed = [MemberRecord(*self.incarnations[number], 0, MemberState.FAILED) for number in reported]
        for to in on or range(self.count):
            if to != sender:
                self._forward(self.codec.write(GossipPush(name, incarnation, failed)), sender, to)
        return reported

    # Datagrams.

    def _read_datagrams(self) -> None:
        assert self._socket is not None
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            try:
                data, ancillary, _, source = self._socket.recvmsg(2048, 64)
            except (BlockingIOError, ConnectionError):
                return
            to = next((info[8:12] for level, kind, info in ancillary if kind == IP_PKTINFO), b"")
            if not to or not source[0].startswith(BOUND_NET):
                continue
            self._datagram_received(data, number_of(source[0]), number_of(socket.inet_ntoa(to)))

    def _datagram_received(self, data: bytes, source: int, to: int) -> None:
        faults = self.faults.get((source, to), self.default_faults)
        lost = bool(faults.cuts) or self.rng.random() < faults.lost
        self.bytes += len(data)
        if source not in self.incarnations:
            self._learn_incarnation(data, source)
        self._log_datagram(data, source, to, lost)
        if lost:
            self.dropped += 1
            return
        for _ in range(1 + (self.rng.random() < faults.doubled)):
            delay_ms = faults.delay_ms + faults.jitter_ms * self.rng.random()
            if delay_ms > 0.0:
                asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._forward, data, source, to)
            else:
                self._forward(data, source, to)

    def _forward(self, data: bytes, source: int, to: int) -> None:
        if self._socket is None:
            return
        info = struct.pack("I4s4s", 0, socket.inet_aton(host(ANNOUNCED_NET, source)), bytes(4))
        try:
            self._socket.sendmsg(
                [data], [(socket.IPPROTO_IP, IP_PKTINFO, info)], 0, (host(BOUND_NET, to), self.bound)
            )
            self.passed += 1
        except OSError:
            self.dropped += 1

    def _learn_incarnation(self, data: bytes, source: int) -> None:
        message = self.codec.read(data)
        if message is not None:
            self.incarnations[source] = (message.name, message.incarnation)

    def _log_datagram(self, data: bytes, source: int, to: int, lost: bool) -> None:
        """Log a datagram unchanged.

        The audit decodes it later: decoding here would be too slow for a fleet of hundreds of dispatchers.
        """
        if self._log is not None:
            now = asyncio.get_running_loop().time() * 1000.0
            self._log.write(ENTRY_HEADER.pack(now, source, to, lost, len(data)) + data)

    # Streams.

    async def _dispatcher_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        remote, local = writer.get_extra_info("peername")[0], writer.get_extra_info("sockname")[0]
        if not (remote.startswith(BOUND_NET) and local.startswith(ANNOUNCED_NET)):
            writer.close()
            return
        await self._forward_stream(
            reader,
            writer,
            number_of(remote),
            number_of(local),
            f"{host(BOUND_NET, number_of(local))}:{self.bound}",
        )

    async def _far_end_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward a stream to a storage node, the register, or a dispatcher's listener for clients."""
        remote, local = writer.get_extra_info("peername")[0], writer.get_extra_info("sockname")[0]
        number, address = self.listen_addresses.get(local, (-1, ""))
        if number < 0:
            writer.transport.abort()
            return
        source = number_of(remote) if remote.startswith(BOUND_NET) else CLIENTS_NUMBER
        await self._forward_stream(reader, writer, source, number, address)

    async def _forward_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: int, to: int, address: str
    ) -> None:
        faults = self.faults.get((source, to), self.default_faults)
        while faults.cuts:  # the connection is accepted, but nothing is forwarded before the cut ends
            await asyncio.sleep(0.05)
            faults = self.faults.get((source, to), self.default_faults)
        try:
            far_host, _, port = address.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(far_host, int(port))
        except OSError:
            writer.transport.abort()
            return
        stream = ForwardedStream(self, source, to, (writer, far_writer))
        self.streams[stream] = None
        try:
            forth = stream.pump(reader, far_writer, (source, to))
            back = stream.pump(far_reader, writer, (to, source))
            await asyncio.gather(forth, back)
        finally:
            self.streams.pop(stream, None)
            stream.abort()


class ForwardedStream:
    """One stream that is forwarded in both directions.

    Attributes:
        network: The network that the stream belongs to.
        source: The number of the end that opened the stream.
        to: The number of the other end.
        ends: The writers to both ends.
    """

    def __init__(
        self, network: EmulatedNetwork, source: int, to: int, ends: tuple[asyncio.StreamWriter, ...]
    ) -> None:
        self.network, self.source, self.to, self.ends = network, source, to, ends

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: tuple[int, int]
    ) -> None:
        """Forward one direction of the stream until its sender closes it; an error aborts the stream.

        Args:
            reader: Where the bytes come from.
            writer: Where the bytes are forwarded to.
            direction: The numbers of sender and receiver.
        """
        try:
            while data := await reader.read(65536):
                faults = self.network.faults.get(direction, self.network.default_faults)
                while faults.cuts:  # the stream is half open: its bytes are forwarded once the cut ends
                    await asyncio.sleep(0.05)
                    faults = self.network.faults.get(direction, self.network.default_faults)
                if faults.delay_ms:
                    await asyncio.sleep(
                        (faults.delay_ms + faults.jitter_ms * self.network.rng.random()) / 1000.0
                    )
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            self.abort()

    def abort(self) -> None:
        """Reset the connections to both ends."""
        for end in self.ends:
            if end.transport is not None and not end.is_closing():
                end.transport.abort()

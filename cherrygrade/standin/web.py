"""Stand-ins for the platform's storage nodes and discovery, on HTTP/1.1: they answer as they are told to."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Any

from cherrygrade.http.reader import BodyBudget, Message, MessageReader
from cherrygrade.http.writer import encode_response
from cherrygrade.transport.listening import listen

ROOM = 16 * 1024 * 1024  # of bodies on one connection


class Peer(asyncio.BufferedProtocol):
    """A connection that a dispatcher made."""

    def __init__(self, owner: WebNode | WebDiscovery) -> None:
        self.owner, self._room = owner, BodyBudget(ROOM)
        self._reader = MessageReader(responses=False, budget=self._room)
        self._buffer = memoryview(bytearray(16 * 1024))
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.owner.peers.append(self)
        self.owner.connections_made += 1

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._reader.feed(bytes(self._buffer[:nbytes]))
        for message in self._reader.messages:
            self.owner.message_received(self, message)
            self._room.release(message)
        self._reader.messages.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.owner.peers.remove(self)

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Web:
    """A listener and the connections made to it."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.address = address
        self.peers: list[Peer] = []
        self.connections_made = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        self._server = await listen(lambda: Peer(self), self.address, 64)  # type: ignore[arg-type]
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """As a process that dies."""
        if self._server is not None:
            self._server.close()
        for peer in [*self.peers]:
            peer.cut()


class WebNode(Web):
    """Answers a read with bytes that name its target, `work_ms` later. `script` says what comes instead: raw
    bytes, or None for silence, or False for a connection that is cut."""

    def __init__(self, host: str, shard: int, work_ms: float = 2.0, address: str = "127.0.0.1:0") -> None:
        super().__init__(address)
        self.host, self.shard, self.work_ms = host, shard, work_ms
        self.received: list[Message] = []
        self.received_at_s: list[float] = []  # s, of the event loop's clock
        self.script: deque[bytes | bool | None] = deque()

    def message_received(self, peer: Peer, message: Message) -> None:
        self.received.append(message)
        self.received_at_s.append(asyncio.get_running_loop().time())
        asyncio.get_running_loop().call_later(self.work_ms / 1000.0, self._answer, peer, message)

    def _answer(self, peer: Peer, message: Message) -> None:
        told: bytes | bool | None = self.script.popleft() if self.script else True
        if told is False:
            peer.cut()
        elif told is not None:
            peer.write(told if isinstance(told, bytes) else encode_response(200, b"of " + message.target))

    def entry(self, health: str = "in_service", born_ms: int = 0) -> dict[str, Any]:
        return {
            "host": self.host,
            "dial": self.address,
            "site": "z",
            "class": "k",
            "block": self.shard,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }


TOLD_S, GRACE_S = 6.0, 0.3  # what a silent watch missed counts after that; grace of a drain, with its slack


class WebDiscovery(Web):
    """Tells the whole list to whoever watches, and each change after it, with a sign of life in between.

    `indent`: lists come over several lines. `down`: whoever asks hears nothing, and nothing is told.
    `effective_at`: when a node's standing counts as told, whether or not it arrived.
    """

    def __init__(self, address: str = "127.0.0.1:0", keepalive_interval_s: float = 2.0) -> None:
        super().__init__(address)
        self.version, self.hosts = 1, dict[str, dict[str, Any]]()
        self.watch_targets: list[bytes] = []
        self.effective_at: dict[str, float] = {}
        self.indent: int | None = None
        self.down = False
        self._silent: dict[Peer, float] = {}  # watches that fell silent, and when; emptied as they close
        self._breath_s = keepalive_interval_s

    def message_received(self, peer: Peer, message: Message) -> None:
        self.watch_targets.append(message.target)
        if self.down:
            self._silent[peer] = asyncio.get_running_loop().time()
            return
        peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write(peer, self.version, True, [*self.hosts.values()])
        self._breathe(peer)

    def _breathe(self, peer: Peer) -> None:
        if peer.transport is not None and peer not in self._silent:
            self.raw(peer, b"\n")
            asyncio.get_running_loop().call_later(self._breath_s, self._breathe, peer)

    def silence_watches(self) -> None:
        """All open watches fall silent; a new one is answered, unless discovery is down."""
        now = asyncio.get_running_loop().time()
        self._silent = {peer: self._silent.get(peer, now) for peer in self.peers}

    def write(self, peer: Peer, version: int, whole: bool, hosts: list[dict[str, Any]]) -> None:
        told = {"seq": version, "whole": whole, "hosts": hosts}
        self.raw(peer, json.dumps(told, indent=self.indent).encode() + b"\n")

    def raw(self, peer: Peer, line: bytes) -> None:
        peer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def publish(self, *entries: dict[str, Any]) -> None:
        self.version += 1
        now = asyncio.get_running_loop().time()
        missed = [at for peer, at in self._silent.items() if peer.transport is not None]
        for entry in entries:
            self.hosts[entry["host"]] = entry
            self.effective_at[entry["host"]] = max(now, min(missed) + TOLD_S) if missed else now
        for peer in self.peers:
            if peer not in self._silent:
                self.write(peer, self.version, False, [*entries])

    def late_requests_s(self, node: WebNode) -> list[float]:
        """How late, in s, each send was that came past the grace after the node's order to leave counts."""
        if self.hosts[node.host]["health"] == "in_service":
            return []
        told = self.effective_at[node.host] + GRACE_S
        return [at - told for at in node.received_at_s if at > told]


async def run_platform(address: str, count: int, indent: int | None = None, hush_s: float = 0.0) -> None:
    """Until it is ended from outside. With `hush_s`, every so often all watches fall silent and a node is
    told to drain; 2 s after that counts it is said how many sends still came to it, and it is back."""
    discovery = WebDiscovery(address)
    discovery.indent = indent
    await discovery.open()
    nodes = [WebNode(f"s-{n}", n, work_ms=20.0) for n in range(count)]
    for node in nodes:
        await node.open()
        discovery.publish(node.entry())
    print(f"discovery {discovery.address}, {count} nodes", flush=True)
    turn = 0
    while hush_s > 0.0:
        await asyncio.sleep(hush_s)
        node = nodes[turn % count]
        discovery.silence_watches()
        discovery.publish(node.entry("terminating"))
        await asyncio.sleep(TOLD_S + 2.0)
        late = len(discovery.late_requests_s(node))
        print(f"{node.host} drained under silent watches: {late} sends came too late", flush=True)
        discovery.publish(node.entry())
        turn += 1
    await asyncio.get_running_loop().create_future()

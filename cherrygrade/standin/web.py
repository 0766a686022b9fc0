"""Stand-ins of the platform's storage nodes and of its discovery service, which speak HTTP/1.1.

They answer as tests and the command `standin platform` tell them to.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Any

from cherrygrade.http.reader import BodyBudget, Message, MessageReader
from cherrygrade.http.writer import encode_response
from cherrygrade.transport.listening import listen

MAX_BODY_BYTES = 16 * 1024 * 1024  # of all bodies in memory for one connection


class Peer(asyncio.BufferedProtocol):
    """A connection that a dispatcher has opened to a stand-in.

    Attributes:
        owner: The stand-in.
        transport: The connection's transport; None before it is open and after it is closed.
    """

    def __init__(self, owner: WebNode | WebDiscovery) -> None:
        self.owner, self._budget = owner, BodyBudget(MAX_BODY_BYTES)
        self._reader = MessageReader(responses=False, budget=self._budget)
        self._buffer = memoryview(bytearray(16 * 1024))
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the stand-in."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.owner.peers.append(self)
        self.owner.connections_made += 1

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for received bytes."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the received bytes, and pass each complete request to the stand-in."""
        self._reader.feed(bytes(self._buffer[:nbytes]))
        for message in self._reader.messages:
            self.owner.message_received(self, message)
            self._budget.release(message)
        self._reader.messages.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the stand-in."""
        self.transport = None
        self.owner.peers.remove(self)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed."""
        if self.transport is not None:
            self.transport.write(data)

    def cut(self) -> None:
        """Reset the connection, unless it is closed."""
        if self.transport is not None:
            self.transport.abort()


class HttpStandIn:
    """A server and the connections that are open to it.

    Attributes:
        address: Host and port; a port of 0 is replaced once the server listens.
        peers: The open connections.
        connections_made: The number of connections that were ever opened.
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.address = address
        self.peers: list[Peer] = []
        self.connections_made = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen for connections."""
        self._server = await listen(lambda: Peer(self), self.address, 64)  # type: ignore[arg-type]
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and reset all connections, as when the process is killed."""
        if self._server is not None:
            self._server.close()
        for peer in [*self.peers]:
            peer.cut()


class WebNode(HttpStandIn):
    """A storage node, which answers each request with bytes that name its target.

    Attributes:
        host: The node's name in the endpoint list.
        shard: The shard that the node stores.
        work_ms: The time from a request to its answer, in milliseconds.
        received: The requests received.
        received_at_s: The time of each request on the event loop's clock, in seconds.
        script: What happens instead of the next answers: bytes are sent unchanged, None leaves a request
            without answer, False resets the connection, and True is the usual answer.
    """

    def __init__(self, host: str, shard: int, work_ms: float = 2.0, address: str = "127.0.0.1:0") -> None:
        super().__init__(address)
        self.host, self.shard, self.work_ms = host, shard, work_ms
        self.received: list[Message] = []
        self.received_at_s: list[float] = []
        self.script: deque[bytes | bool | None] = deque()

    def message_received(self, peer: Peer, message: Message) -> None:
        """Record a request, and answer it after `work_ms`."""
        self.received.append(message)
        self.received_at_s.append(asyncio.get_running_loop().time())
        asyncio.get_running_loop().call_later(self.work_ms / 1000.0, self._answer, peer, message)

    def _answer(self, peer: Peer, message: Message) -> None:
        reply: bytes | bool | None = self.script.popleft() if self.script else True
        if reply is False:
            peer.cut()
        elif reply is not None:
            peer.write(reply if isinstance(reply, bytes) else encode_response(200, b"of " + message.target))

    def entry(self, health: str = "in_service", born_ms: int = 0) -> dict[str, Any]:
        """Return the node's entry of the endpoint list.

        Args:
            health: The node's state, in the words of the platform.
            born_ms: The time at which the node started, in ms of Unix time.
        """
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


SILENT_WATCH_DETECTION_S = 6.0
"""The time after which a dispatcher must have replaced a watch that fell silent, in seconds."""
DRAIN_GRACE_S = 0.3
"""The time, with tolerance, for which requests may still be sent to a node that drains, in seconds."""


class WebDiscovery(HttpStandIn):
    """A discovery service, which answers a watch with the full endpoint list and then with each change.

    Between the changes it sends an empty line every `keepalive_interval_s`.

    Attributes:
        version: The version of the endpoint list.
        hosts: The entries of the endpoint list by host.
        watch_targets: The request target of each watch received.
        effective_at: By host, the time on the event loop's clock, in seconds, from which dispatchers must
            know the last change of its entry, whether or not the change was received.
        indent: The indent of lists that are sent over several lines; None for a list on one line.
        down: True if new watches are not answered and receive no changes.
    """

    def __init__(self, address: str = "127.0.0.1:0", keepalive_interval_s: float = 2.0) -> None:
        super().__init__(address)
        self.version, self.hosts = 1, dict[str, dict[str, Any]]()
        self.watch_targets: list[bytes] = []
        self.effective_at: dict[str, float] = {}
        self.indent: int | None = None
        self.down = False
        self._silent: dict[Peer, float] = {}  # the time at which each silent watch fell silent, s
        self._keepalive_interval_s = keepalive_interval_s

    def message_received(self, peer: Peer, message: Message) -> None:
        """Answer a watch with the full list, or leave it silent while discovery is down."""
        self.watch_targets.append(message.target)
        if self.down:
            self._silent[peer] = asyncio.get_running_loop().time()
            return
        peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write(peer, self.version, True, [*self.hosts.values()])
        self._send_keepalive(peer)

    def _send_keepalive(self, peer: Peer) -> None:
        if peer.transport is not None and peer not in self._silent:
            self.raw(peer, b"\n")
            asyncio.get_running_loop().call_later(self._keepalive_interval_s, self._send_keepalive, peer)

    def silence_watches(self) -> None:
        """Send nothing more on all open watches; a new watch is answered, unless discovery is down."""
        now = asyncio.get_running_loop().time()
        self._silent = {peer: self._silent.get(peer, now) for peer in self.peers}

    def write(self, peer: Peer, version: int, full: bool, hosts: list[dict[str, Any]]) -> None:
        """Send entries of the endpoint list on a watch.

        Args:
            peer: The watch.
            version: The version of the list.
            full: True if the entries are the full list, False if they are changes.
            hosts: The entries.
        """
        update = {"seq": version, "whole": full, "hosts": hosts}
        self.raw(peer, json.dumps(update, indent=self.indent).encode() + b"\n")

    def raw(self, peer: Peer, line: bytes) -> None:
        """Send bytes on a watch as one chunk of the response."""
        peer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def publish(self, *entries: dict[str, Any]) -> None:
        """Add or replace entries of the endpoint list, and send them on all watches that are not silent.

        Args:
            entries: The entries; those that are published together have one version.
        """
        self.version += 1
        now = asyncio.get_running_loop().time()
        silent_since_s = [since_s for peer, since_s in self._silent.items() if peer.transport is not None]
        for entry in entries:
            self.hosts[entry["host"]] = entry
            self.effective_at[entry["host"]] = (
                max(now, min(silent_since_s) + SILENT_WATCH_DETECTION_S) if silent_since_s else now
            )
        for peer in self.peers:
            if peer not in self._silent:
                self.write(peer, self.version, False, [*entries])

    def late_requests_s(self, node: WebNode) -> list[float]:
        """Return how late, in seconds, each request was that a node received after it had to be drained.

        A request is late if it arrives more than DRAIN_GRACE_S after the time in `effective_at`.
        """
        if self.hosts[node.host]["health"] == "in_service":
            return []
        drained_at_s = self.effective_at[node.host] + DRAIN_GRACE_S
        return [at_s - drained_at_s for at_s in node.received_at_s if at_s > drained_at_s]


async def run_platform(address: str, count: int, indent: int | None = None, hush_s: float = 0.0) -> None:
    """Run discovery and storage nodes until the process ends.

    Args:
        address: The address that discovery listens at.
        count: The number of storage nodes.
        indent: The indent of lists that are sent over several lines; None for lists on one line.
        hush_s: The interval, in seconds, at which all watches fall silent while one node is drained. The
            number of requests that still reached the node is printed 2 s after dispatchers must know of the
            drain, and the node returns to service. With 0 no node is drained.
    """
    discovery = WebDiscovery(address)
    discovery.indent = indent
    await discovery.open()
    nodes = [WebNode(f"s-{n}", n, work_ms=20.0) for n in range(count)]
    for node in nodes:
        await node.open()
        discovery.publish(node.entry())
    print(f"discovery {discovery.address}, {count} nodes", flush=True)
    drains = 0
    while hush_s > 0.0:
        await asyncio.sleep(hush_s)
        node = nodes[drains % count]
        discovery.silence_watches()
        discovery.publish(node.entry("terminating"))
        await asyncio.sleep(SILENT_WATCH_DETECTION_S + 2.0)
        late = len(discovery.late_requests_s(node))
        print(f"{node.host} drained under silent watches: {late} requests arrived too late", flush=True)
        discovery.publish(node.entry())
        drains += 1
    await asyncio.get_running_loop().create_future()

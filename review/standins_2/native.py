"""A small machine room of the native protocol: register, storage nodes, a dispatcher and the client library.

Register, nodes and client library are the project's own. The dispatcher is a process of its own.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cherrygrade.client.library import Client
from cherrygrade.standin.node import Build, Node
from cherrygrade.standin.register import Register
from cherrygrade.wire.messages import WriteSend
from review.standins_2.platform import ROOT, START_LIMIT_S, CannotRunError, free_port
from review.standins_2.record import Record

EXTENT_BYTES = 65536
LINK_BUFFER_BYTES = 65536  # what a poor link holds on its way
LONG_RUNNING_MS = 600_000.0  # age of the nodes, so that they count as warm

SETTINGS = """
place: {{
    name:        "dispatcher-0"
    listen:      "127.0.0.1:{port}"
    register:    "{register}"
    number:      0
    dispatchers: 1
}}
workloads: {{
    "seat-read":     {{soft_ms: 250, deadline_ms: 2000, value: 3, late_part: 0.2}}
    "booking-write": {{soft_ms: 300, deadline_ms: 1500, value: 3, late_part: 0.1, writes: true{write_effect}}}
    "bulk-export":   {{soft_ms: 1500, deadline_ms: 5000, late_part: 0.25}}
}}
plans: {{
    standard: usual_rate: 400
    premier:  {{weight: 6, usual_rate: 900}}
}}
volumes: "seatmap": plan: plans.premier
earnings: {{in_share: 0.5, beyond: 0.1, largest_units: 64}}
"""


class NodePath:
    """The network between the dispatcher and one node: a proxy that can bring connections up late."""

    def __init__(self, record: Record, node: Node) -> None:
        self.record = record
        self.node = node
        self.late_s = 0.0
        """For connections made from now on: time until the first bytes of the node pass."""
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late_s = self.late_s
        self.record.write("connection-to-node", node=self.address, late_s=late_s)
        host, _, port = self.node.address.rpartition(":")
        node_reader, node_writer = await asyncio.open_connection(host, int(port))
        both = {writer, node_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pass(reader, node_writer, 0.0), self._pass(node_reader, writer, late_s)
            )
        finally:
            self._writers -= both
            for one in both:
                one.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, late_s: float) -> None:
        await asyncio.sleep(late_s)
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:  # a reset passes on as one
            writer.transport.abort()


class RecordingNode(Node):
    """The project's node, whose writes are put into the record of the case."""

    def __init__(self, case_record: Record) -> None:
        super().__init__("127.0.0.1:0", Build())
        self.case_record = case_record
        self.effects: list[tuple[str, str, int, int]] = []
        """Origin, key, offset and length of each write that took effect."""

    def _write(self, stored: bytearray, send: WriteSend, body: Any) -> None:
        length_before = len(stored)
        bytes_before = bytes(stored)
        super()._write(stored, send, body)
        took_effect = bytes(stored) != bytes_before or not send.token
        offset = length_before if send.append else send.offset
        if took_effect:
            self.effects.append((send.origin, send.key, offset, len(body or b"")))
        facts = {"origin": send.origin, "send": send.number, "key": send.key, "offset": offset}
        facts |= {"bytes": len(body or b""), "token": send.token, "others": [name for name, _ in send.others]}
        self.case_record.write("node-ran-write", **facts, effect=took_effect)


class Room:
    """A register, some nodes and one dispatcher."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.register = Register("127.0.0.1:0")
        self.nodes: list[RecordingNode] = []
        self.paths: list[NodePath] = []
        self.links: list[PoorLink] = []
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def open(
        self, nodes: int, extents: int, shard_of: Callable[[int], int], write_effect: str = ""
    ) -> None:
        """Start all; extent `i` lies on the shard `shard_of(i)`, and node `n` holds shard `n`."""
        await self.register.start()
        for shard in range(nodes):
            node = RecordingNode(self.record)
            await node.start()
            path = NodePath(self.record, node)
            await path.open()
            self.nodes.append(node)
            self.paths.append(path)
            self.register.set(path.address, "macon-1", shard, "live", 1, LONG_RUNNING_MS)
        shards = [shard_of(extent) for extent in range(extents)]
        self.register.volume("seatmap", extents * EXTENT_BYTES, EXTENT_BYTES, shards)
        for extent, shard in enumerate(shards):
            self.nodes[shard].versions["seatmap", f"e{extent}"] = 1
        file = self.folder / "site.rec"
        file.write_text(
            SETTINGS.format(port=self.port, register=self.register.address, write_effect=write_effect)
        )
        with (self.folder / "dispatcher.log").open("ab") as log:
            # The interpreter of `run` in the deploy file, with the native protocol's command (README, "Run").
            self.process = await asyncio.create_subprocess_exec(
                *(str(ROOT / ".venv/bin/python"), "-m", "cherrygrade", "serve", str(file)),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        await self._wait_ready()

    async def _wait_ready(self) -> None:
        end = self.record.now() + START_LIMIT_S
        while True:
            async with Client(f"127.0.0.1:{self.port}", "probe") as client:
                answer = await client.read("seat-read", "seatmap", offset=0, length=16, deadline_ms=1000.0)
            if type(answer).__name__ == "Ok":
                return
            if self.record.now() > end or self.process is None or self.process.returncode is not None:
                raise CannotRunError((self.folder / "dispatcher.log").read_text()[-500:])
            await asyncio.sleep(0.1)

    def client(self, name: str) -> Client:
        """Return a client of the dispatcher."""
        return Client(f"127.0.0.1:{self.port}", name)

    async def poor_link(self, bytes_per_s: float) -> PoorLink:
        """Return a slow link to the dispatcher, for one client."""
        link = PoorLink(self.port, bytes_per_s)
        await link.open()
        self.links.append(link)
        return link

    def terminate(self) -> None:
        """Send SIGTERM to the dispatcher: a planned restart begins."""
        assert self.process is not None
        os.kill(self.process.pid, signal.SIGTERM)
        self.record.write("signal", number="SIGTERM")

    async def close(self) -> None:
        """End all."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        for proxy in [*self.links, *self.paths]:
            proxy.close()
        for node in self.nodes:
            node.close()
        self.register.close()


class PoorLink:
    """The link between a client and the dispatcher: a proxy that passes answers on slowly."""

    def __init__(self, port: int, bytes_per_s: float) -> None:
        self.port = port
        self.bytes_per_s = bytes_per_s
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINK_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        far_reader, far_writer = await asyncio.open_connection(sock=sock, limit=LINK_BUFFER_BYTES)
        both = {writer, far_writer}
        self._writers |= both
        try:
            await asyncio.gather(self._pass(reader, far_writer, 1e9), self._slowly(far_reader, writer))
        finally:
            self._writers -= both
            for one in both:
                one.transport.abort()

    async def _slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._pass(reader, writer, self.bytes_per_s)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, bytes_per_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        try:
            while data := await reader.read(16384):
                writer.write(data)
                free_at = max(free_at, loop.time()) + len(data) / bytes_per_s
                await asyncio.sleep(max(0.0, free_at - loop.time()))
            writer.close()
        except OSError:  # a reset passes on as one
            writer.transport.abort()

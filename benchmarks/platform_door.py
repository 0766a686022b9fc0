"""The platform's dispatcher beside a bare relay on the same HTTP code: CPU an RPC by part, memory, counts.

One run starts nodes, discovery, relay and dispatcher as processes on cores of their own. Bars:
- CPU an RPC over the relay's, both in turn, median of pairs;
- memory that grows over clients, RPCs and nodes that come and go, after a first round of the same;
- sends that the dispatcher counts (by its finals) held against what the nodes saw.
Where the CPU goes is sampled by py-spy and not judged.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from bench import ROOT, cores, cpu_s, now_mib

from cherrygrade.http.reader import Message, MessageReader
from cherrygrade.http.writer import encode_request, encode_response
from cherrygrade.standin.web import Peer, WebDiscovery, WebNode

CPU_BAR, GROWTH_BAR_MIB, NODES, DEPTH = 3.5, 2.0, 5, 32
SETTINGS = {
    "balancers": 1,
    "ordinal": 0,
    "classes": [
        {"name": "read", "objectiveS": 1.0, "hardLimitS": 3.0, "importance": 3.0, "effect": "retryable"},
    ],
    "extra": {"writes": [False], "meanUnits": 1.0, "largest": 6, "saysOthers": False},
    "grades": [{"name": "plan", "usualRate": 1000000.0}],
    "limits": {"maxAttempts": 4, "connIdleS": 15.0, "connectTimeoutS": 0.25},
    "guarantees": {"drainGraceS": 0.25},
    "membershipMode": "push",
}
FIELDS = (
    (b"X-Call-Class", b"read"),
    (b"X-Storage-Class", b"plan"),
    (b"X-Budget-Ms", b"2900"),
)
# Where a sample's innermost frame of ours stands.
PARTS = (
    ("module", ("policy.py", "rounds.py", "door.py")),
    (
        "reading and writing HTTP",
        ("http/reader.py", "http/writer.py", "platform/client_connection.py", "platform/request_parsing.py"),
    ),
    (
        "links and finals",
        (
            "platform/node_connection.py",
            "platform/connection_pool.py",
            "platform/node_messages.py",
            "platform/process.py",
            "platform/round_carrier.py",
            "timer_wheel.py",
            "lifecycle.py",
            "held.py",
        ),
    ),
    ("sockets", ("selector_events.py",)),
    ("event loop", ("base_events.py", "events.py", "selectors.py", "runners.py")),
)


class Quick(WebNode):
    """Answers within the same turn, and counts."""

    total = 0

    def message_received(self, peer: Peer, message: Message) -> None:
        Quick.total += 1
        peer.write(encode_response(200, b"b" * 1024))


async def nodes() -> None:
    """The stand-ins' process: a line on standard input asks for the count, or replaces a node."""
    discovery, made = WebDiscovery(), [Quick(f"s-{n}", n) for n in range(NODES)]
    await discovery.open()
    for node in made:
        await node.open()
        discovery.publish(node.entry())
    print("listening", discovery.address, *(node.address for node in made), flush=True)
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while what := await lines.readline():
        if what == b"replace\n":
            old = made.pop(0)
            new = Quick(f"s-{id(old)}-{Quick.total}", old.shard)
            await new.open()
            discovery.publish(new.entry(), old.entry("terminating"))
            await asyncio.sleep(0.05)
            discovery.publish(old.entry("terminated"))
            del discovery.hosts[old.host]
            old.close()
            made.append(new)
        print(Quick.total, flush=True)


class Up(asyncio.BufferedProtocol):
    """The relay's connection to a node: one message out at a time."""

    def __init__(self, free: list[Up]) -> None:
        self.free, self.client = free, None
        self.reader, self.buffer = MessageReader(responses=True), memoryview(bytearray(65536))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.reader.feed(bytes(self.buffer[:nbytes]))
        for message in self.reader.messages:
            client, self.client = self.client, None
            self.free.append(self)
            client.transport.write(encode_response(200, message.body))
        self.reader.messages.clear()


class Door(asyncio.BufferedProtocol):
    def __init__(self, ups: list[list[Up]]) -> None:
        self.ups, self.reader, self.buffer = ups, MessageReader(responses=False), memoryview(bytearray(65536))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.reader.feed(bytes(self.buffer[:nbytes]))
        for message in self.reader.messages:
            shard = int(message.fields[b"x-extent"].split(b"shard=")[1].split(b",")[0])
            up = self.ups[shard].pop()
            up.client = self
            fields = ((b"X-Call-Id", message.fields[b"x-call-id"]), *FIELDS)
            up.transport.write(encode_request(b"GET", message.target, b"n", fields))
        self.reader.messages.clear()


async def relay(addresses: list[str]) -> None:
    loop = asyncio.get_running_loop()
    ups: list[list[Up]] = [[] for _ in addresses]
    for free, address in zip(ups, addresses, strict=True):
        for _ in range(DEPTH):
            free.append(Up(free))
            host, _, port = address.rpartition(":")
            await loop.create_connection(lambda up=free[-1]: up, host, int(port))
    server = await loop.create_server(lambda: Door(ups), "127.0.0.1", 0)
    print("listening", server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


class Client(asyncio.BufferedProtocol):
    """Asks again as soon as it is answered."""

    ids, ok, other = 0, 0, 0
    stopped = False

    def __init__(self) -> None:
        self.reader, self.buffer = MessageReader(responses=True), memoryview(bytearray(65536))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        Client.ids += 1
        id_ = Client.ids
        fields = (
            (b"X-Call-Id", b"%016x" % id_),
            *FIELDS,
            (b"X-Extent", b"units=1,shard=%d,hosts=1" % (id_ % NODES)),
        )
        self.transport.write(encode_request(b"GET", b"/api/00000000000000aa/%016x" % id_, b"app", fields))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.reader.feed(bytes(self.buffer[:nbytes]))
        for message in self.reader.messages:
            Client.ok += message.status == 200
            Client.other += message.status != 200
            if not Client.stopped:
                self.ask()
            else:
                self.transport.close()
        self.reader.messages.clear()


async def window(port: int, seconds: float) -> int:
    """RPCs made by DEPTH clients on new connections, each with one open; all are answered at the end."""
    Client.stopped, before = False, Client.ok
    loop = asyncio.get_running_loop()
    for _ in range(DEPTH):
        await loop.create_connection(Client, "127.0.0.1", port)
    await asyncio.sleep(seconds)
    Client.stopped = True
    await asyncio.sleep(0.2)
    return Client.ok - before


class Stand:
    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="cherrygrade-bench-"))
        self.processes: list[subprocess.Popen[str]] = []
        me = str(Path(__file__).resolve())
        self.nodes, told = self.start([me, "nodes"], 1)
        discovery, *addresses = told
        self.relay, (port,) = self.start([me, "relay", *addresses], 2)
        self.relay_port = int(port)
        config = {"name": "n0", "listen": f"127.0.0.1:{self.free_port()}", "discovery": discovery}
        config |= {"seed": "8c", "settings": SETTINGS, "limits": {"sockets": 1024, "memory_mb": 192}}
        file = self.folder / "config.json"
        file.write_text(json.dumps(config))
        self.log = self.folder / "log"
        self.platform = subprocess.Popen(
            [*cores(3), sys.executable, "-m", "cherrygrade", "platform"],
            cwd=ROOT,
            env={"BALANCER_CONFIG": str(file), "PATH": "/usr/bin:/bin"},
            stderr=self.log.open("w"),
            text=True,
        )
        self.processes.append(self.platform)
        self.port = int(str(config["listen"]).rpartition(":")[2])
        for _ in range(200):
            if '"listening"' in self.log.read_text():
                return
            time.sleep(0.05)
        raise SystemExit("the dispatcher did not start")

    @staticmethod
    def free_port() -> int:
        import socket

        with socket.create_server(("127.0.0.1", 0)) as hold:
            port: int = hold.getsockname()[1]
        return port

    def start(self, parts: list[str], core: int) -> tuple[subprocess.Popen[str], list[str]]:
        process = subprocess.Popen(
            [*cores(core), sys.executable, *parts],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT / "benchmarks",
        )
        self.processes.append(process)
        assert process.stdout is not None
        word, *rest = process.stdout.readline().split()
        if word != "listening":
            raise SystemExit(f"{parts} did not start")
        return process, rest

    async def say(self, what: str) -> int:
        """What the nodes have seen so far."""
        assert self.nodes.stdin is not None and self.nodes.stdout is not None
        self.nodes.stdin.write(what + "\n")
        self.nodes.stdin.flush()
        return int(await asyncio.to_thread(self.nodes.stdout.readline))

    def counts(self) -> dict[str, int]:
        """The dispatcher's last line of counts: it tells one as it ends."""
        lines = [json.loads(line) for line in self.log.read_text().splitlines() if '"counts"' in line]
        return lines[-1]

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait(10)


async def sample(pid: int, seconds: float, folder: Path) -> Counter[str]:
    """Share of samples by part, by the innermost frame that belongs to one."""
    out = folder / "samples"
    spy = await asyncio.create_subprocess_exec(
        str(Path(sys.executable).parent / "py-spy"), "record", "--pid", str(pid), "--format", "raw",
        "--rate", "250", "--duration", str(int(seconds)), "--output", str(out),
        stdout=subprocess.DEVNULL, stderr=subprocess.PIPE,
    )  # fmt: skip
    _, said = await spy.communicate()
    found: Counter[str] = Counter()
    if spy.returncode:
        print(f"py-spy: {said.decode()[-200:].strip()}")
        return found
    for line in out.read_text().splitlines():
        stack, _, count = line.rpartition(" ")
        for frame in reversed(stack.split(";")):
            part = next((name for name, files in PARTS if any(file in frame for file in files)), None)
            if part is not None:
                break
        found[part or "else"] += int(count)
    return found


async def churn(stand: Stand, rounds: int) -> float:
    """Clients, RPCs and nodes that come and go; the memory after it."""
    for _ in range(rounds):
        await window(stand.port, 0.3)
        await stand.say("replace")
        for _ in range(4):  # and clients that connect and say nothing
            idle = [await asyncio.open_connection("127.0.0.1", stand.port) for _ in range(50)]
            for _, writer in idle:
                writer.close()
    await asyncio.sleep(0.5)
    return now_mib(stand.platform)


async def main(quick: bool) -> int:
    stand = Stand()
    try:
        at_start = now_mib(stand.platform)
        await window(stand.port, 5.0)  # windows open by a slot a second
        relayed = await window(stand.relay_port, 1.0)
        seen, made = await stand.say("count"), Client.ok
        ratios, ours, bare = [], [], []
        for _ in range(5 if quick else 15):
            costs = []
            for port, process in ((stand.port, stand.platform), (stand.relay_port, stand.relay)):
                before = cpu_s(process)
                count = await window(port, 1.0 if quick else 3.0)
                costs.append((cpu_s(process) - before) * 1e6 / max(1, count))
                relayed += count if process is stand.relay else 0
            ours.append(costs[0])
            bare.append(costs[1])
            ratios.append(costs[0] / costs[1])
        sends, finals = await stand.say("count") - seen, Client.ok + Client.other - made
        spying = asyncio.create_task(sample(stand.platform.pid, 3 if quick else 10, stand.folder))
        await window(stand.port, 4.5 if quick else 12.0)
        parts = await spying
        first = await churn(stand, 6 if quick else 20)
        last = await churn(stand, 12 if quick else 60)
        total = await stand.say("count")
        stand.platform.terminate()
        await asyncio.to_thread(stand.platform.wait, 10)
        counts = stand.counts()
        unknown = total - relayed - counts["ok"]
    finally:
        stand.close()
    ratio = statistics.median(ratios)
    print(f"CPU an RPC: {statistics.median(ours):.1f} us, relay {statistics.median(bare):.1f} us")
    whole = sum(parts.values())
    for name, count in parts.most_common():
        print(f"  {name}: {count / whole:.0%}, {count / whole * statistics.median(ours):.1f} us")
    print(f"in the windows measured: {sends} sends seen by nodes, {finals} finals")
    told = {key: counts[key] for key in ("ok", "rejected", "errored", "abandoned")}
    print(f"finals that the dispatcher counts: {json.dumps(told)}")
    print(f"sends that none of them stands for: {unknown}")
    print(f"memory, MiB: {at_start:.1f} at start, {first:.1f} after clients and nodes came and went")
    print(f"growth, MiB (bar {GROWTH_BAR_MIB}): {last - first:.2f}")
    print(f"CPU an RPC over the relay (bar {CPU_BAR}, of {len(ratios)} pairs): {ratio:.2f}")
    held = ratio <= CPU_BAR and last - first <= GROWTH_BAR_MIB and not unknown and not Client.other
    return 0 if held else 1


if __name__ == "__main__":
    if sys.argv[1:2] == ["nodes"]:
        asyncio.run(nodes())
    elif sys.argv[1:2] == ["relay"]:
        asyncio.run(relay(sys.argv[2:]))
    else:
        sys.exit(asyncio.run(main("--quick" in sys.argv)))

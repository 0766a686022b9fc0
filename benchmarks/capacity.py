"""Slopes that are no matter of the fleet's size: what a connection, a node, an RPC, a change, a lease cost.

Each from real processes on loopback or from the product's own modules, at four sizes or more, with repeats;
nodes and registers are simulated servers, and so are clients but in `clients`. --quick: fewer repeats and
shorter windows. --report FILE writes what docs/CAPACITY.md is drawn from. --only NAME: one part. Exit code 0
where all was measured; whether a figure is within its budget is the page's business. In full it took 13
minutes on a busy machine, by parts half a minute to five.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import psutil
from bench import ROOT, Peer, Tally, cores, cpu_s, read_rpc
from msgspec import msgpack

from cherrygrade.client.library import Client, Ok
from cherrygrade.compiled import scheduler_class
from cherrygrade.fleet.consensus.council_messages import (
    AcquireLease,
    LeaseAcquired,
    LeasesRenewed,
    RenewLeases,
)
from cherrygrade.fleet.consensus.raft_messages import AnyRaftMessage
from cherrygrade.fleet.consensus.voter import Voter
from cherrygrade.fleet.consensus.voter_effects import VoterEffects
from cherrygrade.fleet.leases.lease_table import lease_digest
from cherrygrade.fleet.runtime.status_query import query_status
from cherrygrade.fleet.runtime.voter_store import VoterStore, create_founding_store
from cherrygrade.scheduling.model import (
    Attempt,
    Node,
    Outcome,
    Request,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.standin.control import Controller
from cherrygrade.transport.connection import Connection
from cherrygrade.wire import messages as wire
from cherrygrade.wire.frames import ProtocolError, encode

ME, HERE = str(Path(__file__).resolve()), ROOT / "benchmarks"
SERVING, LEADER, VOTER = "dispatcher serving", "council leader", "council voter"
SEED, BIRTH = 1, 1_700_000_000_000
LATE_MS = 50.0  # of this program's own event loop, worst in a measured window: beyond it nothing was measured
KEPT_RATE = 0.97  # of the asked rate that has to be answered well
RPCS_S = 517.0
BODY = 1024
FRAME_ENTRIES = 250  # of a list that a register tells in parts
SITE: dict[str, Any] = {
    "workloads": {"read": {"soft_ms": 1000, "deadline_ms": 5000, "value": 3}},
    "volumes": {"v": {"plan": {"name": "p", "usual_rate": 1000000}, "hosts": 1}},
    "earnings": {"largest_units": 256},
    "bounds": {"most_clients": 6000, "most_silent": 6000, "most_held": 20000, "most_open": 20000},
}
WEB = {
    "balancers": 1,
    "ordinal": 0,
    "classes": [
        {"name": "read", "objectiveS": 1.0, "hardLimitS": 3.0, "importance": 3.0, "effect": "retryable"}
    ],
    "extra": {"writes": [False], "meanUnits": 1.0, "largest": 6, "saysOthers": False},
    "grades": [{"name": "plan", "usualRate": 1000000.0}],
    "limits": {"maxAttempts": 4, "connIdleS": 15.0, "connectTimeoutS": 0.25},
    "guarantees": {"drainGraceS": 0.25},
    "membershipMode": "push",
}


class Book:
    """Figures by role, quantity, unit and size; each repeat adds one value."""

    def __init__(self) -> None:
        self.values: dict[tuple[str, str, str, tuple[tuple[str, float], ...]], list[float]] = {}
        self.promises: list[dict[str, Any]] = []
        self.late: list[float] = []
        self.short: list[str] = []

    def add(self, role: str, what: str, unit: str, value: float, **size: float) -> None:
        self.values.setdefault((role, what, unit, tuple(sorted(size.items()))), []).append(value)

    def promise(self, what: str, bound: float, seen: float, held: bool) -> None:
        self.promises.append({"what": what, "bound": bound, "seen": seen, "held": held})

    def figures(self) -> list[dict[str, Any]]:
        return [
            {
                "role": role,
                "what": what,
                "unit": unit,
                "when": "rest",
                "mean": round(sum(values) / len(values), 6),
                "spread": [round(min(values), 6), round(max(values), 6)],
                "size": dict(size),
            }
            for (role, what, unit, size), values in self.values.items()
        ]


class Stand:
    """Processes of one measurement; all ended by `close`, by id."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="cherrygrade-capacity-"))
        self.processes: list[subprocess.Popen[str]] = []

    def start(self, parts: list[str], core: int | None, **more: Any) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [*(cores(core) if core is not None else []), sys.executable, *parts],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=more.pop("stderr", subprocess.DEVNULL),
            text=True,
            **{"cwd": ROOT, **more},
        )
        self.processes.append(process)
        return process

    def told(self, process: subprocess.Popen[str]) -> list[str]:
        assert process.stdout is not None
        word, *rest = process.stdout.readline().split() or [""]
        if word != "listening":
            raise SystemExit(f"{process.args} did not start")
        return rest

    def nodes(self, count: int, core: int = 1) -> tuple[subprocess.Popen[str], str, list[str]]:
        """Simulated nodes and a register that lists them, in one process."""
        process = self.start([ME, "nodes", str(count)], core, cwd=HERE)
        register, *addresses = self.told(process)
        return process, register, addresses

    def dispatcher(
        self,
        register: str,
        core: int | None = 0,
        name: str = "d0",
        place: dict[str, Any] | None = None,
        **site: Any,
    ) -> tuple[subprocess.Popen[str], int]:
        own = {"name": name, "listen": "127.0.0.1:0", "register": register} | (place or {})
        file = self.folder / f"{name}.rec"
        file.write_text(json.dumps({**SITE, **site, "place": own}))
        process = self.start(["-m", "cherrygrade", "serve", str(file)], core)
        return process, int(self.told(process)[0])

    def say(self, process: subprocess.Popen[str], what: str) -> Any:
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(what + "\n")
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    def close(self) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)


def descriptors(process: subprocess.Popen[str]) -> int:
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def memory_kib(process: subprocess.Popen[str] | None = None) -> float:
    who = process.pid if process is not None else "self"
    for line in Path(f"/proc/{who}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return float(line.split()[1])
    raise SystemExit("no memory figure")


class Late:
    """How late this program's own event loop is, while it measures."""

    def __init__(self, book: Book) -> None:
        self.book = book

    async def __aenter__(self) -> None:
        self.task = asyncio.create_task(self._look())

    async def __aexit__(self, *trouble: object) -> None:
        self.task.cancel()

    async def _look(self) -> None:
        while True:
            before = time.perf_counter()
            await asyncio.sleep(0.02)
            self.book.late.append((time.perf_counter() - before - 0.02) * 1000.0)


# Idle clients.


async def connected(port: int, first: bytes, count: int) -> list[asyncio.StreamWriter]:
    """So many clients that said this and were answered, a hundred at a time."""
    made: list[asyncio.StreamWriter] = []

    async def one() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(first)
        await reader.read(4096)
        made.append(writer)

    while len(made) < count:
        await asyncio.gather(*(one() for _ in range(min(100, count - len(made)))))
    return made


async def idle_serve(book: Book, quick: bool) -> None:
    sizes = (250, 1000, 2500, 5000)
    hello = encode(wire.Hello(wire.VERSION, "client", "bench"))
    for _ in range(2 if quick else 3):
        stand = Stand()
        try:
            _, register, _ = stand.nodes(12)
            process, port = stand.dispatcher(register)
            held: list[asyncio.StreamWriter] = []
            for size in sizes:
                held += await connected(port, hello, size - len(held))
                await asyncio.sleep(0.5)
                before, at = cpu_s(process), time.perf_counter()
                await asyncio.sleep(0.5 if quick else 1.5)
                permille = (cpu_s(process) - before) / (time.perf_counter() - at) * 1000.0
                role = SERVING
                book.add(role, "memory", "KiB, native", memory_kib(process), connections=size)
                book.add(role, "descriptors", "native", descriptors(process), connections=size)
                book.add(role, "cpu", "thousandths of a core, idle, native", permille, connections=size)
            for writer in held:
                writer.close()
        finally:
            stand.close()


def platform(stand: Stand, sockets: int) -> tuple[subprocess.Popen[str], int]:
    from platform_door import Stand as Door

    nodes = stand.start([str(ROOT / "benchmarks" / "platform_door.py"), "nodes"], 1, cwd=HERE)
    discovery = stand.told(nodes)[0]
    port = Door.free_port()
    config = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": discovery, "seed": "8c"}
    config |= {"settings": WEB, "limits": {"sockets": sockets, "memory_mb": 192}}
    file, log = stand.folder / "config.json", stand.folder / "log"
    file.write_text(json.dumps(config))
    env = {"BALANCER_CONFIG": str(file), "PATH": "/usr/bin:/bin"}
    process = stand.start(["-m", "cherrygrade", "platform"], 0, env=env, stderr=log.open("w"))
    for _ in range(200):
        if '"endpoints known"' in log.read_text():
            return process, port
        time.sleep(0.05)
    raise SystemExit("the platform's dispatcher did not start")


KEEPS_5000 = 15_279  # limits.sockets, by clients.py's rule: three quarters of clients' places are 5,000


async def idle_platform(book: Book, quick: bool) -> None:
    asks = b"GET /ready HTTP/1.1\r\nHost: n0\r\n\r\n"
    for _ in range(2 if quick else 3):
        stand = Stand()
        try:
            process, port = platform(stand, KEEPS_5000)
            held: list[asyncio.StreamWriter] = []
            for size in (250, 1000, 2500, 5000):
                held += await connected(port, asks, size - len(held))
                await asyncio.sleep(0.5)
                role = SERVING
                book.add(role, "memory", "KiB, platform", memory_kib(process), connections=size)
                book.add(role, "descriptors", "platform", descriptors(process), connections=size)
        finally:
            stand.close()
    for sockets in (14_000, KEEPS_5000 - 10, KEEPS_5000):
        stand = Stand()
        try:
            process, port = platform(stand, sockets)
            before = descriptors(process)
            held = await connected(port, asks, 5000)
            await asyncio.sleep(5.0)
            kept = descriptors(process) - before
            what = f"idle clients of 5,000 that the platform's process keeps 5 s, limits.sockets {sockets}"
            book.promise(what, 5000, kept, kept >= 5000)
        finally:
            stand.close()


# The module alone.


class Sink:
    """A writer that answers nothing by itself; words between dispatchers are counted."""

    def __init__(self) -> None:
        self.now, self.out, self.wakes = 0.0, [], []  # type: ignore[var-annotated]
        self.words = self.bytes = 0

    def send(self, rpc: Request, node: Node, limit_ms: float) -> Attempt:
        send = Attempt(rpc, node, len(rpc.attempts), self.now)
        rpc.attempts.append(send)
        self.out.append(send)
        return send

    def wake(self, after_ms: float) -> None:
        self.wakes.append(self.now + after_ms)

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        self.words, self.bytes = self.words + 1, self.bytes + len(payload)

    def log(self, text: str) -> None:
        pass

    def _ignored(self, *parts: object) -> None:
        pass

    cancel = reject = fail = probe = release = subscribe = fetch = _ignored


def module(count: int, rounds: int) -> None:
    """In a process of its own: prints what so many nodes cost the module."""
    make, compiled = scheduler_class()
    work, plan = Workload("read", 1000.0, 5000.0, 3.0), ServicePlan("p", usual_rate=1e6)
    nodes = [Node(f"10.{at // 250}.{at % 250}.7:7400", f"z{at % 6}", "k", at) for at in range(count)]
    one = make(
        seed=SEED,
        number=0,
        dispatchers=580,
        workloads=[work],
        utility=UtilityModel(),
        slow_start=SlowStartSettings(),
        retry_budget=None,
        policy=SitePolicy(max_attempts=4, max_retry_after_ms=1000.0, allows_gossip=True),
        key_rest_ms=0.0,
    )
    sink, clock = Sink(), time.process_time
    gc.collect()
    empty = memory_kib()
    sink.now = now = 1000.0
    one.decide(now, sink, endpoint_changes=nodes)
    whole = []
    for _ in range(10):
        sink.now = now = now + 50.0
        began = clock()
        one.decide(now, sink, endpoint_changes=nodes)
        whole.append((clock() - began) * 1e6)
    changes = []
    for turn in range(200):
        sink.now = now = now + 50.0
        began = clock()
        one.decide(now, sink, endpoint_changes=[nodes[turn % count]])
        changes.append((clock() - began) * 1e6)
    spent, made = 0.0, 4000 * rounds
    for turn in range(made):
        sink.now = now = now + 1000.0 / RPCS_S
        rpc = Request(
            work, plan, "v", 1, f"k{turn % 997}", turn * 7919 % count, 1.0, now + 4000.0, id=f"{turn}"
        )
        began = clock()
        due = [at for at in sink.wakes if at <= now]
        sink.wakes = [at for at in sink.wakes if at > now]
        for at in sorted({*due}):
            one.decide(at, sink)
        one.decide(now, sink, arrivals=[rpc])
        out, sink.out = sink.out, []
        sink.now = now = now + 1.0
        for send in out:
            send.outcome, send.latency_ms, send.request.finished = Outcome.OK, 1.0, True
        one.decide(now, sink, outcomes=out)
        spent += clock() - began
    gc.collect()
    found = {
        "compiled": compiled,
        "memory": memory_kib() - empty,
        "whole": sorted(whole)[len(whole) // 2],
        "change": sorted(changes)[len(changes) // 2],
        "rpc": spent / made * 1e6,
        "words": sink.words / made,
    }
    print(json.dumps(found), flush=True)


async def modules(book: Book, quick: bool) -> None:
    role = SERVING
    for _ in range(3 if quick else 5):
        for count in (12, 120, 400, 1200):
            line = [*cores(0), sys.executable, ME, "module", str(count), "1" if quick else "3"]
            done = subprocess.run(line, capture_output=True, text=True, cwd=HERE, check=True)
            seen = json.loads(done.stdout)
            book.add(role, "memory", "KiB, module alone", seen["memory"], nodes=count)
            book.add(role, "cpu", "us a changed entry of the list", seen["change"], nodes=count)
            book.add(role, "cpu", "us a whole list", seen["whole"], nodes=count)
            book.add(role, "cpu", "us an RPC, module alone", seen["rpc"], nodes=count)


# Simulated nodes, and a register beside them that tells its list in parts: a frame holds no more.


class QuickDoor:
    """A dispatcher's connection to a node, or to the register, whose `watching` it then joins."""

    def __init__(
        self, node: QuickNode | None, listed: list[wire.Entry], watching: set[QuickDoor] | None = None
    ) -> None:
        self.node, self.listed, self.watching = node, listed, watching
        self.name = ""
        self.conn = Connection(self, 1 << 20)

    def connected(self, conn: Connection) -> None:
        if self.node is not None:
            self.node.doors.add(self)
        elif self.watching is not None:
            self.watching.add(self)

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray:
        return bytearray(length)

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        if isinstance(message, wire.Hello):
            self.name = message.name
            conn.send(wire.Welcome(wire.VERSION, "quick"))
        elif isinstance(message, wire.Follow):
            for at in range(0, len(self.listed), FRAME_ENTRIES):
                part = self.listed[at : at + FRAME_ENTRIES]
                conn.send(wire.Roster(1, 1 + at, at - FRAME_ENTRIES + 1 if at else -1, part))
        elif isinstance(message, wire.ReadSend) and self.node is not None:
            answer = wire.Answer(message.id)
            self.node.asked += 1
            self.node.first.setdefault(self.name, time.perf_counter())
            self.node.said += len(encode(answer, BODY)) + BODY
            conn.send(answer, bytes(BODY))

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        if self.node is not None:
            self.node.doors.discard(self)
            self.node.moved += conn.moved
        elif self.watching is not None:
            self.watching.discard(self)


class QuickNode:
    """`first`: when each dispatcher, by name, first sent something here."""

    def __init__(self) -> None:
        self.doors: set[QuickDoor] = set()
        self.first: dict[str, float] = {}
        self.asked = self.said = self.moved = 0


async def nodes(count: int) -> None:
    """The process of simulated nodes: a line on standard input asks for the counts. "fail": the home of shard
    0 is gone, its connections with it, and the register tells at once that a spare one has the shard."""
    loop = asyncio.get_running_loop()
    made = [QuickNode() for _ in range(count + 1)]
    listed: list[wire.Entry] = []
    servers: list[asyncio.Server] = []
    watching: set[QuickDoor] = set()
    for shard, node in enumerate(made):
        server = await loop.create_server(lambda node=node: QuickDoor(node, []).conn, "127.0.0.1", 0)
        servers.append(server)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        listed.append(wire.Entry(address, f"z{shard % 6}", "k", shard, "live", 1.0, 1, 1e7))
    spare, failed = listed.pop(), 0.0
    register = await loop.create_server(lambda: QuickDoor(None, listed, watching).conn, "127.0.0.1", 0)
    place = f"127.0.0.1:{register.sockets[0].getsockname()[1]}"
    print("listening", place, *(entry.address for entry in listed), flush=True)
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while what := await lines.readline():
        if what == b"fail\n":
            failed = time.perf_counter()
            servers[0].close()
            for door in [*made[0].doors]:
                door.conn.abort("failed")
            gone = wire.Entry(listed[0].address, "z0", "k", 0, "gone", 1.0, 1, 1e7)
            new = wire.Entry(spare.address, "z0", "k", 0, "live", 1.0, 1, 1e7)
            for door in watching:  # the lists of this measurement fit one frame, which was version 1
                door.conn.send(wire.Roster(1, 2, 1, [gone, new]))
        moved = sum(node.moved + sum(door.conn.moved for door in node.doors) for node in made)
        said = sum(node.said for node in made)
        told = {
            "connections": [len(node.doors) for node in made[:count]],
            "took_over_ms": {name: (at - failed) * 1000.0 for name, at in made[-1].first.items()},
            "asked": sum(node.asked for node in made),
            "said": said,
            "heard": moved - said,
        }
        print(json.dumps(told), flush=True)


class Load:
    """RPCs at an even rate over all nodes of one dispatcher."""

    def __init__(self, port: int, count: int, rate: float) -> None:
        self.port, self.rate = port, rate
        self.tally = Tally([])
        self.peer = Peer(read_rpc(BODY, nodes=count), 0, self.tally)
        self.stopped = False

    async def start(self) -> None:
        await asyncio.get_running_loop().create_connection(lambda: self.peer.conn, "127.0.0.1", self.port)
        await self.peer.ready
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        begun, sent = time.perf_counter(), 0
        while not self.stopped:
            due = int((time.perf_counter() - begun) * self.rate)
            while sent < due:
                self.peer.send()
                sent += 1
            await asyncio.sleep(0.002)

    async def end(self) -> None:
        self.stopped = True
        await self.task
        self.peer.conn.close("done")


async def window(book: Book, loads: list[Load], seconds: float, what: str) -> float:
    """RPCs answered well a second over all loads; told as short where they are too few."""
    before, at = sum(len(load.tally.ok) for load in loads), time.perf_counter()
    async with Late(book):
        await asyncio.sleep(seconds)
    rate = (sum(len(load.tally.ok) for load in loads) - before) / (time.perf_counter() - at)
    asked = sum(load.rate for load in loads)
    if rate < KEPT_RATE * asked:
        book.short.append(f"{what}: {rate:.0f} of {asked:.0f} RPCs a second were answered well")
    return rate


async def to_nodes(book: Book, quick: bool) -> None:
    role = SERVING
    for _ in range(1 if quick else 2):
        for count in (2, 12, 120, 400, 1200):
            stand = Stand()
            try:
                simulated, register, _ = stand.nodes(count)
                process, port = stand.dispatcher(register)
                load = Load(port, count, RPCS_S)
                await load.start()
                await asyncio.sleep(3.5)  # each node is met once
                before, spent = stand.say(simulated, ""), cpu_s(process)
                await window(book, [load], 2.0 if quick else 4.0, f"{count} nodes")
                after, spent = stand.say(simulated, ""), cpu_s(process) - spent
                made = after["asked"] - before["asked"]
                book.add(role, "cpu", "us an RPC, native", spent * 1e6 / made, nodes=count)
                book.add(role, "memory", "KiB, native, under load", memory_kib(process), nodes=count)
                book.add(role, "descriptors", "native", descriptors(process), nodes=count)
                book.add(role, "connections", "to nodes", sum(after["connections"]), nodes=count)
                each = RPCS_S / count
                heard, said = (after[key] - before[key] for key in ("heard", "said"))
                node = "storage node"
                book.add(node, "messages received", "a second", each, rpcs=each)
                book.add(node, "bytes received", "a second", heard / made * each, rpcs=each)
                book.add(node, "bytes sent", "a second, 1 KiB reads", said / made * each, rpcs=each)
                await load.end()
            finally:
                stand.close()


async def rates(book: Book, quick: bool) -> None:
    role = SERVING
    for _ in range(1 if quick else 3):
        stand = Stand()
        try:
            simulated, register, _ = stand.nodes(120)
            process, port = stand.dispatcher(register)
            for rate in (100.0, 250.0, RPCS_S, 1000.0, 2000.0):
                load = Load(port, 120, rate)
                await load.start()
                await asyncio.sleep(1.0)
                before, spent, moved = stand.say(simulated, ""), cpu_s(process), load.peer.conn.moved
                at = time.perf_counter()
                await window(book, [load], 1.5 if quick else 3.0, f"{rate:.0f} RPCs a second")
                took = time.perf_counter() - at
                spent, after = cpu_s(process) - spent, stand.say(simulated, "")
                book.add(role, "cpu", "thousandths of a core, native", spent / took * 1000.0, rpcs=rate)
                both = load.peer.conn.moved - moved + sum(after[n] - before[n] for n in ("said", "heard"))
                book.add(role, "bytes sent", "a second, both ways, 1 KiB reads", both / took, rpcs=rate)
                await load.end()
                await asyncio.sleep(0.3)
        finally:
            stand.close()


async def from_many(book: Book, quick: bool) -> None:
    for _ in range(1 if quick else 2):
        for many in (1, 2, 4, 8):
            stand, loads = Stand(), []
            try:
                simulated, register, _ = stand.nodes(12)
                for number in range(many):
                    _, port = stand.dispatcher(register, 2 + number % 5, f"d{number}")
                    loads.append(Load(port, 12, 48.0))
                for load in loads:
                    await load.start()
                await asyncio.sleep(2.0)
                seen = stand.say(simulated, "")["connections"]
                each = sum(seen) / len(seen)
                book.add("storage node", "connections", "from dispatchers", each, dispatchers=many)
                for load in loads:
                    await load.end()
            finally:
                stand.close()


async def takeover(book: Book, quick: bool) -> None:
    """A shard's home fails, the register tells of another at once: until the last dispatcher sends there."""
    for many in (1, 2, 4, 8, 16):
        worst, missing = 0.0, 0
        for _ in range(1 if quick else 3):
            stand, loads = Stand(), []
            try:
                simulated, register, _ = stand.nodes(4)
                for number in range(many):
                    _, port = stand.dispatcher(register, None, f"d{number}")
                    loads.append(Load(port, 4, 60.0))
                for load in loads:
                    await load.start()
                await asyncio.sleep(1.5)
                stand.say(simulated, "fail")
                await asyncio.sleep(2.0)
                seen = stand.say(simulated, "")["took_over_ms"]
                worst, missing = max(worst, *seen.values()), missing + many - len(seen)
                for load in loads:
                    await load.end()
            finally:
                stand.close()
        what = f"{many} dispatchers: from a home's end, told at once, to the last that sends to the next, ms"
        book.promise(what, 19_000, round(worst, 1), worst <= 19_000 and not missing)
        if missing:
            book.short.append(f"takeover: {missing} of {many} never sent to the next home")


# The client library.


async def clients(port: int, count: int, rate: float, seconds: float) -> None:
    """The process of clients, with the library as it ships: prints what they cost."""
    made = [Client(f"127.0.0.1:{port}", f"c{at}") for at in range(count)]
    gc.collect()
    empty = memory_kib()

    async def read(one: Client, turn: int) -> bool:
        got = await one.read("read", "v", f"k{turn}", shard=turn % 12, length=BODY, deadline_ms=4900.0)
        return isinstance(got, Ok)

    for at in range(0, count, 100):
        await asyncio.gather(*(read(one, at) for one in made[at : at + 100]))
    gc.collect()
    full, began, spent = memory_kib(), time.perf_counter(), time.process_time()
    tasks: list[asyncio.Task[bool]] = []
    while (passed := time.perf_counter() - began) < seconds:
        while len(tasks) < int(passed * rate):
            tasks.append(asyncio.create_task(read(made[len(tasks) % count], len(tasks))))
        await asyncio.sleep(0.002)
    oks = sum(await asyncio.gather(*tasks))
    spent = time.process_time() - spent
    told = {"memory": full - empty, "spent": spent / seconds, "oks": oks, "made": len(tasks)}
    print(json.dumps(told), flush=True)
    for one in made:
        one.close()


async def client_library(book: Book, quick: bool) -> None:
    role = "client library"
    stand = Stand()
    try:
        _, register, _ = stand.nodes(12)
        _, port = stand.dispatcher(register)

        async def run(count: int, rate: float) -> dict[str, float]:
            line = [*cores(3), sys.executable, ME, "clients", str(port), str(count), str(rate)]
            line.append("1.0" if quick else "3.0")
            process = await asyncio.create_subprocess_exec(*line, stdout=subprocess.PIPE, cwd=HERE)
            seen: dict[str, float] = json.loads((await process.communicate())[0])
            if seen["oks"] < KEPT_RATE * seen["made"]:
                book.short.append(f"{count} clients at {rate:.0f}: {seen['oks']} of {seen['made']} ok")
            return seen

        for _ in range(2 if quick else 3):
            for count in (100, 400, 1000, 2500):
                seen = await run(count, 50.0)
                book.add(role, "memory", "KiB", seen["memory"], connections=count)
            for rate in (100.0, 250.0, RPCS_S, 1000.0):
                seen = await run(100, rate)
                book.add(role, "cpu", "thousandths of a core", seen["spent"] * 1000.0, rpcs=rate)
    finally:
        stand.close()


# The register, as a stand-in.


async def register(book: Book, quick: bool) -> None:
    role = "register"
    for entries in (12, 120, 240, 320):
        frame = _list_bytes(entries)
        if frame is not None:
            book.add(role, "bytes sent", "a whole list, each dispatcher", frame, nodes=entries)
    most = max(entries for entries in range(1, 1201) if _list_bytes(entries) is not None)
    book.promise("nodes whose whole list the register can tell: one frame holds it", 1200, most, most >= 1200)
    for _ in range(1 if quick else 3):
        stand = Stand()
        try:
            process = stand.start(["-m", "cherrygrade", "standin", "register"], 7)
            port, control = (int(part) for part in stand.told(process))
            teller = Controller(f"127.0.0.1:{control}")
            await teller.connect()

            async def change(at: int, teller: Controller = teller) -> None:
                place = {"address": f"10.0.{at // 250}.{at % 250}:7400", "shard": float(at)}
                await teller.say("set", **place, zone="z1", standing="live", age_ms=1e7)

            for at in range(120):
                await change(at)
            watching: list[asyncio.StreamReader] = []
            writers: list[asyncio.StreamWriter] = []
            for many in (12, 60, 240, 580):
                while len(watching) < many:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(encode(wire.Hello(wire.VERSION, "dispatcher", f"d{len(watching)}")))
                    writer.write(encode(wire.Follow(True)))
                    watching.append(reader)
                    writers.append(writer)
                await asyncio.sleep(0.5)
                await asyncio.gather(*(drained(reader) for reader in watching))
                changes, spent = 20 if quick else 60, cpu_s(process)
                for at in range(changes):
                    await change(at)
                await asyncio.sleep(0.3)
                spent = cpu_s(process) - spent
                bytes_ = sum(await asyncio.gather(*(drained(reader) for reader in watching)))
                book.add(role, "bytes sent", "a changed entry", bytes_ / changes, dispatchers=many)
                book.add(role, "cpu", "us a changed entry", spent * 1e6 / changes, dispatchers=many)
                book.add(role, "connections", "", many, dispatchers=many)
                book.add(role, "descriptors", "", descriptors(process), dispatchers=many)
            for writer in writers:
                writer.close()
        finally:
            stand.close()


async def lists(book: Book, quick: bool) -> None:
    """The register as a stand-in, which tells its list whole: what a dispatcher that starts then answers."""
    for count in (120, 300, 340, 1200):
        stand = Stand()
        try:
            _, _, addresses = stand.nodes(count)
            process = stand.start(["-m", "cherrygrade", "standin", "register"], None)
            port, control = (int(part) for part in stand.told(process))
            teller = Controller(f"127.0.0.1:{control}")
            await teller.connect()
            for shard, address in enumerate(addresses):
                entry = {"address": address, "shard": float(shard), "zone": "z1", "age_ms": 1e7}
                await teller.say("set", **entry, standing="live")
            _, port = stand.dispatcher(f"127.0.0.1:{port}", None)
            await asyncio.sleep(1.5)
            load = Load(port, count, 100.0)
            await load.start()
            async with Late(book):
                await asyncio.sleep(2.0 if quick else 4.0)
            await load.end()
            ok, asked = len(load.tally.ok), load.peer.next - 1
            what = f"RPCs answered well before {count} nodes, by a list that the register tells whole"
            book.promise(what, asked, ok, ok >= KEPT_RATE * asked)
        finally:
            stand.close()


def _list_bytes(entries: int) -> int | None:
    listed = [
        wire.Entry(f"10.0.{at // 250}.{at % 250}:7400", "z1", "k", at, "live", 1.0, 1, 1e7)
        for at in range(entries)
    ]
    try:
        return len(encode(wire.Roster(1, 1, -1, listed)))
    except ProtocolError:
        return None


async def drained(reader: asyncio.StreamReader) -> int:
    """Bytes that lie there."""
    got = 0
    while True:
        try:
            async with asyncio.timeout(0.05):
                got += len(await reader.read(1 << 20))
        except TimeoutError:
            return got


# The council: five voters with their stores on disk, words written and read, in one process.


class Hall:
    """Time is told; what each voter spends is its thread's."""

    def __init__(self, names: list[str]) -> None:
        self.folder = folder = Path(tempfile.mkdtemp(prefix="cherrygrade-capacity-"))
        self.now, self.bytes, self.spent = 0.0, Counter[str](), Counter[str]()
        self.words = Counter[str]()
        self.stores: dict[str, VoterStore] = {}
        self.voters: dict[str, Voter] = {}
        self.answers: list[Any] = []
        self.writes = 0
        for number, name in enumerate(names):
            create_founding_store(folder / name, "bench", name, names)
            store = VoterStore(folder / name, "bench", name, "0")
            self.stores[store.voter_id] = store
            self.voters[store.voter_id] = Voter(store.voter_id, store.load(), names, number, 0.0, 0.005)
        self.encode, self.decode = msgpack.Encoder().encode, msgpack.Decoder(AnyRaftMessage)

    def do(self, me: str, call: Callable[..., VoterEffects], *parts: Any) -> None:
        mail: list[tuple[str, bytes]] = []
        self._one(me, call, parts, mail)
        while mail:
            to, data = mail.pop(0)
            self._one(to, lambda word, now, to=to: self.voters[to].receive(word, now), (data,), mail)

    def _one(
        self, me: str, call: Callable[..., VoterEffects], parts: tuple[Any, ...], mail: list[Any]
    ) -> None:
        began = time.thread_time()
        told = [self.decode.decode(part) if isinstance(part, bytes) else part for part in parts]
        does = call(*told, self.now)
        for step in does.raft_effects:
            self.stores[me].write(step, self.voters[me].raft.log.last_index)
            self.writes += step.has_writes
        for to, word in does.messages:
            data = self.encode(word)
            self.bytes[me] += len(data) + 1
            self.words[me] += 1
            if to in self.voters:
                mail.append((to, data))
        for _, answer in does.replies:
            self.answers.append(answer)
            self.bytes[me] += len(self.encode(answer)) + 1
            self.words[me] += 1
        self.spent[me] += time.thread_time() - began

    def ask(self, me: str, asked: AcquireLease | RenewLeases) -> None:
        self.do(me, lambda now: self.voters[me].request(asked, "", now))

    def forget(self) -> None:
        """What was spent and said so far."""
        for one in (self.spent, self.bytes, self.words, self.answers):
            one.clear()

    def leader(self) -> str:
        for _ in range(4000):
            leads = [me for me, voter in self.voters.items() if voter.is_ready_leader]
            if leads:
                return leads[0]
            self.pass_time(20.0)
        raise SystemExit("nobody leads")

    def pass_time(self, ms: float) -> None:
        self.now += ms
        for me, voter in self.voters.items():
            if voter.next_deadline() <= self.now:
                self.do(me, voter.tick)

    def disk(self) -> float:
        return max((store.folder / "council.mdb").stat().st_size for store in self.stores.values())

    def close(self) -> None:
        for store in self.stores.values():
            store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def council(book: Book, quick: bool) -> None:
    names = [f"v{at}" for at in range(5)]
    for _ in range(1 if quick else 3):
        for count in (100, 400, 1200, 3000):
            hall = Hall(names)
            lead = hall.leader()
            hall.forget()
            for at in range(count):
                hall.ask(lead, AcquireLease(f"a{at}", f"task/{at}", f"d{at % 580}", BIRTH, 10_000.0))
            others = [me for me in hall.voters if me != lead]
            granted = sum(isinstance(one, LeaseAcquired) and bool(one.outcome.number) for one in hall.answers)
            if granted != count or hall.leader() != lead:
                book.short.append(f"council: {granted} of {count} leases granted")
            follower = sum(hall.spent[me] for me in others) / len(others)
            book.add(LEADER, "cpu", "us an entry", hall.spent[lead] * 1e6 / count, entries=count)
            book.add(VOTER, "cpu", "us an entry", follower * 1e6 / count, entries=count)
            book.add(LEADER, "bytes sent", "an entry", hall.bytes[lead] / count, entries=count)
            sent = sum(hall.bytes[me] for me in others) / len(others)
            book.add(VOTER, "bytes sent", "an entry", sent / count, entries=count)
            book.add(VOTER, "disk bytes", "leases held", hall.disk(), entries=count)
            hall.close()
        for many in (40, 120, 240, 580):
            await renewals(book, many, names, 2 if quick else 4)


async def renewals(book: Book, many: int, names: list[str], rounds: int) -> None:
    """So many holders of two leases each; each renews a third of its lease later, spread over that time."""
    hall = Hall(names)
    lead = hall.leader()
    numbers: dict[str, list[tuple[str, int]]] = {}
    for at in range(2 * many):
        holder = f"d{at % many}"
        hall.ask(lead, AcquireLease(f"a{at}", f"task/{at}", holder, BIRTH, 600_000.0))
        took = hall.answers[-1]
        numbers.setdefault(holder, []).append((f"task/{at}", took.outcome.number))
    hall.forget()
    began, turn = hall.now, 0
    for _ in range(rounds):
        for number, (holder, some) in enumerate(numbers.items()):
            hall.ask(lead, RenewLeases(f"{holder}/{BIRTH}/{turn}", holder, BIRTH, lease_digest(some)))
            turn += 1
            hall.pass_time(3333.0 / many if number < many - 1 else 3333.0 / many + 25.0)
    same = sum(isinstance(one, LeasesRenewed) and one.unchanged for one in hall.answers)
    if same != many * rounds:
        odd = next(
            (one for one in hall.answers if not isinstance(one, LeasesRenewed) or not one.unchanged), None
        )
        book.short.append(f"council: {same} of {many * rounds} renewals; {type(odd).__name__} {odd}")
    seconds = (hall.now - began) / 1000.0
    others = [me for me in hall.voters if me != lead]
    for role, some in ((LEADER, [lead]), (VOTER, others)):
        for what, unit, spent in (
            ("cpu", "thousandths of a core, renewals", hall.spent),
            ("bytes sent", "a second, renewals", hall.bytes),
            ("messages sent", "a second, renewals", hall.words),
        ):
            each = sum(spent[me] for me in some) / len(some) / seconds * (1e3 if what == "cpu" else 1.0)
            book.add(role, what, unit, each, dispatchers=many)
    hall.close()


async def holder(book: Book, quick: bool) -> None:
    """What a holder says and hears to renew all that it holds, by how much that is."""
    code = msgpack.Encoder().encode
    for held in (1, 10, 100, 1000):
        numbers = [(f"task/{at}", at) for at in range(held)]
        asked = RenewLeases(f"d579/{BIRTH}/12345", "d579", BIRTH, lease_digest(numbers))
        answer = LeasesRenewed(asked.id, {}, True)
        book.add("lease holder", "bytes sent", "a renewal", len(code(asked)) + 1, leases=held)
        book.add("lease holder", "bytes received", "a renewal", len(code(answer)) + 1, leases=held)
        differs = len(code(LeasesRenewed(asked.id, dict(numbers), False))) + 1
        book.add("lease holder", "bytes received", "a renewal, what is held differs", differs, leases=held)


# Words between dispatchers on nodes: keepers.


async def words(book: Book, quick: bool) -> None:
    """Members that share what they know of nodes (permits.peers), under load: what the fleet carries."""
    for _ in range(1 if quick else 2):
        for rate in (0.0, 50.0, 150.0, 300.0, RPCS_S):
            await _words(book, 4, 24, rate, quick, rpcs=rate)
        for count in (12, 60, 120, 240):
            await _words(book, 4, count, 150.0, quick, nodes=count)
        for many in (2, 4, 8, 16):  # with two nodes each, as the target has
            await _words(book, many, 2 * many, 50.0, quick, dispatchers=many)


async def counted(places: list[str]) -> list[dict[str, Any]]:
    """Counts of all members; a machine that is busy may need a second try."""
    for _ in range(3):
        try:
            return [one["counts"] for one in await asyncio.gather(*(query_status(place) for place in places))]
        except (OSError, TimeoutError, EOFError):
            await asyncio.sleep(0.5)
    raise SystemExit("members do not tell their counts")


async def _words(book: Book, many: int, count: int, rate: float, quick: bool, **size: float) -> None:
    stand, loads = Stand(), []
    places = [f"127.78.0.{number + 1}:7500" for number in range(many)]
    try:
        _, register, _ = stand.nodes(count)
        for number in range(many):
            fleet = {"name": "bench", "place": places[number], "contacts": places[:2]}
            place = {"number": number, "dispatchers": many, "listen": "127.0.0.1:0"}
            _, port = stand.dispatcher(
                register, None, f"d{number}", place, fleet=fleet,
                permits={"peers": True}, earnings={"tells_elsewhere": False, "largest_units": 256},
            )  # fmt: skip
            if rate:
                loads.append(Load(port, count, rate))
        await asyncio.sleep(2.5)
        for load in loads:
            await load.start()
        await asyncio.sleep(3.5)  # keepers have to be settled
        before = await counted(places)
        at = time.perf_counter()
        await window(book, loads, 1.5 if quick else 3.0, f"words, {many} members, {count} nodes")
        after = await counted(places)
        took = time.perf_counter() - at
        for key, what in (
            ("sent_bytes", "bytes sent"),
            ("sent", "messages sent"),
            ("got_bytes", "bytes received"),
            ("got", "messages received"),
        ):
            each = sum(b[key] - a[key] for a, b in zip(before, after, strict=True)) / many / took
            book.add("keeper", what, "a second, words and fleet", each, **size)
        dropped = sum(b["beyond_ration"] - a["beyond_ration"] for a, b in zip(before, after, strict=True))
        unit = "a second, dropped beyond the ration"
        book.add("keeper", "messages received", unit, dropped / many / took, **size)
        for load in loads:
            await load.end()
    finally:
        stand.close()


PARTS: dict[str, Callable[[Book, bool], Awaitable[None]]] = {
    "holder": holder,
    "register": register,
    "lists": lists,
    "council": council,
    "modules": modules,
    "idle_serve": idle_serve,
    "idle_platform": idle_platform,
    "to_nodes": to_nodes,
    "rates": rates,
    "from_many": from_many,
    "takeover": takeover,
    "client_library": client_library,
    "words": words,
}


def commit() -> str:
    line = ["git", "describe", "--always", "--dirty", "--abbrev=12", "--exclude", "*"]
    return subprocess.run(line, cwd=ROOT, capture_output=True, text=True).stdout.strip() or "?"


async def main(quick: bool, only: str, file: str) -> int:
    book, at = Book(), commit()
    for name, part in PARTS.items():
        if only in ("", name):
            began = time.perf_counter()
            await part(book, quick)
            print(f"{name}: {time.perf_counter() - began:.0f} s", flush=True)
    book.late.sort()
    worst = book.late[-1] if book.late else 0.0
    p99 = book.late[int(len(book.late) * 0.99)] if book.late else 0.0
    if p99 > LATE_MS:
        book.short.append(f"own event loop {p99:.0f} ms late at p99, {LATE_MS:.0f} allowed")
    line = ["benchmarks/capacity.py", *(["--quick"] if quick else []), *(["--only", only] if only else [])]
    report = {
        "command": " ".join(line),
        "commit": at,
        "seed": SEED,
        "size": {},
        "machine": {
            "cores": os.cpu_count() or 0,
            "memory_mb": round(psutil.virtual_memory().total / 2**20),
            "load": round(os.getloadavg()[0], 1),
        },
        "measured": "; ".join(book.short) or True,
        "lateness": {"p99 ms": round(p99, 2), "worst ms": round(worst, 2)},
        "figures": book.figures(),
        "promises": book.promises,
    }
    for figure in report["figures"]:  # type: ignore[attr-defined]
        low, high = figure["spread"]
        size = ", ".join(f"{name} {value:g}" for name, value in figure["size"].items())
        print(f"{figure['role']}, {figure['what']}, {figure['unit']} at {size}: ", end="")
        print(f"{figure['mean']:.4g} ({low:.4g} to {high:.4g})")
    for promise in book.promises:
        print(f"{'held' if promise['held'] else 'NOT HELD'}: {promise['what']}: {promise['seen']}")
    print(f"own event loop late: p99 {p99:.1f} ms, worst {worst:.1f} ms")
    for short in book.short:
        print(f"NOT MEASURED: {short}")
    if file:
        write(report, Path(file))
    return 1 if book.short else 0


def write(report: dict[str, Any], file: Path) -> None:
    """One figure a line, so that a change of one shows as one."""
    lines = []
    for key, value in report.items():
        if isinstance(value, list):
            rows = ",\n".join("  " + json.dumps(one) for one in value)
            lines.append(f' "{key}": [\n{rows}\n ]' if rows else f' "{key}": []')
        else:
            lines.append(f' "{key}": {json.dumps(value)}')
    file.write_text("{\n" + ",\n".join(lines) + "\n}\n")


def option(name: str) -> str:
    return sys.argv[sys.argv.index(name) + 1] if name in sys.argv else ""


if __name__ == "__main__":
    if sys.argv[1:2] == ["nodes"]:
        asyncio.run(nodes(int(sys.argv[2])))
    elif sys.argv[1:2] == ["module"]:
        module(int(sys.argv[2]), int(sys.argv[3]))
    elif sys.argv[1:2] == ["clients"]:
        asyncio.run(clients(int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]), float(sys.argv[5])))
    else:
        sys.exit(asyncio.run(main("--quick" in sys.argv, option("--only"), option("--report"))))

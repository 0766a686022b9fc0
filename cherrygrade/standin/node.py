"""A storage node's stand-in: real bytes, cores and a queue, cold starts, and faults on command.

Work is time that passes, not CPU: an RPC of u units holds one core for u * unit_ms / speed. Bytes, and the
tokens of writes, outlive a crash; everything else starts anew.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass
from typing import Any

from cherrygrade.standin.control import open_control, port_of
from cherrygrade.standin.record import Record
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.frames import encode
from cherrygrade.wire.messages import VERSION, Answer, Hello, ReadSend, Welcome, Withdraw, WriteSend

OK, ERRORED, FULL, NOT_HERE, NEWER = 0, 1, 2, 3, 4


@dataclass(slots=True)
class Build:
    """A node's machine. Units of work, ms; `put_off`: a write's later work as a part of its own."""

    cores: int = 2
    unit_ms: float = 2.0
    queue: int = 64
    put_off: float = 0.25
    cold_share: float = 1.0
    warm_ms: float = 0.0
    fall_multiple: float = 3.0
    fall_span_ms: float = 3000.0
    fall_units: float = 0.0


@dataclass(slots=True, eq=False)
class Work:
    """One send in hand; `done` once it was answered or dropped."""

    door: NodeDoor | None
    send: ReadSend | WriteSend | None
    body: Any
    left_ms: float
    done: bool = False


class NodeDoor:
    """One dispatcher's connection."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.name = ""
        self.works: dict[int, Work] = {}  # emptied by answers, withdrawals and the connection's end
        self.drips = bytearray()
        self.cut = False  # broke off within a frame: nothing may follow it
        self.conn = Connection(self, node.most_body)

    def connected(self, conn: Connection) -> None:
        self.node.doors[self] = None

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray:
        return bytearray(length)

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        node = self.node
        if isinstance(message, ReadSend | WriteSend):
            node.receive(self, message, body)
        elif isinstance(message, Withdraw):
            work = self.works.pop(message.id, None)
            if work is not None and work.send is not None:
                node.record.note("withdraw", self.name, work.send.origin, work.send.number)
                node.drop(work)
        elif isinstance(message, Hello):
            self.name = message.name
            if not node.silent:
                conn.send(Welcome(VERSION, node.address, [], node.most_body))

    def trickle(self, rest: bytes, step: int) -> None:
        """Write a few bytes at a time; answers on one line follow each other whole."""
        self.drips.extend(rest)
        if len(self.drips) == len(rest):
            self._drip(step)

    def _drip(self, step: int) -> None:
        self.conn.send_raw(bytes(self.drips[:step]))
        del self.drips[:step]
        if self.drips and self.conn.open:
            asyncio.get_running_loop().call_later(0.005, self._drip, step)

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        self.node.doors.pop(self, None)
        for work in self.works.values():
            assert work.send is not None
            self.node.record.note("lost", self.name, work.send.origin, work.send.number)
            self.node.drop(work)
        self.works.clear()


class Node:
    def __init__(
        self,
        address: str,
        build: Build,
        seed: int = 0,
        record: Record | None = None,
        most_body: int = 16 * 1024 * 1024,
    ) -> None:
        self.address, self.build, self.most_body = address, build, most_body
        self.record = record or Record()
        self.chance = random.Random(seed)
        self.bytes: dict[tuple[str, str], bytearray] = {}
        self.versions: dict[tuple[str, str], int] = {}  # of the extents that it holds
        self.bad: list[tuple[str, str, int, int]] = []  # ranges that cannot be read nor written
        self.tokens: dict[bytes, float] = {}  # until when a repeat is known; cleared as they run out
        self.doors: dict[NodeDoor, None] = {}
        self.starts = self.received = 0
        self._server: asyncio.Server | None = None
        self._control: asyncio.Server | None = None
        self._fresh()

    def _fresh(self) -> None:
        self.queue: deque[Work] = deque()
        self.later: deque[float] = deque()  # work put off, ms each
        self.running = 0
        self.speed, self.errors, self.trickle, self.resets = 1.0, 0.0, 0, 0
        self.silent = self.untold = False
        self.still_until = 0.0
        self.born = asyncio.get_event_loop().time() * 1000.0
        self.arrived: deque[tuple[float, float]] = deque()
        self.volumes: dict[str, float] = {}  # units done, by volume
        self.by: dict[tuple[str, str], float] = {}  # of them, through a dispatcher
        self.seen: dict[tuple[str, str], float] = {}  # others' units last told to a dispatcher
        self.life = getattr(self, "life", 0) + 1

    @property
    def control_port(self) -> int:
        return port_of(self._control)

    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    # Life.

    async def start(self, control: str = "") -> int:
        """Listen, warm; gives the port. A control address of port 0 may be given too."""
        await self.open()
        self.born -= self.build.warm_ms
        if control:
            self._control = await open_control(control, self.act)
        assert self._server is not None
        return int(self.address.rpartition(":")[2])

    async def open(self) -> None:
        """Listen, as a machine that has just come up: cold."""
        host, _, port = self.address.rpartition(":")
        self._fresh()
        self.starts += 1
        self._server = await asyncio.get_running_loop().create_server(
            lambda: NodeDoor(self).conn, host, int(port), backlog=512
        )
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.record.note("start", self.starts, self.address)

    def crash(self) -> None:
        """Drop every connection and stop listening; bytes stay."""
        self.record.note("crash")
        if self._server is not None:
            self._server.close()
            self._server = None
        for door in [*self.doors]:
            door.conn.abort("node crashed")
        self._fresh()

    def close(self) -> None:
        self.crash()
        if self._control is not None:
            self._control.close()

    def restart(self) -> None:
        asyncio.get_running_loop().create_task(self.open())

    def act(self, command: str, values: dict[str, Any]) -> str:
        """A command on the control connection."""
        loop = asyncio.get_running_loop()
        self.record.note("fault", command, values)
        lasting = float(values.get("for_ms", 0.0)) / 1000.0
        if command == "crash":
            self.crash()
            if lasting:
                loop.call_later(lasting, self.restart)
        elif command == "start":
            self.restart()
        elif command == "move":
            # Another machine takes over the bytes: same shard, another address.
            self.crash()
            self.address = self.address.rpartition(":")[0] + ":0"
            self.restart()
        elif command in ("silent", "untold", "errors", "trickle", "resets", "speed"):
            usual = {
                "silent": False,
                "untold": False,
                "errors": 0.0,
                "trickle": 0,
                "resets": 0,
                "speed": 1.0,
            }[command]
            setattr(self, command, type(usual)(values.get("value", 1)))
            if lasting:
                loop.call_later(lasting, setattr, self, command, usual)
        elif command == "still":
            self.still_until = self.now() + lasting * 1000.0
            loop.call_later(lasting, self._pump)
        elif command == "refuse":
            if self._server is not None:
                self._server.close()
                self._server = None
            loop.call_later(lasting, self._listen_again)
        elif command == "extents":
            for index in range(int(values["first"]), int(values["count"]), int(values["step"])):
                self.versions[(str(values["volume"]), f"e{index}")] = 1
        elif command == "received":
            return str(self.received)
        elif command == "flush":
            self.record.flush()
        elif command == "hash":
            return str(len(self.bytes))
        elif command == "address":
            return f"{self.address} {self.starts}"
        else:
            raise ValueError("unknown command")
        return str(self.starts)

    def _listen_again(self) -> None:
        async def again() -> None:
            if self._server is None:
                host, _, port = self.address.rpartition(":")
                self._server = await asyncio.get_running_loop().create_server(
                    lambda: NodeDoor(self).conn, host, int(port), backlog=512
                )

        asyncio.get_running_loop().create_task(again())

    # Work.

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has by now."""
        build = self.build
        if not build.warm_ms or now - self.born >= build.warm_ms:
            return 1.0
        return build.cold_share + (1.0 - build.cold_share) * (now - self.born) / build.warm_ms

    def _pushed_over(self, units: float, now: float) -> bool:
        build = self.build
        if self.warmth(now) >= 1.0:
            return False
        self.arrived.append((now, units))
        while self.arrived and self.arrived[0][0] <= now - build.fall_span_ms:
            self.arrived.popleft()
        capacity = build.cores / build.unit_ms * build.fall_span_ms * self.warmth(now)
        borne = max(build.fall_units, build.fall_multiple * capacity)
        return sum(one for _, one in self.arrived) > borne

    def receive(self, door: NodeDoor, send: ReadSend | WriteSend, body: Any) -> None:
        now = self.now()
        self.received += 1
        kind = "write" if isinstance(send, WriteSend) else "read"
        self.record.note(
            "recv",
            door.name,
            send.origin,
            send.number,
            kind,
            send.volume,
            send.key,
            round(send.units, 4),
            round(send.limit_ms, 1),
            round(self.warmth(now), 3),
        )
        for origin, number in send.others:
            self.record.note(
                "recv",
                door.name,
                origin,
                number,
                kind,
                send.volume,
                send.key,
                0.0,
                round(send.limit_ms, 1),
                1.0,
            )
        work = Work(door, send, body, send.units * self.build.unit_ms)
        door.works[send.id] = work
        if self._pushed_over(send.units, now):
            self.record.note("fell", self.starts)
            self.crash()
            return
        if self.errors and self.chance.random() < self.errors:
            self._answer(work, ERRORED)
        elif len(self.queue) >= self.build.queue:
            self._answer(work, FULL)
        elif not self.build.unit_ms:
            self._finish(work)
        else:
            self.queue.append(work)
            self._pump()

    def _pump(self) -> None:
        """Fill the cores: sends first, work put off where none waits or too much of it stands."""
        now = self.now()
        while self.running < self.build.cores and now >= self.still_until:
            if self.later and (not self.queue or len(self.later) > 32):
                self._run(Work(None, None, None, self.later.popleft()), now)
            elif self.queue:
                work = self.queue.popleft()
                if not work.done:
                    self._run(work, now)
            else:
                return

    def _run(self, work: Work, now: float) -> None:
        self.running += 1
        took = work.left_ms / (self.speed * self.warmth(now))
        asyncio.get_running_loop().call_later(took / 1000.0, self._ran, work, self.life)

    def _ran(self, work: Work, life: int) -> None:
        if life != self.life:
            return
        if self.now() < self.still_until:
            wait = (self.still_until - self.now()) / 1000.0
            asyncio.get_running_loop().call_later(wait, self._ran, work, life)
            return
        self.running -= 1
        if work.send is not None:
            self._finish(work)
        self._pump()

    def drop(self, work: Work) -> None:
        """Withdrawn or its line lost: what waits is dropped, what runs goes on and has its effect."""
        work.door = None
        if work in self.queue:
            work.done = True

    def _finish(self, work: Work) -> None:
        send = work.send
        assert send is not None
        place = (send.volume, send.key)
        if send.version >= 0 and self.versions.get(place) != send.version:
            newer = self.versions.get(place, -1) > send.version
            self._answer(work, NEWER if newer else NOT_HERE)
            return
        held = self.bytes.setdefault(place, bytearray())
        if isinstance(send, WriteSend):
            self._write(held, send, work.body)
            if self.build.put_off:
                self.later.append(send.units * self.build.unit_ms * self.build.put_off)
            self._answer(work, OK)
            return
        body = memoryview(held)[send.offset : send.offset + send.length].tobytes()
        self._answer(work, OK, body + bytes(send.length - len(body)))

    def _write(self, held: bytearray, send: WriteSend, body: Any) -> None:
        now = self.now()
        if send.token:
            if self.tokens.get(send.token, 0.0) > now:
                self.record.note("repeat dropped", send.origin, send.number)
                return
            if len(self.tokens) > 4096:
                self.tokens = {token: until for token, until in self.tokens.items() if until > now}
            self.tokens[send.token] = now + send.token_ms
        at = len(held) if send.append else send.offset
        if len(held) < at:
            held.extend(bytes(at - len(held)))
        held[at : at + len(body or b"")] = body or b""
        self.record.note("effect", send.origin, send.number, send.volume, send.key, at, len(body or b""))

    def _answer(self, work: Work, code: int, body: bytes | None = None) -> None:
        work.done = True
        door, send = work.door, work.send
        if send is None or door is None or door.works.pop(send.id, None) is None:
            return
        if code == OK:
            self.volumes[send.volume] = self.volumes.get(send.volume, 0.0) + send.units
            ours = (door.name, send.volume)
            self.by[ours] = self.by.get(ours, 0.0) + send.units
        if self.silent:
            self.record.note("silent", door.name, send.origin, send.number)
            door.works[send.id] = work  # out for good, until withdrawn or the line ends
            return
        others = self.volumes.get(send.volume, 0.0) - self.by.get((door.name, send.volume), 0.0)
        elsewhere = others - self.seen.get((door.name, send.volume), 0.0)
        load = {}
        if self.untold:  # what others used comes later, all at once
            elsewhere = 0.0
        else:
            self.seen[(door.name, send.volume)] = others
            load = {"waiting": float(len(self.queue)), "in_hand": float(self.running)}
        length = send.length if isinstance(send, ReadSend) else len(work.body or b"")
        failed = [
            (first, last - first)
            for volume, key, first, last in self.bad
            if (volume, key) == (send.volume, send.key)
            and first < send.offset + length
            and send.offset < last
        ]
        version = self.versions.get((send.volume, send.key), -1)
        answer = Answer(send.id, code, load, -1.0, elsewhere, failed, version)
        if door.cut:
            self.record.note("reset", door.name, send.origin, send.number)
            return
        if self.resets > 0:
            door.cut = True
            self.resets -= 1
            self.record.note("reset", door.name, send.origin, send.number)
            whole = encode(answer, len(body or b"")) + (body or b"")
            door.conn.send_raw(whole[: len(whole) // 2])
            asyncio.get_running_loop().call_later(0.005, door.conn.abort, "reset amid an answer")
            return
        for origin, number in [(send.origin, send.number), *send.others]:
            self.record.note("answer", door.name, origin, number, code)
        if self.trickle or door.drips:  # what drips must end before anything follows it
            door.trickle(encode(answer, len(body or b"")) + (body or b""), self.trickle or 65536)
        else:
            door.conn.send(answer, body)

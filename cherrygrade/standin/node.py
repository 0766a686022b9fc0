"""Stand-in of a storage node: it stores bytes, queues requests for its cores, and shows faults on command.

Work is simulated by waiting and uses no CPU time: a request of u units occupies one core for
u * unit_ms / (speed * warm-up share) milliseconds. The stored bytes and the tokens of writes survive a crash;
all other state starts anew.
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
"""The codes of an answer, as `wire.messages.Answer` defines them."""


@dataclass(slots=True)
class Build:
    """The simulated machine of a node.

    The names of the attributes are the keys of the option `--build`.

    Attributes:
        cores: The number of requests that run at the same time.
        unit_ms: The time that one core needs for one unit of work, in milliseconds; with 0 each request
            is answered at once.
        queue: The number of requests that may wait for a core; further ones are answered with FULL.
        put_off: The background work that a write leaves behind, as a share of the write's own work.
        cold_share: The share of the full speed that a node has when it has just started.
        warm_ms: The time from the start to the full speed, in milliseconds; the speed grows linearly.
        fall_multiple: A node that is not warm yet crashes if more than this multiple of the work that it
            can do at its present speed arrives within `fall_span_ms`.
        fall_span_ms: The time span, in milliseconds, over which arriving work is summed for this crash.
        fall_units: The number of units within `fall_span_ms` that never cause this crash.
    """

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
    """One request, or one piece of background work that an earlier write left behind.

    Attributes:
        connection: The connection that the request arrived on; None if the request was withdrawn, if its
            connection was lost, or for background work.
        send: The request; None for background work.
        body: The bytes of a write.
        core_ms: The time that the work occupies a core at full speed, in milliseconds.
        done: True once the request was answered, or dropped from the queue.
    """

    connection: NodeConnection | None
    send: ReadSend | WriteSend | None
    body: Any
    core_ms: float
    done: bool = False


class NodeConnection:
    """The connection of one dispatcher to the node.

    Attributes:
        node: The node that the dispatcher is connected to.
        name: The dispatcher's name from its hello; empty before the hello.
        open_requests: The requests that are not answered yet, by their id. Answers, withdrawals and the
            connection's end remove them.
        unwritten: The bytes that are still to be written piece by piece.
        is_cut: True once an answer was broken off within its frame; nothing may be written after it.
        conn: The connection itself.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.name = ""
        self.open_requests: dict[int, Work] = {}
        self.unwritten = bytearray()
        self.is_cut = False
        self.conn = Connection(self, node.max_body_bytes)

    def connected(self, conn: Connection) -> None:
        """Register the connection with the node."""
        self.node.connections[self] = None

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray:
        """Return a buffer for the body of a write."""
        return bytearray(length)

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        """Handle a request, a withdrawal or the hello; a silent node does not welcome the dispatcher."""
        node = self.node
        if isinstance(message, ReadSend | WriteSend):
            node.receive(self, message, body)
        elif isinstance(message, Withdraw):
            work = self.open_requests.pop(message.id, None)
            if work is not None and work.send is not None:
                node.record.note("withdraw", self.name, work.send.origin, work.send.number)
                node.drop(work)
        elif isinstance(message, Hello):
            self.name = message.name
            if not node.silent:
                conn.send(Welcome(VERSION, node.address, [], node.max_body_bytes))

    def trickle(self, frame: bytes, piece_bytes: int) -> None:
        """Write a frame in pieces, one every 5 ms.

        A frame that is given while another is being written follows after the end of the other.

        Args:
            frame: The bytes to be written.
            piece_bytes: The number of bytes of each piece.
        """
        self.unwritten.extend(frame)
        if len(self.unwritten) == len(frame):
            self._write_piece(piece_bytes)

    def _write_piece(self, piece_bytes: int) -> None:
        self.conn.send_raw(bytes(self.unwritten[:piece_bytes]))
        del self.unwritten[:piece_bytes]
        if self.unwritten and self.conn.open:
            asyncio.get_running_loop().call_later(0.005, self._write_piece, piece_bytes)

    def writable(self, conn: Connection) -> None:
        """Do nothing: answers are written without regard to the connection's backlog."""

    def closed(self, conn: Connection, reason: str) -> None:
        """Drop the connection's open requests, and record each of them as lost."""
        self.node.connections.pop(self, None)
        for work in self.open_requests.values():
            assert work.send is not None
            self.node.record.note("lost", self.name, work.send.origin, work.send.number)
            self.node.drop(work)
        self.open_requests.clear()


class Node:
    """A storage node, which listens at one address for dispatchers.

    The control commands silent, untold, errors, trickle, resets and speed set the attributes of these names.

    Attributes:
        address: Host and port that the node listens at.
        build: The simulated machine.
        max_body_bytes: The longest body of a write, in bytes; it is announced to dispatchers.
        record: Where requests, answers and faults are recorded.
        rng: The random source of the fault "errors".
        bytes: The stored bytes by volume and key.
        versions: The version of each extent that the node stores, by volume and key.
        failing_ranges: Ranges that can be neither read nor written: volume, key, start and end.
        tokens: The times, in ms of the event loop's clock, until which a repeated write is recognized by its
            token.
        connections: The open connections of dispatchers.
        starts: The number of starts.
        received: The number of requests received.
        queue: The requests that wait for a core.
        background_ms: The background work that writes left behind, in milliseconds each.
        running: The number of cores in use.
        speed: The factor of the node's speed; 1 is full speed.
        errors: The probability that a request is answered with ERRORED.
        trickle: The number of bytes of each piece that an answer is written in; 0 for whole answers.
        resets: The number of next answers that break off in their middle, with a reset of the connection.
        silent: True if no request is answered.
        untold: True if answers contain neither the node's load nor the units that others used; the units are
            reported later in one answer.
        stopped_until_ms: The time, on the event loop's clock, before which no work proceeds.
        started_ms: The time, on the event loop's clock, from which the warm-up counts.
        arrivals: Time and units of the requests that arrived within `Build.fall_span_ms`; empty unless the
            node is warming up.
        units_by_volume: The units of the requests answered with OK, by volume.
        units_by_dispatcher: The same by dispatcher and volume.
        reported_units: The units of all others that were last reported to a dispatcher, by dispatcher and
            volume.
        incarnation: The number of starts and crashes; work of an earlier incarnation has no effect.
    """

    def __init__(
        self,
        address: str,
        build: Build,
        seed: int = 0,
        record: Record | None = None,
        max_body_bytes: int = 16 * 1024 * 1024,
    ) -> None:
        self.address, self.build, self.max_body_bytes = address, build, max_body_bytes
        self.record = record or Record()
        self.rng = random.Random(seed)
        self.bytes: dict[tuple[str, str], bytearray] = {}
        self.versions: dict[tuple[str, str], int] = {}
        self.failing_ranges: list[tuple[str, str, int, int]] = []
        self.tokens: dict[bytes, float] = {}
        self.connections: dict[NodeConnection, None] = {}
        self.starts = self.received = 0
        self._server: asyncio.Server | None = None
        self._control: asyncio.Server | None = None
        self._reset()

    def _reset(self) -> None:
        """Begin an incarnation: clear all state but the stored bytes, versions, tokens and counts."""
        self.queue: deque[Work] = deque()
        self.background_ms: deque[float] = deque()
        self.running = 0
        self.speed, self.errors, self.trickle, self.resets = 1.0, 0.0, 0, 0
        self.silent = self.untold = False
        self.stopped_until_ms = 0.0
        self.started_ms = asyncio.get_event_loop().time() * 1000.0
        self.arrivals: deque[tuple[float, float]] = deque()
        self.units_by_volume: dict[str, float] = {}
        self.units_by_dispatcher: dict[tuple[str, str], float] = {}
        self.reported_units: dict[tuple[str, str], float] = {}
        self.incarnation = getattr(self, "incarnation", 0) + 1

    @property
    def control_port(self) -> int:
        """The port of the control connection; 0 if there is none."""
        return port_of(self._control)

    def now(self) -> float:
        """Return the time of the event loop's clock in milliseconds."""
        return asyncio.get_running_loop().time() * 1000.0

    # Start, stop and control commands.

    async def start(self, control: str = "") -> int:
        """Start the node at full speed.

        Args:
            control: The address at which control commands are received; its port may be 0. Without it there
                is no control connection.

        Returns:
            The port that the node listens at.
        """
        await self.open()
        self.started_ms -= self.build.warm_ms
        if control:
            self._control = await open_control(control, self.act)
        assert self._server is not None
        return int(self.address.rpartition(":")[2])

    async def open(self) -> None:
        """Listen, and begin an incarnation whose speed is that of a machine that has just started."""
        host, _, port = self.address.rpartition(":")
        self._reset()
        self.starts += 1
        self._server = await asyncio.get_running_loop().create_server(
            lambda: NodeConnection(self).conn, host, int(port), backlog=512
        )
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.record.note("start", self.starts, self.address)

    def crash(self) -> None:
        """Abort all connections and stop listening; the stored bytes stay."""
        self.record.note("crash")
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in [*self.connections]:
            connection.conn.abort("the storage node crashed")
        self._reset()

    def close(self) -> None:
        """Crash, and stop receiving control commands."""
        self.crash()
        if self._control is not None:
            self._control.close()

    def restart(self) -> None:
        """Start again in a task of its own."""
        asyncio.get_running_loop().create_task(self.open())

    def act(self, command: str, values: dict[str, Any]) -> str:
        """Carry out a control command.

        Args:
            command: The name of the command.
            values: The values of the command; `for_ms` is the time after which a fault ends.

        Returns:
            The value asked for; for most commands, the number of the node's starts.

        Raises:
            KeyError: A value of the command is missing.
            ValueError: The command is unknown, or a value is no number.
        """
        loop = asyncio.get_running_loop()
        self.record.note("fault", command, values)
        duration_s = float(values.get("for_ms", 0.0)) / 1000.0
        if command == "crash":
            self.crash()
            if duration_s:
                loop.call_later(duration_s, self.restart)
        elif command == "start":
            self.restart()
        elif command == "move":
            # Another machine takes over the stored bytes: the shard is the same, the address differs.
            self.crash()
            self.address = self.address.rpartition(":")[0] + ":0"
            self.restart()
        elif command in ("silent", "untold", "errors", "trickle", "resets", "speed"):
            normal_value = {
                "silent": False,
                "untold": False,
                "errors": 0.0,
                "trickle": 0,
                "resets": 0,
                "speed": 1.0,
            }[command]
            setattr(self, command, type(normal_value)(values.get("value", 1)))
            if duration_s:
                loop.call_later(duration_s, setattr, self, command, normal_value)
        elif command == "still":
            self.stopped_until_ms = self.now() + duration_s * 1000.0
            loop.call_later(duration_s, self._start_work)
        elif command == "refuse":
            if self._server is not None:
                self._server.close()
                self._server = None
            loop.call_later(duration_s, self._listen_again)
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
            raise ValueError(f"unknown control command {command!r} of a storage node")
        return str(self.starts)

    def _listen_again(self) -> None:
        async def listen() -> None:
            if self._server is None:
                host, _, port = self.address.rpartition(":")
                self._server = await asyncio.get_running_loop().create_server(
                    lambda: NodeConnection(self).conn, host, int(port), backlog=512
                )

        asyncio.get_running_loop().create_task(listen())

    # Requests.

    def warm_up_share(self, now: float) -> float:
        """Return the share of its full speed that the node has reached since its start, from 0 to 1."""
        build = self.build
        if not build.warm_ms or now - self.started_ms >= build.warm_ms:
            return 1.0
        return build.cold_share + (1.0 - build.cold_share) * (now - self.started_ms) / build.warm_ms

    def _is_overloaded(self, units: float, now: float) -> bool:
        """Return whether a request of these units crashes the node, which only happens while it warms up."""
        build = self.build
        if self.warm_up_share(now) >= 1.0:
            return False
        self.arrivals.append((now, units))
        while self.arrivals and self.arrivals[0][0] <= now - build.fall_span_ms:
            self.arrivals.popleft()
        capacity_units = build.cores / build.unit_ms * build.fall_span_ms * self.warm_up_share(now)
        max_units = max(build.fall_units, build.fall_multiple * capacity_units)
        return sum(arrived for _, arrived in self.arrivals) > max_units

    def receive(self, connection: NodeConnection, send: ReadSend | WriteSend, body: Any) -> None:
        """Record a request, and answer or queue it.

        Args:
            connection: The connection that the request arrived on.
            send: The request.
            body: The bytes of a write.
        """
        now = self.now()
        self.received += 1
        kind = "write" if isinstance(send, WriteSend) else "read"
        self.record.note(
            "recv",
            connection.name,
            send.origin,
            send.number,
            kind,
            send.volume,
            send.key,
            round(send.units, 4),
            round(send.limit_ms, 1),
            round(self.warm_up_share(now), 3),
        )
        for origin, number in send.others:
            self.record.note(
                "recv",
                connection.name,
                origin,
                number,
                kind,
                send.volume,
                send.key,
                0.0,
                round(send.limit_ms, 1),
                1.0,
            )
        work = Work(connection, send, body, send.units * self.build.unit_ms)
        connection.open_requests[send.id] = work
        if self._is_overloaded(send.units, now):
            self.record.note("fell", self.starts)
            self.crash()
            return
        if self.errors and self.rng.random() < self.errors:
            self._answer(work, ERRORED)
        elif len(self.queue) >= self.build.queue:
            self._answer(work, FULL)
        elif not self.build.unit_ms:
            self._finish(work)
        else:
            self.queue.append(work)
            self._start_work()

    def _start_work(self) -> None:
        """Start work on the free cores.

        Requests come first; background work runs if no request waits, or if more than 32 pieces of it wait.
        """
        now = self.now()
        while self.running < self.build.cores and now >= self.stopped_until_ms:
            if self.background_ms and (not self.queue or len(self.background_ms) > 32):
                self._run(Work(None, None, None, self.background_ms.popleft()), now)
            elif self.queue:
                work = self.queue.popleft()
                if not work.done:
                    self._run(work, now)
            else:
                return

    def _run(self, work: Work, now: float) -> None:
        self.running += 1
        duration_ms = work.core_ms / (self.speed * self.warm_up_share(now))
        asyncio.get_running_loop().call_later(duration_ms / 1000.0, self._work_ended, work, self.incarnation)

    def _work_ended(self, work: Work, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        if self.now() < self.stopped_until_ms:
            wait_s = (self.stopped_until_ms - self.now()) / 1000.0
            asyncio.get_running_loop().call_later(wait_s, self._work_ended, work, incarnation)
            return
        self.running -= 1
        if work.send is not None:
            self._finish(work)
        self._start_work()

    def drop(self, work: Work) -> None:
        """Abandon the answer of a request that was withdrawn or whose connection was lost.

        A request that waits in the queue is dropped. One that runs continues and has its effect.
        """
        work.connection = None
        if work in self.queue:
            work.done = True

    def _finish(self, work: Work) -> None:
        send = work.send
        assert send is not None
        extent = (send.volume, send.key)
        if send.version >= 0 and self.versions.get(extent) != send.version:
            newer = self.versions.get(extent, -1) > send.version
            self._answer(work, NEWER if newer else NOT_HERE)
            return
        stored = self.bytes.setdefault(extent, bytearray())
        if isinstance(send, WriteSend):
            self._write(stored, send, work.body)
            if self.build.put_off:
                self.background_ms.append(send.units * self.build.unit_ms * self.build.put_off)
            self._answer(work, OK)
            return
        body = memoryview(stored)[send.offset : send.offset + send.length].tobytes()
        self._answer(work, OK, body + bytes(send.length - len(body)))

    def _write(self, stored: bytearray, send: WriteSend, body: Any) -> None:
        now = self.now()
        if send.token:
            if self.tokens.get(send.token, 0.0) > now:
                self.record.note("repeat dropped", send.origin, send.number)
                return
            if len(self.tokens) > 4096:
                self.tokens = {token: until_ms for token, until_ms in self.tokens.items() if until_ms > now}
            self.tokens[send.token] = now + send.token_ms
        offset = len(stored) if send.append else send.offset
        if len(stored) < offset:
            stored.extend(bytes(offset - len(stored)))
        stored[offset : offset + len(body or b"")] = body or b""
        self.record.note("effect", send.origin, send.number, send.volume, send.key, offset, len(body or b""))

    def _answer(self, work: Work, code: int, body: bytes | None = None) -> None:
        """Answer a request, with the faults that are switched on, unless its answer was abandoned."""
        work.done = True
        connection, send = work.connection, work.send
        if send is None or connection is None or connection.open_requests.pop(send.id, None) is None:
            return
        if code == OK:
            self.units_by_volume[send.volume] = self.units_by_volume.get(send.volume, 0.0) + send.units
            own = (connection.name, send.volume)
            self.units_by_dispatcher[own] = self.units_by_dispatcher.get(own, 0.0) + send.units
        if self.silent:
            self.record.note("silent", connection.name, send.origin, send.number)
            # The request stays open until it is withdrawn or the connection ends.
            connection.open_requests[send.id] = work
            return
        others = self.units_by_volume.get(send.volume, 0.0) - self.units_by_dispatcher.get(
            (connection.name, send.volume), 0.0
        )
        elsewhere = others - self.reported_units.get((connection.name, send.volume), 0.0)
        load = {}
        if self.untold:  # the units that others used are reported later, all at once
            elsewhere = 0.0
        else:
            self.reported_units[(connection.name, send.volume)] = others
            load = {"waiting": float(len(self.queue)), "in_hand": float(self.running)}
        length = send.length if isinstance(send, ReadSend) else len(work.body or b"")
        failed = [
            (first, last - first)
            for volume, key, first, last in self.failing_ranges
            if (volume, key) == (send.volume, send.key)
            and first < send.offset + length
            and send.offset < last
        ]
        version = self.versions.get((send.volume, send.key), -1)
        answer = Answer(send.id, code, load, -1.0, elsewhere, failed, version)
        if connection.is_cut:
            self.record.note("reset", connection.name, send.origin, send.number)
            return
        if self.resets > 0:
            connection.is_cut = True
            self.resets -= 1
            self.record.note("reset", connection.name, send.origin, send.number)
            frame = encode(answer, len(body or b"")) + (body or b"")
            connection.conn.send_raw(frame[: len(frame) // 2])
            asyncio.get_running_loop().call_later(
                0.005, connection.conn.abort, "connection reset in the middle of an answer"
            )
            return
        for origin, number in [(send.origin, send.number), *send.others]:
            self.record.note("answer", connection.name, origin, number, code)
        if self.trickle or connection.unwritten:  # a frame that is being trickled must end before the next
            connection.trickle(encode(answer, len(body or b"")) + (body or b""), self.trickle or 65536)
        else:
            connection.conn.send(answer, body)

"""Links to storage nodes: connections that carry one send at a time.

A send that finds no free connection waits for one that is being made or becomes free. Nothing here is sent
twice, and nothing that has not left leaves any more once its node drains or its RPC is over.
"""

from __future__ import annotations

import asyncio
import math
import re
import select
import socket
from collections import deque
from collections.abc import Callable

from cherrygrade.gateway.rounds import Rounds
from cherrygrade.gateway.wheel import Wheel
from cherrygrade.held import Out
from cherrygrade.http.reader import Message, Reader, Room, closes
from cherrygrade.http.writer import ask
from cherrygrade.interface import Node, Outcome, Standing
from cherrygrade.platform.clients import Asked

NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
NAME = re.compile(rb"[a-z_0-9]{1,32}")
REST_MS = 1.0  # in which a node that closes behind its answer is heard to do so


class Line(asyncio.BufferedProtocol):
    """One connection to a node."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.out: Out | None = None
        self.ready = self.ended = False
        self.quiet_from = 0.0
        self._whole = False  # the last byte of the send is with the system
        self._reader = Reader(answers=True, room=link.sockets.room)
        self._transport: asyncio.Transport | None = None
        self._sock: socket.socket | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._sock = transport.get_extra_info("socket")
        transport.set_write_buffer_limits(high=0)
        if self.ended:
            self.drop()
            return
        self.link.stands(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.link.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.ended:
            return
        out, reader = self.out, self._reader
        if out is None:  # bytes that nobody asked for
            self.drop()
            return
        reader.feed(bytes(self.link.buffer[:nbytes]))
        if reader.found:
            message = reader.found[0]
            more = len(reader.found) > 1 or reader.within or reader.fault is not None
            reader.found.clear()
            reader.let_go()
            self.out = None
            if more or closes(message) or not message.framed:
                self.drop()
            self.link.answered(self, out, message)
        elif reader.fault is not None:
            self.out = None
            self.drop()
            self.link.spoilt(out)

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self._whole = False

    def resume_writing(self) -> None:
        self._whole = True

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._reader.let_go()
        out, self.out, ended, self.ended = self.out, None, self.ended, True
        self.link.lost(self)
        if out is not None and not ended:
            self.link.ended(out, Outcome.RESET if self._whole else Outcome.UNCONNECTED)

    def clean(self) -> bool:
        """Nothing came on it since its last answer, not even its end: guards against bytes of before that
        would be read as the next RPC's answer."""
        if self._sock is None or self._transport is None or self._transport.is_closing():
            return False
        look = select.poll()
        look.register(self._sock.fileno(), select.POLLIN)
        return not look.poll(0)

    def begin(self, out: Out, data: bytes) -> None:
        assert self._transport is not None
        self.out, out.exchange = out, self
        self._whole = True
        self._transport.write(data)
        if self._transport.is_closing():
            self._whole = False  # the system took nothing of it

    def drop(self) -> None:
        """Close at once; nothing is read any more, and nothing of a send leaves any more."""
        self.ended = True
        self._reader.let_go()
        if self._transport is not None:
            if self._sock is not None:
                try:
                    self._sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
            self._transport.abort()
        self.link.lost(self)


class Sockets:
    """Descriptors that links share: when all are used, the connection idle for longest goes for a new one.
    Beside them, the room that large answers share."""

    def __init__(self, most: int, room: Room) -> None:
        self.most, self.used, self.room = most, 0, room
        self.idle: dict[Line, None] = {}  # by when they became idle; emptied by use and by ends

    def take(self) -> bool:
        if self.used >= self.most and self.idle:
            next(iter(self.idle)).drop()
        if self.used >= self.most:
            return False
        self.used += 1
        return True


class Link:
    """All that goes to one node from here. `waiting` is emptied by lines, connects that failed, time-outs."""

    def __init__(
        self,
        node: Node,
        dial: Callable[[Node], tuple[str, int]],
        rounds: Rounds,
        wheel: Wheel[Out],
        sockets: Sockets,
        buffer: memoryview,
        connect_ms: float,
        idle_ms: float,
    ) -> None:
        self.node, self.rounds, self.wheel, self.sockets, self.buffer = node, rounds, wheel, sockets, buffer
        self.connect_ms, self.idle_ms = connect_ms, idle_ms
        self._dial = dial
        self.waiting: deque[Out] = deque()
        self.lines: dict[Line, None] = {}
        self.free: list[Line] = []  # the one used last stands last
        self.making = self.made = 0
        self.shaken = False  # the last connect was reset as it came up
        self._tasks: set[asyncio.Task[None]] = set()

    def carry(self, out: Out) -> None:
        self.waiting.append(out)
        self.pump()

    def pump(self) -> None:
        now = self.rounds.clock()
        while self.waiting and self.free:
            line = self._rested(now)
            self.free.remove(line)
            self.sockets.idle.pop(line, None)
            if not line.clean():
                line.drop()
                continue
            self._begin(line, self.waiting.popleft())
        while len(self.waiting) > self.making and self.sockets.take():
            line = Line(self)
            self.lines[line] = None
            self.making += 1
            task = asyncio.get_running_loop().create_task(self._connect(line))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _rested(self, now: float) -> Line:
        """The one used last of those that rested, else the one used last. Guards against sends that are reset
        because their node closed the connection right behind its last answer, and nobody here knew yet."""
        for line in reversed(self.free):
            if now - line.quiet_from >= REST_MS:
                return line
        return self.free[-1]

    def _begin(self, line: Line, out: Out) -> None:
        asked = out.rpc
        assert isinstance(asked, Asked) and asked.workload is not None and asked.plan is not None
        host, port = self._dial(self.node)
        left = math.floor(out.until_ms - self.rounds.clock())
        fields = (
            (b"X-Call-Id", asked.call),
            (b"X-Call-Class", asked.workload.name.encode("latin-1")),
            (b"X-Storage-Class", asked.plan.name.encode("latin-1")),
            (b"X-Budget-Ms", b"%d" % max(1, left)),
        )
        body = bytes(asked.body) if asked.writes and asked.body else b""
        line.begin(out, ask(asked.method, asked.target, f"{host}:{port}".encode(), fields, body))

    async def _connect(self, line: Line) -> None:
        loop = asyncio.get_running_loop()
        try:
            host, port = self._dial(self.node)
            async with asyncio.timeout(self.connect_ms / 1000.0):
                await loop.create_connection(lambda: line, host, port)
        except (OSError, KeyError) as trouble:  # TimeoutError is an OSError
            line.ended = True
            self.lost(line)
            shaken, self.shaken = self.shaken, isinstance(trouble, ConnectionResetError)
            if self.shaken and not shaken:
                return  # one that is reset as it comes up is its own trouble, two in a row are the node's
            # The node is not there: what waits for a connection never left. With others that stand, it was
            # this one's trouble.
            alive = any(one.ready for one in self.lines)
            while len(self.waiting) > (self.making if alive else 0):
                self.ended(self.waiting.popleft(), Outcome.UNCONNECTED)
                if alive or isinstance(trouble, TimeoutError):
                    break

    def stands(self, line: Line) -> None:
        line.ready, self.shaken = True, False
        self.making -= 1
        self.made += 1
        self._give(line)

    def _give(self, line: Line) -> None:
        line.quiet_from = self.rounds.clock()
        self.free.append(line)
        self.sockets.idle[line] = None
        self.pump()

    def lost(self, line: Line) -> None:
        if line not in self.lines:
            return
        del self.lines[line]
        self.sockets.used -= 1
        self.sockets.idle.pop(line, None)
        if not line.ready:
            self.making -= 1
        if line in self.free:
            self.free.remove(line)
        if self.waiting:  # not from within the loop that lets go
            asyncio.get_running_loop().call_soon(self.pump)

    def answered(self, line: Line, out: Out, message: Message) -> None:
        fields = message.fields
        if message.status == 200 and message.framed:
            outcome = Outcome.OK
        elif message.status in (503, 504) and fields.get(b"x-rejected") == b"1":
            outcome = Outcome.FULL
        else:
            outcome = Outcome.ERRORED
        self._report(out, fields)
        self.ended(out, outcome, message.body)
        if not line.ended:
            self._give(line)

    def _report(self, out: Out, fields: dict[bytes, bytes]) -> None:
        """What cannot be read tells nothing."""
        meter, delta = fields.get(b"x-meter", b""), fields.get(b"x-delta", b"")
        if NUMBER.fullmatch(meter):
            out.used = float(meter) / 100.0
        if NUMBER.fullmatch(delta):
            out.elsewhere = float(delta)
        told = fields.get(b"x-load-report", b"")
        if told.startswith(b"TEXT ") and len(told) < 500:
            for part in told[5:].split(b","):
                name, _, value = part.strip().partition(b"=")
                if NAME.fullmatch(name) and NUMBER.fullmatch(value):
                    out.load[name.decode()] = float(value)

    def spoilt(self, out: Out) -> None:
        """It has run, and its answer is of no use."""
        self.ended(out, Outcome.ERRORED)

    def ended(self, out: Out, outcome: Outcome, body: bytes | None = None) -> None:
        self.wheel.drop(out, out.slot)
        out.exchange = None
        self.rounds.outcome(out, outcome, memoryview(body) if body is not None else None)

    def give_up(self, out: Out, outcome: Outcome) -> None:
        """No answer is waited for any more: its connection closes before anything else is written."""
        if out.outcome is not None:
            return
        line = out.exchange
        if line is None:
            if out in self.waiting:
                self.waiting.remove(out)
            self.ended(out, Outcome.UNSENT)
            return
        line.out = None
        line.drop()
        self.ended(out, outcome)

    def standing_heard(self) -> None:
        """The list spoke of the node: where nothing new may go to it, what has not left stays here."""
        if self.node.standing is not Standing.LIVE:
            kept, self.waiting = self.waiting, deque()
            for out in kept:
                self.ended(out, Outcome.UNSENT)

    @property
    def quiet(self) -> bool:
        """Nothing is out or waits."""
        return not self.waiting and all(line.out is None for line in self.lines)

    def close_idle(self, now: float) -> None:
        gone = self.node.standing is Standing.GONE
        for line in [line for line in self.free if gone or now - line.quiet_from >= self.idle_ms]:
            line.drop()

    def close(self) -> None:
        for task in [*self._tasks]:
            task.cancel()
        for line in [*self.lines]:
            line.drop()

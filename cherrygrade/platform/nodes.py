"""Connections to storage nodes, a pool each; a connection carries one send at a time.

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
from cherrygrade.http.reader import Framing, Message, Reader, Room, closes
from cherrygrade.http.writer import ask
from cherrygrade.inflight import InflightAttempt
from cherrygrade.platform.clients import PendingRequest
from cherrygrade.scheduling.model import Node, NodeState, Outcome

NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
NAME = re.compile(rb"[a-z_0-9]{1,32}")
# Between an answer and the next attempt on its connection. Answers carry no id: a second one that comes late,
# or the close behind the first, finds the connection free and ends it, and is not taken for the next one's.
REST_MS = 10.0
# A connection that is not up after half of the time for connects is raced by another (RFC 8305, 5) and still
# awaited: a lost SYN goes again after a second (RFC 6298), so it may be up shortly after that.
AWAITED_MS = 2000.0


class NodeConnection(asyncio.BufferedProtocol):
    """One connection to a node."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.out: InflightAttempt | None = None
        self.ready = self.late = self.ended = False
        """`late`: raced by another since it was not up in time, and not counted as being made."""
        self.begun_ms = pool.rounds.clock()
        self.quiet_from = 0.0
        self.whole = False  # the last byte of the send is with the system
        self._reader = Reader(answers=True, room=pool.sockets.room)
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
        self.pool.stands(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.ended:
            return
        out, reader = self.out, self._reader
        if out is None:  # bytes that nobody asked for
            self.drop()
            return
        reader.feed(bytes(self.pool.buffer[:nbytes]))
        if reader.found:
            self._take_answer(out)
        elif reader.fault is not None:
            self.out = None
            self.drop()
            self.pool.spoilt(out)

    def _take_answer(self, out: InflightAttempt) -> None:
        reader = self._reader
        message = reader.found[0]
        more = len(reader.found) > 1 or reader.within or reader.fault is not None
        for one in reader.found:  # the body is handed on at once
            self.pool.sockets.room.let_go(one)
        reader.found.clear()
        self.out = None
        # Where not all of the attempt has left, the rest of it would stand in front of the next one.
        if more or closes(message) or message.framing is not Framing.TOLD or not self.whole:
            self.drop()
        self.pool.answered(self, out, message)

    def eof_received(self) -> bool:
        """The node's orderly end, which also ends an answer that told no length; a reset never does."""
        out = self.out
        if out is not None and not self.ended:
            self._reader.end()
            if self._reader.found:
                self._take_answer(out)
        return False

    def pause_writing(self) -> None:
        self.whole = False

    def resume_writing(self) -> None:
        self.whole = True

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._reader.let_go()
        out, self.out, ended, self.ended = self.out, None, self.ended, True
        self.pool.lost(self)
        if out is not None and not ended:
            self.pool.ended(out, Outcome.RESET if self.whole else Outcome.CONNECT_FAILED)

    def clean(self) -> bool:
        """Nothing came on it since its last answer, not even its end: guards against bytes of before that
        would be read as the next RPC's answer."""
        if self._sock is None or self._transport is None or self._transport.is_closing():
            return False
        look = select.poll()
        look.register(self._sock.fileno(), select.POLLIN)
        return not look.poll(0)

    def begin(self, out: InflightAttempt, data: bytes) -> None:
        assert self._transport is not None
        self.out, out.exchange = out, self
        self.whole = True
        self._transport.write(data)
        if self._transport.is_closing():
            self.whole = False  # the system took nothing of it

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
        self.pool.lost(self)


class Sockets:
    """Descriptors that pools share: when all are used, the connection idle for longest goes for a new one.
    Beside them, the room that large answers share."""

    def __init__(self, most: int, room: Room) -> None:
        self.most, self.used, self.room = most, 0, room
        self.idle: dict[NodeConnection, None] = {}  # by when they became idle; emptied by use and by ends

    def take(self) -> bool:
        if self.used >= self.most and self.idle:
            next(iter(self.idle)).drop()
        if self.used >= self.most:
            return False
        self.used += 1
        return True


class ConnectionPool:
    """All that goes to one node from here. `waiting` is emptied by connections, failures, time-outs."""

    def __init__(
        self,
        node: Node,
        dial: Callable[[Node], tuple[str, int]],
        rounds: Rounds,
        wheel: Wheel[InflightAttempt],
        sockets: Sockets,
        buffer: memoryview,
        connect_ms: float,
        idle_ms: float,
    ) -> None:
        self.node, self.rounds, self.wheel, self.sockets, self.buffer = node, rounds, wheel, sockets, buffer
        self.connect_ms, self.idle_ms = connect_ms, idle_ms
        self._dial = dial
        self.waiting: deque[InflightAttempt] = deque()
        self.connections: dict[NodeConnection, None] = {}
        self.free: list[NodeConnection] = []  # the one used last stands last
        self.making = self.made = 0
        self.shaken = False  # the last connect was reset as it came up
        self.alive_ms = 0.0  # when a connection last came up or an answer came
        self.late = 0  # connects that were late since then
        self._tasks: set[asyncio.Task[None]] = set()
        self._rest: asyncio.TimerHandle | None = None

    def carry(self, out: InflightAttempt) -> None:
        self.waiting.append(out)
        self.pump()

    def pump(self) -> None:
        now = self.rounds.clock()
        while self.waiting and self.free:
            connection = self._rested(now)
            if connection is None:
                break
            self.free.remove(connection)
            self.sockets.idle.pop(connection, None)
            if not connection.clean():
                connection.drop()
                continue
            while self.waiting:
                out = self.waiting.popleft()
                if self._may_begin(out):
                    self._begin(connection, out)
                    break
                self.ended(out, Outcome.NOT_SENT)
            else:
                self.free.append(connection)
                self.sockets.idle[connection] = None
        # One that rests is there sooner than one that has yet to be made.
        while len(self.waiting) > self.making + len(self.free) and self.sockets.take():
            connection = NodeConnection(self)
            self.connections[connection] = None
            self.making += 1
            task = asyncio.get_running_loop().create_task(self._connect(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _rested(self, now: float) -> NodeConnection | None:
        """The one used last of those that rested; None where all rest still: it is looked again in time."""
        for connection in reversed(self.free):
            if now - connection.quiet_from >= REST_MS:
                return connection
        if self._rest is None:
            soonest = min(connection.quiet_from for connection in self.free) + REST_MS
            self._rest = asyncio.get_running_loop().call_later((soonest - now) / 1000.0, self._rest_over)
        return None

    def _rest_over(self) -> None:
        self._rest = None
        self.pump()

    def _may_begin(self, out: InflightAttempt) -> bool:
        """Looked at as the bytes leave: since it was decided its client may have gone, its node been told to
        drain, its time or the window for repeats been over."""
        pending, now = out.request, self.rounds.clock_now()
        assert isinstance(pending, PendingRequest)
        if pending.finished or now >= out.expires_ms or self.node.state is not NodeState.LIVE:
            return False
        if pending.client is None or pending.client.look_gone():
            return False
        return self.rounds.module.admission.may_run_again(pending, self.node, now, out)

    def _begin(self, connection: NodeConnection, out: InflightAttempt) -> None:
        pending = out.request
        assert isinstance(pending, PendingRequest)
        assert pending.workload is not None and pending.plan is not None
        host, port = self._dial(self.node)
        left = math.floor(out.expires_ms - self.rounds.clock_now())
        fields = (
            (b"X-Call-Id", pending.call),
            (b"X-Call-Class", pending.workload.name.encode("latin-1")),
            (b"X-Storage-Class", pending.plan.name.encode("latin-1")),
            (b"X-Budget-Ms", b"%d" % max(1, left)),
            *pending.fields,
        )
        body = bytes(pending.body) if pending.is_write and pending.body else b""
        connection.begin(out, ask(pending.method, pending.target, f"{host}:{port}".encode(), fields, body))

    async def _connect(self, connection: NodeConnection) -> None:
        loop = asyncio.get_running_loop()
        patience = loop.call_later(self.connect_ms / 2000.0, self._raced, connection)
        try:
            host, port = self._dial(self.node)
            async with asyncio.timeout((self.connect_ms + AWAITED_MS) / 1000.0):
                await loop.create_connection(lambda: connection, host, port)
        except (OSError, KeyError) as trouble:  # TimeoutError is an OSError
            if connection.ready:
                return  # it came up in the turn of its time-out, and ends with what was begun on it
            connection.ended = True
            self.lost(connection)
            if connection.late:
                return  # what was to be told of it was
            shaken, self.shaken = self.shaken, isinstance(trouble, ConnectionResetError)
            if self.shaken and not shaken:
                return  # one that is reset as it comes up is its own trouble, two in a row are the node's
            # The node is not there: what waits for a connection never left. With others that stand, it was
            # this one's trouble.
            alive = any(one.ready for one in self.connections)
            while len(self.waiting) > (self.making if alive else 0):
                self.ended(self.waiting.popleft(), Outcome.CONNECT_FAILED)
                if alive:
                    break
        finally:
            patience.cancel()

    def _raced(self, connection: NodeConnection) -> None:
        """It is not up in half of the time for connects. One alone, or beside signs of life, is its own
        trouble: another is made beside it. Two without any are the node's: what waits could not connect."""
        if connection.ready or connection.ended:
            return
        connection.late = True
        self.making -= 1
        if self.alive_ms < connection.begun_ms:
            self.late += 1
            if self.late > 1 and len(self.waiting) > self.making:
                self.ended(self.waiting.popleft(), Outcome.CONNECT_FAILED)
        self.pump()

    def _lives(self) -> None:
        self.alive_ms, self.late = self.rounds.clock(), 0

    def stands(self, connection: NodeConnection) -> None:
        connection.ready, self.shaken = True, False
        self._lives()
        self.making -= not connection.late
        self.made += 1
        self._give(connection, self.rounds.clock() - REST_MS)  # nothing was asked on it yet

    def _give(self, connection: NodeConnection, quiet_from: float) -> None:
        connection.quiet_from = quiet_from
        self.free.append(connection)
        self.sockets.idle[connection] = None
        self.pump()

    def lost(self, connection: NodeConnection) -> None:
        if connection not in self.connections:
            return
        del self.connections[connection]
        self.sockets.used -= 1
        self.sockets.idle.pop(connection, None)
        if not (connection.ready or connection.late):
            self.making -= 1
        if connection in self.free:
            self.free.remove(connection)
        if self.waiting:  # not from within the loop that lets go
            asyncio.get_running_loop().call_soon(self.pump)

    def answered(self, connection: NodeConnection, out: InflightAttempt, message: Message) -> None:
        self._lives()
        fields = message.fields
        if message.status == 200 and message.framing is not Framing.NONE:
            outcome = Outcome.OK
        elif message.status in (503, 504) and fields.get(b"x-rejected") == b"1":
            outcome = Outcome.REJECTED
        else:
            outcome = Outcome.FAILED
        self._report(out, fields)
        self.ended(out, outcome, message.body)
        if not connection.ended:
            self._give(connection, self.rounds.clock())

    def _report(self, out: InflightAttempt, fields: dict[bytes, bytes]) -> None:
        """What cannot be read tells nothing."""
        meter, delta = fields.get(b"x-meter", b""), fields.get(b"x-delta", b"")
        if NUMBER.fullmatch(meter):
            out.plan_use = float(meter) / 100.0
        if NUMBER.fullmatch(delta):
            out.units_elsewhere = float(delta)
        told = fields.get(b"x-load-report", b"")
        if told.startswith(b"TEXT ") and len(told) < 500:
            for part in told[5:].split(b","):
                name, _, value = part.strip().partition(b"=")
                if NAME.fullmatch(name) and NUMBER.fullmatch(value):
                    out.load_report[name.decode()] = float(value)

    def spoilt(self, out: InflightAttempt) -> None:
        """It has run, and its answer is of no use."""
        self.ended(out, Outcome.FAILED)

    def ended(self, out: InflightAttempt, outcome: Outcome, body: bytes | None = None) -> None:
        self.wheel.drop(out, out.timer_slot)
        out.exchange = None
        self.rounds.outcome(out, outcome, memoryview(body) if body is not None else None)

    def give_up(self, out: InflightAttempt, outcome: Outcome) -> None:
        """No answer is waited for any more: its connection closes before anything else is written."""
        if out.outcome is not None:
            return
        connection = out.exchange
        if connection is None:
            if out in self.waiting:
                self.waiting.remove(out)
            self.ended(out, Outcome.NOT_SENT)
            return
        connection.out = None
        connection.drop()
        self.ended(out, outcome)

    def client_left(self, out: InflightAttempt) -> None:
        """Nobody waits for the answer: what is not whole with the system stays here."""
        if out.exchange is None or not out.exchange.whole:
            self.give_up(out, Outcome.CANCELLED)

    def standing_heard(self) -> None:
        """The list spoke of the node: where nothing new may go to it, what has not left stays here."""
        if self.node.state is not NodeState.LIVE:
            kept, self.waiting = self.waiting, deque()
            for out in kept:
                self.ended(out, Outcome.NOT_SENT)

    @property
    def quiet(self) -> bool:
        """Nothing is out or waits."""
        return not self.waiting and all(connection.out is None for connection in self.connections)

    def close_idle(self, now: float) -> None:
        gone = self.node.state is NodeState.GONE
        for connection in [one for one in self.free if gone or now - one.quiet_from >= self.idle_ms]:
            connection.drop()

    def close(self) -> None:
        if self._rest is not None:
            self._rest.cancel()
        for task in [*self._tasks]:
            task.cancel()
        waiting, self.waiting = self.waiting, deque()
        for out in waiting:
            self.ended(out, Outcome.NOT_SENT)
        for connection in [*self.connections]:
            connection.drop()

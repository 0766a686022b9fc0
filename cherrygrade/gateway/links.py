"""Links to storage nodes: sends wait here until a connection takes them, and end here in one outcome each.

What proves that a send never ran (unsent, unconnected, full) is told apart from what does not (timed out,
reset, cancelled, errored): a send that has not begun to leave this process has never run.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from cherrygrade.gateway.held import Held, Out
from cherrygrade.gateway.pool import Line, Pool
from cherrygrade.gateway.rounds import Rounds
from cherrygrade.gateway.wheel import Wheel
from cherrygrade.interface import Effect, Node, Outcome, Standing
from cherrygrade.site import Lines
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import (
    VERSION,
    Answer,
    Bye,
    Hello,
    ReadRpc,
    ReadSend,
    Welcome,
    Withdraw,
    WriteRpc,
    WriteSend,
)

CODES = {0: Outcome.OK, 1: Outcome.ERRORED, 2: Outcome.FULL}


class NodeLine:
    """One connection to a node: greets, carries sends, matches answers. Owner of its `Connection`."""

    def __init__(self, link: Link, line: Line) -> None:
        self.link, self.line = link, line
        self.conn = Connection(self, link.most_body)
        self.outs: dict[int, Out] = {}  # sends out on this line; emptied by outcomes and by the line's end
        self.last = 0  # newest stream number given out
        self.let_go = False  # it was we who closed it
        self.greeting: asyncio.TimerHandle | None = None

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "dispatcher", self.link.name))

    def room(self, conn: Connection, message: Any, length: int) -> bytearray | None:
        """A late answer to a send that was given up on has no room: it is read off and dropped."""
        if not isinstance(message, Answer):
            return None
        out = self.outs.get(message.id)
        if out is None or message.code or not isinstance(out.rpc, Held):
            return None
        ask = out.rpc.ask
        wanted = ask.length if isinstance(ask, ReadRpc) else 0
        return bytearray(length) if length == wanted else None

    def frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None:
        if isinstance(message, Answer):
            self._answer(message, body)
        elif isinstance(message, Welcome):
            self.link.stands(self)
        elif isinstance(message, Bye):
            # The node closes: what is out may still be answered, nothing new goes here.
            self.line.closing = True
        else:
            conn.close(f"unexpected {type(message).__name__} from a node")

    def _answer(self, answer: Answer, body: bytearray | memoryview | None) -> None:
        out = self.outs.pop(answer.id, None)
        if out is None:
            if answer.id > self.last:
                self.conn.close("an answer to a send that was never made")
            return
        outcome = CODES.get(answer.code, Outcome.ERRORED)
        held = out.rpc
        assert isinstance(held, Held)
        if outcome is Outcome.OK and isinstance(held.ask, ReadRpc):
            if (0 if body is None else len(body)) != held.ask.length:
                outcome = Outcome.ERRORED  # not the bytes that were asked for
        out.load, out.elsewhere = answer.load, max(0.0, answer.elsewhere)
        out.used = answer.used if answer.used >= 0.0 else None
        self.link.ended(out, self, outcome, body)

    def writable(self, conn: Connection) -> None:
        self.line.full = False
        self.link.pump()

    def closed(self, conn: Connection, why: str) -> None:
        self.link.lost(self, why)


class Link:
    """All that goes to one node from here. `waiting` is emptied by lines, failed connects and time-outs."""

    def __init__(
        self,
        node: Node,
        name: str,
        seed: str,
        rounds: Rounds,
        wheel: Wheel[Out],
        most_body: int,
        lines: Lines,
        log: Callable[..., None],
    ) -> None:
        self.node, self.name, self.rounds, self.wheel = node, name, rounds, wheel
        self.most_body, self.log = most_body, log
        self.connect_ms, self.idle_ms = lines.connect_ms, lines.idle_ms
        self.pool = Pool(seed, lines.most, lines.streams, lines.idle_ms)
        self.waiting: deque[Out] = deque()
        self.lines: dict[Line, NodeLine] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._again: asyncio.TimerHandle | None = None
        self._sweep: asyncio.TimerHandle | None = None

    def carry(self, out: Out) -> None:
        self.waiting.append(out)
        self.pump()

    def pump(self) -> None:
        """Give waiting sends to lines; begin connects where none takes them."""
        while self.waiting:
            line = self.pool.pick()
            if line is None:
                break
            self._start(self.waiting.popleft(), self.lines[line])
        if not self.waiting:
            return
        now = self.rounds.clock()
        while self.pool.wants(len(self.waiting), now):
            line = self.pool.begin(now)
            carried = self.lines[line] = NodeLine(self, line)
            task = asyncio.get_running_loop().create_task(self._connect(carried))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self.pool.connect_from > now and self._again is None:
            wait = (self.pool.connect_from - now) / 1000.0
            self._again = asyncio.get_running_loop().call_later(wait, self._pump_again)

    def _pump_again(self) -> None:
        self._again = None
        self.pump()

    def _start(self, out: Out, carried: NodeLine) -> None:
        held = out.rpc
        assert isinstance(held, Held) and held.ask is not None and held.workload is not None
        carried.last += 1
        out.line, out.stream = carried, carried.last
        carried.outs[out.stream] = out
        self.pool.took(carried.line)
        ask, limit = held.ask, held.give_up_ms - self.rounds.clock()
        if isinstance(ask, WriteRpc):
            tokened = held.workload.effect is Effect.TOKENED
            carried.conn.send(
                WriteSend(
                    out.stream,
                    held.id,
                    held.volume,
                    ask.key,
                    ask.offset,
                    held.units,
                    limit,
                    out.number,
                    held.hosts,
                    ask.token if tokened else b"",
                    held.workload.token_ms if tokened else 0.0,
                    ask.append,
                ),
                held.body,
            )
        else:
            carried.conn.send(
                ReadSend(
                    out.stream,
                    held.id,
                    held.volume,
                    ask.key,
                    ask.offset,
                    ask.length,
                    held.units,
                    limit,
                    out.number,
                    held.hosts,
                )
            )
        carried.line.full = carried.conn.full

    async def _connect(self, carried: NodeLine) -> None:
        host, _, port = self.node.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_ms / 1000.0):
                await loop.create_connection(lambda: carried.conn, host, int(port))
        except (OSError, ValueError) as trouble:  # TimeoutError is an OSError
            self.lost(carried, f"connect: {trouble or type(trouble).__name__}")
            return
        left = self.connect_ms / 1000.0
        carried.greeting = loop.call_later(left, carried.conn.abort, "no welcome in time")

    def stands(self, carried: NodeLine) -> None:
        if carried.greeting is not None:
            carried.greeting.cancel()
        self.pool.stands(carried.line, self.rounds.clock())
        self.pump()
        self._look_idle()

    def _look_idle(self) -> None:
        if self._sweep is None:
            wait = self.idle_ms / 1000.0
            self._sweep = asyncio.get_running_loop().call_later(wait, self._close_unused)

    def _close_unused(self) -> None:
        self._sweep = None
        for line in self.pool.unused(self.rounds.clock()):
            self._let_go(self.lines[line], "idle")
        if self.lines:
            self._look_idle()

    def _let_go(self, carried: NodeLine, why: str) -> None:
        carried.let_go = True
        self.pool.gone(carried.line, self.rounds.clock(), wanted=False)
        carried.conn.close(why)

    def lost(self, carried: NodeLine, why: str) -> None:
        """A line ended, or never came to be: each of its sends ends as reset, it may have run."""
        if self.lines.pop(carried.line, None) is None:
            return
        if carried.greeting is not None:
            carried.greeting.cancel()
        never = not carried.line.ready
        self.pool.gone(carried.line, self.rounds.clock(), wanted=not carried.let_go)
        if not carried.let_go:
            self.log("line lost", node=self.node.address, why=why, out=len(carried.outs))
        outs, carried.outs = carried.outs, {}
        for out in outs.values():
            self.wheel.drop(out, out.slot)
            self.rounds.outcome(out, Outcome.RESET)
        if never and not any(line.ready for line in self.pool.lines):
            # Nothing of these left this process. They are told at once: the module knows what to do about it.
            unconnected, self.waiting = self.waiting, deque()
            for out in unconnected:
                self.wheel.drop(out, out.slot)
                self.rounds.outcome(out, Outcome.UNCONNECTED)
        self.pump()

    def ended(
        self, out: Out, carried: NodeLine, outcome: Outcome, body: bytearray | memoryview | None
    ) -> None:
        self.wheel.drop(out, out.slot)
        self.pool.gave(carried.line, self.rounds.clock())
        self.rounds.outcome(out, outcome, body)
        if self.waiting:
            self.pump()
        elif carried.line.closing and not carried.line.busy:
            self._let_go(carried, "node closed")

    def give_up(self, out: Out, outcome: Outcome) -> None:
        """No answer is waited for any more: timed out or cancelled where it has left, else unsent."""
        if out.line is None:
            self.waiting.remove(out)
            self.rounds.outcome(out, Outcome.UNSENT)
            return
        carried = out.line
        if carried.outs.pop(out.stream, None) is None:
            return
        carried.conn.send(Withdraw(out.stream))
        self.ended(out, carried, outcome, None)

    def standing_heard(self) -> None:
        """The list spoke of the node: where nothing new may go to it, what has not left stays here."""
        if self.node.standing is not Standing.LIVE:
            kept, self.waiting = self.waiting, deque()
            for out in kept:
                self.wheel.drop(out, out.slot)
                self.rounds.outcome(out, Outcome.UNSENT)

    def close(self) -> None:
        for handle in (self._again, self._sweep):
            if handle is not None:
                handle.cancel()
        for task in [*self._tasks]:
            task.cancel()
        for carried in [*self.lines.values()]:
            self._let_go(carried, "dispatcher leaves")

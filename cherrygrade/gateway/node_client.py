"""Links to storage nodes: sends wait here until a connection takes them, and end here in one outcome each.

What proves that a send never ran (unsent, unconnected, full) is told apart from what does not (timed out,
reset, cancelled, errored): a send that has not begun to leave this process has never run.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from cherrygrade.gateway.node_connection_pool import NodeConnectionPool, PooledConnection
from cherrygrade.gateway.rounds import Rounds
from cherrygrade.gateway.timer_wheel import TimerWheel
from cherrygrade.inflight import InflightAttempt, InflightRequest
from cherrygrade.peers.memory_budget import Reservation
from cherrygrade.scheduling.model import Idempotency, Node, NodeState, Outcome
from cherrygrade.settings import NodeConnectionSettings
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import (
    VERSION,
    Answer,
    Bye,
    Hello,
    ReadSend,
    Welcome,
    Withdraw,
    WriteRpc,
    WriteSend,
)

CODES = {0: Outcome.OK, 1: Outcome.FAILED, 2: Outcome.REJECTED, 3: Outcome.NOT_SENT, 4: Outcome.NOT_SENT}
STALE = (3, 4)


class Flight:
    """One frame to a node: a send, or several that share it. Parts leave it as they end."""

    def __init__(self, parts: list[InflightAttempt]) -> None:
        self.parts = parts
        self.line: NodeConnection | None = None
        self.stream = self.low = self.high = 0

    def begin(self, line: NodeConnection, stream: int) -> None:
        self.line, self.stream = line, stream
        self.low = min(out.request.offset for out in self.parts)
        self.high = max(out.request.offset + out.request.length for out in self.parts)


class NodeConnection:
    """One connection to a node: greets, carries sends, matches answers. Owner of its `Connection`."""

    def __init__(self, link: NodeClient, line: PooledConnection) -> None:
        self.link, self.line = link, line
        self.conn = Connection(self, link.most_body, taken=link.unpin)
        self.receiving: Flight | None = None  # whose body is coming in
        # room of what comes in, though its send is over; emptied by its end
        self.keeps: list[Reservation] = []
        self.flights: dict[int, Flight] = {}  # out on this line; emptied by outcomes and by the line's end
        self.last = 0  # newest stream number given out
        self.let_go = False  # it was we who closed it
        self.greeting: asyncio.TimerHandle | None = None

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "dispatcher", self.link.name))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray | memoryview | None:
        """A late answer to a send that was given up on has no room: it is read off and dropped."""
        if not isinstance(message, Answer):
            return None
        flight = self.flights.get(message.id)
        if flight is None or message.code or length != flight.high - flight.low:
            return None
        self.receiving = flight
        held = flight.parts[0].request
        if len(flight.parts) == 1 and isinstance(held, InflightRequest) and held.destination is not None:
            return held.destination if held.length == length else None
        return bytearray(length)

    def on_frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None:
        self._received()
        if isinstance(message, Answer):
            self._answer(message, body)
        elif isinstance(message, Welcome):
            self.link.stands(self)
        elif isinstance(message, Bye):
            # The node closes: what is out may still be answered, nothing new goes here.
            self.line.closing = True
        else:
            conn.close(f"unexpected {type(message).__name__} from a node")

    def _received(self) -> None:
        self.receiving = None
        while self.keeps:
            self.link.unpin(self.keeps.pop())

    def _answer(self, answer: Answer, body: bytearray | memoryview | None) -> None:
        flight = self.flights.pop(answer.id, None)
        if flight is None:
            if answer.id > self.last:
                self.conn.close("an answer to a send that was never made")
            return
        code = CODES.get(answer.code, Outcome.FAILED)
        alone = len(flight.parts) == 1
        for out in flight.parts:
            held, outcome, mine = out.request, code, body
            assert isinstance(held, InflightRequest)
            first = held.offset - flight.low
            if outcome is Outcome.OK and not held.is_write:
                if (0 if body is None else len(body)) != flight.high - flight.low:
                    outcome = Outcome.FAILED  # not the bytes that were asked for
                elif body is not None and not (alone and held.length == len(body)):
                    mine = memoryview(body)[first : first + held.length]
            if outcome is Outcome.OK and any(
                at < held.offset + held.length and held.offset < at + length for at, length in answer.failed
            ):
                outcome = Outcome.FAILED  # its own bytes did not come; those of its mates did
            elif answer.code in STALE:
                if held.version < 0:
                    outcome = Outcome.FAILED
                else:
                    self.link.stale(held)
            out.load_report = answer.load
            if out.carried_by is None:
                out.units_elsewhere = max(0.0, answer.elsewhere)
                out.plan_use = answer.used if answer.used >= 0.0 else None
            self.link.part_ended(out, outcome, mine)
        self.link.flight_over(self)

    def writable(self, conn: Connection) -> None:
        self.line.full = False
        self.link.pump()

    def closed(self, conn: Connection, why: str) -> None:
        self._received()
        self.link.lost(self, why)


def _start_of(out: InflightAttempt) -> int:
    return out.request.offset


class NodeClient:
    """All that goes to one node from here. `waiting` is emptied by lines, failed connects and time-outs."""

    def __init__(
        self,
        node: Node,
        name: str,
        seed: str,
        rounds: Rounds,
        wheel: TimerWheel[InflightAttempt],
        most_body: int,
        lines: NodeConnectionSettings,
        log: Callable[..., None],
        stale: Callable[[InflightRequest], None],
        unpin: Callable[[Reservation], None],
    ) -> None:
        self.node, self.name, self.rounds, self.wheel = node, name, rounds, wheel
        self.most_body, self.log = most_body, log
        self.connect_ms = lines.connect_ms
        self._from = (lines.source, 0) if lines.source else None
        self.pool = NodeConnectionPool(seed, lines.most, lines.streams, lines.idle_ms)
        self.waiting: deque[Flight] = deque()
        self.stale, self.unpin = stale, unpin
        self.lines: dict[PooledConnection, NodeConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._again: asyncio.TimerHandle | None = None
        self._sweep: asyncio.TimerHandle | None = None

    def carry(self, outs: list[InflightAttempt]) -> None:
        """One send, or several that share one frame."""
        flight = Flight(outs)
        for out in outs:
            out.frame = flight
        self.waiting.append(flight)
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
            carried = self.lines[line] = NodeConnection(self, line)
            task = asyncio.get_running_loop().create_task(self._connect(carried))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self.pool.connect_from > now and self._again is None:
            wait = (self.pool.connect_from - now) / 1000.0
            self._again = asyncio.get_running_loop().call_later(wait, self._pump_again)

    def _pump_again(self) -> None:
        self._again = None
        self.pump()

    def _start(self, flight: Flight, carried: NodeConnection) -> None:
        carried.last += 1
        flight.begin(carried, carried.last)
        carried.flights[flight.stream] = flight
        self.pool.took(carried.line)
        lead, others = flight.parts[0], [(out.request.id, out.number) for out in flight.parts[1:]]
        held, now = lead.request, self.rounds.clock()
        assert isinstance(held, InflightRequest) and held.workload is not None
        limit = max(out.request.deadline_ms for out in flight.parts) - now
        length, units = flight.high - flight.low, lead.coalesced_units or held.units
        if held.is_write:
            ask = held.rpc
            assert isinstance(ask, WriteRpc)
            tokened = held.workload.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            bodies = [
                out.request.body
                for out in sorted(flight.parts, key=_start_of)
                if isinstance(out.request, InflightRequest)
            ]
            rooms = [
                out.claim or out.request.memory_claim()
                for out in flight.parts
                if isinstance(out.request, InflightRequest)
            ]
            holds = [claim for claim in rooms if claim is not None]
            for claim in holds:
                claim.pin()  # until the socket has taken them
            carried.conn.send(
                WriteSend(
                    flight.stream,
                    held.id,
                    held.volume,
                    held.key,
                    flight.low,
                    units,
                    limit,
                    lead.number,
                    held.dispatchers,
                    ask.token if tokened else b"",
                    held.workload.deduplication_window_ms if tokened else 0.0,
                    ask.append,
                    held.version,
                    others,
                ),
                bodies[0],
                bodies[1:],
                holds,
            )
        else:
            carried.conn.send(
                ReadSend(
                    flight.stream,
                    held.id,
                    held.volume,
                    held.key,
                    flight.low,
                    length,
                    units,
                    limit,
                    lead.number,
                    held.dispatchers,
                    held.version,
                    others,
                )
            )
        carried.line.full = carried.conn.full

    async def _connect(self, carried: NodeConnection) -> None:
        host, _, port = self.node.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_ms / 1000.0):
                await loop.create_connection(lambda: carried.conn, host, int(port), local_addr=self._from)
        except (OSError, ValueError) as trouble:  # TimeoutError is an OSError
            self.lost(carried, f"connect: {trouble or type(trouble).__name__}")
            return
        left = self.connect_ms / 1000.0
        carried.greeting = loop.call_later(left, carried.conn.abort, "no welcome in time")

    def stands(self, carried: NodeConnection) -> None:
        if carried.greeting is not None:
            carried.greeting.cancel()
        self.pool.stands(carried.line, self.rounds.clock())
        self.pump()
        self._look_idle()

    def _look_idle(self) -> None:
        if self._sweep is None:
            wait = self.pool.idle_ms / 1000.0
            self._sweep = asyncio.get_running_loop().call_later(wait, self._close_unused)

    def _close_unused(self) -> None:
        self._sweep = None
        for line in self.pool.unused(self.rounds.clock()):
            self._let_go(self.lines[line], "idle")
        if self.lines:
            self._look_idle()

    def _let_go(self, carried: NodeConnection, why: str) -> None:
        carried.let_go = True
        self.pool.gone(carried.line, self.rounds.clock(), wanted=False)
        carried.conn.close(why)

    def lost(self, carried: NodeConnection, why: str) -> None:
        """A line ended, or never came to be: each of its sends ends as reset, it may have run."""
        if self.lines.pop(carried.line, None) is None:
            return
        if carried.greeting is not None:
            carried.greeting.cancel()
        never = not carried.line.ready
        self.pool.gone(carried.line, self.rounds.clock(), wanted=not carried.let_go)
        if not carried.let_go:
            self.log("line lost", node=self.node.address, why=why, out=len(carried.flights))
        flights, carried.flights = carried.flights, {}
        for flight in flights.values():
            for out in flight.parts:
                self.part_ended(out, Outcome.RESET)
        if never and not any(line.ready for line in self.pool.lines):
            # Nothing of these left this process. They are told at once: the module knows what to do about it.
            self._keep_back(Outcome.CONNECT_FAILED)
        self.pump()

    def _keep_back(self, outcome: Outcome) -> None:
        """What has not begun to leave stays here."""
        kept, self.waiting = self.waiting, deque()
        for flight in kept:
            for out in flight.parts:
                self.part_ended(out, outcome)

    def part_ended(
        self, out: InflightAttempt, outcome: Outcome, body: bytearray | memoryview | None = None
    ) -> None:
        self.wheel.remove(out, out.timer_slot)
        self.rounds.record_outcome(out, outcome, body)
        flight: Flight | None = out.frame
        claim, out.claim = out.claim, None
        if flight is not None and flight.line is not None and flight.line.receiving is flight:
            held = out.request  # nobody waits for its bytes any more, but they go on coming in
            if (
                claim is None
                and isinstance(held, InflightRequest)
                and (claim := held.memory_claim()) is not None
            ):
                claim.pin()
            if claim is not None:
                flight.line.keeps.append(claim)
        elif claim is not None:
            self.unpin(claim)

    def flight_over(self, carried: NodeConnection) -> None:
        self.pool.gave(carried.line, self.rounds.clock())
        if self.waiting:
            self.pump()
        elif carried.line.closing and not carried.line.busy:
            self._let_go(carried, "node closed")

    def give_up(self, out: InflightAttempt, outcome: Outcome) -> None:
        """No answer is waited for any more: timed out or cancelled where it has left, else unsent.

        Others that share its frame go on.
        """
        flight: Flight | None = out.frame
        if flight is None or out not in flight.parts or out.outcome is not None:
            return
        if flight.line is None:
            flight.parts.remove(out)
            if not flight.parts:
                self.waiting.remove(flight)
            self.part_ended(out, Outcome.NOT_SENT)
            return
        if flight.line.flights.get(flight.stream) is not flight:
            return
        self.part_ended(out, outcome)
        if len(flight.parts) > 1:
            flight.parts.remove(out)
            return
        del flight.line.flights[flight.stream]
        flight.line.conn.send(Withdraw(flight.stream))
        self.flight_over(flight.line)

    def standing_heard(self) -> None:
        """The list spoke of the node: where nothing new may go to it, what has not left stays here."""
        if self.node.state is not NodeState.LIVE:
            self._keep_back(Outcome.NOT_SENT)

    def close(self) -> None:
        for handle in (self._again, self._sweep):
            if handle is not None:
                handle.cancel()
        for task in [*self._tasks]:
            task.cancel()
        self._keep_back(Outcome.NOT_SENT)
        for carried in [*self.lines.values()]:
            self._let_go(carried, "dispatcher leaves")

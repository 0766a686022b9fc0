"""The platform's dispatcher: clients, pools, discovery and rounds, and their life from start to end."""

from __future__ import annotations

import asyncio
import os
import select
import signal
import sys
import time
from collections.abc import Callable, Mapping

from cherrygrade.compiled import dispatcher
from cherrygrade.gateway.life import LEFT_BROKEN, LEFT_BY_FORCE, LEFT_CLEAN, Alarm, module_broke, serve
from cherrygrade.gateway.rounds import Rounds
from cherrygrade.gateway.wheel import Wheel
from cherrygrade.http.reader import Fault, Message, Room
from cherrygrade.inflight import InflightAttempt, InflightRequest
from cherrygrade.logs import plain_log
from cherrygrade.peers.arrivals import Arrivals
from cherrygrade.platform.clients import ClientConnection, PendingRequest, read_rpc
from cherrygrade.platform.config import Config, ConfigError, read_config
from cherrygrade.platform.discovery import DiscoveryClient
from cherrygrade.platform.listing import Listing
from cherrygrade.platform.nodes import ConnectionPool, Sockets
from cherrygrade.platform.watching import BLIND_MS, READY_MS
from cherrygrade.scheduling.model import Node, NodeState, Outcome
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.transport.listening import listen

ANSWER_MS, GRAIN_MS = 4.0, 1.0  # kept back from each client's time for the answer; how late a time-out may be
SILENT_MS, SHORT_MS, LONG_MS = 2000.0, 2000.0, 60000.0  # silence from the start; idle in a crowd, and else
SWEEP_S, TELL_S = 0.25, 10.0
KNOCK_MS = 700.0  # that clients still come after the order to leave
STAY_MS = 3000.0  # the platform kills no sooner than the longest deadline, this at most, and KNOCK_MS later
# Before that clients are sent away, and what is still held is errored. Who is sent away meets nobody.
TURN_MS, CUT_MS = 270.0, 170.0
FLUSH_MS = 90.0  # from then on, for clients to take their last answers and to end their side
LINGER_MS = 1000.0  # for one client to end its side behind our end of its connection
# Listener, discovery thrice, event loop, standard streams, what Python opens; and those accepted in one turn.
OWN_SOCKETS = 40
BACKLOG, ABREAST = 512, 16
DOOR_TURNS, EMPTY_TURNS = 64, 3  # of the event loop, for whoever the system has accepted as the door closes
BUFFER = 16 * 1024


class Platform:
    """One dispatcher. Pools are a node each, clients a connection each."""

    def __init__(
        self,
        config: Config,
        log: Callable[..., None],
        make: Callable[..., Scheduler],
        env: Mapping[str, str] = os.environ,
    ) -> None:
        self.config, self.log, self.env = config, log, env
        pairs = config.pairs
        self.workloads, self.plans = pairs.workloads(), pairs.plans()
        self.connect_ms = pairs.ms("limits.connectTimeoutS", 0.25)
        self.idle_ms = 0.6 * pairs.ms("limits.connIdleS", 15.0)
        self.leaving = self.closing = self.ended = self.sighted = self.ready = False
        """`sighted`: nodes are known. What discovery has counts from the first moment on, and the list in
        the file may be old: nothing is sent before discovery has told its own. `ready` comes with it, or
        after READY_MS without it: then clients are told when to come back."""
        self._ends_at = float("inf")
        self._code = LEFT_CLEAN
        self.refused = self.left_count = 0
        self.finals = {200: 0, 503: 0, 502: 0}
        self.buffer = memoryview(bytearray(BUFFER))
        self.clients: dict[ClientConnection, None] = {}
        self.resting: dict[ClientConnection, None] = {}  # who has its answer, by when; until it asks
        self.lingering: dict[ClientConnection, None] = {}  # ended by us, by when; until its end
        self.open: dict[bytes, PendingRequest] = {}  # by call id; emptied by final answers and leavings
        self.pools: dict[Node, ConnectionPool] = {}
        self.nodes = NodeTable()
        self.wheel: Wheel[InflightAttempt] = Wheel(GRAIN_MS)
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        spare = config.sockets - OWN_SOCKETS
        self.most_lingering = max(4, spare // 16)
        self.most_clients = spare // 2 - self.most_lingering
        self.arrivals: Arrivals[ClientConnection] = Arrivals(self.most_clients, self.most_clients // 2)
        # What nodes bring and what clients have not taken yet each get a part of the memory; so does what
        # clients bring, which is held twice while it leaves for a node.
        self.room = Room(config.memory_mb * 1024 * 1024 // 4)
        self.long_requests = Room(config.memory_mb * 1024 * 1024 // 8, copies=2)
        self.sockets = Sockets(spare - spare // 2, self.room)
        module = pairs.dispatcher(make, config.seed)
        self.rounds = Rounds(module, self, self._crashed, lambda text: log("module", text=text))
        # One reading of both clocks: a node's birth is told in Unix time.
        offset = asyncio.get_running_loop().time() * 1000.0 - time.time() * 1000.0
        self.listing = Listing(self.nodes, lambda unix: unix + offset)
        name = f"{config.seed}:{config.name}"
        clock = self.rounds.clock
        self.discovery = DiscoveryClient(config.discovery, name, self.listing, clock, self._heard, log)
        self._alarm = Alarm(self.wheel, clock, self.before_round)
        self._server: asyncio.Server | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}

    # Life.

    async def start(self) -> int:
        loop = asyncio.get_running_loop()
        self.discovery.start()
        self._timers["blind"] = loop.call_later(BLIND_MS / 1000.0, self._by_known)
        self._timers["ready"] = loop.call_later(READY_MS / 1000.0, self._ready_unsighted)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._sweep()
        self._tell()
        self._server = await listen(lambda: ClientConnection(self), self.config.listen, BACKLOG, ABREAST)
        port: int = self._server.sockets[0].getsockname()[1]
        self.log("listening", address=self.config.listen)
        return port

    def _ready_unsighted(self) -> None:
        """Who never gets ready is not used: clients are told to come back instead, until nodes are known."""
        if not self.ready:
            self.ready = True
            self.log("ready without a list: discovery is silent")

    def _by_known(self) -> None:
        """Discovery is silent, and a list that may be old serves better than none."""
        if not self.sighted:
            self.log("list of the file taken: discovery is silent", version=self.config.known.get("seq"))
            self._heard(self.listing.hear(self.config.known) or [])

    def reload(self) -> None:
        """The file is read anew: a bad one changes nothing. Only discovery's address is taken."""
        try:
            config = read_config(self.env)
        except ConfigError as trouble:
            self.log("reload refused", why=str(trouble))
            return
        old, self.config = self.config, config
        kept = [
            key
            for key, now, before in (
                ("listen", config.listen, old.listen),
                ("limits.sockets", config.sockets, old.sockets),
                ("settings", config.pairs.same(), old.pairs.same()),
            )
            if now != before
        ]
        self.log("reloaded", discovery=config.discovery, not_taken=kept)
        if config.discovery != self.discovery.address:
            self.discovery.move(config.discovery)

    def leave(self) -> None:
        """Take what still comes for a moment, finish what is held, end; a second call ends at once."""
        if self.leaving:
            self._end(LEFT_BY_FORCE)
            return
        self.leaving = True
        self.log("leaving", held=len(self.open), clients=len(self.clients))
        # Who comes after this one comes at the platform's time, however soon this one ends: until shortly
        # before it, clients are served on the connections that they have.
        longest = max(workload.deadline_ms for workload in self.workloads.values())
        stays = min(longest, STAY_MS) + KNOCK_MS
        self._ends_at = self.rounds.clock() + stays - CUT_MS
        loop = asyncio.get_running_loop()
        self._timers["knock"] = loop.call_later(KNOCK_MS / 1000.0, self._knock_over)
        self._timers["turn"] = loop.call_later((stays - TURN_MS) / 1000.0, self._shut)
        self._timers["leave"] = loop.call_later((stays - CUT_MS) / 1000.0, self._end, LEFT_BY_FORCE)

    def _knock_over(self) -> None:
        del self._timers["knock"]
        self._look_done()

    def _close_door(self, turns: int = DOOR_TURNS, empty: int = 0) -> None:
        """Nobody new comes any more. Closing the listener resets whoever the system has accepted and we have
        not, and asyncio drops whom it accepted in the turn before: they are let in first."""
        if self._server is None:
            return
        door = select.poll()
        door.register(self._server.sockets[0].fileno(), select.POLLIN)
        empty = 0 if door.poll(0) else empty + 1
        if turns and empty <= EMPTY_TURNS:
            asyncio.get_running_loop().call_soon(self._close_door, turns - 1, empty)
            return
        server, self._server = self._server, None
        server.close()
        self._look_done()

    def _shut(self) -> None:
        """Nobody new comes any more, and who is here goes with the next answer."""
        self.closing = True
        self._close_door()
        for client in [*self.clients]:
            if client.idle and not (client.within or client.unread):
                client.end()
        self._look_done()

    def _look_done(self) -> None:
        loop = asyncio.get_running_loop()
        if self.ended:
            if not (self.clients or self.lingering or self._server is not None):
                loop.call_soon(self._finish)
            return
        comes = self._server is not None if self.closing else "knock" in self._timers
        if self.leaving and not (comes or self.clients or self.open):
            loop.call_soon(self._end, LEFT_CLEAN)

    def _end(self, code: int) -> None:
        """Every request gets its final answer now, and clients a moment to take it."""
        if self.ended:
            return
        self.ended = self.closing = True
        self._code = code
        self.rounds.end()
        for pool in self.pools.values():
            pool.close()
        admission, whole = (
            self.rounds.module.admission,
            code != LEFT_BROKEN,
        )  # a broken module's word is not taken
        for pending in [*self.open.values()]:
            self._final(pending, 503 if whole and admission.may_reject(pending) else 502)
        self.discovery.close()
        self._alarm.close()
        for timer in self._timers.values():
            timer.cancel()
        for client in [*self.clients]:
            if not client.unread:  # else it is read in the next turn, and told to come back
                client.turn_out(503)
        self._timers["flush"] = asyncio.get_running_loop().call_later(FLUSH_MS / 1000.0, self._finish)
        self._close_door()
        self._look_done()

    def _finish(self) -> None:
        if self.done.done():
            return
        self._timers["flush"].cancel()
        if self._server is not None:
            self._server.close()
        for client in [*self.clients, *self.lingering]:
            client.cut()
        self._tell()
        self._timers["tell"].cancel()
        self.log("ended", code=self._code)
        self.done.set_result(self._code)

    def _crashed(self, trouble: Exception, round_: str) -> None:
        module_broke(self.log, trouble, round_)
        self._end(LEFT_BROKEN)

    def _sweep(self) -> None:
        """What has been silent for too long goes; nodes that are gone are forgotten."""
        now = self.rounds.clock()
        crowd = len(self.clients) > self.most_clients * 3 // 4
        unsent = {client: client.unsent for client in [*self.clients, *self.lingering] if client.unsent}
        while sum(unsent.values()) > self.room.most:
            # Answers that wait for clients to take them would be the process's end, and everybody's.
            slowest = max(unsent, key=unsent.__getitem__)
            del unsent[slowest]
            slowest.cut()
        for client in [*self.lingering]:
            if now - client.quiet_from >= (SILENT_MS if client.unsent else LINGER_MS):
                client.cut()
        for client in [*self.clients]:
            if not client.idle:
                continue
            quiet = now - client.quiet_from
            silent = not client.spoken or client.within
            if quiet >= (SILENT_MS if silent else SHORT_MS if crowd else LONG_MS) and not client.unread:
                client.turn_out()
        for pool in [*self.pools.values()]:
            pool.close_idle(now)
        for node in [*self.listing.dials]:
            if node.state is NodeState.GONE:
                self._forget(node)
        self._timers["sweep"] = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _forget(self, node: Node) -> None:
        pool = self.pools.get(node)
        if pool is not None and not pool.quiet:
            return
        if pool is not None:
            del self.pools[node]
            pool.close()
        self.listing.forget(node)

    def _tell(self) -> None:
        """A line now and then of what there is."""
        self.log(
            "counts",
            ok=self.finals[200],
            rejected=self.finals[503],
            errored=self.finals[502],
            left=self.left_count,
            refused=self.refused,
            clients=len(self.clients),
            held=len(self.open),
            node_sockets=self.sockets.used,
            nodes=len(self.listing.dials),
            version=self.listing.version,
            connects=sum(pool.made for pool in self.pools.values()),
        )
        self._timers["tell"] = asyncio.get_running_loop().call_later(TELL_S, self._tell)

    # What clients' connections call.

    def enter(self, client: ClientConnection) -> bool:
        if len(self.clients) >= self.most_clients:  # who has its answer goes before who may be about to ask
            rests = next((one for one in self.resting if not (one.within or one.unread)), None)
            if rests is not None:
                rests.turn_out()
        place, goes = self.arrivals.came(client, len(self.clients))
        if goes is not None:
            goes.turn_out()
        if place:
            self.clients[client] = None
        return place

    def spoke(self, client: ClientConnection) -> None:
        self.arrivals.spoke(client)
        self.resting.pop(client, None)

    def rests(self, client: ClientConnection) -> None:
        self.resting.pop(client, None)
        self.resting[client] = None

    def left(self, pending: PendingRequest) -> None:
        self.left_count += 1
        self.open.pop(pending.call, None)
        pending.client = pending.body = None
        self.rounds.leave(pending)
        for out in pending.attempts:
            pool = self.pools.get(out.node)
            if out.outcome is None and pool is not None:
                pool.client_left(out)  # type: ignore[arg-type]

    def lingers(self, client: ClientConnection) -> None:
        self._out_of_place(client)
        self.lingering[client] = None
        if len(self.lingering) > self.most_lingering:
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            oldest.cut()

    def exit(self, client: ClientConnection) -> None:
        self._out_of_place(client)
        self.lingering.pop(client, None)
        self._look_done()

    def _out_of_place(self, client: ClientConnection) -> None:
        self.arrivals.spoke(client)
        self.resting.pop(client, None)
        self.clients.pop(client, None)

    def clock(self) -> float:
        return self.rounds.clock()

    def ask(self, client: ClientConnection, message: Message) -> PendingRequest:
        """To the module; Fault where the message holds no RPC."""
        if self.ended:
            raise Fault(503, "this dispatcher has ended")
        pending = read_rpc(message, self.workloads, self.plans, message.begun, ANSWER_MS)
        if pending.call in self.open:
            raise Fault(409, "X-Call-Id: open already")
        pending.deadline_ms = min(pending.deadline_ms, self._ends_at - ANSWER_MS)
        pending.client = client
        self.open[pending.call] = pending
        self.rounds.take(pending)
        return pending

    # What discovery calls.

    def _heard(self, nodes: list[Node]) -> None:
        if not self.sighted:
            self.sighted = self.ready = True
            for name in ("blind", "ready"):
                self._timers.pop(name).cancel()
            self.log("sighted", nodes=len(self.listing.dials), version=self.listing.version)
        for node in nodes:
            pool = self.pools.get(node)
            if pool is not None:
                pool.standing_heard()
        self.rounds.inputs.endpoint_changes += nodes
        self.rounds.stir()

    # What rounds carry out.

    def before_round(self, now: float) -> None:
        for out in self.wheel.due(now):
            self.pools[out.node].give_up(out, Outcome.TIMED_OUT)

    def carry(self, out: InflightAttempt, limit_ms: float) -> None:
        node = out.node
        pool = self.pools.get(node)
        if pool is None:
            pool = self.pools[node] = ConnectionPool(
                node,
                self.listing.dials.__getitem__,
                self.rounds,
                self.wheel,
                self.sockets,
                self.buffer,
                self.connect_ms,
                self.idle_ms,
            )
        out.expires_ms = min(out.request.deadline_ms, out.sent_ms + limit_ms)
        out.timer_slot = self.wheel.put(out, out.expires_ms)
        pool.carry(out)
        self._alarm.set()

    def withdraw(self, out: InflightAttempt) -> None:
        pool = self.pools.get(out.node)
        if pool is not None:
            pool.give_up(out, Outcome.CANCELLED)

    def answer_ok(self, held: InflightRequest, out: InflightAttempt) -> None:
        assert isinstance(held, PendingRequest)
        self._final(held, 200, bytes(held.body or b""))

    def answer_rejected(self, held: InflightRequest, come_back_ms: float) -> None:
        assert isinstance(held, PendingRequest)
        fields = b"Retry-After: %.3f\r\n" % (come_back_ms / 1000.0) if come_back_ms > 0.0 else b""
        self._final(held, 503, fields=fields)

    def answer_errored(self, held: InflightRequest) -> None:
        assert isinstance(held, PendingRequest)
        self._final(held, 502)

    def _final(self, pending: PendingRequest, status: int, body: bytes = b"", fields: bytes = b"") -> None:
        """The one final answer."""
        self.open.pop(pending.call, None)
        client, pending.client, pending.body = pending.client, None, None
        self.finals[status] += 1
        if client is not None and client.open is pending:
            client.answer(status, body, fields)
        self._look_done()

    def ask_list(self, push: bool) -> None:
        """Discovery tells by itself."""

    def tell(self, peer: int | None, payload: bytes) -> None:
        self.log("word to peers passed over: dispatchers have no way to each other here")


def main() -> int:
    try:
        config = read_config(os.environ)
    except ConfigError as trouble:
        print(trouble, file=sys.stderr)
        return 2
    log = plain_log(dispatcher=config.name)
    make, compiled = dispatcher()
    log("module", compiled=compiled)

    async def run() -> int:
        return await serve(Platform(config, log, make))

    try:
        return asyncio.run(run())
    except OSError as trouble:
        print(f"listen: {config.listen}: {trouble}", file=sys.stderr)
        return 2

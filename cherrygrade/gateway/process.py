"""The dispatcher's process: listener, sessions, links, the register's watch, rounds, and their life."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

from cherrygrade.extents.carrier import Carrier
from cherrygrade.gateway.lateness import Lateness
from cherrygrade.gateway.lifecycle import EXIT_BROKEN, EXIT_CLEAN, EXIT_FORCED, WakeTimer, log_scheduler_crash
from cherrygrade.gateway.node_client import NodeClient, NodeConnection
from cherrygrade.gateway.peer_messaging import PeerMessaging
from cherrygrade.gateway.register_watch import RegisterWatch
from cherrygrade.gateway.registered_nodes import RegisteredNodes
from cherrygrade.gateway.rounds import Rounds
from cherrygrade.gateway.sessions import Session
from cherrygrade.gateway.timer_wheel import TimerWheel
from cherrygrade.inflight import Body, ClientSession, InflightAttempt, InflightRequest, RangeRequest
from cherrygrade.peers.arrivals import Arrivals
from cherrygrade.peers.rooms import Rooms
from cherrygrade.peers.store import Claim, waits
from cherrygrade.peers.watch import Watch
from cherrygrade.scheduling.model import Node, Outcome
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.scheduling.utility import is_pressed_workload
from cherrygrade.settings import (
    DispatcherIdentity,
    ExtentSettings,
    FleetSettings,
    FlowControlSettings,
    LimitSettings,
    NodeConnectionSettings,
    SchedulingSettings,
    SiteSettings,
    StartReference,
    TrafficSettings,
)
from cherrygrade.transport.listening import listen
from cherrygrade.wire.messages import Errored, Leaving, Ok, ReadRpc, Rejected, WriteRpc

if TYPE_CHECKING:
    from cherrygrade.fleet.config.versions import ConfigVersion
    from cherrygrade.fleet.runtime.fleet_agent import FleetAgent
    from cherrygrade.fleet.runtime.peer_directory import FleetPeerDirectory
    from cherrygrade.gateway.overlay import Overlay

TELL_S = 60.0
LINGER_MS = 1000.0  # that clients get for closing by themselves when this process leaves
BACKLOG, ABREAST = 1024, 1  # a crowd that arrives waits at the door: who is in goes on meanwhile


class Gateway:
    """One dispatcher. Links are a node each, sessions a client each; both go with what they stand for."""

    def __init__(
        self,
        place: DispatcherIdentity,
        trade: TrafficSettings,
        bearings: SchedulingSettings,
        bounds: LimitSettings,
        lines: NodeConnectionSettings,
        log: Callable[..., None],
        make: Callable[..., Scheduler] = Scheduler,
        cuts: ExtentSettings | None = None,
        pace: FlowControlSettings | None = None,
        places: Sequence[str] = (),
        fleet: FleetSettings | None = None,
        origin: StartReference | None = None,
        overlay: Overlay | None = None,
    ) -> None:
        """`overlay`: the own file, for what is laid over it by the fleet's configuration; None: there is
        none."""
        self.place, self.trade, self.bounds, self.lines_, self.log = place, trade, bounds, lines, log
        self.name, self.most_body, self.most_open = place.name, bounds.most_body, bounds.most_open
        self.hello_ms, self.come_back_ms = bounds.hello_ms, bearings.permits.max_retry_after_ms
        self.leaving, self._lingering = False, True
        self.open_requests: dict[
            InflightRequest | RangeRequest, None
        ] = {}  # taken and not over; emptied by final answers and leavings
        self.sessions: dict[Session, None] = {}
        self.arrivals: Arrivals[Session] = Arrivals(bounds.most_clients, bounds.most_silent)
        self.node_clients: dict[Node, NodeClient] = {}
        self.nodes = NodeTable()
        self.wheel: TimerWheel[InflightAttempt] = TimerWheel()
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.agent: FleetAgent | None = None
        self.overlay = overlay
        self.peer_directory: FleetPeerDirectory | None = None
        self._unsure = False  # what the fleet's configuration is: then this one has no part
        self._in_force: tuple[SiteSettings, ConfigVersion | None, int] | None = None
        if overlay is not None:
            self._in_force = (overlay.own, None, 0)
        if fleet is not None:
            from cherrygrade.fleet.runtime.fleet_agent import FleetAgent
            from cherrygrade.fleet.runtime.peer_directory import FleetPeerDirectory

            seat, loop = place.number, asyncio.get_running_loop()
            self.agent = FleetAgent(
                fleet,
                place.name,
                seat,
                place.dispatchers,
                place.seed,
                origin or StartReference(0),
                lambda: loop.time() * 1000.0,
                lambda peer, word: self.rounds.receive_gossip(peer, word),
                log,
                self.in_force if overlay is not None else None,
                overlay.judge if overlay is not None else None,
            )
            self.peer_directory = FleetPeerDirectory(self.agent.membership, seat)
        dispatcher = make(
            seed=place.seed,
            number=place.number,
            dispatchers=place.dispatchers,
            workloads=list(trade.workloads.values()),
            utility=bearings.earnings,
            slow_start=bearings.cold,
            retry_budget=bearings.budget,
            policy=bearings.permits,
            key_rest_ms=bearings.key_rest_ms,
            **({"peers": self.peer_directory} if self.peer_directory is not None else {}),
        )
        pace = pace or FlowControlSettings()
        pressed = partial(
            is_pressed_workload,
            highest_weight=dispatcher.settings.highest_weight,
            tightest_objective_ms=dispatcher.settings.tightest_objective_ms,
        )
        self.rooms = Rooms(trade, bearings.earnings, pressed, pace, bounds.most_body, log)
        self.rounds = Rounds(dispatcher, self, self._crashed, lambda text: log("module", text=text))
        self.ranges = Carrier(self, cuts or ExtentSettings(), self._ask_map)
        self.register_watch = RegisterWatch(
            place.register,
            place.name,
            RegisteredNodes(self.nodes),
            bearings.permits.polls_endpoints,
            self.rounds.clock,
            self._heard,
            self.ranges.heard,
            log,
            lines.source,
        )
        self.lateness = Lateness(self.rounds.clock())
        self.watch = Watch(
            pace,
            self.rooms,
            lambda: self.sessions,
            self._node_lines,
            self.come_back_ms,
            log,
            self.lateness.record,
        )
        self.peer_messaging: PeerMessaging | None = None
        if places:
            self.peer_messaging = PeerMessaging(
                places, place.number, place.name, self.rounds.clock, self.rounds.receive_gossip, log
            )
        self._server: asyncio.Server | None = None
        self._wake_timer = WakeTimer(self.wheel, self.rounds.clock, self.before_round)
        self._telling: asyncio.TimerHandle | None = None

    # Lifecycle.

    async def start(self) -> int:
        """Listen, follow the register; gives the port."""
        host = self.place.listen.rpartition(":")[0]
        if self.peer_messaging is not None:
            await self.peer_messaging.start()
        if self.agent is not None:  # a version that was kept is in force before anybody is served
            await self.agent.start()
            if self.agent.config is not None and self.peer_directory is not None:
                self._unsure = not self._sure()
                self.peer_directory.has_quota = self.peer_directory.has_quota and not self._unsure
        self._server = await listen(lambda: Session(self).conn, self.place.listen, BACKLOG, ABREAST)
        self.register_watch.start()
        if self.watch.pace.watch:
            self.watch.start()
        if self.register_watch.must_ask:
            self.rounds.schedule_round()  # the first round asks for the list
        self._tell()
        bound: int = self._server.sockets[0].getsockname()[1]
        self.log("listening", address=f"{host}:{bound}", dispatcher=self.name)
        return bound

    def leave(self) -> None:
        """Take nothing new, finish what is held inside its deadlines, end; a second call ends at once."""
        if self.leaving:
            self._end(EXIT_FORCED)
            return
        self.leaving = True
        self.log("leaving", held=len(self.open_requests))
        if self.agent is not None:
            self.agent.leave()
        if self._server is not None:
            self._server.close()
        for session in self.sessions:
            session.conn.send(Leaving("dispatcher leaves", self.come_back_ms))
        asyncio.get_running_loop().call_later(self.bounds.leave_ms / 1000.0, self._end, EXIT_FORCED)
        asyncio.get_running_loop().call_later(LINGER_MS / 1000.0, self._linger_over)
        self._look_done()

    def _tell(self) -> None:
        """A line each minute of what ranges and room came to; none of what did nothing."""
        self.ranges.tell()
        self.rooms.tell()
        if self.agent is not None:
            self.log("fleet", side=self.agent.membership.partition_state.value, **self.agent.counts())
        if self.peer_messaging is not None:
            words, module = self.peer_messaging, self.rounds.scheduler
            counts = {"said": words.said, "lost": words.lost, "dropped": words.dropped}
            if any(counts.values()) or module.load_gossip.malformed:
                self.log("words", **counts, nonsense=module.load_gossip.malformed)
        self._telling = asyncio.get_running_loop().call_later(TELL_S, self._tell)

    def _linger_over(self) -> None:
        """Clients that did not close by themselves wait no longer."""
        self._lingering = False
        self._look_done()

    def _look_done(self) -> None:
        if self.leaving and not self.open_requests and not (self._lingering and self.sessions):
            # What this round still writes goes out first.
            asyncio.get_running_loop().call_soon(self._end, EXIT_CLEAN)

    def _end(self, code: int) -> None:
        if self.done.done():
            return
        self.rounds.stop()
        for held in [*self.open_requests]:
            assert held.rpc is not None
            if not isinstance(held, InflightRequest):
                held.drop()
            self.send_final_answer(held, Errored(held.rpc.id, "dispatcher ends"))
        if self._server is not None:
            self._server.close()
        self.register_watch.close()
        if self.peer_messaging is not None:
            self.peer_messaging.close()
        if self.agent is not None:
            self.agent.close()
        self._tell()
        self.ranges.close()
        self.watch.close()
        self.rooms.close()
        for link in self.node_clients.values():
            link.close()
        for session in [*self.sessions]:
            session.conn.close("dispatcher leaves", self.come_back_ms)
        self._wake_timer.close()
        if self._telling is not None:
            self._telling.cancel()
        self.log("ended", code=code)
        self.done.set_result(code)

    def _crashed(self, trouble: Exception, round_: str) -> None:
        log_scheduler_crash(self.log, trouble, round_)
        self._end(EXIT_BROKEN)

    def _node_lines(self) -> list[NodeConnection]:
        return [line for link in self.node_clients.values() for line in link.connections.values()]

    # What sessions call.

    @property
    def full(self) -> bool:
        return self.leaving or len(self.open_requests) >= self.bounds.most_held

    def register_session(self, session: Session) -> bool:
        if self.leaving:
            return False
        place, goes = self.arrivals.came(session, len(self.sessions))
        if goes is not None:
            goes.conn.close("no hello yet, and others come", self.come_back_ms)
        if place:
            self.sessions[session] = None
        return place

    def session_greeted(self, session: Session) -> None:
        self.arrivals.spoke(session)

    def remove_session(self, session: Session, why: str) -> None:
        self.arrivals.spoke(session)
        if self.sessions.pop(session, self) is None:
            self.log("client left", client=session.name, peer=session.conn.peer, why=why)
            self._look_done()

    def answer_deadline_ms(self, session: ClientSession, ask: ReadRpc | WriteRpc) -> float:
        """When the RPC's answer must be on its way. To be asked once an RPC."""
        now = self.rounds.clock()
        waited = session.transit_ms(ask.at_ms, now)
        workload = self.trade.workloads.get(ask.workload)
        # Clients of one workload that give themselves more time than it has would make the others look late.
        left = min(ask.left_ms, workload.deadline_ms if workload else 1e7) - waited
        return now + left - self.bounds.answer_ms - self.lateness.margin_ms(left, now)

    def new_request(
        self,
        session: ClientSession,
        ask: ReadRpc | WriteRpc,
        body: Body,
        key: str,
        shard: int,
        start: int,
        length: int,
        until: float,
    ) -> InflightRequest:
        volume = self.trade.volumes.get(ask.volume)
        return InflightRequest(
            workload=self.trade.workloads.get(ask.workload),
            plan=volume.plan if volume else None,
            volume=ask.volume,
            dispatchers=volume.hosts if volume else 1,
            key=key,
            shard=shard,
            units=self.trade.measure.units(length),
            deadline_ms=until,
            is_write=isinstance(ask, WriteRpc),
            is_retry=ask.repeat,
            id=f"{session.name}:{ask.id}",
            offset=start,
            length=length,
            session=session,
            rpc=ask,
            body=body,
        )

    def take(
        self, session: Session, ask: ReadRpc | WriteRpc, body: Any
    ) -> InflightRequest | RangeRequest | None:
        """An RPC on an extent that the client names itself, or on a range; None: answered at once."""
        return self.submit_direct(session, ask, body) if ask.key else self.ranges.take(session, ask, body)

    def submit_direct(self, session: ClientSession, ask: ReadRpc | WriteRpc, body: Body) -> InflightRequest:
        """An RPC that no map is asked for."""
        length = ask.length if isinstance(ask, ReadRpc) else len(body or b"")
        held = self.new_request(
            session, ask, body, ask.key, ask.shard, ask.offset, length, self.answer_deadline_ms(session, ask)
        )
        self.admit(held)
        return held

    def admit(self, held: InflightRequest) -> None:
        """To the module, once there is room for the bytes that it will bring."""
        session, work = held.session, held.workload
        assert session is not None
        # Room was taken before, or there is nothing to bring while it is not known where it lies.
        whole = held.is_write or (held.range is not None and (not held.range.streams or held.extent < 0))
        if work is not None and held.length and not whole and not session.reserve_small_read(held, work.name):
            left = held.deadline_ms - self.rounds.clock()
            held.claim = self.rooms.ask(session.account, work.name, held.volume, held.length, held, left)
        if not waits(held.claim):
            self.rounds.submit(held)

    def memory_admitted(self, held: InflightRequest) -> None:
        """Room for its bytes came."""
        self.rounds.submit(held)

    def add_open_request(self, taken: InflightRequest | RangeRequest) -> None:
        self.open_requests[taken] = None

    def is_open(self, one: RangeRequest) -> bool:
        return one in self.open_requests

    def abandon(self, held: InflightRequest) -> None:
        self.rounds.abandon(held)

    def clock(self) -> float:
        return self.rounds.clock()

    def reject_without_memory(self, held: InflightRequest) -> None:
        """No room came in its time: it never was the module's."""
        held.finished = True
        if held.range is not None:
            held.range.rejected(held, self.come_back_ms)
        elif held.rpc is not None:
            self.send_final_answer(held, Rejected(held.rpc.id, self.come_back_ms, "no room for its bytes"))

    def detach_claim(self, held: InflightRequest | RangeRequest) -> Claim | None:
        """The RPC needs its room no more: whoever gets it gives it back. Sends that are out still hold it."""
        if isinstance(held, InflightRequest) and held.purse is not None:
            held.purse.spent -= held.length
            held.purse = None
        claim, held.claim = held.claim, None
        if claim is not None and isinstance(held, InflightRequest):
            self.pin_attempts(held, claim)
        return claim

    def pin_attempts(self, held: InflightRequest, claim: Claim) -> None:
        """The RPC is over, its sends are not: their bytes have to go, or to come in."""
        for out in held.attempts:
            if (
                isinstance(out, InflightAttempt)
                and out.outcome is None
                and out.frame is not None
                and out.claim is None
            ):
                claim.pin()
                out.claim = claim

    def discard_memory(self, held: InflightRequest | RangeRequest) -> None:
        """Nobody gets its bytes."""
        self.rooms.leave(self.detach_claim(held))

    def client_abandoned(self, held: InflightRequest | RangeRequest) -> None:
        self.open_requests.pop(held, None)
        if isinstance(held, InflightRequest):
            self.rounds.abandon(held)
        else:
            held.drop()
        self.discard_memory(held)
        self._look_done()

    def extents_located(self) -> None:
        """RPCs that waited for their place have one now: the module looks at them as after a list."""
        self.rounds.inputs.endpoint_changes += [*self.nodes.by_address.values()][:1]
        self.rounds.schedule_round()

    # The fleet's configuration.

    async def in_force(self, version: ConfigVersion, stage: int) -> str:
        """The version at this stage: all that hangs on it goes over between two rounds, at once. Gives why it
        is refused, and then all is as it was. Its text is read in a thread of its own."""
        from cherrygrade.fleet.config.live_changes import setting_changes
        from cherrygrade.gateway.overlay import needs, told
        from cherrygrade.records.load import RecordError

        assert self.overlay is not None and self._in_force is not None
        loop = asyncio.get_running_loop()
        try:
            site = await loop.run_in_executor(None, self.overlay.site, version.text)
        except RecordError as wrong:
            return told(wrong)
        restart = setting_changes(self._in_force[0], site).restart_keys
        if restart:
            return needs(restart)
        if self.done.done():
            return "the dispatcher ends"
        if stage < self._in_force[2]:
            return f"stage {stage}: {self._in_force[2]} is in force, and a stage never goes back"
        try:
            self._go_over(site, version, stage)
        except ValueError as wrong:
            return str(wrong)
        return ""

    def _sure(self) -> bool:
        """Whether it is known here what the fleet's configuration is."""
        config = self.agent.config if self.agent is not None else None
        return config is None or (config.replica is not None and config.replica.is_certain)

    def _go_over(self, site: SiteSettings, version: ConfigVersion | None, stage: int) -> None:
        """Between two rounds. All is built first; behind that nothing fails."""
        from cherrygrade.fleet.config.joint_phase import quota_parts
        from cherrygrade.fleet.config.live_changes import quota_divisors
        from cherrygrade.gateway.settings_in_force import apply_settings, derive_settings

        assert self.agent is not None and self.peer_directory is not None
        sure = self._sure()
        old = version.old_divisors if version is not None and stage % 2 == 0 else None
        into = derive_settings(site, quota_parts(self.place.number, quota_divisors(site), old, sure), old)
        pressed = partial(is_pressed_workload, highest_weight=into.top, tightest_objective_ms=into.tight)
        held = self._held()
        self.rooms.put(
            into.trade,
            into.bearings.earnings,
            pressed,
            {one.workload.name for one in held if one.workload is not None},
            {one.volume for one in held},
        )
        apply_settings(self.rounds.scheduler, self.peer_directory, into, self.rounds.clock())
        for one in held:  # its volume's plan is today's; its workload is that which it was taken with
            dealt = into.trade.volumes.get(one.volume)
            if dealt is not None and one.plan is not None:
                one.plan, one.dispatchers = dealt.plan, dealt.hosts
        self._in_force, self._unsure = (site, version, stage), not sure
        self.trade, self.bounds = into.trade, site.bounds
        self.come_back_ms = self.watch.come_back_ms = into.bearings.permits.max_retry_after_ms
        self.agent.membership.fleet_size = max(into.counts)
        self.rounds.schedule_round()

    def _held(self) -> list[InflightRequest]:
        """All RPCs for the module that are not over, pieces of others among them."""
        found: list[InflightRequest] = []
        for one in self.open_requests:
            found += [one] if isinstance(one, InflightRequest) else one.pieces
        return found

    # What the register watch calls.

    def _heard(self, nodes: list[Node], answered: bool | None) -> None:
        for node in nodes:
            link = self.node_clients.get(node)
            if link is not None:
                link.node_state_changed()
        self.rounds.inputs.endpoint_changes += nodes
        if answered is not None:
            self.rounds.inputs.endpoint_list_received = answered
        self.rounds.schedule_round()

    # What rounds carry out.

    def before_round(self, now: float) -> None:
        if self._unsure and self._in_force is not None and self._sure():
            self._go_over(*self._in_force)
        if self.agent is not None:
            for send in self.rounds.inputs.outcomes:
                self.agent.attempt_finished(send)
        for out in self.wheel.take_expired(now):
            self.node_clients[out.node].abandon_attempt(out, Outcome.TIMED_OUT)

    def send_attempt(self, out: InflightAttempt, limit_ms: float) -> None:
        if out.carried_by is not None:
            return  # it goes with the one that carries it
        link = self.node_clients.get(out.node)
        if link is None:
            link = self.node_clients[out.node] = NodeClient(
                out.node,
                self.name,
                f"{self.place.seed}:{self.name}>{out.node.address}",
                self.rounds,
                self.wheel,
                self.most_body,
                self.lines_,
                self.log,
                self.ranges.stale,
                self.rooms.unpin,
            )
        outs = [out]
        if out.coalesced:
            outs += [mate for mate in out.coalesced if isinstance(mate, InflightAttempt)]
            self.ranges.joined += len(out.coalesced)
        for one in outs:
            one.timer_slot = self.wheel.add(one, one.request.deadline_ms)
        link.send(outs)
        self._wake_timer.schedule()

    def cancel_attempt(self, out: InflightAttempt) -> None:
        self.wheel.remove(out, out.timer_slot)
        self.node_clients[out.node].abandon_attempt(out, Outcome.CANCELLED)

    def answer_ok(self, held: InflightRequest, out: InflightAttempt) -> None:
        if held.range is not None:
            held.range.ok(held)
            return
        assert held.rpc is not None
        self.send_final_answer(held, Ok(held.rpc.id, out.node.shard), None if held.is_write else held.body)

    def answer_rejected(self, held: InflightRequest, come_back_ms: float) -> None:
        if held.range is not None:
            held.range.rejected(held, come_back_ms)
            return
        assert held.rpc is not None
        reason = ""
        if held.workload is None:
            reason = f"unknown workload '{held.rpc.workload}'"
        elif held.plan is None:
            reason = f"unknown volume '{held.volume}'"
        self.send_final_answer(held, Rejected(held.rpc.id, come_back_ms, reason))

    def answer_errored(self, held: InflightRequest) -> None:
        if held.range is not None:
            held.range.errored(held)
            return
        assert held.rpc is not None
        last = held.attempts[-1].outcome if held.attempts else None
        self.send_final_answer(held, Errored(held.rpc.id, f"last send: {last.value}" if last else ""))

    def send_final_answer(
        self, held: InflightRequest | RangeRequest, message: Ok | Rejected | Errored, body: Any = None
    ) -> None:
        """The one final answer."""
        assert held.session is not None
        self.open_requests.pop(held, None)
        held.session.answer(message, body, self.detach_claim(held))
        if isinstance(held, InflightRequest):
            held.body = None
        self._look_done()

    def _ask_map(self, volume: str, first: int, count: int) -> None:
        self.register_watch.ask_map(volume, first, count)

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        if self.agent is not None:
            self.agent.send_scheduler_message(peer, payload)
        elif self.peer_messaging is not None:
            self.peer_messaging.tell(peer, payload)

    def request_endpoint_list(self, push: bool) -> None:
        self.register_watch.ask(push)

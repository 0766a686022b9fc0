"""The dispatcher process of the native protocol.

`Gateway` owns all parts and connects them: client sessions hand it RPCs, the rounds have it carry out the
scheduler's decisions, and the register and the fleet change what it works with.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

from cherrygrade.extents.range_service import RangeService
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
from cherrygrade.peers.connection_admission import ConnectionAdmission
from cherrygrade.peers.memory_admission import MemoryAdmission
from cherrygrade.peers.memory_budget import Reservation, is_waiting
from cherrygrade.peers.watch import SlowPeerWatch
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
from cherrygrade.transport.socket_memory import DEFAULT_BUFFERS
from cherrygrade.wire.messages import Errored, Leaving, Ok, ReadRpc, Rejected, WriteRpc

if TYPE_CHECKING:
    from cherrygrade.fleet.config.versions import ConfigVersion
    from cherrygrade.fleet.runtime.fleet_agent import FleetAgent
    from cherrygrade.fleet.runtime.peer_directory import FleetPeerDirectory
    from cherrygrade.gateway.overlay import Overlay

COUNTS_INTERVAL_S = 60.0  # between log lines of the counters
LINGER_MS = 1000.0  # at shutdown, time for clients to close their connections themselves
# New connections wait in the kernel and are accepted one at a time, so that a crowd of new clients does not
# delay those that are connected.
ACCEPT_BACKLOG, ACCEPTS_AT_ONCE = 1024, 1


class Gateway:
    """One dispatcher.

    Implements `RequestHost` for sessions and for range requests, `Carrier` for rounds and `HostProcess` for
    `serve`. Attributes that are not described here are parts, named as their class or settings are.

    Attributes:
        place: who this dispatcher is in the fleet, with its addresses.
        trade, bounds: the settings of workloads and volumes, and of limits, that are in force.
        max_body_bytes: the longest body that an RPC or an answer may carry.
        max_open_rpcs: RPCs that one client may have open.
        hello_timeout_ms: time that a new client has for its greeting.
        come_back_ms: sent to rejected clients: how long to wait before they retry.
        leaving: `leave` has been called.
        open_requests: accepted and not answered; emptied by final answers and by clients that abandon them.
        sessions: open client connections.
        arrivals: limits connections that have not sent their greeting.
        node_clients: one for each node to which an attempt was sent.
        nodes: the nodes of the endpoint list, by address.
        wheel: time-outs of attempts.
        done: the exit code, set once everything has stopped.
        agent: membership and configuration of the fleet; None outside of a fleet.
        overlay: settings of this dispatcher's own file, beneath the fleet's configuration; None without one.
        peer_directory: the other dispatchers, as the scheduler uses them; None outside of a fleet.
        rooms: the memory for bodies.
        ranges: splits range requests into pieces and joins their answers.
        watch: finds clients and nodes that read or write too slowly.
        peer_messaging: gossip over connections; None if the fleet carries it or there is none.
    """

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
        """Create a dispatcher; the event loop must be running, and `start` must follow.

        Args:
            place: name, addresses and seat of this dispatcher.
            trade: workloads, volumes and units.
            bearings: the scheduler's settings.
            bounds: limits on clients, RPCs and bodies.
            lines: settings of connections to storage nodes.
            log: called with an event and its facts.
            make: creates the scheduler.
            cuts: how ranges are split and coalesced; default settings if None.
            pace: flow control and memory for bodies; default settings if None.
            places: gossip addresses of all dispatchers by seat; empty if there is no gossip or a fleet.
            fleet: the fleet to join; None for no fleet.
            origin: identifies this start of the process in the fleet.
            overlay: this dispatcher's own file, if the fleet's configuration is laid over it.
        """
        self.place, self.trade, self.bounds, self._node_connections, self.log = (
            place,
            trade,
            bounds,
            lines,
            log,
        )
        self.name, self.max_body_bytes, self.max_open_rpcs = place.name, bounds.most_body, bounds.most_open
        self.hello_timeout_ms, self.come_back_ms = bounds.hello_ms, bearings.permits.max_retry_after_ms
        self.leaving, self._lingering = False, True
        self.open_requests: dict[InflightRequest | RangeRequest, None] = {}
        self.sessions: dict[Session, None] = {}
        self.arrivals: ConnectionAdmission[Session] = ConnectionAdmission(
            bounds.most_clients, bounds.most_silent
        )
        self.node_clients: dict[Node, NodeClient] = {}
        self.nodes = NodeTable()
        self.wheel: TimerWheel[InflightAttempt] = TimerWheel()
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.agent: FleetAgent | None = None
        self.overlay = overlay
        self.peer_directory: FleetPeerDirectory | None = None
        # While the fleet's configuration is not known for certain, this dispatcher uses no quota.
        self._is_config_uncertain = False
        # Settings in force, the version that they come from (None: the own file) and its stage.
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
                lambda peer, payload: self.rounds.receive_gossip(peer, payload),
                log,
                self.in_force if overlay is not None else None,
                overlay.judge if overlay is not None else None,
            )
            self.peer_directory = FleetPeerDirectory(self.agent.membership, seat)
        scheduler = make(
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
            highest_weight=scheduler.settings.highest_weight,
            tightest_objective_ms=scheduler.settings.tightest_objective_ms,
        )
        self.rooms = MemoryAdmission(trade, bearings.earnings, pressed, pace, bounds.most_body, log)
        self.rounds = Rounds(scheduler, self, self._crashed, lambda text: log("module", text=text))
        self.ranges = RangeService(self, cuts or ExtentSettings(), self._request_extent_map)
        self.register_watch = RegisterWatch(
            place.register,
            place.name,
            RegisteredNodes(self.nodes),
            bearings.permits.polls_endpoints,
            self.rounds.clock,
            self._endpoints_received,
            self.ranges.map_received,
            log,
            lines.source,
        )
        self.lateness = Lateness(self.rounds.clock())
        self.watch = SlowPeerWatch(
            pace,
            self.rooms,
            lambda: self.sessions,
            self._open_node_connections,
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
        self._counts_timer: asyncio.TimerHandle | None = None

    # Start and shutdown.

    async def start(self) -> int:
        """Listen for clients and connect to the register.

        Returns:
            The port that clients connect to.

        Raises:
            OSError: an address cannot be listened on.
        """
        host = self.place.listen.rpartition(":")[0]
        if self.peer_messaging is not None:
            await self.peer_messaging.start()
        if (
            self.agent is not None
        ):  # a stored configuration comes into force before the first client is served
            await self.agent.start()
            if self.agent.config is not None and self.peer_directory is not None:
                self._is_config_uncertain = not self._sure()
                self.peer_directory.has_quota = (
                    self.peer_directory.has_quota and not self._is_config_uncertain
                )
        self._server = await listen(
            lambda: Session(self).conn, self.place.listen, ACCEPT_BACKLOG, ACCEPTS_AT_ONCE, DEFAULT_BUFFERS
        )
        self.register_watch.start()
        if self.watch.pace.watch:
            self.watch.start()
        if self.register_watch.is_polled:
            self.rounds.schedule_round()  # the first round requests the endpoint list
        self._log_counts()
        bound: int = self._server.sockets[0].getsockname()[1]
        self.log("listening", address=f"{host}:{bound}", dispatcher=self.name)
        return bound

    def leave(self) -> None:
        """Stop accepting RPCs, finish the open requests within their deadlines and end.

        A second call ends the process at once; open requests are then answered with an error.
        """
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
        asyncio.get_running_loop().call_later(LINGER_MS / 1000.0, self._stop_lingering)
        self._end_if_done()

    def _log_counts(self) -> None:
        """Log the counters, and again each minute; counters that are all zero are left out."""
        self.ranges.log_counts()
        self.rooms.log_shortage()
        if self.agent is not None:
            self.log("fleet", side=self.agent.membership.partition_state.value, **self.agent.counts())
        if self.peer_messaging is not None:
            messaging, scheduler = self.peer_messaging, self.rounds.scheduler
            counts = {"said": messaging.sent, "lost": messaging.lost, "dropped": messaging.dropped}
            if any(counts.values()) or scheduler.load_gossip.malformed:
                self.log("gossip messages", **counts, nonsense=scheduler.load_gossip.malformed)
        self._counts_timer = asyncio.get_running_loop().call_later(COUNTS_INTERVAL_S, self._log_counts)

    def _stop_lingering(self) -> None:
        """Wait no longer for clients to close their connections themselves."""
        self._lingering = False
        self._end_if_done()

    def _end_if_done(self) -> None:
        """End if this process is leaving, no request is open and no client needs to be waited for."""
        if self.leaving and not self.open_requests and not (self._lingering and self.sessions):
            # Deferred by one event-loop iteration, so that answers of the current round are sent first.
            asyncio.get_running_loop().call_soon(self._end, EXIT_CLEAN)

    def _end(self, code: int) -> None:
        """Answer all open requests with an error, close all parts and set the exit code."""
        if self.done.done():
            return
        self.rounds.stop()
        for request in [*self.open_requests]:
            assert request.rpc is not None
            if not isinstance(request, InflightRequest):
                request.drop()
            self.send_final_answer(request, Errored(request.rpc.id, "dispatcher ends"))
        if self._server is not None:
            self._server.close()
        self.register_watch.close()
        if self.peer_messaging is not None:
            self.peer_messaging.close()
        if self.agent is not None:
            self.agent.close()
        self._log_counts()
        self.ranges.close()
        self.watch.close()
        self.rooms.close()
        for node_client in self.node_clients.values():
            node_client.close()
        for session in [*self.sessions]:
            session.conn.close("dispatcher leaves", self.come_back_ms)
        self._wake_timer.close()
        if self._counts_timer is not None:
            self._counts_timer.cancel()
        self.log("ended", code=code)
        self.done.set_result(code)

    def _crashed(self, error: Exception, round_summary: str) -> None:
        log_scheduler_crash(self.log, error, round_summary)
        self._end(EXIT_BROKEN)

    def _open_node_connections(self) -> list[NodeConnection]:
        return [one for client in self.node_clients.values() for one in client.connections.values()]

    # Called by sessions and range requests.

    @property
    def full(self) -> bool:
        """No further RPC is accepted now."""
        return self.leaving or len(self.open_requests) >= self.bounds.most_held

    def register_session(self, session: Session) -> bool:
        """Add a session; returns False if there are too many.

        The oldest connection that has not sent its greeting may be closed to make place.
        """
        if self.leaving:
            return False
        is_accepted, evicted = self.arrivals.admit(session, len(self.sessions))
        if evicted is not None:
            evicted.conn.close("no hello yet, and others come", self.come_back_ms)
        if is_accepted:
            self.sessions[session] = None
        return is_accepted

    def session_greeted(self, session: Session) -> None:
        """Record that the client has sent its greeting."""
        self.arrivals.mark_identified(session)

    def remove_session(self, session: Session, reason: str) -> None:
        """Remove a session whose connection has closed."""
        self.arrivals.mark_identified(session)
        if self.sessions.pop(session, self) is None:
            self.log("client left", client=session.name, peer=session.conn.peer, why=reason)
            self._end_if_done()

    def answer_deadline_ms(self, session: ClientSession, rpc: ReadRpc | WriteRpc) -> float:
        """Return when the answer of an RPC must be sent; to be called once for each RPC, on its arrival."""
        now = self.rounds.clock()
        waited_ms = session.transit_ms(rpc.at_ms, now)
        workload = self.trade.workloads.get(rpc.workload)
        # A client's time is capped by its workload's: requests with longer deadlines would make the other
        # requests of the workload look late to the scheduler.
        remaining_ms = min(rpc.left_ms, workload.deadline_ms if workload else 1e7) - waited_ms
        return now + remaining_ms - self.bounds.answer_ms - self.lateness.margin_ms(remaining_ms, now)

    def new_request(
        self,
        session: ClientSession,
        rpc: ReadRpc | WriteRpc,
        body: Body,
        key: str,
        shard: int,
        start: int,
        length: int,
        deadline_ms: float,
    ) -> InflightRequest:
        """Create the request of an RPC, or of one piece of it, by the settings in force.

        Args:
            session: the client.
            rpc: the RPC.
            body: the bytes to write; None for a read.
            key: the key or extent.
            shard: where the key or extent lies.
            start: first byte within the key or extent.
            length: bytes to read or write.
            deadline_ms: when the answer must be sent.

        Returns:
            The request. Its workload or plan is None if the RPC names an unknown one.
        """
        volume = self.trade.volumes.get(rpc.volume)
        return InflightRequest(
            workload=self.trade.workloads.get(rpc.workload),
            plan=volume.plan if volume else None,
            volume=rpc.volume,
            dispatchers=volume.hosts if volume else 1,
            key=key,
            shard=shard,
            units=self.trade.measure.units(length),
            deadline_ms=deadline_ms,
            is_write=isinstance(rpc, WriteRpc),
            is_retry=rpc.repeat,
            id=f"{session.name}:{rpc.id}",
            offset=start,
            length=length,
            session=session,
            rpc=rpc,
            body=body,
        )

    def take(
        self, session: Session, rpc: ReadRpc | WriteRpc, body: Any
    ) -> InflightRequest | RangeRequest | None:
        """Accept an RPC on a key, or on a range of a volume; returns None if it was answered at once."""
        return self.submit_direct(session, rpc, body) if rpc.key else self.ranges.take(session, rpc, body)

    def submit_direct(self, session: ClientSession, rpc: ReadRpc | WriteRpc, body: Body) -> InflightRequest:
        """Submit an RPC on a key: it needs no extent map."""
        length = rpc.length if isinstance(rpc, ReadRpc) else len(body or b"")
        request = self.new_request(
            session, rpc, body, rpc.key, rpc.shard, rpc.offset, length, self.answer_deadline_ms(session, rpc)
        )
        self.admit(request)
        return request

    def admit(self, request: InflightRequest) -> None:
        """Submit a request to the scheduler once memory for the bytes that it reads has been reserved."""
        session, workload = request.session, request.workload
        assert session is not None
        # A write, or a range that is joined before it is answered, has its memory already. A piece whose
        # extent is not located yet reads nothing.
        is_reserved = request.is_write or (
            request.range is not None and (not request.range.streams or request.extent < 0)
        )
        if (
            workload is not None
            and request.length
            and not is_reserved
            and not session.reserve_small_read(request, workload.name)
        ):
            remaining_ms = request.deadline_ms - self.rounds.clock()
            request.claim = self.rooms.reserve(
                session.account, workload.name, request.volume, request.length, request, remaining_ms
            )
        if not is_waiting(request.claim):
            self.rounds.submit(request)

    def memory_admitted(self, request: InflightRequest) -> None:
        """Submit a request that waited: memory for its bytes has been reserved."""
        self.rounds.submit(request)

    def add_open_request(self, request: InflightRequest | RangeRequest) -> None:
        """Count a request as open until its final answer."""
        self.open_requests[request] = None

    def is_open(self, request: RangeRequest) -> bool:
        """Return whether a range request has been accepted and not been answered."""
        return request in self.open_requests

    def abandon(self, request: InflightRequest) -> None:
        """Withdraw a request from the scheduler."""
        self.rounds.abandon(request)

    def clock(self) -> float:
        """Return the rounds' clock, ms."""
        return self.rounds.clock()

    def reject_without_memory(self, request: InflightRequest) -> None:
        """Reject a request for whose bytes no memory became free in time; the scheduler never had it."""
        request.finished = True
        if request.range is not None:
            request.range.rejected(request, self.come_back_ms)
        elif request.rpc is not None:
            self.send_final_answer(
                request, Rejected(request.rpc.id, self.come_back_ms, "no room for its bytes")
            )

    def detach_claim(self, request: InflightRequest | RangeRequest) -> Reservation | None:
        """Take the memory claim from a request that has ended and return it; the caller releases it.

        Attempts that are in flight keep it pinned until they end.
        """
        if isinstance(request, InflightRequest) and request.purse is not None:
            request.purse.spent -= request.length
            request.purse = None
        claim, request.claim = request.claim, None
        if claim is not None and isinstance(request, InflightRequest):
            self.pin_attempts(request, claim)
        return claim

    def pin_attempts(self, request: InflightRequest, claim: Reservation) -> None:
        """Pin a claim for the attempts in flight of a request that has ended.

        Their bytes are still to be sent to the node, or received from it.
        """
        for attempt in request.attempts:
            if (
                isinstance(attempt, InflightAttempt)
                and attempt.outcome is None
                and attempt.frame is not None
                and attempt.claim is None
            ):
                claim.pin()
                attempt.claim = claim

    def discard_memory(self, request: InflightRequest | RangeRequest) -> None:
        """Release the memory of a request whose bytes are sent to nobody."""
        self.rooms.release(self.detach_claim(request))

    def client_abandoned(self, request: InflightRequest | RangeRequest) -> None:
        """Drop a request whose client no longer wants the answer."""
        self.open_requests.pop(request, None)
        if isinstance(request, InflightRequest):
            self.rounds.abandon(request)
        else:
            request.drop()
        self.discard_memory(request)
        self._end_if_done()

    def extents_located(self) -> None:
        """Run a round in which the scheduler looks at all queued requests: some now have a node.

        The scheduler does so whenever the endpoint list names a node, so one is named here.
        """
        self.rounds.inputs.endpoint_changes += [*self.nodes.by_address.values()][:1]
        self.rounds.schedule_round()

    # The fleet's configuration.

    async def in_force(self, version: ConfigVersion, stage: int) -> str:
        """Bring a version of the fleet's configuration into force, all of it between two rounds.

        The text of the version is read in a thread of its own.

        Args:
            version: the configuration.
            stage: 2N while version N is being introduced, 2N+1 once it is settled.

        Returns:
            Why the version is refused, in which case nothing has changed; "" if it is in force.
        """
        from cherrygrade.fleet.config.live_changes import setting_changes
        from cherrygrade.gateway.overlay import fault_text, restart_text
        from cherrygrade.records.load import RecordError

        assert self.overlay is not None and self._in_force is not None
        loop = asyncio.get_running_loop()
        try:
            site = await loop.run_in_executor(None, self.overlay.site, version.text)
        except RecordError as error:
            return fault_text(error)
        restart_keys = setting_changes(self._in_force[0], site).restart_keys
        if restart_keys:
            return restart_text(restart_keys)
        if self.done.done():
            return "the dispatcher ends"
        if stage < self._in_force[2]:
            return f"stage {stage}: {self._in_force[2]} is in force, and a stage never goes back"
        try:
            self._apply_settings(site, version, stage)
        except ValueError as error:
            return str(error)
        return ""

    def _sure(self) -> bool:
        """Return whether this dispatcher knows the fleet's configuration for certain."""
        config = self.agent.config if self.agent is not None else None
        return config is None or (config.replica is not None and config.replica.is_certain)

    def _apply_settings(self, site: SiteSettings, version: ConfigVersion | None, stage: int) -> None:
        """Bring settings into force between two rounds.

        Everything that can fail happens first, so that settings are never partly in force.

        Raises:
            ValueError: the settings divide a limit among no dispatchers; nothing has changed.
        """
        from cherrygrade.fleet.config.joint_phase import quota_parts
        from cherrygrade.fleet.config.live_changes import quota_divisors
        from cherrygrade.gateway.settings_in_force import apply_settings, derive_settings

        assert self.agent is not None and self.peer_directory is not None
        is_certain = self._sure()
        old = version.old_divisors if version is not None and stage % 2 == 0 else None
        derived = derive_settings(
            site, quota_parts(self.place.number, quota_divisors(site), old, is_certain), old
        )
        pressed = partial(
            is_pressed_workload,
            highest_weight=derived.highest_weight,
            tightest_objective_ms=derived.tightest_objective_ms,
        )
        requests = self._scheduled_requests()
        self.rooms.apply_settings(
            derived.trade,
            derived.bearings.earnings,
            pressed,
            {request.workload.name for request in requests if request.workload is not None},
            {request.volume for request in requests},
        )
        apply_settings(self.rounds.scheduler, self.peer_directory, derived, self.rounds.clock())
        for request in requests:  # open requests get the new plan of their volume but keep their workload
            volume = derived.trade.volumes.get(request.volume)
            if volume is not None and request.plan is not None:
                request.plan, request.dispatchers = volume.plan, volume.hosts
        self._in_force, self._is_config_uncertain = (site, version, stage), not is_certain
        self.trade, self.bounds = derived.trade, site.bounds
        self.come_back_ms = self.watch.come_back_ms = derived.bearings.permits.max_retry_after_ms
        self.agent.membership.fleet_size = max(derived.dispatcher_counts)
        self.rounds.schedule_round()

    def _scheduled_requests(self) -> list[InflightRequest]:
        """Return all open requests of the scheduler, with the pieces of range requests among them."""
        found: list[InflightRequest] = []
        for request in self.open_requests:
            found += [request] if isinstance(request, InflightRequest) else request.pieces
        return found

    # Called by the register watch.

    def _endpoints_received(self, nodes: list[Node], request_answered: bool | None) -> None:
        """Hand changes of the endpoint list to the next round.

        Args:
            nodes: the nodes that the register sent something about.
            request_answered: whether a request for the list was answered (True) or failed (False); None if
                this is neither.
        """
        for node in nodes:
            node_client = self.node_clients.get(node)
            if node_client is not None:
                node_client.node_state_changed()
        self.rounds.inputs.endpoint_changes += nodes
        if request_answered is not None:
            self.rounds.inputs.endpoint_list_received = request_answered
        self.rounds.schedule_round()

    # Called by the rounds.

    def before_round(self, now: float) -> None:
        """Prepare a round: note finished attempts for the fleet and time out expired ones."""
        if self._is_config_uncertain and self._in_force is not None and self._sure():
            self._apply_settings(*self._in_force)
        if self.agent is not None:
            for attempt in self.rounds.inputs.outcomes:
                self.agent.attempt_finished(attempt)
        for expired in self.wheel.take_expired(now):
            self.node_clients[expired.node].abandon_attempt(expired, Outcome.TIMED_OUT)

    def send_attempt(self, attempt: InflightAttempt, limit_ms: float) -> None:
        """Send an attempt to its node, together with those coalesced with it.

        Each attempt times out at the deadline of its request.
        """
        if attempt.carried_by is not None:
            return  # sent in the frame of the attempt that carries it
        node_client = self.node_clients.get(attempt.node)
        if node_client is None:
            node_client = self.node_clients[attempt.node] = NodeClient(
                attempt.node,
                self.name,
                f"{self.place.seed}:{self.name}>{attempt.node.address}",
                self.rounds,
                self.wheel,
                self.max_body_bytes,
                self._node_connections,
                self.log,
                self.ranges.map_entry_stale,
                self.rooms.unpin,
            )
        attempts = [attempt]
        if attempt.coalesced:
            attempts += [other for other in attempt.coalesced if isinstance(other, InflightAttempt)]
            self.ranges.coalesced_count += len(attempt.coalesced)
        for one in attempts:
            one.timer_slot = self.wheel.add(one, one.request.deadline_ms)
        node_client.send(attempts)
        self._wake_timer.schedule()

    def cancel_attempt(self, attempt: InflightAttempt) -> None:
        """Stop waiting for an attempt and tell its node so."""
        self.wheel.remove(attempt, attempt.timer_slot)
        self.node_clients[attempt.node].abandon_attempt(attempt, Outcome.CANCELLED)

    def answer_ok(self, request: InflightRequest, attempt: InflightAttempt) -> None:
        """Answer an RPC with the result of an attempt, or hand it to the range request of the piece."""
        if request.range is not None:
            request.range.ok(request)
            return
        assert request.rpc is not None
        self.send_final_answer(
            request, Ok(request.rpc.id, attempt.node.shard), None if request.is_write else request.body
        )

    def answer_rejected(self, request: InflightRequest, retry_after_ms: float) -> None:
        """Answer that an RPC has not run; names the workload or volume if it is unknown."""
        if request.range is not None:
            request.range.rejected(request, retry_after_ms)
            return
        assert request.rpc is not None
        reason = ""
        if request.workload is None:
            reason = f"unknown workload '{request.rpc.workload}'"
        elif request.plan is None:
            reason = f"unknown volume '{request.volume}'"
        self.send_final_answer(request, Rejected(request.rpc.id, retry_after_ms, reason))

    def answer_errored(self, request: InflightRequest) -> None:
        """Answer that an RPC failed, with the outcome of its last attempt."""
        if request.range is not None:
            request.range.errored(request)
            return
        assert request.rpc is not None
        last = request.attempts[-1].outcome if request.attempts else None
        self.send_final_answer(request, Errored(request.rpc.id, f"last send: {last.value}" if last else ""))

    def send_final_answer(
        self, request: InflightRequest | RangeRequest, message: Ok | Rejected | Errored, body: Any = None
    ) -> None:
        """Send the one final answer of an RPC and release its memory once the client has it."""
        assert request.session is not None
        self.open_requests.pop(request, None)
        request.session.answer(message, body, self.detach_claim(request))
        if isinstance(request, InflightRequest):
            request.body = None
        self._end_if_done()

    def _request_extent_map(self, volume: str, first_extent: int, count: int) -> None:
        self.register_watch.request_extent_map(volume, first_extent, count)

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Send a gossip message to the dispatcher with the number `peer`, or to all if it is None."""
        if self.agent is not None:
            self.agent.send_scheduler_message(peer, payload)
        elif self.peer_messaging is not None:
            self.peer_messaging.send(peer, payload)

    def request_endpoint_list(self, push: bool) -> None:
        """Request the complete endpoint list. `push`: subscribe to its changes too."""
        self.register_watch.request_endpoint_list(push)

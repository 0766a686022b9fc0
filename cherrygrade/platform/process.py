"""The dispatcher process of the platform: connects clients, rounds, node pools, discovery and shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable, Mapping

from cherrygrade.compiled import scheduler_class
from cherrygrade.gateway.lifecycle import EXIT_BROKEN, EXIT_FORCED, log_scheduler_crash, serve
from cherrygrade.http.reader import BodyBudget, HttpError, Message
from cherrygrade.logs import plain_log, write_line
from cherrygrade.peers.process_memory import ProcessMemory
from cherrygrade.platform.call_ids import SentCallIds
from cherrygrade.platform.client_connection import ClientConnection
from cherrygrade.platform.client_listener import ClientListener
from cherrygrade.platform.client_registry import ClientRegistry
from cherrygrade.platform.config import ConfigError, PlatformConfig, read_config
from cherrygrade.platform.discovery import DiscoveryClient
from cherrygrade.platform.endpoint_list import EndpointList, list_version
from cherrygrade.platform.memory_guard import MemoryGuard
from cherrygrade.platform.memory_report import MemoryReport
from cherrygrade.platform.peer_memory import BYTES_PER_MB, MemoryLimits, PeerMemory
from cherrygrade.platform.periodic_tasks import PeriodicTasks
from cherrygrade.platform.request_parsing import PendingRequest, parse_request
from cherrygrade.platform.round_carrier import STATUS_ERRORED, STATUS_OK, STATUS_REJECTED, RoundCarrier
from cherrygrade.platform.shutdown import FINAL_ANSWERS_MS, Shutdown, ShutdownPhase, ShutdownSchedule
from cherrygrade.platform.socket_budget import SocketBudget
from cherrygrade.platform.turn_queue import TurnQueue
from cherrygrade.scheduling.model import Node
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.transport.socket_memory import SocketBuffers

ANSWER_MARGIN_MS = 4.0  # part of each client's deadline that is reserved for writing the answer
# Without a list from discovery, a new process reports itself ready after this time; it sends nothing to nodes
# and answers requests with Retry-After. The platform requires that a restarted process is ready within 6 s;
# the remaining 1.5 s are for the interpreter and the imports on a small share of a core.
READY_WITHOUT_ENDPOINTS_MS = 4500.0
# Without a list from discovery, a new process uses the list in its configuration file after this time. That
# list may be outdated.
FILE_ENDPOINTS_MS = 60000.0
# File descriptors of the listener, three discovery watches, the event loop, the standard streams, files that
# Python opens, and the clients that are accepted in one event-loop iteration.
RESERVED_SOCKETS = 40
SOCKETS_PER_LINGERING = 16  # one of this many sockets is for connections that are being closed
MIN_LINGERING = 4
RECEIVE_BUFFER_BYTES = 16 * 1024
IDLE_BYTES = 24 * BYTES_PER_MB  # memory of the idle process where it cannot be measured
REQUEST_COPIES = 2  # a request body is in memory twice while it is sent to a node
POOL_IDLE_FRACTION = 0.6  # part of a node's idle time-out after which the pool closes a connection itself
DEFAULT_NODE_IDLE_S = 15.0
DEFAULT_CONNECT_TIMEOUT_S = 0.25


class PlatformDispatcher:
    """A dispatcher. Implements `ConnectionOwner` for clients and `HostProcess` for `serve`."""

    def __init__(
        self,
        config: PlatformConfig,
        log: Callable[..., None],
        make_scheduler: Callable[..., Scheduler],
        env: Mapping[str, str] = os.environ,
        process_memory: ProcessMemory | None = None,
    ) -> None:
        """Create a dispatcher without opening connections; an event loop must be running.

        Args:
            config: The checked configuration.
            log: Writes a log event, given by its name and its facts as keywords.
            make_scheduler: The scheduler's class, compiled or interpreted.
            env: Environment variables with the path of the configuration file, for `reload`.
            process_memory: Measures the process, which has no other work than the dispatcher.
        """
        self.config = config
        self.log = log
        self.env = env
        self.workloads = config.settings.workloads()
        self.plans = config.settings.plans()
        self.endpoints_known = False
        """Whether a list of endpoints is in use, so that requests are sent to nodes.

        The list in the configuration file may be outdated. It is used only if discovery sends none for
        FILE_ENDPOINTS_MS."""
        self.ready = False
        """Whether `GET /ready` is answered with 200: endpoints are known, or READY_WITHOUT_ENDPOINTS_MS have
        passed. As long as endpoints are unknown, requests are rejected with Retry-After."""
        self.refused = 0
        """Number of client messages that contained no acceptable request."""
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        """Completed with the exit code at the end of the shutdown."""
        self._deadline_limit_ms = float("inf")
        self._startup_timers: list[asyncio.TimerHandle] = []
        idle_bytes = process_memory.resident_bytes() if process_memory is not None else 0
        self._divide_limits(idle_bytes or IDLE_BYTES)
        self.nodes = NodeTable()
        self.endpoint_list = EndpointList(self.nodes, _unix_to_loop_ms())
        self.round_carrier = self._make_round_carrier(make_scheduler)
        self.rounds = self.round_carrier.rounds
        self.turn_queue = TurnQueue(self.rounds.clock_now)
        self.discovery = self._make_discovery_client()
        self._memory_guard: MemoryGuard | None = None
        self._memory_report: MemoryReport | None = None
        if process_memory is not None:
            self._memory_guard = MemoryGuard.for_process(
                process_memory,
                self.peer_memory,
                config.memory_mb * BYTES_PER_MB,
                idle_bytes or IDLE_BYTES,
                self.memory_limits,
                self.rounds.clock_now,
            )
            self._memory_report = MemoryReport(process_memory, self.peer_memory, log)
        self.periodic_tasks = PeriodicTasks(
            self.client_registry,
            self.round_carrier,
            self.endpoint_list,
            self._log_counts,
            self._sweep_memory,
        )
        self._listener = ClientListener()
        longest_deadline_ms = max(workload.deadline_ms for workload in self.workloads.values())
        self._schedule = ShutdownSchedule.for_deadline(longest_deadline_ms)
        self.shutdown = self._make_shutdown()

    def _divide_limits(self, idle_bytes: int) -> None:
        """Divide sockets and memory between clients and nodes; lingering connections count as clients'."""
        limits = MemoryLimits.for_process(
            self.config.memory_mb * BYTES_PER_MB, idle_bytes, self.config.sockets
        )
        self.memory_limits = limits
        self.socket_buffers = SocketBuffers(limits.queue_bytes, limits.queue_bytes)
        self.peer_memory = PeerMemory(self.memory_limits.connections_bytes)
        self.answer_budget = BodyBudget(self.memory_limits.long_bodies_bytes)
        self.request_budget = BodyBudget(self.memory_limits.long_bodies_bytes, copies=REQUEST_COPIES)
        available = self.config.sockets - RESERVED_SOCKETS
        for_clients = available // 2
        max_lingering = max(MIN_LINGERING, available // SOCKETS_PER_LINGERING)
        self.client_registry = ClientRegistry(for_clients - max_lingering, max_lingering)
        self.socket_budget = SocketBudget(
            available - for_clients, self.answer_budget, self.peer_memory, self.socket_buffers
        )

    def _sweep_memory(self) -> None:
        if self._memory_guard is not None:
            self._memory_guard.sweep()

    def _make_round_carrier(self, make_scheduler: Callable[..., Scheduler]) -> RoundCarrier:
        settings = self.config.settings
        scheduler = settings.create_scheduler(make_scheduler, self.config.seed)
        scheduler.limit_tables(self.memory_limits.table_entries)
        self.sent_ids = SentCallIds(self.memory_limits.call_ids)
        return RoundCarrier(
            scheduler,
            self.endpoint_list,
            self.socket_budget,
            self.receive_buffer,
            self.sent_ids,
            settings.ms("limits.connectTimeoutS", DEFAULT_CONNECT_TIMEOUT_S),
            POOL_IDLE_FRACTION * settings.ms("limits.connIdleS", DEFAULT_NODE_IDLE_S),
            self._scheduler_failed,
            self._request_answered,
            self.log,
        )

    def _make_discovery_client(self) -> DiscoveryClient:
        return DiscoveryClient(
            self.config.discovery,
            f"{self.config.seed}:{self.config.name}",
            self.endpoint_list,
            self.rounds.clock,
            self._endpoints_changed,
            self.log,
            self.memory_limits.discovery_message_bytes,
            self.socket_buffers,
        )

    def _make_shutdown(self) -> Shutdown:
        return Shutdown(
            self._schedule,
            self._listener,
            self.client_registry,
            lambda: len(self.round_carrier.open_requests),
            self._answer_all,
            self._exited,
        )

    # Start, reload and shutdown.

    async def start(self) -> int:
        """Start to follow discovery and to listen for clients.

        Returns:
            The port that was bound.

        Raises:
            OSError: The listen address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self.discovery.start()
        self._startup_timers = [
            loop.call_later(FILE_ENDPOINTS_MS / 1000.0, self._use_endpoints_of_file),
            loop.call_later(READY_WITHOUT_ENDPOINTS_MS / 1000.0, self._ready_without_endpoints),
        ]
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.periodic_tasks.start()
        port = await self._listener.open(
            lambda: ClientConnection(self), self.config.listen, self.socket_buffers
        )
        self.log("listening", address=self.config.listen)
        return port

    def _ready_without_endpoints(self) -> None:
        """Report ready without endpoints: an answer with Retry-After is better than an unused dispatcher."""
        if not self.ready:
            self.ready = True
            self.log("ready without endpoints: discovery has sent no list")

    def _use_endpoints_of_file(self) -> None:
        """Use the list of the configuration file: outdated endpoints are better than none."""
        if not self.endpoints_known:
            version = list_version(self.config.known_endpoints)
            self.log(
                "endpoints of the configuration file in use: discovery has sent no list", version=version
            )
            self._endpoints_changed(self.endpoint_list.apply(self.config.known_endpoints) or [])

    def reload(self) -> None:
        """Read the configuration again and apply discovery's address; other changes need a restart.

        An invalid configuration changes nothing.
        """
        try:
            config = read_config(self.env)
        except ConfigError as error:
            self.log("configuration reload refused", error=str(error))
            return
        old, self.config = self.config, config
        compared = (
            ("listen", config.listen, old.listen),
            ("limits.sockets", config.sockets, old.sockets),
            ("settings", config.settings.as_pairs(), old.settings.as_pairs()),
        )
        needs_restart = [key for key, new_value, old_value in compared if new_value != old_value]
        self.log("configuration reloaded", discovery=config.discovery, needs_restart=needs_restart)
        if config.discovery != self.discovery.address:
            self.discovery.change_address(config.discovery)

    def leave(self) -> None:
        """Start the orderly shutdown (SIGTERM, SIGINT); a second call ends it at once."""
        if self.shutdown.ordered:
            self.shutdown.end(EXIT_FORCED)
            return
        self.log(
            "shutting down",
            open_requests=len(self.round_carrier.open_requests),
            clients=len(self.client_registry.connections),
        )
        self._deadline_limit_ms = self.rounds.clock() + self._schedule.window_ms - FINAL_ANSWERS_MS
        self.shutdown.begin()

    def _answer_all(self, exit_code: int) -> None:
        """Give every open request its final answer, and stop all work but the shutdown itself."""
        self.round_carrier.answer_all(exit_code)
        self.discovery.close()
        self.round_carrier.close()
        for timer in self._startup_timers:
            timer.cancel()
        self.periodic_tasks.stop()

    def _exited(self, exit_code: int) -> None:
        self._log_counts()
        self.log("stopped", code=exit_code)
        self.done.set_result(exit_code)

    def _scheduler_failed(self, error: Exception, round_kind: str) -> None:
        log_scheduler_crash(self.log, error, round_kind)
        self.shutdown.end(EXIT_BROKEN)

    def _request_answered(self) -> None:
        self.shutdown.check_finished()

    def _log_counts(self) -> None:
        """Log what is open and was answered, and of late: responses in doubt, connections out of memory."""
        counts = self.round_carrier.counts
        self.log(
            "counts",
            ok=counts.by_status[STATUS_OK],
            rejected=counts.by_status[STATUS_REJECTED],
            errored=counts.by_status[STATUS_ERRORED],
            abandoned=counts.abandoned,
            refused=self.refused,
            clients=len(self.client_registry.connections),
            open_requests=len(self.round_carrier.open_requests),
            node_sockets=self.socket_budget.used,
            nodes=len(self.endpoint_list.addresses),
            version=self.endpoint_list.version,
            connects=sum(pool.connect_count for pool in self.round_carrier.pools.values()),
        )
        if self._memory_report is not None:
            self._memory_report.write()
        in_doubt = self.round_carrier.take_in_doubt_counts()
        if in_doubt:
            self.log("responses in doubt", count_by_node=in_doubt)
        turned_away = self.client_registry.take_turned_away_count()
        if turned_away:
            self.log("clients turned away: all places are busy", count=turned_away)
        gave_up = self.peer_memory.take_given_up_count()
        if gave_up:
            held_kib = self.peer_memory.total_bytes // 1024
            limit_kib = self.peer_memory.max_bytes // 1024
            self.log("memory limit reached", gave_up=gave_up, held_kib=held_kib, limit_kib=limit_kib)

    # Called by discovery.

    def _endpoints_changed(self, nodes: list[Node]) -> None:
        if not self.endpoints_known:
            self.endpoints_known = self.ready = True
            for timer in self._startup_timers:
                timer.cancel()
            self.log(
                "endpoints known", nodes=len(self.endpoint_list.addresses), version=self.endpoint_list.version
            )
        self.round_carrier.endpoints_changed(nodes)

    # Called by clients' connections: the protocol `ConnectionOwner`.

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their next answer."""
        return self.shutdown.phase >= ShutdownPhase.CLOSING

    def clock(self) -> float:
        """Return the time of the rounds' clock in ms."""
        return self.rounds.clock()

    def admit(self, client: ClientConnection) -> bool:
        """Register a new connection; return False if there is no place for it."""
        return self.client_registry.admit(client)

    def mark_active(self, client: ClientConnection) -> None:
        """Note that the client has sent a complete request."""
        self.client_registry.mark_active(client)

    def mark_idle(self, client: ClientConnection) -> None:
        """Note that all requests of the client are answered."""
        self.client_registry.mark_idle(client)

    def linger(self, client: ClientConnection) -> None:
        """Note that one side of the client's connection has closed."""
        self.client_registry.linger(client)

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection that is closed on both sides."""
        self.client_registry.remove(client)
        self.shutdown.check_finished()

    def submit(self, client: ClientConnection, message: Message) -> PendingRequest:
        """Hand a client's request to the scheduler.

        Raises:
            HttpError: The message contains no acceptable request.
        """
        if self.shutdown.phase is ShutdownPhase.FLUSHING:
            raise HttpError(503, "this dispatcher has ended")
        pending = parse_request(message, self.workloads, self.plans, message.received_ms, ANSWER_MARGIN_MS)
        if pending.call_id in self.round_carrier.open_requests or pending.call_id in self.sent_ids:
            raise HttpError(409, "X-Call-Id: open or sent already")
        pending.deadline_ms = min(pending.deadline_ms, self._deadline_limit_ms - ANSWER_MARGIN_MS)
        pending.client = client
        self.round_carrier.submit(pending)
        return pending

    def abandon(self, pending: PendingRequest) -> None:
        """Cancel a request whose client has closed."""
        self.round_carrier.abandon(pending)


def _unix_to_loop_ms() -> Callable[[float], float]:
    """Return a conversion of Unix time in ms to the event loop's clock, fixed by one reading of both."""
    loop_minus_unix_ms = asyncio.get_running_loop().time() * 1000.0 - time.time() * 1000.0
    return lambda unix_ms: unix_ms + loop_minus_unix_ms


def main() -> int:
    """Run the dispatcher that environment and configuration file describe.

    Returns:
        The exit code of the process: that of the shutdown, or 2 if the dispatcher could not start.
    """
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        write_line(str(error))
        return 2
    log = plain_log(dispatcher=config.name)
    make_scheduler, compiled = scheduler_class()
    log("module", compiled=compiled)

    async def _run() -> int:
        process_memory = ProcessMemory()
        process_memory.limit_retained_blocks()
        return await serve(PlatformDispatcher(config, log, make_scheduler, process_memory=process_memory))

    try:
        return asyncio.run(_run())
    except OSError as error:
        write_line(f"listen: {config.listen}: {error}")
        return 2

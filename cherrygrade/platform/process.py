"""The platform's dispatcher process: wires clients, rounds, node pools, discovery and shutdown together."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping

from cherrygrade.compiled import scheduler_class
from cherrygrade.gateway.life import LEFT_BROKEN, LEFT_BY_FORCE, module_broke, serve
from cherrygrade.http.reader import BodyBudget, HttpError, Message
from cherrygrade.logs import plain_log
from cherrygrade.platform.client_connection import ClientConnection
from cherrygrade.platform.client_listener import ClientListener
from cherrygrade.platform.client_registry import ClientRegistry
from cherrygrade.platform.config import ConfigError, PlatformConfig, read_config
from cherrygrade.platform.discovery import DiscoveryClient
from cherrygrade.platform.endpoint_list import EndpointList, list_version
from cherrygrade.platform.periodic_tasks import PeriodicTasks
from cherrygrade.platform.request_parsing import PendingRequest, parse_request
from cherrygrade.platform.round_carrier import STATUS_ERRORED, STATUS_OK, STATUS_REJECTED, RoundCarrier
from cherrygrade.platform.shutdown import FINAL_ANSWERS_MS, Shutdown, ShutdownPhase, ShutdownSchedule
from cherrygrade.platform.socket_budget import SocketBudget
from cherrygrade.scheduling.model import Node
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.scheduling.scheduler import Scheduler

ANSWER_MS = 4.0  # reserved of each client's deadline for writing the answer
# A new process without a list from discovery gets ready after READY_MS, answers with Retry-After and sends
# nothing; after BLIND_MS it uses the list in its file, which may be old. The platform wants a restarted
# process ready within 6 s: the remainder is for the interpreter and imports on a small share of a core.
READY_MS = 4500.0
BLIND_MS = 60000.0
# Listener, discovery thrice, event loop, standard streams, what Python opens; and those accepted in one turn.
RESERVED_SOCKETS = 40
LINGERING_SHARE = 16  # one in so many sockets is for connections that are being closed
MIN_LINGERING = 4
RECEIVE_BUFFER_BYTES = 16 * 1024
BYTES_PER_MB = 1024 * 1024
# Shares of the memory limit, as divisors: answers of nodes, with what clients have not read yet; and long
# request bodies, each of which is held twice while it is sent to a node.
ANSWER_MEMORY_SHARE = 4
REQUEST_MEMORY_SHARE = 8
REQUEST_COPIES = 2
IDLE_POOL_SHARE = 0.6  # of the time after which nodes close idle connections
DEFAULT_NODE_IDLE_S = 15.0
DEFAULT_CONNECT_TIMEOUT_S = 0.25


class PlatformDispatcher:
    """One dispatcher. Implements `ConnectionOwner` for clients and `Life` for `serve`."""

    def __init__(
        self,
        config: PlatformConfig,
        log: Callable[..., None],
        make_scheduler: Callable[..., Scheduler],
        env: Mapping[str, str] = os.environ,
    ) -> None:
        """Wire a dispatcher; needs a running event loop, opens nothing.

        Args:
            config: What the configuration file says.
            log: Writes one event: its name, and facts by keyword.
            make_scheduler: The scheduler's class, compiled or not.
            env: Where `reload` finds the configuration file's path.
        """
        self.config = config
        self.log = log
        self.env = env
        self.workloads = config.settings.workloads()
        self.plans = config.settings.plans()
        self.endpoints_known = False
        """A list of endpoints was taken, from discovery or from the file: requests are sent to nodes.

        The list in the file may be old: nothing is sent before discovery has sent its own or stayed silent
        for BLIND_MS."""
        self.ready = False
        """`GET /ready` is answered with 200: endpoints are known, or READY_MS have passed without them.
        Requests are then rejected with a time to come back."""
        self.refused = 0
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        """The exit code, once the shutdown is over."""
        self._deadline_limit_ms = float("inf")
        self._startup_timers: list[asyncio.TimerHandle] = []
        self._share_out_limits()
        self.nodes = NodeTable()
        self.endpoint_list = EndpointList(self.nodes, _unix_to_loop_clock())
        self.round_carrier = self._make_round_carrier(make_scheduler)
        self.rounds = self.round_carrier.rounds
        self.discovery = self._make_discovery_client()
        self.periodic_tasks = PeriodicTasks(
            self.client_registry, self.round_carrier, self.endpoint_list, self.answer_budget, self._log_counts
        )
        self._listener = ClientListener()
        longest_deadline_ms = max(workload.deadline_ms for workload in self.workloads.values())
        self._schedule = ShutdownSchedule.for_deadline(longest_deadline_ms)
        self.shutdown = self._make_shutdown()

    def _share_out_limits(self) -> None:
        """Half of the sockets for clients, with those that linger, half for nodes; memory by its shares."""
        memory_bytes = self.config.memory_mb * BYTES_PER_MB
        self.answer_budget = BodyBudget(memory_bytes // ANSWER_MEMORY_SHARE)
        self.request_budget = BodyBudget(memory_bytes // REQUEST_MEMORY_SHARE, copies=REQUEST_COPIES)
        available = self.config.sockets - RESERVED_SOCKETS
        for_clients = available // 2
        max_lingering = max(MIN_LINGERING, available // LINGERING_SHARE)
        self.client_registry = ClientRegistry(for_clients - max_lingering, max_lingering)
        self.socket_budget = SocketBudget(available - for_clients, self.answer_budget)

    def _make_round_carrier(self, make_scheduler: Callable[..., Scheduler]) -> RoundCarrier:
        settings = self.config.settings
        return RoundCarrier(
            settings.create_scheduler(make_scheduler, self.config.seed),
            self.endpoint_list,
            self.socket_budget,
            self.receive_buffer,
            settings.ms("limits.connectTimeoutS", DEFAULT_CONNECT_TIMEOUT_S),
            IDLE_POOL_SHARE * settings.ms("limits.connIdleS", DEFAULT_NODE_IDLE_S),
            self._scheduler_broke,
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
        """Follow discovery and listen.

        Returns:
            The port bound.

        Raises:
            OSError: The listen address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self.discovery.start()
        self._startup_timers = [
            loop.call_later(BLIND_MS / 1000.0, self._use_endpoints_of_file),
            loop.call_later(READY_MS / 1000.0, self._ready_without_endpoints),
        ]
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.periodic_tasks.start()
        port = await self._listener.open(lambda: ClientConnection(self), self.config.listen)
        self.log("listening", address=self.config.listen)
        return port

    def _ready_without_endpoints(self) -> None:
        """A dispatcher that never gets ready is not used at all: clients get a Retry-After instead."""
        if not self.ready:
            self.ready = True
            self.log("ready without endpoints: discovery has sent no list")

    def _use_endpoints_of_file(self) -> None:
        """Discovery is silent, and a list that may be old serves better than none."""
        if not self.endpoints_known:
            version = list_version(self.config.known_endpoints)
            self.log(
                "endpoints of the configuration file in use: discovery has sent no list", version=version
            )
            self._endpoints_changed(self.endpoint_list.apply(self.config.known_endpoints) or [])

    def reload(self) -> None:
        """Read the configuration again: only discovery's address is taken; a bad file changes nothing."""
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
            self.discovery.move(config.discovery)

    def leave(self) -> None:
        """Begin the orderly shutdown (SIGTERM, SIGINT); a second call ends it at once."""
        if self.shutdown.ordered:
            self.shutdown.end(LEFT_BY_FORCE)
            return
        self.log(
            "shutting down",
            open_requests=len(self.round_carrier.open_requests),
            clients=len(self.client_registry.connections),
        )
        self._deadline_limit_ms = self.rounds.clock() + self._schedule.window_ms - FINAL_ANSWERS_MS
        self.shutdown.begin()

    def _answer_all(self, exit_code: int) -> None:
        """Final answers for all, and the end of everything that runs beside the shutdown."""
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

    def _scheduler_broke(self, error: Exception, round_kind: str) -> None:
        module_broke(self.log, error, round_kind)
        self.shutdown.end(LEFT_BROKEN)

    def _request_answered(self) -> None:
        self.shutdown.check_finished()

    def _log_counts(self) -> None:
        """One line with what is open and what was answered since the start."""
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
        """Connections close with their next answer."""
        return self.shutdown.phase >= ShutdownPhase.TURNING_AWAY

    def clock(self) -> float:
        """The rounds' clock, ms."""
        return self.rounds.clock()

    def admit(self, client: ClientConnection) -> bool:
        """Whether there is a place for a new connection."""
        return self.client_registry.admit(client)

    def mark_active(self, client: ClientConnection) -> None:
        """The client has sent a whole request."""
        self.client_registry.mark_active(client)

    def mark_idle(self, client: ClientConnection) -> None:
        """The client's last request was answered."""
        self.client_registry.mark_idle(client)

    def linger(self, client: ClientConnection) -> None:
        """One side of the client's connection has closed."""
        self.client_registry.linger(client)

    def remove(self, client: ClientConnection) -> None:
        """The client's connection is closed."""
        self.client_registry.remove(client)
        self.shutdown.check_finished()

    def submit(self, client: ClientConnection, message: Message) -> PendingRequest:
        """Hand a client's request to the scheduler.

        Raises:
            HttpError: The message holds no request that can be taken.
        """
        if self.shutdown.phase is ShutdownPhase.FLUSHING:
            raise HttpError(503, "this dispatcher has ended")
        pending = parse_request(message, self.workloads, self.plans, message.received_ms, ANSWER_MS)
        if pending.call_id in self.round_carrier.open_requests:
            raise HttpError(409, "X-Call-Id: open already")
        pending.deadline_ms = min(pending.deadline_ms, self._deadline_limit_ms - ANSWER_MS)
        pending.client = client
        self.round_carrier.submit(pending)
        return pending

    def abandon(self, pending: PendingRequest) -> None:
        """The request's client has closed."""
        self.round_carrier.abandon(pending)


def _unix_to_loop_clock() -> Callable[[float], float]:
    """Gives Unix time in ms on the event loop's clock, by one reading of both."""
    loop_minus_unix_ms = asyncio.get_running_loop().time() * 1000.0 - time.time() * 1000.0
    return lambda unix_ms: unix_ms + loop_minus_unix_ms


def main() -> int:
    """Run the dispatcher that the environment describes.

    Returns:
        The process's exit code: that of the shutdown, or 2 where it could not start.
    """
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    log = plain_log(dispatcher=config.name)
    make_scheduler, compiled = scheduler_class()
    log("module", compiled=compiled)

    async def _run() -> int:
        return await serve(PlatformDispatcher(config, log, make_scheduler))

    try:
        return asyncio.run(_run())
    except OSError as error:
        print(f"listen: {config.listen}: {error}", file=sys.stderr)
        return 2

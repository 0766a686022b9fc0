"""Carries out the decisions of the scheduler's rounds: sends attempts to nodes, and answers clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cherrygrade.gateway.lifecycle import EXIT_BROKEN, WakeTimer
from cherrygrade.gateway.rounds import Rounds
from cherrygrade.gateway.timer_wheel import TimerWheel
from cherrygrade.inflight import InflightAttempt, InflightRequest
from cherrygrade.platform.call_ids import SentCallIds
from cherrygrade.platform.connection_pool import ConnectionPool, PoolResources
from cherrygrade.platform.endpoint_list import EndpointList
from cherrygrade.platform.message_end import MAX_RESPONSE_WAIT_MS
from cherrygrade.platform.node_connection import NodeConnection
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.platform.socket_budget import SocketBudget
from cherrygrade.scheduling.model import Node, Outcome
from cherrygrade.scheduling.scheduler import Scheduler

TIMER_RESOLUTION_MS = 1.0  # the time by which a time-out, or the end of a wait, may be late
STATUS_OK = 200
STATUS_ERRORED = 502
STATUS_REJECTED = 503


@dataclass(slots=True)
class AnswerCounts:
    """Counts since the start of how requests ended."""

    by_status: dict[int, int] = field(
        default_factory=lambda: {STATUS_OK: 0, STATUS_REJECTED: 0, STATUS_ERRORED: 0}
    )
    abandoned: int = 0
    """Number of requests whose client closed before the answer."""


class RoundCarrier:
    """The I/O side of a dispatcher's rounds; implements `cherrygrade.gateway.rounds.Carrier`."""

    def __init__(
        self,
        scheduler: Scheduler,
        endpoint_list: EndpointList,
        socket_budget: SocketBudget,
        receive_buffer: memoryview,
        sent_ids: SentCallIds,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        crashed: Callable[[Exception, str], None],
        answered: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        """Create a carrier without open requests or connections.

        Args:
            scheduler: Decides in the rounds.
            endpoint_list: Addresses of the nodes.
            socket_budget: Limits the connections to all nodes together.
            receive_buffer: A buffer that all connections share.
            sent_ids: Remembers the ids of requests that are sent.
            connect_timeout_ms: Time-out of a connect to a node.
            idle_timeout_ms: Time after which an idle connection to a node is closed.
            crashed: Called with the exception and the kind of round when the scheduler raises.
            answered: Called after each final answer.
            log: Writes a log event, given by its name and its facts as keywords.
        """
        self.open_requests: dict[bytes, PendingRequest] = {}
        """Open requests by call id; removed by the final answer, or when the client closes."""
        self.pools: dict[Node, ConnectionPool] = {}
        """Connection pools of the nodes to which an attempt was sent."""
        self.counts = AnswerCounts()
        self._sent_ids = sent_ids
        self.rounds = Rounds(scheduler, self, crashed, lambda text: log("module", text=text))
        self._answered = answered
        self._log = log
        self._wheel: TimerWheel[InflightAttempt] = TimerWheel(TIMER_RESOLUTION_MS)
        self._response_wheel: TimerWheel[NodeConnection] = TimerWheel(TIMER_RESOLUTION_MS)
        self._confirmable: list[NodeConnection] = []  # their responses have waited; emptied by each round
        self._pool_resources = PoolResources(
            address_of=endpoint_list.addresses.__getitem__,
            rounds=self.rounds,
            timeout_wheel=self._wheel,
            await_response_end=self._await_response_end,
            socket_budget=socket_budget,
            receive_buffer=receive_buffer,
            connect_timeout_ms=connect_timeout_ms,
            idle_timeout_ms=idle_timeout_ms,
        )
        self._timeout_alarm = WakeTimer(self._wheel, self.rounds.clock, self._end_timed_out)
        self._response_alarm = WakeTimer(self._response_wheel, self.rounds.clock, self._responses_have_waited)

    # Called by the dispatcher.

    def submit(self, pending: PendingRequest) -> None:
        """Hand a client's request to the next round."""
        self.open_requests[pending.call_id] = pending
        self.rounds.submit(pending)

    def abandon(self, pending: PendingRequest) -> None:
        """Abandon a request whose client has closed; cancel its attempts that are not fully sent."""
        self.counts.abandoned += 1
        self.open_requests.pop(pending.call_id, None)
        pending.client = pending.body = None
        self.rounds.abandon(pending)
        for attempt in pending.attempts:
            pool = self.pools.get(attempt.node)
            if attempt.outcome is None and pool is not None:
                pool.client_closed(attempt)  # type: ignore[arg-type]

    def endpoints_changed(self, nodes: list[Node]) -> None:
        """Pass changed nodes on to their pools and to the next round."""
        for node in nodes:
            pool = self.pools.get(node)
            if pool is not None:
                pool.node_state_changed()
        self.rounds.inputs.endpoint_changes += nodes
        self.rounds.schedule_round()

    def take_in_doubt_counts(self) -> dict[str, int]:
        """Return how many responses of each node were in doubt since the last call, and reset the counts."""
        counts: dict[str, int] = {}
        for pool in self.pools.values():
            if pool.in_doubt_count:
                counts[pool.node.address] = pool.in_doubt_count
                pool.in_doubt_count = 0
        return counts

    def answer_all(self, exit_code: int) -> None:
        """End the rounds, close all node connections and give every open request its final answer."""
        self.rounds.stop()
        for pool in self.pools.values():
            pool.close()
        admission = self.rounds.scheduler.admission
        scheduler_works = exit_code != EXIT_BROKEN  # after a scheduler fault its decisions are not trusted
        for pending in [*self.open_requests.values()]:
            rejected = scheduler_works and admission.may_reject(pending)
            self._final_answer(pending, STATUS_REJECTED if rejected else STATUS_ERRORED)

    def close(self) -> None:
        """Stop delivering time-outs."""
        self._timeout_alarm.close()
        self._response_alarm.close()

    # Called by the rounds.

    def before_round(self, now: float) -> None:
        """End the attempts that have timed out at `now`, in ms, and those whose responses have waited.

        A response is confirmed in the round that answers with it, so that hardly any time is between the last
        look at the socket and the answer.
        """
        self._end_timed_out(now)
        self._responses_have_waited(now)
        confirmable, self._confirmable = self._confirmable, []
        for connection in confirmable:
            if not connection.confirm_response():
                self._response_wheel.add(connection, now)
        if confirmable:
            self._response_alarm.schedule()

    def _end_timed_out(self, now: float) -> None:
        for attempt in self._wheel.take_expired(now):
            self.pools[attempt.node].abandon_attempt(attempt, Outcome.TIMED_OUT)

    def _await_response_end(self, connection: NodeConnection) -> None:
        self._response_wheel.add(connection, self.rounds.clock() + MAX_RESPONSE_WAIT_MS)
        self._response_alarm.schedule()

    def _responses_have_waited(self, now: float) -> None:
        self._confirmable += self._response_wheel.take_expired(now)
        self.rounds.schedule_round()

    def send_attempt(self, attempt: InflightAttempt, limit_ms: float) -> None:
        """Send an attempt to its node; it times out after `limit_ms` or at the deadline of its request."""
        node, request = attempt.node, attempt.request
        assert isinstance(request, PendingRequest)
        self._sent_ids.add(request.call_id)
        pool = self.pools.get(node)
        if pool is None:
            pool = self.pools[node] = ConnectionPool(node, self._pool_resources)
        attempt.expires_ms = min(attempt.request.deadline_ms, attempt.sent_ms + limit_ms)
        attempt.timer_slot = self._wheel.add(attempt, attempt.expires_ms)
        pool.send(attempt)
        self._timeout_alarm.schedule()

    def cancel_attempt(self, attempt: InflightAttempt) -> None:
        """Cancel an attempt."""
        pool = self.pools.get(attempt.node)
        if pool is not None:
            pool.abandon_attempt(attempt, Outcome.CANCELLED)

    def answer_ok(self, request: InflightRequest, attempt: InflightAttempt) -> None:
        """Answer with 200 and the body that the node sent."""
        assert isinstance(request, PendingRequest)
        self._final_answer(request, STATUS_OK, bytes(request.body or b""))

    def answer_rejected(self, request: InflightRequest, retry_after_ms: float) -> None:
        """Answer with 503 and, if `retry_after_ms` is above 0, with the field Retry-After."""
        assert isinstance(request, PendingRequest)
        fields = b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms > 0.0 else b""
        self._final_answer(request, STATUS_REJECTED, fields=fields)

    def answer_errored(self, request: InflightRequest) -> None:
        """Answer with 502, as the request may have run on a node."""
        assert isinstance(request, PendingRequest)
        self._final_answer(request, STATUS_ERRORED)

    def _final_answer(
        self, pending: PendingRequest, status: int, body: bytes = b"", fields: bytes = b""
    ) -> None:
        """Give a request its final answer, unless its client has closed."""
        self.open_requests.pop(pending.call_id, None)
        client = pending.client
        pending.client = pending.body = None
        self.counts.by_status[status] += 1
        if client is not None and client.request is pending:
            client.answer(status, body, fields)
        self._answered()

    def request_endpoint_list(self, push: bool) -> None:
        """Do nothing, as discovery pushes its changes."""

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Drop a message to other dispatchers, which have no links to each other on the platform."""
        self._log("peer message dropped: dispatchers of the platform have no links to each other")

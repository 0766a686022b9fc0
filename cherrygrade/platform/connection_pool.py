"""The connections to one storage node; a connection carries one attempt at a time.

An attempt that finds no idle connection waits until one is made or becomes idle. The pool sends an attempt at
most once. It does not send a waiting attempt whose node drains or whose request has ended.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cherrygrade.gateway.rounds import Rounds
from cherrygrade.gateway.timer_wheel import TimerWheel
from cherrygrade.http.reader import Message
from cherrygrade.inflight import InflightAttempt
from cherrygrade.platform.endpoint_list import EndpointAddress
from cherrygrade.platform.message_end import MAX_RESPONSE_WAIT_MS
from cherrygrade.platform.node_connection import NodeConnection
from cherrygrade.platform.node_messages import encode_attempt, record_load, response_outcome
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.platform.socket_budget import SocketBudget
from cherrygrade.scheduling.model import Node, NodeState, Outcome
from cherrygrade.transport.connecting import connect

# Time between a response and the next attempt on the same connection. Responses carry no id. If a second
# response or the node's close arrives within this time, the connection is closed, and the second response is
# not taken for that of the next attempt.
MIN_IDLE_MS = MAX_RESPONSE_WAIT_MS
# After the connect time-out divided by this, a second connect starts beside the slow one (RFC 8305, 5). The
# slow one is awaited beyond its time-out, because a lost SYN is retransmitted after 1 s (RFC 6298).
RACE_AFTER_DIVISOR = 2.0
RACED_CONNECT_EXTRA_MS = 2000.0


@dataclass(frozen=True, slots=True)
class PoolResources:
    """Resources and settings that the pools of all nodes share."""

    address_of: Callable[[Node], EndpointAddress]
    """Returns the address of a node; raises KeyError for a node that discovery has removed."""
    rounds: Rounds
    """Take the outcomes of attempts; their clock is used for all times."""
    timeout_wheel: TimerWheel[InflightAttempt]
    """Time-outs of attempts, by `timer_slot`."""
    await_response_end: Callable[[NodeConnection], None]
    """Calls `confirm_response` of the connection in a round MAX_RESPONSE_WAIT_MS from now."""
    socket_budget: SocketBudget
    receive_buffer: memoryview
    """A buffer that all connections share; bytes read into it are copied out at once."""
    connect_timeout_ms: float
    idle_timeout_ms: float
    """Time after which an idle connection is closed."""


class ConnectionPool:
    """Sends attempts to one node and owns the connections to it. Implements `NodeConnectionOwner`."""

    def __init__(self, node: Node, resources: PoolResources) -> None:
        """Create a pool without connections."""
        self.node = node
        self.rounds = resources.rounds
        self.receive_buffer = resources.receive_buffer
        self.answer_budget = resources.socket_budget.answer_budget
        self.peer_memory = resources.socket_budget.peer_memory
        self.socket_buffers = resources.socket_budget.socket_buffers
        self.waiting: deque[InflightAttempt] = deque()
        """Attempts that have not been sent; removed when they are sent, fail to connect, or time out."""
        self.connections: dict[NodeConnection, None] = {}
        """All connections with a socket, including those that are still connecting."""
        self.idle: list[NodeConnection] = []
        """Established connections without an attempt, the most recently used last."""
        self.awaiting_end: dict[NodeConnection, None] = {}
        """Connections with a complete response whose end is not certain; they become idle or are closed."""
        self.connecting = 0
        """Number of pending connects that are not raced by another connect."""
        self.connect_count = 0
        """Number of connections established since the start."""
        self.in_doubt_count = 0
        """Number of responses that may have been cut short, since `RoundCarrier.take_in_doubt_counts`."""
        self._resources = resources
        self._socket_budget = resources.socket_budget
        self._last_connect_was_reset = False
        self._last_alive_ms = 0.0  # last time a connect succeeded or a response arrived
        self._slow_connects = 0  # slow connects since `_last_alive_ms`
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._reuse_timer: asyncio.TimerHandle | None = None

    # Sending attempts.

    def send(self, attempt: InflightAttempt) -> None:
        """Send an attempt as soon as a connection is available for it."""
        self.waiting.append(attempt)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Send waiting attempts on idle connections; start connects for the remaining ones."""
        self._send_on_idle_connections()
        # Connections that are idle for less than MIN_IDLE_MS, and those whose node has responded, count too:
        # they are usable before a new one is.
        while (
            len(self.waiting) > self.connecting + len(self.idle) + len(self.awaiting_end)
            and self._socket_budget.try_take()
        ):
            self._start_connect()

    def _send_on_idle_connections(self) -> None:
        now = self.rounds.clock()
        while self.waiting and self.idle:
            connection = self._reusable_connection(now)
            if connection is None:
                return
            self.idle.remove(connection)
            self._socket_budget.idle.pop(connection, None)
            if not connection.is_clean():
                connection.close()
                continue
            if not self._send_next(connection):
                self.idle.append(connection)
                self._socket_budget.idle[connection] = None

    def _send_next(self, connection: NodeConnection) -> bool:
        """Send the first waiting attempt that may still be sent; those before it end as not sent.

        Returns:
            False if no attempt was sent.
        """
        while self.waiting:
            attempt = self.waiting.popleft()
            if self._may_send(attempt):
                self._send_on(connection, attempt)
                return True
            self.finish(attempt, Outcome.NOT_SENT)
        return False

    def _reusable_connection(self, now: float) -> NodeConnection | None:
        """Return the most recently used connection that has been idle for MIN_IDLE_MS.

        If there is none, return None, and start a timer that sends the waiting attempts later.
        """
        for connection in reversed(self.idle):
            if now - connection.idle_since_ms >= MIN_IDLE_MS:
                return connection
        if self._reuse_timer is None:
            soonest = min(connection.idle_since_ms for connection in self.idle) + MIN_IDLE_MS
            loop = asyncio.get_running_loop()
            self._reuse_timer = loop.call_later((soonest - now) / 1000.0, self._reuse_timer_fired)
        return None

    def _reuse_timer_fired(self) -> None:
        self._reuse_timer = None
        self.send_waiting()

    def _may_send(self, attempt: InflightAttempt) -> bool:
        """Return whether the attempt may still be sent; called right before its bytes are written.

        Since the scheduler's decision the client may have closed, the node may have begun to drain, or the
        deadline or the time window for repeating a request may have passed.
        """
        pending = attempt.request
        now = self.rounds.clock_now()
        assert isinstance(pending, PendingRequest)
        if pending.finished or now >= attempt.expires_ms or self.node.state is not NodeState.LIVE:
            return False
        if pending.client is None or not pending.client.check_request():
            return False
        return self.rounds.scheduler.admission.may_run_again(pending, self.node, now, attempt)

    def _send_on(self, connection: NodeConnection, attempt: InflightAttempt) -> None:
        pending = attempt.request
        assert isinstance(pending, PendingRequest)
        address = self._resources.address_of(self.node)
        remaining_ms = math.floor(attempt.expires_ms - self.rounds.clock_now())
        connection.send(attempt, encode_attempt(pending, address, remaining_ms))

    # Making connections.

    def _start_connect(self) -> None:
        connection = NodeConnection(self, self.rounds.clock())
        self.connections[connection] = None
        self.connecting += 1
        task = asyncio.get_running_loop().create_task(self._connect(connection))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self, connection: NodeConnection) -> None:
        loop = asyncio.get_running_loop()
        timeout_ms = self._resources.connect_timeout_ms
        race_timer = loop.call_later(
            timeout_ms / (1000.0 * RACE_AFTER_DIVISOR), self._connect_is_slow, connection
        )
        try:
            address = self._resources.address_of(self.node)
            async with asyncio.timeout((timeout_ms + RACED_CONNECT_EXTRA_MS) / 1000.0):
                await connect(lambda: connection, address.host, address.port, self.socket_buffers)
        except (OSError, KeyError) as error:  # TimeoutError is an OSError
            self._connect_failed(connection, error)
        finally:
            race_timer.cancel()

    def _connect_failed(self, connection: NodeConnection, error: OSError | KeyError) -> None:
        if connection.is_up:
            return  # established in the event-loop iteration of the time-out; its close ends its attempt
        connection.is_closed = True
        self.connection_closed(connection)
        if connection.is_raced:
            return  # `_connect_is_slow` has already counted it against the node
        previous_was_reset = self._last_connect_was_reset
        self._last_connect_was_reset = isinstance(error, ConnectionResetError)
        if self._last_connect_was_reset and not previous_was_reset:
            return  # a single reset is no sign that the node is unreachable; two in a row are
        # None of the waiting attempts was sent. If another connection is established, only this connect is at
        # fault, and at most one attempt fails; otherwise the node is unreachable, and all of them fail.
        if any(other.is_up for other in self.connections):
            if len(self.waiting) > self.connecting:
                self.finish(self.waiting.popleft(), Outcome.CONNECT_FAILED)
            return
        while self.waiting:
            self.finish(self.waiting.popleft(), Outcome.CONNECT_FAILED)

    def _connect_is_slow(self, connection: NodeConnection) -> None:
        """Start another connect beside one that is not established after a part of the time-out.

        A slow connect counts against the node unless another connect has succeeded or a response has arrived
        since it began. One that counts is no sign yet that the node is unreachable; the second ends the first
        waiting attempt as unable to connect.
        """
        if connection.is_up or connection.is_closed:
            return
        connection.is_raced = True
        self.connecting -= 1
        if self._last_alive_ms < connection.connect_started_ms:
            self._slow_connects += 1
            if self._slow_connects > 1 and len(self.waiting) > self.connecting:
                self.finish(self.waiting.popleft(), Outcome.CONNECT_FAILED)
        self.send_waiting()

    def _mark_alive(self) -> None:
        self._last_alive_ms = self.rounds.clock()
        self._slow_connects = 0

    # Called by connections.

    def connected(self, connection: NodeConnection) -> None:
        """Handle an established connection: it is idle and can be used at once."""
        connection.is_up = True
        self._last_connect_was_reset = False
        self._mark_alive()
        if not connection.is_raced:
            self.connecting -= 1
        self.connect_count += 1
        self._add_idle(connection, self.rounds.clock() - MIN_IDLE_MS)

    def _add_idle(self, connection: NodeConnection, idle_since_ms: float) -> None:
        connection.idle_since_ms = idle_since_ms
        self.idle.append(connection)
        self._socket_budget.idle[connection] = None
        self.send_waiting()

    def connection_closed(self, connection: NodeConnection) -> None:
        """Handle a connection that was closed or could not be established; repeated calls have no effect."""
        if connection not in self.connections:
            return
        del self.connections[connection]
        self.awaiting_end.pop(connection, None)
        self._socket_budget.release_socket(connection)
        if not (connection.is_up or connection.is_raced):
            self.connecting -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting:  # deferred, as a loop over `connections` may be the caller
            asyncio.get_running_loop().call_soon(self.send_waiting)

    def await_response_end(self, connection: NodeConnection, attempt: InflightAttempt) -> None:
        """Free the node's slot of an attempt, whose response is used once its end is certain."""
        self._mark_alive()
        self.awaiting_end[connection] = None
        self.rounds.record_response(attempt)
        self._resources.await_response_end(connection)

    def response_received(
        self, connection: NodeConnection, attempt: InflightAttempt, response: Message
    ) -> None:
        """Finish an attempt with its response; its connection becomes idle unless it was closed."""
        if connection in self.awaiting_end:
            del self.awaiting_end[connection]
        else:
            self._mark_alive()
        record_load(attempt, response.fields)
        self.finish(attempt, response_outcome(response), response.body)
        if not connection.is_closed:
            self._add_idle(connection, attempt.response_ms or self.rounds.clock())

    def response_invalid(self, attempt: InflightAttempt) -> None:
        """Finish an attempt as failed: its response is malformed, and the request may have run."""
        self.finish(attempt, Outcome.FAILED)

    def response_in_doubt(self, attempt: InflightAttempt) -> None:
        """Finish an attempt as failed: its response may be cut short, and the request may have run."""
        self.in_doubt_count += 1
        self.finish(attempt, Outcome.FAILED)

    def finish(self, attempt: InflightAttempt, outcome: Outcome, body: bytes | None = None) -> None:
        """Report the outcome of an attempt to the next round, with the body of its response, if any."""
        self._resources.timeout_wheel.remove(attempt, attempt.timer_slot)
        attempt.exchange = None
        self.rounds.record_outcome(attempt, outcome, memoryview(body) if body is not None else None)

    # Called by the round carrier and the periodic tasks.

    def abandon_attempt(self, attempt: InflightAttempt, outcome: Outcome) -> None:
        """End an attempt that has no outcome yet with `outcome`, and close its connection at once.

        An attempt that was not sent ends as not sent.
        """
        if attempt.outcome is not None:
            return
        connection = attempt.exchange
        if connection is None:
            if attempt in self.waiting:
                self.waiting.remove(attempt)
            self.finish(attempt, Outcome.NOT_SENT)
            return
        connection.attempt = None
        connection.close()
        self.finish(attempt, outcome)

    def client_closed(self, attempt: InflightAttempt) -> None:
        """Cancel an attempt whose client has closed, unless the kernel has taken all of its bytes."""
        if attempt.exchange is None or not attempt.exchange.is_fully_sent:
            self.abandon_attempt(attempt, Outcome.CANCELLED)

    def node_state_changed(self) -> None:
        """End the waiting attempts if the new state of the node is not live."""
        if self.node.state is not NodeState.LIVE:
            self._finish_waiting()

    def _finish_waiting(self) -> None:
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            self.finish(attempt, Outcome.NOT_SENT)

    @property
    def is_unused(self) -> bool:
        """Whether no attempt is in flight or waiting."""
        return not self.waiting and all(connection.attempt is None for connection in self.connections)

    def close_idle(self, now: float) -> None:
        """Close connections that were idle for too long, or all idle ones if discovery removed the node."""
        is_removed = self.node.state is NodeState.GONE
        for connection in [*self.idle]:
            if is_removed or now - connection.idle_since_ms >= self._resources.idle_timeout_ms:
                connection.close()

    def close(self) -> None:
        """Close all connections and end all waiting attempts."""
        if self._reuse_timer is not None:
            self._reuse_timer.cancel()
        for task in [*self._connect_tasks]:
            task.cancel()
        self._finish_waiting()
        for connection in [*self.connections]:
            connection.close()

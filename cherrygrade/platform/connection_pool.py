"""The connections to one storage node; a connection carries one attempt at a time.

An attempt that finds no idle connection waits for one that is being made or becomes idle. Nothing here is
sent twice, and nothing that has not left leaves any more once its node drains or its request is over.
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
from cherrygrade.platform.node_connection import NodeConnection
from cherrygrade.platform.node_messages import encode_attempt, record_load, response_outcome
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.platform.socket_budget import SocketBudget
from cherrygrade.scheduling.model import Node, NodeState, Outcome

# Between a response and the next attempt on its connection. Responses carry no id: a second one that comes
# late, or the close behind the first, finds the connection idle and closes it, and is not taken for the next
# attempt's.
MIN_IDLE_MS = 10.0
# A connect that is not up after this share of its time-out is raced by another (RFC 8305, 5) and still
# awaited beyond the time-out: a lost SYN is sent again after a second (RFC 6298), so it may be up then.
RACE_AFTER_DIVISOR = 2.0
RACED_CONNECT_EXTRA_MS = 2000.0


@dataclass(frozen=True, slots=True)
class PoolResources:
    """What the pools of all nodes share."""

    address_of: Callable[[Node], EndpointAddress]
    """Raises KeyError for a node that discovery has removed."""
    rounds: Rounds
    timeout_wheel: TimerWheel[InflightAttempt]
    socket_budget: SocketBudget
    receive_buffer: memoryview
    connect_timeout_ms: float
    idle_timeout_ms: float
    """A connection that carried nothing for so long is closed."""


class ConnectionPool:
    """All that goes to one node from this dispatcher. Implements `NodeConnectionOwner`."""

    def __init__(self, node: Node, resources: PoolResources) -> None:
        """Start without a connection."""
        self.node = node
        self.rounds = resources.rounds
        self.receive_buffer = resources.receive_buffer
        self.answer_budget = resources.socket_budget.answer_budget
        self.waiting: deque[InflightAttempt] = deque()
        """Attempts not sent yet; removed by connections, failed connects and time-outs."""
        self.connections: dict[NodeConnection, None] = {}
        """All that hold a socket, connecting ones among them."""
        self.idle: list[NodeConnection] = []
        """Those that are up and carry nothing; the one used last stands last."""
        self.connecting = 0
        """Connects that are neither up nor raced."""
        self.connect_count = 0
        """Connections that came up since the start."""
        self._resources = resources
        self._socket_budget = resources.socket_budget
        self._last_connect_was_reset = False
        self._last_alive_ms = 0.0  # when a connection last came up or a response came
        self._slow_connects = 0  # since then
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._reuse_timer: asyncio.TimerHandle | None = None

    # Sending.

    def send(self, attempt: InflightAttempt) -> None:
        """Send an attempt as soon as there is a connection for it."""
        self.waiting.append(attempt)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Give waiting attempts the idle connections; connect for those that are left."""
        self._use_idle()
        # An idle connection is reusable sooner than one that has yet to be made.
        while len(self.waiting) > self.connecting + len(self.idle) and self._socket_budget.take():
            self._start_connect()

    def _use_idle(self) -> None:
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
        """Send the first attempt that may still be sent; the others before it end. False: none was left."""
        while self.waiting:
            attempt = self.waiting.popleft()
            if self._may_send(attempt):
                self._send_on(connection, attempt)
                return True
            self.finish(attempt, Outcome.NOT_SENT)
        return False

    def _reusable_connection(self, now: float) -> NodeConnection | None:
        """The one used last of those idle for long enough; None where none is yet: a timer tries again."""
        for connection in reversed(self.idle):
            if now - connection.idle_since_ms >= MIN_IDLE_MS:
                return connection
        if self._reuse_timer is None:
            soonest = min(connection.idle_since_ms for connection in self.idle) + MIN_IDLE_MS
            loop = asyncio.get_running_loop()
            self._reuse_timer = loop.call_later((soonest - now) / 1000.0, self._reuse_due)
        return None

    def _reuse_due(self) -> None:
        self._reuse_timer = None
        self.send_waiting()

    def _may_send(self, attempt: InflightAttempt) -> bool:
        """Whether the attempt may still leave, checked as its bytes do.

        Since the decision the client may have closed, the node begun to drain, the deadline or the window
        for repeats have passed.
        """
        pending = attempt.request
        now = self.rounds.clock_now()
        assert isinstance(pending, PendingRequest)
        if pending.finished or now >= attempt.expires_ms or self.node.state is not NodeState.LIVE:
            return False
        if pending.client is None or pending.client.check_closed():
            return False
        return self.rounds.scheduler.admission.may_run_again(pending, self.node, now, attempt)

    def _send_on(self, connection: NodeConnection, attempt: InflightAttempt) -> None:
        pending = attempt.request
        assert isinstance(pending, PendingRequest)
        address = self._resources.address_of(self.node)
        remaining_ms = math.floor(attempt.expires_ms - self.rounds.clock_now())
        connection.send(attempt, encode_attempt(pending, address, remaining_ms))

    # Connecting.

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
                await loop.create_connection(lambda: connection, address.host, address.port)
        except (OSError, KeyError) as error:  # TimeoutError is an OSError
            self._connect_failed(connection, error)
        finally:
            race_timer.cancel()

    def _connect_failed(self, connection: NodeConnection, error: OSError | KeyError) -> None:
        if connection.is_up:
            return  # it came up in the turn of its time-out, and ends with what was sent on it
        connection.is_closed = True
        self.connection_closed(connection)
        if connection.is_raced:
            return  # its slowness was accounted for when the race began
        previous_was_reset = self._last_connect_was_reset
        self._last_connect_was_reset = isinstance(error, ConnectionResetError)
        if self._last_connect_was_reset and not previous_was_reset:
            return  # one reset connect says nothing of the node; two in a row do
        # The node is not there: what waits for a connection never left. With other connections up, the
        # failure is this connection's alone, and costs one attempt.
        if any(other.is_up for other in self.connections):
            if len(self.waiting) > self.connecting:
                self.finish(self.waiting.popleft(), Outcome.CONNECT_FAILED)
            return
        while self.waiting:
            self.finish(self.waiting.popleft(), Outcome.CONNECT_FAILED)

    def _connect_is_slow(self, connection: NodeConnection) -> None:
        """It is not up in its share of the time-out: race it with another connect.

        One slow connect alone, or beside signs of life, says nothing of the node. A second one without any
        does: the first waiting attempt could not connect.
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
        """A connection is up: it is idle, and usable at once."""
        connection.is_up = True
        self._last_connect_was_reset = False
        self._mark_alive()
        if not connection.is_raced:
            self.connecting -= 1
        self.connect_count += 1
        self._make_idle(connection, self.rounds.clock() - MIN_IDLE_MS)

    def _make_idle(self, connection: NodeConnection, idle_since_ms: float) -> None:
        connection.idle_since_ms = idle_since_ms
        self.idle.append(connection)
        self._socket_budget.idle[connection] = None
        self.send_waiting()

    def connection_closed(self, connection: NodeConnection) -> None:
        """A connection is closed, or could not be made; further calls for it do nothing."""
        if connection not in self.connections:
            return
        del self.connections[connection]
        self._socket_budget.give_back(connection)
        if not (connection.is_up or connection.is_raced):
            self.connecting -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting:  # not from within the loop that closes connections
            asyncio.get_running_loop().call_soon(self.send_waiting)

    def response_received(
        self, connection: NodeConnection, attempt: InflightAttempt, response: Message
    ) -> None:
        """An attempt has its response; its connection is idle unless it was closed."""
        self._mark_alive()
        record_load(attempt, response.fields)
        self.finish(attempt, response_outcome(response), response.body)
        if not connection.is_closed:
            self._make_idle(connection, self.rounds.clock())

    def response_invalid(self, attempt: InflightAttempt) -> None:
        """The request has run, and its response cannot be read."""
        self.finish(attempt, Outcome.FAILED)

    def finish(self, attempt: InflightAttempt, outcome: Outcome, body: bytes | None = None) -> None:
        """Report an attempt's outcome to the next round."""
        self._resources.timeout_wheel.remove(attempt, attempt.timer_slot)
        attempt.exchange = None
        self.rounds.record_outcome(attempt, outcome, memoryview(body) if body is not None else None)

    # Called by the round carrier and the periodic tasks.

    def give_up(self, attempt: InflightAttempt, outcome: Outcome) -> None:
        """Wait for no response any more: the attempt's connection closes before anything else is written."""
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
        """The response is not needed: an attempt that the kernel has not taken whole is not sent."""
        if attempt.exchange is None or not attempt.exchange.is_fully_sent:
            self.give_up(attempt, Outcome.CANCELLED)

    def node_state_changed(self) -> None:
        """Discovery has sent the node's state: unless it is live, nothing more is sent to it."""
        if self.node.state is not NodeState.LIVE:
            self._finish_waiting()

    def _finish_waiting(self) -> None:
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            self.finish(attempt, Outcome.NOT_SENT)

    @property
    def is_unused(self) -> bool:
        """No attempt is out or waits."""
        return not self.waiting and all(connection.attempt is None for connection in self.connections)

    def close_idle(self, now: float) -> None:
        """Close connections that were idle for too long; all idle ones where the node is gone."""
        gone = self.node.state is NodeState.GONE
        for connection in [*self.idle]:
            if gone or now - connection.idle_since_ms >= self._resources.idle_timeout_ms:
                connection.close()

    def close(self) -> None:
        """Close all connections and end all attempts that wait."""
        if self._reuse_timer is not None:
            self._reuse_timer.cancel()
        for task in [*self._connect_tasks]:
            task.cancel()
        self._finish_waiting()
        for connection in [*self.connections]:
            connection.close()

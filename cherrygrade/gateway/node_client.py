"""Sends attempts to one storage node: queues frames, spreads them over connections, reports each outcome.

Outcomes tell attempts that certainly have not run from those that may have run. An attempt whose frame was
not started on a connection ends as not sent or connect failed, and one that the node refused as rejected or
not sent: none of these has run. Any other attempt that fails may have run, and ends as timed out, reset,
cancelled or failed.
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
from cherrygrade.transport.connecting import connect
from cherrygrade.transport.connection import Connection
from cherrygrade.transport.socket_memory import DEFAULT_BUFFERS
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

# Outcomes by the code of a node's answer; any other code counts as failed.
OUTCOMES_BY_CODE = {
    0: Outcome.OK,
    1: Outcome.FAILED,
    2: Outcome.REJECTED,
    3: Outcome.NOT_SENT,
    4: Outcome.NOT_SENT,
}
# Codes of a node that does not hold the extent, or holds a newer version: the extent map is out of date.
STALE_MAP_CODES = (3, 4)


class AttemptFrame:
    """One frame to a node, which carries one attempt or several coalesced ones.

    Attributes:
        attempts: at least one; an abandoned one is removed while others remain.
        connection: the one that carries the frame; None while it waits.
        stream: number of the frame on its connection.
        start, end: range of bytes that the frame covers in its extent or key.
    """

    def __init__(self, attempts: list[InflightAttempt]) -> None:
        """`attempts`: all are reads, or all are writes."""
        self.attempts = attempts
        self.connection: NodeConnection | None = None
        self.stream = self.start = self.end = 0

    def assign(self, connection: NodeConnection, stream: int) -> None:
        """Bind the frame to the connection that carries it; the range covers the attempts it has now."""
        self.connection, self.stream = connection, stream
        self.start = min(attempt.request.offset for attempt in self.attempts)
        self.end = max(attempt.request.offset + attempt.request.length for attempt in self.attempts)


class NodeConnection:
    """One connection to a storage node: greets it, sends frames and matches answers to them.

    Attributes:
        node_client: the owner of this connection.
        pooled: the pool's record of this connection.
        conn: the socket.
        receiving: the frame whose answer's body is being received.
        pinned_claims: memory of a body that is being received though its attempt has ended; released when the
            body is complete or the connection closes.
        frames: frames in flight by stream number; removed by answers, time-outs and the connection's end.
        last_stream: the stream number that was given out last.
        closed_here: this process closed the connection.
        greeting_timer: aborts the connection if the node does not answer the greeting.
    """

    def __init__(self, node_client: NodeClient, pooled: PooledConnection) -> None:
        """Create a connection that is yet to be opened."""
        self.node_client, self.pooled = node_client, pooled
        self.conn = Connection(self, node_client.max_body_bytes, taken=node_client.unpin)
        self.receiving: AttemptFrame | None = None
        self.pinned_claims: list[Reservation] = []
        self.frames: dict[int, AttemptFrame] = {}
        self.last_stream = 0
        self.closed_here = False
        self.greeting_timer: asyncio.TimerHandle | None = None

    def connected(self, conn: Connection) -> None:
        """Greet the node."""
        conn.send(Hello(VERSION, "dispatcher", self.node_client.name))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray | memoryview | None:
        """Return the buffer for the body of an answer, or None to drop the body.

        The body is dropped if nobody waits for it any more, or if its length is not the one requested.
        """
        if not isinstance(message, Answer):
            return None
        frame = self.frames.get(message.id)
        if frame is None or message.code or length != frame.end - frame.start:
            return None
        self.receiving = frame
        request = frame.attempts[0].request
        if (
            len(frame.attempts) == 1
            and isinstance(request, InflightRequest)
            and request.destination is not None
        ):
            return request.destination if request.length == length else None
        return bytearray(length)

    def on_frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None:
        """Handle a message from the node."""
        self._body_received()
        if isinstance(message, Answer):
            self._answer(message, body)
        elif isinstance(message, Welcome):
            self.node_client.connection_ready(self)
        elif isinstance(message, Bye):
            # The node is closing: frames in flight may still be answered, but no new ones are sent here.
            self.pooled.is_closing = True
        else:
            conn.close(f"unexpected {type(message).__name__} from a node")

    def _body_received(self) -> None:
        """Release the memory that was pinned for the body that has been received."""
        self.receiving = None
        while self.pinned_claims:
            self.node_client.unpin(self.pinned_claims.pop())

    def _answer(self, answer: Answer, body: bytearray | memoryview | None) -> None:
        """End all attempts of a frame by the node's answer."""
        frame = self.frames.pop(answer.id, None)
        if frame is None:
            if answer.id > self.last_stream:
                self.conn.close("an answer to a send that was never made")
            return
        frame_outcome = OUTCOMES_BY_CODE.get(answer.code, Outcome.FAILED)
        is_alone = len(frame.attempts) == 1
        for attempt in frame.attempts:
            request, outcome, own_body = attempt.request, frame_outcome, body
            assert isinstance(request, InflightRequest)
            start = request.offset - frame.start
            if outcome is Outcome.OK and not request.is_write:
                if (0 if body is None else len(body)) != frame.end - frame.start:
                    outcome = Outcome.FAILED  # the body does not have the requested length
                elif body is not None and not (is_alone and request.length == len(body)):
                    own_body = memoryview(body)[start : start + request.length]
            if outcome is Outcome.OK and any(
                at < request.offset + request.length and request.offset < at + length
                for at, length in answer.failed
            ):
                outcome = Outcome.FAILED  # part of this attempt's range failed; coalesced attempts may be OK
            elif answer.code in STALE_MAP_CODES:
                if request.version < 0:
                    outcome = Outcome.FAILED
                else:
                    self.node_client.report_stale_map(request)
            attempt.load_report = answer.load
            if attempt.carried_by is None:
                attempt.units_elsewhere = max(0.0, answer.elsewhere)
                attempt.plan_use = answer.used if answer.used >= 0.0 else None
            self.node_client.attempt_ended(attempt, outcome, own_body)
        self.node_client.frame_ended(self)

    def writable(self, conn: Connection) -> None:
        """Start waiting frames: the write buffer has drained."""
        self.pooled.is_full = False
        self.node_client.start_frames()

    def closed(self, conn: Connection, why: str) -> None:
        """End the frames in flight: the connection has closed."""
        self._body_received()
        self.node_client.connection_lost(self, why)


def _offset_of(attempt: InflightAttempt) -> int:
    return attempt.request.offset


class NodeClient:
    """Sends attempts to one storage node.

    Attributes:
        node: the storage node.
        name: this dispatcher's name, sent in the greeting.
        rounds: receive the outcomes; their clock is used for all times.
        wheel: time-outs of attempts, by `timer_slot`.
        max_body_bytes: the longest body that a node may send.
        connect_timeout_ms: time for a connect, and again for the node's answer to the greeting.
        pool: decides which connection carries a frame.
        waiting: frames that no connection has taken; emptied by connections, failed connects and time-outs.
        report_stale_map: called for a request that a node refused because its extent has moved.
        unpin: releases one pin of a claim.
        connections: open ones, and those being opened, by the pool's record of them.
    """

    def __init__(
        self,
        node: Node,
        name: str,
        seed: str,
        rounds: Rounds,
        wheel: TimerWheel[InflightAttempt],
        max_body_bytes: int,
        settings: NodeConnectionSettings,
        log: Callable[..., None],
        report_stale_map: Callable[[InflightRequest], None],
        unpin: Callable[[Reservation], None],
    ) -> None:
        """`seed`: spreads the backoff of connects. The other arguments are described as attributes."""
        self.node, self.name, self.rounds, self.wheel = node, name, rounds, wheel
        self.max_body_bytes, self.log = max_body_bytes, log
        self.connect_timeout_ms = settings.connect_ms
        self._local_address = (settings.source, 0) if settings.source else None
        self.pool = NodeConnectionPool(seed, settings.most, settings.streams, settings.idle_ms)
        self.waiting: deque[AttemptFrame] = deque()
        self.report_stale_map, self.unpin = report_stale_map, unpin
        self.connections: dict[PooledConnection, NodeConnection] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def send(self, attempts: list[InflightAttempt]) -> None:
        """Send one attempt, or several coalesced ones in one frame."""
        frame = AttemptFrame(attempts)
        for attempt in attempts:
            attempt.frame = frame
        self.waiting.append(frame)
        self.start_frames()

    def start_frames(self) -> None:
        """Start waiting frames on connections; open connections for those that none can take."""
        while self.waiting:
            pooled = self.pool.choose()
            if pooled is None:
                break
            self._start(self.waiting.popleft(), self.connections[pooled])
        if not self.waiting:
            return
        now = self.rounds.clock()
        while self.pool.should_connect(len(self.waiting), now):
            pooled = self.pool.add_connecting(now)
            connection = self.connections[pooled] = NodeConnection(self, pooled)
            task = asyncio.get_running_loop().create_task(self._connect(connection))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)
        if self.pool.next_connect_ms > now and self._retry_timer is None:
            wait_s = (self.pool.next_connect_ms - now) / 1000.0
            self._retry_timer = asyncio.get_running_loop().call_later(wait_s, self._backoff_over)

    def _backoff_over(self) -> None:
        self._retry_timer = None
        self.start_frames()

    def _start(self, frame: AttemptFrame, connection: NodeConnection) -> None:
        """Write a frame to a connection."""
        connection.last_stream += 1
        frame.assign(connection, connection.last_stream)
        connection.frames[frame.stream] = frame
        self.pool.frame_started(connection.pooled)
        lead, others = (
            frame.attempts[0],
            [(attempt.request.id, attempt.number) for attempt in frame.attempts[1:]],
        )
        request, now = lead.request, self.rounds.clock()
        assert isinstance(request, InflightRequest) and request.workload is not None
        limit_ms = max(attempt.request.deadline_ms for attempt in frame.attempts) - now
        length, units = frame.end - frame.start, lead.coalesced_units or request.units
        if request.is_write:
            rpc = request.rpc
            assert isinstance(rpc, WriteRpc)
            has_key = request.workload.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            bodies = [
                attempt.request.body
                for attempt in sorted(frame.attempts, key=_offset_of)
                if isinstance(attempt.request, InflightRequest)
            ]
            claims = [
                attempt.claim or attempt.request.memory_claim()
                for attempt in frame.attempts
                if isinstance(attempt.request, InflightRequest)
            ]
            pinned = [claim for claim in claims if claim is not None]
            for claim in pinned:
                claim.pin()  # released once the socket has taken the bodies
            connection.conn.send(
                WriteSend(
                    frame.stream,
                    request.id,
                    request.volume,
                    request.key,
                    frame.start,
                    units,
                    limit_ms,
                    lead.number,
                    request.dispatchers,
                    rpc.token if has_key else b"",
                    request.workload.deduplication_window_ms if has_key else 0.0,
                    rpc.append,
                    request.version,
                    others,
                ),
                bodies[0],
                bodies[1:],
                pinned,
            )
        else:
            connection.conn.send(
                ReadSend(
                    frame.stream,
                    request.id,
                    request.volume,
                    request.key,
                    frame.start,
                    length,
                    units,
                    limit_ms,
                    lead.number,
                    request.dispatchers,
                    request.version,
                    others,
                )
            )
        connection.pooled.is_full = connection.conn.full

    async def _connect(self, connection: NodeConnection) -> None:
        host, _, port = self.node.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_timeout_ms / 1000.0):
                await connect(lambda: connection.conn, host, int(port), DEFAULT_BUFFERS, self._local_address)
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            self.connection_lost(connection, f"connect: {error or type(error).__name__}")
            return
        greeting_timeout_s = self.connect_timeout_ms / 1000.0
        connection.greeting_timer = loop.call_later(
            greeting_timeout_s, connection.conn.abort, "no welcome in time"
        )

    def connection_ready(self, connection: NodeConnection) -> None:
        """Use a connection: the node has answered the greeting."""
        if connection.greeting_timer is not None:
            connection.greeting_timer.cancel()
        self.pool.mark_ready(connection.pooled, self.rounds.clock())
        self.start_frames()
        self._schedule_idle_check()

    def _schedule_idle_check(self) -> None:
        if self._idle_timer is None:
            wait_s = self.pool.idle_timeout_ms / 1000.0
            self._idle_timer = asyncio.get_running_loop().call_later(wait_s, self._close_idle)

    def _close_idle(self) -> None:
        self._idle_timer = None
        for pooled in self.pool.to_close(self.rounds.clock()):
            self._close_connection(self.connections[pooled], "idle")
        if self.connections:
            self._schedule_idle_check()

    def _close_connection(self, connection: NodeConnection, reason: str) -> None:
        connection.closed_here = True
        self.pool.remove(connection.pooled, self.rounds.clock(), is_failure=False)
        connection.conn.close(reason)

    def connection_lost(self, connection: NodeConnection, reason: str) -> None:
        """Remove a connection that has closed or could not be opened.

        Its attempts in flight end as reset, since the node may have run them. If it was being opened and no
        other connection is ready, all waiting attempts end as connect failed.
        """
        if self.connections.pop(connection.pooled, None) is None:
            return
        if connection.greeting_timer is not None:
            connection.greeting_timer.cancel()
        never_ready = not connection.pooled.is_ready
        self.pool.remove(connection.pooled, self.rounds.clock(), is_failure=not connection.closed_here)
        if not connection.closed_here:
            self.log("line lost", node=self.node.address, why=reason, out=len(connection.frames))
        frames, connection.frames = connection.frames, {}
        for frame in frames.values():
            for attempt in frame.attempts:
                self.attempt_ended(attempt, Outcome.RESET)
        if never_ready and not any(other.is_ready for other in self.pool.connections):
            # No byte of the waiting attempts has left. The scheduler can place them on another node at once.
            self._end_waiting(Outcome.CONNECT_FAILED)
        self.start_frames()

    def _end_waiting(self, outcome: Outcome) -> None:
        """End all attempts that no connection has taken."""
        waiting, self.waiting = self.waiting, deque()
        for frame in waiting:
            for attempt in frame.attempts:
                self.attempt_ended(attempt, outcome)

    def attempt_ended(
        self, attempt: InflightAttempt, outcome: Outcome, body: bytearray | memoryview | None = None
    ) -> None:
        """Report an attempt's outcome to the next round and release its memory.

        If the answer's body is being received, its memory stays reserved until all of it has been received.
        """
        self.wheel.remove(attempt, attempt.timer_slot)
        self.rounds.record_outcome(attempt, outcome, body)
        frame: AttemptFrame | None = attempt.frame
        claim, attempt.claim = attempt.claim, None
        if frame is not None and frame.connection is not None and frame.connection.receiving is frame:
            request = attempt.request  # its client no longer waits, but the node goes on sending
            if (
                claim is None
                and isinstance(request, InflightRequest)
                and (claim := request.memory_claim()) is not None
            ):
                claim.pin()
            if claim is not None:
                frame.connection.pinned_claims.append(claim)
        elif claim is not None:
            self.unpin(claim)

    def frame_ended(self, connection: NodeConnection) -> None:
        """Start waiting frames now that a connection has one less, or close it if its node is closing."""
        self.pool.frame_ended(connection.pooled, self.rounds.clock())
        if self.waiting:
            self.start_frames()
        elif connection.pooled.is_closing and not connection.pooled.in_flight:
            self._close_connection(connection, "node closed")

    def abandon_attempt(self, attempt: InflightAttempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt's answer.

        The attempt ends with `outcome` (timed out or cancelled) if it has been sent, else as not sent.
        Coalesced attempts in the same frame go on.
        """
        frame: AttemptFrame | None = attempt.frame
        if frame is None or attempt not in frame.attempts or attempt.outcome is not None:
            return
        if frame.connection is None:
            frame.attempts.remove(attempt)
            if not frame.attempts:
                self.waiting.remove(frame)
            self.attempt_ended(attempt, Outcome.NOT_SENT)
            return
        if frame.connection.frames.get(frame.stream) is not frame:
            return
        self.attempt_ended(attempt, outcome)
        if len(frame.attempts) > 1:
            frame.attempts.remove(attempt)
            return
        del frame.connection.frames[frame.stream]
        frame.connection.conn.send(Withdraw(frame.stream))
        self.frame_ended(frame.connection)

    def node_state_changed(self) -> None:
        """End waiting attempts as not sent if the endpoint list no longer names the node as live."""
        if self.node.state is not NodeState.LIVE:
            self._end_waiting(Outcome.NOT_SENT)

    def close(self) -> None:
        """Close all connections; waiting attempts end as not sent."""
        for timer in (self._retry_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        for task in [*self._connect_tasks]:
            task.cancel()
        self._end_waiting(Outcome.NOT_SENT)
        for connection in [*self.connections.values()]:
            self._close_connection(connection, "dispatcher leaves")

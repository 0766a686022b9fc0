"""Checks every connection periodically and carries out escalation steps against slow peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from cherrygrade.peers.memory_admission import MemoryAdmission
from cherrygrade.peers.memory_budget import Account
from cherrygrade.peers.slow_peer_escalation import (
    RECOVERY_FACTOR,
    RecentCuts,
    SlowPeerEscalation,
    Step,
    is_network_slow,
    keeps_connection,
    limit_scarcity_rise,
    min_rate,
    min_rate_for_occupancy,
    scarcity,
)
from cherrygrade.peers.transfer_rate import TransferRate
from cherrygrade.settings import FlowControlSettings
from cherrygrade.transport.connection import Connection

CYCLE_MS = 100.0
"""Each connection is checked once in this time."""
MAX_BATCHES = 8
"""Maximum number of batches that the connections are divided into in one cycle."""
MIN_BATCH_SIZE = 16
"""Connections per batch, if there are too few for `MAX_BATCHES` batches of this size."""
STALL_MS = 150.0
"""If a check runs this long after the previous one, the process itself was stalled in between."""


class ConnectionOwner(Protocol):
    """A client or a storage node, with the connection to it."""

    @property
    def conn(self) -> Connection:
        """The connection."""


class Client(ConnectionOwner, Protocol):
    """A client, with what is done to it if it is slow.

    Attributes:
        name: The name that the client gave.
    """

    name: str

    @property
    def account(self) -> Account:
        """The memory that the client uses."""

    def idle(self) -> None:
        """Return unused memory; called with each check."""

    def read_on(self) -> None:
        """Resume or pause reading from the client, as its step now demands."""

    def feed_hungry(self) -> None:
        """Start further transfers for the client."""


class PeerRecord:
    """What is measured of one connection; dropped together with the connection.

    Attributes:
        rate: The transfer rate.
        escalation: The escalation state.
        client: The client; None if the peer is a storage node.
        conn: The connection.
        moved_bytes: Bytes transferred by the connection until the last check.
        checked_ms: Time of the last check, ms.
        min_rate: Minimum rate at the last check, bytes/s.
        occupied_bytes: Moving average of the bytes that waited for the peer.
    """

    def __init__(
        self,
        settings: FlowControlSettings,
        grace_ms: float,
        owner: ConnectionOwner,
        client: Client | None,
        now_ms: float,
    ) -> None:
        """Start measuring the connection of `owner`; `client` is the owner if it is a client."""
        self.rate, self.escalation = (
            TransferRate(settings.short_ms, settings.long_ms),
            SlowPeerEscalation(grace_ms),
        )
        self.client, self.conn, self.moved_bytes, self.checked_ms = (
            client,
            owner.conn,
            owner.conn.moved,
            now_ms,
        )
        self.min_rate = self.occupied_bytes = 0.0


class SlowPeerWatch:
    """Checks each connection once per `CYCLE_MS`.

    The connections are checked in batches spread over the cycle, because checking a thousand at once would
    delay all requests. Nothing is kept of a connection that is closed.

    Attributes:
        pace: Rates, windows and grace periods.
        memory: Reservations of memory, whose limits depend on the steps.
        come_back_ms: Retry delay that a client is given when it is cut, ms.
        recent_cuts: Clients that were cut recently.
    """

    def __init__(
        self,
        pace: FlowControlSettings,
        memory: MemoryAdmission,
        clients: Callable[[], Iterable[Client]],
        nodes: Callable[[], Iterable[ConnectionOwner]],
        come_back_ms: float,
        log: Callable[..., None],
        on_check: Callable[[float, float], None] = lambda late_ms, now: None,
    ) -> None:
        """Set up the watch, without starting it.

        Args:
            pace: Rates, windows and grace periods.
            memory: Reservations of memory.
            clients: Returns the clients that are connected now.
            nodes: Returns the connections to storage nodes that are open now.
            come_back_ms: Retry delay that a client is given when it is cut, ms.
            log: Writes a log event.
            on_check: Called at each check with its lateness, ms, and the time, ms. As checks always run, they
                serve to measure how late the event loop is.
        """
        self.pace, self.memory, self._clients, self._nodes = pace, memory, clients, nodes
        self.come_back_ms, self._log, self._on_check = come_back_ms, log, on_check
        self.recent_cuts = RecentCuts(pace.remember_ms)
        self._records: dict[ConnectionOwner, PeerRecord] = {}  # rebuilt each cycle from the open connections
        self._unchecked: list[ConnectionOwner] = []  # of this cycle
        self._batch_size, self._batch_count, self._scarcity = 1, MAX_BATCHES, 0.0
        self._last_check_ms = self._good_at_ms = self._cut_at_ms = self._stalled_at_ms = 0.0
        # Counted in this cycle: peers that data waits for, slow ones, and the one that occupies most memory.
        self._waited_for = self._slow = 0
        self._heaviest: PeerRecord | None = None
        # Decided from the last complete cycle: whether the network is slow, and the peer that occupies most.
        self._last_cycle: tuple[bool, PeerRecord | None] = (False, None)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the periodic checks."""
        loop = asyncio.get_running_loop()
        self._last_check_ms = loop.time() * 1000.0
        self._timer = loop.call_later(CYCLE_MS / MAX_BATCHES / 1000.0, self._check_batch)

    def close(self) -> None:
        """Stop the periodic checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_batch(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time() * 1000.0
        elapsed, self._last_check_ms = now - self._last_check_ms, now
        self._on_check(elapsed - CYCLE_MS / self._batch_count, now)
        if elapsed > STALL_MS:
            self._stalled_at_ms = now
        if not self._unchecked:
            self._begin_cycle(now)
        self._timer = loop.call_later(CYCLE_MS / self._batch_count / 1000.0, self._check_batch)
        batch, self._unchecked = (
            self._unchecked[: self._batch_size],
            self._unchecked[self._batch_size :],
        )
        pace, budget = self.pace, self.memory.budget
        self._scarcity = limit_scarcity_rise(
            self._scarcity, scarcity(budget.used_bytes, budget.capacity_bytes), elapsed, pace.long_ms
        )
        scarce = self._scarcity
        least = min_rate(pace.floor, pace.top, scarce)
        for owner in batch:
            record = self._records.get(owner)
            if record is not None and record.conn.open:
                self._check(record, scarce, least, now)

    def _begin_cycle(self, now: float) -> None:
        """Draw conclusions from the last cycle and list the connections that are open now."""
        network_slow = is_network_slow(
            self._slow, self._waited_for, now - self._good_at_ms, self.pace.long_ms
        )
        self._last_cycle, self._heaviest = (network_slow, self._heaviest), None
        self._waited_for = self._slow = 0
        old, self._records = self._records, {}
        grace_ms = self.pace.grace_ms
        for client in self._clients():
            record = old.get(client)
            if record is None:
                client_grace_ms = self.recent_cuts.grace(_host_and_name(client), now, grace_ms)
                record = PeerRecord(self.pace, client_grace_ms, client, client, now)
            self._records[client] = record
        for node in self._nodes():
            self._records[node] = old.get(node) or PeerRecord(self.pace, grace_ms, node, None, now)
        self._unchecked = [*self._records]
        # Each batch has a fixed cost: 80 batches per second would be most of the work of an idle dispatcher.
        self._batch_count = min(MAX_BATCHES, max(2, -(-len(self._unchecked) // MIN_BATCH_SIZE)))
        self._batch_size = -(-len(self._unchecked) // self._batch_count)

    def _check(self, record: PeerRecord, scarce: float, least: float, now: float) -> None:
        """Measure one connection, and carry out its step if that changes."""
        conn, client, pace = record.conn, record.client, self.pace
        if client is not None:
            client.idle()
        moved, record.moved_bytes = conn.moved - record.moved_bytes, conn.moved
        elapsed, checked, record.checked_ms = now - record.checked_ms, record.checked_ms, now
        # If this process was stalled since the last check, the interval says nothing about the peer.
        if checked < self._stalled_at_ms or elapsed <= 0.0:
            return
        weight = min(1.0, elapsed / pace.long_ms)
        if not conn.waits_for_peer:
            record.rate.reset_wait()
            record.occupied_bytes -= weight * record.occupied_bytes
            # Only a client that has taken everything counts as good: a slow network accepts data in bursts,
            # which look as fast while more data waits.
            if 1000.0 * moved / elapsed >= least * RECOVERY_FACTOR and client is not None:
                self._good_at_ms = now
            return
        record.rate.record(moved, elapsed)
        record.occupied_bytes += weight * (conn.waiting - record.occupied_bytes)
        record.min_rate = min_rate_for_occupancy(least, pace.top, scarce, record.occupied_bytes, pace.hold_ms)
        rate = record.rate.bytes_per_second()
        self._waited_for += 1
        self._slow += rate < record.min_rate
        if self._heaviest is None or record.occupied_bytes > self._heaviest.occupied_bytes:
            self._heaviest = record
        network_slow, heaviest = self._last_cycle
        previous = record.escalation.step
        is_spared = keeps_connection(
            network_slow, scarce, record is heaviest, now - self._cut_at_ms, pace.grace_ms
        )
        step = record.escalation.update(rate, record.min_rate, elapsed, is_spared)
        if step is not previous:
            self._take_step(record, step, now)

    def _take_step(self, record: PeerRecord, step: Step, now: float) -> None:
        client = record.client
        conn, rate, least = record.conn, record.rate.bytes_per_second(), record.min_rate
        self._log(
            "slow peer",
            peer=conn.peer,
            name=client.name if client is not None else "",
            step=step.name.lower(),
            bytes_per_s=round(rate),
            least=round(least),
            waiting=conn.waiting,
            used=self.memory.budget.used_bytes,
        )
        if client is not None:
            self.memory.set_step(client.account, step)
            client.read_on()
            if step < Step.NARROW:
                client.feed_hungry()
            if step is Step.CUT:
                self._cut_at_ms = now
                self.recent_cuts.cut(_host_and_name(client), now)
                conn.close(
                    f"too slow: {rate:.0f} bytes a second, {least:.0f} are the least",
                    self.come_back_ms,
                )
        elif step is Step.CUT:
            conn.abort(f"too slow: {rate:.0f} bytes a second, {least:.0f} are the least")


def _host_and_name(client: Client) -> tuple[str, str]:
    return client.conn.peer.rpartition(":")[0], client.name

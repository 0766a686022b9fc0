"""One dispatcher's part in the fleet: its UDP socket, its streams and its timer.

`membership/membership.py` makes the decisions; this module carries out their effects. A datagram that can't
be sent is dropped, since the network may lose any datagram anyway.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from zlib import crc32

from cherrygrade.fleet.membership.effects import Effects
from cherrygrade.fleet.membership.inbound_budget import InboundBudget
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.membership_state import MembershipSettings
from cherrygrade.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    AnyMessage,
    MessageCodec,
    Probe,
    message_tag,
)
from cherrygrade.fleet.membership.partition import PartitionState
from cherrygrade.fleet.membership.table import MemberInfo
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.fleet.runtime.agent_status import agent_counts, agent_status
from cherrygrade.fleet.runtime.datagram_receiver import DatagramReceiver
from cherrygrade.fleet.runtime.peer_stream import MAX_STREAMS, PeerStream
from cherrygrade.scheduling.model import Attempt, Outcome
from cherrygrade.settings import CouncilSettings, FleetSettings, StartReference
from cherrygrade.transport.connection import Connection
from cherrygrade.transport.listening import listen

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.admin_server import AdminServer
    from cherrygrade.fleet.runtime.config_exchange import ConfigExchange, PutInForce
    from cherrygrade.fleet.runtime.config_judge import Judge
    from cherrygrade.fleet.runtime.council_server import CouncilServer
    from cherrygrade.fleet.runtime.lease_tasks import LeaseTaskRunner

TIMER_GRAIN_MS = 5.0  # a timer may fire this late: a tick also does the work that is due within this time
MIN_TIMER_CHANGE_MS = 1.0  # the timer is set anew only for a deadline that is earlier by more than this
NEVER_MS = 1e14
NODE_HASH_MASK = 0xFFFF

# What the outcome of an attempt shows of its storage node; other outcomes show nothing.
CONTACT_BY_OUTCOME = {
    Outcome.OK: "answered",
    Outcome.REJECTED: "answered",
    Outcome.FAILED: "errored",
    Outcome.RESET: "errored",
    Outcome.CONNECT_FAILED: "silent",
    Outcome.TIMED_OUT: "silent",
}


class FleetAgent:
    """Takes part in the fleet for one dispatcher.

    A seat is a dispatcher's number in the fleet, from 0, by which quotas are divided.

    Attributes:
        fleet: The fleet's settings.
        name: This dispatcher's name.
        clock: Returns the time in ms.
        membership: Makes the membership's decisions.
        codec: Encodes and decodes the fleet's datagrams.
        inbound_budget: Received datagrams that wait to be decoded; datagrams beyond the budget are dropped.
        streams: Table exchanges and status queries in progress; each ends by itself or by its timeout.
        operator_connections: Connections of operators' commands in progress.
        node_addresses: Addresses of the storage nodes that attempts went to, by node hash; at most one for
            each of the 65536 hashes.
        config: The shared configuration; None where it is off.
        council_server: The council's part; None where the settings name no council.
        lease_tasks: The tasks under leases; None where the settings name no council.
        sent: Datagrams sent, in total.
        sent_bytes: Bytes of the datagrams sent.
        received: Datagrams received, in total.
        received_bytes: Bytes of the datagrams received.
        unsent: Datagrams that could not be sent, in total.
    """

    def __init__(
        self,
        fleet: FleetSettings,
        name: str,
        seat: int,
        fleet_size: int,
        seed: int,
        start: StartReference,
        clock: Callable[[], float],
        on_scheduler_message: Callable[[int, bytes], None],
        log: Callable[..., None],
        put_in_force: PutInForce | None = None,
        judge: Judge | None = None,
    ) -> None:
        """Take the settings and callbacks; `start` opens the sockets.

        Args:
            fleet: The fleet's settings.
            name: This dispatcher's name.
            seat: This dispatcher's seat.
            fleet_size: How many dispatchers the configured fleet has.
            seed: Seeds random choices.
            start: The time at which this dispatcher started, its version, and the digest of its settings.
            clock: Returns the time in ms.
            on_scheduler_message: Called with the seat of another dispatcher and a message of its scheduler.
            log: Writes a log line with an event and facts.
            put_in_force: Puts a configuration in force; None keeps the shared configuration off.
            judge: Judges the texts of proposed configurations; None refuses all.
        """
        self.fleet = fleet
        self.name = name
        self.clock = clock
        self.codec = MessageCodec(fleet.name)
        own = MemberInfo(fleet.place, fleet.zone, start.version, start.settings, seat)
        self.membership = Membership(
            MembershipSettings(
                name,
                start.birth,
                own,
                fleet_size,
                fleet.contacts,
                seed,
                fleet.period_ms,
                fleet.keep_ms,
            ),
            clock(),
        )
        self.inbound_budget: InboundBudget[tuple[bytes, tuple[str, int]]] = InboundBudget(clock())
        self.streams: dict[PeerStream, None] = {}
        self.operator_connections: dict[AdminServer, None] = {}
        self.node_addresses: dict[int, str] = {}
        self.config: ConfigExchange | None = None
        self.council_server: CouncilServer | None = None
        self.lease_tasks: LeaseTaskRunner | None = None
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.unsent = 0
        self._seed = seed
        self._on_scheduler_message = on_scheduler_message
        self._log = log
        self._put_in_force = put_in_force
        self._judge = judge
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = 0.0
        self._read_timer: asyncio.TimerHandle | None = None
        self._logged_state: tuple[object, ...] = ()

    async def start(self) -> None:
        """Put the stored configuration in force, open the sockets, and start the council's part.

        Raises:
            OSError: The fleet's address can't be bound.
        """
        host, _, port = (self.fleet.bind or self.fleet.place).rpartition(":")
        loop = asyncio.get_running_loop()
        if self.fleet.council is not None and self._put_in_force is not None:
            await self._start_config(self.fleet.council, host, self._put_in_force)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.datagram_received), local_addr=(host, int(port))
        )
        self._server = await listen(lambda: PeerStream(self).conn, f"{host}:{port}", MAX_STREAMS)
        self._timer_fired()
        if self.fleet.council is not None:
            await self._start_council(self.fleet.council, host)

    # The modules of the council and the configuration are imported only where the settings name a council, so
    # that a dispatcher without a council needs neither the time nor the memory for them.

    async def _start_config(self, council: CouncilSettings, host: str, put_in_force: PutInForce) -> None:
        from cherrygrade.fleet.runtime.config_exchange import ConfigExchange

        self.config = ConfigExchange(
            self.fleet.name,
            self.membership,
            council,
            self.fleet.config_file,
            host,
            self._seed,
            self.clock,
            put_in_force,
            self.apply_effects,
            self._log,
        )
        await self.config.start()

    async def _start_council(self, council: CouncilSettings, host: str) -> None:
        from cherrygrade.fleet.runtime.council_server import CouncilServer
        from cherrygrade.fleet.runtime.lease_tasks import LeaseTaskRunner

        self.council_server = CouncilServer(
            council,
            self.fleet.name,
            self.name,
            self.membership.incarnation,
            self._seed,
            host,
            self.clock,
            self._address_of,
            self._log,
            self._judge,
            lambda: self.config.log_advanced() if self.config is not None else None,
        )
        await self.council_server.start()
        if self.config is not None:
            self.config.council_ready(self.council_server)
        self.lease_tasks = LeaseTaskRunner(
            self.council_server, council, self._seed, self.clock, self._members_for_tasks, self._log
        )
        self.lease_tasks.start()

    def _address_of(self, name: str) -> str | None:
        member = self.membership.table.members.get(name)
        return member.info.address if member is not None and member.info is not None else None

    def _members_for_tasks(self) -> list[str]:
        """Return the names of living members; none while this dispatcher is cut off or overloaded."""
        if self.membership.partition_state is not PartitionState.MAJORITY:
            return []
        return [member.name for member in self.membership.table.living()]

    def accept_operator(self, conn: Connection) -> AdminServer | None:
        """Serve the connection of an operator's command.

        Returns:
            None where MAX_OPERATORS connections are open, or the settings name no council.
        """
        from cherrygrade.fleet.runtime.admin_server import MAX_OPERATORS, AdminServer

        if self.config is None or self.council_server is None:
            return None
        if len(self.operator_connections) >= MAX_OPERATORS:
            return None
        connection = AdminServer(
            self.config, self.council_server, conn, lambda: self.operator_connections.pop(connection, None)
        )
        self.operator_connections[connection] = None
        return connection

    def send_scheduler_message(self, peer: int | None, payload: bytes) -> None:
        """Send a message of this dispatcher's scheduler to the seat `peer`, or (None) to all dispatchers."""
        self.apply_effects(self.membership.send_payload(peer, payload))

    def attempt_finished(self, attempt: Attempt) -> None:
        """Record from an attempt's outcome whether its storage node can be reached."""
        contact = CONTACT_BY_OUTCOME.get(attempt.outcome) if attempt.outcome is not None else None
        if contact is not None:
            node_hash = crc32(attempt.node.address.encode()) & NODE_HASH_MASK
            self.node_addresses[node_hash] = attempt.node.address
            self.membership.attempt_ended(node_hash, contact, self.clock())

    def leave(self) -> None:
        """Release all leases and notify members that this dispatcher leaves; `close` is to be called next."""
        if self.lease_tasks is not None:
            self.lease_tasks.leave()
        if self.config is not None:
            self.config.leave()
        self.apply_effects(self.membership.leave(self.clock()))

    def close(self) -> None:
        """Cancel timers and close all sockets."""
        for timer in (self._timer, self._read_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for stream in [*self.streams]:
            stream.conn.close("dispatcher leaves")
        if self.lease_tasks is not None:
            self.lease_tasks.close()
        if self.config is not None:
            self.config.close()
        for connection in [*self.operator_connections]:
            connection.conn.close("dispatcher leaves")
        if self.council_server is not None:
            self.council_server.close()

    def status(self) -> dict[str, Any]:
        """Return the status that `cherrygrade fleet status` shows, as JSON values."""
        return agent_status(self)

    def counts(self) -> dict[str, int]:
        """Return the counters for the status and the log."""
        return agent_counts(self)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Queue a datagram; it is decoded within the inbound budget."""
        self.received += 1
        self.received_bytes += len(data)
        self.inbound_budget.arrived(message_tag(data), len(data), (data, source), self.clock())
        if self._read_timer is None:
            self._read_next()

    def _has_unread_datagrams(self) -> bool:
        """Return whether datagrams wait to be decoded, in the inbound budget or in the kernel.

        The event loop reads one datagram per iteration, and timers run between. Without this check, a member
        whose ack is waiting would be accused after this process was not scheduled for a while.
        """
        if self.inbound_budget.waiting:
            return True
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _read_next(self) -> None:
        """Decode and handle one datagram; one per event-loop iteration, so that requests go between."""
        self._read_timer = None
        now = self.clock()
        waiting = self.inbound_budget.next(now)
        if waiting is not None:
            data, source = waiting
            message = self.codec.read(data)
            if message is not None:
                effects = self.membership.receive(message, f"{source[0]}:{source[1]}", now)
                self.apply_effects(effects, source, len(data))
        ready_ms = self.inbound_budget.next_ready_ms(now)
        if ready_ms is not None and self._read_timer is None:
            self._read_timer = asyncio.get_running_loop().call_at(ready_ms / 1000.0, self._read_next)

    def _timer_fired(self) -> None:
        self._timer = None
        self.membership.over_budget = self.inbound_budget.over_budget
        self.membership.has_unread = self._has_unread_datagrams()
        self.apply_effects(self.membership.tick(self.clock() + TIMER_GRAIN_MS))

    def apply_effects(
        self,
        effects: Effects,
        source: tuple[str, int] | None = None,
        max_answer_bytes: int = MAX_DATAGRAM_BYTES,
    ) -> None:
        """Carry out effects of the membership, and set the timer anew.

        Args:
            effects: The effects.
            source: The sender of the datagram that the effects answer; replies are sent to it.
            max_answer_bytes: The longest reply. Replies are no longer than the datagram that they answer, so
                that a forged sender address can't be used to flood others.
        """
        for address, message in effects.messages:
            self._send(message, parse_address(address), MAX_DATAGRAM_BYTES)
        for message in effects.replies:
            self._send(message, source, max_answer_bytes)
        for name, address in effects.table_exchanges:
            self._start_exchange(name, address)
        for seat, payload in effects.scheduler_messages:
            self._on_scheduler_message(seat, payload)
        if effects.config_reports and self.config is not None:
            self.config.reports_received(effects.config_reports)
        self._log_state()
        self._set_timer()

    def _set_timer(self) -> None:
        tick_ms = self.membership.next_tick_ms()
        if tick_ms < NEVER_MS and (self._timer is None or tick_ms < self._timer_at_ms - MIN_TIMER_CHANGE_MS):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at_ms = tick_ms
            at_s = max(tick_ms, self.clock()) / 1000.0
            self._timer = asyncio.get_running_loop().call_at(at_s, self._timer_fired)

    def _send(self, message: AnyMessage, to: tuple[str, int] | None, max_bytes: int) -> None:
        if to is None or self._transport is None or self._transport.is_closing():
            self.unsent += 1
            return
        data = self.codec.write(message, max_bytes if not isinstance(message, Probe) else MAX_DATAGRAM_BYTES)
        if len(data) > max_bytes:
            self.unsent += 1
            return
        self._transport.sendto(data, to)
        self.inbound_budget.sent(message_tag(data), len(data), self.clock())
        self.sent += 1
        self.sent_bytes += len(data)

    def _start_exchange(self, name: str, address: str) -> None:
        to = parse_address(address)
        if to is not None and len(self.streams) < MAX_STREAMS:
            stream = PeerStream(self, name)
            stream.task = asyncio.get_running_loop().create_task(stream.connect(to))

    def _log_state(self) -> None:
        """Log a line when this dispatcher's partition state, or the owner of its seat, has changed."""
        membership = self.membership
        state = (membership.partition_state, membership.superseded_by, membership.seat_yielded_to)
        if state == self._logged_state:
            return
        self._logged_state = state
        facts: dict[str, Any] = {"living": len(membership.table.living()), "record": membership.fleet_size}
        if membership.superseded_by or membership.seat_yielded_to:
            facts["seat_is_of"] = membership.superseded_by or membership.seat_yielded_to
        self._log("fleet side", side=membership.partition_state.value, **facts)

"""One dispatcher's part in the fleet: its UDP socket, its streams and its timer.

The decisions are `membership/membership.py`'s; here its effects are carried out. A datagram that can't be
sent is lost, as the network may lose any.
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

TIMER_GRAIN_MS = 5.0  # the timer may be so late; what is due within it is done with it
MIN_TIMER_CHANGE_MS = 1.0
NEVER_MS = 1e14
NODE_MARK_BITS = 0xFFFF

# What an attempt's outcome says of its node; outcomes that say nothing of it are not here.
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

    Attributes:
        fleet: The fleet's settings.
        name: This dispatcher's name.
        clock: The time in ms.
        membership: The membership's decisions.
        codec: Reads and writes the fleet's datagrams.
        inbound_budget: Received datagrams that wait to be read; those beyond the budget are dropped.
        streams: Exchanges and status queries that have not ended; each ends by itself or by its timeout.
        operator_connections: Of operators' commands that have not ended.
        node_addresses: Of the nodes that attempts went to, by mark; bounded by the number of marks.
        config: The shared configuration; None where it is off.
        council_server: None where the settings name no council.
        lease_tasks: None where the settings name no council.
        sent: Datagrams sent, in all.
        sent_bytes: Bytes of them.
        received: Datagrams received, in all.
        received_bytes: Bytes of them.
        unsent: Datagrams that could not be sent, in all.
    """

    def __init__(
        self,
        fleet: FleetSettings,
        name: str,
        seat: int,
        record: int,
        seed: int,
        start: StartReference,
        clock: Callable[[], float],
        on_scheduler_message: Callable[[int, bytes], None],
        log: Callable[..., None],
        in_force: PutInForce | None = None,
        judge: Judge | None = None,
    ) -> None:
        """Take the settings and callbacks; `start` opens the sockets.

        Args:
            fleet: The fleet's settings.
            name: This dispatcher's name.
            seat: This dispatcher's seat.
            record: How many dispatchers the fleet of record has.
            seed: Of random choices.
            start: When this dispatcher started, with its version and settings.
            clock: Returns the time in ms.
            on_scheduler_message: Called with another scheduler's message and its seat.
            log: Writes a line with an event and facts.
            in_force: Puts a configuration in force; None keeps the shared configuration off.
            judge: Reads the texts of proposed configurations; None refuses all.
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
                record,
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
        self._in_force = in_force
        self._judge = judge
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = 0.0
        self._read_timer: asyncio.TimerHandle | None = None
        self._logged_state: tuple[object, ...] = ()

    async def start(self) -> None:
        """Put the kept configuration in force, open the sockets, and start the council's part.

        Raises:
            OSError: The fleet's address can't be bound.
        """
        host, _, port = (self.fleet.bind or self.fleet.place).rpartition(":")
        loop = asyncio.get_running_loop()
        if self.fleet.council is not None and self._in_force is not None:
            await self._start_config(self.fleet.council, host, self._in_force)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.datagram_received), local_addr=(host, int(port))
        )
        self._server = await listen(lambda: PeerStream(self).conn, f"{host}:{port}", MAX_STREAMS)
        self._timer_due()
        if self.fleet.council is not None:
            await self._start_council(self.fleet.council, host)

    # The modules of the council and the configuration are imported only where the settings name a council:
    # a dispatcher without one does not pay for them.

    async def _start_config(self, council: CouncilSettings, host: str, in_force: PutInForce) -> None:
        from cherrygrade.fleet.runtime.config_exchange import ConfigExchange

        self.config = ConfigExchange(
            self.fleet.name,
            self.membership,
            council,
            self.fleet.config_file,
            host,
            self._seed,
            self.clock,
            in_force,
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
        """Return living members by name; nobody while this dispatcher is cut off or overloaded."""
        if self.membership.partition_state is not PartitionState.MAJORITY:
            return []
        return [member.name for member in self.membership.table.living()]

    def accept_operator(self, conn: Connection) -> AdminServer | None:
        """Take the connection of an operator's command; None where there are too many, or no council."""
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

    # For the dispatcher.

    def send_scheduler_message(self, peer: int | None, payload: bytes) -> None:
        """Send a scheduler's message to the dispatcher at a seat, or to all (None)."""
        self.apply_effects(self.membership.send_payload(peer, payload))

    def attempt_finished(self, attempt: Attempt) -> None:
        """Learn from an attempt's outcome whether its node can be reached."""
        contact = CONTACT_BY_OUTCOME.get(attempt.outcome) if attempt.outcome is not None else None
        if contact is not None:
            mark = crc32(attempt.node.address.encode()) & NODE_MARK_BITS
            self.node_addresses[mark] = attempt.node.address
            self.membership.attempt_ended(mark, contact, self.clock())

    def leave(self) -> None:
        """Give leases back and tell members that this dispatcher leaves; `close` follows."""
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
        """Return what `cherrygrade fleet status` shows."""
        return agent_status(self)

    def counts(self) -> dict[str, int]:
        """Return the counters of this dispatcher's part, for status and the log."""
        return agent_counts(self)

    # Events.

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Take a datagram; it is read in its turn."""
        self.received += 1
        self.received_bytes += len(data)
        self.inbound_budget.arrived(message_tag(data), len(data), (data, source), self.clock())
        if self._read_timer is None:
            self._read_next()

    def _has_unread_datagrams(self) -> bool:
        """Return whether datagrams wait, here or in the kernel.

        The event loop reads one datagram a turn, and timers run between: without this, a member whose answer
        waits would be accused after this process did not run for a while.
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
        """Read one datagram; one a turn of the event loop, so that RPCs go between them."""
        self._read_timer = None
        now = self.clock()
        waiting = self.inbound_budget.next(now)
        if waiting is not None:
            data, source = waiting
            message = self.codec.read(data)
            if message is not None:
                effects = self.membership.receive(message, f"{source[0]}:{source[1]}", now)
                self.apply_effects(effects, source, len(data))
        due = self.inbound_budget.next_ready_ms(now)
        if due is not None and self._read_timer is None:
            self._read_timer = asyncio.get_running_loop().call_at(due / 1000.0, self._read_next)

    def _timer_due(self) -> None:
        self._timer = None
        self.membership.over_budget = self.inbound_budget.over_budget
        self.membership.has_unread = self._has_unread_datagrams()
        self.apply_effects(self.membership.tick(self.clock() + TIMER_GRAIN_MS))

    # Effects.

    def apply_effects(
        self,
        effects: Effects,
        source: tuple[str, int] | None = None,
        max_answer_bytes: int = MAX_DATAGRAM_BYTES,
    ) -> None:
        """Carry out effects of the membership, and set the timer anew.

        Args:
            effects: What to carry out.
            source: Where the datagram came from that the effects' answers go back to.
            max_answer_bytes: An answer is no longer than the datagram: nobody can use it to flood others.
        """
        for place, message in effects.messages:
            self._send(message, parse_address(place), MAX_DATAGRAM_BYTES)
        for message in effects.replies:
            self._send(message, source, max_answer_bytes)
        for name, place in effects.table_exchanges:
            self._start_exchange(name, place)
        for seat, payload in effects.scheduler_messages:
            self._on_scheduler_message(seat, payload)
        if effects.config_reports and self.config is not None:
            self.config.reports_received(effects.config_reports)
        self._log_state()
        self._set_timer()

    def _set_timer(self) -> None:
        due = self.membership.next_tick_ms()
        if due < NEVER_MS and (self._timer is None or due < self._timer_at_ms - MIN_TIMER_CHANGE_MS):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at_ms = due
            at_s = max(due, self.clock()) / 1000.0
            self._timer = asyncio.get_running_loop().call_at(at_s, self._timer_due)

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

    def _start_exchange(self, name: str, place: str) -> None:
        to = parse_address(place)
        if to is not None and len(self.streams) < MAX_STREAMS:
            stream = PeerStream(self, name)
            stream.task = asyncio.get_running_loop().create_task(stream.connect(to))

    def _log_state(self) -> None:
        """Log a line where this dispatcher's side of a partition, or the owner of its seat, changed."""
        membership = self.membership
        state = (membership.partition_state, membership.superseded_by, membership.seat_yielded_to)
        if state == self._logged_state:
            return
        self._logged_state = state
        facts: dict[str, Any] = {"living": len(membership.table.living()), "record": membership.fleet_size}
        if membership.superseded_by or membership.seat_yielded_to:
            facts["seat_is_of"] = membership.superseded_by or membership.seat_yielded_to
        self._log("fleet side", side=membership.partition_state.value, **facts)

"""One dispatcher's membership of the fleet: takes received messages and the time, and returns actions.

The module does no I/O, reads no clock and has no random source. Simulations run thousands of instances in one
process; a dispatcher runs one (`fleet/runtime/fleet_agent.py`). Times are in ms of one clock; incarnations
are in Unix ms.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrygrade.fleet.membership import seat_claims
from cherrygrade.fleet.membership.effects import Effects
from cherrygrade.fleet.membership.failure_detector import (
    NEVER_MS,
    ProbeEffects,
)
from cherrygrade.fleet.membership.gossip import FANOUT
from cherrygrade.fleet.membership.membership_state import MembershipSettings, MembershipState
from cherrygrade.fleet.membership.message_handler import MessageHandler
from cherrygrade.fleet.membership.messages import (
    AnyMessage,
    ConfigQuery,
    GossipPush,
    IndirectProbeRequest,
    Probe,
    ProbeAck,
    SchedulerMessage,
)
from cherrygrade.fleet.membership.partition import (
    ISOLATED_AFTER_MS,
    PartitionState,
    partition_state,
)
from cherrygrade.fleet.membership.record_merger import RecordMerger
from cherrygrade.fleet.membership.table import (
    Member,
    MemberRecord,
    MemberState,
)

FORGET_INTERVAL_MS = 1000.0
"""Time between two removals of entries that are too old."""

LEAVE_FANOUT = 3 * FANOUT
"""Members to which a graceful leave is announced directly."""


class Membership(MembershipState):
    """One dispatcher's membership of the fleet; see `MembershipState` for its attributes."""

    def __init__(self, settings: MembershipSettings, now: float) -> None:
        super().__init__(settings, now)
        self.record_merger = RecordMerger(self)
        self._handler = MessageHandler(self)
        self._table_version = -1  # version of the table from which seats were last derived
        self._next_forget_ms = now + FORGET_INTERVAL_MS

    def next_tick_ms(self) -> float:
        """Return the time at which `tick` has to be called next, ms."""
        if self.silent:
            return NEVER_MS
        return min(
            self.failure_detector.next_tick_ms(),
            self.gossip.next_push_ms,
            self.contacts.next_probe_ms,
            self._next_forget_ms,
            self.relayed_probes.next_timeout_ms(),
        )

    def all_records(self) -> list[MemberRecord]:
        """Return the records of all members, for an exchange of tables."""
        return [member.record() for member in self.table]

    def receive(self, message: AnyMessage, address: str, now: float) -> Effects:
        """Process a message that was received as a datagram.

        Args:
            message: The message.
            address: host:port from which the datagram was sent.
            now: The current time, ms.
        """
        effects = Effects()
        if self.silent or message.name == self.name:
            self.ignored_messages += 1
            return effects
        sender = self.table.members.get(message.name)
        if sender is not None and sender.incarnation == message.incarnation:
            self.failure_detector.message_received(sender, now)
        else:
            self.failure_detector.last_received_ms = now
        if isinstance(message, Probe | ProbeAck | IndirectProbeRequest | GossipPush):
            self.record_merger.merge(message.records, message.name, now)
        self._handler.handle(message, address, now, effects)
        self._update_derived_state(now)
        return effects

    def merge_table(self, records: list[MemberRecord], sender: str, now: float) -> None:
        """Merge the full table of another member, which was received over a stream.

        Args:
            records: All records of the member's table.
            sender: Name of the member.
            now: The current time, ms.
        """
        just_joined = len(self.table.others()) <= 1
        changed = self.record_merger.merge(records, sender, now)
        if just_joined:
            # This dispatcher has just joined. All records that are new to it are known to the other members,
            # so they need not be gossiped.
            for name in changed:
                self.gossip.drop(name)
        self._update_derived_state(now)

    def attempt_ended(self, node_hash: int, outcome: str, now: float) -> None:
        """Count an attempt of the scheduler at a node that has ended.

        Args:
            node_hash: Hash of the node's address, 16 bits.
            outcome: 'answered', 'errored' or 'silent'.
            now: The current time, ms.
        """
        self.reachability.attempt_ended(node_hash, outcome, now)

    def send_payload(self, seat: int | None, payload: bytes) -> Effects:
        """Send a message of the scheduler to the member that has a seat, or to all members.

        Args:
            seat: Seat of the receiver; None for all members.
            payload: The scheduler's message.
        """
        effects = Effects()
        own = self.table.own
        if self.silent or own.seat < 0:
            return effects
        message = SchedulerMessage(self.name, self.incarnation, own.seat, payload)
        if seat is None:
            for member in self.table.others():
                effects.send_to(member, message)
            return effects
        receiver = seat_claims.holder(self.table, seat)
        if receiver is not None and receiver.name != self.name:
            effects.send_to(receiver, message)
        return effects

    def query_config(self, name: str, nonce: int) -> Effects:
        """Query the configuration of a member; do nothing where the member's address is not known.

        Args:
            name: Name of the member.
            nonce: Number that the reply repeats.
        """
        effects = Effects()
        member = self.table.members.get(name)
        if member is not None and not self.silent:
            effects.send_to(member, ConfigQuery(self.name, self.incarnation, nonce))
        return effects

    def advertise_config(self, names: Iterable[str]) -> Effects:
        """Send the advert of this dispatcher's configuration to the named members."""
        effects = Effects()
        for name in names:
            member = self.table.members.get(name)
            if member is not None and not self.silent:
                message = GossipPush(self.name, self.incarnation, [], self.config.advert_without_bitmap())
                effects.send_to(member, message)
        return effects

    def leave(self, now: float) -> Effects:
        """Leave the fleet gracefully.

        The leave is announced to `LEAVE_FANOUT` members; the other members learn of it by gossip and probes.
        """
        effects = Effects()
        own = self.table.own
        if self.silent:
            return effects
        record = MemberRecord(self.name, self.incarnation, own.refutations + 1, MemberState.LEFT, own.info)
        message = GossipPush(self.name, self.incarnation, [record])
        for member in self._sample_of_others(LEAVE_FANOUT):
            effects.send_to(member, message)
        self.has_left = True
        return effects

    def tick(self, now: float) -> Effects:
        """Carry out all actions whose time has come."""
        effects = Effects()
        if self.silent:
            return effects
        self.failure_detector.over_budget = self.over_budget
        self.failure_detector.has_unread = self.has_unread
        probe_effects = self.failure_detector.tick(now)
        for name in probe_effects.changed:
            self.gossip.add(name, now)
        self._send_probes(probe_effects, effects, now)
        for probe in self.relayed_probes.take_timed_out(now):
            effects.send(probe.requester, self.relayed_result(probe, timed_out=True))
        self._push_gossip(effects, now)
        if now >= self.contacts.next_probe_ms:
            self._probe_contacts(effects, now)
        if now >= self._next_forget_ms:
            self._forget(now)
        self._update_derived_state(now)
        return effects

    def _sample_of_others(self, max_count: int) -> list[Member]:
        names = [member.name for member in self.table.others()]
        return [self.table.members[name] for name in self.failure_detector.sample(names, max_count)]

    def _send_probes(self, probe_effects: ProbeEffects, effects: Effects, now: float) -> None:
        contacts = self.reachability.own_report(now) if probe_effects.probes else []
        single = len(probe_effects.probes) == 1
        advert = self.config.advert_with_bitmap()
        for member, number in probe_effects.probes:
            if member.info is not None:
                # Several probes at once go to members that have probably died, which do not read gossip.
                records = self.records_for(member.name) if single else []
                probe = Probe(
                    self.name,
                    self.incarnation,
                    number,
                    self.table.digest,
                    records,
                    contacts,
                    config=advert,
                )
                effects.send_to(member, probe)
        for helper, target, number in probe_effects.indirect:
            if target.info is not None:
                record = target.record(with_info=False)
                request = IndirectProbeRequest(
                    self.name, self.incarnation, number, record, target.info.address
                )
                effects.send_to(helper, request)

    def _push_gossip(self, effects: Effects, now: float) -> None:
        records = self.gossip.push(self.table, now)
        if not records:
            return
        for member in self._sample_of_others(1 if self.over_budget else FANOUT):
            message = GossipPush(self.name, self.incarnation, records, self.config.advert_without_bitmap())
            effects.send_to(member, message)

    def _probe_contacts(self, effects: Effects, now: float) -> None:
        for address in self.contacts.take_due(self.table.others(), now):
            own = [self.table.own.record()]
            probe = Probe(self.name, self.incarnation, self.next_probe_number(), self.table.digest, own)
            effects.send(address, probe)

    def _forget(self, now: float) -> None:
        """Drop entries that are too old."""
        self._next_forget_ms = now + FORGET_INTERVAL_MS
        self.table.forget(now)
        self.reachability.forget(self.table.is_living, now)
        self.scheduler_filter.forget(self.table.is_living)
        self.relayed_probes.forget(now)

    def _update_derived_state(self, now: float) -> None:
        """Derive the partition state, the own seat and the load aggregators from the table."""
        others = self.table.others()
        silence_ms = now - self.failure_detector.last_received_ms if others else ISOLATED_AFTER_MS
        self.partition_state = partition_state(
            self.fleet_size, len(others) + 1, silence_ms, self.failure_detector.self_doubt
        )
        self.failure_detector.may_accuse = self.partition_state is not PartitionState.OVERLOADED
        if self._table_version == self.table.version or self.silent:
            return
        self._table_version = self.table.version
        if not self.seat_yielded_to:
            self._yield_contested_seat(now)
        seats = (member.seat for member in self.table if member.living and member.seat >= 0)
        self.aggregators.update_seats(seats, now)

    def _yield_contested_seat(self, now: float) -> None:
        """Yield the seat where a member with a later incarnation claims it."""
        self.seat_yielded_to = seat_claims.yields_to(self.table)
        if self.seat_yielded_to:
            self.table.refute(self.table.own.refutations, now, seat=-1)
            self.gossip.add(self.name, now)

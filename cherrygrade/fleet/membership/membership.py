"""The fleet as one dispatcher takes part in it: messages and time in, effects out.

Free of I/O, clock and chance: thousands of instances run in one process in the simulations, and one alone in
a dispatcher (`fleet/runtime/fleet_agent.py`). Times are ms of any one clock; incarnations are Unix ms.
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
"""Between two rounds of dropping what is too old."""

LEAVE_FANOUT = 3 * FANOUT
"""Members that are told of a graceful leave."""


class Membership(MembershipState):
    """One dispatcher's membership of the fleet; see `MembershipState` for its attributes."""

    def __init__(self, settings: MembershipSettings, now: float) -> None:
        super().__init__(settings, now)
        self.record_merger = RecordMerger(self)
        self._handler = MessageHandler(self)
        self._table_version = -1  # of the table when seats were last derived from it
        self._forget_at = now + FORGET_INTERVAL_MS

    # What others ask of it.

    def next_tick_ms(self) -> float:
        """When the next beat is due, ms."""
        if self.silent:
            return NEVER_MS
        return min(
            self.failure_detector.next_tick_ms(),
            self.gossip.push_at,
            self.contacts.next_at,
            self._forget_at,
            self.relayed_probes.next_timeout_ms(),
        )

    def all_records(self) -> list[MemberRecord]:
        """The whole table, for an exchange."""
        return [member.record() for member in self.table]

    # What comes in.

    def receive(self, message: AnyMessage, address: str, now: float) -> Effects:
        """A datagram came from the address."""
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

    def merge_table(self, records: list[MemberRecord], by: str, now: float) -> None:
        """The whole table of a member came over a stream."""
        newcomer = len(self.table.others()) <= 1
        changed = self.record_merger.merge(records, by, now)
        if newcomer:
            # What is new to a newcomer all others know: it need not be gossiped.
            for name in changed:
                self.gossip.drop(name)
        self._update_derived_state(now)

    def attempt_ended(self, node: int, outcome: str, now: float) -> None:
        """An attempt of the scheduler at a node ended: 'answered', 'errored' or 'silent'."""
        self.reachability.attempt_ended(node, outcome, now)

    def send_payload(self, seat: int | None, payload: bytes) -> Effects:
        """Send a message of the scheduler to the holder of a seat; to all members where `seat` is None."""
        effects = Effects()
        own = self.table.own
        if self.silent or own.seat < 0:
            return effects
        message = SchedulerMessage(self.name, self.incarnation, own.seat, payload)
        if seat is None:
            for member in self.table.others():
                effects.send_to(member, message)
            return effects
        found = seat_claims.holder(self.table, seat)
        if found is not None and found.name != self.name:
            effects.send_to(found, message)
        return effects

    def query_config(self, name: str, nonce: int) -> Effects:
        """Ask a member which configuration it holds; nothing where its address is not known."""
        effects = Effects()
        member = self.table.members.get(name)
        if member is not None and not self.silent:
            effects.send_to(member, ConfigQuery(self.name, self.incarnation, nonce))
        return effects

    def advertise_config(self, names: Iterable[str]) -> Effects:
        """Tell these members which configuration this dispatcher holds."""
        effects = Effects()
        for name in names:
            member = self.table.members.get(name)
            if member is not None and not self.silent:
                message = GossipPush(self.name, self.incarnation, [], self.config.short_advert())
                effects.send_to(member, message)
        return effects

    def leave(self, now: float) -> Effects:
        """Leave the fleet gracefully: some are told, and gossip and probes tell the rest."""
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
        """Do all that is due."""
        effects = Effects()
        if self.silent:
            return effects
        self.failure_detector.over_budget = self.over_budget
        self.failure_detector.has_unread = self.has_unread
        probe_effects = self.failure_detector.tick(now)
        for name in probe_effects.changed:
            self.gossip.add(name, now)
        self._send_probes(probe_effects, effects, now)
        for probe in self.relayed_probes.deny_overdue(now):
            effects.send(probe.requester, self.relayed_result(probe, denied=True))
        self._push_gossip(effects, now)
        if now >= self.contacts.next_at:
            self._probe_contacts(effects, now)
        if now >= self._forget_at:
            self._forget(now)
        self._update_derived_state(now)
        return effects

    # Sending.

    def _sample_of_others(self, max_count: int) -> list[Member]:
        names = [member.name for member in self.table.others()]
        return [self.table.members[name] for name in self.failure_detector.sample(names, max_count)]

    def _send_probes(self, probe_effects: ProbeEffects, effects: Effects, now: float) -> None:
        contacts = self.reachability.digest(now) if probe_effects.probes else []
        single = len(probe_effects.probes) == 1
        advert = self.config.full_advert()
        for member, number in probe_effects.probes:
            if member.info is not None:
                # Of many that may have died few would read gossip.
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
            message = GossipPush(self.name, self.incarnation, records, self.config.short_advert())
            effects.send_to(member, message)

    def _probe_contacts(self, effects: Effects, now: float) -> None:
        for address in self.contacts.take_due(self.table.others(), now):
            own = [self.table.own.record()]
            probe = Probe(self.name, self.incarnation, self.next_probe_number(), self.table.digest, own)
            effects.send(address, probe)

    # Upkeep.

    def _forget(self, now: float) -> None:
        self._forget_at = now + FORGET_INTERVAL_MS
        self.table.forget(now)
        self.reachability.forget(self.table.is_living, now)
        self.scheduler_filter.forget(self.table.is_living)
        self.relayed_probes.forget(now)

    def _update_derived_state(self, now: float) -> None:
        """Derive the side of a partition, the seat and the aggregators from the table."""
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
        """Give up the seat where a later incarnation claims it."""
        self.seat_yielded_to = seat_claims.yields_to(self.table)
        if self.seat_yielded_to:
            self.table.refute(self.table.own.refutations, now, seat=-1)
            self.gossip.add(self.name, now)

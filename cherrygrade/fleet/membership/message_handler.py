"""Handles received messages by their type.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.effects import Effects, ReceivedPayload, TableExchange
from cherrygrade.fleet.membership.failure_detector import (
    DIRECT_TIMEOUT_MS,
)
from cherrygrade.fleet.membership.membership_state import MembershipState
from cherrygrade.fleet.membership.messages import (
    AnyMessage,
    ConfigQuery,
    ConfigReply,
    GossipPush,
    IndirectProbeRequest,
    IndirectProbeResult,
    Probe,
    ProbeAck,
    SchedulerMessage,
)
from cherrygrade.fleet.membership.relayed_probes import RelayedProbe
from cherrygrade.fleet.membership.table import (
    MemberState,
)


class MessageHandler:
    """Handles the messages of other members; it changes only the state that it is given."""

    def __init__(self, state: MembershipState) -> None:
        self._state = state

    def handle(self, message: AnyMessage, address: str, now: float, effects: Effects) -> None:
        """Handle a message whose records have been merged.

        Args:
            message: The received message; its sender is another member.
            address: host:port from which the message was sent.
            now: The current time, ms.
            effects: Receives the requested actions.
        """
        if isinstance(message, Probe):
            self._handle_probe(message, address, now, effects)
        elif isinstance(message, ProbeAck):
            self._handle_ack(message, address, now, effects)
        elif isinstance(message, IndirectProbeRequest):
            self._handle_indirect_request(message, address, now, effects)
        elif isinstance(message, IndirectProbeResult):
            if not message.timed_out:
                self._handle_indirect_ack(message, now)
        elif isinstance(message, GossipPush):
            self._report_config(message, False, effects)
        elif isinstance(message, ConfigQuery):
            self._handle_config_query(message, effects)
        elif isinstance(message, ConfigReply):
            self._report_config(message, True, effects)
        elif isinstance(message, SchedulerMessage):
            self._handle_scheduler_message(message, now, effects)

    def _handle_probe(self, message: Probe, address: str, now: float, effects: Effects) -> None:
        records = self._state.records_for(message.name, message.incarnation)
        advert = self._state.config.advert_without_bitmap()
        ack = ProbeAck(
            self._state.name,
            self._state.incarnation,
            message.number,
            self._state.table.digest,
            records,
            [],
            advert,
        )
        effects.replies.append(ack)
        self._report_config(message, False, effects)
        self._compare_tables(message, address, now, effects)
        self._merge_node_contacts(message, now)

    def _handle_ack(self, message: ProbeAck, address: str, now: float, effects: Effects) -> None:
        relayed = self._state.relayed_probes.take_acked(message.number, message.name)
        if relayed is not None:
            effects.send(relayed.requester, self._state.relayed_result(relayed, timed_out=False))
        else:
            direct = self._state.failure_detector.ack_received(message.name, message.number, now)
            self._report_config(message, direct, effects)
        self._compare_tables(message, address, now, effects)
        self._merge_node_contacts(message, now)

    def _handle_indirect_request(
        self, message: IndirectProbeRequest, address: str, now: float, effects: Effects
    ) -> None:
        """Probe a member on behalf of another.

        If the request's record of the target is an accusation, it is sent to the target, so that the target
        can refute it. That record is not merged here; only the request's `records` are.
        """
        target = message.target
        if self._state.relayed_probes.full or target.name == self._state.name:
            return
        number = self._state.next_probe_number()
        self._state.relayed_probes.add(number, RelayedProbe(message.number, target.name, now, address))
        known = self._state.table.members.get(target.name)
        target_address = message.address
        if known is not None and known.info is not None:
            target_address = known.info.address
        accusation = [target] if target.state > MemberState.ALIVE else []
        probe = Probe(self._state.name, self._state.incarnation, number, self._state.table.digest, accusation)
        effects.send(target_address, probe)

    def _handle_indirect_ack(self, message: IndirectProbeResult, now: float) -> None:
        """Process the ack of a member that this dispatcher probes, received by a helper."""
        member = self._state.table.members.get(message.target)
        if member is not None:
            member.last_received_ms = max(member.last_received_ms, now - DIRECT_TIMEOUT_MS)
        self._state.failure_detector.ack_received(message.target, message.number, now, direct=False)

    def _handle_config_query(self, message: ConfigQuery, effects: Effects) -> None:
        advert = self._state.config.advert
        if advert is None:
            return
        seat = self._state.table.own.seat
        reply = ConfigReply(
            self._state.name, self._state.incarnation, message.nonce, seat, advert, self._state.config.refusal
        )
        effects.replies.append(reply)

    def _handle_scheduler_message(self, message: SchedulerMessage, now: float, effects: Effects) -> None:
        sender = self._state.table.members.get(message.name)
        if self._state.scheduler_filter.accepts(message, sender, self._state.table, now):
            effects.scheduler_messages.append(ReceivedPayload(message.seat, message.payload))
        else:
            self._state.ignored_messages += 1

    def _report_config(
        self, message: Probe | ProbeAck | GossipPush | ConfigReply, direct: bool, effects: Effects
    ) -> None:
        report = self._state.config.report(message, self._state.table.members.get(message.name), direct)
        if report is not None:
            effects.config_reports.append(report)

    def _compare_tables(self, message: Probe | ProbeAck, address: str, now: float, effects: Effects) -> None:
        """Begin an exchange of tables with the sender where the digests require it."""
        name = message.name
        member = self._state.table.members.get(name)
        if member is None or member.incarnation < message.incarnation or not member.living:
            if self._state.exchange_trigger.unknown_digest(name, isinstance(message, ProbeAck), now):
                effects.table_exchanges.append(TableExchange(name, address))
            return
        equal = message.digest == self._state.table.digest
        if self._state.exchange_trigger.known_digest(name, equal, now) and member.info is not None:
            effects.table_exchanges.append(TableExchange(name, member.info.address))

    def _merge_node_contacts(self, message: Probe | ProbeAck, now: float) -> None:
        member = self._state.table.members.get(message.name)
        if message.node_contacts and member is not None and member.info is not None:
            self._state.reachability.report_received(
                message.name, member.info.zone, message.node_contacts, now
            )

"""Merges the records that other members send, including those about this dispatcher itself.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.membership_state import MembershipState
from cherrygrade.fleet.membership.table import (
    MemberRecord,
    MemberState,
    is_valid,
)

MAX_CLOCK_AHEAD_MS = 86_400_000.0
"""How far the clock of another member may be ahead of this one's; records with a later incarnation are
ignored."""


class RecordMerger:
    """Merges records of all members; it changes only the state that it is given."""

    def __init__(self, state: MembershipState) -> None:
        self._state = state

    def merge(self, records: list[MemberRecord], by: str, now: float) -> list[str]:
        """Merge records into the table and queue the changed ones for gossip.

        Args:
            records: The received records.
            by: Name of the member that sent them.
            now: The current time, ms.

        Returns:
            Names of the other members whose records were queued for gossip.
        """
        changed = []
        max_incarnation = self._state.incarnation + (now - self._state.started_ms) + MAX_CLOCK_AHEAD_MS
        for record in records:
            if not is_valid(record) or record.incarnation > max_incarnation:
                self._state.ignored_messages += 1
            elif record.name == self._state.name:
                self._merge_own(record, now)
            elif self._merge_other(record, by, now):
                changed.append(record.name)
                self._state.gossip.add(record.name, now)
        return changed

    def _merge_other(self, record: MemberRecord, by: str, now: float) -> bool:
        """Merge a record of another member, and return whether it is worth gossiping."""
        changed = self._state.table.merge(record, now, by)
        if not changed and self._state.table.may_have_returned(record) and record.info:
            self._state.contacts.member_returned(record.name, record.info.address, now)
        if not changed and not record.accuser:
            return False
        new_witness = self._state.failure_detector.record_merged(record, now)
        return new_witness or changed

    def _merge_own(self, record: MemberRecord, now: float) -> None:
        """Refute a record that claims this dispatcher to be suspect, to have failed or to have left.

        Only this dispatcher itself can end its suspicion or failure, by a higher refutation counter.
        """
        if record.incarnation > self._state.incarnation:
            self._merge_later_incarnation(record, now)
            return
        if record.incarnation < self._state.incarnation or record.state <= MemberState.ALIVE:
            return
        if record.refutations < self._state.table.own.refutations:
            # This dispatcher has refuted the claim already, and the sender has not received the refutation.
            self._state.gossip.add(self._state.name, now)
            return
        self._state.refuted_accusations += 1
        if record.state == MemberState.SUSPECT:
            self._state.failure_detector.accusation_received()
        self._state.table.refute(record.refutations, now)
        self._state.gossip.add(self._state.name, now)
        # This dispatcher may not know the members that accuse it; a contact point passes the refutation on.
        self._state.contacts.hasten(now)

    def _merge_later_incarnation(self, record: MemberRecord, now: float) -> None:
        """Process a record of this dispatcher's name with a later incarnation than its own."""
        if record.info is None:
            return
        if record.info.address != self._state.address:
            # Two processes have the same name: the later one keeps it, and this one stops sending.
            self._state.superseded_by = f"{record.name} at {record.info.address}, born later"
            return
        # The record is of a former process at this address; the clock was set back since it started.
        self._state.incarnation = record.incarnation + 1
        own = MemberRecord(
            self._state.name, self._state.incarnation, 0, MemberState.ALIVE, self._state.table.own.info
        )
        self._state.table.merge(own, now, self._state.name)
        self._state.gossip.add(self._state.name, now)

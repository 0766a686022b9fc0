"""How records that others send change what this dispatcher knows, of others and of itself.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.membership_state import MembershipState
from cherrygrade.fleet.membership.table import (
    MemberRecord,
    MemberState,
    is_valid,
)

MAX_CLOCK_AHEAD_MS = 86_400_000.0
"""How far another's clock may be ahead of this one's; an incarnation later than that is not believed."""


class RecordMerger:
    """Merges records of all members; all that it changes is the state that it is given."""

    def __init__(self, state: MembershipState) -> None:
        self._state = state

    def merge(self, records: list[MemberRecord], by: str, now: float) -> list[str]:
        """Merge records into the table and gossip what changed.

        Args:
            records: What came.
            by: The member that sent them.
            now: The time, ms.

        Returns:
            The names that are gossiped for it.
        """
        changed = []
        latest = self._state.incarnation + (now - self._state.started_ms) + MAX_CLOCK_AHEAD_MS
        for record in records:
            if not is_valid(record) or record.incarnation > latest:
                self._state.ignored_messages += 1
            elif record.name == self._state.name:
                self._merge_own(record, now)
            elif self._merge_other(record, by, now):
                changed.append(record.name)
                self._state.gossip.add(record.name, now)
        return changed

    def _merge_other(self, record: MemberRecord, by: str, now: float) -> bool:
        """Merge a record of another member; returns whether it is worth gossiping."""
        changed = self._state.table.merge(record, now, by)
        if not changed and self._state.table.may_have_returned(record) and record.info:
            self._state.contacts.member_returned(record.name, record.info.address, now)
        if not changed and not record.accuser:
            return False
        new_witness = self._state.failure_detector.record_merged(record, now)
        return new_witness or changed

    def _merge_own(self, record: MemberRecord, now: float) -> None:
        """Take note of what others claim of this dispatcher.

        It alone lifts a suspicion or a failure of itself, by a higher refutation counter.
        """
        if record.incarnation > self._state.incarnation:
            self._merge_later_incarnation(record, now)
            return
        if record.incarnation < self._state.incarnation or record.state <= MemberState.ALIVE:
            return
        if record.refutations < self._state.table.own.refutations:
            # It refuted that already, and the sender has not received the refutation.
            self._state.gossip.add(self._state.name, now)
            return
        self._state.refuted_accusations += 1
        if record.state == MemberState.SUSPECT:
            self._state.failure_detector.accusation_received()
        self._state.table.refute(record.refutations, now)
        self._state.gossip.add(self._state.name, now)
        # Where the accusation came from this dispatcher may be unknown.
        self._state.contacts.hasten(now)

    def _merge_later_incarnation(self, record: MemberRecord, now: float) -> None:
        if record.info is None:
            return
        if record.info.address != self._state.address:
            # Two processes run under one name: the later one has it, and this one falls silent.
            self._state.superseded_by = f"{record.name} at {record.info.address}, born later"
            return
        # A former process at this address, by a clock that was set back since.
        self._state.incarnation = record.incarnation + 1
        own = MemberRecord(
            self._state.name, self._state.incarnation, 0, MemberState.ALIVE, self._state.table.own.info
        )
        self._state.table.merge(own, now, self._state.name)
        self._state.gossip.add(self._state.name, now)

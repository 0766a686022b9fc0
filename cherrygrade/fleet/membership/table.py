"""The membership table: the state of each member, and how two records of one member merge.

A process of a member is identified by the member's name and its incarnation. Each record of it carries a
refutation counter, which only the member itself raises. Of two records the one with the later incarnation
wins; after that a record of a graceful leave, then the higher refutation counter, then the worse state. The
merge is a join (commutative, associative and idempotent), so neither the order nor the repetition of messages
matters.

The refutation counter is what SWIM calls the incarnation number (Das, Gupta, Motivala 2002). Here the
incarnation is the start time of the process, because a dispatcher restarts under its name and does not know
the counter of its former process.

The module does no I/O, reads no clock and has no random source: times are passed in, in ms of one clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec
import xxhash

MAX_REFUTATIONS = 2**40
"""The highest refutation counter that is accepted. No member reaches it by refuting."""

MAX_FORGOTTEN = 4096
"""Dead members dropped from the table whose incarnation and refutation counter are still remembered."""

NEVER_MS = -1e15
"""The time of an event that has not happened."""


class MemberState(IntEnum):
    """State of a member, from best to worst.

    Of two records with the same refutation counter the one with the higher (worse) state wins.
    """

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class MemberInfo(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Properties that a member announces of itself.

    Attributes:
        address: host:port at which the member receives datagrams and streams.
        zone: The member's failure domain.
        version: Version of the member's program.
        settings_digest: Digest of the member's settings.
        seat: The member's seat, its number in the fleet from 0, by which quotas are divided; -1 once it has
            yielded the seat.
    """

    address: str
    zone: str = ""
    version: str = ""
    settings_digest: str = ""
    seat: int = -1


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claim about the state of one member, as it is sent.

    Attributes:
        name: Name of the member.
        incarnation: Start of the member's process, Unix ms; a later process of that name has a later one.
        refutations: Refutation counter of that incarnation.
        state: Value of a `MemberState`.
        info: Announced properties; None where the receiver is likely to have them.
        accuser: In a record of a suspicion, the member that came to it by its own probes; else empty.
    """

    name: str
    incarnation: int
    refutations: int
    state: int
    info: MemberInfo | None = None
    accuser: str = ""

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """Sort key of records: of two records about one member the one with the higher key wins."""
        return (self.incarnation, self.state == MemberState.LEFT, self.refutations, self.state)


class Member:
    """One member, as this dispatcher knows it.

    Attributes:
        name: Name of the member.
        incarnation: Start of the member's process, Unix ms.
        refutations: Highest refutation counter received for the incarnation.
        state: The member's state at that counter.
        info: Properties that the member announces; None until a record with info was received.
        info_refutations: The refutation counter that `info` was announced with.
        state_since_ms: When this dispatcher first had the member in this state, ms.
        reported_by: The member whose record caused the state; shown to operators.
        last_received_ms: When a message was last received from the member itself, ms.
        witnesses: Names of members that suspect it by their own probes; the next refutation clears them.
    """

    __slots__ = (
        "incarnation",
        "info",
        "info_refutations",
        "last_received_ms",
        "name",
        "refutations",
        "reported_by",
        "state",
        "state_since_ms",
        "witnesses",
    )

    def __init__(self, record: MemberRecord, now: float, sender: str) -> None:
        self.name = record.name
        self.incarnation = record.incarnation
        self.refutations = record.refutations
        self.state = MemberState(record.state)
        self.info = record.info
        self.info_refutations = record.refutations
        self.state_since_ms = now
        self.reported_by = sender
        self.last_received_ms = NEVER_MS
        self.witnesses: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """Sort key, comparable with `MemberRecord.key`."""
        return (self.incarnation, self.state is MemberState.LEFT, self.refutations, int(self.state))

    @property
    def living(self) -> bool:
        """Whether the member has neither failed nor left; a suspect is living."""
        return self.state <= MemberState.SUSPECT

    @property
    def seat(self) -> int:
        """The member's seat; -1 where it has none or its info is not known."""
        return self.info.seat if self.info is not None else -1

    def record(self, with_info: bool = True) -> MemberRecord:
        """Return the record to send about the member.

        Info is included only with the refutation counter that it was announced with; with a higher counter
        receivers would take older info for newer.

        Args:
            with_info: Whether to include the member's info.
        """
        info = self.info if with_info and self.info_refutations == self.refutations else None
        by = self.witnesses[-1] if self.witnesses and self.state is MemberState.SUSPECT else ""
        return MemberRecord(self.name, self.incarnation, self.refutations, int(self.state), info, by)

    def digest(self) -> int:
        """Return a hash of all values that are equal in two tables that agree on this member."""
        info = msgspec.msgpack.encode(self.info)
        identity = f"{self.name}\0{self.incarnation}\0{self.refutations}\0{int(self.state)}\0".encode()
        return int(xxhash.xxh3_64_intdigest(identity + info))


class MembershipTable:
    """The members that this dispatcher knows, including itself.

    A member is dead once it has failed or left.

    Attributes:
        me: Name of this dispatcher, whose own entry is never dropped.
        max_members: Maximum size of `members`. A further member replaces the one that has been dead longest,
            and is dropped where no member is dead.
        retain_dead_ms: How long a dead member stays in the table after it failed or left, ms.
        members: Known members by name.
        forgotten: Incarnation and refutation counter of dead members that were dropped, by name, oldest
            first; at most `MAX_FORGOTTEN`. No name is both in `members` and here.
        version: Raised by one when a member is added, is dropped, dies, revives, restarts or changes its
            info.
        dropped: Records that were malformed, or for which the table had no space, in total.
    """

    def __init__(self, me: MemberRecord, now: float, max_members: int, retain_dead_ms: float) -> None:
        self.me = me.name
        self.max_members = max_members
        self.retain_dead_ms = retain_dead_ms
        self.members: dict[str, Member] = {}
        self.forgotten: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.version = 0
        self.dropped = 0
        self._digest = 0
        self._dead: dict[str, Member] = {}
        self._others_version = -1
        self._others: list[Member] = []
        self.merge(me, now, me.name)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    @property
    def own(self) -> Member:
        """The entry of this dispatcher."""
        return self.members[self.me]

    def living(self) -> list[Member]:
        """Return all members not known to be dead, including this dispatcher, sorted by name."""
        return sorted((member for member in self if member.living), key=lambda member: member.name)

    def is_living(self, name: str) -> bool:
        """Return whether the member is known and not known to be dead."""
        member = self.members.get(name)
        return member is not None and member.living

    def dead(self) -> Iterable[Member]:
        """Return the members that failed or left and are still in the table."""
        return self._dead.values()

    def others(self) -> list[Member]:
        """Return the living members whose address is known, except this dispatcher, sorted by name."""
        if self._others_version != self.version:
            self._others_version = self.version
            self._others = [
                member for member in self.living() if member.name != self.me and member.info is not None
            ]
        return self._others

    @property
    def digest(self) -> int:
        """Hash of the living members, equal on two dispatchers that agree on all of them.

        Dead members do not count.
        """
        return self._digest

    def merge(self, record: MemberRecord, now: float, sender: str) -> bool:
        """Merge one record into the table.

        Args:
            record: The record to merge.
            now: The current time, ms.
            sender: Name of the member that sent it; shown to operators.

        Returns:
            Whether the table changed.
        """
        if not is_valid(record):
            self.dropped += 1
            return False
        member = self.members.get(record.name)
        if member is None:
            return self._add(record, now, sender)
        newer = record.key > member.key
        brings_info = _brings_info(record, member)
        if not (newer or brings_info):
            return False
        self._unindex(member)
        before = (member.living, member.info, member.incarnation)
        if record.incarnation > member.incarnation:
            # This is a new process of the member: all that is known of the former one is discarded.
            member = self.members[record.name] = Member(record, now, sender)
        else:
            if brings_info:
                member.info = record.info
                member.info_refutations = record.refutations
            if newer:
                _update_state(member, record, now, sender)
        self._index(member)
        self.version += before != (member.living, member.info, member.incarnation)
        return True

    def copy_others(self, source: MembershipTable) -> None:
        """Replace the entries of all other members with those of another table.

        Simulations of thousands of members use this, because filling their tables by messages would take
        minutes.
        """
        own = self.own
        self.members = {}
        for member in source:
            record = MemberRecord(
                member.name, member.incarnation, member.refutations, int(member.state), member.info
            )
            self.members[member.name] = Member(record, member.state_since_ms, member.reported_by)
        self.members[self.me] = own
        self._digest = source._digest
        self.version += 1

    def refute(self, above: int, now: float, seat: int | None = None) -> MemberRecord:
        """Announce this dispatcher as alive, to refute claims of other members or to change its seat.

        Args:
            above: The refutation counter to exceed.
            now: The current time, ms.
            seat: The new seat, -1 for none; None keeps the present one.

        Returns:
            The record of this dispatcher, already merged.
        """
        own = self.own
        info = own.info
        assert info is not None  # the dispatcher's own record always has info
        if seat is not None:
            info = msgspec.structs.replace(info, seat=seat)
        counter = max(above, own.refutations) + 1
        record = MemberRecord(own.name, own.incarnation, counter, MemberState.ALIVE, info)
        self.merge(record, now, own.name)
        return record

    def forget(self, now: float) -> list[str]:
        """Drop the members that have been dead for `retain_dead_ms`, and return their names."""
        expired = [
            member.name
            for member in self._dead.values()
            if now - member.state_since_ms >= self.retain_dead_ms
        ]
        for name in expired:
            self._drop(name)
        return expired

    def forgotten_record(self, name: str, incarnation: int) -> MemberRecord | None:
        """Return the record to send to a member that is running though it was dropped here as dead.

        The member has to exceed the refutation counter of its death to be added again, and it can't know of
        that death otherwise.

        Args:
            name: Name of the member.
            incarnation: The incarnation in which it is running.

        Returns:
            The record of its death; None where no death of that incarnation is retained.
        """
        known, refutations = self.forgotten.get(name, (-1, -1))
        if known != incarnation:
            return None
        return MemberRecord(name, incarnation, refutations, MemberState.FAILED)

    def may_have_returned(self, record: MemberRecord) -> bool:
        """Return whether a record contradicts a death whose entry was dropped here.

        The record may be from a delayed message, so the member has to confirm itself that it is running.
        """
        incarnation, refutations = self.forgotten.get(record.name, (-1, -1))
        return (
            record.state <= MemberState.SUSPECT
            and record.incarnation == incarnation
            and record.refutations > refutations
        )

    def _add(self, record: MemberRecord, now: float, sender: str) -> bool:
        """Add a member that is not in the table; return whether it was added.

        A record of a death is ignored where the member was not known. After a death whose entry was dropped,
        the name is added again only for a later incarnation, or by a message of the member itself: a message
        of another member may be older than the death.
        """
        incarnation, refutations = self.forgotten.get(record.name, (-1, -1))
        returned = sender == record.name and (record.incarnation, record.refutations) > (
            incarnation,
            refutations,
        )
        if record.state >= MemberState.FAILED or (record.incarnation <= incarnation and not returned):
            return False
        if len(self.members) >= self.max_members:
            if not self._dead:
                self.dropped += 1
                return False
            self._drop(min(self._dead.values(), key=lambda member: (member.state_since_ms, member.name)).name)
        self.forgotten.pop(record.name, None)
        member = self.members[record.name] = Member(record, now, sender)
        self._index(member)
        self.version += 1
        return True

    def _drop(self, name: str) -> None:
        member = self.members.pop(name)
        self._unindex(member)
        self.version += 1
        self.forgotten[name] = (member.incarnation, member.refutations)
        while len(self.forgotten) > MAX_FORGOTTEN:
            self.forgotten.popitem(last=False)

    def _index(self, member: Member) -> None:
        """Include a member in the digest and in the index of dead members."""
        if not member.living:
            self._dead[member.name] = member
        if member.living and member.info is not None:
            self._digest ^= member.digest()

    def _unindex(self, member: Member) -> None:
        """Undo `_index`; called before the member changes."""
        self._dead.pop(member.name, None)
        if member.living and member.info is not None:
            self._digest ^= member.digest()


def is_valid(record: MemberRecord) -> bool:
    """Return whether the values of a record are in range.

    A refutation counter above `MAX_REFUTATIONS` is rejected, because its member could not refute it.
    """
    known_state = 0 <= record.state <= MemberState.LEFT
    counter_in_range = 0 <= record.refutations <= MAX_REFUTATIONS
    return bool(record.name) and known_state and record.incarnation >= 0 and counter_in_range


def merge_records(one: Iterable[MemberRecord], other: Iterable[MemberRecord]) -> dict[str, MemberRecord]:
    """Return the records that a table has by name after it received both sets, in any order."""
    merged: dict[str, MemberRecord] = {}
    for record in [*one, *other]:
        known = merged.get(record.name)
        merged[record.name] = (
            record if known is None else max(known, record, key=lambda candidate: candidate.key)
        )
    return merged


def _brings_info(record: MemberRecord, member: Member) -> bool:
    """Return whether the record has info of the known incarnation that is missing here or newer."""
    if record.info is None or record.incarnation != member.incarnation:
        return False
    known = (member.info_refutations, member.info)
    return member.info is None or (record.refutations, record.info) > known


def _update_state(member: Member, record: MemberRecord, now: float, sender: str) -> None:
    if record.refutations > member.refutations:
        member.witnesses = ()
    if record.state != member.state:
        member.state_since_ms = now
        member.reported_by = sender
    member.refutations = record.refutations
    member.state = MemberState(record.state)

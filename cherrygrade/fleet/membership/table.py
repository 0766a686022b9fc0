"""The membership table: what is claimed of each member, and how two claims merge.

A process of a member is identified by its name and its incarnation. Each record of it carries a refutation
counter, which only the member itself raises. Of two records the later incarnation wins, then having left,
then the higher refutation counter, then the worse state. The merge is a join (commutative, associative and
idempotent), so neither the order nor the repetition of messages matters.

The refutation counter is what SWIM calls the incarnation number (Das, Gupta, Motivala 2002). Here the
incarnation is the start time of the process: a dispatcher restarts under its name and does not know the
counter of its former process.

Free of I/O, clock and chance: times are passed in, in ms of one clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec
import xxhash

MAX_REFUTATIONS = 2**40
"""The highest refutation counter that is accepted; no member reaches it by refuting."""

MAX_FORGOTTEN = 4096
"""Dead members that were dropped from the table and whose incarnation and counter are still remembered."""

NEVER_MS = -1e15
"""The time of what has not happened."""


class MemberState(IntEnum):
    """State of a member, by rank: of two records with one refutation counter the worse state wins."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class MemberInfo(msgspec.Struct, array_like=True, frozen=True, order=True):
    """What a member announces of itself.

    Attributes:
        address: host:port at which it receives datagrams and streams.
        zone: Its failure domain.
        version: Version of its program.
        settings_digest: Digest of its settings.
        seat: Its number in the fleet; -1 once it has given up its seat.
    """

    address: str
    zone: str = ""
    version: str = ""
    settings_digest: str = ""
    seat: int = -1


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claim about one member, as it is sent.

    Attributes:
        name: Name of the member.
        incarnation: Start of its process, Unix ms; a later process under the name has a later one.
        refutations: Refutation counter of that incarnation.
        state: A `MemberState`.
        info: Left out where the receiver is likely to have it.
        accuser: Of a suspicion, the member that came to it by its own probes; else empty.
    """

    name: str
    incarnation: int
    refutations: int
    state: int
    info: MemberInfo | None = None
    accuser: str = ""

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """Order of records: of two about one member the one with the higher key wins."""
        return (self.incarnation, self.state == MemberState.LEFT, self.refutations, self.state)


class Member:
    """What this dispatcher knows of one member.

    Attributes:
        name: Name of the member.
        incarnation: Start of its process, Unix ms.
        refutations: Highest refutation counter received for the incarnation.
        state: Its state at that counter.
        info: What it announces of itself; None until a record brought it.
        info_refutations: The refutation counter that `info` was announced with.
        state_since_ms: When it entered its state here, ms.
        reported_by: The member whose record put it there; shown to operators.
        last_received_ms: When a message last came from the member itself, ms.
        witnesses: Members that suspect it by their own probes; emptied by the next refutation.
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

    def __init__(self, record: MemberRecord, now: float, by: str) -> None:
        self.name = record.name
        self.incarnation = record.incarnation
        self.refutations = record.refutations
        self.state = MemberState(record.state)
        self.info = record.info
        self.info_refutations = record.refutations
        self.state_since_ms = now
        self.reported_by = by
        self.last_received_ms = NEVER_MS
        self.witnesses: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """As `MemberRecord.key`."""
        return (self.incarnation, self.state is MemberState.LEFT, self.refutations, int(self.state))

    @property
    def living(self) -> bool:
        """Whether it neither failed nor left; a suspect is living."""
        return self.state <= MemberState.SUSPECT

    @property
    def seat(self) -> int:
        """Its seat; -1 where it has none or its info is not known."""
        return self.info.seat if self.info is not None else -1

    def record(self, with_info: bool = True) -> MemberRecord:
        """The record to send for it.

        Info goes along only with the refutation counter that it was announced with: under a higher counter
        older info would pass for newer.
        """
        info = self.info if with_info and self.info_refutations == self.refutations else None
        by = self.witnesses[-1] if self.witnesses and self.state is MemberState.SUSPECT else ""
        return MemberRecord(self.name, self.incarnation, self.refutations, int(self.state), info, by)

    def digest(self) -> int:
        """Hash of all that has to be equal once two tables agree on this member."""
        info = msgspec.msgpack.encode(self.info)
        identity = f"{self.name}\0{self.incarnation}\0{self.refutations}\0{int(self.state)}\0".encode()
        return int(xxhash.xxh3_64_intdigest(identity + info))


class MembershipTable:
    """The members that this dispatcher knows, by name, itself among them.

    Attributes:
        me: Name of this dispatcher; its own entry is never dropped.
        max_members: Bound of `members`. One more takes the place of the member that has been dead longest,
            or is dropped where none is dead.
        retain_dead_ms: How long a dead member stays after it failed or left, ms.
        members: Known members by name.
        forgotten: Incarnation and refutation counter of dead members that were dropped, by name, oldest
            first; at most `MAX_FORGOTTEN`. A name is in `members` or here, never in both.
        version: Raised by one when a member comes, goes or changes its info.
        dropped: Records that were malformed or found no room.
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
        """All members not known to be dead, this dispatcher among them, sorted by name."""
        return sorted((member for member in self if member.living), key=lambda member: member.name)

    def is_living(self, name: str) -> bool:
        """Whether the member is known and not known to be dead."""
        member = self.members.get(name)
        return member is not None and member.living

    def dead(self) -> Iterable[Member]:
        """Members that failed or left and have not been forgotten."""
        return self._dead.values()

    def others(self) -> list[Member]:
        """Living members whose address is known, without this dispatcher, sorted by name."""
        if self._others_version != self.version:
            self._others_version = self.version
            self._others = [
                member for member in self.living() if member.name != self.me and member.info is not None
            ]
        return self._others

    @property
    def digest(self) -> int:
        """Equal on two dispatchers where they know the living alike, whatever they know of the dead."""
        return self._digest

    def merge(self, record: MemberRecord, now: float, by: str) -> bool:
        """Merge one record into the table.

        Args:
            record: The claim.
            now: The time, ms.
            by: The member that sent it; shown to operators.

        Returns:
            Whether the table changed.
        """
        if not is_valid(record):
            self.dropped += 1
            return False
        member = self.members.get(record.name)
        if member is None:
            return self._add(record, now, by)
        newer = record.key > member.key
        brings_info = _brings_info(record, member)
        if not (newer or brings_info):
            return False
        self._unindex(member)
        before = (member.living, member.info, member.incarnation)
        if record.incarnation > member.incarnation:
            # A new process: nothing that is known of the former one holds.
            member = self.members[record.name] = Member(record, now, by)
        else:
            if brings_info:
                member.info = record.info
                member.info_refutations = record.refutations
            if newer:
                _update_state(member, record, now, by)
        self._index(member)
        self.version += before != (member.living, member.info, member.incarnation)
        return True

    def copy_others(self, source: MembershipTable) -> None:
        """Take over all that another table knows of the other members.

        For simulations of thousands of members, whose tables would take minutes to fill by messages.
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
        """Announce this dispatcher as alive, against what others claim or with another seat.

        Args:
            above: The refutation counter to exceed.
            now: The time, ms.
            seat: The new seat; None keeps the present one.

        Returns:
            The record of this dispatcher, already merged.
        """
        own = self.own
        info = own.info
        assert info is not None  # its own record was built with it
        if seat is not None:
            info = msgspec.structs.replace(info, seat=seat)
        counter = max(above, own.refutations) + 1
        record = MemberRecord(own.name, own.incarnation, counter, MemberState.ALIVE, info)
        self.merge(record, now, own.name)
        return record

    def forget(self, now: float) -> list[str]:
        """Drop the members that have been dead for `retain_dead_ms`; returns their names."""
        expired = [
            member.name
            for member in self._dead.values()
            if now - member.state_since_ms >= self.retain_dead_ms
        ]
        for name in expired:
            self._drop(name)
        return expired

    def forgotten_record(self, name: str, incarnation: int) -> MemberRecord | None:
        """What to send to a member that is back after its death was forgotten here.

        Only a refutation counter above that of its death brings it back, and it can't know of that death
        by itself.
        """
        known, refutations = self.forgotten.get(name, (-1, -1))
        if known != incarnation:
            return None
        return MemberRecord(name, incarnation, refutations, MemberState.FAILED)

    def may_have_returned(self, record: MemberRecord) -> bool:
        """Whether others call a member alive whose death was forgotten here.

        Their message may be a delayed one, so that the member has to confirm it itself.
        """
        incarnation, refutations = self.forgotten.get(record.name, (-1, -1))
        return (
            record.state <= MemberState.SUSPECT
            and record.incarnation == incarnation
            and record.refutations > refutations
        )

    def _add(self, record: MemberRecord, now: float, by: str) -> bool:
        """Add a member that is not in the table.

        A death is of no use to a dispatcher that never knew the member. After a death that was forgotten
        here, only a later incarnation or the member itself brings the name back: a message of others may
        be older than the death.
        """
        incarnation, refutations = self.forgotten.get(record.name, (-1, -1))
        returned = by == record.name and (record.incarnation, record.refutations) > (incarnation, refutations)
        if record.state >= MemberState.FAILED or (record.incarnation <= incarnation and not returned):
            return False
        if len(self.members) >= self.max_members:
            if not self._dead:
                self.dropped += 1
                return False
            self._drop(min(self._dead.values(), key=lambda member: (member.state_since_ms, member.name)).name)
        self.forgotten.pop(record.name, None)
        member = self.members[record.name] = Member(record, now, by)
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
        """Count a member into the digest and the index of the dead."""
        if not member.living:
            self._dead[member.name] = member
        if member.living and member.info is not None:
            self._digest ^= member.digest()

    def _unindex(self, member: Member) -> None:
        """Undo `_index`, before the member changes."""
        self._dead.pop(member.name, None)
        if member.living and member.info is not None:
            self._digest ^= member.digest()


def is_valid(record: MemberRecord) -> bool:
    """Whether a record can be one at all; rejects counters that no refutation could exceed."""
    known_state = 0 <= record.state <= MemberState.LEFT
    counter_in_range = 0 <= record.refutations <= MAX_REFUTATIONS
    return bool(record.name) and known_state and record.incarnation >= 0 and counter_in_range


def merge_records(one: Iterable[MemberRecord], other: Iterable[MemberRecord]) -> dict[str, MemberRecord]:
    """The join of two sets of records by name: what any table that receives both comes to."""
    merged: dict[str, MemberRecord] = {}
    for record in [*one, *other]:
        known = merged.get(record.name)
        merged[record.name] = record if known is None else max(known, record, key=lambda held: held.key)
    return merged


def _brings_info(record: MemberRecord, member: Member) -> bool:
    """Whether the record has info of the known incarnation that is missing here or newer."""
    if record.info is None or record.incarnation != member.incarnation:
        return False
    known = (member.info_refutations, member.info)
    return member.info is None or (record.refutations, record.info) > known


def _update_state(member: Member, record: MemberRecord, now: float, by: str) -> None:
    if record.refutations > member.refutations:
        member.witnesses = ()
    if record.state != member.state:
        member.state_since_ms = now
        member.reported_by = by
    member.refutations = record.refutations
    member.state = MemberState(record.state)

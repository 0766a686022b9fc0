"""The roll: what is claimed of each member, and how claims merge.

A member is told by its name and its birth; a claim of it has a turn, which it alone raises. Of two claims
the later birth holds, then having left, then the higher turn, then the worse standing: a join, so neither
order nor repetition of words matters. The scheme of turns is SWIM's incarnations (Das, Gupta, Motivala
2002); births are ours, since a dispatcher starts anew under its name and knows nothing of its turns before.

Free of I/O, clock and chance; times are passed in, ms.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec
import xxhash

MOST_TURN = 2**40  # no member gets there by itself
MOST_GONE = 4096  # of those forgotten, whose old words are known for what they are


class MemberState(IntEnum):
    """By rank: of two claims of one turn the worse holds."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class MemberInfo(msgspec.Struct, array_like=True, frozen=True, order=True):
    """What a member says of itself. Place: host:port of its datagrams; seat -1: it yielded its seat."""

    place: str
    zone: str = ""
    version: str = ""
    settings: str = ""
    seat: int = -1


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One word on one member; `facts` is left out where the hearer is likely to have them."""

    name: str
    birth: int
    """Unix ms of its start; a later start under the name has a later one."""
    turn: int
    standing: int
    facts: MemberInfo | None = None
    by: str = ""
    """Of a suspicion: who came to it on its own."""

    @property
    def key(self) -> tuple[int, bool, int, int]:
        return (self.birth, self.standing == MemberState.LEFT, self.turn, self.standing)


class Member:
    """What is known here of one name. `since` and `by`: when it came to its standing here, by whose word."""

    __slots__ = (
        "birth", "by", "facts", "facts_turn", "heard", "name", "since", "standing", "turn", "witnesses",
    )  # fmt: skip

    def __init__(self, claim: MemberRecord, now: float, by: str) -> None:
        self.name, self.birth, self.turn = claim.name, claim.birth, claim.turn
        self.standing = MemberState(claim.standing)
        self.facts, self.facts_turn = claim.facts, claim.turn
        self.since, self.by = now, by
        self.heard = -1e15  # when it last spoke to this dispatcher itself
        self.witnesses: tuple[str, ...] = ()  # who called it suspect on their own; emptied by the next turn

    @property
    def key(self) -> tuple[int, bool, int, int]:
        return (self.birth, self.standing is MemberState.LEFT, self.turn, int(self.standing))

    @property
    def living(self) -> bool:
        return self.standing <= MemberState.SUSPECT

    @property
    def seat(self) -> int:
        return self.facts.seat if self.facts is not None else -1

    def claim(self, whole: bool = True) -> MemberRecord:
        """Facts go along only under the turn that they were told with: older ones would pass for newer."""
        facts = self.facts if whole and self.facts_turn == self.turn else None
        by = self.witnesses[-1] if self.witnesses and self.standing is MemberState.SUSPECT else ""
        return MemberRecord(self.name, self.birth, self.turn, int(self.standing), facts, by)

    def mark(self) -> int:
        """Of what has to be equal once two rolls are."""
        facts = msgspec.msgpack.encode(self.facts)
        told = f"{self.name}\0{self.birth}\0{self.turn}\0{int(self.standing)}\0".encode()
        return int(xxhash.xxh3_64_intdigest(told + facts))


class MembershipTable:
    """Members by name. At most `most`: a claim of one more takes the place of who has been dead for
    longest, or is dropped. The dead go `keep_ms` after they failed or left, and leave their birth in
    `gone`, which holds the last MOST_GONE."""

    def __init__(self, me: MemberRecord, now: float, most: int, keep_ms: float) -> None:
        self.me, self.most, self.keep_ms = me.name, most, keep_ms
        self.members: dict[str, Member] = {}
        self.gone: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.comings = 0  # counts who came, went, or told other facts: what hangs on it looks again then
        self.dropped = 0
        self._digest = 0
        self._dead: dict[str, Member] = {}  # of the members; goes with them
        self._others: tuple[int, list[Member]] = (-1, [])  # made anew after changes
        self.hear(me, now, me.name)

    # What is known.

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    @property
    def own(self) -> Member:
        return self.members[self.me]

    def living(self) -> list[Member]:
        """All that are not known dead, this one among them, in the order of names."""
        return sorted((one for one in self if one.living), key=lambda one: one.name)

    def lives(self, name: str) -> bool:
        member = self.members.get(name)
        return member is not None and member.living

    def dead(self) -> Iterable[Member]:
        """Those that failed or left and are not forgotten."""
        return self._dead.values()

    def others(self) -> list[Member]:
        """Those of the living that can be reached."""
        if self._others[0] != self.comings:
            found = [one for one in self.living() if one.name != self.me and one.facts is not None]
            self._others = (self.comings, found)
        return self._others[1]

    @property
    def digest(self) -> int:
        """Equal where the living are known alike, whatever is remembered of the dead."""
        return self._digest

    # What changes it.

    def hear(self, claim: MemberRecord, now: float, by: str) -> bool:
        """Join a claim; whether it was news. `by`: whose word it is, for people."""
        if not sound(claim):
            self.dropped += 1
            return False
        member = self.members.get(claim.name)
        if member is None:
            return self._meet(claim, now, by)
        news = claim.key > member.key
        same = claim.facts is not None and claim.birth == member.birth
        known = (member.facts_turn, member.facts)
        lacking = same and (member.facts is None or (claim.turn, claim.facts) > known)
        if not (news or lacking):
            return False
        self._count_out(member)
        before = (member.living, member.facts, member.birth)
        if claim.birth > member.birth:  # another life: nothing of the one before holds
            member = self.members[claim.name] = Member(claim, now, by)
        else:
            if lacking:
                member.facts, member.facts_turn = claim.facts, claim.turn
            if news:
                if claim.turn > member.turn:
                    member.witnesses = ()
                if claim.standing != member.standing:
                    member.since, member.by = now, by
                member.turn, member.standing = claim.turn, MemberState(claim.standing)
        self._count_in(member)
        self.comings += before != (member.living, member.facts, member.birth)
        return True

    def alike(self, other: MembershipTable) -> None:
        """Know of the others what that one knows: for fleets of thousands, whose rolls would take minutes to
        be made by words."""
        own = self.own
        self.members = {}
        for one in other:
            claim = MemberRecord(one.name, one.birth, one.turn, int(one.standing), one.facts)
            self.members[one.name] = Member(claim, one.since, one.by)
        self.members[self.me] = own
        self._digest = other._digest
        self.comings += 1

    def raise_turn(self, above: int, now: float, seat: int | None = None) -> MemberRecord:
        """This member's own word against what is said of it, or with another seat."""
        own = self.own
        facts = own.facts
        assert facts is not None
        if seat is not None:
            facts = msgspec.structs.replace(facts, seat=seat)
        claim = MemberRecord(own.name, own.birth, max(above, own.turn) + 1, MemberState.ALIVE, facts)
        self.hear(claim, now, own.name)
        return claim

    def forget(self, now: float) -> list[str]:
        """The long dead go; gives their names."""
        old = [one.name for one in self._dead.values() if now - one.since >= self.keep_ms]
        for name in old:
            self._drop(name)
        return old

    def forgotten(self, name: str, birth: int) -> MemberRecord | None:
        """What a member is told that comes back after its death was forgotten here: only a turn of its own
        above that death's brings it back, and it can't know of it by itself."""
        known, turn = self.gone.get(name, (-1, -1))
        return MemberRecord(name, birth, turn, MemberState.FAILED) if known == birth else None

    def asks_itself(self, claim: MemberRecord) -> bool:
        """Whether others have it that one is back whose death was forgotten here: theirs may be a slow word,
        so that it is to say so itself."""
        birth, turn = self.gone.get(claim.name, (-1, -1))
        return claim.standing <= MemberState.SUSPECT and claim.birth == birth and claim.turn > turn

    def _meet(self, claim: MemberRecord, now: float, by: str) -> bool:
        """A name that is not on the roll. Who is dead is of no use to who never knew it, and a word from
        before a death that is forgotten here brings nobody back: only a later birth does, or the member
        itself."""
        birth, turn = self.gone.get(claim.name, (-1, -1))
        itself = by == claim.name and (claim.birth, claim.turn) > (birth, turn)
        if claim.standing >= MemberState.FAILED or (claim.birth <= birth and not itself):
            return False
        if len(self.members) >= self.most:
            if not self._dead:
                self.dropped += 1
                return False
            self._drop(min(self._dead.values(), key=lambda one: (one.since, one.name)).name)
        self.gone.pop(claim.name, None)
        member = self.members[claim.name] = Member(claim, now, by)
        self._count_in(member)
        self.comings += 1
        return True

    def _drop(self, name: str) -> None:
        member = self.members.pop(name)
        self._count_out(member)
        self.comings += 1
        self.gone[name] = (member.birth, member.turn)
        while len(self.gone) > MOST_GONE:
            self.gone.popitem(last=False)

    def _count_in(self, member: Member) -> None:
        if not member.living:
            self._dead[member.name] = member
        if member.living and member.facts is not None:
            self._digest ^= member.mark()

    def _count_out(self, member: Member) -> None:
        self._dead.pop(member.name, None)
        if member.living and member.facts is not None:
            self._digest ^= member.mark()


def sound(claim: MemberRecord) -> bool:
    """Whether it can be a claim at all. Guards against turns that nothing could be raised above."""
    standing = 0 <= claim.standing <= MemberState.LEFT
    return bool(claim.name) and standing and claim.birth >= 0 and 0 <= claim.turn <= MOST_TURN


def join(one: Iterable[MemberRecord], other: Iterable[MemberRecord]) -> dict[str, MemberRecord]:
    """Two sets of claims as one, for tests of the laws and for the audit: what any roll comes to by both."""
    found: dict[str, MemberRecord] = {}
    for claim in [*one, *other]:
        known = found.get(claim.name)
        found[claim.name] = claim if known is None else max(known, claim, key=lambda held: held.key)
    return found

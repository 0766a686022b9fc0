"""Who is probed when, who is suspect, and who has failed.

In the manner of SWIM (Das, Gupta, Motivala 2002): each period one member is probed, all in a shuffled
order before any again; one that does not answer is asked for through others, and only then suspect; a
suspicion that nobody lifts becomes a death. With what Lifeguard adds (Dadgar, Phillips, Currey 2017): a
doubt in oneself that stretches all patience, helpers that say when they got no answer either, suspicion
that shortens as others come to it on their own, and a word to the suspect itself in each datagram it gets.

Kept: all of these. Changed: the load of a period is one probe whatever the fleet's size; the least patience
outlasts a stall of STALL_MS, which must kill nobody, so it does not grow with the fleet; a probe that was
lost is made again before anybody hears of it, as else lost datagrams alone would keep a large fleet busy
with suspicions (in a thousand members at 5% of loss, more than one a second); and a word that
lifts a suspicion is pushed rather than left to the next probe (telling.py). And patience goes by how long
answers take of late, those that came after their period too: on a machine whose processes starve all of them
are late, and a fixed patience made each accuse the others and starve them more.

Free of I/O, clock and chance: what varies comes from a seed and a counter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp2, log
from zlib import crc32

from cherrygrade.fleet.membership.table import Member, MemberRecord, MembershipTable, MemberState

PERIOD_MS = 400.0
DIRECT_MS = 150.0  # for the member's own answer, before others are asked
HELPERS = 3
SLOWEST_MS = 800.0  # that answers are waited for, twice this long; longer and a death would be known too late
HALVES_MS = 1500.0  # what the longest answer of late counts for
MOST_LATE = 32  # probes of past periods whose answers would still tell how slow all is
NEW_MS = 3000.0  # who began so lately has not seen yet how slow all is, and accuses nobody
STALL_MS = 2000.0  # a member that stands still for so long is not to be called dead
LEAST_MS, LONGEST_MS = 1900.0, 3600.0  # from suspicion to death: with and without others that confirm it
SPREAD_MS = 600.0
LAST_MS, CALLS = 200.0, 2  # after that: for the answer to each last call; one datagram alone may be lost
LAST_OF_MANY_MS = 350.0  # where many are suspect: it may be the machine, and all are late
CONFIRM = 2  # others that shorten it all the way
MOST_DOUBT = 8
LATE_MS = 300.0  # a beat so much too late: this process stood still
UNREAD_MS, READ_MS = 2000.0, 20.0  # how long what is unread puts judgement off at most; looked at again
FEW = 8  # suspects, up to which others are asked before one is buried
MANY, HURRY = 3, 5  # with so many suspects at once, so many are probed in a period: many may have died
KNOCK_MS = 2000.0  # one of the dead is tried this often: it may only have been cut off


@dataclass(slots=True)
class OutstandingProbe:
    """A probe that is out."""

    name: str
    birth: int
    number: int
    at: float
    patience: float
    """For the member's own answer."""
    again: bool = False
    """The one before it was lost."""
    asked: bool = False


@dataclass(slots=True)
class ProbeEffects:
    """What comes of a beat: whom to probe, by which number; whom to ask for it; of whom there is news."""

    probe: list[tuple[Member, int]] = field(default_factory=list)
    ask: list[tuple[Member, Member, int]] = field(default_factory=list)
    news: list[str] = field(default_factory=list)


class FailureDetector:
    """`order` is what is left of this round; `suspects` hold when each is due, and lose who dies or is
    lifted."""

    def __init__(self, roll: MembershipTable, seed: int, now: float, period_ms: float = PERIOD_MS) -> None:
        self.roll, self.seed, self.period_ms = roll, seed, period_ms
        self.doubt = 0
        self.accuses = True  # not while it is late with everything: sides.TABLE
        self.unread = False  # pages lie there that were not looked at: the answer may be among them
        self.short = False  # more is to be done than may be: it probes, and leaves helpers and hurry
        self._longest, self._longest_at = 0.0, now
        self.late: dict[int, tuple[str, float]] = {}  # probes of past periods; MOST_LATE, the oldest go
        self.begun = now
        self.order: list[str] = []
        self.outs: list[OutstandingProbe] = []  # of this period
        self.called: dict[str, int] = {}  # suspects whose last calls are out; emptied by their ends
        self.mine: set[str] = set()  # accused here; emptied as they die or are lifted
        self.lost: list[str] = []  # of the last one: they are probed again before anybody hears of it
        self.suspects: dict[str, float] = {}
        self.count = self.accusations = self.deaths = self.stalls = 0
        self.next_at = now + self._chance() * period_ms
        self.knock_at = now + KNOCK_MS
        self.heard_at = now  # when anybody spoke
        self.wanted = now  # when the last beat asked for the next

    def _chance(self) -> float:
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) / 2.0**32

    def shuffle(self, names: list[str]) -> list[str]:
        """In an order of this member's own, another each time."""
        self.count += 1
        return sorted(names, key=lambda name: crc32(f"{self.seed}:{self.count}:{name}".encode()))

    def some(self, names: list[str], most: int) -> list[str]:
        """So many of them by chance, each once."""
        found: dict[str, None] = {}
        if len(names) <= most:
            return names
        while len(found) < most:
            found[names[int(self._chance() * len(names))]] = None
        return [*found]

    def due(self) -> float:
        """When the next beat is wanted."""
        if self.unread:
            return self.wanted
        at = min([self.next_at, self.knock_at, *self.suspects.values()])
        waited = [out.at + out.patience for out in self.outs if not out.asked]
        return min(at, waited[0]) if waited else at

    def patience(self, ms: float) -> float:
        return ms * (1.0 + self.doubt / MOST_DOUBT)

    def direct(self, now: float) -> float:
        """How long a member's own answer is waited for."""
        return max(self.patience(DIRECT_MS), 2.0 * self.slow(now))

    # What comes in.

    def spoke(self, member: Member, now: float) -> None:
        """Anything came from the member itself."""
        member.heard = self.heard_at = now

    def answered(self, name: str, number: int, now: float, straight: bool = True) -> bool:
        """The probe with this number came back, straight or through another; whether one was out."""
        for out in self.outs:
            if (out.number, out.name) == (number, name):
                self.outs.remove(out)
                self.doubt = max(0, self.doubt - 1)
                if straight:
                    self._took(now - out.at, now)
                return True
        if straight and self.late.get(number, ("", 0.0))[0] == name:
            self._took(now - self.late.pop(number)[1], now)
            return True
        return False

    def _took(self, ms: float, now: float) -> None:
        if ms >= self.slow(now):
            self._longest, self._longest_at = ms, now

    def slow(self, now: float) -> float:
        """The longest that answers took of late."""
        return min(SLOWEST_MS, self._longest * exp2((self._longest_at - now) / HALVES_MS))

    def accused_here(self) -> None:
        """Somebody called this member suspect: it must have been slow."""
        self.doubt = min(MOST_DOUBT, self.doubt + 1)

    def heard(self, claim: MemberRecord, now: float) -> bool:
        """A claim of a member was joined to the roll: what suspicion makes of it. Whether somebody else
        came to it on their own, which is worth telling."""
        member = self.roll.members.get(claim.name)
        if member is None or member.name == self.roll.me:
            return False
        if member.standing is not MemberState.SUSPECT:
            self.suspects.pop(member.name, None)
            self.called.pop(member.name, None)  # the next suspicion has last calls of its own
            if member.name in self.mine:
                self.mine.discard(member.name)
                if member.living:  # accused too hastily, or the ways are slow for all
                    self.doubt = min(MOST_DOUBT, self.doubt + 1)
            return False
        fits = (claim.birth, claim.turn, claim.standing) == (member.birth, member.turn, MemberState.SUSPECT)
        known = member.witnesses
        more = bool(fits and claim.by and claim.by not in known and len(known) <= CONFIRM)
        if more:
            member.witnesses += (claim.by,)
        # Not all at once: whoever comes first calls, and tells all others what came of it.
        part = crc32(f"{self.seed}:{claim.name}:{claim.turn}".encode()) / 2.0**32
        ends = member.since + self.suspicion(len(member.witnesses)) + SPREAD_MS * part + self._more(now)
        self.suspects[member.name] = min(self.suspects.get(member.name, 1e15), ends)
        return more

    def suspicion(self, witnesses: int) -> float:
        """Patience with a suspect, by how many came to it on their own (Lifeguard's formula)."""
        others = min(CONFIRM, max(0, len(self.roll.others()) - 1))
        part = log(max(1, witnesses)) / log(others + 1) if others else 1.0
        return max(LEAST_MS, LONGEST_MS - (LONGEST_MS - LEAST_MS) * min(1.0, part))

    def _more(self, now: float) -> float:
        """What a suspect gets beyond that, where answers are slow: its own word has to come to all through
        processes that are as late as it is, four hops there and back."""
        return 8.0 * self.slow(now) if self.slow(now) > DIRECT_MS else 0.0

    # The beat.

    def beat(self, now: float) -> ProbeEffects:
        """All that is due."""
        does = ProbeEffects()
        if now - self.wanted > LATE_MS:
            self._stood_still(now - self.wanted, now)
        for out in self.outs:
            if not out.asked and now >= out.at + out.patience:
                self._ask(out, does)
        if self.unread and now < self.next_at + UNREAD_MS:
            self.wanted = now + READ_MS
            return does
        if now >= self.next_at:
            self._end_period(now, does)
            self._begin_period(now, does)
        if now >= self.knock_at:
            self._knock(now, does)
        self._bury(now, does)
        self.wanted = max(now, self.due())
        return does

    def _stood_still(self, late: float, now: float) -> None:
        """This process did not run: what it waited for may lie unread, so it accuses nobody of silence, and
        whoever was suspect gets the time again that it stood."""
        self.stalls += 1
        self.doubt = min(MOST_DOUBT, self.doubt + 1 + int(late > STALL_MS / 2.0))
        self.heard_at = now
        self.outs.clear()
        self.lost.clear()
        self.suspects = {name: max(at, now + min(late, STALL_MS)) for name, at in self.suspects.items()}

    def _ask(self, out: OutstandingProbe, does: ProbeEffects) -> None:
        out.asked = True
        if self.short:
            return
        target = self.roll.members.get(out.name)
        alive = [one.name for one in self.roll.others() if one.standing is MemberState.ALIVE]
        if target is not None:
            # Of many that may have died, most have: one helper for each is enough.
            most = HELPERS if len(self.suspects) < MANY else 1
            helpers = self.some([name for name in alive if name != out.name], most)
            does.ask += [(self.roll.members[name], target, out.number) for name in helpers]

    def _end_period(self, now: float, does: ProbeEffects) -> None:
        """A probe that did not come back, straight or through others, is an accusation, unless nobody at all
        spoke meanwhile: then it is this member that is deaf, and it waits for longer before it says so."""
        outs, self.outs = self.outs, []
        for out in outs:
            self.late[out.number] = (out.name, out.at)
        while len(self.late) > MOST_LATE:
            del self.late[next(iter(self.late))]
        if outs and self.heard_at < outs[0].at:
            self.doubt = min(MOST_DOUBT, self.doubt + 1)
            if now - self.heard_at < LONGEST_MS:
                return
        for out in outs:
            self._accuse(out, now, does)

    def _accuse(self, out: OutstandingProbe, now: float, does: ProbeEffects) -> None:
        member = self.roll.members.get(out.name)
        if member is None or member.birth != out.birth or member.heard >= out.at or not self.accuses:
            return
        if now < self.begun + NEW_MS:
            return
        if member.standing is MemberState.ALIVE and not out.again:
            self.lost.append(member.name)
            return
        if member.living and self.roll.me not in member.witnesses:
            if member.standing is MemberState.ALIVE:
                self.accusations += 1
                self.mine.add(member.name)
            claim = MemberRecord(member.name, member.birth, member.turn, MemberState.SUSPECT, by=self.roll.me)
            self.roll.hear(claim, now, self.roll.me)
            self.heard(claim, now)
            does.news.append(member.name)

    def _begin_period(self, now: float, does: ProbeEffects) -> None:
        # An answer that is slow has its time, and one through another after it.
        period = max(self.patience(self.period_ms), 2.5 * self.direct(now))
        self.next_at = max(self.next_at + period, now + self.period_ms / 4.0)
        hurry = len(self.suspects) >= MANY and not (self.doubt or self.short)
        members, left = self.roll.members, HURRY if hurry else 1
        lost, self.lost = self.lost, []
        while (lost or self.order) and left:
            again = bool(lost)
            member = members.get(lost.pop() if again else self.order.pop())
            if member is not None and member.living and member.facts and member.name != self.roll.me:
                self._probe(member, now, does, again)
                left -= 1
        if left and not self.order:
            self.order = self.shuffle([one.name for one in self.roll.others()])
            if self.order and not self.outs:
                self._probe(members[self.order.pop()], now, does)

    def _probe(self, member: Member, now: float, does: ProbeEffects, again: bool = False) -> None:
        out = OutstandingProbe(member.name, member.birth, self._number(), now, self.direct(now), again)
        self.outs.append(out)
        does.probe.append((member, out.number))

    def _knock(self, now: float, does: ProbeEffects) -> None:
        self.knock_at = now + KNOCK_MS * (0.75 + 0.5 * self._chance())
        dead = [one.name for one in self.roll.dead() if one.standing is MemberState.FAILED and one.facts]
        if dead:
            self.count += 1
            does.probe.append((self.roll.members[self.some(dead, 1)[0]], self.count))

    def _bury(self, now: float, does: ProbeEffects) -> None:
        for name in [name for name, at in self.suspects.items() if at <= now]:
            suspect = self.roll.members.get(name)
            if suspect is not None and now < suspect.since + LEAST_MS + self._more(now):
                self.suspects[name] = suspect.since + LEAST_MS + self._more(now)  # all became slow since
                continue
            del self.suspects[name]
            if self._last_call(name, now, does):
                continue
            self.mine.discard(name)
            member = self.roll.members.get(name)
            if member is None or member.standing is not MemberState.SUSPECT:
                continue
            # It spoke since, and its own word on that is on its way; or who is late itself leaves it to
            # others.
            if member.heard > member.since or not self.accuses or self.short:
                self.suspects[name] = now + LEAST_MS
                continue
            self.deaths += 1
            self.roll.hear(
                MemberRecord(name, member.birth, member.turn, MemberState.FAILED), now, self.roll.me
            )
            does.news.append(name)

    def _last_call(self, name: str, now: float, does: ProbeEffects) -> bool:
        """Nobody is buried who was not asked once more, straight and through others: its word may have come
        to all but this member. Whether that is out now."""
        member = self.roll.members.get(name)
        calls = self.called.get(name, 0)
        if calls >= CALLS or member is None or member.standing is not MemberState.SUSPECT:
            self.called.pop(name, None)
            return False
        self.called[name] = calls + 1
        least = LAST_MS if len(self.suspects) < MANY else LAST_OF_MANY_MS
        self.suspects[name] = now + max(least, 2.0 * self.slow(now))
        out = OutstandingProbe(name, member.birth, self._number(), now, self.direct(now))
        does.probe.append((member, out.number))
        if len(self.suspects) <= FEW:
            self._ask(out, does)
        return True

    def _number(self) -> int:
        self.count += 1
        return self.count

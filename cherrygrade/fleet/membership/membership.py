"""The fleet as one dispatcher takes part in it: pages and time in, pages out.

Free of I/O, clock and chance: the same code plays in thousands in one process and alone in one dispatcher
(`agent.py`). Times are ms of any one clock; births are Unix ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from cherrygrade.fleet.membership import seat_claims
from cherrygrade.fleet.membership.failure_detector import DIRECT_MS, PERIOD_MS, FailureDetector, ProbeEffects
from cherrygrade.fleet.membership.gossip import AGAIN_MS, FAN, ExchangeTrigger, GossipQueue
from cherrygrade.fleet.membership.load_aggregators import LoadAggregators
from cherrygrade.fleet.membership.messages import (
    AnyMessage,
    ConfigAdvert,
    ConfigQuery,
    ConfigReply,
    GossipPush,
    IndirectProbeRequest,
    IndirectProbeResult,
    Probe,
    ProbeAck,
    SchedulerMessage,
)
from cherrygrade.fleet.membership.partition import ALONE_MS, TABLE, PartitionRules, PartitionState, side
from cherrygrade.fleet.membership.reachability import ReachabilityView
from cherrygrade.fleet.membership.table import (
    Member,
    MemberInfo,
    MemberRecord,
    MembershipTable,
    MemberState,
    sound,
)

KEEP_MS = 600_000.0  # the dead are remembered so long
CONTACT_MS = 500.0  # between two tries of a contact, while nobody is known
FAR_MS = 10_000.0  # and once somebody is: a contact may stand among those cut off
HELP_MS = 1000.0  # what is probed for others is forgotten after this
MOST_HELP = 256
MOST_BACK = 16
STRANGE_MS = 500.0  # in which a stranger that asks has begun to exchange rolls, if it does
SET_WRONG_MS = 86_400_000.0  # that a clock may go ahead of this one's; who is born later yet is made up
WORDS_A_S = 400  # of one member's words; the rest is dropped


@dataclass(slots=True)
class MemberConfigReport:
    """A living member's word on its configuration. `first`: it is the answer to what this one drew and asked
    at the place that the roll has for it; `nonce` of a `ConfigQuery`, else 0."""

    name: str
    birth: int
    seat: int
    config: ConfigAdvert
    first: bool
    nonce: int = 0
    why: str = ""


@dataclass(slots=True)
class Effects:
    """What a call comes to: pages to places; with whom to exchange rolls; words for the module, by seat."""

    pages: list[tuple[str, AnyMessage]] = field(default_factory=list)
    answers: list[AnyMessage] = field(default_factory=list)
    """Go back to where the page came from."""
    exchange: list[tuple[str, str]] = field(default_factory=list)
    words: list[tuple[int, bytes]] = field(default_factory=list)
    hints: list[MemberConfigReport] = field(default_factory=list)

    def to(self, member: Member, page: AnyMessage) -> None:
        """Nowhere, where it is not known yet where the member is."""
        if member.facts is not None:
            self.pages.append((member.facts.place, page))


@dataclass(slots=True)
class IndirectProbe:
    """A probe made for another, under its number; `place`: where it waits."""

    number: int
    target: str
    at: float
    place: str
    denied: bool = False


class Membership:
    """`helps` is emptied by answers and by time, `talk` with the members; `back` holds places of those who
    are said to be back and were forgotten as dead, until they are asked themselves. `record`: dispatchers
    of the fleet as the settings have it; nothing that is heard changes it."""

    def __init__(
        self,
        name: str,
        birth: int,
        facts: MemberInfo,
        record: int,
        contacts: Iterable[str],
        seed: int,
        now: float,
        period_ms: float = PERIOD_MS,
        keep_ms: float = KEEP_MS,
    ) -> None:
        self.name, self.birth, self.record, self.seed = name, birth, record, seed
        self.begun = now
        self.contacts = [place for place in contacts if place != facts.place]
        me = MemberRecord(name, birth, 0, MemberState.ALIVE, facts)
        self.roll = MembershipTable(me, now, max(64, 4 * record), keep_ms)
        self.probing = FailureDetector(self.roll, seed, now, period_ms)
        self.news, self.exchanges, self.seen = GossipQueue(seed), ExchangeTrigger(), ReachabilityView()
        self.keepers = LoadAggregators([facts.seat])
        self.place = facts.place
        self.superseded = ""  # who else, born later, has this name: then this one is silent
        self.left = False
        self.yielded_to = ""
        self.side = PartitionState.MOST if record <= 1 else PartitionState.ALONE
        self.refuted = self.overheard = 0
        self.unread = False  # pages lie there that were not looked at
        self.short = False  # more comes than may be taken up: it says the least that keeps it known
        self.helps: dict[int, IndirectProbe] = {}
        self.talk: dict[str, tuple[float, int]] = {}
        self.back: dict[str, str] = {}
        self.strangers: dict[str, float] = {}  # who asked and is not known, since when; at most MOST_BACK
        self.config: ConfigAdvert | None = (
            None  # what it says of its configuration; None: it has no part in that
        )
        self.config_why = ""  # why it stays on that
        self._numbers = crc32(f"{seed}:{name}:{birth}".encode())
        self._seen_comings = -1
        self._contact_at = now
        self._forget_at = now + 1000.0
        self._contacted = 0
        self.news.add(name, now)

    # What others ask of it.

    @property
    def yields(self) -> bool:
        """Its seat is another's: it uses no part of cold nodes and limits."""
        return bool(self.superseded or self.yielded_to)

    @property
    def follows(self) -> PartitionRules:
        return TABLE[self.side]

    @property
    def silent(self) -> bool:
        return self.left or bool(self.superseded)

    def due(self) -> float:
        """When the next beat is wanted."""
        if self.silent:
            return 1e15
        at = min(self.probing.due(), self.news.push_at, self._contact_at, self._forget_at)
        return min([at, *(help_.at + DIRECT_MS for help_ in self.helps.values() if not help_.denied)])

    def whole(self) -> list[MemberRecord]:
        """Its whole roll, for an exchange."""
        return [member.claim() for member in self.roll]

    # What comes in.

    def hear(self, page: AnyMessage, place: str, now: float) -> Effects:
        """A datagram came, from this place."""
        mail = Effects()
        if self.silent or page.name == self.name:
            self.overheard += 1
            return mail
        speaker = self.roll.members.get(page.name)
        if speaker is not None and speaker.birth == page.birth:
            self.probing.spoke(speaker, now)
        else:
            self.probing.heard_at = now
        if isinstance(page, Probe | ProbeAck | IndirectProbeRequest | GossipPush):
            self._join(page.news, page.name, now)
        if isinstance(page, Probe):
            news = self._carry(page.name, page.birth)
            hint = self._hint()
            answer = ProbeAck(self.name, self.birth, page.number, self.roll.digest, news, [], hint)
            mail.answers.append(answer)
            self._hinted(page, page.config, False, mail)
            self._compare(page, place, now, mail)
            self._met(page, now)
        elif isinstance(page, ProbeAck):
            self._answered(page, place, now, mail)
        elif isinstance(page, IndirectProbeRequest):
            self._help(page, place, now, mail)
        elif isinstance(page, IndirectProbeResult):
            if not page.denied:
                self._lift(page.target, now)
                self.probing.answered(page.target, page.number, now, straight=False)
        elif isinstance(page, GossipPush):
            self._hinted(page, page.config, False, mail)
        elif isinstance(page, ConfigQuery):
            if self.config is not None:
                seat = self.roll.own.seat
                here = ConfigReply(self.name, self.birth, page.nonce, seat, self.config, self.config_why)
                mail.answers.append(here)
        elif isinstance(page, ConfigReply):
            self._hinted(page, page.config, True, mail, page.nonce, page.why)
        elif isinstance(page, SchedulerMessage):
            self._word(page, speaker, now, mail)
        self._look(now)
        return mail

    def exchanged(self, claims: list[MemberRecord], by: str, now: float) -> None:
        """A whole roll came by a stream. A newcomer keeps to itself what all others know."""
        newcomer = len(self.roll.others()) <= 1
        changed = self._join(claims, by, now)
        if newcomer:
            for name in changed:
                self.news.drop(name)
        self._look(now)

    def sent(self, node: int, how: str, now: float) -> None:
        """How a send of the module's ended at a node."""
        self.seen.sent(node, how, now)

    def tell(self, seat: int | None, payload: bytes) -> Effects:
        """A word of the module: to whoever holds the seat, or to all."""
        mail = Effects()
        own = self.roll.own
        if self.silent or own.seat < 0:
            return mail
        page = SchedulerMessage(self.name, self.birth, own.seat, payload)
        if seat is None:
            for one in self.roll.others():
                mail.to(one, page)
        else:
            found = seat_claims.holder(self.roll, seat)
            if found is not None and found.name != self.name:
                mail.to(found, page)
        return mail

    def which(self, name: str, nonce: int) -> Effects:
        """Ask a member which configuration it holds; nothing where it is not known where that one is."""
        mail = Effects()
        member = self.roll.members.get(name)
        if member is not None and not self.silent:
            mail.to(member, ConfigQuery(self.name, self.birth, nonce))
        return mail

    def hint(self, names: Iterable[str]) -> Effects:
        """Tell these which configuration this one holds."""
        mail = Effects()
        for name in names:
            member = self.roll.members.get(name)
            if member is not None and not self.silent:
                mail.to(member, GossipPush(self.name, self.birth, [], self._hint()))
        return mail

    def leave(self, now: float) -> Effects:
        """It goes by its own will: told to some, and what they do not hear is found out by probes."""
        mail = Effects()
        own = self.roll.own
        if self.silent:
            return mail
        claim = MemberRecord(self.name, self.birth, own.turn + 1, MemberState.LEFT, own.facts)
        others = self.probing.some([one.name for one in self.roll.others()], 3 * FAN)
        page = GossipPush(self.name, self.birth, [claim])
        for name in others:
            mail.to(self.roll.members[name], page)
        self.left = True
        return mail

    # Time.

    def beat(self, now: float) -> Effects:
        """What is due."""
        mail = Effects()
        if self.silent:
            return mail
        self.probing.short, self.probing.unread = self.short, self.unread
        does = self.probing.beat(now)
        for name in does.news:
            self.news.add(name, now)
        self._probe(does, mail, now)
        for help_ in self.helps.values():
            if not help_.denied and now >= help_.at + DIRECT_MS:
                help_.denied = True
                no = IndirectProbeResult(self.name, self.birth, help_.number, help_.target, True)
                mail.pages.append((help_.place, no))
        if load := self.news.push(self.roll, now):
            for name in self.probing.some([one.name for one in self.roll.others()], 1 if self.short else FAN):
                mail.to(self.roll.members[name], GossipPush(self.name, self.birth, load, self._hint()))
        if now >= self._contact_at:
            self._contact(mail, now)
        if now >= self._forget_at:
            self._forget(now)
        self._look(now)
        return mail

    # Its own.

    def _number(self) -> int:
        self._numbers = (self._numbers + 1) & 0x7FFFFFFF
        return self._numbers

    def _hint(self, bits: bool = False) -> ConfigAdvert | None:
        """Bits go along only where room is filled anyway; where there is no version yet, nothing does."""
        held = self.config
        if held is None or not held.stage:
            return None
        return held if bits else ConfigAdvert(held.stage, held.mark)

    def _hinted(
        self,
        page: AnyMessage,
        hint: ConfigAdvert | None,
        first: bool,
        mail: Effects,
        nonce: int = 0,
        why: str = "",
    ) -> None:
        """Of a living member alone, in the life that is known of it."""
        member = self.roll.members.get(page.name)
        if hint is None or member is None or not member.living or member.birth != page.birth:
            return
        mail.hints.append(MemberConfigReport(page.name, page.birth, member.seat, hint, first, nonce, why))

    def _carry(self, hearer: str, birth: int = -1) -> list[MemberRecord]:
        """News for a hearer: before all what is said against itself, so that it can speak for itself."""
        member = self.roll.members.get(hearer)
        if member is None and (claim := self.roll.forgotten(hearer, birth)) is not None:
            return [claim, *self.news.pick(self.roll)]
        against = [hearer] if member is not None and member.standing > MemberState.ALIVE else []
        return self.news.pick(self.roll, first=against)

    def _probe(self, does: ProbeEffects, mail: Effects, now: float) -> None:
        met = self.seen.digest(now) if does.probe else []
        for member, number in does.probe:
            if member.facts is not None:
                # Of many that may have died few would read news.
                news = self._carry(member.name) if len(does.probe) == 1 else []
                hint = self._hint(bits=True)
                page = Probe(self.name, self.birth, number, self.roll.digest, news, met, config=hint)
                mail.to(member, page)
        for helper, target, number in does.ask:
            if target.facts is not None:
                place = target.facts.place
                mail.to(
                    helper, IndirectProbeRequest(self.name, self.birth, number, target.claim(False), place)
                )

    def _contact(self, mail: Effects, now: float) -> None:
        """Contact points are probed without being known, often while nobody else is."""
        near = len(self.roll.others()) == 0
        chance = crc32(f"{self.seed}:contact:{self._contacted}".encode()) / 2.0**32
        self._contact_at = now + (CONTACT_MS if near else FAR_MS) * (0.75 + 0.5 * chance)
        known = {one.facts.place for one in self.roll.others() if one.facts is not None}
        strange = [place for place in self.contacts if place not in known]
        self._contacted += 1
        places = [strange[self._contacted % len(strange)]] if strange else []
        places += [place for place in self.back.values() if place not in places]
        self.back.clear()
        for place in places:
            page = Probe(self.name, self.birth, self._number(), self.roll.digest, [self.roll.own.claim()])
            mail.pages.append((place, page))

    def _join(self, claims: list[MemberRecord], by: str, now: float) -> list[str]:
        """Claims as one with the roll; gives what was news."""
        changed = []
        latest = self.birth + (now - self.begun) + SET_WRONG_MS
        for claim in claims:
            if not sound(claim) or claim.birth > latest:
                self.overheard += 1
            elif claim.name == self.name:
                self._of_itself(claim, now)
            else:
                news = self.roll.hear(claim, now, by)
                if not news and self.roll.asks_itself(claim) and len(self.back) < MOST_BACK and claim.facts:
                    self.back[claim.name] = claim.facts.place
                    self._contact_at = min(self._contact_at, now + AGAIN_MS)
                if (news or claim.by) and (self.probing.heard(claim, now) or news):
                    changed.append(claim.name)
                    self.news.add(claim.name, now)
        return changed

    def _of_itself(self, claim: MemberRecord, now: float) -> None:
        """What others say of this one. It alone lifts a suspicion of itself, by a higher turn."""
        own = self.roll.own
        if claim.birth > self.birth:
            if claim.facts is not None and claim.facts.place != self.place:
                self.superseded = f"{claim.name} at {claim.facts.place}, born later"
            elif claim.facts is not None:  # its own life before, by a clock that was set back since
                self.birth = claim.birth + 1
                self.roll.hear(
                    MemberRecord(self.name, self.birth, 0, MemberState.ALIVE, own.facts), now, self.name
                )
                self.news.add(self.name, now)
        elif claim.birth == self.birth and claim.standing > MemberState.ALIVE and claim.turn >= own.turn:
            self.refuted += 1
            if claim.standing == MemberState.SUSPECT:
                self.probing.accused_here()
            self.roll.raise_turn(claim.turn, now)
            self.news.add(self.name, now)
            self._contact_at = min(self._contact_at, now + AGAIN_MS)  # where it was told, it may be unknown

        elif claim.birth == self.birth and claim.standing > MemberState.ALIVE:
            self.news.add(self.name, now)  # it spoke against that already, and somebody has not heard it

    def _compare(self, page: Probe | ProbeAck, place: str, now: float, mail: Effects) -> None:
        member = self.roll.members.get(page.name)
        stranger = member is None or member.birth < page.birth or not member.living
        equal = page.digest == self.roll.digest
        # Who is asked by a stranger leaves it to that one; else the name that sorts first begins.
        begins = isinstance(page, ProbeAck) if stranger else self.name < page.name
        if not stranger:
            self.strangers.pop(page.name, None)
        elif not begins:  # unless it goes on asking: then it knows this one, and nobody would begin
            begins = now > self.strangers.setdefault(page.name, now) + STRANGE_MS
            if len(self.strangers) > MOST_BACK:
                del self.strangers[next(iter(self.strangers))]
        if stranger and begins and now >= self.exchanges.next_at:
            self.exchanges.next_at = now + 200.0
            mail.exchange.append((page.name, place))
        elif not stranger and self.exchanges.heard(equal, now) and member and member.facts:
            mail.exchange.append((page.name, member.facts.place))

    def _met(self, page: Probe | ProbeAck, now: float) -> None:
        member = self.roll.members.get(page.name)
        if page.met and member is not None and member.facts is not None:
            self.seen.hear(page.name, member.facts.zone, page.met, now)

    def _answered(self, page: ProbeAck, place: str, now: float, mail: Effects) -> None:
        help_ = self.helps.get(page.number)
        if help_ is not None and help_.target == page.name:  # numbers of one's own probes may meet those
            del self.helps[page.number]
            mail.pages.append(
                (help_.place, IndirectProbeResult(self.name, self.birth, help_.number, help_.target))
            )
        else:
            mine = self.probing.answered(page.name, page.number, now)
            self._hinted(page, page.config, mine, mail)
        self._compare(page, place, now, mail)
        self._met(page, now)

    def _help(self, ask: IndirectProbeRequest, place: str, now: float, mail: Effects) -> None:
        """Probe for another. The place is what the asker says: its claim is not taken for more than that."""
        if len(self.helps) >= MOST_HELP or ask.target.name == self.name:
            return
        number = self._number()
        self.helps[number] = IndirectProbe(ask.number, ask.target.name, now, place)
        known = self.roll.members.get(ask.target.name)
        at = known.facts.place if known is not None and known.facts is not None else ask.place
        news = [ask.target] if ask.target.standing > MemberState.ALIVE else []
        mail.pages.append((at, Probe(self.name, self.birth, number, self.roll.digest, news)))

    def _lift(self, name: str, now: float) -> None:
        """Another heard the member itself."""
        member = self.roll.members.get(name)
        if member is not None:
            member.heard = max(member.heard, now - DIRECT_MS)

    def _word(self, page: SchedulerMessage, speaker: Member | None, now: float, mail: Effects) -> None:
        """Only whoever holds the seat speaks for it, and not without end."""
        if speaker is None or not speaker.living or speaker.birth != page.birth or page.seat < 0:
            self.overheard += 1
            return
        if seat_claims.holder(self.roll, page.seat) is not speaker:
            self.overheard += 1
            return
        second, count = self.talk.get(page.name, (0.0, 0))
        second, count = (second, count + 1) if now < second + 1000.0 else (now, 1)
        self.talk[page.name] = (second, count)
        if count <= WORDS_A_S:
            mail.words.append((page.seat, page.payload))
        else:
            self.overheard += 1

    def _forget(self, now: float) -> None:
        self._forget_at = now + 1000.0
        self.roll.forget(now)
        lives = self.roll.lives
        self.seen.forget(lives, now)
        self.talk = {name: one for name, one in self.talk.items() if lives(name)}
        self.helps = {number: one for number, one in self.helps.items() if now < one.at + HELP_MS}

    def _look(self, now: float) -> None:
        """What follows from all that is known now."""
        others = self.roll.others()
        heard_ago = now - self.probing.heard_at if others else ALONE_MS
        self.side = side(self.record, len(others) + 1, heard_ago, self.probing.doubt)
        self.probing.accuses = self.side is not PartitionState.OVERLOADED
        if self._seen_comings == self.roll.comings or self.silent:
            return
        self._seen_comings = self.roll.comings
        if not self.yielded_to and (to := seat_claims.yields(self.roll)):
            self.yielded_to = to
            self.roll.raise_turn(self.roll.own.turn, now, seat=-1)
            self.news.add(self.name, now)
        self.keepers.living((one.seat for one in self.roll if one.living and one.seat >= 0), now)

"""Which member is probed when, which is suspect, and which has failed.

After SWIM (Das, Gupta, Motivala 2002): each period one member is probed, all in a shuffled order before any
again. One that does not answer is probed through helpers, and only then suspected; a suspicion that nobody
refutes ends in a failure. With the extensions of Lifeguard (Dadgar, Phillips, Currey 2017): self-doubt that
stretches all timeouts, helpers that report when they got no answer either, suspicion that shortens as others
come to it by their own probes, and a notice to the suspect itself in each datagram it gets.

Differences from the papers:

* The load of a period is one probe whatever the fleet's size. The shortest suspicion outlasts a stall of
  `STALL_MS`, which must not end in a failure, so it does not grow with the fleet.
* A lost probe is repeated before anybody learns of it: lost datagrams alone would keep a large fleet busy
  with suspicions, in a thousand members at 5% of loss more than one a second.
* A record that lifts a suspicion is pushed rather than left to the next probe (`gossip.py`).
* Timeouts follow the latency of recent acks, those after their period too. On a machine whose processes
  starve all acks are late; with fixed timeouts members accuse each other there and add to the load.

Free of I/O, clock and chance: what varies comes from a seed and a counter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp2, log
from typing import NamedTuple
from zlib import crc32

from cherrygrade.fleet.membership.table import Member, MemberRecord, MembershipTable, MemberState

PERIOD_MS = 400.0
"""Between the starts of two probe periods."""

DIRECT_TIMEOUT_MS = 150.0
"""For the member's own ack, before helpers are asked."""

HELPERS = 3
"""Members that are asked to probe one that did not answer."""

MAX_LATENCY_MS = 800.0
"""Bound of the ack latency that timeouts follow; with more a failure would be known too late."""

LATENCY_HALF_LIFE_MS = 1500.0
"""In which the weight of the longest recent ack latency halves."""

MAX_LATE_PROBES = 32
"""Probes of past periods that are remembered: their late acks still tell the latency."""

GRACE_AFTER_START_MS = 3000.0
"""A detector that began more recently does not know the latency yet, and accuses nobody."""

STALL_MS = 2000.0
"""A member that stands still for this long must not be declared failed."""

MIN_SUSPICION_MS = 1900.0
"""From suspicion to failure where enough others confirm it."""

MAX_SUSPICION_MS = 3600.0
"""From suspicion to failure where nobody confirms it."""

SUSPICION_SPREAD_MS = 600.0
"""Over which the members end one suspicion: the first of them probes again and tells the others."""

FINAL_PROBE_TIMEOUT_MS = 200.0
"""For the ack of a final probe."""

FINAL_PROBE_TIMEOUT_OF_MANY_MS = 350.0
"""The same where many are suspect: it may be the machine, and all acks are late."""

FINAL_PROBES = 2
"""Final probes of a suspect before it is declared failed: one datagram alone may be lost."""

CONFIRMATIONS = 2
"""Other members whose suspicion shortens it to the minimum."""

MAX_SELF_DOUBT = 8
"""At which timeouts are doubled."""

STALLED_TICK_MS = 300.0
"""A tick that is late by more shows that this process stood still."""

MAX_DEFERRAL_MS = 2000.0
"""How long unread messages put off judgement at most."""

UNREAD_RECHECK_MS = 20.0
"""Until the next tick while messages are unread."""

MAX_SUSPECTS_FOR_HELP = 8
"""With more suspects than this, final probes go without helpers."""

MANY_SUSPECTS = 3
"""From this many suspects on, many members may have died at once."""

PROBES_OF_MANY = 5
"""Probes of a period while many are suspect."""

DEAD_PROBE_MS = 2000.0
"""Between two probes of failed members, which may only have been cut off."""

NEVER_MS = 1e15


@dataclass(slots=True)
class OutstandingProbe:
    """A probe of this period whose ack has not come.

    Attributes:
        name: The probed member.
        incarnation: Its incarnation when it was probed.
        number: The number that its ack repeats.
        at: When it was sent, ms.
        timeout_ms: For the member's own ack; helpers are asked then.
        repeated: The probe before it was lost, so that another loss is an accusation.
        help_requested: Helpers were asked.
    """

    name: str
    incarnation: int
    number: int
    at: float
    timeout_ms: float
    repeated: bool = False
    help_requested: bool = False


class ProbeRequest(NamedTuple):
    """A member to probe, and the probe's number."""

    member: Member
    number: int


class IndirectProbe(NamedTuple):
    """A helper to ask for a probe of `target`, and the number of the probe that was not answered."""

    helper: Member
    target: Member
    number: int


class LateProbe(NamedTuple):
    """A probe of a past period: whom it went to, and when, ms."""

    name: str
    at: float


@dataclass(slots=True)
class ProbeEffects:
    """What a tick of the detector asks for; the caller carries out `probes` before `indirect`.

    Attributes:
        probes: Members to probe.
        indirect: Helpers to ask.
        changed: Names of members whose record changed, to be gossiped before anything is sent.
    """

    probes: list[ProbeRequest] = field(default_factory=list)
    indirect: list[IndirectProbe] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)


class FailureDetector:
    """Probes members in turn and declares failed those that answer nobody.

    Attributes:
        table: The members; the detector merges its suspicions and failures into it.
        seed: Of all that varies.
        period_ms: Length of a period at rest.
        self_doubt: 0 to `MAX_SELF_DOUBT`; raised by signs that this process is slow, lowered by acks.
        may_accuse: Whether it may suspect others; the caller sets it unless it is overloaded.
        has_unread: Messages wait that were not processed, acks perhaps among them; set by the caller.
        over_budget: More came than may be processed: it probes, and leaves helpers, hurry and failures to
            others; set by the caller.
        begun: When it began, ms.
        round_order: Members still to be probed in this round, the next one last.
        outstanding: Probes of this period without an ack.
        late_probes: Probes of past periods by number; at most `MAX_LATE_PROBES`, the oldest go.
        lost_probes: Members whose last probe was lost once, to be probed again first.
        suspicion_end_ms: When each suspect's suspicion runs out, ms; entries go with the suspicion.
        final_probes: Final probes sent to each suspect; entries go with the suspicion.
        accused_here: Members that this detector suspected first; entries go with the suspicion.
        accusations: Suspicions that began here.
        deaths: Members that were declared failed here.
        stalls: Beats that came too late.
        period_ends_at: When the period ends, ms.
        next_dead_probe_at: When a failed member is probed next, ms.
        last_received_ms: When a message of any member last came, ms.
        expected_tick_ms: When the last tick asked for the next, ms.
    """

    def __init__(self, table: MembershipTable, seed: int, now: float, period_ms: float = PERIOD_MS) -> None:
        self.table = table
        self.seed = seed
        self.period_ms = period_ms
        self.self_doubt = 0
        self.may_accuse = True
        self.has_unread = False
        self.over_budget = False
        self.started_ms = now
        self.round_order: list[str] = []
        self.outstanding: list[OutstandingProbe] = []
        self.late_probes: dict[int, LateProbe] = {}
        self.lost_probes: list[str] = []
        self.suspicion_end_ms: dict[str, float] = {}
        self.final_probes: dict[str, int] = {}
        self.accused_here: set[str] = set()
        self.accusations = 0
        self.deaths = 0
        self.stalls = 0
        self._max_latency_ms = 0.0
        self._max_latency_at = now
        self._counter = 0  # of random draws and probe numbers alike
        self.period_ends_at = now + self._random() * period_ms
        self.next_dead_probe_at = now + DEAD_PROBE_MS
        self.last_received_ms = now
        self.expected_tick_ms = now

    def shuffle(self, names: list[str]) -> list[str]:
        """The names in an order of this member's own, another one on each call."""
        self._counter += 1
        return sorted(names, key=lambda name: crc32(f"{self.seed}:{self._counter}:{name}".encode()))

    def sample(self, names: list[str], max_count: int) -> list[str]:
        """At most so many of the names, by chance, each once."""
        if len(names) <= max_count:
            return names
        found: dict[str, None] = {}
        while len(found) < max_count:
            found[names[int(self._random() * len(names))]] = None
        return [*found]

    def next_tick_ms(self) -> float:
        """When the next tick is due, ms."""
        if self.has_unread:
            return self.expected_tick_ms
        at = min([self.period_ends_at, self.next_dead_probe_at, *self.suspicion_end_ms.values()])
        timeouts = [probe.at + probe.timeout_ms for probe in self.outstanding if not probe.help_requested]
        return min(at, timeouts[0]) if timeouts else at

    def stretched_by_doubt(self, ms: float) -> float:
        """A timeout as self-doubt stretches it, up to twice its length."""
        return ms * (1.0 + self.self_doubt / MAX_SELF_DOUBT)

    def direct_timeout_ms(self, now: float) -> float:
        """How long a member's own ack is waited for."""
        return max(self.stretched_by_doubt(DIRECT_TIMEOUT_MS), 2.0 * self.recent_latency_ms(now))

    def recent_latency_ms(self, now: float) -> float:
        """The longest that acks took recently."""
        faded = self._max_latency_ms * exp2((self._max_latency_at - now) / LATENCY_HALF_LIFE_MS)
        return min(MAX_LATENCY_MS, faded)

    def suspicion_timeout_ms(self, witnesses: int) -> float:
        """How long a suspect has to refute, by how many came to the suspicion themselves (Lifeguard)."""
        others = min(CONFIRMATIONS, max(0, len(self.table.others()) - 1))
        confirmed = log(max(1, witnesses)) / log(others + 1) if others else 1.0
        shortened = MAX_SUSPICION_MS - (MAX_SUSPICION_MS - MIN_SUSPICION_MS) * min(1.0, confirmed)
        return max(MIN_SUSPICION_MS, shortened)

    def message_received(self, member: Member, now: float) -> None:
        """Any message came from the member itself."""
        member.last_received_ms = now
        self.last_received_ms = now

    def ack_received(self, name: str, number: int, now: float, direct: bool = True) -> bool:
        """The ack of a probe came.

        Args:
            name: The probed member.
            number: The probe's number.
            now: The time, ms.
            direct: From the member itself; else through a helper.

        Returns:
            Whether this detector had sent that probe.
        """
        for probe in self.outstanding:
            if (probe.number, probe.name) == (number, name):
                self.outstanding.remove(probe)
                self.self_doubt = max(0, self.self_doubt - 1)
                if direct:
                    self._record_latency(now - probe.at, now)
                return True
        late = self.late_probes.get(number)
        if direct and late is not None and late.name == name:
            del self.late_probes[number]
            self._record_latency(now - late.at, now)
            return True
        return False

    def accusation_received(self) -> None:
        """Somebody suspected this member: it must have been slow."""
        self._doubt_self(1)

    def record_merged(self, record: MemberRecord, now: float) -> bool:
        """A record was merged into the table: begins, shortens or ends the suspicion of its member.

        Returns:
            Whether it brought another witness, which is worth gossiping.
        """
        member = self.table.members.get(record.name)
        if member is None or member.name == self.table.me:
            return False
        if member.state is not MemberState.SUSPECT:
            self._end_suspicion(member)
            return False
        new_witness = _is_new_witness(record, member)
        if new_witness:
            member.witnesses += (record.accuser,)
        # Not all members at once: the first one to end it probes, and tells the others what came of it.
        part = crc32(f"{self.seed}:{record.name}:{record.refutations}".encode()) / 2.0**32
        ends = (
            member.state_since_ms
            + self.suspicion_timeout_ms(len(member.witnesses))
            + SUSPICION_SPREAD_MS * part
            + self._latency_allowance_ms(now)
        )
        self.suspicion_end_ms[member.name] = min(self.suspicion_end_ms.get(member.name, NEVER_MS), ends)
        return new_witness

    def tick(self, now: float) -> ProbeEffects:
        """Do all that is due."""
        effects = ProbeEffects()
        if now - self.expected_tick_ms > STALLED_TICK_MS:
            self._recover_from_stall(now - self.expected_tick_ms, now)
        for probe in self.outstanding:
            if not probe.help_requested and now >= probe.at + probe.timeout_ms:
                self._request_help(probe, effects)
        if self.has_unread and now < self.period_ends_at + MAX_DEFERRAL_MS:
            self.expected_tick_ms = now + UNREAD_RECHECK_MS
            return effects
        if now >= self.period_ends_at:
            self._end_period(now, effects)
            self._begin_period(now, effects)
        if now >= self.next_dead_probe_at:
            self._probe_dead(now, effects)
        self._declare_failures(now, effects)
        self.expected_tick_ms = max(now, self.next_tick_ms())
        return effects

    def _random(self) -> float:
        self._counter += 1
        return crc32(f"{self.seed}:{self._counter}".encode()) / 2.0**32

    def _next_number(self) -> int:
        self._counter += 1
        return self._counter

    def _doubt_self(self, more: int) -> None:
        self.self_doubt = min(MAX_SELF_DOUBT, self.self_doubt + more)

    def _record_latency(self, ms: float, now: float) -> None:
        if ms >= self.recent_latency_ms(now):
            self._max_latency_ms = ms
            self._max_latency_at = now

    def _latency_allowance_ms(self, now: float) -> float:
        """What a suspect gets beyond its timeout where acks are slow.

        Its refutation has to reach all through processes as late as itself, four hops there and back.
        """
        latency_ms = self.recent_latency_ms(now)
        return 8.0 * latency_ms if latency_ms > DIRECT_TIMEOUT_MS else 0.0

    def _end_suspicion(self, member: Member) -> None:
        self.suspicion_end_ms.pop(member.name, None)
        # The next suspicion has final probes of its own.
        self.final_probes.pop(member.name, None)
        if member.name in self.accused_here:
            self.accused_here.discard(member.name)
            if member.living:
                # The accusation was hasty, or the network is slow for all.
                self._doubt_self(1)

    def _recover_from_stall(self, late_ms: float, now: float) -> None:
        """This process did not run for a while.

        What it waited for may be unread, so it accuses nobody of silence, and suspects get the time again.
        """
        self.stalls += 1
        self._doubt_self(1 + int(late_ms > STALL_MS / 2.0))
        self.last_received_ms = now
        self.outstanding.clear()
        self.lost_probes.clear()
        earliest = now + min(late_ms, STALL_MS)
        self.suspicion_end_ms = {name: max(at, earliest) for name, at in self.suspicion_end_ms.items()}

    def _request_help(self, probe: OutstandingProbe, effects: ProbeEffects) -> None:
        probe.help_requested = True
        if self.over_budget:
            return
        target = self.table.members.get(probe.name)
        alive = [member.name for member in self.table.others() if member.state is MemberState.ALIVE]
        if target is None:
            return
        # Of many that may have died, most have: one helper for each is enough.
        max_helpers = HELPERS if len(self.suspicion_end_ms) < MANY_SUSPECTS else 1
        for name in self.sample([name for name in alive if name != probe.name], max_helpers):
            effects.indirect.append(IndirectProbe(self.table.members[name], target, probe.number))

    def _end_period(self, now: float, effects: ProbeEffects) -> None:
        """Accuse the members whose probe was not answered.

        Unless no message of anybody came meanwhile: then it may be this member that receives nothing, and
        it waits for longer.
        """
        unanswered, self.outstanding = self.outstanding, []
        for probe in unanswered:
            self.late_probes[probe.number] = LateProbe(probe.name, probe.at)
        while len(self.late_probes) > MAX_LATE_PROBES:
            del self.late_probes[next(iter(self.late_probes))]
        if unanswered and self.last_received_ms < unanswered[0].at:
            self._doubt_self(1)
            if now - self.last_received_ms < MAX_SUSPICION_MS:
                return
        for probe in unanswered:
            self._accuse(probe, now, effects)

    def _accuse(self, probe: OutstandingProbe, now: float, effects: ProbeEffects) -> None:
        """Suspect a member, or probe it again where this was its first lost probe."""
        member = self.table.members.get(probe.name)
        if member is None or member.incarnation != probe.incarnation:
            return
        if member.last_received_ms >= probe.at or not self.may_accuse:
            return
        if now < self.started_ms + GRACE_AFTER_START_MS:
            return
        if member.state is MemberState.ALIVE and not probe.repeated:
            self.lost_probes.append(member.name)
            return
        if member.living and self.table.me not in member.witnesses:
            self._suspect(member, now, effects)

    def _suspect(self, member: Member, now: float, effects: ProbeEffects) -> None:
        me = self.table.me
        if member.state is MemberState.ALIVE:
            self.accusations += 1
            self.accused_here.add(member.name)
        record = MemberRecord(
            member.name, member.incarnation, member.refutations, MemberState.SUSPECT, accuser=me
        )
        self.table.merge(record, now, me)
        self.record_merged(record, now)
        effects.changed.append(member.name)

    def _begin_period(self, now: float, effects: ProbeEffects) -> None:
        # A slow ack has its time, and one through a helper after it.
        period_ms = max(self.stretched_by_doubt(self.period_ms), 2.5 * self.direct_timeout_ms(now))
        self.period_ends_at = max(self.period_ends_at + period_ms, now + self.period_ms / 4.0)
        many = len(self.suspicion_end_ms) >= MANY_SUSPECTS
        hurry = many and not (self.self_doubt or self.over_budget)
        left = PROBES_OF_MANY if hurry else 1
        members = self.table.members
        lost, self.lost_probes = self.lost_probes, []
        while (lost or self.round_order) and left:
            repeated = bool(lost)
            member = members.get(lost.pop() if repeated else self.round_order.pop())
            if member is not None and member.living and member.info and member.name != self.table.me:
                self._probe(member, now, effects, repeated)
                left -= 1
        if left and not self.round_order:
            self.round_order = self.shuffle([member.name for member in self.table.others()])
            if self.round_order and not self.outstanding:
                self._probe(members[self.round_order.pop()], now, effects)

    def _probe(self, member: Member, now: float, effects: ProbeEffects, repeated: bool = False) -> None:
        probe = self._new_probe(member, now)
        probe.repeated = repeated
        self.outstanding.append(probe)
        effects.probes.append(ProbeRequest(member, probe.number))

    def _new_probe(self, member: Member, now: float) -> OutstandingProbe:
        number = self._next_number()
        return OutstandingProbe(member.name, member.incarnation, number, now, self.direct_timeout_ms(now))

    def _probe_dead(self, now: float, effects: ProbeEffects) -> None:
        """Probe one of the failed members: it may only have been cut off."""
        self.next_dead_probe_at = now + DEAD_PROBE_MS * (0.75 + 0.5 * self._random())
        failed = [
            member.name for member in self.table.dead() if member.state is MemberState.FAILED and member.info
        ]
        if failed:
            self._next_number()
            name = self.sample(failed, 1)[0]
            effects.probes.append(ProbeRequest(self.table.members[name], self._counter))

    def _declare_failures(self, now: float, effects: ProbeEffects) -> None:
        """Declare failed the suspects whose time ran out and whose final probes were not answered."""
        for name in [name for name, at in self.suspicion_end_ms.items() if at <= now]:
            self._end_of_suspicion(name, now, effects)

    def _end_of_suspicion(self, name: str, now: float, effects: ProbeEffects) -> None:
        member = self.table.members.get(name)
        if member is not None:
            # Acks may have become slow since the suspicion began: then it lasts longer.
            earliest = member.state_since_ms + MIN_SUSPICION_MS + self._latency_allowance_ms(now)
            if now < earliest:
                self.suspicion_end_ms[name] = earliest
                return
        del self.suspicion_end_ms[name]
        if self._send_final_probe(name, now, effects):
            return
        self.accused_here.discard(name)
        if member is None or member.state is not MemberState.SUSPECT:
            return
        # It sent a message since, and its refutation is on its way; or this dispatcher is late itself, and
        # leaves the decision to others.
        if member.last_received_ms > member.state_since_ms or not self.may_accuse or self.over_budget:
            self.suspicion_end_ms[name] = now + MIN_SUSPICION_MS
            return
        self.deaths += 1
        record = MemberRecord(name, member.incarnation, member.refutations, MemberState.FAILED)
        self.table.merge(record, now, self.table.me)
        effects.changed.append(name)

    def _send_final_probe(self, name: str, now: float, effects: ProbeEffects) -> bool:
        """Probe a suspect once more, directly and through helpers, before it is declared failed.

        Its refutation may have reached all but this member.

        Returns:
            Whether a final probe is out now; False once all of them were sent.
        """
        member = self.table.members.get(name)
        sent = self.final_probes.get(name, 0)
        if sent >= FINAL_PROBES or member is None or member.state is not MemberState.SUSPECT:
            self.final_probes.pop(name, None)
            return False
        self.final_probes[name] = sent + 1
        many = len(self.suspicion_end_ms) >= MANY_SUSPECTS
        timeout_ms = FINAL_PROBE_TIMEOUT_OF_MANY_MS if many else FINAL_PROBE_TIMEOUT_MS
        self.suspicion_end_ms[name] = now + max(timeout_ms, 2.0 * self.recent_latency_ms(now))
        probe = self._new_probe(member, now)
        effects.probes.append(ProbeRequest(member, probe.number))
        if len(self.suspicion_end_ms) <= MAX_SUSPECTS_FOR_HELP:
            self._request_help(probe, effects)
        return True


def _is_new_witness(record: MemberRecord, member: Member) -> bool:
    """Whether a record names one more member that came to a suspicion by its own probes."""
    if not record.accuser or record.accuser in member.witnesses or len(member.witnesses) > CONFIRMATIONS:
        return False
    current = (member.incarnation, member.refutations, MemberState.SUSPECT)
    return (record.incarnation, record.refutations, record.state) == current

"""Decides which member is probed when, which member is suspect, and which has failed.

The protocol is SWIM (Das, Gupta, Motivala 2002): in each period one member is probed, and all members are
probed in a shuffled order before any is probed again. A member that does not answer is probed through helpers
and only then suspected. A suspicion that nobody refutes ends with the member being declared failed. The
extensions of Lifeguard (Dadgar, Phillips, Currey 2017) are used too: self-doubt, which lengthens all timeouts
of a member that seems to be slow itself; helpers that report when they got no ack either; a suspicion timeout
that shortens as other members come to suspect the same member by their own probes; and a notice of the
suspicion in each datagram sent to the suspect.

Differences from the papers:

* A period costs one probe, whatever the size of the fleet. The shortest suspicion timeout is longer than a
  stall of `TOLERATED_STALL_MS`, which must not end in a failure, so it does not grow with the fleet.
* A lost probe is repeated before any other member is informed of it. Otherwise lost datagrams alone would
  keep a large fleet busy with suspicions: more than one a second in a fleet of a thousand members at 5% loss.
* A record that ends a suspicion is pushed soon, without waiting for the next probe (`gossip.py`).
* Timeouts follow the latency of recent acks, including acks that arrive after their period. On a machine
  whose processes get too little CPU time all acks are late; with fixed timeouts the members there would
  accuse each other and add to the load.

The module does no I/O and reads no clock; random choices derive from a seed and a counter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp2, log
from typing import NamedTuple
from zlib import crc32

from cherrygrade.fleet.membership.table import Member, MemberRecord, MembershipTable, MemberState

PROBE_PERIOD_MS = 400.0
"""Time between the starts of two probe periods."""

DIRECT_TIMEOUT_MS = 150.0
"""How long the member's own ack is awaited before helpers are asked."""

MAX_HELPERS = 3
"""Members that are asked to probe one member that did not answer."""

MAX_LATENCY_MS = 800.0
"""Limit of the ack latency that timeouts follow; with a higher one, failures would be detected too late."""

LATENCY_HALF_LIFE_MS = 1500.0
"""Time in which the weight of the longest recent ack latency halves."""

MAX_LATE_PROBES = 32
"""Probes of past periods that are remembered, because their late acks still show the latency."""

GRACE_AFTER_START_MS = 3000.0
"""A detector that started more recently does not know the ack latency yet and accuses nobody."""

TOLERATED_STALL_MS = 2000.0
"""A member that does not run for this long must not be declared failed."""

MIN_SUSPICION_MS = 1900.0
"""Time from suspicion to failure where enough other members confirm the suspicion."""

MAX_SUSPICION_MS = 3600.0
"""Time from suspicion to failure where no other member confirms the suspicion."""

SUSPICION_JITTER_MS = 600.0
"""Time over which the members spread the end of one suspicion: the first of them probes the suspect again
and informs the others."""

FINAL_PROBE_TIMEOUT_MS = 200.0
"""How long the ack of a final probe is awaited."""

FINAL_PROBE_TIMEOUT_MANY_SUSPECTS_MS = 350.0
"""The same while many members are suspect: the machine may be overloaded, so that all acks are late."""

FINAL_PROBES = 2
"""Final probes of a suspect before it is declared failed, because a single datagram may be lost."""

MAX_CONFIRMATIONS = 2
"""Other members whose suspicion shortens the suspicion timeout to its minimum."""

MAX_SELF_DOUBT = 8
"""Self-doubt at which timeouts are doubled."""

MAX_TICK_DELAY_MS = 300.0
"""A tick that is later than this shows that this process did not run for a while."""

MAX_DEFERRAL_MS = 2000.0
"""How long unread messages can postpone the end of a period, and with it accusations and failures."""

UNREAD_RECHECK_MS = 20.0
"""Time until the next tick while messages are unread."""

MAX_SUSPECTS_FOR_HELP = 8
"""With more suspects than this, final probes are sent without asking helpers."""

MANY_SUSPECTS = 3
"""From this many suspects on, many members may have died at once."""

PROBES_PER_PERIOD_MANY_SUSPECTS = 5
"""Probes of one period while many members are suspect."""

DEAD_PROBE_INTERVAL_MS = 2000.0
"""Average time between two probes of failed members, which may only have been cut off."""

NEVER_MS = 1e15
"""A time that is never reached."""


@dataclass(slots=True)
class OutstandingProbe:
    """A probe of the current period whose ack has not arrived.

    Attributes:
        name: Name of the probed member.
        incarnation: The member's incarnation when it was probed.
        number: The probe's number, which the ack repeats.
        sent_ms: When the probe was sent, ms.
        timeout_ms: How long the member's own ack is awaited before helpers are asked.
        repeated: Whether the member's previous probe was lost, so that the loss of this one leads to an
            accusation.
        help_requested: Whether the timeout has passed and helpers were asked.
    """

    name: str
    incarnation: int
    number: int
    sent_ms: float
    timeout_ms: float
    repeated: bool = False
    help_requested: bool = False


class ProbeRequest(NamedTuple):
    """A member to probe, and the number of the probe."""

    member: Member
    number: int


class IndirectProbe(NamedTuple):
    """A helper to ask for a probe of `target`, and the number of the probe that was not answered."""

    helper: Member
    target: Member
    number: int


class LateProbe(NamedTuple):
    """A probe of a past period: the name of the probed member, and when the probe was sent, ms."""

    name: str
    sent_ms: float


@dataclass(slots=True)
class ProbeEffects:
    """Actions that a tick of the detector requests; the caller carries out `probes` before `indirect`.

    Attributes:
        probes: Members to probe.
        indirect: Helpers to ask.
        changed: Names of members whose record changed, to be gossiped before anything is sent.
    """

    probes: list[ProbeRequest] = field(default_factory=list)
    indirect: list[IndirectProbe] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)


class FailureDetector:
    """Probes the members in turn and declares failed those that answer no member.

    Attributes:
        table: The members; the detector merges its suspicions and failures into it.
        seed: Seed of all random choices.
        period_ms: Length of a period while self-doubt and ack latency are low, ms.
        self_doubt: Evidence that this process itself is slow, 0 to `MAX_SELF_DOUBT`. Acks lower it. It is
            raised by stalls, by the silence of all members, by accusations of this member, and by
            accusations by this member that are refuted.
        may_accuse: Whether the detector may suspect other members; the caller clears it while this
            dispatcher is overloaded.
        has_unread: Whether messages wait that were not processed, which may contain acks; set by the caller.
        over_budget: Whether more messages arrive than may be processed. The detector then only probes, and
            leaves asking helpers, extra probes and declaring failures to other members; set by the caller.
        started_ms: When the detector started, ms.
        round_order: Names of members that are still to be probed before all are shuffled again; the last one
            is probed next.
        outstanding: Probes of the current period without an ack.
        late_probes: Probes of past periods by number, at most `MAX_LATE_PROBES`; the oldest are dropped.
        lost_probes: Names of members whose last probe was lost once, to be probed again first.
        suspicion_end_ms: When the suspicion of each suspect ends, ms, by name; an entry is removed with the
            suspicion.
        final_probes: Number of final probes sent to each suspect; an entry is removed with the suspicion.
        accused_here: Members that this detector suspected first; an entry is removed with the suspicion.
        accusations: Suspicions that this detector began, in total.
        deaths: Members that this detector declared failed, in total.
        stalls: Ticks that were later than `MAX_TICK_DELAY_MS`, in total.
        period_end_ms: When the current period ends, ms.
        next_dead_probe_ms: When a failed member is probed next, ms.
        last_received_ms: When a message of any member was last received, ms.
        expected_tick_ms: When the last tick scheduled the next one, ms.
    """

    def __init__(
        self, table: MembershipTable, seed: int, now: float, period_ms: float = PROBE_PERIOD_MS
    ) -> None:
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
        self._max_latency_seen_ms = now  # when `_max_latency_ms` was measured
        self._counter = 0  # advances with each random number and each probe
        self.period_end_ms = now + self._random() * period_ms
        self.next_dead_probe_ms = now + DEAD_PROBE_INTERVAL_MS
        self.last_received_ms = now
        self.expected_tick_ms = now

    def shuffle(self, names: list[str]) -> list[str]:
        """Return the names in an order that differs by member and by call."""
        self._counter += 1
        return sorted(names, key=lambda name: crc32(f"{self.seed}:{self._counter}:{name}".encode()))

    def sample(self, names: list[str], max_count: int) -> list[str]:
        """Return up to `max_count` of the names, chosen at random without repetition."""
        if len(names) <= max_count:
            return names
        chosen: dict[str, None] = {}
        while len(chosen) < max_count:
            chosen[names[int(self._random() * len(names))]] = None
        return [*chosen]

    def next_tick_ms(self) -> float:
        """Return the time at which `tick` has to be called next, ms."""
        if self.has_unread:
            return self.expected_tick_ms
        next_ms = min([self.period_end_ms, self.next_dead_probe_ms, *self.suspicion_end_ms.values()])
        timeouts = [
            probe.sent_ms + probe.timeout_ms for probe in self.outstanding if not probe.help_requested
        ]
        return min(next_ms, timeouts[0]) if timeouts else next_ms

    def stretched_by_doubt(self, duration_ms: float) -> float:
        """Return a timeout lengthened in proportion to self-doubt, up to twice its length, ms."""
        return duration_ms * (1.0 + self.self_doubt / MAX_SELF_DOUBT)

    def direct_timeout_ms(self, now: float) -> float:
        """Return how long a member's own ack is awaited before helpers are asked, ms."""
        return max(self.stretched_by_doubt(DIRECT_TIMEOUT_MS), 2.0 * self.recent_latency_ms(now))

    def recent_latency_ms(self, now: float) -> float:
        """Return the longest recent ack latency, decayed by its age, at most `MAX_LATENCY_MS`."""
        decayed_ms = self._max_latency_ms * exp2((self._max_latency_seen_ms - now) / LATENCY_HALF_LIFE_MS)
        return min(MAX_LATENCY_MS, decayed_ms)

    def suspicion_timeout_ms(self, witnesses: int) -> float:
        """Return how long a suspect has to refute the suspicion, ms (Lifeguard).

        Args:
            witnesses: How many members suspect it by their own probes; the more, the shorter the timeout.
        """
        max_others = min(MAX_CONFIRMATIONS, max(0, len(self.table.others()) - 1))
        confirmed_part = log(max(1, witnesses)) / log(max_others + 1) if max_others else 1.0
        timeout_ms = MAX_SUSPICION_MS - (MAX_SUSPICION_MS - MIN_SUSPICION_MS) * min(1.0, confirmed_part)
        return max(MIN_SUSPICION_MS, timeout_ms)

    def message_received(self, member: Member, now: float) -> None:
        """Record that a message arrived from the member itself."""
        member.last_received_ms = now
        self.last_received_ms = now

    def ack_received(self, name: str, number: int, now: float, direct: bool = True) -> bool:
        """Match an ack to the probe that it answers, and measure the latency of a direct one.

        Args:
            name: Name of the probed member.
            number: Number of the probe.
            now: The current time, ms.
            direct: Whether the ack came from the member itself; False where a helper relayed it.

        Returns:
            Whether this detector had sent that probe.
        """
        for probe in self.outstanding:
            if (probe.number, probe.name) == (number, name):
                self.outstanding.remove(probe)
                self.self_doubt = max(0, self.self_doubt - 1)
                if direct:
                    self._record_latency(now - probe.sent_ms, now)
                return True
        late = self.late_probes.get(number)
        if direct and late is not None and late.name == name:
            del self.late_probes[number]
            self._record_latency(now - late.sent_ms, now)
            return True
        return False

    def accusation_received(self) -> None:
        """Raise self-doubt: another member suspected this one, so this one must have been slow."""
        self._doubt_self(1)

    def record_merged(self, record: MemberRecord, now: float) -> bool:
        """Begin, shorten or end the suspicion of a member whose record was merged into the table.

        Returns:
            Whether the record names another witness of the suspicion, which is worth gossiping.
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
        # The members end a suspicion at different times: the first one sends the final probes and informs the
        # others of their result.
        jitter_part = crc32(f"{self.seed}:{record.name}:{record.refutations}".encode()) / 2.0**32
        end_ms = (
            member.state_since_ms
            + self.suspicion_timeout_ms(len(member.witnesses))
            + SUSPICION_JITTER_MS * jitter_part
            + self._latency_allowance_ms(now)
        )
        self.suspicion_end_ms[member.name] = min(self.suspicion_end_ms.get(member.name, NEVER_MS), end_ms)
        return new_witness

    def tick(self, now: float) -> ProbeEffects:
        """Carry out all actions whose time has come, and return what the caller has to send and gossip."""
        effects = ProbeEffects()
        if now - self.expected_tick_ms > MAX_TICK_DELAY_MS:
            self._recover_from_stall(now - self.expected_tick_ms, now)
        for probe in self.outstanding:
            if not probe.help_requested and now >= probe.sent_ms + probe.timeout_ms:
                self._request_help(probe, effects)
        # The unread messages may contain acks: nobody is accused or declared failed before they are read.
        if self.has_unread and now < self.period_end_ms + MAX_DEFERRAL_MS:
            self.expected_tick_ms = now + UNREAD_RECHECK_MS
            return effects
        if now >= self.period_end_ms:
            self._end_period(now, effects)
            self._begin_period(now, effects)
        if now >= self.next_dead_probe_ms:
            self._probe_dead(now, effects)
        self._declare_failures(now, effects)
        self.expected_tick_ms = max(now, self.next_tick_ms())
        return effects

    def _random(self) -> float:
        """Return the next random number, from 0 up to 1."""
        self._counter += 1
        return crc32(f"{self.seed}:{self._counter}".encode()) / 2.0**32

    def _next_number(self) -> int:
        self._counter += 1
        return self._counter

    def _doubt_self(self, increase: int) -> None:
        self.self_doubt = min(MAX_SELF_DOUBT, self.self_doubt + increase)

    def _record_latency(self, latency_ms: float, now: float) -> None:
        if latency_ms >= self.recent_latency_ms(now):
            self._max_latency_ms = latency_ms
            self._max_latency_seen_ms = now

    def _latency_allowance_ms(self, now: float) -> float:
        """Return the time that a suspect gets beyond its suspicion timeout while acks are slow.

        The accusation and the refutation have to pass through processes that are all as late as the suspect:
        four hops in each direction.
        """
        latency_ms = self.recent_latency_ms(now)
        return 8.0 * latency_ms if latency_ms > DIRECT_TIMEOUT_MS else 0.0

    def _end_suspicion(self, member: Member) -> None:
        self.suspicion_end_ms.pop(member.name, None)
        # The next suspicion of this member starts with a new count of final probes.
        self.final_probes.pop(member.name, None)
        if member.name in self.accused_here:
            self.accused_here.discard(member.name)
            if member.living:
                # The suspicion was refuted: this member accused too early, or the network is slow for all.
                self._doubt_self(1)

    def _recover_from_stall(self, late_ms: float, now: float) -> None:
        """Discard conclusions from silence, after this process did not run for a while.

        Acks may have arrived meanwhile and be unread, so no outstanding or lost probe leads to an accusation,
        and suspects get the missed time again.
        """
        self.stalls += 1
        self._doubt_self(1 + int(late_ms > TOLERATED_STALL_MS / 2.0))
        self.last_received_ms = now
        self.outstanding.clear()
        self.lost_probes.clear()
        earliest_ms = now + min(late_ms, TOLERATED_STALL_MS)
        self.suspicion_end_ms = {
            name: max(end_ms, earliest_ms) for name, end_ms in self.suspicion_end_ms.items()
        }

    def _request_help(self, probe: OutstandingProbe, effects: ProbeEffects) -> None:
        """Ask helpers to probe a member whose own ack did not arrive in time."""
        probe.help_requested = True
        if self.over_budget:
            return
        target = self.table.members.get(probe.name)
        alive = [member.name for member in self.table.others() if member.state is MemberState.ALIVE]
        if target is None:
            return
        # Where many members are suspect at once, most of them have died: one helper for each is enough.
        max_helpers = MAX_HELPERS if len(self.suspicion_end_ms) < MANY_SUSPECTS else 1
        for name in self.sample([name for name in alive if name != probe.name], max_helpers):
            effects.indirect.append(IndirectProbe(self.table.members[name], target, probe.number))

    def _end_period(self, now: float, effects: ProbeEffects) -> None:
        """Accuse the members whose probe was not answered.

        If no message of any member arrived since the first of these probes, this member itself may be unable
        to receive. It then accuses nobody until it has received nothing for `MAX_SUSPICION_MS`.
        """
        unanswered, self.outstanding = self.outstanding, []
        for probe in unanswered:
            self.late_probes[probe.number] = LateProbe(probe.name, probe.sent_ms)
        while len(self.late_probes) > MAX_LATE_PROBES:
            del self.late_probes[next(iter(self.late_probes))]
        if unanswered and self.last_received_ms < unanswered[0].sent_ms:
            self._doubt_self(1)
            if now - self.last_received_ms < MAX_SUSPICION_MS:
                return
        for probe in unanswered:
            self._accuse(probe, now, effects)

    def _accuse(self, probe: OutstandingProbe, now: float, effects: ProbeEffects) -> None:
        """Suspect a member, or schedule another probe where this was its first lost probe."""
        member = self.table.members.get(probe.name)
        if member is None or member.incarnation != probe.incarnation:
            return
        if member.last_received_ms >= probe.sent_ms or not self.may_accuse:
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
        # The period is long enough for a slow direct ack, and for one through a helper after it.
        period_ms = max(self.stretched_by_doubt(self.period_ms), 2.5 * self.direct_timeout_ms(now))
        self.period_end_ms = max(self.period_end_ms + period_ms, now + self.period_ms / 4.0)
        many_suspects = len(self.suspicion_end_ms) >= MANY_SUSPECTS
        probe_more = many_suspects and not (self.self_doubt or self.over_budget)
        remaining = PROBES_PER_PERIOD_MANY_SUSPECTS if probe_more else 1
        members = self.table.members
        lost, self.lost_probes = self.lost_probes, []
        while (lost or self.round_order) and remaining:
            repeated = bool(lost)
            member = members.get(lost.pop() if repeated else self.round_order.pop())
            if member is not None and member.living and member.info and member.name != self.table.me:
                self._probe(member, now, effects, repeated)
                remaining -= 1
        if remaining and not self.round_order:
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
        """Probe one of the failed members, which may only have been cut off."""
        self.next_dead_probe_ms = now + DEAD_PROBE_INTERVAL_MS * (0.75 + 0.5 * self._random())
        failed = [
            member.name for member in self.table.dead() if member.state is MemberState.FAILED and member.info
        ]
        if failed:
            self._next_number()
            name = self.sample(failed, 1)[0]
            effects.probes.append(ProbeRequest(self.table.members[name], self._counter))

    def _declare_failures(self, now: float, effects: ProbeEffects) -> None:
        """Declare failed the suspects whose suspicion has ended and whose final probes were not answered."""
        for name in [name for name, end_ms in self.suspicion_end_ms.items() if end_ms <= now]:
            self._suspicion_expired(name, now, effects)

    def _suspicion_expired(self, name: str, now: float, effects: ProbeEffects) -> None:
        """Extend a suspicion, send a final probe, or declare the suspect failed."""
        member = self.table.members.get(name)
        if member is not None:
            # Acks may have become slower since the suspicion began, which extends the suspicion.
            earliest_ms = member.state_since_ms + MIN_SUSPICION_MS + self._latency_allowance_ms(now)
            if now < earliest_ms:
                self.suspicion_end_ms[name] = earliest_ms
                return
        del self.suspicion_end_ms[name]
        if self._send_final_probe(name, now, effects):
            return
        self.accused_here.discard(name)
        if member is None or member.state is not MemberState.SUSPECT:
            return
        # Either the suspect sent a message since, so that its refutation is on its way, or this dispatcher is
        # late itself and leaves the decision to other members.
        if member.last_received_ms > member.state_since_ms or not self.may_accuse or self.over_budget:
            self.suspicion_end_ms[name] = now + MIN_SUSPICION_MS
            return
        self.deaths += 1
        record = MemberRecord(name, member.incarnation, member.refutations, MemberState.FAILED)
        self.table.merge(record, now, self.table.me)
        effects.changed.append(name)

    def _send_final_probe(self, name: str, now: float, effects: ProbeEffects) -> bool:
        """Probe a suspect once more, directly and through helpers, before it is declared failed.

        The suspect's refutation may have reached all members but this one.

        Returns:
            Whether a final probe was sent; False once all of them had been sent.
        """
        member = self.table.members.get(name)
        sent = self.final_probes.get(name, 0)
        if sent >= FINAL_PROBES or member is None or member.state is not MemberState.SUSPECT:
            self.final_probes.pop(name, None)
            return False
        self.final_probes[name] = sent + 1
        many_suspects = len(self.suspicion_end_ms) >= MANY_SUSPECTS
        timeout_ms = FINAL_PROBE_TIMEOUT_MANY_SUSPECTS_MS if many_suspects else FINAL_PROBE_TIMEOUT_MS
        self.suspicion_end_ms[name] = now + max(timeout_ms, 2.0 * self.recent_latency_ms(now))
        probe = self._new_probe(member, now)
        effects.probes.append(ProbeRequest(member, probe.number))
        if len(self.suspicion_end_ms) <= MAX_SUSPECTS_FOR_HELP:
            self._request_help(probe, effects)
        return True


def _is_new_witness(record: MemberRecord, member: Member) -> bool:
    """Whether a record names one more member that came to the present suspicion by its own probes."""
    if not record.accuser or record.accuser in member.witnesses or len(member.witnesses) > MAX_CONFIRMATIONS:
        return False
    current = (member.incarnation, member.refutations, MemberState.SUSPECT)
    return (record.incarnation, record.refutations, record.state) == current

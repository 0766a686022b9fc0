"""Every decision of a dispatcher. The host program calls `Scheduler.decide` once a round with all that
came in and a writer that takes the decisions; the types of both stand in `cherrygrade/scheduling/model.py`.

The design is Cake's: a node's lane has a pressed and a batch queue; share picks, reserved slots keep room,
a controller moves both by normalized p99 latency, and AIMD bounds what is out. Beside it stand:
1. due: what of a volume's units still earns full value, told from its own and others' use (Volume);
2. the gate: the seven rules, at one place that every send passes (Gate);
3. health: silence or broken connections leave a node one trial send at growing waits (Lane.trouble);
4. ends: an RPC that cannot earn any more is answered at once; one whose send proved not to have run, or
   may run again, goes back to its queue (Dispatcher.sweep, Dispatcher.settle);
5. keepers: where words between dispatchers are permitted, one of them pools what all know of a node (Keeper);
6. the pick: a new object goes where credit (free window slots) is left and an answer comes soonest, or waits.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Sequence
from heapq import heappop, heappush
from struct import calcsize, iter_unpack, pack
from zlib import crc32

from cherrygrade.scheduling.model import (  # isort: split
    Idempotency,
    Node,
    Outcome,
    PeerDirectory,
    SlowStartSettings,
    UtilityModel,
)

from cherrygrade.scheduling.model import (
    Attempt,
    DecisionSink,
    NodeState,
    Request,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    Workload,
)

BEAT_MS, NEVER = 10.0, 1e15  # wakes are asked for on this grid, so that they never pile up
FEW = 2  # open nodes that are compared for a new object; a large fleet is not ranked whole
VIEW_MS, INTERVAL_MS = 2000.0, 200.0  # answers that the controller's p99 is taken over; its steps
WINDOW_MS, RARE_MS = 1000.0, 500.0  # window steps; answers further apart than this are rare
FLOOR, START, CEILING = 1.0, 2.0, 72.0  # window: many dispatchers share a node, so the floor is one slot
TELL_MS, WORD, MOST_WORDS = 100.0, ">BHBH", 40  # between dispatchers: kind, node, units, ms
SENT, ANSWERED, ENDED, WAITING = range(4)
TOLD_MS, PASSED_MS = 3000.0, 500.0  # a keeper's word stands so long; an RPC passed over by so much has ended
SHARE_PART = 0.35  # of a volume's usual rate: what comes through one dispatcher inside its share
LOW, HIGH = 0.05, 0.12  # window bounds: waiting at the node, as a part of the soft deadline


def presses(workload: Workload, top: float, tight: float) -> bool:
    """Work of high value and a near soft deadline, against the highest and the nearest of the site."""
    return workload.priority_weight * 2.0 > top and workload.latency_objective_ms <= 2.0 * tight


class VolumeQuota:
    """What is due to a volume through this dispatcher. Dropped once idle (Dispatcher.list)."""

    def __init__(self, plan: ServicePlan, hosts: int, now: float, earnings: UtilityModel) -> None:
        self.plan, self.hosts, self.seen = plan, hosts, now
        # Ours is all of the due, less what nodes tell of others' use; where they don't, an even part.
        self.part = 1.0 if earnings.reports_use_elsewhere else 1.0 / hosts
        self.pot = self.depth = plan.reserve_rate * self.part + earnings.largest_units
        self.open = self.most = plan.usual_rate * SHARE_PART  # units inside the share, of a second
        self.store = 0.0  # of the plan's limit; empty at the start, as a dispatcher before this one had it

    def pass_time(self, now: float) -> None:
        plan, gap, self.seen = self.plan, (now - self.seen) / 1000.0, now
        self.open = min(self.most, self.open + self.most * gap)
        self.pot = min(self.depth, self.pot + plan.reserve_rate * self.part * gap)
        self.store = min(plan.limit_burst / self.hosts, self.store + plan.limit_rate / self.hosts * gap)

    def shares(self, units: float) -> bool:
        """Take units from the share; one that it does not hold whole is beyond it and leaves it empty."""
        self.open = max(0.0, self.open - units)
        return self.open > 0.0

    def charge(self, units: float) -> None:
        """What nodes did for it through other dispatchers."""
        self.pot, self.open = self.pot - units, max(0.0, self.open - units)

    def reserve(self, units: float, rank: float) -> bool:
        """Take units from the reserve; workloads of lower value leave some of it to the others."""
        inside = self.plan.reserve_rate > 0.0 and self.pot >= units + self.depth * (1.0 - rank) * 0.5
        self.pot -= units * inside
        return inside


class QueuedRequest:
    """An RPC held here, from being taken until it is over and no send of it is out."""

    def __init__(self, rpc: Request, volume: VolumeQuota, now: float, soft: float) -> None:
        self.rpc, self.volume, self.taken, self.soft = rpc, volume, now, soft
        self.level, self.key, self.overdue = 1.0, 0.0, 0.0  # what its units earn; its place in a queue
        self.queue: list[QueuedRequest] | None = None
        self.lane: NodeQueue | None = None
        self.near: dict[str, list[QueuedRequest]] | None = None  # its lane's, while it waits there
        self.pressed = self.lost = False

    @property
    def out(self) -> bool:
        return None in [send.outcome for send in self.rpc.attempts]

    def join(self, queue: list[QueuedRequest] | None) -> None:
        """Leave the queue it stands in for this one, or for none."""
        if self.queue is not None:
            self.queue.remove(self)
        if self.near is not None:
            self.near[self.rpc.key].remove(self)
            if not self.near[self.rpc.key]:
                del self.near[self.rpc.key]
        self.near = self.lane.near if queue is not None and self.rpc.coalescable else None
        if self.near is not None:
            self.near.setdefault(self.rpc.key, []).append(self)
        self.queue = queue
        if queue:
            insort(queue, self, key=lambda held: held.key)
        elif queue is not None:
            queue.append(self)


class NodeQueue:
    """One node as this dispatcher uses it: two queues, share, reserved slots, window and health."""

    def __init__(self, node: Node, now: float, tight: float, begun: float, others: NodeQueue | None) -> None:
        self.node, self.tight, self.others = node, tight, others or self
        self.pressed: list[QueuedRequest] = []
        self.batch: list[QueuedRequest] = []
        self.near: dict[str, list[QueuedRequest]] = {}  # what waits and may share a send; emptied as it goes
        self.share, self.reserved, self.lead = 0.5, 0, 0.0
        self.window, self.filled, self.contended = START, False, False
        self.waits: list[float] = []  # waiting at the node over soft deadline; emptied each window step
        self.views: deque[tuple[float, float]] = deque(maxlen=512)  # latency over soft deadline
        self.sends: dict[Attempt, QueuedRequest] = {}  # out at the node; emptied by their outcomes
        self.busy = self.batch_out = 0  # sends out that are not taken for lost; batch ones among them
        self.last: Attempt | None = None  # the newest send, and whether it went beyond the window
        self.rode = False
        # A unit's work; waiting there; a unit's answer in the mean, and the least that was.
        self.unit_ms, self.queue_ms, self.answer_ms, self.quiet_ms = 0.0, 0.0, tight, tight
        self.next_step, self.next_window = now + INTERVAL_MS, now + WINDOW_MS
        self.strikes, self.trial_at, self.due = 0, 0.0, NEVER  # due: the earliest thing wanted here
        self.told_at = -NEVER  # the keeper's newest word; how words name the node
        self.place = crc32(node.address.encode()) & 0xFFFF
        self.last_answer, self.errors, self.warm_from, self.struck_at = now, 0.0, -1e12, 0.0
        # Units sent in the span. A dispatcher before this one may have spent it, unless the node is younger.
        self.cold = [(now, NEVER)] if node.started_ms <= begun else []

    def known(self, now: float) -> bool:
        """The keeper's word stands for what is seen here."""
        return now < self.told_at + TOLD_MS

    def slots(self) -> int:
        return 1 if self.strikes else int(self.window)

    def expected(self, units: float) -> float:
        return self.queue_ms + units * (self.unit_ms or self.others.unit_ms)

    def sides(self) -> list[list[QueuedRequest]]:
        """The queues that may fill a slot, the one that share picks first."""
        free = self.slots() - self.busy
        if free <= 0 or not (self.pressed or self.batch):
            self.filled = self.filled or free <= 0
            return []
        if not self.batch:
            return [self.pressed]
        self.contended = self.contended or bool(self.pressed)
        sides = [self.pressed, self.batch][:: 1 if self.lead <= 0.0 else -1]
        # Other hosts' pressed RPCs are seen only as waiting at the node: batch yields to them too.
        crowded = self.window < 2.0 and self.queue_ms > 0.25 * self.tight
        # A slow node keeps slots reserved for good: they are lent while no pressed RPC waits or is out.
        kept = min(self.reserved, self.slots() - 1) if self.pressed or self.batch_out < self.busy else 0
        if crowded or self.batch_out >= self.slots() - kept:
            sides.remove(self.batch)
        return [side for side in sides if side]

    def riders(self) -> list[QueuedRequest]:
        """An RPC on the key sent last costs a node much less right behind it: one goes beyond the window."""
        key = (
            self.last.request.key
            if self.last and not (self.last.outcome or self.rode or self.strikes)
            else ""
        )
        return [job for job in [*self.pressed, *self.batch] if job.rpc.key == key] if key else []

    def went(self, job: QueuedRequest, send: Attempt) -> None:
        self.last, self.sends[send] = send, job
        job.overdue = (
            send.sent_ms + 1.5 * self.tight + self.expected(send.coalesced_units or send.request.units)
        )
        self.rode, job.lost = self.busy >= self.slots(), False
        self.busy, self.batch_out = self.busy + 1, self.batch_out + (not job.pressed)

    def charge(self, job: QueuedRequest) -> None:
        share = self.share if job.pressed else self.share - 1.0
        self.lead += job.rpc.units / (max(share, 0.01) if job.pressed else min(share, -0.01))
        self.lead *= bool(self.pressed and self.batch)  # what nobody else waited for is owed to nobody

    def catch_up(self, now: float) -> None:
        """The steps owed since this node last mattered: all but the first only let the waiting seen fade."""
        owed = int((now - self.next_step) // INTERVAL_MS) + 1
        if owed > 0:
            self.queue_ms *= 1.0 if self.busy or self.known(now) else 0.8**owed  # else nothing tells of it
            self.step(self.next_step)
            self.next_step += owed * INTERVAL_MS
        for send, job in self.sends.items() if not self.known(now) else ():  # what stays out tells of waiting
            if not (send.outcome or job.lost or self.last_answer > send.sent_ms - RARE_MS):  # not our gap
                work = (send.coalesced_units or send.request.units) * self.unit_ms
                self.queue_ms = max(self.queue_ms, now - send.sent_ms - work)
        if now >= self.next_window:
            self.resize()
            self.next_window += ((now - self.next_window) // WINDOW_MS + 1.0) * WINDOW_MS

    def step(self, now: float) -> None:
        """The controller: share by the linear target, capped; then reserved slots (Algorithm 1)."""
        seen = sorted(view for at, view in self.views if at >= now - VIEW_MS)
        seen += [(now - job.taken) / job.rpc.workload.latency_objective_ms for job in self.pressed[:1]]
        contended, self.contended = self.contended or bool(self.batch), False
        if not seen or not contended:  # share decides nothing on a node where batch did not wait
            return
        perf = 1.0 / max(seen[int(0.99 * (len(seen) - 1) + 0.5)], seen[-1] if self.pressed else 0.0, 1e-6)
        shared = self.slots() - self.reserved
        moved = min(abs(self.share - min(self.share / perf, 1.0)), self.share * 0.1)
        if perf < 1.0 and self.share > 0.99 and shared > 1:
            self.share, self.reserved = self.share - 1.0 / shared, self.reserved + 1
        elif perf < 1.0:
            self.share = min(1.0, self.share + moved)
        elif perf > 1.2 and self.share < 0.01 and self.reserved:
            self.share, self.reserved = min(1.0, self.share + 1.0 / (shared + 1)), self.reserved - 1
        elif perf > 1.2:
            self.share -= moved

    def resize(self) -> None:
        """The AIMD window. It grows only when it was filled, so it cannot drift up unused."""
        mean = sum(self.waits) / len(self.waits) if self.waits else LOW
        cut, grow = mean > HIGH, mean < LOW and self.filled
        self.window = max(FLOOR, min(CEILING, self.window * 0.75 if cut else self.window + grow))
        self.waits, self.filled = [], self.busy >= self.slots()
        if self.reserved >= int(self.window):  # a reserved slot that the window takes comes back as share
            self.reserved, self.share = int(self.window) - 1, 1.0

    def free(self, job: QueuedRequest) -> None:
        self.busy -= not job.lost
        self.batch_out -= not (job.lost or job.pressed)
        job.lost = True

    def watch(self, now: float, patience: float) -> None:
        """Guards against lost messages and silent nodes: a long overdue send holds no slot any more."""
        self.due, silent = NEVER, False
        for send, job in self.sends.items():
            if not job.lost and now <= job.overdue:
                self.due = min(self.due, job.overdue)
            elif not job.lost:
                self.free(job)
                silent = silent or self.last_answer < send.sent_ms
        if silent and not (self.known(now) and self.queue_ms < 2000.0):  # else others are answered
            self.trouble(now, patience)

    def trouble(self, now: float, patience: float) -> None:  # dead, silent, unreachable: single trials
        self.strikes, self.struck_at = self.strikes + 1, self.struck_at if self.strikes else now
        self.trial_at = now + min(patience * (2.0 ** min(self.strikes - 1, 6) - 1.0), 4000.0)

    def answered(self, send: Attempt, now: float, patience: float) -> None:
        job, silent = self.sends.pop(send), now - self.last_answer
        self.free(job)
        work = send.coalesced_units or send.request.units
        outcome, rate = send.outcome, send.latency_ms / max(work, 1e-6)
        if send.carried_by:  # the one that carried it tells of the node
            seen = (
                now,
                (send.sent_ms + send.latency_ms - job.taken) / send.request.workload.latency_objective_ms,
            )
            return self.views.extend([seen] * (job.pressed and outcome is Outcome.OK))
        if (
            outcome is Outcome.CONNECT_FAILED
        ):  # a reset may be the connection's trouble only: it strikes nobody
            self.trouble(now, patience)
        if outcome in (Outcome.OK, Outcome.FAILED, Outcome.REJECTED):
            # Struck twice, nothing of before came back: it was down, and may be cold before the list tells.
            self.warm_from = now if self.strikes > 1 and send.sent_ms > self.struck_at else self.warm_from
            self.strikes, self.last_answer = 0, now
            self.errors += 0.1 * ((outcome is not Outcome.OK) - self.errors)
        if outcome is Outcome.OK:
            self.others.answer_ms += 0.01 * (rate - self.others.answer_ms)
            self.others.quiet_ms = min(self.others.quiet_ms, self.others.answer_ms)
            # Seldom answered, it would take a first long wait for its work: it starts from what others show.
            for lane, steps in ((self.others, 1.0), (self, min(5.0, 1.0 + silent / INTERVAL_MS))):
                unit = lane.unit_ms or lane.others.unit_ms or rate
                drift = 0.7 if 2 * rate < unit else (0.98 if rate <= unit else 1.002) ** steps
                lane.unit_ms = lane.unit_ms if lane.known(now) else unit * drift
        if outcome is Outcome.OK or (outcome is Outcome.TIMED_OUT and self.last_answer < send.sent_ms):
            wait, soft = (
                max(0.0, send.latency_ms - work * self.unit_ms),
                send.request.workload.latency_objective_ms,
            )
            # What was seen long ago counts for little.
            fresh = 0.2 if silent < RARE_MS else 1.0 - 0.8 ** (1.0 + silent / INTERVAL_MS)
            fresh = 0.0 if self.known(now) else fresh
            self.queue_ms += fresh * (min(wait, 4.0 * self.queue_ms + 50.0 + silent) - self.queue_ms)
            self.waits.append(min(1.0, wait / soft))
            self.views.extend([(now, (send.sent_ms + send.latency_ms - job.taken) / soft)] * job.pressed)

    def hear(self, now: float, wait: float, unit: float) -> None:
        """The keeper's word on the waiting here and a unit's work, pooled from all dispatchers."""
        self.queue_ms, self.told_at, self.unit_ms = wait, now, unit or self.unit_ms


class LoadAggregator:
    """What all dispatchers together have out at one node. Dropped once nothing was heard for long."""

    def __init__(self, now: float, busy: float) -> None:
        self.at, self.heard, self.told_at, self.answered_at, self.busy = now, now, now, now, busy
        self.sends: list[tuple[float, float]] = []  # units out; emptied by answers to these or later ones
        self.done = self.rate = self.wait = self.unit = 0.0  # answered since the last step; answered a ms
        self.told = (0.0, 0.0)

    def note(self, kind: int, units: float, took: float, now: float) -> None:
        self.heard = now
        if kind == SENT:
            return self.sends.append((now, units))
        # Nodes take RPCs in turn: what went well before an answered one has ended, or its answer is lost.
        at = now - took
        if self.sends:
            self.sends.remove(min(self.sends, key=lambda send: abs(send[0] - at)))
        if kind == ANSWERED:
            self.sends = [send for send in self.sends if send[0] > at - PASSED_MS]
            self.done, self.answered_at = self.done + units, now
            work = max(took - self.wait, 0.2 * took) / max(units, 0.1)
            self.unit += (0.15 if self.unit else 1.0) * (work - self.unit)

    def step(self, now: float) -> bool:
        """Whether what is known is worth telling. Units out over units answered a ms: how long one stays."""
        gap, self.at = max(1.0, now - self.at), now
        self.sends = [send for send in self.sends if send[0] > now - 4000.0]
        out = sum(units for _, units in self.sends)
        if out > self.busy:
            self.rate += (0.2 if self.rate else 1.0) * (self.done / gap - self.rate)
        self.done = 0.0
        over, silent = out - self.busy, out > 0.0 and now > self.answered_at + 2000.0
        self.wait = min(4000.0, max(0.0, over) / max(self.rate, 0.001)) if self.rate else 0.0
        self.wait, (wait, unit) = 4000.0 if silent else self.wait, self.told
        moved = abs(self.wait - wait) > 35.0 + 0.3 * wait or abs(self.unit - unit) > 0.4 * unit
        if moved or (self.heard > now - 2000.0 and now > self.told_at + 2000.0):
            self.told, self.told_at = (self.wait, self.unit), now
        return self.told_at == now


class Admission:
    """The seven rules. Every send passes `opens`, and every final rejection `may_reject`."""

    def __init__(
        self,
        number: int,
        company: PeerDirectory,
        part: float,
        cold: SlowStartSettings,
        budget: RetryBudgetSettings | None,
        permits: SitePolicy,
        key_rest_ms: float,
    ) -> None:
        self.number, self.company, self.part, self.cold = number, company, part, cold
        self.budget, self.permits, self.key_rest_ms, self.begun = budget, permits, key_rest_ms, NEVER
        self.taken: deque[float] = deque()  # both drop what left the budget's span
        self.further: deque[float] = deque()
        self.turns: dict[str, deque[QueuedRequest]] = {}  # ordered RPCs by key; a key goes when none is left
        self.rests: dict[str, float] = {}  # dropped once over

    def take(self, job: QueuedRequest, now: float) -> None:
        self.taken.extend([now] * bool(self.budget))
        if job.rpc.workload.ordered and job.rpc.key:
            self.turns.setdefault(job.rpc.key, deque()).append(job)

    def leave(self, job: QueuedRequest) -> Sequence[QueuedRequest]:
        """The RPC is over and nothing of it is out: the next of its key, told here, may go."""
        turn = self.turns.get(job.rpc.key) or deque()
        if job in turn:
            turn.remove(job)
            if not turn:
                del self.turns[job.rpc.key]
        return [*turn][:1]

    def outcome(self, send: Attempt, now: float) -> None:
        if send.request.workload.ordered and send.outcome.may_still_run and send.request.key:
            self.rests[send.request.key] = now + self.key_rest_ms

    def pass_time(self, now: float) -> None:
        self.begun = min(self.begun, now)
        for times in (self.taken, self.further):
            while times and times[0] <= now - self.budget.window_ms:
                times.popleft()
        self.rests = {key: until for key, until in self.rests.items() if until > now}

    def cold_room(self, lane: NodeQueue, now: float) -> float:
        """Units a just-started node bears from here: an even part; where that is under an RPC, one for
        those next in number to a mark of the node's. In any span all together keep to it, however many."""
        cold, age = self.cold, now - max(lane.node.started_ms or -1e12, lane.warm_from)
        if not cold.base_units or age >= cold.warm_up_ms:
            return NEVER
        # One unit at a time, as slowly as this dispatcher's answers come in the mean, any node can do.
        borne = max(
            cold.base_units,
            cold.overload_multiple * cold.cold_capacity * cold.window_ms / lane.others.quiet_ms,
        )
        borne *= (
            1.0
            + (1.0 / max(cold.cold_capacity, 0.01) - 1.0)
            * max(0.0, age - cold.window_ms / 2.0)
            / cold.warm_up_ms
        )
        room, mark = NEVER, self.number + crc32(lane.node.address.encode())
        for count in self.company.dispatcher_counts:  # while parts move, the smaller of two
            part = max(borne / count, self.part)
            room = min(
                room, part * ((mark % count + 1) * part < borne + 1e-6 and not self.company.forfeits_quota)
            )
        return room - sum(units for at, units in lane.cold if at >= now - cold.window_ms)

    def may_reject(self, rpc: Request) -> bool:
        ran = any(send.outcome is None or not send.outcome.never_ran for send in rpc.attempts)
        effect, everywhere = rpc.workload.idempotency, rpc.workload.deduplication_scope == "all"
        return (
            not ran
            or effect is Idempotency.IDEMPOTENT
            or (effect is Idempotency.IDEMPOTENT_WITH_KEY and everywhere)
        )

    def repeatable(self, rpc: Request, node: Node, now: float, this: Attempt | None = None) -> bool:
        """Whether a send may go, or `this` one may leave now, with what those before it may have done."""
        ran = [s for s in rpc.attempts if s is not this and (s.outcome is None or not s.outcome.never_ran)]
        if not ran or rpc.workload.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return not ran or rpc.workload.idempotency is Idempotency.IDEMPOTENT
        group, first = rpc.workload.deduplication_scope, ran[0].node
        same = {"all": True, "zone": first.zone == node.zone, "cell": first.shard == node.shard}
        return same.get(group, False) and now < ran[0].sent_ms + rpc.workload.deduplication_window_ms

    def opens(self, job: QueuedRequest, lane: NodeQueue, now: float) -> float:
        """When the RPC may be sent to the node, as far as is known now; NEVER if time alone won't do."""
        rpc, node, volume = job.rpc, lane.node, job.volume
        if (
            rpc.finished
            or now >= rpc.deadline_ms
            or len(rpc.attempts) >= self.permits.max_attempts
            or (job.out and not self.permits.allows_hedging)
            or not self.repeatable(rpc, node, now)
            or node.state is not NodeState.LIVE
            or rpc.shard not in (-1, node.shard)
        ):
            return NEVER
        if rpc.workload.ordered and rpc.key:
            if self.turns[rpc.key][0] is not job or now < self.rests.get(rpc.key, now):
                return self.rests.get(rpc.key, NEVER)
        spent = (
            rpc.attempts
            and self.budget
            and (len(self.further) + 1 > self.budget.min_retries + self.budget.retry_ratio * len(self.taken))
        )
        if volume.plan.limit_rate and not rpc.attempts:  # it fills while nothing of the volume comes or goes
            volume.pass_time(now)
        short = self.company.forfeits_quota or volume.store < rpc.units
        empty = not rpc.attempts and volume.plan.limit_rate and short
        return now + BEAT_MS if spent or empty or self.cold_room(lane, now) < rpc.units else now

    def sent(self, job: QueuedRequest, lane: NodeQueue, now: float) -> None:
        self.further.extend([now] * bool(job.rpc.attempts and self.budget))
        job.volume.store -= job.rpc.units * (not job.rpc.attempts)
        if self.cold.base_units:
            span = now - self.cold.window_ms
            lane.cold = [(at, u) for at, u in lane.cold if at >= span] + [(now, job.rpc.units)]


class Scheduler:
    def __init__(
        self,
        *,
        seed: int,
        number: int,
        dispatchers: int,
        workloads: Sequence[Workload],
        earnings: UtilityModel,
        cold: SlowStartSettings,
        budget: RetryBudgetSettings | None,
        permits: SitePolicy,
        key_rest_ms: float,
        company: PeerDirectory | None = None,
    ) -> None:
        self.seed, self.count, self.earnings, self.permits = seed, 0, earnings, permits
        self.company = company or PeerDirectory(dispatchers)
        self.gate = Admission(number, self.company, earnings.mean_units, cold, budget, permits, key_rest_ms)
        self.top = max((workload.priority_weight for workload in workloads), default=1.0)
        self.tight = min((workload.latency_objective_ms for workload in workloads), default=1000.0)
        self.tries: dict[str, float] = {}  # longest time given for a try; a workload each
        self.ended: list[dict[tuple[str, str], float]] = [{}, {}]  # given up of late, its soft deadline
        self.volumes: dict[str, VolumeQuota] = {}
        self.jobs: dict[Request, QueuedRequest] = {}
        self.lanes: dict[Node, NodeQueue] = {}  # a machine each; dropped once gone with nothing left
        self.shards: dict[int, list[NodeQueue]] = {}  # made anew from the lanes with each list
        # New objects that no node has credit for, and what no node in the list holds.
        self.unplaced = NodeQueue(Node("", state=NodeState.DRAINING), 0.0, self.tight, 0.0, None)
        self.stirred: dict[NodeQueue, None] = {}  # lanes that this round concerns; emptied by it
        self.dues: list[tuple[float, int, NodeQueue]] = []  # one live entry a lane, old ones pass
        self.wakes: set[float] = set()  # asked for and to come: at most a grid's marks ahead
        self.ask_spread = self.ask_wait = max(1000.0, 25.0 * dispatchers)  # all at once would jam discovery
        self.ask_at = 0.0 if permits.polls_endpoints else NEVER
        self.tell_at, self.nonsense = NEVER, 0  # words that made no sense, since the host last asked
        self.kept: dict[NodeQueue, LoadAggregator] = {}  # nodes whose load is pooled here; dropped once quiet
        self.said: dict[int | None, list[bytes]] = {}  # words of this round; emptied by it
        self.places: dict[int, NodeQueue] = {}  # lanes as peers name them; made anew with each list
        self.before = self.now = self.turn_at = 0.0  # the round before this one, this, and when `ended` turns

    def decide(
        self,
        now: float,
        writer: DecisionSink,
        *,
        arrivals: Sequence[Request] = (),
        outcomes: Sequence[Attempt] = (),
        cancellations: Sequence[Request] = (),
        endpoint_changes: Sequence[Node] = (),
        endpoint_list_received: bool | None = None,
        gossip: Sequence[tuple[int, bytes]] = (),
    ) -> None:
        self.gate.pass_time(now)
        self.list(now, endpoint_changes, endpoint_list_received)
        self.before, self.now = self.now, now
        if now >= self.turn_at:
            self.ended, self.turn_at = [{}, self.ended[0]], now + max(self.tries.values(), default=1000.0)
        for peer, word in gossip:
            self.hear(peer, word, now)
        for send in outcomes:
            self.settle(send, now, writer)
        for rpc in arrivals:
            self.take(rpc, now, writer)
        for rpc in cancellations:  # behind: one may come and leave between two rounds
            if rpc in self.jobs:
                self.finish(self.jobs[rpc], now)
        while self.dues and self.dues[0][0] <= now + 0.01:  # a wake may come a rounding early
            due, _, lane = heappop(self.dues)
            if due == lane.due:
                lane.due = NEVER
                self.stir(lane, now)
        while self.stirred:
            self.tend(next(iter(self.stirred)), now, writer)
        self.wake(now, writer)

    def stir(self, lane: NodeQueue, now: float) -> None:
        """Whatever concerns a lane brings it here before it is touched: its steps are caught up."""
        self.stirred[lane] = None
        lane.catch_up(now)

    def tend(self, lane: NodeQueue, now: float, writer: DecisionSink) -> None:
        """All that may be due at a lane; each part lowers `due` to when it wants the next look."""
        before = lane.due
        lane.watch(now, 1.5 * self.tight)
        self.sweep(lane, now, writer)
        self.fill(lane, now, writer)
        del self.stirred[lane]
        lane.due = min(NEVER, (max(lane.due, now) // BEAT_MS + 1.0) * BEAT_MS)  # the next mark of the grid
        if before != lane.due < NEVER:
            self.count += 1
            heappush(self.dues, (lane.due, self.count, lane))

    def hear(self, peer: int, word: bytes, now: float) -> None:
        """A peer's word. What is cut short, or not of or to the keeper, moves nothing and is counted."""
        whole = len(word) % calcsize(WORD) == 0
        for kind, place, units, value in iter_unpack(WORD, word) if whole else ():
            lane, keeper = self.places.get(place), self.company.aggregator(place)
            told, report = kind == WAITING and keeper == peer, kind < WAITING and keeper == self.gate.number
            if lane and told:
                lane.hear(now, float(value), 2.0 * units)
            elif lane and report:
                self.keep(lane, kind, units / 10.0, float(value), now)
            self.nonsense += not (told or report)
        self.nonsense += not whole

    def keep(self, lane: NodeQueue, kind: int, units: float, took: float, now: float) -> None:
        self.kept.setdefault(lane, LoadAggregator(now, 4.0 * self.earnings.mean_units)).note(
            kind, units, took, now
        )
        self.tell_at = min(self.tell_at, (now // TELL_MS + 1.0) * TELL_MS)

    def report(self, lane: NodeQueue, kind: int, units: float, took: float, now: float) -> None:
        """What goes to a node and comes back is told to the one dispatcher that keeps the node."""
        keeper = self.company.aggregator(lane.place)
        if self.permits.allows_gossip and keeper == self.gate.number:
            self.keep(lane, kind, units, took, now)
        elif self.permits.allows_gossip:
            word = pack(WORD, kind, lane.place, min(255, int(units * 10.0)), min(65535, int(took)))
            self.said.setdefault(keeper, []).append(word)

    def tell(self, now: float, writer: DecisionSink) -> None:
        """Reports go with the round that made them, what keepers know on a grid, where it moved."""
        if now >= self.tell_at:
            for lane, keeper in self.kept.items():
                if self.company.publishes(lane.place, now) and keeper.step(now):
                    lane.hear(now, *keeper.told)
                    wait, unit = keeper.told
                    word = pack(WORD, WAITING, lane.place, min(255, int(unit / 2.0)), int(wait))
                    self.said.setdefault(None, []).append(word)
            self.kept = {lane: keeper for lane, keeper in self.kept.items() if keeper.heard > now - 10000.0}
            self.tell_at = (now // TELL_MS + 1.0) * TELL_MS if self.kept else NEVER
        for peer, words in self.said.items():
            writer.tell(peer, b"".join(words[:MOST_WORDS]))
        self.said.clear()

    def wake(self, now: float, writer: DecisionSink) -> None:
        """Ask for the list when due, and for the next wake."""
        self.tell(now, writer)
        if now >= self.ask_at:
            self.ask_at = NEVER
            writer.subscribe()
        while self.dues and self.dues[0][0] != self.dues[0][2].due:
            heappop(self.dues)
        self.wakes = {at for at in self.wakes if at > now + 0.01}
        at = min(self.ask_at, self.tell_at, self.dues[0][0] if self.dues else NEVER)
        if at < NEVER and at not in self.wakes:
            self.wakes.add(at)
            writer.wake(max(0.0, at - now))

    def list(self, now: float, heard: Sequence[Node], answered: bool | None) -> None:
        for node in heard:
            self.lanes.setdefault(node, NodeQueue(node, now, self.tight, self.gate.begun, self.unplaced))
        if heard:  # what waits for a place or for a replacement looks again
            self.shards, self.places = {}, {}
            self.volumes = {name: vol for name, vol in self.volumes.items() if now - vol.seen < 60000.0}
            for lane in [*self.lanes.values(), self.unplaced]:
                if lane.node.state is NodeState.GONE and not (lane.sends or lane.pressed or lane.batch):
                    del self.lanes[lane.node]
                    continue
                if lane is not self.unplaced:
                    self.places[lane.place] = lane
                self.shards.setdefault(lane.node.shard, []).append(lane)
                if lane.pressed or lane.batch:
                    self.stir(lane, now)
        if self.permits.polls_endpoints and (answered is not None or not self.ask_at):
            chance = crc32(f"{self.seed}:{self.ask_wait}".encode()) / 2.0**32
            self.ask_at = NEVER if answered else now + self.ask_wait * chance
            again = min(self.ask_wait * 2.0, self.permits.max_poll_interval_ms)
            self.ask_wait = self.ask_spread if answered else again

    def take(self, rpc: Request, now: float, writer: DecisionSink) -> None:
        if rpc.workload is None or rpc.plan is None:
            return writer.reject(rpc, 0.0)
        volume = self.volumes.setdefault(
            rpc.volume, VolumeQuota(rpc.plan, rpc.dispatchers, now, self.earnings)
        )
        volume.pass_time(now)
        left = rpc.deadline_ms - now
        longest = self.tries[rpc.workload.name] = max(self.tries.get(rpc.workload.name, 0.0), left)
        # A repeat that is short of time is late since its first try. Else its client is in haste, and it lost
        # no more than this dispatcher stood still. Unmarked, a repeat follows what was given up, and keeps
        # its soft deadline where that is later: a client in haste comes again with little time left too.
        was = max(ended.get((rpc.volume, rpc.key), -NEVER) for ended in self.ended)
        first = not (rpc.is_retry if self.permits.clients_mark_retries else was > -NEVER)
        spent = min(longest - left, now - self.before if first else NEVER)
        job = self.jobs[rpc] = QueuedRequest(
            rpc, volume, now, max(was, now + rpc.workload.latency_objective_ms - spent)
        )
        self.gate.take(job, now)
        self.place(job, now)

    def place(self, job: QueuedRequest, now: float) -> None:
        """Reads go to the node that holds the data, new objects where an answer comes soonest."""
        self.count += 1
        lanes: list[NodeQueue] = []
        ran = [send.node.shard for send in job.rpc.attempts if not (send.outcome and send.outcome.never_ran)]
        shard = job.rpc.shard if job.rpc.shard >= 0 or not ran else ran[0]  # only there a repeat is dropped
        if shard >= 0:
            homes = self.shards.get(shard) or [self.unplaced]
            job.lane = ([lane for lane in homes if lane.node.state is NodeState.LIVE] or homes)[0]
        else:
            job.lane, lanes = self.unplaced, list(self.lanes.values())
        soonest, few = NEVER, FEW
        turn = crc32(f"{self.seed}:{self.count}".encode()) % len(lanes) if lanes else 0
        for lane in lanes[turn:] + lanes[:turn] if lanes else ():
            credit = lane.slots() - lane.busy - len(lane.pressed)
            if lane.node.state is not NodeState.LIVE or lane.strikes or lane.errors > 0.3 or credit <= 0:
                continue
            few -= 1
            if few < 0 and soonest < NEVER:
                break
            if lane.expected(job.rpc.units) < soonest and self.gate.cold_room(lane, now) >= NEVER:
                soonest, job.lane = lane.expected(job.rpc.units), lane
        self.stir(job.lane, now)
        if job.queue is None and not job.rpc.attempts:
            self.rank(job, now)
        job.join(job.lane.pressed if job.pressed else job.lane.batch)

    def rank(self, job: QueuedRequest, now: float) -> None:
        """Find what the RPC's units still earn, and so its side and its place there."""
        rpc, volume, lane, workload, plan = job.rpc, job.volume, job.lane, job.rpc.workload, job.volume.plan
        if not volume.reserve(rpc.units, workload.priority_weight / self.top):
            job.level = self.earnings.within_quota if volume.shares(rpc.units) else self.earnings.beyond_quota
        in_time = now + lane.expected(rpc.units) <= job.soft
        job.pressed = (
            presses(workload, self.top, self.tight) and in_time and job.level > self.earnings.beyond_quota
        )
        value = (
            workload.priority_weight * (1.0 if in_time else workload.late_utility) * plan.price * job.level
        )
        job.key = -value  # equals keep the order they came in

    def fill(self, lane: NodeQueue, now: float, writer: DecisionSink) -> None:
        shut = lane.trial_at if lane.strikes else 0.0
        while now >= shut and lane.node.state is NodeState.LIVE and self.fill_one(lane, now, writer):
            pass
        if lane.pressed or lane.batch:  # the controller and the window go on while something waits
            lane.due = min(lane.due, lane.next_step, shut if shut > now else NEVER)

    def fill_one(self, lane: NodeQueue, now: float, writer: DecisionSink) -> bool:
        spare = self.unplaced
        if not (lane.pressed or lane.batch or spare.pressed or spare.batch):
            lane.filled = lane.filled or lane.busy >= lane.slots()
            return False  # nothing waits anywhere
        if not lane.strikes and lane.errors <= 0.3 and lane.busy < lane.slots():
            for side, own in ((spare.pressed, lane.pressed), (spare.batch, lane.batch)):
                job = side[0] if side else None
                if (
                    job
                    and job.rpc.shard < 0
                    and (not own or job.taken < own[0].taken)
                    and self.gate.cold_room(lane, now) >= job.rpc.units
                ):
                    job.lane, lane.due = lane, now  # looked at again at once
                    job.join(own)
        for side in [lane.riders(), *lane.sides()]:
            for job in side:
                opens = self.gate.opens(job, lane, now)
                if opens > now:
                    lane.due = min(lane.due, opens)
                    continue
                send = self.go(job, lane, now, writer)
                if job.rpc.coalescable and job.rpc.key in lane.near and not lane.strikes:
                    self.take_along(job, send, lane, now, writer)
                lane.went(job, send)
                lane.due = min(lane.due, job.overdue)
                return True
        return False

    def go(self, job: QueuedRequest, lane: NodeQueue, now: float, writer: DecisionSink) -> Attempt:
        lane.charge(job)
        job.join(None)
        self.gate.sent(job, lane, now)
        self.report(lane, SENT, job.rpc.units, 0.0, now)
        return writer.send(job.rpc, lane.node, job.rpc.deadline_ms - now)

    def take_along(
        self, job: QueuedRequest, send: Attempt, lane: NodeQueue, now: float, writer: DecisionSink
    ) -> None:
        """What waits here anyway and adjoins shares the send and its slot, while nobody turns late by it.
        Reads may overlap, writes only touch; each passes the gate and is charged as if it went alone."""
        rpc, permits = job.rpc, self.permits
        waiting = [
            held
            for held in lane.near[rpc.key]
            if held.rpc.volume == rpc.volume and held.rpc.is_write == rpc.is_write
        ]
        waiting.sort(key=lambda held: (not held.pressed, held.key))
        low, high = rpc.offset, rpc.offset + rpc.length
        soft = job.soft if now + lane.expected(rpc.units) <= job.soft else NEVER
        tried = len(waiting) + 1
        while waiting and len(waiting) < tried:  # each that joined may bring its neighbours within reach
            tried, far = len(waiting), []
            for held in waiting:
                first, last = held.rpc.offset, held.rpc.offset + held.rpc.length
                wide = max(high, last) - min(low, first)
                units = max(permits.min_units, wide / permits.bytes_per_unit)
                own = held.soft if now + lane.expected(held.rpc.units) <= held.soft else NEVER
                near = last == low or first == high if rpc.is_write else first <= high and low <= last
                full = (
                    wide > permits.max_coalesced_bytes
                    or len(send.coalesced or ()) >= permits.max_coalesced_requests
                )
                if (
                    not near
                    or full
                    or now + lane.expected(units) > min(soft, own)
                    or self.gate.opens(held, lane, now) > now
                ):
                    far.append(held)
                    continue
                mate = self.go(held, lane, now, writer)
                lane.sends[mate], held.lost, held.overdue = held, True, NEVER  # it holds no slot of its own
                mate.carried_by, send.coalesced_units, soft = send, units, min(soft, own)
                send.coalesced = [*(send.coalesced or ()), mate]
                low, high = min(low, first), max(high, last)
            waiting = far

    def settle(self, send: Attempt, now: float, writer: DecisionSink) -> None:
        lane, rpc = self.lanes[send.node], send.request
        self.stir(lane, now)
        job = lane.sends[send]
        ok = send.outcome is Outcome.OK and not send.carried_by
        self.report(lane, ANSWERED if ok else ENDED, rpc.units, send.latency_ms, now)
        lane.answered(send, now, self.tight)
        self.gate.outcome(send, now)
        job.volume.pass_time(now)
        job.volume.charge(send.units_elsewhere)
        if rpc.finished:
            self.finish(job, now)
        elif rpc in self.jobs and not job.out and job.queue is None:
            again = len(rpc.attempts) < self.permits.max_attempts and now < min(
                job.soft, rpc.deadline_ms - BEAT_MS
            )
            if again and send.outcome is not Outcome.TIMED_OUT and self.gate.repeatable(rpc, send.node, now):
                self.place(job, now)
            else:
                self.give_up(job, now, writer)

    def give_up(self, job: QueuedRequest, now: float, writer: DecisionSink) -> None:
        """Answer at once, with a come-back time where one is heeded."""
        self.ended[0][job.rpc.volume, job.rpc.key] = job.soft
        if self.gate.may_reject(job.rpc):
            writer.reject(job.rpc, self.permits.max_retry_after_ms)
        else:
            writer.error(job.rpc)
        self.finish(job, now)

    def finish(self, job: QueuedRequest, now: float) -> None:
        job.join(None)
        if not job.out:
            for heir in self.gate.leave(job):
                self.stir(heir.lane, now)
            self.jobs.pop(job.rpc, None)

    def sweep(self, lane: NodeQueue, now: float, writer: DecisionSink) -> None:
        """Give up at once what can earn no more than little; batch of due units may still earn late."""
        for job in [*lane.pressed, *lane.batch]:
            rpc, needs = job.rpc, lane.expected(job.rpc.units)
            late, over = job.soft - needs, rpc.deadline_ms - max(needs, BEAT_MS)
            if now > late and job.pressed:  # else the controller sees survivors only
                lane.views.append((now, (rpc.deadline_ms - job.taken) / rpc.workload.latency_objective_ms))
            lost = lane.node.state is not NodeState.LIVE and (lane is not self.unplaced or rpc.shard >= 0)
            vain = lost or lane.strikes or job.pressed or job.level <= self.earnings.beyond_quota
            if now > over or (now > late and vain):
                self.give_up(job, now, writer)
                continue
            lane.due = min(lane.due, over, late if now <= late else NEVER)
            if lost:
                self.place(job, now)

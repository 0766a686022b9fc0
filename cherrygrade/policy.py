"""Every decision of a dispatcher. The host program calls `Dispatcher.decide` once a round with all that
came in and a writer that takes the decisions; the types of both stand in `cherrygrade/interface.py`.

The design is Cake's. A node's lane keeps a pressed and a batch queue; share picks between them, reserved
slots keep the window free for the pressed side, a controller moves both by normalized p99 latency, and
AIMD bounds what is out at the node. Beside it stand:
1. due: what of a volume's units still earns full value, told from its own and others' use (Volume);
2. the gate: the seven rules, at one place that every send passes (Gate);
3. health: silence or broken connections leave a node one trial send at growing waits (Lane.trouble);
4. giving up: an RPC that cannot earn any more is answered at once (Dispatcher.sweep);
5. further sends: what proved not to have run, or may run again, goes back to its queue (Dispatcher.settle);
6. the pick: a new object goes where most credit (free window slots) is left, or waits unplaced.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Sequence
from zlib import crc32

from cherrygrade.interface import ColdStart, Earnings, Effect, Node, Outcome, Permits  # isort: split

from cherrygrade.interface import Plan, ResendBudget, Rpc, Send, Standing, Workload, Writer

BEAT_MS = 10.0  # how often waiting RPCs and the controllers are looked at
VIEW_MS = 2000.0  # answers that the controller's p99 is taken over
INTERVAL_MS = 200.0  # controller steps
WINDOW_MS = 1000.0  # window steps
FLOOR, START, CEILING = 1.0, 2.0, 72.0  # window: many dispatchers share a node, so the floor is one slot
LOW, HIGH = 0.05, 0.12  # window bounds: waiting at the node, as a part of the soft deadline


class Volume:
    """What is due to a volume through this dispatcher. Dropped once it has been idle (Dispatcher.beat)."""

    def __init__(self, plan: Plan, hosts: int, now: float, earnings: Earnings) -> None:
        self.plan, self.hosts, self.seen = plan, hosts, now
        # Ours is all of the due, less what nodes tell of others' use; where they don't, an even part.
        self.part = 1.0 if earnings.tells_elsewhere else 1.0 / hosts
        self.pot = self.depth = plan.reserve_rate * self.part + earnings.largest_units
        self.store = 0.0  # of the plan's limit; empty at the start, as a dispatcher before this one had it

    def pass_time(self, now: float) -> None:
        gap, self.seen = now - self.seen, now
        self.pot = min(self.depth, self.pot + self.plan.reserve_rate * self.part * gap / 1000.0)
        limit = self.plan.limit_rate / self.hosts * gap / 1000.0
        self.store = min(self.plan.limit_depth / self.hosts, self.store + limit)

    def reserve(self, units: float, rank: float) -> bool:
        """Take units from the reserve; workloads of lower value leave some of it to the others."""
        if self.pot < units + self.depth * (1.0 - rank) * 0.5 or not self.plan.reserve_rate:
            return False
        self.pot -= units
        return True


class Job:
    """An RPC held here, from being taken until it is over and no send of it is out."""

    def __init__(self, rpc: Rpc, volume: Volume, now: float, soft: float) -> None:
        self.rpc, self.volume, self.taken, self.soft = rpc, volume, now, soft
        self.level = 1.0  # part of the value that its units still earn
        self.key = (0.0, 0.0)
        self.queue: list[Job] | None = None
        self.lane: Lane | None = None
        self.pressed = False
        self.lost = False

    @property
    def out(self) -> bool:
        return any(send.outcome is None for send in self.rpc.sends)

    def unqueue(self) -> None:
        if self.queue is not None:
            self.queue.remove(self)
            self.queue = None


class Lane:
    """One node as this dispatcher uses it: two queues, share, reserved slots, window and health."""

    def __init__(self, node: Node, now: float, tight: float) -> None:
        self.node, self.tight = node, tight
        self.pressed: list[Job] = []
        self.batch: list[Job] = []
        self.share, self.reserved, self.lead = 0.5, 0, 0.0
        self.window, self.filled, self.contended = START, False, False
        self.waits: list[float] = []  # waiting at the node over soft deadline; emptied each window step
        self.views: deque[tuple[float, float]] = deque()  # latency over soft deadline; drops the old
        self.sends: dict[Send, Job] = {}  # out at the node; emptied by their outcomes
        self.batch_out = 0
        self.last: Send | None = None  # the newest send, and whether it went beyond the window
        self.rode = False
        self.busy = 0  # sends out that are not taken for lost
        self.virtual = 0.0
        self.tags: dict[Volume, float] = {}  # finish tags; dropped once behind virtual time
        self.unit_ms = self.answer_ms = self.queue_ms = 0.0  # a unit's work; a unit's answer; waiting there
        self.next_step, self.next_window = now + INTERVAL_MS, now + WINDOW_MS
        self.strikes, self.trial_at = 0, 0.0
        self.last_answer, self.errors, self.warm_from = now, 0.0, -1e12
        self.cold: deque[tuple[float, float]] = deque()  # units sent while cold; drops what left the span

    def slots(self) -> int:
        return 1 if self.strikes else int(self.window)

    def expected(self, units: float) -> float:
        return self.queue_ms + units * self.unit_ms

    def sides(self) -> list[list[Job]]:
        """The queues that may fill a slot, the one that share picks first."""
        free = self.slots() - self.busy
        if free <= 0 or not (self.pressed or self.batch):
            self.filled = self.filled or free <= 0
            return []
        self.contended = self.contended or bool(self.pressed and self.batch)
        sides = [self.pressed, self.batch] if self.lead <= 0.0 else [self.batch, self.pressed]
        # Other hosts' pressed RPCs are seen only as waiting at the node: batch yields to them too.
        crowded = self.window < 2.0 and self.queue_ms > 0.25 * self.tight
        # A slow node keeps slots reserved for good: they are lent while no pressed RPC waits or is out.
        kept = min(self.reserved, self.slots() - 1) if self.pressed or self.batch_out < self.busy else 0
        if crowded or self.batch_out >= self.slots() - kept:
            sides.remove(self.batch)
        return [side for side in sides if side]

    def riders(self) -> list[Job]:
        """An RPC on the key sent last costs a node much less right behind it: one goes beyond the window."""
        last = self.last
        if last is None or last.outcome or not last.rpc.key or self.rode or self.strikes:
            return []
        return [job for job in [*self.pressed, *self.batch] if job.rpc.key == last.rpc.key]

    def tag(self, volume: Volume, units: float) -> float:
        """Charge units to the volume's share of this node, and tell where it stood."""
        tag = max(self.virtual, self.tags.get(volume, 0.0))
        self.tags[volume] = tag + units / max(volume.plan.weight * volume.part, 1e-6)
        return tag

    def charge(self, job: Job) -> None:
        units = job.rpc.units
        if not (self.pressed and self.batch):  # what nobody else waited for is owed to nobody
            self.lead = 0.0
        elif job.queue is self.pressed:
            self.lead += units / max(self.share, 0.01)
        else:
            self.lead -= units / max(1.0 - self.share, 0.01)

    def step(self, now: float) -> None:
        """The controller: share by the linear target, capped; then reserved slots (Algorithm 1)."""
        self.next_step = now + INTERVAL_MS
        self.queue_ms *= 1.0 if self.sends else 0.8  # idle: nothing tells of the waiting any more
        while self.views and self.views[0][0] < now - VIEW_MS:
            self.views.popleft()
        seen = sorted(view for _, view in self.views)
        seen += [(now - job.taken) / job.rpc.workload.soft_ms for job in self.pressed[:1]]
        contended, self.contended = self.contended or bool(self.batch), False
        if not seen or not contended:  # share decides nothing on a node where batch did not wait
            return
        late = max(seen[int(0.99 * (len(seen) - 1) + 0.5)], seen[-1] if self.pressed else 0.0)
        perf = 1.0 / max(late, 1e-6)
        shared = self.slots() - self.reserved
        moved = min(abs(self.share - min(self.share / perf, 1.0)), self.share * 0.1)
        if perf < 1.0:
            if self.share > 0.99 and shared > 1:
                self.share, self.reserved = self.share - 1.0 / shared, self.reserved + 1
            else:
                self.share = min(1.0, self.share + moved)
        elif perf > 1.2:
            if self.share < 0.01 and self.reserved:
                self.reserved -= 1
                self.share = min(1.0, self.share + 1.0 / (shared + 1))
            else:
                self.share -= moved

    def resize(self, now: float) -> None:
        """The AIMD window. It grows only when it was filled, so it cannot drift up unused."""
        self.next_window = now + WINDOW_MS
        if self.waits:
            mean = sum(self.waits) / len(self.waits)
            if mean > HIGH:
                self.window = max(FLOOR, self.window * 0.75)
            elif mean < LOW and self.filled:
                self.window = min(CEILING, self.window + 1.0)
        self.waits, self.filled = [], False
        if self.reserved >= int(self.window):  # a reserved slot that the window takes comes back as share
            self.reserved = int(self.window) - 1
            self.share = min(1.0, self.share + 1.0 / (int(self.window) - self.reserved))
        self.tags = {volume: tag for volume, tag in self.tags.items() if tag > self.virtual}

    def watch(self, now: float, patience: float) -> None:
        """Guards against lost messages and silent nodes: a long overdue send holds no slot any more."""
        silent = False
        for send, job in self.sends.items():
            if not job.lost and now - send.sent_ms > patience + self.expected(send.rpc.units):
                job.lost = True
                self.busy -= 1
                self.batch_out -= not job.pressed
                silent = silent or self.last_answer < send.sent_ms
        if silent:
            self.trouble(now, patience)

    def trouble(self, now: float, patience: float) -> None:
        """Guards against dead, silent and unreachable nodes: single trials at waits that double."""
        self.strikes += 1
        self.trial_at = now + min(patience * (2.0 ** min(self.strikes - 1, 6) - 1.0), 4000.0)

    def answered(self, send: Send, now: float, patience: float) -> None:
        job = self.sends.pop(send)
        if not job.lost:
            self.busy -= 1
            self.batch_out -= not job.pressed
        outcome, units = send.outcome, max(send.rpc.units, 1e-6)
        if outcome is Outcome.UNCONNECTED:  # a reset may be the connection's trouble only: it strikes nobody
            self.trouble(now, patience)
        if outcome in (Outcome.OK, Outcome.ERRORED, Outcome.FULL):
            if self.strikes > 1:  # it was down, and may be cold before the list says so
                self.warm_from = max(self.warm_from, now)
            self.strikes, self.last_answer = 0, now
            self.errors += 0.1 * ((outcome is not Outcome.OK) - self.errors)
        if outcome is Outcome.OK:
            rate = send.took_ms / units
            if not self.unit_ms:
                self.unit_ms = self.answer_ms = rate
            self.answer_ms += 0.05 * (rate - self.answer_ms)
            self.unit_ms *= 1.002 if rate > self.unit_ms else 0.98
        if outcome is Outcome.OK or (outcome is Outcome.TIMED_OUT and self.last_answer < send.sent_ms):
            wait = max(0.0, send.took_ms - units * self.unit_ms)
            self.queue_ms += 0.2 * (min(wait, 4.0 * self.queue_ms + 50.0) - self.queue_ms)
            self.waits.append(min(1.0, wait / send.rpc.workload.soft_ms))
            if job.pressed:
                self.views.append((now, (now - job.taken) / send.rpc.workload.soft_ms))


class Gate:
    """The seven rules. Every send passes `admits`, and every final rejection `may_reject`."""

    def __init__(self, dispatchers: int, cold: ColdStart, budget: ResendBudget | None, permits: Permits,
                 key_rest_ms: float) -> None:
        self.dispatchers, self.cold, self.budget, self.permits = dispatchers, cold, budget, permits
        self.key_rest_ms = key_rest_ms
        self.taken: deque[float] = deque()  # both drop what left the budget's span
        self.further: deque[float] = deque()
        self.turns: dict[str, deque[Job]] = {}  # ordered RPCs by key; a key goes when none is left
        self.rests: dict[str, float] = {}  # dropped once over

    def take(self, job: Job, now: float) -> None:
        if self.budget:
            self.taken.append(now)
        if job.rpc.workload.in_order and job.rpc.key:
            self.turns.setdefault(job.rpc.key, deque()).append(job)

    def leave(self, job: Job) -> None:
        """The RPC is over and nothing of it is out: the next of its key may go."""
        turn = self.turns.get(job.rpc.key)
        if turn is not None and job in turn:
            turn.remove(job)
            if not turn:
                del self.turns[job.rpc.key]

    def outcome(self, send: Send, now: float) -> None:
        if send.rpc.workload.in_order and send.outcome.may_still_run and send.rpc.key:
            self.rests[send.rpc.key] = now + self.key_rest_ms

    def pass_time(self, now: float) -> None:
        for times in (self.taken, self.further):
            while times and times[0] <= now - self.budget.span_ms:
                times.popleft()
        self.rests = {key: until for key, until in self.rests.items() if until > now}

    def cold_room(self, lane: Lane, now: float) -> float:
        """Units a just-started node still bears from here: an even part, growing as it must warm."""
        cold = self.cold
        age = now - max(lane.node.born_ms or -1e12, lane.warm_from)
        if not cold.units or age >= cold.warm_ms:
            lane.cold.clear()
            return 1e12
        while lane.cold and lane.cold[0][0] < now - cold.span_ms:
            lane.cold.popleft()
        warm = cold.share + (1.0 - cold.share) * max(0.0, age - cold.span_ms) / cold.warm_ms
        # One unit at a time, as slowly as it answered before, is less than any node can do.
        known = cold.multiple * cold.share * cold.span_ms / lane.answer_ms if lane.answer_ms else 0.0
        room = max(cold.units, known) * warm / cold.share / self.dispatchers - sum(u for _, u in lane.cold)
        return room if lane.cold else max(room, cold.units)

    def may_reject(self, rpc: Rpc) -> bool:
        ran = any(send.outcome is None or not send.outcome.never_ran for send in rpc.sends)
        tokened = rpc.workload.effect is Effect.TOKENED and rpc.workload.group == "all"
        return not ran or tokened or rpc.workload.effect is Effect.IDEMPOTENT

    def repeatable(self, rpc: Rpc, node: Node, now: float) -> bool:
        ran = [send for send in rpc.sends if send.outcome is None or not send.outcome.never_ran]
        if not ran or rpc.workload.effect is Effect.IDEMPOTENT:
            return True
        if rpc.workload.effect is Effect.NON_IDEMPOTENT:
            return False
        group, first = rpc.workload.group, ran[0].node
        same = {"all": True, "zone": first.zone == node.zone, "cell": first.shard == node.shard}
        return same.get(group, False) and now < ran[0].sent_ms + rpc.workload.token_ms

    def admits(self, job: Job, lane: Lane, now: float) -> bool:
        rpc, node, plan = job.rpc, lane.node, job.volume.plan
        if rpc.over or now >= rpc.give_up_ms or len(rpc.sends) >= self.permits.most_sends:
            return False
        if (job.out and not self.permits.copies) or not self.repeatable(rpc, node, now):
            return False
        if node.standing is not Standing.LIVE or rpc.shard not in (-1, node.shard):
            return False
        if self.cold_room(lane, now) < rpc.units:
            return False
        if rpc.workload.in_order and rpc.key:
            if self.turns[rpc.key][0] is not job or now < self.rests.get(rpc.key, now):
                return False
        if rpc.sends and self.budget:
            if len(self.further) + 1 > self.budget.spare + self.budget.share * len(self.taken):
                return False
        return bool(rpc.sends) or not plan.limit_rate or job.volume.store >= rpc.units

    def sent(self, job: Job, lane: Lane, now: float) -> None:
        if job.rpc.sends and self.budget:
            self.further.append(now)
        if not job.rpc.sends:
            job.volume.store -= job.rpc.units
        lane.cold.append((now, job.rpc.units))


class Dispatcher:
    def __init__(self, *, seed: int, dispatchers: int, workloads: Sequence[Workload], earnings: Earnings,
                 cold: ColdStart, budget: ResendBudget | None, permits: Permits, key_rest_ms: float) -> None:
        self.seed, self.count, self.earnings, self.permits = seed, 0, earnings, permits
        self.gate = Gate(dispatchers, cold, budget, permits, key_rest_ms)
        self.top = max((workload.value for workload in workloads), default=1.0)
        self.tight = min((workload.soft_ms for workload in workloads), default=1000.0)
        self.tries: dict[Workload, float] = {}  # longest time given for a try; a workload each
        self.volumes: dict[str, Volume] = {}
        self.jobs: dict[Rpc, Job] = {}
        self.lanes: dict[Node, Lane] = {}  # a machine each; dropped once gone with nothing left in it
        self.unplaced = Lane(Node(""), 0.0, self.tight)  # new objects that no node has credit for
        self.next_beat = 0.0
        self.ask_at = 0.0 if permits.must_ask else 1e15
        self.ask_wait = 1000.0

    def decide(
        self, now: float, writer: Writer, *, taken: Sequence[Rpc] = (), answers: Sequence[Send] = (),
        begun: Sequence[Send] = (), left: Sequence[Rpc] = (), heard: Sequence[Node] = (),
        probed: Sequence[tuple[Node, bool, float, dict[str, float]]] = (), list_answered: bool | None = None,
    ) -> None:
        self.list(now, heard, list_answered)
        for send in answers:
            self.settle(send, now, writer)
        for rpc in left:
            if rpc in self.jobs:
                self.finish(self.jobs[rpc])
        for rpc in taken:
            self.take(rpc, now, writer)
        if now > self.next_beat - 1.0:  # a wake may come a rounding early
            self.beat(now, writer)
        for lane in self.lanes.values():
            self.fill(lane, now, writer)

    def list(self, now: float, heard: Sequence[Node], answered: bool | None) -> None:
        for node in heard:
            self.lanes.setdefault(node, Lane(node, now, self.tight))
        if answered is not None and self.permits.must_ask:
            self.ask_at = 1e15 if answered else now + self.ask_wait
            self.ask_wait = 1000.0 if answered else min(self.ask_wait * 2.0, self.permits.ask_within_ms)

    def take(self, rpc: Rpc, now: float, writer: Writer) -> None:
        if rpc.workload is None or rpc.plan is None:
            writer.reject(rpc, 0.0)
            return
        volume = self.volumes.setdefault(rpc.volume, Volume(rpc.plan, rpc.hosts, now, self.earnings))
        volume.pass_time(now)
        left = rpc.give_up_ms - now
        longest = self.tries[rpc.workload] = max(self.tries.get(rpc.workload, 0.0), left)
        job = self.jobs[rpc] = Job(rpc, volume, now, now + rpc.workload.soft_ms - (longest - left))
        self.gate.take(job, now)
        if left <= 2.0 * BEAT_MS:
            self.give_up(job, now, writer)
            return
        self.place(job, now)
        self.rank(job, now)

    def place(self, job: Job, now: float) -> None:
        """Reads go to the node that holds the data, new objects where most credit is left."""
        if job.rpc.shard >= 0:
            lanes = [lane for lane in self.lanes.values() if lane.node.shard == job.rpc.shard]
            live = [lane for lane in lanes if lane.node.standing is Standing.LIVE]
            job.lane = [*live, *lanes, self.unplaced][0]
            return
        best, job.lane = 0.0, self.unplaced
        lanes = list(self.lanes.values())
        self.count += 1
        turn = crc32(f"{self.seed}:{self.count}".encode()) % max(1, len(lanes))
        for lane in lanes[turn:] + lanes[:turn]:
            if lane.node.standing is not Standing.LIVE or lane.strikes or lane.errors > 0.3:
                continue
            credit = lane.slots() - lane.busy - len(lane.pressed)
            if credit > best and self.gate.cold_room(lane, now) >= job.rpc.units:
                best, job.lane = credit, lane

    def rank(self, job: Job, now: float) -> None:
        """Find what the RPC's units still earn, and so its side and its place there."""
        rpc, volume, lane = job.rpc, job.volume, job.lane
        workload, plan = rpc.workload, volume.plan
        tag = 0.0
        if volume.reserve(rpc.units, workload.value / self.top):
            job.level = 1.0
        else:
            tag = lane.tag(volume, rpc.units)
            ahead = (tag - lane.virtual) * plan.weight / max(plan.usual_rate, 1e-6)
            job.level = self.earnings.in_share if ahead <= 0.1 else self.earnings.beyond
        high = workload.value * 2.0 > self.top and workload.soft_ms <= 2.0 * self.tight
        in_time = now + lane.expected(rpc.units) <= job.soft
        job.pressed = high and in_time and job.level > self.earnings.beyond
        value = workload.value * (1.0 if in_time else workload.late_part) * plan.price * job.level
        job.key = (-value, tag)  # equals keep the order they came in
        self.enqueue(job)

    def enqueue(self, job: Job) -> None:
        job.queue = job.lane.pressed if job.pressed else job.lane.batch
        insort(job.queue, job, key=lambda held: held.key)

    def fill(self, lane: Lane, now: float, writer: Writer) -> None:
        if lane.node.standing is not Standing.LIVE or (lane.strikes and now < lane.trial_at):
            return
        while self.fill_one(lane, now, writer):
            pass

    def fill_one(self, lane: Lane, now: float, writer: Writer) -> bool:
        spare = self.unplaced
        if not lane.strikes and lane.errors <= 0.3 and lane.busy < lane.slots():
            for side, own in ((spare.pressed, lane.pressed), (spare.batch, lane.batch)):
                job = side[0] if side else None
                if job and job.rpc.shard < 0 and (not own or job.taken < own[0].taken):
                    if self.gate.cold_room(lane, now) >= job.rpc.units:
                        job.unqueue()
                        job.lane = lane
                        self.enqueue(job)
        for side in [lane.riders(), *lane.sides()]:
            for job in side:
                if not self.gate.admits(job, lane, now):
                    continue
                lane.charge(job)
                if job.pressed or not lane.pressed:
                    lane.virtual = max(lane.virtual, job.key[1])
                job.unqueue()
                self.gate.sent(job, lane, now)
                lane.last = writer.send(job.rpc, lane.node, job.rpc.give_up_ms - now)
                lane.sends[lane.last] = job
                lane.rode = lane.busy >= lane.slots()
                lane.batch_out += not job.pressed
                lane.busy += 1
                job.lost = False
                return True
        return False

    def settle(self, send: Send, now: float, writer: Writer) -> None:
        lane = self.lanes[send.node]
        job = lane.sends[send]
        lane.answered(send, now, self.tight)
        self.gate.outcome(send, now)
        job.volume.pass_time(now)
        job.volume.pot -= send.elsewhere
        lane.tag(job.volume, send.elsewhere)
        rpc = send.rpc
        if rpc.over:
            self.finish(job)
        elif job.out or job.queue is not None or rpc not in self.jobs:
            return
        elif send.outcome is Outcome.TIMED_OUT or not self.again(job, now):
            self.give_up(job, now, writer)
        else:
            self.place(job, now)
            self.enqueue(job)

    def again(self, job: Job, now: float) -> bool:
        if len(job.rpc.sends) >= self.permits.most_sends or now + BEAT_MS >= job.rpc.give_up_ms:
            return False
        return job.soft > now and self.gate.repeatable(job.rpc, job.rpc.sends[-1].node, now)

    def give_up(self, job: Job, now: float, writer: Writer) -> None:
        """Answer at once, with a come-back time where one is heeded."""
        if self.gate.may_reject(job.rpc):
            writer.reject(job.rpc, self.permits.come_back_ms)
        else:
            writer.error(job.rpc)
        self.finish(job)

    def finish(self, job: Job) -> None:
        job.unqueue()
        if not job.out:
            self.gate.leave(job)
            self.jobs.pop(job.rpc, None)

    def beat(self, now: float, writer: Writer) -> None:
        self.next_beat = now + BEAT_MS
        writer.wake(BEAT_MS)
        if now >= self.ask_at:
            self.ask_at = 1e15
            writer.subscribe()
        self.gate.pass_time(now)
        for lane in [*self.lanes.values(), self.unplaced]:
            if now >= lane.next_step:
                lane.step(now)
            if now >= lane.next_window:
                lane.resize(now)
            lane.watch(now, 1.5 * self.tight)
            self.sweep(lane, now, writer)
        self.volumes = {name: volume for name, volume in self.volumes.items() if now - volume.seen < 60000.0}
        for lane in list(self.lanes.values()):
            if lane.node.standing is Standing.GONE and not (lane.sends or lane.pressed or lane.batch):
                del self.lanes[lane.node]

    def sweep(self, lane: Lane, now: float, writer: Writer) -> None:
        """Give up at once what can earn no more than little; batch of due units may still earn late."""
        for job in [*lane.pressed, *lane.batch]:
            needs = lane.expected(job.rpc.units)
            late = now + needs > job.soft
            over = now + max(needs, 2.0 * BEAT_MS) > job.rpc.give_up_ms
            if late and job.pressed:  # its client waits in vain; else the controller sees survivors only
                lane.views.append((now, (job.rpc.give_up_ms - job.taken) / job.rpc.workload.soft_ms))
            lost = lane.node.standing is not Standing.LIVE or (lane is self.unplaced and job.rpc.shard >= 0)
            if over or (late and (lost or lane.strikes or job.pressed or job.level <= self.earnings.beyond)):
                self.give_up(job, now, writer)
            elif lost:
                job.unqueue()
                self.place(job, now)
                self.enqueue(job)

"""Rules 4 and 7 over all dispatchers while settings change under them: greedy seats, each with a module of
its own that goes over to the new version at a time of its own; sums are judged from what was sent."""

from __future__ import annotations

import random
import sys
from dataclasses import replace
from itertools import count
from types import SimpleNamespace
from zlib import crc32

import pytest
from scheduling.test_compiled import decisions_of_seeded_run

from cherrygrade import compiled
from cherrygrade.fleet.config.joint_phase import quota_parts
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.runtime.peer_directory import FleetPeerDirectory
from cherrygrade.gateway.settings_in_force import apply_settings, derive_settings
from cherrygrade.scheduling import scheduler
from cherrygrade.scheduling.latency_estimate import SharedLatency
from cherrygrade.scheduling.model import (
    Node,
    PeerDirectory,
    Request,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.scheduling.slow_start import SlowStartLimit
from cherrygrade.scheduling.timing import NEVER_MS
from cherrygrade.settings import (
    DispatcherIdentity,
    ExtentSettings,
    FlowControlSettings,
    LimitSettings,
    NodeConnectionSettings,
    SchedulingSettings,
    SiteSettings,
    TrafficSettings,
    UnitSettings,
)
from cherrygrade.settings import VolumeSettings as Dealt

READ = Workload("read", 250.0, 2000.0, 1.0)
PERMITS = SitePolicy(max_attempts=4)
COLD = SlowStartSettings(
    base_units=12.0, cold_capacity=0.25, overload_multiple=3.0, window_ms=1000.0, warm_up_ms=60_000.0
)
GOLD = ServicePlan("gold", limit_rate=300.0, limit_burst=120.0)
IDS = count()
STEP_MS = 25.0


def site(dispatchers: int, cold: SlowStartSettings = COLD, plan: ServicePlan = GOLD, **more) -> SiteSettings:
    """Volume `v` comes through all, `w` through two."""
    volumes = {"v": Dealt(plan, dispatchers), "w": Dealt(plan, more.get("hosts", 2))}
    return SiteSettings(
        DispatcherIdentity("d", "127.0.0.1:1", "127.0.0.1:2", 0, dispatchers, 1),
        TrafficSettings({"read": READ}, volumes, UnitSettings(4096.0, 1.0)),
        SchedulingSettings(more.get("earnings", UtilityModel()), cold, more.get("budget"), PERMITS),
        LimitSettings(),
        NodeConnectionSettings(),
        ExtentSettings(),
        FlowControlSettings(),
    )


def divisors(of: SiteSettings) -> QuotaDivisors:
    return QuotaDivisors(
        of.place.dispatchers, tuple((name, one.hosts) for name, one in of.trade.volumes.items())
    )


class Seat:
    """One dispatcher: its module, and all that it sent: time, node or volume, units."""

    def __init__(self, number: int, first: SiteSettings, now: float, made=Scheduler) -> None:
        core = SimpleNamespace(fleet_size=first.place.dispatchers, forfeits_seat=False)
        self.number, self.company = number, FleetPeerDirectory(core, number)
        self.text = sys.modules[made.__module__]  # the module as it reads, or as it was compiled
        bearings = first.bearings
        self.module = made(
            seed=number,
            number=number,
            dispatchers=first.place.dispatchers,
            workloads=[READ],
            utility=bearings.earnings,
            slow_start=bearings.cold,
            retry_budget=bearings.budget,
            policy=PERMITS,
            key_rest_ms=0.0,
            peers=self.company,
        )
        self.module.admission.slow_start.owned_since_ms = now - 60_000.0
        self.chance = random.Random(number)
        self.told: dict[Node, float] = {}
        self.sent: list[tuple[float, str, float]] = []
        self.into(first, None, now)

    def into(self, new: SiteSettings, old: QuotaDivisors | None, now: float, sure: bool = True) -> None:
        """In force; `old` while parts move."""
        dealt = quota_parts(self.number, divisors(new), old, sure)
        made = derive_settings(new, dealt, old)
        self.trade, self.fewest = made.trade, made.min_hosts
        apply_settings(self.module, self.company, made, now)

    def wants_all(self, nodes: list[Node], now: float, *, quiet: bool = False) -> None:
        """All that rules 4 and 7 let through, each node asked in turn."""
        for node in nodes:
            if now < self.told[node]:
                continue
            if node not in self.module.node_queues:
                self.module.update_endpoints(now, [node], None)
            lane = self.module.node_queues[node]
            for units in (1.0, 2.0, 1.0):
                while not quiet and self.goes(lane, units, "", now):
                    self.sent.append((now, node.address, units))
        for name, dealt in self.trade.volumes.items():
            if name == "w" and self.number >= self.fewest[name]:
                continue  # its clients come to more dispatchers once the move is over, to fewer before
            due = self.text.VolumeQuota(dealt.plan, dealt.hosts, now, UtilityModel())
            due = self.module.volumes.setdefault(name, due)
            due.refill(now)
            units = self.chance.choice([1.0, 3.0])
            while not quiet and self.goes(None, units, name, now):
                self.sent.append((now, name, units))

    def goes(self, lane: NodeQueue | None, units: float, name: str, now: float) -> bool:
        gate = self.module.admission
        rpc = Request(READ, ServicePlan("p"), name, 1, "", -1, units, now + 2000.0, id=str(next(IDS)))
        due = (
            self.module.volumes[name]
            if name
            else self.text.VolumeQuota(ServicePlan("p"), 1, now, UtilityModel())
        )
        lane = lane or self.text.NodeQueue(Node("warm"), now, 250.0, self.text.SharedLatency(250.0), [])
        job = self.text.QueuedRequest(rpc, READ, due, now, now + 250.0)
        if gate.earliest_start_ms(job, lane, now) > now:
            return False
        gate.record_attempt(job, lane, now)
        return True


class Day:
    """Seats that go over from one site to another, through joint use where divisors move."""

    def __init__(self, before: SiteSettings, after: SiteSettings, seed: int, *, joint: bool = True) -> None:
        self.chance, self.now, self.joint = random.Random(seed), 1_000_000.0, joint
        self.before, self.after = before, after
        self.moves = divisors(before) != divisors(after)
        seats = max(before.place.dispatchers, after.place.dispatchers)
        self.seats = [Seat(number, before, self.now) for number in range(seats)]
        self.nodes = [Node(f"10.0.0.{at}:1", shard=at) for at in range(3)]

    def play(self) -> None:
        spread = self.chance.choice([100.0, 900.0, 2000.0])
        first = self.now + 2500.0
        goes = {seat: first + self.chance.uniform(0.0, spread) for seat in self.seats}
        settles = max(goes.values()) + STEP_MS
        settled = {seat: settles + self.chance.uniform(0.0, spread) for seat in self.seats}
        # Saved up and spent just before it goes over, or a short span before.
        early, late = self.chance.choice([(2500.0, 2500.0), (0.0, 60.0), (1020.0, 1200.0)])
        quiet = {seat: goes[seat] - self.chance.uniform(early, late) for seat in self.seats}
        for node, at in zip(self.nodes, (self.now + 50.0, first - 300.0, settles - 150.0), strict=True):
            node.started_ms = at
            for seat in self.seats:
                seat.told[node] = at + self.chance.choice([20.0, 200.0, self.chance.uniform(0.0, 1500.0)])
        old = divisors(self.before) if self.moves and self.joint else None
        came: set[Seat] = set()
        done: set[Seat] = set()
        while self.now < max(settled.values()) + 3000.0:
            self.now += STEP_MS
            self.chance.shuffle(self.seats)
            for seat in self.seats:
                if seat not in came and self.now >= goes[seat]:
                    came.add(seat)
                    seat.into(self.after, old, self.now)
                if old and seat not in done and self.now >= settled[seat]:
                    done.add(seat)
                    seat.into(self.after, None, self.now)
                seat.wants_all(self.nodes, self.now, quiet=self.now < quiet[seat])

    def sends(self, name: str) -> list[tuple[float, float]]:
        return sorted((at, units) for seat in self.seats for at, what, units in seat.sent if what == name)


def most_in_span(sends: list[tuple[float, float]], span: float) -> float:
    first, total, most = 0, 0.0, 0.0
    for at, units in sends:
        total += units
        while sends[first][0] < at - span:
            total -= sends[first][1]
            first += 1
        most = max(most, total)
    return most


def over_bucket(sends: list[tuple[float, float]], plans: list[ServicePlan]) -> float:
    """By how much any stretch of time passed the larger of the plans' limits; below 0: by nothing."""
    steps: dict[float, float] = {}
    for at, units in sends:
        steps[at] = steps.get(at, 0.0) + units
    times, sums = [*steps], [*steps.values()]
    worst = -NEVER_MS
    for first, begins in enumerate(times):
        total = 0.0
        for at, units in zip(times[first:], sums[first:], strict=True):
            total += units
            within = (at - begins) / 1000.0
            over = [total - plan.limit_burst - plan.limit_rate * within for plan in plans]
            worst = max(worst, min(over))
    return worst


def borne(cold: SlowStartSettings, age: float) -> float:
    """By rule 4, of a node of this age, where answers take 250 ms a unit."""
    bears = max(cold.base_units, cold.overload_multiple * cold.cold_capacity * cold.window_ms / 250.0)
    return bears * (
        1.0 + (1.0 / cold.cold_capacity - 1.0) * max(0.0, age - cold.window_ms / 2.0) / cold.warm_up_ms
    )


def held(day: Day) -> None:
    colds = [day.before.bearings.cold, day.after.bearings.cold]
    for node in day.nodes:
        sends = day.sends(node.address)
        assert sends
        for span in {cold.window_ms for cold in colds}:
            spans = [max(1.0, span / cold.window_ms) for cold in colds]
            most = max(borne(one, day.now - node.started_ms) * n for one, n in zip(colds, spans, strict=True))
            assert most_in_span(sends, span) <= most + 1e-6
    for name in ("v", "w"):
        plans = [one.trade.volumes[name].plan for one in (day.before, day.after)]
        sends = day.sends(name)
        assert sends and over_bucket(sends, plans) <= 1e-6


SIZES = [(9, 12), (12, 9), (2, 3), (3, 2), (30, 40), (40, 30)]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("before, after", SIZES)
def test_the_number_of_dispatchers_moves(before, after, seed):
    day = Day(site(before), site(after, hosts=2 + seed % 2), seed)
    day.play()
    held(day)


SHAPES = [
    (
        ServicePlan("g", limit_rate=300.0, limit_burst=120.0),
        ServicePlan("g", limit_rate=100.0, limit_burst=40.0),
    ),
    (
        ServicePlan("g", limit_rate=100.0, limit_burst=40.0),
        ServicePlan("g", limit_rate=300.0, limit_burst=120.0),
    ),
    (
        ServicePlan("g", limit_rate=100.0, limit_burst=200.0),
        ServicePlan("g", limit_rate=300.0, limit_burst=50.0),
    ),
    (
        ServicePlan("g", limit_rate=300.0, limit_burst=50.0),
        ServicePlan("g", limit_rate=100.0, limit_burst=200.0),
    ),
]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("sizes", [(9, 9), (9, 12), (12, 9)])
@pytest.mark.parametrize("before, after", SHAPES)
def test_a_limit_moves_alone_or_with_the_number_of_dispatchers(before, after, sizes, seed):
    day = Day(site(sizes[0], plan=before), site(sizes[1], plan=after), seed)
    day.play()
    held(day)


COLDS = [
    (COLD, replace(COLD, base_units=40.0)),
    (replace(COLD, base_units=40.0), COLD),
    (COLD, replace(COLD, window_ms=3000.0)),
    (replace(COLD, window_ms=3000.0), COLD),
    (COLD, replace(COLD, cold_capacity=0.8, overload_multiple=8.0)),
    (replace(COLD, base_units=54.0, window_ms=3000.0), replace(COLD, base_units=36.0)),
]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("sizes", [(9, 9), (30, 30), (9, 12)])
@pytest.mark.parametrize("before, after", COLDS)
def test_what_cold_nodes_bear_moves(before, after, sizes, seed):
    day = Day(site(sizes[0], cold=before), site(sizes[1], cold=after), seed)
    day.play()
    held(day)


def units_left_with_one_count(limit: SlowStartLimit, queue: NodeQueue, now: float) -> float:
    """`SlowStartLimit.units_left` as it read before there could be two counts."""
    cold = limit.settings
    age = now - max(queue.node.started_ms or -1e12, queue.health.restarted_ms)
    if not cold.base_units or age >= cold.warm_up_ms:
        return NEVER_MS
    quietest_ms = queue.latency.shared.min_mean_answer_ms
    bears = max(cold.base_units, cold.overload_multiple * cold.cold_capacity * cold.window_ms / quietest_ms)
    bears *= (
        1.0
        + (1.0 / max(cold.cold_capacity, 0.01) - 1.0) * max(0.0, age - cold.window_ms / 2.0) / cold.warm_up_ms
    )
    dispatchers = limit.peers.dispatchers
    part = max(bears / dispatchers, limit.mean_units)
    place = (limit.number + crc32(queue.node.address.encode())) % dispatchers
    spent = sum(units for at, units in queue.warm_up_sends if at >= now - cold.window_ms)
    return part * ((place + 1) * part < bears + 1e-6 and not limit.peers.forfeits_quota) - spent


@pytest.mark.parametrize("seed", range(6))
def test_with_one_count_decisions_are_those_of_before_bit_for_bit(seed, monkeypatch):
    now = decisions_of_seeded_run(scheduler.Scheduler, seed)
    monkeypatch.setattr(SlowStartLimit, "units_left", units_left_with_one_count)
    assert now == decisions_of_seeded_run(scheduler.Scheduler, seed)


def test_with_two_counts_a_part_is_the_smaller_of_the_two():
    node = Node("10.0.0.1:1", started_ms=1_000_000.0)
    queue = NodeQueue(node, 1_000_010.0, 250.0, SharedLatency(250.0), [])
    smaller = 0
    for number in range(40):
        rooms = []
        for counts in ((30,), (40,), (30, 40)):
            company = PeerDirectory(30)
            company.dispatcher_counts = counts
            rooms.append(SlowStartLimit(COLD, number, company, 1.0).units_left(queue, 1_000_020.0))
        assert rooms[2] == min(rooms[:2])
        smaller += rooms[0] != rooms[1]
    assert smaller > 5


def test_the_compiled_module_takes_settings_while_it_runs():
    made, is_compiled = compiled.scheduler_class()
    if not is_compiled:
        pytest.skip("no C compiler here: the program runs the module as it reads")
    one = Seat(0, site(9), 1_000_000.0, made)
    node = Node("10.0.0.0:1", started_ms=1_000_100.0)
    one.told[node] = 0.0
    other = Seat(0, site(9), 1_000_000.0)
    other.told[node] = 0.0
    for seat in (one, other):
        now = 1_000_000.0
        budget = RetryBudgetSettings(5.0, 0.1, 2000.0)
        for step, new in enumerate(
            (site(12), site(12), site(12, budget=budget), site(9, replace(COLD, base_units=5.0)), site(9))
        ):
            seat.into(new, divisors(site(9)) if step == 0 else None, now)
            for _ in range(50):
                now += 20.0
                seat.wants_all([node], now)
    assert one.sent == other.sent and len(one.sent) > 50

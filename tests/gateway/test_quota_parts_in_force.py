"""Limits over all dispatchers while their settings change.

Rule 4 limits the units on a node in slow start, rule 7 those of a volume by its plan. Each simulated
dispatcher has a scheduler of its own, sends as much as its part permits and applies the new settings at its
own time. Guards against a change in which the parts of all dispatchers together exceed the larger of the old
and the new limit. A seat is the number of a dispatcher, from 0.
"""

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
    VolumeSettings,
)

READ = Workload("read", 250.0, 2000.0, 1.0)
PERMITS = SitePolicy(max_attempts=4)
COLD = SlowStartSettings(
    base_units=12.0, cold_capacity=0.25, overload_multiple=3.0, window_ms=1000.0, warm_up_ms=60_000.0
)
GOLD = ServicePlan("gold", limit_rate=300.0, limit_burst=120.0)
IDS = count()
STEP_MS = 25.0


def site(dispatchers: int, cold: SlowStartSettings = COLD, plan: ServicePlan = GOLD, **more) -> SiteSettings:
    """Settings in which volume `v` is divided among all dispatchers and `w` among two."""
    volumes = {"v": VolumeSettings(plan, dispatchers), "w": VolumeSettings(plan, more.get("hosts", 2))}
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
    """One dispatcher with its scheduler; `sent` has the time, the node or volume, and the units."""

    def __init__(self, number: int, first: SiteSettings, now: float, made=Scheduler) -> None:
        core = SimpleNamespace(fleet_size=first.place.dispatchers, forfeits_seat=False)
        self.number, self.peer_directory = number, FleetPeerDirectory(core, number)
        # The interpreted or the compiled module: their types do not mix.
        self.scheduler_module = sys.modules[made.__module__]
        bearings = first.bearings
        self.scheduler = made(
            seed=number,
            number=number,
            dispatchers=first.place.dispatchers,
            workloads=[READ],
            utility=bearings.earnings,
            slow_start=bearings.cold,
            retry_budget=bearings.budget,
            policy=PERMITS,
            key_rest_ms=0.0,
            peers=self.peer_directory,
        )
        self.scheduler.admission.slow_start.owned_since_ms = now - 60_000.0
        self.rng = random.Random(number)
        self.informed_ms: dict[Node, float] = {}
        self.sent: list[tuple[float, str, float]] = []
        self.apply(first, None, now)

    def apply(
        self, new: SiteSettings, old: QuotaDivisors | None, now: float, is_certain: bool = True
    ) -> None:
        """Apply settings. `old`: the divisors before, while they change."""
        parts = quota_parts(self.number, divisors(new), old, is_certain)
        derived = derive_settings(new, parts, old)
        self.trade, self.min_hosts = derived.trade, derived.min_hosts
        apply_settings(self.scheduler, self.peer_directory, derived, now)

    def send_all_permitted(self, nodes: list[Node], now: float, *, is_idle: bool = False) -> None:
        """Send as much as rules 4 and 7 permit, to each node and volume in turn."""
        for node in nodes:
            if now < self.informed_ms[node]:
                continue
            if node not in self.scheduler.node_queues:
                self.scheduler.update_endpoints(now, [node], None)
            node_queue = self.scheduler.node_queues[node]
            for units in (1.0, 2.0, 1.0):
                while not is_idle and self.try_send(node_queue, units, "", now):
                    self.sent.append((now, node.address, units))
        for name, volume in self.trade.volumes.items():
            if name == "w" and self.number >= self.min_hosts[name]:
                continue  # dispatchers beyond the smaller number get requests of `w` only after the change
            quota = self.scheduler_module.VolumeQuota(volume.plan, volume.hosts, now, UtilityModel())
            quota = self.scheduler.volumes.setdefault(name, quota)
            quota.refill(now)
            units = self.rng.choice([1.0, 3.0])
            while not is_idle and self.try_send(None, units, name, now):
                self.sent.append((now, name, units))

    def try_send(self, node_queue: NodeQueue | None, units: float, name: str, now: float) -> bool:
        admission = self.scheduler.admission
        rpc = Request(READ, ServicePlan("p"), name, 1, "", -1, units, now + 2000.0, id=str(next(IDS)))
        quota = (
            self.scheduler.volumes[name]
            if name
            else self.scheduler_module.VolumeQuota(ServicePlan("p"), 1, now, UtilityModel())
        )
        node_queue = node_queue or self.scheduler_module.NodeQueue(
            Node("warm"), now, 250.0, self.scheduler_module.SharedLatency(250.0), []
        )
        queued = self.scheduler_module.QueuedRequest(rpc, READ, quota, now, now + 250.0)
        if admission.earliest_start_ms(queued, node_queue, now) > now:
            return False
        admission.record_attempt(queued, node_queue, now)
        return True


class SettingsChange:
    """Dispatchers that change from one site to another, with a joint phase if divisors change."""

    def __init__(self, before: SiteSettings, after: SiteSettings, seed: int, *, joint: bool = True) -> None:
        self.rng, self.now, self.has_joint_phase = random.Random(seed), 1_000_000.0, joint
        self.before, self.after = before, after
        self.divisors_change = divisors(before) != divisors(after)
        seats = max(before.place.dispatchers, after.place.dispatchers)
        self.seats = [Seat(number, before, self.now) for number in range(seats)]
        self.nodes = [Node(f"10.0.0.{at}:1", shard=at) for at in range(3)]

    def play(self) -> None:
        spread = self.rng.choice([100.0, 900.0, 2000.0])
        first = self.now + 2500.0
        changes_at = {seat: first + self.rng.uniform(0.0, spread) for seat in self.seats}
        settles = max(changes_at.values()) + STEP_MS
        settled = {seat: settles + self.rng.uniform(0.0, spread) for seat in self.seats}
        # Each dispatcher is idle for a while, so that its tokens add up, and sends just before it changes.
        early, late = self.rng.choice([(2500.0, 2500.0), (0.0, 60.0), (1020.0, 1200.0)])
        idle_until = {seat: changes_at[seat] - self.rng.uniform(early, late) for seat in self.seats}
        for node, at in zip(self.nodes, (self.now + 50.0, first - 300.0, settles - 150.0), strict=True):
            node.started_ms = at
            for seat in self.seats:
                seat.informed_ms[node] = at + self.rng.choice([20.0, 200.0, self.rng.uniform(0.0, 1500.0)])
        old = divisors(self.before) if self.divisors_change and self.has_joint_phase else None
        changed: set[Seat] = set()
        done: set[Seat] = set()
        while self.now < max(settled.values()) + 3000.0:
            self.now += STEP_MS
            self.rng.shuffle(self.seats)
            for seat in self.seats:
                if seat not in changed and self.now >= changes_at[seat]:
                    changed.add(seat)
                    seat.apply(self.after, old, self.now)
                if old and seat not in done and self.now >= settled[seat]:
                    done.add(seat)
                    seat.apply(self.after, None, self.now)
                seat.send_all_permitted(self.nodes, self.now, is_idle=self.now < idle_until[seat])

    def sends(self, name: str) -> list[tuple[float, float]]:
        return sorted((at, units) for seat in self.seats for at, what, units in seat.sent if what == name)


def max_units_in_span(sends: list[tuple[float, float]], span: float) -> float:
    first, total, most = 0, 0.0, 0.0
    for at, units in sends:
        total += units
        while sends[first][0] < at - span:
            total -= sends[first][1]
            first += 1
        most = max(most, total)
    return most


def excess_over_limits(sends: list[tuple[float, float]], plans: list[ServicePlan]) -> float:
    """Return by how many units a time span exceeded the larger limit of the plans; below 0 if none did."""
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


def slow_start_limit(cold: SlowStartSettings, age: float) -> float:
    """Return the limit of rule 4 for a node of this age (ms) whose answers take 250 ms a unit."""
    limit_units = max(cold.base_units, cold.overload_multiple * cold.cold_capacity * cold.window_ms / 250.0)
    return limit_units * (
        1.0 + (1.0 / cold.cold_capacity - 1.0) * max(0.0, age - cold.window_ms / 2.0) / cold.warm_up_ms
    )


def assert_limits_held(change: SettingsChange) -> None:
    slow_starts = [change.before.bearings.cold, change.after.bearings.cold]
    for node in change.nodes:
        sends = change.sends(node.address)
        assert sends
        for span in {cold.window_ms for cold in slow_starts}:
            spans = [max(1.0, span / cold.window_ms) for cold in slow_starts]
            most = max(
                slow_start_limit(one, change.now - node.started_ms) * n
                for one, n in zip(slow_starts, spans, strict=True)
            )
            assert max_units_in_span(sends, span) <= most + 1e-6
    for name in ("v", "w"):
        plans = [one.trade.volumes[name].plan for one in (change.before, change.after)]
        sends = change.sends(name)
        assert sends and excess_over_limits(sends, plans) <= 1e-6


SIZES = [(9, 12), (12, 9), (2, 3), (3, 2), (30, 40), (40, 30)]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("before, after", SIZES)
def test_limits_hold_while_the_number_of_dispatchers_changes(before, after, seed):
    change = SettingsChange(site(before), site(after, hosts=2 + seed % 2), seed)
    change.play()
    assert_limits_held(change)


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
def test_limits_hold_while_a_plan_changes(before, after, sizes, seed):
    change = SettingsChange(site(sizes[0], plan=before), site(sizes[1], plan=after), seed)
    change.play()
    assert_limits_held(change)


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
def test_limits_hold_while_slow_start_settings_change(before, after, sizes, seed):
    change = SettingsChange(site(sizes[0], cold=before), site(sizes[1], cold=after), seed)
    change.play()
    assert_limits_held(change)


def units_left_with_one_count(limit: SlowStartLimit, queue: NodeQueue, now: float) -> float:
    """`SlowStartLimit.units_left` of an earlier version, for a single number of dispatchers."""
    cold = limit.settings
    age = now - max(queue.node.started_ms or -1e12, queue.health.restarted_ms)
    if not cold.base_units or age >= cold.warm_up_ms:
        return NEVER_MS
    quietest_ms = queue.latency.shared.min_mean_answer_ms
    limit_units = max(
        cold.base_units, cold.overload_multiple * cold.cold_capacity * cold.window_ms / quietest_ms
    )
    limit_units *= (
        1.0
        + (1.0 / max(cold.cold_capacity, 0.01) - 1.0) * max(0.0, age - cold.window_ms / 2.0) / cold.warm_up_ms
    )
    dispatchers = limit.peers.dispatchers
    part = max(limit_units / dispatchers, limit.mean_units)
    place = (limit.number + crc32(queue.node.address.encode())) % dispatchers
    spent = sum(units for at, units in queue.warm_up_sends if at >= now - cold.window_ms)
    return part * ((place + 1) * part < limit_units + 1e-6 and not limit.peers.forfeits_quota) - spent


@pytest.mark.parametrize("seed", range(6))
def test_single_dispatcher_count_gives_the_decisions_of_the_earlier_version(seed, monkeypatch):
    now = decisions_of_seeded_run(scheduler.Scheduler, seed)
    monkeypatch.setattr(SlowStartLimit, "units_left", units_left_with_one_count)
    assert now == decisions_of_seeded_run(scheduler.Scheduler, seed)


def test_two_dispatcher_counts_give_the_smaller_part():
    node = Node("10.0.0.1:1", started_ms=1_000_000.0)
    queue = NodeQueue(node, 1_000_010.0, 250.0, SharedLatency(250.0), [])
    smaller = 0
    for number in range(40):
        units_left = []
        for counts in ((30,), (40,), (30, 40)):
            peers = PeerDirectory(30)
            peers.dispatcher_counts = counts
            units_left.append(SlowStartLimit(COLD, number, peers, 1.0).units_left(queue, 1_000_020.0))
        assert units_left[2] == min(units_left[:2])
        smaller += units_left[0] != units_left[1]
    assert smaller > 5


def test_compiled_scheduler_applies_settings_like_the_interpreted_one():
    made, is_compiled = compiled.scheduler_class()
    if not is_compiled:
        pytest.skip("the scheduler is not compiled here")
    one = Seat(0, site(9), 1_000_000.0, made)
    node = Node("10.0.0.0:1", started_ms=1_000_100.0)
    one.informed_ms[node] = 0.0
    other = Seat(0, site(9), 1_000_000.0)
    other.informed_ms[node] = 0.0
    for seat in (one, other):
        now = 1_000_000.0
        budget = RetryBudgetSettings(5.0, 0.1, 2000.0)
        for step, new in enumerate(
            (site(12), site(12), site(12, budget=budget), site(9, replace(COLD, base_units=5.0)), site(9))
        ):
            seat.apply(new, divisors(site(9)) if step == 0 else None, now)
            for _ in range(50):
                now += 20.0
                seat.send_all_permitted([node], now)
    assert one.sent == other.sent and len(one.sent) > 50

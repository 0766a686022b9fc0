"""What all dispatchers together send a node that has just come up: greedy, each with readings of its own."""

from __future__ import annotations

import random
from itertools import count

import pytest

from cherrygrade.scheduling.admission import Admission
from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.latency_estimate import SharedLatency
from cherrygrade.scheduling.model import (
    Attempt,
    Node,
    Outcome,
    PeerDirectory,
    Request,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.quota import VolumeQuota
from cherrygrade.scheduling.slow_start import UNLIMITED_UNITS

TIGHT, BORN = 250.0, 1_000_000.0
KIND = Workload("read", TIGHT, 2000.0, 1.0)
IDS = count()


class Seat:
    """One dispatcher's gate, and what it has seen of answers until now: `mean` ms a unit, by chance."""

    def __init__(self, number: int, fleet: int, cold: SlowStartSettings, units: float, mean: float) -> None:
        self.chance = random.Random(number)
        settings = EffectiveSettings(SitePolicy(max_attempts=4), UtilityModel(mean_units=units), [KIND])
        self.gate = Admission(settings, number, PeerDirectory(fleet), cold, None, 0.0)
        self.gate.slow_start.owned_since_ms = BORN - 1e5
        self.shared = SharedLatency(TIGHT)
        warm = NodeQueue(Node("warm"), 0.0, TIGHT, self.shared, [])
        now = BORN - 1e5
        for _ in range(self.chance.choice([300, 500] if fleet > 30 else [300, 3000, 20000])):
            job = self.job(1.0, now)
            send = Attempt(job.request, warm.node, 0, now)
            warm.record_attempt(job, send)
            send.outcome, send.latency_ms = Outcome.OK, self.chance.expovariate(1.0 / mean)
            warm.record_outcome(send, now, TIGHT)
        self.told_at = BORN + self.chance.uniform(0.0, 2000.0)  # lists come at their own time
        self.lane: NodeQueue | None = None

    def job(self, units: float, now: float) -> QueuedRequest:
        rpc = Request(KIND, None, "v", 1, "", 0, units, now + 2000.0, id=str(next(IDS)))
        return QueuedRequest(
            rpc, KIND, VolumeQuota(ServicePlan("p"), 1, now, UtilityModel()), now, now + TIGHT
        )

    def meet(self, node: Node, now: float) -> NodeQueue:
        """The node is listed for the first time."""
        return NodeQueue(node, now, TIGHT, self.shared, self.gate.slow_start.initial_sends(node, now))

    def wants_all(self, node: Node, now: float, sent: list[tuple[float, float]]) -> None:
        if now < self.told_at:
            return
        if self.lane is None:
            self.lane = self.meet(node, now)
        elif self.chance.random() < 0.003:  # it is started anew in the middle of the ramp
            self.gate.slow_start.owned_since_ms = now
            self.lane = self.meet(node, now)
        for units in (self.chance.choice([1.0, 1.0, 1.0, 2.0, 3.0, 6.0]) for _ in range(6)):
            if self.gate.slow_start.units_left(self.lane, now) >= units:
                self.gate.record_attempt(self.job(units, now), self.lane, now)
                sent.append((now, units))


@pytest.mark.parametrize("fleet", [2, 20, 25, 30, 200])
@pytest.mark.parametrize(
    "bears, share, multiple, span, warm, mean",
    [
        (12.0, 0.25, 3.0, 3000.0, 13000.0, 118.0),
        (52.0, 0.25, 3.0, 3000.0, 13000.0, 60.0),
        (12.0, 0.47, 3.0, 3000.0, 13000.0, 20.0),
        (12.0, 0.3, 2.0, 2000.0, 8000.0, 30.0),
    ],
)
def test_all_together_stay_within_the_budget_and_chance(fleet, bears, share, multiple, span, warm, mean):
    # Beyond a budget of N calls, of mean work, only 2 root N + 2 are chance, however many they are.
    units = 2.06
    cold = SlowStartSettings(
        base_units=bears, cold_capacity=share, overload_multiple=multiple, window_ms=span, warm_up_ms=warm
    )
    node = Node("s-5be2a07c", shard=0, started_ms=BORN)
    seats = [Seat(number, fleet, cold, units, mean) for number in range(fleet)]
    sent: list[tuple[float, float]] = []
    for step in range(1, int(warm / 100.0) - 1):
        for seat in seats:
            seat.wants_all(node, BORN + 100.0 * step, sent)

    first, total, used = 0, 0.0, []
    for at, spent in sent:
        total += spent
        while sent[first][0] < at - span:
            total -= sent[first][1]
            first += 1
        grown = 1.0 + (1.0 / share - 1.0) * max(0.0, at - BORN - span / 2.0) / warm
        budget = max(bears, multiple * share * span / mean) * grown / units
        assert total / units <= budget + 2.0 * budget**0.5 + 2.0
        used.append(total / units / budget)
    assert sum(used) / len(used) > 0.4  # and little is left by a fleet that wants all of it
    assert all(
        seat.gate.slow_start.units_left(seat.lane, BORN + warm + 1.0) >= UNLIMITED_UNITS for seat in seats
    )

"""All dispatchers together must not overload a node that has just started.

Each dispatcher sends as much as slow start allows, learns of the node at its own time, and has observed
latencies of its own.
"""

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

OBJECTIVE_MS, STARTED_MS = 250.0, 1_000_000.0
READ = Workload("read", OBJECTIVE_MS, 2000.0, 1.0)
IDS = count()


class SeatAdmission:
    """Admission of one dispatcher, after random answers of a mean latency per unit of `mean_ms`."""

    def __init__(
        self, number: int, dispatchers: int, slow_start: SlowStartSettings, mean_units: float, mean_ms: float
    ) -> None:
        self.rng = random.Random(number)
        settings = EffectiveSettings(SitePolicy(max_attempts=4), UtilityModel(mean_units=mean_units), [READ])
        self.admission = Admission(settings, number, PeerDirectory(dispatchers), slow_start, None, 0.0)
        self.admission.slow_start.owned_since_ms = STARTED_MS - 1e5
        self.shared = SharedLatency(OBJECTIVE_MS)
        warm_queue = NodeQueue(Node("warm"), 0.0, OBJECTIVE_MS, self.shared, [])
        now = STARTED_MS - 1e5
        for _ in range(self.rng.choice([300, 500] if dispatchers > 30 else [300, 3000, 20000])):
            queued = self.queued(1.0, now)
            attempt = Attempt(queued.request, warm_queue.node, 0, now)
            warm_queue.record_attempt(queued, attempt)
            attempt.outcome, attempt.latency_ms = Outcome.OK, self.rng.expovariate(1.0 / mean_ms)
            warm_queue.record_outcome(attempt, now, OBJECTIVE_MS)
        # Dispatchers receive the endpoint list at different times.
        self.listed_ms = STARTED_MS + self.rng.uniform(0.0, 2000.0)
        self.queue: NodeQueue | None = None

    def queued(self, units: float, now: float) -> QueuedRequest:
        """Return a queued request of this many units."""
        request = Request(READ, None, "v", 1, "", 0, units, now + 2000.0, id=str(next(IDS)))
        return QueuedRequest(
            request, READ, VolumeQuota(ServicePlan("p"), 1, now, UtilityModel()), now, now + OBJECTIVE_MS
        )

    def new_queue(self, node: Node, now: float) -> NodeQueue:
        """Return the queue of a node that is listed for the first time."""
        return NodeQueue(
            node, now, OBJECTIVE_MS, self.shared, self.admission.slow_start.initial_sends(node, now)
        )

    def send_all(self, node: Node, now: float, sent: list[tuple[float, float]]) -> None:
        """Send to the node as much as slow start allows, and add time and units to `sent`."""
        if now < self.listed_ms:
            return
        if self.queue is None:
            self.queue = self.new_queue(node, now)
        elif self.rng.random() < 0.003:  # the dispatcher restarts while the node is warming up
            self.admission.slow_start.owned_since_ms = now
            self.queue = self.new_queue(node, now)
        for units in (self.rng.choice([1.0, 1.0, 1.0, 2.0, 3.0, 6.0]) for _ in range(6)):
            if self.admission.slow_start.units_left(self.queue, now) >= units:
                self.admission.record_attempt(self.queued(units, now), self.queue, now)
                sent.append((now, units))


@pytest.mark.parametrize("dispatchers", [2, 20, 25, 30, 200])
@pytest.mark.parametrize(
    "base_units, cold_capacity, overload_multiple, window_ms, warm_up_ms, mean_ms",
    [
        (12.0, 0.25, 3.0, 3000.0, 13000.0, 118.0),
        (52.0, 0.25, 3.0, 3000.0, 13000.0, 60.0),
        (12.0, 0.47, 3.0, 3000.0, 13000.0, 20.0),
        (12.0, 0.3, 2.0, 2000.0, 8000.0, 30.0),
    ],
)
def test_all_dispatchers_together_stay_within_what_a_node_can_take(
    dispatchers, base_units, cold_capacity, overload_multiple, window_ms, warm_up_ms, mean_ms
):
    # The sizes of requests are random. Beyond a budget of N requests of mean size, 2 sqrt(N) + 2 are
    # tolerated for that, regardless of the number of dispatchers.
    mean_units = 2.06
    slow_start = SlowStartSettings(
        base_units=base_units,
        cold_capacity=cold_capacity,
        overload_multiple=overload_multiple,
        window_ms=window_ms,
        warm_up_ms=warm_up_ms,
    )
    node = Node("s-5be2a07c", shard=0, started_ms=STARTED_MS)
    seats = [
        SeatAdmission(number, dispatchers, slow_start, mean_units, mean_ms) for number in range(dispatchers)
    ]
    sent: list[tuple[float, float]] = []
    for step in range(1, int(warm_up_ms / 100.0) - 1):
        for seat in seats:
            seat.send_all(node, STARTED_MS + 100.0 * step, sent)

    first, window_units, used_fractions = 0, 0.0, []
    for sent_ms, units in sent:
        window_units += units
        while sent[first][0] < sent_ms - window_ms:
            window_units -= sent[first][1]
            first += 1
        growth = (
            1.0 + (1.0 / cold_capacity - 1.0) * max(0.0, sent_ms - STARTED_MS - window_ms / 2.0) / warm_up_ms
        )
        budget = (
            max(base_units, overload_multiple * cold_capacity * window_ms / mean_ms) * growth / mean_units
        )
        assert window_units / mean_units <= budget + 2.0 * budget**0.5 + 2.0
        used_fractions.append(window_units / mean_units / budget)
    # Dispatchers that send as much as they may use a large part of the budget.
    assert sum(used_fractions) / len(used_fractions) > 0.4
    assert all(
        seat.admission.slow_start.units_left(seat.queue, STARTED_MS + warm_up_ms + 1.0) >= UNLIMITED_UNITS
        for seat in seats
    )

"""The compiled scheduler makes the same decisions as its sources.

This guards against differences between mypyc and the interpreter.
"""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from cherrygrade import compiled
from cherrygrade.scheduling import scheduler
from cherrygrade.scheduling.model import (
    Attempt,
    Idempotency,
    Node,
    NodeState,
    Outcome,
    Request,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)

WORKLOADS = [
    Workload("a", 200, 1500, 3.0),
    Workload(
        "b",
        900,
        1500,
        2.0,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_window_ms=600,
        deduplication_scope="cell",
    ),
    Workload("c", 900, 3000, 1.0),
    Workload("d", 300, 1500, 3.0, ordered=True),
    Workload("e", 300, 1500, 2.0, idempotency=Idempotency.NON_IDEMPOTENT),
]
PLANS = [
    ServicePlan("p", 1, 1, 50, reserve_rate=20),
    ServicePlan("q", 4, 1, 100, limit_rate=60, limit_burst=30),
]


class Recorder:
    """A `DecisionSink` that writes decisions down.

    Attributes:
        now: time of the round, ms.
        log: the decisions so far.
        in_flight: attempts without an outcome.
    """

    def __init__(self) -> None:
        self.now, self.log, self.in_flight = 1e6, [], []

    def send(self, request, node, limit_ms):
        attempt = Attempt(request, node, len(request.attempts), self.now)
        request.attempts.append(attempt)
        self.in_flight.append(attempt)
        self.log.append(("send", request.id, node.address, limit_ms))
        return attempt

    def reject(self, request, retry_after_ms):
        request.finished = True
        self.log.append(("reject", request.id, retry_after_ms))

    def fail(self, request):
        request.finished = True
        self.log.append(("error", request.id))

    def wake(self, after_ms):
        self.log.append(("wake", after_ms))

    def subscribe(self):
        self.log.append(("subscribe",))


def decisions_of_seeded_run(make, seed: int) -> list:
    """Run 700 rounds on random inputs, and return the decisions; `make` creates the scheduler."""
    rng, sink = random.Random(seed), Recorder()
    nodes = [
        Node(f"n{i}", zone="z", shard=i % 5, started_ms=rng.choice([0, sink.now - 500])) for i in range(6)
    ]
    instance = make(
        seed=seed,
        number=1,
        dispatchers=3,
        workloads=WORKLOADS,
        utility=UtilityModel(0.5, 0.1, 2, 8, 0, True),
        slow_start=SlowStartSettings(8, 0.3, 3, 1000, 4000),
        retry_budget=RetryBudgetSettings(5, 0.2, 2000) if seed % 2 else None,
        policy=SitePolicy(
            max_attempts=4, max_retry_after_ms=500.0, polls_endpoints=True, max_poll_interval_ms=5000
        ),
        key_rest_ms=100,
    )
    instance.decide(sink.now, sink, endpoint_changes=nodes)
    for step in range(700):
        sink.now += rng.choice([0.5, 1, 3, 10, 2])
        arrivals, outcomes, endpoint_changes = [], [], []
        for index in range(rng.choice([0, 0, 1, 1, 2, 5])):
            workload = rng.choice(WORKLOADS)
            key, shard = rng.choice(["", "k1", "k2", f"q{step}"]), rng.choice([-1, 0, 1, 2, 3, 4, 7])
            arrivals.append(
                Request(
                    workload,
                    rng.choice(PLANS),
                    rng.choice("xyz"),
                    3,
                    key,
                    shard,
                    rng.choice([1.0, 2.0, 8.0]),
                    sink.now + workload.deadline_ms,
                    id=f"{step}.{index}",
                )
            )
        for attempt in [
            one for one in sink.in_flight if rng.random() < 0.1 or sink.now >= one.request.deadline_ms
        ]:
            sink.in_flight.remove(attempt)
            attempt.outcome = rng.choices(list(Outcome), [20, 1, 1, 1, 1, 1, 0.2, 0.2])[0]
            attempt.latency_ms, attempt.units_elsewhere = (
                sink.now - attempt.sent_ms,
                rng.choice([0.0, 0.0, 2.0]),
            )
            attempt.request.finished = attempt.request.finished or attempt.outcome is Outcome.OK
            outcomes.append(attempt)
        if rng.random() < 0.02:
            node = rng.choice(nodes)
            node.state = rng.choice([NodeState.LIVE, NodeState.LIVE, NodeState.DRAINING, NodeState.GONE])
            endpoint_changes = [node]
        instance.decide(
            sink.now, sink, arrivals=arrivals, outcomes=outcomes, endpoint_changes=endpoint_changes
        )
    return sink.log


def test_no_module_is_longer_than_400_lines_or_wider_than_110_columns():
    """Modules of decisions are to stay short enough to be read as a whole."""
    for module in Path(scheduler.__file__).parent.glob("*.py"):
        lines = module.read_text().splitlines()
        assert len(lines) <= 400, module.name
        assert max(map(len, lines), default=0) <= 110, module.name


@pytest.mark.parametrize("seed", range(6))
def test_compiled_scheduler_makes_the_decisions_of_its_sources(seed):
    make, is_compiled = compiled.scheduler_class()
    if not is_compiled:
        pytest.skip("no compiled scheduler in this environment: its sources are interpreted")
    assert decisions_of_seeded_run(make, seed) == decisions_of_seeded_run(scheduler.Scheduler, seed)

"""The compiled module decides as the module that can be read."""

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


class Told:
    """Writes decisions down; `out` are the sends without an outcome."""

    def __init__(self) -> None:
        self.now, self.log, self.out = 1e6, [], []

    def send(self, rpc, node, limit_ms):
        send = Attempt(rpc, node, len(rpc.attempts), self.now)
        rpc.attempts.append(send)
        self.out.append(send)
        self.log.append(("send", rpc.id, node.address, limit_ms))
        return send

    def reject(self, rpc, come_back_ms):
        rpc.finished = True
        self.log.append(("reject", rpc.id, come_back_ms))

    def fail(self, rpc):
        rpc.finished = True
        self.log.append(("error", rpc.id))

    def wake(self, after_ms):
        self.log.append(("wake", after_ms))

    def subscribe(self):
        self.log.append(("subscribe",))


def decisions_of_seeded_run(made, seed: int) -> list:
    chance, told = random.Random(seed), Told()
    nodes = [
        Node(f"n{i}", zone="z", shard=i % 5, started_ms=chance.choice([0, told.now - 500])) for i in range(6)
    ]
    module = made(
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
    module.decide(told.now, told, endpoint_changes=nodes)
    for step in range(700):
        told.now += chance.choice([0.5, 1, 3, 10, 2])
        taken, answers, heard = [], [], []
        for turn in range(chance.choice([0, 0, 1, 1, 2, 5])):
            work = chance.choice(WORKLOADS)
            key, shard = chance.choice(["", "k1", "k2", f"q{step}"]), chance.choice([-1, 0, 1, 2, 3, 4, 7])
            taken.append(
                Request(
                    work,
                    chance.choice(PLANS),
                    chance.choice("xyz"),
                    3,
                    key,
                    shard,
                    chance.choice([1.0, 2.0, 8.0]),
                    told.now + work.deadline_ms,
                    id=f"{step}.{turn}",
                )
            )
        for send in [
            send for send in told.out if chance.random() < 0.1 or told.now >= send.request.deadline_ms
        ]:
            told.out.remove(send)
            send.outcome = chance.choices(list(Outcome), [20, 1, 1, 1, 1, 1, 0.2, 0.2])[0]
            send.latency_ms, send.units_elsewhere = told.now - send.sent_ms, chance.choice([0.0, 0.0, 2.0])
            send.request.finished = send.request.finished or send.outcome is Outcome.OK
            answers.append(send)
        if chance.random() < 0.02:
            node = chance.choice(nodes)
            node.state = chance.choice([NodeState.LIVE, NodeState.LIVE, NodeState.DRAINING, NodeState.GONE])
            heard = [node]
        module.decide(told.now, told, arrivals=taken, outcomes=answers, endpoint_changes=heard)
    return told.log


def test_modules_stay_short_enough_to_read():
    for module in Path(scheduler.__file__).parent.glob("*.py"):
        lines = module.read_text().splitlines()
        assert len(lines) <= 400, module.name
        assert max(map(len, lines), default=0) <= 110, module.name


@pytest.mark.parametrize("seed", range(6))
def test_rough_days_are_decided_alike(seed):
    made, is_compiled = compiled.scheduler_class()
    if not is_compiled:
        pytest.skip("no C compiler here: the program runs the module as it reads")
    assert decisions_of_seeded_run(made, seed) == decisions_of_seeded_run(scheduler.Scheduler, seed)

"""Seeded storms on the decision module, written down decision by decision.

A storm feeds one dispatcher with requests, outcomes, list changes, leavings and peers' messages drawn by a
seed. Every decision becomes one line of text with floats in hexadecimal, so that a change in the order of
decisions or in the last bit of an argument changes the digest.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from struct import pack
from typing import Any

from cherrygrade.scheduling.model import (
    Attempt,
    Idempotency,
    Node,
    NodeState,
    Outcome,
    PeerDirectory,
    Request,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)

ROUNDS_PER_DIGEST = 100
WORKLOADS = [
    Workload("interactive", 200.0, 1500.0, 3.0, 0.2),
    Workload("zone-token", 900.0, 1500.0, 2.0, 0.1, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 600.0),
    Workload("any-token", 700.0, 2500.0, 2.5, 0.0, Idempotency.IDEMPOTENT_WITH_KEY, "all", 800.0),
    Workload("cell-token", 800.0, 2500.0, 1.5, 0.3, Idempotency.IDEMPOTENT_WITH_KEY, "cell", 500.0),
    Workload("export", 1500.0, 5000.0, 1.0, 0.25),
    Workload("ordered", 300.0, 1500.0, 3.0, 0.0, Idempotency.IDEMPOTENT, "all", 0.0, True),
    Workload("once", 400.0, 1500.0, 2.8, 0.1, Idempotency.NON_IDEMPOTENT),
]
PLANS = [
    ServicePlan("basic", 1.0, 1.0, 50.0, 20.0),
    ServicePlan("limited", 4.0, 1.2, 100.0, 10.0, 60.0, 30.0),
    ServicePlan("free", 1.0, 0.5),
]
VOLUMES = ["volume-a", "volume-b", "volume-c", "volume-d"]


@dataclass
class Scenario:
    """Settings of one storm; `shared` turns ranges of one key into candidates for one attempt."""

    name: str
    permits: SitePolicy
    earnings: UtilityModel = field(default_factory=lambda: UtilityModel(0.5, 0.1, 2.0, 8.0, 0.0, True))
    cold: SlowStartSettings = field(default_factory=lambda: SlowStartSettings(8.0, 0.3, 3.0, 1000.0, 4000.0))
    budget: RetryBudgetSettings | None = None
    nodes: int = 6
    number: int = 1
    dispatchers: int = 3
    arrivals: tuple[int, ...] = (0, 0, 1, 1, 2, 5)
    answer_chance: float = 0.25
    shared: bool = False
    moving_counts: bool = False
    steady: bool = False
    """Every attempt succeeds; nodes turn slow and quick again in long phases."""


SCENARIOS = [
    Scenario("plain", SitePolicy(4, max_retry_after_ms=500.0), budget=RetryBudgetSettings(5.0, 0.2, 2000.0)),
    Scenario(
        "asked-list",
        SitePolicy(3, polls_endpoints=True, max_poll_interval_ms=5000.0),
        UtilityModel(0.5, 0.1, 1.0, 4.0),
        SlowStartSettings(),
        dispatchers=100,
        number=42,
    ),
    Scenario(
        "peers",
        SitePolicy(4, max_retry_after_ms=1000.0, allows_gossip=True),
        UtilityModel(0.4, 0.2, 2.0, 8.0),
        dispatchers=4,
        nodes=9,
        arrivals=(0, 1, 2, 3),
    ),
    Scenario(
        "marked-retries",
        SitePolicy(4, max_retry_after_ms=700.0, clients_mark_retries=True),
        budget=RetryBudgetSettings(0.0, 0.1, 1000.0),
        dispatchers=2,
    ),
    Scenario(
        "shared-attempts",
        SitePolicy(
            4,
            max_retry_after_ms=500.0,
            max_coalesced_bytes=65536,
            max_coalesced_requests=5,
            bytes_per_unit=4096.0,
        ),
        nodes=2,
        arrivals=(0, 1, 3, 6),
        answer_chance=0.3,
        shared=True,
    ),
    Scenario("copies", SitePolicy(5, allows_hedging=True), dispatchers=1, number=0, answer_chance=0.1),
    Scenario(
        "many-nodes", SitePolicy(4, max_retry_after_ms=500.0), nodes=40, arrivals=(3, 5, 9), answer_chance=0.2
    ),
    Scenario(
        "moving-counts",
        SitePolicy(4, max_retry_after_ms=500.0, allows_gossip=True),
        UtilityModel(0.5, 0.1, 1.0, 8.0),
        SlowStartSettings(20.0, 0.5, 2.0, 800.0, 6000.0),
        RetryBudgetSettings(3.0, 0.3, 1500.0),
        dispatchers=5,
        moving_counts=True,
    ),
    Scenario(
        "overload", SitePolicy(4, max_retry_after_ms=500.0), nodes=3, arrivals=(2, 4, 6), answer_chance=0.1
    ),
    Scenario(
        "steady",
        SitePolicy(4, max_retry_after_ms=500.0),
        UtilityModel(0.9, 0.8, 1.0, 8.0),
        SlowStartSettings(),
        dispatchers=1,
        number=0,
        nodes=1,
        arrivals=(1, 2, 3, 4),
        steady=True,
    ),
]


def exact(value: float) -> str:
    return float(value).hex()


class Recorder:
    """The writer of a storm: `lines` of what was decided, `out` the attempts without an outcome."""

    def __init__(self) -> None:
        self.now = 1_000_000.0
        self.lines: list[str] = []
        self.out: list[Attempt] = []

    def send(self, rpc: Request, node: Node, limit_ms: float) -> Attempt:
        send = Attempt(rpc, node, len(rpc.attempts), self.now)
        rpc.attempts.append(send)
        self.out.append(send)
        self.lines.append(f"send {rpc.id} {send.number} {node.address} {exact(limit_ms)}")
        return send

    def cancel(self, send: Attempt) -> None:
        self.lines.append(f"cancel {send.request.id} {send.number}")

    def reject(self, rpc: Request, come_back_ms: float) -> None:
        rpc.finished = True
        self.lines.append(f"reject {rpc.id} {exact(come_back_ms)}")

    def fail(self, rpc: Request) -> None:
        rpc.finished = True
        self.lines.append(f"error {rpc.id}")

    def wake(self, after_ms: float) -> None:
        self.lines.append(f"wake {exact(after_ms)}")

    def check_health(self, node: Node) -> None:
        self.lines.append(f"probe {node.address}")

    def release(self, node: Node) -> None:
        self.lines.append(f"release {node.address}")

    def subscribe(self) -> None:
        self.lines.append("subscribe")

    def fetch(self) -> None:
        self.lines.append("fetch")

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        self.lines.append(f"tell {peer} {payload.hex()}")

    def log(self, text: str) -> None:
        self.lines.append(f"log {text}")


class Storm:
    """One dispatcher under one scenario and seed."""

    def __init__(self, make: Callable[..., Any], scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(f"{scenario.name}:{seed}")
        self.writer = Recorder()
        now = self.writer.now
        self.nodes = [
            Node(
                f"10.0.0.{index}:7",
                f"zone-{index % 2}",
                "disk",
                index % 5,
                started_ms=self.random.choice([0.0, now - 500.0]),
            )
            for index in range(scenario.nodes)
        ]
        self.company = PeerDirectory(scenario.dispatchers)
        self.dispatcher = make(
            seed=seed,
            number=scenario.number,
            dispatchers=scenario.dispatchers,
            workloads=WORKLOADS,
            utility=scenario.earnings,
            slow_start=scenario.cold,
            retry_budget=scenario.budget,
            policy=scenario.permits,
            key_rest_ms=100.0,
            peers=self.company,
        )
        self.open: list[Request] = []
        self.step = 0

    def play(self, rounds: int) -> list[str]:
        """One digest for each ROUNDS_PER_DIGEST rounds, over all decisions so far."""
        digest, found = hashlib.sha256(), list[str]()
        self.dispatcher.decide(self.writer.now, self.writer, endpoint_changes=self.nodes)
        for self.step in range(1, rounds + 1):
            self.round()
            digest.update("\n".join([*self.writer.lines, f"round {self.step}\n"]).encode())
            self.writer.lines.clear()
            if self.step % ROUNDS_PER_DIGEST == 0:
                found.append(digest.hexdigest()[:32])
        return found

    def round(self) -> None:
        if self.scenario.steady:
            self.writer.now += 30.0
        self.writer.now += self.random.choice(
            [0.5, 1.0, 3.0, 10.0, 2.0, 2.0, 40.0 if self.step % 50 else 700.0]
        )
        if self.scenario.moving_counts and self.random.random() < 0.05:
            self.company.dispatcher_counts = self.random.choice([(5,), (5, 7), (5, 3)])
            self.company.forfeits_quota = self.random.random() < 0.1
        taken = [self.request(turn) for turn in range(self.random.choice(self.scenario.arrivals))]
        self.dispatcher.decide(
            self.writer.now,
            self.writer,
            arrivals=taken,
            outcomes=self.answers(),
            cancellations=self.leavings(),
            endpoint_changes=self.list_changes(),
            endpoint_list_received=self.random.choice([None, True, False, False])
            if self.step % 10 == 0
            else None,
            gossip=self.messages(),
        )
        self.open = [rpc for rpc in [*self.open, *taken] if not rpc.finished]

    def request(self, turn: int) -> Request:
        chance, now = self.random, self.writer.now
        work = chance.choice(WORKLOADS if not self.scenario.steady else [WORKLOADS[0], WORKLOADS[4]])
        key = chance.choice(["", "key-1", "key-2", "key-2", f"own-{self.step}-{turn}"])
        start = 4096 * chance.randrange(24)
        length = 4096 * chance.choice([1, 1, 2, 4])
        joins = self.scenario.shared and key.startswith("key") and not work.ordered
        return Request(
            None if chance.random() < 0.002 else work,
            chance.choice(PLANS),
            chance.choice(VOLUMES),
            chance.choice([1, 3, self.scenario.dispatchers]),
            key,
            chance.choice([-1, -1, 0, 1, 2, 3, 4, 7]) if not (joins or self.scenario.steady) else 0,
            chance.choice([1.0, 1.0, 2.0, 8.0]) if not joins else max(1.0, length / 4096.0),
            now + work.deadline_ms * chance.choice([1.0, 1.0, 0.6, 0.1]),
            is_write=chance.random() < 0.3,
            is_retry=chance.random() < 0.1,
            id=f"{self.step}.{turn}",
            offset=start,
            length=length if joins else 0,
            coalescable=joins,
        )

    def answers(self) -> list[Attempt]:
        chance, now, found = self.random, self.writer.now, list[Attempt]()
        answer_chance = self.scenario.answer_chance
        if self.scenario.steady:
            answer_chance = 0.06 if self.step < 150 else 0.8
        for send in [*self.writer.out]:
            if send.carried_by is not None or not (
                chance.random() < answer_chance or now >= send.request.deadline_ms + 50.0
            ):
                continue
            outcome = chance.choices([*Outcome], [30, 1, 1, 1, 1, 1, 0.2, 0.2])[0]
            if self.scenario.steady:
                outcome = Outcome.OK
            elsewhere = chance.choice([0.0, 0.0, 2.0])
            for one in [send, *(send.coalesced or ())]:
                self.writer.out.remove(one)
                one.outcome, one.latency_ms, one.units_elsewhere = outcome, now - one.sent_ms, elsewhere
                one.request.finished = one.request.finished or outcome is Outcome.OK
                found.append(one)
        return found

    def leavings(self) -> list[Request]:
        left = [rpc for rpc in self.open if not rpc.finished and self.random.random() < 0.005]
        for rpc in left:
            rpc.finished = True
        return left

    def list_changes(self) -> list[Node]:
        chance = self.random
        if chance.random() >= 0.04 or self.scenario.steady:
            return []
        index = chance.randrange(len(self.nodes))
        node = self.nodes[index]
        if node.state is NodeState.GONE and chance.random() < 0.5:
            node = self.nodes[index] = Node(f"10.0.1.{self.step}:7", node.zone, "disk", node.shard)
        node.state = chance.choice([NodeState.LIVE, NodeState.LIVE, NodeState.DRAINING, NodeState.GONE])
        if node.state is NodeState.LIVE and chance.random() < 0.5:
            node.started_ms = self.writer.now - chance.choice([0.0, 300.0, 3000.0])
        return [node]

    def messages(self) -> list[tuple[int, bytes]]:
        chance = self.random
        if not self.scenario.permits.allows_gossip or chance.random() >= 0.3:
            return []
        lane_marks = [*self.dispatcher.load_gossip.queues_by_hash]
        found = list[tuple[int, bytes]]()
        for _ in range(chance.choice([1, 1, 3])):
            mark = chance.choice(lane_marks) if chance.random() < 0.95 else 7
            report = pack(">BHBH", chance.randrange(5), mark, chance.randrange(256), chance.randrange(900))
            cut = report[: chance.randrange(1, 6)] if chance.random() < 0.05 else report
            found.append((chance.randrange(self.scenario.dispatchers), cut))
        return found


def digests(make: Callable[..., Any], scenario: Scenario, seed: int, rounds: int) -> list[str]:
    return Storm(make, scenario, seed).play(rounds)

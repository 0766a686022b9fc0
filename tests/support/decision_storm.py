"""Runs a scheduler on seeded random inputs, and computes digests of all of its decisions.

A run feeds one scheduler with requests, outcomes, endpoint changes, cancellations and load reports drawn from
a seed. Every decision becomes a line of text with floats in hexadecimal, so that the digest changes with the
order of the decisions and with the last bit of each argument.
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
"""Number of rounds after which a digest of all decisions so far is taken."""

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
    """Settings of one run.

    Attributes:
        name: key of the recorded digests, and part of the seed.
        policy: what the site allows the scheduler to do.
        utility: what units of work earn.
        slow_start: how much a node that is warming up can take.
        retry_budget: limits retries; None: no limit.
        nodes: number of nodes at the start.
        number: seat of the scheduler.
        dispatchers: number of dispatchers.
        arrivals: counts of requests per round, one of which is drawn.
        answer_probability: probability that an attempt in flight ends in a round.
        coalescable: whether requests on the keys key-1 and key-2 may be coalesced.
        changing_counts: whether the numbers of dispatchers that quotas are divided among change.
        steady: whether every attempt succeeds, while nodes are slow and fast in long phases.
    """

    name: str
    policy: SitePolicy
    utility: UtilityModel = field(default_factory=lambda: UtilityModel(0.5, 0.1, 2.0, 8.0, 0.0, True))
    slow_start: SlowStartSettings = field(
        default_factory=lambda: SlowStartSettings(8.0, 0.3, 3.0, 1000.0, 4000.0)
    )
    retry_budget: RetryBudgetSettings | None = None
    nodes: int = 6
    number: int = 1
    dispatchers: int = 3
    arrivals: tuple[int, ...] = (0, 0, 1, 1, 2, 5)
    answer_probability: float = 0.25
    coalescable: bool = False
    changing_counts: bool = False
    steady: bool = False


SCENARIOS = [
    Scenario(
        "plain", SitePolicy(4, max_retry_after_ms=500.0), retry_budget=RetryBudgetSettings(5.0, 0.2, 2000.0)
    ),
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
        retry_budget=RetryBudgetSettings(0.0, 0.1, 1000.0),
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
        answer_probability=0.3,
        coalescable=True,
    ),
    Scenario("copies", SitePolicy(5, allows_hedging=True), dispatchers=1, number=0, answer_probability=0.1),
    Scenario(
        "many-nodes",
        SitePolicy(4, max_retry_after_ms=500.0),
        nodes=40,
        arrivals=(3, 5, 9),
        answer_probability=0.2,
    ),
    Scenario(
        "moving-counts",
        SitePolicy(4, max_retry_after_ms=500.0, allows_gossip=True),
        UtilityModel(0.5, 0.1, 1.0, 8.0),
        SlowStartSettings(20.0, 0.5, 2.0, 800.0, 6000.0),
        RetryBudgetSettings(3.0, 0.3, 1500.0),
        dispatchers=5,
        changing_counts=True,
    ),
    Scenario(
        "overload",
        SitePolicy(4, max_retry_after_ms=500.0),
        nodes=3,
        arrivals=(2, 4, 6),
        answer_probability=0.1,
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
    """Return a float as text without loss."""
    return float(value).hex()


class Recorder:
    """A `DecisionSink` that writes decisions down.

    Attributes:
        now: time of the round, ms.
        lines: the decisions since the last round, one line each.
        in_flight: attempts without an outcome.
    """

    def __init__(self) -> None:
        self.now = 1_000_000.0
        self.lines: list[str] = []
        self.in_flight: list[Attempt] = []

    def send(self, request: Request, node: Node, limit_ms: float) -> Attempt:
        attempt = Attempt(request, node, len(request.attempts), self.now)
        request.attempts.append(attempt)
        self.in_flight.append(attempt)
        self.lines.append(f"send {request.id} {attempt.number} {node.address} {exact(limit_ms)}")
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        self.lines.append(f"cancel {attempt.request.id} {attempt.number}")

    def reject(self, request: Request, retry_after_ms: float) -> None:
        request.finished = True
        self.lines.append(f"reject {request.id} {exact(retry_after_ms)}")

    def fail(self, request: Request) -> None:
        request.finished = True
        self.lines.append(f"error {request.id}")

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


class RandomRun:
    """A scheduler under one scenario and seed."""

    def __init__(self, make: Callable[..., Any], scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(f"{scenario.name}:{seed}")
        self.sink = Recorder()
        now = self.sink.now
        self.nodes = [
            Node(
                f"10.0.0.{index}:7",
                f"zone-{index % 2}",
                "disk",
                index % 5,
                started_ms=self.rng.choice([0.0, now - 500.0]),
            )
            for index in range(scenario.nodes)
        ]
        self.peers = PeerDirectory(scenario.dispatchers)
        self.scheduler = make(
            seed=seed,
            number=scenario.number,
            dispatchers=scenario.dispatchers,
            workloads=WORKLOADS,
            utility=scenario.utility,
            slow_start=scenario.slow_start,
            retry_budget=scenario.retry_budget,
            policy=scenario.policy,
            key_rest_ms=100.0,
            peers=self.peers,
        )
        self.unfinished: list[Request] = []
        self.round_number = 0

    def run(self, rounds: int) -> list[str]:
        """Run the rounds; return a digest of all decisions so far after each ROUNDS_PER_DIGEST of them."""
        digest, found = hashlib.sha256(), list[str]()
        self.scheduler.decide(self.sink.now, self.sink, endpoint_changes=self.nodes)
        for self.round_number in range(1, rounds + 1):
            self.run_round()
            digest.update("\n".join([*self.sink.lines, f"round {self.round_number}\n"]).encode())
            self.sink.lines.clear()
            if self.round_number % ROUNDS_PER_DIGEST == 0:
                found.append(digest.hexdigest()[:32])
        return found

    def run_round(self) -> None:
        """Advance the clock, and run one round on random inputs."""
        if self.scenario.steady:
            self.sink.now += 30.0
        self.sink.now += self.rng.choice(
            [0.5, 1.0, 3.0, 10.0, 2.0, 2.0, 40.0 if self.round_number % 50 else 700.0]
        )
        if self.scenario.changing_counts and self.rng.random() < 0.05:
            self.peers.dispatcher_counts = self.rng.choice([(5,), (5, 7), (5, 3)])
            self.peers.forfeits_quota = self.rng.random() < 0.1
        arrivals = [self.request(index) for index in range(self.rng.choice(self.scenario.arrivals))]
        self.scheduler.decide(
            self.sink.now,
            self.sink,
            arrivals=arrivals,
            outcomes=self.outcomes(),
            cancellations=self.cancellations(),
            endpoint_changes=self.endpoint_changes(),
            endpoint_list_received=self.rng.choice([None, True, False, False])
            if self.round_number % 10 == 0
            else None,
            gossip=self.load_reports(),
        )
        self.unfinished = [request for request in [*self.unfinished, *arrivals] if not request.finished]

    def request(self, index: int) -> Request:
        """Return a random request; `index` is its number among the arrivals of the round."""
        rng, now = self.rng, self.sink.now
        workload = rng.choice(WORKLOADS if not self.scenario.steady else [WORKLOADS[0], WORKLOADS[4]])
        key = rng.choice(["", "key-1", "key-2", "key-2", f"own-{self.round_number}-{index}"])
        start = 4096 * rng.randrange(24)
        length = 4096 * rng.choice([1, 1, 2, 4])
        coalescable = self.scenario.coalescable and key.startswith("key") and not workload.ordered
        return Request(
            None if rng.random() < 0.002 else workload,
            rng.choice(PLANS),
            rng.choice(VOLUMES),
            rng.choice([1, 3, self.scenario.dispatchers]),
            key,
            rng.choice([-1, -1, 0, 1, 2, 3, 4, 7]) if not (coalescable or self.scenario.steady) else 0,
            rng.choice([1.0, 1.0, 2.0, 8.0]) if not coalescable else max(1.0, length / 4096.0),
            now + workload.deadline_ms * rng.choice([1.0, 1.0, 0.6, 0.1]),
            is_write=rng.random() < 0.3,
            is_retry=rng.random() < 0.1,
            id=f"{self.round_number}.{index}",
            offset=start,
            length=length if coalescable else 0,
            coalescable=coalescable,
        )

    def outcomes(self) -> list[Attempt]:
        """End random attempts, and those behind their deadline, and return them."""
        rng, now, ended = self.rng, self.sink.now, list[Attempt]()
        answer_probability = self.scenario.answer_probability
        if self.scenario.steady:
            answer_probability = 0.06 if self.round_number < 150 else 0.8
        for attempt in [*self.sink.in_flight]:
            if attempt.carried_by is not None or not (
                rng.random() < answer_probability or now >= attempt.request.deadline_ms + 50.0
            ):
                continue
            outcome = rng.choices([*Outcome], [30, 1, 1, 1, 1, 1, 0.2, 0.2])[0]
            if self.scenario.steady:
                outcome = Outcome.OK
            elsewhere = rng.choice([0.0, 0.0, 2.0])
            for part in [attempt, *(attempt.coalesced or ())]:
                self.sink.in_flight.remove(part)
                part.outcome, part.latency_ms, part.units_elsewhere = outcome, now - part.sent_ms, elsewhere
                part.request.finished = part.request.finished or outcome is Outcome.OK
                ended.append(part)
        return ended

    def cancellations(self) -> list[Request]:
        """Cancel random requests, and return them."""
        cancelled = [
            request for request in self.unfinished if not request.finished and self.rng.random() < 0.005
        ]
        for request in cancelled:
            request.finished = True
        return cancelled

    def endpoint_changes(self) -> list[Node]:
        """Change the state of a random node, or replace one that is gone, and return it."""
        rng = self.rng
        if rng.random() >= 0.04 or self.scenario.steady:
            return []
        index = rng.randrange(len(self.nodes))
        node = self.nodes[index]
        if node.state is NodeState.GONE and rng.random() < 0.5:
            node = self.nodes[index] = Node(f"10.0.1.{self.round_number}:7", node.zone, "disk", node.shard)
        node.state = rng.choice([NodeState.LIVE, NodeState.LIVE, NodeState.DRAINING, NodeState.GONE])
        if node.state is NodeState.LIVE and rng.random() < 0.5:
            node.started_ms = self.sink.now - rng.choice([0.0, 300.0, 3000.0])
        return [node]

    def load_reports(self) -> list[tuple[int, bytes]]:
        """Return random load reports of random senders, some of them cut short or on an unknown node."""
        rng = self.rng
        if not self.scenario.policy.allows_gossip or rng.random() >= 0.3:
            return []
        node_hashes = [*self.scheduler.load_gossip.queues_by_hash]
        found = list[tuple[int, bytes]]()
        for _ in range(rng.choice([1, 1, 3])):
            node_hash = rng.choice(node_hashes) if rng.random() < 0.95 else 7
            report = pack(">BHBH", rng.randrange(5), node_hash, rng.randrange(256), rng.randrange(900))
            message = report[: rng.randrange(1, 6)] if rng.random() < 0.05 else report
            found.append((rng.randrange(self.scenario.dispatchers), message))
        return found


def digests(make: Callable[..., Any], scenario: Scenario, seed: int, rounds: int) -> list[str]:
    """Return the digests of one run; `make` creates the scheduler."""
    return RandomRun(make, scenario, seed).run(rounds)

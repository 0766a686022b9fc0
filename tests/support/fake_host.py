"""One tiny fake host: a clock, nodes that answer when told to, and the decisions written down."""

from __future__ import annotations

from cherrygrade.scheduling.model import (
    Attempt,
    Idempotency,
    Node,
    Outcome,
    Request,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.scheduling.scheduler import Scheduler

READ = Workload("read", latency_objective_ms=200.0, deadline_ms=2000.0, priority_weight=3.0)
EXPORT = Workload("export", latency_objective_ms=1500.0, deadline_ms=5000.0, priority_weight=1.0)
ORDERED = Workload(
    "ordered", latency_objective_ms=900.0, deadline_ms=2000.0, priority_weight=3.0, ordered=True
)
ONCE = Workload(
    "once",
    latency_objective_ms=900.0,
    deadline_ms=2000.0,
    priority_weight=3.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
)
MARKED = Workload(
    "marked",
    900.0,
    2000.0,
    3.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope="zone",
    deduplication_window_ms=500.0,
)
PLAN = ServicePlan("plan", usual_rate=1000.0)


class FakeHost:
    """Also the writer: `sent`, `rejected` and `errored` hold what was decided so far."""

    def __init__(self, nodes: int = 1, *, budget: RetryBudgetSettings | None = None, **more) -> None:
        self.now = 1_000_000.0
        self.sent: list[Attempt] = []
        self.rejected: list[Request] = []
        self.errored: list[Request] = []
        self.polls_ms: list[float] = []
        self.wakeups_ms: list[float] = []
        self.nodes = [Node(f"10.0.0.{i}:1", zone="z", shard=i) for i in range(nodes)]
        self.dispatcher = Scheduler(
            seed=more.get("seed", 7),
            number=more.get("number", 0),
            dispatchers=more.get("dispatchers", 1),
            workloads=[READ, EXPORT, ORDERED, ONCE, MARKED],
            utility=more.get("utility", UtilityModel(within_quota=0.5, beyond_quota=0.1, largest_units=4.0)),
            slow_start=more.get("slow_start", SlowStartSettings()),
            retry_budget=budget,
            policy=more.get(
                "policy", SitePolicy(max_attempts=4, allows_cancel=True, max_retry_after_ms=500.0)
            ),
            key_rest_ms=100.0,
            peers=more.get("peers"),
        )
        self.round(endpoint_changes=self.nodes)

    def round(self, **came) -> None:
        self.dispatcher.decide(self.now, self, **came)

    def pass_time(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now = min(until, self.now + 10.0)
            self.round()

    def make_request(
        self, workload: Workload = READ, shard: int = 0, plan: ServicePlan = PLAN, **more
    ) -> Request:
        fields = {"volume": "v", "dispatchers": 1, "key": "", "units": 1.0} | more
        give_up_ms = self.now + fields.pop("deadline_after_ms", workload.deadline_ms)
        return Request(workload=workload, plan=plan, shard=shard, deadline_ms=give_up_ms, **fields)

    def submit(self, *rpcs: Request) -> None:
        self.round(arrivals=rpcs)

    def answer(self, send: Attempt, outcome: Outcome = Outcome.OK, **more) -> None:
        send.outcome, send.latency_ms = outcome, self.now - send.sent_ms
        for name, value in more.items():
            setattr(send, name, value)
        send.request.finished = send.request.finished or outcome is Outcome.OK
        self.round(outcomes=[send])

    # The writer.

    def send(self, rpc: Request, node: Node, limit_ms: float) -> Attempt:
        assert not rpc.finished and limit_ms > 0.0
        send = Attempt(rpc, node, len(rpc.attempts), self.now)
        rpc.attempts.append(send)
        self.sent.append(send)
        return send

    def cancel(self, send: Attempt) -> None:
        self.answer(send, Outcome.CANCELLED)

    def reject(self, rpc: Request, come_back_ms: float) -> None:
        assert not rpc.finished
        rpc.finished = True
        self.rejected.append(rpc)

    def fail(self, rpc: Request) -> None:
        assert not rpc.finished
        rpc.finished = True
        self.errored.append(rpc)

    def wake(self, after_ms: float) -> None:
        self.wakeups_ms.append(self.now + after_ms)

    def subscribe(self) -> None:
        self.polls_ms.append(self.now)

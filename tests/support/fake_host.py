"""A fake host for scheduler tests: a clock, nodes that answer on request, and a record of decisions."""

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
"""An idempotent workload of high priority."""
EXPORT = Workload("export", latency_objective_ms=1500.0, deadline_ms=5000.0, priority_weight=1.0)
"""An idempotent workload of low priority."""
ORDERED = Workload(
    "ordered", latency_objective_ms=900.0, deadline_ms=2000.0, priority_weight=3.0, ordered=True
)
"""A workload whose requests of the same key run one after the other."""
ONCE = Workload(
    "once",
    latency_objective_ms=900.0,
    deadline_ms=2000.0,
    priority_weight=3.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
)
"""A workload whose requests may take effect only once."""
MARKED = Workload(
    "marked",
    900.0,
    2000.0,
    3.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope="zone",
    deduplication_window_ms=500.0,
)
"""A workload whose repeated requests are recognized by the nodes of a zone."""
PLAN = ServicePlan("plan", usual_rate=1000.0)
"""A service plan without limits."""


class FakeHost:
    """Calls the scheduler, and is the `DecisionSink` that its decisions go to.

    Attributes:
        now: The clock, ms.
        sent: Attempts that were sent, in order.
        rejected: Requests that were rejected early.
        errored: Requests that ended with an error.
        polls_ms: Times at which the scheduler polled the endpoint list.
        wakeups_ms: Times for which the scheduler asked to be called.
        nodes: The nodes in the endpoint list.
        dispatcher: The scheduler under test.
    """

    def __init__(self, nodes: int = 1, *, budget: RetryBudgetSettings | None = None, **options) -> None:
        self.now = 1_000_000.0
        self.sent: list[Attempt] = []
        self.rejected: list[Request] = []
        self.errored: list[Request] = []
        self.polls_ms: list[float] = []
        self.wakeups_ms: list[float] = []
        self.nodes = [Node(f"10.0.0.{i}:1", zone="z", shard=i) for i in range(nodes)]
        self.dispatcher = Scheduler(
            seed=options.get("seed", 7),
            number=options.get("number", 0),
            dispatchers=options.get("dispatchers", 1),
            workloads=[READ, EXPORT, ORDERED, ONCE, MARKED],
            utility=options.get(
                "utility", UtilityModel(within_quota=0.5, beyond_quota=0.1, largest_units=4.0)
            ),
            slow_start=options.get("slow_start", SlowStartSettings()),
            retry_budget=budget,
            policy=options.get(
                "policy", SitePolicy(max_attempts=4, allows_cancel=True, max_retry_after_ms=500.0)
            ),
            key_rest_ms=100.0,
            peers=options.get("peers"),
        )
        self.round(endpoint_changes=self.nodes)

    def round(self, **events) -> None:
        """Call the scheduler once, with these events."""
        self.dispatcher.decide(self.now, self, **events)

    def pass_time(self, ms: float) -> None:
        """Advance the clock, with a round every 10 ms."""
        until = self.now + ms
        while self.now < until:
            self.now = min(until, self.now + 10.0)
            self.round()

    def make_request(
        self, workload: Workload = READ, shard: int = 0, plan: ServicePlan = PLAN, **options
    ) -> Request:
        """Create a request; `deadline_after_ms` replaces the deadline of the workload."""
        fields = {"volume": "v", "dispatchers": 1, "key": "", "units": 1.0} | options
        deadline_ms = self.now + fields.pop("deadline_after_ms", workload.deadline_ms)
        return Request(workload=workload, plan=plan, shard=shard, deadline_ms=deadline_ms, **fields)

    def submit(self, *requests: Request) -> None:
        """Pass requests to the scheduler in one round."""
        self.round(arrivals=requests)

    def answer(self, attempt: Attempt, outcome: Outcome = Outcome.OK, **attributes) -> None:
        """End an attempt now, with this outcome and other attributes, and pass it to the scheduler."""
        attempt.outcome, attempt.latency_ms = outcome, self.now - attempt.sent_ms
        for name, value in attributes.items():
            setattr(attempt, name, value)
        attempt.request.finished = attempt.request.finished or outcome is Outcome.OK
        self.round(outcomes=[attempt])

    # Methods of `DecisionSink`.

    def send(self, request: Request, node: Node, limit_ms: float) -> Attempt:
        """Record an attempt to send the request to the node."""
        assert not request.finished and limit_ms > 0.0
        attempt = Attempt(request, node, len(request.attempts), self.now)
        request.attempts.append(attempt)
        self.sent.append(attempt)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt as cancelled."""
        self.answer(attempt, Outcome.CANCELLED)

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Record that a request was rejected early."""
        assert not request.finished
        request.finished = True
        self.rejected.append(request)

    def fail(self, request: Request) -> None:
        """Record that a request ended with an error."""
        assert not request.finished
        request.finished = True
        self.errored.append(request)

    def wake(self, after_ms: float) -> None:
        """Record when the scheduler wants to be called."""
        self.wakeups_ms.append(self.now + after_ms)

    def subscribe(self) -> None:
        """Record that the scheduler polled the endpoint list."""
        self.polls_ms.append(self.now)

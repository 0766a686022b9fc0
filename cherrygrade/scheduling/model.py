"""Types between the scheduler and its hosts: requests, attempts, nodes, settings. No decisions.

A host owns these objects, fills in what it learns, and calls `Scheduler.decide` once a round. Times are
milliseconds of one clock of the host's; units count work, as the site defines them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

ANY_SHARD = -1
"""The shard of a request for a new object, and of a node that holds none."""


class Idempotency(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"
    FAILED = "errored"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "unconnected"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"

    @property
    def never_ran(self) -> bool:
        """Whether the attempt surely had no effect and never will."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def may_still_run(self) -> bool:
        """Whether the node may run it after this."""
        return self in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class NodeState(Enum):
    """What the endpoint list says of a node."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Workload:
    """A kind of requests, as the site describes it.

    Attributes:
        name: its name.
        latency_objective_ms: time in which an answer earns its full value.
        deadline_ms: time after which an answer earns nothing; the longest that a client waits.
        priority_weight: value of a unit, against other workloads.
        late_utility: part of the value that an answer behind the objective earns, 0 to 1.
        idempotency: what a second run would do.
        deduplication_scope: "all", "zone" or "cell": which nodes drop a repeat with an idempotency key.
        deduplication_window_ms: for how long they do, from the first attempt.
        ordered: requests on one key run one behind the other.
        streamed: the client takes bytes as they come.
        is_write: requests carry a body to write.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_utility: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: str = "all"
    deduplication_window_ms: float = 0.0
    ordered: bool = False
    streamed: bool = False
    is_write: bool = False


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service plan; every figure holds for one volume, over all dispatchers and nodes.

    Attributes:
        name: its name.
        weight: proportion against other plans.
        price: value of a unit, against other plans.
        usual_rate: units a second that the plan is meant for.
        reserve_rate: units a second that earn their full value whatever others do.
        limit_rate: units a second of first attempts that may not be exceeded; 0: no limit.
        limit_burst: units that the limit's bucket holds.
        limit_tolerance: part by which the site tolerates more.
    """

    name: str
    weight: float = 1.0
    price: float = 1.0
    usual_rate: float = 0.0
    reserve_rate: float = 0.0
    limit_rate: float = 0.0
    limit_burst: float = 0.0
    limit_tolerance: float = 0.0


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """What a node that has just started bears, from all dispatchers together.

    Attributes:
        base_units: units in a window that any node bears; 0: no such rule.
        cold_capacity: part of its full capacity that a node has as it starts, above 0 up to 1.
        overload_multiple: how many times its capacity a node bears for one window.
        window_ms: the window.
        warm_up_ms: time from its start until a node has its full capacity.
    """

    base_units: float = 0.0
    cold_capacity: float = 1.0
    overload_multiple: float = 1.0
    window_ms: float = 0.0
    warm_up_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Attempts beyond the first that one dispatcher may make in any window.

    Attributes:
        min_retries: retries that are always allowed.
        retry_ratio: further retries for each request that arrived in the window.
        window_ms: the window.
    """

    min_retries: float
    retry_ratio: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class UtilityModel:
    """What units earn outside their volume's reserve, and how use is reported.

    Attributes:
        within_quota: part of the value that units inside the usual rate earn, 0 to 1.
        beyond_quota: the same of units beyond it.
        mean_units: units of a mean request.
        largest_units: units of the largest request.
        meter_period_ms: period of the use that nodes report.
        reports_use_elsewhere: nodes report what others used of a volume's quota.
    """

    within_quota: float = 1.0
    beyond_quota: float = 1.0
    mean_units: float = 1.0
    largest_units: float = 1.0
    meter_period_ms: float = 0.0
    reports_use_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """What the site lets a dispatcher do.

    Attributes:
        max_attempts: attempts of one request, at least 1.
        allows_hedging: an attempt may start while another is in flight.
        allows_cancel: an attempt may be cancelled.
        allows_health_checks: nodes may be sent health checks of their own.
        max_retry_after_ms: the longest Retry-After that clients heed; 0: none is given.
        allows_gossip: dispatchers may send each other short messages.
        clients_mark_retries: clients mark their retries; else a retry is found by what was given up.
        polls_endpoints: the endpoint list has to be polled for.
        max_poll_interval_ms: the longest time between two polls.
        max_coalesced_bytes: bytes of an attempt that several requests share; 0: none is shared.
        max_coalesced_requests: requests that an attempt carries beside its own.
        bytes_per_unit: bytes of one unit of a shared attempt.
        min_units: the least units of an attempt.
    """

    max_attempts: int = 1
    allows_hedging: bool = False
    allows_cancel: bool = False
    allows_health_checks: bool = False
    max_retry_after_ms: float = 0.0
    allows_gossip: bool = False
    clients_mark_retries: bool = False
    polls_endpoints: bool = False
    max_poll_interval_ms: float = 0.0
    max_coalesced_bytes: int = 0
    max_coalesced_requests: int = 64
    bytes_per_unit: float = 0.0
    min_units: float = 1.0


@dataclass(slots=True, eq=False)
class Node:
    """A storage node, as the endpoint list last described it; one object a machine.

    Attributes:
        address: its name in the list.
        zone: its zone.
        kind: its kind of machine.
        shard: the shard that it holds; ANY_SHARD: none.
        state: its state in the list.
        size: capacity against other nodes.
        started_ms: when it started; 0: not known.
    """

    address: str
    zone: str = ""
    kind: str = ""
    shard: int = ANY_SHARD
    state: NodeState = NodeState.LIVE
    size: float = 1.0
    started_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Request:
    """One client's request, from its arrival to its one final answer.

    Attributes:
        workload, plan: None where the client named one that the site does not know.
        volume: the volume that it is charged to.
        dispatchers: among how many dispatchers the volume's limit is divided.
        key: what it reads or writes; "": a new object.
        shard: the shard that holds its data; ANY_SHARD: any node may take it.
        units: its work.
        deadline_ms: when its client stops waiting.
        is_write: it carries a body to write.
        is_retry: its client marked it as a retry.
        id: for records.
        attempts: all attempts, the oldest first.
        finished: it has its final answer, or was cancelled.
        offset, length: the byte range, where it may share an attempt.
        coalescable: it may share an attempt with neighbours of its volume and key.
    """

    workload: Workload | None
    plan: ServicePlan | None
    volume: str
    dispatchers: int
    key: str
    shard: int
    units: float
    deadline_ms: float
    is_write: bool = False
    is_retry: bool = False
    id: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    offset: int = 0
    length: int = 0
    coalescable: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a node; the host fills in the outcome once it is known.

    Attributes:
        request: the request.
        node: where it was sent.
        number: its place among the request's attempts, from 0.
        sent_ms: when it was decided on.
        outcome: how it ended; None while it is in flight.
        latency_ms: time from `sent_ms` to its end.
        plan_use: use of the volume everywhere in a finished period, as a part of its plan's usual rate; None
            where the node reported none.
        units_elsewhere: units that the node did for the volume through other dispatchers since its last
            answer here.
        load_report: what the node reported of its load.
        coalesced_units: work of an attempt that carries others too; 0: its request's own.
        coalesced: attempts that it carries.
        carried_by: the attempt that carries it: one attempt on the wire, two in all else.
    """

    request: Request
    node: Node
    number: int
    sent_ms: float
    outcome: Outcome | None = None
    latency_ms: float = 0.0
    plan_use: float | None = None
    units_elsewhere: float = 0.0
    load_report: dict[str, float] = field(default_factory=dict)
    coalesced_units: float = 0.0
    coalesced: list[Attempt] | None = None
    carried_by: Attempt | None = None


class PeerDirectory:
    """The other dispatchers, as the scheduler needs them.

    This one counts them by their numbers; a host whose dispatchers know each other gives another.

    Attributes:
        dispatchers: how many there are.
        dispatcher_counts: numbers of dispatchers that quotas are divided among: two while they change, and
            then each dispatcher uses the smaller of its two parts.
        forfeits_quota: this dispatcher's parts of quotas are another's, or nobody's as yet.
    """

    forfeits_quota = False

    def __init__(self, dispatchers: int) -> None:
        self.dispatchers = dispatchers
        self.dispatcher_counts: tuple[int, ...] = (dispatchers,)

    def aggregator(self, node: int) -> int:
        """Number of the dispatcher that aggregates reports on the node of this mark; -1: none."""
        return node % self.dispatchers

    def publishes(self, node: int, now: float) -> bool:
        """Whether this dispatcher aggregates the node's reports, and has for long enough to publish."""
        return True


class DecisionSink(Protocol):
    """Takes the decisions of one round, in the order they are made. Times are milliseconds."""

    def send(self, request: Request, node: Node, limit_ms: float) -> Attempt:
        """Start an attempt that may take so long, and add it to the request."""

    def cancel(self, attempt: Attempt) -> None:
        """No answer of this attempt is waited for any more."""

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Final answer: trying again is harmless; 0: no time for that is told."""

    def fail(self, request: Request) -> None:
        """Final answer: the request may have run."""

    def wake(self, after_ms: float) -> None:
        """Call again after so long."""

    def check_health(self, node: Node) -> None:
        """Send a health check."""

    def release(self, node: Node) -> None:
        """Close idle connections to the node."""

    def subscribe(self) -> None:
        """Poll for the endpoint list, with changes pushed from then on."""

    def fetch(self) -> None:
        """Poll for the endpoint list once."""

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Send a message to a dispatcher; None: to all."""

    def log(self, text: str) -> None:
        """Write a line to the log."""

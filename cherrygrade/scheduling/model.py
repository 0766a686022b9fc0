"""Types shared by the scheduler and its hosts: requests, attempts, nodes and settings, without any decisions.

A host owns these objects, fills in outcomes and states as it learns them, and calls `Scheduler.decide` once a
round. Times are milliseconds of one clock of the host. Units are the site's measure of work.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

ANY_SHARD = -1
"""Shard of a request for a new object, and of a node that holds no shard."""


class Idempotency(Enum):
    """Whether a request may run twice.

    IDEMPOTENT: a second run has no effect. IDEMPOTENT_WITH_KEY: nodes drop a repeat that carries the same
    key, within a scope and a time window. NON_IDEMPOTENT: a second run takes effect again.
    """

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Outcome(Enum):
    """How one attempt ended.

    OK: answered with success. FAILED: answered with an error. REJECTED: the node refused it without running
    it. TIMED_OUT: not answered by its deadline. CONNECT_FAILED: no connection to the node could be opened.
    RESET: the connection broke before the answer. CANCELLED: the dispatcher cancelled it. NOT_SENT: it never
    left the dispatcher.
    """

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
        """Whether the attempt certainly had no effect and will have none."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def may_still_run(self) -> bool:
        """Whether the node may still run the attempt after this outcome."""
        return self in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class NodeState(Enum):
    """State of a node in the endpoint list."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Workload:
    """A class of requests with common objectives, as the site configures it.

    Attributes:
        name: name of the workload.
        latency_objective_ms: latency up to which an answer earns its full value.
        deadline_ms: latency after which an answer earns nothing; the longest time that a client waits.
        priority_weight: value of a unit relative to other workloads.
        late_utility: fraction of the value that an answer after the objective earns, 0 to 1.
        idempotency: whether requests may run twice.
        deduplication_scope: which nodes drop a repeat with the same idempotency key: "all", "zone" (those of
            the first attempt's zone) or "cell" (those of the first attempt's shard).
        deduplication_window_ms: how long after the first attempt nodes drop a repeat.
        ordered: whether requests on one key run one after another.
        streamed: whether clients take the bytes of an answer in parts.
        is_write: whether requests carry a body to write.
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
    """A service plan. Its rates hold for one volume, over all dispatchers and nodes.

    Attributes:
        name: name of the plan.
        weight: weight relative to other plans.
        price: value of a unit relative to other plans.
        usual_rate: units per second that the plan is meant for.
        reserve_rate: units per second that earn their full value regardless of other volumes.
        limit_rate: units per second of first attempts that must not be exceeded; 0: no limit.
        limit_burst: capacity of the limit's token bucket, units.
        limit_tolerance: fraction by which the site tolerates more than the limit.
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
    """Slow start: how much a node that has just started can take from all dispatchers together.

    Attributes:
        base_units: units per window that any node can take; 0: no slow start.
        cold_capacity: fraction of its full capacity that a node has when it starts, above 0 up to 1.
        overload_multiple: multiple of its capacity that a node can take for one window.
        window_ms: length of the window.
        warm_up_ms: time from its start until a node has its full capacity.
    """

    base_units: float = 0.0
    cold_capacity: float = 1.0
    overload_multiple: float = 1.0
    window_ms: float = 0.0
    warm_up_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Retries, attempts beyond the first of a request, that one dispatcher may make in any window.

    Attributes:
        min_retries: retries per window that are always allowed.
        retry_ratio: further retries for each request that arrived in the window.
        window_ms: length of the window.
    """

    min_retries: float
    retry_ratio: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class UtilityModel:
    """What units earn outside of their volume's reserve, and how use of quotas is reported.

    Attributes:
        within_quota: fraction of its value that a unit within the usual rate earns, 0 to 1.
        beyond_quota: fraction of its value that a unit beyond the usual rate earns, 0 to 1.
        mean_units: units of a mean request.
        largest_units: units of the largest request.
        meter_period_ms: period over which nodes meter the use that they report.
        reports_use_elsewhere: whether nodes report the use of a volume's quota through other dispatchers.
    """

    within_quota: float = 1.0
    beyond_quota: float = 1.0
    mean_units: float = 1.0
    largest_units: float = 1.0
    meter_period_ms: float = 0.0
    reports_use_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """What the site allows a dispatcher to do.

    Attributes:
        max_attempts: attempts of one request, at least 1.
        allows_hedging: whether an attempt may start while another of its request is in flight.
        allows_cancel: whether an attempt may be cancelled.
        allows_health_checks: whether nodes may be sent health checks that carry no request.
        max_retry_after_ms: the longest Retry-After that clients heed; 0: rejections carry none.
        allows_gossip: whether dispatchers may send each other load reports.
        clients_mark_retries: whether clients mark their retries. Otherwise a request counts as a retry if one
            of its volume and key was rejected early before.
        polls_endpoints: whether the endpoint list has to be polled for.
        max_poll_interval_ms: the longest time between two polls.
        max_coalesced_bytes: most bytes of an attempt that several requests share; 0: no coalescing.
        max_coalesced_requests: most requests that an attempt carries besides its own.
        bytes_per_unit: bytes of one unit of a shared attempt.
        min_units: the fewest units of a shared attempt.
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
    """A storage node, as the endpoint list last described it. There is one object per node.

    Attributes:
        address: address of the node in the list.
        zone: zone of the node.
        kind: kind of machine.
        shard: the shard that the node holds; ANY_SHARD: none.
        state: state of the node in the list.
        size: capacity relative to other nodes.
        started_ms: when the node started, ms; 0: not known.
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
    """A client's request, from its arrival to its final answer.

    Attributes:
        workload: the request's workload; None if the client named one that the site does not have.
        plan: the service plan of the volume; None if the client named a volume that the site does not have.
        volume: name of the volume that the request is charged to.
        dispatchers: number of dispatchers that the volume's limit is divided among.
        key: key of the object that is read or written; "": a new object.
        shard: the shard that holds the data; ANY_SHARD: any node may take the request.
        units: work of the request.
        deadline_ms: when the client stops waiting, ms.
        is_write: whether the request carries a body to write.
        is_retry: whether the client marked the request as a retry.
        id: identifier for records and logs.
        attempts: all attempts, the oldest first.
        finished: whether the request has its final answer or was cancelled.
        offset: first byte of the range, where the request may be coalesced.
        length: bytes of the range, where the request may be coalesced.
        coalescable: whether the request may share an attempt with neighbours of its volume and key.
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
    """One attempt of a request at a node. The host fills in the outcome once it is known.

    Attributes:
        request: the request.
        node: the node that the attempt goes to.
        number: index among the request's attempts, from 0.
        sent_ms: when the attempt was decided on, ms.
        outcome: how the attempt ended; None while it is in flight.
        latency_ms: time from `sent_ms` to the end of the attempt.
        plan_use: use of the volume over all nodes in a completed metering period, as a fraction of its plan's
            usual rate; None if the node reported none.
        units_elsewhere: units that the node did for the volume through other dispatchers since its previous
            answer to this one.
        load_report: the node's own load figures by name.
        coalesced_units: work of an attempt that carries other attempts too; 0: the units of its request.
        coalesced: the attempts that this one carries.
        carried_by: the attempt that carries this one. Both are sent as one message and counted as two
            attempts.
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
    """What the scheduler needs to know about the other dispatchers.

    This class serves a fixed number of dispatchers. A host whose fleet changes passes a subclass.

    A dispatcher's seat is its number in the fleet, from 0, by which quotas are divided.

    Attributes:
        dispatchers: number of dispatchers.
        dispatcher_counts: the numbers of dispatchers that quotas are divided among. There are two of them
            while the number changes; each dispatcher then uses the smaller of its two quotas.
        forfeits_quota: whether this dispatcher must use no quota, because its seat belongs to another
            dispatcher or to none yet.
    """

    forfeits_quota = False

    def __init__(self, dispatchers: int) -> None:
        self.dispatchers = dispatchers
        self.dispatcher_counts: tuple[int, ...] = (dispatchers,)

    def aggregator(self, node_hash: int) -> int:
        """Return the seat of the dispatcher that aggregates load reports on a node; -1: there is none."""
        return node_hash % self.dispatchers

    def publishes(self, node_hash: int, now: float) -> bool:
        """Whether this dispatcher has aggregated the node's reports for long enough to publish the result."""
        return True


class DecisionSink(Protocol):
    """Carries out the decisions of a round, in the order in which they are made."""

    def send(self, request: Request, node: Node, limit_ms: float) -> Attempt:
        """Start an attempt that may take up to `limit_ms`, and add it to the request."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: its answer is not needed any more."""

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Give the final answer that the request was rejected and may be retried.

        Args:
            request: the request.
            retry_after_ms: earliest time for the retry; 0: none is given.
        """

    def fail(self, request: Request) -> None:
        """Give the final answer that the request failed, and may have taken effect."""

    def wake(self, after_ms: float) -> None:
        """Request a round after `after_ms`."""

    def check_health(self, node: Node) -> None:
        """Send a health check to the node."""

    def release(self, node: Node) -> None:
        """Close idle connections to the node."""

    def subscribe(self) -> None:
        """Poll for the endpoint list and subscribe to its changes."""

    def fetch(self) -> None:
        """Poll for the endpoint list once."""

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Send a load report message to the dispatcher in seat `peer`; None: to all dispatchers."""

    def log(self, text: str) -> None:
        """Write a line to the host's log."""

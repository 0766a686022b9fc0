"""Plain types between the decision module and whatever feeds it, and the writer it decides into.

A host program (the bench's line protocol today, a gateway service later) owns these objects, fills
in what it learns and calls `Dispatcher.decide` once a round. All times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """What a second run of an RPC would do."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Outcome(Enum):
    """How one send ended."""

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
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def may_still_run(self) -> bool:
        return self in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class NodeState(Enum):
    """What the node list says of a node."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Workload:
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
    """A service grade; every figure holds per volume, over all dispatchers and nodes."""

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
    """What a node that has just come up bears, from all dispatchers together."""

    base_units: float = 0.0
    cold_capacity: float = 1.0
    overload_multiple: float = 1.0
    window_ms: float = 0.0
    warm_up_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Sends beyond an RPC's first that one dispatcher may make in any span."""

    min_retries: float
    retry_ratio: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class UtilityModel:
    """What units earn outside their volume's reserve, and how its use is told."""

    within_quota: float = 1.0
    beyond_quota: float = 1.0
    mean_units: float = 1.0
    largest_units: float = 1.0
    meter_period_ms: float = 0.0
    reports_use_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """What the site lets a dispatcher do."""

    max_attempts: int = 1
    allows_hedging: bool = False
    allows_cancel: bool = False
    allows_health_checks: bool = False
    max_retry_after_ms: float = 0.0
    """The longest come-back time a client heeds; 0 where none may be given."""
    allows_gossip: bool = False
    """Dispatchers may send each other short messages."""
    clients_mark_retries: bool = False
    """Clients mark their repeats; else a short time left stands for the mark."""
    polls_endpoints: bool = False
    max_poll_interval_ms: float = 0.0
    max_coalesced_bytes: int = 0
    """Most bytes of a send that several RPCs share; 0: none is shared."""
    max_coalesced_requests: int = 64
    """Most RPCs that a send carries beside its own."""
    bytes_per_unit: float = 0.0
    """Bytes of a unit, and the least units of a send: the work of a shared one."""
    min_units: float = 1.0


@dataclass(slots=True, eq=False)
class Node:
    """A storage node, as the list last told of it."""

    address: str
    zone: str = ""
    kind: str = ""
    shard: int = -1
    state: NodeState = NodeState.LIVE
    size: float = 1.0
    started_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Request:
    """One client's RPC, from being taken to its one final answer."""

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
    """May share a send with neighbours of its volume and key: bytes from start, length of them."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of an RPC; the host fills in the outcome once it is known."""

    request: Request
    node: Node
    number: int
    sent_ms: float
    outcome: Outcome | None = None
    latency_ms: float = 0.0
    plan_use: float | None = None
    """Use of the volume everywhere in a finished period, as a part of its plan's usual rate."""
    units_elsewhere: float = 0.0
    """Units this node did for the volume through other dispatchers since its last answer here."""
    load_report: dict[str, float] = field(default_factory=dict)
    coalesced_units: float = 0.0
    """Work of a send that carries others too; 0: its RPC's own."""
    coalesced: list[Attempt] | None = None
    """Those that it carries."""
    carried_by: Attempt | None = None
    """The one that carries it: one send on the wire, told apart by RPC in all else."""


class PeerDirectory:
    """The other dispatchers, as the module needs them: who pools what is known of a node. This one counts
    them as they were numbered; a host whose dispatchers know each other gives another."""

    forfeits_quota = False
    """This dispatcher's parts of cold nodes and of limits are another's, or nobody's as yet."""

    def __init__(self, dispatchers: int) -> None:
        self.dispatchers = dispatchers
        self.dispatcher_counts: tuple[int, ...] = (dispatchers,)
        """Dispatchers that parts are dealt out over: two numbers while parts move from one to the other, and
        then each uses the smaller of its two parts."""

    def aggregator(self, node: int) -> int:
        """Number of the dispatcher that keeps the node, told by the mark that words name it by; -1:
        nobody."""
        return node % self.dispatchers

    def publishes(self, node: int, now: float) -> bool:
        """This dispatcher keeps the node, and has for long enough to know what is out there."""
        return True


class DecisionSink(Protocol):
    """Takes the decisions of one round, in the order they are made."""

    def send(self, rpc: Request, node: Node, limit_ms: float) -> Attempt: ...

    def cancel(self, send: Attempt) -> None: ...

    def reject(self, rpc: Request, come_back_ms: float) -> None: ...

    def error(self, rpc: Request) -> None: ...

    def wake(self, after_ms: float) -> None: ...

    def probe(self, node: Node) -> None: ...

    def release(self, node: Node) -> None: ...

    def subscribe(self) -> None: ...

    def fetch(self) -> None: ...

    def tell(self, peer: int | None, payload: bytes) -> None: ...

    def log(self, text: str) -> None: ...

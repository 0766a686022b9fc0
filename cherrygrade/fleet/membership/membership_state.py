"""The state of one dispatcher as a member of the fleet.

The module does no I/O, reads no clock and has no random source. Times are in ms of one clock; incarnations
are in Unix ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from cherrygrade.fleet.membership.config_reporting import ConfigReporting
from cherrygrade.fleet.membership.contacts import Contacts
from cherrygrade.fleet.membership.failure_detector import (
    PROBE_PERIOD_MS,
    FailureDetector,
)
from cherrygrade.fleet.membership.gossip import GossipQueue
from cherrygrade.fleet.membership.load_aggregators import LoadAggregators
from cherrygrade.fleet.membership.messages import (
    IndirectProbeResult,
)
from cherrygrade.fleet.membership.partition import (
    RULES_BY_STATE,
    PartitionRules,
    PartitionState,
)
from cherrygrade.fleet.membership.reachability import ReachabilityView
from cherrygrade.fleet.membership.relayed_probes import RelayedProbe, RelayedProbes
from cherrygrade.fleet.membership.scheduler_messages import SchedulerMessageFilter
from cherrygrade.fleet.membership.table import (
    MemberInfo,
    MemberRecord,
    MembershipTable,
    MemberState,
)
from cherrygrade.fleet.membership.table_exchange import ExchangeTrigger

RETAIN_DEAD_MS = 600_000.0
"""How long a member stays in the table after it failed or left."""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of a dispatcher's membership.

    Attributes:
        name: Name of this dispatcher.
        incarnation: Start of this process, Unix ms.
        info: Properties that this dispatcher announces.
        fleet_size: Number of dispatchers in the fleet according to the settings.
        contacts: host:port of the contact points, which may include this dispatcher's own.
        seed: Seed of all random choices.
        period_ms: Probe period while self-doubt and ack latency are low, ms.
        retain_dead_ms: How long a member stays in the table after it failed or left, ms.
    """

    name: str
    incarnation: int
    info: MemberInfo
    fleet_size: int
    contacts: Iterable[str]
    seed: int
    period_ms: float = PROBE_PERIOD_MS
    retain_dead_ms: float = RETAIN_DEAD_MS


class MembershipState:
    """All state that one dispatcher has as a member of the fleet.

    Attributes:
        name: Name of this dispatcher.
        incarnation: Start of this process, Unix ms; raised where a former process of that name had a later
            incarnation because the clock was set back since.
        address: host:port at which other members reach this dispatcher.
        fleet_size: Number of dispatchers in the fleet according to the settings; no message changes it.
        started_ms: When this object was created, ms.
        table: The members.
        failure_detector: Decides which members to probe, suspect and declare failed.
        gossip: Queue of records to be passed on.
        exchange_trigger: Decides when full tables are exchanged.
        reachability: Reachability of the storage nodes.
        aggregators: Assigns each node the seat that aggregates the node's load reports.
        contacts: Schedule of the probes of contact points.
        relayed_probes: Probes sent for other members.
        scheduler_filter: Decides which messages of other schedulers are delivered.
        config: Adverts of the shared configuration.
        partition_state: The part of a partitioned fleet in which this dispatcher considers itself to be.
        superseded_by: Name and address of a later process with this dispatcher's name, for operators; empty
            where there is none. If it is set, this process is silent.
        seat_yielded_to: Name of the member to which this dispatcher yielded its seat; empty while it has the
            seat.
        has_left: Whether this dispatcher left the fleet gracefully, after which it is silent.
        refuted_accusations: Records against itself that this dispatcher refuted, in total.
        ignored_messages: Messages and records that were ignored, in total.
        has_unread: Whether messages wait that were not processed; set by the caller before `tick`.
        over_budget: Whether more messages arrive than may be processed. This dispatcher then sends only the
            messages that keep the other members from declaring it failed; set by the caller before `tick`.
    """

    def __init__(self, settings: MembershipSettings, now: float) -> None:
        info = settings.info
        self.name = settings.name
        self.incarnation = settings.incarnation
        self.address = info.address
        self.fleet_size = settings.fleet_size
        self.started_ms = now
        me = MemberRecord(self.name, self.incarnation, 0, MemberState.ALIVE, info)
        max_members = max(64, 4 * self.fleet_size)
        self.table = MembershipTable(me, now, max_members, settings.retain_dead_ms)
        self.failure_detector = FailureDetector(self.table, settings.seed, now, settings.period_ms)
        self.gossip = GossipQueue(settings.seed)
        self.exchange_trigger = ExchangeTrigger()
        self.reachability = ReachabilityView()
        self.aggregators = LoadAggregators([info.seat])
        self.contacts = Contacts(settings.contacts, info.address, settings.seed, now)
        self.relayed_probes = RelayedProbes()
        self.config = ConfigReporting()
        self.partition_state = PartitionState.MAJORITY if self.fleet_size <= 1 else PartitionState.ISOLATED
        self.superseded_by = ""
        self.seat_yielded_to = ""
        self.has_left = False
        self.refuted_accusations = 0
        self.ignored_messages = 0
        self.has_unread = False
        self.over_budget = False
        self.scheduler_filter = SchedulerMessageFilter()
        self._probe_number = crc32(f"{settings.seed}:{self.name}:{self.incarnation}".encode())
        self.gossip.add(self.name, now)

    @property
    def forfeits_seat(self) -> bool:
        """Whether another member has this dispatcher's seat, so that this one may use no share of quotas."""
        return bool(self.superseded_by or self.seat_yielded_to)

    @property
    def partition_rules(self) -> PartitionRules:
        """Actions that are allowed in the present partition state."""
        return RULES_BY_STATE[self.partition_state]

    @property
    def silent(self) -> bool:
        """Whether this dispatcher sends no messages any more: it left, or a later process has its name."""
        return self.has_left or bool(self.superseded_by)

    def records_for(self, receiver: str, incarnation: int = -1) -> list[MemberRecord]:
        """Return the records to send with a probe or ack to a member.

        An accusation of the receiver comes first, so that the receiver can refute it.

        Args:
            receiver: Name of the member.
            incarnation: The member's incarnation; -1 where it is not known.
        """
        member = self.table.members.get(receiver)
        if member is None:
            forgotten = self.table.forgotten_record(receiver, incarnation)
            if forgotten is not None:
                return [forgotten, *self.gossip.pick(self.table)]
        accused = [receiver] if member is not None and member.state > MemberState.ALIVE else []
        return self.gossip.pick(self.table, first=accused)

    def next_probe_number(self) -> int:
        """Return the number of the next probe."""
        self._probe_number = (self._probe_number + 1) & 0x7FFFFFFF
        return self._probe_number

    def relayed_result(self, probe: RelayedProbe, timed_out: bool) -> IndirectProbeResult:
        """Return the message that reports the result of a relayed probe to its requester.

        Args:
            probe: The relayed probe.
            timed_out: Whether no ack arrived in time.
        """
        return IndirectProbeResult(self.name, self.incarnation, probe.number, probe.target, timed_out)

"""The state that one dispatcher keeps as a member of the fleet.

Free of I/O, clock and chance. Times are ms of any one clock; incarnations are Unix ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from cherrygrade.fleet.membership.config_reporting import ConfigReporting
from cherrygrade.fleet.membership.contacts import Contacts
from cherrygrade.fleet.membership.failure_detector import (
    PERIOD_MS,
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
"""How long a dead member is remembered."""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """What a dispatcher takes part in the fleet with.

    Attributes:
        name: Name of this dispatcher.
        incarnation: Start of this process, Unix ms.
        info: What it announces of itself.
        fleet_size: Dispatchers of the fleet as the settings have it.
        contacts: host:port of the contact points; its own may be among them.
        seed: Of all that varies by chance.
        period_ms: Probe period at rest.
        retain_dead_ms: How long a dead member is remembered.
    """

    name: str
    incarnation: int
    info: MemberInfo
    fleet_size: int
    contacts: Iterable[str]
    seed: int
    period_ms: float = PERIOD_MS
    retain_dead_ms: float = RETAIN_DEAD_MS


class MembershipState:
    """All that one dispatcher knows as a member of the fleet.

    Attributes:
        name: Name of this dispatcher.
        incarnation: Start of this process, Unix ms; raised where a former process of the name had a later
            one, by a clock that was set back since.
        address: host:port at which it is reached.
        fleet_size: Dispatchers of the fleet as the settings have it; no message changes it.
        begun: When it began, ms.
        table: The members.
        failure_detector: Whom to probe, suspect and declare failed.
        gossip: Records to be passed on.
        exchange_trigger: When whole tables are exchanged.
        reachability: Nodes as the fleet sees them.
        aggregators: Which seat aggregates the load reports of which node.
        contacts: Contact points.
        relayed_probes: Probes made for others.
        scheduler_filter: Which messages between schedulers are delivered.
        config: What is said of this dispatcher's configuration.
        side: On which side of a partition it takes itself to be.
        superseded_by: A later process under this name elsewhere, for operators; then this one is silent.
        seat_yielded_to: The member to which it gave up its seat; empty while it holds it.
        left: It left the fleet gracefully; then it is silent.
        refuted_accusations: Records against itself that it refuted.
        ignored_messages: Messages and records that were not taken into account.
        has_unread: Messages wait that were not processed; set by the caller before `beat`.
        over_budget: More comes than may be processed: it sends the least that keeps it known; set by the
            caller before `beat`.
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
        """Its seat is another's: it uses no share of cold nodes and limits."""
        return bool(self.superseded_by or self.seat_yielded_to)

    @property
    def partition_rules(self) -> PartitionRules:
        """What it may do on its side of a partition."""
        return RULES_BY_STATE[self.partition_state]

    @property
    def silent(self) -> bool:
        """It takes no part any more: it left, or a later process has its name."""
        return self.has_left or bool(self.superseded_by)

    def records_for(self, receiver: str, incarnation: int = -1) -> list[MemberRecord]:
        """Records to send along to a member: first the accusation of itself, so that it can refute it."""
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

    def relayed_result(self, probe: RelayedProbe, denied: bool) -> IndirectProbeResult:
        """Return the result of a probe that was made for another; `denied`: it got no answer."""
        return IndirectProbeResult(self.name, self.incarnation, probe.number, probe.target, denied)

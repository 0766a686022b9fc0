"""The settings of a dispatcher, in groups; each part of the program is given only its own group.

The field names of most groups are keys of settings files, which operators write; the others are mapped to
their keys in `records/frozen_names.py`. Times are in ms and sizes in bytes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cherrygrade.scheduling.model import (
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)


@dataclass(frozen=True, slots=True)
class DispatcherIdentity:
    """Who this dispatcher is. Addresses are host:port."""

    name: str
    """Unique among all dispatchers."""
    listen: str
    """Where clients connect."""
    register: str
    """Address of the register."""
    number: int
    """The dispatcher's seat: its number from 0 among `dispatchers`."""
    dispatchers: int
    """Number of dispatchers, among which limits are divided."""
    seed: int
    """Seed of the random source."""


@dataclass(frozen=True, slots=True)
class VolumeSettings:
    """A volume."""

    plan: ServicePlan
    """Its service plan."""
    hosts: int
    """Number of dispatchers that receive its requests, among which the limits of its plan are divided."""


@dataclass(frozen=True, slots=True)
class UnitSettings:
    """How units of work are counted."""

    bytes_per_unit: float
    """Bytes read or written for each unit."""
    least_units: float
    """Units of the smallest request."""

    def units(self, length: int) -> float:
        """Return the units of a request that reads or writes `length` bytes."""
        return max(self.least_units, length / self.bytes_per_unit)


@dataclass(frozen=True, slots=True)
class TrafficSettings:
    """The requests that are served."""

    workloads: dict[str, Workload]
    """By name."""
    volumes: dict[str, VolumeSettings]
    """By name."""
    measure: UnitSettings
    """How units of work are counted."""


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """The scheduler's settings beside workloads and volumes."""

    earnings: UtilityModel = field(default_factory=UtilityModel)
    """What finished work is worth."""
    cold: SlowStartSettings = field(default_factory=SlowStartSettings)
    """Limits on nodes in slow start."""
    budget: RetryBudgetSettings | None = None
    """Limit on attempts beyond the first; None: no limit."""
    permits: SitePolicy = field(default_factory=SitePolicy)
    """What the scheduler may do."""
    key_rest_ms: float = 0.0
    """Cool-down of a key of ordered work after an attempt whose end is unknown."""


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on what a dispatcher accepts."""

    most_held: int = 4096
    """Open requests of all clients."""
    most_open: int = 1024
    """Open RPCs of one client."""
    most_clients: int = 1024
    """Client connections."""
    most_silent: int = 256
    """Of these, connections that have not sent their greeting."""
    most_body: int = 16 * 1024 * 1024
    """Bytes of the longest body."""
    hello_ms: float = 2000.0
    """Time that a new client has for its greeting."""
    answer_ms: float = 25.0
    """Reserved of each client's time for sending the answer."""
    leave_ms: float = 10000.0
    """Time for open requests to end at shutdown; the rest is answered with an error then."""


@dataclass(frozen=True, slots=True)
class NodeConnectionSettings:
    """Connections to each storage node."""

    most: int = 4
    """Connections to one node."""
    streams: int = 32
    """Frames in flight on one connection."""
    connect_ms: float = 250.0
    """Time for a connect, and again for the node's answer to the greeting."""
    idle_ms: float = 15000.0
    """A connection without frames is closed after this time."""
    source: str = ""
    """Local address of connections to nodes and to the register; chosen by the system if empty."""


@dataclass(frozen=True, slots=True)
class ExtentSettings:
    """How range requests are split into pieces, and how requests of neighbouring ranges are coalesced."""

    merge: bool = True
    """Coalesce requests."""
    most_join: int = 65536
    """Bytes of the longest coalesced attempt."""
    most_mates: int = 64
    """Requests in one coalesced attempt."""
    most_piece: int = 65536
    """Bytes of the longest piece."""
    pieces: int = 8
    """Pieces of one range request that may be in flight."""
    pieces_a_shard: int = 2
    """Of these, pieces for one shard."""
    hold_part: float = 0.02
    """Part of the latency objective that a small request may wait for others to coalesce with."""


@dataclass(frozen=True, slots=True)
class FlowControlSettings:
    """How fast peers must read and write, and the memory for bodies."""

    watch: bool = True
    """Watch the rates of peers and bound the memory for bodies."""
    floor: float = 4096.0
    """Bytes a second that a peer must move while memory is free."""
    top: float = 262144.0
    """Bytes a second that a peer must move when memory is full."""
    room: int = 67108864
    """Bytes of memory for bodies."""
    batch_room: int = 50331648
    """Of these, bytes for batch work."""
    most_peer: int = 16777216
    """Bytes that one peer may use."""
    most_slow: int = 16777216
    """Bytes that all slow peers together may use."""
    wait_part: float = 0.25
    """Part of the latency objective that a request may wait for memory."""
    hold_ms: float = 4000.0
    """When memory is short, time for which a slow peer may occupy it."""
    short_ms: float = 1000.0
    """Shorter span over which a peer's rate is taken."""
    long_ms: float = 5000.0
    """Longer span over which a peer's rate is taken."""
    grace_ms: float = 1500.0
    """Time below the required rate before each further step is taken against a peer."""
    remember_ms: float = 30000.0
    """Time for which a peer that was disconnected for being slow is remembered."""


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Gossip between dispatchers without a fleet."""

    places: list[str] = field(default_factory=list)
    """host:port of all dispatchers by seat; empty: no gossip."""


@dataclass(frozen=True, slots=True)
class CouncilSettings:
    """The council of voters, which keeps the fleet's log and grants leases."""

    voters: list[str]
    """Names of dispatchers."""
    folder: str = ""
    """Folder of this voter's store."""
    lease_ms: float = 10000.0
    """Duration of a lease."""
    drift: float = 0.005
    """By which fraction the rates of two clocks may differ at most."""
    drills: list[str] = field(default_factory=list)
    """Names of tasks that are leased only to check that leases work."""
    receiver: str = ""
    """host:port that is sent the orders of these tasks; empty: nobody."""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """A fleet of dispatchers that know each other."""

    name: str
    """Name of the fleet; members of other fleets are ignored."""
    place: str
    """host:port at which other members reach this one, by datagram and by stream."""
    bind: str = ""
    """host:port to listen at, if it is not `place`."""
    contacts: list[str] = field(default_factory=list)
    """host:port of a few other members."""
    zone: str = ""
    """Zone of this member."""
    period_ms: float = 400.0
    """Time between two probes."""
    keep_ms: float = 600000.0
    """Time for which failed members are remembered."""
    council: CouncilSettings | None = None
    """The council; None: the fleet has none."""
    config_file: str = ""
    """File that keeps the fleet's configuration over a restart; empty: it is not kept."""


@dataclass(frozen=True, slots=True)
class StartReference:
    """This start of a dispatcher, as the fleet knows it."""

    birth: int
    """Unix time of the start, ms; tells incarnations apart."""
    version: str = ""
    """Version of the program."""
    settings: str = ""
    """Digest of the settings that must be the same in all of the fleet."""


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """All settings of one dispatcher. The field names are keys of settings files."""

    place: DispatcherIdentity
    trade: TrafficSettings
    bearings: SchedulingSettings
    bounds: LimitSettings
    lines: NodeConnectionSettings
    cuts: ExtentSettings
    pace: FlowControlSettings
    words: GossipSettings = field(default_factory=GossipSettings)
    fleet: FleetSettings | None = None

    def faults(self) -> list[tuple[str, str]]:
        """Return contradictions between settings: pairs of a key and what is wrong with its value.

        These are limits without a burst, wrong councils, and settings of gossip that contradict each other
        (docs/migration.md).
        """
        place, permits, earnings = self.place, self.bearings.permits, self.bearings.earnings
        places, found = self.words.places, []
        for plan in {volume.plan.name: volume.plan for volume in self.trade.volumes.values()}.values():
            if plan.limit_rate and not plan.limit_burst:
                found.append(
                    (f"plans.{plan.name}.limit_depth", "0, but limit_rate is set: no request could be sent")
                )
        if self.fleet is not None and self.fleet.council is not None:
            council = self.fleet.council
            if len({*council.voters}) != len(council.voters) or len(council.voters) not in (1, 3, 5, 7):
                found.append(("fleet.council.voters", "expected one, three, five or seven different names"))
            if self.place.name in council.voters and not council.folder:
                found.append(("fleet.council.folder", "missing, but this dispatcher is a voter"))
        if self.fleet is not None and places:
            found.append(("words.places", "given, but fleet is given too: the fleet carries the gossip"))
            return found
        if places and not permits.allows_gossip:
            found.append(("words.places", "given, but permits.peers is false: there is no gossip"))
        if not permits.allows_gossip:
            return found
        if place.dispatchers < 2:
            found.append(("permits.peers", "true, but place.dispatchers is 1: expected at least 2"))
        if self.fleet is None and (len(places) != place.dispatchers or len(set(places)) != place.dispatchers):
            expected = f"expected with permits.peers one for each of place.dispatchers ({place.dispatchers})"
            found.append(
                ("words.places", f"{len(places)} addresses, {len(set(places))} different; {expected}")
            )
        if earnings.reports_use_elsewhere:
            reason = (
                "with permits.peers nodes do not report the use through other dispatchers: "
                "each dispatcher would use the full limit"
            )
            found.append(("earnings.tells_elsewhere", f"true, but {reason}"))
        return found

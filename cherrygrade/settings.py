"""What a site tells a dispatcher at its start, in parts; each part of the program takes only its own."""

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
    """Who this dispatcher is: addresses are host:port, number counts from 0 among `dispatchers`."""

    name: str
    listen: str
    register: str
    number: int
    dispatchers: int
    seed: int


@dataclass(frozen=True, slots=True)
class VolumeSettings:
    """A volume's plan, and through how many dispatchers it comes."""

    plan: ServicePlan
    hosts: int


@dataclass(frozen=True, slots=True)
class UnitSettings:
    """Units of an RPC from the bytes that it moves."""

    bytes_per_unit: float
    least_units: float

    def units(self, length: int) -> float:
        return max(self.least_units, length / self.bytes_per_unit)


@dataclass(frozen=True, slots=True)
class TrafficSettings:
    """What is traded here: workloads, plans and volumes by name, and how units are counted."""

    workloads: dict[str, Workload]
    volumes: dict[str, VolumeSettings]
    measure: UnitSettings


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """What the module is told besides workloads."""

    earnings: UtilityModel = field(default_factory=UtilityModel)
    cold: SlowStartSettings = field(default_factory=SlowStartSettings)
    budget: RetryBudgetSettings | None = None
    permits: SitePolicy = field(default_factory=SitePolicy)
    key_rest_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """How much a dispatcher takes on. Times in ms, bodies in bytes.

    `answer_ms` is kept back from each client's time for the answer's way.
    """

    most_held: int = 4096
    most_open: int = 1024
    most_clients: int = 1024
    most_silent: int = 256
    most_body: int = 16 * 1024 * 1024
    hello_ms: float = 2000.0
    answer_ms: float = 25.0
    leave_ms: float = 10000.0


@dataclass(frozen=True, slots=True)
class NodeConnectionSettings:
    """Connections to each storage node. Source: the address of this host that they, and the one to the
    register, go out from; the system's choice where it is empty."""

    most: int = 4
    streams: int = 32
    connect_ms: float = 250.0
    idle_ms: float = 15000.0
    source: str = ""


@dataclass(frozen=True, slots=True)
class ExtentSettings:
    """How ranges are cut and joined. Bytes; pieces of one RPC out at once, in all and for one shard; the part
    of an RPC's soft deadline that it may wait for company."""

    merge: bool = True
    most_join: int = 65536
    most_mates: int = 64
    most_piece: int = 65536
    pieces: int = 8
    pieces_a_shard: int = 2
    hold_part: float = 0.02


@dataclass(frozen=True, slots=True)
class FlowControlSettings:
    """What is asked of peers that are waited for, and the room for bodies.

    Bytes a second: the floor in plenty of room, the top when it is full. Spans that rates are taken over, and
    the grace of each step, ms. Room in bytes: in all, for batch, for one peer, for all slow ones; the part of
    a soft deadline that an RPC may wait for it, and how long what a peer is slow to take may stay, ms.
    """

    watch: bool = True
    floor: float = 4096.0
    top: float = 262144.0
    room: int = 67108864
    batch_room: int = 50331648
    most_peer: int = 16777216
    most_slow: int = 16777216
    wait_part: float = 0.25
    hold_ms: float = 4000.0
    short_ms: float = 1000.0
    long_ms: float = 5000.0
    grace_ms: float = 1500.0
    remember_ms: float = 30000.0


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Where dispatchers hear each other's words, by number; none: they share nothing."""

    places: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CouncilSettings:
    """Voters by the names of dispatchers; folder: of a voter's store; drift: by how much two clocks' pace may
    differ at most; drills: tasks that are held for nothing but to see that leases work, and ordered at a
    receiver, where one is named."""

    voters: list[str]
    folder: str = ""
    lease_ms: float = 10000.0
    drift: float = 0.005
    drills: list[str] = field(default_factory=list)
    receiver: str = ""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """A fleet of dispatchers that know each other. Place: host:port that others reach this one at, by
    datagram and stream; bind: where it listens, where that is another. Contacts: places of a few others.
    Ms: between two probes; how long the dead are remembered. Council: where one is named, its voters.
    Config file: where the fleet's configuration is kept over a restart; "": nowhere."""

    name: str
    place: str
    bind: str = ""
    contacts: list[str] = field(default_factory=list)
    zone: str = ""
    period_ms: float = 400.0
    keep_ms: float = 600000.0
    council: CouncilSettings | None = None
    config_file: str = ""


@dataclass(frozen=True, slots=True)
class StartReference:
    """This life of a dispatcher: Unix ms of its start; the program's version; a mark of the settings that
    are to be the same all over the fleet."""

    birth: int
    version: str = ""
    settings: str = ""


@dataclass(frozen=True, slots=True)
class SiteSettings:
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
        """Keys, and what is wrong with them beside others: limits without a depth, and settings of two
        shapes at once, dispatchers that share nothing or that tell each other (docs/migration.md)."""
        place, permits, earnings = self.place, self.bearings.permits, self.bearings.earnings
        places, found = self.words.places, []
        for plan in {volume.plan.name: volume.plan for volume in self.trade.volumes.values()}.values():
            if plan.limit_rate and not plan.limit_burst:
                found.append((f"plans.{plan.name}.limit_depth", "0, but limit_rate is set: nothing could go"))
        if self.fleet is not None and self.fleet.council is not None:
            council = self.fleet.council
            if len({*council.voters}) != len(council.voters) or len(council.voters) not in (1, 3, 5, 7):
                found.append(("fleet.council.voters", "one, three, five or seven names, each once"))
            if self.place.name in council.voters and not council.folder:
                found.append(("fleet.council.folder", "lacking, and this one votes"))
        if self.fleet is not None and places:
            found.append(("words.places", "given beside fleet: words go by the fleet"))
            return found
        if places and not permits.allows_gossip:
            found.append(("words.places", "given, but permits.peers is false: dispatchers share nothing"))
        if not permits.allows_gossip:
            return found
        if place.dispatchers < 2:
            found.append(("permits.peers", "true, but place.dispatchers is 1: there is nobody to tell"))
        if self.fleet is None and (len(places) != place.dispatchers or len(set(places)) != place.dispatchers):
            needed = f"with permits.peers one for each of place.dispatchers ({place.dispatchers})"
            found.append(("words.places", f"{len(places)} places, {len(set(places))} different; {needed}"))
        if earnings.reports_use_elsewhere:
            why = "with permits.peers nodes tell nothing of others' use: each would deal out the whole due"
            found.append(("earnings.tells_elsewhere", f"true, but {why}"))
        return found

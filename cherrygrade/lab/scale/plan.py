"""A scale run's plan: who sits where, how long words take between any two, what is done when, what fits.

Free of I/O and clock; chance by seed and counter.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from cherrygrade.lab.scale.errors import TooLarge

NET, NODE_NET = "127.48", "127.80"  # loopback addresses of members, and of hollow nodes
NODES_A_PROCESS = 400
REAL_MB, HOST_MB, MEMBER_MB, PAIR_MB, OTHERS_MB = 60.0, 60.0, 0.25, 0.0012, 200.0
"""What is reckoned before the start: a real process, an empty host, a hollow member without others, what
it holds of each other, all stand-ins. Watched while the run goes."""
JITTER_MS = 2.0  # on ways between regions


@dataclass(frozen=True, slots=True)
class Spans:
    """How long each part of the run takes, ms."""

    settle: float
    calm: float
    """Before the rest: members ask the council more often for 15 s after anybody came."""
    rest: float
    loaded: float
    one_dead: float
    few_dead: float
    zone_dead: float
    back: float
    cut: float
    heal: float
    restarted: float
    configured: float = 0.0
    """At rest, on a version; the next four: `changes.py`."""
    changes: float = 0.0
    changes_killed: float = 0.0
    missed: float = 0.0
    missed_heal: float = 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Of the run itself: lateness of its own event loops beyond which it has measured nothing; what it may
    take of the machine."""

    late_p99_ms: float
    late_worst_ms: float
    late_disk_ms: float
    """Of a small write to the disk: beyond it nothing is said of tasks that wait for voters' disks."""
    most_processes: int
    memory_part: float


@dataclass(frozen=True, slots=True)
class Scale:
    name: str
    seed: int
    dispatchers: int
    real: int
    bare: int
    loaded: int
    nodes: int
    voters: int
    drills: int
    lease_ms: float
    a_host: int
    regions: int
    zones: int
    round_trip_ms: float
    zone_ms: float
    loss: list[float]
    per_s: float
    spans: Spans
    quick: Spans
    bounds: Bounds
    site: dict[str, object] = field(default_factory=dict)
    change_every_ms: float = 3000.0
    faults: bool = True

    @property
    def hollow(self) -> int:
        return self.dispatchers - self.real


@dataclass(frozen=True, slots=True)
class Seat:
    number: int
    real: bool
    region: int
    zone: int
    """Counted through all regions."""


def seats(scale: Scale) -> list[Seat]:
    """Real members first, all in region 0; hollow ones fill the regions to equal size, zones in turn."""
    found: list[Seat] = []
    sizes = [0] * scale.regions
    share = -(-scale.dispatchers // scale.regions)
    for number in range(scale.dispatchers):
        real = number < scale.real
        region = 0 if real else next((at for at, size in enumerate(sizes) if size < share), 0)
        zone = region * scale.zones + sizes[region] % scale.zones
        sizes[region] += 1
        found.append(Seat(number, real, region, zone))
    return found


def hosts(scale: Scale) -> list[list[int]]:
    """Hollow members by process, evenly: each holds some of every zone."""
    hollow = [*range(scale.real, scale.dispatchers)]
    count = -(-len(hollow) // scale.a_host) if hollow else 0
    return [hollow[at::count] for at in range(count)]


def address_of(number: int) -> str:
    return f"{NET}.{number // 250}.{number % 250 + 1}"


def node_address(number: int) -> str:
    return f"{NODE_NET}.{number // 250}.{number % 250 + 1}"


def number_of(address: str) -> int:
    """Whose address it is; -1 where nobody's of the fleet."""
    if not address.startswith(NET + "."):
        return -1
    _, _, high, low = address.split(".")
    return int(high) * 250 + int(low) - 1


class Lots:
    """Chance by seed and counter."""

    def __init__(self, seed: int | str) -> None:
        self.seed, self.count = seed, 0

    def part(self) -> float:
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) / 2.0**32

    def some(self, among: Iterable[int], count: int) -> list[int]:
        left, found = [*among], list[int]()
        while left and len(found) < count:
            found.append(left.pop(int(self.part() * len(left))))
        return sorted(found)


class Ways:
    """What becomes of a word between any two: lost, or so late. Cuts by name: none passes between those on
    one and all others."""

    def __init__(self, scale: Scale, chance: str) -> None:
        """`chance`: each process draws of its own."""
        self._zone = [one.zone for one in seats(scale)]
        self._region = [one.region for one in seats(scale)]
        zones, lots = scale.regions * scale.zones, Lots(f"{scale.seed}:loss")
        least, most = scale.loss
        self.lost = [[least + (most - least) * lots.part() for _ in range(zones)] for _ in range(zones)]
        self._far, self._near = scale.round_trip_ms / 2.0, scale.zone_ms
        self.cuts: dict[str, frozenset[int]] = {}
        self._lots = Lots(f"{scale.seed}:{chance}")

    def shut(self, one: int, other: int) -> bool:
        return any((one in cut) != (other in cut) for cut in self.cuts.values())

    def delay(self, one: int, other: int) -> float:
        """One way, ms; without what it varies by."""
        if self._region[one] != self._region[other]:
            return self._far
        return self._near if self._zone[one] != self._zone[other] else 0.0

    def fate(self, one: int, other: int) -> float:
        """Of one datagram: ms until it comes; below 0 where it does not."""
        if self.cuts and self.shut(one, other):
            return -1.0
        part = self._lots.part()
        lost = self.lost[self._zone[one]][self._zone[other]]
        if part < lost:
            return -1.0
        delay = self.delay(one, other)
        if self._region[one] != self._region[other]:
            return delay + JITTER_MS * (part - lost) / (1.0 - lost)
        return delay


# What is done when.


@dataclass(frozen=True, slots=True)
class Step:
    """`when`: as the report names it; `on`: whom it is done to."""

    when: str
    kind: str
    on: tuple[int, ...]
    for_ms: float
    note: str = ""


FEW, SOME, TARGET = 20, 10, 580


def steps(scale: Scale, quick: bool) -> list[Step]:
    """Rest, then each fault of the target's last row; counts by the fleet's size under 580."""
    spans, lots = (scale.quick if quick else scale.spans), Lots(f"{scale.seed}:faults")
    all_seats = seats(scale)
    free = [one.number for one in all_seats if one.number >= scale.voters]
    part = min(1.0, scale.dispatchers / TARGET)
    last = max(seat.zone for seat in all_seats)
    zone = tuple(one.number for one in all_seats if one.zone == last and one.number >= scale.voters)
    hollow = [one.number for one in all_seats if not one.real and one.zone != last]
    one = tuple(lots.some(hollow, 1))
    few = tuple(lots.some((number for number in hollow if number not in one), max(2, round(FEW * part))))
    half = tuple(seat.number for seat in all_seats if seat.region == scale.regions - 1)
    some = tuple(lots.some(free, max(2, round(SOME * part))))
    told = "" if part == 1.0 else f"scaled to {scale.dispatchers} dispatchers: {{}} in place of {{}}"

    def scaled(count: int, usual: int) -> str:
        return told.format(count, usual) if count != usual else ""

    short = "" if spans.cut >= 180_000.0 else f"{spans.cut / 1000.0:.0f} s in place of 180 s"
    found = [
        Step("rest", "rest", (), spans.rest),
        Step("under load", "load", (), spans.loaded),
        Step("one dead", "kill", one, spans.one_dead),
        Step("20 dead", "kill", few, spans.few_dead, scaled(len(few), FEW)),
        Step(
            "97 dead",
            "kill",
            zone,
            spans.zone_dead,
            "; ".join(t for t in ("a zone", scaled(len(zone), 97)) if t),
        ),
        Step("back", "back", tuple(sorted({*one, *few, *zone})), spans.back),
        Step("half cut", "cut", half, spans.cut, "; ".join(t for t in (short, scaled(len(half), 290)) if t)),
        Step("heal", "heal", half, spans.heal),
        Step("10 restarted", "restart", some, spans.restarted, scaled(len(some), SOME)),
    ]
    return found if scale.faults else found[:1]


# What fits.


@dataclass(frozen=True, slots=True)
class Need:
    processes: int
    memory_mb: float


def need(scale: Scale) -> Need:
    """What the run is reckoned to take."""
    count = len(hosts(scale))
    nodes = -(-scale.nodes // NODES_A_PROCESS)
    members = scale.hollow * (MEMBER_MB + PAIR_MB * scale.dispatchers)
    memory = (scale.real + scale.bare) * REAL_MB + count * HOST_MB + members + OTHERS_MB + nodes * HOST_MB
    return Need(scale.real + scale.bare + count + nodes + 4, memory)  # run, register, receiver, load


def admit(bounds: Bounds, seen: Need, machine_mb: float) -> None:
    """TooLarge where that is more than the run may take."""
    room = bounds.memory_part * machine_mb
    if seen.processes > bounds.most_processes:
        raise TooLarge(
            f"the scale run takes {seen.processes} processes, {bounds.most_processes} are allowed",
            do="Make `real` smaller, or `a_host` larger: more hollow members in one process.",
        )
    if seen.memory_mb > room:
        raise TooLarge(
            f"the scale run takes {seen.memory_mb:.0f} MiB, of {machine_mb:.0f} it may take {room:.0f}",
            do="Make --dispatchers smaller (each holds all others), then `real`, then --nodes.",
        )

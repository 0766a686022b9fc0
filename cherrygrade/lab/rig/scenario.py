"""Scenarios as read from record files, the dispatchers' settings files, and faults drawn at random."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any
from zlib import crc32

from cherrygrade.records.load import checked_value, convert, read_site, read_vertex
from cherrygrade.settings import SiteSettings
from cherrygrade.standin.node import Build


@dataclass(frozen=True, slots=True)
class NodeRole:
    """One storage node of a scenario.

    Attributes:
        zone: Failure domain.
        build: Capacity and timing of the stand-in.
    """

    zone: str
    build: Build


@dataclass(frozen=True, slots=True)
class Stream:
    """Open-loop arrivals of one workload: they do not wait for answers.

    Attributes:
        workload: Name of the workload.
        verb: "read", "write", "new" (write of a new object), "append" or "run" (reads of successive blocks).
        volumes: Names of the volumes, one of which is drawn for each arrival.
        per_s: Arrivals per second, over all load processes.
        length: Length of an object or block, bytes.
        keys: Number of objects or blocks per volume.
        retries: Maximum number of retries by the client.
        honour: Probability that the client waits for the retry delay that a rejection names.
        run: Number of requests that one arrival sends at once, of successive blocks if `verb` is "run".
    """

    workload: str
    verb: str
    volumes: list[str]
    per_s: float
    length: int
    keys: int
    retries: int
    honour: float
    run: int


@dataclass(frozen=True, slots=True)
class RangeVolume:
    """A volume of byte ranges: number of its extents, and their length in bytes."""

    extents: int
    extent_bytes: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """One injected fault or change of load.

    Attributes:
        at_ms: Start, ms from the start of the run.
        for_ms: Duration, ms.
        kind: Kind, as in `rig/run.py`.
        on: Numbers of the nodes, dispatchers or streams affected. If it is empty, all nodes or all streams
            are affected, but no dispatcher.
        size: Factor, probability, delay (ms) or number, depending on the kind.
        far: For faults of the network: "node N", "nodes", "register" or "clients" at the other end,
            instead of the other dispatchers.
    """

    at_ms: float
    for_ms: float
    kind: str
    on: list[int]
    size: float
    far: list[str] = field(default_factory=list)

    def lasts(self, at: float) -> bool:
        """Whether it is in effect at `at` (ms from the start of the run)."""
        return self.at_ms <= at < self.at_ms + self.for_ms


@dataclass(frozen=True, slots=True)
class Sitting:
    """Voters and leased tasks of a scenario with a council.

    Attributes:
        voters: The dispatchers with numbers below this are the council.
        tasks: Number of leased tasks; their holders send orders to one receiver.
        lease_ms: Duration of a lease, ms.
        numbered: Whether the receiver refuses orders with an outdated fencing number.
    """

    voters: int
    tasks: int
    lease_ms: float
    numbered: bool


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario, as its record file describes it. The fields are the file's keys.

    Attributes:
        name: Name for reports.
        seed: Seed of all random sources.
        length_ms: Duration of the run, ms.
        dispatchers: Number of dispatchers.
        loaders: Number of load processes.
        lag_ms: Delay of the registry's updates, ms.
        notice_ms: Time until the registry lists a failed node as gone, ms.
        grace_ms: Time that a dispatcher has to act on an update, ms.
        nodes: Storage nodes.
        traffic: Arrivals.
        troubles: Injected faults, with those drawn at random.
        site: Settings of the dispatchers, without the identity of each.
        ranges: Volumes of byte ranges, by name.
        words: Whether dispatchers exchange load reports at fixed addresses.
        fleet: Whether dispatchers form a fleet; the network between them can then inject faults.
        ways: Whether connections to clients, nodes and registry pass that network, too.
        drawn: Number of faults drawn at random.
        council: Council, if there is one.
    """

    name: str
    seed: int
    length_ms: float
    dispatchers: int
    loaders: int
    lag_ms: float
    notice_ms: float
    grace_ms: float
    nodes: list[NodeRole]
    traffic: list[Stream]
    troubles: list[Trouble]
    site: dict[str, Any]
    ranges: dict[str, RangeVolume] = field(default_factory=dict)
    words: bool = False
    fleet: bool = False
    ways: bool = False
    drawn: int = 0
    council: Sitting | None = None


def read_scenario(path: Path, extra: str = "") -> Scenario:
    """Reads a scenario and draws its random faults.

    Args:
        path: Record file.
        extra: Text of a record with further values.

    Raises:
        RecordError: The scenario is invalid; the error lists everything wrong with it.
    """
    read = convert(checked_value(read_vertex(path, "scenario.rec", extra)), Scenario)
    return replace(read, troubles=[*read.troubles, *draw(read)]) if read.drawn else read


def write_site(
    scenario: Scenario,
    folder: Path,
    number: int,
    process_number: int,
    listen: str,
    register: str,
    places: Sequence[str] = (),
    fleet: dict[str, Any] | None = None,
    source: str = "",
) -> Path:
    """Writes the settings file of one process of a dispatcher.

    Args:
        scenario: Scenario that is run.
        folder: Folder of the file.
        number: Number of the dispatcher, from 0.
        process_number: Number of its process, from 1.
        listen: host:port for clients.
        register: host:port of the registry.
        places: Addresses at which dispatchers receive load reports.
        fleet: Settings of the fleet.
        source: Local address for connections to nodes and registry; any where it is empty.

    Returns:
        Path of the file.
    """
    place = {
        "name": f"d{number}.{process_number}",
        "listen": listen,
        "register": register,
        "number": number,
        "dispatchers": scenario.dispatchers,
        "seed": scenario.seed * 1000 + number * 10 + process_number,
    }
    path = folder / f"dispatcher-{number}.{process_number}.rec"
    site = dict(scenario.site)
    if scenario.words:
        site["words"] = {"places": [*places]}
        site["permits"] = {**site.get("permits", {}), "peers": True}
        site["earnings"] = {**site.get("earnings", {}), "tells_elsewhere": False}
    if fleet is not None:
        place["name"] = f"d{number}"  # processes of one name differ in their incarnation
        site["fleet"] = fleet
        site["permits"] = {**site.get("permits", {}), "peers": True}
        site["earnings"] = {**site.get("earnings", {}), "tells_elsewhere": False}
    if source:
        site["lines"] = {**site.get("lines", {}), "source": source}
    path.write_text(json.dumps({"place": place, **site}, indent=1) + "\n")
    return path


def site_of(folder: Path) -> SiteSettings:
    """Returns the settings of the first process of dispatcher 0."""
    return read_site(folder / "dispatcher-0.1.rec")


# Faults drawn at random.

SETTLING_MS = 16000.0  # at the end of the run without faults, in which the fleet must settle
FIRST_FAULT_MS = 3000.0
LOSS_RANGE, DELAY_RANGE_MS = (0.01, 0.3), (50.0, 500.0)
FAULT_KINDS = (
    "stop", "stop", "kill", "kill", "leave", "end", "storm", "cut", "cut", "deafen", "deafen", "sides",
    "lossy", "doubling", "slow_way", "noise", "lies", "reset_ways", "drain", "crash", "past", "quiet", "drop",
    "far",
)  # fmt: skip


class RandomSource:
    """Random source that hashes the scenario's seed and a counter."""

    def __init__(self, seed: int) -> None:
        """Starts the sequence of this seed."""
        self.seed, self.count = seed, 0

    def uniform(self) -> float:
        """Returns a random number from 0 (included) to 1 (excluded)."""
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) / 2.0**32

    def between(self, low: float, high: float) -> float:
        """Returns a random number from `low` to `high`."""
        return low + (high - low) * self.uniform()

    def sample(self, population: Sequence[int], max_count: int) -> list[int]:
        """Returns one to `max_count` different elements, sorted; fewer if there are fewer."""
        remaining, found = [*population], list[int]()
        for _ in range(min(len(remaining), 1 + int(self.uniform() * max_count))):
            found.append(remaining.pop(int(self.uniform() * len(remaining))))
        return sorted(found)


def draw(scenario: Scenario) -> list[Trouble]:
    """Draws the faults of a fleet. They may overlap and end before the last `SETTLING_MS` of the run.

    A process fault hits each dispatcher and each node at most once; network faults may hit any number of
    times.
    """
    rng = RandomSource(scenario.seed)
    last = max(FIRST_FAULT_MS + 1.0, scenario.length_ms - SETTLING_MS)
    free, nodes = [*range(scenario.dispatchers)], [*range(len(scenario.nodes))]
    found: list[Trouble] = []

    def take(free_numbers: list[int], max_count: int) -> list[int]:
        chosen = rng.sample(free_numbers, max_count) if free_numbers else []
        for one in chosen:
            free_numbers.remove(one)
        return chosen

    def trouble(
        kind: str, for_ms: float, on: Sequence[int] = (), size: float = 1.0, far: Sequence[str] = ()
    ) -> None:
        found.append(Trouble(round(at, 1), round(min(for_ms, last - at), 1), kind, [*on], size, [*far]))

    for _ in range(scenario.drawn):
        at, kind = (
            rng.between(FIRST_FAULT_MS, last - 1000.0),
            FAULT_KINDS[int(rng.uniform() * len(FAULT_KINDS))],
        )
        span, half = rng.between(300.0, 9000.0), max(1, scenario.dispatchers // 2)
        max_dispatchers = max(1, scenario.dispatchers // 5)
        if kind in ("stop", "kill", "leave"):
            trouble(kind, span, take(free, max_dispatchers))
        elif kind == "end":
            trouble(kind, 0.0, take(free, 1))
        elif kind == "storm":
            trouble("kill", rng.between(200.0, 2000.0), take(free, half))
        elif kind in ("cut", "deafen"):
            trouble(kind, span, rng.sample(range(scenario.dispatchers), half), float(rng.uniform() < 0.5))
        elif kind == "sides":  # two parts are cut off; one member may reach all
            chosen = rng.sample(range(scenario.dispatchers), half)
            trouble("cut", span, chosen[::2])
            trouble("cut", span, chosen[1::2] or chosen)
            if rng.uniform() < 0.5:
                trouble("bridge", 0.0, chosen[:1])
        elif kind in ("lossy", "doubling"):
            trouble(kind, span, size=rng.between(*LOSS_RANGE))
        elif kind == "slow_way":
            trouble(kind, span, size=rng.between(*DELAY_RANGE_MS))
        elif kind in ("noise", "lies", "reset_ways"):
            trouble(kind, 0.0, rng.sample(range(scenario.dispatchers), half))
        elif kind in ("drain", "crash"):
            trouble(kind, 1000.0 + rng.between(0.0, 1000.0), take(nodes, 1) if len(nodes) > 1 else [])
        elif kind == "far" and scenario.ways:
            far = ("register", "clients")[int(rng.uniform() * 2.0)]
            trouble(
                "cut", min(span, 3000.0), rng.sample(range(scenario.dispatchers), max_dispatchers), far=[far]
            )
        elif kind in ("past", "quiet", "drop"):
            trouble(kind, min(span, 3000.0), size=6.0)
    return [
        one for one in found if one.on or one.kind not in ("stop", "kill", "leave", "end", "drain", "crash")
    ]

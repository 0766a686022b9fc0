"""A laboratory day as read from its records, and the settings files it gives its dispatchers."""

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
    zone: str
    build: Build


@dataclass(frozen=True, slots=True)
class Stream:
    """Arrivals of one workload: `per_s` over all clients, spread over volumes, not waiting for answers."""

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
    extents: int
    extent_bytes: int


@dataclass(frozen=True, slots=True)
class Trouble:
    at_ms: float
    for_ms: float
    kind: str
    on: list[int]
    size: float
    far: list[str] = field(default_factory=list)

    def lasts(self, at: float) -> bool:
        return self.at_ms <= at < self.at_ms + self.for_ms


@dataclass(frozen=True, slots=True)
class Sitting:
    """The first `voters` dispatchers are the council; so many drills, ordered at one receiver."""

    voters: int
    tasks: int
    lease_ms: float
    numbered: bool


@dataclass(frozen=True, slots=True)
class Scenario:
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
    """Raises RecordError with every error at once."""
    read = convert(checked_value(read_vertex(path, "scenario.rec", extra)), Scenario)
    return replace(read, troubles=[*read.troubles, *draw(read)]) if read.drawn else read


def write_site(
    scenario: Scenario,
    folder: Path,
    number: int,
    life: int,
    listen: str,
    register: str,
    places: Sequence[str] = (),
    fleet: dict[str, Any] | None = None,
    source: str = "",
) -> Path:
    """The settings of one dispatcher's life, as a record file; places where words are heard, if any are;
    its part of a fleet; the address that it connects from."""
    place = {
        "name": f"d{number}.{life}",
        "listen": listen,
        "register": register,
        "number": number,
        "dispatchers": scenario.dispatchers,
        "seed": scenario.seed * 1000 + number * 10 + life,
    }
    path = folder / f"dispatcher-{number}.{life}.rec"
    site = dict(scenario.site)
    if scenario.words:
        site["words"] = {"places": [*places]}
        site["permits"] = {**site.get("permits", {}), "peers": True}
        site["earnings"] = {**site.get("earnings", {}), "tells_elsewhere": False}
    if fleet is not None:
        place["name"] = f"d{number}"  # its births tell its lives apart
        site["fleet"] = fleet
        site["permits"] = {**site.get("permits", {}), "peers": True}
        site["earnings"] = {**site.get("earnings", {}), "tells_elsewhere": False}
    if source:
        site["lines"] = {**site.get("lines", {}), "source": source}
    path.write_text(json.dumps({"place": place, **site}, indent=1) + "\n")
    return path


def site_of(folder: Path) -> SiteSettings:
    """The settings that the first dispatcher of a day ran with."""
    return read_site(folder / "dispatcher-0.1.rec")


# Days that nobody wrote.

CALM_MS = 16000.0  # at a drawn day's end: what is right is to be seen there
FIRST_MS = 3000.0
LOSSY, LATE_MS = (0.01, 0.3), (50.0, 500.0)
KINDS = (
    "stop", "stop", "kill", "kill", "leave", "end", "storm", "cut", "cut", "deafen", "deafen", "sides",
    "lossy", "doubling", "slow_way", "noise", "lies", "reset_ways", "drain", "crash", "past", "quiet", "drop",
    "far",
)  # fmt: skip


class Lots:
    """Chance by the scenario's seed and a counter."""

    def __init__(self, seed: int) -> None:
        self.seed, self.count = seed, 0

    def part(self) -> float:
        self.count += 1
        return crc32(f"{self.seed}:{self.count}".encode()) / 2.0**32

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.part()

    def some(self, among: Sequence[int], most: int) -> list[int]:
        """At least one of them, each once."""
        left, found = [*among], list[int]()
        for _ in range(min(len(left), 1 + int(self.part() * most))):
            found.append(left.pop(int(self.part() * len(left))))
        return sorted(found)


def draw(scenario: Scenario) -> list[Trouble]:
    """Troubles of a fleet, single and overlapping, all over before the day's last seconds. A dispatcher and a
    node meet one trouble of their own each; ways as many as come."""
    lots = Lots(scenario.seed)
    last = max(FIRST_MS + 1.0, scenario.length_ms - CALM_MS)
    free, nodes = [*range(scenario.dispatchers)], [*range(len(scenario.nodes))]
    found: list[Trouble] = []

    def take(of: list[int], most: int) -> list[int]:
        some = lots.some(of, most) if of else []
        for one in some:
            of.remove(one)
        return some

    def trouble(
        kind: str, for_ms: float, on: Sequence[int] = (), size: float = 1.0, far: Sequence[str] = ()
    ) -> None:
        found.append(Trouble(round(at, 1), round(min(for_ms, last - at), 1), kind, [*on], size, [*far]))

    for _ in range(scenario.drawn):
        at, kind = lots.between(FIRST_MS, last - 1000.0), KINDS[int(lots.part() * len(KINDS))]
        span, half = lots.between(300.0, 9000.0), max(1, scenario.dispatchers // 2)
        few = max(1, scenario.dispatchers // 5)
        if kind in ("stop", "kill", "leave"):
            trouble(kind, span, take(free, few))
        elif kind == "end":
            trouble(kind, 0.0, take(free, 1))
        elif kind == "storm":
            trouble("kill", lots.between(200.0, 2000.0), take(free, half))
        elif kind in ("cut", "deafen"):
            trouble(kind, span, lots.some(range(scenario.dispatchers), half), float(lots.part() < 0.5))
        elif kind == "sides":  # three of them, and perhaps one that sees all
            some = lots.some(range(scenario.dispatchers), half)
            trouble("cut", span, some[::2])
            trouble("cut", span, some[1::2] or some)
            if lots.part() < 0.5:
                trouble("bridge", 0.0, some[:1])
        elif kind in ("lossy", "doubling"):
            trouble(kind, span, size=lots.between(*LOSSY))
        elif kind == "slow_way":
            trouble(kind, span, size=lots.between(*LATE_MS))
        elif kind in ("noise", "lies", "reset_ways"):
            trouble(kind, 0.0, lots.some(range(scenario.dispatchers), half))
        elif kind in ("drain", "crash"):
            trouble(kind, 1000.0 + lots.between(0.0, 1000.0), take(nodes, 1) if len(nodes) > 1 else [])
        elif kind == "far" and scenario.ways:
            far = ("register", "clients")[int(lots.part() * 2.0)]
            trouble("cut", min(span, 3000.0), lots.some(range(scenario.dispatchers), few), far=[far])
        elif kind in ("past", "quiet", "drop"):
            trouble(kind, min(span, 3000.0), size=6.0)
    return [
        one for one in found if one.on or one.kind not in ("stop", "kill", "leave", "end", "drain", "crash")
    ]

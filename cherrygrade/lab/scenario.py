"""A laboratory day as read from its records, and the settings files it gives its dispatchers."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cherrygrade.records.load import convert, plain, read_site, read_vertex
from cherrygrade.site import Site
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

    def lasts(self, at: float) -> bool:
        return self.at_ms <= at < self.at_ms + self.for_ms


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


def read_scenario(path: Path, extra: str = "") -> Scenario:
    """Raises RecordError with every error at once."""
    return convert(plain(read_vertex(path, "scenario.rec", extra)), Scenario)


def write_site(
    scenario: Scenario,
    folder: Path,
    number: int,
    life: int,
    listen: str,
    register: str,
    places: Sequence[str] = (),
    fleet: dict[str, Any] | None = None,
) -> Path:
    """The settings of one dispatcher's life, as a record file; places where words are heard, if any are;
    its part of a fleet."""
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
    path.write_text(json.dumps({"place": place, **site}, indent=1) + "\n")
    return path


def site_of(folder: Path) -> Site:
    """The settings that the first dispatcher of a day ran with."""
    return read_site(folder / "dispatcher-0.1.rec")

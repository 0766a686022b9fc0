"""Records from files, held against a schema that ships with the program, as frozen types."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from importlib import resources
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from cherrygrade.records.frozen_names import with_field_names
from cherrygrade.records.grammar import Field, RecordSyntaxError, Tree, parse
from cherrygrade.records.lattice import Vertex, unify
from cherrygrade.scheduling.model import (
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.settings import (
    DispatcherIdentity,
    ExtentSettings,
    FleetSettings,
    FlowControlSettings,
    GossipSettings,
    LimitSettings,
    NodeConnectionSettings,
    SchedulingSettings,
    SiteSettings,
    TrafficSettings,
    UnitSettings,
)

T = TypeVar("T")


class RecordError(Exception):
    """Settings that are wrong; `faults` holds every error, a line each."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def read_vertex(path: Path, schema: str, extra: str = "") -> Vertex:
    """The file's record and its schema as one. Extra is more text, given on a command line: it goes before
    what the file says under the same names, and is held against the schema alike."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as trouble:
        raise RecordError([f"{path}: {trouble}"]) from trouble
    return merge_texts([(str(path), text), *([("given", extra)] if extra else [])], schema)


def merge_texts(texts: Sequence[tuple[str, str]], schema: str) -> Vertex:
    """Texts, each with the name that its faults are told under, and their schema as one. Each goes before
    what those before it say under the same names. Raises RecordError."""
    try:
        ours = parse(resources.files("cherrygrade.records").joinpath(schema).read_text(), schema)
        trees = [parse(text, name) for name, text in texts]
    except RecordSyntaxError as trouble:
        raise RecordError([str(trouble)]) from trouble
    for at, over in enumerate(trees):
        trees[:at] = [_without(tree, over) for tree in trees[:at]]
    return unify([ours, *trees], closed=True)


def _without(tree: Tree, given: Tree) -> Tree:
    """The file's tree without the values that are given; of structs that both have, without their parts."""
    parts = _spread(tree)
    for told in _spread(given):
        for at, field in reversed([*enumerate(parts)]):
            if not (isinstance(told, Field) and isinstance(field, Field)):
                continue
            if told.kind != "field" or (field.kind, field.label) != ("field", told.label):
                continue
            if told.value.kind == field.value.kind == "struct":
                parts[at] = replace(field, value=_without(field.value, told.value))
            else:
                del parts[at]
    return replace(tree, parts=tuple(parts))


def _spread(tree: Tree) -> list[Any]:
    """Its parts, those of structs embedded in it among them: a file in braces is one struct in another."""
    found: list[Any] = []
    for part in tree.parts:
        found += _spread(part) if isinstance(part, Tree) and part.kind == "struct" else [part]
    return found


def key_paths(text: str) -> set[str]:
    """Keys that a text gives by name, structs and what is in them. Raises RecordError."""
    try:
        return _names(parse(text, "text"), "")
    except RecordSyntaxError as trouble:
        raise RecordError([str(trouble)]) from trouble


def _names(tree: Tree, above: str) -> set[str]:
    found = set()
    for part in _spread(tree):
        if isinstance(part, Field) and part.kind == "field":
            found.add(f"{above}{part.label}")
            if part.value.kind == "struct":
                found |= _names(part.value, f"{above}{part.label}.")
    return found


def checked_value(vertex: Vertex) -> Any:
    """The record's value. Raises RecordError with all that is wrong or lacking."""
    faults = list(vertex.all_faults())
    value, lacking = vertex.export()
    wrong = {fault.path for fault in faults}
    faults += [fault for fault in lacking if fault.path not in wrong]
    found = list(dict.fromkeys(str(fault) for fault in faults))
    if found:
        raise RecordError(found)
    return value


def convert(value: Any, made: type[T]) -> T:
    """A frozen type from a checked value."""
    try:
        return msgspec.convert(value, made)
    except msgspec.ValidationError as trouble:  # the schema and the type disagree: a bug of ours
        raise RecordError([f"{made.__name__}: {trouble}"]) from trouble


class _SiteRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    place: DispatcherIdentity
    workloads: dict[str, Any]
    plans: dict[str, Any]
    volumes: dict[str, Any]
    measure: UnitSettings
    earnings: Any
    cold: Any
    permits: Any
    key_rest_ms: float
    bounds: LimitSettings
    lines: NodeConnectionSettings
    extents: ExtentSettings
    peers: FlowControlSettings
    words: GossipSettings
    budget: Any = None
    fleet: FleetSettings | None = None


SCHEDULING_SECTIONS: dict[str, type] = {
    "earnings": UtilityModel,
    "cold": SlowStartSettings,
    "budget": RetryBudgetSettings,
    "permits": SitePolicy,
}
"""Sections of a record that set up the scheduler, and their types."""


def _traffic(record: _SiteRecord) -> dict[str, Any]:
    """The sections on traffic, under the names of the program's types."""
    return {
        "workloads": {name: with_field_names(Workload, one) for name, one in record.workloads.items()},
        "volumes": {
            name: {**one, "plan": with_field_names(ServicePlan, one["plan"])}
            for name, one in record.volumes.items()
        },
        "measure": record.measure,
    }


def site_from_value(value: dict[str, Any], where: Callable[[str], str] = lambda key: "") -> SiteSettings:
    """The parts of a site from a checked record; `where` tells a key's place for what is wrong."""
    record = convert({"workloads": {}, "plans": {}, "volumes": {}, **value}, _SiteRecord)
    trade = convert(_traffic(record), TrafficSettings)
    cuts = record.extents
    scheduling: dict[str, Any] = {"key_rest_ms": record.key_rest_ms}
    for name, kind in SCHEDULING_SECTIONS.items():
        if name in value:
            scheduling[name] = with_field_names(kind, value[name])
    scheduling["permits"] |= {
        "max_coalesced_bytes": cuts.most_join if cuts.merge else 0,
        "max_coalesced_requests": cuts.most_mates,
        "bytes_per_unit": record.measure.bytes_per_unit,
        "min_units": record.measure.least_units,
    }
    bearings = convert(scheduling, SchedulingSettings)
    site = SiteSettings(
        record.place,
        trade,
        bearings,
        record.bounds,
        record.lines,
        cuts,
        record.peers,
        record.words,
        record.fleet,
    )
    if site.faults():
        raise RecordError([f"{where(key)}{key}: {what}" for key, what in site.faults()])
    return site


def read_site(path: Path, extra: str = "") -> SiteSettings:
    """A dispatcher's settings. Raises RecordError with every error at once."""
    return site_from_vertex(read_vertex(path, "site.rec", extra))


def site_from_vertex(vertex: Vertex) -> SiteSettings:
    """Settings from texts that were laid over each other. Raises RecordError with every error at once."""

    def where(key: str) -> str:
        found = vertex
        for label in key.split("."):
            found = found.arcs[label]
        return f"{found.words[0].at if found.words else found.conjuncts[-1].tree.at}: "

    return site_from_value(checked_value(vertex), where)

"""Loading of settings: reads record files, checks them against a schema and converts them to frozen types.

The schemas are the `*.rec` files of this package.
"""

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
    """Settings are invalid.

    Attributes:
        faults: All errors, one line each.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def read_vertex(path: Path, schema: str, extra: str = "") -> Vertex:
    """Read a record file and unify it with its schema.

    Args:
        path: The file.
        schema: File name of the schema in this package.
        extra: More text in the records language, from a command line. Its values replace those that the file
            gives for the same keys. The schema applies to it as well.

    Returns:
        The record, which may still hold errors; `checked_value` reports them.

    Raises:
        RecordError: If the file cannot be read, or a text cannot be parsed.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise RecordError([f"{path}: {error}"]) from error
    return merge_texts([(str(path), text), *([("given", extra)] if extra else [])], schema)


def merge_texts(texts: Sequence[tuple[str, str]], schema: str) -> Vertex:
    """Unify texts with their schema; a later text replaces values that earlier ones give for the same keys.

    Args:
        texts: Pairs of a name, which error messages start with, and a text.
        schema: File name of the schema in this package.

    Raises:
        RecordError: If a text cannot be parsed.
    """
    try:
        schema_tree = parse(resources.files("cherrygrade.records").joinpath(schema).read_text(), schema)
        trees = [parse(text, name) for name, text in texts]
    except RecordSyntaxError as error:
        raise RecordError([str(error)]) from error
    for index, override in enumerate(trees):
        trees[:index] = [_without_overridden(tree, override) for tree in trees[:index]]
    return unify([schema_tree, *trees], closed=True)


def _without_overridden(tree: Tree, override: Tree) -> Tree:
    """Return the tree without the fields that the override gives; structs in both are merged recursively."""
    parts = _flattened_parts(tree)
    for override_field in _flattened_parts(override):
        for index, field in reversed([*enumerate(parts)]):
            if not (isinstance(override_field, Field) and isinstance(field, Field)):
                continue
            if override_field.kind != "field" or (field.kind, field.label) != ("field", override_field.label):
                continue
            if override_field.value.kind == field.value.kind == "struct":
                parts[index] = replace(field, value=_without_overridden(field.value, override_field.value))
            else:
                del parts[index]
    return replace(tree, parts=tuple(parts))


def _flattened_parts(tree: Tree) -> list[Any]:
    """Return the parts of a struct, with embedded structs replaced by their parts.

    A file that is enclosed in braces is a struct embedded in the outermost one.
    """
    found: list[Any] = []
    for part in tree.parts:
        found += _flattened_parts(part) if isinstance(part, Tree) and part.kind == "struct" else [part]
    return found


def key_paths(text: str) -> set[str]:
    """Return the dotted paths of all fields that a text gives, of structs as well as of the fields in them.

    Raises:
        RecordError: If the text cannot be parsed.
    """
    try:
        return _key_paths(parse(text, "text"), "")
    except RecordSyntaxError as error:
        raise RecordError([str(error)]) from error


def _key_paths(tree: Tree, prefix: str) -> set[str]:
    found = set()
    for part in _flattened_parts(tree):
        if isinstance(part, Field) and part.kind == "field":
            found.add(f"{prefix}{part.label}")
            if part.value.kind == "struct":
                found |= _key_paths(part.value, f"{prefix}{part.label}.")
    return found


def checked_value(vertex: Vertex) -> Any:
    """Return the value of a record.

    Raises:
        RecordError: If the record has errors, or values are missing; it lists all of them.
    """
    faults = list(vertex.all_faults())
    value, missing = vertex.export()
    faulty_paths = {fault.path for fault in faults}
    faults += [fault for fault in missing if fault.path not in faulty_paths]
    found = list(dict.fromkeys(str(fault) for fault in faults))
    if found:
        raise RecordError(found)
    return value


def convert(value: Any, kind: type[T]) -> T:
    """Convert a checked value to a frozen type.

    Raises:
        RecordError: If the value does not fit the type, which means that the schema and the type disagree.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise RecordError([f"{kind.__name__}: {error}"]) from error


class _SiteRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A dispatcher's settings, under the names that they have in `site.rec`."""

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
    """Return the sections on traffic, under the field names of `TrafficSettings`."""
    return {
        "workloads": {name: with_field_names(Workload, one) for name, one in record.workloads.items()},
        "volumes": {
            name: {**one, "plan": with_field_names(ServicePlan, one["plan"])}
            for name, one in record.volumes.items()
        },
        "measure": record.measure,
    }


def site_from_value(
    value: dict[str, Any], position_prefix: Callable[[str], str] = lambda key: ""
) -> SiteSettings:
    """Build a dispatcher's settings from the checked value of a record.

    Args:
        value: What `checked_value` returned.
        position_prefix: Returns the text that an error about a key starts with, such as its position.

    Raises:
        RecordError: If settings contradict each other; it lists all such errors.
    """
    record = convert({"workloads": {}, "plans": {}, "volumes": {}, **value}, _SiteRecord)
    traffic = convert(_traffic(record), TrafficSettings)
    extents = record.extents
    scheduling: dict[str, Any] = {"key_rest_ms": record.key_rest_ms}
    for name, kind in SCHEDULING_SECTIONS.items():
        if name in value:
            scheduling[name] = with_field_names(kind, value[name])
    scheduling["permits"] |= {
        "max_coalesced_bytes": extents.most_join if extents.merge else 0,
        "max_coalesced_requests": extents.most_mates,
        "bytes_per_unit": record.measure.bytes_per_unit,
        "min_units": record.measure.least_units,
    }
    scheduling_settings = convert(scheduling, SchedulingSettings)
    site = SiteSettings(
        record.place,
        traffic,
        scheduling_settings,
        record.bounds,
        record.lines,
        extents,
        record.peers,
        record.words,
        record.fleet,
    )
    if site.faults():
        raise RecordError([f"{position_prefix(key)}{key}: {reason}" for key, reason in site.faults()])
    return site


def read_site(path: Path, extra: str = "") -> SiteSettings:
    """Read a dispatcher's settings from a file; `extra` is as for `read_vertex`.

    Raises:
        RecordError: If the file cannot be read, or its settings are invalid; it lists all errors.
    """
    return site_from_vertex(read_vertex(path, "site.rec", extra))


def site_from_vertex(vertex: Vertex) -> SiteSettings:
    """Build a dispatcher's settings from a record that was unified with `site.rec`.

    Raises:
        RecordError: If the settings are invalid; it lists all errors.
    """

    def position_prefix(key: str) -> str:
        found = vertex
        for label in key.split("."):
            found = found.children[label]
        return (
            f"{found.constraints[0].position if found.constraints else found.conjuncts[-1].tree.position}: "
        )

    return site_from_value(checked_value(vertex), position_prefix)

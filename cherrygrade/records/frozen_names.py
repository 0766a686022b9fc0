"""Frozen names of settings, and the fields of the program's types that they stand for.

The frozen names are used in records, in the start message and in the digest of the fleet's settings. They
must not change, because operators' files contain them. This module alone maps them to the fields of the
program's types.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

from cherrygrade.scheduling.model import (
    Idempotency,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.settings import SchedulingSettings, TrafficSettings, UnitSettings, VolumeSettings

FROZEN_NAMES: dict[type, tuple[str, str]] = {
    TrafficSettings: ("Trade", "workloads volumes measure"),
    VolumeSettings: ("Volume", "plan hosts"),
    UnitSettings: ("Measure", "bytes_per_unit least_units"),
    SchedulingSettings: ("Bearings", "earnings cold budget permits key_rest_ms"),
    Workload: (
        "Workload",
        "name soft_ms deadline_ms value late_part effect group token_ms in_order streamed writes",
    ),
    ServicePlan: (
        "Plan",
        "name weight price usual_rate reserve_rate limit_rate limit_depth limit_slack",
    ),
    SlowStartSettings: ("ColdStart", "units share multiple span_ms warm_ms"),
    RetryBudgetSettings: ("ResendBudget", "spare share span_ms"),
    UtilityModel: ("Earnings", "in_share beyond mean_units largest_units meter_ms tells_elsewhere"),
    SitePolicy: (
        "Permits",
        "most_sends copies cancel probe come_back_ms peers marks_repeats must_ask ask_within_ms "
        "join_length join_most unit_length least_units",
    ),
}
"""For each type its frozen name, and the frozen names of its fields in the order of the fields."""

FROZEN_IDEMPOTENCY = {
    Idempotency.IDEMPOTENT: "IDEMPOTENT",
    Idempotency.IDEMPOTENT_WITH_KEY: "TOKENED",
    Idempotency.NON_IDEMPOTENT: "NON_IDEMPOTENT",
}
"""Frozen name of each member of `Idempotency`."""


def frozen_fields(kind: type) -> list[tuple[str, str]]:
    """Return pairs of a frozen name and the field's name, in the order of the fields."""
    _, frozen = FROZEN_NAMES[kind]
    return [*zip(frozen.split(), (each.name for each in fields(kind)), strict=True)]


def record_keys(kind: type) -> list[tuple[str, str]]:
    """Return pairs of the key in a record and the field's name; equal if the type has no frozen names."""
    if kind in FROZEN_NAMES:
        return frozen_fields(kind)
    return [(each.name, each.name) for each in fields(kind)]


def with_field_names(kind: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the values of a record under the names of the type's fields; unknown names stay as they are."""
    names = dict(frozen_fields(kind))
    return {names.get(key, key): value for key, value in values.items()}

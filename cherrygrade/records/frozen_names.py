"""Names that settings have in records, in the start message and in the fleet's mark, and the program's own.

The names in records are frozen: operators' files use them. They are mapped here, once, to the fields of the
types that the program works with. Each entry lists the frozen names in the order of the type's fields.
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
"""Type: its frozen name, and the frozen names of its fields in order."""

FROZEN_IDEMPOTENCY = {
    Idempotency.IDEMPOTENT: "IDEMPOTENT",
    Idempotency.IDEMPOTENT_WITH_KEY: "TOKENED",
    Idempotency.NON_IDEMPOTENT: "NON_IDEMPOTENT",
}


def frozen_fields(kind: type) -> list[tuple[str, str]]:
    """Pairs of the frozen name and the field's name, in the order of the fields."""
    _, frozen = FROZEN_NAMES[kind]
    return [*zip(frozen.split(), (one.name for one in fields(kind)), strict=True)]


def record_keys(kind: type) -> list[tuple[str, str]]:
    """Pairs of the key in a record and the field's name; both are the same where nothing was renamed."""
    if kind in FROZEN_NAMES:
        return frozen_fields(kind)
    return [(one.name, one.name) for one in fields(kind)]


def with_field_names(kind: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """Values of one record under the names of the type's fields; unknown names stay as they are."""
    names = dict(frozen_fields(kind))
    return {names.get(key, key): value for key, value in values.items()}

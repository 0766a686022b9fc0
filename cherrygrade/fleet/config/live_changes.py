"""Which settings may change while a dispatcher runs, which need a restart, and which divide quotas.

LIVE_SETTINGS names all that may change; anything else needs a restart and refuses the version, with its key:
a setting that is new to the program is not live by accident. docs/config-design.md gives the reason for each.
Free of I/O and clock.
"""

from __future__ import annotations

from dataclasses import dataclass, is_dataclass
from typing import Any

from cherrygrade.fleet.config.versions import QuotaDivisors, moves
from cherrygrade.records.frozen_names import record_keys
from cherrygrade.settings import SiteSettings

LIVE_SETTINGS = {
    # Read anew for each RPC or round, and bounding what this dispatcher alone does: the larger of two
    # versions is the most that any mix of them lets through.
    "plans": {
        "weight",
        "price",
        "usual_rate",
        "reserve_rate",
        "limit_rate",
        "limit_depth",
        "limit_slack",
    },
    "workloads": {"soft_ms", "deadline_ms", "value", "late_part"},
    "earnings": {"in_share", "beyond"},
    "cold": {"units", "share", "multiple", "span_ms", "warm_ms"},
    "budget": {"spare", "share", "span_ms"},
    "permits": {"most_sends", "copies", "cancel", "marks_repeats", "come_back_ms"},
    "bounds": {"most_held", "answer_ms", "leave_ms"},
    # Divide quotas: these need the joint phase.
    "place": {"dispatchers"},
    "volumes": {"plan", "hosts"},
}
"""By part of the record, the settings that may change while a dispatcher runs."""
ABSENT = "(none)"
"""Stands for the value of a key that only one of two sites has."""
DERIVED_PERMIT_KEYS = ("join_length", "join_most", "unit_length", "least_units")
"""Computed from other settings of the record."""


@dataclass(frozen=True, slots=True)
class LiveChanges:
    """What differs between two sites. Keys are as in the record (`plans.gold.limit_rate`), sorted.

    Attributes:
        live_keys: Keys that may change while a dispatcher runs.
        restart_keys: Keys that need a restart; any of them refuses the version.
        old_divisors: What quota parts move away from; None where none move.
    """

    live_keys: list[str]
    restart_keys: list[str]
    old_divisors: QuotaDivisors | None = None


def quota_divisors(site: SiteSettings) -> QuotaDivisors:
    """By what a site divides quotas."""
    volumes = sorted(site.trade.volumes.items())
    return QuotaDivisors(site.place.dispatchers, tuple((name, volume.hosts) for name, volume in volumes))


def setting_changes(old: SiteSettings, new: SiteSettings) -> LiveChanges:
    """What differs, by what has to be done about it."""
    live: list[str] = []
    restart: list[str] = []
    old_values = setting_values(old)
    new_values = setting_values(new)
    for key in sorted(old_values.keys() | new_values.keys()):
        if old_values.get(key, ABSENT) == new_values.get(key, ABSENT):
            continue
        in_both = key in old_values and key in new_values
        if _may_change_live(key, in_both):
            live.append(key)
        else:
            restart.append(key)
    return LiveChanges(live, restart, moves(quota_divisors(old), quota_divisors(new)))


def setting_values(site: SiteSettings) -> dict[str, Any]:
    """All values of the record by key; values that are computed from others are left out."""
    values: dict[str, Any] = {}
    bearings = site.bearings
    for name, workload in site.trade.workloads.items():
        _add_record(values, f"workloads.{name}", workload)
    for name, volume in site.trade.volumes.items():
        values[f"volumes.{name}.plan"] = volume.plan.name
        values[f"volumes.{name}.hosts"] = volume.hosts
        _add_record(values, f"plans.{volume.plan.name}", volume.plan)
    _add_record(values, "place", site.place)
    _add_record(values, "measure", site.trade.measure)
    _add_record(values, "earnings", bearings.earnings)
    _add_record(values, "cold", bearings.cold)
    if bearings.budget is not None:
        _add_record(values, "budget", bearings.budget)
    _add_record(values, "permits", bearings.permits)
    for derived in DERIVED_PERMIT_KEYS:
        del values[f"permits.{derived}"]
    values["key_rest_ms"] = bearings.key_rest_ms
    _add_record(values, "bounds", site.bounds)
    _add_record(values, "lines", site.lines)
    _add_record(values, "extents", site.cuts)
    _add_record(values, "peers", site.pace)
    _add_record(values, "words", site.words)
    if site.fleet is not None:
        _add_record(values, "fleet", site.fleet)
    return values


def _may_change_live(key: str, in_both: bool) -> bool:
    part, _, rest = key.partition(".")
    name, _, setting = rest.rpartition(".")
    if part in ("plans", "workloads", "volumes"):
        # Nobody was promised anything of one that is added or removed.
        return not in_both or setting in LIVE_SETTINGS[part]
    return not name and setting in LIVE_SETTINGS.get(part, ())


def _add_record(values: dict[str, Any], prefix: str, record: Any) -> None:
    """Add the values of a settings dataclass; record keys differ between its types."""
    for key, name in record_keys(type(record)):
        value = getattr(record, name)
        if is_dataclass(value):
            _add_record(values, f"{prefix}.{key}", value)
        else:
            values[f"{prefix}.{key}"] = value

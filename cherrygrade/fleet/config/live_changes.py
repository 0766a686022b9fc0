"""Which settings may change while a dispatcher runs, which need a restart, and which divide quotas.

LIVE_SETTINGS lists the settings that may change while a dispatcher runs. A version that changes any other
setting is refused with that setting's key, so that a new setting of the program needs a restart unless it is
listed here. docs/config-design.md gives the reason for each. Free of I/O and clock.
"""

from __future__ import annotations

from dataclasses import dataclass, is_dataclass
from typing import Any

from cherrygrade.fleet.config.versions import QuotaDivisors, replaced_divisors
from cherrygrade.records.frozen_names import record_keys
from cherrygrade.settings import SiteSettings

LIVE_SETTINGS = {
    # These are read for each request or round, and bound this dispatcher alone. While dispatchers are on two
    # different versions, together they allow no more than the larger of the two would.
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
    # These divide quotas, so that a change of them goes through the joint phase.
    "place": {"dispatchers"},
    "volumes": {"plan", "hosts"},
}
"""The settings that may change while a dispatcher runs, by the section of the settings file."""
ABSENT = "(none)"
"""Stands for the value of a key that only one of two settings files has."""
DERIVED_PERMIT_KEYS = ("join_length", "join_most", "unit_length", "least_units")
"""Keys of `permits` whose values are computed from other settings."""


@dataclass(frozen=True, slots=True)
class LiveChanges:
    """The differences between two settings files. Keys are sorted and dotted, as in `plans.gold.limit_rate`.

    Attributes:
        live_keys: The changed keys that may change while a dispatcher runs.
        restart_keys: The changed keys that need a restart; a version with any of them is refused.
        old_divisors: The divisors that quotas move away from; None if no quotas move.
    """

    live_keys: list[str]
    restart_keys: list[str]
    old_divisors: QuotaDivisors | None = None


def quota_divisors(site: SiteSettings) -> QuotaDivisors:
    """Return among how many dispatchers a settings file divides quotas."""
    volumes = sorted(site.trade.volumes.items())
    return QuotaDivisors(site.place.dispatchers, tuple((name, volume.hosts) for name, volume in volumes))


def setting_changes(old: SiteSettings, new: SiteSettings) -> LiveChanges:
    """Return the differences between two settings files, by whether they need a restart."""
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
    return LiveChanges(live, restart, replaced_divisors(quota_divisors(old), quota_divisors(new)))


def setting_values(site: SiteSettings) -> dict[str, Any]:
    """Return all values of a settings file by key; values computed from other ones are left out."""
    values: dict[str, Any] = {}
    scheduling = site.bearings
    for name, workload in site.trade.workloads.items():
        _add_record(values, f"workloads.{name}", workload)
    for name, volume in site.trade.volumes.items():
        values[f"volumes.{name}.plan"] = volume.plan.name
        values[f"volumes.{name}.hosts"] = volume.hosts
        _add_record(values, f"plans.{volume.plan.name}", volume.plan)
    _add_record(values, "place", site.place)
    _add_record(values, "measure", site.trade.measure)
    _add_record(values, "earnings", scheduling.earnings)
    _add_record(values, "cold", scheduling.cold)
    if scheduling.budget is not None:
        _add_record(values, "budget", scheduling.budget)
    _add_record(values, "permits", scheduling.permits)
    for derived in DERIVED_PERMIT_KEYS:
        del values[f"permits.{derived}"]
    values["key_rest_ms"] = scheduling.key_rest_ms
    _add_record(values, "bounds", site.bounds)
    _add_record(values, "lines", site.lines)
    _add_record(values, "extents", site.cuts)
    _add_record(values, "peers", site.pace)
    _add_record(values, "words", site.words)
    if site.fleet is not None:
        _add_record(values, "fleet", site.fleet)
    return values


def _may_change_live(key: str, in_both: bool) -> bool:
    """Return whether a key may change while a dispatcher runs.

    Args:
        key: The changed key.
        in_both: Whether both settings files have the key.
    """
    part, _, rest = key.partition(".")
    name, _, setting = rest.rpartition(".")
    if part in ("plans", "workloads", "volumes"):
        # Nothing depends yet on a plan, workload or volume that is added, nor any longer on a removed one.
        return not in_both or setting in LIVE_SETTINGS[part]
    return not name and setting in LIVE_SETTINGS.get(part, ())


def _add_record(values: dict[str, Any], prefix: str, record: Any) -> None:
    """Add the values of a settings dataclass, nested ones included, under the keys of the settings file."""
    for key, name in record_keys(type(record)):
        value = getattr(record, name)
        if is_dataclass(value):
            _add_record(values, f"{prefix}.{key}", value)
        else:
            values[f"{prefix}.{key}"] = value

"""Which settings come into force while a dispatcher runs, which need a restart, which deal out parts.

LIVE is the whole of what may come; whatever it does not name needs a restart and refuses the version, with
its key: a setting that is new to the program is not live by accident. Why each does stands in
docs/config-design.md. Free of I/O and clock.
"""

from __future__ import annotations

from dataclasses import dataclass, is_dataclass
from typing import Any

from cherrygrade.fleet.config.versions import QuotaDivisors, moves
from cherrygrade.records.frozen_names import record_keys
from cherrygrade.settings import SiteSettings

LIVE = {
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
    # How parts are dealt out: joint use.
    "place": {"dispatchers"},
    "volumes": {"plan", "hosts"},
}
NOBODY = "(none)"  # stands for what only one of two sites has


@dataclass(frozen=True, slots=True)
class LiveChanges:
    """Keys, as the record has them (`plans.gold.limit_rate`), sorted. `restart`: any there refuses the
    version. `divisors`: what parts move away from, None where none move."""

    live: list[str]
    restart: list[str]
    divisors: QuotaDivisors | None = None


def divisors(site: SiteSettings) -> QuotaDivisors:
    volumes = sorted(site.trade.volumes.items())
    return QuotaDivisors(site.place.dispatchers, tuple((name, volume.hosts) for name, volume in volumes))


def changes(old: SiteSettings, new: SiteSettings) -> LiveChanges:
    """What differs, by what has to be done about it."""
    live: list[str] = []
    restart: list[str] = []
    was, told = _keys(old), _keys(new)
    for key in sorted(was.keys() | told.keys()):
        if was.get(key, NOBODY) != told.get(key, NOBODY):
            (live if _live(key, key in was and key in told) else restart).append(key)
    return LiveChanges(live, restart, moves(divisors(old), divisors(new)))


def _live(key: str, both: bool) -> bool:
    part, _, rest = key.partition(".")
    name, _, field = rest.rpartition(".")
    if part in ("plans", "workloads", "volumes"):
        # One that comes or goes is none that anything was promised of.
        return not both or field in LIVE[part]
    return not name and field in LIVE.get(part, ())


def _keys(site: SiteSettings) -> dict[str, Any]:
    """Values by key, of all that the record told; parts that hang on others of it are left out."""
    found: dict[str, Any] = {}
    bearings = site.bearings
    for name, workload in site.trade.workloads.items():
        _put(found, f"workloads.{name}", workload)
    for name, volume in site.trade.volumes.items():
        found[f"volumes.{name}.plan"] = volume.plan.name
        found[f"volumes.{name}.hosts"] = volume.hosts
        _put(found, f"plans.{volume.plan.name}", volume.plan)
    _put(found, "place", site.place)
    _put(found, "measure", site.trade.measure)
    _put(found, "earnings", bearings.earnings)
    _put(found, "cold", bearings.cold)
    if bearings.budget is not None:
        _put(found, "budget", bearings.budget)
    _put(found, "permits", bearings.permits)
    for derived in ("join_length", "join_most", "unit_length", "least_units"):
        del found[f"permits.{derived}"]
    found["key_rest_ms"] = bearings.key_rest_ms
    _put(found, "bounds", site.bounds)
    _put(found, "lines", site.lines)
    _put(found, "extents", site.cuts)
    _put(found, "peers", site.pace)
    _put(found, "words", site.words)
    if site.fleet is not None:
        _put(found, "fleet", site.fleet)
    return found


def _put(found: dict[str, Any], at: str, value: Any) -> None:
    for key, name in record_keys(type(value)):
        part = getattr(value, name)
        if is_dataclass(part):
            _put(found, f"{at}.{key}", part)
        else:
            found[f"{at}.{key}"] = part

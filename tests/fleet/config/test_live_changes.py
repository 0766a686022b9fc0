"""Which settings may change while a dispatcher runs.

The tests guard against a new setting that is not compared, so that a version of the configuration changes it
at run time although the program does not support that.
"""

from dataclasses import fields, is_dataclass
from pathlib import Path

import pytest

from cherrygrade.fleet.config.live_changes import (
    LIVE_SETTINGS,
    LiveChanges,
    quota_divisors,
    setting_changes,
    setting_values,
)
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.records.frozen_names import record_keys
from cherrygrade.records.load import read_site
from cherrygrade.settings import SiteSettings

TEXT = """
place: {name: "a", register: "127.0.0.1:1", dispatchers: 9}
workloads: read: {soft_ms: 100, deadline_ms: 400}
plans: gold: {limit_rate: 900, limit_depth: 90}
plans: iron: {limit_rate: 90, limit_depth: 9}
volumes: v: {plan: plans.gold}
volumes: w: {plan: plans.gold, hosts: 3}
budget: {spare: 4, share: 0.1, span_ms: 1000}
fleet: {name: "f", place: "127.0.0.1:2", council: {voters: ["b"]}}
"""


@pytest.fixture
def file(tmp_path: Path) -> Path:
    settings_file = tmp_path / "a.rec"
    settings_file.write_text(TEXT)
    return settings_file


def changes(file: Path, extra: str) -> LiveChanges:
    return setting_changes(read_site(file), read_site(file, extra))


@pytest.mark.parametrize(
    "extra, keys",
    [
        ("plans: gold: limit_rate: 1000", ["plans.gold.limit_rate"]),
        ("plans: iron: limit_rate: 1000", []),  # no volume uses the plan
        ("workloads: read: soft_ms: 90", ["workloads.read.soft_ms"]),
        ("cold: units: 3", ["cold.units"]),
        ("budget: {spare: 5, share: 0.1, span_ms: 1000}", ["budget.spare"]),
        ("bounds: most_held: 9", ["bounds.most_held"]),
        ("permits: most_sends: 2", ["permits.most_sends"]),
        ("earnings: beyond: 0.5", ["earnings.beyond"]),
        ("volumes: x: {plan: plans.gold, hosts: 2}", ["volumes.x.hosts", "volumes.x.plan"]),
    ],
)
def test_settings_that_change_at_run_time(file: Path, extra: str, keys: list[str]) -> None:
    assert changes(file, extra) == LiveChanges(keys, [], None)


@pytest.mark.parametrize(
    "extra, key",
    [
        ("place: listen: '127.0.0.1:9'".replace("'", '"'), "place.listen"),
        ("place: number: 1", "place.number"),
        ("place: seed: 2", "place.seed"),
        ('workloads: read: effect: "tokened"', "workloads.read.effect"),
        ("workloads: read: in_order: true", "workloads.read.in_order"),
        ("key_rest_ms: 5", "key_rest_ms"),
        ("earnings: mean_units: 2", "earnings.mean_units"),
        ("earnings: tells_elsewhere: false", "earnings.tells_elsewhere"),
        ("measure: bytes_per_unit: 1", "measure.bytes_per_unit"),
        ("permits: must_ask: true", "permits.must_ask"),
        ("bounds: most_body: 65536", "bounds.most_body"),
        ("bounds: most_clients: 9", "bounds.most_clients"),
        ("lines: most: 2", "lines.most"),
        ("extents: merge: false", "extents.merge"),
        ("peers: floor: 1", "peers.floor"),
        ('fleet: name: "g"', "fleet.name"),
        ('fleet: council: voters: ["c"]', "fleet.council.voters"),
    ],
)
def test_settings_that_need_a_restart(file: Path, extra: str, key: str) -> None:
    assert changes(file, extra).restart_keys == [key]


def test_an_added_budget_takes_effect_at_run_time(file: Path, tmp_path: Path) -> None:
    other = tmp_path / "b.rec"
    other.write_text(TEXT.replace("budget: {spare: 4, share: 0.1, span_ms: 1000}", ""))
    added = setting_changes(read_site(other), read_site(file))
    assert added.live_keys == ["budget.share", "budget.span_ms", "budget.spare"] and not added.restart_keys


def test_changed_divisors_are_reported(file: Path) -> None:
    assert quota_divisors(read_site(file)) == QuotaDivisors(9, (("v", 9), ("w", 3)))
    more = changes(file, "place: dispatchers: 12")
    assert more.live_keys == ["place.dispatchers", "volumes.v.hosts"] and not more.restart_keys
    assert more.old_divisors == QuotaDivisors(9, (("v", 9),))
    assert changes(file, "volumes: w: hosts: 2").old_divisors == QuotaDivisors(9, (("w", 3),))
    assert changes(file, "volumes: x: {plan: plans.gold, hosts: 2}").old_divisors is None


def test_every_setting_is_compared(file: Path) -> None:
    """Each field of the settings has a key in `setting_values`, unless it is derived from other fields."""
    keys = {key.rpartition(".")[2] for key in setting_values(read_site(file))}

    def keys_of(settings_type: type) -> set[str]:
        found: set[str] = set()
        for key, _ in record_keys(settings_type):
            found.add(key)
        return found

    site = read_site(file)
    derived = {"join_length", "join_most", "unit_length", "least_units"}
    parts = [site.place, site.bounds, site.lines, site.cuts, site.pace, site.words, site.fleet]
    scheduling = [getattr(site.bearings, field.name) for field in fields(site.bearings)]
    trade = [site.trade.measure, *site.trade.workloads.values(), site.trade.volumes["v"].plan]
    for part in [*parts, *scheduling, *trade]:
        if is_dataclass(part):
            assert keys_of(type(part)) - keys <= derived | {"council"}
    assert {field.name for field in fields(SiteSettings)} == {
        "place", "trade", "bearings", "bounds", "lines", "cuts", "pace", "words", "fleet",
    }  # fmt: skip


def test_all_listed_settings_exist(file: Path) -> None:
    keys = setting_values(read_site(file))
    for part, names in LIVE_SETTINGS.items():
        for name in names:
            assert any(key.startswith(f"{part}.") and key.endswith(f".{name}") for key in keys), (part, name)

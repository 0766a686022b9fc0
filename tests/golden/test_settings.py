"""Settings, start messages and the configuration of the platform: keys, defaults and what is read of them."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

import pytest
from support import golden
from support.golden import positional

from cherrygrade.cli import origin_of
from cherrygrade.platform.config import read_config
from cherrygrade.records.load import plain, read_site, read_vertex
from cherrygrade.scheduling.start_settings import StartSettings

ROOT = Path(__file__).parent.parent.parent
FILES = {"example": ROOT / "deploy/example.rec", "full": golden.FOLDER / "full-settings.rec"}
RECORDED = golden.load("settings")


def start_values(pairs: StartSettings) -> dict[str, Any]:
    return {
        "workloads": positional(pairs.workloads()),
        "plans": positional(pairs.plans()),
        "cold": positional(pairs.slow_start()),
        "budget": positional(pairs.retry_budget()),
        "earnings": positional(pairs.utility()),
        "permits": positional(pairs.policy()),
    }


def platform_values() -> Any:
    config = read_config({"BALANCER_CONFIG": str(ROOT / "deploy/platform-example.json")})
    known = [config.sockets, config.memory_mb, config.known_endpoints]
    return positional(
        [config.name, config.listen, config.discovery, config.seed, *known, config.settings.as_pairs()]
    )


@pytest.mark.parametrize("schema", RECORDED["schemas"])
def test_schema_is_the_recorded_one(schema):
    text = (ROOT / "cherrygrade/records" / schema).read_bytes()
    assert hashlib.sha256(text).hexdigest() == RECORDED["schemas"][schema]


@pytest.mark.parametrize("name", FILES)
def test_record_gives_the_recorded_values(name):
    assert plain(read_vertex(FILES[name], "site.rec")) == RECORDED["records"][name]


@pytest.mark.parametrize("name", FILES)
def test_settings_read_the_recorded_values(name):
    assert json.loads(json.dumps(positional(read_site(FILES[name])))) == RECORDED["sites"][name]


@pytest.mark.parametrize("name", FILES)
def test_fleet_sees_the_recorded_mark_of_shared_settings(name):
    """Members tell each other this mark: it must not change with the names of classes and fields."""
    assert origin_of(read_site(FILES[name])).settings == RECORDED["marks"][name]


def test_start_message_without_pairs_has_the_recorded_defaults():
    assert json.loads(json.dumps(start_values(StartSettings([])))) == RECORDED["start"]["empty"]


def test_start_message_gives_the_recorded_values():
    pairs = StartSettings(RECORDED["start"]["pairs"])
    assert json.loads(json.dumps(start_values(pairs))) == RECORDED["start"]["full"]


def test_start_message_sets_up_the_module_as_recorded():
    seen: dict[str, Any] = {}
    StartSettings(RECORDED["start"]["pairs"]).create_scheduler(lambda **given: seen.update(given), 5)
    assert json.loads(json.dumps([positional(one) for one in seen.values()])) == RECORDED["start"]["module"]


def test_platform_configuration_gives_the_recorded_values():
    assert json.loads(json.dumps(platform_values())) == RECORDED["platform"]

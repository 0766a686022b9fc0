"""Settings, start messages and the platform's configuration give the recorded values and defaults."""

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
from cherrygrade.records.load import checked_value, read_site, read_vertex
from cherrygrade.scheduling.start_settings import StartSettings

ROOT = Path(__file__).parent.parent.parent
FILES = {"example": ROOT / "deploy/example.rec", "full": golden.FOLDER / "full-settings.rec"}
RECORDED = golden.load("settings")


def start_values(settings: StartSettings) -> dict[str, Any]:
    """Return all values that a start message gives, in the form of the recorded ones."""
    return {
        "workloads": positional(settings.workloads()),
        "plans": positional(settings.plans()),
        "cold": positional(settings.slow_start()),
        "budget": positional(settings.retry_budget()),
        "earnings": positional(settings.utility()),
        "permits": positional(settings.policy()),
    }


def platform_values() -> Any:
    """Return the values of the platform's example configuration."""
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
    assert checked_value(read_vertex(FILES[name], "site.rec")) == RECORDED["records"][name]


@pytest.mark.parametrize("name", FILES)
def test_settings_read_the_recorded_values(name):
    assert json.loads(json.dumps(positional(read_site(FILES[name])))) == RECORDED["sites"][name]


@pytest.mark.parametrize("name", FILES)
def test_digest_of_shared_settings_is_the_recorded_one(name):
    """Members compare this digest by gossip, so it must not change with the names of classes and fields."""
    assert origin_of(read_site(FILES[name])).settings == RECORDED["marks"][name]


def test_start_message_without_settings_has_the_recorded_defaults():
    assert json.loads(json.dumps(start_values(StartSettings([])))) == RECORDED["start"]["empty"]


def test_start_message_gives_the_recorded_values():
    settings = StartSettings(RECORDED["start"]["pairs"])
    assert json.loads(json.dumps(start_values(settings))) == RECORDED["start"]["full"]


def test_start_message_creates_the_scheduler_with_the_recorded_arguments():
    arguments: dict[str, Any] = {}
    StartSettings(RECORDED["start"]["pairs"]).create_scheduler(lambda **given: arguments.update(given), 5)
    assert (
        json.loads(json.dumps([positional(value) for value in arguments.values()]))
        == RECORDED["start"]["module"]
    )


def test_platform_configuration_gives_the_recorded_values():
    assert json.loads(json.dumps(platform_values())) == RECORDED["platform"]

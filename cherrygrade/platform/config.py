"""What the platform tells a dispatcher: environment and configuration file, read and checked whole."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cherrygrade.platform.listing import Listing, place
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.scheduling.start_settings import StartSettings


class ConfigError(Exception):
    """Names the key that is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]
    pairs: StartSettings


def _seen(value: Any) -> str:
    """What stood there, as far as it fits a line."""
    return json.dumps(value, default=str)[:80]


def read_config(env: Mapping[str, str]) -> Config:
    file = env.get("BALANCER_CONFIG", "")
    if not file:
        raise ConfigError("BALANCER_CONFIG: not set; it names the configuration file")
    try:
        told = json.loads(Path(file).read_bytes())
    except OSError as trouble:
        raise ConfigError(f"BALANCER_CONFIG: {file}: {trouble.strerror}") from None
    except ValueError as trouble:
        raise ConfigError(f"BALANCER_CONFIG: {file} is no JSON: {trouble}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"BALANCER_CONFIG: {file} holds no object")

    def text(key: str, variable: str) -> str:
        value = told.get(key, env.get(variable, ""))
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{key}: text wanted, here or in {variable}, not {_seen(value)}")
        return value

    def table(key: str, within: dict[str, Any], default: Any = None) -> dict[str, Any]:
        value = within.get(key, default)
        if not isinstance(value, dict):
            raise ConfigError(f"{key}: an object wanted, not {_seen(value)}")
        return value

    listen, discovery = text("listen", "BALANCER_LISTEN"), text("discovery", "BALANCER_DISCOVERY")
    for key, value in (("listen", listen), ("discovery", discovery)):
        try:
            place(value)
        except ValueError as trouble:
            raise ConfigError(f"{key}: {trouble}") from None
    seed = told.get("seed", "0")
    try:
        number = int(seed, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: a hexadecimal number wanted, not {_seen(seed)}") from None
    limits = table("limits", told, {})
    sockets, memory_mb = limits.get("sockets", 1024), limits.get("memory_mb", 192)
    for key, value, least in (("sockets", sockets, 64), ("memory_mb", memory_mb, 24)):
        if not isinstance(value, int) or isinstance(value, bool) or value < least:
            raise ConfigError(f"limits.{key}: a whole number from {least} on wanted, not {_seen(value)}")
    pairs = StartSettings.nested(table("settings", told))
    try:
        if not pairs.workloads():
            raise ConfigError("settings.classes: a list of one class or more wanted, not []")
        if not pairs.plans():
            raise ConfigError("settings.grades: a list of one plan or more wanted, not []")
        pairs.dispatcher(Scheduler, number)
    except ValueError as trouble:
        raise ConfigError(f"settings.{trouble}") from None
    known = table("known", told, {"seq": -1, "whole": True, "hosts": []})
    try:
        Listing(NodeTable(), float).hear(known)
    except ValueError as trouble:
        raise ConfigError(f"known: {trouble}") from None
    return Config(
        name=text("name", "BALANCER_NAME"),
        listen=listen,
        discovery=discovery,
        seed=number,
        sockets=sockets,
        memory_mb=memory_mb,
        known=known,
        pairs=pairs,
    )

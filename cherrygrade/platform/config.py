"""Reads and checks the configuration of a dispatcher: environment variables and a configuration file.

The platform defines the keys of the file and the names of the variables; `PlatformConfig` has the values.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cherrygrade.platform.endpoint_list import EMPTY_LIST, EndpointList, parse_address
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.scheduling.start_settings import StartSettings

FILE_VARIABLE = "BALANCER_CONFIG"
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 24
MAX_QUOTED_CHARS = 80


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key and the expected value."""


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """A checked configuration."""

    name: str
    """The dispatcher's name, for logs and seeds."""
    listen: str
    """host:port at which clients connect."""
    discovery: str
    """host:port of the discovery agent."""
    seed: int
    """Seed of the scheduler's random source."""
    sockets: int
    """Number of sockets that the process may open; at least MIN_SOCKETS."""
    memory_mb: int
    """Memory that the process may use, in MiB; at least MIN_MEMORY_MB."""
    known_endpoints: dict[str, Any]
    """A discovery message with the endpoint list of the time at which the file was written."""
    settings: StartSettings
    """Settings of the scheduler."""


def read_config(env: Mapping[str, str]) -> PlatformConfig:
    """Read and check the configuration file.

    Args:
        env: Environment variables. FILE_VARIABLE names the file; others stand in for keys that it lacks.

    Raises:
        ConfigError: The file cannot be read, or the value of a key is wrong.
    """
    content = _read_file(env)
    listen = _text(content, "listen", env, "BALANCER_LISTEN")
    discovery = _text(content, "discovery", env, "BALANCER_DISCOVERY")
    _check_address("listen", listen)
    _check_address("discovery", discovery)
    seed = _seed(content)
    limits = _table(content, "limits", {})
    sockets = _limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)
    memory_mb = _limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)
    settings = _settings(content, seed)
    known_endpoints = _known_endpoints(content)
    return PlatformConfig(
        name=_text(content, "name", env, "BALANCER_NAME"),
        listen=listen,
        discovery=discovery,
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        known_endpoints=known_endpoints,
        settings=settings,
    )


def _read_file(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get(FILE_VARIABLE, "")
    if not path:
        raise ConfigError(f"{FILE_VARIABLE}: not set; it names the configuration file")
    try:
        content = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{FILE_VARIABLE}: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{FILE_VARIABLE}: {path} is not JSON: {error}") from None
    if not isinstance(content, dict):
        raise ConfigError(f"{FILE_VARIABLE}: {path}: a JSON object wanted")
    return content


def _quoted(value: Any) -> str:
    """Return the value as JSON, cut to MAX_QUOTED_CHARS, for an error message."""
    return json.dumps(value, default=str)[:MAX_QUOTED_CHARS]


def _text(content: dict[str, Any], key: str, env: Mapping[str, str], variable: str) -> str:
    """Return the text at `key` of the file, or else that of the environment variable."""
    value = content.get(key, env.get(variable, ""))
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: text wanted, here or in {variable}, not {_quoted(value)}")
    return value


def _check_address(key: str, address: str) -> None:
    try:
        parse_address(address)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _table(content: dict[str, Any], key: str, default: dict[str, Any] | None = None) -> dict[str, Any]:
    value = content.get(key, default)
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: an object wanted, not {_quoted(value)}")
    return value


def _seed(content: dict[str, Any]) -> int:
    seed = content.get("seed", "0")
    try:
        return int(seed, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: a hexadecimal number wanted, not {_quoted(seed)}") from None


def _limit(limits: dict[str, Any], key: str, default: int, minimum: int) -> int:
    value = limits.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise ConfigError(f"limits.{key}: an integer of at least {minimum} wanted, not {_quoted(value)}")
    return value


def _settings(content: dict[str, Any], seed: int) -> StartSettings:
    """Return the scheduler's settings, checked by making a scheduler from them."""
    settings = StartSettings.from_nested(_table(content, "settings"))
    try:
        if not settings.workloads():
            raise ConfigError("settings.classes: a list of one class or more wanted, not []")
        if not settings.plans():
            raise ConfigError("settings.grades: a list of one plan or more wanted, not []")
        settings.create_scheduler(Scheduler, seed)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    return settings


def _known_endpoints(content: dict[str, Any]) -> dict[str, Any]:
    known = _table(content, "known", EMPTY_LIST)
    try:
        EndpointList(NodeTable(), float).apply(known)
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    return known

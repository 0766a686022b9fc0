"""The configuration of a dispatcher: environment and configuration file, read and checked as a whole.

The file's keys and the variables' names are the platform's; they are mapped to `PlatformConfig` here.
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
    """The configuration cannot be used; the text names the key that is wrong and what is wanted there."""


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """A checked configuration."""

    name: str
    """The dispatcher's, for logs and seeds."""
    listen: str
    """host:port for clients."""
    discovery: str
    """host:port of the discovery agent."""
    seed: int
    sockets: int
    """How many the process may open."""
    memory_mb: int
    """How much memory the process may use, in MiB."""
    known_endpoints: dict[str, Any]
    """A message of discovery, as of when the file was written."""
    settings: StartSettings


def read_config(env: Mapping[str, str]) -> PlatformConfig:
    """Read the file that the environment names.

    Raises:
        ConfigError: The file cannot be read, or a key in it is wrong.
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
        raise ConfigError(f"{FILE_VARIABLE}: {path} is no JSON: {error}") from None
    if not isinstance(content, dict):
        raise ConfigError(f"{FILE_VARIABLE}: {path} holds no object")
    return content


def _quoted(value: Any) -> str:
    """What stood there, as far as it fits a line."""
    return json.dumps(value, default=str)[:MAX_QUOTED_CHARS]


def _text(content: dict[str, Any], key: str, env: Mapping[str, str], variable: str) -> str:
    """The file's text at the key; without one, the environment variable's."""
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
        raise ConfigError(f"limits.{key}: a whole number from {minimum} on wanted, not {_quoted(value)}")
    return value


def _settings(content: dict[str, Any], seed: int) -> StartSettings:
    """The scheduler's settings, with which one can be made."""
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

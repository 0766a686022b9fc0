"""The configuration's part of the answer to `cherrygrade fleet status`."""

from __future__ import annotations

from typing import Any, Protocol

from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.runtime.config_storage import ConfigStorage


class ConfigCounters(Protocol):
    """The part of `ConfigExchange` that the status reads; the attributes are documented there."""

    replica: ConfigReplica | None
    storage: ConfigStorage
    in_force_since_ms: float
    fetched_bytes: int
    sent_bytes: int


def config_status(exchange: ConfigCounters) -> dict[str, Any]:
    """Return the configuration as one dispatcher knows it, as JSON values; empty before the start."""
    replica = exchange.replica
    if replica is None:
        return {}
    version = replica.version
    return {
        "stage": replica.stage,
        "number": version.number if version is not None else 0,
        "digest": version.digest.hex() if version is not None else "",
        "by": version.author if version is not None else "",
        "settled": bool(replica.stage % 2),
        "since": exchange.in_force_since_ms,
        "sure": replica.is_certain,
        "trouble": replica.status(),
        "kept": exchange.storage.location,
        "fetched_bytes": exchange.fetched_bytes,
        "given_bytes": exchange.sent_bytes,
        "saves": exchange.storage.saves,
    }

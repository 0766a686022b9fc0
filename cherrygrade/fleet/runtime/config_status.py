"""The configuration's part of the answer to `cherrygrade fleet status`."""

from __future__ import annotations

from typing import Any, Protocol

from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.runtime.config_storage import ConfigStorage


class ConfigCounters(Protocol):
    """The configuration exchange, as its status needs it; see `ConfigExchange`."""

    replica: ConfigReplica | None
    storage: ConfigStorage
    since: float
    fetched_bytes: int
    sent_bytes: int


def config_status(exchange: ConfigCounters) -> dict[str, Any]:
    """Return the configuration as one dispatcher knows it, in JSON's terms; empty before its start."""
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
        "since": exchange.since,
        "sure": replica.is_certain,
        "trouble": replica.status(),
        "kept": exchange.storage.location,
        "fetched_bytes": exchange.fetched_bytes,
        "given_bytes": exchange.sent_bytes,
        "saves": exchange.storage.saves,
    }

"""Reads the settings of a start message, and maps the message's names to those of the scheduler.

The users' bench sends the settings as flat pairs of path and value, the platform as nested JSON with the same
names and units (seconds, units of work). This module depends on the standard library only, since the bench's
adapter uses it too.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

from cherrygrade.scheduling.model import (
    Idempotency,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.scheduling.scheduler import Scheduler

IDEMPOTENCY_BY_NAME = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
"""Idempotency by the message's name of it."""


def flag(text: str) -> bool:
    """Whether a value of the message means yes."""
    return text in ("1", "true")


def _flatten(value: Any, path: str = "") -> Iterator[str]:
    """Yield nested JSON as the pairs of path and value that the bench would have sent."""
    if isinstance(value, dict):
        for name, member in value.items():
            yield from _flatten(member, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and value and all(isinstance(member, dict) for member in value):
        yield f"{path}.count={len(value)}"
        for i, member in enumerate(value):
            yield from _flatten(member, f"{path}.{i}")
    else:
        yield f"{path}={','.join(map(_text, value)) if isinstance(value, list) else _text(value)}"


def _text(value: Any) -> str:
    if value is None:
        return "-"
    return str(int(value)) if isinstance(value, bool) else str(value)


class StartSettings:
    """The settings of a start message. Absent ones have their default, and unknown ones are ignored."""

    def __init__(self, parts: list[str]) -> None:
        self._pairs = dict(part.split("=", 1) for part in parts if "=" in part)

    @classmethod
    def from_nested(cls, settings: dict[str, Any]) -> StartSettings:
        """Read settings from nested JSON."""
        return cls([*_flatten(settings)])

    def as_pairs(self) -> dict[str, str]:
        """Return all settings by path, to compare them with those of another message."""
        return dict(self._pairs)

    def text(self, path: str, default: str = "") -> str:
        """Return the text at a path; an absent value and "-" give the default."""
        value = self._pairs.get(path, default)
        return default if value == "-" else value

    def number(self, path: str, default: float = 0.0) -> float:
        """Return the number at a path.

        Raises:
            ValueError: The value is not a number; the message names the path.
        """
        value = self.text(path)
        try:
            number = float(value) if value else default
        except ValueError:
            number = math.nan
        if math.isnan(number):
            raise ValueError(f"{path}: a number wanted, not '{value[:80]}'")
        return number

    def ms(self, path: str, default_s: float = 0.0) -> float:
        """Return a time in ms, which the message gives in seconds. Raises ValueError like `number`."""
        return self.number(path, default_s) * 1000.0

    def flag(self, path: str, default: bool = False) -> bool:
        """Return the yes or no at a path."""
        value = self.text(path)
        return flag(value) if value else default

    def workloads(self) -> dict[str, Workload]:
        """Return the workloads by name. Raises ValueError like `number`."""
        writes = self.text("extra.writes").split(",")
        by_name = {}
        for i in range(int(self.number("classes.count"))):
            path = f"classes.{i}."
            by_name[self.text(path + "name")] = Workload(
                name=self.text(path + "name"),
                latency_objective_ms=self.ms(path + "objectiveS"),
                deadline_ms=self.ms(path + "hardLimitS"),
                priority_weight=self.number(path + "importance", 1.0),
                late_utility=self.number(path + "lateWorth"),
                idempotency=IDEMPOTENCY_BY_NAME.get(self.text(path + "effect"), Idempotency.NON_IDEMPOTENT),
                deduplication_scope=self.text(path + "group", "all"),
                deduplication_window_ms=self.ms(path + "windowS"),
                ordered=self.flag(path + "oneAtATime"),
                streamed=self.flag(path + "stream"),
                is_write=i < len(writes) and flag(writes[i]),
            )
        return by_name

    def plans(self) -> dict[str, ServicePlan]:
        """Return the service plans by name. Raises ValueError like `number`."""
        by_name = {}
        for i in range(int(self.number("grades.count"))):
            path = f"grades.{i}."
            by_name[self.text(path + "name")] = ServicePlan(
                name=self.text(path + "name"),
                weight=self.number(path + "proportion", 1.0),
                price=self.number(path + "price", 1.0),
                usual_rate=self.number(path + "usualRate"),
                reserve_rate=self.number(path + "floorRate"),
                limit_rate=self.number(path + "cap"),
                limit_burst=self.number(path + "capDepth"),
                limit_tolerance=self.number(path + "tolerance"),
            )
        return by_name

    def slow_start(self) -> SlowStartSettings:
        """Return how much a node that is warming up can take. Raises ValueError like `number`."""
        return SlowStartSettings(
            base_units=self.number("extra.youngLimit"),
            cold_capacity=self.number("guarantees.coldShare", 1.0),
            overload_multiple=self.number("guarantees.fallMultiple", 1.0),
            window_ms=self.ms("guarantees.tipAfterS"),
            warm_up_ms=self.ms("guarantees.warmWithinS"),
        )

    def retry_budget(self) -> RetryBudgetSettings | None:
        """Return the retry budget; None if there is none. Raises ValueError like `number`."""
        window_ms = self.ms("guarantees.resendSpanS")
        if not window_ms:
            return None
        return RetryBudgetSettings(
            min_retries=self.number("guarantees.spareAttempts"),
            retry_ratio=self.number("guarantees.extraShare"),
            window_ms=window_ms,
        )

    def utility(self) -> UtilityModel:
        """Return what units of work earn. Raises ValueError like `number`."""
        return UtilityModel(
            within_quota=self.number("extra.shareWorth", 1.0),
            beyond_quota=self.number("extra.beyondShare", 1.0),
            mean_units=self.number("extra.meanUnits", 1.0),
            largest_units=self.number("extra.largest", 1.0),
            meter_period_ms=self.ms("extra.meterPeriodS"),
            reports_use_elsewhere=self.flag("extra.saysOthers"),
        )

    def policy(self) -> SitePolicy:
        """Return what the site allows a dispatcher to do. Raises ValueError like `number`."""
        return SitePolicy(
            max_attempts=int(self.number("limits.maxAttempts", 1)),
            allows_hedging=self.flag("limits.secondCopies"),
            allows_cancel=self.flag("limits.mayCancel"),
            allows_health_checks=self.flag("limits.mayProbe"),
            max_retry_after_ms=self.ms("limits.maxRetryAfterS") if self.flag("limits.retryAfter") else 0.0,
            allows_gossip=self.flag("limits.peerMessages"),
            clients_mark_retries=self.flag("clients.marksRetry"),
            polls_endpoints=self.text("membershipMode") == "ask",
            max_poll_interval_ms=self.ms("guarantees.askWithinS"),
        )

    def create_scheduler(self, make: Callable[..., Scheduler], seed: int) -> Scheduler:
        """Return a scheduler with these settings, made by calling `make`. Raises ValueError like `number`."""
        return make(
            seed=seed,
            number=int(self.number("ordinal")),
            dispatchers=max(1, int(self.number("balancers", 1))),
            workloads=list(self.workloads().values()),
            utility=self.utility(),
            slow_start=self.slow_start(),
            retry_budget=self.retry_budget(),
            policy=self.policy(),
            key_rest_ms=self.ms("guarantees.turnGapS"),
        )

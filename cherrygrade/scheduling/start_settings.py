"""Reads the start message of an instance: the one place that maps its names to the program's.

The users' bench sends it as flat pairs of path and value, the platform as nested JSON with the same names and
units (seconds, units of work). Standard library only: the bench's adapter uses it too.
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

EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}


def flag(text: str) -> bool:
    """Whether a value of the message says yes."""
    return text in ("1", "true")


def _flat(value: Any, at: str = "") -> Iterator[str]:
    """Nested JSON as the pairs that the simulator would have sent."""
    if isinstance(value, dict):
        for name, one in value.items():
            yield from _flat(one, f"{at}.{name}" if at else str(name))
    elif isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
        yield f"{at}.count={len(value)}"
        for i, one in enumerate(value):
            yield from _flat(one, f"{at}.{i}")
    else:
        yield f"{at}={','.join(map(_text, value)) if isinstance(value, list) else _text(value)}"


def _text(value: Any) -> str:
    if value is None:
        return "-"
    return str(int(value)) if isinstance(value, bool) else str(value)


class StartSettings:
    """The pairs of a start message; what is absent takes its default, the unknown is passed over."""

    def __init__(self, parts: list[str]) -> None:
        self._pairs = dict(part.split("=", 1) for part in parts if "=" in part)

    @classmethod
    def from_nested(cls, settings: dict[str, Any]) -> StartSettings:
        """From nested JSON."""
        return cls([*_flat(settings)])

    def as_pairs(self) -> dict[str, str]:
        """All pairs, to be compared with another message's."""
        return dict(self._pairs)

    def text(self, path: str, default: str = "") -> str:
        """A text; "-" stands for none."""
        value = self._pairs.get(path, default)
        return default if value == "-" else value

    def number(self, path: str, default: float = 0.0) -> float:
        """A number.

        Raises:
            ValueError: the value is none; the message names the path.
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
        """A time in seconds, as milliseconds. Raises ValueError as `number` does."""
        return self.number(path, default_s) * 1000.0

    def flag(self, path: str, default: bool = False) -> bool:
        """A yes or no."""
        value = self.text(path)
        return flag(value) if value else default

    def workloads(self) -> dict[str, Workload]:
        """Workloads by name. Raises ValueError as `number` does."""
        writes = self.text("extra.writes").split(",")
        found = {}
        for i in range(int(self.number("classes.count"))):
            at = f"classes.{i}."
            found[self.text(at + "name")] = Workload(
                name=self.text(at + "name"),
                latency_objective_ms=self.ms(at + "objectiveS"),
                deadline_ms=self.ms(at + "hardLimitS"),
                priority_weight=self.number(at + "importance", 1.0),
                late_utility=self.number(at + "lateWorth"),
                idempotency=EFFECTS.get(self.text(at + "effect"), Idempotency.NON_IDEMPOTENT),
                deduplication_scope=self.text(at + "group", "all"),
                deduplication_window_ms=self.ms(at + "windowS"),
                ordered=self.flag(at + "oneAtATime"),
                streamed=self.flag(at + "stream"),
                is_write=i < len(writes) and flag(writes[i]),
            )
        return found

    def plans(self) -> dict[str, ServicePlan]:
        """Service plans by name. Raises ValueError as `number` does."""
        found = {}
        for i in range(int(self.number("grades.count"))):
            at = f"grades.{i}."
            found[self.text(at + "name")] = ServicePlan(
                name=self.text(at + "name"),
                weight=self.number(at + "proportion", 1.0),
                price=self.number(at + "price", 1.0),
                usual_rate=self.number(at + "usualRate"),
                reserve_rate=self.number(at + "floorRate"),
                limit_rate=self.number(at + "cap"),
                limit_burst=self.number(at + "capDepth"),
                limit_tolerance=self.number(at + "tolerance"),
            )
        return found

    def slow_start(self) -> SlowStartSettings:
        """What a node that warms up bears. Raises ValueError as `number` does."""
        return SlowStartSettings(
            base_units=self.number("extra.youngLimit"),
            cold_capacity=self.number("guarantees.coldShare", 1.0),
            overload_multiple=self.number("guarantees.fallMultiple", 1.0),
            window_ms=self.ms("guarantees.tipAfterS"),
            warm_up_ms=self.ms("guarantees.warmWithinS"),
        )

    def retry_budget(self) -> RetryBudgetSettings | None:
        """The retry budget; None where there is none. Raises ValueError as `number` does."""
        window_ms = self.ms("guarantees.resendSpanS")
        if not window_ms:
            return None
        return RetryBudgetSettings(
            min_retries=self.number("guarantees.spareAttempts"),
            retry_ratio=self.number("guarantees.extraShare"),
            window_ms=window_ms,
        )

    def utility(self) -> UtilityModel:
        """What units earn. Raises ValueError as `number` does."""
        return UtilityModel(
            within_quota=self.number("extra.shareWorth", 1.0),
            beyond_quota=self.number("extra.beyondShare", 1.0),
            mean_units=self.number("extra.meanUnits", 1.0),
            largest_units=self.number("extra.largest", 1.0),
            meter_period_ms=self.ms("extra.meterPeriodS"),
            reports_use_elsewhere=self.flag("extra.saysOthers"),
        )

    def policy(self) -> SitePolicy:
        """What the site lets a dispatcher do. Raises ValueError as `number` does."""
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
        """A scheduler set up as the message says. Raises ValueError as `number` does."""
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

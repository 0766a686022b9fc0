"""What an instance is told at its start, as the module's arguments: one reader for every host of the module.

The simulator gives it as flat pairs, the platform as nested JSON of the same names and units. Standard
library only: the bench's adapter uses it too.
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
    """The pairs of a start-up message; what is absent takes its default, the unknown is passed over."""

    def __init__(self, parts: list[str]) -> None:
        self._pairs = dict(part.split("=", 1) for part in parts if "=" in part)

    @classmethod
    def nested(cls, settings: dict[str, Any]) -> StartSettings:
        return cls([*_flat(settings)])

    def same(self) -> dict[str, str]:
        """All of it, to be held against another."""
        return dict(self._pairs)

    def text(self, path: str, default: str = "") -> str:
        value = self._pairs.get(path, default)
        return default if value == "-" else value

    def number(self, path: str, default: float = 0.0) -> float:
        value = self.text(path)
        try:
            number = float(value) if value else default
        except ValueError:
            number = math.nan
        if math.isnan(number):
            raise ValueError(f"{path}: a number wanted, not '{value[:80]}'")
        return number

    def ms(self, path: str, default_s: float = 0.0) -> float:
        return self.number(path, default_s) * 1000.0

    def flag(self, path: str, default: bool = False) -> bool:
        value = self.text(path)
        return flag(value) if value else default

    def workloads(self) -> dict[str, Workload]:
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

    def cold_start(self) -> SlowStartSettings:
        return SlowStartSettings(
            base_units=self.number("extra.youngLimit"),
            cold_capacity=self.number("guarantees.coldShare", 1.0),
            overload_multiple=self.number("guarantees.fallMultiple", 1.0),
            window_ms=self.ms("guarantees.tipAfterS"),
            warm_up_ms=self.ms("guarantees.warmWithinS"),
        )

    def resend_budget(self) -> RetryBudgetSettings | None:
        span_ms = self.ms("guarantees.resendSpanS")
        if not span_ms:
            return None
        spare, share = self.number("guarantees.spareAttempts"), self.number("guarantees.extraShare")
        return RetryBudgetSettings(min_retries=spare, retry_ratio=share, window_ms=span_ms)

    def earnings(self) -> UtilityModel:
        return UtilityModel(
            within_quota=self.number("extra.shareWorth", 1.0),
            beyond_quota=self.number("extra.beyondShare", 1.0),
            mean_units=self.number("extra.meanUnits", 1.0),
            largest_units=self.number("extra.largest", 1.0),
            meter_period_ms=self.ms("extra.meterPeriodS"),
            reports_use_elsewhere=self.flag("extra.saysOthers"),
        )

    def permits(self) -> SitePolicy:
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

    def dispatcher(self, make: Callable[..., Scheduler], seed: int) -> Scheduler:
        """The module as these pairs want it."""
        return make(
            seed=seed,
            number=int(self.number("ordinal")),
            dispatchers=max(1, int(self.number("balancers", 1))),
            workloads=list(self.workloads().values()),
            utility=self.earnings(),
            slow_start=self.cold_start(),
            retry_budget=self.resend_budget(),
            policy=self.permits(),
            key_rest_ms=self.ms("guarantees.turnGapS"),
        )

"""The line protocol's parts as plain values, and its start-up pairs as the module's arguments."""

from __future__ import annotations

from cherrygrade.interface import (
    ColdStart,
    Earnings,
    Effect,
    Outcome,
    Permits,
    Plan,
    ResendBudget,
    Standing,
    Workload,
)

OUTCOMES = {
    "200": Outcome.OK,
    "500": Outcome.ERRORED,
    "503": Outcome.FULL,
    "504": Outcome.TIMED_OUT,
    "502": Outcome.UNCONNECTED,
    "598": Outcome.RESET,
    "499": Outcome.CANCELLED,
    "410": Outcome.UNSENT,
}
STANDINGS = {"live": Standing.LIVE, "quiescing": Standing.DRAINING, "dead": Standing.GONE}
EFFECTS = {"retryable": Effect.IDEMPOTENT, "dedup": Effect.TOKENED, "fragile": Effect.NON_IDEMPOTENT}
LOADS = {
    "outstanding": "in_hand",
    "backlog": "waiting",
    "utilization": "busy",
    "recent_ms": "recent_ms",
    "throughput": "per_s",
    "errors_per_s": "errors_per_s",
}


def number(text: str) -> float:
    return 0.0 if text in ("-", "") else float(text)


def ms(text: str) -> float:
    return number(text) * 1000.0


def flag(text: str) -> bool:
    return text in ("1", "true")


def load_report(text: str) -> dict[str, float]:
    if text in ("-", ""):
        return {}
    pairs = (pair.partition(":") for pair in text.split(","))
    return {LOADS.get(name, name): float(value) for name, _, value in pairs}


def seconds(value: float) -> str:
    return f"{value / 1000.0:.6f}"


class StartPairs:
    """The pairs of a start-up message; what is absent takes its default, the unknown is passed over."""

    def __init__(self, parts: list[str]) -> None:
        self._pairs = dict(part.split("=", 1) for part in parts if "=" in part)

    def text(self, path: str, default: str = "") -> str:
        value = self._pairs.get(path, default)
        return default if value == "-" else value

    def number(self, path: str, default: float = 0.0) -> float:
        value = self.text(path)
        return float(value) if value else default

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
                soft_ms=self.ms(at + "objectiveS"),
                deadline_ms=self.ms(at + "hardLimitS"),
                value=self.number(at + "importance", 1.0),
                late_part=self.number(at + "lateWorth"),
                effect=EFFECTS.get(self.text(at + "effect"), Effect.NON_IDEMPOTENT),
                group=self.text(at + "group", "all"),
                token_ms=self.ms(at + "windowS"),
                in_order=self.flag(at + "oneAtATime"),
                streamed=self.flag(at + "stream"),
                writes=i < len(writes) and flag(writes[i]),
            )
        return found

    def plans(self) -> dict[str, Plan]:
        found = {}
        for i in range(int(self.number("grades.count"))):
            at = f"grades.{i}."
            found[self.text(at + "name")] = Plan(
                name=self.text(at + "name"),
                weight=self.number(at + "proportion", 1.0),
                price=self.number(at + "price", 1.0),
                usual_rate=self.number(at + "usualRate"),
                reserve_rate=self.number(at + "floorRate"),
                limit_rate=self.number(at + "cap"),
                limit_depth=self.number(at + "capDepth"),
                limit_slack=self.number(at + "tolerance"),
            )
        return found

    def cold_start(self) -> ColdStart:
        return ColdStart(
            units=self.number("extra.youngLimit"),
            share=self.number("guarantees.coldShare", 1.0),
            multiple=self.number("guarantees.fallMultiple", 1.0),
            span_ms=self.ms("guarantees.tipAfterS"),
            warm_ms=self.ms("guarantees.warmWithinS"),
        )

    def resend_budget(self) -> ResendBudget | None:
        span_ms = self.ms("guarantees.resendSpanS")
        if not span_ms:
            return None
        spare, share = self.number("guarantees.spareAttempts"), self.number("guarantees.extraShare")
        return ResendBudget(spare=spare, share=share, span_ms=span_ms)

    def earnings(self) -> Earnings:
        return Earnings(
            in_share=self.number("extra.shareWorth", 1.0),
            beyond=self.number("extra.beyondShare", 1.0),
            mean_units=self.number("extra.meanUnits", 1.0),
            largest_units=self.number("extra.largest", 1.0),
            meter_ms=self.ms("extra.meterPeriodS"),
            tells_elsewhere=self.flag("extra.saysOthers"),
        )

    def permits(self) -> Permits:
        return Permits(
            most_sends=int(self.number("limits.maxAttempts", 1)),
            copies=self.flag("limits.secondCopies"),
            cancel=self.flag("limits.mayCancel"),
            probe=self.flag("limits.mayProbe"),
            come_back_ms=self.ms("limits.maxRetryAfterS") if self.flag("limits.retryAfter") else 0.0,
            peers=self.flag("limits.peerMessages"),
            marks_repeats=self.flag("clients.marksRetry"),
            must_ask=self.text("membershipMode") == "ask",
            ask_within_ms=self.ms("guarantees.askWithinS"),
        )

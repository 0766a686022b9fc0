"""The line protocol's parts as plain values."""

from __future__ import annotations

from cherrygrade.scheduling.model import NodeState, Outcome

OUTCOMES = {
    "200": Outcome.OK,
    "500": Outcome.FAILED,
    "503": Outcome.REJECTED,
    "504": Outcome.TIMED_OUT,
    "502": Outcome.CONNECT_FAILED,
    "598": Outcome.RESET,
    "499": Outcome.CANCELLED,
    "410": Outcome.NOT_SENT,
}
STANDINGS = {"live": NodeState.LIVE, "quiescing": NodeState.DRAINING, "dead": NodeState.GONE}
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


def load_report(text: str) -> dict[str, float]:
    if text in ("-", ""):
        return {}
    pairs = (pair.partition(":") for pair in text.split(","))
    return {LOADS.get(name, name): float(value) for name, _, value in pairs}


def seconds(value: float) -> str:
    return f"{value / 1000.0:.6f}"

"""Values of the bench's line protocol, and the program's names for them."""

from __future__ import annotations

from cherrygrade.scheduling.model import NodeState, Outcome

NONE = ("-", "")
"""How the protocol writes an absent value."""

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
NODE_STATES = {"live": NodeState.LIVE, "quiescing": NodeState.DRAINING, "dead": NodeState.GONE}
LOAD_FIELDS = {
    "outstanding": "in_hand",
    "backlog": "waiting",
    "utilization": "busy",
    "recent_ms": "recent_ms",
    "throughput": "per_s",
    "errors_per_s": "errors_per_s",
}


def number(text: str) -> float:
    """A number; absent: 0. Raises ValueError."""
    return 0.0 if text in NONE else float(text)


def ms(text: str) -> float:
    """Seconds as milliseconds. Raises ValueError."""
    return number(text) * 1000.0


def load_report(text: str) -> dict[str, float]:
    """A node's load by field. Raises ValueError."""
    if text in NONE:
        return {}
    pairs = (pair.partition(":") for pair in text.split(","))
    return {LOAD_FIELDS.get(name, name): float(value) for name, _, value in pairs}


def seconds(value_ms: float) -> str:
    """Milliseconds as the protocol writes seconds."""
    return f"{value_ms / 1000.0:.6f}"

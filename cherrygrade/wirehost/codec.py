"""Converts values of the bench's line protocol to those of the scheduler, and back."""

from __future__ import annotations

from cherrygrade.scheduling.model import NodeState, Outcome

ABSENT = ("-", "")
"""The forms in which the protocol writes an absent value."""

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
"""Outcome of an attempt by its code in the protocol."""

NODE_STATES = {"live": NodeState.LIVE, "quiescing": NodeState.DRAINING, "dead": NodeState.GONE}
"""State of a node by its name in the protocol."""

LOAD_FIELDS = {
    "outstanding": "in_hand",
    "backlog": "waiting",
    "utilization": "busy",
    "recent_ms": "recent_ms",
    "throughput": "per_s",
    "errors_per_s": "errors_per_s",
}
"""Name of a load figure by its name in the protocol; other figures keep their name."""


def number(text: str) -> float:
    """Return a number; 0 if it is absent. Raises ValueError if it is malformed."""
    return 0.0 if text in ABSENT else float(text)


def ms(text: str) -> float:
    """Return a time in seconds as milliseconds; 0 if it is absent. Raises ValueError if it is malformed."""
    return number(text) * 1000.0


def load_report(text: str) -> dict[str, float]:
    """Return the load figures of a node by name. Raises ValueError if one is malformed."""
    if text in ABSENT:
        return {}
    pairs = (pair.partition(":") for pair in text.split(","))
    return {LOAD_FIELDS.get(name, name): float(value) for name, _, value in pairs}


def seconds(value_ms: float) -> str:
    """Return milliseconds as seconds in the form of the protocol."""
    return f"{value_ms / 1000.0:.6f}"

"""Settings of a small deployment in the form of the platform's configuration file.

Classes, plans and figures are those of the deployment `kosice-main`, scaled to few dispatchers.
"""

from __future__ import annotations

from typing import Any


def class_settings(
    name: str, objective_s: float, deadline_s: float, effect: str, **more: Any
) -> dict[str, Any]:
    """Return the settings of one class of requests."""
    settings = {"name": name, "objectiveS": objective_s, "hardLimitS": deadline_s, "importance": 2.0}
    return {**settings, "lateWorth": 0.2, "effect": effect, **more}


def deployment(**changes: Any) -> dict[str, Any]:
    """Return the settings of a deployment with one dispatcher, with `changes` to its top level."""
    settings: dict[str, Any] = {
        "balancers": 1,
        "ordinal": 0,
        "classes": [
            class_settings("member-read", 0.3, 2.0, "retryable"),
            class_settings("visit-write", 0.6, 4.0, "dedup", group="cell", windowS=4.0),
            class_settings("club-export", 1.2, 4.0, "retryable"),
        ],
        "extra": {"writes": [False, True, False], "meanUnits": 2.0, "largest": 8, "shareWorth": 0.3}
        | {"beyondShare": 0.05, "saysOthers": False, "meterPeriodS": 0},
        "grades": [
            {"name": "zakladny", "usualRate": 200.0, "floorRate": 60.0, "proportion": 1.0, "price": 0.8},
            {"name": "premium", "usualRate": 300.0, "floorRate": 360.0, "proportion": 3.0, "price": 0.9},
        ],
        "limits": {"maxAttempts": 3, "connIdleS": 15.0, "connectTimeoutS": 0.25, "retryAfter": True}
        | {"maxRetryAfterS": 1.0, "mayCancel": True, "secondCopies": True, "mayProbe": True},
        "guarantees": {"drainGraceS": 1.0, "answerSlackS": 0.05},
        "clients": {"marksRetry": True},
        "membershipMode": "push",
    }
    return settings | changes

"""Settings of a small deployment in the form of the platform's configuration file.

Classes, plans and figures are those of the deployment `macon-main`, for one dispatcher.
"""

from __future__ import annotations

from typing import Any


def _class(
    name: str, objective_s: float, deadline_s: float, importance: float, late: float
) -> dict[str, Any]:
    times = {"name": name, "objectiveS": objective_s, "hardLimitS": deadline_s}
    return {**times, "importance": importance, "lateWorth": late, "effect": "retryable"}


def deployment() -> dict[str, Any]:
    """Return the settings."""
    return {
        "balancers": 1,
        "ordinal": 0,
        "classes": [
            _class("seat-read", 0.25, 2.0, 3.0, 0.2),
            _class("booking-write", 0.3, 1.5, 3.0, 0.1),
            _class("bulk-export", 1.5, 5.0, 1.0, 0.25),
        ],
        "extra": {"writes": [False, True, False], "meanUnits": 2.0, "largest": 6, "shareWorth": 1.0}
        | {"beyondShare": 0.05, "saysOthers": True, "meterPeriodS": 1.0},
        "grades": [
            {"name": "standard", "usualRate": 200.0, "proportion": 1.0, "price": 0.96},
            {"name": "priority", "usualRate": 300.0, "proportion": 3.0, "price": 0.9},
            {"name": "premier", "usualRate": 600.0, "proportion": 6.0, "price": 1.8},
        ],
        "limits": {"maxAttempts": 4, "connIdleS": 15.0, "connectTimeoutS": 0.25, "retryAfter": True}
        | {"maxRetryAfterS": 1.0, "mayCancel": True, "secondCopies": True},
        "guarantees": {"drainGraceS": 0.25, "answerSlackS": 0.05},
        "clients": {"marksRetry": False},
        "membershipMode": "push",
    }

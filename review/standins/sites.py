"""Settings of small deployments, in the form of the simulator's first message.

Names, deadlines, aims, plans and figures of the rules are those of the briefs. The rates of plans fit a few
servers, as the settings of a small deployment would.
"""

from __future__ import annotations

from typing import Any

MACON_MAIN: dict[str, Any] = {
    "balancers": 1,
    "ordinal": 0,
    "classes": [
        {"name": "seat-read", "objectiveS": 0.25, "hardLimitS": 2.0, "importance": 3.0, "lateWorth": 0.2}
        | {"effect": "retryable"},
        {"name": "booking-write", "objectiveS": 0.3, "hardLimitS": 1.5, "importance": 3.0, "lateWorth": 0.1}
        | {"effect": "retryable"},
        {"name": "bulk-export", "objectiveS": 1.5, "hardLimitS": 5.0, "importance": 1.0, "lateWorth": 0.25}
        | {"effect": "retryable"},
    ],
    "clients": {"marksRetry": False},
    "extra": {"writes": [False, True, False], "meanUnits": 2.06, "largest": 6, "youngLimit": 52.0}
    | {"shareWorth": 1.0, "beyondShare": 0.05, "meterPeriodS": 0, "saysOthers": False},
    "grades": [
        {"name": "standard", "usualRate": 40.0, "proportion": 1.0, "price": 0.96},
        {"name": "priority", "usualRate": 60.0, "proportion": 3.0, "price": 0.9},
        {"name": "premier", "usualRate": 120.0, "proportion": 6.0, "price": 1.8},
    ],
    "limits": {"maxAttempts": 4, "connIdleS": 15.0, "connectTimeoutS": 0.25, "retryAfter": True}
    | {"maxRetryAfterS": 1.0, "mayCancel": True, "secondCopies": True, "mayProbe": False},
    "guarantees": {"drainGraceS": 0.25, "answerSlackS": 0.008, "coldShare": 0.25, "fallMultiple": 3.0}
    | {"tipAfterS": 3.0, "warmWithinS": 13.0, "askWithinS": 10.0},
    "membershipMode": "push",
    "weights": "none",
    "zone": "room-1",
    "zones": ["room-1"],
}

KOSICE_MAIN: dict[str, Any] = {
    "balancers": 2,
    "ordinal": 0,
    "classes": [
        {"name": "member-read", "objectiveS": 0.3, "hardLimitS": 2.0, "importance": 3.0, "lateWorth": 0.15}
        | {"effect": "retryable"},
        {"name": "visit-write", "objectiveS": 0.6, "hardLimitS": 4.0, "importance": 2.0, "lateWorth": 0.2}
        | {"effect": "dedup", "group": "cell", "windowS": 4.0},
        {"name": "club-export", "objectiveS": 1.2, "hardLimitS": 4.0, "importance": 1.0, "lateWorth": 0.25}
        | {"effect": "retryable"},
    ],
    "clients": {"marksRetry": True},
    "extra": {"writes": [False, True, False], "meanUnits": 2.06, "largest": 8, "youngLimit": 52.0}
    | {"shareWorth": 0.3, "beyondShare": 0.05, "meterPeriodS": 0, "saysOthers": False},
    "grades": [
        {"name": "zakladny", "usualRate": 10.0, "proportion": 1.0, "price": 0.8, "floorRate": 3.0}
        | {"cap": 80.0, "capDepth": 120.0, "tolerance": 12.0},
        {"name": "premium", "usualRate": 15.0, "proportion": 3.0, "price": 0.9, "floorRate": 18.0},
    ],
    "limits": {"maxAttempts": 3, "connIdleS": 15.0, "connectTimeoutS": 0.25, "retryAfter": True}
    | {"maxRetryAfterS": 1.0, "mayCancel": True, "secondCopies": True, "mayProbe": True},
    "guarantees": {"drainGraceS": 1.0, "answerSlackS": 0.008, "coldShare": 0.25, "fallMultiple": 4.0}
    | {"tipAfterS": 1.0, "warmWithinS": 13.0, "askWithinS": 10.0},
    "membershipMode": "push",
    "weights": "rough",
    "zone": "kosice-room1",
    "zones": ["kosice-room1"],
}

MONTEVIDEO_CAMPUS: dict[str, Any] = {
    "balancers": 1,
    "ordinal": 0,
    "classes": [
        {"name": "session-read", "objectiveS": 0.4, "hardLimitS": 2.5, "importance": 2.0, "lateWorth": 0.2}
        | {"effect": "retryable"},
        {"name": "session-write", "objectiveS": 0.5, "hardLimitS": 3.0, "importance": 3.0, "lateWorth": 0.1}
        | {"effect": "retryable", "oneAtATime": True},
        {"name": "bulk-export", "objectiveS": 1.5, "hardLimitS": 5.0, "importance": 1.0, "lateWorth": 0.3}
        | {"effect": "retryable"},
    ],
    "clients": {"marksRetry": False},
    "extra": {"writes": [False, True, False], "meanUnits": 2.06, "largest": 8, "youngLimit": 30.0}
    | {"shareWorth": 0.35, "beyondShare": 0.08, "meterPeriodS": 0, "saysOthers": False},
    "grades": [
        {"name": "basico", "usualRate": 40.0, "proportion": 1.0, "price": 0.72, "floorRate": 20.0},
        {"name": "estandar", "usualRate": 80.0, "proportion": 1.0, "price": 1.2, "floorRate": 64.0},
        {"name": "preferente", "usualRate": 100.0, "proportion": 1.0, "price": 1.4, "floorRate": 80.0},
    ],
    "limits": {"maxAttempts": 4, "connIdleS": 15.0, "connectTimeoutS": 0.25, "retryAfter": True}
    | {"maxRetryAfterS": 1.0, "mayCancel": True, "secondCopies": False, "mayProbe": True},
    "guarantees": {"drainGraceS": 2.0, "answerSlackS": 0.008, "coldShare": 0.18, "fallMultiple": 2.0}
    | {"tipAfterS": 1.0, "warmWithinS": 17.0, "askWithinS": 10.0, "turnGapS": 0.1}
    | {"spareAttempts": 3, "extraShare": 0.25, "resendSpanS": 5.0},
    "membershipMode": "ask",
    "weights": "none",
    "zone": "hall-a",
    "zones": ["hall-a", "hall-b", "hall-c"],
}

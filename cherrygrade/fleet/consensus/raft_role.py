"""The roles of a Raft voter."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a voter in its term. Explorations record the values, so they must not change."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "asks ahead"
    CANDIDATE = "stands"
    LEADER = "leads"

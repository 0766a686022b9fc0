"""The roles of a Raft voter."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """What a voter does in its term. The values are recorded by explorations: they stay."""

    FOLLOWER = "follows"
    PRE_CANDIDATE = "asks ahead"
    CANDIDATE = "stands"
    LEADER = "leads"

"""Nodes as the fleet sees them: one's own bad link told from a bad node.

Each member tells, of the few nodes that it has most trouble with, what its own sends met there lately.
From what all tell, a node is bad where most of those that tried meet trouble; where others are answered,
the link is. Nothing here overrides the register on drains. Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

MOST_TOLD = 8  # nodes in one digest
FRESH_MS = 5000.0  # what was told before that counts for nothing
ENOUGH = 2  # others that tried, below which nobody can tell
HALF_MS = 2000.0  # what was met fades by half in this


class NodeContact(msgspec.Struct, array_like=True, frozen=True):
    """Of one node by one member: sends answered, errored and unanswered of late, and for how long it is
    so, ms."""

    node: int
    answered: int
    errored: int
    silent: int
    for_ms: int

    @property
    def trouble(self) -> bool:
        return self.errored + self.silent > self.answered


class Reachability(Enum):
    UNKNOWN = "too few tried it"
    WELL = "answers"
    LINK = "answers others: our own link"
    BAD = "answers few"


@dataclass(slots=True)
class ContactCounters:
    """What this dispatcher's own sends met at one node; fades, and goes once nothing is left of it."""

    answered: float = 0.0
    errored: float = 0.0
    silent: float = 0.0
    at: float = 0.0
    bad_from: float = -1.0

    @property
    def tried(self) -> float:
        return self.answered + self.errored + self.silent

    def fade(self, now: float) -> float:
        left = 0.5 ** (max(0.0, now - self.at) / HALF_MS)
        self.answered, self.errored = self.answered * left, self.errored * left
        self.silent *= left
        self.at = now
        return self.tried


@dataclass(slots=True)
class ReportedContacts:
    zone: str
    at: float
    met: dict[int, NodeContact] = field(default_factory=dict)


class ReachabilityView:
    """`own` by node, as words name it; emptied by fading. `told` by member; goes with the member, or once
    old."""

    def __init__(self) -> None:
        self.own: dict[int, ContactCounters] = {}
        self.told: dict[str, ReportedContacts] = {}

    def sent(self, node: int, how: str, now: float) -> None:
        """A send of this dispatcher ended: 'answered', 'errored' or 'silent'."""
        one = self.own.setdefault(node, ContactCounters(at=now))
        one.fade(now)
        setattr(one, how, getattr(one, how) + 1.0)
        bad = one.errored + one.silent > one.answered
        one.bad_from = (one.bad_from if one.bad_from >= 0.0 else now) if bad else -1.0

    def digest(self, now: float) -> list[NodeContact]:
        """For others: troubled nodes first, then those tried most."""
        self.own = {node: one for node, one in self.own.items() if one.fade(now) > 0.05}
        ranked = sorted(self.own.items(), key=lambda pair: (pair[1].bad_from < 0.0, -pair[1].tried, pair[0]))
        return [
            NodeContact(
                node,
                min(255, round(one.answered)),
                min(255, round(one.errored)),
                min(255, round(one.silent)),
                min(60000, int(now - one.bad_from)) if one.bad_from >= 0.0 else 0,
            )
            for node, one in ranked[:MOST_TOLD]
        ]

    def hear(self, name: str, zone: str, met: list[NodeContact], now: float) -> None:
        self.told[name] = ReportedContacts(zone, now, {one.node: one for one in met[:MOST_TOLD]})

    def forget(self, lives: Callable[[str], bool], now: float) -> None:
        self.told = {name: one for name, one in self.told.items() if lives(name) and now - one.at < FRESH_MS}

    def troubled(self, now: float) -> list[int]:
        """Nodes that this dispatcher or others have trouble with, for people; ours first."""
        ours = [node for node, one in self.own.items() if one.bad_from >= 0.0]
        told = [one for one in self.told.values() if now - one.at < FRESH_MS]
        theirs = {node for one in told for node, met in one.met.items() if met.trouble}
        return [*sorted(ours), *sorted(theirs - {*ours})]

    def view(self, node: int, now: float) -> tuple[Reachability, int, int, list[str]]:
        """What the fleet makes of a node: how many of how many that tried meet trouble, and from which
        zones."""
        told = [one for one in self.told.values() if now - one.at < FRESH_MS and node in one.met]
        tried = [(one.zone, one.met[node]) for one in told]
        bad = [zone for zone, met in tried if met.trouble]
        own = self.own.get(node)
        ours = own is not None and own.bad_from >= 0.0
        zones = sorted({*bad})
        if len(tried) < ENOUGH:
            return Reachability.UNKNOWN, len(bad), len(tried), zones
        if 2 * len(bad) > len(tried):
            return Reachability.BAD, len(bad), len(tried), zones
        return Reachability.LINK if ours else Reachability.WELL, len(bad), len(tried), zones

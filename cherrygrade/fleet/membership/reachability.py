"""Nodes as the fleet sees them: tells one's own bad link from a bad node.

Each member reports, of the few nodes that it has most trouble with, how its own attempts ended there lately.
From what all report, a node is bad where most of those that tried meet trouble; where others are answered,
the link is. Nothing here overrides what is registered on drains. Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import msgspec

MAX_REPORTED_NODES = 8
"""In one report."""

FRESH_MS = 5000.0
"""A report that is older counts for nothing."""

MIN_REPORTERS = 2
"""Other members that tried a node, below which nothing can be said of it."""

HALF_LIFE_MS = 2000.0
"""In which the count of an attempt halves."""

MIN_ATTEMPTS = 0.05
"""Of a node's faded counts, below which the entry goes."""

MAX_REPORTED_COUNT = 255
MAX_REPORTED_MS = 60000


class NodeContact(msgspec.Struct, array_like=True, frozen=True):
    """How one member's attempts at one node ended lately, as it is sent.

    Attributes:
        node: Mark of the node's address, 16 bits.
        answered: Attempts that were answered.
        errored: Attempts that ended in an error.
        silent: Attempts without an answer.
        for_ms: How long trouble has lasted, ms; 0 where there is none.
    """

    node: int
    answered: int
    errored: int
    silent: int
    for_ms: int

    @property
    def trouble(self) -> bool:
        """More attempts failed than were answered."""
        return self.errored + self.silent > self.answered


class Reachability(Enum):
    """What the fleet makes of a node; the values are shown to operators and stay as they are."""

    UNKNOWN = "too few tried it"
    WELL = "answers"
    LINK = "answers others: our own link"
    BAD = "answers few"


class NodeView(NamedTuple):
    """What the fleet makes of a node.

    Attributes:
        reachability: The verdict.
        in_trouble: Members that meet trouble there.
        tried: Members that tried it.
        zones: Zones of those that meet trouble, sorted.
    """

    reachability: Reachability
    in_trouble: int
    tried: int
    zones: list[str]


@dataclass(slots=True)
class ContactCounters:
    """How this dispatcher's own attempts at one node ended; the counts fade.

    Attributes:
        answered: Attempts that were answered.
        errored: Attempts that ended in an error.
        silent: Attempts without an answer.
        at: When the counts were last faded, ms.
        failing_since_ms: Since when there is trouble, ms; -1 where there is none.
    """

    answered: float = 0.0
    errored: float = 0.0
    silent: float = 0.0
    at: float = 0.0
    failing_since_ms: float = -1.0

    @property
    def tried(self) -> float:
        """Attempts of all outcomes."""
        return self.answered + self.errored + self.silent

    def fade(self, now: float) -> float:
        """Fade the counts to the time; returns what is left of all attempts."""
        left = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_MS)
        self.answered *= left
        self.errored *= left
        self.silent *= left
        self.at = now
        return self.tried

    def contact(self, node: int, now: float) -> NodeContact:
        """The counts as they are reported."""
        return NodeContact(
            node,
            min(MAX_REPORTED_COUNT, round(self.answered)),
            min(MAX_REPORTED_COUNT, round(self.errored)),
            min(MAX_REPORTED_COUNT, round(self.silent)),
            min(MAX_REPORTED_MS, int(now - self.failing_since_ms)) if self.failing_since_ms >= 0.0 else 0,
        )


@dataclass(slots=True)
class ReportedContacts:
    """The last report of one member.

    Attributes:
        zone: The member's zone.
        at: When it came, ms.
        contacts: By node, at most `MAX_REPORTED_NODES`.
    """

    zone: str
    at: float
    contacts: dict[int, NodeContact] = field(default_factory=dict)


class ReachabilityView:
    """What this dispatcher and others meet at nodes.

    Attributes:
        own: Own counts by node; an entry goes once it has faded.
        reported: Last report by member; it goes with the member, or once it is not fresh.
    """

    def __init__(self) -> None:
        self.own: dict[int, ContactCounters] = {}
        self.reported: dict[str, ReportedContacts] = {}

    def attempt_ended(self, node: int, outcome: str, now: float) -> None:
        """An attempt of this dispatcher ended: 'answered', 'errored' or 'silent'."""
        counters = self.own.setdefault(node, ContactCounters(at=now))
        counters.fade(now)
        setattr(counters, outcome, getattr(counters, outcome) + 1.0)
        bad = counters.errored + counters.silent > counters.answered
        if not bad:
            counters.failing_since_ms = -1.0
        elif counters.failing_since_ms < 0.0:
            counters.failing_since_ms = now

    def digest(self, now: float) -> list[NodeContact]:
        """The report for others: nodes in trouble first, then those tried most."""
        self.own = {node: one for node, one in self.own.items() if one.fade(now) > MIN_ATTEMPTS}
        ranked = sorted(
            self.own.items(), key=lambda pair: (pair[1].failing_since_ms < 0.0, -pair[1].tried, pair[0])
        )
        return [counters.contact(node, now) for node, counters in ranked[:MAX_REPORTED_NODES]]

    def report_received(self, name: str, zone: str, contacts: list[NodeContact], now: float) -> None:
        """A member's report came; it replaces the one before."""
        by_node = {contact.node: contact for contact in contacts[:MAX_REPORTED_NODES]}
        self.reported[name] = ReportedContacts(zone, now, by_node)

    def forget(self, is_living: Callable[[str], bool], now: float) -> None:
        """Drop reports of members that are not living, and old ones."""
        self.reported = {
            name: report
            for name, report in self.reported.items()
            if is_living(name) and now - report.at < FRESH_MS
        }

    def failing_nodes(self, now: float) -> list[int]:
        """Nodes that this dispatcher or others have trouble with, for operators; its own first."""
        ours = [node for node, counters in self.own.items() if counters.failing_since_ms >= 0.0]
        theirs = {
            node
            for report in self._fresh(now)
            for node, contact in report.contacts.items()
            if contact.trouble
        }
        return [*sorted(ours), *sorted(theirs - {*ours})]

    def view(self, node: int, now: float) -> NodeView:
        """What the fleet makes of a node."""
        reports = [report for report in self._fresh(now) if node in report.contacts]
        bad = [report.zone for report in reports if report.contacts[node].trouble]
        return NodeView(self._verdict(node, len(bad), len(reports)), len(bad), len(reports), sorted({*bad}))

    def _fresh(self, now: float) -> list[ReportedContacts]:
        return [report for report in self.reported.values() if now - report.at < FRESH_MS]

    def _verdict(self, node: int, in_trouble: int, tried: int) -> Reachability:
        if tried < MIN_REPORTERS:
            return Reachability.UNKNOWN
        if 2 * in_trouble > tried:
            return Reachability.BAD
        own = self.own.get(node)
        # Others are answered: trouble of our own is then on our link.
        return Reachability.LINK if own is not None and own.failing_since_ms >= 0.0 else Reachability.WELL

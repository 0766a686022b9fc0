"""Reachability of storage nodes: distinguishes a faulty node from a fault of this dispatcher's own link.

Each member reports how its own recent attempts ended at a few nodes, failing nodes first. A node is faulty
where most of the members that tried it fail there. Where a node fails for this dispatcher alone, while other
members get answers, the fault is in this dispatcher's own link. The result does not override the state of
nodes that are registered as draining.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import msgspec

MAX_REPORTED_NODES = 8
"""Nodes in one report."""

MAX_REPORT_AGE_MS = 5000.0
"""Age from which a report is ignored."""

MIN_REPORTERS = 2
"""Other members that have to report about a node; with fewer, its reachability is unknown."""

ATTEMPT_HALF_LIFE_MS = 2000.0
"""Time in which the weight of an attempt halves."""

MIN_ATTEMPTS = 0.05
"""Decayed number of attempts from which a node's counts are dropped."""

MAX_REPORTED_COUNT = 255
"""Highest number of attempts in a report."""

MAX_REPORTED_MS = 60000
"""Longest time that a report states for how long a node has been failing."""


class NodeContact(msgspec.Struct, array_like=True, frozen=True):
    """How one member's recent attempts at one node ended, as the member reports it.

    Attributes:
        node_hash: Hash of the node's address, 16 bits.
        answered: Number of attempts that were answered.
        errored: Number of attempts that ended in an error.
        silent: Number of attempts without an answer.
        failing_for_ms: How long the node has been failing for the member, ms; 0 where it is not.
    """

    node_hash: int
    answered: int
    errored: int
    silent: int
    failing_for_ms: int

    @property
    def failing(self) -> bool:
        """Whether more attempts failed than were answered."""
        return self.errored + self.silent > self.answered


class Reachability(Enum):
    """Reachability of a node by the reports of all members.

    The values are shown to operators and must not change.
    """

    UNKNOWN = "too few tried it"
    REACHABLE = "answers"
    OWN_LINK_FAULT = "answers others: our own link"
    NODE_FAULT = "answers few"


class NodeView(NamedTuple):
    """One node, as the reports of the other members show it.

    Attributes:
        reachability: The node's reachability.
        failing_members: Number of other members for which the node is failing.
        reporting_members: Number of other members that tried the node.
        failing_zones: Zones of the members for which the node is failing, sorted.
    """

    reachability: Reachability
    failing_members: int
    reporting_members: int
    failing_zones: list[str]


@dataclass(slots=True)
class ContactCounters:
    """How this dispatcher's own attempts at one node ended, counted with exponential decay.

    Attributes:
        answered: Decayed number of attempts that were answered.
        errored: Decayed number of attempts that ended in an error.
        silent: Decayed number of attempts without an answer.
        decayed_ms: When the counts were last decayed, ms.
        failing_since_ms: Time since which more attempts fail than are answered, ms; -1 where fewer do.
    """

    answered: float = 0.0
    errored: float = 0.0
    silent: float = 0.0
    decayed_ms: float = 0.0
    failing_since_ms: float = -1.0

    @property
    def attempts(self) -> float:
        """Decayed number of attempts of all outcomes."""
        return self.answered + self.errored + self.silent

    def decay(self, now: float) -> float:
        """Decay the counts up to the time `now`, in ms; return the decayed number of attempts."""
        factor = 0.5 ** (max(0.0, now - self.decayed_ms) / ATTEMPT_HALF_LIFE_MS)
        self.answered *= factor
        self.errored *= factor
        self.silent *= factor
        self.decayed_ms = now
        return self.attempts

    def contact(self, node_hash: int, now: float) -> NodeContact:
        """Return the counts as they are reported to other members."""
        return NodeContact(
            node_hash,
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
        received_ms: When the report was received, ms.
        contacts: The report by node hash, at most `MAX_REPORTED_NODES` entries.
    """

    zone: str
    received_ms: float
    contacts: dict[int, NodeContact] = field(default_factory=dict)


class ReachabilityView:
    """How the attempts of this dispatcher and of other members at storage nodes end.

    Attributes:
        own: This dispatcher's own counts by node hash; an entry is dropped once it has decayed below
            `MIN_ATTEMPTS`.
        reported: Last report of each other member, by name; it is dropped with the member, or once it is
            older than `MAX_REPORT_AGE_MS`.
    """

    def __init__(self) -> None:
        self.own: dict[int, ContactCounters] = {}
        self.reported: dict[str, ReportedContacts] = {}

    def attempt_ended(self, node_hash: int, outcome: str, now: float) -> None:
        """Count an attempt of this dispatcher that has ended.

        Args:
            node_hash: Hash of the node's address, 16 bits.
            outcome: 'answered', 'errored' or 'silent', which are attributes of `ContactCounters`.
            now: The current time, ms.
        """
        counters = self.own.setdefault(node_hash, ContactCounters(decayed_ms=now))
        counters.decay(now)
        setattr(counters, outcome, getattr(counters, outcome) + 1.0)
        failing = counters.errored + counters.silent > counters.answered
        if not failing:
            counters.failing_since_ms = -1.0
        elif counters.failing_since_ms < 0.0:
            counters.failing_since_ms = now

    def own_report(self, now: float) -> list[NodeContact]:
        """Return the report for other members: failing nodes first, then the nodes with most attempts."""
        self.own = {
            node_hash: counts for node_hash, counts in self.own.items() if counts.decay(now) > MIN_ATTEMPTS
        }
        ranked = sorted(
            self.own.items(), key=lambda pair: (pair[1].failing_since_ms < 0.0, -pair[1].attempts, pair[0])
        )
        return [counters.contact(node_hash, now) for node_hash, counters in ranked[:MAX_REPORTED_NODES]]

    def report_received(self, name: str, zone: str, contacts: list[NodeContact], now: float) -> None:
        """Store a member's report in place of its previous one."""
        by_node_hash = {contact.node_hash: contact for contact in contacts[:MAX_REPORTED_NODES]}
        self.reported[name] = ReportedContacts(zone, now, by_node_hash)

    def forget(self, is_living: Callable[[str], bool], now: float) -> None:
        """Drop the reports of members that are not living, and reports that are too old."""
        self.reported = {
            name: report
            for name, report in self.reported.items()
            if is_living(name) and now - report.received_ms < MAX_REPORT_AGE_MS
        }

    def failing_nodes(self, now: float) -> list[int]:
        """Return the hashes of failing nodes.

        Nodes that are failing for this dispatcher come first, then those failing only for other members.
        """
        failing_here = [
            node_hash for node_hash, counters in self.own.items() if counters.failing_since_ms >= 0.0
        ]
        failing_elsewhere = {
            node_hash
            for report in self._recent_reports(now)
            for node_hash, contact in report.contacts.items()
            if contact.failing
        }
        return [*sorted(failing_here), *sorted(failing_elsewhere - {*failing_here})]

    def view(self, node_hash: int, now: float) -> NodeView:
        """Return a node's reachability, and the reports of other members that it is derived from."""
        reports = [report for report in self._recent_reports(now) if node_hash in report.contacts]
        zones = [report.zone for report in reports if report.contacts[node_hash].failing]
        return NodeView(
            self._reachability(node_hash, len(zones), len(reports)),
            len(zones),
            len(reports),
            sorted({*zones}),
        )

    def _recent_reports(self, now: float) -> list[ReportedContacts]:
        return [report for report in self.reported.values() if now - report.received_ms < MAX_REPORT_AGE_MS]

    def _reachability(self, node_hash: int, failing_members: int, reporting_members: int) -> Reachability:
        if reporting_members < MIN_REPORTERS:
            return Reachability.UNKNOWN
        if 2 * failing_members > reporting_members:
            return Reachability.NODE_FAULT
        own = self.own.get(node_hash)
        # The node answers other members, so failures of this dispatcher's own attempts are due to its link.
        return (
            Reachability.OWN_LINK_FAULT
            if own is not None and own.failing_since_ms >= 0.0
            else Reachability.REACHABLE
        )

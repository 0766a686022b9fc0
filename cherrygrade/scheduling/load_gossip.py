"""Load reports between dispatchers, and their aggregation.

Each node has one aggregator among the dispatchers. All report to it what they send to the node and what comes
back; from that it knows how long an attempt waits at the node, and reports it to all of them. Nothing depends
on a report: a dispatcher without one goes by its own observations.
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import calcsize, iter_unpack, pack

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import DecisionSink, PeerDirectory
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.timing import NEVER_MS, next_mark

REPORT_FORMAT = ">BHBH"
"""Kind, mark of the node, units, milliseconds."""

SENT, ANSWERED, ENDED, WAITING = range(4)
"""Kinds of reports: an attempt started, succeeded, ended otherwise; waiting at a node, from its
aggregator."""

REPORT_BYTES = calcsize(REPORT_FORMAT)
MAX_REPORTS = 40
"""Reports in one message."""

UNITS_SCALE = 10.0
"""Units are sent in tenths."""

WORK_SCALE = 2.0
"""The work of a unit is sent in steps of so many ms."""

MAX_BYTE = 255
MAX_SHORT = 65535
PUBLISH_INTERVAL_MS = 100.0
FORGET_MS = 10000.0
"""An aggregate is dropped once no report was received for so long."""

BUSY_REQUESTS = 4.0
"""Mean requests that a node has in work; what is out beyond them waits."""

MAX_WAITING_MS = 4000.0
SILENT_MS = 2000.0
"""A node that answered nobody for so long counts as MAX_WAITING_MS of waiting."""

REPUBLISH_MS = 2000.0
OVERTAKEN_MS = 500.0
"""An attempt that a later one overtook by so much has ended, or its report is lost."""

RATE_WEIGHT = 0.2
WORK_WEIGHT = 0.15
MIN_WORK_FRACTION = 0.2
MIN_UNITS = 0.1
MIN_RATE = 0.001
MOVED_MS = 35.0
MOVED_FRACTION = 0.3
MOVED_WORK_FRACTION = 0.4
"""What is worth reporting: waiting that moved by MOVED_MS and MOVED_FRACTION, work by the last."""


class LoadAggregator:
    """What all dispatchers together have in flight at one node.

    Attributes:
        busy_units: units that the node has in work; what is out beyond them waits.
        sends: time and units of attempts in flight, as reported; removed by reports on these or later ones.
        answered_units: units that succeeded since the last step.
        units_per_ms: rate of those while the node was busy; 0 before the first.
        waiting_ms: waiting at the node, up to MAX_WAITING_MS.
        unit_ms: work of one unit; 0 before the first answer.
        published: waiting and work of a unit as they were last reported.
        stepped_ms, reported_ms, published_ms, answered_ms: when the last step, report received, report
            published and answer were.
    """

    def __init__(self, now: float, busy_units: float) -> None:
        self.stepped_ms = now
        self.reported_ms = now
        self.published_ms = now
        self.answered_ms = now
        self.busy_units = busy_units
        self.sends: list[tuple[float, float]] = []
        self.answered_units = 0.0
        self.units_per_ms = 0.0
        self.waiting_ms = 0.0
        self.unit_ms = 0.0
        self.published = (0.0, 0.0)

    def receive(self, kind: int, units: float, latency_ms: float, now: float) -> None:
        """A report on one attempt.

        Args:
            kind: SENT, ANSWERED or ENDED.
            units: its work.
            latency_ms: for the latter two, how long ago it was sent.
            now: the time, ms.
        """
        self.reported_ms = now
        if kind == SENT:
            self.sends.append((now, units))
            return
        sent_ms = now - latency_ms
        if self.sends:
            self.sends.remove(min(self.sends, key=lambda send: abs(send[0] - sent_ms)))
        if kind == ANSWERED:
            # Nodes take requests in turn: what went well before an answered one has ended.
            self.sends = [send for send in self.sends if send[0] > sent_ms - OVERTAKEN_MS]
            self.answered_units += units
            self.answered_ms = now
            self._observe_work(units, latency_ms)

    def _observe_work(self, units: float, latency_ms: float) -> None:
        work_ms = max(latency_ms - self.waiting_ms, MIN_WORK_FRACTION * latency_ms)
        unit_ms = work_ms / max(units, MIN_UNITS)
        weight = WORK_WEIGHT if self.unit_ms else 1.0
        self.unit_ms += weight * (unit_ms - self.unit_ms)

    def step(self, now: float) -> bool:
        """Bring the waiting up to date: units out over units answered a ms.

        Returns:
            Whether it is worth publishing; `published` is set then.
        """
        gap_ms = max(1.0, now - self.stepped_ms)
        self.stepped_ms = now
        self.sends = [send for send in self.sends if send[0] > now - MAX_WAITING_MS]
        out = sum(units for _, units in self.sends)
        if out > self.busy_units:
            weight = RATE_WEIGHT if self.units_per_ms else 1.0
            self.units_per_ms += weight * (self.answered_units / gap_ms - self.units_per_ms)
        self.answered_units = 0.0
        self.waiting_ms = self._waiting_for(out, now)
        recently_reported = self.reported_ms > now - REPUBLISH_MS
        if self._moved() or (recently_reported and now > self.published_ms + REPUBLISH_MS):
            self.published = (self.waiting_ms, self.unit_ms)
            self.published_ms = now
        return self.published_ms == now

    def _waiting_for(self, out: float, now: float) -> float:
        if out > 0.0 and now > self.answered_ms + SILENT_MS:
            return MAX_WAITING_MS
        if not self.units_per_ms:
            return 0.0
        waiting_units = max(0.0, out - self.busy_units)
        return min(MAX_WAITING_MS, waiting_units / max(self.units_per_ms, MIN_RATE))

    def _moved(self) -> bool:
        waiting_ms, unit_ms = self.published
        if abs(self.waiting_ms - waiting_ms) > MOVED_MS + MOVED_FRACTION * waiting_ms:
            return True
        return abs(self.unit_ms - unit_ms) > MOVED_WORK_FRACTION * unit_ms


class LoadGossip:
    """Reports of one dispatcher, and the aggregates that it keeps for all.

    Attributes:
        aggregators: aggregate by node queue, of the nodes that this dispatcher aggregates.
        outgoing: reports of this round by receiver; None: all. Emptied by the round.
        publish_at_ms: when aggregates are looked at next.
        queues_by_hash: node queues by the mark that reports name them by; made anew with each list.
        malformed: reports that were cut short, or not from or to the node's aggregator.
    """

    def __init__(self, settings: EffectiveSettings, peers: PeerDirectory, number: int) -> None:
        self.settings = settings
        self.peers = peers
        self.number = number
        self.aggregators: dict[NodeQueue, LoadAggregator] = {}
        self.outgoing: dict[int | None, list[bytes]] = {}
        self.publish_at_ms = NEVER_MS
        self.queues_by_hash: dict[int, NodeQueue] = {}
        self.malformed = 0

    def index(self, queues: Iterable[NodeQueue]) -> None:
        """Enter node queues under their marks."""
        self.queues_by_hash = {queue.node_hash: queue for queue in queues}

    def receive(self, peer: int, message: bytes, now: float) -> None:
        """A message of a peer; what makes no sense is counted and changes nothing."""
        if len(message) % REPORT_BYTES:
            self.malformed += 1
            return
        for kind, mark, units, value in iter_unpack(REPORT_FORMAT, message):
            if not self._receive_one(peer, kind, mark, units, value, now):
                self.malformed += 1

    def _receive_one(self, peer: int, kind: int, mark: int, units: int, value: int, now: float) -> bool:
        """Whether it was from the node's aggregator, or to it."""
        queue = self.queues_by_hash.get(mark)
        aggregator = self.peers.aggregator(mark)
        if kind == WAITING and aggregator == peer:
            if queue is not None:
                queue.latency.receive_report(now, float(value), WORK_SCALE * units)
            return True
        if kind < WAITING and aggregator == self.number:
            if queue is not None:
                self._aggregate(queue, kind, units / UNITS_SCALE, float(value), now)
            return True
        return False

    def _aggregate(self, queue: NodeQueue, kind: int, units: float, latency_ms: float, now: float) -> None:
        aggregator = self.aggregators.get(queue)
        if aggregator is None:
            busy_units = BUSY_REQUESTS * self.settings.utility.mean_units
            aggregator = self.aggregators[queue] = LoadAggregator(now, busy_units)
        aggregator.receive(kind, units, latency_ms, now)
        self.publish_at_ms = min(self.publish_at_ms, next_mark(now, PUBLISH_INTERVAL_MS))

    def report(self, queue: NodeQueue, kind: int, units: float, latency_ms: float, now: float) -> None:
        """Report what goes to a node or comes back to the node's aggregator, which may be this dispatcher."""
        if not self.settings.policy.allows_gossip:
            return
        receiver = self.peers.aggregator(queue.node_hash)
        if receiver == self.number:
            self._aggregate(queue, kind, units, latency_ms, now)
            return
        tenths = min(MAX_BYTE, int(units * UNITS_SCALE))
        report = pack(REPORT_FORMAT, kind, queue.node_hash, tenths, min(MAX_SHORT, int(latency_ms)))
        self.outgoing.setdefault(receiver, []).append(report)

    def send(self, now: float, sink: DecisionSink) -> None:
        """Send the round's reports; aggregates go on a grid, where they moved."""
        if now >= self.publish_at_ms:
            self._publish(now)
        for receiver, reports in self.outgoing.items():
            sink.send_gossip(receiver, b"".join(reports[:MAX_REPORTS]))
        self.outgoing.clear()

    def _publish(self, now: float) -> None:
        for queue, aggregator in self.aggregators.items():
            if self.peers.publishes(queue.node_hash, now) and aggregator.step(now):
                waiting_ms, unit_ms = aggregator.published
                queue.latency.receive_report(now, waiting_ms, unit_ms)
                steps = min(MAX_BYTE, int(unit_ms / WORK_SCALE))
                report = pack(REPORT_FORMAT, WAITING, queue.node_hash, steps, int(waiting_ms))
                self.outgoing.setdefault(None, []).append(report)
        self.aggregators = {
            queue: aggregator
            for queue, aggregator in self.aggregators.items()
            if aggregator.reported_ms > now - FORGET_MS
        }
        self.publish_at_ms = next_mark(now, PUBLISH_INTERVAL_MS) if self.aggregators else NEVER_MS

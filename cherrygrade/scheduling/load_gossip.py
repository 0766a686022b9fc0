"""Load reports between dispatchers, and their aggregation.

Each node has one aggregator among the dispatchers. Every dispatcher reports to it which attempts it sends to
the node and how they end. From those reports the aggregator computes how long an attempt waits at the node,
and publishes that to all dispatchers. A dispatcher that receives no reports uses its own observations.
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import calcsize, iter_unpack, pack

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import DecisionSink, PeerDirectory
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.timing import NEVER_MS, next_grid_ms

REPORT_FORMAT = ">BHBH"
"""Fields of one report, in the form of `struct`: kind, hash of the node, units, milliseconds."""

SENT, ANSWERED, ENDED, WAITING = range(4)
"""Kinds of reports: an attempt was sent, an attempt succeeded, an attempt ended in another way, and the wait
at a node, which its aggregator publishes."""

REPORT_BYTES = calcsize(REPORT_FORMAT)
"""Length of one report."""

MAX_REPORTS = 40
"""Reports in one message; further ones of the same round are dropped."""

UNITS_SCALE = 10.0
"""Units are sent in tenths of a unit."""

UNIT_TIME_SCALE_MS = 2.0
"""The time of a unit is sent in steps of this many ms."""

MAX_UINT8 = 255
"""Largest value of the units field of a report."""

MAX_UINT16 = 65535
"""Largest value of the milliseconds field of a report."""

PUBLISH_INTERVAL_MS = 100.0
"""Interval at which an aggregator checks what to publish."""

FORGET_MS = 10000.0
"""An aggregate is dropped once no report on its node was received for this long."""

BUSY_REQUESTS = 4.0
"""Requests of mean size that a node works on at once; those in flight beyond them wait."""

MAX_WAITING_MS = 4000.0
"""Largest wait that is computed. Attempts in flight for longer than this are no longer counted."""

SILENT_MS = 2000.0
"""The wait at a node that has not answered any dispatcher for this long counts as MAX_WAITING_MS."""

REPUBLISH_MS = 2000.0
"""An unchanged aggregate is published again after this time, while reports on the node come in."""

OVERTAKEN_MS = 500.0
"""An attempt sent this much before one that was answered counts as ended, even if no report said so."""

RATE_WEIGHT = 0.2
"""Weight of a new step in the moving average of the rate."""

UNIT_TIME_WEIGHT = 0.15
"""Weight of a new answer in the moving average of the time of a unit."""

MIN_WORK_FRACTION = 0.2
"""Smallest fraction of a latency that counts as work, however long the wait is estimated."""

MIN_UNITS = 0.1
"""Smallest divisor in units."""

MIN_UNITS_PER_MS = 0.001
"""Smallest divisor in units per ms."""

CHANGED_WAITING_MS = 35.0
"""A wait is published when it has changed by more than this plus CHANGED_WAITING_FRACTION of the old one."""

CHANGED_WAITING_FRACTION = 0.3
"""Fraction of the published wait that is added to CHANGED_WAITING_MS."""

CHANGED_UNIT_FRACTION = 0.4
"""The time of a unit is published when it has changed by more than this fraction."""


class LoadAggregator:
    """Aggregates the reports of all dispatchers on one node.

    Attributes:
        busy_units: units that the node works on at once; units in flight beyond them wait.
        sends: time (ms) and units of the attempts in flight, as reported. A report on the end of an attempt
            removes it. If the attempt succeeded, those sent OVERTAKEN_MS or more before it are removed too.
        answered_units: units of the attempts that succeeded since the last step.
        units_per_ms: rate at which a busy node answers, moving average; 0 before the first busy step.
        waiting_ms: how long a new attempt waits at the node, up to MAX_WAITING_MS.
        unit_ms: time of one unit of work, moving average; 0 before the first answer.
        published: `waiting_ms` and `unit_ms` as they were last published.
        stepped_ms: when the last step was, ms.
        reported_ms: when the last report was received, ms.
        published_ms: when the aggregate was last published, ms.
        answered_ms: when the node last answered any dispatcher, ms.
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
        """Take in a dispatcher's report on one attempt.

        Args:
            kind: SENT, ANSWERED or ENDED.
            units: work of the attempt.
            latency_ms: time since the attempt was sent; not used where `kind` is SENT.
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
            # A node works in the order of arrival, so attempts sent well before an answered one have ended.
            self.sends = [send for send in self.sends if send[0] > sent_ms - OVERTAKEN_MS]
            self.answered_units += units
            self.answered_ms = now
            self._observe_unit_time(units, latency_ms)

    def _observe_unit_time(self, units: float, latency_ms: float) -> None:
        work_ms = max(latency_ms - self.waiting_ms, MIN_WORK_FRACTION * latency_ms)
        unit_ms = work_ms / max(units, MIN_UNITS)
        weight = UNIT_TIME_WEIGHT if self.unit_ms else 1.0
        self.unit_ms += weight * (unit_ms - self.unit_ms)

    def step(self, now: float) -> bool:
        """Compute the wait anew: the units that wait, divided by the rate at which the node answers.

        Returns:
            Whether the aggregate is to be published; `published` holds it then.
        """
        elapsed_ms = max(1.0, now - self.stepped_ms)
        self.stepped_ms = now
        self.sends = [send for send in self.sends if send[0] > now - MAX_WAITING_MS]
        in_flight_units = sum(units for _, units in self.sends)
        if in_flight_units > self.busy_units:
            weight = RATE_WEIGHT if self.units_per_ms else 1.0
            self.units_per_ms += weight * (self.answered_units / elapsed_ms - self.units_per_ms)
        self.answered_units = 0.0
        self.waiting_ms = self._expected_waiting_ms(in_flight_units, now)
        recently_reported = self.reported_ms > now - REPUBLISH_MS
        if self._has_changed() or (recently_reported and now > self.published_ms + REPUBLISH_MS):
            self.published = (self.waiting_ms, self.unit_ms)
            self.published_ms = now
        return self.published_ms == now

    def _expected_waiting_ms(self, in_flight_units: float, now: float) -> float:
        if in_flight_units > 0.0 and now > self.answered_ms + SILENT_MS:
            return MAX_WAITING_MS
        if not self.units_per_ms:
            return 0.0
        waiting_units = max(0.0, in_flight_units - self.busy_units)
        return min(MAX_WAITING_MS, waiting_units / max(self.units_per_ms, MIN_UNITS_PER_MS))

    def _has_changed(self) -> bool:
        waiting_ms, unit_ms = self.published
        if abs(self.waiting_ms - waiting_ms) > CHANGED_WAITING_MS + CHANGED_WAITING_FRACTION * waiting_ms:
            return True
        return abs(self.unit_ms - unit_ms) > CHANGED_UNIT_FRACTION * unit_ms


class LoadGossip:
    """Sends the load reports of one dispatcher, and aggregates reports on the nodes assigned to it.

    Attributes:
        settings: the settings in force.
        peers: names the aggregator of each node.
        number: this dispatcher's seat: its number in the fleet, from 0.
        aggregators: aggregates by node queue, of the nodes that this dispatcher is the aggregator of.
        outgoing: reports of this round by the seat of their receiver, None for all dispatchers. Emptied at
            the end of the round.
        publish_at_ms: when to check next what to publish, ms; NEVER_MS while nothing is aggregated.
        queues_by_hash: node queues by the hash that reports name the node by. Rebuilt with each endpoint
            list.
        malformed: count of messages of a wrong length, and of reports that did not come from, or go to, the
            node's aggregator.
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
        """Rebuild the index of node queues by hash."""
        self.queues_by_hash = {queue.node_hash: queue for queue in queues}

    def receive(self, peer: int, message: bytes, now: float) -> None:
        """Take in a message of the dispatcher in seat `peer`; malformed reports are counted and ignored."""
        if len(message) % REPORT_BYTES:
            self.malformed += 1
            return
        for kind, node_hash, units, value in iter_unpack(REPORT_FORMAT, message):
            if not self._receive_report(peer, kind, node_hash, units, value, now):
                self.malformed += 1

    def _receive_report(
        self, peer: int, kind: int, node_hash: int, units: int, value: int, now: float
    ) -> bool:
        """Apply a report; return False if it neither came from the node's aggregator nor was sent to it."""
        queue = self.queues_by_hash.get(node_hash)
        aggregator = self.peers.aggregator(node_hash)
        if kind == WAITING and aggregator == peer:
            if queue is not None:
                queue.latency.receive_report(now, float(value), UNIT_TIME_SCALE_MS * units)
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
        self.publish_at_ms = min(self.publish_at_ms, next_grid_ms(now, PUBLISH_INTERVAL_MS))

    def report(self, queue: NodeQueue, kind: int, units: float, latency_ms: float, now: float) -> None:
        """Report an attempt to the node's aggregator, which may be this dispatcher.

        Args:
            queue: the queue of the node.
            kind: SENT, ANSWERED or ENDED.
            units: work of the attempt.
            latency_ms: time since the attempt was sent.
            now: the time, ms.
        """
        if not self.settings.policy.allows_gossip:
            return
        receiver = self.peers.aggregator(queue.node_hash)
        if receiver == self.number:
            self._aggregate(queue, kind, units, latency_ms, now)
            return
        tenths = min(MAX_UINT8, int(units * UNITS_SCALE))
        report = pack(REPORT_FORMAT, kind, queue.node_hash, tenths, min(MAX_UINT16, int(latency_ms)))
        self.outgoing.setdefault(receiver, []).append(report)

    def send(self, now: float, sink: DecisionSink) -> None:
        """Send the reports of the round, and publish aggregates that have changed when that is scheduled."""
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
                steps = min(MAX_UINT8, int(unit_ms / UNIT_TIME_SCALE_MS))
                report = pack(REPORT_FORMAT, WAITING, queue.node_hash, steps, int(waiting_ms))
                self.outgoing.setdefault(None, []).append(report)
        self.aggregators = {
            queue: aggregator
            for queue, aggregator in self.aggregators.items()
            if aggregator.reported_ms > now - FORGET_MS
        }
        self.publish_at_ms = next_grid_ms(now, PUBLISH_INTERVAL_MS) if self.aggregators else NEVER_MS

"""Slow start: limits what is sent to a node that is warming up (rule 4).

All dispatchers together must not overload a node that is warming up. The units that it can take in a window
are divided evenly among the dispatchers. Where an even quota would be less than a mean request, as many
dispatchers as possible get a quota of that size, and the others send nothing to the node until it can take
more. Which ones those are follows from the hash of the node's address and the dispatchers' seats (their
numbers in the fleet, from 0). Quotas only grow while the node warms up, so their sum stays within what the
node can take without any messages between dispatchers.
"""

from __future__ import annotations

from zlib import crc32

from cherrygrade.scheduling.model import Node, PeerDirectory, SlowStartSettings
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.outlier import BEFORE_ANY_START_MS
from cherrygrade.scheduling.timing import NEVER_MS

UNLIMITED_UNITS = NEVER_MS
"""Quota of a node that is not limited: more units than any request has. The number is that of NEVER_MS."""

MIN_COLD_CAPACITY = 0.01
"""Smallest capacity of a cold node that is computed with, as a fraction of its full capacity."""

ROUNDING_UNITS = 1e-6
"""Tolerance for rounding errors when quotas are added up."""


class SlowStartLimit:
    """Limits the units that this dispatcher sends to nodes that are warming up.

    Attributes:
        settings: what a node that has just started can take.
        number: seat of this dispatcher.
        peers: the dispatchers that quotas are divided among.
        mean_units: units of a mean request, the smallest quota.
        owned_since_ms: since when this dispatcher has owned the quotas of its seat, ms. Its predecessor in
            the seat may have used the quota of a node that started before that.
    """

    def __init__(
        self, settings: SlowStartSettings, number: int, peers: PeerDirectory, mean_units: float
    ) -> None:
        self.settings = settings
        self.number = number
        self.peers = peers
        self.mean_units = mean_units
        self.owned_since_ms = NEVER_MS

    def start_round(self, now: float) -> None:
        """Begin to own the quotas of the seat with the first round."""
        self.owned_since_ms = min(self.owned_since_ms, now)

    def initial_sends(self, node: Node, now: float) -> list[tuple[float, float]]:
        """Return the sends (time in ms and units) that are assumed for a newly listed node.

        The quota of a node that started before this dispatcher owned its seat counts as used, since the
        seat's previous owner may have used it.
        """
        return sends_exhausting_quota(now) if node.started_ms <= self.owned_since_ms else []

    def units_left(self, queue: NodeQueue, now: float) -> float:
        """Return the units that this dispatcher may still send to the node in the present window.

        It is UNLIMITED_UNITS for a node that is warm or whose start is not known.
        """
        settings = self.settings
        started_ms = max(queue.node.started_ms or BEFORE_ANY_START_MS, queue.health.restarted_ms)
        age_ms = now - started_ms
        if not settings.base_units or age_ms >= settings.warm_up_ms:
            return UNLIMITED_UNITS
        quota = self._quota(queue, self._units_per_window(queue, age_ms))
        window_start_ms = now - settings.window_ms
        return quota - sum(units for at, units in queue.warm_up_sends if at >= window_start_ms)

    def _units_per_window(self, queue: NodeQueue, age_ms: float) -> float:
        """Return the units that the node can take in a window from all dispatchers together."""
        settings = self.settings
        # Any node can process at least one unit at a time, each in the lowest mean latency observed here.
        sequential_units = (
            settings.overload_multiple
            * settings.cold_capacity
            * settings.window_ms
            / queue.latency.shared.min_mean_answer_ms
        )
        units = max(settings.base_units, sequential_units)
        growth = 1.0 / max(settings.cold_capacity, MIN_COLD_CAPACITY) - 1.0
        units *= 1.0 + growth * max(0.0, age_ms - settings.window_ms / 2.0) / settings.warm_up_ms
        return units

    def _quota(self, queue: NodeQueue, units: float) -> float:
        """Return this dispatcher's quota; while the number of dispatchers changes, the smaller of the two."""
        smallest = UNLIMITED_UNITS
        offset = self.number + crc32(queue.node.address.encode())
        for count in self.peers.dispatcher_counts:
            quota = max(units / count, self.mean_units)
            owned = (offset % count + 1) * quota < units + ROUNDING_UNITS and not self.peers.forfeits_quota
            smallest = min(smallest, quota if owned else 0.0)
        return smallest

    def record(self, queue: NodeQueue, units: float, now: float) -> None:
        """Record the units of an attempt that starts at the node."""
        if not self.settings.base_units:
            return
        window_start_ms = now - self.settings.window_ms
        recent = [(at_ms, sent) for at_ms, sent in queue.warm_up_sends if at_ms >= window_start_ms]
        queue.warm_up_sends = [*recent, (now, units)]


def sends_exhausting_quota(now: float) -> list[tuple[float, float]]:
    """Return sends that use up any quota until a complete window has passed."""
    return [(now, NEVER_MS)]

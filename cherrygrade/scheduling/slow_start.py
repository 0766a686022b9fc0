"""What a node that is warming up may be sent (rule 4).

All dispatchers together must not push a warming node over. What it bears in a window is dealt out evenly over
all dispatchers. Where an even part is less than a mean request, whole parts of that size go to the
dispatchers
next in number to a mark made from the node's address, and the others send it nothing until it bears more.
Parts only grow as the node warms up, so their sum stays inside what it bears, without a message between
dispatchers.
"""

from __future__ import annotations

from zlib import crc32

from cherrygrade.scheduling.model import Node, PeerDirectory, SlowStartSettings
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.outlier import BEFORE_ANY_START_MS
from cherrygrade.scheduling.timing import NEVER_MS

UNLIMITED_UNITS = NEVER_MS
"""More units than any request has; the number is that of NEVER_MS."""

MIN_COLD_CAPACITY = 0.01
ROUNDING_UNITS = 1e-6


class SlowStartLimit:
    """The rule, as one dispatcher keeps to it.

    Attributes:
        settings: what a node that has just started can take.
        number: this dispatcher's number among all.
        peers: the other dispatchers.
        mean_units: units of a mean request, the smallest part that is dealt out.
        owned_since_ms: since when this dispatcher is entitled to its part. A node that started before may
            have been sent that part by the dispatcher that was entitled to it then.
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
        """The first round begins the time in which this dispatcher has its part."""
        self.owned_since_ms = min(self.owned_since_ms, now)

    def initial_sends(self, node: Node, now: float) -> list[tuple[float, float]]:
        """What counts as sent to a node that is listed for the first time.

        A dispatcher before this one may have spent the part of a node that is older than this dispatcher.
        """
        return sends_exhausting_quota(now) if node.started_ms <= self.owned_since_ms else []

    def units_left(self, queue: NodeQueue, now: float) -> float:
        """Units that this dispatcher may still send to the node in the present window.

        A node whose start is not known counts as warmed up.
        """
        settings = self.settings
        started_ms = max(queue.node.started_ms or BEFORE_ANY_START_MS, queue.health.restarted_ms)
        age_ms = now - started_ms
        if not settings.base_units or age_ms >= settings.warm_up_ms:
            return UNLIMITED_UNITS
        part = self._part(queue, self._borne_units(queue, age_ms))
        window_start_ms = now - settings.window_ms
        return part - sum(units for at, units in queue.warm_up_sends if at >= window_start_ms)

    def _borne_units(self, queue: NodeQueue, age_ms: float) -> float:
        """Units that the node bears in a window, from all dispatchers together."""
        settings = self.settings
        # Any node can process one unit at a time, at the pace of the lowest mean latency observed here.
        one_at_a_time = (
            settings.overload_multiple
            * settings.cold_capacity
            * settings.window_ms
            / queue.latency.shared.min_mean_answer_ms
        )
        borne = max(settings.base_units, one_at_a_time)
        growth = 1.0 / max(settings.cold_capacity, MIN_COLD_CAPACITY) - 1.0
        borne *= 1.0 + growth * max(0.0, age_ms - settings.window_ms / 2.0) / settings.warm_up_ms
        return borne

    def _part(self, queue: NodeQueue, borne: float) -> float:
        """This dispatcher's part; while the number of dispatchers changes, the smaller of two."""
        smallest = UNLIMITED_UNITS
        mark = self.number + crc32(queue.node.address.encode())
        for count in self.peers.dispatcher_counts:
            part = max(borne / count, self.mean_units)
            has_part = (mark % count + 1) * part < borne + ROUNDING_UNITS and not self.peers.forfeits_quota
            smallest = min(smallest, part if has_part else 0.0)
        return smallest

    def record(self, queue: NodeQueue, units: float, now: float) -> None:
        """An attempt starts at the node."""
        if not self.settings.base_units:
            return
        window_start_ms = now - self.settings.window_ms
        recent = [(at, sent) for at, sent in queue.warm_up_sends if at >= window_start_ms]
        queue.warm_up_sends = [*recent, (now, units)]


def sends_exhausting_quota(now: float) -> list[tuple[float, float]]:
    """Sends that leave nothing of a part until a whole window has passed."""
    return [(now, NEVER_MS)]

"""Ranks requests by what they earn, which decides the queue and the position that they wait in.

A unit earns the priority weight of its workload times the price of its plan: all of that within the volume's
reserve, a fraction of it within the usual rate, a smaller one beyond it, and less once the latency objective
cannot be met any more.
"""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Workload
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.queued_request import QueuedRequest

PRESSED_WEIGHT_FACTOR = 2.0
"""A workload can be pressed if its weight times this exceeds the highest weight of the site."""

PRESSED_OBJECTIVE_FACTOR = 2.0
"""A workload can be pressed if its latency objective is at most this multiple of the site's tightest."""


def is_pressed_workload(workload: Workload, highest_weight: float, tightest_objective_ms: float) -> bool:
    """Whether a workload has the high weight and the short objective that Cake's pressed queue is for."""
    has_weight = workload.priority_weight * PRESSED_WEIGHT_FACTOR > highest_weight
    return has_weight and workload.latency_objective_ms <= PRESSED_OBJECTIVE_FACTOR * tightest_objective_ms


class UtilityRules:
    """Ranks requests when they are queued for the first time.

    Attributes:
        settings: the settings in force.
    """

    def __init__(self, settings: EffectiveSettings) -> None:
        self.settings = settings

    def is_beyond_quota(self, queued: QueuedRequest) -> bool:
        """Whether the request's units earn no more than units beyond the volume's usual rate do."""
        return queued.utility_level <= self.settings.utility.beyond_quota

    def rank(self, queued: QueuedRequest, queue: NodeQueue, now: float) -> None:
        """Charge the request to its volume, and set its `utility_level`, `pressed` and `sort_key`.

        Args:
            queued: the request.
            queue: the queue of the node that the request was placed on.
            now: the time, ms.
        """
        settings, workload = self.settings, queued.workload
        self._charge(queued)
        in_time = now + queue.latency.expected_ms(queued.request.units) <= queued.objective_at_ms
        queued.pressed = (
            is_pressed_workload(workload, settings.highest_weight, settings.tightest_objective_ms)
            and in_time
            and not self.is_beyond_quota(queued)
        )
        fraction = 1.0 if in_time else workload.late_utility
        value = workload.priority_weight * fraction * queued.volume.plan.price * queued.utility_level
        queued.sort_key = -value

    def _charge(self, queued: QueuedRequest) -> None:
        units, volume, utility = queued.request.units, queued.volume, self.settings.utility
        relative_weight = queued.workload.priority_weight / self.settings.highest_weight
        if volume.take_reserve(units, relative_weight):
            return
        within_rate = volume.take_usual(units)
        queued.utility_level = utility.within_quota if within_rate else utility.beyond_quota

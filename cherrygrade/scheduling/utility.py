"""What a request still earns, and so which queue it waits in and where it stands there.

A request's units earn their workload's priority weight times its plan's price: in full inside the volume's
reserve, in part inside its usual rate and beyond it, and less once the latency objective cannot be met.
"""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Workload
from cherrygrade.scheduling.node_queue import NodeQueue
from cherrygrade.scheduling.queued_request import QueuedRequest

PRESSED_WEIGHTS = 2.0
"""A workload is pressed if so many times its weight exceed the highest weight of the site."""

PRESSED_OBJECTIVES = 2.0
"""And if its latency objective is at most so many of the tightest of the site."""


def is_pressed_workload(workload: Workload, highest_weight: float, tightest_objective_ms: float) -> bool:
    """Whether a workload belongs to Cake's pressed side: of high weight and with a near objective."""
    heavy = workload.priority_weight * PRESSED_WEIGHTS > highest_weight
    return heavy and workload.latency_objective_ms <= PRESSED_OBJECTIVES * tightest_objective_ms


class UtilityRules:
    """Ranks requests as they are queued for the first time."""

    def __init__(self, settings: EffectiveSettings) -> None:
        self.settings = settings

    def is_beyond_quota(self, queued: QueuedRequest) -> bool:
        """Whether its units earn no more than what is beyond its volume's quota."""
        return queued.utility_level <= self.settings.utility.beyond_quota

    def rank(self, queued: QueuedRequest, queue: NodeQueue, now: float) -> None:
        """Charge the request to its volume, and find its side and its place in the queue.

        Args:
            queued: the request; `utility_level`, `pressed` and `sort_key` are set.
            queue: the node that it was placed on.
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
        inside = volume.take_usual(units)
        queued.utility_level = utility.within_quota if inside else utility.beyond_quota

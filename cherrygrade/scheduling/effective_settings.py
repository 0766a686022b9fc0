"""The settings in force; the fleet's configuration replaces them between two rounds."""

from __future__ import annotations

from collections.abc import Sequence

from cherrygrade.scheduling.model import SitePolicy, UtilityModel, Workload

DEFAULT_PRIORITY_WEIGHT = 1.0
DEFAULT_OBJECTIVE_MS = 1000.0


class EffectiveSettings:
    """Held once and shared by all rules, so that a change comes into force everywhere at once.

    Attributes:
        policy: what the site lets a dispatcher do.
        utility: what units earn.
        highest_weight: the largest priority weight of the site's workloads.
        tightest_objective_ms: the shortest latency objective of the site's workloads.
    """

    def __init__(self, policy: SitePolicy, utility: UtilityModel, workloads: Sequence[Workload]) -> None:
        self.policy = policy
        self.utility = utility
        self.highest_weight = max(
            (workload.priority_weight for workload in workloads), default=DEFAULT_PRIORITY_WEIGHT
        )
        self.tightest_objective_ms = min(
            (workload.latency_objective_ms for workload in workloads), default=DEFAULT_OBJECTIVE_MS
        )

"""The settings in force. A change of the fleet's configuration replaces them between two rounds."""

from __future__ import annotations

from collections.abc import Sequence

from cherrygrade.scheduling.model import SitePolicy, UtilityModel, Workload

DEFAULT_PRIORITY_WEIGHT = 1.0
"""Highest priority weight where the site has no workloads."""

DEFAULT_OBJECTIVE_MS = 1000.0
"""Tightest latency objective where the site has no workloads, ms."""


class EffectiveSettings:
    """The settings that all rules of a scheduler share, so that a change applies to all of them at once.

    Attributes:
        policy: what the site allows a dispatcher to do.
        utility: the value of a unit of work inside and outside of quotas.
        highest_weight: the largest priority weight of the site's workloads.
        tightest_objective_ms: the shortest latency objective of the site's workloads, ms.
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

"""Token buckets of a volume: the reserve, the usual rate and the limit (rule 7) of its service plan.

Units within the reserve earn their full value, units within the usual rate a fraction of it. The limit holds
over all dispatchers together: each uses an even part, so that their sum stays within the limit without
messages between them.
"""

from __future__ import annotations

from cherrygrade.scheduling.model import ServicePlan, UtilityModel

USUAL_RATE_FRACTION = 0.35
"""Fraction of a volume's usual rate that one dispatcher is expected to serve.

The bucket of the usual rate is refilled at this fraction of the rate, and holds one second of it.
"""

RESERVE_FOR_OTHERS = 0.5
"""Fraction of the reserve's capacity that a workload of weight 0 would leave to the others."""


class VolumeQuota:
    """The token buckets of one volume at this dispatcher.

    Attributes:
        plan: the volume's service plan.
        dispatchers: number of dispatchers that the plan's limit is divided among, at least 1.
        refilled_ms: when the buckets were last refilled, ms.
        reserve_fraction: fraction of the plan's reserve that this dispatcher may use: all of it where nodes
            report the use through other dispatchers, otherwise an even part.
        reserve_tokens: units available in the reserve; below 0 after use elsewhere was charged.
        reserve_capacity: capacity of the reserve's bucket, units.
        usual_tokens: units available within the usual rate; never below 0.
        usual_capacity: capacity of the usual rate's bucket, units.
        open_requests: number of requests of the volume that are not finished.
        limit_tokens: units available within the limit. The bucket starts empty, since an earlier process on
            this seat may have spent it just before.
    """

    def __init__(self, plan: ServicePlan, dispatchers: int, now: float, utility: UtilityModel) -> None:
        self.plan = plan
        self.dispatchers = dispatchers
        self.refilled_ms = now
        self.reserve_fraction = 1.0 if utility.reports_use_elsewhere else 1.0 / dispatchers
        self.reserve_capacity = plan.reserve_rate * self.reserve_fraction + utility.largest_units
        self.reserve_tokens = self.reserve_capacity
        self.usual_capacity = plan.usual_rate * USUAL_RATE_FRACTION
        self.usual_tokens = self.usual_capacity
        self.open_requests = 0
        self.limit_tokens = 0.0

    def refill(self, now: float) -> None:
        """Refill all buckets for the time since the last refill."""
        plan = self.plan
        seconds = (now - self.refilled_ms) / 1000.0
        self.refilled_ms = now
        self.usual_tokens = min(self.usual_capacity, self.usual_tokens + self.usual_capacity * seconds)
        earned = plan.reserve_rate * self.reserve_fraction * seconds
        self.reserve_tokens = min(self.reserve_capacity, self.reserve_tokens + earned)
        earned = plan.limit_rate / self.dispatchers * seconds
        self.limit_tokens = min(plan.limit_burst / self.dispatchers, self.limit_tokens + earned)

    def take_usual(self, units: float) -> bool:
        """Take units from the usual rate.

        Returns:
            Whether the units were within the rate. Units that do not fit completely are beyond it, and empty
            the bucket.
        """
        self.usual_tokens = max(0.0, self.usual_tokens - units)
        return self.usual_tokens > 0.0

    def take_reserve(self, units: float, relative_weight: float) -> bool:
        """Take units from the reserve if they fit.

        Args:
            units: work of the request.
            relative_weight: the workload's priority weight over the highest of the site, up to 1. The lower
                it is, the more of the reserve has to stay available to other workloads.

        Returns:
            Whether the units fitted and were taken.
        """
        for_others = self.reserve_capacity * (1.0 - relative_weight) * RESERVE_FOR_OTHERS
        fits = self.plan.reserve_rate > 0.0 and self.reserve_tokens >= units + for_others
        if fits:
            self.reserve_tokens -= units
        return fits

    def charge_elsewhere(self, units: float) -> None:
        """Charge units that nodes did for the volume through other dispatchers."""
        self.reserve_tokens -= units
        self.usual_tokens = max(0.0, self.usual_tokens - units)

    def spend_limit(self, units: float) -> None:
        """Charge a first attempt to the limit."""
        self.limit_tokens -= units

    def within_limit(self, units: float) -> bool:
        """Whether the limit has enough units for a first attempt now (rule 7)."""
        return self.limit_tokens >= units

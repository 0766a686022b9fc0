"""Token buckets of a volume: its reserve, its usual rate and its limit (rule 7).

Units inside the reserve earn their full value, units inside the usual rate a part of it. The limit holds over
all dispatchers: each keeps an even part, so the sum stays inside it without a message between them.
"""

from __future__ import annotations

from cherrygrade.scheduling.model import ServicePlan, UtilityModel

USUAL_RATE_FRACTION = 0.35
"""Part of a volume's usual rate that comes through one dispatcher; its bucket holds this much of one
second."""

RESERVE_HELD_BACK = 0.5
"""Part of the reserve's capacity that a workload of the lowest weight leaves to the others."""


class VolumeQuota:
    """Buckets of one volume at this dispatcher.

    Attributes:
        plan: the volume's service plan.
        dispatchers: among how many the plan's limit is divided; at least 1.
        refilled_ms: when the buckets were last refilled.
        reserve_fraction: part of the plan's reserve that is this dispatcher's: all of it where nodes report
            what others used, else an even part.
        reserve_tokens: units left in the reserve; below 0 after use elsewhere was charged.
        reserve_capacity: the most that the reserve holds, units.
        usual_tokens: units left inside the usual rate; never below 0.
        usual_capacity: the most that the usual rate's bucket holds, units.
        limit_tokens: units left of the limit; empty at the start, since an instance that ran here before
            may just have spent them.
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
        self.limit_tokens = 0.0

    def refill(self, now: float) -> None:
        """Earn what the time since the last refill is worth."""
        plan = self.plan
        seconds = (now - self.refilled_ms) / 1000.0
        self.refilled_ms = now
        self.usual_tokens = min(self.usual_capacity, self.usual_tokens + self.usual_capacity * seconds)
        earned = plan.reserve_rate * self.reserve_fraction * seconds
        self.reserve_tokens = min(self.reserve_capacity, self.reserve_tokens + earned)
        earned = plan.limit_rate / self.dispatchers * seconds
        self.limit_tokens = min(plan.limit_burst / self.dispatchers, self.limit_tokens + earned)

    def take_usual(self, units: float) -> bool:
        """Take units from the usual rate; a request that does not fit whole is beyond it and empties it."""
        self.usual_tokens = max(0.0, self.usual_tokens - units)
        return self.usual_tokens > 0.0

    def take_reserve(self, units: float, relative_weight: float) -> bool:
        """Take units from the reserve if they fit.

        Args:
            units: the request's work.
            relative_weight: the workload's priority weight over the highest of the site, up to 1; lower ones
                leave a part of the reserve to others.
        """
        held_back = self.reserve_capacity * (1.0 - relative_weight) * RESERVE_HELD_BACK
        inside = self.plan.reserve_rate > 0.0 and self.reserve_tokens >= units + held_back
        if inside:
            self.reserve_tokens -= units
        return inside

    def charge_elsewhere(self, units: float) -> None:
        """Charge what nodes did for the volume through other dispatchers."""
        self.reserve_tokens -= units
        self.usual_tokens = max(0.0, self.usual_tokens - units)

    def spend_limit(self, units: float) -> None:
        """Charge a first attempt to the limit."""
        self.limit_tokens -= units

    def within_limit(self, units: float) -> bool:
        """Whether the limit has room for a first attempt now (rule 7)."""
        return self.limit_tokens >= units

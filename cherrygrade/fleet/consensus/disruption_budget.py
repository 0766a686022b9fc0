"""The disruption budget: which dispatchers and nodes are out of use, and whether another one may be drained.

A resource that failed, was drained without a permit or is in an unknown state counts against the same limits
as one that was drained with a permit, so that failures delay drains. This module does no I/O and uses no
clock or random source. Times are the leader's, in ms.
"""

from __future__ import annotations

from enum import Enum

import msgspec

MAX_NAMES_IN_REFUSAL = 8
"""Resources that one refusal names."""
NEVER_DRAINED = -1e15
"""A time in ms before any other."""


class Resource(msgspec.Struct, array_like=True, frozen=True):
    """A dispatcher or node that the fleet should have; all of them together are the fleet of record.

    Attributes:
        name: The name of the resource, unique in the fleet.
        kind: The kind of the resource, such as "node"; resources of one kind share a limit.
        zone: The zone of the resource; "" if it has none.
        shards: The shards that the resource holds.
    """

    name: str
    kind: str
    zone: str = ""
    shards: tuple[str, ...] = ()


class DisruptionLimit(msgspec.Struct, array_like=True, frozen=True):
    """How many resources of one kind may be out of use at a time.

    Attributes:
        max_count: The maximum as a number.
        max_share: The maximum as a share of all; it allows at least one, so that a small fleet
            can be maintained.
        max_per_zone: The maximum in one zone; 0 for no such limit.
        min_holders: How many holders of each shard must stay in use.
        min_interval_ms: The shortest time between two drains.
    """

    max_count: int = 1
    max_share: float = 1.0
    max_per_zone: int = 0
    min_holders: int = 1
    min_interval_ms: float = 0.0

    def max_out_of(self, count: int) -> int:
        """Return how many of `count` resources may be out of use."""
        return min(self.max_count, max(1, int(self.max_share * count)))


class ResourceState(Enum):
    """The state of a resource; it is out of use in all states but IN_USE.

    The values are stored, sent and shown to operators, so they must not change. WARMING: the resource
    serves requests again with cold caches, and counts as out of use until it is reported in use.
    """

    IN_USE = "in use"
    UNKNOWN = "nobody knows"
    GRANTED = "granted"
    FAILED = "failed"
    DRAINED_WITHOUT_PERMIT = "drained unasked"
    REMOVED = "gone"
    WARMING = "back and cold"


class DisruptionBudget:
    """The fleet of record: the resources that the fleet should have, with their states and limits.

    Attributes:
        limits: The limit of each kind; a kind without one has the default limit.
        resources: The fleet of record, by name.
        states: The state of each resource; has the keys of `resources`.
        state_since: The leader's time in ms at which the state began; has the keys of `resources`.
        last_drain_at: By kind, the leader's time in ms of the last permit.
    """

    def __init__(self, limits: dict[str, DisruptionLimit]) -> None:
        self.limits = limits
        self.resources: dict[str, Resource] = {}
        self.states: dict[str, ResourceState] = {}
        self.state_since: dict[str, float] = {}
        self.last_drain_at: dict[str, float] = {}

    def add(self, resource: Resource, now: float) -> None:
        """Add or replace a resource; a new one counts as out of use until it is reported in use."""
        self.resources[resource.name] = resource
        if resource.name not in self.states:
            self.states[resource.name] = ResourceState.UNKNOWN
            self.state_since[resource.name] = now

    def remove(self, name: str) -> None:
        """Remove a resource from the fleet of record."""
        self.resources.pop(name, None)
        self.states.pop(name, None)
        self.state_since.pop(name, None)

    def set_state(self, name: str, state: ResourceState, now: float) -> None:
        """Record the state of a resource; a name that is not of the fleet of record is ignored."""
        if name in self.resources and self.states[name] is not state:
            self.states[name] = state
            self.state_since[name] = now

    def names_out(self, kind: str, except_name: str = "") -> list[str]:
        """Return the names of the resources of a kind that are out of use, except one."""
        return [
            name
            for name, resource in self.resources.items()
            if resource.kind == kind and name != except_name and self.states[name] is not ResourceState.IN_USE
        ]

    def refusals(self, name: str, now: float) -> list[str]:
        """Return why a resource may not be drained now, each reason as a text for people; empty if it may."""
        resource = self.resources.get(name)
        if resource is None:
            return [f"{name} is not of the fleet of record"]
        limit = self.limits.get(resource.kind, DisruptionLimit())
        return [
            *self._count_refusals(resource, limit),
            *self._shard_refusals(resource, limit),
            *self._interval_refusals(resource, limit, now),
        ]

    def _count_refusals(self, resource: Resource, limit: DisruptionLimit) -> list[str]:
        refusals: list[str] = []
        kind = resource.kind
        out = self.names_out(kind, resource.name)
        max_out = limit.max_out_of(len(self._of_kind(kind)))
        if len(out) >= max_out:
            refusals.append(f"{len(out)} of {max_out} {kind}s are out: {self._describe(out)}")
        in_zone = [name for name in out if self.resources[name].zone == resource.zone]
        if limit.max_per_zone and len(in_zone) >= limit.max_per_zone:
            refusals.append(
                f"{len(in_zone)} of {limit.max_per_zone} are out in zone {resource.zone}: "
                f"{self._describe(in_zone)}"
            )
        return refusals

    def _shard_refusals(self, resource: Resource, limit: DisruptionLimit) -> list[str]:
        refusals: list[str] = []
        others = [other for other in self._of_kind(resource.kind) if other.name != resource.name]
        for shard in resource.shards:
            holders = [other.name for other in others if shard in other.shards]
            in_use = [name for name in holders if self.states[name] is ResourceState.IN_USE]
            if len(in_use) < limit.min_holders:
                missing = [name for name in holders if name not in in_use]
                lacking = self._describe(missing) or "no other holds it"
                refusals.append(
                    f"shard {shard} would keep {len(in_use)} of {limit.min_holders} holders: {lacking}"
                )
        return refusals

    def _interval_refusals(self, resource: Resource, limit: DisruptionLimit, now: float) -> list[str]:
        interval_ms = limit.min_interval_ms
        wait_ms = self.last_drain_at.get(resource.kind, NEVER_DRAINED) + interval_ms - now
        if wait_ms <= 0.0:
            return []
        return [f"the last {resource.kind} went {interval_ms - wait_ms:.0f} ms ago, {interval_ms:.0f} apart"]

    def _of_kind(self, kind: str) -> list[Resource]:
        return [resource for resource in self.resources.values() if resource.kind == kind]

    def _describe(self, names: list[str]) -> str:
        shown = sorted(names)[:MAX_NAMES_IN_REFUSAL]
        return ", ".join(f"{name} ({self.states[name].value})" for name in shown)

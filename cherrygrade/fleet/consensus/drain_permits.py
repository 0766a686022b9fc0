"""Permits to drain dispatchers and nodes, as the council's replicated log grants them.

The same entries lead to the same permits on every voter. A permit's number is the index of its log entry, so
a later permit has a higher number, whichever voter led. When a drain takes longer than its permit allows,
operators see the permit as late, but it still counts against the limits. A permit ends only when it is
returned under its number, which proves that the resource is in use again, or when the resource is removed
from the fleet of record.

This module does no I/O and uses no clock or random source. Its time is the leader's, in ms; the entries
contain it, and it never goes back.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from cherrygrade.fleet.consensus.disruption_budget import (
    DisruptionBudget,
    DisruptionLimit,
    Resource,
    ResourceState,
)

MAX_ANSWERED_REQUESTS = 256
"""Grants that are stored to answer repeated requests."""


class DrainCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    """Base of the commands in the log; positional on the wire and on disk.

    Attributes:
        at: The leader's time when it appended the command, in ms.
    """

    at: float


class SetResources(DrainCommand, frozen=True, tag="r"):
    """Replaces the fleet of record and its limits.

    Attributes:
        resources: All resources of the fleet; one that is not listed is removed, with its permit.
        limits: The limits by kind of resource.
    """

    resources: tuple[Resource, ...]
    limits: dict[str, DisruptionLimit]


class RequestPermit(DrainCommand, frozen=True, tag="a"):
    """Requests a permit.

    Attributes:
        id: The id that the client chose; a request that is repeated under its id is granted once.
        name: The resource to be drained.
        owner: The operator or tool that drains it.
        duration_ms: The time after which the drain is late.
    """

    id: str
    name: str
    owner: str
    duration_ms: float


class ObserveResource(DrainCommand, frozen=True, tag="s"):
    """Reports the observed state of a resource; ignored while the resource has a permit.

    Attributes:
        name: The resource.
        state: The value of a `ResourceState`; GRANTED and unknown values are ignored.
    """

    name: str
    state: str


class ReturnPermit(DrainCommand, frozen=True, tag="b"):
    """Proves that the resource that was drained with a permit is in use again.

    Attributes:
        name: The resource.
        number: The number of the permit.
    """

    name: str
    number: int


class HaltDrains(DrainCommand, frozen=True, tag="h"):
    """Halts all drains, or ends the halt; while it lasts no permit is granted.

    Attributes:
        by: The operator or tool that halts drains.
        halted: False ends the halt.
    """

    by: str
    halted: bool = True


AnyDrainCommand = SetResources | RequestPermit | ObserveResource | ReturnPermit | HaltDrains
"""Any command about drain permits."""

_decoder = msgspec.msgpack.Decoder(AnyDrainCommand)


class DrainPermit(msgspec.Struct, array_like=True, frozen=True):
    """A permit that was granted and has not ended.

    Attributes:
        number: The index of the log entry that granted the permit.
        name: The resource.
        owner: The operator or tool that drains it.
        late_at: The leader's time in ms after which the drain is late.
    """

    number: int
    name: str
    owner: str
    late_at: float


class PermitOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The result of a command about drain permits.

    Attributes:
        number: The number of the permit that was granted or returned; 0 if there is none.
        refusals: Why the command was refused, each as a text for people; empty if it was not.
    """

    number: int = 0
    refusals: tuple[str, ...] = ()


class DrainPermitsState(msgspec.Struct, array_like=True):
    """The full state, for a snapshot; the fields are those of `DrainPermits` and `DisruptionBudget`."""

    now: float
    halted_by: str
    resources: list[Resource]
    limits: dict[str, DisruptionLimit]
    states: dict[str, str]
    state_since: dict[str, float]
    last_drain_at: dict[str, float]
    permits: list[DrainPermit]
    answered_requests: list[tuple[str, PermitOutcome]]


class DrainPermits:
    """The permits that were granted and have not ended.

    Attributes:
        now: The leader's time in ms, as of the newest entry; it never goes back.
        halted_by: The operator or tool that halted all drains; "" if drains are not halted.
        budget: The fleet of record and its limits.
        permits: By resource, one at most; until it is returned or the resource is removed from the
            fleet of record.
        answered_requests: By request id, the last MAX_ANSWERED_REQUESTS grants, the oldest first.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.halted_by = ""
        self.budget = DisruptionBudget({})
        self.permits: dict[str, DrainPermit] = {}
        self.answered_requests: OrderedDict[str, PermitOutcome] = OrderedDict()

    def apply(self, index: int, payload: bytes) -> PermitOutcome:
        """Apply one committed entry; one that can't be decoded changes nothing, on every voter alike."""
        try:
            command = _decoder.decode(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return PermitOutcome(refusals=("an entry that can't be read",))
        self.now = max(self.now, command.at)
        if isinstance(command, SetResources):
            return self._set_resources(command)
        if isinstance(command, RequestPermit):
            return self._request(command, index)
        if isinstance(command, ObserveResource):
            return self._observe(command)
        if isinstance(command, ReturnPermit):
            return self._return(command)
        self.halted_by = command.by if command.halted else ""
        return PermitOutcome()

    def late_permits(self) -> list[DrainPermit]:
        """Return the permits whose drain is late, in the order of their numbers."""
        late = [permit for permit in self.permits.values() if self.now > permit.late_at]
        return sorted(late, key=lambda permit: permit.number)

    def snapshot(self) -> bytes:
        """Return the full state, encoded."""
        budget = self.budget
        state = DrainPermitsState(
            self.now,
            self.halted_by,
            [*budget.resources.values()],
            budget.limits,
            {name: state.value for name, state in budget.states.items()},
            budget.state_since,
            budget.last_drain_at,
            [*self.permits.values()],
            [*self.answered_requests.items()],
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one.

        Raises:
            msgspec.ValidationError: The data is not an encoded state.
        """
        state = msgspec.msgpack.decode(data, type=DrainPermitsState)
        self.now = state.now
        self.halted_by = state.halted_by
        self.budget = DisruptionBudget(state.limits)
        self.budget.resources = {resource.name: resource for resource in state.resources}
        self.budget.states = {name: ResourceState(value) for name, value in state.states.items()}
        self.budget.state_since = state.state_since
        self.budget.last_drain_at = state.last_drain_at
        self.permits = {permit.name: permit for permit in state.permits}
        self.answered_requests = OrderedDict(state.answered_requests)

    def _set_resources(self, command: SetResources) -> PermitOutcome:
        self.budget.limits = dict(command.limits)
        listed = {resource.name for resource in command.resources}
        for name in [name for name in self.budget.resources if name not in listed]:
            self.budget.remove(name)
            self.permits.pop(name, None)
        for resource in command.resources:
            self.budget.add(resource, self.now)
        return PermitOutcome()

    def _request(self, command: RequestPermit, index: int) -> PermitOutcome:
        if command.id in self.answered_requests:
            return self.answered_requests[command.id]
        name = command.name
        refusals = [f"halted by {self.halted_by}"] if self.halted_by else []
        held = self.permits.get(name)
        if held is not None:
            refusals.append(f"{name} is out by permit {held.number} of {held.owner}")
        refusals += self.budget.refusals(name, self.now)
        if refusals:
            return PermitOutcome(refusals=tuple(refusals))
        self.permits[name] = DrainPermit(index, name, command.owner, self.now + command.duration_ms)
        self.budget.set_state(name, ResourceState.GRANTED, self.now)
        self.budget.last_drain_at[self.budget.resources[name].kind] = self.now
        return self._remember(command.id, PermitOutcome(index))

    def _remember(self, request_id: str, outcome: PermitOutcome) -> PermitOutcome:
        self.answered_requests[request_id] = outcome
        while len(self.answered_requests) > MAX_ANSWERED_REQUESTS:
            self.answered_requests.popitem(last=False)
        return outcome

    def _observe(self, command: ObserveResource) -> PermitOutcome:
        # While a resource has a permit, reports of its state are ignored: only the return of the
        # permit under its number proves that the resource is in use again.
        observable = {state.value: state for state in ResourceState if state is not ResourceState.GRANTED}
        if command.state in observable and command.name not in self.permits:
            self.budget.set_state(command.name, observable[command.state], self.now)
        return PermitOutcome()

    def _return(self, command: ReturnPermit) -> PermitOutcome:
        held = self.permits.get(command.name)
        if held is None or held.number != command.number:
            return PermitOutcome(refusals=(f"{command.name} is not out by permit {command.number}",))
        del self.permits[command.name]
        self.budget.set_state(command.name, ResourceState.IN_USE, self.now)
        return PermitOutcome(command.number)

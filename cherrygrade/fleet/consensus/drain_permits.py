"""Permits to drain dispatchers and nodes, as the council's log grants them.

The same entries lead to the same permits on every voter. A permit's number is the index of its entry: a later
one is higher, whoever led. When a permit expires, people are told that something is late; it frees nothing:
only proof by its number that the resource is in use again does, or its removal from the fleet of record.

Free of I/O, clock and chance; time is the leaders', given in the entries, and never goes back.
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
"""Grants that are remembered for requests that are repeated."""


class DrainCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    """Base of the commands in the log; positional on the wire and on disk.

    Attributes:
        at: The clock of whoever led, in ms.
    """

    at: float


class SetResources(DrainCommand, frozen=True, tag="r"):
    """The fleet of record and its limits from now on; a resource that is not named is gone for good."""

    resources: tuple[Resource, ...]
    limits: dict[str, DisruptionLimit]


class RequestPermit(DrainCommand, frozen=True, tag="a"):
    """A request for a permit.

    Attributes:
        id: Chosen by the client, so that a repeated request is granted once.
        name: The resource to be drained.
        owner: Who drains it.
        duration_ms: After which the drain is late.
    """

    id: str
    name: str
    owner: str
    duration_ms: float


class ObserveResource(DrainCommand, frozen=True, tag="s"):
    """The state in which somebody saw a resource; ignored while a permit is out for it.

    Attributes:
        name: The resource.
        state: The value of a `ResourceState`.
    """

    name: str
    state: str


class ReturnPermit(DrainCommand, frozen=True, tag="b"):
    """Proof that the resource that was drained by this permit is in use again."""

    name: str
    number: int


class HaltDrains(DrainCommand, frozen=True, tag="h"):
    """Halts all drains, or lets them go on.

    Attributes:
        by: Who halts them.
        halted: False lets them go on.
    """

    by: str
    halted: bool = True


AnyDrainCommand = SetResources | RequestPermit | ObserveResource | ReturnPermit | HaltDrains
"""Every command of this part of the log."""

_decoder = msgspec.msgpack.Decoder(AnyDrainCommand)


class DrainPermit(msgspec.Struct, array_like=True, frozen=True):
    """A permit that is out.

    Attributes:
        number: The index of the entry that granted it.
        name: The resource.
        owner: Who drains it.
        late_at: The leaders' time in ms from which on it is late.
    """

    number: int
    name: str
    owner: str
    late_at: float


class PermitOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What a command came to.

    Attributes:
        number: The permit's number; 0 where there is none.
        refusals: Why it was refused, each as a text for people.
    """

    number: int = 0
    refusals: tuple[str, ...] = ()


class DrainPermitsState(msgspec.Struct, array_like=True):
    """The whole state, for a snapshot; the fields are those of `DrainPermits` and `DisruptionBudget`."""

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
    """The permits that are out.

    Attributes:
        now: The leaders' time in ms, as of the newest entry; never goes back.
        halted_by: Who halted all drains; "" for nobody.
        budget: The fleet of record and its limits.
        permits: By resource, one at most; until it is in use again or gone for good.
        answered_requests: By request id, the last MAX_ANSWERED_REQUESTS grants, the oldest first.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.halted_by = ""
        self.budget = DisruptionBudget({})
        self.permits: dict[str, DrainPermit] = {}
        self.answered_requests: OrderedDict[str, PermitOutcome] = OrderedDict()

    def apply(self, index: int, payload: bytes) -> PermitOutcome:
        """Apply one committed entry; one that can't be read changes nothing, on every voter alike."""
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
        """Permits whose drain is late, by number; for people."""
        late = [permit for permit in self.permits.values() if self.now > permit.late_at]
        return sorted(late, key=lambda permit: permit.number)

    def snapshot(self) -> bytes:
        """The whole state, encoded."""
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
            msgspec.ValidationError: It is no snapshot.
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
        named = {resource.name for resource in command.resources}
        for name in [name for name in self.budget.resources if name not in named]:
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
        # Of a resource that a permit is out for nothing is believed but proof by its number.
        observable = {state.value: state for state in ResourceState if state is not ResourceState.GRANTED}
        if command.state in observable and command.name not in self.permits:
            self.budget.set_state(command.name, observable[command.state], self.now)
        return PermitOutcome()

    def _return(self, command: ReturnPermit) -> PermitOutcome:
        held = self.permits.get(command.name)
        if held is None or held.number != command.number:
            return PermitOutcome(refusals=(f"{command.name} is not out by permit {command.number}",))
        del self.permits[command.name]
        self.budget.set_state(command.name, ResourceState.IN, self.now)
        return PermitOutcome(command.number)

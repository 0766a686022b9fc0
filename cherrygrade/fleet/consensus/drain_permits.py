"""Permits, as the council's log deals them out: the same entries come to the same on every voter.

A permit's number is the index of its entry: a later one is higher, whoever led. Its end tells people that
something is late; it frees nothing: only proof that the thing is back does, by its number, or the word that
it is gone for good. Free of I/O, clock and chance; time is the leaders', told in the entries, and never goes
back.
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

MOST_ASKS = 256  # of answers kept for who asks again


class DrainCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    """An entry's payload. `at`: ms by the clock of whoever led."""

    at: float


class SetResources(DrainCommand, frozen=True, tag="r"):
    """The fleet of record and its limits from now on: what is not named is gone for good."""

    things: tuple[Resource, ...]
    limits: dict[str, DisruptionLimit]


class RequestPermit(DrainCommand, frozen=True, tag="a"):
    """`id`: the asker's own, so that asking again does nothing twice."""

    id: str
    name: str
    owner: str
    for_ms: float


class ObserveResource(DrainCommand, frozen=True, tag="s"):
    """How somebody saw a thing that no permit is out for."""

    name: str
    why: str


class ReturnPermit(DrainCommand, frozen=True, tag="b"):
    """Proof that what this permit let out is in use again."""

    name: str
    number: int


class HaltDrains(DrainCommand, frozen=True, tag="h"):
    by: str
    on: bool = True


AnyDrainCommand = SetResources | RequestPermit | ObserveResource | ReturnPermit | HaltDrains
_decoder = msgspec.msgpack.Decoder(AnyDrainCommand)


class DrainPermit(msgspec.Struct, array_like=True, frozen=True):
    number: int
    name: str
    owner: str
    ends: float


class PermitOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What an entry came to: a permit's number, or what it waits for."""

    number: int = 0
    waits: tuple[str, ...] = ()


class DrainPermitsState(msgspec.Struct, array_like=True):
    """All of it, for a snapshot."""

    now: float
    halted: str
    things: list[Resource]
    limits: dict[str, DisruptionLimit]
    why: dict[str, str]
    since: dict[str, float]
    last_at: dict[str, float]
    permits: list[DrainPermit]
    asks: list[tuple[str, PermitOutcome]]


class DrainPermits:
    """`permits` by thing: one at most, until it is back or gone; `asks` holds the last MOST_ASKS grants."""

    def __init__(self) -> None:
        self.now = 0.0
        self.halted = ""
        self.outs = DisruptionBudget({})
        self.permits: dict[str, DrainPermit] = {}
        self.asks: OrderedDict[str, PermitOutcome] = OrderedDict()

    def apply(self, index: int, payload: bytes) -> PermitOutcome:
        """One agreed entry. One that can't be read does nothing, on every voter alike."""
        try:
            op = _decoder.decode(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return PermitOutcome(waits=("an entry that can't be read",))
        self.now = max(self.now, op.at)
        if isinstance(op, SetResources):
            return self._record(op)
        if isinstance(op, RequestPermit):
            return self._ask(op, index)
        if isinstance(op, ObserveResource):
            return self._saw(op)
        if isinstance(op, ReturnPermit):
            return self._back(op)
        self.halted = op.by if op.on else ""
        return PermitOutcome()

    def _record(self, op: SetResources) -> PermitOutcome:
        self.outs.limits = dict(op.limits)
        named = {thing.name for thing in op.things}
        for name in [name for name in self.outs.things if name not in named]:
            self.outs.drop(name)
            self.permits.pop(name, None)
        for thing in op.things:
            self.outs.add(thing, self.now)
        return PermitOutcome()

    def _ask(self, op: RequestPermit, index: int) -> PermitOutcome:
        if op.id in self.asks:
            return self.asks[op.id]
        waits = [f"halted by {self.halted}"] if self.halted else []
        held = self.permits.get(op.name)
        if held is not None:
            waits.append(f"{op.name} is out by permit {held.number} of {held.owner}")
        waits += self.outs.waits_for(op.name, self.now)
        if waits:
            return PermitOutcome(waits=tuple(waits))
        self.permits[op.name] = DrainPermit(index, op.name, op.owner, self.now + op.for_ms)
        self.outs.stands(op.name, ResourceState.GRANTED, self.now)
        self.outs.last_at[self.outs.things[op.name].kind] = self.now
        told = self.asks[op.id] = PermitOutcome(index)
        while len(self.asks) > MOST_ASKS:
            self.asks.popitem(last=False)
        return told

    def _saw(self, op: ObserveResource) -> PermitOutcome:
        """Of what a permit let out nothing is believed but proof by its number."""
        known = {why.value: why for why in ResourceState if why is not ResourceState.GRANTED}
        if op.why in known and op.name not in self.permits:
            self.outs.stands(op.name, known[op.why], self.now)
        return PermitOutcome()

    def _back(self, op: ReturnPermit) -> PermitOutcome:
        held = self.permits.get(op.name)
        if held is None or held.number != op.number:
            return PermitOutcome(waits=(f"{op.name} is not out by permit {op.number}",))
        del self.permits[op.name]
        self.outs.stands(op.name, ResourceState.IN, self.now)
        return PermitOutcome(op.number)

    def late(self) -> list[DrainPermit]:
        """Whose time is over, and whose place is not free: for people."""
        return sorted(
            (one for one in self.permits.values() if self.now > one.ends), key=lambda one: one.number
        )

    def snapshot(self) -> bytes:
        outs = self.outs
        state = DrainPermitsState(
            self.now,
            self.halted,
            [*outs.things.values()],
            outs.limits,
            {name: why.value for name, why in outs.why.items()},
            outs.since,
            outs.last_at,
            [*self.permits.values()],
            [*self.asks.items()],
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """ValidationError where it is no snapshot."""
        state = msgspec.msgpack.decode(data, type=DrainPermitsState)
        self.now, self.halted = state.now, state.halted
        self.outs = DisruptionBudget(state.limits)
        self.outs.things = {thing.name: thing for thing in state.things}
        self.outs.why = {name: ResourceState(why) for name, why in state.why.items()}
        self.outs.since, self.outs.last_at = state.since, state.last_at
        self.permits = {one.name: one for one in state.permits}
        self.asks = OrderedDict(state.asks)

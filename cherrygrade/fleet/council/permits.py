"""Permits, as the council's log deals them out: the same entries come to the same on every voter.

A permit's number is the index of its entry: a later one is higher, whoever led. Its end tells people that
something is late; it frees nothing: only proof that the thing is back does, by its number, or the word that
it is gone for good. Free of I/O, clock and chance; time is the leaders', told in the entries, and never goes
back.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from cherrygrade.fleet.council.outs import Limit, Outs, Thing, Why

MOST_ASKS = 256  # of answers kept for who asks again


class Op(msgspec.Struct, array_like=True, frozen=True, tag_field="op"):
    """An entry's payload. `at`: ms by the clock of whoever led."""

    at: float


class Record(Op, frozen=True, tag="r"):
    """The fleet of record and its limits from now on: what is not named is gone for good."""

    things: tuple[Thing, ...]
    limits: dict[str, Limit]


class Ask(Op, frozen=True, tag="a"):
    """`id`: the asker's own, so that asking again does nothing twice."""

    id: str
    name: str
    owner: str
    for_ms: float


class Saw(Op, frozen=True, tag="s"):
    """How somebody saw a thing that no permit is out for."""

    name: str
    why: str


class Back(Op, frozen=True, tag="b"):
    """Proof that what this permit let out is in use again."""

    name: str
    number: int


class Halt(Op, frozen=True, tag="h"):
    by: str
    on: bool = True


Any_ = Record | Ask | Saw | Back | Halt
_decoder = msgspec.msgpack.Decoder(Any_)


class Permit(msgspec.Struct, array_like=True, frozen=True):
    number: int
    name: str
    owner: str
    ends: float


class Told(msgspec.Struct, array_like=True, frozen=True):
    """What an entry came to: a permit's number, or what it waits for."""

    number: int = 0
    waits: tuple[str, ...] = ()


class State(msgspec.Struct, array_like=True):
    """All of it, for a snapshot."""

    now: float
    halted: str
    things: list[Thing]
    limits: dict[str, Limit]
    why: dict[str, str]
    since: dict[str, float]
    last_at: dict[str, float]
    permits: list[Permit]
    asks: list[tuple[str, Told]]


class Permits:
    """`permits` by thing: one at most, until it is back or gone; `asks` holds the last MOST_ASKS grants."""

    def __init__(self) -> None:
        self.now = 0.0
        self.halted = ""
        self.outs = Outs({})
        self.permits: dict[str, Permit] = {}
        self.asks: OrderedDict[str, Told] = OrderedDict()

    def apply(self, index: int, payload: bytes) -> Told:
        """One agreed entry. One that can't be read does nothing, on every voter alike."""
        try:
            op = _decoder.decode(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return Told(waits=("an entry that can't be read",))
        self.now = max(self.now, op.at)
        if isinstance(op, Record):
            return self._record(op)
        if isinstance(op, Ask):
            return self._ask(op, index)
        if isinstance(op, Saw):
            return self._saw(op)
        if isinstance(op, Back):
            return self._back(op)
        self.halted = op.by if op.on else ""
        return Told()

    def _record(self, op: Record) -> Told:
        self.outs.limits = dict(op.limits)
        named = {thing.name for thing in op.things}
        for name in [name for name in self.outs.things if name not in named]:
            self.outs.drop(name)
            self.permits.pop(name, None)
        for thing in op.things:
            self.outs.add(thing, self.now)
        return Told()

    def _ask(self, op: Ask, index: int) -> Told:
        if op.id in self.asks:
            return self.asks[op.id]
        waits = [f"halted by {self.halted}"] if self.halted else []
        held = self.permits.get(op.name)
        if held is not None:
            waits.append(f"{op.name} is out by permit {held.number} of {held.owner}")
        waits += self.outs.waits_for(op.name, self.now)
        if waits:
            return Told(waits=tuple(waits))
        self.permits[op.name] = Permit(index, op.name, op.owner, self.now + op.for_ms)
        self.outs.stands(op.name, Why.GRANTED, self.now)
        self.outs.last_at[self.outs.things[op.name].kind] = self.now
        told = self.asks[op.id] = Told(index)
        while len(self.asks) > MOST_ASKS:
            self.asks.popitem(last=False)
        return told

    def _saw(self, op: Saw) -> Told:
        """Of what a permit let out nothing is believed but proof by its number."""
        known = {why.value: why for why in Why if why is not Why.GRANTED}
        if op.why in known and op.name not in self.permits:
            self.outs.stands(op.name, known[op.why], self.now)
        return Told()

    def _back(self, op: Back) -> Told:
        held = self.permits.get(op.name)
        if held is None or held.number != op.number:
            return Told(waits=(f"{op.name} is not out by permit {op.number}",))
        del self.permits[op.name]
        self.outs.stands(op.name, Why.IN, self.now)
        return Told(op.number)

    def late(self) -> list[Permit]:
        """Whose time is over, and whose place is not free: for people."""
        return sorted(
            (one for one in self.permits.values() if self.now > one.ends), key=lambda one: one.number
        )

    def snapshot(self) -> bytes:
        outs = self.outs
        state = State(
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
        state = msgspec.msgpack.decode(data, type=State)
        self.now, self.halted = state.now, state.halted
        self.outs = Outs(state.limits)
        self.outs.things = {thing.name: thing for thing in state.things}
        self.outs.why = {name: Why(why) for name, why in state.why.items()}
        self.outs.since, self.outs.last_at = state.since, state.last_at
        self.permits = {one.name: one for one in state.permits}
        self.asks = OrderedDict(state.asks)

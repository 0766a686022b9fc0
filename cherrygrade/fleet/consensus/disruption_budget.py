"""What is out, and what more may go: limits over the fleet of record, whoever took what out.

What failed by itself, what the register drained unasked and what nobody knows of takes from the same limits
as what was granted: failures make drains wait. Free of I/O, clock and chance.
"""

from __future__ import annotations

from enum import Enum

import msgspec

DISPATCHER, NODE = "dispatcher", "node"


class Resource(msgspec.Struct, array_like=True, frozen=True):
    """One of the fleet of record: a dispatcher or a node, its zone, the shards that it holds."""

    name: str
    kind: str
    zone: str = ""
    shards: tuple[str, ...] = ()


class DisruptionLimit(msgspec.Struct, array_like=True, frozen=True):
    """Of one kind: how many may be out, as a number and as a share of all (one at least, so that a small
    fleet can be kept up at all); in one zone, 0: no limit of its own; how many holders of each shard stay;
    ms between two that go."""

    most: int = 1
    share: float = 1.0
    zone: int = 0
    holders: int = 1
    apart_ms: float = 0.0

    def of(self, count: int) -> int:
        return min(self.most, max(1, int(self.share * count)))


class ResourceState(Enum):
    """How a thing stands. All but IN are out."""

    IN = "in use"
    UNKNOWN = "nobody knows"
    GRANTED = "granted"
    FAILED = "failed"
    UNASKED = "drained unasked"
    GONE = "gone"
    COLD = "back and cold"


class DisruptionBudget:
    """All tables hold the things of record and go with them."""

    def __init__(self, limits: dict[str, DisruptionLimit]) -> None:
        self.limits = limits
        self.things: dict[str, Resource] = {}
        self.why: dict[str, ResourceState] = {}
        self.since: dict[str, float] = {}
        self.last_at: dict[str, float] = {}  # when one of a kind was let go last

    def add(self, thing: Resource, now: float) -> None:
        """It counts as out until somebody has seen it in use."""
        self.things[thing.name] = thing
        if thing.name not in self.why:
            self.why[thing.name], self.since[thing.name] = ResourceState.UNKNOWN, now

    def drop(self, name: str) -> None:
        """It is gone for good, and the fleet of record is one less."""
        for table in (self.things, self.why, self.since):
            table.pop(name, None)

    def stands(self, name: str, why: ResourceState, now: float) -> None:
        if name in self.things and self.why[name] is not why:
            self.why[name], self.since[name] = why, now

    def out(self, kind: str, but: str = "") -> list[str]:
        return [
            name
            for name, thing in self.things.items()
            if thing.kind == kind and name != but and self.why[name] is not ResourceState.IN
        ]

    def waits_for(self, name: str, now: float) -> list[str]:
        """Why it may not go out now, each for a person to read; empty where it may."""
        thing = self.things.get(name)
        if thing is None:
            return [f"{name} is not of the fleet of record"]
        limit = self.limits.get(thing.kind, DisruptionLimit())
        same = [one for one in self.things.values() if one.kind == thing.kind]
        out, found = self.out(thing.kind, name), list[str]()
        most = limit.of(len(same))
        if len(out) >= most:
            found.append(f"{len(out)} of {most} {thing.kind}s are out: {self._told(out)}")
        near = [one for one in out if self.things[one].zone == thing.zone]
        if limit.zone and len(near) >= limit.zone:
            found.append(f"{len(near)} of {limit.zone} are out in zone {thing.zone}: {self._told(near)}")
        for shard in thing.shards:
            holders = [one.name for one in same if shard in one.shards and one.name != name]
            stay = [one for one in holders if self.why[one] is ResourceState.IN]
            if len(stay) < limit.holders:
                lacking = self._told([one for one in holders if one not in stay]) or "no other holds it"
                found.append(f"shard {shard} would keep {len(stay)} of {limit.holders} holders: {lacking}")
        wait = self.last_at.get(thing.kind, -1e15) + limit.apart_ms - now
        if wait > 0.0:
            found.append(
                f"the last {thing.kind} went {limit.apart_ms - wait:.0f} ms ago, {limit.apart_ms:.0f} apart"
            )
        return found

    def _told(self, names: list[str]) -> str:
        return ", ".join(f"{name} ({self.why[name].value})" for name in sorted(names)[:8])

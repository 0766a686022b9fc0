"""Members in thousands: the decisions of `fleet/` alone, on a queue of events with time and chance of their
own.

No sockets and no event loop, but the product's own pages, written and read; so a fleet larger than any
machine has processes for can be measured, and a small one held against processes.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from statistics import median
from typing import Any

from cherrygrade.fleet.membership.effects import Effects
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.membership_state import MembershipSettings
from cherrygrade.fleet.membership.messages import MAX_DATAGRAM_BYTES, MessageCodec, Probe
from cherrygrade.fleet.membership.table import MemberInfo, MemberRecord, MemberState
from cherrygrade.virtual.datagrams import DatagramConditions

BORN = 1_700_000_000_000
EXCHANGE_MS = 2.0  # a whole roll and back


@dataclass(slots=True)
class Figures:
    """Of one death, of a heal: ms until the first, the median and the last that live know it. Bytes a second
    a member: at rest, and in the second in which most was sent. Accusations and deaths of who lives."""

    first_ms: float
    median_ms: float
    last_ms: float
    rest_bytes: float
    most_bytes: float
    wrongly_dead: int


class Many:
    """`killed` never come back. `cut`: those that are on another side than the rest."""

    def __init__(self, count: int, seed: int, rain: DatagramConditions) -> None:
        self.count, self.rain, self.random = count, rain, Random(seed)
        self.now = 0.0
        self.book = MessageCodec("many")
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._turn = 0
        self.killed: set[int] = set()
        self.cut: set[int] = set()
        self.bytes: dict[int, int] = {}
        places = [f"10.{at // 65536}.{at // 256 % 256}.{at % 256}:1" for at in range(count)]
        self.by_place = {place: at for at, place in enumerate(places)}
        self.cores = [
            Membership(
                MembershipSettings(
                    f"d{at}",
                    BORN,
                    MemberInfo(place, f"z{at % 3}", "1", "s", at),
                    count,
                    places[:3],
                    seed * 10007 + at,
                ),
                0.0,
            )
            for at, place in enumerate(places)
        ]
        first = self.cores[0]
        for core in self.cores[1:]:
            first.table.merge(core.table.own.record(), 0.0, core.name)
        for core in self.cores[1:]:
            core.table.copy_others(first.table)
        self._due = [float("inf")] * count
        for at, core in enumerate(self.cores):
            core.gossip.drop(core.name)
            core.merge_table([], "", 0.0)
            self._look(at)

    # Time.

    def later(self, after_ms: float, act: Callable[..., None], *parts: Any) -> None:
        self._turn += 1
        heapq.heappush(self.queue, (self.now + after_ms, self._turn, act, parts))

    def run(self, ms: float, holds: Callable[[], bool] | None = None) -> bool:
        """So long, or until it holds, looked at each 50 ms."""
        ends, looks = self.now + ms, self.now
        while self.queue and self.queue[0][0] <= ends:
            at, _, act, parts = heapq.heappop(self.queue)
            if holds is not None and at >= looks:
                if holds():
                    return True
                looks = at + 50.0
            self.now = at
            act(*parts)
        self.now = ends
        return holds is not None and holds()

    # What members do.

    def _look(self, at: int) -> None:
        due = self.cores[at].next_tick_ms()
        if due < self._due[at] - 1.0:
            self._due[at] = due
            self.later(max(0.0, due - self.now), self._beat, at, due)

    def _beat(self, at: int, due: float) -> None:
        if at in self.killed or self._due[at] != due:
            return
        self._due[at] = float("inf")
        self._post(at, self.cores[at].tick(self.now + 5.0), "")

    def _post(self, at: int, mail: Effects, source: str, length: int = MAX_DATAGRAM_BYTES) -> None:
        for place, page in mail.messages:
            self._send(at, self.book.write(page), place)
        for page in mail.replies:
            data = self.book.write(page, length if not isinstance(page, Probe) else MAX_DATAGRAM_BYTES)
            if len(data) <= length:
                self._send(at, data, source)
        for _, place in mail.table_exchanges:
            to = self.by_place[place]
            if to not in self.killed and (at in self.cut) == (to in self.cut):
                self.later(EXCHANGE_MS, self._exchange, at, to)
        self._look(at)

    def _send(self, at: int, data: bytes, place: str) -> None:
        second = int(self.now // 1000.0)
        self.bytes[second] = self.bytes.get(second, 0) + len(data)
        to, rain = self.by_place[place], self.rain
        if (
            to in self.killed
            or (at in self.cut) != (to in self.cut)
            or self.random.random() < rain.loss_probability
        ):
            return
        self.later(rain.delay_ms + rain.jitter_ms * self.random.random(), self._came, to, at, data)

    def _came(self, to: int, at: int, data: bytes) -> None:
        if to in self.killed:
            return
        page = self.book.read(data)
        if page is not None:
            source = self.cores[at].address
            self._post(to, self.cores[to].receive(page, source, self.now), source, len(data))

    def _exchange(self, one: int, other: int) -> None:
        if one in self.killed or other in self.killed:
            return
        theirs: list[MemberRecord] = self.cores[other].all_records()
        self.cores[other].merge_table(self.cores[one].all_records(), self.cores[one].name, self.now)
        self.cores[one].merge_table(theirs, self.cores[other].name, self.now)
        self._look(one)
        self._look(other)

    # Faults and what they come to.

    def living(self) -> list[int]:
        return [at for at in range(self.count) if at not in self.killed]

    def whole(self) -> bool:
        """Whether all that live hold the same, and just the living."""
        living = self.living()
        return len({self.cores[at].table.digest for at in living}) == 1 and all(
            not any(self.cores[at].table.is_living(f"d{dead}") for dead in self.killed) for at in living[:1]
        )


def death(count: int, seed: int, rain: DatagramConditions, dead: int = 1, rest_ms: float = 4000.0) -> Figures:
    """Rest, then so many killed at once, until all that live know it, at most 20 s."""
    many = Many(count, seed, rain)
    many.run(rest_ms)
    seconds = [many.bytes.get(second, 0) for second in range(1, int(rest_ms // 1000.0))]
    rest = sum(seconds) / len(seconds) / count
    many.killed = {*many.random.sample(range(count), dead)}
    at, names = many.now, [f"d{one}" for one in sorted(many.killed)]
    known: dict[int, float] = {}

    def all_know() -> bool:
        for one in many.living():
            roll = many.cores[one].table
            if one not in known and not any(roll.is_living(name) for name in names):
                known[one] = many.now - at
        return len(known) == count - dead

    many.run(20_000.0, all_know)
    times = sorted(known.values()) if len(known) == count - dead else [float("inf")]
    wrong = sum(
        member.state is MemberState.FAILED and int(member.name[1:]) not in many.killed
        for one in many.living()[:20]
        for member in many.cores[one].table
    )
    most = max(many.bytes.values()) / count
    return Figures(times[0], median(times), times[-1], rest, most, wrong)

"""A fleet's replicas of the configuration in virtual time: the decisions of `fleet/config/` alone, on a queue
of events with time and chance of their own.

No sockets, no event loop and no members' pages: each member probes another at the fleet's pace, and what its
probe and the answer tell of the configuration is carried; questions, pushes and fetches are, too. Delays go
by zone and region. A fetch is two round trips, and a lost datagram of it costs 200 ms.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from statistics import median
from typing import Any

import msgspec

from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.config.replica_messages import (
    FetchResponse,
    OwnAdvert,
    ReachableMember,
    ReplicaEffects,
    StoredConfig,
)
from cherrygrade.fleet.config.version_log import VersionLog
from cherrygrade.fleet.config.versions import PutVersion, QuotaDivisors, SettleVersion, encode, text_digest

PROBE_MS = 400.0
WHICH, HERE, PUSH = 300, 120, 70  # bytes of a page, as written by members/pages.py at most
STREAM = 600  # bytes of a stream beside what is asked and given
AGAIN_MS = 200.0


@dataclass(frozen=True, slots=True)
class Ways:
    """One-way delays in ms, and the part of datagrams that is lost. Keeping on disk and coming into force
    take `force_ms` together; a voter's follower hears of agreement up to `beat_ms` later."""

    zone_ms: float = 0.3
    region_ms: float = 1.5
    far_ms: float = 80.0
    jitter_ms: float = 5.0
    lost: float = 0.05
    force_ms: float = 20.0
    beat_ms: float = 120.0


class Spread:
    """`count` members in `regions` of `zones` each, voters among the first. `cut`: members on another side.
    `killed` say and hear nothing. `put_at` and `in_force_at` by version's number."""

    def __init__(
        self,
        count: int,
        seed: int,
        ways: Ways = Ways(),
        regions: int = 2,
        zones: int = 3,
        voters: int = 5,
        kept: bool = True,
    ) -> None:
        self.count, self.ways, self.random, self.now = count, ways, Random(seed), 0.0
        self.region = [at % regions for at in range(count)]
        self.zone = [f"r{at % regions}z{at // regions % zones}" for at in range(count)]
        self.voters = [*range(voters)]
        self.log = VersionLog()
        self.cut: set[int] = set()
        self.killed: set[int] = set()
        self.refuses: dict[tuple[int, int], str] = {}  # member and version, and why
        self.lies: dict[int, tuple[int, int]] = {}  # members that say another stage and mark
        self.deaf: set[int] = set()  # whose streams are refused
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._turn = 0
        self.put_at: dict[int, float] = {}
        self.in_force_at: dict[int, dict[int, float]] = {}
        self.stages: list[list[int]] = [[0] for _ in range(count)]
        self.pages: Counter[str] = Counter()
        self.bytes: dict[int, Counter[int]] = {}
        self.asked: Counter[int] = Counter()  # questions that came to a member
        self.served: Counter[int] = Counter()
        self.far_fetches = self.fetches = 0
        self.near = [ReachableMember(f"d{at}", self.zone[at], at) for at in range(count)]
        self.of = {one.name: at for at, one in enumerate(self.near)}
        names = [f"d{at}" for at in self.voters]
        self.replicas = [
            ConfigReplica(f"d{at}", self.zone[at], at, count, names, seed, float(at)) for at in range(count)
        ]
        self._due = [float("inf")] * count
        for at, one in enumerate(self.replicas):
            if kept:  # sure of what the fleet is on, as after a while
                one.learn_committed(None, 0, 0.0, leader_confirmed=True)
            self.later(PROBE_MS * self.random.random(), self._probe, at)
            self._look(at)

    # Time.

    def later(self, after_ms: float, act: Callable[..., None], *parts: Any) -> None:
        self._turn += 1
        heapq.heappush(self.queue, (self.now + after_ms, self._turn, act, parts))

    def run(self, ms: float, holds: Callable[[], bool] | None = None) -> bool:
        """So long, or until it holds, looked at each 20 ms."""
        ends, looks = self.now + ms, self.now
        while self.queue and self.queue[0][0] <= ends:
            if holds is not None and self.queue[0][0] >= looks:
                if holds():
                    return True
                looks = self.queue[0][0] + 20.0
            at, _, act, parts = heapq.heappop(self.queue)
            self.now = at
            act(*parts)
        self.now = ends
        return holds is not None and holds()

    # The council.

    def put(self, text: str, parts: QuotaDivisors | None = None) -> int:
        """Agreed on as the log has it; the leader hears first, the followers with its next words."""
        self._turn += 1
        based = self.log.newest.number if self.log.newest is not None else 0
        parts = parts or self.log.divisors or QuotaDivisors(self.count)
        op = PutVersion(self.now, f"{self._turn}", based, text, (), text_digest(text), "ann", parts, parts)
        told = self.log.apply(0, encode(op))
        assert told.number, told.refusal
        self.put_at[told.number] = self.now
        self._agree()
        return told.number

    def settle(self) -> None:
        assert self.log.apply(0, encode(SettleVersion(self.now, self.log.moving_number))).number
        self._agree()

    def _agree(self) -> None:
        """A majority's word takes a way across regions and back."""
        newest, stage = self.log.newest, self.log.stage
        agreed = 2.0 * self.ways.far_ms + self.ways.jitter_ms
        for at in self.voters:
            beat = (
                0.0 if at == self.voters[0] else self._delay(0, at) + self.ways.beat_ms * self.random.random()
            )
            self.later(agreed + beat, self._learn, at, newest, stage)

    def _learn(self, at: int, newest: Any, stage: int) -> None:
        if at not in self.killed:
            self._do(at, self.replicas[at].learn_committed(newest, stage, self.now))

    # Ways.

    def _delay(self, one: int, other: int) -> float:
        ways = self.ways
        base = ways.far_ms
        if self.zone[one] == self.zone[other]:
            base = ways.zone_ms
        elif self.region[one] == self.region[other]:
            base = ways.region_ms
        return base + ways.jitter_ms * self.random.random() * (base > 1.0)

    def _apart(self, one: int, other: int) -> bool:
        return bool({one, other} & self.killed) or (one in self.cut) != (other in self.cut)

    def _send(
        self, one: int, other: int, kind: str, length: int, act: Callable[..., None], *parts: Any
    ) -> None:
        self.pages[kind] += 1
        self._count_bytes(one, length)
        if not self._apart(one, other) and self.random.random() >= self.ways.lost:
            self.later(self._delay(one, other), self._came, other, act, parts)

    def _came(self, other: int, act: Callable[..., None], parts: tuple[Any, ...]) -> None:
        if other not in self.killed:
            act(*parts)

    def _count_bytes(self, one: int, length: int) -> None:
        self.bytes.setdefault(int(self.now // 1000.0), Counter())[one] += length

    # What members do.

    def _look(self, at: int) -> None:
        due = max(self.replicas[at].next_deadline(), self.now + 1.0)
        if due < self._due[at] - 0.5 and due < 1e14:
            self._due[at] = due
            self.later(due - self.now, self._beat, at, due)

    def _beat(self, at: int, due: float) -> None:
        if at in self.killed or self._due[at] != due:
            return
        self._due[at] = float("inf")
        living = [one for one in self.near if self.of[one.name] not in self.killed]
        self._do(at, self.replicas[at].tick(living, self.now))

    def _probe(self, at: int) -> None:
        self.later(PROBE_MS, self._probe, at)
        if at in self.killed:
            return
        to = self.random.randrange(self.count)
        if to != at:
            here = self._here(at)
            self._send(at, to, "probe", 0, self._probed, to, at, here)

    def _probed(self, at: int, by: int, told: OwnAdvert) -> None:
        replica = self.replicas[at]
        if told.stage:
            self._do(
                at, replica.receive_advert(f"d{by}", told.stage, told.digest_prefix, self.now, told.bits)
            )
        here = self._here(at)
        if here.stage:
            self._send(at, by, "answer", 0, self._answered, by, at, here, 0)

    def _answered(self, at: int, by: int, told: OwnAdvert, nonce: int) -> None:
        bits = told.bits if nonce else b""
        told_ = (f"d{by}", told.stage, told.digest_prefix, self.now, nonce, bits)
        self._do(at, self.replicas[at].receive_statement(*told_))

    def _asked(self, at: int, by: int, nonce: int) -> None:
        self.asked[at] += 1
        self._send(at, by, "here", HERE, self._answered, by, at, self._here(at), nonce)

    def _pushed(self, at: int, by: int, told: OwnAdvert) -> None:
        self._do(at, self.replicas[at].receive_advert(f"d{by}", told.stage, told.digest_prefix, self.now))

    def _here(self, at: int) -> OwnAdvert:
        return OwnAdvert(*self.lies[at]) if at in self.lies else self.replicas[at].own_advert()

    def _do(self, at: int, does: ReplicaEffects) -> None:
        if does.apply is not None:
            self.later(self.ways.force_ms * (0.5 + self.random.random()), self._forced, at, *does.apply)
        for name, nonce in does.questions:
            self._send(at, self.of[name], "which", WHICH, self._asked, self.of[name], at, nonce)
        if does.push_to:
            here = self._here(at)
            for name in does.push_to:
                self._send(at, self.of[name], "push", PUSH, self._pushed, self.of[name], at, here)
        if does.fetch is not None:
            name, wanted = does.fetch
            self._fetch(at, self.of[name], wanted)
        self._look(at)

    def _forced(self, at: int, version: Any, stage: int) -> None:
        if at in self.killed:
            return
        why = self.refuses.get((at, version.number), "")
        if not why:
            self.stages[at].append(stage)
            self.in_force_at.setdefault(version.number, {}).setdefault(at, self.now)
        self._do(at, self.replicas[at].apply_finished(stage, why, self.now))

    def _fetch(self, at: int, to: int, wanted: Any) -> None:
        """A round trip for the connection, one for the content."""
        self.fetches += 1
        self.far_fetches += self.region[at] != self.region[to]
        trip = 2.0 * self._delay(at, to)
        again = sum(AGAIN_MS for _ in range(4) if self.random.random() < self.ways.lost)
        if self._apart(at, to) or at in self.deaf:
            self.later(1500.0 if at not in self.deaf else 20.0, self._unfetched, at, to)
            return
        self.later(1.5 * trip + again / 2.0, self._serve, at, to, wanted, trip + again / 2.0)

    def _serve(self, at: int, to: int, wanted: Any, trip: float) -> None:
        if self._apart(at, to):
            self.later(1500.0, self._unfetched, at, to)
            return
        gave = self.replicas[to].respond_to_fetch(wanted)
        length = len(msgspec.msgpack.encode(gave))
        self._count_bytes(to, length + STREAM // 2)
        self._count_bytes(at, len(msgspec.msgpack.encode(wanted)) + STREAM // 2)
        if gave.content is not None:
            self.served[to] += 1
            self.later(trip, self.replicas[to].response_ended)
        self.later(trip / 2.0, self._fetched, at, to, gave)

    def _fetched(self, at: int, by: int, gave: FetchResponse) -> None:
        if at not in self.killed:
            self._do(at, self.replicas[at].fetch_finished(f"d{by}", gave, self.now))

    def _unfetched(self, at: int, by: int) -> None:
        if at not in self.killed:
            self._do(at, self.replicas[at].fetch_failed(f"d{by}", "refused", self.now))

    def restart(self, at: int, kept: StoredConfig | None) -> None:
        """A new life, with what is on its disk; a probe of its old one goes on as its own."""
        names = [f"d{voter}" for voter in self.voters]
        one = ConfigReplica(f"d{at}", self.zone[at], at, self.count, names, 1, self.now, kept)
        self.replicas[at], self._due[at] = one, float("inf")
        self.killed.discard(at)
        if kept is not None:
            one.apply_finished(kept.stage, "", self.now)
        self._look(at)

    # What came of it.

    def on(self, number: int) -> list[int]:
        """Members that have this version or a later one in force."""
        return [at for at, one in enumerate(self.replicas) if one.stage // 2 >= number]

    def all_on(self, number: int) -> Callable[[], bool]:
        return lambda: all(
            one.stage // 2 >= number for at, one in enumerate(self.replicas) if at not in self.killed
        )


@dataclass(slots=True)
class Figures:
    """Of so many changes: ms from put to the last, questions that came to a voter and to another member, and
    fetches across regions; bytes a member for one change beside probes; each by change, sorted."""

    last_ms: list[float]
    voter_asks: list[int]
    member_asks: list[int]
    far_fetches: list[int]
    change_bytes: list[float]

    def __str__(self) -> str:
        last = self.last_ms
        return (
            f"{len(last)} changes: to the last after {median(last):.0f} ms in the median, "
            f"{last[int(0.99 * (len(last) - 1))]:.0f} at p99, {last[-1]:.0f} at worst; questions to one "
            f"voter {median(self.voter_asks):.0f} (worst {self.voter_asks[-1]}), to another member at most "
            f"{self.member_asks[-1]}; {median(self.far_fetches):.0f} fetches across regions "
            f"(worst {self.far_fetches[-1]}); {median(self.change_bytes):.0f} bytes a member "
            f"(worst {self.change_bytes[-1]:.0f})"
        )


def spread(count: int, seed: int, changes: int, ways: Ways = Ways()) -> Figures:
    """Changes of one line of 400, each two seconds after the one before is in force everywhere. TimeoutError
    where one is not within 20 s."""
    fleet, found = Spread(count, seed, ways), Figures([], [], [], [], [])
    text = "".join(f"plans: p{at}: limit_rate: {at}\n" for at in range(400))
    fleet.run(1000.0)
    fleet.put(text)
    fleet.run(20_000.0, fleet.all_on(1))
    fleet.run(3000.0)
    for change in range(changes):
        asked, far = fleet.asked.copy(), fleet.far_fetches
        fleet.bytes.clear()
        number = fleet.put(text.replace("rate: 7\n", f"rate: {1000 + change}\n"))
        if not fleet.run(20_000.0, fleet.all_on(number)):
            raise TimeoutError(f"version {number} is in force at {len(fleet.on(number))} of {count}")
        found.last_ms.append(max(fleet.in_force_at[number].values()) - fleet.put_at[number])
        fleet.run(2000.0)
        asks = fleet.asked - asked
        found.voter_asks.append(max(asks[at] for at in fleet.voters))
        found.member_asks.append(max(asks[at] for at in range(count) if at not in fleet.voters))
        found.far_fetches.append(fleet.far_fetches - far)
        found.change_bytes.append(sum(sum(one.values()) for one in fleet.bytes.values()) / count)
    for figures in (
        found.last_ms,
        found.voter_asks,
        found.member_asks,
        found.far_fetches,
        found.change_bytes,
    ):
        figures.sort()
    return found

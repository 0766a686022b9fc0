"""Parts that move between dispatchers: those that shrink go first, the rest once all of record have said so.

Joint use, after Raft's joint consensus (Ongaro, Ousterhout 2014, 6): while a version is joint, each uses the
smaller of its two parts. The leader settles it once every seat of the larger count has said first-hand that
it is on that stage or later, or has left by its own word. Silence is no proof. Free of I/O and clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from cherrygrade.fleet.config.versions import QuotaDivisors

ASKS_A_S = 50.0  # that the leader asks at most
AT_ONCE = 5  # of them in one beat
AGAIN_MS = 1000.0  # who has not answered is asked again
ROUNDS = 2
NEVER = 1e15


@dataclass(frozen=True, slots=True)
class QuotaParts:
    """What a dispatcher may use. `counts`: numbers of dispatchers; the room at a cold node is the least over
    them, each reckoned as if it were the only one. `hosts`: a volume's limit is divided by this. `has`: False
    where this seat has no part at all, of cold nodes or limits."""

    counts: tuple[int, ...]
    hosts: dict[str, int] = field(default_factory=dict)
    has: bool = True


def parts(seat: int, now: QuotaDivisors, old: QuotaDivisors | None = None, sure: bool = True) -> QuotaParts:
    """Of this seat, under a version with divisors `now`; `old` only while it is joint (stage even), None once
    it is settled. `sure` False: it does not know yet which version the fleet is on (Replica.sure)."""
    hosts = dict(now.hosts)
    counts: tuple[int, ...] = (now.dispatchers,)
    if old is not None:
        for volume, count in old.hosts:
            if volume in hosts:
                hosts[volume] = max(hosts[volume], count)
        counts = tuple(sorted({now.dispatchers, old.dispatchers}))
    return QuotaParts(counts, hosts, sure and 0 <= seat < min(counts))


def seats(now: QuotaDivisors, old: QuotaDivisors) -> int:
    """How many seats a move concerns."""
    return max(now.dispatchers, old.dispatchers)


@dataclass(frozen=True, slots=True)
class SeatedMember:
    """One claim of a seat, as the roll has it or had it last. `living`: not known dead; `left`: it left by
    its own word."""

    seat: int
    name: str
    birth: int
    living: bool
    left: bool = False


class JointPhase:
    """The leader's asking, of one move: `stage` (twice the number with which it began) has to be reached by
    each of `seats`, twice over: once all have said so, all are asked again, and nothing said before counts.
    Else one that said it and was started anew without what it had kept could have become sure by the word of
    another that had not said it yet. Begun anew by each leader: what another one heard proves nothing to it.
    Of each member that claims a seat: `said` holds the highest stage by (name, birth), `asked` the nonce that
    is out and since when; both go with the claims."""

    def __init__(self, stage: int, seats: int, seed: int, now: float) -> None:
        self.stage, self.seats, self.seed = stage, seats, seed
        self.said: dict[tuple[str, int], int] = {}
        self.asked: dict[str, tuple[int, float]] = {}
        self.rounds = 0  # that are over
        self._count = crc32(f"{seed}:{stage}:{now!r}".encode())  # no lead's nonces are another's
        self._next_at = now

    def answered(self, name: str, birth: int, stage: int, nonce: int) -> None:
        """An answer that came from the place that the roll holds for that name; counts only with the nonce
        that it was asked with, and once."""
        asked, _ = self.asked.get(name, (0, 0.0))
        if asked and asked == nonce:
            del self.asked[name]
            life = (name, birth)
            self.said[life] = max(stage, self.said.get(life, 0))

    def _proven(self, claim: SeatedMember) -> bool:
        return claim.left or self.said.get((claim.name, claim.birth), -1) >= self.stage

    def whole(self, claims: Iterable[SeatedMember]) -> bool:
        """Whether it may be settled now. To be asked after answers, and with claims as they are now."""
        if self.rounds < ROUNDS and not self.missing(claims):
            self.rounds += 1
            if self.rounds < ROUNDS:
                self.said.clear()
                self.asked.clear()
        return self.rounds >= ROUNDS

    def missing(self, claims: Iterable[SeatedMember]) -> dict[int, str]:
        """Seats that lack proof in this round, and why. A seat is proven by its last holder, and
        by all that claim it and live: a member that leaves proves nothing of one that took its seat since,
        nor an earlier life of a later one."""
        by_seat: dict[int, list[SeatedMember]] = {}
        for claim in claims:
            if 0 <= claim.seat < self.seats:
                by_seat.setdefault(claim.seat, []).append(claim)
        found: dict[int, str] = {}
        for seat in range(self.seats):
            held = by_seat.get(seat, [])
            last = max(held, key=lambda one: (one.birth, one.name), default=None)
            lacks = [one for one in held if (one is last or one.living) and not self._proven(one)]
            if last is None:
                found[seat] = "nobody is known to have held it"
            elif lacks:
                one = lacks[0]
                said = self.said.get((one.name, one.birth))
                why = "has not answered" if said is None else f"is on stage {said}"
                found[seat] = f"{one.name} {why}" if one.living else f"{one.name} failed, and has not left"
        return found

    def due(self) -> float:
        return self._next_at

    def beat(self, claims: Iterable[SeatedMember], now: float) -> list[tuple[str, int]]:
        """Whom to ask now, name and nonce (page Which)."""
        if now < self._next_at:
            return []
        claims = [one for one in claims if 0 <= one.seat < self.seats]
        lives = {(one.name, one.birth) for one in claims}
        self.said = {life: stage for life, stage in self.said.items() if life in lives}
        names = {one.name for one in claims if one.living and not self._proven(one)}
        self.asked = {name: asked for name, asked in self.asked.items() if name in names}
        waiting = [name for name in names if now - self.asked.get(name, (0, -NEVER))[1] >= AGAIN_MS]
        # Who was asked longest ago comes first, so that none is passed over for ever.
        waiting.sort(key=lambda name: (self.asked.get(name, (0, -NEVER))[1], name))
        found = []
        for name in waiting[:AT_ONCE]:
            self._count += 1
            nonce = crc32(f"{self.seed}:{self._count}".encode()) | 1
            self.asked[name] = (nonce, now)
            found.append((name, nonce))
        self._next_at = now + AT_ONCE * 1000.0 / ASKS_A_S
        return found

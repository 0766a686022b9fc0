"""Parts that move between dispatchers: those that shrink go first, the rest once all of record have said so.

Joint use, after Raft's joint consensus (Ongaro, Ousterhout 2014, 6): while a version is joint, each uses the
smaller of its two parts. The leader settles it once every seat of the larger count has said first-hand that
it is on that stage or later, or has left by its own word. Silence is no proof. Free of I/O and clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cherrygrade.fleet.config.versions import Divisors

ASKS_A_S = 50.0  # that the leader asks at most
AGAIN_MS = 1000.0  # who has not answered is asked again
NEVER = 1e15


@dataclass(frozen=True, slots=True)
class Parts:
    """What a dispatcher may use. `counts`: numbers of dispatchers; the room at a cold node is the least over
    them, each reckoned as if it were the only one. `hosts`: a volume's limit is divided by this. `has`: False
    where this seat has no part at all, of cold nodes or limits."""

    counts: tuple[int, ...]
    hosts: dict[str, int] = field(default_factory=dict)
    has: bool = True


def parts(seat: int, now: Divisors, old: Divisors | None = None, sure: bool = True) -> Parts:
    """Of this seat, under a version with divisors `now`; `old` only while it is joint (stage even), None once
    it is settled. `sure` False: it does not know yet which version the fleet is on (Replica.sure)."""
    raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Seated:
    """One claim of a seat, as the roll has it."""

    seat: int
    name: str
    birth: int
    living: bool
    left: bool = False


class Settling:
    """The leader's asking, of one move: `stage` (twice the number with which it began) has to be reached by
    each of `seats`. Begun anew by each leader: what another one heard proves nothing to it. `said` goes with
    the move, by (name, birth)."""

    def __init__(self, stage: int, seats: int, seed: int, now: float) -> None:
        self.stage, self.seats, self.seed = stage, seats, seed
        self.said: dict[tuple[str, int], int] = {}

    def answered(self, name: str, birth: int, seat: int, stage: int, nonce: int, now: float) -> None:
        """An answer that came from the place that the roll holds for that name; counts only with the nonce
        that was asked with."""
        raise NotImplementedError

    def missing(self, claims: Iterable[Seated]) -> dict[int, str]:
        """Seats that lack proof, and why; empty: it may be settled."""
        raise NotImplementedError

    def due(self) -> float:
        raise NotImplementedError

    def beat(self, claims: Iterable[Seated], now: float) -> list[tuple[str, int]]:
        """Whom to ask now, name and nonce (page Which)."""
        raise NotImplementedError

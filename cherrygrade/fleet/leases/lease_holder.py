"""A holder's view of its leases: when each ends, what it may still order, when to renew.

It reckons each end from when it *asked*, by its own monotonic clock less the drift, and stops before. A pause
between its last look at the clock and an order on the socket is covered by the order's number alone
(`consensus/fencing.py`); who carries orders out and knows no numbers is covered by time alone, less
`SEND_MARGIN_MS`.

Free of I/O and clock.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from cherrygrade.fleet.leases.lease_table import lease_digest

SEND_MARGIN_MS = 50.0  # that an order may take from the look at the clock to the socket
PART = 3.0  # a lease is renewed after a third of its time, and again after each quarter of that
MOST_OPEN = 64  # asks whose answers may still come; the oldest go
NEVER = 1e15


@dataclass(slots=True)
class HeldLease:
    task: str
    number: int
    expires_at: float
    orders_in_flight: int = 0
    """Orders that were given and have no answer: it is not given back before."""


class LeaseHolder:
    """One life's. `held` is emptied by ends, by answers that lack a lease, by giving back; `requested_at`
    by answers and by MOST_OPEN. `unheld`: what the council has for this life and this life does not hold, to
    be given back; else it would be renewed with the others and done by nobody."""

    def __init__(self, name: str, incarnation: int, duration_ms: float, drift: float) -> None:
        self.name, self.incarnation, self.duration_ms, self.drift = name, incarnation, duration_ms, drift
        self.held: dict[str, HeldLease] = {}
        self.requested_at: dict[str, float] = {}
        self.unheld: dict[str, int] = {}
        self._takes: dict[str, str] = {}  # the task of an ask for one; goes with it
        self.lost_count = 0
        self._request_count = 0
        self._renewing: tuple[str, dict[str, int]] = ("", {})
        self._renew_at = NEVER

    def start_request(self, now: float, task: str = "") -> str:
        """An ask leaves now, for this task if it takes one; gives its id."""
        self._request_count += 1
        asked = f"{self.name}/{self.incarnation}/{self._request_count}"
        self.requested_at[asked] = now
        if task:
            self._takes[asked] = task
        while len(self.requested_at) > MOST_OPEN:
            self._let_go(next(iter(self.requested_at)))
        return asked

    def _let_go(self, asked: str) -> float | None:
        """No answer to it gives anything any more; when it was asked."""
        self._takes.pop(asked, None)
        return self.requested_at.pop(asked, None)

    def _runs(self, asked: float) -> float:
        return asked + self.duration_ms * (1.0 - self.drift) - SEND_MARGIN_MS

    def record_grant(self, asked: str, task: str, number: int, now: float) -> bool:
        """Whether it is held now: an answer that came late, again, or to no ask of this life gives nothing.
        An ask that is put again under its id counts from its first time."""
        at = self._let_go(asked)  # heard twice it would bring back what was given back meanwhile
        if at is None or not number or self._runs(at) <= now:
            return False
        known = self.held.get(task)
        if known is None or known.number < number:
            self.held[task] = HeldLease(task, number, self._runs(at))
        self._renew_at = min(self._renew_at, at + self.duration_ms / PART)
        return self.held[task].number == number

    def start_renewal(self, now: float) -> tuple[str, int]:
        """An ask for all that is held leaves now; its id and the digest of that."""
        numbers = {task: held.number for task, held in self.held.items()}
        asked = self.start_request(now)
        self._renewing = (asked, numbers)
        return asked, lease_digest(numbers.items())

    def record_renewal(
        self, asked: str, numbers: dict[str, int], now: float, same: bool = False
    ) -> list[str]:
        """The leader's answer to a renewal; gives the tasks that are lost by it. `same`: it renews all that
        was held as the ask left."""
        at = self._let_go(asked)
        if at is None:
            return []
        if same:
            of, numbers = self._renewing
            if of != asked:
                return []
        lost = []
        for task, held in [*self.held.items()]:
            if numbers.get(task) == held.number:
                held.expires_at = max(held.expires_at, self._runs(at))
            elif held.expires_at <= self._runs(at):  # granted before: unknown to the leader
                del self.held[task]
                lost.append(task)
        for task, number in numbers.items():
            if task not in self.held and not same:
                # Its time was over here, or the grant's answer is lost or on its way: that one is void now.
                for one in [one for one, of in self._takes.items() if of == task]:
                    self._let_go(one)
                self.unheld[task] = number
        self.lost_count += len(lost)
        self._renew_at = at + self.duration_ms / PART if self.held else NEVER
        return lost

    def fencing_number(self, task: str, now: float) -> int:
        """The number for an order that leaves now; 0 where none may. Looked at right before each order."""
        held = self.held.get(task)
        if held is None or held.expires_at <= now:
            return 0
        return held.number

    def track_order(self, task: str, number: int, more: int) -> None:
        """An order left, or its answer came (`more` -1)."""
        held = self.held.get(task)
        if held is not None and held.number == number:
            held.orders_in_flight = max(0, held.orders_in_flight + more)

    def release(self, task: str) -> int:
        """Stop doing the task; the number to give back, 0 where an order is still out: what it does could
        overtake the giving back, and come after the next holder's."""
        held = self.held.get(task)
        if held is None or held.orders_in_flight:
            return 0
        del self.held[task]
        return held.number

    def tick(self, now: float) -> tuple[bool, list[str]]:
        """Whether to renew now, all by one ask; and the tasks whose time is over here."""
        over = [task for task, held in self.held.items() if held.expires_at <= now]
        for task in over:
            del self.held[task]
        self.lost_count += len(over)
        if not self.held:
            self._renew_at = NEVER
        renew = now >= self._renew_at
        if renew:  # and again soon, where no answer comes
            self._renew_at = now + self.duration_ms / PART / 4.0
        return renew, over

    def next_deadline(self) -> float:
        return min([self._renew_at, *(held.expires_at for held in self.held.values())])


def rendezvous_rank(task: str, living: list[str], me: str) -> int:
    """Who asks for a free task when: 0 asks at once, 1 after that one did not, and so on; by rendezvous
    (Thaler, Ravishankar 1998), so that a dead one's tasks go to many and no task moves else. The living by
    name; len(living) where this one is not among them."""
    ranked = sorted(living, key=lambda name: (xxhash.xxh3_64_intdigest(f"{task}\0{name}".encode()), name))
    return ranked.index(me) if me in ranked else len(ranked)

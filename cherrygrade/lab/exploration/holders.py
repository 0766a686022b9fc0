"""A model of one task's lease for exploration: two leaders after each other, two holders, one receiver, with
the product's own `leases/` and `consensus/fencing.py`.

The log is taken as agreed where the true leader writes it (that is the voters' model's matter). Real time
goes in steps; each process has a clock of its own pace, as far apart as the drift allows. Words may come at
any later time, again, or never; an order comes once, or never, at any later time, which covers a pause
between the look at the clock and the write. A leader that was deposed goes on as one until it hears of it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from cherrygrade.fleet.consensus.fencing import FencingGuard
from cherrygrade.fleet.leases.lease_holder import HeldLease, LeaseHolder
from cherrygrade.fleet.leases.lease_table import Acquire, Expire, Lease, LeaseTable, Release
from cherrygrade.fleet.leases.renewal_tracker import RenewalTracker
from cherrygrade.lab.exploration.explore import Breach, Told

TASK, FOR_MS, DRIFT, STEP_MS = "t", 2000.0, 0.25, 500.0
HOLDERS, LEADERS = ("x", "y"), ("a", "b")
PACES = {"x": 0.82, "y": 1.0, "a": 1.2, "b": 1.2}  # the worst: who holds is slow, who counts is quick


class Mind(NamedTuple):
    """A holder: its life, what it holds, when it asked."""

    life: int = 1
    number: int = 0
    ends: float = 0.0
    out: int = 0
    asked: tuple[tuple[str, float], ...] = ()


class Lead(NamedTuple):
    """A leader's memory; `proofs`: renewals that wait for a majority's word, with when their round began."""

    leads: bool = False
    begun: float = 0.0
    answered: tuple[tuple[str, int, float], ...] = ()
    freeing: frozenset[int] = frozenset()


class Word(NamedTuple):
    kind: str
    holder: str
    life: int
    asked: str
    number: int = 0
    leader: str = ""


class Order(NamedTuple):
    number: int
    holder: str
    life: int


class Now(NamedTuple):
    """`true`: who leads in truth. `owners` and `last` are ours: what was carried out, in order."""

    at: int
    true: int
    newest: int
    lease: Lease | None
    minds: tuple[Mind, ...]
    leads: tuple[Lead, ...]
    told: int
    flying: frozenset[Order]
    seen: int
    kept: int
    last: int
    owners: frozenset[tuple[int, str, int]]
    asks: int = 0
    orders: int = 0
    changes: int = 0
    crashes: int = 0
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    steps: int = 10
    asks: int = 3
    orders: int = 2
    changes: int = 1
    crashes: int = 1
    restarts: int = 1
    gives: bool = True
    who: str = ""
    """Who asks first, second and so on, where that is narrowed."""


@dataclass(frozen=True, slots=True)
class Planted:
    """Breakages, each to be found."""

    from_answer: bool = False  # an end is reckoned from the answer
    trusts: bool = False  # a new leader goes on with the old one's count
    unproven: bool = False  # a renewal is answered without a majority's proof
    forgets: bool = False  # a receiver forgets its number over a restart
    lives: bool = False  # another life of the holder goes on with the number
    overtakes: bool = False  # given back while an order is out


def clock(name: str, at: int) -> float:
    return at * STEP_MS * PACES[name]


class Holders:
    def __init__(self, bounds: Bounds, planted: Planted = Planted()) -> None:
        self.bounds, self.planted = bounds, planted
        self._told: Told[Word] = Told()

    def start(self) -> Now:
        leads = (Lead(True, 0.0), Lead())
        return Now(0, 0, 0, None, (Mind(), Mind()), leads, 0, frozenset(), 0, 0, 0, frozenset())

    # The product's objects from a state, and back.

    def _holding(self, name: str, mind: Mind) -> LeaseHolder:
        one = LeaseHolder(name, mind.life, FOR_MS, DRIFT)
        one.requested_at = dict(mind.asked)
        if mind.number:
            one.held[TASK] = HeldLease(TASK, mind.number, mind.ends, mind.out)
        return one

    def _mind(self, one: LeaseHolder, life: int) -> Mind:
        held = one.held.get(TASK)
        asked = tuple(sorted(one.requested_at.items()))
        return (
            Mind(life, held.number, held.expires_at, held.orders_in_flight, asked)
            if held
            else Mind(life, asked=asked)
        )

    def _grants(self, now: Now) -> LeaseTable:
        grants = LeaseTable()
        if now.lease is not None:
            grants._add(now.lease)
        return grants

    def _count(self, lead: Lead) -> RenewalTracker:
        count = RenewalTracker(DRIFT)
        count.leading_since = lead.begun
        count.answered_at = {(holder, life): at for holder, life, at in lead.answered}
        count.expiring = {*lead.freeing}
        return count

    def _lead(self, count: RenewalTracker) -> Lead:
        answered = tuple(sorted((holder, life, at) for (holder, life), at in count.answered_at.items()))
        return Lead(True, count.leading_since, answered, frozenset(count.expiring))

    # Steps.

    def steps(self, now: Now) -> Iterator[tuple[str, Now]]:
        bounds = self.bounds
        if now.at < bounds.steps:
            yield "time goes on", now._replace(at=now.at + 1)
        for at, name in enumerate(HOLDERS):
            yield from self._holder(now, at, name)
        for at, name in enumerate(LEADERS):
            if now.leads[at].leads:
                yield from self._leader(now, at, name)
        if now.changes < bounds.changes:
            yield "another leads", self._change(now)
        if now.restarts < bounds.restarts:
            seen = 0 if self.planted.forgets else now.kept
            yield "the receiver starts anew", now._replace(seen=seen, restarts=now.restarts + 1)
        for order in now.flying:
            yield f"the receiver hears {order.number} of {order.holder}", self._receive(now, order)

    def _holder(self, now: Now, at: int, name: str) -> Iterator[tuple[str, Now]]:
        bounds, mind, here = self.bounds, now.minds[at], clock(name, now.at)
        if now.asks < bounds.asks and bounds.who[now.asks : now.asks + 1] in ("", name):
            one = self._holding(name, mind)
            one._request_count = now.asks
            asked = one.start_request(here)
            kind = "renew" if mind.number else "take"
            word = Word(kind, name, mind.life, asked)
            more = self._put(now._replace(asks=now.asks + 1), at, self._mind(one, mind.life))
            yield f"{name} asks to {kind}", more._replace(told=more.told | self._told.mask([word]))
        one = self._holding(name, mind)
        if (number := one.fencing_number(TASK, here)) and now.orders < bounds.orders:
            one.track_order(TASK, number, 1)
            order = Order(number, name, mind.life)
            if order not in now.flying:
                more = self._put(now._replace(orders=now.orders + 1), at, self._mind(one, mind.life))
                yield f"{name} orders", more._replace(flying=now.flying | {order})
        one = self._holding(name, mind)
        if self.planted.overtakes and mind.number:
            one.held[TASK].orders_in_flight = 0
        if bounds.gives and (number := one.release(TASK)):
            if any(order.number == number for order in now.flying):
                raise Breach(f"{name} gave {number} back while its order is under way")
            word = Word("give", name, mind.life, "", number)
            more = self._put(now, at, self._mind(one, mind.life))
            yield f"{name} gives back", more._replace(told=now.told | self._told.mask([word]))
        if now.crashes < bounds.crashes:
            anew = Mind(mind.life + 1)
            if self.planted.lives:  # it finds its lease where it left it
                anew = mind._replace(life=mind.life + 1)
            more = self._put(now._replace(crashes=now.crashes + 1), at, anew)
            yield f"{name} starts anew", more
        for word in self._told.of(now.told):
            if word.holder == name and word.life == mind.life and word.kind in ("granted", "renewed"):
                one = self._holding(name, mind)
                if self.planted.from_answer and word.asked in one.requested_at:
                    one.requested_at[word.asked] = here
                if word.kind == "granted":
                    one.record_grant(word.asked, TASK, word.number, here)
                else:
                    one.record_renewal(word.asked, {TASK: word.number} if word.number else {}, here)
                after = self._mind(one, mind.life)
                if after != mind:
                    yield f"{name} hears {word.kind} {word.number}", self._put(now, at, after)

    def _leader(self, now: Now, at: int, name: str) -> Iterator[tuple[str, Now]]:
        here, true = clock(name, now.at), now.true == at
        for word in self._told.of(now.told):
            if word.kind == "take" and true:
                yield from self._agree(now, at, word, here)
            elif word.kind == "give" and true and now.lease and now.lease.number == word.number:
                grants = self._grants(now)
                grants.apply(now.newest + 1, Release(0.0, TASK, word.number))
                yield "the lease is free", now._replace(newest=now.newest + 1, lease=grants.leases.get(TASK))
            elif word.kind == "renew" and (true or self.planted.unproven):
                count = self._count(now.leads[at])
                numbers = count.renew(self._grants(now), word.holder, word.life, here)
                answer = word._replace(kind="renewed", number=numbers.get(TASK, 0), leader=name)
                if not true:  # it knows the log as it was; what it held then
                    answer = answer._replace(number=now.lease.number if now.lease else 0)
                yield f"{name} renews for {word.holder}", self._led(now, at, count, answer)
        if true:
            count = self._count(now.leads[at])
            if over := count.take_expired(self._grants(now), here):
                grants = self._grants(now)
                grants.apply(now.newest + 1, Expire(0.0, TASK, over[0].number))
                more = now._replace(newest=now.newest + 1, lease=grants.leases.get(TASK))
                yield f"{name} counted to the end", self._led(more, at, count, None)

    def _agree(self, now: Now, at: int, word: Word, here: float) -> Iterator[tuple[str, Now]]:
        grants, index = self._grants(now), now.newest + 1
        known = next(
            (
                w
                for w in self._told.of(now.told)
                if w.kind == "granted" and (w.holder, w.life, w.asked) == (word.holder, word.life, word.asked)
            ),
            None,
        )
        if known is not None or now.lease is not None:
            return  # answered before, by its id; or held
        told = grants.apply(index, Acquire(0.0, word.asked, TASK, word.holder, word.life, FOR_MS))
        count = self._count(now.leads[at])
        count.answered_at[(word.holder, word.life)] = here
        answer = word._replace(kind="granted", number=told.number)
        more = now._replace(newest=index, lease=grants.leases.get(TASK))
        yield f"{word.holder} is granted {told.number}", self._led(more, at, count, answer)

    def _change(self, now: Now) -> Now:
        at = 1 - now.true
        count = RenewalTracker(DRIFT)
        count.reset(clock(LEADERS[at], now.at))
        if self.planted.trusts:  # as the log has it: from when it was granted, or last renewed there
            old = now.leads[now.true]
            count = self._count(old)
            count.leading_since = old.begun
            count.answered_at = {}
        leads = [*now.leads]
        leads[at] = self._lead(count)
        return now._replace(true=at, leads=tuple(leads), changes=now.changes + 1)

    def _receive(self, now: Now, order: Order) -> Now:
        orders = FencingGuard({TASK: now.seen})
        flying = now.flying - {order}
        minds = [*now.minds]
        at = HOLDERS.index(order.holder)
        one = self._holding(order.holder, minds[at])
        if minds[at].life == order.life:
            one.track_order(TASK, order.number, -1)
            minds[at] = self._mind(one, order.life)
        if not orders.accept(TASK, order.number):
            return now._replace(flying=flying, minds=tuple(minds))
        if order.number < now.last:
            raise Breach(f"{order.number} of {order.holder} is carried out behind {now.last}")
        owners = now.owners | {order}
        if len({(o[1], o[2]) for o in owners if o[0] == order.number}) > 1:
            raise Breach(f"number {order.number} is of two lives: {sorted(owners)}")
        return now._replace(
            flying=flying,
            minds=tuple(minds),
            seen=order.number,
            kept=order.number,
            last=order.number,
            owners=frozenset((o[0], o[1], o[2]) for o in owners),
        )

    def _put(self, now: Now, at: int, mind: Mind) -> Now:
        return now._replace(minds=(*now.minds[:at], mind, *now.minds[at + 1 :]))

    def _led(self, now: Now, at: int, count: RenewalTracker, answer: Word | None) -> Now:
        leads = (*now.leads[:at], self._lead(count), *now.leads[at + 1 :])
        more = self._told.mask([answer]) if answer is not None else 0
        return now._replace(leads=leads, told=now.told | more)

    def wrong(self, now: Now) -> str:
        """Whatever receivers know: by their clocks two never may at one time."""
        may = [
            (name, number)
            for name, mind in zip(HOLDERS, now.minds, strict=True)
            if (number := self._holding(name, mind).fencing_number(TASK, clock(name, now.at)))
        ]
        return f"both may act: {may}" if len(may) > 1 else ""

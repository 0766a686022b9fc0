"""Room for bodies: asks the store, keeps time for what waits, tells owners what was decided."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from cherrygrade.interface import Earnings, Workload
from cherrygrade.peers.ladder import Step
from cherrygrade.peers.store import Account, Claim, Purse, Share, State, Store, waits
from cherrygrade.site import Pace, Trade

PURSE = 65536  # of one client's small pressed bodies; a body over an eighth of it is not small


class Owner(Protocol):
    """Who waits for room; one of both is told, once."""

    def roomy(self, claim: Claim) -> None:
        """The room is there."""

    def cramped(self, claim: Claim) -> None:
        """It did not come in time."""


class Rooms:
    """`presses` is the module's: whether a workload is pressed work.

    `_shares` is the site's volumes; `_timers` is emptied by room, by time and by owners that leave.
    """

    def __init__(
        self,
        trade: Trade,
        earnings: Earnings,
        presses: Callable[[Workload], bool],
        pace: Pace,
        most_body: int,
        log: Callable[..., None],
    ) -> None:
        # The largest body finds room at any time, alone if need be.
        room, batch = max(pace.room, most_body), max(pace.batch_room, most_body)
        self.store = Store(room, batch, pace.most_peer, pace.most_slow, earnings.in_share, earnings.beyond)
        self.bounded = pace.watch
        self._works = {
            name: (presses(work), work.value, work.soft_ms * pace.wait_part)
            for name, work in trade.workloads.items()
        }
        self._shares = {
            name: (Share(volume.plan.weight), volume.plan.price) for name, volume in trade.volumes.items()
        }
        self._timers: dict[Claim, asyncio.TimerHandle] = {}
        self.waited = self.cramped = 0  # since they were last told
        self._log = log

    def ask(
        self, account: Account, workload: str, volume: str, length: int, owner: Owner, left_ms: float
    ) -> Claim | None:
        """Room for one body; None where none is needed. Where the claim waits, its owner is told, before half
        of its time is over."""
        claim = self._claim(account, workload, volume, length, owner)
        if claim is None or self.store.take(claim):
            return claim
        self.store.wait(claim)
        self.admit()
        if waits(claim):
            self.waited += 1
            wait = max(0.0, min(self._works[workload][2], left_ms * 0.5))
            loop = asyncio.get_running_loop()
            self._timers[claim] = loop.call_later(wait / 1000.0, self._late, claim)
        return claim

    def _claim(self, account: Account, workload: str, volume: str, length: int, owner: Owner) -> Claim | None:
        """For work that the site knows, where room is bounded at all; the rest needs none."""
        work, place = self._works.get(workload), self._shares.get(volume)
        if work is None or place is None or not self.bounded:
            return None
        return Claim(account, place[0], length, work[0], work[1] * place[1], owner)

    def purse(self, account: Account, workload: str, volume: str, owner: Owner) -> Purse | None:
        """For pressed work, in plenty; None: each body takes its own room."""
        work = self._works.get(workload)
        if work is None or not work[0] or not self.store.plenty(PURSE):
            return None
        claim = self._claim(account, workload, volume, PURSE, owner)
        return Purse(claim, workload, volume) if claim is not None and self.store.take(claim) else None

    def unpin(self, claim: Claim) -> None:
        """One holder of its bytes less."""
        self.store.unpin(claim)
        if self.store.waits:
            self.admit()

    def leave(self, claim: Claim | None) -> None:
        """Its owner wants it no more, whether it waits or is in."""
        if claim is None:
            return
        if waits(claim):
            self._timers.pop(claim).cancel()
            self.store.drop(claim)
        elif claim.state is State.IN:
            self.unpin(claim)

    def mark(self, account: Account, step: Step) -> None:
        """A peer's standing changed, and its most with it."""
        self.store.mark(account, step)
        self.admit()

    def admit(self) -> None:
        into: list[Claim] = []
        self.store.admit(into)
        for claim in into:
            timer = self._timers.pop(claim, None)
            if timer is not None:  # else its owner is asking just now, and sees
                timer.cancel()
                claim.owner.roomy(claim)

    def _late(self, claim: Claim) -> None:
        del self._timers[claim]
        self.store.drop(claim)
        self.cramped += 1
        claim.owner.cramped(claim)

    def tell(self) -> None:
        """What shortage did since the last line; silent where there was none."""
        if self.waited:
            self._log("room", waited=self.waited, turned_away=self.cramped, used=self.store.used)
        self.waited = self.cramped = 0

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

"""Room for bodies: asks the store, keeps time for what waits, tells owners what was decided."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from cherrygrade.peers.ladder import Step
from cherrygrade.peers.store import Account, Claim, Purse, Share, State, Store, waits
from cherrygrade.scheduling.model import UtilityModel, Workload
from cherrygrade.settings import FlowControlSettings, TrafficSettings

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
        trade: TrafficSettings,
        earnings: UtilityModel,
        presses: Callable[[Workload], bool],
        pace: FlowControlSettings,
        most_body: int,
        log: Callable[..., None],
    ) -> None:
        # The largest body finds room at any time, alone if need be.
        room, batch = max(pace.room, most_body), max(pace.batch_room, most_body)
        self.store = Store(
            room, batch, pace.most_peer, pace.most_slow, earnings.within_quota, earnings.beyond_quota
        )
        self.bounded, self._wait_part = pace.watch, pace.wait_part
        self._works: dict[str, tuple[bool, float, float]] = {}
        self._shares: dict[str, tuple[Share, float]] = {}
        self.put(trade, earnings, presses, set(), set())
        self._timers: dict[Claim, asyncio.TimerHandle] = {}
        self.waited = self.cramped = 0  # since they were last told
        self._log = log

    def put(
        self,
        trade: TrafficSettings,
        earnings: UtilityModel,
        presses: Callable[[Workload], bool],
        workloads: set[str],
        volumes: set[str],
    ) -> None:
        """Go by these settings from now on. What is in, and what waits, stays where it is; `workloads` and
        `volumes` are of RPCs that are held, and stay known where these settings name them no more."""
        works = {name: work for name, work in self._works.items() if name in workloads}
        for name, work in trade.workloads.items():
            works[name] = (presses(work), work.priority_weight, work.latency_objective_ms * self._wait_part)
        shares = {name: share for name, share in self._shares.items() if name in volumes}
        for name, volume in trade.volumes.items():
            share = self._shares[name][0] if name in self._shares else Share(volume.plan.weight)
            shares[name] = (share, volume.plan.price)
        for name, volume in trade.volumes.items():
            self.store.reweigh(shares[name][0], volume.plan.weight)
        self.store.in_share, self.store.beyond = earnings.within_quota, earnings.beyond_quota
        self._works, self._shares = works, shares

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

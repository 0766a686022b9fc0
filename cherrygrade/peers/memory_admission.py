"""Room for bodies: asks the store, keeps time for what waits, tells owners what was decided."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from cherrygrade.peers.memory_budget import (
    Account,
    MemoryBudget,
    PrepaidCredit,
    Reservation,
    State,
    VolumeUsage,
    is_waiting,
)
from cherrygrade.peers.slow_peer_escalation import Step
from cherrygrade.scheduling.model import UtilityModel, Workload
from cherrygrade.settings import FlowControlSettings, TrafficSettings

PREPAID_CREDIT_BYTES = 65536  # of one client's small pressed bodies; a body over an eighth of it is not small


class Owner(Protocol):
    """Who waits for room; one of both is told, once."""

    def reservation_granted(self, claim: Reservation) -> None:
        """The room is there."""

    def reservation_timed_out(self, claim: Reservation) -> None:
        """It did not come in time."""


class MemoryAdmission:
    """`presses` is the module's: whether a workload is pressed work.

    `_volumes` is the site's volumes; `_timers` is emptied by room, by time and by owners that leave.
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
        self.budget = MemoryBudget(
            room, batch, pace.most_peer, pace.most_slow, earnings.within_quota, earnings.beyond_quota
        )
        self.is_limited, self._wait_part = pace.watch, pace.wait_part
        self._workloads: dict[str, tuple[bool, float, float]] = {}
        self._volumes: dict[str, tuple[VolumeUsage, float]] = {}
        self.apply_settings(trade, earnings, presses, set(), set())
        self._timers: dict[Reservation, asyncio.TimerHandle] = {}
        self.waited = self.cramped = 0  # since they were last told
        self._log = log

    def apply_settings(
        self,
        trade: TrafficSettings,
        earnings: UtilityModel,
        presses: Callable[[Workload], bool],
        workloads: set[str],
        volumes: set[str],
    ) -> None:
        """Go by these settings from now on. What is in, and what waits, stays where it is; `workloads` and
        `volumes` are of RPCs that are held, and stay known where these settings name them no more."""
        works = {name: work for name, work in self._workloads.items() if name in workloads}
        for name, work in trade.workloads.items():
            works[name] = (presses(work), work.priority_weight, work.latency_objective_ms * self._wait_part)
        shares = {name: share for name, share in self._volumes.items() if name in volumes}
        for name, volume in trade.volumes.items():
            share = self._volumes[name][0] if name in self._volumes else VolumeUsage(volume.plan.weight)
            shares[name] = (share, volume.plan.price)
        for name, volume in trade.volumes.items():
            self.budget.reweigh(shares[name][0], volume.plan.weight)
        self.budget.value_within_quota, self.budget.value_beyond_quota = (
            earnings.within_quota,
            earnings.beyond_quota,
        )
        self._workloads, self._volumes = works, shares

    def reserve(
        self, account: Account, workload: str, volume: str, length: int, owner: Owner, left_ms: float
    ) -> Reservation | None:
        """Room for one body; None where none is needed. Where the claim waits, its owner is told, before half
        of its time is over."""
        claim = self._claim(account, workload, volume, length, owner)
        if claim is None or self.budget.take(claim):
            return claim
        self.budget.wait(claim)
        self.admit()
        if is_waiting(claim):
            self.waited += 1
            wait = max(0.0, min(self._workloads[workload][2], left_ms * 0.5))
            loop = asyncio.get_running_loop()
            self._timers[claim] = loop.call_later(wait / 1000.0, self._late, claim)
        return claim

    def _claim(
        self, account: Account, workload: str, volume: str, length: int, owner: Owner
    ) -> Reservation | None:
        """For work that the site knows, where room is bounded at all; the rest needs none."""
        work, place = self._workloads.get(workload), self._volumes.get(volume)
        if work is None or place is None or not self.is_limited:
            return None
        return Reservation(account, place[0], length, work[0], work[1] * place[1], owner)

    def open_credit(self, account: Account, workload: str, volume: str, owner: Owner) -> PrepaidCredit | None:
        """For pressed work, in plenty; None: each body takes its own room."""
        work = self._workloads.get(workload)
        if work is None or not work[0] or not self.budget.plenty(PREPAID_CREDIT_BYTES):
            return None
        claim = self._claim(account, workload, volume, PREPAID_CREDIT_BYTES, owner)
        return (
            PrepaidCredit(claim, workload, volume) if claim is not None and self.budget.take(claim) else None
        )

    def unpin(self, claim: Reservation) -> None:
        """One holder of its bytes less."""
        self.budget.unpin(claim)
        if self.budget.waiting_count:
            self.admit()

    def release(self, claim: Reservation | None) -> None:
        """Its owner wants it no more, whether it waits or is in."""
        if claim is None:
            return
        if is_waiting(claim):
            self._timers.pop(claim).cancel()
            self.budget.drop(claim)
        elif claim.state is State.IN:
            self.unpin(claim)

    def set_step(self, account: Account, step: Step) -> None:
        """A peer's standing changed, and its most with it."""
        self.budget.mark(account, step)
        self.admit()

    def admit(self) -> None:
        into: list[Reservation] = []
        self.budget.admit(into)
        for claim in into:
            timer = self._timers.pop(claim, None)
            if timer is not None:  # else its owner is asking just now, and sees
                timer.cancel()
                claim.owner.reservation_granted(claim)

    def _late(self, claim: Reservation) -> None:
        del self._timers[claim]
        self.budget.drop(claim)
        self.cramped += 1
        claim.owner.reservation_timed_out(claim)

    def log_shortage(self) -> None:
        """What shortage did since the last line; silent where there was none."""
        if self.waited:
            self._log("room", waited=self.waited, turned_away=self.cramped, used=self.budget.used_bytes)
        self.waited = self.cramped = 0

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

"""Reservations of memory for bodies: applies the memory budget, times out what waits and notifies owners."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from cherrygrade.peers.memory_budget import (
    Account,
    MemoryBudget,
    PrepaidCredit,
    Reservation,
    ReservationState,
    VolumeUsage,
    is_waiting,
)
from cherrygrade.peers.slow_peer_escalation import Step
from cherrygrade.scheduling.model import UtilityModel, Workload
from cherrygrade.settings import FlowControlSettings, TrafficSettings

PREPAID_CREDIT_BYTES = 65536
"""Credit for the small pressed bodies of one client; a body above an eighth of it is not small."""


class Owner(Protocol):
    """Waits for a reservation.

    One of the two methods is called, once, unless the owner releases the reservation before.
    """

    def reservation_granted(self, reservation: Reservation) -> None:
        """Handle that the memory is reserved now."""

    def reservation_timed_out(self, reservation: Reservation) -> None:
        """Handle that the memory did not become available in time."""


class MemoryAdmission:
    """Reserves memory for the bodies of known workloads and volumes.

    Attributes:
        budget: The memory budget of the process.
        is_limited: Memory is limited at all; otherwise no reservation is needed.
        waited: Number of reservations that had to wait since the last log line.
        timed_out: Number of reservations that timed out since the last log line.
    """

    def __init__(
        self,
        traffic: TrafficSettings,
        utility: UtilityModel,
        is_pressed: Callable[[Workload], bool],
        settings: FlowControlSettings,
        max_body_bytes: int,
        log: Callable[..., None],
    ) -> None:
        """Set up the budget.

        Args:
            traffic: Workloads and volumes.
            utility: What work is worth within its volume's quota and beyond it.
            is_pressed: Returns whether a workload is pressed work, as the scheduler decides.
            settings: Limits of memory.
            max_body_bytes: Size of the largest body.
            log: Writes a log event.
        """
        # The largest body must fit at any time, if need be as the only one.
        capacity, batch_capacity = (
            max(settings.room, max_body_bytes),
            max(settings.batch_room, max_body_bytes),
        )
        self.budget = MemoryBudget(
            capacity,
            batch_capacity,
            settings.most_peer,
            settings.most_slow,
            utility.within_quota,
            utility.beyond_quota,
        )
        self.is_limited, self._max_wait_fraction = settings.watch, settings.wait_part
        # By workload: whether it is pressed, its value and how long a reservation may wait, ms.
        self._workloads: dict[str, tuple[bool, float, float]] = {}
        # By volume: its memory use and its price.
        self._volumes: dict[str, tuple[VolumeUsage, float]] = {}
        self.apply_settings(traffic, utility, is_pressed, set(), set())
        # Of waiting reservations; an entry is removed when the reservation is granted, released or times out.
        self._timers: dict[Reservation, asyncio.TimerHandle] = {}
        self.waited = self.timed_out = 0
        self._log = log

    def apply_settings(
        self,
        traffic: TrafficSettings,
        utility: UtilityModel,
        is_pressed: Callable[[Workload], bool],
        workloads: set[str],
        volumes: set[str],
    ) -> None:
        """Replace the settings; granted and waiting reservations stay as they are.

        Args:
            traffic: Workloads and volumes from now on.
            utility: What work is worth from now on.
            is_pressed: Returns whether a workload is pressed work.
            workloads: Workloads of requests in progress, which stay known even if `traffic` lacks them.
            volumes: Volumes of requests in progress, which stay known even if `traffic` lacks them.
        """
        workload_terms = {name: terms for name, terms in self._workloads.items() if name in workloads}
        for name, workload in traffic.workloads.items():
            workload_terms[name] = (
                is_pressed(workload),
                workload.priority_weight,
                workload.latency_objective_ms * self._max_wait_fraction,
            )
        volume_terms = {name: known for name, known in self._volumes.items() if name in volumes}
        for name, volume in traffic.volumes.items():
            usage = self._volumes[name][0] if name in self._volumes else VolumeUsage(volume.plan.weight)
            volume_terms[name] = (usage, volume.plan.price)
        for name, volume in traffic.volumes.items():
            self.budget.set_weight(volume_terms[name][0], volume.plan.weight)
        self.budget.value_within_quota, self.budget.value_beyond_quota = (
            utility.within_quota,
            utility.beyond_quota,
        )
        self._workloads, self._volumes = workload_terms, volume_terms

    def reserve(
        self, account: Account, workload: str, volume: str, length: int, owner: Owner, remaining_ms: float
    ) -> Reservation | None:
        """Reserve memory for one body.

        If the reservation has to wait, its owner is notified when it is granted or times out, which is within
        half of the request's remaining time.

        Args:
            account: The peer that the body comes from or goes to.
            workload: Workload of the request.
            volume: Volume of the request.
            length: Size of the body, bytes.
            owner: Is notified if the reservation has to wait.
            remaining_ms: Time until the request's deadline, ms.

        Returns:
            The reservation, granted or waiting; None if none is needed.
        """
        reservation = self._new_reservation(account, workload, volume, length, owner)
        if reservation is None or self.budget.try_reserve(reservation):
            return reservation
        self.budget.enqueue(reservation)
        self.grant_waiting()
        if is_waiting(reservation):
            self.waited += 1
            wait_ms = max(0.0, min(self._workloads[workload][2], remaining_ms * 0.5))
            loop = asyncio.get_running_loop()
            self._timers[reservation] = loop.call_later(wait_ms / 1000.0, self._time_out, reservation)
        return reservation

    def _new_reservation(
        self, account: Account, workload: str, volume: str, length: int, owner: Owner
    ) -> Reservation | None:
        """Return None if memory is not limited, or if the workload or the volume is unknown."""
        workload_terms, volume_terms = self._workloads.get(workload), self._volumes.get(volume)
        if workload_terms is None or volume_terms is None or not self.is_limited:
            return None
        return Reservation(
            account, volume_terms[0], length, workload_terms[0], workload_terms[1] * volume_terms[1], owner
        )

    def open_credit(self, account: Account, workload: str, volume: str, owner: Owner) -> PrepaidCredit | None:
        """Open a credit for the small bodies of a pressed workload.

        Returns:
            The credit; None if the work is not pressed or memory is not plentiful. Then each body needs a
            reservation of its own.
        """
        terms = self._workloads.get(workload)
        if terms is None or not terms[0] or not self.budget.is_plentiful(PREPAID_CREDIT_BYTES):
            return None
        reservation = self._new_reservation(account, workload, volume, PREPAID_CREDIT_BYTES, owner)
        return (
            PrepaidCredit(reservation, workload, volume)
            if reservation is not None and self.budget.try_reserve(reservation)
            else None
        )

    def unpin(self, reservation: Reservation) -> None:
        """Remove a user of the body's bytes; with the last one the memory is released."""
        self.budget.unpin(reservation)
        if self.budget.waiting_count:
            self.grant_waiting()

    def release(self, reservation: Reservation | None) -> None:
        """Give up the owner's interest in a reservation, whether it waits or is granted."""
        if reservation is None:
            return
        if is_waiting(reservation):
            self._timers.pop(reservation).cancel()
            self.budget.cancel(reservation)
        elif reservation.state is ReservationState.GRANTED:
            self.unpin(reservation)

    def set_step(self, account: Account, step: Step) -> None:
        """Set the escalation step of a peer, and with it the peer's memory limit."""
        self.budget.set_step(account, step)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant the waiting reservations that now fit, and notify their owners."""
        granted: list[Reservation] = []
        self.budget.grant_waiting(granted)
        for reservation in granted:
            timer = self._timers.pop(reservation, None)
            if timer is not None:  # without a timer, `reserve` is still running and returns the reservation
                timer.cancel()
                reservation.owner.reservation_granted(reservation)

    def _time_out(self, reservation: Reservation) -> None:
        del self._timers[reservation]
        self.budget.cancel(reservation)
        self.timed_out += 1
        reservation.owner.reservation_timed_out(reservation)

    def log_shortage(self) -> None:
        """Log how many reservations waited and timed out since the last call, if any waited."""
        if self.waited:
            self._log(
                "memory for bodies was short",
                waited=self.waited,
                turned_away=self.timed_out,
                used=self.budget.used_bytes,
            )
        self.waited = self.timed_out = 0

    def close(self) -> None:
        """Cancel all timers; owners are not notified."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

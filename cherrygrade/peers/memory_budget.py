"""The process's memory budget for request and response bodies.

Each body reserves its memory before it is received, and releases it once nothing refers to its bytes any
more. A part of the memory is reserved for pressed work. One peer, and all slow peers together, have limits of
their own. When memory is short, waiting reservations are granted by the value of their work, which depends on
whether their volume is within its share of the memory; among equals, the volume that uses least for its
weight is first. Uses no I/O, clock or random source.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from heapq import heapify, heappop, heappush
from typing import Any

from cherrygrade.peers.slow_peer_escalation import Step

NARROW_DIVISOR = 8.0
"""The limit of a peer at `Step.NARROW` is smaller by this factor."""


class VolumeUsage:
    """Memory that one volume uses, and its weight, which is above 0."""

    __slots__ = ("used_bytes", "weight")

    def __init__(self, weight: float) -> None:
        self.weight, self.used_bytes = max(weight, 1e-6), 0


class Account:
    """Memory that one peer uses.

    Attributes:
        used_bytes: Memory of the peer's granted reservations.
        step: The escalation step of the peer.
        waiting: Reservations that wait for the peer's own limit, in the order of their rank.
    """

    __slots__ = ("step", "used_bytes", "waiting")

    def __init__(self) -> None:
        self.used_bytes, self.step = 0, Step.FREE
        self.waiting: deque[Reservation] = deque()


class ReservationState(Enum):
    """The states of a reservation, in order.

    A reservation that is granted at once skips WAITING, and one that is canceled skips GRANTED.
    """

    NEW = 0
    WAITING = 1
    GRANTED = 2
    RELEASED = 3


class Reservation:
    """Memory for one body.

    Attributes:
        account: The peer that the body comes from or goes to.
        volume_usage: The memory use of the body's volume.
        length: Size of the body, bytes.
        is_pressed: The body belongs to pressed work.
        value: What the work is worth within its volume's quota, before that is weighed.
        owner: Notified when a waiting reservation is granted or times out.
        state: Whether the reservation waits, is granted or is released.
        rank: Order among waiting reservations, lowest first; set when the reservation starts to wait.
        pins: Number of users of the body's bytes, set when the reservation is granted; at 0 it is released.
    """

    __slots__ = (
        "account",
        "is_pressed",
        "length",
        "owner",
        "pins",
        "rank",
        "state",
        "value",
        "volume_usage",
    )
    rank: tuple[float, float, int]
    pins: int

    def __init__(
        self,
        account: Account,
        volume_usage: VolumeUsage,
        length: int,
        is_pressed: bool,
        value: float,
        owner: Any,
    ) -> None:
        self.account, self.volume_usage, self.length = account, volume_usage, length
        self.is_pressed, self.value, self.owner = is_pressed, value, owner
        self.state = ReservationState.NEW

    def pin(self) -> None:
        """Add a user of the body's bytes; `MemoryBudget.unpin` removes one."""
        self.pins += 1


def is_waiting(reservation: Reservation | None) -> bool:
    """Return whether there is a reservation and it waits for memory."""
    return reservation is not None and reservation.state is ReservationState.WAITING


class PrepaidCredit:
    """One reservation that the small pressed bodies of a client and volume share while memory is plentiful.

    A reservation for each of them would cost more than the memory that they occupy. `spent` counts the bytes
    of bodies in progress. Bytes that wait to be sent to the client count too, so that all of these bodies
    together never occupy more than the reservation.
    """

    __slots__ = ("reservation", "spent", "volume", "workload")

    def __init__(self, reservation: Reservation, workload: str, volume: str) -> None:
        self.reservation, self.workload, self.volume, self.spent = reservation, workload, volume, 0

    def spend(self, workload: str, volume: str, length: int, unsent_bytes: int) -> bool:
        """Charge one more body to the credit, if the credit is for its workload and volume and is sufficient.

        Args:
            workload: Workload of the body.
            volume: Volume of the body.
            length: Size of the body, bytes.
            unsent_bytes: Bytes that wait to be sent to the client.

        Returns:
            Whether the body was charged.
        """
        if workload != self.workload or volume != self.volume:
            return False
        if self.spent + unsent_bytes + length > self.reservation.length:
            return False
        self.spent += length
        return True


class Shortage(Enum):
    """The limit that a reservation does not fit into."""

    NONE = 0
    CAPACITY = 1
    PEER = 2
    SLOW_PEERS = 3


class MemoryBudget:
    """Grants reservations within the capacity, and orders those that wait.

    A peer without a granted reservation may always have one, and so may the slow peers together: their own
    limits never keep out a large body for good.

    Attributes:
        capacity_bytes: Memory in total.
        batch_capacity_bytes: Memory that batch work may use of it.
        max_peer_bytes: Limit of one peer.
        max_slow_bytes: Limit of all slow peers together.
        value_within_quota: Value of work, relative, while its volume is within its share of the memory.
            Shares go by weight among the volumes that use memory.
        value_beyond_quota: Value of work, relative, beyond this share.
        used_bytes, batch_bytes, slow_bytes: Granted memory in total, of batch work and of slow peers.
        waiting_count: Number of reservations that wait.
    """

    def __init__(
        self,
        capacity_bytes: int,
        batch_capacity_bytes: int,
        max_peer_bytes: int,
        max_slow_bytes: int,
        value_within_quota: float,
        value_beyond_quota: float,
    ) -> None:
        self.capacity_bytes, self.batch_capacity_bytes, self.max_peer_bytes, self.max_slow_bytes = (
            capacity_bytes,
            batch_capacity_bytes,
            max_peer_bytes,
            max_slow_bytes,
        )
        self.value_within_quota, self.value_beyond_quota = value_within_quota, value_beyond_quota
        self.used_bytes = self.batch_bytes = self.slow_bytes = 0
        self.waiting_count = 0
        # The sum of the weights of volumes that use memory; the number of reservations that ever waited.
        self._active_weight, self._enqueued_count = 0.0, 0
        # Heaps by rank. Canceled reservations are skipped, and removed once they are the majority.
        self._pressed: list[tuple[tuple[float, float, int], Reservation]] = []
        self._batch: list[tuple[tuple[float, float, int], Reservation]] = []
        # Reservations that wait for the limit of slow peers, in the order in which they were kept out.
        self._slow_waiting: deque[Reservation] = deque()

    def try_reserve(self, reservation: Reservation) -> bool:
        """Grant a new reservation if it fits and no waiting one goes before it.

        Waiting batch work goes before new batch work only; waiting pressed work goes before all new work.

        Returns:
            Whether the reservation was granted.
        """
        if self.waiting_count and (self._pressed or (self._batch and not reservation.is_pressed)):
            return False
        if self._shortage(reservation) is not Shortage.NONE:
            return False
        self._grant(reservation)
        return True

    def enqueue(self, reservation: Reservation) -> None:
        """Let a reservation that was not granted wait for memory, until it is granted or canceled."""
        self._enqueued_count += 1
        usage = reservation.volume_usage
        share_bytes = (
            self.capacity_bytes
            * usage.weight
            / max(self._active_weight + (0.0 if usage.used_bytes else usage.weight), 1e-6)
        )
        relative_value = (
            self.value_within_quota
            if usage.used_bytes + reservation.length <= share_bytes
            else self.value_beyond_quota
        )
        reservation.rank = (
            -reservation.value * relative_value,
            usage.used_bytes / usage.weight,
            self._enqueued_count,
        )
        reservation.state = ReservationState.WAITING
        self.waiting_count += 1
        self._push(reservation)

    def cancel(self, reservation: Reservation) -> None:
        """Withdraw a reservation that waits; does nothing to any other."""
        if reservation.state is not ReservationState.WAITING:
            return
        reservation.state = ReservationState.RELEASED
        self.waiting_count -= 1
        self._sweep()

    def set_weight(self, usage: VolumeUsage, weight: float) -> None:
        """Change the weight of a volume. Granted reservations stay, and waiting ones keep their rank."""
        if usage.used_bytes:
            self._active_weight += max(weight, 1e-6) - usage.weight
        usage.weight = max(weight, 1e-6)

    def is_plentiful(self, length: int) -> bool:
        """Return whether nothing waits, and half of the memory stays free with `length` more bytes in use."""
        return not self.waiting_count and self.used_bytes + length <= self.capacity_bytes // 2

    def unpin(self, reservation: Reservation) -> None:
        """Remove a user of the body's bytes.

        With the last one the memory is released, and `grant_waiting` may be able to grant others.
        """
        reservation.pins -= 1
        if reservation.pins:
            return
        reservation.state = ReservationState.RELEASED
        account, usage, length = reservation.account, reservation.volume_usage, reservation.length
        account.used_bytes -= length
        usage.used_bytes -= length
        self.used_bytes -= length
        if not reservation.is_pressed:
            self.batch_bytes -= length
        if account.step:
            self.slow_bytes -= length
        if not usage.used_bytes:
            self._active_weight -= usage.weight
        if account.waiting:
            self._requeue_first(account)

    def set_step(self, account: Account, step: Step) -> None:
        """Set the escalation step of a peer, which its limits depend on."""
        if bool(step) != bool(account.step):
            self.slow_bytes += account.used_bytes if step else -account.used_bytes
        account.step = step
        moved = [reservation for reservation in self._slow_waiting if reservation.account is account]
        if moved:
            self._slow_waiting = deque(
                reservation for reservation in self._slow_waiting if reservation.account is not account
            )
            for reservation in moved:
                self._push(reservation)
        self._requeue_first(account)

    def grant_waiting(self, granted: list[Reservation]) -> None:
        """Grant the waiting reservations that now fit, by rank, and append them to `granted`."""
        while self._slow_waiting:
            reservation = self._slow_waiting[0]
            if (
                reservation.state is ReservationState.WAITING
                and self._shortage(reservation) is Shortage.SLOW_PEERS
            ):
                break
            self._slow_waiting.popleft()
            if reservation.state is ReservationState.WAITING:
                self._push(reservation)
        for heap in (self._pressed, self._batch):
            while heap:
                reservation = heap[0][1]
                shortage = (
                    self._shortage(reservation)
                    if reservation.state is ReservationState.WAITING
                    else Shortage.NONE
                )
                if shortage is Shortage.CAPACITY:
                    return  # a reservation of less value does not overtake it
                heappop(heap)
                if shortage is Shortage.PEER:
                    reservation.account.waiting.append(reservation)
                elif shortage is Shortage.SLOW_PEERS:
                    self._slow_waiting.append(reservation)
                elif reservation.state is ReservationState.WAITING:
                    self.waiting_count -= 1
                    self._grant(reservation)
                    granted.append(reservation)
                    self._requeue_first(reservation.account)

    def _shortage(self, reservation: Reservation) -> Shortage:
        account, length = reservation.account, reservation.length
        if account.used_bytes:
            limit = (
                self.max_peer_bytes if account.step < Step.NARROW else self.max_peer_bytes / NARROW_DIVISOR
            )
            if account.used_bytes + length > limit:
                return Shortage.PEER
        if account.step and self.slow_bytes and self.slow_bytes + length > self.max_slow_bytes:
            return Shortage.SLOW_PEERS
        if self.used_bytes + length > self.capacity_bytes:
            return Shortage.CAPACITY
        if not reservation.is_pressed and self.batch_bytes + length > self.batch_capacity_bytes:
            return Shortage.CAPACITY
        return Shortage.NONE

    def _grant(self, reservation: Reservation) -> None:
        account, usage, length = reservation.account, reservation.volume_usage, reservation.length
        if not usage.used_bytes:
            self._active_weight += usage.weight
        account.used_bytes += length
        usage.used_bytes += length
        self.used_bytes += length
        if not reservation.is_pressed:
            self.batch_bytes += length
        if account.step:
            self.slow_bytes += length
        reservation.pins, reservation.state = 1, ReservationState.GRANTED

    def _push(self, reservation: Reservation) -> None:
        heappush(self._pressed if reservation.is_pressed else self._batch, (reservation.rank, reservation))

    def _requeue_first(self, account: Account) -> None:
        """Move the first reservation that waits for the peer's limit back to the heaps, if it fits now."""
        waiting = account.waiting
        while waiting and waiting[0].state is not ReservationState.WAITING:
            waiting.popleft()
        if waiting and self._shortage(waiting[0]) is not Shortage.PEER:
            self._push(waiting.popleft())

    def _sweep(self) -> None:
        """Remove canceled reservations once there are more than 64 entries and most of them are canceled."""
        entry_count = len(self._pressed) + len(self._batch) + len(self._slow_waiting)
        if entry_count <= 64 or entry_count <= 2 * self.waiting_count:
            return
        for heap in (self._pressed, self._batch):
            heap[:] = [entry for entry in heap if entry[1].state is ReservationState.WAITING]
            heapify(heap)
        self._slow_waiting = deque(
            reservation for reservation in self._slow_waiting if reservation.state is ReservationState.WAITING
        )

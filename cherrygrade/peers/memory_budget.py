"""One store of bytes for the process: which bodies may come in, and in what order where room is short.

Every body takes its room before it is received and gives it back when nothing holds its bytes any more. A
part of the room is for pressed work alone; one peer, and all slow peers together, have a most. Where room is
short what waits goes in by what it earns: value at the level its volume's use of the store leaves it, the
volume with least for its weight first among equals. Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from heapq import heapify, heappop, heappush
from typing import Any

from cherrygrade.peers.slow_peer_escalation import Step

NARROW = 8.0  # a narrowed peer's most is this much smaller


class VolumeUsage:
    """What one volume has in the store."""

    __slots__ = ("used_bytes", "weight")

    def __init__(self, weight: float) -> None:
        self.weight, self.used_bytes = max(weight, 1e-6), 0


class Account:
    """What one peer has in the store; `waiting` holds its claims that its own most keeps out."""

    __slots__ = ("step", "used_bytes", "waiting")

    def __init__(self) -> None:
        self.used_bytes, self.step = 0, Step.FREE
        self.waiting: deque[Reservation] = deque()


class State(Enum):
    NEW = 0
    WAITS = 1
    IN = 2
    GONE = 3


class Reservation:
    """Room for one body. `pins` counts who holds its bytes; at none the room is free again."""

    __slots__ = ("account", "length", "owner", "pins", "pressed", "rank", "share", "state", "value")
    rank: tuple[float, float, int]  # known once it waits
    pins: int  # counted once it is in

    def __init__(
        self, account: Account, share: VolumeUsage, length: int, pressed: bool, value: float, owner: Any
    ) -> None:
        self.account, self.share, self.length = account, share, length
        self.pressed, self.value, self.owner = pressed, value, owner
        self.state = State.NEW

    def pin(self) -> None:
        """One holder of its bytes more; `MemoryBudget.unpin` takes it back."""
        self.pins += 1


def is_waiting(claim: Reservation | None) -> bool:
    return claim is not None and claim.state is State.WAITS


class PrepaidCredit:
    """One claim that a client's small pressed bodies of one volume share while room is plenty.

    Counting each of them costs more than they occupy. `spent` is what is under way; what was handed over and
    waits for the client counts as well, so that all of them together are never more than the claim.
    """

    __slots__ = ("reservation", "spent", "volume", "workload")

    def __init__(self, claim: Reservation, workload: str, volume: str) -> None:
        self.reservation, self.workload, self.volume, self.spent = claim, workload, volume, 0

    def spend(self, workload: str, volume: str, length: int, waiting: int) -> bool:
        """Whether it pays for one more body; `waiting` bytes wait for the client already."""
        if workload != self.workload or volume != self.volume:
            return False
        if self.spent + waiting + length > self.reservation.length:
            return False
        self.spent += length
        return True


class Short(Enum):
    """What keeps a claim out."""

    NOT = 0
    ROOM = 1
    PEER = 2
    SLOW = 3


class MemoryBudget:
    """`room` bytes, of which batch may take `batch_room`; one peer `peer`, slow ones together `slow`.

    A peer with nothing in, and slow peers with nothing in, may always have one body: no limit of their own
    keeps a large body out for good. `in_share` and `beyond` are what work earns within its volume's share of
    the store, by weight among the volumes that use it, and beyond.
    """

    def __init__(
        self, room: int, batch_room: int, peer: int, slow: int, in_share: float, beyond: float
    ) -> None:
        self.capacity_bytes, self.batch_capacity_bytes, self.peer, self.most_slow = (
            room,
            batch_room,
            peer,
            slow,
        )
        self.value_within_quota, self.value_beyond_quota = in_share, beyond
        self.used_bytes = self.batch_bytes = self.slow_bytes = 0
        self.waiting_count = 0  # claims that wait
        self._weights, self._count = 0.0, 0
        # Both in order of rank; claims that went away are passed over, and swept when they are most of it.
        self._pressed: list[tuple[tuple[float, float, int], Reservation]] = []
        self._batch: list[tuple[tuple[float, float, int], Reservation]] = []
        self._aside: deque[Reservation] = deque()  # kept out by the slow peers' most, in the order they came

    def take(self, claim: Reservation) -> bool:
        """Room at once, where nothing that waits has the better right to it."""
        if self.waiting_count and (self._pressed or (self._batch and not claim.pressed)):
            return False
        if self._short(claim) is not Short.NOT:
            return False
        self._in(claim)
        return True

    def wait(self, claim: Reservation) -> None:
        """It could not be taken in: it waits for room till `drop`."""
        self._count += 1
        share = claim.share
        own = (
            self.capacity_bytes
            * share.weight
            / max(self._weights + (0.0 if share.used_bytes else share.weight), 1e-6)
        )
        level = self.value_within_quota if share.used_bytes + claim.length <= own else self.value_beyond_quota
        claim.rank = (-claim.value * level, share.used_bytes / share.weight, self._count)
        claim.state = State.WAITS
        self.waiting_count += 1
        self._queue(claim)

    def drop(self, claim: Reservation) -> None:
        """It waits no longer."""
        if claim.state is not State.WAITS:
            return
        claim.state = State.GONE
        self.waiting_count -= 1
        self._sweep()

    def reweigh(self, share: VolumeUsage, weight: float) -> None:
        """A volume's weight changes; what is in and what waits keeps the place that it has."""
        if share.used_bytes:
            self._weights += max(weight, 1e-6) - share.weight
        share.weight = max(weight, 1e-6)

    def plenty(self, length: int) -> bool:
        """So much more leaves half of the room free."""
        return not self.waiting_count and self.used_bytes + length <= self.capacity_bytes // 2

    def unpin(self, claim: Reservation) -> None:
        """One holder less; with the last the room is given back, and `admit` may let others in."""
        claim.pins -= 1
        if claim.pins:
            return
        claim.state = State.GONE
        account, share, length = claim.account, claim.share, claim.length
        account.used_bytes -= length
        share.used_bytes -= length
        self.used_bytes -= length
        if not claim.pressed:
            self.batch_bytes -= length
        if account.step:
            self.slow_bytes -= length
        if not share.used_bytes:
            self._weights -= share.weight
        if account.waiting:
            self._back(account)

    def mark(self, account: Account, step: Step) -> None:
        """The peer's standing changed."""
        if bool(step) != bool(account.step):
            self.slow_bytes += account.used_bytes if step else -account.used_bytes
        account.step = step
        moved = [claim for claim in self._aside if claim.account is account]
        if moved:
            self._aside = deque(claim for claim in self._aside if claim.account is not account)
            for claim in moved:
                self._queue(claim)
        self._back(account)

    def admit(self, into: list[Reservation]) -> None:
        """Let in what now fits, in order; the claims let in are appended."""
        while self._aside:
            claim = self._aside[0]
            if claim.state is State.WAITS and self._short(claim) is Short.SLOW:
                break
            self._aside.popleft()
            if claim.state is State.WAITS:
                self._queue(claim)
        for heap in (self._pressed, self._batch):
            while heap:
                claim = heap[0][1]
                short = self._short(claim) if claim.state is State.WAITS else Short.NOT
                if short is Short.ROOM:
                    return  # nothing of lower rank goes past it
                heappop(heap)
                if short is Short.PEER:
                    claim.account.waiting.append(claim)
                elif short is Short.SLOW:
                    self._aside.append(claim)
                elif claim.state is State.WAITS:
                    self.waiting_count -= 1
                    self._in(claim)
                    into.append(claim)
                    self._back(claim.account)

    def _short(self, claim: Reservation) -> Short:
        account, length = claim.account, claim.length
        if account.used_bytes:
            most = self.peer if account.step < Step.NARROW else self.peer / NARROW
            if account.used_bytes + length > most:
                return Short.PEER
        if account.step and self.slow_bytes and self.slow_bytes + length > self.most_slow:
            return Short.SLOW
        if self.used_bytes + length > self.capacity_bytes:
            return Short.ROOM
        if not claim.pressed and self.batch_bytes + length > self.batch_capacity_bytes:
            return Short.ROOM
        return Short.NOT

    def _in(self, claim: Reservation) -> None:
        account, share, length = claim.account, claim.share, claim.length
        if not share.used_bytes:
            self._weights += share.weight
        account.used_bytes += length
        share.used_bytes += length
        self.used_bytes += length
        if not claim.pressed:
            self.batch_bytes += length
        if account.step:
            self.slow_bytes += length
        claim.pins, claim.state = 1, State.IN

    def _queue(self, claim: Reservation) -> None:
        heappush(self._pressed if claim.pressed else self._batch, (claim.rank, claim))

    def _back(self, account: Account) -> None:
        """Its own most may let the first of its claims in now: that stands with the others again."""
        waiting = account.waiting
        while waiting and waiting[0].state is not State.WAITS:
            waiting.popleft()
        if waiting and self._short(waiting[0]) is not Short.PEER:
            self._queue(waiting.popleft())

    def _sweep(self) -> None:
        held = len(self._pressed) + len(self._batch) + len(self._aside)
        if held <= 64 or held <= 2 * self.waiting_count:
            return
        for heap in (self._pressed, self._batch):
            heap[:] = [entry for entry in heap if entry[1].state is State.WAITS]
            heapify(heap)
        self._aside = deque(claim for claim in self._aside if claim.state is State.WAITS)

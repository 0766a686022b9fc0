"""The leases of one incarnation of a dispatcher: when they expire and when to renew them.

The holder counts the duration of a lease from when it sent the request, by its own monotonic clock, and
shortens it by the clock drift and by SEND_MARGIN_MS. It may still be paused between reading the clock and
writing an order to the socket. A receiver that compares fencing numbers (`consensus/fencing.py`) then refuses
the order; where a receiver compares none, only the margin protects it.

This module does no I/O and reads no clock. Times are ms of the holder's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from cherrygrade.fleet.leases.lease_table import lease_digest

SEND_MARGIN_MS = 50.0
"""The time that an order may take from reading the clock to the socket."""
RENEWALS_PER_DURATION = 3.0
"""Leases are renewed after a third of their duration; without a reply, again after each quarter of that."""
MAX_OPEN_REQUESTS = 64
"""Requests whose replies are awaited; beyond this number the oldest one is forgotten."""
NEVER = 1e15
"""A time in ms that is never reached."""


@dataclass(slots=True)
class HeldLease:
    """A lease that this dispatcher holds.

    Attributes:
        task: The name of the task.
        number: The lease's number; goes with each order as its fencing number.
        expires_at: The time in ms from which on no order may be sent.
        orders_in_flight: Orders that were sent and have no reply yet; while there are any, the lease
            is not released.
    """

    task: str
    number: int
    expires_at: float
    orders_in_flight: int = 0


class LeaseHolder:
    """The leases of one incarnation of a dispatcher.

    Attributes:
        name: The name of the dispatcher.
        incarnation: The incarnation of its process.
        duration_ms: The duration of its leases.
        drift: The share by which the rates of two clocks may differ.
        held: The held leases by task; a lease is removed when it expires, is lost by a renewal
            or is released.
        requested_at: The time in ms at which each open request was sent, by request id; a request is removed
            by its reply, or when there are more than MAX_OPEN_REQUESTS.
        unheld: By task, the numbers of leases that the council records for this incarnation and that are not
            held here. They are to be released: a renewal would extend them with the others, and nobody would
            do the tasks.
        lost_count: How many leases have expired here or were lost by a renewal.
    """

    def __init__(self, name: str, incarnation: int, duration_ms: float, drift: float) -> None:
        self.name, self.incarnation, self.duration_ms, self.drift = name, incarnation, duration_ms, drift
        self.held: dict[str, HeldLease] = {}
        self.requested_at: dict[str, float] = {}
        self.unheld: dict[str, int] = {}
        self._requested_tasks: dict[str, str] = {}  # by request id, for open requests that acquire a lease
        self.lost_count = 0
        self._request_count = 0
        self._renewal: tuple[str, dict[str, int]] = ("", {})  # the last one's request id and lease numbers
        self._renew_at = NEVER

    def start_request(self, now: float, task: str = "") -> str:
        """Register a request to the council that is sent now.

        Args:
            now: The time in ms.
            task: The task whose lease the request acquires; "" for any other request.

        Returns:
            The id of the request.
        """
        self._request_count += 1
        request_id = f"{self.name}/{self.incarnation}/{self._request_count}"
        self.requested_at[request_id] = now
        if task:
            self._requested_tasks[request_id] = task
        while len(self.requested_at) > MAX_OPEN_REQUESTS:
            self._close_request(next(iter(self.requested_at)))
        return request_id

    def _close_request(self, request_id: str) -> float | None:
        """Ignore any further reply to a request; return when it was sent, None if it was closed already."""
        self._requested_tasks.pop(request_id, None)
        return self.requested_at.pop(request_id, None)

    def _expiry_of(self, requested_at: float) -> float:
        return requested_at + self.duration_ms * (1.0 - self.drift) - SEND_MARGIN_MS

    def record_grant(self, request_id: str, task: str, number: int, now: float) -> bool:
        """Handle the council's reply to a request for a lease.

        A repeated request counts from the time at which it was sent first.

        Args:
            request_id: The id of the request.
            task: The task.
            number: The number of the lease; 0 if it was refused.
            now: The time in ms.

        Returns:
            Whether the lease is held now. It is not if the reply came after the lease's expiry, came a second
            time, or belongs to no open request of this incarnation.
        """
        # A second reply must not bring back a lease that was released after the first one.
        requested_at = self._close_request(request_id)
        if requested_at is None or not number or self._expiry_of(requested_at) <= now:
            return False
        known = self.held.get(task)
        if known is None or known.number < number:
            self.held[task] = HeldLease(task, number, self._expiry_of(requested_at))
        self._renew_at = min(self._renew_at, requested_at + self.duration_ms / RENEWALS_PER_DURATION)
        return self.held[task].number == number

    def start_renewal(self, now: float) -> tuple[str, int]:
        """Register a request that renews all held leases and is sent now.

        Returns:
            The id of the request, and the digest of the held leases.
        """
        numbers = {task: held.number for task, held in self.held.items()}
        request_id = self.start_request(now)
        self._renewal = (request_id, numbers)
        return request_id, lease_digest(numbers.items())

    def record_renewal(
        self, request_id: str, numbers: dict[str, int], now: float, unchanged: bool = False
    ) -> list[str]:
        """Handle the council's reply to a renewal.

        Args:
            request_id: The id of the renewal.
            numbers: The numbers of the renewed leases, by task.
            now: The time in ms.
            unchanged: All leases that were held when the renewal was sent are renewed; `numbers` is not used.

        Returns:
            The tasks whose leases this reply shows to be lost.
        """
        requested_at = self._close_request(request_id)
        if requested_at is None:
            return []
        if unchanged:
            renewal_id, numbers = self._renewal
            if renewal_id != request_id:
                return []
        lost = []
        for task, held in [*self.held.items()]:
            if numbers.get(task) == held.number:
                held.expires_at = max(held.expires_at, self._expiry_of(requested_at))
            elif held.expires_at <= self._expiry_of(requested_at):
                # The lease was granted before the renewal was sent, and the leader no longer has it.
                del self.held[task]
                lost.append(task)
        for task, number in numbers.items():
            if task not in self.held and not unchanged:
                # The lease has expired here, or the reply that grants it is lost or late: ignore that reply.
                for open_id in [
                    open_id for open_id, wanted in self._requested_tasks.items() if wanted == task
                ]:
                    self._close_request(open_id)
                self.unheld[task] = number
        self.lost_count += len(lost)
        self._renew_at = requested_at + self.duration_ms / RENEWALS_PER_DURATION if self.held else NEVER
        return lost

    def fencing_number(self, task: str, now: float) -> int:
        """Return the fencing number for an order that is sent now; 0 if none may be sent.

        To be called right before each order is written.
        """
        held = self.held.get(task)
        if held is None or held.expires_at <= now:
            return 0
        return held.number

    def track_order(self, task: str, number: int, change: int) -> None:
        """Count an order that was sent (`change` 1), or whose reply arrived (`change` -1)."""
        held = self.held.get(task)
        if held is not None and held.number == number:
            held.orders_in_flight = max(0, held.orders_in_flight + change)

    def release(self, task: str) -> int:
        """Stop holding the lease of a task.

        Returns:
            The lease number for the request to the council. 0 if the lease is not held, or while an
            order is in flight: the order could be carried out after the release, and after the next
            holder's first order.
        """
        held = self.held.get(task)
        if held is None or held.orders_in_flight:
            return 0
        del self.held[task]
        return held.number

    def tick(self, now: float) -> tuple[bool, list[str]]:
        """Remove expired leases.

        Returns:
            Whether to renew all held leases now by one request, and the tasks whose leases have expired.
        """
        expired = [task for task, held in self.held.items() if held.expires_at <= now]
        for task in expired:
            del self.held[task]
        self.lost_count += len(expired)
        if not self.held:
            self._renew_at = NEVER
        renew = now >= self._renew_at
        if renew:
            # Without a reply the renewal is repeated soon.
            self._renew_at = now + self.duration_ms / RENEWALS_PER_DURATION / 4.0
        return renew, expired

    def next_deadline(self) -> float:
        """Return the time in ms at which `tick` is to be called."""
        return min([self._renew_at, *(held.expires_at for held in self.held.values())])


def rendezvous_rank(task: str, living: list[str], name: str) -> int:
    """Return the rank of a member among the living ones for a task, by rendezvous hashing.

    The member of rank 0 requests a free task at once, the one of rank 1 if that one did not, and so
    on. The tasks of a member that fails go to many others, and no other task changes its rank 0
    (Thaler and Ravishankar 1998).

    Args:
        task: The name of the task.
        living: The names of the living members.
        name: The name of the member.

    Returns:
        The rank, from 0; len(living) if the member is not among the living ones.
    """
    ranked = sorted(
        living, key=lambda member: (xxhash.xxh3_64_intdigest(f"{task}\0{member}".encode()), member)
    )
    return ranked.index(name) if name in ranked else len(ranked)

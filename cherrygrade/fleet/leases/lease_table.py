"""The table of leases that the council's replicated log produces.

The same entries lead to the same table on every voter. A lease's number is the index of the log entry that
granted it. A renewal writes no entry: it is kept in the leader's memory and needs a majority's confirmation
of the leadership (renewal_tracker.py). A lease ends when its holder releases it, or when a leader has counted
its full duration.

This module does no I/O and uses no clock or random source. `at` in a command is the leader's time in ms; it
decides only how soon a failed task is granted again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import xxhash

MAX_ANSWERED_REQUESTS = 1024
"""Grants that are stored to answer repeated requests."""
MAX_LEASES = 20_000
MIN_DURATION_MS, MAX_DURATION_MS = 1000.0, 600_000.0
"""Bounds of a lease's duration; a requested duration is clamped to them."""
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 1000.0, 300_000.0
"""For how long a task that failed is not granted; the backoff doubles with each further failure."""
MAX_FAILED_TASKS = 1024


class LeaseCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    """Base of the lease commands in the log; positional on the wire and on disk.

    Attributes:
        at: The leader's time when it appended the command, in ms.
    """

    at: float


class Acquire(LeaseCommand, frozen=True, tag="t"):
    """Grants the lease of a task, if it is free.

    Attributes:
        id: The id that the client chose for its request; a request that is repeated under its id has
            an effect once.
        task: The name of the task.
        holder: The name of the dispatcher that requests the lease.
        incarnation: The incarnation of the holder's process.
        duration_ms: How long the lease runs without renewal.
    """

    id: str
    task: str
    holder: str
    incarnation: int
    duration_ms: float


class Release(LeaseCommand, frozen=True, tag="g"):
    """Ends a lease on behalf of its holder.

    Attributes:
        task: The name of the task.
        number: The number of the lease.
        failure: Why the holder could not do the task; "" if it did not fail.
    """

    task: str
    number: int
    failure: str = ""


class Expire(LeaseCommand, frozen=True, tag="f"):
    """Ends a lease whose full duration a leader has counted without a renewal.

    Attributes:
        task: The name of the task.
        number: The number of the lease.
    """

    task: str
    number: int


AnyLeaseCommand = Acquire | Release | Expire
"""Any lease command."""


class Lease(msgspec.Struct, array_like=True, frozen=True):
    """A lease that is held.

    Attributes:
        number: The index of the log entry that granted it; the fencing number of the holder's orders.
        task: The name of the task.
        holder: The name of the dispatcher that holds it.
        incarnation: The incarnation of the holder's process.
        duration_ms: How long the lease runs without renewal.
    """

    number: int
    task: str
    holder: str
    incarnation: int
    duration_ms: float


class FailedTask(msgspec.Struct, array_like=True, frozen=True):
    """A task whose last holder released it with a failure.

    Attributes:
        failure_count: How often it has failed in a row.
        retry_at: The leader's time in ms before which the task is not granted again.
        reason: The reason of the last failure.
    """

    failure_count: int
    retry_at: float
    reason: str


class LeaseOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The result of a lease command.

    Attributes:
        number: The number of the lease that was granted or ended; 0 if the command was refused.
        refusal: Why the command was refused, as a text for people; "" if it was not.
        holder: The name of the task's present holder; "" where there is none, or where a lease was ended.
        retry_after_ms: How long a failed task is not granted yet, in ms; 0 for any other refusal.
    """

    number: int = 0
    refusal: str = ""
    holder: str = ""
    retry_after_ms: float = 0.0


class LeaseTableState(msgspec.Struct, array_like=True):
    """The full table, for a snapshot; the fields are those of `LeaseTable`."""

    now: float
    leases: list[Lease]
    failed_tasks: dict[str, FailedTask]
    answered_requests: list[tuple[str, LeaseOutcome]]


def lease_digest(numbers: Iterable[tuple[str, int]]) -> int:
    """Return a digest of lease numbers by task, in any order.

    A holder and the leader compare their digests instead of sending all lease numbers.
    """
    digest = 0
    for task, number in numbers:
        digest ^= int(xxhash.xxh3_64_intdigest(f"{task}\0{number}".encode()))
    return digest


class LeaseTable:
    """The leases that are held, and the tasks that failed.

    Attributes:
        now: The leader's time in ms, as of the newest entry; it never goes back.
        leases: The held leases by task; a lease is removed when it is released or expires.
        by_holder: The same leases, by holder and incarnation and then by task; without empty entries.
        min_duration_ms: A lower bound of the durations of a holder's leases; has the keys of `by_holder`.
        failed_tasks: The tasks that failed last time, the oldest failure first; a task is removed when it is
            released without a failure, or when there are more than MAX_FAILED_TASKS.
        answered_requests: The last MAX_ANSWERED_REQUESTS grants by request id, the oldest first.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.leases: dict[str, Lease] = {}
        self.by_holder: dict[tuple[str, int], dict[str, Lease]] = {}
        self.min_duration_ms: dict[tuple[str, int], float] = {}
        self.failed_tasks: OrderedDict[str, FailedTask] = OrderedDict()
        self.answered_requests: OrderedDict[str, LeaseOutcome] = OrderedDict()

    def apply(self, index: int, command: AnyLeaseCommand) -> LeaseOutcome:
        """Apply one committed command; `index` is the index of its log entry."""
        self.now = max(self.now, command.at)
        if isinstance(command, Acquire):
            return self._acquire(command, index)
        held = self.leases.get(command.task)
        if held is None or held.number != command.number:
            return LeaseOutcome(refusal=f"{command.task} is not held by number {command.number}")
        self._remove(held)
        if isinstance(command, Release):
            self._record_result(command)
        return LeaseOutcome(command.number)

    def _acquire(self, command: Acquire, index: int) -> LeaseOutcome:
        known = self.answered_requests.get(command.id)
        held = self.leases.get(command.task)
        if known is not None:
            # The request is repeated: it gets its lease again, unless that lease has ended since.
            is_still_held = held is not None and held.number == known.number
            return (
                known
                if is_still_held
                else LeaseOutcome(
                    refusal="the lease granted to this request has ended", holder=held.holder if held else ""
                )
            )
        if held is not None:
            return LeaseOutcome(refusal=f"{command.task} is held", holder=held.holder)
        failed = self.failed_tasks.get(command.task)
        if failed is not None and self.now < failed.retry_at:
            return LeaseOutcome(
                refusal=f"failed {failed.failure_count} times: {failed.reason}",
                retry_after_ms=failed.retry_at - self.now,
            )
        if len(self.leases) >= MAX_LEASES:
            return LeaseOutcome(refusal=f"{MAX_LEASES} leases are held, the maximum")
        duration_ms = min(MAX_DURATION_MS, max(MIN_DURATION_MS, command.duration_ms))
        self._add(Lease(index, command.task, command.holder, command.incarnation, duration_ms))
        outcome = self.answered_requests[command.id] = LeaseOutcome(index, holder=command.holder)
        while len(self.answered_requests) > MAX_ANSWERED_REQUESTS:
            self.answered_requests.popitem(last=False)
        return outcome

    def _record_result(self, command: Release) -> None:
        before = self.failed_tasks.pop(command.task, None)
        if command.failure:
            failure_count = 1 + (before.failure_count if before is not None else 0)
            backoff_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0 ** min(failure_count - 1, 20))
            self.failed_tasks[command.task] = FailedTask(
                failure_count, self.now + backoff_ms, command.failure[:200]
            )
            while len(self.failed_tasks) > MAX_FAILED_TASKS:
                self.failed_tasks.popitem(last=False)

    def numbers_of(self, holder: str, incarnation: int) -> dict[str, int]:
        """Return the lease numbers of one incarnation of a holder, by task."""
        return {lease.task: lease.number for lease in self.by_holder.get((holder, incarnation), {}).values()}

    def _add(self, lease: Lease) -> None:
        self.leases[lease.task] = lease
        owner = (lease.holder, lease.incarnation)
        self.by_holder.setdefault(owner, {})[lease.task] = lease
        self.min_duration_ms[owner] = min(lease.duration_ms, self.min_duration_ms.get(owner, MAX_DURATION_MS))

    def _remove(self, lease: Lease) -> None:
        del self.leases[lease.task]
        owner = (lease.holder, lease.incarnation)
        del self.by_holder[owner][lease.task]
        if not self.by_holder[owner]:
            del self.by_holder[owner], self.min_duration_ms[owner]

    def is_free(self, task: str, leader_time: float) -> bool:
        """Return whether the lease of a task would be granted at a time of the leader, in ms."""
        failed = self.failed_tasks.get(task)
        return task not in self.leases and (failed is None or leader_time >= failed.retry_at)

    def state(self) -> LeaseTableState:
        """Return the full table, for a snapshot."""
        return LeaseTableState(
            self.now, [*self.leases.values()], dict(self.failed_tasks), [*self.answered_requests.items()]
        )

    def restore(self, state: LeaseTableState) -> None:
        """Replace the table by the one of a snapshot."""
        self.now = state.now
        self.leases, self.by_holder, self.min_duration_ms = {}, {}, {}
        for lease in state.leases:
            self._add(lease)
        self.failed_tasks, self.answered_requests = (
            OrderedDict(state.failed_tasks),
            OrderedDict(state.answered_requests),
        )

"""Leases, as the council's log deals them out: the same entries come to the same on every voter.

A lease's number is the index of its entry. No entry is written to renew one: that is the leader's memory and
a majority's proof (renewal_tracker.py). One is freed by its holder, or by a leader that counted its time to
the end.
Free of I/O, clock and chance; `at` is the leaders' time, told in the entries, and decides only how soon a
task that failed is tried again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import xxhash

MOST_ASKS = 1024  # of answers kept for who asks again
MOST_TASKS = 20_000
LEAST_MS, LONGEST_MS = 1000.0, 600_000.0  # of a lease
REST_MS, MOST_REST_MS = 1000.0, 300_000.0  # of a task that failed once; and doubled, at most
MOST_FAILS = 1024


class LeaseCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    at: float


class Acquire(LeaseCommand, frozen=True, tag="t"):
    """`id`: the asker's own, so that asking again does nothing twice."""

    id: str
    task: str
    holder: str
    incarnation: int
    duration_ms: float


class Release(LeaseCommand, frozen=True, tag="g"):
    """Back, by its holder; `failure` says why it could not do the task."""

    task: str
    number: int
    failure: str = ""


class Expire(LeaseCommand, frozen=True, tag="f"):
    """A leader has counted all of its time."""

    task: str
    number: int


AnyLeaseCommand = Acquire | Release | Expire


class Lease(msgspec.Struct, array_like=True, frozen=True):
    number: int
    task: str
    holder: str
    incarnation: int
    duration_ms: float


class FailedTask(msgspec.Struct, array_like=True, frozen=True):
    """A task that holders gave back undone: how often in a row, until when it rests, the last reason."""

    failure_count: int
    retry_at: float
    reason: str


class LeaseOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What an entry came to: a lease's number, or why there is none and who has it."""

    number: int = 0
    refusal: str = ""
    holder: str = ""
    retry_after_ms: float = 0.0


class LeaseTableState(msgspec.Struct, array_like=True):
    now: float
    leases: list[Lease]
    failed_tasks: dict[str, FailedTask]
    answered_requests: list[tuple[str, LeaseOutcome]]


def lease_digest(numbers: Iterable[tuple[str, int]]) -> int:
    """Of tasks and numbers, in whatever order: equal where a holder and the log know the same."""
    found = 0
    for task, number in numbers:
        found ^= int(xxhash.xxh3_64_intdigest(f"{task}\0{number}".encode()))
    return found


class LeaseTable:
    """`leases` by task and `by_holder` by holder and birth, emptied by their ends; `failed_tasks` by a task
    done, or the oldest of MOST_FAILS."""

    def __init__(self) -> None:
        self.now = 0.0
        self.leases: dict[str, Lease] = {}
        self.by_holder: dict[tuple[str, int], dict[str, Lease]] = {}
        self.min_duration_ms: dict[tuple[str, int], float] = {}  # that any of a life had
        self.failed_tasks: OrderedDict[str, FailedTask] = OrderedDict()
        self.answered_requests: OrderedDict[str, LeaseOutcome] = OrderedDict()

    def apply(self, index: int, op: AnyLeaseCommand) -> LeaseOutcome:
        self.now = max(self.now, op.at)
        if isinstance(op, Acquire):
            return self._take(op, index)
        held = self.leases.get(op.task)
        if held is None or held.number != op.number:
            return LeaseOutcome(refusal=f"{op.task} is not held by number {op.number}")
        self._drop(held)
        if isinstance(op, Release):
            self._gave(op)
        return LeaseOutcome(op.number)

    def _take(self, op: Acquire, index: int) -> LeaseOutcome:
        known = self.answered_requests.get(op.id)
        held = self.leases.get(op.task)
        if known is not None:  # asked again; a lease that ended since is not granted again by an old word
            still = held is not None and held.number == known.number
            return (
                known
                if still
                else LeaseOutcome(refusal="that lease has ended", holder=held.holder if held else "")
            )
        if held is not None:
            return LeaseOutcome(refusal=f"{op.task} is held", holder=held.holder)
        rest = self.failed_tasks.get(op.task)
        if rest is not None and self.now < rest.retry_at:
            return LeaseOutcome(
                refusal=f"failed {rest.failure_count} times: {rest.reason}",
                retry_after_ms=rest.retry_at - self.now,
            )
        if len(self.leases) >= MOST_TASKS:
            return LeaseOutcome(refusal=f"{MOST_TASKS} tasks are held, and no more can be")
        duration_ms = min(LONGEST_MS, max(LEAST_MS, op.duration_ms))
        self._add(Lease(index, op.task, op.holder, op.incarnation, duration_ms))
        told = self.answered_requests[op.id] = LeaseOutcome(index, holder=op.holder)
        while len(self.answered_requests) > MOST_ASKS:
            self.answered_requests.popitem(last=False)
        return told

    def _gave(self, op: Release) -> None:
        before = self.failed_tasks.pop(op.task, None)
        if op.failure:
            times = 1 + (before.failure_count if before is not None else 0)
            rest = min(MOST_REST_MS, REST_MS * 2.0 ** min(times - 1, 20))
            self.failed_tasks[op.task] = FailedTask(times, self.now + rest, op.failure[:200])
            while len(self.failed_tasks) > MOST_FAILS:
                self.failed_tasks.popitem(last=False)

    def numbers_of(self, holder: str, incarnation: int) -> dict[str, int]:
        """Numbers by task, of one life."""
        return {one.task: one.number for one in self.by_holder.get((holder, incarnation), {}).values()}

    def _add(self, lease: Lease) -> None:
        self.leases[lease.task] = lease
        life = (lease.holder, lease.incarnation)
        self.by_holder.setdefault(life, {})[lease.task] = lease
        self.min_duration_ms[life] = min(lease.duration_ms, self.min_duration_ms.get(life, LONGEST_MS))

    def _drop(self, lease: Lease) -> None:
        del self.leases[lease.task]
        life = (lease.holder, lease.incarnation)
        del self.by_holder[life][lease.task]
        if not self.by_holder[life]:
            del self.by_holder[life], self.min_duration_ms[life]

    def is_free(self, task: str, at: float) -> bool:
        """Whether it would be granted at this time of the leaders'."""
        rest = self.failed_tasks.get(task)
        return task not in self.leases and (rest is None or at >= rest.retry_at)

    def state(self) -> LeaseTableState:
        return LeaseTableState(
            self.now, [*self.leases.values()], dict(self.failed_tasks), [*self.answered_requests.items()]
        )

    def restore(self, state: LeaseTableState) -> None:
        self.now = state.now
        self.leases, self.by_holder, self.min_duration_ms = {}, {}, {}
        for one in state.leases:
            self._add(one)
        self.failed_tasks, self.answered_requests = (
            OrderedDict(state.failed_tasks),
            OrderedDict(state.answered_requests),
        )

"""Which tasks a member asks for, and when: spread over the living, not all at once, and none for ever.

A member asks which of the tasks that it wants are free, a few names at a time, and only for those where it is
among the first few by rendezvous; the first takes a free one at once, the others when it stays free. So a
dead holder's tasks go to many, and what all ask together does not grow with the members.

Free of I/O and clock; what varies comes from a seed and a counter.
"""

from __future__ import annotations

from zlib import crc32

from cherrygrade.fleet.leases.lease_holder import rendezvous_rank

POLL_MS = 400.0  # while somebody came or went of late, or something is free
REST_MS, RECENT_CHANGE_MS = 4000.0, 15_000.0  # else: finds what ends otherwise; how long "of late" is
SOON_MS = 150.0  # after something was free: whoever is next looks again
MOST_NAMES = 64  # in one ask
FIRST = 3  # of the living by rendezvous that ask for a task at all
NEVER = 1e15


class LeaseClient:
    """`times_seen_free` holds what was free at the last look, how often in a row; emptied by what is not."""

    def __init__(self, name: str, seed: int, now: float) -> None:
        self.name, self.seed = name, seed
        self.tasks: dict[str, None] = {}
        self.times_seen_free: dict[str, int] = {}
        self.poll_at = now
        self._count = 0
        self._next: list[str] = []
        self._ranks: dict[str, int] = {}  # of these living
        self._living: list[str] = []
        self._changed_at = now

    def add_task(self, task: str) -> None:
        self.tasks[task] = None

    def remove_task(self, task: str) -> None:
        self.tasks.pop(task, None)
        self.times_seen_free.pop(task, None)

    def rank(self, task: str, living: list[str]) -> int:
        if task not in self._ranks:
            self._ranks[task] = rendezvous_rank(task, living, self.name)
        return self._ranks[task]

    def poll(self, now: float, living: list[str], held: set[str]) -> list[str]:
        """Tasks to ask about now, each in its turn; empty where it is not time."""
        if living != self._living:
            self._living, self._ranks, self._changed_at = [*living], {}, now
            self.poll_at = min(self.poll_at, now + POLL_MS)
        if now < self.poll_at:
            return []
        # What is held here is not asked about any more: it would count as free for good.
        self.times_seen_free = {
            task: times for task, times in self.times_seen_free.items() if task not in held
        }
        self._count += 1
        chance = crc32(f"{self.seed}:{self._count}".encode()) / 2.0**32
        pause = POLL_MS if self.times_seen_free or now < self._changed_at + RECENT_CHANGE_MS else REST_MS
        self.poll_at = now + pause * (0.75 + 0.5 * chance)
        if not self._next:
            self._next = [task for task in self.tasks if task not in held]
        some: list[str] = []
        while self._next and len(some) < MOST_NAMES:
            task = self._next.pop()
            if task in self.tasks and task not in held and self.rank(task, living) < FIRST:
                some.append(task)
        return some

    def tasks_to_acquire(self, asked: list[str], free: list[str], living: list[str], now: float) -> list[str]:
        """Of those asked about these are free; gives the ones to take now."""
        take, found = [], {*free}
        for task in asked:
            if task not in found:
                self.times_seen_free.pop(task, None)
                continue
            times = self.times_seen_free[task] = self.times_seen_free.get(task, 0) + 1
            if times > self.rank(task, living):
                take.append(task)
        if len(take) < len(found):
            self.poll_at = min(self.poll_at, now + SOON_MS)
            self._next += [task for task in asked if task in found and task not in take]
        return take

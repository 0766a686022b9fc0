"""Which free tasks a member requests, and when: spread over the living members, and not all at once.

A member polls the council for which of its tasks are free, at most MAX_TASKS_PER_POLL at a time, and polls
only for tasks for which it is among the first POLLERS_PER_TASK members by rendezvous hashing. The first of
these requests a free task at once, the others if the task stays free. So the tasks of a failed holder go to
many members, and the number of polls does not grow with the number of members.

This module does no I/O and reads no clock. Its random numbers follow from a seed and a counter.
"""

from __future__ import annotations

from zlib import crc32

from cherrygrade.fleet.leases.lease_holder import rendezvous_rank

POLL_INTERVAL_MS = 400.0
"""Time between polls while a task was seen free, or the living members have changed recently."""
IDLE_POLL_INTERVAL_MS, RECENT_CHANGE_MS = 4000.0, 15_000.0
"""Time between polls otherwise; and how long polls stay frequent after a change of the living members."""
REPEAT_POLL_DELAY_MS = 150.0
"""Time before the next poll when a free task was left to a member of lower rank."""
MAX_TASKS_PER_POLL = 64
POLLERS_PER_TASK = 3
"""Number of living members that poll for a task: those with the lowest ranks for it."""
NEVER = 1e15
"""A time in ms that is never reached."""


class LeaseClient:
    """Decides for which tasks a member polls, and which of the free ones it acquires.

    Attributes:
        name: The name of the member.
        seed: The seed of the random part of the poll interval.
        tasks: The tasks that the member would do; an ordered set, the values are None.
        times_seen_free: How many polls in a row found a task free; a task is removed when it is held here or
            by another member.
        poll_at: The time in ms of the next poll.
    """

    def __init__(self, name: str, seed: int, now: float) -> None:
        self.name, self.seed = name, seed
        self.tasks: dict[str, None] = {}
        self.times_seen_free: dict[str, int] = {}
        self.poll_at = now
        self._poll_count = 0
        self._unpolled: list[str] = []  # the tasks that remain of the present pass over all tasks
        self._ranks: dict[str, int] = {}  # by task, among `_living`
        self._living: list[str] = []
        self._living_changed_at = now

    def add_task(self, task: str) -> None:
        """Begin to poll for a task."""
        self.tasks[task] = None

    def remove_task(self, task: str) -> None:
        """Stop polling for a task."""
        self.tasks.pop(task, None)
        self.times_seen_free.pop(task, None)

    def rank(self, task: str, living: list[str]) -> int:
        """Return this member's rank for a task among the living members, from 0; ranks are cached."""
        if task not in self._ranks:
            self._ranks[task] = rendezvous_rank(task, living, self.name)
        return self._ranks[task]

    def poll(self, now: float, living: list[str], held: set[str]) -> list[str]:
        """Return the tasks to poll for now; empty before `poll_at`.

        Args:
            now: The time in ms.
            living: The names of the living members.
            held: The tasks whose leases are held here.
        """
        if living != self._living:
            self._living, self._ranks, self._living_changed_at = [*living], {}, now
            self.poll_at = min(self.poll_at, now + POLL_INTERVAL_MS)
        if now < self.poll_at:
            return []
        # A task that is held here is not polled for: it would stay counted as free and keep polls frequent.
        self.times_seen_free = {
            task: times for task, times in self.times_seen_free.items() if task not in held
        }
        self._poll_count += 1
        fraction = crc32(f"{self.seed}:{self._poll_count}".encode()) / 2.0**32
        interval_ms = (
            POLL_INTERVAL_MS
            if self.times_seen_free or now < self._living_changed_at + RECENT_CHANGE_MS
            else IDLE_POLL_INTERVAL_MS
        )
        self.poll_at = now + interval_ms * (0.75 + 0.5 * fraction)
        if not self._unpolled:
            self._unpolled = [task for task in self.tasks if task not in held]
        polled: list[str] = []
        while self._unpolled and len(polled) < MAX_TASKS_PER_POLL:
            task = self._unpolled.pop()
            if task in self.tasks and task not in held and self.rank(task, living) < POLLERS_PER_TASK:
                polled.append(task)
        return polled

    def tasks_to_acquire(
        self, polled: list[str], free: list[str], living: list[str], now: float
    ) -> list[str]:
        """Handle the reply to a poll.

        Args:
            polled: The tasks of the poll.
            free: Those of them that are free.
            living: The names of the living members.
            now: The time in ms.

        Returns:
            The tasks whose leases are to be requested now; the others are polled for again soon.
        """
        acquire, free_tasks = [], {*free}
        for task in polled:
            if task not in free_tasks:
                self.times_seen_free.pop(task, None)
                continue
            times = self.times_seen_free[task] = self.times_seen_free.get(task, 0) + 1
            if times > self.rank(task, living):
                acquire.append(task)
        if len(acquire) < len(free_tasks):
            self.poll_at = min(self.poll_at, now + REPEAT_POLL_DELAY_MS)
            self._unpolled += [task for task in polled if task in free_tasks and task not in acquire]
        return acquire

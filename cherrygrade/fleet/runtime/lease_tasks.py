"""Runs the tasks that this dispatcher does for the fleet while it holds their leases.

`leases/lease_holder.py` decides which leases are held and until when, and `leases/lease_client.py` decides
which free tasks to acquire. This module sends their requests to the council.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from cherrygrade.fleet.consensus.council_messages import (
    AcquireLease,
    FreeTasks,
    LeaseAcquired,
    LeasesRenewed,
    ListFreeTasks,
    ReleaseLease,
    RenewLeases,
)
from cherrygrade.fleet.errors import CouncilUnreachableError
from cherrygrade.fleet.leases.lease_client import LeaseClient
from cherrygrade.fleet.leases.lease_holder import LeaseHolder
from cherrygrade.fleet.runtime.council_server import CouncilServer
from cherrygrade.fleet.runtime.lease_exercise import LeaseExercise
from cherrygrade.settings import CouncilSettings

TICK_INTERVAL_S = 0.05  # between two ticks of the holder and the client
REQUEST_TIMEOUT_S = 2.0  # for one request to the council
MAX_REQUESTS = 8  # in flight; beyond that no free tasks are requested


class LeaseTaskRunner:
    """Acquires, renews and releases the leases of tasks.

    Attributes:
        council_server: Sends requests to the council.
        council: The council's settings.
        clock: Returns the time in ms.
        holder: The leases that this dispatcher holds.
        client: The tasks that this dispatcher may acquire.
        requests: Requests to the council in flight; each ends by its reply or its timeout.
        exercise: Sends orders for the exercise tasks; None where the settings name no receiver.
    """

    def __init__(
        self,
        council_server: CouncilServer,
        council: CouncilSettings,
        seed: int,
        clock: Callable[[], float],
        living: Callable[[], list[str]],
        log: Callable[..., None],
    ) -> None:
        """Take the settings and callbacks; `start` begins.

        Args:
            council_server: Sends requests to the council.
            council: The council's settings.
            seed: Seeds random choices.
            clock: Returns the time in ms.
            living: Returns the names of living members; an empty list while this dispatcher is cut off or
                overloaded, and may do no tasks for the fleet.
            log: Writes a log line with an event and facts.
        """
        self.council_server = council_server
        self.council = council
        self.clock = clock
        self.holder = LeaseHolder(
            council_server.name, council_server.incarnation, council.lease_ms, council.drift
        )
        self.client = LeaseClient(council_server.name, seed, clock())
        self.requests: set[asyncio.Task[None]] = set()
        self.exercise: LeaseExercise | None = None
        self._living = living
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        for task in council.drills:
            self.client.add_task(task)

    def start(self) -> None:
        """Start the exercise, where the settings name a receiver, and the ticks."""
        if self.council.drills and self.council.receiver:
            self.exercise = LeaseExercise(
                self.holder, self.clock, self.council.receiver, self.council_server.source
            )
        self._tick()

    def leave(self) -> None:
        """Release all leases, so that other members need not wait for their expiry, and acquire no more."""
        self.client.tasks.clear()
        self._release_all()

    def close(self) -> None:
        """Cancel the timer and all requests, and stop the exercise."""
        if self._timer is not None:
            self._timer.cancel()
        for request in self.requests:
            request.cancel()
        if self.exercise is not None:
            self.exercise.close()

    def status(self) -> dict[str, float]:
        """Return the tasks whose leases are held here, each with the ms until the lease expires."""
        now = self.clock()
        return {task: round(held.expires_at - now) for task, held in self.holder.held.items()}

    def _tick(self) -> None:
        now = self.clock()
        renew, expired = self.holder.tick(now)
        for task in expired:
            self._log("lease expired", task=task)
        if renew:
            self._start_request(self._renew())
        living = self._living()
        if not living:  # this dispatcher is cut off or overloaded: other members are to do its tasks
            self._release_all()
        elif len(self.requests) < MAX_REQUESTS:
            tasks = self.client.poll(now, living, {*self.holder.held})
            if tasks:
                self._start_request(self._acquire_free(tasks))
        self._timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def _start_request(self, request: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(request)
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)

    def _release_all(self) -> None:
        for task in [*self.holder.held]:
            self._start_request(self._release(task))

    async def _release(self, task: str) -> None:
        await self.release(task)

    async def release(self, task: str, failed: str = "") -> bool:
        """Release a task's lease at the council.

        Args:
            task: The task.
            failed: The reason why the task could not be done; "" where it was done.

        Returns:
            False where an order of the task is in flight, or the lease is not held.
        """
        number = self.holder.release(task)
        if number:
            await self._request_release(task, number, failed)
        return bool(number)

    async def _request_release(self, task: str, number: int, failed: str = "") -> None:
        request = ReleaseLease(self.holder.start_request(self.clock()), task, number, failed)
        # Without a reply the lease expires, or a renewal finds that it is not held here and releases it.
        with contextlib.suppress(CouncilUnreachableError):
            await self.council_server.request(request, REQUEST_TIMEOUT_S)

    async def _renew(self) -> None:
        request_id, digest = self.holder.start_renewal(self.clock())
        request = RenewLeases(request_id, self.holder.name, self.holder.incarnation, digest)
        try:
            reply = await self.council_server.request(request, REQUEST_TIMEOUT_S)
        except CouncilUnreachableError:
            return  # the leases expire unless a later renewal succeeds
        if not isinstance(reply, LeasesRenewed):
            return
        for task in self.holder.record_renewal(request_id, reply.numbers, self.clock(), reply.unchanged):
            self._log("lease lost", task=task)
        unheld, self.holder.unheld = self.holder.unheld, {}
        for task, number in unheld.items():
            self._log("lease released", task=task, number=number, why="not held here")
            await self._request_release(task, number)

    async def _acquire_free(self, tasks: list[str]) -> None:
        request = ListFreeTasks(self.holder.start_request(self.clock()), tasks)
        try:
            reply = await self.council_server.request(request, REQUEST_TIMEOUT_S)
            if isinstance(reply, FreeTasks):
                for task in self.client.tasks_to_acquire(tasks, reply.tasks, self._living(), self.clock()):
                    await self._acquire(task)
        except CouncilUnreachableError:
            return  # a later tick requests free tasks again

    async def _acquire(self, task: str) -> None:
        request_id = self.holder.start_request(self.clock(), task)
        request = AcquireLease(
            request_id, task, self.holder.name, self.holder.incarnation, self.council.lease_ms
        )
        reply = await self.council_server.request(request, REQUEST_TIMEOUT_S)
        if isinstance(reply, LeaseAcquired) and self.holder.record_grant(
            request_id, task, reply.outcome.number, self.clock()
        ):
            self._log("lease held", task=task, number=reply.outcome.number)

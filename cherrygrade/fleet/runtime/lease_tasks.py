"""Tasks that this dispatcher does for the fleet while it holds their leases; decisions in `leases/`.

A drill is a task that does nothing but order a mark at a receiver, with its lease's number: it shows on call
that leases are granted, renewed and taken over, and to tests that two never act at once.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

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
from cherrygrade.fleet.runtime.addresses import address
from cherrygrade.fleet.runtime.council_server import CouncilServer
from cherrygrade.settings import CouncilSettings

TICK_S = 0.05
DRILL_S = 0.1
WITHIN_S = 2.0
MOST_ASKS = 8  # at once


class LeaseTaskRunner:
    """`asking` is emptied as answers come or their time is up."""

    def __init__(
        self,
        council_server: CouncilServer,
        council: CouncilSettings,
        seed: int,
        clock: Callable[[], float],
        living: Callable[[], list[str]],
        log: Callable[..., None],
    ) -> None:
        """`living`: by name; nobody where this one is in no state to do anything for the fleet."""
        self.council_server, self.council, self.clock = council_server, council, clock
        self._living, self._log = living, log
        self.holding = LeaseHolder(council_server.name, council_server.birth, council.lease_ms, council.drift)
        self.wanting = LeaseClient(council_server.name, seed, clock())
        self.asking: set[asyncio.Task[None]] = set()
        self.drill: LeaseExercise | None = None
        for task in council.drills:
            self.wanting.want(task)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if self.council.drills and self.council.receiver:
            self.drill = LeaseExercise(self, self.council.receiver, self.council_server.source)
        self._beat()

    def leave(self) -> None:
        """This dispatcher ends: what it holds goes back at once, not at its end."""
        self.wanting.tasks.clear()
        self._give_all()

    def _give_all(self) -> None:
        for task in [*self.holding.held]:
            self._begin(self._give(task))

    async def _give(self, task: str) -> None:
        await self.give(task)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for task in self.asking:
            task.cancel()
        if self.drill is not None:
            self.drill.close()

    def status(self) -> dict[str, float]:
        """Tasks that are held here, and for how many ms yet."""
        now = self.clock()
        return {task: round(held.ends - now) for task, held in self.holding.held.items()}

    def _beat(self) -> None:
        now = self.clock()
        renew, over = self.holding.beat(now)
        for task in over:
            self._log("lease over", task=task)
        if renew:
            self._begin(self._renew())
        living = self._living()
        if not living:  # among the few, alone or overloaded: others do it better
            self._give_all()
        elif len(self.asking) < MOST_ASKS and (some := self.wanting.poll(now, living, {*self.holding.held})):
            self._begin(self._look(some))
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._beat)

    def _begin(self, doing: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(doing)  # type: ignore[arg-type]
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)

    async def _renew(self) -> None:
        asked, same = self.holding.renew(self.clock())
        ask = RenewLeases(asked, self.holding.name, self.holding.birth, same)
        try:
            answer = await self.council_server.ask(ask, WITHIN_S)
        except CouncilUnreachableError:
            return
        if isinstance(answer, LeasesRenewed):
            for task in self.holding.renewed(asked, answer.numbers, self.clock(), answer.unchanged):
                self._log("lease lost", task=task)
            strays, self.holding.strays = self.holding.strays, {}
            for task, number in strays.items():
                self._log("lease given back", task=task, number=number, why="not held here")
                await self._back(task, number)

    async def _look(self, some: list[str]) -> None:
        try:
            answer = await self.council_server.ask(
                ListFreeTasks(self.holding.ask(self.clock()), some), WITHIN_S
            )
            if isinstance(answer, FreeTasks):
                for task in self.wanting.told(some, answer.tasks, self._living(), self.clock()):
                    await self._take(task)
        except CouncilUnreachableError:
            return

    async def _take(self, task: str) -> None:
        asked = self.holding.ask(self.clock(), task)
        ask = AcquireLease(asked, task, self.holding.name, self.holding.birth, self.council.lease_ms)
        answer = await self.council_server.ask(ask, WITHIN_S)
        if isinstance(answer, LeaseAcquired) and self.holding.granted(
            asked, task, answer.outcome.number, self.clock()
        ):
            self._log("lease held", task=task, number=answer.outcome.number)

    async def give(self, task: str, failed: str = "") -> bool:
        """Back to the council; False where an order is still out, or it is not held."""
        number = self.holding.give(task)
        if number:
            await self._back(task, number, failed)
        return bool(number)

    async def _back(self, task: str, number: int, failed: str = "") -> None:
        ask = ReleaseLease(self.holding.ask(self.clock()), task, number, failed)
        try:
            await self.council_server.ask(ask, WITHIN_S)
        except CouncilUnreachableError:
            pass  # it ends by its time, or is found again


class LeaseExercise:
    """Orders of all drills that are held, on one connection."""

    def __init__(self, tasks: LeaseTaskRunner, receiver: str, source: str) -> None:
        self.tasks, self.receiver, self.source = tasks, receiver, source
        self.count = 0
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                to = address(self.receiver)
                assert to is not None  # checked with the settings
                reader, writer = await asyncio.open_connection(*to, local_addr=(self.source, 0))
                try:
                    await self._order(reader, writer)
                finally:
                    writer.close()
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(DRILL_S)

    async def _order(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        holding, clock = self.tasks.holding, self.tasks.clock
        while True:
            for task in [*holding.held]:
                number = holding.may(task, clock())  # right before the write
                if not number:
                    continue
                self.count += 1
                order = {
                    "task": task,
                    "number": number,
                    "holder": holding.name,
                    "birth": holding.birth,
                    "count": self.count,
                }
                writer.write(json.dumps(order).encode() + b"\n")
                holding.ordered(task, number, 1)
                line = await reader.readuntil(b"\n")
                holding.ordered(task, number, -1)
                if not json.loads(line)["done"]:  # a higher number was there: this one's time is over
                    holding.held.pop(task, None)
            await asyncio.sleep(DRILL_S)

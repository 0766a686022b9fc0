"""Exercises the leases: orders sequence numbers at a receiver while a lease is held."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from cherrygrade.fleet.runtime.addresses import parse_address

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.lease_tasks import LeaseTaskRunner

DRILL_S = 0.1


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
                to = parse_address(self.receiver)
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

"""Exercises the leases: while one is held, orders with its number go to a receiver.

The receiver carries out an order only where its lease number is not lower than one before. It shows operators
that leases are granted, renewed and taken over, and tests that no two holders act at once.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from cherrygrade.fleet.leases.lease_holder import LeaseHolder
from cherrygrade.fleet.runtime.addresses import parse_address

ORDER_INTERVAL_S = 0.1


class LeaseExercise:
    """Sends the orders of all exercise tasks that are held, on one connection.

    Attributes:
        holder: Holds the leases.
        clock: Tells the time, in ms.
        receiver: `IP:PORT` of the receiver.
        source: The IP address that the connection is made from.
        count: Orders sent, in all.
    """

    def __init__(self, holder: LeaseHolder, clock: Callable[[], float], receiver: str, source: str) -> None:
        self.holder = holder
        self.clock = clock
        self.receiver = receiver
        self.source = source
        self.count = 0
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop at once."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                to = parse_address(self.receiver)
                assert to is not None  # checked with the settings
                reader, writer = await asyncio.open_connection(*to, local_addr=(self.source, 0))
                try:
                    await self._send_orders(reader, writer)
                finally:
                    writer.close()
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass  # the receiver is down, or sent no JSON: connect again
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def _send_orders(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        holder, clock = self.holder, self.clock
        while True:
            for task in [*holder.held]:
                number = holder.fencing_number(task, clock())  # right before the write: it may have ended
                if not number:
                    continue
                self.count += 1
                order = {
                    "task": task,
                    "number": number,
                    "holder": holder.name,
                    "birth": holder.incarnation,
                    "count": self.count,
                }
                writer.write(json.dumps(order).encode() + b"\n")
                holder.track_order(task, number, 1)
                line = await reader.readuntil(b"\n")
                holder.track_order(task, number, -1)
                if not json.loads(line)["done"]:  # the receiver knows a later holder: this lease is over
                    holder.held.pop(task, None)
            await asyncio.sleep(ORDER_INTERVAL_S)

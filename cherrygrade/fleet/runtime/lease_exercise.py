"""Exercises the leases: while a lease is held, orders with its number are sent to a receiver.

The receiver carries out an order only where its lease number is not lower than that of any earlier order. The
exercise shows operators that leases are granted, renewed and taken over, and tests that no two holders act at
the same time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from cherrygrade.fleet.leases.lease_holder import LeaseHolder
from cherrygrade.fleet.runtime.addresses import parse_address

ORDER_INTERVAL_S = 0.1  # between two rounds of orders, and before the connection is opened again


class LeaseExercise:
    """Sends orders for all exercise tasks whose leases are held, over one connection.

    Attributes:
        holder: The leases that this dispatcher holds.
        clock: Returns the time in ms.
        receiver: `IP:PORT` of the receiver.
        source: The IP address that the connection is made from.
        order_count: Orders sent, in total.
    """

    def __init__(self, holder: LeaseHolder, clock: Callable[[], float], receiver: str, source: str) -> None:
        self.holder = holder
        self.clock = clock
        self.receiver = receiver
        self.source = source
        self.order_count = 0
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop sending orders, without waiting for one in flight."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                address = parse_address(self.receiver)
                assert address is not None  # the settings were checked for it
                reader, writer = await asyncio.open_connection(*address, local_addr=(self.source, 0))
                try:
                    await self._send_orders(reader, writer)
                finally:
                    writer.close()
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass  # the receiver is down, or its reply is not JSON: connect again
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def _send_orders(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        holder, clock = self.holder, self.clock
        while True:
            for task in [*holder.held]:
                # The number is read right before the write, because the lease may have expired.
                number = holder.fencing_number(task, clock())
                if not number:
                    continue
                self.order_count += 1
                order = {
                    "task": task,
                    "number": number,
                    "holder": holder.name,
                    "birth": holder.incarnation,
                    "count": self.order_count,
                }
                writer.write(json.dumps(order).encode() + b"\n")
                holder.track_order(task, number, 1)
                line = await reader.readuntil(b"\n")
                holder.track_order(task, number, -1)
                if not json.loads(line)["done"]:  # the receiver has seen a later holder: the lease is lost
                    holder.held.pop(task, None)
            await asyncio.sleep(ORDER_INTERVAL_S)

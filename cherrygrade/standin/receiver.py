"""Stand-in of a receiver of orders from lease holders, and checks of its record.

The receiver executes an order unless it has executed one with a higher number for the same task, and records
each order with the decision. An order is on disk before it is answered, because a restarted receiver learns
the highest numbers from its record.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path
from typing import Any

from cherrygrade.fleet.consensus.fencing import FencingGuard


class Receiver:
    """A receiver of orders, which rejects those of a holder that has been replaced.

    Attributes:
        orders: The highest number executed for each task.
        numbered: False if orders are executed whatever their number.
    """

    def __init__(self, record: Path, numbered: bool = True) -> None:
        """Read the highest numbers from an earlier record, and append to it from now on.

        Args:
            record: The file of the record; it need not exist.
            numbered: False to execute every order, as a receiver does that does not know about numbers.
        """
        max_numbers: dict[str, int] = {}
        if record.exists():
            for line in record.read_text().splitlines():
                _, task, number, *_, done = json.loads(line)
                if done:
                    max_numbers[task] = max(number, max_numbers.get(task, 0))
        self.orders, self.numbered = FencingGuard(max_numbers), numbered
        self._record = record.open("a")
        self._server: asyncio.Server | None = None

    async def start(self, listen: str) -> str:
        """Listen for orders.

        Args:
            listen: Host and port; the port may be 0.

        Returns:
            Host and port that the receiver listens at.
        """
        host, _, port = listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening, and close the record."""
        if self._server is not None:
            self._server.close()
        self._record.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                order = json.loads(line)
                task, number = str(order["task"]), int(order["number"])
                done = self.orders.accept(task, number) or not self.numbered
                holder = [order["holder"], order["birth"], order["count"]]
                entry = [time.monotonic() * 1000.0, task, number, *holder, done]
                self._record.write(json.dumps(entry) + "\n")
                self._record.flush()
                os.fsync(self._record.fileno())
                writer.write(json.dumps({"done": done}).encode() + b"\n")
        except (ConnectionError, ValueError, KeyError):
            pass
        finally:
            writer.close()


def read_executed_orders(record: Path) -> list[list[Any]]:
    """Return the orders that were executed, in the order of their arrival.

    Each is a list of the time in ms of the monotonic clock, the task, the number, the holder, the holder's
    incarnation, and the holder's count of its orders. An incomplete last line is left out.
    """
    lines = record.read_text().splitlines()
    return [order[:6] for line in lines if line.endswith("]") and (order := json.loads(line))[6]]


def find_conflicting_orders(record: Path) -> list[str]:
    """Return a description of each executed order that a single holder at a time cannot have sent.

    Such an order has a lower number than an earlier one of its task, or a number under which another holder,
    or another incarnation of the holder, has sent orders of the task. Only the receiver's record is used.
    """
    conflicts, last, owners = [], dict[str, int](), dict[tuple[str, int], tuple[str, int]]()
    for at_ms, task, number, holder, incarnation, _ in read_executed_orders(record):
        if number < last.get(task, 0):
            conflicts.append(
                f"task {task}: order number {number} of holder {holder} executed at {at_ms:.0f} ms"
                f" after number {last[task]}"
            )
        last[task] = max(number, last.get(task, 0))
        owner = owners.setdefault((task, number), (holder, incarnation))
        if owner != (holder, incarnation):
            conflicts.append(f"task {task}: order number {number} of two holders, {holder} and {owner[0]}")
    return conflicts


async def run_receiver(listen: str, record: Path, numbered: bool) -> None:
    """Run a receiver until the process ends; its address and its port are printed once it listens.

    Args:
        listen: Host and port to listen at; the port may be 0.
        record: The file of the record.
        numbered: False to execute every order, whatever its number.
    """
    receiver = Receiver(record, numbered)
    address = await receiver.start(listen)
    print(f"receiver {address} {address.rpartition(':')[2]}", flush=True)
    await asyncio.get_running_loop().create_future()

"""A receiver of orders: carries out what has no lower number than it has seen, and records each as it comes.

The record is its memory over a restart too: an order is on disk before it is answered.
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
    def __init__(self, record: Path, numbered: bool = True) -> None:
        """`numbered`: False carries out everything, as one that knows no numbers."""
        seen: dict[str, int] = {}
        if record.exists():
            for line in record.read_text().splitlines():
                _, task, number, *_, done = json.loads(line)
                if done:
                    seen[task] = max(number, seen.get(task, 0))
        self.orders, self.numbered = FencingGuard(seen), numbered
        self._record = record.open("a")
        self._server: asyncio.Server | None = None

    async def start(self, listen: str) -> str:
        host, _, port = listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self._record.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                order = json.loads(line)
                task, number = str(order["task"]), int(order["number"])
                done = self.orders.accept(task, number) or not self.numbered
                who = [order["holder"], order["birth"], order["count"]]
                told = [time.monotonic() * 1000.0, task, number, *who, done]
                self._record.write(json.dumps(told) + "\n")
                self._record.flush()
                os.fsync(self._record.fileno())
                writer.write(json.dumps({"done": done}).encode() + b"\n")
        except (ConnectionError, ValueError, KeyError):
            pass
        finally:
            writer.close()


def read_executed_orders(record: Path) -> list[list[Any]]:
    """Each order that was: ms of the monotonic clock, task, number, holder, birth, the holder's count."""
    lines = record.read_text().splitlines()
    return [told[:6] for line in lines if line.endswith("]") and (told := json.loads(line))[6]]


def find_conflicting_orders(record: Path) -> list[str]:
    """What no single holder could have done: from the receiver's record alone."""
    wrong, last, owners = [], dict[str, int](), dict[tuple[str, int], tuple[str, int]]()
    for at, task, number, holder, birth, _ in read_executed_orders(record):
        if number < last.get(task, 0):
            wrong.append(f"{task}: number {number} of {holder} at {at:.0f} behind {last[task]}")
        last[task] = max(number, last.get(task, 0))
        owner = owners.setdefault((task, number), (holder, birth))
        if owner != (holder, birth):
            wrong.append(f"{task}: number {number} of {holder} and of {owner[0]}")
    return wrong


async def run_receiver(listen: str, record: Path, numbered: bool) -> None:
    receiver = Receiver(record, numbered)
    place = await receiver.start(listen)
    print(f"receiver {place} {place.rpartition(':')[2]}", flush=True)
    await asyncio.get_running_loop().create_future()

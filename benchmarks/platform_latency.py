"""Latency and throughput of the platform's dispatcher: `platform_latency.py [--quick]`; nodes answer at once.

One client sends request after request, for the latency that the dispatcher adds; then many do, for the
throughput. Prints figures and judges none of them but that every request is served.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import time
from typing import ClassVar

import platform_door
from platform_door import Client, Stand

CLIENT_COUNTS = (1, 32, 256)


class TimedClient(Client):
    """A client that records how long each answer took, in ms."""

    latencies_ms: ClassVar[list[float]] = []

    def ask(self) -> None:
        self.asked_s = time.perf_counter()
        super().ask()

    def buffer_updated(self, nbytes: int) -> None:
        TimedClient.latencies_ms.append((time.perf_counter() - self.asked_s) * 1000.0)
        super().buffer_updated(nbytes)


async def measure(stand: Stand, clients: int, seconds: float) -> None:
    TimedClient.latencies_ms = []
    platform_door.DEPTH = clients
    served = await platform_door.window(stand.port, seconds)
    latencies = sorted(TimedClient.latencies_ms)
    p99 = latencies[int(0.99 * len(latencies))]
    median = statistics.median(latencies)
    print(f"{clients} clients: {served / seconds:.0f} served a second, p50 {median:.2f} ms, p99 {p99:.2f} ms")


async def main(quick: bool) -> int:
    platform_door.Client = TimedClient
    stand = Stand()
    try:
        await platform_door.window(stand.port, 5.0)  # windows open by a slot a second
        for clients in CLIENT_COUNTS:
            await measure(stand, clients, 4.0 if quick else 15.0)
    finally:
        stand.close()
    print(f"answers other than 200: {TimedClient.other}")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--quick" in sys.argv)))

"""A spoilt answer whose length is less than its body is passed on, cut off, as though it were whole."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable
from pathlib import Path

from standins.clients import Call, ClientConnection
from standins.loads import booking_write, bulk_export, seat_read, work_ms
from standins.play import Deployment, main
from standins.servers import StorageServer
from standins.sites import MACON_MAIN

SERVERS = 8
BAD_SHARD = 0
SPOILT_PART = 0.25
CLIENTS = 6
ROUNDS = 80
PAUSE_S = 0.02
WORKLOADS = (seat_read, booking_write, seat_read, bulk_export)
LENGTH = re.compile(rb"Content-Length: (\d+)")


def spoiler() -> Callable[[bytes], bytes | None]:
    """Return a function that spoils some answers by a length that does not fit: too long or too short."""
    chance = random.Random(48)

    def spoil(answer: bytes) -> bytes | None:
        if chance.random() >= SPOILT_PART:
            return None
        factor = chance.choice((0.5, 2.0))
        return LENGTH.sub(lambda found: b"Content-Length: %d" % (int(found[1]) * factor), answer)

    return spoil


async def client(number: int, deployment: Deployment, calls: list[Call]) -> None:
    """Send one request after the other, each after the answer to the one before."""
    connection = ClientConnection(f"client{number}", deployment.record)
    await connection.open(deployment.dispatchers[0].listen)
    for turn in range(ROUNDS):
        call = WORKLOADS[turn % len(WORKLOADS)]((number + turn) % SERVERS)
        calls.append(call)
        connection.send(call)
        await connection.idle()
        await asyncio.sleep(PAUSE_S)
    connection.close()


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaks."""
    servers = [StorageServer(f"s-{shard}", shard, work_ms, deployment.record) for shard in range(SERVERS)]
    await deployment.start(servers, 1, MACON_MAIN)
    if deployment.trouble:
        servers[BAD_SHARD].spoils_answer = spoiler()
    calls: list[Call] = []
    await asyncio.gather(*(client(number, deployment, calls) for number in range(CLIENTS)))
    print(f"{len(calls)} requests")
    return [
        f"{call.call_id} {call.workload}: 200 with {call.answer!r}, made was '{call.call_id} {call.target}'"
        for call in calls
        if call.is_foreign
    ]


if __name__ == "__main__":
    main(case, Path(__file__).with_name("record.txt"))

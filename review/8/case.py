"""Case 8: a second send waits until the node has forgotten the mark, and the write takes effect twice."""

from __future__ import annotations

import asyncio
from pathlib import Path

from cherrygrade.client.library import Client, Ok
from review.standins_2.case import Case, main
from review.standins_2.native import Room

WINDOW_MS = 450.0
RESETS_BEFORE = 6
TRIALS = 5
RECORD_BYTES = 64


async def read_some(client: Client, count: int) -> int:
    """Read from the node some times; return how many reads were answered ok."""
    answers = [
        await client.read("seat-read", "seatmap", "log-0", shard=0, length=16, deadline_ms=2000.0)
        for _ in range(count)
    ]
    return sum(isinstance(answer, Ok) for answer in answers)


async def trial(case: Case, room: Room, client: Client, number: int) -> None:
    """Append one record while the connections to the node are reset again and again."""
    node = room.nodes[0]
    if case.trouble:
        node.resets = RESETS_BEFORE
        end = case.record.now() + 8.0
        while node.resets and case.record.now() < end:
            await read_some(client, 1)
        while not await read_some(client, 1) and case.record.now() < end:
            pass
        node.resets = 1  # the answer to the next request: the request has begun, and has run
    record = bytes([ord("A") + number]) * RECORD_BYTES
    case.record.write("client-append", record=record[:1].decode(), bytes=RECORD_BYTES)
    answer = await client.write(
        "booking-write",
        "seatmap",
        "log-0",
        record,
        shard=0,
        append=True,
        token=f"booking-{number}".encode(),
        deadline_ms=1500.0,
    )
    case.record.write("client-answer", record=record[:1].decode(), answer=f"'{answer}'")
    node.resets = 0
    await asyncio.sleep(2.0)  # whatever is under way for the write has ended by now
    await read_some(client, 60)  # the node is well again, and is seen to be
    times = bytes(node.bytes["seatmap", "log-0"]).count(record)
    case.record.say(f"append {number}: {type(answer).__name__}, the record stands {times} times at the node")
    if times > 1:
        case.broken(f"append {number} took effect {times} times; its answer was {answer}")


async def play(case: Case) -> None:
    """Append some records, each under resets of the node's connections."""
    room = case.room()
    await room.open(1, 1, lambda extent: 0, f', effect: "tokened", group: "all", token_ms: {WINDOW_MS}')
    async with room.client("ticketing-1") as client:
        await client.write(
            "booking-write",
            "seatmap",
            "log-0",
            b"." * RECORD_BYTES,
            shard=0,
            token=b"first",
            deadline_ms=1500.0,
        )
        await read_some(client, 30)
        for number in range(TRIALS):
            await trial(case, room, client, number)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)

"""Tests of a dispatcher process with one client that sends at full speed: others go on, memory is limited.

The process has 1,024 descriptors and the least memory that the platform names.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from itertools import count

import pytest
from support.platform_process import PlatformProcess, run_process
from support.platform_site import client_request

pytestmark = pytest.mark.few

SOCKETS = 1024
MEMORY_MB = 32
ATTACK_S = 4.0
BURST_REQUESTS = 200
MAX_UNANSWERED_BYTES = 128 * 1024
NO_SUCH_SHARD = "units=1,shard=7,hosts=1"
MAX_USUAL_S = 0.5
_NUMBERS = count(1)


def small_requests() -> bytes:
    """Return requests that are answered by the dispatcher itself."""
    return b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" * BURST_REQUESTS


def requests_of_new_names() -> bytes:
    """Return requests of volumes and keys that were never named before; they are rejected at once."""
    targets = (f"/api/{number:016x}/{number:016x}" for number in _numbers())
    return b"".join(client_request(target, X_Budget_Ms="1", X_Extent=NO_SUCH_SHARD) for target in targets)


def unsound_requests() -> bytes:
    """Return requests of workloads that do not exist, each of which ends its connection."""
    return b"".join(client_request(X_Call_Class=f"none{number}") for number in _numbers())


def _numbers() -> Iterator[int]:
    return (next(_NUMBERS) for _ in range(BURST_REQUESTS))


async def send_at_full_speed(process: PlatformProcess, make_burst, end_s: float) -> None:
    """Send bursts and read all answers, on one connection after another, until the loop's time `end_s`."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        reader, writer = await asyncio.open_connection("127.0.0.1", process.port)
        writer.transport.set_write_buffer_limits(high=MAX_UNANSWERED_BYTES)

        async def read(reader: asyncio.StreamReader = reader) -> None:
            while await reader.read(65536):
                pass

        reading = asyncio.create_task(read())
        with contextlib.suppress(ConnectionError):
            while loop.time() < end_s and not reading.done():
                writer.write(make_burst())
                await asyncio.wait(
                    [reading, asyncio.create_task(writer.drain())], return_when="FIRST_COMPLETED"
                )
                await asyncio.sleep(0)
        writer.close()
        reading.cancel()
        await asyncio.wait([reading])
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reading


# Guards against answers that come late or never, and memory that grows, while one client sends small or
# unsound requests at full speed, also under ever new names.
@pytest.mark.parametrize("make_burst", [small_requests, requests_of_new_names, unsound_requests])
def test_one_client_at_full_speed_leaves_the_others_their_service(tmp_path, make_burst):
    async def case(process: PlatformProcess) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + ATTACK_S
        sending = asyncio.create_task(send_at_full_speed(process, make_burst, end_s))
        statuses, longest_s = [], 0.0
        while loop.time() < end_s:
            started_s = loop.time()
            statuses.append(await process.status_on_new_connection())
            longest_s = max(longest_s, loop.time() - started_s)
            await asyncio.sleep(0.02)
        await sending
        assert process.process.returncode is None, process.read_log()
        assert set(statuses) == {200}
        assert longest_s <= MAX_USUAL_S
        assert process.peak_mib <= MEMORY_MB, process.read_log()
        assert await process.stop() == 0, process.read_log()
        print(f"{len(statuses)} usual reads, longest {longest_s:.3f} s")

    asyncio.run(run_process(tmp_path, SOCKETS, MEMORY_MB, case))

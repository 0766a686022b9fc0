"""Tests of a dispatcher process with hundreds of clients that make it hold bytes: its memory stays limited.

The process has 1,024 descriptors and the memory that its configuration names, from the least that the
platform names. Usual clients are served meanwhile.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from support.platform_process import PlatformProcess, run_process
from support.platform_site import client_request

from cherrygrade.http.writer import encode_response

pytestmark = pytest.mark.few

SOCKETS = 1024
CLIENTS = 600
LONG_BODY = bytes(100_000)
TARGET = "/api/00000000000000cc/00000000000000dd"  # of another volume than the usual clients' one
NO_SUCH_SHARD = "units=1,shard=7,hosts=1"  # its requests stay open until their time is up
HOLD_S = 1.0
Attack = Callable[[PlatformProcess, list[asyncio.StreamWriter]], Awaitable[None]]


async def stop_half_way(process: PlatformProcess, clients: list[asyncio.StreamWriter]) -> None:
    """Stop right before the end of a write that is as long as a body may be without a claim of memory."""
    for writer in clients:
        writer.write(client_request(TARGET, method="PUT", body=bytes(65536))[:-100])
    await asyncio.sleep(HOLD_S)


async def write_slowly(process: PlatformProcess, clients: list[asyncio.StreamWriter]) -> None:
    """Write long requests in blocks."""
    for start in range(0, len(LONG_BODY) - 4096, 4096):
        request = client_request(TARGET, method="PUT", body=LONG_BODY)
        for writer in clients:
            writer.write(request[start : start + 4096])
        await asyncio.sleep(0.03)


async def send_many_fields(process: PlatformProcess, clients: list[asyncio.StreamWriter]) -> None:
    """Send heads of as many short fields as are read, without an end."""
    head = client_request(TARGET)[:-2] + b"".join(b"%x:\r\n" % number for number in range(58))
    for writer in clients:
        writer.write(head)
    await asyncio.sleep(HOLD_S)


async def send_far_ahead(process: PlatformProcess, clients: list[asyncio.StreamWriter]) -> None:
    """Send thousands of short messages behind a request that stays open."""
    first = client_request(TARGET, X_Budget_Ms="2000", X_Extent=NO_SUCH_SHARD)
    for writer in clients:
        writer.write(first + b"GET / HTTP/1.1\r\n\r\n" * 4000)
    await asyncio.sleep(HOLD_S)


async def leave_answers_unread(process: PlatformProcess, clients: list[asyncio.StreamWriter]) -> None:
    """Ask for long answers, some clients at a time, and read none."""
    process.node.script.extend([encode_response(200, bytes(60_000))] * len(clients))
    for number, writer in enumerate(clients):
        writer.transport.pause_reading()
        writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        writer.write(client_request(TARGET, X_Budget_Ms="2000"))
        if number % 5 == 0:
            await asyncio.sleep(0.02)
    process.node.script.clear()


async def connect_many(process: PlatformProcess) -> list[asyncio.StreamWriter]:
    """Connect CLIENTS clients, some of which are closed again for others; their answers are not read."""
    loop = asyncio.get_running_loop()
    writers = []
    for _ in range(CLIENTS):
        reader = asyncio.StreamReader(limit=2**30)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(lambda made=protocol: made, "127.0.0.1", process.port)
        writers.append(asyncio.StreamWriter(transport, protocol, reader, loop))
    return writers


async def use_as_usual(process: PlatformProcess, statuses: list[int], stop: asyncio.Event) -> None:
    """Send one read after another, each on a new connection, until `stop` is set."""
    while not stop.is_set():
        statuses.append(await process.status_on_new_connection(X_Budget_Ms="2000"))
        await asyncio.sleep(0.05)


# Guards against a process over its memory limit, which the platform kills, while many clients send in part,
# far ahead, or without reading.
@pytest.mark.parametrize(
    "memory_mb, attack",
    [
        (32, stop_half_way),
        (32, write_slowly),
        (32, send_many_fields),
        (32, send_far_ahead),
        (32, leave_answers_unread),
        (64, stop_half_way),
        (64, send_far_ahead),
        (192, stop_half_way),
        (192, send_far_ahead),
    ],
)
def test_memory_stays_within_the_limit_and_usual_clients_are_served(tmp_path, memory_mb: int, attack: Attack):
    async def case(process: PlatformProcess) -> None:
        statuses: list[int] = []
        stop = asyncio.Event()
        clients = await connect_many(process)
        usual = asyncio.create_task(use_as_usual(process, statuses, stop))
        await attack(process, clients)
        stop.set()  # not a cancellation, which `asyncio.wait_for` drops if an answer comes with it
        await usual
        assert process.process.returncode is None, process.read_log()
        assert process.peak_mib <= memory_mb, process.read_log()
        for writer in clients:
            writer.transport.abort()
        statuses.append(await process.status_on_new_connection(X_Budget_Ms="2000"))
        assert set(statuses) == {200}
        assert await process.stop() == 0, process.read_log()

    asyncio.run(run_process(tmp_path, SOCKETS, memory_mb, case))

"""Malformed and hostile clients of every kind at once against one process, beside well-behaved clients.

A fault here lets a hostile client use up sockets or memory, or crash the process, so
that others are not served.
"""

from __future__ import annotations

import asyncio
import socket

import psutil
import pytest
from support.platform_process import SOCKETS, PlatformProcess
from support.platform_site import client_request

from cherrygrade.http.reader import MessageReader

pytestmark = pytest.mark.alone

UNFINISHED_HEAD = client_request()[:-2]  # lacks the empty line
# By kind: what the client writes, and the status that it gets; None: its connection may just be closed.
KINDS: dict[str, tuple[list[bytes], int | None]] = {
    "no HTTP": ([b"\x00\x01\x02 nonsense\r\n\r\n"], 400),
    "a head without end": ([UNFINISHED_HEAD, *[b"X-More: " + b"a" * 1000 + b"\r\n"] * 40], 431),
    "many fields": ([UNFINISHED_HEAD, *[b"X-%d: 1\r\n" % n for n in range(200)], b"\r\n"], 431),
    "a body of 60 MB": ([client_request(method="PUT", Content_Length="61000000"), *[bytes(65536)] * 60], 413),
    "chunks without end": (
        [
            client_request(method="PUT", Content_Length=None, Transfer_Encoding="chunked"),
            *[b"1\r\nx\r\n" * 10000] * 12,
        ],
        413,
    ),
    "two lengths": (
        [client_request(method="PUT", body=b"abc", Content_Length="3\r\nContent-Length: 4")],
        400,
    ),
    "length and chunks": ([client_request(method="PUT", body=b"abc", Transfer_Encoding="chunked")], 400),
    "a class that is none": ([client_request(X_Call_Class="nothing")], 400),
    "a plan that is none": ([client_request(X_Storage_Class="nothing")], 400),
    "half a request": ([client_request()[:40]], None),
    "nothing": ([], None),
    "a flood": ([b"".join(client_request(X_Call_Class="nothing") for _ in range(400))], 400),
}


async def run_bad_client(platform: PlatformProcess, writes: list[bytes]) -> list[int] | None:
    """Return the statuses that the client gets until its connection ends; None after 6 s."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
    except ConnectionError:
        return []
    responses = MessageReader(responses=True)

    async def write() -> None:
        try:
            for some in writes:
                writer.write(some)
                await writer.drain()
        except ConnectionError:
            pass

    async def read() -> None:
        try:
            while some := await reader.read(65536):
                responses.feed(some)
        except ConnectionError:
            pass

    writing = asyncio.create_task(write())
    try:
        await asyncio.wait_for(read(), 6.0)
    except TimeoutError:
        return None
    finally:
        writing.cancel()
        writer.close()
    return [message.status for message in responses.messages]


async def run_deaf_client(platform: PlatformProcess) -> None:
    """Send many requests and read no answer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(sock, ("127.0.0.1", platform.port))
        await asyncio.wait_for(loop.sock_sendall(sock, b"".join(client_request() for _ in range(300))), 1.0)
        await asyncio.sleep(2.0)
    except (TimeoutError, ConnectionError):
        pass
    finally:
        sock.close()


def test_hostile_clients_of_every_kind_at_once_do_not_affect_well_behaved_clients(tmp_path):
    async def scenario() -> None:
        platform = PlatformProcess(tmp_path)
        await platform.start()
        try:
            client, process = await platform.connect_client(), psutil.Process(platform.process.pid)
            rss_before, max_fds, served, stop = process.memory_info().rss, 0, [], asyncio.Event()

            async def serve() -> None:
                nonlocal max_fds
                while not stop.is_set():
                    # Each request has its own key: a request after a rejected one of the same key counts as
                    # its retry.
                    answered = await client.exchange(
                        client_request(f"/api/00000000000000ac/{len(served):016x}")
                    )
                    served.append(answered.status if answered is not None else 0)
                    served.append(
                        await platform.status_on_new_connection(f"/api/00000000000000ac/{len(served):016x}")
                    )
                    max_fds = max(max_fds, process.num_fds())
                    await asyncio.sleep(0.01)

            serving = asyncio.create_task(serve())
            for _ in range(3):
                crowd = [run_deaf_client(platform) for _ in range(3)]
                results = await asyncio.gather(
                    *[run_bad_client(platform, writes) for writes, _ in KINDS.values()], *crowd
                )
                for (name, (_, status)), got in zip(KINDS.items(), results, strict=False):
                    assert got is not None, f"{name}: neither answered nor closed"
                    assert status is None or got[:1] in ([status], []), f"{name}: {got}"
                    assert 200 not in got, name
            stop.set()
            await serving
            # Well-behaved clients always get an answer, and hardly any rejection (the node runs in the
            # process of the test).
            assert len(served) > 20 and 0 not in served and served.count(200) >= 0.9 * len(served)
            assert max_fds <= SOCKETS - 8
            assert process.memory_info().rss - rss_before < 24 * 1024 * 1024
            assert {message.fields[b"x-call-class"] for message in platform.node.received} == {b"read"}
        finally:
            code = await platform.stop()
        assert code == 0 and "Traceback" not in platform.read_log()

    asyncio.run(asyncio.wait_for(scenario(), 90.0))

"""Bad clients of every kind at once against one process, and what usual clients get beside them."""

from __future__ import annotations

import asyncio
import socket

import psutil
import pytest
from support.platform_process import SOCKETS, PlatformProcess
from support.platform_site import client_request

from cherrygrade.http.reader import MessageReader

pytestmark = pytest.mark.alone

CUT = client_request()[:-2]  # its head does not end
# What each kind writes, and what it is told; None: a close will do.
KINDS: dict[str, tuple[list[bytes], int | None]] = {
    "no HTTP": ([b"\x00\x01\x02 nonsense\r\n\r\n"], 400),
    "a head without end": ([CUT, *[b"X-More: " + b"a" * 1000 + b"\r\n"] * 40], 431),
    "many fields": ([CUT, *[b"X-%d: 1\r\n" % n for n in range(200)], b"\r\n"], 431),
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


async def bad(one: PlatformProcess, writes: list[bytes]) -> list[int] | None:
    """The statuses that it is told until its connection ends; None where that takes over 6 s."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", one.port)
    except ConnectionError:
        return []
    told = MessageReader(responses=True)

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
                told.feed(some)
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
    return [message.status for message in told.messages]


async def deaf(one: PlatformProcess) -> None:
    """Asks for much and never reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(sock, ("127.0.0.1", one.port))
        await asyncio.wait_for(loop.sock_sendall(sock, b"".join(client_request() for _ in range(300))), 1.0)
        await asyncio.sleep(2.0)
    except (TimeoutError, ConnectionError):
        pass
    finally:
        sock.close()


def test_floods_of_every_kind_at_once_cost_usual_clients_nothing(tmp_path):
    async def story() -> None:
        one = PlatformProcess(tmp_path)
        await one.start()
        try:
            usual, kept = await one.connect_client(), psutil.Process(one.process.pid)
            before, most, served, stop = kept.memory_info().rss, 0, [], asyncio.Event()

            async def serve() -> None:
                nonlocal most
                while not stop.is_set():
                    # Each of its own key: one that follows what was given up there is taken for its repeat.
                    answered = await usual.exchange(
                        client_request(f"/api/00000000000000ac/{len(served):016x}")
                    )
                    served.append(answered.status if answered is not None else 0)
                    served.append(
                        await one.status_on_new_connection(f"/api/00000000000000ac/{len(served):016x}")
                    )
                    most = max(most, kept.num_fds())
                    await asyncio.sleep(0.01)

            serving = asyncio.create_task(serve())
            for _ in range(3):
                crowd = [deaf(one) for _ in range(3)]
                told = await asyncio.gather(*[bad(one, writes) for writes, _ in KINDS.values()], *crowd)
                for (name, (_, status)), got in zip(KINDS.items(), told, strict=False):
                    assert got is not None, f"{name}: neither told nor closed"
                    assert status is None or got[:1] in ([status], []), f"{name}: {got}"
                    assert 200 not in got, name
            stop.set()
            await serving
            # Nobody usual is closed unanswered, and hardly any is rejected (the node shares this process).
            assert len(served) > 20 and 0 not in served and served.count(200) >= 0.9 * len(served)
            assert most <= SOCKETS - 8
            assert kept.memory_info().rss - before < 24 * 1024 * 1024
            assert {message.fields[b"x-call-class"] for message in one.node.received} == {b"read"}
        finally:
            code = await one.stop()
        assert code == 0 and "Traceback" not in one.read_log()

    asyncio.run(asyncio.wait_for(story(), 90.0))

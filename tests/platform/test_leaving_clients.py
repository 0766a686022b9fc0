"""Tests of clients that send much at once and leave: nothing is sent for them, and no id runs twice."""

from __future__ import annotations

import asyncio
import socket

import pytest
from support.platform_site import PlatformSite, client_request, run_case

from cherrygrade.platform.call_ids import SentCallIds
from cherrygrade.platform.client_connection import MAX_READ_AHEAD_BYTES

CALL_ID = "9b1f03aa5c7e2d41"


def send_all_that_fits(site: PlatformSite, data: bytes) -> socket.socket:
    """Connect, and write until the kernel's buffers are full."""
    sock = socket.create_connection(("127.0.0.1", site.port))
    sock.setblocking(False)
    position = 0
    while position < len(data):
        try:
            position += sock.send(data[position : position + 65536])
        except BlockingIOError:
            break
    return sock


# Guards against attempts after the client has closed behind more bytes than were read ahead before.
@pytest.mark.parametrize("requests", [300, 20_000], ids=["read-ahead", "beyond-the-kernels-buffers"])
@pytest.mark.parametrize("resets", [False, True], ids=["answer", "reset"])
def test_requests_of_a_client_that_has_left_are_not_sent(tmp_path, requests, resets):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node(work_ms=5.0)
        dispatcher = await site.start()
        node.script.append(None)
        request = client_request(X_Budget_Ms="2000")
        data = request + request.replace(b"/00000000000000bb", b"/00000000000000cc") * requests
        client = send_all_that_fits(site, data)
        await site.wait_until(lambda: node.received)
        client.close()
        await asyncio.sleep(0.1)  # STANDING: an attempt that begins later than this after the close is lost
        received_at_close = len(node.received)
        if resets:  # the attempt would be repeated
            node.peers[0].cut()
        elif node.peers:
            node._answer(node.peers[0], node.received[0])
        await asyncio.sleep(0.2)
        assert len(node.received) == received_at_close == 1
        assert not dispatcher.round_carrier.open_requests and not dispatcher.client_registry.connections

    run_case(tmp_path, case)


# Guards against memory for a client that sends ahead without end: its open request gets an error.
def test_client_that_sends_too_much_ahead_gets_an_error(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        node.script.append(None)
        client = await site.connect_client()
        request = client_request(X_Budget_Ms="2000")
        client.writer.write(request)
        await site.wait_until(lambda: node.received)
        client.writer.write(b"GET / HTTP/1.1\r\n\r\n" * (MAX_READ_AHEAD_BYTES // 17))
        answer = await client.read_answer()
        assert answer is not None and answer.status == 502
        assert await client.read_answer() is None
        assert len(node.received) == 1 and not dispatcher.round_carrier.open_requests
        assert (await (await site.connect_client()).exchange(client_request())).status == 200

    run_case(tmp_path, case)


# Guards against an id that takes effect twice when it comes again after its client has left.
@pytest.mark.parametrize("workload", ["write", "once"])
@pytest.mark.parametrize("answered", [False, True])
def test_id_that_comes_again_after_its_client_has_left_is_refused(tmp_path, workload, answered):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        if not answered:
            node.script.append(None)
        request = client_request(method="PUT", body=b"x", X_Call_Id=CALL_ID, X_Call_Class=workload)
        client = await site.connect_client()
        client.writer.write(request)
        await site.wait_until(lambda: node.received)
        if answered:
            assert (await client.read_answer()).status == 200
        client.writer.close()
        await site.wait_until(lambda: not dispatcher.client_registry.connections)
        assert not dispatcher.round_carrier.open_requests
        answer = await (await site.connect_client()).exchange(request)
        assert answer is not None and answer.status == 409
        assert len(node.received) == 1

    run_case(tmp_path, case)


def test_id_of_a_request_that_was_not_sent_may_come_again(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        request = client_request(X_Call_Id=CALL_ID, X_Extent="units=1,shard=7,hosts=1")
        client = await site.connect_client()
        client.writer.write(request)
        await site.wait_until(lambda: dispatcher.round_carrier.open_requests)
        client.writer.close()
        await site.wait_until(lambda: not dispatcher.client_registry.connections)
        answer = await (await site.connect_client()).exchange(client_request(X_Call_Id=CALL_ID))
        assert answer is not None and answer.status == 200
        assert len(node.received) == 1

    run_case(tmp_path, case)


def test_sent_ids_are_forgotten_oldest_first():
    ids = SentCallIds(3)
    for call_id in (b"a", b"b", b"c", b"a", b"d"):
        ids.add(call_id)
    assert [call_id in ids for call_id in (b"a", b"b", b"c", b"d")] == [True, False, True, True]

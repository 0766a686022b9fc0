"""Tests of requests whose rest, by a wrong length, arrives in a later read than their told end."""

from __future__ import annotations

import asyncio
import time

import pytest
from support.platform_site import PlatformSite, RawClient, client_request, run_case

from cherrygrade.http.request_start import RequestStart, request_start
from cherrygrade.platform import client_connection
from cherrygrade.platform.message_end import MAX_REQUEST_WAIT_MS
from cherrygrade.platform.process import RECEIVE_BUFFER_BYTES

BLOCK = b"\xb5" * 4096
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n"


def put(body: bytes, length: int | None, **fields: str) -> bytes:
    """Encode a write whose `Content-Length` is `length`; None leaves the field out."""
    told = None if length is None else str(length)
    return client_request(method="PUT", body=body, Content_Length=told, **fields)


async def is_refused(site: PlatformSite, client: RawClient) -> None:
    """Check that the client gets one error and the close, and that nothing of its request is left."""
    answer = await client.read_answer()
    assert answer is not None and answer.status == 400
    assert await client.read_answer() is None
    dispatcher = site.dispatcher
    assert dispatcher is not None
    await site.wait_until(lambda: not dispatcher.rounds.scheduler.requests)
    assert not dispatcher.round_carrier.open_requests and not dispatcher.request_budget.reserved_bytes


# Guards against review case 9: a write cut short by its length is answered 200 though its rest is there.
@pytest.mark.parametrize(
    "first",
    [put(BLOCK, len(BLOCK)), put(b"", None), put(b"", 0), client_request()],
    ids=["half", "none", "zero", "read"],
)
@pytest.mark.parametrize("workload", ["write", "once"])
def test_write_whose_rest_arrives_before_its_answer_is_refused(tmp_path, first, workload):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node(work_ms=60.0)
        await site.start()
        client = await site.connect_client()
        client.writer.write(first.replace(b"Class: write", b"Class: " + workload.encode()))
        await site.wait_until(lambda: node.received)
        client.writer.write(BLOCK)
        await is_refused(site, client)
        assert len(node.received) == 1

    run_case(tmp_path, case)


# Guards against the same failure where the node answers sooner than the rest arrives.
def test_write_whose_rest_arrives_some_ms_after_the_nodes_answer_is_refused(tmp_path, monkeypatch):
    # Long enough that a late timer of the test does not come after the end of the wait.
    monkeypatch.setattr(client_connection, "MAX_REQUEST_WAIT_MS", 100.0 * MAX_REQUEST_WAIT_MS)

    async def case(site: PlatformSite) -> None:
        node = await site.add_node(work_ms=0.0)
        await site.start()
        await (await site.connect_client()).exchange(
            client_request()
        )  # the connection to the node is there now
        await asyncio.sleep(0.02)
        node.script.append(CHUNKED)
        client = await site.connect_client()
        client.writer.write(put(BLOCK, len(BLOCK)))
        await asyncio.sleep(0.6 * MAX_REQUEST_WAIT_MS / 1000.0)
        client.writer.write(BLOCK)
        await is_refused(site, client)

    run_case(tmp_path, case)


# Guards against the same failure where the process stands still while the rest arrives.
def test_rest_that_is_unread_right_before_the_answer_is_looked_at(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        node.script.append(None)
        client = await site.connect_client()
        client.writer.write(put(BLOCK, len(BLOCK)))
        await site.wait_until(lambda: node.received)
        (connection,) = dispatcher.client_registry.connections
        node.peers[0].write(CHUNKED)
        client.writer.write(BLOCK)
        time.sleep(3.0 * MAX_REQUEST_WAIT_MS / 1000.0)
        await is_refused(site, client)
        assert connection not in dispatcher.client_registry.connections

    run_case(tmp_path, case)


# Guards against an attempt with the first part of a body after its rest has arrived.
def test_write_that_waits_for_a_slot_is_not_sent_once_its_rest_has_arrived(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        node.script.append(None)
        (await site.connect_client()).writer.write(client_request())
        await site.wait_until(lambda: node.received)
        (pool,) = dispatcher.round_carrier.pools.values()
        queue = dispatcher.rounds.scheduler.node_queues[pool.node]
        queue.limit.window = 1.0
        client = await site.connect_client()
        request = put(BLOCK, len(BLOCK)).replace(b"00bb", b"00cc")
        client.writer.write(request)
        await site.wait_until(lambda: queue.has_waiting)
        client.writer.write(BLOCK)
        answer = await client.read_answer()
        assert answer is not None and answer.status == 400
        assert not queue.has_waiting
        node._answer(node.peers[0], node.received[0])
        await asyncio.sleep(0.05)
        assert len(node.received) == 1

    run_case(tmp_path, case)


# Guards against a request whose told end falls on the end of a full read, so that its rest is not read yet.
def test_write_whose_told_end_is_the_end_of_a_full_read_is_not_sent(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        client = await site.connect_client()
        head_bytes = len(put(bytes(10_000), 10_000)) - 10_000
        body = bytes(RECEIVE_BUFFER_BYTES - head_bytes)
        request = put(body, len(body))
        assert len(request) == RECEIVE_BUFFER_BYTES
        client.writer.write(request + BLOCK)
        await is_refused(site, client)
        assert not node.received

    run_case(tmp_path, case)


@pytest.mark.parametrize("pieces", [1, 2, 12])
def test_next_request_that_arrives_in_pieces_leaves_no_doubt(tmp_path, pieces):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node(work_ms=40.0)
        await site.start()
        client = await site.connect_client()
        client.writer.write(put(BLOCK, len(BLOCK)))
        following = client_request(method="PUT", body=b"next")
        for number in range(pieces):
            await asyncio.sleep(0.005)
            start, end = number * len(following) // pieces, (number + 1) * len(following) // pieces
            client.writer.write(following[start:end])
        assert [(await client.read_answer()).status for _ in range(2)] == [200, 200]
        assert [message.body for message in node.received] == [BLOCK, b"next"]

    run_case(tmp_path, case)


# Guards against an answer that is lost because the connection closes while it waits for the request's end.
def test_waiting_answer_is_written_before_the_connection_closes(tmp_path, monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_REQUEST_WAIT_MS", 1000.0)

    async def case(site: PlatformSite) -> None:
        node = await site.add_node(work_ms=0.0)
        dispatcher = await site.start()
        node.script.append(CHUNKED)
        client = await site.connect_client()
        client.writer.write(put(BLOCK, len(BLOCK)))
        await site.wait_until(lambda: dispatcher.client_registry.connections)
        (connection,) = dispatcher.client_registry.connections
        await site.wait_until(lambda: connection._answer is not None)
        connection.close_gracefully()
        answer = await client.read_answer()
        assert answer is not None and (answer.status, answer.body) == (200, b"mine")

    run_case(tmp_path, case)


@pytest.mark.parametrize(
    "data, start",
    [
        (b"", RequestStart.UNDECIDED),
        (b"\r\n", RequestStart.UNDECIDED),
        (b"PU", RequestStart.UNDECIDED),
        (b"\r\nPUT /a HTT", RequestStart.UNDECIDED),
        (b"GET /a HTTP/1.1\r", RequestStart.UNDECIDED),
        (b"GET /a HTTP/1.1\r\nx", RequestStart.YES),
        (b"POST http://a/b HTTP/1.0\r\n", RequestStart.YES),
        (b"GET it now", RequestStart.NO),
        (b"get /a HTTP/1.1\r\n", RequestStart.NO),
        (b"GET /a HTTP/2", RequestStart.NO),
        (b"GET /a\r\n", RequestStart.NO),
        (b"HTTP/1.1 200 OK\r\n", RequestStart.NO),
        (b"\x00", RequestStart.NO),
        (b"A" * 21, RequestStart.NO),
    ],
)
def test_request_start(data, start):
    assert request_start(data) is start

"""Tests of responses whose end is not certain: they wait for further bytes before they are used."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest
from support.platform_site import (
    SETTINGS,
    TARGET,
    OutcomeRecorder,
    PlatformSite,
    RawClient,
    client_request,
    run_case,
)

from cherrygrade.http.writer import encode_response
from cherrygrade.platform.message_end import MAX_RESPONSE_WAIT_MS
from cherrygrade.scheduling.model import Outcome
from cherrygrade.standin.web import Peer, WebNode

USUAL_BODY = b"of " + TARGET
BLOCK = b"b" * 4096
# One attempt at a time, so that a second one is not faster than the parts of the first one's response.
NO_HEDGING = SETTINGS | {"limits": SETTINGS["limits"] | {"secondCopies": False}}


async def open_read(site: PlatformSite, node: WebNode, **fields: str) -> tuple[RawClient, Peer]:
    """Send a read that the node leaves unanswered; return the client and the node's side of it."""
    node.script.append(None)
    client = await site.connect_client()
    client.writer.write(client_request(**fields))
    received_before = len(node.received)
    await site.wait_until(lambda: len(node.received) > received_before)
    return client, node.peers[0]


# Guards against review case 8: a body whose rest arrives in a later read is forwarded as a complete 200.
@pytest.mark.parametrize("pause_ms", [0.0, 0.5, 2.0, MAX_RESPONSE_WAIT_MS / 2.0])
@pytest.mark.parametrize("status, fields", [(200, b""), (503, b"X-Rejected: 1\r\n")], ids=["ok", "rejection"])
def test_response_whose_rest_arrives_later_is_not_forwarded(tmp_path, pause_ms, status, fields):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder, settings=NO_HEDGING)
        client, peer = await open_read(site, node)
        peer.write(encode_response(status, BLOCK, fields))
        await asyncio.sleep(pause_ms / 1000.0)
        peer.write(BLOCK)
        answer = await client.read_answer()
        assert (answer.status, answer.body) == (200, USUAL_BODY)
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.FAILED, Outcome.OK]
        assert (len(node.received), node.connections_made) == (2, 2)
        assert not dispatcher.answer_budget.reserved_bytes

    run_case(tmp_path, case)


# Guards against the same failure where the process stands still while the rest arrives.
def test_rest_that_is_unread_when_the_wait_ends_is_read_before_the_answer(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder, settings=NO_HEDGING)
        client, peer = await open_read(site, node)
        peer.write(encode_response(200, BLOCK))
        await site.wait_until(
            lambda: any(pool.awaiting_end for pool in dispatcher.round_carrier.pools.values())
        )
        peer.write(BLOCK)
        time.sleep(3.0 * MAX_RESPONSE_WAIT_MS / 1000.0)
        assert (await client.read_answer()).body == USUAL_BODY
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.FAILED, Outcome.OK]

    run_case(tmp_path, case)


# Guards against a wait that takes a slot of the node or counts as the node's latency.
def test_waiting_response_takes_no_slot_and_no_latency_of_the_node(tmp_path):
    async def case(site: PlatformSite) -> None:
        await site.add_node(work_ms=0.0)
        dispatcher = await site.start(OutcomeRecorder, settings=NO_HEDGING)
        client = await site.connect_client()
        client.writer.write(client_request())
        await site.wait_until(lambda: dispatcher.round_carrier.pools)
        (pool,) = dispatcher.round_carrier.pools.values()
        await site.wait_until(lambda: pool.awaiting_end)
        (connection,) = pool.awaiting_end
        queue = dispatcher.rounds.scheduler.node_queues[pool.node]
        dispatcher.rounds.schedule_round()
        await asyncio.sleep(0)
        attempt = connection.attempt
        assert attempt is not None and attempt.outcome is None and attempt in queue.attempts
        assert not queue.busy
        started_s = asyncio.get_running_loop().time()
        assert (await client.read_answer()).body == USUAL_BODY
        assert asyncio.get_running_loop().time() - started_s < 0.1
        assert attempt.outcome is Outcome.OK
        assert attempt.latency_ms == attempt.response_ms - attempt.sent_ms
        # No further connection is made for an attempt that comes while a response waits.
        assert (await client.exchange(client_request())).status == 200
        assert (pool.connect_count, pool.awaiting_end) == (1, {})

    run_case(tmp_path, case)


# Guards against a request that waits for a slot until the wait for the end of another's response is over.
def test_request_that_waits_for_a_slot_gets_it_when_the_node_has_responded(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder, settings=NO_HEDGING)
        _, peer = await open_read(site, node)
        (pool,) = dispatcher.round_carrier.pools.values()
        queue = dispatcher.rounds.scheduler.node_queues[pool.node]
        queue.limit.window = 1.0
        second = await site.connect_client()
        second.writer.write(client_request("/api/00000000000000aa/00000000000000cc"))
        await site.wait_until(lambda: queue.has_waiting)
        peer.write(encode_response(200, BLOCK))
        await site.wait_until(lambda: pool.awaiting_end)
        await asyncio.sleep(0)
        assert not queue.has_waiting and queue.busy == 1
        assert not dispatcher.rounds.scheduler.outcomes
        assert (await second.read_answer()).status == 200

    run_case(tmp_path, case)


# Guards against a wait where the end is certain: the node has closed its side behind the response.
def test_response_with_the_nodes_close_behind_it_does_not_wait(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        client, peer = await open_read(site, node)
        peer.write(encode_response(200, BLOCK, close=True))
        peer.transport.close()
        assert (await client.read_answer()).body == BLOCK
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.OK]
        assert not any(pool.connections for pool in dispatcher.round_carrier.pools.values())

    run_case(tmp_path, case)


def test_reset_while_a_response_waits_is_no_end_of_it(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder, settings=NO_HEDGING)
        client, peer = await open_read(site, node)
        peer.write(encode_response(200, BLOCK))
        await site.wait_until(
            lambda: any(pool.awaiting_end for pool in dispatcher.round_carrier.pools.values())
        )
        linger_off = struct.pack("ii", 1, 0)  # a close resets the connection
        peer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_off)
        peer.cut()
        assert (await client.read_answer()).body == USUAL_BODY
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.RESET, Outcome.OK]

    run_case(tmp_path, case)


# Guards against an answer that was not watched for the whole wait, as the request's time was up before.
def test_response_whose_wait_would_end_after_the_deadline_is_an_error(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        client, peer = await open_read(site, node, X_Budget_Ms="100")
        (pending,) = dispatcher.round_carrier.open_requests.values()
        loop = asyncio.get_running_loop()
        loop.call_at((pending.deadline_ms - 3.0) / 1000.0, peer.write, encode_response(200, BLOCK))
        answer = await client.read_answer()
        assert answer.status in (502, 503) and not answer.body
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.TIMED_OUT]

    run_case(tmp_path, case)


def test_client_that_leaves_while_a_response_waits_leaves_nothing_behind(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        client, peer = await open_read(site, node)
        peer.write(encode_response(200, BLOCK))
        (pool,) = dispatcher.round_carrier.pools.values()
        await site.wait_until(lambda: pool.awaiting_end)
        client.writer.close()
        await site.wait_until(lambda: not dispatcher.rounds.scheduler.requests)
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.OK]
        assert not dispatcher.round_carrier.open_requests and not pool.awaiting_end
        assert (await (await site.connect_client()).exchange(client_request())).status == 200

    run_case(tmp_path, case)

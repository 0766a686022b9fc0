"""Tests of responses that are followed by further bytes: which are forwarded, and which have failed."""

from __future__ import annotations

import asyncio

import pytest
from support.platform_site import SETTINGS, TARGET, OutcomeRecorder, PlatformSite, client_request, run_case

from cherrygrade.http.reader import MAX_BODY_BYTES
from cherrygrade.http.writer import encode_response
from cherrygrade.platform.message_end import MAX_RESPONSE_WAIT_MS
from cherrygrade.platform.process import RECEIVE_BUFFER_BYTES
from cherrygrade.scheduling.model import Outcome

USUAL_BODY = b"of " + TARGET
OTHER_RESPONSE = encode_response(200, b"somebody else's")
MINE = encode_response(200, b"mine")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n"
LONG_BODY = b"l" * (3 * MAX_BODY_BYTES)


def cut(body: bytes, length: int, status: int = 200, fields: bytes = b"") -> bytes:
    """Encode a response whose `Content-Length` is smaller than its body."""
    assert length < len(body)
    return encode_response(status, body[:length], fields) + body[length:]


IN_DOUBT = pytest.mark.parametrize(
    "response",
    [
        cut(b"the whole body", 7),
        cut(b"the whole body", 13),
        cut(b"the whole body", 0),
        cut(b"a line\r\n", 6),
        cut(b"a line\n", 6),
        cut(b"before" + OTHER_RESPONSE, 6),
        cut(b"HTTP/1.1 HTTP/1.1", 9),
        cut(LONG_BODY, len(LONG_BODY) - 1),
        MINE + b"\x00\x01 noise",
        MINE + OTHER_RESPONSE,
        MINE + MINE.replace(b"mine", b"mind"),
        MINE + MINE[:-1],
        MINE + b"HTTP/1.1 20",
    ],
    ids=[
        "half",
        "one-byte-short",
        "length-0",
        "line-end",
        "line-feed",
        "response-in-the-body",
        "head-in-the-body",
        "long",
        "noise",
        "other-response",
        "other-body",
        "copy-without-end",
        "start-of-a-head",
    ],
)


# Guards against a body that is cut short by its `Content-Length` and reaches the client as a complete 200.
@IN_DOUBT
def test_response_whose_end_is_in_doubt_is_not_forwarded_and_the_read_is_retried(tmp_path, response):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        node.script.append(response)
        client = await site.connect_client()
        read = await client.exchange(client_request())
        assert (read.status, read.body) == (200, USUAL_BODY)
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.FAILED, Outcome.OK]
        # The next request is not sent on the connection that is of no further use.
        assert (await client.exchange(client_request())).body == USUAL_BODY
        assert (len(node.received), node.connections_made) == (3, 2)
        assert not dispatcher.answer_budget.reserved_bytes
        dispatcher._log_counts()
        assert site.logs[-1] == ("responses in doubt", {"count_by_node": {node.host: 1}})
        dispatcher._log_counts()
        assert site.logs[-1][0] == "counts"  # the event is logged again only for new responses

    run_case(tmp_path, case)


# Guards against the same failure where the request must not run twice: the client gets an error.
@IN_DOUBT
def test_response_whose_end_is_in_doubt_is_an_error_if_the_request_must_not_run_twice(tmp_path, response):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        node.script.append(response)
        client = await site.connect_client()
        answer = await client.exchange(client_request(method="PUT", body=b"x", X_Call_Class="once"))
        assert (answer.status, len(node.received)) == (502, 1)

    run_case(tmp_path, case)


# Guards against a repeated request after a "did not run" that may be the start of another answer.
def test_rejection_whose_end_is_in_doubt_does_not_count_as_not_run(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        node.script.append(cut(b"the whole body", 7, 503, b"X-Rejected: 1\r\n"))
        once = {"X_Call_Class": "once", "method": "PUT", "body": b"x"}
        answer = await (await site.connect_client()).exchange(client_request(**once))
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.FAILED]
        assert (answer.status, len(node.received)) == (502, 1)

    run_case(tmp_path, case)


@pytest.mark.parametrize(
    "response",
    [
        MINE + MINE,
        MINE + MINE + MINE,
        MINE + MINE + b"noise",
        CHUNKED + b"noise",
        CHUNKED + CHUNKED,
        CHUNKED + OTHER_RESPONSE,
        b"HTTP/1.1 100 Continue\r\n\r\n" + MINE + MINE,
    ],
    ids=["copy", "copies", "copy-noise", "chunks-noise", "chunks-copy", "chunks-other", "interim-copy"],
)
def test_response_whose_end_is_certain_is_forwarded_and_its_connection_closed(tmp_path, response):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        node.script.append(response)
        client = await site.connect_client()
        assert (await client.exchange(client_request())).body == b"mine"
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.OK]
        assert (await client.exchange(client_request())).body == USUAL_BODY
        assert (len(node.received), node.connections_made) == (2, 2)

    run_case(tmp_path, case)


@pytest.mark.parametrize("body", [b"mine", LONG_BODY], ids=["short", "long"])
def test_second_copy_that_arrives_in_pieces_is_awaited(tmp_path, body):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        # A second attempt must not be faster than the pieces of the first one's response.
        await site.start(settings=SETTINGS | {"limits": SETTINGS["limits"] | {"secondCopies": False}})
        response = encode_response(200, body)
        node.script.append(None)
        client = await site.connect_client()
        client.writer.write(client_request())
        await site.wait_until(lambda: node.received)
        peer = node.peers[0]
        peer.write(response + response[:30])
        await asyncio.sleep(MAX_RESPONSE_WAIT_MS / 4000.0)
        peer.write(response[30:])
        assert (await client.read_answer()).body == body
        assert len(node.received) == 1

    run_case(tmp_path, case)


# Guards against a response that ends with a read, so that the rest of its body has not been read yet.
@pytest.mark.parametrize("rest, outcome", [(b"the rest", Outcome.FAILED), (b"", Outcome.OK)])
@pytest.mark.parametrize("closes", [False, True])
def test_bytes_behind_a_full_read_are_read_before_the_response_is_used(tmp_path, rest, outcome, closes):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        empty_bytes = len(encode_response(200, bytes(10_000))) - 10_000
        response = encode_response(200, b"a" * (RECEIVE_BUFFER_BYTES - empty_bytes))
        assert len(response) == RECEIVE_BUFFER_BYTES
        node.script.append(None)
        client = await site.connect_client()
        client.writer.write(client_request())
        await site.wait_until(lambda: node.received)
        node.peers[0].transport.write(response + rest)
        if closes:
            node.peers[0].transport.close()
        body = USUAL_BODY if rest else response[empty_bytes:]
        assert (await client.read_answer()).body == body
        assert dispatcher.rounds.scheduler.outcomes[0] is outcome

    run_case(tmp_path, case)


# Guards against an attempt without an outcome if the node closes while a second copy is awaited.
def test_close_within_a_second_copy_ends_the_attempt(tmp_path):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        node.script.append(None)
        client = await site.connect_client()
        client.writer.write(client_request())
        await site.wait_until(lambda: node.received)
        node.peers[0].transport.write(MINE + MINE[:30])
        node.peers[0].transport.close()
        assert (await client.read_answer()).body == USUAL_BODY
        assert dispatcher.rounds.scheduler.outcomes == [Outcome.RESET, Outcome.OK]

    run_case(tmp_path, case)

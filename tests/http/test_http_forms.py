"""Tests of the forms that HTTP/1.1 allows for a message, each sent in one piece and byte by byte.

Requests go from a raw client through a dispatcher to a node, and responses go back the same way. A field
value over several lines (obs-fold) is refused in both directions, so that all parsers agree on where a value
ends. RFC 9112, 5.2 allows a server to answer such a request with 400, and a gateway to discard such a
response; llhttp rejects both.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest
from support.platform_site import TARGET, PlatformSite, client_request, run_case

from cherrygrade.scheduling.model import Outcome
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.standin.web import Peer

CALL_ID = b"e7559a84b003f4cf"
PIECES = pytest.mark.parametrize("piece_bytes", [10**9, 1], ids=["one-piece", "bytes"])


async def write(writer: asyncio.StreamWriter | Peer, data: bytes, piece_bytes: int) -> None:
    """Write the data in pieces, with an event-loop iteration after each."""
    for start in range(0, len(data), piece_bytes):
        writer.write(data[start : start + piece_bytes])
        if piece_bytes < len(data):
            await asyncio.sleep(0)


async def send(sock: socket.socket, data: bytes, piece_bytes: int) -> None:
    """Send the data on a socket in pieces, with an event-loop iteration after each."""
    for start in range(0, len(data), piece_bytes):
        sock.send(data[start : start + piece_bytes])
        await asyncio.sleep(0)


async def receive_until(sock: socket.socket, ending: bytes) -> bytes:
    """Receive raw bytes until they end with `ending`; a parser would drop interim responses."""
    data = b""
    while not data.endswith(ending):
        chunk = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65536), 4.0)
        assert chunk, data
        data += chunk
    return data


# Requests: each is a PUT with the call id CALL_ID to TARGET.

ROUTING_FIELDS = b"X-Call-Class: write\r\nX-Storage-Class: plan\r\nX-Budget-Ms: 1500\r\n"
EXTENT = b"X-Extent: units=1,shard=0,hosts=1\r\n"
ID = b"X-Call-Id: " + CALL_ID + b"\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def put(fields: bytes, body: bytes = b"z", target: bytes = TARGET) -> bytes:
    """Encode a PUT with exactly these header fields besides Host."""
    return b"PUT %b HTTP/1.1\r\nHost: a\r\n%b\r\n%b" % (target, fields, body)


def plain(more_fields: bytes = b"Content-Length: 1\r\n", body: bytes = b"z", target: bytes = TARGET) -> bytes:
    """Encode a PUT with all required fields and `more_fields`."""
    return put(ID + ROUTING_FIELDS + EXTENT + more_fields, body, target)


@dataclass(frozen=True)
class Request:
    """Bytes that a client writes, and the parts of them that the node has to receive."""

    wire: bytes
    target: bytes = TARGET
    body: bytes = b"z"
    fields: Sequence[tuple[bytes, bytes]] = ()
    without: Sequence[bytes] = ()


REQUESTS = {
    "white space behind a value": Request(
        put(
            b"X-Call-Id:   e7559a84b003f4cf \r\nX-Call-Class: write \r\nX-Storage-Class: plan  \r\n"
            b"X-Budget-Ms: 1500 \r\nX-Extent: units=1,shard=0,hosts=1 \r\nContent-Length: 1 \r\n"
            b"X-More: a  b \r\n"
        ),
        fields=[(b"x-more", b"a  b")],
    ),
    "tabs around values": Request(
        put(
            b"X-Call-Id:\t\te7559a84b003f4cf\t \r\nX-Call-Class:\twrite\t\r\nX-Storage-Class:\tplan\t\r\n"
            b"X-Budget-Ms:\t1500\t\r\nX-Extent:\tunits=1,\tshard=0,hosts=1\t\r\nContent-Length:\t1 \r\n"
            b"X-More:\ta\tb\t\r\n"
        ),
        fields=[(b"x-more", b"a\tb")],
    ),
    "no space before values": Request(
        put(
            b"X-Call-Id:e7559a84b003f4cf\r\nX-Call-Class:write\r\nX-Storage-Class:plan\r\nX-Budget-Ms:1500\r\n"
            b"X-Extent:units=1,shard=0,hosts=1\r\nContent-Length:1\r\nX-More:\r\nX-Most: \t \r\n"
        ),
        fields=[(b"x-more", b""), (b"x-most", b"")],
    ),
    "names in any case": Request(
        put(
            b"x-call-id: e7559a84b003f4cf\r\nX-CALL-CLASS: write\r\nx-Storage-cLASS: plan\r\n"
            b"X-BUDGET-ms: 1500\r\nx-extent: units=1,shard=0,hosts=1\r\ncontent-LENGTH: 1\r\n"
            b"iDEMPOTENCY-key: Ab\r\n"
        ),
        fields=[(b"idempotency-key", b"Ab")],
    ),
    "a list over several fields": Request(
        put(
            ID + ROUTING_FIELDS + b"X-Extent: units=1\r\nX-Extent: shard=0 , hosts=1\r\nContent-Length: 1\r\n"
        )
    ),
    "chunks with extensions": Request(
        plain(CHUNKED, b'1;a=b;c="d e"\r\nz\r\n02;x\r\nyx\r\n0;last\r\n\r\n'), body=b"zyx"
    ),
    "a coding in any case": Request(
        plain(b"TRANSFER-encoding:  Chunked \r\n", b"0A\r\nzyxwvutsrq\r\n000\r\n\r\n"), body=b"zyxwvutsrq"
    ),
    "trailers": Request(
        plain(CHUNKED, b"1\r\nz\r\n0\r\nX-Call-Id: 0000000000000001\r\nX-More: 1\r\n\r\n"),
        without=[b"x-more", b"trailer"],
    ),
    "a Connection of several options": Request(
        plain(b"Connection: keep-alive, X-Hop ,x-more\r\nX-Hop: 1\r\nX-More: 2\r\nContent-Length: 1\r\n"),
        without=[b"connection", b"x-hop", b"x-more"],
    ),
    "a Connection over several fields": Request(
        plain(b"Connection: X-Hop\r\nX-Hop: 1\r\nConnection:keep-alive\r\nContent-Length: 1\r\n"),
        without=[b"connection", b"x-hop"],
    ),
    "empty lines before it": Request(b"\r\n\r\n" + plain()),
    "the absolute form": Request(plain(target=b"http://app.svc" + TARGET)),
    "the absolute form with a port and a query": Request(
        plain(target=b"HTTP://app.svc:8080" + TARGET + b"?a=http://b/c"), target=TARGET + b"?a=http://b/c"
    ),
    "a query": Request(plain(target=TARGET + b"?v=%20&w=/?"), target=TARGET + b"?v=%20&w=/?"),
    "an expectation sent together with the body": Request(
        plain(b"Expect: 100-continue\r\nContent-Length: 1\r\n"), without=[b"expect"]
    ),
}


@PIECES
@pytest.mark.parametrize("form", REQUESTS)
def test_request_in_every_valid_form_reaches_its_node(tmp_path: Path, form: str, piece_bytes: int) -> None:
    expected = REQUESTS[form]

    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        client = await site.connect_client()
        await write(client.writer, expected.wire, piece_bytes)
        answer = await client.read_answer()
        assert answer is not None and answer.status == 200
        (request,) = node.received
        assert (request.target, request.fields[b"x-call-id"], request.body) == (
            expected.target,
            CALL_ID,
            expected.body,
        )
        for name, value in expected.fields:
            assert request.fields[name] == value
        assert not {*expected.without} & {*request.fields}
        # No bytes of the request remain unread: the next request on the connection is answered.
        assert (await client.exchange(client_request())).status == 200
        assert dispatcher.refused == 0

    run_case(tmp_path, case)


# Forms that are refused although other HTTP parsers may accept them.
REFUSED = {
    "a value over several lines": plain(b"X-More: a,\r\n b\r\nContent-Length: 1\r\n"),
    "a value over several lines, with a tab": plain(b"X-More: a,\r\n\tb\r\nContent-Length: 1\r\n"),
    "a value that begins on the next line": plain(b"X-More:\r\n b\r\nContent-Length: 1\r\n"),
    "a length over several lines": plain(b"Content-Length:\r\n 1\r\n"),
    "a coding over several lines": plain(CHUNKED[:-9] + b"\r\n chunked\r\n", b"1\r\nz\r\n0\r\n\r\n"),
    "a line in front of all fields": b"PUT "
    + TARGET
    + b" HTTP/1.1\r\n X: a\r\n"
    + plain().split(b"\r\n", 1)[1],
    "a trailer over several lines": plain(CHUNKED, b"1\r\nz\r\n0\r\nX-More: a\r\n b\r\n\r\n"),
    "a trailer with a length": plain(CHUNKED, b"1\r\nz\r\n0\r\nContent-Length: 5\r\n\r\n"),
    "white space behind a chunk's length": plain(CHUNKED, b"1 ;a=b\r\nz\r\n0\r\n\r\n"),
    "white space before a colon": plain(b"X-More : 1\r\nContent-Length: 1\r\n"),
    "an absolute form of another scheme": plain(target=b"ftp://app.svc" + TARGET),
    "an authority alone": plain(target=b"app.svc:80"),
}


@PIECES
@pytest.mark.parametrize("form", REFUSED)
def test_request_in_an_unsupported_form_is_refused_and_not_sent(
    tmp_path: Path, form: str, piece_bytes: int
) -> None:
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        client = await site.connect_client()
        await write(client.writer, REFUSED[form], piece_bytes)
        answer = await client.read_answer()
        assert answer is not None and answer.status in (400, 404)
        # The connection closes, as the bytes after a refused request cannot be told apart from it.
        assert await client.read_answer() is None
        assert not node.received and dispatcher.refused == 1

    run_case(tmp_path, case)


@PIECES
def test_many_requests_in_one_write_are_answered_in_order(tmp_path: Path, piece_bytes: int) -> None:
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        client = await site.connect_client()
        targets = [TARGET + b"?n=%d" % n for n in range(12)]
        wire = b"".join(
            (b"\r\n" if n % 3 else b"") + client_request(target.decode()) for n, target in enumerate(targets)
        )
        await write(client.writer, wire + b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", piece_bytes)
        assert [(await client.read_answer()).body for _ in targets] == [b"of " + target for target in targets]
        assert (await client.read_answer()).status == 200
        assert [message.target for message in node.received] == targets

    run_case(tmp_path, case)


@PIECES
@pytest.mark.parametrize(
    "option",
    [b"close", b"X-Hop, Close", b"X-Hop\r\nConnection:\tclose\t"],
    ids=["alone", "of two", "of two fields"],
)
def test_connection_closes_after_a_request_with_connection_close(
    tmp_path: Path, option: bytes, piece_bytes: int
) -> None:
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        client = await site.connect_client()
        wire = plain(b"Connection: " + option + b"\r\nContent-Length: 1\r\n")
        await write(client.writer, wire, piece_bytes)
        answer = await client.read_answer()
        assert (answer.status, answer.fields[b"connection"]) == (200, b"close")
        client.writer.write(client_request())  # RFC 9112, 9.6: nothing more is read after Connection: close
        assert await client.read_answer() is None
        assert len(node.received) == 1 and dispatcher.refused == 0

    run_case(tmp_path, case)


@PIECES
def test_connection_option_that_only_contains_close_does_not_close(tmp_path: Path, piece_bytes: int) -> None:
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        client = await site.connect_client()
        await write(client.writer, plain(b"Connection: X-Closed\r\nContent-Length: 1\r\n"), piece_bytes)
        assert (await client.read_answer()).status == 200
        node.script.append(None)
        client.writer.write(client_request())
        await site.wait_until(lambda: len(node.received) == 2)
        await write(
            node.peers[0], OK + b"Connection: not-close\r\nContent-Length: 4\r\n\r\nmine", piece_bytes
        )
        assert (await client.read_answer()).body == b"mine"
        assert (await client.exchange(client_request())).status == 200 and node.connections_made == 1

    run_case(tmp_path, case)


@PIECES
@pytest.mark.parametrize("framing", [b"Content-Length: 1\r\n", CHUNKED], ids=["length", "chunks"])
def test_client_that_expects_continue_gets_it(tmp_path: Path, framing: bytes, piece_bytes: int) -> None:
    # RFC 9110, 10.1.1: a client may withhold the body until it receives 100 Continue.
    async def case(site: PlatformSite) -> None:
        node = await site.add_node(work_ms=30.0)
        await site.start()
        with socket.create_connection(("127.0.0.1", site.port)) as client:
            client.setblocking(False)
            # The request follows one that is open, so 100 Continue must come after that one's answer.
            await send(
                client, client_request() + plain(b"Expect: 100-Continue \r\n" + framing, b""), piece_bytes
            )
            data = await receive_until(client, ending=CONTINUE)
            assert (
                data.startswith(b"HTTP/1.1 200") and data.count(b"HTTP/1.1") == 2 and len(node.received) == 1
            )
            await send(client, b"z" if framing is not CHUNKED else b"1\r\nz\r\n0\r\n\r\n", piece_bytes)
            data = await receive_until(client, ending=b"of " + TARGET)
            assert data.startswith(b"HTTP/1.1 200") and data.count(b"HTTP/1.1") == 1
            assert node.received[1].body == b"z"

    run_case(tmp_path, case)


def test_client_that_expects_continue_for_too_long_a_body_is_refused(tmp_path: Path) -> None:
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        client = await site.connect_client()
        data = plain(b"Expect: 100-continue\r\nContent-Length: 90000000\r\n", b"")
        assert (await client.exchange(data)).status == 413
        assert not node.received

    run_case(tmp_path, case)


# Responses of a node.

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 4\r\n\r\nmine"


@dataclass(frozen=True)
class Response:
    """Bytes that a node writes, and what the dispatcher has to read from them."""

    wire: bytes
    outcome: Outcome = Outcome.OK
    plan_use: float | None = None
    load: Sequence[tuple[str, float]] = ()
    closes: bool = False
    """Whether the dispatcher does not use the connection again."""


LOAD = [("queue", 2.0), ("util", 0.5)]
RESPONSES = {
    "white space behind a value": Response(
        OK + b"X-Meter:  4 \r\nX-Load-Report: TEXT queue=2, util=0.5 \r\nContent-Length: 4 \r\n\r\nmine",
        plan_use=0.04,
        load=LOAD,
    ),
    "tabs around values": Response(
        OK + b"X-Meter:\t4\t\r\nX-Load-Report:\tTEXT queue=2,\tutil=0.5\t\r\nContent-Length:\t4 \r\n\r\nmine",
        plan_use=0.04,
        load=LOAD,
    ),
    "white space behind the field of a rejection": Response(
        b"HTTP/1.1 503 -\r\nX-Rejected:  1 \r\nContent-Length: 0 \r\n\r\n", Outcome.REJECTED
    ),
    "no space before values": Response(
        OK + b"X-Meter:4\r\nX-Load-Report:TEXT queue=2,util=0.5\r\nContent-Length:4\r\n\r\nmine",
        plan_use=0.04,
        load=LOAD,
    ),
    "names in any case": Response(
        OK + b"x-METER: 4\r\nX-LOAD-report: TEXT queue=2,util=0.5\r\ncontent-length: 4\r\n\r\nmine",
        plan_use=0.04,
        load=LOAD,
    ),
    "chunks with extensions": Response(
        OK + CHUNKED + b'\r\n2;a="b;c"\r\nmi\r\n02\r\nne\r\n0;last\r\n\r\n',
    ),
    "a coding in any case": Response(OK + b"TRANSFER-encoding:  Chunked \r\n\r\n04\r\nmine\r\n00\r\n\r\n"),
    "trailers": Response(
        OK + b"X-Meter: 4\r\n" + CHUNKED + b"\r\n4\r\nmine\r\n0\r\nX-Meter: 9\r\nX-More: 1\r\n\r\n",
        plan_use=0.04,
    ),
    "a Connection of several options": Response(OK + b"Connection: X-Hop , Close\r\n" + BODY, closes=True),
    "a Connection over several fields": Response(
        OK + b"Connection: X-Hop\r\nConnection:\tclose\t\r\n" + BODY, closes=True
    ),
    "empty lines before it": Response(b"\r\n\r\n" + OK + BODY),
    "no reason": Response(b"HTTP/1.1 200\r\n" + BODY),
    "a reason of many words": Response(b"HTTP/1.1 200 all is \xe9 well\r\n" + BODY),
    "an interim answer": Response(b"HTTP/1.1 100 Continue\r\n\r\n" + OK + BODY),
    "interim answers with fields": Response(
        b"HTTP/1.1 102 Processing\r\nX-Meter: 9\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=b\r\n\r\n"
        + OK
        + b"X-Meter: 4\r\n"
        + BODY,
        plan_use=0.04,
    ),
    "a value over several lines": Response(
        OK + b"X-Load-Report: TEXT queue=2,\r\n util=0.5\r\n" + BODY, Outcome.FAILED, closes=True
    ),
    "a length over several lines": Response(
        OK + b"Content-Length:\r\n 4\r\n\r\nmine", Outcome.FAILED, closes=True
    ),
    "white space behind a chunk's length": Response(
        OK + CHUNKED + b"\r\n4 ;a=b\r\nmine\r\n0\r\n\r\n", Outcome.FAILED, closes=True
    ),
}


class OutcomeRecorder(Scheduler):
    """A scheduler that records outcome and load of each attempt."""

    outcomes: list[tuple[Outcome | None, float | None, dict[str, float]]]

    def decide(self, now, writer, **inputs):
        new = [
            (attempt.outcome, attempt.plan_use, dict(attempt.load_report)) for attempt in inputs["outcomes"]
        ]
        self.outcomes = getattr(self, "outcomes", []) + new
        super().decide(now, writer, **inputs)


@PIECES
@pytest.mark.parametrize("form", RESPONSES)
def test_response_in_every_valid_form_is_understood(tmp_path: Path, form: str, piece_bytes: int) -> None:
    expected = RESPONSES[form]

    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start(OutcomeRecorder)
        node.script.append(None)
        client = await site.connect_client()
        client.writer.write(client_request())
        await site.wait_until(lambda: node.received)
        await write(node.peers[0], expected.wire, piece_bytes)
        answer = await client.read_answer()
        assert answer is not None and answer.status == 200
        assert answer.body == (b"mine" if expected.outcome is Outcome.OK else b"of " + TARGET)
        assert dispatcher.rounds.scheduler.outcomes[0] == (
            expected.outcome,
            expected.plan_use,
            dict(expected.load),
        )
        # The next request uses the same connection, unless this response closed it.
        assert (await client.exchange(client_request())).status == 200
        assert node.connections_made == (2 if expected.closes else 1)

    run_case(tmp_path, case)

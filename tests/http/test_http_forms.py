"""The forms that HTTP/1.1 lets a message come in, both directions, each read whole and byte by byte.

Requests go from a raw client through a dispatcher to a node; answers from a node through it to a client. A
field on several lines (obs-fold) is refused in both: RFC 9112, 5.2 lets a server answer it 400 and a gateway
discard an answer with it, and llhttp takes none; so no two readers of a head differ on where a value ends.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest
from support.platform_site import PlatformSite, client_request, run_case

from cherrygrade.scheduling.model import Outcome
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.standin.web import Peer

TARGET = b"/api/00000000000000aa/00000000000000bb"
CALL = b"e7559a84b003f4cf"
PIECES = pytest.mark.parametrize("piece", [10**9, 1], ids=["whole", "bytes"])


async def write(writer: asyncio.StreamWriter | Peer, data: bytes, piece: int) -> None:
    for at in range(0, len(data), piece):
        writer.write(data[at : at + piece])
        if piece < len(data):
            await asyncio.sleep(0)


async def send(sock: socket.socket, data: bytes, piece: int) -> None:
    for at in range(0, len(data), piece):
        sock.send(data[at : at + piece])
        await asyncio.sleep(0)


async def received(sock: socket.socket, until: bytes) -> bytes:
    """Raw bytes, until they end so: a reader of answers passes over interim ones."""
    got = b""
    while not got.endswith(until):
        more = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65536), 4.0)
        assert more, got
        got += more
    return got


# Requests. Each is a PUT of CALL to TARGET.

NAMED = b"X-Call-Class: write\r\nX-Storage-Class: plan\r\nX-Budget-Ms: 1500\r\n"
EXTENT = b"X-Extent: units=1,shard=0,hosts=1\r\n"
ID = b"X-Call-Id: " + CALL + b"\r\n"
GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def put(fields: bytes, body: bytes = b"z", target: bytes = TARGET) -> bytes:
    return b"PUT %b HTTP/1.1\r\nHost: a\r\n%b\r\n%b" % (target, fields, body)


def plain(more: bytes = b"Content-Length: 1\r\n", body: bytes = b"z", target: bytes = TARGET) -> bytes:
    return put(ID + NAMED + EXTENT + more, body, target)


@dataclass(frozen=True)
class Request:
    """What a client writes, and what the node gets of it."""

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
        put(ID + NAMED + b"X-Extent: units=1\r\nX-Extent: shard=0 , hosts=1\r\nContent-Length: 1\r\n")
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
    "an expectation that is not waited for": Request(
        plain(b"Expect: 100-continue\r\nContent-Length: 1\r\n"), without=[b"expect"]
    ),
}


@PIECES
@pytest.mark.parametrize("form", REQUESTS)
def test_request_in_every_valid_form_reaches_its_node(tmp_path: Path, form: str, piece: int) -> None:
    wanted = REQUESTS[form]

    async def story(site: PlatformSite) -> None:
        node = await site.add_node()
        platform = await site.start()
        caller = await site.connect_client()
        await write(caller.writer, wanted.wire, piece)
        answered = await caller.read_answer()
        assert answered is not None and answered.status == 200
        (came,) = node.came
        assert (came.target, came.fields[b"x-call-id"], came.body) == (wanted.target, CALL, wanted.body)
        for name, value in wanted.fields:
            assert came.fields[name] == value
        assert not {*wanted.without} & {*came.fields}
        # Nothing of it is left over: the next one on the connection is read, and nothing was refused.
        assert (await caller.exchange(client_request())).status == 200
        assert platform.refused == 0

    run_case(tmp_path, story)


# What is refused, though one or another reader takes it.
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
    "a trailer that tells a length": plain(CHUNKED, b"1\r\nz\r\n0\r\nContent-Length: 5\r\n\r\n"),
    "white space behind a chunk's length": plain(CHUNKED, b"1 ;a=b\r\nz\r\n0\r\n\r\n"),
    "white space before a colon": plain(b"X-More : 1\r\nContent-Length: 1\r\n"),
    "an absolute form of another scheme": plain(target=b"ftp://app.svc" + TARGET),
    "an authority alone": plain(target=b"app.svc:80"),
}


@PIECES
@pytest.mark.parametrize("form", REFUSED)
def test_request_in_an_unsupported_form_is_refused_and_not_sent(
    tmp_path: Path, form: str, piece: int
) -> None:
    async def story(site: PlatformSite) -> None:
        node = await site.add_node()
        platform = await site.start()
        caller = await site.connect_client()
        await write(caller.writer, REFUSED[form], piece)
        answered = await caller.read_answer()
        assert answered is not None and answered.status in (400, 404)
        assert (
            await caller.read_answer() is None
        )  # and its connection ends: what comes behind can't be told apart
        assert not node.came and platform.refused == 1

    run_case(tmp_path, story)


@PIECES
def test_many_requests_in_one_write_are_answered_in_order(tmp_path: Path, piece: int) -> None:
    async def story(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        caller = await site.connect_client()
        paths = [TARGET + b"?n=%d" % n for n in range(12)]
        wire = b"".join(
            (b"\r\n" if n % 3 else b"") + client_request(path.decode()) for n, path in enumerate(paths)
        )
        await write(caller.writer, wire + b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", piece)
        assert [(await caller.read_answer()).body for _ in paths] == [b"of " + path for path in paths]
        assert (await caller.read_answer()).status == 200
        assert [one.target for one in node.came] == paths

    run_case(tmp_path, story)


@PIECES
@pytest.mark.parametrize(
    "option",
    [b"close", b"X-Hop, Close", b"X-Hop\r\nConnection:\tclose\t"],
    ids=["alone", "of two", "of two fields"],
)
def test_connection_closes_after_a_request_with_connection_close(
    tmp_path: Path, option: bytes, piece: int
) -> None:
    async def story(site: PlatformSite) -> None:
        node = await site.add_node()
        platform = await site.start()
        caller = await site.connect_client()
        wire = plain(b"Connection: " + option + b"\r\nContent-Length: 1\r\n")
        await write(caller.writer, wire, piece)
        answered = await caller.read_answer()
        assert (answered.status, answered.fields[b"connection"]) == (200, b"close")
        caller.writer.write(client_request())  # no more is read (RFC 9112, 9.6)
        assert await caller.read_answer() is None
        assert len(node.came) == 1 and platform.refused == 0

    run_case(tmp_path, story)


@PIECES
def test_option_that_only_contains_close_closes_nothing(tmp_path: Path, piece: int) -> None:
    async def story(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        caller = await site.connect_client()
        await write(caller.writer, plain(b"Connection: X-Closed\r\nContent-Length: 1\r\n"), piece)
        assert (await caller.read_answer()).status == 200
        node.script.append(None)
        caller.writer.write(client_request())
        await site.wait_until(lambda: len(node.came) == 2)
        await write(node.peers[0], OK + b"Connection: not-close\r\nContent-Length: 4\r\n\r\nmine", piece)
        assert (await caller.read_answer()).body == b"mine"
        assert (await caller.exchange(client_request())).status == 200 and node.made == 1

    run_case(tmp_path, story)


@PIECES
@pytest.mark.parametrize("framing", [b"Content-Length: 1\r\n", CHUNKED], ids=["length", "chunks"])
def test_client_that_expects_continue_gets_it(tmp_path: Path, framing: bytes, piece: int) -> None:
    # RFC 9110, 10.1.1: a client may hold its body back for as long as it likes.
    async def story(site: PlatformSite) -> None:
        node = await site.add_node(work_ms=30.0)
        await site.start()
        with socket.create_connection(("127.0.0.1", site.port)) as client:
            client.setblocking(False)
            # Behind another one that is open: its turn comes with that one's answer, not before.
            await send(client, client_request() + plain(b"Expect: 100-Continue \r\n" + framing, b""), piece)
            got = await received(client, until=GO_ON)
            assert got.startswith(b"HTTP/1.1 200") and got.count(b"HTTP/1.1") == 2 and len(node.came) == 1
            await send(client, b"z" if framing is not CHUNKED else b"1\r\nz\r\n0\r\n\r\n", piece)
            got = await received(client, until=b"of " + TARGET)
            assert got.startswith(b"HTTP/1.1 200") and got.count(b"HTTP/1.1") == 1
            assert node.came[1].body == b"z"

    run_case(tmp_path, story)


def test_client_that_expects_continue_for_too_long_a_body_is_refused(tmp_path: Path) -> None:
    async def story(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        caller = await site.connect_client()
        data = plain(b"Expect: 100-continue\r\nContent-Length: 90000000\r\n", b"")
        assert (await caller.exchange(data)).status == 413
        assert not node.came

    run_case(tmp_path, story)


# Answers.

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 4\r\n\r\nmine"


@dataclass(frozen=True)
class Answer:
    """What a node writes, and what is made of it."""

    wire: bytes
    outcome: Outcome = Outcome.OK
    used: float | None = None
    load: Sequence[tuple[str, float]] = ()
    ends: bool = False
    """Its connection is not used again."""


LOAD = [("queue", 2.0), ("util", 0.5)]
ANSWERS = {
    "white space behind a value": Answer(
        OK + b"X-Meter:  4 \r\nX-Load-Report: TEXT queue=2, util=0.5 \r\nContent-Length: 4 \r\n\r\nmine",
        used=0.04,
        load=LOAD,
    ),
    "tabs around values": Answer(
        OK + b"X-Meter:\t4\t\r\nX-Load-Report:\tTEXT queue=2,\tutil=0.5\t\r\nContent-Length:\t4 \r\n\r\nmine",
        used=0.04,
        load=LOAD,
    ),
    "white space behind the mark of a rejection": Answer(
        b"HTTP/1.1 503 -\r\nX-Rejected:  1 \r\nContent-Length: 0 \r\n\r\n", Outcome.REJECTED
    ),
    "no space before values": Answer(
        OK + b"X-Meter:4\r\nX-Load-Report:TEXT queue=2,util=0.5\r\nContent-Length:4\r\n\r\nmine",
        used=0.04,
        load=LOAD,
    ),
    "names in any case": Answer(
        OK + b"x-METER: 4\r\nX-LOAD-report: TEXT queue=2,util=0.5\r\ncontent-length: 4\r\n\r\nmine",
        used=0.04,
        load=LOAD,
    ),
    "chunks with extensions": Answer(
        OK + CHUNKED + b'\r\n2;a="b;c"\r\nmi\r\n02\r\nne\r\n0;last\r\n\r\n',
    ),
    "a coding in any case": Answer(OK + b"TRANSFER-encoding:  Chunked \r\n\r\n04\r\nmine\r\n00\r\n\r\n"),
    "trailers": Answer(
        OK + b"X-Meter: 4\r\n" + CHUNKED + b"\r\n4\r\nmine\r\n0\r\nX-Meter: 9\r\nX-More: 1\r\n\r\n", used=0.04
    ),
    "a Connection of several options": Answer(OK + b"Connection: X-Hop , Close\r\n" + BODY, ends=True),
    "a Connection over several fields": Answer(
        OK + b"Connection: X-Hop\r\nConnection:\tclose\t\r\n" + BODY, ends=True
    ),
    "empty lines before it": Answer(b"\r\n\r\n" + OK + BODY),
    "no reason": Answer(b"HTTP/1.1 200\r\n" + BODY),
    "a reason of many words": Answer(b"HTTP/1.1 200 all is \xe9 well\r\n" + BODY),
    "an interim answer": Answer(b"HTTP/1.1 100 Continue\r\n\r\n" + OK + BODY),
    "interim answers with fields": Answer(
        b"HTTP/1.1 102 Processing\r\nX-Meter: 9\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=b\r\n\r\n"
        + OK
        + b"X-Meter: 4\r\n"
        + BODY,
        used=0.04,
    ),
    "a value over several lines": Answer(
        OK + b"X-Load-Report: TEXT queue=2,\r\n util=0.5\r\n" + BODY, Outcome.FAILED, ends=True
    ),
    "a length over several lines": Answer(
        OK + b"Content-Length:\r\n 4\r\n\r\nmine", Outcome.FAILED, ends=True
    ),
    "white space behind a chunk's length": Answer(
        OK + CHUNKED + b"\r\n4 ;a=b\r\nmine\r\n0\r\n\r\n", Outcome.FAILED, ends=True
    ),
}


class Heard(Scheduler):
    """Keeps what it was told of attempts."""

    told: list[tuple[Outcome | None, float | None, dict[str, float]]]

    def decide(self, now, writer, **came):
        told = [(one.outcome, one.plan_use, dict(one.load_report)) for one in came["outcomes"]]
        self.told = getattr(self, "told", []) + told
        super().decide(now, writer, **came)


@PIECES
@pytest.mark.parametrize("form", ANSWERS)
def test_response_in_every_valid_form_is_understood(tmp_path: Path, form: str, piece: int) -> None:
    wanted = ANSWERS[form]

    async def story(site: PlatformSite) -> None:
        node = await site.add_node()
        platform = await site.start(Heard)
        node.script.append(None)
        caller = await site.connect_client()
        caller.writer.write(client_request())
        await site.wait_until(lambda: node.came)
        await write(node.peers[0], wanted.wire, piece)
        answered = await caller.read_answer()
        assert answered is not None and answered.status == 200
        assert answered.body == (b"mine" if wanted.outcome is Outcome.OK else b"of " + TARGET)
        assert platform.rounds.module.told[0] == (wanted.outcome, wanted.used, dict(wanted.load))
        # The next one goes on the same connection, unless this one was its last.
        assert (await caller.exchange(client_request())).status == 200
        assert node.made == (2 if wanted.ends else 1)

    run_case(tmp_path, story)

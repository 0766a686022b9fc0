"""The forms that HTTP/1.1 lets a message come in, both directions, each read whole and byte by byte.

Requests go from a raw client through a dispatcher to a node; answers from a node through it to a client.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest
from square import Square, ask, play

from cherrygrade.interface import Outcome
from cherrygrade.policy import Dispatcher
from cherrygrade.standin.web import Peer

TARGET = b"/api/00000000000000aa/00000000000000bb"
CALL = b"e7559a84b003f4cf"
PIECES = pytest.mark.parametrize("piece", [10**9, 1], ids=["whole", "bytes"])


@dataclass(frozen=True)
class Request:
    """What a client writes, and what the node is to get of it."""

    wire: bytes
    statuses: Sequence[int] = (200,)
    body: bytes = b""
    fields: Sequence[tuple[bytes, bytes]] = ()


def put(fields: bytes, body: bytes = b"z", target: bytes = TARGET) -> bytes:
    return b"PUT %b HTTP/1.1\r\nHost: a\r\n%b\r\n%b" % (target, fields, body)


REQUESTS = {
    "white space behind a value": Request(
        put(
            b"X-Call-Id:   e7559a84b003f4cf \r\nX-Call-Class: write \r\nX-Storage-Class: plan  \r\n"
            b"X-Budget-Ms: 1500 \r\nX-Extent: units=1,shard=0,hosts=1 \r\nContent-Length: 1 \r\n"
            b"X-More: a  b \r\n"
        ),
        body=b"z",
        fields=[(b"x-more", b"a  b")],
    ),
    "tabs around values": Request(
        put(
            b"X-Call-Id:\t\te7559a84b003f4cf\t \r\nX-Call-Class:\twrite\t\r\nX-Storage-Class:\tplan\t\r\n"
            b"X-Budget-Ms:\t1500\t\r\nX-Extent:\tunits=1,\tshard=0,hosts=1\t\r\nContent-Length:\t1 \r\n"
            b"X-More:\ta\tb\t\r\n"
        ),
        body=b"z",
        fields=[(b"x-more", b"a\tb")],
    ),
}


async def write(writer: asyncio.StreamWriter | Peer, data: bytes, piece: int) -> None:
    for at in range(0, len(data), piece):
        writer.write(data[at : at + piece])
        if piece < len(data):
            await asyncio.sleep(0)


@PIECES
@pytest.mark.parametrize("form", REQUESTS)
def test_a_request_reaches_its_node_in_every_form(tmp_path: Path, form: str, piece: int) -> None:
    wanted = REQUESTS[form]

    async def story(square: Square) -> None:
        node = await square.node()
        platform = await square.start()
        caller = await square.caller()
        await write(caller.writer, wanted.wire, piece)
        answers = [await caller.answer() for _ in wanted.statuses]
        assert [one and one.status for one in answers] == list(wanted.statuses)
        assert platform.refused == 0 and len(node.came) == len(answers)
        came = node.came[0]
        assert (came.target, came.fields[b"x-call-id"], came.body) == (TARGET, CALL, wanted.body)
        for name, value in wanted.fields:
            assert came.fields[name] == value

    play(tmp_path, story)


OK = b"HTTP/1.1 200 OK\r\n"


@dataclass(frozen=True)
class Answer:
    """What a node writes, and what is made of it."""

    wire: bytes
    outcome: Outcome = Outcome.OK
    used: float = 0.04
    load: Sequence[tuple[str, float]] = ()


ANSWERS = {
    "white space behind a value": Answer(
        OK + b"X-Meter:  4 \r\nX-Load-Report: TEXT queue=2, util=0.5 \r\nContent-Length: 4 \r\n\r\nmine",
        load=[("queue", 2.0), ("util", 0.5)],
    ),
    "tabs around values": Answer(
        OK + b"X-Meter:\t4\t\r\nX-Load-Report:\tTEXT queue=2,\tutil=0.5\t\r\nContent-Length:\t4 \r\n\r\nmine",
        load=[("queue", 2.0), ("util", 0.5)],
    ),
    "white space behind the mark of a rejection": Answer(
        b"HTTP/1.1 503 -\r\nX-Meter: 4 \r\nX-Rejected:  1 \r\nContent-Length: 0 \r\n\r\n", Outcome.FULL
    ),
}


class Heard(Dispatcher):
    """Keeps what it was told of attempts."""

    told: list[tuple[Outcome | None, float | None, dict[str, float]]]

    def decide(self, now, writer, **came):
        told = [(one.outcome, one.used, dict(one.load)) for one in came["answers"]]
        self.told = getattr(self, "told", []) + told
        super().decide(now, writer, **came)


@PIECES
@pytest.mark.parametrize("form", ANSWERS)
def test_an_answer_is_understood_in_every_form(tmp_path: Path, form: str, piece: int) -> None:
    wanted = ANSWERS[form]

    async def story(square: Square) -> None:
        node = await square.node()
        platform = await square.start(Heard)
        node.script.append(None)
        caller = await square.caller()
        caller.writer.write(ask())
        await square.until(lambda: node.came)
        await write(node.peers[0], wanted.wire, piece)
        answered = await caller.answer()
        assert answered is not None and answered.status == 200
        assert answered.body == (b"mine" if wanted.outcome is Outcome.OK else b"of " + TARGET)
        assert platform.rounds.module.told[0] == (wanted.outcome, wanted.used, dict(wanted.load))

    play(tmp_path, story)

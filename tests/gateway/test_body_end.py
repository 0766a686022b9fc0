"""Tests of frames whose body is longer than its told length: the bytes behind the first part are no frame."""

from __future__ import annotations

import asyncio

import pytest
from support.gateway_site import GatewaySite, run

from cherrygrade.standin.node import Build
from cherrygrade.wire.frames import HEAD, SKIP_IF_UNKNOWN, FrameReader, ProtocolError, encode
from cherrygrade.wire.messages import VERSION, Bye, Hello, Ok, WriteRpc

HELLO = encode(Hello(VERSION, "client", "raw"))
BODY = b"the whole body of a frame"
NEXT = encode(Ok(2))
MAX_BODY_BYTES = 1000


class FrameRecorder:
    """A reader of frames that records those it passes on."""

    def __init__(self) -> None:
        self.frames: list[tuple[object, bytes | None]] = []
        self._reader = FrameReader(lambda message, length: bytearray(length), self._on_frame, MAX_BODY_BYTES)

    def _on_frame(self, message, body) -> None:
        self.frames.append((message, None if body is None else bytes(body)))

    def read(self, data: bytes) -> None:
        """Read bytes that are received at once."""
        self._reader.get_buffer()[: len(data)] = data
        self._reader.buffer_updated(len(data))


# Guards against a body that is cut short by the length in its frame, and passed on as though it were whole.
@pytest.mark.parametrize("length", [1, 8, 12, 16])
@pytest.mark.parametrize("body", [BODY, bytes(len(BODY)), b"\xff" * len(BODY)], ids=["text", "zeros", "ones"])
def test_frame_is_not_passed_on_if_no_frame_follows_its_body(length, body):
    recorder = FrameRecorder()
    with pytest.raises(ProtocolError, match=f"no frame follows a body of {length} bytes"):
        recorder.read(encode(Ok(1), length) + body)
    assert not recorder.frames


@pytest.mark.parametrize("lengths", [(20_000, 0), (0, MAX_BODY_BYTES + 1)], ids=["header", "body"])
def test_frame_is_not_passed_on_if_the_next_head_exceeds_a_limit(lengths):
    recorder = FrameRecorder()
    with pytest.raises(ProtocolError, match="no frame follows a body of 25 bytes"):
        recorder.read(encode(Ok(1), len(BODY)) + BODY + HEAD.pack(13, 0, *lengths))
    assert not recorder.frames


@pytest.mark.parametrize(
    "following, count",
    [(b"", 1), (NEXT, 2), (NEXT[:1], 1), (NEXT[:5], 1), (HEAD.pack(200, SKIP_IF_UNKNOWN, 0, 0) + NEXT, 2)],
    ids=["nothing", "frame", "byte-of-a-frame", "part-of-a-head", "frame-to-skip"],
)
def test_frame_is_passed_on_if_a_frame_may_follow_its_body(following, count):
    recorder = FrameRecorder()
    recorder.read(encode(Ok(1), len(BODY)) + BODY + following)
    assert len(recorder.frames) == count and recorder.frames[0] == (Ok(1), BODY)


# Guards against a write that is run with the first part of its body, and answered as though it were whole.
def test_write_that_is_cut_short_by_its_length_is_not_run():
    async def case(site: GatewaySite) -> None:
        node = await site.node()
        gateway = await site.gateway()
        reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
        writer.write(HELLO + encode(WriteRpc(1, "write", "v", "k", 0, 0, 900.0), 4) + BODY)
        recorder = FrameRecorder()
        recorder.read(await asyncio.wait_for(reader.read(), 3.0))
        bye, _ = recorder.frames[-1]
        assert isinstance(bye, Bye) and "no frame follows a body of 4 bytes" in bye.reason
        assert not (gateway.open_requests or gateway.sessions or node.received)
        writer.close()

    run(case)


# Guards against the same failure where the rest arrives in a later read: the write is not answered as run.
def test_write_whose_rest_arrives_before_its_answer_is_not_answered_as_run():
    async def case(site: GatewaySite) -> None:
        await site.node(build=Build(unit_ms=200.0, put_off=0.0))
        gateway = await site.gateway()
        reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
        writer.write(HELLO + encode(WriteRpc(1, "write", "v", "k", 0, 0, 900.0), 4) + BODY[:4])
        while not gateway.open_requests:
            await asyncio.sleep(0.005)
        writer.write(BODY[4:])
        recorder = FrameRecorder()
        recorder.read(await asyncio.wait_for(reader.read(), 3.0))
        assert not any(isinstance(message, Ok) for message, _ in recorder.frames)
        assert isinstance(recorder.frames[-1][0], Bye)
        assert not (gateway.open_requests or gateway.sessions)
        writer.close()

    run(case)

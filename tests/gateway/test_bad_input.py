"""Peers that break the protocol: each gets a clear error, nobody else is touched, memory stays bounded."""

from __future__ import annotations

import asyncio
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.gateway_site import GatewaySite, run

from cherrygrade.client import Ok
from cherrygrade.settings import LimitSettings
from cherrygrade.wire.frames import HEAD, SKIP_IF_UNKNOWN, FrameReader, ProtocolError, encode
from cherrygrade.wire.messages import VERSION, Answer, Bye, Hello, ReadRpc, WriteRpc
from cherrygrade.wire.messages import Ok as WireOk

HELLO = encode(Hello(VERSION, "client", "raw"))
READ = encode(ReadRpc(1, "read", "v", "k", 0, 0, 1, 1000.0))


def collect(most_body: int = 1 << 20):
    got: list[tuple[object, bytes | None]] = []
    reader = FrameReader(
        lambda message, length: bytearray(length),
        lambda message, body: got.append((message, None if body is None else bytes(body))),
        most_body,
    )
    return reader, got


def feed(reader: FrameReader, data: bytes, steps: list[int]) -> None:
    at, turn = 0, 0
    while at < len(data):
        place = reader.place()
        count = min(steps[turn % len(steps)], len(place), len(data) - at)
        place[:count] = data[at : at + count]
        reader.filled(count)
        at, turn = at + count, turn + 1


@given(
    st.lists(st.integers(1, 100_000), min_size=1, max_size=8), st.lists(st.integers(0, 90_000), max_size=6)
)
@settings(max_examples=60, deadline=None)
def test_frames_come_out_the_same_however_the_stream_is_cut(steps, lengths):
    data, expected = b"", []
    for number, length in enumerate(lengths):
        body = bytes([number + 1]) * length
        message = Answer(number, 0, {"waiting": 1.0})
        data += encode(message, length) + body
        expected.append((message, body if length else None))
    reader, got = collect()
    feed(reader, data, steps)
    assert got == expected and reader.idle


def test_one_byte_at_a_time_and_with_a_body_that_has_no_room():
    got = []
    reader = FrameReader(
        lambda message, length: None, lambda message, body: got.append((message, body)), 1 << 20
    )
    feed(reader, encode(WireOk(1), 70_000) + bytes(70_000) + encode(WireOk(2)), [1])
    assert got == [(WireOk(1), None), (WireOk(2), None)]


def test_unknown_kinds_that_may_be_passed_over_are_and_others_break_the_stream():
    reader, got = collect()
    feed(reader, HEAD.pack(200, SKIP_IF_UNKNOWN, 3, 5) + b"abc" + b"12345" + encode(WireOk(1)), [7])
    assert [message for message, _ in got if isinstance(message, WireOk)] == [WireOk(1)]
    with pytest.raises(ProtocolError, match="unknown kind"):
        feed(reader, HEAD.pack(200, 0, 3, 0) + b"abc", [64])


def test_fields_that_a_later_version_added_are_passed_over():
    import msgspec

    header = msgspec.msgpack.encode([7, 3, "new", {"x": 1}])
    reader, got = collect()
    feed(reader, HEAD.pack(13, 0, len(header), 0) + header, [64])
    assert got == [(WireOk(7, 3), None)]


@given(st.binary(min_size=1, max_size=300))
@settings(max_examples=200, deadline=None)
def test_garbage_is_a_protocol_error_or_waits_for_more_and_nothing_else(data):
    reader, _ = collect(most_body=1000)
    try:
        feed(reader, data, [50])
    except ProtocolError:
        pass


async def last_word(
    house: GatewaySite, data: bytes, *, bounds: LimitSettings | None = None, eof: bool = False
):
    """What a raw peer is told last; a good client goes on beside it all the time."""
    await house.node()
    gateway = await house.gateway(bounds=bounds)
    good = house.client(gateway, "good")
    assert isinstance(await good.read("read", "v", "k", shard=0, length=1, deadline_ms=1000), Ok)
    reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
    writer.write(data)
    if eof:
        writer.write_eof()
    try:
        got = await asyncio.wait_for(reader.read(), 3.0)
    except ConnectionResetError:
        got = b""
    frames, told = collect()
    feed(frames, got, [4096])
    assert isinstance(await good.read("read", "v", "k", shard=0, length=1, deadline_ms=1000), Ok)
    assert len(gateway.sessions) == 1 and not gateway.open_requests
    writer.close()
    return [message for message, _ in told]


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 4, "header of"),
        (HELLO + HEAD.pack(10, 0, 60_000, 0), "a header of 60000 bytes"),
        (HELLO + HEAD.pack(11, 0, 10, 2**31), "a body of"),
        (HELLO + HEAD.pack(10, 0, 4, 0) + b"\xff\xff\xff\xff", "header of kind 10"),
        (READ, "before a hello"),
        (HELLO + READ + READ, "two RPCs with the id 1"),
        (HELLO + HELLO, "unexpected Hello"),
        (encode(Hello(0, "client", "x")), "version 0"),
        (encode(Hello(VERSION, "spoon", "x")), "'spoon'"),
        (HELLO + encode(Answer(3)), "unexpected Answer"),
        (
            HELLO + encode(WriteRpc(1, "write", "v", "k", -1, 0, 900.0), 3) + b"abc" + bytes(32),
            "unknown kind",
        ),
    ],
)
def test_a_peer_that_breaks_the_protocol_is_told_why_and_alone_is_closed(data, reason):
    async def story(house: GatewaySite) -> None:
        told = await last_word(house, data)
        assert isinstance(told[-1], Bye) and reason in told[-1].reason

    run(story)


def test_a_hello_that_never_ends_is_closed_in_time():
    async def story(house: GatewaySite) -> None:
        told = await last_word(house, HELLO[:5], bounds=LimitSettings(hello_ms=150.0))
        assert told == [Bye("no hello in time")]

    run(story)


@pytest.mark.parametrize("data", [HELLO, HELLO + READ[:9], HELLO + READ, HELLO[:3]])
def test_a_peer_that_closes_its_side_keeps_no_rpc_alive(data):
    async def story(house: GatewaySite) -> None:
        await last_word(house, data, eof=True)

    run(story)


def test_many_garbage_peers_cost_nobody_else_anything():
    async def story(house: GatewaySite) -> None:
        await house.node()
        gateway = await house.gateway()
        good = house.client(gateway, "good")

        async def garbage() -> None:
            reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
            writer.write(os.urandom(3000))
            try:
                await reader.read()
            except ConnectionResetError:
                pass
            writer.close()

        reads = [good.read("read", "v", "k", shard=0, length=1, deadline_ms=1400) for _ in range(30)]
        answers, _ = await asyncio.gather(
            asyncio.gather(*reads), asyncio.gather(*(garbage() for _ in range(30)))
        )
        assert all(isinstance(answer, Ok) for answer in answers) and len(gateway.sessions) == 1

    run(story)

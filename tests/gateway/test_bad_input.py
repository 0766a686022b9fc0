"""Peers that break the native protocol.

Guards against input that crashes the dispatcher, disturbs other clients, or takes memory without bound.
"""

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


def make_reader(max_body_bytes: int = 1 << 20):
    received: list[tuple[object, bytes | None]] = []
    reader = FrameReader(
        lambda message, length: bytearray(length),
        lambda message, body: received.append((message, None if body is None else bytes(body))),
        max_body_bytes,
    )
    return reader, received


def feed(reader: FrameReader, data: bytes, steps: list[int]) -> None:
    offset, turn = 0, 0
    while offset < len(data):
        buffer = reader.get_buffer()
        count = min(steps[turn % len(steps)], len(buffer), len(data) - offset)
        buffer[:count] = data[offset : offset + count]
        reader.buffer_updated(count)
        offset, turn = offset + count, turn + 1


@given(
    st.lists(st.integers(1, 100_000), min_size=1, max_size=8), st.lists(st.integers(0, 90_000), max_size=6)
)
@settings(max_examples=60, deadline=None)
def test_frames_are_read_the_same_however_the_stream_is_split(steps, lengths):
    data, expected = b"", []
    for number, length in enumerate(lengths):
        body = bytes([number + 1]) * length
        message = Answer(number, 0, {"waiting": 1.0})
        data += encode(message, length) + body
        expected.append((message, body if length else None))
    reader, received = make_reader()
    feed(reader, data, steps)
    assert received == expected and reader.idle


def test_body_without_a_buffer_is_skipped():
    received = []
    reader = FrameReader(
        lambda message, length: None, lambda message, body: received.append((message, body)), 1 << 20
    )
    feed(reader, encode(WireOk(1), 70_000) + bytes(70_000) + encode(WireOk(2)), [1])
    assert received == [(WireOk(1), None), (WireOk(2), None)]


def test_unknown_kinds_are_skipped_only_if_flagged():
    reader, received = make_reader()
    feed(reader, HEAD.pack(200, SKIP_IF_UNKNOWN, 3, 5) + b"abc" + b"12345" + encode(WireOk(1)), [7])
    assert [message for message, _ in received if isinstance(message, WireOk)] == [WireOk(1)]
    with pytest.raises(ProtocolError, match="unknown kind"):
        feed(reader, HEAD.pack(200, 0, 3, 0) + b"abc", [64])


def test_fields_of_a_later_version_are_ignored():
    import msgspec

    header = msgspec.msgpack.encode([7, 3, "new", {"x": 1}])
    reader, received = make_reader()
    feed(reader, HEAD.pack(13, 0, len(header), 0) + header, [64])
    assert received == [(WireOk(7, 3), None)]


@given(st.binary(min_size=1, max_size=300))
@settings(max_examples=200, deadline=None)
def test_garbage_raises_only_protocol_errors(data):
    reader, _ = make_reader(max_body_bytes=1000)
    try:
        feed(reader, data, [50])
    except ProtocolError:
        pass


async def messages_to_raw_peer(
    site: GatewaySite, data: bytes, *, bounds: LimitSettings | None = None, eof: bool = False
):
    """Send `data` as a raw peer and return the messages received until the connection closed.

    A correct client is served before and after, and its session must be the only one left.
    """
    await site.node()
    gateway = await site.gateway(bounds=bounds)
    good = site.client(gateway, "good")
    assert isinstance(await good.read("read", "v", "k", shard=0, length=1, deadline_ms=1000), Ok)
    reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
    writer.write(data)
    if eof:
        writer.write_eof()
    try:
        received = await asyncio.wait_for(reader.read(), 3.0)
    except ConnectionResetError:
        received = b""
    frames, messages = make_reader()
    feed(frames, received, [4096])
    assert isinstance(await good.read("read", "v", "k", shard=0, length=1, deadline_ms=1000), Ok)
    assert len(gateway.sessions) == 1 and not gateway.open_requests
    writer.close()
    return [message for message, _ in messages]


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
def test_peer_that_breaks_the_protocol_gets_the_reason_and_is_closed(data, reason):
    async def case(site: GatewaySite) -> None:
        messages = await messages_to_raw_peer(site, data)
        assert isinstance(messages[-1], Bye) and reason in messages[-1].reason

    run(case)


def test_incomplete_hello_times_out():
    async def case(site: GatewaySite) -> None:
        messages = await messages_to_raw_peer(site, HELLO[:5], bounds=LimitSettings(hello_ms=150.0))
        assert messages == [Bye("no hello in time")]

    run(case)


@pytest.mark.parametrize("data", [HELLO, HELLO + READ[:9], HELLO + READ, HELLO[:3]])
def test_half_closed_connection_keeps_no_rpc_open(data):
    async def case(site: GatewaySite) -> None:
        await messages_to_raw_peer(site, data, eof=True)

    run(case)


def test_garbage_from_many_peers_does_not_affect_others():
    async def case(site: GatewaySite) -> None:
        await site.node()
        gateway = await site.gateway()
        good = site.client(gateway, "good")

        async def send_garbage() -> None:
            reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
            writer.write(os.urandom(3000))
            try:
                await reader.read()
            except ConnectionResetError:
                pass
            writer.close()

        reads = [good.read("read", "v", "k", shard=0, length=1, deadline_ms=1400) for _ in range(30)]
        answers, _ = await asyncio.gather(
            asyncio.gather(*reads), asyncio.gather(*(send_garbage() for _ in range(30)))
        )
        assert all(isinstance(answer, Ok) for answer in answers) and len(gateway.sessions) == 1

    run(case)

"""Tests of endpoint lists that discovery sends with a length which does not fit.

A list is a JSON object, which marks its own end: a part of it is no object, and what follows it is not read
into it. So a wrong length costs the watch, and never gives a list that discovery has not sent.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from cherrygrade.platform.endpoint_list import EndpointList
from cherrygrade.platform.endpoint_watch import EndpointWatch, WatchCallbacks
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.standin.web import WebNode

HOSTS = [WebNode(f"s-{shard}", shard, address="127.0.0.1:9").entry() for shard in range(12)]
LIST = json.dumps({"seq": 41, "whole": True, "hosts": HOSTS}).encode() + b"\n"
INDENTED_LIST = json.dumps({"seq": 41, "whole": True, "hosts": HOSTS}, indent=1).encode() + b"\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EMPTY_LINE_CHUNK = b"1\r\n\n\r\n"


def with_length(text: bytes, length: int) -> bytes:
    """Encode a response that tells `length` for a list."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % length + text


def with_chunk_size(text: bytes, size: int) -> bytes:
    """Encode a response that tells `size` for the chunk with a list; an empty line follows it."""
    return CHUNKED_HEAD + b"%x\r\n%b\r\n" % (size, text) + EMPTY_LINE_CHUNK


async def follow(response: bytes) -> tuple[EndpointList, str]:
    """Follow a discovery service that sends `response` and closes.

    Returns:
        The list of endpoints after that, and the reason for which the watch ended.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    endpoint_list = EndpointList(NodeTable(), lambda unix_ms: unix_ms)
    ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def received(message: object) -> None:
        endpoint_list.apply(message)

    host, port = server.sockets[0].getsockname()[:2]
    EndpointWatch(f"{host}:{port}", -1, WatchCallbacks(received, ended.set_result, lambda: None))
    reason = await asyncio.wait_for(ended, 3.0)
    server.close()
    return endpoint_list, reason


# Guards against a list that is cut short by a told length, and applied as though it were whole.
@pytest.mark.parametrize("text", [LIST, INDENTED_LIST], ids=["line", "indented"])
@pytest.mark.parametrize("encode", [with_length, with_chunk_size])
@pytest.mark.parametrize("length", ["half", "without-end", "without-brackets", "nothing"])
def test_list_that_is_cut_short_is_not_applied(text, encode, length):
    whole = len(text.rstrip())
    told = {"half": whole // 2, "without-end": whole - 1, "without-brackets": whole - 4, "nothing": 1}[length]
    endpoint_list, reason = asyncio.run(follow(encode(text, told)))
    assert not endpoint_list.addresses and endpoint_list.version < 0
    assert reason != "closed"


# Guards against bytes of the framing that are read into a list.
@pytest.mark.parametrize("text", [LIST, INDENTED_LIST], ids=["line", "indented"])
@pytest.mark.parametrize("excess", [1, 2, 3, 5, 7, 100])
def test_chunk_that_is_too_long_adds_nothing_to_a_list(text, excess):
    half = len(text) // 2
    response = CHUNKED_HEAD + b"%x\r\n%b\r\n" % (half + excess, text[:half])
    response += b"%x\r\n%b\r\n" % (len(text) - half, text[half:])
    endpoint_list, _ = asyncio.run(follow(response))
    assert not endpoint_list.addresses and endpoint_list.version < 0


@pytest.mark.parametrize(
    "response",
    [
        with_length(LIST, len(LIST)),
        with_length(LIST + b"noise", len(LIST)),
        with_length(LIST, len(LIST) + 1),
        with_chunk_size(LIST, len(LIST)) + b"noise",
    ],
    ids=["fits", "noise", "too-long", "noise-behind-chunks"],
)
def test_whole_list_is_applied_before_the_watch_ends(response):
    endpoint_list, _ = asyncio.run(follow(response))
    assert len(endpoint_list.addresses) == len(HOSTS) and endpoint_list.version == 41

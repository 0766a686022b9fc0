"""Tests of answers whose body does not have the length of the read, from a stand-in of a dispatcher."""

from __future__ import annotations

import asyncio

import pytest

from cherrygrade.client import Client, Errored, Ok
from cherrygrade.wire.frames import encode
from cherrygrade.wire.messages import VERSION, Welcome
from cherrygrade.wire.messages import Ok as WireOk

WELCOME = encode(Welcome(VERSION, "raw", [], 1000))
BODY = b"of eight"


async def serve_answer(answer: bytes, make_call):
    """Return what a client's call gives if the dispatcher sends `answer` to the first request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(4096)  # the hello
        writer.write(WELCOME)
        await reader.read(4096)  # the request
        writer.write(answer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with Client(f"{host}:{port}", "c", 1000) as client:
        result = await asyncio.wait_for(make_call(client), 3.0)
    server.close()
    return result


# Guards against a read that returns the first part of its bytes as though they were all.
@pytest.mark.parametrize("body", [b"", BODY[:1], BODY[:-1], BODY + b"x"])
def test_read_with_an_answer_of_another_length_is_errored(body):
    answer = encode(WireOk(1), len(body)) + body
    call = serve_answer(answer, lambda client: client.read("read", "v", "k", length=8, deadline_ms=2000))
    result = asyncio.run(call)
    assert result == Errored(f"{len(body)} bytes received of a read of 8 bytes")


def test_read_and_write_with_answers_of_the_right_length_succeed():
    answer = encode(WireOk(1), len(BODY)) + BODY
    call = serve_answer(answer, lambda client: client.read("read", "v", "k", length=8, deadline_ms=2000))
    assert asyncio.run(call) == Ok(BODY, -1)
    call = serve_answer(encode(WireOk(1)), lambda client: client.write("w", "v", "k", b"x", deadline_ms=2000))
    assert asyncio.run(call) == Ok(b"", -1)

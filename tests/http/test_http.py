"""Tests of the HTTP reader and encoder: which messages are read, which are errors, and the size limits."""

from __future__ import annotations

import pytest

from cherrygrade.http.reader import MAX_BODY_BYTES, MAX_HEAD_BYTES, MessageReader, closes_connection
from cherrygrade.http.writer import encode_request, encode_response

PUT = b"PUT /a HTTP/1.1\r\n"


def read(data: bytes, responses: bool = False, piece_bytes: int = 10**9) -> MessageReader:
    """Feed the data in pieces to a new reader."""
    reader = MessageReader(responses)
    for start in range(0, len(data), piece_bytes):
        reader.feed(data[start : start + piece_bytes])
    return reader


@pytest.mark.parametrize("piece_bytes", [1, 7, 10**9])
def test_encoded_messages_are_read_in_pieces_of_any_size(piece_bytes):
    data = encode_request(b"PUT", b"/a?b=c", b"h:1", [(b"X-A", b"1")], b"body") + encode_request(
        b"GET", b"/b", b"h:1"
    )
    put, get = read(data, piece_bytes=piece_bytes).messages
    assert (put.method, put.target, put.body, put.fields[b"x-a"]) == (b"PUT", b"/a?b=c", b"body", b"1")
    assert (get.method, get.body) == (b"GET", b"")
    rejection = read(
        encode_response(503, b"no", b"Retry-After: 0.250\r\n", close=True), True, piece_bytes
    ).messages[0]
    assert (
        rejection.status,
        rejection.body,
        rejection.fields[b"retry-after"],
        closes_connection(rejection),
    ) == (
        503,
        b"no",
        b"0.250",
        True,
    )


# If two parsers disagree on the framing of a request, a client can hide another request in its body.
@pytest.mark.parametrize(
    "data",
    [
        PUT + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        PUT + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        PUT + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        PUT + b"Content-Length: -3\r\n\r\n",
        PUT + b"Content-Length: 0x10\r\n\r\n",
        PUT + b"Content-Length: 99999999999999999999999\r\n\r\n",
        PUT + b"Content-Length : 3\r\n\r\nabc",
        PUT + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        PUT + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /a HTTP/1.1\nA: b\n\n",
        b"GET /a\x01b HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nA: b\x00c\r\n\r\n",
        b"GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00",
    ],
)
def test_contradictory_framing_is_an_error(data):
    reader = read(data)
    assert reader.error is not None and not reader.messages


@pytest.mark.parametrize(
    "data, code",
    [
        (PUT + b"A: " + b"a" * MAX_HEAD_BYTES, 431),
        (PUT + b"A: b\r\n" * 2000, 431),
        (b"GET /" + b"a" * (MAX_HEAD_BYTES + 1), 431),
        (PUT + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (PUT + b"Transfer-Encoding: chunked\r\n\r\n" + b"8000\r\n%b\r\n" % bytes(0x8000) * 3, 413),
        (PUT + b"Transfer-Encoding: chunked\r\n\r\n" + b"1;%b\r\nx\r\n" % (b"e" * 900) * 400, 413),
    ],
)
def test_message_without_end_is_an_error_in_bounded_memory(data, code):
    reader = read(data, piece_bytes=4096)
    assert reader.error is not None and reader.error.status == code and not reader.messages


def test_interim_responses_are_skipped_and_later_errors_keep_complete_messages():
    interim = read(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + encode_response(200, b"ab"), True)
    assert [message.body for message in interim.messages] == [b"ab"] and interim.error is None
    malformed = read(encode_response(200, b"ab") + b"NOISE", True)
    assert [message.body for message in malformed.messages] == [b"ab"] and malformed.error is not None
    unfinished = read(b"HTTP/1.1 200 OK\r\n\r\nabc", True)
    assert not unfinished.messages and unfinished.within_message


@pytest.mark.parametrize(
    "head, expects",
    [
        (b"HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", True),
        (b"HTTP/1.1\r\nExpect: 100-Continue\r\nTransfer-Encoding: chunked\r\n\r\n", True),
        (b"HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nz", False),  # the body has begun
        (b"HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n", False),
        (b"HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n", False),  # the head is incomplete
        (b"HTTP/1.1\r\nExpect: 100-continued\r\nContent-Length: 1\r\n\r\n", False),
        (b"HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\n", False),  # the body is too long
        (
            b"HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n",
            False,
        ),  # HTTP/1.0 has no interim responses
    ],
)
@pytest.mark.parametrize("piece_bytes", [1, 10**9])
def test_expectation_is_taken_once_and_only_from_a_peer_that_waits(head, expects, piece_bytes):
    reader = read(b"PUT /a " + head, piece_bytes=piece_bytes)
    assert reader.take_expectation() is expects
    assert not reader.take_expectation()

"""Tests of the reader of responses: where a response ends, and what it says of the bytes that follow."""

from __future__ import annotations

import pytest

from cherrygrade.http.reader import MAX_BODY_BYTES, MAX_FIELDS, MAX_HEAD_BYTES, BodyBudget, Framing
from cherrygrade.http.response_reader import ResponseReader, Trailing
from cherrygrade.http.single_message_reader import SingleMessageReader
from cherrygrade.http.writer import encode_response

ONE = encode_response(200, b"one", b"X-A: b\r\n")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
ALL_AT_ONCE = 10**9
PIECES = pytest.mark.parametrize("piece_bytes", [1, 2, 3, 7, ALL_AT_ONCE])


def read(data: bytes, piece_bytes: int = ALL_AT_ONCE, budget: BodyBudget | None = None) -> ResponseReader:
    """Feed the data in pieces to a new reader."""
    reader = ResponseReader(budget or BodyBudget(0))
    for start in range(0, len(data), piece_bytes):
        reader.feed(data[start : start + piece_bytes])
    return reader


@PIECES
@pytest.mark.parametrize("before", [b"", INTERIM, INTERIM + INTERIM, b"\r\n", b"\r\n\r\n\n\r"])
@pytest.mark.parametrize(
    "behind, trailing",
    [
        (b"", Trailing.NOTHING),
        (b"\r\n", Trailing.OTHER),
        (b"\n", Trailing.OTHER),
        (b"noise", Trailing.OTHER),
        (b"H", Trailing.PARTIAL_COPY),
        (ONE[:-1], Trailing.PARTIAL_COPY),
        (ONE, Trailing.COPY),
        (ONE + b"noise", Trailing.COPY),
        (ONE + ONE, Trailing.COPY),
        (ONE.replace(b"one", b"two"), Trailing.OTHER),
        (ONE.replace(b"X-A: b", b"X-A: c"), Trailing.OTHER),
        (encode_response(200, b"other"), Trailing.OTHER),
    ],
)
def test_bytes_behind_a_response_are_compared_with_it(before, behind, trailing, piece_bytes):
    reader = read(before + ONE + behind, piece_bytes)
    assert reader.response is not None and reader.error is None
    assert (reader.response.body, reader.response.fields[b"x-a"]) == (b"one", b"b")
    assert (reader.response.framing, reader.trailing) == (Framing.CONTENT_LENGTH, trailing)


@pytest.mark.parametrize("behind, trailing", [(b"", Trailing.NOTHING), (b"noise", Trailing.OTHER)])
@PIECES
def test_chunked_response_ends_with_its_last_chunk(behind, trailing, piece_bytes):
    reader = read(CHUNKED + behind, piece_bytes)
    assert reader.response is not None and reader.response.body == b"one"
    assert (reader.response.framing, reader.trailing) == (Framing.CHUNKED, trailing)


@PIECES
def test_next_response_is_read_after_the_first_one_is_taken(piece_bytes):
    reader = read(ONE, piece_bytes)
    assert reader.take_response().body == b"one" and reader.response is None
    reader.feed(encode_response(500, b"two") + b"x")
    assert reader.trailing is Trailing.OTHER
    assert reader.take_response().status == 500 and reader.trailing is Trailing.NOTHING


def test_response_without_length_ends_with_the_close():
    reader = read(b"HTTP/1.1 200 OK\r\n\r\n" + ONE)
    assert reader.response is None
    reader.end()
    assert reader.response is not None
    assert (reader.response.body, reader.response.framing) == (ONE, Framing.UNTIL_CLOSE)


@pytest.mark.parametrize("taken", [True, False])
def test_claimed_memory_is_returned_whether_or_not_the_response_is_taken(taken):
    budget = BodyBudget(4 * MAX_BODY_BYTES)
    long = encode_response(200, bytes(3 * MAX_BODY_BYTES))
    reader = read(long + long, 60_000, budget)
    assert budget.reserved_bytes == 2 * MAX_BODY_BYTES and reader.trailing is Trailing.COPY
    if taken:
        reader.take_response()
    reader.release()
    assert not budget.reserved_bytes


@pytest.mark.parametrize("data", [b"\r" * 50, b"\r\n" * 50, b"HTTP/1.1 200 OK\r\nA: " + b"a" * 20])
def test_head_without_end_is_read_in_bounded_memory(data):
    reader = ResponseReader(BodyBudget(0))
    for _ in range(1000):
        reader.feed(data)
    assert reader.response is None
    assert len(reader._head) <= MAX_HEAD_BYTES + len(data)


# Guards against heads of earlier requests that stay in memory until the connection ends.
def test_reader_of_requests_holds_nothing_after_a_message_was_taken():
    reader = SingleMessageReader(responses=False)
    request = b"PUT /a HTTP/1.1\r\nContent-Length: 4\r\nX-Call-Id: 1\r\n\r\nbody"
    empty_bytes = reader.memory_bytes
    for _ in range(3):
        assert reader.feed_message(request + request) == len(request)
        assert reader.memory_bytes > len(b"body")
        assert reader.messages.pop().body == b"body"
        assert reader.memory_bytes == empty_bytes


LAST_LINES = [b"0\r\n\r\n", b"000;a=b\r\nX: 1\r\nY: 0\r\n\r\n"]
CHUNKS = [b"4\r\nbody\r\n", b"1\r\na\r\n" * 9, b"6\r\na\n0\r\n0\r\n01\r\n0\r\n", b""]


# Guards against bytes of the next request that are read with the last chunk.
@pytest.mark.parametrize("piece_bytes", [1, 2, 3, 5, 1000])
@pytest.mark.parametrize("last_lines", LAST_LINES)
@pytest.mark.parametrize("chunks", CHUNKS)
def test_reading_stops_at_the_end_of_a_chunked_message(piece_bytes, last_lines, chunks):
    request = b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + last_lines
    reader = SingleMessageReader(responses=False)
    data, position = request + request, 0
    while not reader.messages:
        assert reader.error is None and position < len(request)
        position += reader.feed_message(data[position : position + piece_bytes])
    assert position == len(request)


# Guards against heads of very many short fields of one name, which take much time to read.
def test_fields_of_one_name_count_towards_the_limit_of_fields():
    reader = SingleMessageReader(responses=False)
    reader.feed_message(b"GET /a HTTP/1.1\r\n" + b"a:\r\n" * MAX_FIELDS)
    assert reader.error is None
    reader.feed_message(b"a:\r\nb:\r\n")
    assert reader.error is not None and reader.error.status == 431

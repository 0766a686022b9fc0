"""Tests of clients' requests that are followed by bytes which are no request."""

from __future__ import annotations

import pytest
from support.platform_site import PlatformSite, client_request, run_case


def put(body: bytes, length: int | None) -> bytes:
    """Encode a write whose `Content-Length` is `length`; None leaves the field out."""
    return client_request(method="PUT", body=body, Content_Length=None if length is None else str(length))


# Guards against a request that is not sound and is answered as served: a write that is cut short by its
# `Content-Length`, a read with a body, a field that comes twice.
@pytest.mark.parametrize(
    "request_bytes",
    [
        put(b"the whole body", 7),
        put(b"the whole body", 13),
        put(b"the whole body", 0),
        put(b"the whole body", None),
        put(b"\x00\xff\x00\xff", 2),
        put(b"the body GET it now", 9),
        client_request(Content_Length="0") + b"noise",
        client_request() + b"noise",
        client_request() + b"\xb5" * 4096,
        client_request() + b"GET it now",
        client_request(X_Extent="units=1,shard=0,hosts=1\r\nX-Extent: units=2,shard=0,hosts=1"),
    ],
    ids=[
        "half",
        "one-byte-short",
        "length-0",
        "no-length",
        "binary",
        "method-in-the-body",
        "read-with-length",
        "read",
        "read-with-a-body",
        "read-with-a-method-in-the-body",
        "two-extents",
    ],
)
def test_request_that_is_followed_by_no_request_is_refused_and_not_sent(tmp_path, request_bytes):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        dispatcher = await site.start()
        client = await site.connect_client()
        answer = await client.exchange(request_bytes)
        assert answer is not None and answer.status == 400
        assert await client.read_answer() is None  # the connection is closed behind the error
        assert not node.received
        assert dispatcher.refused == 1 and not dispatcher.request_budget.reserved_bytes

    run_case(tmp_path, case)


@pytest.mark.parametrize(
    "last", [put(b"the whole body", 7), client_request() + b"noise"], ids=["write", "read"]
)
def test_requests_before_the_last_one_are_served(tmp_path, last):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        client = await site.connect_client()
        client.writer.write(client_request() + client_request() + last)
        assert [(await client.read_answer()).status for _ in range(3)] == [200, 200, 400]
        assert [message.method for message in node.received] == [b"GET", b"GET"]

    run_case(tmp_path, case)


# Guards against refusing requests whose end is certain because of a fault in what follows.
@pytest.mark.parametrize(
    "first, following",
    [
        (put(b"body", 4), client_request(Content_Length="x")),
        (put(b"body", 4), put(b"", 61_000_000)),
        (put(b"body", 4), client_request(method="PUT", Transfer_Encoding="gzip")),
        (
            client_request(method="PUT", Content_Length=None, Transfer_Encoding="chunked")
            + b"4\r\nbody\r\n0\r\n\r\n",
            b"noise",
        ),
    ],
    ids=[
        "malformed-request",
        "too-long-request",
        "unknown-encoding",
        "behind-the-last-chunk",
    ],
)
def test_request_whose_end_is_certain_is_served_before_the_fault_is_answered(tmp_path, first, following):
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        client = await site.connect_client()
        client.writer.write(first + following)
        statuses = [(await client.read_answer()).status for _ in range(first.count(b"HTTP/1.1") + 1)]
        assert set(statuses[:-1]) == {200} and 400 <= statuses[-1] < 502
        assert node.received[0].body == b"body" and len(node.received) == len(statuses) - 1

    run_case(tmp_path, case)


@pytest.mark.parametrize("line_ends", [b"\r\n", b"\n\r\n"])
def test_line_ends_behind_a_request_are_skipped(tmp_path, line_ends):
    # RFC 9112, 2.2: a server skips line ends before a request, as some clients send them behind a body.
    async def case(site: PlatformSite) -> None:
        node = await site.add_node()
        await site.start()
        client = await site.connect_client()
        client.writer.write(put(b"body", 4) + line_ends + client_request())
        assert [(await client.read_answer()).status for _ in range(2)] == [200, 200]
        assert len(node.received) == 2

    run_case(tmp_path, case)

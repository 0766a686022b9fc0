"""Encodes HTTP/1.1 messages from separate, checked parts; no head of a peer is copied as it is."""

from __future__ import annotations

from collections.abc import Iterable

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def encode_response(status: int, body: bytes = b"", fields: bytes = b"", close: bool = False) -> bytes:
    """Encode a response with `Content-Length`.

    Args:
        status: The status code; a code without an entry in REASON_PHRASES gets the reason phrase "-".
        body: The complete body.
        fields: Further header fields as complete lines, each with its line end.
        close: Announce with `Connection: close` that the connection closes after this response.
    """
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES.get(status, b"-"),
        fields,
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )


def encode_request(
    method: bytes, target: bytes, host: bytes, fields: Iterable[tuple[bytes, bytes]] = (), body: bytes = b""
) -> bytes:
    """Encode a request, with `Content-Length` unless it is a GET.

    Args:
        method: The method in upper case.
        target: The target in origin form.
        host: The value of the field `Host`.
        fields: Name and value of each further header field.
        body: The complete body; empty for a GET.
    """
    lines = b"".join(b"%b: %b\r\n" % field for field in fields)
    length = b"" if method == b"GET" else b"Content-Length: %d\r\n" % len(body)
    return b"%b %b HTTP/1.1\r\nHost: %b\r\n%b%b\r\n%b" % (method, target, host, lines, length, body)

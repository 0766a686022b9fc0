"""Tells whether bytes can be the start of a client's request; free of I/O."""

from __future__ import annotations

import re
from enum import Enum

LINE_ENDS = b"\r\n"
METHOD = re.compile(rb"[A-Z-]{1,20}")
TARGET = re.compile(rb"[!-~]*")
VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")


class RequestStart(Enum):
    """Whether bytes can be the start of a request."""

    YES = "a request line"
    UNDECIDED = "a part of a request line, or nothing"
    NO = "no request starts so"


def request_start(data: bytes) -> RequestStart:
    """Return whether bytes can be the start of a request.

    Args:
        data: The first bytes that have arrived; line ends before a request are skipped (RFC 9112, 2.2).
    """
    if not data:
        return RequestStart.UNDECIDED
    line, line_end, _ = data.lstrip(LINE_ENDS).partition(b"\r\n")
    method, *others = line.rstrip(b"\r").split(b" ")
    is_complete = bool(line_end)
    if not method and not others:
        return RequestStart.UNDECIDED
    if not METHOD.fullmatch(method) or len(others) > 2 or (is_complete and len(others) != 2):
        return RequestStart.NO
    if others and not TARGET.fullmatch(others[0]):
        return RequestStart.NO
    if len(others) < 2:
        return RequestStart.UNDECIDED
    if is_complete:
        return RequestStart.YES if others[0] and others[1] in VERSIONS else RequestStart.NO
    can_be_version = any(version.startswith(others[1]) for version in VERSIONS)
    return RequestStart.UNDECIDED if others[0] and can_be_version else RequestStart.NO

"""Decides whether a storage node's response is whole if further bytes follow it; free of I/O and clock.

The platform knows two kinds of such responses:

* Malformed (DAYS, "Bad storage servers"): `Content-Length` does not fit the body. If it is too small, the
  bytes that follow are the rest of the body. The attempt has failed and may have run. Forwarded, the first
  part would pass for the whole body, which no node has sent (PROTOCOL, "The rules on sockets").
* Correct (the same page): noise or a second copy follows at once. A second copy that arrives some
  milliseconds late (STANDING, `join+mass`) finds the connection idle, and `NodeConnection` closes it.

A body may contain any bytes, so noise cannot be told from the rest of a body. The end is certain only where

* the body is chunked: the last chunk marks its end. A chunk longer than its size is malformed, as no line end
  follows where its size says;
* the response follows once more, byte for byte. The rest of a body does not begin with the head of its own
  response. What follows the copy does not matter.

Otherwise the attempt counts as failed and may have run. For a correct response with noise this costs a retry,
or an error where the request must not run twice; no client gets a body that was cut short.
"""

from __future__ import annotations

from enum import Enum

from cherrygrade.http.reader import Framing
from cherrygrade.http.response_reader import Trailing


class ResponseEnd(Enum):
    """Whether a response is known to end where its framing says."""

    CERTAIN = "the response is whole"
    OPEN = "the bytes that follow may become a copy of the response"
    IN_DOUBT = "the bytes that follow may be the rest of the body"


def response_end(framing: Framing, trailing: Trailing) -> ResponseEnd:
    """Return whether a complete response ends where its framing says.

    Args:
        framing: What marked the end of the response.
        trailing: What has arrived behind it.
    """
    if framing is Framing.CHUNKED or trailing in (Trailing.NOTHING, Trailing.COPY):
        return ResponseEnd.CERTAIN
    if trailing is Trailing.PARTIAL_COPY:
        return ResponseEnd.OPEN
    return ResponseEnd.IN_DOUBT

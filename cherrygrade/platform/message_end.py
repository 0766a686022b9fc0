"""Decides whether a message is whole if further bytes follow it; free of I/O and clock.

The peer tells where a message ends. If `Content-Length` is too small, the bytes that follow are the rest of
the body. Forwarded, the first part would pass for the whole body, which nobody has sent.

The platform knows two kinds of responses of storage nodes with bytes behind them:

* Malformed (DAYS, "Bad storage servers"): lengths that do not fit the body. The attempt has failed and may
  have run; the response is none that a node made for the request (PROTOCOL, "The rules on sockets").
* Correct (the same page): noise or a second copy follows at once. A second copy that arrives some
  milliseconds late (STANDING, `join+mass`) finds the connection idle, and `NodeConnection` closes it.

A body may contain any bytes, so noise cannot be told from the rest of a body. The end is certain only where

* the body is chunked: the last chunk marks its end. A chunk longer than its size is malformed, as no line end
  follows where its size says;
* the response follows once more, byte for byte. The rest of a body does not begin with the head of its own
  response. What follows the copy does not matter.

Otherwise the attempt counts as failed and may have run. For a correct response with noise this costs a retry,
or an error where the request must not run twice; no client gets a body that was cut short.

The same holds if the bytes arrive in a later read. So a response whose end is not certain waits before it is
used, for MAX_RESPONSE_WAIT_MS: the time for which a connection rests behind each response, as a second one
may come late. A node that writes a response in parts, one right behind the other, has written the next part
by then. Nothing of the node is held meanwhile but the connection, which rests anyway.

A client may send its next request at once, so only bytes that cannot begin a request leave the end of a
request in doubt. It is refused then, as DAYS, "Bad clients", asks for requests with wrong lengths. So is a
read without a length: a read has no body, and what follows it is one. A request is sent to a node without a
wait, since a client's blocks may be any time apart. It is judged again whenever more has arrived, before each
attempt and before its answer, and it is not answered as served before MAX_REQUEST_WAIT_MS have passed.
"""

from __future__ import annotations

from enum import Enum

from cherrygrade.http.reader import Framing
from cherrygrade.http.request_start import RequestStart, request_start
from cherrygrade.http.response_reader import Trailing

MAX_RESPONSE_WAIT_MS = 10.0
"""Time from a response whose end is not certain until it is used, or fails."""


MAX_REQUEST_WAIT_MS = MAX_RESPONSE_WAIT_MS
"""Time from a request whose end is not certain until it may be answered as served."""


class MessageEnd(Enum):
    """Whether a message is known to end where its framing says."""

    CERTAIN = "the message is whole"
    OPEN = "bytes may follow, or it cannot be told yet what those are that follow"
    IN_DOUBT = "the bytes that follow may be the rest of the body"


REQUEST_END_BY_START = {
    RequestStart.YES: MessageEnd.CERTAIN,
    RequestStart.UNDECIDED: MessageEnd.OPEN,
    RequestStart.NO: MessageEnd.IN_DOUBT,
}


def response_end(framing: Framing, trailing: Trailing) -> MessageEnd:
    """Return whether a complete response ends where its framing says, when some of its bytes have arrived.

    Args:
        framing: What marked the end of the response.
        trailing: What has arrived behind it.
    """
    if framing is Framing.CHUNKED or trailing is Trailing.COPY:
        return MessageEnd.CERTAIN
    if trailing in (Trailing.NOTHING, Trailing.PARTIAL_COPY):
        return MessageEnd.OPEN
    return MessageEnd.IN_DOUBT


def response_end_after_wait(trailing: Trailing) -> MessageEnd:
    """Return whether a response whose end was open is whole, MAX_RESPONSE_WAIT_MS after it.

    Args:
        trailing: What has arrived behind the response.
    """
    return MessageEnd.CERTAIN if trailing is Trailing.NOTHING else MessageEnd.IN_DOUBT


def request_end(framing: Framing, following: bytes) -> MessageEnd:
    """Return whether a client's complete request ends where its framing says.

    Args:
        framing: What marked the end of the request.
        following: The first bytes that have arrived behind it.
    """
    if framing is Framing.CHUNKED:
        return MessageEnd.CERTAIN
    return REQUEST_END_BY_START[request_start(following)]

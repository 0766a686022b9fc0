"""Status codes and errors that a client's connection answers with by itself."""

from __future__ import annotations

from dataclasses import dataclass

from cherrygrade.http.reader import HttpError

OK = 200
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503

NOT_WHOLE = HttpError(BAD_REQUEST, "no request follows this one: is its Content-Length too small?")
"""Bytes that are no request follow a request, so that it may be cut short."""
NO_MEMORY = HttpError(SERVICE_UNAVAILABLE, "no memory is left for this now: too much is unread or unfinished")
"""What the client has sent in part, or ahead, exceeds the memory limit."""
NO_MEMORY_AFTER_SEND = HttpError(BAD_GATEWAY, "no memory is left for this now; the request may have run")
"""The same where a request of the client is open."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a client's request."""

    status: int
    body: bytes = b""
    fields: bytes = b""
    """Further header fields as complete lines."""
    close: bool = False
    """Whether the connection closes after the answer."""

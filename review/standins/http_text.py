"""Reads HTTP/1.1 messages with Content-Length from a stream; the stand-ins need no other form."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpText:
    """One complete message."""

    start: list[str]
    """The words of the first line."""
    fields: dict[str, str]
    """Header fields by lower-case name."""
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> HttpText:
    """Return the next message.

    Raises:
        asyncio.IncompleteReadError: The connection ended, in a message or between two.
        ConnectionError: The connection was reset.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return HttpText(first.split(" ", 2), fields, body)

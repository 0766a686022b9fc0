"""What dispatchers tell each other by datagram, and how it is written down.

A datagram is `MAGIC`, a mark of the fleet's name, a checksum (xxh3, 64 bits) over all behind it, and a
MessagePack array whose first entry tells the kind. Anything else is counted by what is wrong with it and
dropped: nobody is answered who did not speak whole. Free of I/O and clock.
"""

from __future__ import annotations

import struct
from collections import Counter
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from cherrygrade.fleet.members.roll import Claim
from cherrygrade.fleet.members.seen import Met

MAGIC = b"cgF1"
HEAD = struct.Struct(">4sIQ")
MOST_PAGE = 1400
"""Bytes of a datagram: what an Ethernet carries in one piece."""
ROOM = 300
"""A probe is filled up to so many bytes, and an answer is no longer than its probe: who forges a sender's
place gets nothing larger thrown at it than what it wrote."""

Claims = Annotated[list[Claim], Meta(max_length=64)]
Mets = Annotated[list[Met], Meta(max_length=16)]
Name = Annotated[str, Meta(max_length=100)]


class Page(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Any; `name` and `birth` tell who speaks."""

    name: Name
    birth: int


class Probe(Page, frozen=True, tag="p"):
    number: int
    digest: int
    news: Claims = []
    met: Mets = []
    filling: bytes = b""


class Answer(Page, frozen=True, tag="a"):
    number: int
    digest: int
    news: Claims = []
    met: Mets = []


class Ask(Page, frozen=True, tag="q"):
    """Probe that member for me; it is told by its own claim."""

    number: int
    target: Claim
    place: Name
    news: Claims = []


class Carried(Page, frozen=True, tag="c"):
    """It answered me; or, `denied`, it has not."""

    number: int
    target: Name
    denied: bool = False


class Push(Page, frozen=True, tag="n"):
    news: Claims = []


class Spoken(Page, frozen=True, tag="w"):
    """A word of one module to another's; `seat`: the speaker's."""

    seat: int
    payload: Annotated[bytes, Meta(max_length=256)]


Any_ = Probe | Answer | Ask | Carried | Push | Spoken
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Any_)


def letter(data: bytes) -> bytes:
    """Of a datagram's kind, unchecked: it stands behind the array's head and its own."""
    return data[HEAD.size + 2 : HEAD.size + 3]


class Book:
    """Writes and reads one fleet's datagrams. `wrong` counts what was dropped, by why: a handful of kinds."""

    def __init__(self, fleet: str) -> None:
        self.mark = xxhash.xxh32_intdigest(fleet.encode())
        self.wrong: Counter[str] = Counter()

    def write(self, page: Any_, most: int = MOST_PAGE) -> bytes:
        """At most so many bytes: what news does not fit is left out, the last first."""
        while True:
            body = _encoder.encode(page)
            if HEAD.size + len(body) <= most:
                break
            news = getattr(page, "news", [])
            if news:
                page = msgspec.structs.replace(page, news=news[: max(0, len(news) * 3 // 4)])
            elif getattr(page, "met", []):
                page = msgspec.structs.replace(page, met=[])
            else:
                break
        if isinstance(page, Probe) and HEAD.size + len(body) < ROOM:
            lacks = ROOM - HEAD.size - len(body)
            body = _encoder.encode(msgspec.structs.replace(page, filling=bytes(lacks)))
        return HEAD.pack(MAGIC, self.mark, xxhash.xxh3_64_intdigest(body)) + body

    def read(self, data: bytes) -> Any_ | None:
        """None where it is no page of this fleet's."""
        if len(data) < HEAD.size or len(data) > MOST_PAGE:
            self.wrong["length"] += 1
            return None
        magic, mark, told = HEAD.unpack_from(data)
        body = data[HEAD.size :]
        why = ""
        if magic != MAGIC:
            why = "version"
        elif mark != self.mark:
            why = "another fleet"
        elif told != xxhash.xxh3_64_intdigest(body):
            why = "checksum"
        else:
            try:
                page: Any_ = _decoder.decode(body)
                return page
            except (msgspec.MsgspecError, UnicodeDecodeError):
                why = "form"
        self.wrong[why] += 1
        return None

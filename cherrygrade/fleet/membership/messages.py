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

from cherrygrade.fleet.membership.reachability import NodeContact
from cherrygrade.fleet.membership.table import MemberRecord

MAGIC = b"cgF1"
HEAD = struct.Struct(">4sIQ")
MOST_PAGE = 1400
"""Bytes of a datagram: what an Ethernet carries in one piece."""
ROOM = 300
"""A probe is filled up to so many bytes, and an answer is no longer than its probe: who forges a sender's
place gets nothing larger thrown at it than what it wrote."""

MOST_BITS = 512
"""Of a bitmap by seat: four thousand dispatchers."""

Claims = Annotated[list[MemberRecord], Meta(max_length=64)]
Mets = Annotated[list[NodeContact], Meta(max_length=16)]
Name = Annotated[str, Meta(max_length=100)]


class ConfigAdvert(msgspec.Struct, array_like=True, frozen=True):
    """Which configuration the speaker holds: its stage and the head of its digest (`config/replica.py`).
    `bits`: by seat, who of the fleet is known to be on it; rides only where room is filled anyway. It is the
    last field of a page, so that a reader of before passes over it."""

    stage: Annotated[int, Meta(ge=0, le=2**53)]
    mark: Annotated[int, Meta(ge=0)]
    bits: Annotated[bytes, Meta(max_length=MOST_BITS)] = b""


class MembershipMessage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind", tag="Page"):
    """Any; `name` and `birth` tell who speaks."""

    name: Name
    birth: int


class Probe(MembershipMessage, frozen=True, tag="p"):
    number: int
    digest: int
    news: Claims = []
    met: Mets = []
    filling: bytes = b""
    config: ConfigAdvert | None = None


class ProbeAck(MembershipMessage, frozen=True, tag="a"):
    number: int
    digest: int
    news: Claims = []
    met: Mets = []
    config: ConfigAdvert | None = None


class IndirectProbeRequest(MembershipMessage, frozen=True, tag="q"):
    """Probe that member for me; it is told by its own claim."""

    number: int
    target: MemberRecord
    place: Name
    news: Claims = []


class IndirectProbeResult(MembershipMessage, frozen=True, tag="c"):
    """It answered me; or, `denied`, it has not."""

    number: int
    target: Name
    denied: bool = False


class GossipPush(MembershipMessage, frozen=True, tag="n"):
    news: Claims = []
    config: ConfigAdvert | None = None


class SchedulerMessage(MembershipMessage, frozen=True, tag="w"):
    """A word of one module to another's; `seat`: the speaker's."""

    seat: int
    payload: Annotated[bytes, Meta(max_length=256)]


class ConfigQuery(MembershipMessage, frozen=True, tag="v"):
    """Which configuration do you hold? Nonce: drawn for this question. Filled up as a probe is."""

    nonce: Annotated[int, Meta(ge=0)]
    filling: bytes = b""


class ConfigReply(MembershipMessage, frozen=True, tag="h"):
    """The answer to that, first-hand; `seat`: the speaker's, -1: none. `why` it refuses what is newer."""

    nonce: Annotated[int, Meta(ge=0)]
    seat: int
    config: ConfigAdvert
    why: Annotated[str, Meta(max_length=120)] = ""


AnyMessage = (
    Probe
    | ProbeAck
    | IndirectProbeRequest
    | IndirectProbeResult
    | GossipPush
    | SchedulerMessage
    | ConfigQuery
    | ConfigReply
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def letter(data: bytes) -> bytes:
    """Of a datagram's kind, unchecked: it stands behind the array's head and its own."""
    return data[HEAD.size + 2 : HEAD.size + 3]


class MessageCodec:
    """Writes and reads one fleet's datagrams. `wrong` counts what was dropped, by why: a handful of kinds."""

    def __init__(self, fleet: str) -> None:
        self.mark = xxhash.xxh32_intdigest(fleet.encode())
        self.wrong: Counter[str] = Counter()

    def write(self, page: AnyMessage, most: int = MOST_PAGE) -> bytes:
        """At most so many bytes: what news does not fit is left out, the last first."""
        hint: ConfigAdvert | None = getattr(page, "config", None)
        while True:
            body = _encoder.encode(page)
            length = HEAD.size + len(body)
            if hint is not None and hint.bits and length > min(most, ROOM):
                hint = ConfigAdvert(hint.stage, hint.mark)  # bits go along only where room is filled anyway
                page = msgspec.structs.replace(page, config=hint)
                continue
            if length <= most:
                break
            news = getattr(page, "news", [])
            if news:
                page = msgspec.structs.replace(page, news=news[: max(0, len(news) * 3 // 4)])
            elif getattr(page, "met", []):
                page = msgspec.structs.replace(page, met=[])
            else:
                break
        if isinstance(page, Probe | ConfigQuery) and HEAD.size + len(body) < ROOM:
            lacks = ROOM - HEAD.size - len(body)
            body = _encoder.encode(msgspec.structs.replace(page, filling=bytes(lacks)))
        return HEAD.pack(MAGIC, self.mark, xxhash.xxh3_64_intdigest(body)) + body

    def read(self, data: bytes) -> AnyMessage | None:
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
                page: AnyMessage = _decoder.decode(body)
                return page
            except (msgspec.MsgspecError, UnicodeDecodeError):
                why = "form"
        self.wrong[why] += 1
        return None

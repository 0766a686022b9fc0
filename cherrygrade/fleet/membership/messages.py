"""The datagrams that dispatchers exchange, and their encoding.

A datagram is `MAGIC`, a hash of the fleet's name, a checksum (xxh3, 64 bits) over all that follows, and a
MessagePack array whose first entry is the kind of message. Anything else is counted by what is wrong with it
and dropped: only a complete message of this fleet is answered. Free of I/O and clock.
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

HEADER = struct.Struct(">4sIQ")
"""`MAGIC`, hash of the fleet's name, checksum of the body."""

MAX_DATAGRAM_BYTES = 1400
"""What an Ethernet carries in one piece."""

PADDED_BYTES = 300
"""Probes and queries are padded to this length, and an answer is no longer than what it answers: whoever
forges a sender's address can't have more sent to it than it sent itself."""

MAX_SEAT_BITMAP_BYTES = 512
"""Of a bitmap by seat: four thousand dispatchers."""

RECORDS_KEPT_PER_CUT = (3, 4)
"""Where records do not fit into a datagram, this fraction of them is kept, until they do."""

Records = Annotated[list[MemberRecord], Meta(max_length=64)]
NodeContacts = Annotated[list[NodeContact], Meta(max_length=16)]
Name = Annotated[str, Meta(max_length=100)]


class ConfigAdvert(msgspec.Struct, array_like=True, frozen=True):
    """Which configuration the sender holds.

    It is the last field of the messages that carry it, so that a reader of an older version skips it.

    Attributes:
        stage: Its stage (`fleet/config/replica.py`).
        digest_prefix: Head of its digest.
        seat_bitmap: By seat, who of the fleet is known to hold it; only in messages that are padded anyway.
    """

    stage: Annotated[int, Meta(ge=0, le=2**53)]
    digest_prefix: Annotated[int, Meta(ge=0)]
    seat_bitmap: Annotated[bytes, Meta(max_length=MAX_SEAT_BITMAP_BYTES)] = b""


class MembershipMessage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind", tag="Page"):
    """What all messages have.

    Attributes:
        name: The sender.
        incarnation: The sender's incarnation, Unix ms.
    """

    name: Name
    incarnation: int


class Probe(MembershipMessage, frozen=True, tag="p"):
    """Asks for an ack.

    Attributes:
        number: To be repeated by the ack.
        digest: Of the sender's table.
        records: Gossip.
        node_contacts: How the sender's attempts at nodes ended lately.
        padding: Zero bytes up to `PADDED_BYTES`.
        config: The sender's configuration.
    """

    number: int
    digest: int
    records: Records = []
    node_contacts: NodeContacts = []
    padding: bytes = b""
    config: ConfigAdvert | None = None


class ProbeAck(MembershipMessage, frozen=True, tag="a"):
    """Answers a probe; the fields are those of `Probe`."""

    number: int
    digest: int
    records: Records = []
    node_contacts: NodeContacts = []
    config: ConfigAdvert | None = None


class IndirectProbeRequest(MembershipMessage, frozen=True, tag="q"):
    """Asks a helper to probe a member that did not answer the sender.

    Attributes:
        number: Of the sender's own probe, to be repeated by the result.
        target: The sender's record of the member; the helper passes an accusation on to it.
        address: host:port of the member, where the helper does not know it.
        records: Gossip.
    """

    number: int
    target: MemberRecord
    address: Name
    records: Records = []


class IndirectProbeResult(MembershipMessage, frozen=True, tag="c"):
    """A helper's answer.

    Attributes:
        number: Of the request.
        target: Name of the probed member.
        denied: The member has not answered the helper either.
    """

    number: int
    target: Name
    denied: bool = False


class GossipPush(MembershipMessage, frozen=True, tag="n"):
    """Fresh gossip, not answered.

    Attributes:
        records: Gossip.
        config: The sender's configuration.
    """

    records: Records = []
    config: ConfigAdvert | None = None


class SchedulerMessage(MembershipMessage, frozen=True, tag="w"):
    """A message from one dispatcher's scheduler to another's.

    Attributes:
        seat: The sender's.
        payload: Opaque here.
    """

    seat: int
    payload: Annotated[bytes, Meta(max_length=256)]


class ConfigQuery(MembershipMessage, frozen=True, tag="v"):
    """Asks which configuration the receiver holds.

    Attributes:
        nonce: Drawn for this query, to be repeated by the reply.
        padding: Zero bytes up to `PADDED_BYTES`.
    """

    nonce: Annotated[int, Meta(ge=0)]
    padding: bytes = b""


class ConfigReply(MembershipMessage, frozen=True, tag="h"):
    """Answers a configuration query.

    Attributes:
        nonce: Of the query.
        seat: The sender's; -1 where it has none.
        config: What it holds.
        refusal: Why it refuses what is newer; else empty.
    """

    nonce: Annotated[int, Meta(ge=0)]
    seat: int
    config: ConfigAdvert
    refusal: Annotated[str, Meta(max_length=120)] = ""


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


def message_tag(data: bytes) -> bytes:
    """The kind of a datagram's message, one byte, unchecked; empty where the datagram is too short.

    It follows the head of the array and the head of the tag's own string.
    """
    return data[HEADER.size + 2 : HEADER.size + 3]


class MessageCodec:
    """Writes and reads the datagrams of one fleet.

    Attributes:
        fleet_hash: Hash of the fleet's name.
        wrong: How many datagrams were dropped, by why: `length`, `version`, `another fleet`, `checksum`
            or `form`.
    """

    def __init__(self, fleet: str) -> None:
        self.fleet_hash = xxhash.xxh32_intdigest(fleet.encode())
        self.rejected: Counter[str] = Counter()

    def write(self, message: AnyMessage, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
        """Encode a message as a datagram.

        Args:
            message: What to send.
            max_bytes: Length to keep to. Records that do not fit are left out, the last first, then node
                contacts.

        Returns:
            The datagram; longer than `max_bytes` where the message does not fit without them either.
        """
        body = _encoder.encode(message)
        shorter = _shortened(message, HEADER.size + len(body), max_bytes)
        while shorter is not None:
            message = shorter
            body = _encoder.encode(message)
            shorter = _shortened(message, HEADER.size + len(body), max_bytes)
        lacking = PADDED_BYTES - HEADER.size - len(body)
        if isinstance(message, Probe | ConfigQuery) and lacking > 0:
            body = _encoder.encode(msgspec.structs.replace(message, padding=bytes(lacking)))
        return HEADER.pack(MAGIC, self.fleet_hash, xxhash.xxh3_64_intdigest(body)) + body

    def read(self, data: bytes) -> AnyMessage | None:
        """Decode a datagram; None, and counted in `wrong`, where it is no message of this fleet."""
        why = self._rejection(data)
        if not why:
            try:
                message: AnyMessage = _decoder.decode(data[HEADER.size :])
            except (msgspec.MsgspecError, UnicodeDecodeError):
                why = "form"
            else:
                return message
        self.rejected[why] += 1
        return None

    def _rejection(self, data: bytes) -> str:
        """Why a datagram is rejected before its body is decoded; empty where it is not."""
        if len(data) < HEADER.size or len(data) > MAX_DATAGRAM_BYTES:
            return "length"
        magic, fleet_hash, checksum = HEADER.unpack_from(data)
        if magic != MAGIC:
            return "version"
        if fleet_hash != self.fleet_hash:
            return "another fleet"
        if checksum != xxhash.xxh3_64_intdigest(data[HEADER.size :]):
            return "checksum"
        return ""


def _shortened(message: AnyMessage, length: int, max_bytes: int) -> AnyMessage | None:
    """The message with less in it; None where it fits or nothing can be left out."""
    advert = getattr(message, "config", None)
    if advert is not None and advert.seat_bitmap and length > min(max_bytes, PADDED_BYTES):
        # The bitmap goes along only where there would be padding.
        return msgspec.structs.replace(message, config=ConfigAdvert(advert.stage, advert.digest_prefix))
    if length <= max_bytes:
        return None
    records = getattr(message, "records", [])
    if records:
        kept, of = RECORDS_KEPT_PER_CUT
        return msgspec.structs.replace(message, records=records[: len(records) * kept // of])
    if getattr(message, "node_contacts", []):
        return msgspec.structs.replace(message, node_contacts=[])
    return None

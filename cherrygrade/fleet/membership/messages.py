"""The datagrams that dispatchers exchange, and their encoding.

A datagram is `MAGIC`, a hash of the fleet's name, a checksum (xxh3, 64 bits) over all bytes after it, and a
MessagePack array whose first entry is the tag of the message's type. Any other datagram is dropped and
counted by the reason. Only a complete message of this fleet is answered.

The module does no I/O and reads no clock.
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
"""First bytes of each datagram; the last one is the version of the protocol."""

HEADER = struct.Struct(">4sIQ")
"""Layout of a datagram's header: `MAGIC`, hash of the fleet's name, checksum of the body."""

MAX_DATAGRAM_BYTES = 1400
"""Maximum length of a datagram; Ethernet carries it without fragmentation."""

PADDED_BYTES = 300
"""Length to which probes and configuration queries are padded.

A reply is no longer than the message that it answers. So an attacker that forges a sender's address can't
have more bytes sent to that address than it sends itself.
"""

MAX_SEAT_BITMAP_BYTES = 512
"""Length of a bitmap by seat, enough for four thousand dispatchers."""

RECORDS_KEPT_FRACTION = (3, 4)
"""Numerator and denominator of the part of the records that is kept, repeatedly until the datagram fits."""

Records = Annotated[list[MemberRecord], Meta(max_length=64)]
"""Member records, as messages carry them."""

NodeContacts = Annotated[list[NodeContact], Meta(max_length=16)]
"""A report of how the sender's attempts at nodes ended."""

Name = Annotated[str, Meta(max_length=100)]
"""Name or address of a member, as messages carry it."""


class ConfigAdvert(msgspec.Struct, array_like=True, frozen=True):
    """The configuration that the sender has.

    It is the last field of the messages that carry it, so that an earlier version of the program skips it.

    Attributes:
        stage: Stage of the configuration: 2N while version N is being introduced, 2N+1 once it is settled
            (`fleet/config/replica.py`).
        digest_prefix: First bits of the configuration's digest, as a number.
        seat_bitmap: One bit by seat, set for the members known to have the configuration; sent only in
            messages that are padded anyway.
    """

    stage: Annotated[int, Meta(ge=0, le=2**53)]
    digest_prefix: Annotated[int, Meta(ge=0)]
    seat_bitmap: Annotated[bytes, Meta(max_length=MAX_SEAT_BITMAP_BYTES)] = b""


class MembershipMessage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind", tag="Page"):
    """Base of all messages between dispatchers.

    Attributes:
        name: Name of the sender.
        incarnation: The sender's incarnation, Unix ms.
    """

    name: Name
    incarnation: int


class Probe(MembershipMessage, frozen=True, tag="p"):
    """Requests an ack.

    Attributes:
        number: Number of the probe, which the ack repeats.
        digest: Digest of the sender's membership table.
        records: Member records passed on by gossip.
        node_contacts: How the sender's recent attempts at storage nodes ended.
        padding: Zero bytes up to `PADDED_BYTES`.
        config: The sender's configuration; None where it has none.
    """

    number: int
    digest: int
    records: Records = []
    node_contacts: NodeContacts = []
    padding: bytes = b""
    config: ConfigAdvert | None = None


class ProbeAck(MembershipMessage, frozen=True, tag="a"):
    """Answers a probe; the fields mean the same as in `Probe`."""

    number: int
    digest: int
    records: Records = []
    node_contacts: NodeContacts = []
    config: ConfigAdvert | None = None


class IndirectProbeRequest(MembershipMessage, frozen=True, tag="q"):
    """Requests that a helper probe a member that did not answer the sender.

    Attributes:
        number: Number of the sender's own probe, which the result repeats.
        target: The sender's record of the member; if it is an accusation, the helper sends it to the member.
        address: host:port of the member, for a helper that does not know it.
        records: Member records passed on by gossip.
    """

    number: int
    target: MemberRecord
    address: Name
    records: Records = []


class IndirectProbeResult(MembershipMessage, frozen=True, tag="c"):
    """Reports the result of a helper's probe.

    Attributes:
        number: Number given in the request.
        target: Name of the probed member.
        timed_out: Whether the member did not answer the helper in time either.
    """

    number: int
    target: Name
    timed_out: bool = False


class GossipPush(MembershipMessage, frozen=True, tag="n"):
    """Passes on fresh member records; it is not answered.

    Attributes:
        records: Member records passed on by gossip.
        config: The sender's configuration; None where it has none.
    """

    records: Records = []
    config: ConfigAdvert | None = None


class SchedulerMessage(MembershipMessage, frozen=True, tag="w"):
    """Carries a message from one dispatcher's scheduler to another's.

    Attributes:
        seat: The sender's seat.
        payload: The scheduler's message, which membership does not decode.
    """

    seat: int
    payload: Annotated[bytes, Meta(max_length=256)]


class ConfigQuery(MembershipMessage, frozen=True, tag="v"):
    """Requests the receiver's configuration stage and digest.

    Attributes:
        nonce: Number generated for this query, which the reply repeats.
        padding: Zero bytes up to `PADDED_BYTES`.
    """

    nonce: Annotated[int, Meta(ge=0)]
    padding: bytes = b""


class ConfigReply(MembershipMessage, frozen=True, tag="h"):
    """Answers a configuration query.

    Attributes:
        nonce: Nonce of the query.
        seat: The sender's seat; -1 where it has none.
        config: The sender's configuration.
        refusal: Why the sender refuses a newer configuration; empty where it does not.
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
    """Return the tag of a datagram's message, one byte, without checking the datagram.

    The result is empty where the datagram is too short.
    """
    # The body begins with one byte for the array's header and one for the header of the tag's string.
    return data[HEADER.size + 2 : HEADER.size + 3]


class MessageCodec:
    """Encodes and decodes the datagrams of one fleet.

    Attributes:
        fleet_hash: Hash of the fleet's name.
        rejected: Number of datagrams that were dropped, by reason: `length`, `version`, `another fleet`,
            `checksum` or `form` (the body is no valid message).
    """

    def __init__(self, fleet: str) -> None:
        self.fleet_hash = xxhash.xxh32_intdigest(fleet.encode())
        self.rejected: Counter[str] = Counter()

    def write(self, message: AnyMessage, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
        """Encode a message as a datagram.

        Args:
            message: The message to send.
            max_bytes: Maximum length. Records that do not fit are left out, the last ones first, and after
                them the node contacts.

        Returns:
            The datagram, which is longer than `max_bytes` where the message does not fit even without records
            and node contacts.
        """
        body = _encoder.encode(message)
        shorter = _shortened(message, HEADER.size + len(body), max_bytes)
        while shorter is not None:
            message = shorter
            body = _encoder.encode(message)
            shorter = _shortened(message, HEADER.size + len(body), max_bytes)
        padding_bytes = PADDED_BYTES - HEADER.size - len(body)
        if isinstance(message, Probe | ConfigQuery) and padding_bytes > 0:
            body = _encoder.encode(msgspec.structs.replace(message, padding=bytes(padding_bytes)))
        return HEADER.pack(MAGIC, self.fleet_hash, xxhash.xxh3_64_intdigest(body)) + body

    def read(self, data: bytes) -> AnyMessage | None:
        """Decode a datagram.

        Returns:
            The message; None where the datagram is no message of this fleet, which `rejected` counts.
        """
        reason = self._rejection_reason(data)
        if not reason:
            try:
                message: AnyMessage = _decoder.decode(data[HEADER.size :])
            except (msgspec.MsgspecError, UnicodeDecodeError):
                reason = "form"
            else:
                return message
        self.rejected[reason] += 1
        return None

    def _rejection_reason(self, data: bytes) -> str:
        """Return why a datagram is rejected before its body is decoded; empty where it is not."""
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


def _shortened(message: AnyMessage, length_bytes: int, max_bytes: int) -> AnyMessage | None:
    """Return the message with some content left out; None where it fits or nothing can be left out."""
    advert = getattr(message, "config", None)
    if advert is not None and advert.seat_bitmap and length_bytes > min(max_bytes, PADDED_BYTES):
        # The bitmap is sent only in place of padding.
        return msgspec.structs.replace(message, config=ConfigAdvert(advert.stage, advert.digest_prefix))
    if length_bytes <= max_bytes:
        return None
    records = getattr(message, "records", [])
    if records:
        numerator, denominator = RECORDS_KEPT_FRACTION
        return msgspec.structs.replace(message, records=records[: len(records) * numerator // denominator])
    if getattr(message, "node_contacts", []):
        return msgspec.structs.replace(message, node_contacts=[])
    return None

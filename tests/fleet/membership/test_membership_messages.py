"""Encoding of the membership datagrams, and the effects of wrong or forged ones.

Guards against datagrams of another fleet, version or sender that change the membership, against replies that
are longer than the message that they answer, and against fields that an earlier version can't skip.
"""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.membership_state import MembershipSettings
from cherrygrade.fleet.membership.messages import (
    HEADER,
    MAX_DATAGRAM_BYTES,
    ConfigAdvert,
    ConfigQuery,
    ConfigReply,
    GossipPush,
    MessageCodec,
    Probe,
    ProbeAck,
    SchedulerMessage,
    message_tag,
)
from cherrygrade.fleet.membership.table import MemberInfo, MemberRecord, MemberState

ALIVE = [
    MemberRecord(f"d{n}", 1, 0, MemberState.ALIVE, MemberInfo(f"10.0.0.{n}:1", "zone", "0.2.0", "ab", n))
    for n in range(40)
]
INTEGERS = st.integers(-(2**63), 2**64 - 1)


def member_d0() -> Membership:
    """The membership of dispatcher d0, which knows all members of `ALIVE`."""
    membership = Membership(MembershipSettings("d0", 1, MemberInfo("10.0.0.0:1", seat=0), 40, [], 1), 0.0)
    membership.merge_table(ALIVE, "d1", 1.0)
    return membership


def test_messages_are_decoded_as_encoded_and_fit_into_a_datagram():
    codec = MessageCodec("fleet")
    for message in (
        Probe("d1", 1, 7, 99, ALIVE[:30]),
        GossipPush("d1", 1, ALIVE),
        SchedulerMessage("d1", 1, 1, b"x" * 240),
    ):
        data = codec.write(message)
        assert len(data) <= MAX_DATAGRAM_BYTES
        decoded = codec.read(data)
        assert type(decoded) is type(message) and decoded.name == "d1"
        if not isinstance(message, SchedulerMessage):
            assert decoded.records == message.records[: len(decoded.records)] and len(decoded.records) >= 10
    assert len(codec.write(Probe("d1", 1, 7, 99))) >= 300


def test_ack_is_no_longer_than_the_probe_that_it_answers():
    codec, d0 = MessageCodec("fleet"), member_d0()
    for name in (record.name for record in ALIVE[1:]):
        d0.gossip.add(name, 2.0)
    data = codec.write(Probe("d9", 1, 7, 99))
    effects = d0.receive(codec.read(data), "10.0.0.9:1", 3.0)
    assert len(effects.replies) == 1 and isinstance(effects.replies[0], ProbeAck)
    assert len(codec.write(effects.replies[0], len(data))) <= len(data)


def test_datagrams_of_another_fleet_or_version_and_damaged_ones_are_counted_by_reason():
    codec, other_codec = MessageCodec("fleet"), MessageCodec("fleet of others")
    data = codec.write(Probe("d1", 1, 7, 99))
    assert codec.read(other_codec.write(Probe("d1", 1, 7, 99))) is None
    assert codec.read(b"cgF9" + data[4:]) is None
    assert codec.read(data[:-1] + b"\x00\x01") is None and codec.read(b"") is None
    assert codec.read(data + bytes(MAX_DATAGRAM_BYTES)) is None
    assert codec.rejected == {"another fleet": 1, "version": 1, "checksum": 1, "length": 2}


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected(data):
    assert MessageCodec("fleet").read(data) is None


@given(
    st.recursive(
        st.none() | INTEGERS | st.text(max_size=5) | st.binary(max_size=5) | st.floats(),
        lambda inner: st.lists(inner, max_size=6),
        max_leaves=12,
    ),
    st.sampled_from("paqcnwvhx"),
)
def test_random_message_with_a_valid_header_is_rejected_or_harmless(value, tag):
    codec, d0 = MessageCodec("fleet"), member_d0()
    body = msgspec.msgpack.encode([tag, *(value if isinstance(value, list) else [value])])
    data = HEADER.pack(b"cgF1", codec.fleet_hash, xxhash.xxh3_64_intdigest(body)) + body
    message = codec.read(data)
    if message is not None:
        d0.receive(message, "10.0.0.9:1", 3.0)
        d0.tick(500.0)
    assert len(d0.table.members) <= 160


def test_member_that_is_falsely_reported_failed_refutes_the_report():
    d0 = member_d0()
    false_records = [
        MemberRecord("d7", 1, 0, MemberState.FAILED),
        MemberRecord("d0", 1, 4, MemberState.FAILED),
    ]
    d0.receive(GossipPush("d5", 1, false_records), "10.0.0.5:1", 5.0)
    assert (
        d0.table.own.state is MemberState.ALIVE and d0.table.own.refutations == 5
    )  # d0 has refuted the record of itself
    assert d0.table.members["d7"].state is MemberState.FAILED
    d0.receive(
        GossipPush("d7", 1, [MemberRecord("d7", 1, 1, MemberState.ALIVE, ALIVE[7].info)]), "10.0.0.7:1", 6.0
    )
    assert d0.table.members["d7"].state is MemberState.ALIVE


def test_records_with_an_impossible_incarnation_or_refutation_counter_are_ignored():
    d0 = member_d0()
    other_info = MemberInfo("10.9.9.9:9", seat=0)
    false_records = [
        MemberRecord("d0", 1, 2**63, MemberState.FAILED),
        MemberRecord("d0", 2**52, 0, MemberState.ALIVE, other_info),
    ]
    false_records += [
        MemberRecord("d7", 2**52, 0, MemberState.ALIVE, other_info),
        MemberRecord("d8", 1, 2**62, MemberState.SUSPECT),
    ]
    d0.receive(GossipPush("d5", 1, false_records), "10.0.0.5:1", 5.0)
    assert not d0.silent and d0.table.own.refutations == 0
    assert d0.table.members["d7"].incarnation == 1 and d0.table.members["d8"].refutations == 0


def test_scheduler_messages_are_delivered_only_from_the_member_that_has_the_seat_and_up_to_a_rate():
    d0 = member_d0()
    assert d0.receive(SchedulerMessage("d5", 1, 5, b"word"), "10.0.0.5:1", 5.0).scheduler_messages == [
        (5, b"word")
    ]
    for name, incarnation, seat in (
        ("d5", 1, 6),
        ("d5", 2, 5),
        ("nobody", 1, 5),
        ("d0", 1, 0),
        ("d5", 1, -1),
    ):
        assert (
            d0.receive(SchedulerMessage(name, incarnation, seat, b"w"), "10.0.0.5:1", 5.0).scheduler_messages
            == []
        )
    delivered = [
        d0.receive(SchedulerMessage("d6", 1, 6, b"w"), "10.0.0.6:1", 6.0).scheduler_messages
        for _ in range(1000)
    ]
    assert sum(len(payloads) for payloads in delivered) == 400


ADVERT = ConfigAdvert(2**20, 2**64 - 1, b"\xff" * 73)


class EarlierMessage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Base of the messages of an earlier version, which lack the fields added at the end since."""

    name: str
    incarnation: int


class EarlierProbe(EarlierMessage, frozen=True, tag="p"):
    number: int
    digest: int
    records: list[MemberRecord] = []
    node_contacts: list[Any] = []
    padding: bytes = b""


class EarlierProbeAck(EarlierMessage, frozen=True, tag="a"):
    number: int
    digest: int
    records: list[MemberRecord] = []
    node_contacts: list[Any] = []


class EarlierGossipPush(EarlierMessage, frozen=True, tag="n"):
    records: list[MemberRecord] = []


def test_earlier_version_skips_the_config_advert_and_its_messages_are_decoded_by_this_one():
    codec = MessageCodec("fleet")
    cases = [
        (Probe("d1", 1, 7, 99, ALIVE[:2], config=ADVERT), EarlierProbe, b"p"),
        (ProbeAck("d1", 1, 7, 99, ALIVE[:2], [], ConfigAdvert(7, 8)), EarlierProbeAck, b"a"),
        (GossipPush("d1", 1, ALIVE[:2], ConfigAdvert(7, 8)), EarlierGossipPush, b"n"),
    ]
    for message, earlier_type, tag in cases:
        data = codec.write(message)
        earlier = msgspec.msgpack.decode(data[HEADER.size :], type=earlier_type)
        assert (earlier.name, earlier.incarnation, earlier.records) == ("d1", 1, ALIVE[:2])
        assert message_tag(data) == tag
        body = msgspec.msgpack.encode(earlier)
        decoded = codec.read(HEADER.pack(b"cgF1", codec.fleet_hash, xxhash.xxh3_64_intdigest(body)) + body)
        assert decoded is not None and decoded.config is None and decoded.records == ALIVE[:2]
        assert codec.read(data).config.stage == message.config.stage
    assert not codec.rejected


def test_config_advert_adds_less_than_a_twentieth_to_a_probe_and_its_ack_without_changes():
    codec = MessageCodec("fleet")

    def probe_and_ack_bytes(advert):
        without_bitmap = advert and ConfigAdvert(advert.stage, advert.digest_prefix)
        probe = Probe("dispatcher-112", 1_700_000_000_000, 2**30, 2**63, config=advert)
        ack = ProbeAck("dispatcher-113", 1_700_000_000_000, 2**30, 2**63, config=without_bitmap)
        return len(codec.write(probe)) + len(codec.write(ack))

    earlier_ack_bytes = len(HEADER.pack(b"", 0, 0)) + len(
        msgspec.msgpack.encode(EarlierProbeAck("dispatcher-113", 1_700_000_000_000, 2**30, 2**63))
    )
    assert probe_and_ack_bytes(ConfigAdvert(2**20, 2**64 - 1)) < 1.05 * (300 + earlier_ack_bytes)
    # The bitmap takes the place of padding.
    assert probe_and_ack_bytes(ADVERT) == probe_and_ack_bytes(ConfigAdvert(2**20, 2**64 - 1))
    assert probe_and_ack_bytes(None) <= 300 + earlier_ack_bytes + 1


def test_seat_bitmap_is_sent_only_in_place_of_padding_and_is_left_out_before_records():
    codec = MessageCodec("fleet")
    assert codec.read(codec.write(Probe("d1", 1, 7, 99, config=ADVERT))).config == ADVERT
    full = codec.read(codec.write(Probe("d1", 1, 7, 99, ALIVE[:30], config=ADVERT)))
    assert full.config == ConfigAdvert(ADVERT.stage, ADVERT.digest_prefix) and full.records == ALIVE[:30]


def test_config_query_is_answered_with_no_more_bytes_and_only_by_members_that_have_an_advert():
    codec, d0 = MessageCodec("fleet"), member_d0()
    queries = [message for _, message in member_d0().query_config("d7", 2**64 - 1).messages]
    assert [type(query) for query in queries] == [ConfigQuery]
    data = codec.write(ConfigQuery("d9", 1, 2**64 - 1))
    assert not d0.receive(codec.read(data), "10.0.0.9:1", 3.0).replies
    d0.config.advert = ConfigAdvert(0, 0)  # no version yet: the advert is sent in replies to queries alone
    assert d0.receive(codec.read(data), "10.0.0.9:1", 3.0).replies == [
        ConfigReply("d0", 1, 2**64 - 1, 0, ConfigAdvert(0, 0))
    ]
    assert d0.receive(Probe("d7", 1, 9, 9), "10.0.0.7:1", 3.0).replies[0].config is None
    d0.config.advert, d0.config.refusal = ADVERT, "x" * 120
    reply = d0.receive(codec.read(data), "10.0.0.9:1", 3.0).replies[0]
    assert reply == ConfigReply("d0", 1, 2**64 - 1, 0, ADVERT, "x" * 120)
    reply_data = codec.write(reply, len(data))
    assert len(reply_data) <= len(data) and codec.read(reply_data).config.stage == ADVERT.stage


def test_config_reports_are_passed_on_for_living_members_only_and_are_direct_once_for_each_probe():
    d0, advert = member_d0(), ConfigAdvert(7, 8)
    d0.config.advert = ConfigAdvert(3, 4)
    [probe] = [message for _, message in d0.tick(500.0).messages if isinstance(message, Probe)][:1]
    assert probe.config == ConfigAdvert(3, 4)
    target = d0.failure_detector.outstanding[0].name

    def reports_of(message):
        return [
            (report.name, report.direct, report.nonce)
            for report in d0.receive(message, "10.0.0.9:1", 501.0).config_reports
        ]

    assert reports_of(ProbeAck(target, 1, probe.number + 1, 9, config=advert)) == [(target, False, 0)]
    assert reports_of(ProbeAck(target, 1, probe.number, 9, config=advert)) == [(target, True, 0)]
    # A repeated ack does not count as an answer to the probe.
    assert reports_of(ProbeAck(target, 1, probe.number, 9, config=advert)) == [(target, False, 0)]
    assert reports_of(GossipPush("d7", 1, [], advert)) == [("d7", False, 0)]
    assert reports_of(Probe("d7", 1, 9, 9, config=advert)) == [("d7", False, 0)]
    assert reports_of(ConfigReply("d7", 1, 55, 7, advert)) == [("d7", True, 55)]
    # An incarnation and a name that are not known give no report.
    assert (
        reports_of(GossipPush("d7", 2, [], advert)) == reports_of(GossipPush("nobody", 1, [], advert)) == []
    )
    assert [message.config for _, message in d0.advertise_config(["d5", "nobody"]).messages] == [
        ConfigAdvert(3, 4)
    ]

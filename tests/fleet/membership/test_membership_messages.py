"""Datagrams: what is no page of this fleet's is counted and dropped, and nobody is answered with more than
it sent."""

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
BITS = st.integers(-(2**63), 2**64 - 1)


def core() -> Membership:
    made = Membership(MembershipSettings("d0", 1, MemberInfo("10.0.0.0:1", seat=0), 40, [], 1), 0.0)
    made.merge_table(ALIVE, "d1", 1.0)
    return made


def test_a_page_comes_back_as_it_was_and_keeps_to_its_length():
    book = MessageCodec("fleet")
    for page in (
        Probe("d1", 1, 7, 99, ALIVE[:30]),
        GossipPush("d1", 1, ALIVE),
        SchedulerMessage("d1", 1, 1, b"x" * 240),
    ):
        data = book.write(page)
        assert len(data) <= MAX_DATAGRAM_BYTES
        read = book.read(data)
        assert type(read) is type(page) and read.name == "d1"
        if not isinstance(page, SchedulerMessage):
            assert read.records == page.records[: len(read.records)] and len(read.records) >= 10
    assert len(book.write(Probe("d1", 1, 7, 99))) >= 300


def test_an_answer_is_no_longer_than_what_asked_for_it():
    book, here = MessageCodec("fleet"), core()
    for name in (one.name for one in ALIVE[1:]):
        here.gossip.add(name, 2.0)
    data = book.write(Probe("d9", 1, 7, 99))
    mail = here.receive(book.read(data), "10.0.0.9:1", 3.0)
    assert len(mail.replies) == 1 and isinstance(mail.replies[0], ProbeAck)
    assert len(book.write(mail.replies[0], len(data))) <= len(data)


def test_what_is_of_another_fleet_or_version_or_spoilt_is_counted_by_its_kind():
    book, other = MessageCodec("fleet"), MessageCodec("fleet of others")
    data = book.write(Probe("d1", 1, 7, 99))
    assert book.read(other.write(Probe("d1", 1, 7, 99))) is None
    assert book.read(b"cgF9" + data[4:]) is None
    assert book.read(data[:-1] + b"\x00\x01") is None and book.read(b"") is None
    assert book.read(data + bytes(MAX_DATAGRAM_BYTES)) is None
    assert book.rejected == {"another fleet": 1, "version": 1, "checksum": 1, "length": 2}


@given(st.binary(max_size=200))
def test_noise_is_dropped(data):
    assert MessageCodec("fleet").read(data) is None


@given(
    st.recursive(
        st.none() | BITS | st.text(max_size=5) | st.binary(max_size=5) | st.floats(),
        lambda inner: st.lists(inner, max_size=6),
        max_leaves=12,
    ),
    st.sampled_from("paqcnwvhx"),
)
def test_a_whole_frame_around_nonsense_is_dropped_or_harmless(value, tag):
    book, here = MessageCodec("fleet"), core()
    body = msgspec.msgpack.encode([tag, *(value if isinstance(value, list) else [value])])
    data = HEADER.pack(b"cgF1", book.fleet_hash, xxhash.xxh3_64_intdigest(body)) + body
    page = book.read(data)
    if page is not None:
        here.receive(page, "10.0.0.9:1", 3.0)
        here.tick(500.0)
    assert len(here.table.members) <= 160


def test_lies_about_others_cost_no_more_than_their_own_word_mends():
    here = core()
    lies = [MemberRecord("d7", 1, 0, MemberState.FAILED), MemberRecord("d0", 1, 4, MemberState.FAILED)]
    here.receive(GossipPush("d5", 1, lies), "10.0.0.5:1", 5.0)
    assert (
        here.table.own.state is MemberState.ALIVE and here.table.own.refutations == 5
    )  # its own word against it
    assert here.table.members["d7"].state is MemberState.FAILED
    here.receive(
        GossipPush("d7", 1, [MemberRecord("d7", 1, 1, MemberState.ALIVE, ALIVE[7].info)]), "10.0.0.7:1", 6.0
    )
    assert here.table.members["d7"].state is MemberState.ALIVE


def test_births_and_turns_that_cannot_be_move_nothing():
    here = core()
    far = MemberInfo("10.9.9.9:9", seat=0)
    lies = [
        MemberRecord("d0", 1, 2**63, MemberState.FAILED),
        MemberRecord("d0", 2**52, 0, MemberState.ALIVE, far),
    ]
    lies += [
        MemberRecord("d7", 2**52, 0, MemberState.ALIVE, far),
        MemberRecord("d8", 1, 2**62, MemberState.SUSPECT),
    ]
    here.receive(GossipPush("d5", 1, lies), "10.0.0.5:1", 5.0)
    assert not here.silent and here.table.own.refutations == 0
    assert here.table.members["d7"].incarnation == 1 and here.table.members["d8"].refutations == 0


def test_words_of_whoever_does_not_hold_the_seat_move_nothing():
    here = core()
    assert here.receive(SchedulerMessage("d5", 1, 5, b"word"), "10.0.0.5:1", 5.0).scheduler_messages == [
        (5, b"word")
    ]
    for name, birth, seat in (("d5", 1, 6), ("d5", 2, 5), ("nobody", 1, 5), ("d0", 1, 0), ("d5", 1, -1)):
        assert (
            here.receive(SchedulerMessage(name, birth, seat, b"w"), "10.0.0.5:1", 5.0).scheduler_messages
            == []
        )
    flood = [
        here.receive(SchedulerMessage("d6", 1, 6, b"w"), "10.0.0.6:1", 6.0).scheduler_messages
        for _ in range(1000)
    ]
    assert sum(len(words) for words in flood) == 400


HINT = ConfigAdvert(2**20, 2**64 - 1, b"\xff" * 73)


class OldPage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """As a reader of before has them: without what came at their ends."""

    name: str
    incarnation: int


class OldProbe(OldPage, frozen=True, tag="p"):
    number: int
    digest: int
    records: list[MemberRecord] = []
    node_contacts: list[Any] = []
    padding: bytes = b""


class OldAnswer(OldPage, frozen=True, tag="a"):
    number: int
    digest: int
    records: list[MemberRecord] = []
    node_contacts: list[Any] = []


class OldPush(OldPage, frozen=True, tag="n"):
    records: list[MemberRecord] = []


def test_a_reader_of_before_passes_over_the_configuration_and_its_pages_are_read_here():
    book = MessageCodec("fleet")
    pages = [
        (Probe("d1", 1, 7, 99, ALIVE[:2], config=HINT), OldProbe, b"p"),
        (ProbeAck("d1", 1, 7, 99, ALIVE[:2], [], ConfigAdvert(7, 8)), OldAnswer, b"a"),
        (GossipPush("d1", 1, ALIVE[:2], ConfigAdvert(7, 8)), OldPush, b"n"),
    ]
    for page, old, kind in pages:
        data = book.write(page)
        read = msgspec.msgpack.decode(data[HEADER.size :], type=old)
        assert (read.name, read.incarnation, read.records) == ("d1", 1, ALIVE[:2])
        assert message_tag(data) == kind
        body = msgspec.msgpack.encode(read)
        back = book.read(HEADER.pack(b"cgF1", book.fleet_hash, xxhash.xxh3_64_intdigest(body)) + body)
        assert back is not None and back.config is None and back.records == ALIVE[:2]
        assert book.read(data).config.stage == page.config.stage
    assert not book.rejected


def test_at_rest_the_configuration_costs_under_a_twentieth_of_the_bytes():
    book = MessageCodec("fleet")

    def both(hint):
        bare = hint and ConfigAdvert(hint.stage, hint.digest_prefix)
        ask = Probe("dispatcher-112", 1_700_000_000_000, 2**30, 2**63, config=hint)
        answer = ProbeAck("dispatcher-113", 1_700_000_000_000, 2**30, 2**63, config=bare)
        return len(book.write(ask)) + len(book.write(answer))

    before = len(HEADER.pack(b"", 0, 0)) + len(
        msgspec.msgpack.encode(OldAnswer("dispatcher-113", 1_700_000_000_000, 2**30, 2**63))
    )
    assert both(ConfigAdvert(2**20, 2**64 - 1)) < 1.05 * (300 + before)
    assert both(HINT) == both(ConfigAdvert(2**20, 2**64 - 1))  # bits go in what is filled anyway
    assert both(None) <= 300 + before + 1


def test_bits_ride_only_where_room_is_filled_anyway_and_news_goes_before_them():
    book = MessageCodec("fleet")
    assert book.read(book.write(Probe("d1", 1, 7, 99, config=HINT))).config == HINT
    full = book.read(book.write(Probe("d1", 1, 7, 99, ALIVE[:30], config=HINT)))
    assert full.config == ConfigAdvert(HINT.stage, HINT.digest_prefix) and full.records == ALIVE[:30]


def test_who_is_asked_which_answers_with_no_more_than_the_question_and_says_nothing_without_any():
    book, here = MessageCodec("fleet"), core()
    asks = [page for _, page in core().query_config("d7", 2**64 - 1).messages]
    assert [type(page) for page in asks] == [ConfigQuery]
    data = book.write(ConfigQuery("d9", 1, 2**64 - 1))
    assert not here.receive(book.read(data), "10.0.0.9:1", 3.0).replies
    here.config.advert = ConfigAdvert(0, 0)  # none yet: told to who asks, and rides on nothing
    assert here.receive(book.read(data), "10.0.0.9:1", 3.0).replies == [
        ConfigReply("d0", 1, 2**64 - 1, 0, ConfigAdvert(0, 0))
    ]
    assert here.receive(Probe("d7", 1, 9, 9), "10.0.0.7:1", 3.0).replies[0].config is None
    here.config.advert, here.config.refusal = HINT, "x" * 120
    answer = here.receive(book.read(data), "10.0.0.9:1", 3.0).replies[0]
    assert answer == ConfigReply("d0", 1, 2**64 - 1, 0, HINT, "x" * 120)
    told = book.write(answer, len(data))
    assert len(told) <= len(data) and book.read(told).config.stage == HINT.stage


def test_words_on_the_configuration_are_handed_on_of_the_living_alone_and_first_hand_by_their_number():
    here, hint = core(), ConfigAdvert(7, 8)
    here.config.advert = ConfigAdvert(3, 4)
    [asked] = [page for _, page in here.tick(500.0).messages if isinstance(page, Probe)][:1]
    assert asked.config == ConfigAdvert(3, 4)
    target = here.failure_detector.outstanding[0].name

    def heard(page):
        return [
            (one.name, one.direct, one.nonce)
            for one in here.receive(page, "10.0.0.9:1", 501.0).config_reports
        ]

    assert heard(ProbeAck(target, 1, asked.number + 1, 9, config=hint)) == [(target, False, 0)]
    assert heard(ProbeAck(target, 1, asked.number, 9, config=hint)) == [(target, True, 0)]
    assert heard(ProbeAck(target, 1, asked.number, 9, config=hint)) == [(target, False, 0)]  # once
    assert heard(GossipPush("d7", 1, [], hint)) == [("d7", False, 0)]
    assert heard(Probe("d7", 1, 9, 9, config=hint)) == [("d7", False, 0)]
    assert heard(ConfigReply("d7", 1, 55, 7, hint)) == [("d7", True, 55)]
    assert (
        heard(GossipPush("d7", 2, [], hint)) == heard(GossipPush("nobody", 1, [], hint)) == []
    )  # another life
    assert [page.config for _, page in here.advertise_config(["d5", "nobody"]).messages] == [
        ConfigAdvert(3, 4)
    ]

"""The order of versions: one chain, alike on every voter, whatever comes twice, late or torn."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.fleet.config import text_diff, version_content, version_log, versions
from cherrygrade.fleet.config.errors import ConfigContentError
from cherrygrade.fleet.config.version_log import VersionLog
from cherrygrade.fleet.config.versions import PutVersion, QuotaDivisors, SettleVersion, encode

NINE, TWELVE = QuotaDivisors(9, (("v", 9),)), QuotaDivisors(12, (("v", 12),))


def put(
    id: str, based_on: int, text: str, now: QuotaDivisors = NINE, old: QuotaDivisors | None = NINE
) -> bytes:
    return encode(PutVersion(1.0, id, based_on, text, (), versions.text_digest(text), "ann", now, old))


def ordered(*payloads: bytes) -> VersionLog:
    found = VersionLog()
    for index, payload in enumerate(payloads):
        found.apply(index + 1, payload)
    return found


def test_a_version_that_moves_no_parts_is_settled_at_once() -> None:
    log = VersionLog()
    assert log.stage == 0
    told = log.apply(5, put("a", 0, "x: 1\n"))
    assert (told.number, told.stage, told.refusal) == (1, 3, "")
    assert log.newest is not None and told.digest_prefix == log.newest.digest_prefix != 0
    assert log.apply(6, put("b", 1, "x: 2\n")).stage == 5


def test_the_same_id_again_gives_the_same_answer_and_does_nothing() -> None:
    log = VersionLog()
    first = log.apply(1, put("a", 0, "x: 1\n"))
    log.apply(2, put("b", 1, "x: 2\n"))
    assert log.apply(3, put("a", 0, "x: 1\n")) == first
    assert log.stage == 5


def test_of_two_operators_at_once_the_second_is_told_to_look() -> None:
    log = ordered(put("a", 0, "x: 1\n"))
    log.apply(2, put("b", 1, "x: 2\n"))
    told = log.apply(3, put("c", 1, "x: 3\n"))
    assert told.number == 0 and "2 is the newest, not 1" in told.refusal
    assert log.newest is not None and log.newest.text == "x: 2\n"
    assert log.apply(4, put("c", 1, "x: 3\n")) == told


def test_parts_that_move_are_joint_until_they_are_settled() -> None:
    log = ordered(put("a", 0, "x: 1\n"))
    assert log.apply(2, put("b", 1, "n: 12\n", TWELVE)).stage == 4
    assert log.moving_number == 2 and log.newest is not None and log.newest.old_divisors == NINE
    refused = log.apply(3, put("c", 2, "n: 9\n", NINE))
    assert refused.refusal == "parts still move: wait 2"
    assert log.apply(4, put("d", 2, "n: 12\nx: 2\n", TWELVE)).stage == 6  # others pass, and stay joint
    assert log.newest.old_divisors == NINE and log.newest.move_started == 2
    assert log.apply(5, encode(SettleVersion(1.0, 3))).refusal and log.stage == 6
    assert log.apply(6, encode(SettleVersion(1.0, 2))).stage == 7
    assert log.apply(7, encode(SettleVersion(1.0, 2))).refusal and log.stage == 7
    assert log.apply(8, put("e", 3, "n: 9\n", NINE)).stage == 8 and log.moving_number == 4


def test_a_settle_of_an_earlier_move_settles_no_later_one() -> None:
    """What a deposed leader wrote late."""
    log = ordered(put("a", 0, "1", TWELVE), encode(SettleVersion(1.0, 1)), put("b", 1, "2", NINE))
    assert log.moving_number == 2
    assert log.apply(4, encode(SettleVersion(2.0, 1))).refusal and log.moving_number == 2


def test_the_first_version_moves_away_from_the_own_files_parts() -> None:
    log = ordered(put("a", 0, "n: 12\n", TWELVE, NINE))
    assert log.stage == 2 and log.newest is not None and log.newest.old_divisors == NINE


def test_an_entry_that_cannot_be_read_does_nothing() -> None:
    log = ordered(put("a", 0, "x: 1\n"))
    before = log.snapshot()
    for payload in (b"", b"\xc1", b"\x93\xa1v", put("b", 1, "y")[:-3], msgspec.msgpack.encode(["z", 1.0])):
        assert log.apply(2, payload).refusal == "an entry that can't be read"
    assert log.snapshot() == before


def test_a_text_that_is_not_its_digests_or_too_long_is_refused() -> None:
    log = VersionLog()
    op = PutVersion(1.0, "a", 0, "x: 1\n", (), versions.text_digest("x: 2\n"), "ann", NINE, NINE)
    assert "digest" in log.apply(1, encode(op)).refusal and log.stage == 0
    long = "x" * (versions.MAX_TEXT_BYTES + 1)
    assert "bytes" in log.apply(2, put("b", 0, long)).refusal and log.stage == 0


def test_a_difference_counts_only_against_what_it_is_based_on() -> None:
    log = ordered(put("a", 0, "one\ntwo\nthree\n"))
    hunks = text_diff.difference("one\ntwo\nthree\n", "one\n2\nthree\n")
    text = versions.text_digest("one\n2\nthree\n")
    assert log.apply(2, encode(PutVersion(1.0, "b", 1, None, hunks, text, "ann", NINE))).number == 2
    assert log.newest is not None and log.newest.text == "one\n2\nthree\n"
    far = (text_diff.DiffHunk(7, 1, ("x",)),)
    assert (
        "does not fit" in log.apply(3, encode(PutVersion(1.0, "c", 2, None, far, text, "ann", NINE))).refusal
    )


def test_the_digest_is_a_chain_over_all_of_a_version() -> None:
    one, other = ordered(put("a", 0, "1"), put("b", 1, "2")), ordered(put("a", 0, "?"), put("b", 1, "2"))
    assert one.newest is not None and other.newest is not None
    assert one.newest.text == other.newest.text and one.newest.digest_prefix != other.newest.digest_prefix
    for field, value in (
        ("text", "3"),
        ("author", "bob"),
        ("created_at", 9.0),
        ("old_divisors", TWELVE),
        ("move_started", 9),
    ):
        assert msgspec.structs.replace(one.newest, **{field: value}).digest != one.newest.digest


def test_the_snapshot_keeps_the_newest_within_its_bounds() -> None:
    log = VersionLog()
    for number in range(40):
        log.apply(number, put(str(number), number, f"x: {number}\n"))
    assert [*log.versions] == [*range(9, 41)]
    again = VersionLog()
    again.restore_bytes(log.snapshot())
    assert (again.stage, again.snapshot()) == (log.stage, log.snapshot())
    big = "y" * versions.MAX_TEXT_BYTES
    for number in range(40, 60):
        log.apply(number, put(str(number), number, big))
    assert sum(len(one.text) for one in log.versions.values()) <= version_log.MAX_STORED_BYTES
    assert log.newest is not None and log.newest.number == 60
    many = VersionLog()
    for number in range(400):
        many.apply(number, put(str(number), 7, ""))
    assert len(many.answered_requests) == version_log.MAX_ANSWERED_REQUESTS


text_ = st.text(alphabet="ab\n\r\u2028", max_size=40)


@given(text_, text_)
def test_a_difference_gives_the_new_text(old: str, new: str) -> None:
    assert text_diff.apply_hunks(old, text_diff.difference(old, new)) == new


def test_a_long_difference_is_one_piece() -> None:
    old = "".join(f"{n}\n" for n in range(3000))
    new = "".join(f"{n}x\n" for n in range(3000))
    hunks = text_diff.difference(old, "0\n" + new)
    assert len(hunks) == 1 and text_diff.apply_hunks(old, hunks) == "0\n" + new


@given(st.lists(st.tuples(st.integers(-2, 6), st.integers(-2, 6))))
def test_no_hunks_do_more_than_be_refused(spans: list[tuple[int, int]]) -> None:
    hunks = tuple(text_diff.DiffHunk(at, drop) for at, drop in spans)
    try:
        assert len(text_diff.apply_hunks("a\nb\nc\n", hunks)) <= 6
    except ConfigContentError:
        pass


def test_content_is_taken_only_whole_and_by_digest() -> None:
    log = ordered(put("a", 0, "one\ntwo\nthree\nfour\n" * 9), put("b", 1, "one\n2\n" + "three\nfour\n" * 9))
    first, second = log.versions[1], log.versions[2]
    came = version_content.content_for(second, first)
    assert came.base_number == 1 and came.version.text == ""
    assert version_content.verified_version(came, 2, second.digest_prefix, first) == second
    assert (
        version_content.verified_version(
            version_content.content_for(second, None), 2, second.digest_prefix, None
        )
        == second
    )
    forged = msgspec.structs.replace(came, hunks=(*came.hunks[:-1],))
    for wrong, number, mark, base in (
        (came, 2, second.digest_prefix, None),
        (came, 2, second.digest_prefix, second),
        (came, 2, second.digest_prefix + 1, first),
        (came, 3, second.digest_prefix, first),
        (forged, 2, second.digest_prefix, first),
        (
            version_content.VersionContent(msgspec.structs.replace(second, old_divisors=TWELVE)),
            2,
            second.digest_prefix,
            None,
        ),
        (
            version_content.VersionContent(msgspec.structs.replace(second, text="x")),
            2,
            second.digest_prefix,
            None,
        ),
    ):
        with pytest.raises(ConfigContentError):
            version_content.verified_version(wrong, number, mark, base)


def test_where_all_differs_content_goes_whole() -> None:
    log = ordered(put("a", 0, "a\nb\n"), put("b", 1, "c\nd\n"))
    assert version_content.content_for(log.versions[2], log.versions[1]) == version_content.VersionContent(
        log.versions[2]
    )


ops = st.lists(
    st.one_of(
        st.builds(
            lambda id, based, text, now: put(id, based, text, now),
            st.sampled_from("abcdef"),
            st.integers(0, 4),
            st.sampled_from(["1", "2"]),
            st.sampled_from([NINE, TWELVE]),
        ),
        st.builds(lambda number: encode(SettleVersion(1.0, number)), st.integers(0, 5)),
        st.binary(max_size=6),
    ),
    max_size=12,
)


@given(ops, st.integers(0, 12))
def test_voters_agree_and_the_stage_never_goes_back(entries: list[bytes], cut: int) -> None:
    """One that goes on from a snapshot comes to the same; parts never move from what was not settled."""
    one, other = VersionLog(), VersionLog()
    for index, payload in enumerate(entries):
        if index == cut:
            fresh = VersionLog()
            fresh.restore_bytes(other.snapshot())
            other = fresh
        stage, newest, moving, was = one.stage, one.newest, one.moving_number, one.divisors
        assert one.apply(index, payload) == other.apply(index, payload)
        assert one.snapshot() == other.snapshot() and one.stage >= stage
        if one.newest is not newest and one.newest is not None and newest is not None:
            assert one.newest.number == newest.number + 1 and one.newest.previous_digest == newest.digest
            if was is not None and one.divisors != was:
                assert not moving and one.newest.old_divisors == was


def test_a_volume_that_comes_or_goes_moves_no_parts() -> None:
    two = QuotaDivisors(9, (("v", 9), ("w", 3)))
    log = ordered(put("a", 0, "1", NINE), put("b", 1, "2", two), put("c", 2, "3", NINE))
    assert log.stage == 7 and log.moving_number == 0


def test_a_volume_that_comes_again_moves_from_the_parts_that_it_had() -> None:
    """Who was cut off since before it went may use the old ones yet."""
    two, three = QuotaDivisors(9, (("v", 9), ("w", 2))), QuotaDivisors(9, (("v", 9), ("w", 3)))
    log = ordered(put("a", 0, "1", two, two), put("b", 1, "2", NINE))
    assert log.removed_volumes == {"w": 2}
    again = VersionLog()
    again.restore_bytes(log.snapshot())
    assert again.apply(3, put("c", 2, "3", three)).stage == 6
    assert again.newest is not None and again.newest.old_divisors == QuotaDivisors(9, (("w", 2),))
    assert again.removed_volumes == {}


def test_what_went_is_forgotten_once_a_later_move_is_settled() -> None:
    two = QuotaDivisors(9, (("v", 9), ("w", 2)))
    log = ordered(put("a", 0, "1", two, two), put("b", 1, "2", NINE), put("c", 2, "3", TWELVE))
    log.apply(4, put("d", 3, "4", QuotaDivisors(12)))
    assert log.removed_volumes == {"w": 2, "v": 4}
    log.apply(5, encode(SettleVersion(1.0, 3)))
    assert log.removed_volumes == {"v": 4}  # who is on 3 has v yet
    assert log.apply(6, put("e", 4, "5", QuotaDivisors(12, (("w", 5),)))).stage == 11
    many = QuotaDivisors(12, tuple((str(n), 1) for n in range(version_log.MAX_REMOVED_VOLUMES + 1)))
    log.apply(7, put("f", 5, "6", many))
    assert "volumes went" in log.apply(8, put("g", 6, "7", TWELVE)).refusal


def test_of_a_move_only_what_differs_is_told() -> None:
    old = QuotaDivisors(9, (("a", 1), ("b", 2), ("c", 3)))
    assert versions.replaced_divisors(old, QuotaDivisors(9, (("b", 2), ("c", 4), ("d", 5)))) == QuotaDivisors(
        9, (("c", 3),)
    )
    assert versions.replaced_divisors(old, QuotaDivisors(9, (("d", 5),))) is None
    assert versions.replaced_divisors(old, QuotaDivisors(10, old.hosts)) == QuotaDivisors(9)

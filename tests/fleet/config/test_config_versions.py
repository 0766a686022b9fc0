"""The log of versions.

The tests guard against voters that come to different versions from the same entries, be they repeated, late
or corrupt, and against a quota move that begins before the one before it is settled.
"""

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
    id: str, based_on: int, text: str, divisors: QuotaDivisors = NINE, old: QuotaDivisors | None = NINE
) -> bytes:
    return encode(PutVersion(1.0, id, based_on, text, (), versions.text_digest(text), "ann", divisors, old))


def log_of(*payloads: bytes) -> VersionLog:
    log = VersionLog()
    for index, payload in enumerate(payloads):
        log.apply(index + 1, payload)
    return log


def test_a_version_without_a_quota_move_is_settled_at_once() -> None:
    log = VersionLog()
    assert log.stage == 0
    outcome = log.apply(5, put("a", 0, "x: 1\n"))
    assert (outcome.number, outcome.stage, outcome.refusal) == (1, 3, "")
    assert log.newest is not None and outcome.digest_prefix == log.newest.digest_prefix != 0
    assert log.apply(6, put("b", 1, "x: 2\n")).stage == 5


def test_a_repeated_request_id_gives_the_same_outcome_and_changes_nothing() -> None:
    log = VersionLog()
    first = log.apply(1, put("a", 0, "x: 1\n"))
    log.apply(2, put("b", 1, "x: 2\n"))
    assert log.apply(3, put("a", 0, "x: 1\n")) == first
    assert log.stage == 5


def test_the_second_of_two_concurrent_puts_is_refused() -> None:
    log = log_of(put("a", 0, "x: 1\n"))
    log.apply(2, put("b", 1, "x: 2\n"))
    outcome = log.apply(3, put("c", 1, "x: 3\n"))
    assert outcome.number == 0 and "2 is the newest, not 1" in outcome.refusal
    assert log.newest is not None and log.newest.text == "x: 2\n"
    assert log.apply(4, put("c", 1, "x: 3\n")) == outcome


def test_a_quota_move_is_joint_until_it_is_settled() -> None:
    log = log_of(put("a", 0, "x: 1\n"))
    assert log.apply(2, put("b", 1, "n: 12\n", TWELVE)).stage == 4
    assert log.moving_number == 2 and log.newest is not None and log.newest.old_divisors == NINE
    refused = log.apply(3, put("c", 2, "n: 9\n", NINE))
    assert refused.refusal == "parts still move: wait 2"
    assert (
        log.apply(4, put("d", 2, "n: 12\nx: 2\n", TWELVE)).stage == 6
    )  # accepted without a move of its own, and joint
    assert log.newest.old_divisors == NINE and log.newest.move_started == 2
    assert log.apply(5, encode(SettleVersion(1.0, 3))).refusal and log.stage == 6
    assert log.apply(6, encode(SettleVersion(1.0, 2))).stage == 7
    assert log.apply(7, encode(SettleVersion(1.0, 2))).refusal and log.stage == 7
    assert log.apply(8, put("e", 3, "n: 9\n", NINE)).stage == 8 and log.moving_number == 4


def test_settling_an_earlier_move_does_not_settle_a_later_one() -> None:
    """A deposed leader may have proposed the entry before the later move."""
    log = log_of(put("a", 0, "1", TWELVE), encode(SettleVersion(1.0, 1)), put("b", 1, "2", NINE))
    assert log.moving_number == 2
    assert log.apply(4, encode(SettleVersion(2.0, 1))).refusal and log.moving_number == 2


def test_the_first_version_moves_quotas_from_the_divisors_of_the_own_files() -> None:
    log = log_of(put("a", 0, "n: 12\n", TWELVE, NINE))
    assert log.stage == 2 and log.newest is not None and log.newest.old_divisors == NINE


def test_an_entry_that_cannot_be_decoded_changes_nothing() -> None:
    log = log_of(put("a", 0, "x: 1\n"))
    before = log.snapshot()
    for payload in (b"", b"\xc1", b"\x93\xa1v", put("b", 1, "y")[:-3], msgspec.msgpack.encode(["z", 1.0])):
        assert log.apply(2, payload).refusal == "an entry that can't be read"
    assert log.snapshot() == before


def test_a_text_with_a_wrong_digest_or_too_long_is_refused() -> None:
    log = VersionLog()
    command = PutVersion(1.0, "a", 0, "x: 1\n", (), versions.text_digest("x: 2\n"), "ann", NINE, NINE)
    assert "digest" in log.apply(1, encode(command)).refusal and log.stage == 0
    long = "x" * (versions.MAX_TEXT_BYTES + 1)
    assert "bytes" in log.apply(2, put("b", 0, long)).refusal and log.stage == 0


def test_a_difference_applies_only_to_its_base() -> None:
    log = log_of(put("a", 0, "one\ntwo\nthree\n"))
    hunks = text_diff.difference("one\ntwo\nthree\n", "one\n2\nthree\n")
    digest = versions.text_digest("one\n2\nthree\n")
    assert log.apply(2, encode(PutVersion(1.0, "b", 1, None, hunks, digest, "ann", NINE))).number == 2
    assert log.newest is not None and log.newest.text == "one\n2\nthree\n"
    beyond_end = (text_diff.DiffHunk(7, 1, ("x",)),)
    assert (
        "does not fit"
        in log.apply(3, encode(PutVersion(1.0, "c", 2, None, beyond_end, digest, "ann", NINE))).refusal
    )


def test_the_digest_covers_all_fields_and_the_versions_before() -> None:
    one, other = log_of(put("a", 0, "1"), put("b", 1, "2")), log_of(put("a", 0, "?"), put("b", 1, "2"))
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


def test_the_state_keeps_the_newest_versions_within_its_limits() -> None:
    log = VersionLog()
    for number in range(40):
        log.apply(number, put(str(number), number, f"x: {number}\n"))
    assert [*log.versions] == [*range(9, 41)]
    restored = VersionLog()
    restored.restore_bytes(log.snapshot())
    assert (restored.stage, restored.snapshot()) == (log.stage, log.snapshot())
    long = "y" * versions.MAX_TEXT_BYTES
    for number in range(40, 60):
        log.apply(number, put(str(number), number, long))
    assert sum(len(version.text) for version in log.versions.values()) <= version_log.MAX_STORED_BYTES
    assert log.newest is not None and log.newest.number == 60
    refusing = VersionLog()
    for number in range(400):
        refusing.apply(number, put(str(number), 7, ""))
    assert len(refusing.answered_requests) == version_log.MAX_ANSWERED_REQUESTS


texts = st.text(alphabet="ab\n\r\u2028", max_size=40)


@given(texts, texts)
def test_a_difference_gives_the_new_text(old: str, new: str) -> None:
    assert text_diff.apply_hunks(old, text_diff.difference(old, new)) == new


def test_a_long_difference_is_a_single_hunk() -> None:
    old = "".join(f"{n}\n" for n in range(3000))
    new = "".join(f"{n}x\n" for n in range(3000))
    hunks = text_diff.difference(old, "0\n" + new)
    assert len(hunks) == 1 and text_diff.apply_hunks(old, hunks) == "0\n" + new


@given(st.lists(st.tuples(st.integers(-2, 6), st.integers(-2, 6))))
def test_invalid_hunks_are_refused(spans: list[tuple[int, int]]) -> None:
    hunks = tuple(text_diff.DiffHunk(first_line, dropped) for first_line, dropped in spans)
    try:
        assert len(text_diff.apply_hunks("a\nb\nc\n", hunks)) <= 6
    except ConfigContentError:
        pass


def test_content_is_accepted_only_complete_and_with_the_expected_digest() -> None:
    log = log_of(put("a", 0, "one\ntwo\nthree\nfour\n" * 9), put("b", 1, "one\n2\n" + "three\nfour\n" * 9))
    first, second = log.versions[1], log.versions[2]
    content = version_content.content_for(second, first)
    assert content.base_number == 1 and content.version.text == ""
    assert version_content.verified_version(content, 2, second.digest_prefix, first) == second
    assert (
        version_content.verified_version(
            version_content.content_for(second, None), 2, second.digest_prefix, None
        )
        == second
    )
    forged = msgspec.structs.replace(content, hunks=(*content.hunks[:-1],))
    for wrong, number, digest_prefix, base in (
        (content, 2, second.digest_prefix, None),
        (content, 2, second.digest_prefix, second),
        (content, 2, second.digest_prefix + 1, first),
        (content, 3, second.digest_prefix, first),
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
            version_content.verified_version(wrong, number, digest_prefix, base)


def test_content_is_sent_in_full_if_the_difference_is_larger() -> None:
    log = log_of(put("a", 0, "a\nb\n"), put("b", 1, "c\nd\n"))
    assert version_content.content_for(log.versions[2], log.versions[1]) == version_content.VersionContent(
        log.versions[2]
    )


commands = st.lists(
    st.one_of(
        st.builds(
            lambda id, based_on, text, divisors: put(id, based_on, text, divisors),
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


@given(commands, st.integers(0, 12))
def test_voters_agree_and_the_stage_never_decreases(entries: list[bytes], restart_at: int) -> None:
    """A voter that restarts from a snapshot comes to the same state; quotas move only
    from settled divisors."""
    log, other = VersionLog(), VersionLog()
    for index, payload in enumerate(entries):
        if index == restart_at:
            restored = VersionLog()
            restored.restore_bytes(other.snapshot())
            other = restored
        stage, newest, moving, divisors = log.stage, log.newest, log.moving_number, log.divisors
        assert log.apply(index, payload) == other.apply(index, payload)
        assert log.snapshot() == other.snapshot() and log.stage >= stage
        if log.newest is not newest and log.newest is not None and newest is not None:
            assert log.newest.number == newest.number + 1 and log.newest.previous_digest == newest.digest
            if divisors is not None and log.divisors != divisors:
                assert not moving and log.newest.old_divisors == divisors


def test_adding_or_removing_a_volume_moves_no_quotas() -> None:
    two = QuotaDivisors(9, (("v", 9), ("w", 3)))
    log = log_of(put("a", 0, "1", NINE), put("b", 1, "2", two), put("c", 2, "3", NINE))
    assert log.stage == 7 and log.moving_number == 0


def test_a_volume_that_is_added_again_moves_from_its_old_divisor() -> None:
    """A member that was partitioned away before the removal may still use its old quota part."""
    two, three = QuotaDivisors(9, (("v", 9), ("w", 2))), QuotaDivisors(9, (("v", 9), ("w", 3)))
    log = log_of(put("a", 0, "1", two, two), put("b", 1, "2", NINE))
    assert log.removed_volumes == {"w": 2}
    restored = VersionLog()
    restored.restore_bytes(log.snapshot())
    assert restored.apply(3, put("c", 2, "3", three)).stage == 6
    assert restored.newest is not None and restored.newest.old_divisors == QuotaDivisors(9, (("w", 2),))
    assert restored.removed_volumes == {}


def test_removed_volumes_are_dropped_once_a_later_move_is_settled() -> None:
    two = QuotaDivisors(9, (("v", 9), ("w", 2)))
    log = log_of(put("a", 0, "1", two, two), put("b", 1, "2", NINE), put("c", 2, "3", TWELVE))
    log.apply(4, put("d", 3, "4", QuotaDivisors(12)))
    assert log.removed_volumes == {"w": 2, "v": 4}
    log.apply(5, encode(SettleVersion(1.0, 3)))
    assert log.removed_volumes == {"v": 4}  # a member on version 3 still uses v
    assert log.apply(6, put("e", 4, "5", QuotaDivisors(12, (("w", 5),)))).stage == 11
    many_volumes = QuotaDivisors(12, tuple((str(n), 1) for n in range(version_log.MAX_REMOVED_VOLUMES + 1)))
    log.apply(7, put("f", 5, "6", many_volumes))
    assert "volumes went" in log.apply(8, put("g", 6, "7", TWELVE)).refusal


def test_replaced_divisors_have_only_what_changed() -> None:
    old = QuotaDivisors(9, (("a", 1), ("b", 2), ("c", 3)))
    assert versions.replaced_divisors(old, QuotaDivisors(9, (("b", 2), ("c", 4), ("d", 5)))) == QuotaDivisors(
        9, (("c", 3),)
    )
    assert versions.replaced_divisors(old, QuotaDivisors(9, (("d", 5),))) is None
    assert versions.replaced_divisors(old, QuotaDivisors(10, old.hosts)) == QuotaDivisors(9)

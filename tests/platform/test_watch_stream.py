"""What a watch makes of its bytes, and when its silence means that it is broken."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.platform.json_object_stream import JsonObjectStream
from cherrygrade.platform.watch_liveness import FIRST_LIST_LIMIT_MS, SILENCE_LIMIT_MS, WatchLiveness

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@given(
    st.lists(st.dictionaries(st.text(), JSON, max_size=3), max_size=3),
    st.sampled_from([None, 0, 1, 4]),
    st.sampled_from(["", "\n", "\r\n", "\n\n \t\n"]),
    st.integers(1, 40),
    st.booleans(),
)
def test_objects_are_parsed_whole_however_they_are_laid_out_and_split(told, indent, between, piece, plain):
    data = between.join(json.dumps(one, indent=indent, ensure_ascii=plain) for one in told).encode()
    objects, found = JsonObjectStream(), []
    for at in range(0, len(data), piece):
        found += objects.feed(data[at : at + piece])
    assert found == told and not objects.within_object


@pytest.mark.parametrize("bad", [b"x", b"}", b"[1]", b'"a"', b"{x", b'{"a\n":1}', b'{"a":1]', b"7"])
def test_bytes_that_are_no_object_raise_at_once(bad):
    with pytest.raises(ValueError):
        JsonObjectStream().feed(bad)


def test_object_without_end_is_refused_at_the_limit():
    objects = JsonObjectStream()
    with pytest.raises(ValueError):
        for _ in range(100):
            objects.feed(b'{"a":"' if not objects.within_object else b"b" * 65536)


def test_limits_leave_time_for_the_next_watch_before_a_missed_change_counts():
    # 6 s after it fell silent; two tries of the next one fit in with a second over.
    assert (
        SILENCE_LIMIT_MS + 2.0 * FIRST_LIST_LIMIT_MS <= 5000.0 and SILENCE_LIMIT_MS >= 2500.0
    )  # an empty line is due every 2 s


def test_empty_lines_are_no_sign_of_life_until_the_requested_list():
    silence = WatchLiveness(0.0, full_list_requested=True)
    silence.bytes_received(900.0, complete_object=False, within_object=False)
    assert silence.deadline_ms == FIRST_LIST_LIMIT_MS
    silence.bytes_received(950.0, complete_object=True, within_object=False)
    assert silence.deadline_ms == 950.0 + SILENCE_LIMIT_MS
    asked_for_changes = WatchLiveness(0.0, full_list_requested=False)
    asked_for_changes.bytes_received(900.0, complete_object=False, within_object=False)
    assert asked_for_changes.deadline_ms == 900.0 + SILENCE_LIMIT_MS


def test_bytes_of_an_unfinished_object_are_no_sign_of_life():
    silence = WatchLiveness(0.0, full_list_requested=False)
    silence.bytes_received(100.0, complete_object=False, within_object=True)
    silence.bytes_received(2000.0, complete_object=False, within_object=True)
    assert silence.deadline_ms == 100.0 + SILENCE_LIMIT_MS
    silence.bytes_received(2100.0, complete_object=True, within_object=False)
    assert silence.deadline_ms == 2100.0 + SILENCE_LIMIT_MS

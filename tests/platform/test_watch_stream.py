"""Tests of a watch of discovery: how its bytes are split into objects, and when silence is a fault."""

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
def test_objects_are_parsed_however_they_are_formatted_and_split(
    sent, indent, separator, piece_bytes, ascii_only
):
    data = separator.join(json.dumps(item, indent=indent, ensure_ascii=ascii_only) for item in sent).encode()
    stream, received = JsonObjectStream(), []
    for start in range(0, len(data), piece_bytes):
        received += stream.feed(data[start : start + piece_bytes])
    assert received == sent and not stream.within_object


@pytest.mark.parametrize("data", [b"x", b"}", b"[1]", b'"a"', b"{x", b'{"a\n":1}', b'{"a":1]', b"7"])
def test_bytes_that_are_not_an_object_raise_at_once(data):
    with pytest.raises(ValueError):
        JsonObjectStream().feed(data)


def test_object_without_end_is_refused_at_the_limit():
    stream = JsonObjectStream()
    with pytest.raises(ValueError):
        for _ in range(100):
            stream.feed(b'{"a":"' if not stream.within_object else b"b" * 65536)


def test_limits_leave_time_for_the_next_watch_before_a_missed_change_counts():
    # A missed change counts as known 6 s after the watch fell silent. Two attempts of the next watch fit into
    # that time, and 1 s remains. Discovery sends an empty line every 2 s, which may be late.
    assert SILENCE_LIMIT_MS + 2.0 * FIRST_LIST_LIMIT_MS <= 5000.0 and SILENCE_LIMIT_MS >= 2500.0


def test_empty_lines_are_no_sign_of_life_before_the_requested_list():
    full_list = WatchLiveness(0.0, full_list_requested=True)
    full_list.bytes_received(900.0, complete_object=False, within_object=False)
    assert full_list.deadline_ms == FIRST_LIST_LIMIT_MS
    full_list.bytes_received(950.0, complete_object=True, within_object=False)
    assert full_list.deadline_ms == 950.0 + SILENCE_LIMIT_MS
    changes_only = WatchLiveness(0.0, full_list_requested=False)
    changes_only.bytes_received(900.0, complete_object=False, within_object=False)
    assert changes_only.deadline_ms == 900.0 + SILENCE_LIMIT_MS


def test_bytes_of_an_unfinished_object_are_no_sign_of_life():
    liveness = WatchLiveness(0.0, full_list_requested=False)
    liveness.bytes_received(100.0, complete_object=False, within_object=True)
    liveness.bytes_received(2000.0, complete_object=False, within_object=True)
    assert liveness.deadline_ms == 100.0 + SILENCE_LIMIT_MS
    liveness.bytes_received(2100.0, complete_object=True, within_object=False)
    assert liveness.deadline_ms == 2100.0 + SILENCE_LIMIT_MS


# Guards against a list that takes more memory than the limit of the process leaves for it.
def test_object_longer_than_the_limit_is_refused_while_it_arrives():
    stream = JsonObjectStream(1000)
    assert stream.feed(b'{"hosts": "' + b"a" * 500) == []
    with pytest.raises(ValueError, match="an object exceeds 1000 bytes"):
        stream.feed(b"a" * 500)

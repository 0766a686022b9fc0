"""What a watch makes of its bytes, and when its silence means that it is broken."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.platform.watching import FIRST_MS, QUIET_MS, Objects, Silence

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
def test_objects_are_cut_whole_however_they_are_laid_out_and_split(told, indent, between, piece, plain):
    data = between.join(json.dumps(one, indent=indent, ensure_ascii=plain) for one in told).encode()
    objects, found = Objects(), []
    for at in range(0, len(data), piece):
        found += objects.feed(data[at : at + piece])
    assert found == told and not objects.within


@pytest.mark.parametrize("bad", [b"x", b"}", b"[1]", b'"a"', b"{x", b'{"a\n":1}', b'{"a":1]', b"7"])
def test_what_is_no_object_is_told_at_once(bad):
    with pytest.raises(ValueError):
        Objects().feed(bad)


def test_an_object_without_end_takes_no_memory_without_end():
    objects = Objects()
    with pytest.raises(ValueError):
        for _ in range(100):
            objects.feed(b'{"a":"' if not objects.within else b"b" * 65536)


def test_the_next_watch_has_told_before_what_the_silent_one_missed_counts():
    # 6 s after it fell silent; two tries of the next one fit in with a second over.
    assert QUIET_MS + 2.0 * FIRST_MS <= 5000.0 and QUIET_MS >= 2500.0  # an empty line is due every 2 s


def test_until_the_list_that_is_owed_breathing_counts_for_nothing():
    silence = Silence(0.0, owed=True)
    silence.heard(900.0, told=False, half=False)
    assert silence.until_ms == FIRST_MS
    silence.heard(950.0, told=True, half=False)
    assert silence.until_ms == 950.0 + QUIET_MS
    asked_for_changes = Silence(0.0, owed=False)
    asked_for_changes.heard(900.0, told=False, half=False)
    assert asked_for_changes.until_ms == 900.0 + QUIET_MS


def test_bytes_of_an_object_without_end_are_no_sign_of_life():
    silence = Silence(0.0, owed=False)
    silence.heard(100.0, told=False, half=True)
    silence.heard(2000.0, told=False, half=True)
    assert silence.until_ms == 100.0 + QUIET_MS
    silence.heard(2100.0, told=True, half=False)
    assert silence.until_ms == 2100.0 + QUIET_MS

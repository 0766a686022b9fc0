"""The file a dispatcher keeps its configuration in: a save stopped at any point leaves the old or the new
body, and a damaged file is never read as either."""

from __future__ import annotations

import os

import pytest

from cherrygrade.fleet.runtime import sealed_file
from cherrygrade.fleet.runtime.sealed_file import SealedFile, SealedFileError

OLD, NEW = b"version 7", b"version 8, which is longer than the one before"


class StoppedError(Exception):
    """The machine stops here."""


def stop_at(monkeypatch: pytest.MonkeyPatch, point: int) -> list[str]:
    """Each step of the write counts one; at this one, and behind it, nothing happens any more."""
    steps: list[str] = []

    def counted(name: str, real):  # type: ignore[no-untyped-def]
        def step(*parts, **more):  # type: ignore[no-untyped-def]
            steps.append(name)
            if len(steps) > point:
                raise StoppedError(name)
            return real(*parts, **more)

        return step

    for name in ("fsync", "replace"):
        monkeypatch.setattr(sealed_file.os, name, counted(name, getattr(os, name)))
    return steps


def test_load_returns_the_body_saved_last_and_nothing_where_there_is_no_file(tmp_path):
    file = SealedFile(tmp_path / "deep" / "kept")
    assert file.load() == b""
    for body in (OLD, NEW, b"\0" * 300_000):
        file.save(body)
        assert SealedFile(tmp_path / "deep" / "kept").load() == body
    assert [one.name for one in (tmp_path / "deep").iterdir()] == ["kept"]


def test_a_save_stopped_at_any_step_leaves_the_old_or_the_new_body(tmp_path, monkeypatch):
    found = []
    for point in range(5):
        file = SealedFile(tmp_path / f"kept-{point}")
        file.save(OLD)
        with monkeypatch.context() as patch:
            steps = stop_at(patch, point)
            try:
                file.save(NEW)
            except StoppedError:
                pass
        found.append(SealedFile(file.path).load())
        file.save(NEW)  # and what a stop left beside is in nobody's way
        assert SealedFile(file.path).load() == NEW
    assert steps == ["fsync", "replace", "fsync"]
    assert found == [OLD, OLD, NEW, NEW, NEW]


def test_a_save_stopped_within_its_bytes_leaves_the_old_body(tmp_path):
    file = SealedFile(tmp_path / "kept")
    file.save(OLD)
    whole = sealed_file.seal(NEW)
    for length in range(len(whole) + 1):
        (tmp_path / "kept.new").write_bytes(whole[:length])
        assert file.load() == OLD


def test_any_changed_byte_or_missing_end_is_refused_and_put_aside(tmp_path):
    file = SealedFile(tmp_path / "kept")
    whole = sealed_file.seal(OLD)
    spoilt = [whole[:length] for length in range(len(whole))]
    spoilt += [whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :] for at in range(len(whole))]
    spoilt += [whole + b"\0", b"\0" * (sealed_file.MAX_FILE_BYTES + 1)]
    for data in spoilt:
        file.path.write_bytes(data)
        with pytest.raises(SealedFileError):
            file.load()
    assert file.quarantine() == tmp_path / "kept.aside-0" and file.load() == b""
    file.save(NEW)
    assert file.quarantine() == tmp_path / "kept.aside-1"


def test_a_failed_save_leaves_the_old_body(tmp_path):
    file = SealedFile(tmp_path / "kept")
    file.save(OLD)
    (tmp_path / "kept.new").mkdir()
    with pytest.raises(OSError):
        file.save(NEW)
    assert file.load() == OLD


def test_the_left_marker_lasts_across_restarts_until_it_is_removed(tmp_path):
    place = tmp_path / "deep" / "kept"
    assert not SealedFile(place).has_leave_marker
    SealedFile(place).set_leave_marker()
    assert SealedFile(place).has_leave_marker and SealedFile(place).load() == b""
    SealedFile(place).save(OLD)
    assert SealedFile(place).has_leave_marker and SealedFile(place).load() == OLD
    SealedFile(place).set_leave_marker(False)
    SealedFile(place).set_leave_marker(False)
    assert not SealedFile(place).has_leave_marker and SealedFile(place).load() == OLD

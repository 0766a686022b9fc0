"""The file that stores a dispatcher's configuration.

A save that a crash interrupts at any point must leave the complete old or the complete new body, and a
damaged file must never be read as either.
"""

from __future__ import annotations

import os

import pytest

from cherrygrade.fleet.runtime import sealed_file
from cherrygrade.fleet.runtime.sealed_file import SealedFile, SealedFileError

OLD, NEW = b"version 7", b"version 8, which is longer than the one before"


class CrashError(Exception):
    """The simulated crash of the machine."""


def crash_after(monkeypatch: pytest.MonkeyPatch, step_count: int) -> list[str]:
    """Let `step_count` system calls of a save succeed and fail later ones; return the calls' names."""
    steps: list[str] = []

    def counted(name: str, real):  # type: ignore[no-untyped-def]
        def step(*arguments, **keywords):  # type: ignore[no-untyped-def]
            steps.append(name)
            if len(steps) > step_count:
                raise CrashError(name)
            return real(*arguments, **keywords)

        return step

    for name in ("fsync", "replace"):
        monkeypatch.setattr(sealed_file.os, name, counted(name, getattr(os, name)))
    return steps


def test_load_returns_the_last_saved_body_and_empty_bytes_without_a_file(tmp_path):
    file = SealedFile(tmp_path / "deep" / "kept")
    assert file.load() == b""
    for body in (OLD, NEW, b"\0" * 300_000):
        file.save(body)
        assert SealedFile(tmp_path / "deep" / "kept").load() == body
    assert [path.name for path in (tmp_path / "deep").iterdir()] == ["kept"]


def test_save_interrupted_at_any_step_leaves_the_old_or_the_new_body(tmp_path, monkeypatch):
    loaded = []
    for step_count in range(5):
        file = SealedFile(tmp_path / f"kept-{step_count}")
        file.save(OLD)
        with monkeypatch.context() as patch:
            steps = crash_after(patch, step_count)
            try:
                file.save(NEW)
            except CrashError:
                pass
        loaded.append(SealedFile(file.path).load())
        file.save(NEW)  # a `.new` file left by the crash does not prevent a later save
        assert SealedFile(file.path).load() == NEW
    assert steps == ["fsync", "replace", "fsync"]
    assert loaded == [OLD, OLD, NEW, NEW, NEW]


def test_partly_written_new_file_leaves_the_old_body(tmp_path):
    file = SealedFile(tmp_path / "kept")
    file.save(OLD)
    sealed = sealed_file.seal(NEW)
    for length in range(len(sealed) + 1):
        (tmp_path / "kept.new").write_bytes(sealed[:length])
        assert file.load() == OLD


def test_file_with_a_changed_byte_or_missing_end_is_refused_and_quarantined(tmp_path):
    file = SealedFile(tmp_path / "kept")
    sealed = sealed_file.seal(OLD)
    damaged = [sealed[:length] for length in range(len(sealed))]
    damaged += [
        sealed[:index] + bytes([sealed[index] ^ 1]) + sealed[index + 1 :] for index in range(len(sealed))
    ]
    damaged += [sealed + b"\0", b"\0" * (sealed_file.MAX_FILE_BYTES + 1)]
    for data in damaged:
        file.path.write_bytes(data)
        with pytest.raises(SealedFileError):
            file.load()
    assert file.quarantine() == tmp_path / "kept.aside-0" and file.load() == b""
    file.save(NEW)
    assert file.quarantine() == tmp_path / "kept.aside-1"


def test_failed_save_leaves_the_old_body(tmp_path):
    file = SealedFile(tmp_path / "kept")
    file.save(OLD)
    (tmp_path / "kept.new").mkdir()
    with pytest.raises(OSError):
        file.save(NEW)
    assert file.load() == OLD


def test_leave_marker_lasts_across_restarts_until_it_is_removed(tmp_path):
    path = tmp_path / "deep" / "kept"
    assert not SealedFile(path).has_leave_marker
    SealedFile(path).set_leave_marker()
    assert SealedFile(path).has_leave_marker and SealedFile(path).load() == b""
    SealedFile(path).save(OLD)
    assert SealedFile(path).has_leave_marker and SealedFile(path).load() == OLD
    SealedFile(path).set_leave_marker(False)
    SealedFile(path).set_leave_marker(False)
    assert not SealedFile(path).has_leave_marker and SealedFile(path).load() == OLD

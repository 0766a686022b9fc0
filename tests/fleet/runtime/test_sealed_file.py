"""What a dispatcher keeps of its configuration on disk: after a stop at any point of the write it is the one
before or the new one, and what is torn is never taken for either."""

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


def test_it_comes_back_as_it_was_and_nothing_is_nothing(tmp_path):
    file = SealedFile(tmp_path / "deep" / "kept")
    assert file.load() == b""
    for body in (OLD, NEW, b"\0" * 300_000):
        file.save(body)
        assert SealedFile(tmp_path / "deep" / "kept").load() == body
    assert [one.name for one in (tmp_path / "deep").iterdir()] == ["kept"]


def test_stopped_at_any_step_of_the_write_the_old_or_the_new_is_there(tmp_path, monkeypatch):
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


def test_a_write_that_stops_within_its_bytes_leaves_the_old(tmp_path):
    file = SealedFile(tmp_path / "kept")
    file.save(OLD)
    whole = sealed_file.seal(NEW)
    for length in range(len(whole) + 1):
        (tmp_path / "kept.new").write_bytes(whole[:length])
        assert file.load() == OLD


def test_each_byte_that_is_wrong_and_each_length_that_is_short_is_torn(tmp_path):
    file = SealedFile(tmp_path / "kept")
    whole = sealed_file.seal(OLD)
    spoilt = [whole[:length] for length in range(len(whole))]
    spoilt += [whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :] for at in range(len(whole))]
    spoilt += [whole + b"\0", b"\0" * (sealed_file.MAX_FILE_BYTES + 1)]
    for data in spoilt:
        file.path.write_bytes(data)
        with pytest.raises(SealedFileError):
            file.load()
    assert file.put_aside() == tmp_path / "kept.aside-0" and file.load() == b""
    file.save(NEW)
    assert file.put_aside() == tmp_path / "kept.aside-1"


def test_a_disk_that_takes_nothing_keeps_what_it_had(tmp_path):
    file = SealedFile(tmp_path / "kept")
    file.save(OLD)
    (tmp_path / "kept.new").mkdir()
    with pytest.raises(OSError):
        file.save(NEW)
    assert file.load() == OLD


def test_that_it_left_is_known_after_a_start_until_it_is_taken_back(tmp_path):
    place = tmp_path / "deep" / "kept"
    assert not SealedFile(place).has_left
    SealedFile(place).set_left()
    assert SealedFile(place).has_left and SealedFile(place).load() == b""
    SealedFile(place).save(OLD)
    assert SealedFile(place).has_left and SealedFile(place).load() == OLD
    SealedFile(place).set_left(False)
    SealedFile(place).set_left(False)
    assert not SealedFile(place).has_left and SealedFile(place).load() == OLD

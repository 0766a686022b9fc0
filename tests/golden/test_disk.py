"""Files that a dispatcher stores are written as recorded, and recorded ones can be read.

This guards against a new version that cannot read the files of an earlier one.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import lmdb
import pytest
from support import golden

from cherrygrade.fleet.consensus.raft_messages import LogEntry, RaftEffects, Snapshot, TermAndVote
from cherrygrade.fleet.runtime import voter_store
from cherrygrade.fleet.runtime.sealed_file import SealedFile, SealedFileError

RECORDED = golden.load("disk")
FLEET, VOTER = "golden fleet", "voter-1"


def records(folder: Path) -> dict[str, str]:
    """Return all records of a voter store in hexadecimal."""
    env = lmdb.open(str(folder / "council.mdb"), subdir=False, max_dbs=0, readonly=True, lock=False)
    with env.begin() as txn:
        found = {key.hex(): data.hex() for key, data in txn.cursor()}
    env.close()
    return found


def write_steps(folder: Path) -> None:
    """Write terms and votes, entries, a truncated tail and a snapshot to a new store."""
    store = voter_store.VoterStore(folder, FLEET, VOTER, "5eed")
    store.write(
        RaftEffects(
            term_and_vote=TermAndVote(3, "voter-2/0"),
            first_index=1,
            entries=[LogEntry(1, b"one"), LogEntry(2, b"two", ("a", "b"))],
        ),
        2,
    )
    store.write(RaftEffects(first_index=2, entries=[LogEntry(3, b"other two"), LogEntry(3, b"three")]), 3)
    store.write(
        RaftEffects(
            term_and_vote=TermAndVote(4, ""), snapshot=Snapshot(1, 1, ("voter-1/5eed", "voter-2/0"), b"state")
        ),
        3,
    )
    store.close()


def test_store_is_written_as_recorded(tmp_path):
    write_steps(tmp_path)
    assert records(tmp_path) == RECORDED["store"]


def test_recorded_store_is_opened(tmp_path):
    (tmp_path / "council.mdb").write_bytes((golden.FOLDER / "council.mdb").read_bytes())
    store = voter_store.VoterStore(tmp_path, FLEET, VOTER, "not used")
    try:
        assert store.voter_id == "voter-1/5eed"
        assert golden.plain(store.load()) == RECORDED["stored"]
    finally:
        store.close()


def test_founding_store_is_written_as_recorded(tmp_path):
    voter_store.create_founding_store(tmp_path, FLEET, VOTER, ["voter-0", "voter-1", "voter-2"])
    assert records(tmp_path) == RECORDED["founded"]


def test_stored_configuration_is_sealed_as_recorded(tmp_path):
    sealed = SealedFile(tmp_path / "kept")
    sealed.save(b"kept body")
    assert (tmp_path / "kept").read_bytes().hex() == RECORDED["kept"]
    assert sealed.load() == b"kept body"


def test_recorded_configuration_is_opened_and_a_truncated_one_is_refused(tmp_path):
    (tmp_path / "kept").write_bytes(bytes.fromhex(RECORDED["kept"]))
    assert SealedFile(tmp_path / "kept").load() == b"kept body"
    (tmp_path / "kept").write_bytes(bytes.fromhex(RECORDED["kept"])[:-1])
    with pytest.raises(SealedFileError):
        SealedFile(tmp_path / "kept").load()


def test_files_beside_the_stored_configuration_have_their_recorded_names(tmp_path):
    assert file_names(tmp_path) == RECORDED["files"]


def file_names(folder: Path) -> list[Any]:
    """Return the file names after markers were set and files were quarantined."""
    sealed, found = SealedFile(folder / "kept"), list[Any]()
    sealed.set_leave_marker()
    found.append(sorted(file.name for file in folder.iterdir()))
    sealed.set_leave_marker(False)
    sealed.save(b"one")
    sealed.quarantine()
    sealed.save(b"two")
    sealed.quarantine()
    found.append(sorted(file.name for file in folder.iterdir()))
    store = folder / "store"
    write_steps(store)
    voter_store.quarantine(store)
    found.append(sorted(file.name for file in store.iterdir()))
    return found

"""What a dispatcher keeps on disk: written anew as recorded, and the recorded files opened."""

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
    """Every record of a store, as hexadecimal."""
    env = lmdb.open(str(folder / "council.mdb"), subdir=False, max_dbs=0, readonly=True, lock=False)
    with env.begin() as txn:
        found = {key.hex(): data.hex() for key, data in txn.cursor()}
    env.close()
    return found


def write_steps(folder: Path) -> None:
    """A store's life: terms and votes, entries, a cut tail, a snapshot."""
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


def test_kept_configuration_is_sealed_as_recorded(tmp_path):
    kept = SealedFile(tmp_path / "kept")
    kept.save(b"kept body")
    assert (tmp_path / "kept").read_bytes().hex() == RECORDED["kept"]
    assert kept.load() == b"kept body"


def test_recorded_kept_configuration_is_opened(tmp_path):
    (tmp_path / "kept").write_bytes(bytes.fromhex(RECORDED["kept"]))
    assert SealedFile(tmp_path / "kept").load() == b"kept body"
    (tmp_path / "kept").write_bytes(bytes.fromhex(RECORDED["kept"])[:-1])
    with pytest.raises(SealedFileError):
        SealedFile(tmp_path / "kept").load()


def test_files_beside_the_kept_configuration_have_their_recorded_names(tmp_path):
    assert file_names(tmp_path) == RECORDED["files"]


def file_names(folder: Path) -> list[Any]:
    kept, found = SealedFile(folder / "kept"), list[Any]()
    kept.set_leave_marker()
    found.append(sorted(one.name for one in folder.iterdir()))
    kept.set_leave_marker(False)
    kept.save(b"one")
    kept.quarantine()
    kept.save(b"two")
    kept.quarantine()
    found.append(sorted(one.name for one in folder.iterdir()))
    store = folder / "store"
    write_steps(store)
    voter_store.quarantine(store)
    found.append(sorted(one.name for one in store.iterdir()))
    return found

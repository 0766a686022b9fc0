"""A voter's store on disk.

All acknowledged writes must be in the store after the process was killed at any moment, and a damaged store
must be quarantined rather than read.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from cherrygrade.fleet.consensus.raft_messages import (
    LogEntry,
    PersistentState,
    RaftEffects,
    Snapshot,
    TermAndVote,
)
from cherrygrade.fleet.runtime.voter_store import VoterStore, VoterStoreError, open_store

ROOT = Path(__file__).parents[3]
WRITER = """
import sys
from pathlib import Path
from cherrygrade.fleet.consensus.raft_messages import Snapshot, RaftEffects, LogEntry, TermAndVote
from cherrygrade.fleet.runtime.voter_store import VoterStore
store = VoterStore(Path(sys.argv[1]), "f", "a", "m")
state = store.load()
last, term = state.snapshot.index + len(state.entries), state.term
while True:
    last, term = last + 1, term + 1
    entries = [LogEntry(term, b"%d" % last * 50)]
    effects = RaftEffects(term_and_vote=TermAndVote(term, "a"), first_index=last, entries=entries)
    if last % 7 == 0:
        effects.snapshot = Snapshot(last - 3, term - 3, ("a",), b"state")
    store.write(effects, last)
    print(last, term, flush=True)
"""


def store_with_entries(folder: Path, count: int = 6) -> VoterStore:
    """Return an open store with `count` log entries of term 1."""
    store = VoterStore(folder, "f", "a", "m")
    entries = [LogEntry(1, b"%d" % index) for index in range(count)]
    store.write(RaftEffects(term_and_vote=TermAndVote(1, "a"), first_index=1, entries=entries), count)
    return store


def test_load_returns_written_state_without_replaced_entries(tmp_path: Path) -> None:
    store = store_with_entries(tmp_path)
    store.write(
        RaftEffects(term_and_vote=TermAndVote(2, ""), first_index=4, entries=[LogEntry(2, b"other")]), 4
    )
    store.write(RaftEffects(snapshot=Snapshot(2, 1, ("a", "b"), b"state")), 4)
    store.close()
    store = VoterStore(tmp_path, "f", "a", "another mark")
    assert store.voter_id == "a/m"
    loaded = store.load()
    assert loaded == PersistentState(
        2, "", Snapshot(2, 1, ("a", "b"), b"state"), [LogEntry(1, b"2"), LogEntry(2, b"other")]
    )


def test_all_acknowledged_writes_are_stored_after_a_kill_at_any_moment(tmp_path: Path) -> None:
    rng, acknowledged = Random(1), (0, 0)
    for _ in range(12):
        command = [sys.executable, "-c", WRITER, str(tmp_path)]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        for _ in range(rng.randrange(1, 60)):
            acknowledged = tuple(int(part) for part in process.stdout.readline().split())  # type: ignore[assignment]
        os.kill(process.pid, signal.SIGKILL)
        for line in process.stdout.read().splitlines():
            if len(line.split()) == 2:
                acknowledged = tuple(int(part) for part in line.split())  # type: ignore[assignment]
        process.wait()
        store = VoterStore(tmp_path, "f", "a", "m")
        loaded = store.load()
        store.close()
        last = loaded.snapshot.index + len(loaded.entries)
        assert (last, loaded.term) >= acknowledged and last - acknowledged[0] <= 1
        assert [entry.payload for entry in loaded.entries] == [
            b"%d" % index * 50 for index in range(loaded.snapshot.index + 1, last + 1)
        ]
    assert acknowledged[0] > 100


@pytest.mark.parametrize("seed", [*range(30), 61, 83])  # 61 and 83 damage the header of a page
def test_damaged_store_is_quarantined_unless_its_state_is_complete(tmp_path: Path, seed: int) -> None:
    store_with_entries(tmp_path).close()
    before = VoterStore(tmp_path, "f", "a", "m")
    written = before.load()
    before.close()
    file, rng = tmp_path / "council.mdb", Random(seed)
    data = bytearray(file.read_bytes())
    position = rng.randrange(len(data))
    if seed % 4 == 0:
        del data[position:]  # truncated
    else:
        for index in range(position, min(len(data), position + rng.choice((1, 16, 600)))):
            data[index] ^= rng.randrange(1, 256)
    file.write_bytes(data)
    # Opened in another process: reading a mapped page that is not there would kill the test's own.
    code = (
        "import sys; from pathlib import Path; from cherrygrade.fleet.runtime.voter_store import open_store\n"
        "store, state, reason = open_store(Path(sys.argv[1]), 'f', 'a', 5)\n"
        "print(store.voter_id, state.term, state.vote, [e.payload for e in state.entries], bool(reason))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path)], cwd=ROOT, capture_output=True, text=True
    )
    undamaged = f"a/m 1 a {[entry.payload for entry in written.entries]} False"
    output = result.stdout.strip()
    assert result.returncode == 0, result.returncode
    if output != undamaged:
        assert output.endswith("0  [] True") and not output.startswith("a/m "), output
        assert [*tmp_path.glob("aside-*.mdb")]


def test_store_of_another_voter_is_quarantined_and_replaced_under_a_new_store_id(tmp_path: Path) -> None:
    store_with_entries(tmp_path).close()
    with pytest.raises(VoterStoreError, match="of a of fleet f"):
        VoterStore(tmp_path, "f", "b", "m")
    store, state, reason = open_store(tmp_path, "f", "b", 7)
    assert state == PersistentState() and "of a of fleet f" in reason and store.voter_id.startswith("b/")
    assert [*tmp_path.glob("aside-*.mdb")]
    store.close()


def test_store_with_a_gap_in_the_log_is_refused(tmp_path: Path) -> None:
    store = store_with_entries(tmp_path)
    with store._env.begin(write=True) as txn:
        txn.delete(b"e" + (3).to_bytes(8, "big"))
    with pytest.raises(VoterStoreError, match="gap"):
        store.load()
    store.close()

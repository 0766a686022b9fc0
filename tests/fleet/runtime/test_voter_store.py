"""A voter's store: what was written is there after a kill at any point, and a damaged store is put aside."""

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
found = store.load()
last, term = found.snapshot.index + len(found.entries), found.term
while True:
    last, term = last + 1, term + 1
    entries = [LogEntry(term, b"%d" % last * 50)]
    does = RaftEffects(term_and_vote=TermAndVote(term, "a"), first_index=last, entries=entries)
    if last % 7 == 0:
        does.snapshot = Snapshot(last - 3, term - 3, ("a",), b"state")
    store.write(does, last)
    print(last, term, flush=True)
"""


def filled(folder: Path, count: int = 6) -> VoterStore:
    store = VoterStore(folder, "f", "a", "m")
    entries = [LogEntry(1, b"%d" % at) for at in range(count)]
    store.write(RaftEffects(term_and_vote=TermAndVote(1, "a"), first_index=1, entries=entries), count)
    return store


def test_load_returns_what_was_written_without_what_it_replaced(tmp_path: Path) -> None:
    store = filled(tmp_path)
    store.write(
        RaftEffects(term_and_vote=TermAndVote(2, ""), first_index=4, entries=[LogEntry(2, b"other")]), 4
    )
    store.write(RaftEffects(snapshot=Snapshot(2, 1, ("a", "b"), b"state")), 4)
    store.close()
    store = VoterStore(tmp_path, "f", "a", "another mark")
    assert store.voter_id == "a/m"
    held = store.load()
    assert held == PersistentState(
        2, "", Snapshot(2, 1, ("a", "b"), b"state"), [LogEntry(1, b"2"), LogEntry(2, b"other")]
    )


def test_after_a_kill_at_any_moment_all_acknowledged_writes_are_there(tmp_path: Path) -> None:
    random, told = Random(1), (0, 0)
    for _ in range(12):
        line = [sys.executable, "-c", WRITER, str(tmp_path)]
        process = subprocess.Popen(line, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        for _ in range(random.randrange(1, 60)):
            told = tuple(int(part) for part in process.stdout.readline().split())  # type: ignore[assignment]
        os.kill(process.pid, signal.SIGKILL)
        for rest in process.stdout.read().splitlines():
            if len(rest.split()) == 2:
                told = tuple(int(part) for part in rest.split())  # type: ignore[assignment]
        process.wait()
        store = VoterStore(tmp_path, "f", "a", "m")
        held = store.load()
        store.close()
        last = held.snapshot.index + len(held.entries)
        assert (last, held.term) >= told and last - told[0] <= 1
        assert [entry.payload for entry in held.entries] == [
            b"%d" % at * 50 for at in range(held.snapshot.index + 1, last + 1)
        ]
    assert told[0] > 100


@pytest.mark.parametrize("seed", [*range(30), 61, 83])  # the last two: wrong bytes in a page's head
def test_a_damaged_store_is_put_aside_unless_it_reads_complete(tmp_path: Path, seed: int) -> None:
    filled(tmp_path).close()
    before = VoterStore(tmp_path, "f", "a", "m")
    whole = before.load()
    before.close()
    file, random = tmp_path / "council.mdb", Random(seed)
    data = bytearray(file.read_bytes())
    at = random.randrange(len(data))
    if seed % 4 == 0:
        del data[at:]  # cut short
    else:
        for index in range(at, min(len(data), at + random.choice((1, 16, 600)))):
            data[index] ^= random.randrange(1, 256)
    file.write_bytes(data)
    # In a process of its own: what is mapped and not there would end it.
    code = (
        "import sys; from pathlib import Path; from cherrygrade.fleet.runtime.voter_store import open_store\n"
        "store, held, why = open_store(Path(sys.argv[1]), 'f', 'a', 5)\n"
        "print(store.voter_id, held.term, held.vote, [e.payload for e in held.entries], bool(why))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path)], cwd=ROOT, capture_output=True, text=True
    )
    same = f"a/m 1 a {[entry.payload for entry in whole.entries]} False"
    told = done.stdout.strip()
    assert done.returncode == 0, done.returncode
    if told != same:
        assert told.endswith("0  [] True") and not told.startswith("a/m "), told
        assert [*tmp_path.glob("aside-*.mdb")]


def test_another_voters_store_is_put_aside_and_replaced_under_a_new_store_id(tmp_path: Path) -> None:
    filled(tmp_path).close()
    with pytest.raises(VoterStoreError, match="of a of fleet f"):
        VoterStore(tmp_path, "f", "b", "m")
    store, held, why = open_store(tmp_path, "f", "b", 7)
    assert held == PersistentState() and "of a of fleet f" in why and store.voter_id.startswith("b/")
    assert [*tmp_path.glob("aside-*.mdb")]
    store.close()


def test_a_gap_in_the_log_condemns_the_store(tmp_path: Path) -> None:
    store = filled(tmp_path)
    with store._env.begin(write=True) as txn:
        txn.delete(b"e" + (3).to_bytes(8, "big"))
    with pytest.raises(VoterStoreError, match="gap"):
        store.load()
    store.close()

"""A voter's store on disk: term, vote, base and log, whole or put aside.

An lmdb environment of one file, synced with each transaction, so that what was written before a crash is
there whole after it. Each record carries a checksum (xxh3) over its place and its bytes: one that is torn,
stands elsewhere or is of another voter condemns the store. It is put aside under another name, never read
again, and its voter begins with another mark: nobody counts its vote until it was let in.
"""

from __future__ import annotations

import os
import struct
import subprocess
import sys
from pathlib import Path
from zlib import crc32

import lmdb
import msgspec
import xxhash

from cherrygrade.fleet.consensus.raft_messages import LogEntry, PersistentState, RaftEffects, Snapshot
from cherrygrade.fleet.consensus.voter import founding_snapshot
from cherrygrade.fleet.errors import AlreadyFoundedError, NotAVoterError

SIZE = 256 * 1024 * 1024  # at most; the file grows as it is used
HARD, BASE, ENTRY, OWNER = b"hard", b"base", b"e", b"owner"
SUM = struct.Struct(">Q")
TRIED_S = 20.0
FORM = 1  # of records; another is not read


class StoreOwner(msgspec.Struct, array_like=True, frozen=True):
    form: int
    fleet: str
    name: str
    mark: str
    """Of this store: a voter is its name and this."""


class HardState(msgspec.Struct, array_like=True, frozen=True):
    term: int
    vote: str


class VoterStoreError(Exception):
    """What is on disk can't be trusted; says why."""


def place(index: int) -> bytes:
    return ENTRY + struct.pack(">Q", index)


def sealed(key: bytes, body: bytes) -> bytes:
    return SUM.pack(xxhash.xxh3_64_intdigest(key + b"\0" + body)) + body


def opened(key: bytes, data: bytes) -> bytes:
    if len(data) < SUM.size or SUM.unpack_from(data)[0] != xxhash.xxh3_64_intdigest(
        key + b"\0" + data[SUM.size :]
    ):
        raise VoterStoreError(f"record {key!r} is torn")
    return data[SUM.size :]


class VoterStore:
    """One voter's. OSError or lmdb.Error where the disk takes nothing: what a step wrote is then not on disk,
    and nothing of that step may leave."""

    def __init__(self, folder: Path, fleet: str, name: str, mark: str) -> None:
        """`mark`: of a store that is made now; one that is there keeps its own. StoreError: to be put
        aside."""
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, file = folder, folder / "council.mdb"
        if file.exists() and 0 < file.stat().st_size < 2 * os.sysconf("SC_PAGE_SIZE"):
            raise VoterStoreError("the file was cut short")
        try:
            self._env = lmdb.open(str(file), subdir=False, map_size=SIZE, max_dbs=0, metasync=True, sync=True)
        except lmdb.Error as trouble:
            raise VoterStoreError(f"no store: {trouble}") from trouble
        try:
            self._long_enough()
            self.owner = self._own(StoreOwner(FORM, fleet, name, mark))
        except (VoterStoreError, lmdb.Error, msgspec.MsgspecError, UnicodeDecodeError) as trouble:
            self._env.close()
            raise VoterStoreError(str(trouble)) from trouble

    def _long_enough(self) -> None:
        """Guards against a file that was cut short: what is mapped and not there ends the process."""
        wanted = (self._env.info()["last_pgno"] + 1) * self._env.stat()["psize"]
        if (self.folder / "council.mdb").stat().st_size < wanted:
            raise VoterStoreError("the file was cut short")

    def _own(self, owner: StoreOwner) -> StoreOwner:
        with self._env.begin(write=True) as txn:
            data = txn.get(OWNER)
            if data is None:
                if txn.stat()["entries"]:
                    raise VoterStoreError("records of nobody")
                txn.put(OWNER, sealed(OWNER, msgspec.msgpack.encode(owner)))
                return owner
            found = msgspec.msgpack.decode(opened(OWNER, data), type=StoreOwner)
        if (found.form, found.fleet, found.name) != (owner.form, owner.fleet, owner.name):
            raise VoterStoreError(f"of {found.name} of fleet {found.fleet}, form {found.form}")
        return found

    @property
    def me(self) -> str:
        """The voter's name in the council."""
        return f"{self.owner.name}/{self.owner.mark}"

    def load(self) -> PersistentState:
        """StoreError where anything of it is torn, or lacking."""
        try:
            with self._env.begin() as txn:
                hard, base = HardState(0, ""), Snapshot()
                if (data := txn.get(HARD)) is not None:
                    hard = msgspec.msgpack.decode(opened(HARD, data), type=HardState)
                if (data := txn.get(BASE)) is not None:
                    base = msgspec.msgpack.decode(opened(BASE, data), type=Snapshot)
                entries: list[LogEntry] = []
                cursor = txn.cursor()
                if cursor.set_range(ENTRY + bytes(8)):
                    for key, data in cursor:
                        if not (key.startswith(ENTRY) and len(key) == len(ENTRY) + 8):
                            break
                        if key != place(base.index + len(entries) + 1):
                            raise VoterStoreError(f"a gap in the log before {key!r}")
                        entries.append(msgspec.msgpack.decode(opened(key, data), type=LogEntry))
        except (lmdb.Error, msgspec.MsgspecError, UnicodeDecodeError) as trouble:
            raise VoterStoreError(str(trouble)) from trouble
        terms = [base.term, *(entry.term for entry in entries)]
        if terms != sorted(terms) or terms[-1] > hard.term:
            raise VoterStoreError("terms that no voter writes")
        return PersistentState(hard.term, hard.vote, base, entries)

    def write(self, does: RaftEffects, last: int) -> None:
        """All that a step writes, at once; on disk when it returns. `last`: the log's last index after it."""
        if not does.has_writes:
            return
        with self._env.begin(write=True) as txn:
            if does.term_and_vote is not None:
                txn.put(HARD, sealed(HARD, msgspec.msgpack.encode(HardState(*does.term_and_vote))))
            if does.snapshot is not None:
                txn.put(BASE, sealed(BASE, msgspec.msgpack.encode(does.snapshot)))
                self._drop(txn, 0, does.snapshot.index)
            if does.first_index:
                for at, entry in enumerate(does.entries):
                    key = place(does.first_index + at)
                    txn.put(key, sealed(key, msgspec.msgpack.encode(entry)))
                self._drop(txn, last + 1, 2**63)

    def _drop(self, txn: lmdb.Transaction, first: int, last: int) -> None:
        cursor = txn.cursor()
        while cursor.set_range(place(first)) and ENTRY + bytes(8) <= cursor.key() <= place(last):
            cursor.delete()

    def close(self) -> None:
        self._env.close()


def put_aside(folder: Path) -> Path | None:
    """Move a store that can't be trusted out of the way, for people to look at; where it is now."""
    file = folder / "council.mdb"
    if not file.exists():
        return None
    at = next(
        folder / f"aside-{turn}.mdb" for turn in range(10**6) if not (folder / f"aside-{turn}.mdb").exists()
    )
    file.rename(at)
    (folder / "council.mdb-lock").unlink(missing_ok=True)
    return at


def open_store(folder: Path, fleet: str, name: str, birth: int) -> tuple[VoterStore, PersistentState, str]:
    """The store, what it holds, and why an old one was put aside, if one was. `birth`: this life's, which
    marks a store that is made now."""
    trouble = tried(folder, fleet, name)
    if trouble:
        put_aside(folder)
    store = VoterStore(folder, fleet, name, f"{crc32(f'{fleet}:{name}:{birth}'.encode()):08x}")
    return store, store.load(), trouble


def found(folder: Path, fleet: str, name: str, voters: list[str]) -> None:
    """The store of a council's first voters, whose mark is "0" and whose log begins with them. Founded,
    NotNamed: see there."""
    if name not in voters:
        raise NotAVoterError(f"{name} is not among the council's voters")
    if (folder / "council.mdb").exists():
        raise AlreadyFoundedError(f"{folder} holds a voter's store")
    store = VoterStore(folder, fleet, name, "0")
    store.write(RaftEffects(snapshot=founding_snapshot(voters)), 0)
    store.close()


def tried(folder: Path, fleet: str, name: str) -> str:
    """What is wrong with the store that is there, seen by a process of its own: bytes that are wrong in a
    page's head make lmdb look where nothing is mapped, which ends whoever reads."""
    if not (folder / "council.mdb").exists():
        return ""
    line = [sys.executable, "-m", "cherrygrade.fleet.runtime.voter_store", str(folder), fleet, name]
    try:
        done = subprocess.run(line, capture_output=True, text=True, timeout=TRIED_S)
    except subprocess.TimeoutExpired:
        return "it is read without end"
    return (
        "" if done.returncode == 0 else done.stdout.strip() or f"reading it ends a process: {done.returncode}"
    )


def main() -> int:
    folder, fleet, name = sys.argv[1:]
    try:
        VoterStore(Path(folder), fleet, name, "").load()
    except VoterStoreError as trouble:
        print(trouble)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""A voter's persistent state on disk: term, vote, snapshot and log.

The store is an LMDB environment of one file, synced with each transaction: what was written before a crash is
complete after it. Each record carries a checksum (xxh3) over its key and its bytes. A record that is damaged,
stands under another key or belongs to another voter condemns the whole store: it is put aside under another
name and never read again, and its voter starts with a new store identity, whose vote nobody counts until the
council has admitted it.

Run as a program (`python -m cherrygrade.fleet.runtime.voter_store FOLDER FLEET NAME`) it reads a store and
exits with 1 where it can't be trusted: damaged page headers make LMDB read unmapped memory, which ends the
process that reads, so a voter lets another process read first.
"""

from __future__ import annotations

import os
import struct
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple
from zlib import crc32

import lmdb
import msgspec
import xxhash

from cherrygrade.fleet.consensus.raft_messages import LogEntry, PersistentState, RaftEffects, Snapshot
from cherrygrade.fleet.consensus.voter import founding_snapshot
from cherrygrade.fleet.errors import NotAVoterError, VoterStoreExistsError

STORE_FILE = "council.mdb"
LOCK_FILE = "council.mdb-lock"
MAX_STORE_BYTES = 256 * 1024 * 1024  # the file grows as it is used
MAX_STORES_ASIDE = 10**6
CHECK_TIMEOUT_S = 20.0
FORMAT_VERSION = 1  # of the records; a store with another one is not read
FOUNDING_STORE_ID = "0"
MAX_LOG_INDEX = 2**63

HARD_STATE_KEY = b"hard"
SNAPSHOT_KEY = b"base"
OWNER_KEY = b"owner"
ENTRY_KEY_PREFIX = b"e"
ENTRY_INDEX = struct.Struct(">Q")
CHECKSUM = struct.Struct(">Q")


class StoreOwner(msgspec.Struct, array_like=True, frozen=True):
    """The record that says whose store this is.

    A voter's identity in the council is its name and its store's identity (`store_id`).
    """

    format_version: int
    fleet: str
    name: str
    store_id: str


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """Raft's current term, and the voter that this one voted for in it ("" for none)."""

    term: int
    vote: str


class VoterStoreError(Exception):
    """The store can't be trusted; the message says why.

    `open_store` puts such a store aside and starts with an empty one.
    """


def entry_key(index: int) -> bytes:
    """Return the key of the log entry with this index."""
    return ENTRY_KEY_PREFIX + ENTRY_INDEX.pack(index)


def add_checksum(key: bytes, body: bytes) -> bytes:
    """Return the record that stores `body` under `key`."""
    return CHECKSUM.pack(xxhash.xxh3_64_intdigest(key + b"\0" + body)) + body


def verify_checksum(key: bytes, record: bytes) -> bytes:
    """Return the body of the record stored under `key`.

    Raises:
        VoterStoreError: The record is not what `add_checksum` returned for this key.
    """
    body = record[CHECKSUM.size :]
    if len(record) < CHECKSUM.size or CHECKSUM.unpack_from(record)[0] != xxhash.xxh3_64_intdigest(
        key + b"\0" + body
    ):
        raise VoterStoreError(f"record {key!r} is torn")
    return body


class VoterStore:
    """One voter's store, open.

    All methods block on the disk: call them in a thread. They raise OSError or lmdb.Error where the disk
    can't be written: then nothing of that write is on disk, and no message that depends on it may be sent.

    Attributes:
        folder: Where the store's file is.
        owner: Whose store it is, as the store itself says.
    """

    def __init__(self, folder: Path, fleet: str, name: str, store_id: str) -> None:
        """Open the store in `folder`, or make an empty one there.

        Args:
            folder: Made where it does not exist.
            fleet: The fleet's name; a store of another fleet is refused.
            name: The voter's name; a store of another voter is refused.
            store_id: The identity of a store that is made now; an existing one keeps its own.

        Raises:
            VoterStoreError: There is a store, and it can't be trusted.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        file = folder / STORE_FILE
        if file.exists() and 0 < file.stat().st_size < 2 * os.sysconf("SC_PAGE_SIZE"):
            raise VoterStoreError("the file was cut short")
        try:
            self._env = lmdb.open(
                str(file), subdir=False, map_size=MAX_STORE_BYTES, max_dbs=0, metasync=True, sync=True
            )
        except lmdb.Error as error:
            raise VoterStoreError(f"no store: {error}") from error
        try:
            self._check_length()
            self.owner = self._read_or_write_owner(StoreOwner(FORMAT_VERSION, fleet, name, store_id))
        except (VoterStoreError, lmdb.Error, msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._env.close()
            raise VoterStoreError(str(error)) from error

    def _check_length(self) -> None:
        """Refuse a file that was cut short: reading a mapped page that is not there ends the process."""
        expected_bytes = (self._env.info()["last_pgno"] + 1) * self._env.stat()["psize"]
        if (self.folder / STORE_FILE).stat().st_size < expected_bytes:
            raise VoterStoreError("the file was cut short")

    def _read_or_write_owner(self, owner: StoreOwner) -> StoreOwner:
        with self._env.begin(write=True) as txn:
            record = txn.get(OWNER_KEY)
            if record is None:
                if txn.stat()["entries"]:
                    raise VoterStoreError("records of nobody")
                txn.put(OWNER_KEY, add_checksum(OWNER_KEY, msgspec.msgpack.encode(owner)))
                return owner
            stored = msgspec.msgpack.decode(verify_checksum(OWNER_KEY, record), type=StoreOwner)
        expected = (owner.format_version, owner.fleet, owner.name)
        if (stored.format_version, stored.fleet, stored.name) != expected:
            raise VoterStoreError(f"of {stored.name} of fleet {stored.fleet}, form {stored.format_version}")
        return stored

    @property
    def voter_id(self) -> str:
        """The voter's identity in the council: `NAME/STORE_ID`."""
        return f"{self.owner.name}/{self.owner.store_id}"

    def load(self) -> PersistentState:
        """Return all that the store holds.

        Raises:
            VoterStoreError: A record is damaged or missing, or the terms do not ascend.
        """
        try:
            with self._env.begin() as txn:
                hard_state = HardState(0, "")
                if (record := txn.get(HARD_STATE_KEY)) is not None:
                    hard_state = msgspec.msgpack.decode(
                        verify_checksum(HARD_STATE_KEY, record), type=HardState
                    )
                snapshot = Snapshot()
                if (record := txn.get(SNAPSHOT_KEY)) is not None:
                    snapshot = msgspec.msgpack.decode(verify_checksum(SNAPSHOT_KEY, record), type=Snapshot)
                entries = self._load_entries(txn, snapshot.index + 1)
        except (lmdb.Error, msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise VoterStoreError(str(error)) from error
        terms = [snapshot.term, *(entry.term for entry in entries)]
        if terms != sorted(terms) or terms[-1] > hard_state.term:
            raise VoterStoreError("terms that no voter writes")
        return PersistentState(hard_state.term, hard_state.vote, snapshot, entries)

    def _load_entries(self, txn: lmdb.Transaction, first_index: int) -> list[LogEntry]:
        entries: list[LogEntry] = []
        cursor = txn.cursor()
        if not cursor.set_range(entry_key(0)):
            return entries
        for key, record in cursor:
            if not (key.startswith(ENTRY_KEY_PREFIX) and len(key) == len(entry_key(0))):
                break
            if key != entry_key(first_index + len(entries)):
                raise VoterStoreError(f"a gap in the log before {key!r}")
            entries.append(msgspec.msgpack.decode(verify_checksum(key, record), type=LogEntry))
        return entries

    def write(self, effects: RaftEffects, last_index: int) -> None:
        """Write all that one step of Raft changed, in one transaction; it is on disk when this returns.

        Args:
            effects: What the step changed; nothing is written where it changed nothing.
            last_index: The index of the log's last entry after the step.
        """
        if not effects.has_writes:
            return
        with self._env.begin(write=True) as txn:
            if effects.term_and_vote is not None:
                body = msgspec.msgpack.encode(HardState(*effects.term_and_vote))
                txn.put(HARD_STATE_KEY, add_checksum(HARD_STATE_KEY, body))
            if effects.snapshot is not None:
                body = msgspec.msgpack.encode(effects.snapshot)
                txn.put(SNAPSHOT_KEY, add_checksum(SNAPSHOT_KEY, body))
                self._delete_entries(txn, 0, effects.snapshot.index)
            if effects.first_index:
                for offset, entry in enumerate(effects.entries):
                    key = entry_key(effects.first_index + offset)
                    txn.put(key, add_checksum(key, msgspec.msgpack.encode(entry)))
                self._delete_entries(txn, last_index + 1, MAX_LOG_INDEX)

    def _delete_entries(self, txn: lmdb.Transaction, first_index: int, last_index: int) -> None:
        cursor = txn.cursor()
        while cursor.set_range(entry_key(first_index)) and entry_key(0) <= cursor.key() <= entry_key(
            last_index
        ):
            cursor.delete()

    def close(self) -> None:
        """Close the store; it can't be used after that."""
        self._env.close()


def quarantine(folder: Path) -> Path | None:
    """Rename the store in `folder` for people to look at; return its new path (None: there is none)."""
    file = folder / STORE_FILE
    if not file.exists():
        return None
    numbered = (folder / f"aside-{turn}.mdb" for turn in range(MAX_STORES_ASIDE))
    aside = next(path for path in numbered if not path.exists())
    file.rename(aside)
    (folder / LOCK_FILE).unlink(missing_ok=True)
    return aside


class OpenedStore(NamedTuple):
    """What `open_store` found.

    Attributes:
        store: The store, open.
        state: What it holds.
        why_put_aside: Why an old store was put aside; "" where none was.
    """

    store: VoterStore
    state: PersistentState
    why_put_aside: str


def open_store(folder: Path, fleet: str, name: str, birth: int) -> OpenedStore:
    """Open a voter's store; one that can't be trusted is put aside and replaced by an empty one.

    Args:
        folder: Where the store is, or is to be made.
        fleet: The fleet's name.
        name: The voter's name.
        birth: When this dispatcher started (Unix ms); the identity of a new store is derived from it.

    Raises:
        VoterStoreError: The store can't be trusted, though the process that checked it could read it.
        OSError: The disk could not be read or written; lmdb.Error likewise.
    """
    why = check_store(folder, fleet, name)
    if why:
        quarantine(folder)
    store = VoterStore(folder, fleet, name, f"{crc32(f'{fleet}:{name}:{birth}'.encode()):08x}")
    return OpenedStore(store, store.load(), why)


def create_founding_store(folder: Path, fleet: str, name: str, voters: list[str]) -> None:
    """Make the store of one of a new council's first voters; its log begins with all of them.

    Raises:
        NotAVoterError: `name` is not among `voters`.
        VoterStoreExistsError: There is a store in `folder`.
    """
    if name not in voters:
        raise NotAVoterError(f"{name} is not among the council's voters")
    if (folder / STORE_FILE).exists():
        raise VoterStoreExistsError(f"{folder} holds a voter's store")
    store = VoterStore(folder, fleet, name, FOUNDING_STORE_ID)
    store.write(RaftEffects(snapshot=founding_snapshot(voters)), 0)
    store.close()


def check_store(folder: Path, fleet: str, name: str) -> str:
    """Let another process read the store in `folder`, since a damaged one may end the process that reads.

    Returns:
        Why the store can't be trusted; "" where it can, or there is none.
    """
    if not (folder / STORE_FILE).exists():
        return ""
    command = [sys.executable, "-m", "cherrygrade.fleet.runtime.voter_store", str(folder), fleet, name]
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=CHECK_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return "it is read without end"
    if result.returncode == 0:
        return ""
    return result.stdout.strip() or f"reading it ends a process: {result.returncode}"


def main() -> int:
    """Read the store that the arguments name; print why it can't be trusted, and return 1 then, else 0."""
    folder, fleet, name = sys.argv[1:]
    try:
        VoterStore(Path(folder), fleet, name, "").load()
    except VoterStoreError as error:
        print(error)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

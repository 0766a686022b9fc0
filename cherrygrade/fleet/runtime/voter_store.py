"""A voter's persistent state on disk: term, vote, snapshot and log.

The store is an LMDB environment of one file, synced with each transaction: what was written before a crash is
complete after it. Each record carries a checksum (xxh3) over its key and its bytes. A record that is damaged,
is stored under another key or belongs to another voter makes the complete store untrusted. The store is then
quarantined: it is renamed and never read again. Its voter starts with a new store identity, whose vote is not
counted until the council has admitted it.

Run as a program (`python -m cherrygrade.fleet.runtime.voter_store FOLDER FLEET NAME`), this module reads a
store and exits with 1 where the store is untrusted. Damaged page headers make LMDB read unmapped memory,
which kills the reading process, so a voter lets another process read the store first.
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
MAX_QUARANTINED_STORES = 10**6
CHECK_TIMEOUT_S = 20.0  # for the process that reads the store first
FORMAT_VERSION = 1  # of the records; a store of another format version is refused
FOUNDING_STORE_ID = "0"
MAX_LOG_INDEX = 2**63

HARD_STATE_KEY = b"hard"
SNAPSHOT_KEY = b"base"
OWNER_KEY = b"owner"
ENTRY_KEY_PREFIX = b"e"
ENTRY_INDEX = struct.Struct(">Q")
CHECKSUM = struct.Struct(">Q")


class StoreOwner(msgspec.Struct, array_like=True, frozen=True):
    """The record that names the voter that the store belongs to.

    A voter's identity in the council is its name and its store's identity (`store_id`).

    Attributes:
        format_version: FORMAT_VERSION at the time the store was created.
        fleet: The fleet's name.
        name: The voter's name.
        store_id: The store's identity.
    """

    format_version: int
    fleet: str
    name: str
    store_id: str


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """Raft's hard state.

    Attributes:
        term: The current term.
        vote: The voter that this one voted for in the term; "" for none.
    """

    term: int
    vote: str


class VoterStoreError(Exception):
    """The store is untrusted; the message says what is wrong with it.

    `open_store` quarantines such a store and starts with an empty one.
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
        VoterStoreError: The record is not one that `add_checksum` returned for this key.
    """
    body = record[CHECKSUM.size :]
    if len(record) < CHECKSUM.size or CHECKSUM.unpack_from(record)[0] != xxhash.xxh3_64_intdigest(
        key + b"\0" + body
    ):
        raise VoterStoreError(f"record {key!r} does not match its checksum")
    return body


class VoterStore:
    """One voter's open store.

    All methods block on the disk: call them in a thread. They raise OSError or lmdb.Error where the disk
    can't be written. Nothing of that write is then on disk, and no message that depends on it may be sent.

    Attributes:
        folder: The folder of the store's file.
        owner: The owner record that the store holds.
    """

    def __init__(self, folder: Path, fleet: str, name: str, store_id: str) -> None:
        """Open the store in `folder`, or create an empty one there.

        Args:
            folder: The store's folder; it is created where it does not exist.
            fleet: The fleet's name; a store of another fleet is refused.
            name: The voter's name; a store of another voter is refused.
            store_id: The identity of a store that is created now; an existing store keeps its own.

        Raises:
            VoterStoreError: There is a store, and it is untrusted.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        file = folder / STORE_FILE
        if file.exists() and 0 < file.stat().st_size < 2 * os.sysconf("SC_PAGE_SIZE"):
            raise VoterStoreError("the store's file is truncated")
        try:
            self._env = lmdb.open(
                str(file), subdir=False, map_size=MAX_STORE_BYTES, max_dbs=0, metasync=True, sync=True
            )
        except lmdb.Error as error:
            raise VoterStoreError(f"LMDB can't open the store: {error}") from error
        try:
            self._check_length()
            self.owner = self._read_or_write_owner(StoreOwner(FORMAT_VERSION, fleet, name, store_id))
        except (VoterStoreError, lmdb.Error, msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._env.close()
            raise VoterStoreError(str(error)) from error

    def _check_length(self) -> None:
        """Refuse a truncated file: reading a mapped page beyond the file's end kills the process.

        Raises:
            VoterStoreError: The file is shorter than its last page requires.
        """
        expected_bytes = (self._env.info()["last_pgno"] + 1) * self._env.stat()["psize"]
        if (self.folder / STORE_FILE).stat().st_size < expected_bytes:
            raise VoterStoreError("the store's file is truncated")

    def _read_or_write_owner(self, owner: StoreOwner) -> StoreOwner:
        with self._env.begin(write=True) as txn:
            record = txn.get(OWNER_KEY)
            if record is None:
                if txn.stat()["entries"]:
                    raise VoterStoreError("the store has records but no owner record")
                txn.put(OWNER_KEY, add_checksum(OWNER_KEY, msgspec.msgpack.encode(owner)))
                return owner
            stored = msgspec.msgpack.decode(verify_checksum(OWNER_KEY, record), type=StoreOwner)
        expected = (owner.format_version, owner.fleet, owner.name)
        if (stored.format_version, stored.fleet, stored.name) != expected:
            raise VoterStoreError(
                f"store of {stored.name} of fleet {stored.fleet}, format version {stored.format_version}"
            )
        return stored

    @property
    def voter_id(self) -> str:
        """The voter's identity in the council: `NAME/STORE_ID`."""
        return f"{self.owner.name}/{self.owner.store_id}"

    def load(self) -> PersistentState:
        """Return the complete state that the store holds.

        Raises:
            VoterStoreError: A record is damaged or missing, or the entries' terms decrease or are above the
                current term.
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
            raise VoterStoreError(f"entry terms decrease, or are above the current term {hard_state.term}")
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
                raise VoterStoreError(f"gap in the log before the entry with key {key!r}")
            entries.append(msgspec.msgpack.decode(verify_checksum(key, record), type=LogEntry))
        return entries

    def write(self, effects: RaftEffects, last_index: int) -> None:
        """Write the changes of one step of Raft in one transaction; they are on disk when this returns.

        Args:
            effects: The changes of the step; nothing is written where there are none.
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
        """Close the store; no other method may be called afterwards."""
        self._env.close()


def quarantine(folder: Path) -> Path | None:
    """Rename the store in `folder`, so that it is not read again and operators can inspect it.

    Returns:
        The new path, `aside-N.mdb`; None where there is no store.
    """
    file = folder / STORE_FILE
    if not file.exists():
        return None
    candidates = (folder / f"aside-{index}.mdb" for index in range(MAX_QUARANTINED_STORES))
    quarantined = next(path for path in candidates if not path.exists())
    file.rename(quarantined)
    (folder / LOCK_FILE).unlink(missing_ok=True)
    return quarantined


class OpenedStore(NamedTuple):
    """The result of `open_store`.

    Attributes:
        store: The open store.
        state: The state that the store holds.
        quarantine_reason: The reason why an old store was quarantined; "" where none was.
    """

    store: VoterStore
    state: PersistentState
    quarantine_reason: str


def open_store(folder: Path, fleet: str, name: str, incarnation: int) -> OpenedStore:
    """Open a voter's store; an untrusted store is quarantined and replaced by an empty one.

    Args:
        folder: The folder of the store; it is created where it does not exist.
        fleet: The fleet's name.
        name: The voter's name.
        incarnation: The time at which this dispatcher started, Unix ms; the identity of a new store is
            derived from it.

    Raises:
        VoterStoreError: The store is untrusted, although the process that checked it could read it.
        OSError: The disk could not be read or written.
        lmdb.Error: Likewise.
    """
    reason = check_store(folder, fleet, name)
    if reason:
        quarantine(folder)
    store = VoterStore(folder, fleet, name, f"{crc32(f'{fleet}:{name}:{incarnation}'.encode()):08x}")
    return OpenedStore(store, store.load(), reason)


def create_founding_store(folder: Path, fleet: str, name: str, voters: list[str]) -> None:
    """Create the store of one of a new council's first voters; its first snapshot names all of them.

    Raises:
        NotAVoterError: `name` is not among `voters`.
        VoterStoreExistsError: There is a store in `folder` already.
    """
    if name not in voters:
        raise NotAVoterError(f"{name} is not one of the council's voters {', '.join(voters)}")
    if (folder / STORE_FILE).exists():
        raise VoterStoreExistsError(f"{folder} already holds a voter's store")
    store = VoterStore(folder, fleet, name, FOUNDING_STORE_ID)
    store.write(RaftEffects(snapshot=founding_snapshot(voters)), 0)
    store.close()


def check_store(folder: Path, fleet: str, name: str) -> str:
    """Let another process read the store in `folder`, since a damaged store may kill its reader.

    Returns:
        The reason why the store is untrusted; "" where it is sound, or there is none.
    """
    if not (folder / STORE_FILE).exists():
        return ""
    command = [sys.executable, "-m", "cherrygrade.fleet.runtime.voter_store", str(folder), fleet, name]
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=CHECK_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return f"reading the store did not end within {CHECK_TIMEOUT_S:g} s"
    if result.returncode == 0:
        return ""
    return result.stdout.strip() or f"reading the store killed the process, exit code {result.returncode}"


def main() -> int:
    """Read the store that the command line names (FOLDER FLEET NAME).

    Returns:
        The exit code: 0 where the store is sound; 1 where it is untrusted, with the reason printed.
    """
    folder, fleet, name = sys.argv[1:]
    try:
        VoterStore(Path(folder), fleet, name, "").load()
    except VoterStoreError as error:
        print(error)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

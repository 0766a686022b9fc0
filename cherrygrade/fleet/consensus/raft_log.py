"""The log of one Raft voter in memory: a snapshot and the entries after it."""

from __future__ import annotations

from cherrygrade.fleet.consensus.raft_messages import LogEntry, Snapshot

MAX_ENTRIES_PER_MESSAGE = 64
MAX_BYTES_PER_MESSAGE = 1_048_576
"""Bytes of payload; an entry larger than this is sent alone.

The limit matters because entries that are not acknowledged yet are sent again with each heartbeat.
"""
UNKNOWN_TERM = -1
"""The term of an entry that the log does not have."""


class RaftLog:
    """A log whose oldest part may be replaced by a snapshot.

    Attributes:
        snapshot: The state that replaces the oldest entries; its index never decreases.
        entries: The entries after `snapshot`, the first at `snapshot.index + 1`; `compact`
            removes the oldest.
    """

    def __init__(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self.snapshot = snapshot
        self.entries = [*entries]

    @property
    def last_index(self) -> int:
        """The index of the last entry; the snapshot's index if there is no entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the newest entry that changes them, committed or not."""
        return self._voters_of(self.entries)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index; UNKNOWN_TERM if the log never had it, or compacted it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else UNKNOWN_TERM

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at an index, which must be greater than the snapshot's."""
        return self.entries[index - self.snapshot.index - 1]

    def changes_voters_after(self, index: int) -> bool:
        """Return whether an entry after an index changes the voters; the index is at least the snapshot's."""
        return any(entry.voters for entry in self.entries[index - self.snapshot.index :])

    def batch_after(self, index: int) -> tuple[LogEntry, ...]:
        """Return the entries after an index that fit into one message: at least one, if there is any."""
        first = index - self.snapshot.index
        batch: list[LogEntry] = []
        bytes_left = MAX_BYTES_PER_MESSAGE
        for entry in self.entries[first : first + MAX_ENTRIES_PER_MESSAGE]:
            bytes_left -= len(entry.payload)
            if batch and bytes_left < 0:
                break
            batch.append(entry)
        return tuple(batch)

    def replace_from(self, first_index: int, entries: list[LogEntry]) -> None:
        """Replace all entries from an index to the end."""
        del self.entries[first_index - self.snapshot.index - 1 :]
        self.entries += entries

    def compact(self, index: int, data: bytes) -> None:
        """Replace the entries up to an index by the state machine's state at that index."""
        count = index - self.snapshot.index
        voters = self._voters_of(self.entries[:count])
        self.snapshot = Snapshot(index, self.term_at(index), voters, data)
        del self.entries[:count]

    def install(self, snapshot: Snapshot) -> None:
        """Replace the snapshot by a newer one; entries after it stay only if the log agrees with it."""
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries[snapshot.index - self.snapshot.index :] if matches else []
        self.snapshot = snapshot

    def _voters_of(self, entries: list[LogEntry]) -> tuple[str, ...]:
        return next((entry.voters for entry in reversed(entries) if entry.voters), self.snapshot.voters)

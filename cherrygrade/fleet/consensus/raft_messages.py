"""Records and messages of the Raft log.

All structs here are positional on the wire and on disk: their field order, defaults and tags are fixed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log.

    Attributes:
        term: The term of the leader that appended it.
        payload: The command for the state machine; empty for entries of Raft's own.
        voters: The set of voters from this entry on; empty where the entry does not change it.
    """

    term: int
    payload: bytes = b""
    voters: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state that replaces all log entries up to an index.

    Attributes:
        index: The last log index that it covers; 0 for an empty log.
        term: The term of the entry at `index`.
        voters: The set of voters at `index`.
        data: The encoded state of the state machine.
    """

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    data: bytes = b""


class PersistentState(msgspec.Struct, array_like=True):
    """What a voter has on disk.

    Attributes:
        term: The newest term that it has entered.
        vote: The voter that it voted for in `term`; "" for none.
        snapshot: The state that its log begins with.
        entries: The log behind the snapshot; the first one has index `snapshot.index + 1`.
    """

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    entries: list[LogEntry] = []


class RaftMessage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind", tag="Word"):
    """Base of the messages between voters.

    Attributes:
        sender: The voter that sent it.
        term: The sender's term; for a pre-vote the term that it is about.
    """

    sender: str
    term: int


class RequestVote(RaftMessage, frozen=True, tag="v"):
    """A candidate's request for a vote.

    Attributes:
        last_log_index: The index of the candidate's last log entry.
        last_log_term: The term of that entry.
        pre_vote: Only asks whether the vote would be granted (Ongaro 2014, section 9.6).
    """

    last_log_index: int
    last_log_term: int
    pre_vote: bool = False


class VoteReply(RaftMessage, frozen=True, tag="g"):
    """The answer to a `RequestVote`.

    Attributes:
        granted: Whether the sender votes for the candidate, or would.
        pre_vote: The answer is to a pre-vote.
    """

    granted: bool
    pre_vote: bool = False


class AppendEntries(RaftMessage, frozen=True, tag="a"):
    """A leader's entries behind `prev_log_index`; an empty one is its heartbeat.

    Attributes:
        prev_log_index: The index just before the first of `entries`.
        prev_log_term: The term of the leader's entry at that index.
        entries: The entries, in order.
        commit_index: The leader's commit index.
        round: The leader's count of its leadership confirmations; the reply brings it back.
    """

    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int = 0


class AppendReply(RaftMessage, frozen=True, tag="d"):
    """The answer to an `AppendEntries` or an `InstallSnapshot`.

    Attributes:
        success: Whether the sender's log matched at the previous index.
        match_index: On success the index up to which the sender's log equals the leader's; otherwise the
            highest index up to which it may.
        round: The round of the message that is answered.
    """

    success: bool
    match_index: int
    round: int = 0


class InstallSnapshot(RaftMessage, frozen=True, tag="i"):
    """A leader's snapshot, for a voter that lacks entries which the leader has compacted.

    Attributes:
        snapshot: The snapshot, whole.
        round: As in `AppendEntries`.
    """

    snapshot: Snapshot
    round: int = 0


AnyRaftMessage = RequestVote | VoteReply | AppendEntries | AppendReply | InstallSnapshot
"""Every message between voters."""


class TermAndVote(NamedTuple):
    """A voter's term and the candidate that it voted for in that term; "" for none."""

    term: int
    vote: str


class OutgoingMessage(NamedTuple):
    """A message and the voter or learner that it is for."""

    to: str
    message: AnyRaftMessage


class CommittedEntry(NamedTuple):
    """A log entry that is committed, and its index in the log."""

    log_index: int
    entry: LogEntry


@dataclass(slots=True)
class RaftEffects:
    """What a call to `Raft` asks its caller to do.

    Order: first write `term_and_vote`, `snapshot` and `entries` to disk, in one transaction. Only then take
    over `restored`, apply `committed` in order, and send `messages`.

    Attributes:
        term_and_vote: To be stored; None where it is unchanged.
        snapshot: To be stored in place of all entries up to its index; None for no change.
        first_index: The log index from which on `entries` replace the log; 0 for no change.
        entries: The log from `first_index` to its end.
        messages: To be sent; each may be lost, repeated or overtaken.
        committed: The entries that were committed by this call, in the order of their index.
        restored: The state machine's state is this one from now on, whatever it was; None for no change.
    """

    term_and_vote: TermAndVote | None = None
    snapshot: Snapshot | None = None
    first_index: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    messages: list[OutgoingMessage] = field(default_factory=list)
    committed: list[CommittedEntry] = field(default_factory=list)
    restored: Snapshot | None = None

    @property
    def has_writes(self) -> bool:
        """Whether anything has to be on disk before the rest is carried out."""
        return self.term_and_vote is not None or self.snapshot is not None or self.first_index > 0

    def write_entries(self, first_index: int, entries: list[LogEntry]) -> None:
        """Replace the log from an index on; entries before it that are to be written already stay."""
        if self.first_index and self.first_index < first_index:
            kept = self.entries[: first_index - self.first_index]
            self.entries = [*kept, *entries]
        else:
            self.first_index = first_index
            self.entries = [*entries]

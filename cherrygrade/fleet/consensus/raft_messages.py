"""Records and messages of the Raft log.

All structs in this module are positional on the wire and on disk: their field order, defaults and tags are
fixed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log.

    Attributes:
        term: The term of the leader that appended it.
        payload: The command for the state machine; empty for entries that Raft itself appends.
        voters: The set of voters from this entry on; empty if the entry does not change it.
    """

    term: int
    payload: bytes = b""
    voters: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state that replaces all log entries up to an index.

    Attributes:
        index: The last log index that the snapshot covers; 0 for an empty log.
        term: The term of the entry at `index`.
        voters: The set of voters at `index`.
        data: The encoded state of the state machine.
    """

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    data: bytes = b""


class PersistentState(msgspec.Struct, array_like=True):
    """The state of a voter on disk.

    Attributes:
        term: The newest term that the voter has entered.
        vote: The candidate that it voted for in `term`; "" for none.
        snapshot: The state that its log begins with.
        entries: The log after the snapshot; the first entry has index `snapshot.index + 1`.
    """

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    entries: list[LogEntry] = []


class RaftMessage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind", tag="Word"):
    """Base of the messages between voters.

    Attributes:
        sender: The voter that sent the message.
        term: The sender's term; in a pre-vote, the term of the election that the sender would begin.
    """

    sender: str
    term: int


class RequestVote(RaftMessage, frozen=True, tag="v"):
    """A candidate's request for a vote.

    Attributes:
        last_log_index: The index of the candidate's last log entry.
        last_log_term: The term of that entry.
        pre_vote: The request only asks whether the vote would be granted (Ongaro 2014, section 9.6).
    """

    last_log_index: int
    last_log_term: int
    pre_vote: bool = False


class VoteReply(RaftMessage, frozen=True, tag="g"):
    """The reply to a `RequestVote`.

    Attributes:
        granted: Whether the sender votes for the candidate or, in a pre-vote, would do so.
        pre_vote: Whether this is the reply to a pre-vote.
    """

    granted: bool
    pre_vote: bool = False


class AppendEntries(RaftMessage, frozen=True, tag="a"):
    """A leader's entries after `prev_log_index`; without entries it is a heartbeat.

    Attributes:
        prev_log_index: The index right before the first of `entries`.
        prev_log_term: The term of the leader's entry at that index.
        entries: The entries, in order.
        commit_index: The leader's commit index.
        round: The newest round of leadership confirmation; the reply repeats it.
    """

    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int = 0


class AppendReply(RaftMessage, frozen=True, tag="d"):
    """The reply to an `AppendEntries` or an `InstallSnapshot`.

    Attributes:
        success: Whether the sender's log matched at the previous index.
        match_index: On success, the index up to which the sender's log equals the leader's; otherwise the
            highest index up to which it may be equal.
        round: The round of the message to which this is the reply.
    """

    success: bool
    match_index: int
    round: int = 0


class InstallSnapshot(RaftMessage, frozen=True, tag="i"):
    """A leader's snapshot, for a voter that lacks entries which the leader has compacted already.

    Attributes:
        snapshot: The complete snapshot.
        round: The newest round of leadership confirmation; the reply repeats it.
    """

    snapshot: Snapshot
    round: int = 0


AnyRaftMessage = RequestVote | VoteReply | AppendEntries | AppendReply | InstallSnapshot
"""Any message between voters."""


class TermAndVote(NamedTuple):
    """A voter's term and vote.

    Attributes:
        term: The newest term that the voter has entered.
        vote: The candidate that it voted for in that term; "" for none.
    """

    term: int
    vote: str


class OutgoingMessage(NamedTuple):
    """A message to be sent.

    Attributes:
        to: The voter or learner that is to receive it.
        message: The message.
    """

    to: str
    message: AnyRaftMessage


class CommittedEntry(NamedTuple):
    """A committed log entry.

    Attributes:
        log_index: The index of the entry.
        entry: The entry.
    """

    log_index: int
    entry: LogEntry


@dataclass(slots=True)
class RaftEffects:
    """The work that a call to `Raft` leaves to its caller.

    The caller first writes `term_and_vote`, `snapshot` and `entries` to disk, in one transaction. Only then
    does it restore the state machine from `restored`, apply `committed` in order, and send `messages`.

    Attributes:
        term_and_vote: The term and vote to be stored; None if they are unchanged.
        snapshot: The snapshot to be stored in place of all entries up to its index; None for no change.
        first_index: The log index from which on `entries` replace the log on disk; 0 for no change.
        entries: The log from `first_index` to its end.
        messages: The messages to be sent; each may be lost, repeated or reordered.
        committed: The entries that this call committed, in the order of their index.
        restored: The snapshot that replaces the state machine's state; None for no change.
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
        """Whether anything has to be written to disk before the other effects are carried out."""
        return self.term_and_vote is not None or self.snapshot is not None or self.first_index > 0

    def write_entries(self, first_index: int, entries: list[LogEntry]) -> None:
        """Add a write that replaces the log from an index on; earlier entries still to be written stay."""
        if self.first_index and self.first_index < first_index:
            kept = self.entries[: first_index - self.first_index]
            self.entries = [*kept, *entries]
        else:
            self.first_index = first_index
            self.entries = [*entries]

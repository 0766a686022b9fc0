"""The state that a Raft leader keeps for each other voter and learner, until its leadership ends."""

from __future__ import annotations

from dataclasses import dataclass, field

from cherrygrade.fleet.consensus.raft_log import RaftLog
from cherrygrade.fleet.consensus.raft_messages import AppendEntries, InstallSnapshot


@dataclass(slots=True)
class ReplicationProgress:
    """The state of a leader by voter and learner, in memory only; empty for any other role.

    Attributes:
        next_index: By name, the index of the next entry to send.
        match_index: By name, the index up to which the log is known to equal the
            leader's; below `next_index`.
        last_reply_at: By name, the time in ms of the last reply.
        round: The newest round of leadership confirmation; counts from 0 in each leadership.
        answered_rounds: By name, the newest round that was answered; at most `round`.
        learners: The names of those that receive the log and have no vote yet.
    """

    next_index: dict[str, int] = field(default_factory=dict)
    match_index: dict[str, int] = field(default_factory=dict)
    last_reply_at: dict[str, float] = field(default_factory=dict)
    round: int = 0
    answered_rounds: dict[str, int] = field(default_factory=dict)
    learners: set[str] = field(default_factory=set)

    @classmethod
    def of_new_leader(cls, others: list[str], last_index: int, now: float) -> ReplicationProgress:
        """Return the state at the beginning of a leadership.

        No log is known to match yet, and each voter has the full election timeout for its first reply.

        Args:
            others: The other voters.
            last_index: The index of the leader's last entry.
            now: The time in ms.
        """
        return cls(
            next_index={name: last_index + 1 for name in others},
            match_index=dict.fromkeys(others, 0),
            last_reply_at=dict.fromkeys(others, now),
        )

    def track(self, name: str, next_index: int) -> None:
        """Begin to replicate the log to a voter or learner, unless that has begun already."""
        self.next_index.setdefault(name, next_index)
        self.match_index.setdefault(name, 0)

    def replied_since(self, now: float, timeout_ms: float) -> list[str]:
        """Return the names of those whose last reply came less than a timeout ago."""
        return [name for name, at in self.last_reply_at.items() if now - at < timeout_ms]

    def holders(self, index: int) -> list[str]:
        """Return the names of those whose log is known to have the entry at an index."""
        return [name for name, match_index in self.match_index.items() if match_index >= index]

    def answered(self, number: int) -> list[str]:
        """Return the names of those who have answered a round, or a later one."""
        return [name for name, newest in self.answered_rounds.items() if newest >= number]

    def record_reply(self, name: str, answered_round: int, now: float) -> None:
        """Record that a reply has arrived, whether it was a success or not."""
        self.last_reply_at[name] = now
        self.answered_rounds[name] = max(self.answered_rounds.get(name, 0), answered_round)

    def record_match(self, name: str, match_index: int) -> None:
        """Record that the log of a voter or learner equals the leader's up to an index."""
        self.match_index[name] = max(self.match_index[name], match_index)
        self.next_index[name] = max(self.next_index[name], self.match_index[name] + 1)


def replication_message(
    progress: ReplicationProgress, name: str, log: RaftLog, leader: str, term: int, commit_index: int
) -> AppendEntries | InstallSnapshot:
    """Return the next message to a voter or learner: entries, or the snapshot that replaced them.

    Args:
        progress: The leader's replication state.
        name: The voter or learner.
        log: The leader's log.
        leader: The name of the leader.
        term: The leader's term.
        commit_index: The leader's commit index.
    """
    prev_index = progress.next_index[name] - 1
    if prev_index < log.snapshot.index:
        return InstallSnapshot(leader, term, log.snapshot, progress.round)
    prev_term = log.term_at(prev_index)
    entries = log.batch_after(prev_index)
    return AppendEntries(leader, term, prev_index, prev_term, entries, commit_index, progress.round)

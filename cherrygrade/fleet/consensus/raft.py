"""The Raft state machine of one voter: messages and time in, effects out.

The algorithm is that of Ongaro and Ousterhout (2014) with these parts of Ongaro's thesis (2014): pre-vote
(section 9.6), a leader that steps down once no majority replies to it (6.2), membership changes of one voter
at a time (4.1) and only after a committed entry of the leader's own term (the correction of 2015), snapshots
(5.1), and confirmation of the leadership by a round of messages begun after the request (6.4). One thing
differs: a voter is identified by its name and the id of its store. A voter whose store was lost is a new
voter, without a vote until it is added.

This module does no I/O and uses no random source. Times are ms of any one clock. A clock that stands still or
jumps may cause an election, but never a disagreement.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrygrade.fleet.consensus.election_timer import ELECTION_TIMEOUT_MS, NEVER, ElectionTimer
from cherrygrade.fleet.consensus.raft_log import RaftLog
from cherrygrade.fleet.consensus.raft_messages import (
    AnyRaftMessage,
    AppendEntries,
    AppendReply,
    CommittedEntry,
    InstallSnapshot,
    LogEntry,
    OutgoingMessage,
    PersistentState,
    RaftEffects,
    RequestVote,
    TermAndVote,
    VoteReply,
)
from cherrygrade.fleet.consensus.raft_role import Role
from cherrygrade.fleet.consensus.replication_progress import ReplicationProgress, replication_message

HEARTBEAT_INTERVAL_MS = 120.0
"""The time between two heartbeats of a leader."""


class Raft:
    """One voter of the replicated log.

    Attributes:
        name: This voter, as `NAME/STORE_ID`.
        term: The newest term entered; never decreases.
        vote: The candidate that this voter voted for in `term`, "" for none; set once a term.
        log: The log in memory; equal to the one on disk once all effects were carried out.
        commit_index: The highest index that is known to be committed; at least the snapshot's
            index, never decreases.
        role: The role in `term`.
        leader: The leader of `term`; "" if it is not known.
        votes: The voters that granted a vote or pre-vote; empty for followers and leaders.
        progress: The replication state of the other voters while this voter leads; empty otherwise.
        elections: How many elections this voter has started since this object was created.
        heartbeat_at: The time in ms of the next heartbeat; NEVER unless leader.
        election_timer: Decides when the next election begins; has no meaning while leader.
    """

    def __init__(self, name: str, stored: PersistentState, seed: int, now: float) -> None:
        """Begin as a follower with the state on disk.

        Args:
            name: The voter, as `NAME/STORE_ID`.
            stored: The state on disk.
            seed: The seed of the random part of election timeouts.
            now: The time in ms.
        """
        self.name = name
        self.term = stored.term
        self.vote = stored.vote
        self.log = RaftLog(stored.snapshot, stored.entries)
        self.commit_index = self.log.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.votes: set[str] = set()
        self.progress = ReplicationProgress()
        self.elections = 0
        self.heartbeat_at = NEVER
        self.election_timer = ElectionTimer(name, seed, now)
        self._effects = RaftEffects()

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the newest entry that changes them, committed or not."""
        return self.log.voters

    def is_majority(self, names: Iterable[str]) -> bool:
        """Return whether the voters among these names are a majority of all voters."""
        return 2 * len({*names} & {*self.voters}) > len(self.voters)

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads in its term; another may lead in a newer one."""
        return self.role is Role.LEADER

    @property
    def commits_own_term(self) -> bool:
        """Whether the last committed entry is of this term."""
        return self.log.term_at(self.commit_index) == self.term

    def next_deadline(self) -> float:
        """Return the time in ms at which `tick` is to be called."""
        return self.heartbeat_at if self.is_leader else self.election_timer.expires_at

    @property
    def confirmed_round(self) -> int:
        """The newest round that a majority has answered; 0 until a leader commits an entry of its term."""
        if not self.is_leader or not self.commits_own_term:
            return 0
        for number in sorted({self.progress.round, *self.progress.answered_rounds.values()}, reverse=True):
            if self.is_majority([self.name, *self.progress.answered(number)]):
                return number
        return 0

    def tick(self, now: float) -> RaftEffects:
        """Send a heartbeat, step down or begin an election, if its time has come."""
        if self.is_leader:
            self._leader_tick(now)
        elif now >= self.election_timer.expires_at:
            self.election_timer.restart(now)
            if self.name in self.voters:
                self._start_pre_vote(now)
        return self._take_effects()

    def propose(self, payload: bytes, now: float) -> tuple[int, RaftEffects]:
        """Append a command.

        Returns:
            The log index of the command, 0 unless leader; and the effects. The command is committed at this
            index or never.
        """
        if not self.is_leader:
            return 0, self._take_effects()
        self._append([LogEntry(self.term, payload)])
        self._replicate_to_all()
        return self.log.last_index, self._take_effects()

    def confirm_leadership(self, now: float) -> tuple[int, RaftEffects]:
        """Begin a round that confirms the leadership.

        Returns:
            The number of the round, 0 unless leader; and the effects. Once `confirmed_round` has reached the
            number, it is proven that this voter was still the leader after the call.
        """
        if not self.is_leader:
            return 0, self._take_effects()
        self.progress.round += 1
        self._replicate_to_all()
        return self.progress.round, self._take_effects()

    def add_learner(self, name: str, now: float) -> RaftEffects:
        """Begin to replicate the log to a voter that has no vote yet; `change_voters` gives it one."""
        if self.is_leader and name not in self.voters:
            self.progress.learners.add(name)
            self.progress.track(name, self.log.last_index + 1)
            self._replicate_to(name)
        return self._take_effects()

    def change_voters(self, voters: tuple[str, ...], now: float) -> tuple[bool, RaftEffects]:
        """Add or remove one voter.

        Returns:
            Whether the change was appended, and the effects. It is refused unless leader, while another
            change is uncommitted, before an entry of this term is committed, and for a learner that lags.
        """
        old = {*self.voters}
        new = {*voters}
        if not self._may_change_voters(old, new):
            return False, self._take_effects()
        self._append([LogEntry(self.term, voters=tuple(sorted(new)))])
        self.progress.learners -= new
        for name in new - {self.name}:
            self.progress.track(name, self.log.last_index)
        self._replicate_to_all()
        return True, self._take_effects()

    def compact(self, index: int, data: bytes) -> RaftEffects:
        """Replace the log up to a committed index by the state machine's state at that index."""
        if self.log.snapshot.index < index <= self.commit_index:
            self.log.compact(index, data)
            self._effects.snapshot = self.log.snapshot
        return self._take_effects()

    def receive(self, message: AnyRaftMessage, now: float) -> RaftEffects:
        """Handle a message from another voter."""
        if isinstance(message, RequestVote):
            self._on_request_vote(message, now)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(message, now)
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self._on_leader_message(message, now)
        elif message.term > self.term:
            self._become_follower(message.term, "", now)
        elif self.is_leader and message.term == self.term and message.sender in self.progress.match_index:
            self._on_append_reply(message, now)
        return self._take_effects()

    def start_election(self, now: float) -> None:
        """Become a candidate in the next term, and request votes."""
        self._enter_role(Role.CANDIDATE, leader="", votes={self.name})
        self.elections += 1
        self._set_term_and_vote(self.term + 1, self.name)
        self.election_timer.restart(now)
        if self.is_majority(self.votes):
            self._become_leader(now)
            return
        self._request_votes(self.term, pre_vote=False)

    def _leader_tick(self, now: float) -> None:
        answering = self.progress.replied_since(now, ELECTION_TIMEOUT_MS)
        removed = self.name not in self.voters and self.commits_own_term
        if removed or not self.is_majority([*answering, self.name]):
            # Step down, so that clients send their requests to another voter.
            self._become_follower(self.term, "", now)
        elif now >= self.heartbeat_at:
            self.heartbeat_at = now + HEARTBEAT_INTERVAL_MS
            self._replicate_to_all()

    def _start_pre_vote(self, now: float) -> None:
        """Ask the other voters whether they would vote for this one.

        The pre-vote keeps a voter that was partitioned off, or whose connection flaps, from
        causing an election.
        """
        self._enter_role(Role.PRE_CANDIDATE, leader="", votes={self.name})
        if self.is_majority(self.votes):
            self.start_election(now)
            return
        self._request_votes(self.term + 1, pre_vote=True)

    def _request_votes(self, term: int, pre_vote: bool) -> None:
        request = RequestVote(self.name, term, self.log.last_index, self.log.last_term, pre_vote)
        for name in self.voters:
            if name != self.name:
                self._send(name, request)

    def _on_request_vote(self, request: RequestVote, now: float) -> None:
        has_leader = self.is_leader or self.election_timer.leader_is_recent(now)
        own_log = (self.log.last_term, self.log.last_index)
        up_to_date = (request.last_log_term, request.last_log_index) >= own_log
        if request.pre_vote:
            granted = request.term > self.term and up_to_date and not has_leader
            term = request.term if granted else self.term
            self._send(request.sender, VoteReply(self.name, term, granted, True))
            return
        if request.term > self.term and has_leader:
            # A removed voter may still request votes; it must not depose a leader that sends heartbeats.
            return
        if request.term > self.term:
            self._become_follower(request.term, "", now)
        granted = request.term == self.term and up_to_date and self.vote in ("", request.sender)
        if granted:
            self.election_timer.restart(now)
            if not self.vote:
                self._set_term_and_vote(self.term, request.sender)
        self._send(request.sender, VoteReply(self.name, self.term, granted))

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        if reply.pre_vote and reply.granted:
            if self.role is Role.PRE_CANDIDATE and reply.term == self.term + 1:
                self.votes.add(reply.sender)
                if self.is_majority(self.votes):
                    self.start_election(now)
            return
        if reply.term > self.term:
            self._become_follower(reply.term, "", now)
        elif reply.granted and self.role is Role.CANDIDATE and reply.term == self.term:
            self.votes.add(reply.sender)
            if self.is_majority(self.votes):
                self._become_leader(now)

    def _enter_role(self, role: Role, leader: str, votes: set[str]) -> None:
        self.role = role
        self.leader = leader
        self.votes = votes

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        self._enter_role(Role.FOLLOWER, leader=leader, votes=set())
        self.progress = ReplicationProgress()
        self.heartbeat_at = NEVER
        self.election_timer.restart(now)
        if leader:
            self.election_timer.leader_contact_at = now
        if term > self.term:
            self._set_term_and_vote(term, "")

    def _become_leader(self, now: float) -> None:
        """Lead, and append an empty entry: its commit also commits all entries before it."""
        self._enter_role(Role.LEADER, leader=self.name, votes=set())
        others = [name for name in self.voters if name != self.name]
        self.progress = ReplicationProgress.of_new_leader(others, self.log.last_index, now)
        self.heartbeat_at = now + HEARTBEAT_INTERVAL_MS
        self._append([LogEntry(self.term)])
        self._replicate_to_all()

    def _may_change_voters(self, old: set[str], new: set[str]) -> bool:
        if not self.is_leader or not self.commits_own_term:
            return False
        pending = self.log.changes_voters_after(self.commit_index)
        added = new - old - {self.name}
        lagging = any(self.progress.match_index.get(name, 0) < self.commit_index for name in added)
        one_voter = len(old ^ new) == 1 and bool(new)
        return one_voter and not pending and not lagging

    def _append(self, entries: list[LogEntry]) -> None:
        self._replace_from(self.log.last_index + 1, entries)
        # A council of one voter commits at once: it gets no replies that would do so.
        self._advance_commit_index()

    def _replace_from(self, first_index: int, entries: list[LogEntry]) -> None:
        self.log.replace_from(first_index, entries)
        self._effects.write_entries(first_index, entries)

    def _on_leader_message(self, message: AppendEntries | InstallSnapshot, now: float) -> None:
        if message.term < self.term:
            self._send(message.sender, AppendReply(self.name, self.term, False, 0))
            return
        self._become_follower(message.term, message.sender, now)
        if isinstance(message, AppendEntries):
            self._on_append_entries(message)
        else:
            self._on_install_snapshot(message)

    def _on_append_entries(self, message: AppendEntries) -> None:
        index = message.prev_log_index
        entries = message.entries
        if index < self.log.snapshot.index:
            # Entries that the snapshot covers are committed, and therefore the same in both logs.
            entries = entries[self.log.snapshot.index - index :]
            index = self.log.snapshot.index
        elif self.log.term_at(index) != message.prev_log_term:
            may_match = min(self.log.last_index, index - 1)
            self._send(message.sender, AppendReply(self.name, self.term, False, may_match, message.round))
            return
        for offset, entry in enumerate(entries):
            if self.log.term_at(index + offset + 1) != entry.term:
                self._replace_from(index + offset + 1, [*entries[offset:]])
                break
        match_index = index + len(entries)
        self._commit_up_to(min(message.commit_index, match_index))
        self._send(message.sender, AppendReply(self.name, self.term, True, match_index, message.round))

    def _on_install_snapshot(self, message: InstallSnapshot) -> None:
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.install(snapshot)
            self.commit_index = snapshot.index
            self._effects.snapshot = snapshot
            self._effects.restored = snapshot
            self._effects.first_index = snapshot.index + 1
            self._effects.entries = [*self.log.entries]
        self._send(message.sender, AppendReply(self.name, self.term, True, snapshot.index, message.round))

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        name = reply.sender
        progress = self.progress
        progress.record_reply(name, reply.round, now)
        if reply.success:
            progress.record_match(name, reply.match_index)
            self._advance_commit_index()
            if progress.next_index[name] <= self.log.last_index:
                self._replicate_to(name)
        elif reply.match_index + 1 < progress.next_index[name]:
            # Any other refusal answers an older message, and was handled already.
            progress.next_index[name] = max(progress.match_index[name], reply.match_index) + 1
            self._replicate_to(name)

    def _advance_commit_index(self) -> None:
        """Commit the newest entry that a majority has on disk, if it is of this term.

        An entry of an older term is not committed by its replicas alone: a voter without it could still be
        elected and replace it (figure 8 of the paper). It is committed with a later entry of this term.
        """
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.term_at(index) != self.term:
                return
            if self.is_majority([self.name, *self.progress.holders(index)]):
                self._commit_up_to(index)
                return

    def _commit_up_to(self, index: int) -> None:
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.entry_at(self.commit_index)
            self._effects.committed.append(CommittedEntry(self.commit_index, entry))

    def _take_effects(self) -> RaftEffects:
        effects = self._effects
        self._effects = RaftEffects()
        return effects

    def _set_term_and_vote(self, term: int, vote: str) -> None:
        self.term = term
        self.vote = vote
        self._effects.term_and_vote = TermAndVote(term, vote)

    def _send(self, to: str, message: AnyRaftMessage) -> None:
        self._effects.messages.append(OutgoingMessage(to, message))

    def _replicate_to_all(self) -> None:
        for name in self.progress.next_index:
            self._replicate_to(name)

    def _replicate_to(self, name: str) -> None:
        log, term, commit_index = self.log, self.term, self.commit_index
        self._send(name, replication_message(self.progress, name, log, self.name, term, commit_index))

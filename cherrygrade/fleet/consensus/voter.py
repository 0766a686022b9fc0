"""One voter of the council: its Raft state, the replicated state machine, and replies to requests.

Only the leader carries requests out, and replies once the entry is committed or its leadership is confirmed
(Raft's read index, Ongaro 2014, section 6.4); any other voter names the leader. A request without a reply may
be repeated under its id, here or at another voter: it has an effect once.

Free of I/O, clock and chance: calls in, a `VoterEffects` out. Times are milliseconds of one clock.
"""

from __future__ import annotations

from typing import NamedTuple

from cherrygrade.fleet.config.versions import PutOutcome, PutVersion, SettleVersion, text_digest
from cherrygrade.fleet.consensus.council_messages import (
    AcquireLease,
    AnyReply,
    AnyRequest,
    ConfigPut,
    LeaseAcquired,
    NotLeader,
    PutConfig,
    ReleaseLease,
)
from cherrygrade.fleet.consensus.council_reads import reply_to_read
from cherrygrade.fleet.consensus.raft import Raft
from cherrygrade.fleet.consensus.raft_messages import (
    AnyRaftMessage,
    LogEntry,
    PersistentState,
    RaftEffects,
    Snapshot,
)
from cherrygrade.fleet.consensus.state_machine import (
    CommandOutcome,
    StateMachine,
    encode_config_command,
    encode_lease_command,
)
from cherrygrade.fleet.consensus.voter_effects import ConfigVerdict, VoterEffects
from cherrygrade.fleet.leases.lease_table import Acquire, Expire, LeaseOutcome, Release
from cherrygrade.fleet.leases.renewal_tracker import NEVER, RenewalTracker

COMPACT_AFTER_ENTRIES = 512
"""The log is replaced by a snapshot once it holds more entries,"""
COMPACT_AFTER_BYTES = 8_388_608
"""or once more bytes of payload were applied since the last one."""
MAX_PENDING_REQUESTS = 4096
"""Requests without a reply yet; more are refused."""
MAX_EXPIRIES_PER_TICK = 256
"""Leases ended in one tick, so that the log is not flooded when many holders die at once."""
CONFIRMATION_DELAY_MS = 20.0
"""Reads are collected for so long: one round of messages confirms the leadership for all of them."""
MAX_AUTHOR_LENGTH = 100


class PendingProposal(NamedTuple):
    """The client that waits for an entry: the entry's term, the client and its request's id."""

    term: int
    client: object
    request_id: str


class PendingRead(NamedTuple):
    """A request that waits for the confirmation of the leadership, and its client."""

    client: object
    request: AnyRequest


class Voter:
    """One voter of the council.

    Attributes:
        raft: The replicated log. A voter's own name there is `NAME/MARK`, with the mark of its store; one
            that is not among the voters asks to be added, and replaces the one of its name.
        allowed_names: Which names may vote, by the settings.
        state_machine: The state at the last applied index.
        renewals: When leases end, by this leader's count; has no meaning while not leader.
        proposals: By log index, who waits for the entry; emptied by commit or the end of the leadership.
        reads: By confirmation round, who waits for it; emptied by confirmation or the end of the leadership.
    """

    def __init__(
        self,
        name: str,
        stored: PersistentState,
        allowed_names: list[str],
        seed: int,
        now: float,
        drift: float,
    ) -> None:
        """Begin with what is on disk.

        Args:
            name: `NAME/MARK`.
            stored: What is on disk.
            allowed_names: Which names may vote.
            seed: Of the election timeouts.
            now: In ms.
            drift: The share by which two clocks' pace may differ.

        Raises:
            msgspec.ValidationError: The stored snapshot can't be read.
        """
        self.raft = Raft(name, stored, seed, now)
        self.allowed_names = {*allowed_names}
        self.state_machine = StateMachine()
        if stored.snapshot.data:
            self.state_machine.restore(stored.snapshot.data)
        self.renewals = RenewalTracker(drift)
        self.proposals: dict[int, PendingProposal] = {}
        self.reads: dict[int, list[PendingRead]] = {}
        self._queued_reads: list[PendingRead] = []
        self._confirm_at = NEVER
        self._tracked_term = 0  # the term of the leadership that `renewals` is of; 0 for none
        self._applied_index = stored.snapshot.index
        self._applied_bytes = 0  # since the last compaction

    @property
    def leader(self) -> str:
        """The name of the leader, as far as it is known; else ""."""
        return self.raft.leader.partition("/")[0]

    @property
    def is_ready_leader(self) -> bool:
        """Whether it leads, and all that was committed before its term is applied here."""
        return self.raft.is_leader and self.raft.commits_own_term

    def next_deadline(self) -> float:
        """The time in ms at which `tick` is to be called."""
        deadline = min(self.raft.next_deadline(), self._confirm_at)
        if self.is_ready_leader:
            deadline = min(deadline, self.renewals.next_expiry(self.state_machine.leases))
        return deadline

    # Events.

    def receive(self, message: AnyRaftMessage, now: float) -> VoterEffects:
        """Handle a message of another voter."""
        effects = VoterEffects()
        self._take(self.raft.receive(message, now), effects, now)
        return self._finish(effects, now)

    def tick(self, now: float) -> VoterEffects:
        """Do what is due: Raft's timers, leases that end, and the confirmation of queued reads."""
        effects = VoterEffects()
        if now >= self.raft.next_deadline():
            self._take(self.raft.tick(now), effects, now)
        if self.is_ready_leader:
            for lease in self.renewals.take_expired(self.state_machine.leases, now, MAX_EXPIRIES_PER_TICK):
                command = Expire(self._leader_time(now), lease.task, lease.number)
                self._propose(encode_lease_command(command), effects, now)
        if now >= self._confirm_at:
            self._confirm_reads(effects, now)
        return self._finish(effects, now)

    def request(self, request: AnyRequest, client: object, now: float) -> VoterEffects:
        """Handle a request; the reply to `client` may come with a later call's effects."""
        effects = VoterEffects()
        if not self.raft.is_leader:
            reason = "it leads" if self.leader else "nobody leads"
            effects.reply(client, NotLeader(request.id, self.leader, reason))
        elif self._is_overloaded:
            effects.reply(client, NotLeader(request.id, "", "too much is asked at once"))
        elif isinstance(request, AcquireLease):
            acquire = Acquire(
                self._leader_time(now),
                request.id,
                request.task,
                request.holder,
                request.incarnation,
                request.duration_ms,
            )
            self._propose(encode_lease_command(acquire), effects, now, client, request.id)
        elif isinstance(request, ReleaseLease):
            release = Release(self._leader_time(now), request.task, request.number, request.failure)
            self._propose(encode_lease_command(release), effects, now, client, request.id)
        elif isinstance(request, PutConfig):
            effects.reply(client, NotLeader(request.id, "", "it was not judged"))
        else:
            self._queued_reads.append(PendingRead(client, request))
            self._confirm_at = min(self._confirm_at, now + CONFIRMATION_DELAY_MS)
        return self._finish(effects, now)

    def put_config(
        self, request: PutConfig, verdict: ConfigVerdict, client: object, now: float
    ) -> VoterEffects:
        """Handle a change of the configuration whose text was judged."""
        if not self.raft.is_leader:
            return self.request(request, client, now)
        effects = VoterEffects()
        if self._is_overloaded:
            effects.reply(client, NotLeader(request.id, "", "too much is asked at once"))
        elif verdict.refusal or verdict.divisors is None:
            effects.reply(client, ConfigPut(request.id, PutOutcome(refusal=verdict.refusal)))
        else:
            command = PutVersion(
                self._leader_time(now),
                request.id,
                request.based_on,
                request.text if verdict.hunks is None else None,
                verdict.hunks or (),
                text_digest(request.text),
                request.author[:MAX_AUTHOR_LENGTH],
                verdict.divisors,
                verdict.old_divisors,
            )
            self._propose(encode_config_command(command), effects, now, client, request.id)
        return self._finish(effects, now)

    def settle_config(self, number: int, now: float) -> VoterEffects:
        """All dispatchers of record use the smaller quota parts of the move that began with this version."""
        effects = VoterEffects()
        if self.is_ready_leader and self.state_machine.versions.moving_number == number:
            command = SettleVersion(self._leader_time(now), number)
            self._propose(encode_config_command(command), effects, now)
        return self._finish(effects, now)

    def admit(self, name: str, now: float) -> VoterEffects:
        """Begin to add a voter, as `NAME/MARK`: one of an allowed name whose store does not vote yet."""
        effects = VoterEffects()
        allowed = name.partition("/")[0] in self.allowed_names
        if self.raft.is_leader and allowed and name not in self.raft.voters:
            self._take(self.raft.add_learner(name, now), effects, now)
        return self._finish(effects, now)

    # Proposals and reads.

    @property
    def _is_overloaded(self) -> bool:
        return len(self.proposals) + len(self._queued_reads) >= MAX_PENDING_REQUESTS

    def _leader_time(self, now: float) -> float:
        """The time of the log: it goes on from the newest entry by this voter's clock, and never back."""
        return max(self.state_machine.now, now)

    def _propose(
        self, payload: bytes, effects: VoterEffects, now: float, client: object = None, request_id: str = ""
    ) -> None:
        index, raft_effects = self.raft.propose(payload, now)
        if request_id:
            # Before the effects are taken: a single voter commits within the call.
            self.proposals[index] = PendingProposal(self.raft.term, client, request_id)
        self._take(raft_effects, effects, now)

    def _confirm_reads(self, effects: VoterEffects, now: float) -> None:
        self._confirm_at = NEVER
        queued = self._queued_reads
        self._queued_reads = []
        if not queued:
            return
        number, raft_effects = self.raft.confirm_leadership(now)
        if number:
            self.reads[number] = queued
        else:
            self._refuse_reads(queued, effects)
        self._take(raft_effects, effects, now)

    def _refuse_reads(self, reads: list[PendingRead], effects: VoterEffects) -> None:
        for read in reads:
            effects.reply(read.client, NotLeader(read.request.id, self.leader, "the lead was lost"))

    # The log.

    def _take(self, raft_effects: RaftEffects, effects: VoterEffects, now: float) -> None:
        """Apply what is committed, and pass the rest on."""
        effects.raft_effects.append(raft_effects)
        effects.messages += raft_effects.messages
        if raft_effects.restored is not None:
            self.state_machine.restore(raft_effects.restored.data)
            self._applied_index = raft_effects.restored.index
        for index, entry in raft_effects.committed:
            self._apply(index, entry, effects, now)

    def _apply(self, index: int, entry: LogEntry, effects: VoterEffects, now: float) -> None:
        self._applied_index = index
        outcome = self.state_machine.apply(index, entry.payload)
        self._applied_bytes += len(entry.payload)
        if isinstance(outcome, LeaseOutcome) and outcome.number == index:
            self._track_granted_lease(index, now)
        proposal = self.proposals.pop(index, None)
        if proposal is not None:
            reply = self._reply_to_proposal(proposal, entry, outcome)
            effects.reply(proposal.client, reply)

    def _track_granted_lease(self, number: int, now: float) -> None:
        """The reply that grants a lease counts as a renewal of its holder."""
        leases = self.state_machine.leases.leases.values()
        granted = next((lease for lease in leases if lease.number == number), None)
        if granted is not None:
            life = (granted.holder, granted.incarnation)
            answered = self.renewals.answered_at
            answered[life] = max(now, answered.get(life, -NEVER))

    def _reply_to_proposal(
        self, proposal: PendingProposal, entry: LogEntry, outcome: CommandOutcome | None
    ) -> AnyReply:
        if proposal.term == entry.term and isinstance(outcome, LeaseOutcome):
            return LeaseAcquired(proposal.request_id, outcome)
        if proposal.term == entry.term and isinstance(outcome, PutOutcome):
            return ConfigPut(proposal.request_id, outcome)
        return NotLeader(proposal.request_id, self.leader, "another entry took its place")

    def _finish(self, effects: VoterEffects, now: float) -> VoterEffects:
        """Do what follows from the state of the log after an event."""
        led_term = self.raft.term if self.raft.is_leader else 0
        changed = led_term != self._tracked_term
        if changed:
            self._tracked_term = led_term
            self.renewals.reset(now if led_term else NEVER)
        if changed or not led_term:
            self._refuse_pending(led_term, effects)
        if led_term:
            self._reply_to_confirmed_reads(effects, now)
            self._update_voters(effects, now)
        self._compact_if_long(effects)
        return effects

    def _refuse_pending(self, led_term: int, effects: VoterEffects) -> None:
        lost = {index: proposal for index, proposal in self.proposals.items() if proposal.term != led_term}
        for index, proposal in lost.items():
            del self.proposals[index]
            reply = NotLeader(proposal.request_id, self.leader, "the lead was lost")
            effects.reply(proposal.client, reply)
        unconfirmed = [read for reads in [*self.reads.values(), self._queued_reads] for read in reads]
        self.reads.clear()
        self._queued_reads = []
        self._refuse_reads(unconfirmed, effects)

    def _reply_to_confirmed_reads(self, effects: VoterEffects, now: float) -> None:
        confirmed = self.raft.confirmed_round
        for number in [number for number in self.reads if number <= confirmed]:
            for read in self.reads.pop(number):
                leader_time = self._leader_time(now)
                reply = reply_to_read(
                    read.request, self.raft, self.state_machine, self.renewals, now, leader_time
                )
                effects.reply(read.client, reply)

    def _compact_if_long(self, effects: VoterEffects) -> None:
        entries = len(self.raft.log.entries)
        is_long = entries > COMPACT_AFTER_ENTRIES or self._applied_bytes > COMPACT_AFTER_BYTES
        if is_long and self._applied_index > self.raft.log.snapshot.index:
            self._applied_bytes = 0
            data = self.state_machine.snapshot()
            effects.raft_effects.append(self.raft.compact(self._applied_index, data))

    # Voters.

    def _update_voters(self, effects: VoterEffects, now: float) -> None:
        """Make a learner that has the log a voter, then remove the voter that it replaces."""
        voters = {*self.raft.voters}
        names = [voter.partition("/")[0] for voter in voters]
        doubled = next((one for one in sorted(voters) if names.count(one.partition("/")[0]) > 1), "")
        if doubled:
            # Of two marks of one name the one that the leader hears from stays.
            name = doubled.partition("/")[0]
            same_name = [voter for voter in voters if voter.partition("/")[0] == name]
            last_reply_at = self.raft.progress.last_reply_at
            replaced = min(
                same_name, key=lambda voter: (voter == self.raft.name, last_reply_at.get(voter, -NEVER))
            )
            self._change_voters(voters - {replaced}, effects, now)
        elif self.raft.progress.learners:
            self._change_voters(voters | {min(self.raft.progress.learners)}, effects, now)

    def _change_voters(self, voters: set[str], effects: VoterEffects, now: float) -> None:
        _, raft_effects = self.raft.change_voters(tuple(sorted(voters)), now)
        self._take(raft_effects, effects, now)


def founding_snapshot(names: list[str]) -> Snapshot:
    """What the log of a new council begins with: its voters, each with the mark of a first store."""
    return Snapshot(0, 0, tuple(sorted(f"{name}/0" for name in names)), b"")

"""One voter of the council: its Raft state, the replicated state machine, and replies to requests.

Only the leader carries out requests. It replies once the request's log entry is committed or, for a read,
once its leadership is confirmed (Raft's read index, Ongaro 2014, section 6.4). Any other voter replies with
the leader's name. A client that gets no reply may repeat the request under the same id, at any voter: it has
an effect once.

This module does no I/O and reads no clock: each call returns a `VoterEffects` that the caller carries out.
Times are ms of one clock.
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
"""The log is replaced by a snapshot once it has more entries than this."""
COMPACT_AFTER_BYTES = 8_388_608
"""The log is also replaced once more bytes of payload were applied since the last snapshot."""
MAX_PENDING_REQUESTS = 4096
"""Requests that have no reply yet; further requests are refused."""
MAX_EXPIRIES_PER_TICK = 256
"""Leases that expire in one tick; the limit keeps the log short when many holders fail at once."""
CONFIRMATION_DELAY_MS = 20.0
"""For how long reads are collected: one round of messages confirms the leadership for all of them."""
MAX_AUTHOR_LENGTH = 100
"""In characters; a longer author name is cut."""


class PendingProposal(NamedTuple):
    """A request that waits until its log entry is committed.

    Attributes:
        term: The term of the entry.
        client: The client that waits for the reply.
        request_id: The id of the request.
    """

    term: int
    client: object
    request_id: str


class PendingRead(NamedTuple):
    """A request that waits until the leadership is confirmed.

    Attributes:
        client: The client that waits for the reply.
        request: The request.
    """

    client: object
    request: AnyRequest


class Voter:
    """One voter of the council.

    Attributes:
        raft: The replicated log. It names a voter `NAME/STORE_ID`. A dispatcher whose store is not among the
            voters asks to be added; its new store then replaces the voter of the same name.
        allowed_names: The names of the dispatchers that may vote, from the settings.
        state_machine: The state at the last applied index.
        renewals: When leases expire, by this leader's clock; has no meaning while not leader.
        proposals: By log index, the request that waits for the entry; removed when the entry is committed or
            the leadership ends.
        reads: By confirmation round, the requests that wait for it; removed when the round is confirmed or
            the leadership ends.
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
        """Begin with the state on disk.

        Args:
            name: The voter, as `NAME/STORE_ID`.
            stored: The state on disk.
            allowed_names: The names of the dispatchers that may vote.
            seed: The seed of the random part of election timeouts.
            now: The time in ms.
            drift: The share by which the rates of two clocks may differ.

        Raises:
            msgspec.ValidationError: The stored snapshot can't be decoded.
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
        self._tracked_term = 0  # the term in which `renewals` was last reset as leader; 0 for none
        self._applied_index = stored.snapshot.index
        self._applied_bytes = 0  # bytes of payload since the last compaction

    @property
    def leader(self) -> str:
        """The name of the leader's dispatcher; "" if no leader is known."""
        return self.raft.leader.partition("/")[0]

    @property
    def is_ready_leader(self) -> bool:
        """Whether this voter leads and has applied every entry that was committed before its term."""
        return self.raft.is_leader and self.raft.commits_own_term

    def next_deadline(self) -> float:
        """Return the time in ms at which `tick` is to be called."""
        deadline = min(self.raft.next_deadline(), self._confirm_at)
        if self.is_ready_leader:
            deadline = min(deadline, self.renewals.next_expiry(self.state_machine.leases))
        return deadline

    def receive(self, message: AnyRaftMessage, now: float) -> VoterEffects:
        """Handle a message from another voter."""
        effects = VoterEffects()
        self._add_raft_effects(self.raft.receive(message, now), effects, now)
        return self._finish(effects, now)

    def tick(self, now: float) -> VoterEffects:
        """Run Raft's timers, expire leases and begin to confirm queued reads, if their time has come."""
        effects = VoterEffects()
        if now >= self.raft.next_deadline():
            self._add_raft_effects(self.raft.tick(now), effects, now)
        if self.is_ready_leader:
            for lease in self.renewals.take_expired(self.state_machine.leases, now, MAX_EXPIRIES_PER_TICK):
                command = Expire(self._leader_time(now), lease.task, lease.number)
                self._propose(encode_lease_command(command), effects, now)
        if now >= self._confirm_at:
            self._confirm_reads(effects, now)
        return self._finish(effects, now)

    def request(self, request: AnyRequest, client: object, now: float) -> VoterEffects:
        """Handle a request; the reply to `client` may be part of a later call's effects."""
        effects = VoterEffects()
        if not self.raft.is_leader:
            reason = "this voter is not the leader" if self.leader else "no leader is known"
            effects.reply(client, NotLeader(request.id, self.leader, reason))
        elif self._is_overloaded:
            effects.reply(client, NotLeader(request.id, "", "too many requests are pending"))
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
            effects.reply(client, NotLeader(request.id, "", "the configuration text was not judged"))
        else:
            self._queued_reads.append(PendingRead(client, request))
            self._confirm_at = min(self._confirm_at, now + CONFIRMATION_DELAY_MS)
        return self._finish(effects, now)

    def put_config(
        self, request: PutConfig, verdict: ConfigVerdict, client: object, now: float
    ) -> VoterEffects:
        """Handle a change of the configuration whose text was checked.

        Args:
            request: The request.
            verdict: The result of the check.
            client: The client that waits for the reply.
            now: The time in ms.
        """
        if not self.raft.is_leader:
            return self.request(request, client, now)
        effects = VoterEffects()
        if self._is_overloaded:
            effects.reply(client, NotLeader(request.id, "", "too many requests are pending"))
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
        """Settle the quota move that began with a version, unless it is settled already.

        The caller knows that all dispatchers of the fleet of record use the smaller of their old
        and new parts.

        Args:
            number: The version.
            now: The time in ms.
        """
        effects = VoterEffects()
        if self.is_ready_leader and self.state_machine.versions.moving_number == number:
            command = SettleVersion(self._leader_time(now), number)
            self._propose(encode_config_command(command), effects, now)
        return self._finish(effects, now)

    def admit(self, name: str, now: float) -> VoterEffects:
        """Begin to add a voter.

        Args:
            name: The voter, as `NAME/STORE_ID`; ignored if its dispatcher may not vote, or its
                store does already.
            now: The time in ms.
        """
        effects = VoterEffects()
        allowed = name.partition("/")[0] in self.allowed_names
        if self.raft.is_leader and allowed and name not in self.raft.voters:
            self._add_raft_effects(self.raft.add_learner(name, now), effects, now)
        return self._finish(effects, now)

    @property
    def _is_overloaded(self) -> bool:
        return len(self.proposals) + len(self._queued_reads) >= MAX_PENDING_REQUESTS

    def _leader_time(self, now: float) -> float:
        """Return the leader's time in ms: this voter's clock, but never before the newest entry."""
        return max(self.state_machine.now, now)

    def _propose(
        self, payload: bytes, effects: VoterEffects, now: float, client: object = None, request_id: str = ""
    ) -> None:
        index, raft_effects = self.raft.propose(payload, now)
        if request_id:
            # The proposal is stored first: a council of one voter commits the entry within the next call.
            self.proposals[index] = PendingProposal(self.raft.term, client, request_id)
        self._add_raft_effects(raft_effects, effects, now)

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
        self._add_raft_effects(raft_effects, effects, now)

    def _refuse_reads(self, reads: list[PendingRead], effects: VoterEffects) -> None:
        for read in reads:
            effects.reply(read.client, NotLeader(read.request.id, self.leader, "the leadership was lost"))

    def _add_raft_effects(self, raft_effects: RaftEffects, effects: VoterEffects, now: float) -> None:
        """Apply the committed entries, and add the other effects to those of the voter."""
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
        """Count the reply that grants a lease as a renewal of its holder's leases."""
        leases = self.state_machine.leases.leases.values()
        granted = next((lease for lease in leases if lease.number == number), None)
        if granted is not None:
            owner = (granted.holder, granted.incarnation)
            answered_at = self.renewals.answered_at
            answered_at[owner] = max(now, answered_at.get(owner, -NEVER))

    def _reply_to_proposal(
        self, proposal: PendingProposal, entry: LogEntry, outcome: CommandOutcome | None
    ) -> AnyReply:
        if proposal.term == entry.term and isinstance(outcome, LeaseOutcome):
            return LeaseAcquired(proposal.request_id, outcome)
        if proposal.term == entry.term and isinstance(outcome, PutOutcome):
            return ConfigPut(proposal.request_id, outcome)
        return NotLeader(
            proposal.request_id, self.leader, "another leader's entry replaced the request's entry"
        )

    def _finish(self, effects: VoterEffects, now: float) -> VoterEffects:
        """Do the work that every event may make necessary, such as replies, voter changes and compaction."""
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
            reply = NotLeader(proposal.request_id, self.leader, "the leadership was lost")
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

    def _update_voters(self, effects: VoterEffects, now: float) -> None:
        """Make a learner that has the log a voter, or remove the voter that a new one replaces."""
        voters = {*self.raft.voters}
        names = [voter.partition("/")[0] for voter in voters]
        duplicate = next((one for one in sorted(voters) if names.count(one.partition("/")[0]) > 1), "")
        if duplicate:
            # Of two stores of one dispatcher, the one that replied to the leader last stays.
            name = duplicate.partition("/")[0]
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
        self._add_raft_effects(raft_effects, effects, now)


def founding_snapshot(names: list[str]) -> Snapshot:
    """Return the snapshot that the log of a new council begins with.

    Args:
        names: The names of its voters; each begins with the store id 0.
    """
    return Snapshot(0, 0, tuple(sorted(f"{name}/0" for name in names)), b"")

"""One voter of the council: its part of the log, what the log comes to, and answers to whoever asks.

Asks are answered by the leader alone, once what they rest on is agreed or proven; any other voter says who
leads. An ask that was not answered may be put again under its id, here or to another: nothing is done twice.
Free of I/O, clock and chance: what a call comes to is a `VoterEffects`, whose steps' writes come before
all else.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cherrygrade.fleet.config.versions import DiffHunk, PutVersion, QuotaDivisors, SettleVersion, text_digest
from cherrygrade.fleet.config.versions import PutOutcome as ConfigTold
from cherrygrade.fleet.consensus import state_machine
from cherrygrade.fleet.consensus.raft import Raft
from cherrygrade.fleet.consensus.raft_messages import AnyRaftMessage as Word
from cherrygrade.fleet.consensus.raft_messages import LogEntry, PersistentState, Snapshot
from cherrygrade.fleet.consensus.raft_messages import RaftEffects as Step
from cherrygrade.fleet.consensus.state_machine import StateMachine
from cherrygrade.fleet.leases.lease_table import Acquire, Expire, Release, digest
from cherrygrade.fleet.leases.lease_table import LeaseOutcome as LeaseTold
from cherrygrade.fleet.leases.renewal_tracker import NEVER, RenewalTracker

COMPACT = 512  # entries, after which the log becomes a snapshot
COMPACT_BYTES = 8_388_608  # or so many bytes of them
MOST_WAITING = 4096  # asks that have no answer yet; more are told to come again
FREE_AT_ONCE = 256  # entries of a beat, so that the log is not flooded as a fleet of holders dies
PROOF_MS = 20.0  # proofs are asked for together: one round answers for all who came in it


class CouncilRequest(msgspec.Struct, array_like=True, frozen=True, tag_field="ask", tag="Ask"):
    id: str


class AcquireLease(CouncilRequest, frozen=True, tag="take"):
    task: str
    holder: str
    birth: int
    for_ms: float


class ReleaseLease(CouncilRequest, frozen=True, tag="give"):
    task: str
    number: int
    failed: str = ""


class RenewLeases(CouncilRequest, frozen=True, tag="renew"):
    """All leases of this life. `same`: the digest of what it holds, so that an answer need not say it all."""

    holder: str
    birth: int
    same: int = 0


class ListFreeTasks(CouncilRequest, frozen=True, tag="free"):
    """Which of these are free and do not rest."""

    tasks: list[str]


class ShowCouncil(CouncilRequest, frozen=True, tag="show"):
    """Who votes, leads, and holds what: for people."""


class PutConfig(CouncilRequest, frozen=True, tag="put"):
    """A new version of the configuration, whole, behind `based_on`: the newest that its asker saw, 0 for the
    first. The carrier judges the text before the voter hears of it."""

    text: str
    based_on: int
    by: str


class ShowConfig(CouncilRequest, frozen=True, tag="config"):
    """What the log has of the configuration; `number`: with this version's text."""

    number: int = 0


class CouncilReply(msgspec.Struct, array_like=True, frozen=True, tag_field="answer", tag="Answer"):
    id: str


class NotLeader(CouncilReply, frozen=True, tag="elsewhere"):
    """Not here; `leader` "" where nobody is known to lead."""

    leader: str
    why: str = ""


class LeaseAcquired(CouncilReply, frozen=True, tag="took"):
    told: LeaseTold


class LeasesRenewed(CouncilReply, frozen=True, tag="renewed"):
    """`same`: all that was asked for, and nothing else, is renewed; else `numbers` is."""

    numbers: dict[str, int]
    same: bool = False


class FreeTasks(CouncilReply, frozen=True, tag="freed"):
    tasks: list[str]


class CouncilStatus(CouncilReply, frozen=True, tag="shown"):
    leader: str
    term: int
    index: int
    voters: tuple[str, ...]
    leases: list[tuple[str, str, int, float]]
    """Task, holder, number, ms that are left by the leader's count."""
    failed: list[tuple[str, int, str, float]]
    """Task, times in a row, the last reason, ms that it rests yet."""


class ConfigPut(CouncilReply, frozen=True, tag="put"):
    """The number of the version that it became, or why there is none."""

    told: ConfigTold


class VersionSummary(msgspec.Struct, array_like=True, frozen=True):
    """One version of the log's, without its text; `at`: the leaders' time, ms."""

    number: int
    digest: str
    by: str
    at: float
    length: int


class ConfigStatus(CouncilReply, frozen=True, tag="config"):
    """`stage` 0: there is no configuration. `moving`: the version whose parts still move, 0: none.
    `lines`: those that are kept, the newest last. `text`: None where the version asked for is not kept."""

    stage: int
    settled: int
    moving: int
    lines: list[VersionSummary]
    text: str | None
    leader: str


AnyRequest = AcquireLease | ReleaseLease | RenewLeases | ListFreeTasks | ShowCouncil | PutConfig | ShowConfig
AnyReply = NotLeader | LeaseAcquired | LeasesRenewed | FreeTasks | CouncilStatus | ConfigPut | ConfigStatus


@dataclass(frozen=True, slots=True)
class ConfigVerdict:
    """What came of judging a text: why it is refused, or the divisors of the site that comes of it, `old` of
    the site before it, and the difference against the text it is based on where that is the shorter."""

    why: str
    parts: QuotaDivisors | None = None
    old: QuotaDivisors | None = None
    hunks: tuple[DiffHunk, ...] | None = None


@dataclass(slots=True)
class VoterEffects:
    """The steps' writes first, then all else."""

    steps: list[Step] = field(default_factory=list)
    mail: list[tuple[str, Word]] = field(default_factory=list)
    answers: list[tuple[object, AnyReply]] = field(default_factory=list)
    """To whom, as they were named in `ask`."""


class Voter:
    """`waiting` (by index) and `proofs` (by round) are emptied by agreement, proof, or the lead's end.

    `names`: who may be voter, by the settings. A voter's own name is `NAME/MARK` of its store; one that is
    not among the voters asks to be let in, and takes the place of the one with another mark of its name.
    """

    def __init__(
        self, me: str, stored: PersistentState, names: list[str], seed: int, now: float, drift: float
    ) -> None:
        self.raft = Raft(me, stored, seed, now)
        self.names = {*names}
        self.books = StateMachine()
        if stored.snapshot.data:
            self.books.restore(stored.snapshot.data)
        self.count = RenewalTracker(drift)
        self.waiting: dict[int, tuple[int, object, str]] = {}
        self.proofs: dict[int, list[tuple[object, AnyRequest]]] = {}
        self._unproven: list[tuple[object, AnyRequest]] = []
        self._prove_at = NEVER
        self._led = 0  # the term of the lead that `count` is of
        self._applied = stored.snapshot.index
        self._since = 0  # bytes of the log behind its base

    @property
    def leader(self) -> str:
        return self.raft.leader.partition("/")[0]

    def due(self) -> float:
        at = min(self.raft.next_deadline(), self._prove_at)
        if self.leads:
            at = min(at, self.count.due(self.books.leases))
        return at

    @property
    def leads(self) -> bool:
        """It leads, and all of before is applied here."""
        return self.raft.is_leader and self.raft.commits_own_term

    # What comes in.

    def hear(self, word: Word, now: float) -> VoterEffects:
        does = VoterEffects()
        self._step(self.raft.receive(word, now), does, now)
        return self._settle(does, now)

    def tick(self, now: float) -> VoterEffects:
        does = VoterEffects()
        if now >= self.raft.next_deadline():
            self._step(self.raft.tick(now), does, now)
        if self.leads:
            for lease in self.count.over(self.books.leases, now, FREE_AT_ONCE):
                self._propose(state_machine.lease(Expire(self._at(now), lease.task, lease.number)), does, now)
        if now >= self._prove_at:
            self._prove(does, now)
        return self._settle(does, now)

    def ask(self, ask: AnyRequest, by: object, now: float) -> VoterEffects:
        does = VoterEffects()
        if not self.raft.is_leader:
            why = "it leads" if self.leader else "nobody leads"
            does.answers.append((by, NotLeader(ask.id, self.leader, why)))
        elif len(self.waiting) + len(self._unproven) >= MOST_WAITING:
            does.answers.append((by, NotLeader(ask.id, "", "too much is asked at once")))
        elif isinstance(ask, AcquireLease):
            op = Acquire(self._at(now), ask.id, ask.task, ask.holder, ask.birth, ask.for_ms)
            self._propose(state_machine.lease(op), does, now, by, ask.id)
        elif isinstance(ask, ReleaseLease):
            op_ = Release(self._at(now), ask.task, ask.number, ask.failed)
            self._propose(state_machine.lease(op_), does, now, by, ask.id)
        elif isinstance(ask, PutConfig):
            does.answers.append((by, NotLeader(ask.id, "", "it was not judged")))
        else:
            self._unproven.append((by, ask))
            self._prove_at = min(self._prove_at, now + PROOF_MS)
        return self._settle(does, now)

    def put(self, ask: PutConfig, judged: ConfigVerdict, by: object, now: float) -> VoterEffects:
        """A change of the configuration whose text was judged."""
        if not self.raft.is_leader:
            return self.ask(ask, by, now)
        does = VoterEffects()
        if len(self.waiting) + len(self._unproven) >= MOST_WAITING:
            does.answers.append((by, NotLeader(ask.id, "", "too much is asked at once")))
        elif judged.why or judged.parts is None:
            does.answers.append((by, ConfigPut(ask.id, ConfigTold(waits=judged.why))))
        else:
            text = ask.text if judged.hunks is None else None
            at, digest = self._at(now), text_digest(ask.text)
            hunks, parts = judged.hunks or (), judged.parts
            op = PutVersion(at, ask.id, ask.based_on, text, hunks, digest, ask.by[:100], parts, judged.old)
            self._propose(state_machine.config(op), does, now, by, ask.id)
        return self._settle(does, now)

    def settle(self, number: int, now: float) -> VoterEffects:
        """All of record use the smaller parts of the move that began with this version."""
        does = VoterEffects()
        if self.leads and self.books.versions.moving == number:
            self._propose(state_machine.config(SettleVersion(self._at(now), number)), does, now)
        return self._settle(does, now)

    def let_in(self, name: str, now: float) -> VoterEffects:
        """A store that is no voter's asks to be one: of a name of the settings, and of another mark."""
        does = VoterEffects()
        if self.raft.is_leader and name.partition("/")[0] in self.names and name not in self.raft.voters:
            self._step(self.raft.add_learner(name, now), does, now)
        return self._settle(does, now)

    # Its own.

    def _at(self, now: float) -> float:
        """The leaders' time: it goes on from what the log has, by this one's clock, and never back."""
        return max(self.books.now, now)

    def _propose(
        self, payload: bytes, does: VoterEffects, now: float, by: object = None, asked: str = ""
    ) -> None:
        """`asked`: the id of who waits for what comes of it; a voter alone agrees within the step."""
        index, step = self.raft.propose(payload, now)
        if asked:
            self.waiting[index] = (self.raft.term, by, asked)
        self._step(step, does, now)

    def _prove(self, does: VoterEffects, now: float) -> None:
        self._prove_at = NEVER
        asked, self._unproven = self._unproven, []
        if not asked:
            return
        number, step = self.raft.confirm_leadership(now)
        if number:
            self.proofs[number] = asked
        else:
            self._nobody(asked, does)
        self._step(step, does, now)

    def _step(self, step: Step, does: VoterEffects, now: float) -> None:
        does.steps.append(step)
        does.mail += step.messages
        if step.restored is not None:
            self.books.restore(step.restored.data)
            self._applied = step.restored.index
        for index, entry in step.committed:
            self._apply(index, entry, does, now)

    def _apply(self, index: int, entry: LogEntry, does: VoterEffects, now: float) -> None:
        self._applied = index
        told = self.books.apply(index, entry.payload)
        self._since += len(entry.payload)
        if isinstance(told, LeaseTold) and told.number == index:  # granted here and now
            held = next((one for one in self.books.leases.leases.values() if one.number == index), None)
            if held is not None:
                life = (held.holder, held.birth)
                self.count.answered[life] = max(now, self.count.answered.get(life, -NEVER))
        term, by, asked = self.waiting.pop(index, (0, None, ""))
        if not asked:
            return
        if term == entry.term and isinstance(told, LeaseTold):
            does.answers.append((by, LeaseAcquired(asked, told)))
        elif term == entry.term and isinstance(told, ConfigTold):
            does.answers.append((by, ConfigPut(asked, told)))
        else:
            does.answers.append((by, NotLeader(asked, self.leader, "another entry took its place")))

    def _settle(self, does: VoterEffects, now: float) -> VoterEffects:
        """What follows from where the log stands now."""
        led = self.raft.term if self.raft.is_leader else 0
        anew = led != self._led
        if anew:
            self._led = led
            self.count.lead(now if led else NEVER)
        if anew or not led:
            lost = {at: one for at, one in self.waiting.items() if one[0] != led}
            for at, (_, by, asked) in lost.items():
                del self.waiting[at]
                does.answers.append((by, NotLeader(asked, self.leader, "the lead was lost")))
            asks = [one for some in [*self.proofs.values(), self._unproven] for one in some]
            self.proofs.clear()
            self._unproven = []
            self._nobody(asks, does)
        if led:
            proven = self.raft.confirmed_round
            for number in [number for number in self.proofs if number <= proven]:
                for by, ask in self.proofs.pop(number):
                    does.answers.append((by, self._proven(ask, now)))
            self._let_in(does, now)
        much = len(self.raft.log.entries) > COMPACT or self._since > COMPACT_BYTES
        if much and self._applied > self.raft.log.snapshot.index:
            self._since = 0
            does.steps.append(self.raft.compact(self._applied, self.books.snapshot()))
        return does

    def _nobody(self, asks: list[tuple[object, AnyRequest]], does: VoterEffects) -> None:
        does.answers += [(by, NotLeader(ask.id, self.leader, "the lead was lost")) for by, ask in asks]

    def _proven(self, ask: AnyRequest, now: float) -> AnyReply:
        leases = self.books.leases
        if isinstance(ask, RenewLeases):
            numbers = self.count.renews(leases, ask.holder, ask.birth, now)
            same = bool(numbers) and digest(numbers.items()) == ask.same
            return LeasesRenewed(ask.id, {} if same else numbers, same)
        if isinstance(ask, ListFreeTasks):
            return FreeTasks(ask.id, [task for task in ask.tasks if leases.free(task, self._at(now))])
        if isinstance(ask, ShowConfig):
            known = self.books.versions
            lines = [
                VersionSummary(v.number, v.digest.hex(), v.by, v.at, len(v.text)) for v in known.kept.values()
            ]
            found = known.kept.get(ask.number)
            text = found.text if found is not None else None
            return ConfigStatus(ask.id, known.stage, known.settled, known.moving, lines, text, self.leader)
        return CouncilStatus(
            ask.id,
            self.leader,
            self.raft.term,
            self.raft.commit_index,
            self.raft.voters,
            [(e.task, e.holder, e.number, self.count.ends(e) - now) for e in leases.leases.values()],
            [(t, f.times, f.why, max(0.0, f.until - leases.now)) for t, f in leases.failed.items()],
        )

    def _let_in(self, does: VoterEffects, now: float) -> None:
        """A newcomer that has the log becomes a voter, then the one whose place it takes goes."""
        voters = {*self.raft.voters}
        names = [one.partition("/")[0] for one in voters]
        double = next((one for one in sorted(voters) if names.count(one.partition("/")[0]) > 1), "")
        if double:  # of two marks of one name the one that the leader hears from stays
            name = double.partition("/")[0]
            same = [one for one in voters if one.partition("/")[0] == name]
            heard = self.raft.progress.last_reply_at
            old = min(same, key=lambda one: (one == self.raft.name, heard.get(one, -NEVER)))
            self._change(voters - {old}, does, now)
        elif self.raft.progress.learners:
            self._change(voters | {min(self.raft.progress.learners)}, does, now)

    def _change(self, voters: set[str], does: VoterEffects, now: float) -> None:
        _, step = self.raft.change_voters(tuple(sorted(voters)), now)
        self._step(step, does, now)


def founded(names: list[str]) -> Snapshot:
    """Where the log of a new council begins: who votes."""
    return Snapshot(0, 0, tuple(sorted(f"{name}/0" for name in names)), b"")

"""One log kept by a few voters, by Raft: messages and time in; writes, messages and what is agreed out.

Ongaro and Ousterhout (2014), with what Ongaro's thesis (2014) adds: votes asked for in advance (9.6), a
leader that goes once no majority answers it (6.2), voters changed one at a time (4.1) and only behind an
entry of the leader's own term (the correction of 2015), snapshots (5.1), and proof that it still leads by a
round of words begun after it was asked (6.4). Kept: all of these. Changed: a voter
is a name and the mark of its store, so that one whose store was lost is another voter, and none until it was
let in.

What a call comes to is a `RaftEffects`: its writes have to be on disk before anything else of it is done.
Times are
ms of any one clock, which may stand still or jump: that costs an election, never agreement.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

import msgspec

BEAT_MS = 120.0  # between two words of a leader
PATIENCE_MS, SPREAD_MS = 600.0, 600.0  # without a leader's word, before votes are asked for
MOST_SENT = 64  # entries in one message
MOST_SENT_BYTES = 1_048_576  # of them, and one at least: what is on its way is said again at each beat
NEVER = 1e15


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """`voters`, where the entry says who votes from here on."""

    term: int
    payload: bytes = b""
    voters: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All up to an index as one: the state that it comes to, who votes then."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    data: bytes = b""


class PersistentState(msgspec.Struct, array_like=True):
    """What a voter has on disk."""

    term: int = 0
    vote: str = ""
    base: Snapshot = Snapshot()
    entries: list[LogEntry] = []


class RaftMessage(msgspec.Struct, array_like=True, frozen=True, tag_field="kind", tag="Word"):
    by: str
    term: int


class RequestVote(RaftMessage, frozen=True, tag="v"):
    """`ahead`: would you, if I stood in this term?"""

    last_index: int
    last_term: int
    ahead: bool = False


class VoteReply(RaftMessage, frozen=True, tag="g"):
    given: bool
    ahead: bool = False


class AppendEntries(RaftMessage, frozen=True, tag="a"):
    """Entries behind `index`, which has `index_term`; an empty one is the leader's beat."""

    index: int
    index_term: int
    entries: tuple[LogEntry, ...]
    agreed: int
    round: int = 0
    """The leader's count of what it asked all for; the answer brings it back."""


class AppendReply(RaftMessage, frozen=True, tag="d"):
    """`match`: up to where the log is the leader's now; where it does not fit, up to where it may."""

    fits: bool
    match: int
    round: int = 0


class InstallSnapshot(RaftMessage, frozen=True, tag="i"):
    base: Snapshot
    round: int = 0


AnyRaftMessage = RequestVote | VoteReply | AppendEntries | AppendReply | InstallSnapshot


class Role(Enum):
    FOLLOWS = "follows"
    ASKS = "asks ahead"
    STANDS = "stands"
    LEADS = "leads"


@dataclass(slots=True)
class RaftEffects:
    """What a call comes to. Writes first: `hard` (term and vote), `base` (a snapshot, which all up to its
    index goes for), `entries` in place of all from `since` on. Then the rest: mail, and what is agreed."""

    hard: tuple[int, str] | None = None
    base: Snapshot | None = None
    since: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    mail: list[tuple[str, AnyRaftMessage]] = field(default_factory=list)
    agreed: list[tuple[int, LogEntry]] = field(default_factory=list)
    restored: Snapshot | None = None
    """The state is this one now, whatever it was."""

    @property
    def writes(self) -> bool:
        return self.hard is not None or self.base is not None or self.since > 0


class Raft:
    """One voter. `match`, `next` and `heard` hold the voters and newcomers, while it leads; `entries` is
    shortened by `compact`."""

    def __init__(self, me: str, stored: PersistentState, seed: int, now: float) -> None:
        self.me, self.seed = me, seed
        self.term, self.vote, self.base = stored.term, stored.vote, stored.base
        self.entries = [*stored.entries]
        self.agreed = self.base.index
        self.role, self.leader = Role.FOLLOWS, ""
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.heard: dict[str, float] = {}
        self.round = 0  # of this lead
        self.rounds: dict[str, int] = {}  # the newest that each has answered; goes with the lead
        self.newcomers: set[str] = set()  # get the log and have no vote; emptied as they are let in
        self.leader_at = -NEVER
        self.count = self.elections = 0
        self.beat_at = NEVER
        self.stand_at = now + self._patience()
        self._does = RaftEffects()

    # What is known.

    @property
    def last(self) -> int:
        return self.base.index + len(self.entries)

    def term_at(self, index: int) -> int:
        """-1 where it is not known (any more)."""
        if index == self.base.index:
            return self.base.term
        at = index - self.base.index - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else -1

    @property
    def voters(self) -> tuple[str, ...]:
        """By the newest entry that says so, agreed or not."""
        return next((one.voters for one in reversed(self.entries) if one.voters), self.base.voters)

    def majority(self, names: Iterable[str]) -> bool:
        voters = self.voters
        return 2 * len({*names} & {*voters}) > len(voters)

    @property
    def leads(self) -> bool:
        return self.role is Role.LEADS

    def due(self) -> float:
        return self.beat_at if self.leads else self.stand_at

    def _patience(self) -> float:
        self.count += 1
        return PATIENCE_MS + SPREAD_MS * crc32(f"{self.seed}:{self.me}:{self.count}".encode()) / 2.0**32

    def _done(self) -> RaftEffects:
        does, self._does = self._does, RaftEffects()
        return does

    # What comes in.

    def tick(self, now: float) -> RaftEffects:
        if self.leads:
            quorum = [name for name, at in self.heard.items() if now - at < PATIENCE_MS]
            out = self.me not in self.voters and self.term_at(self.agreed) == self.term
            if out or not self.majority([*quorum, self.me]):
                self._follow(self.term, "", now)  # whoever asks it is to ask another
            elif now >= self.beat_at:
                self.beat_at = now + BEAT_MS
                self._tell_all()
        elif now >= self.stand_at:
            self.stand_at = now + self._patience()
            if self.me in self.voters:
                self._ask(now)
        return self._done()

    def propose(self, payload: bytes, now: float) -> tuple[int, RaftEffects]:
        """The index that it will have if it is agreed; 0 from who does not lead."""
        if not self.leads:
            return 0, self._done()
        self._append([LogEntry(self.term, payload)])
        self._tell_all()
        return self.last, self._done()

    def prove(self, now: float) -> tuple[int, RaftEffects]:
        """Ask all for proof that it still leads; once `proven` has come to the number given, it led after
        this call. 0 from who does not lead."""
        if not self.leads:
            return 0, self._done()
        self.round += 1
        self._tell_all()
        return self.round, self._done()

    @property
    def proven(self) -> int:
        """The newest round of this lead that a majority has answered, behind an agreed entry of its own."""
        if not self.leads or self.term_at(self.agreed) != self.term:
            return 0
        answered = sorted({self.round, *self.rounds.values()}, reverse=True)
        for number in answered:
            if self.majority([self.me, *(name for name, at in self.rounds.items() if at >= number)]):
                return number
        return 0

    def admit(self, name: str, now: float) -> RaftEffects:
        """A newcomer gets the log from now on; `change` gives it its vote."""
        if self.leads and name not in self.voters:
            self.newcomers.add(name)
            self.next.setdefault(name, self.last + 1)
            self.match.setdefault(name, 0)
            self._tell(name)
        return self._done()

    def change(self, voters: tuple[str, ...], now: float) -> tuple[bool, RaftEffects]:
        """One voter more or less. False where that can't be now: no lead, another change under way, nothing
        agreed in this term yet, or a newcomer that lags."""
        old, new = {*self.voters}, {*voters}
        pending = any(one.voters for one in self.entries[self.agreed - self.base.index :])
        own = self.term_at(self.agreed) == self.term
        lags = any(self.match.get(name, 0) < self.agreed for name in new - old - {self.me})
        if not self.leads or pending or not own or lags or len(old ^ new) != 1 or not new:
            return False, self._done()
        self._append([LogEntry(self.term, voters=tuple(sorted(new)))])
        self.newcomers -= new
        for name in new - {self.me}:
            self.next.setdefault(name, self.last)
            self.match.setdefault(name, 0)
        self._tell_all()
        return True, self._done()

    def compact(self, index: int, data: bytes) -> RaftEffects:
        """The state up to an agreed index, in place of the log up to there."""
        if self.base.index < index <= self.agreed:
            kept = index - self.base.index
            voters = next((e.voters for e in reversed(self.entries[:kept]) if e.voters), self.base.voters)
            self.base = Snapshot(index, self.term_at(index), voters, data)
            del self.entries[:kept]
            self._does.base = self.base
        return self._done()

    def hear(self, word: AnyRaftMessage, now: float) -> RaftEffects:
        if isinstance(word, RequestVote):
            self._asked(word, now)
        elif isinstance(word, VoteReply):
            self._voted(word, now)
        elif isinstance(word, AppendEntries | InstallSnapshot):
            if word.term < self.term:
                self._send(word.by, AppendReply(self.me, self.term, False, 0))
            else:
                self._follow(word.term, word.by, now)
                self._take(word) if isinstance(word, AppendEntries) else self._install(word)
        elif word.term > self.term:
            self._follow(word.term, "", now)
        elif self.leads and word.term == self.term and word.by in self.match:
            self._appended(word, now)
        return self._done()

    # Votes.

    def _ask(self, now: float) -> None:
        """Whether others would: a term is begun only by who could win it, so that one who was cut off, or
        whose link flaps, makes nobody else stand."""
        self.role, self.leader, self.votes = Role.ASKS, "", {self.me}
        if self.majority(self.votes):
            self.stand(now)
            return
        self._tell_voters(RequestVote(self.me, self.term + 1, self.last, self.term_at(self.last), True))

    def stand(self, now: float) -> None:
        self.role, self.leader, self.votes = Role.STANDS, "", {self.me}
        self.elections += 1
        self._hard(self.term + 1, self.me)
        self.stand_at = now + self._patience()
        if self.majority(self.votes):
            self._lead(now)
            return
        self._tell_voters(RequestVote(self.me, self.term, self.last, self.term_at(self.last)))

    def _asked(self, ask: RequestVote, now: float) -> None:
        led = self.leads or now - self.leader_at < PATIENCE_MS
        whole = (ask.last_term, ask.last_index) >= (self.term_at(self.last), self.last)
        if ask.ahead:
            given = ask.term > self.term and whole and not led
            self._send(ask.by, VoteReply(self.me, ask.term if given else self.term, given, True))
            return
        if ask.term > self.term and led:
            return  # while there is a leader nobody's word makes it go: who is no voter any more may ask
        if ask.term > self.term:
            self._follow(ask.term, "", now)
        given = ask.term == self.term and whole and self.vote in ("", ask.by)
        if given:
            self.stand_at = now + self._patience()
            if not self.vote:
                self._hard(self.term, ask.by)
        self._send(ask.by, VoteReply(self.me, self.term, given))

    def _voted(self, vote: VoteReply, now: float) -> None:
        if vote.ahead and vote.given:
            if self.role is Role.ASKS and vote.term == self.term + 1:
                self.votes.add(vote.by)
                if self.majority(self.votes):
                    self.stand(now)
            return
        if vote.term > self.term:
            self._follow(vote.term, "", now)
        elif vote.given and self.role is Role.STANDS and vote.term == self.term:
            self.votes.add(vote.by)
            if self.majority(self.votes):
                self._lead(now)

    def _follow(self, term: int, leader: str, now: float) -> None:
        self.role, self.leader, self.votes = Role.FOLLOWS, leader, set()
        self.next, self.match, self.heard, self.newcomers = {}, {}, {}, set()
        self.round, self.rounds = 0, {}
        self.beat_at = NEVER
        self.stand_at = now + self._patience()
        if leader:
            self.leader_at = now
        if term > self.term:
            self._hard(term, "")

    def _lead(self, now: float) -> None:
        """Its first entry is empty: what came before is agreed with it."""
        self.role, self.leader, self.votes = Role.LEADS, self.me, set()
        others = [name for name in self.voters if name != self.me]
        self.next = {name: self.last + 1 for name in others}
        self.match = dict.fromkeys(others, 0)
        self.round, self.rounds = 0, {}
        self.heard = dict.fromkeys(others, now)
        self.beat_at = now + BEAT_MS
        self._append([LogEntry(self.term)])
        self._tell_all()

    # The log.

    def _append(self, entries: list[LogEntry]) -> None:
        self._put(self.last + 1, entries)
        self._agree()  # a voter alone

    def _put(self, since: int, entries: list[LogEntry]) -> None:
        del self.entries[since - self.base.index - 1 :]
        self.entries += entries
        does = self._does
        if does.since and does.since < since:  # behind what this call wrote already
            does.entries = [*does.entries[: since - does.since], *entries]
        else:
            does.since, does.entries = since, [*entries]

    def _take(self, word: AppendEntries) -> None:
        index, entries = word.index, word.entries
        if index < self.base.index:  # what is in the base is agreed, and so the same
            entries, index = entries[self.base.index - index :], self.base.index
        elif self.term_at(index) != word.index_term:
            fits_to = min(self.last, index - 1)
            self._send(word.by, AppendReply(self.me, self.term, False, fits_to, word.round))
            return
        for at, entry in enumerate(entries):
            if self.term_at(index + at + 1) != entry.term:
                self._put(index + at + 1, [*entries[at:]])
                break
        match = index + len(entries)
        self._agreed(min(word.agreed, match))
        self._send(word.by, AppendReply(self.me, self.term, True, match, word.round))

    def _install(self, word: InstallSnapshot) -> None:
        base = word.base
        if base.index > self.agreed:
            keeps = self.term_at(base.index) == base.term
            self.entries = self.entries[base.index - self.base.index :] if keeps else []
            self.base, self.agreed = base, base.index
            self._does.base = self._does.restored = base
            self._does.since, self._does.entries = base.index + 1, [*self.entries]
        self._send(word.by, AppendReply(self.me, self.term, True, base.index, word.round))

    def _appended(self, word: AppendReply, now: float) -> None:
        name = word.by
        self.heard[name] = now
        self.rounds[name] = max(self.rounds.get(name, 0), word.round)
        if word.fits:
            self.match[name] = max(self.match[name], word.match)
            self.next[name] = max(self.next[name], self.match[name] + 1)
            self._agree()
            if self.next[name] <= self.last:
                self._tell(name)
        elif word.match + 1 < self.next[name]:  # an old word's is of no use again
            self.next[name] = max(self.match[name], word.match) + 1
            self._tell(name)

    def _agree(self) -> None:
        """What a majority has on disk, up to an entry of this term: older ones alone prove nothing."""
        for index in range(self.last, self.agreed, -1):
            if self.term_at(index) != self.term:
                return
            if self.majority([self.me, *(name for name, match in self.match.items() if match >= index)]):
                self._agreed(index)
                return

    def _agreed(self, index: int) -> None:
        while self.agreed < index:
            self.agreed += 1
            entry = self.entries[self.agreed - self.base.index - 1]
            self._does.agreed.append((self.agreed, entry))

    # Words.

    def _hard(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self._does.hard = (term, vote)

    def _send(self, to: str, word: AnyRaftMessage) -> None:
        self._does.mail.append((to, word))

    def _tell_voters(self, word: AnyRaftMessage) -> None:
        for name in self.voters:
            if name != self.me:
                self._send(name, word)

    def _tell_all(self) -> None:
        for name in self.next:
            self._tell(name)

    def _tell(self, name: str) -> None:
        index = self.next[name] - 1
        if index < self.base.index:
            self._send(name, InstallSnapshot(self.me, self.term, self.base, self.round))
            return
        at = index - self.base.index
        some, room = list[LogEntry](), MOST_SENT_BYTES
        for entry in self.entries[at : at + MOST_SENT]:
            room -= len(entry.payload)
            if some and room < 0:
                break
            some.append(entry)
        before = self.term_at(index)
        self._send(name, AppendEntries(self.me, self.term, index, before, (*some,), self.agreed, self.round))

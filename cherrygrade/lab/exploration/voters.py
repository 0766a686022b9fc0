"""A model of three voters for exploration: the council's log (`fleet/consensus/raft.py`), as it is.

Time is left out: anybody may stand at any moment, which covers every clock and every pause. The network is
the set of all words ever sent: each may come at any time, again, or never. Each voter's disk is kept apart
from its memory: a crash leaves the disk.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from cherrygrade.fleet.consensus.raft import Raft
from cherrygrade.fleet.consensus.raft_messages import AnyRaftMessage, LogEntry, PersistentState, Snapshot
from cherrygrade.fleet.consensus.raft_role import Role
from cherrygrade.lab.exploration.explore import Breach, Told

NAMES = ("a", "b", "c")
FIRST = Snapshot(voters=NAMES)
LATE = 1e12


class Disk(NamedTuple):
    term: int
    vote: str
    entries: tuple[LogEntry, ...]


class Voter(NamedTuple):
    """One process: its memory, and what of it is on disk."""

    disk: Disk
    term: int
    vote: str
    entries: tuple[LogEntry, ...]
    agreed: int
    role: str
    votes: frozenset[str]
    next: tuple[tuple[str, int], ...]
    match: tuple[tuple[str, int], ...]


class Now(NamedTuple):
    """`told`: a bit for each word that is or was under way; `agreed`: what anybody ever took for agreed;
    `leaders`: who led in which term. The last two are ours, not the voters'."""

    voters: tuple[Voter, ...]
    told: int
    agreed: tuple[LogEntry, ...]
    leaders: tuple[tuple[int, str], ...]
    stands: int
    proposals: int
    crashes: int


@dataclass(frozen=True, slots=True)
class Bounds:
    stands: int = 2
    proposals: int = 1
    crashes: int = 1


def thaw(name: str, voter: Voter) -> Raft:
    raft = Raft(name, PersistentState(voter.term, voter.vote, FIRST, [*voter.entries]), 1, LATE)
    raft.commit_index, raft.role, raft.votes = voter.agreed, Role(voter.role), {*voter.votes}
    raft.progress.next_index, raft.progress.match_index = dict(voter.next), dict(voter.match)
    return raft


def freeze(raft: Raft, disk: Disk) -> Voter:
    entries = tuple(raft.log.entries)
    leads = raft.is_leader
    return Voter(
        disk,
        raft.term,
        raft.vote,
        entries,
        raft.commit_index,
        raft.role.value,
        frozenset(raft.votes),
        tuple(sorted(raft.progress.next_index.items())) if leads else (),
        tuple(sorted(raft.progress.match_index.items())) if leads else (),
    )


class Voters:
    """`syncs`: whether what a step writes is on disk before its words leave, as it has to be; `forgets`: a
    vote is not read back at a restart. Both for planted breakages."""

    def __init__(self, bounds: Bounds, syncs: bool = True, forgets: bool = False) -> None:
        self.bounds, self.syncs, self.forgets = bounds, syncs, forgets
        # What a voter comes to is worked out once: goes with the exploration.
        self._told: Told[tuple[str, AnyRaftMessage]] = Told()
        self._after: dict[tuple[int, Voter, str, object], tuple[Voter, int]] = {}

    def start(self) -> Now:
        voter = Voter(Disk(0, "", ()), 0, "", (), 0, Role.FOLLOWER.value, frozenset(), (), ())
        return Now((voter,) * len(NAMES), 0, (), (), 0, 0, 0)

    def steps(self, now: Now) -> Iterator[tuple[str, Now]]:
        bounds = self.bounds
        for at, name in enumerate(NAMES):
            voter = now.voters[at]
            if voter.role != Role.LEADER.value and now.stands < bounds.stands:
                yield f"{name} stands", self._does(now._replace(stands=now.stands + 1), at, "stand", None)
            if voter.role == Role.LEADER.value and now.proposals < bounds.proposals:
                more = now._replace(proposals=now.proposals + 1)
                yield f"{name} is asked", self._does(more, at, "propose", b"%d" % now.proposals)
            if now.crashes < bounds.crashes:
                yield f"{name} crashes", self._crash(now, at)
            for to, word in self._told.of(now.told):
                if to == name:
                    after, words = self._comes_to(at, voter, "hear", word)
                    if after != voter or words & ~now.told:
                        yield f"{name} hears {word}", self._does(now, at, "hear", word)

    def _crash(self, now: Now, at: int) -> Now:
        disk = now.voters[at].disk
        vote = "" if self.forgets else disk.vote
        voter = Voter(disk, disk.term, vote, disk.entries, 0, Role.FOLLOWER.value, frozenset(), (), ())
        voters = (*now.voters[:at], voter, *now.voters[at + 1 :])
        return now._replace(voters=voters, crashes=now.crashes + 1)

    def _comes_to(self, at: int, voter: Voter, act: str, what: Any) -> tuple[Voter, int]:
        key = (at, voter, act, what)
        if key not in self._after:
            raft = thaw(NAMES[at], voter)
            before = Disk(raft.term, raft.vote, tuple(raft.log.entries))
            if act == "stand":
                raft.start_election(LATE)
                does = raft._take_effects()
            elif act == "propose":
                _, does = raft.propose(what, LATE)
            else:
                does = raft.receive(what, LATE)
            disk = voter.disk
            if not self.syncs:  # what the step before wrote is on disk by now, not this one's
                disk = before
            else:
                if does.term_and_vote is not None:
                    disk = disk._replace(term=does.term_and_vote.term, vote=does.term_and_vote.vote)
                if does.first_index:
                    disk = disk._replace(entries=(*disk.entries[: does.first_index - 1], *does.entries))
                if disk != Disk(raft.term, raft.vote, tuple(raft.log.entries)):
                    raise Breach(f"{NAMES[at]}: what it wrote is not what it knows: {disk}")
            self._after[key] = freeze(raft, disk), self._told.mask(does.messages)
        return self._after[key]

    def _does(self, now: Now, at: int, act: str, what: Any) -> Now:
        after, words = self._comes_to(at, now.voters[at], act, what)
        voters = (*now.voters[:at], after, *now.voters[at + 1 :])
        agreed, leaders = now.agreed, now.leaders
        prefix = after.entries[: after.agreed]
        shorter = min(len(prefix), len(agreed))
        if prefix[:shorter] != agreed[:shorter]:
            raise Breach(f"{NAMES[at]} takes {prefix} for agreed, where {agreed} is")
        agreed = max(agreed, prefix, key=len)
        if after.role == Role.LEADER.value:
            if any(term == after.term and name != NAMES[at] for term, name in leaders):
                raise Breach(f"two lead in term {after.term}: {leaders} and {NAMES[at]}")
            leaders = tuple(sorted({*leaders, (after.term, NAMES[at])}))
        return now._replace(voters=voters, told=now.told | words, agreed=agreed, leaders=leaders)

    def wrong(self, now: Now) -> str:
        for name, voter in zip(NAMES, now.voters, strict=True):
            newest = voter.role == Role.LEADER.value and voter.term == max(term for term, _ in now.leaders)
            if newest and voter.entries[: len(now.agreed)] != now.agreed:
                return f"{name} leads in term {voter.term} with {voter.entries}, and {now.agreed} is agreed"
        return ""

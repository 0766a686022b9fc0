"""The council's log: every state of three voters, days of five by seed, and planted breakages."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from cherrygrade.fleet.consensus.raft import Raft
from cherrygrade.fleet.consensus.raft_messages import (
    AppendEntries,
    AppendReply,
    LogEntry,
    PersistentState,
    RaftEffects,
    RequestVote,
    Snapshot,
)
from cherrygrade.fleet.consensus.raft_role import Role
from cherrygrade.lab.exploration.explore import explore
from cherrygrade.lab.exploration.voters import Bounds, Voters

FIVE = ("a", "b", "c", "d", "e")


class Council:
    """Voters on a queue of events; each has a disk, which is written before anything leaves."""

    def __init__(self, names: tuple[str, ...], seed: int, lost: float = 0.0, late_ms: float = 5.0) -> None:
        self.random, self.lost, self.late_ms = Random(seed), lost, late_ms
        self.now, self.turn, self.seed = 0.0, 0, seed
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.disks = {name: PersistentState(snapshot=Snapshot(voters=names)) for name in names}
        self.voters: dict[str, Raft] = {}
        self.lives = dict.fromkeys(names, 0)
        self.cut: set[frozenset[str]] = set()
        self.agreed: dict[int, LogEntry] = {}
        self.states: dict[str, list[bytes]] = {name: [] for name in names}
        for name in names:
            self.begin(name)

    def begin(self, name: str) -> None:
        self.lives[name] += 1
        disk = self.disks[name]
        self.voters[name] = Raft(name, disk, self.seed * 100 + self.lives[name], self.now)
        self.states[name] = disk.snapshot.data.split(b",") if disk.snapshot.data else []
        self.wake(name, self.lives[name])

    def crash(self, name: str) -> None:
        self.lives[name] += 1
        self.voters.pop(name, None)

    def later(self, after: float, act: Callable[..., None], *parts: Any) -> None:
        self.turn += 1
        heapq.heappush(self.queue, (self.now + after, self.turn, act, parts))

    def wake(self, name: str, life: int) -> None:
        raft = self.voters.get(name)
        if raft is not None and life == self.lives[name]:
            self.carry(name, raft.tick(self.now))
            self.later(20.0, self.wake, name, life)

    def carry(self, name: str, does: RaftEffects) -> None:
        disk = self.disks[name]
        if does.term_and_vote is not None:
            disk.term, disk.vote = does.term_and_vote
        if does.snapshot is not None:
            kept = disk.entries[max(0, does.snapshot.index - disk.snapshot.index) :]
            disk.snapshot, disk.entries = does.snapshot, kept
        if does.first_index:
            at = does.first_index - disk.snapshot.index - 1
            disk.entries = [*disk.entries[:at], *does.entries]
        raft = self.voters[name]
        on_disk = (disk.term, disk.vote, disk.snapshot, disk.entries)
        assert on_disk == (raft.term, raft.vote, raft.log.snapshot, raft.log.entries)
        if does.restored is not None:
            self.states[name] = does.restored.data.split(b",") if does.restored.data else []
        for index, entry in does.committed:
            assert self.agreed.setdefault(index, entry) == entry, "two entries agreed at one index"
            if entry.payload:
                self.states[name].append(entry.payload)
        for to, word in does.messages:
            if frozenset((name, to)) not in self.cut and self.random.random() >= self.lost:
                for _ in range(1 + (self.random.random() < self.lost)):
                    self.later(self.late_ms * self.random.random(), self.came, to, word)

    def came(self, to: str, word: Any) -> None:
        raft = self.voters.get(to)
        if raft is not None:
            self.carry(to, raft.receive(word, self.now))

    def run(self, ms: float, holds: Callable[[], bool] = lambda: False) -> bool:
        ends = self.now + ms
        while self.queue and self.queue[0][0] <= ends:
            self.now, _, act, parts = heapq.heappop(self.queue)
            act(*parts)
            if holds():
                return True
        self.now = ends
        return holds()

    def leader(self) -> Raft | None:
        leads = [raft for raft in self.voters.values() if raft.is_leader]
        return max(leads, key=lambda raft: raft.term, default=None)

    def propose(self, payload: bytes) -> bool:
        leader = self.leader()
        if leader is None:
            return False
        index, does = leader.propose(payload, self.now)
        self.carry(leader.name, does)
        return index > 0

    def split(self, some: str) -> None:
        self.cut = {frozenset((one, other)) for one in some for other in self.disks if other not in some}


# Every state.


@pytest.mark.parametrize(("bounds", "least"), [(Bounds(1, 1, 1), 30_000), (Bounds(2, 1, 1), 60_000)])
def test_three_voters_never_disagree(bounds: Bounds, least: int) -> None:
    found = explore(Voters(bounds), 60_000)
    assert not found.breach, str(found)
    assert found.states >= least


def no_look_at_logs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RequestVote, "last_log_term", property(lambda self: 10**6))


def half_is_enough(patch: pytest.MonkeyPatch) -> None:
    def is_majority(self: Raft, names: Any) -> bool:
        return 2 * len({*names} & {*self.voters}) + 1 >= len(self.voters)

    patch.setattr(Raft, "is_majority", is_majority)


def what_does_not_fit_is_taken(patch: pytest.MonkeyPatch) -> None:
    def take(self: Raft, word: AppendEntries) -> None:
        if word.prev_log_index > self.log.last_index:
            self._send(word.sender, AppendReply(self.name, self.term, False, self.log.last_index))
            return
        if word.entries:
            self._replace_from(word.prev_log_index + 1, [*word.entries])
        match = word.prev_log_index + len(word.entries)
        self._commit_up_to(min(word.commit_index, match))
        self._send(word.sender, AppendReply(self.name, self.term, True, match))

    patch.setattr(Raft, "_on_append_entries", take)


@pytest.mark.parametrize(
    ("more", "plant"),
    [
        ({"forgets": True}, None),
        ({"syncs": False}, None),
        ({}, no_look_at_logs),
        ({}, half_is_enough),
        ({}, what_does_not_fit_is_taken),
    ],
    ids=["a vote forgotten", "an answer before the disk", "old logs win", "half", "unfit"],
)
def test_planted_faults_are_found(
    more: dict[str, bool], plant: Callable[[pytest.MonkeyPatch], None] | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    if plant is not None:
        plant(monkeypatch)
    for bounds in (Bounds(2, 0, 1), Bounds(2, 1, 0), Bounds(1, 1, 1)):
        found = explore(Voters(bounds, **more), 150_000)
        if found.breach:
            return
    raise AssertionError(f"not found: {found}")


def test_entry_of_an_older_term_is_not_committed_by_replicas_alone() -> None:
    # Figure 8 of the paper: a majority has it, and who lacks it could still be elected.
    old = PersistentState(2, "", Snapshot(voters=("a", "b", "c")), [LogEntry(1, b"x")])
    raft = Raft("a", old, 1, 0.0)
    raft.start_election(0.0)
    raft._take_effects()
    raft._become_leader(0.0)
    raft._take_effects()
    raft.progress.match_index["b"] = 1
    raft._advance_commit_index()
    assert raft.commit_index == 0
    raft.progress.match_index["b"] = 2  # its own term's entry carries it
    raft._advance_commit_index()
    assert raft.commit_index == 2


# Days by seed.


@pytest.mark.parametrize("seed", range(12))
def test_five_voters_agree_through_crashes_partitions_and_message_loss(seed: int) -> None:
    council = Council(FIVE, seed, lost=0.1, late_ms=30.0)
    asked = 0
    for step in range(60):
        council.run(200.0)
        draw = council.random.random()
        if draw < 0.12 and council.voters:
            council.crash(council.random.choice(sorted(council.voters)))
        elif draw < 0.3:
            down = sorted({*FIVE} - {*council.voters})
            if down:
                council.begin(council.random.choice(down))
        elif draw < 0.4:
            council.split("".join(council.random.sample(FIVE, council.random.randint(1, 2))))
        elif draw < 0.5:
            council.cut = set()
        asked += council.propose(b"%d" % step)
        leader = council.leader()
        if leader is not None and leader.commit_index > leader.log.snapshot.index + 5:
            does = leader.compact(leader.commit_index, b",".join(council.states[leader.name]))
            council.carry(leader.name, does)
    council.cut, council.lost = set(), 0.0
    for name in {*FIVE} - {*council.voters}:
        council.begin(name)
    assert council.run(4000.0, lambda: council.leader() is not None)
    council.run(500.0)
    assert council.propose(b"last")
    assert council.run(3000.0, lambda: all(state[-1:] == [b"last"] for state in council.states.values()))
    assert len({tuple(state) for state in council.states.values()}) == 1
    assert asked > 5


def test_new_leader_is_elected_soon_after_the_leader_crashes() -> None:
    worst = 0.0
    for seed in range(100):
        council = Council(FIVE, seed)
        assert council.run(5000.0, lambda: council.leader() is not None)  # noqa: B023
        council.run(300.0)
        leader = council.leader()
        assert leader is not None
        council.crash(leader.name)
        killed = council.now
        assert council.run(5000.0, lambda: council.propose(b"again"))  # noqa: B023
        worst = max(worst, council.now - killed)
    assert worst < 3000.0, worst


def test_flapping_link_to_one_voter_causes_no_election() -> None:
    council = Council(FIVE, 3)
    council.run(3000.0)
    leader = council.leader()
    assert leader is not None
    other = next(name for name in FIVE if name != leader.name)
    term = leader.term
    for _ in range(10):
        council.split(other)
        council.run(1500.0)
        council.cut = set()
        council.run(700.0)
    assert council.leader() is leader and leader.term == term


def test_leader_in_a_minority_steps_down_and_commits_nothing() -> None:
    council = Council(FIVE, 4)
    council.run(3000.0)
    old = council.leader()
    assert old is not None
    council.split(old.name)
    council.propose(b"lost")
    agreed = old.commit_index
    council.run(3000.0)
    assert old.role is not Role.LEADER and old.commit_index == agreed
    assert council.propose(b"kept")
    council.run(500.0)
    council.cut = set()
    council.run(2000.0)
    assert all(state == [b"kept"] for state in council.states.values())


def test_voters_change_one_at_a_time_and_a_learner_votes_only_once_it_has_the_log() -> None:
    council = Council(("a", "b", "c"), 5)
    council.run(3000.0)
    leader = council.leader()
    assert leader is not None
    for index in range(10):
        council.propose(b"%d" % index)
    council.run(500.0)
    council.carry(leader.name, leader.compact(leader.commit_index, b",".join(council.states[leader.name])))
    council.disks["d"] = PersistentState()
    council.lives["d"] = 0
    council.begin("d")
    council.run(3000.0)
    assert council.voters["d"].role is Role.FOLLOWER and not council.voters["d"].elections  # it has no vote
    told, does = leader.change_voters(("a", "b", "c", "d"), council.now)
    assert not told  # it lacks the log
    council.carry(leader.name, does)
    council.carry(leader.name, leader.add_learner("d", council.now))
    council.run(500.0)
    assert council.states["d"] == [b"%d" % index for index in range(10)]
    told, does = leader.change_voters(("a", "b", "c", "d"), council.now)
    council.carry(leader.name, does)
    assert told
    again, does = leader.change_voters(("a", "b", "d"), council.now)
    council.carry(leader.name, does)
    assert not again  # the one before is not agreed yet
    council.run(500.0)
    assert council.voters["d"].voters == ("a", "b", "c", "d")
    council.crash(min({"a", "b", "c"} - {leader.name}))
    council.propose(b"by three")
    assert council.run(1000.0, lambda: council.states["d"][-1:] == [b"by three"])

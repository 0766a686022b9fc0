"""Raft: voters never commit different entries at one index, and elect a new leader soon after a failure.

Three voters are explored exhaustively within bounds, with planted faults that the exploration must find. Five
voters run on a simulated network with crashes, partitions and message loss, by seed.
"""

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
    """Voters on a simulated network and clock; each has a disk, which is written before messages are sent.

    Commits are compared: all voters must commit the same entry at an index.
    """

    def __init__(
        self, names: tuple[str, ...], seed: int, loss_probability: float = 0.0, max_delay_ms: float = 5.0
    ) -> None:
        self.random, self.loss_probability, self.max_delay_ms = Random(seed), loss_probability, max_delay_ms
        self.now, self.event_count, self.seed = 0.0, 0, seed
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.disks = {name: PersistentState(snapshot=Snapshot(voters=names)) for name in names}
        self.voters: dict[str, Raft] = {}
        self.incarnations = dict.fromkeys(names, 0)
        self.cut_links: set[frozenset[str]] = set()
        self.committed: dict[int, LogEntry] = {}
        self.states: dict[str, list[bytes]] = {name: [] for name in names}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnations[name] += 1
        disk = self.disks[name]
        self.voters[name] = Raft(name, disk, self.seed * 100 + self.incarnations[name], self.now)
        self.states[name] = disk.snapshot.data.split(b",") if disk.snapshot.data else []
        self.tick(name, self.incarnations[name])

    def crash(self, name: str) -> None:
        self.incarnations[name] += 1
        self.voters.pop(name, None)

    def schedule(self, delay_ms: float, action: Callable[..., None], *args: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.event_count, action, args))

    def tick(self, name: str, incarnation: int) -> None:
        raft = self.voters.get(name)
        if raft is not None and incarnation == self.incarnations[name]:
            self.carry_out(name, raft.tick(self.now))
            self.schedule(20.0, self.tick, name, incarnation)

    def carry_out(self, name: str, effects: RaftEffects) -> None:
        disk = self.disks[name]
        if effects.term_and_vote is not None:
            disk.term, disk.vote = effects.term_and_vote
        if effects.snapshot is not None:
            kept = disk.entries[max(0, effects.snapshot.index - disk.snapshot.index) :]
            disk.snapshot, disk.entries = effects.snapshot, kept
        if effects.first_index:
            at = effects.first_index - disk.snapshot.index - 1
            disk.entries = [*disk.entries[:at], *effects.entries]
        raft = self.voters[name]
        on_disk = (disk.term, disk.vote, disk.snapshot, disk.entries)
        assert on_disk == (raft.term, raft.vote, raft.log.snapshot, raft.log.entries)
        if effects.restored is not None:
            self.states[name] = effects.restored.data.split(b",") if effects.restored.data else []
        for index, entry in effects.committed:
            assert self.committed.setdefault(index, entry) == entry, "two entries committed at one index"
            if entry.payload:
                self.states[name].append(entry.payload)
        for to, message in effects.messages:
            if frozenset((name, to)) not in self.cut_links and self.random.random() >= self.loss_probability:
                for _ in range(1 + (self.random.random() < self.loss_probability)):
                    self.schedule(self.max_delay_ms * self.random.random(), self.deliver, to, message)

    def deliver(self, to: str, message: Any) -> None:
        raft = self.voters.get(to)
        if raft is not None:
            self.carry_out(to, raft.receive(message, self.now))

    def run(self, ms: float, until: Callable[[], bool] = lambda: False) -> bool:
        ends_at = self.now + ms
        while self.queue and self.queue[0][0] <= ends_at:
            self.now, _, action, args = heapq.heappop(self.queue)
            action(*args)
            if until():
                return True
        self.now = ends_at
        return until()

    def leader(self) -> Raft | None:
        leaders = [raft for raft in self.voters.values() if raft.is_leader]
        return max(leaders, key=lambda raft: raft.term, default=None)

    def propose(self, payload: bytes) -> bool:
        leader = self.leader()
        if leader is None:
            return False
        index, effects = leader.propose(payload, self.now)
        self.carry_out(leader.name, effects)
        return index > 0

    def split(self, names: str) -> None:
        self.cut_links = {
            frozenset((one, other)) for one in names for other in self.disks if other not in names
        }


@pytest.mark.parametrize(("bounds", "min_states"), [(Bounds(1, 1, 1), 30_000), (Bounds(2, 1, 1), 60_000)])
def test_three_voters_never_disagree(bounds: Bounds, min_states: int) -> None:
    result = explore(Voters(bounds), 60_000)
    assert not result.breach, str(result)
    assert result.states >= min_states


def candidate_claims_newest_log(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RequestVote, "last_log_term", property(lambda self: 10**6))


def half_counts_as_majority(patch: pytest.MonkeyPatch) -> None:
    def is_majority(self: Raft, names: Any) -> bool:
        return 2 * len({*names} & {*self.voters}) + 1 >= len(self.voters)

    patch.setattr(Raft, "is_majority", is_majority)


def entries_are_appended_without_match(patch: pytest.MonkeyPatch) -> None:
    def on_append_entries(self: Raft, message: AppendEntries) -> None:
        if message.prev_log_index > self.log.last_index:
            self._send(message.sender, AppendReply(self.name, self.term, False, self.log.last_index))
            return
        if message.entries:
            self._replace_from(message.prev_log_index + 1, [*message.entries])
        match_index = message.prev_log_index + len(message.entries)
        self._commit_up_to(min(message.commit_index, match_index))
        self._send(message.sender, AppendReply(self.name, self.term, True, match_index))

    patch.setattr(Raft, "_on_append_entries", on_append_entries)


@pytest.mark.parametrize(
    ("options", "plant_fault"),
    [
        ({"forgets": True}, None),
        ({"syncs": False}, None),
        ({}, candidate_claims_newest_log),
        ({}, half_counts_as_majority),
        ({}, entries_are_appended_without_match),
    ],
    ids=[
        "vote is forgotten",
        "reply before the write",
        "older log wins",
        "half is a majority",
        "unmatched entries",
    ],
)
def test_planted_faults_are_found(
    options: dict[str, bool],
    plant_fault: Callable[[pytest.MonkeyPatch], None] | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if plant_fault is not None:
        plant_fault(monkeypatch)
    for bounds in (Bounds(2, 0, 1), Bounds(2, 1, 0), Bounds(1, 1, 1)):
        result = explore(Voters(bounds, **options), 150_000)
        if result.breach:
            return
    raise AssertionError(f"not found: {result}")


def test_entry_of_an_older_term_is_not_committed_by_replicas_alone() -> None:
    # Figure 8 of the paper: a majority has the entry, and yet a voter without it could still be elected.
    stored = PersistentState(2, "", Snapshot(voters=("a", "b", "c")), [LogEntry(1, b"x")])
    raft = Raft("a", stored, 1, 0.0)
    raft.start_election(0.0)
    raft._take_effects()
    raft._become_leader(0.0)
    raft._take_effects()
    raft.progress.match_index["b"] = 1
    raft._advance_commit_index()
    assert raft.commit_index == 0
    raft.progress.match_index["b"] = 2  # the majority has an entry of the leader's own term too
    raft._advance_commit_index()
    assert raft.commit_index == 2


@pytest.mark.parametrize("seed", range(12))
def test_five_voters_agree_through_crashes_partitions_and_message_loss(seed: int) -> None:
    council = Council(FIVE, seed, loss_probability=0.1, max_delay_ms=30.0)
    proposed_count = 0
    for step in range(60):
        council.run(200.0)
        draw = council.random.random()
        if draw < 0.12 and council.voters:
            council.crash(council.random.choice(sorted(council.voters)))
        elif draw < 0.3:
            down = sorted({*FIVE} - {*council.voters})
            if down:
                council.start(council.random.choice(down))
        elif draw < 0.4:
            council.split("".join(council.random.sample(FIVE, council.random.randint(1, 2))))
        elif draw < 0.5:
            council.cut_links = set()
        proposed_count += council.propose(b"%d" % step)
        leader = council.leader()
        if leader is not None and leader.commit_index > leader.log.snapshot.index + 5:
            effects = leader.compact(leader.commit_index, b",".join(council.states[leader.name]))
            council.carry_out(leader.name, effects)
    council.cut_links, council.loss_probability = set(), 0.0
    for name in {*FIVE} - {*council.voters}:
        council.start(name)
    assert council.run(4000.0, lambda: council.leader() is not None)
    council.run(500.0)
    assert council.propose(b"last")
    assert council.run(3000.0, lambda: all(state[-1:] == [b"last"] for state in council.states.values()))
    assert len({tuple(state) for state in council.states.values()}) == 1
    assert proposed_count > 5


def test_new_leader_is_elected_soon_after_the_leader_crashes() -> None:
    longest_ms = 0.0
    for seed in range(100):
        council = Council(FIVE, seed)
        assert council.run(5000.0, lambda: council.leader() is not None)  # noqa: B023
        council.run(300.0)
        leader = council.leader()
        assert leader is not None
        council.crash(leader.name)
        crashed_at_ms = council.now
        assert council.run(5000.0, lambda: council.propose(b"again"))  # noqa: B023
        longest_ms = max(longest_ms, council.now - crashed_at_ms)
    assert longest_ms < 3000.0, longest_ms


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
        council.cut_links = set()
        council.run(700.0)
    assert council.leader() is leader and leader.term == term


def test_leader_in_a_minority_steps_down_and_commits_nothing() -> None:
    council = Council(FIVE, 4)
    council.run(3000.0)
    old_leader = council.leader()
    assert old_leader is not None
    council.split(old_leader.name)
    council.propose(b"lost")
    commit_index = old_leader.commit_index
    council.run(3000.0)
    assert old_leader.role is not Role.LEADER and old_leader.commit_index == commit_index
    assert council.propose(b"kept")
    council.run(500.0)
    council.cut_links = set()
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
    council.carry_out(
        leader.name, leader.compact(leader.commit_index, b",".join(council.states[leader.name]))
    )
    council.disks["d"] = PersistentState()
    council.incarnations["d"] = 0
    council.start("d")
    council.run(3000.0)
    assert council.voters["d"].role is Role.FOLLOWER and not council.voters["d"].elections  # it has no vote
    changed, effects = leader.change_voters(("a", "b", "c", "d"), council.now)
    assert not changed  # the learner lacks the log
    council.carry_out(leader.name, effects)
    council.carry_out(leader.name, leader.add_learner("d", council.now))
    council.run(500.0)
    assert council.states["d"] == [b"%d" % index for index in range(10)]
    changed, effects = leader.change_voters(("a", "b", "c", "d"), council.now)
    council.carry_out(leader.name, effects)
    assert changed
    again, effects = leader.change_voters(("a", "b", "d"), council.now)
    council.carry_out(leader.name, effects)
    assert not again  # the previous change is not committed yet
    council.run(500.0)
    assert council.voters["d"].voters == ("a", "b", "c", "d")
    council.crash(min({"a", "b", "c"} - {leader.name}))
    council.propose(b"by three")
    assert council.run(1000.0, lambda: council.states["d"][-1:] == [b"by three"])

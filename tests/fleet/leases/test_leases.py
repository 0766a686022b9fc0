"""Leases: no two holders may ever act for one task.

The tests cover elections, partitions, lost replies and restarts of voters and holders. The council's log
grants leases and its leader renews them in memory. A lease ends by the clocks of both the holder and the
leader, and the holder must stop first.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cherrygrade.fleet.consensus.council_messages import (
    AcquireLease,
    CouncilStatus,
    LeaseAcquired,
    LeasesRenewed,
    NotLeader,
    ReleaseLease,
    RenewLeases,
    ShowCouncil,
)
from cherrygrade.fleet.consensus.raft_messages import PersistentState
from cherrygrade.fleet.consensus.voter import Voter, founding_snapshot
from cherrygrade.fleet.leases.lease_client import LeaseClient
from cherrygrade.fleet.leases.lease_holder import SEND_MARGIN_MS, LeaseHolder, rendezvous_rank
from cherrygrade.fleet.leases.lease_table import Acquire, LeaseTable, Release

NAMES = ["a", "b", "c"]
DURATION_MS, DRIFT = 3000.0, 0.005


class Council:
    """Three voters in one process; a message arrives at once unless its sender or receiver is partitioned."""

    def __init__(self) -> None:
        self.now = 0.0
        self.disks = {name: PersistentState(0, "", founding_snapshot(NAMES), []) for name in NAMES}
        self.voters = {name: self._voter(name) for name in NAMES}
        self.cut: set[str] = set()
        self.answers: list[object] = []

    def _voter(self, name: str) -> Voter:
        disk = self.disks[name]
        stored = PersistentState(disk.term, disk.vote, disk.snapshot, [*disk.entries])
        return Voter(f"{name}/0", stored, NAMES, 1, self.now, DRIFT)

    def restart(self, name: str) -> None:
        self.voters[name] = self._voter(name)

    def do(self, name: str, effects) -> None:
        disk = self.disks[name]
        for raft_effects in effects.raft_effects:
            if raft_effects.term_and_vote is not None:
                disk.term, disk.vote = raft_effects.term_and_vote
            if raft_effects.snapshot is not None:
                compacted_count = raft_effects.snapshot.index - disk.snapshot.index
                disk.snapshot, disk.entries = raft_effects.snapshot, disk.entries[compacted_count:]
            if raft_effects.first_index:
                disk.entries = (
                    disk.entries[: raft_effects.first_index - disk.snapshot.index - 1] + raft_effects.entries
                )
        self.answers += [reply for _, reply in effects.replies]
        for to, message in effects.messages:
            receiver = to.partition("/")[0]
            if not {name, receiver} & self.cut:
                self.do(receiver, self.voters[receiver].receive(message, self.now))

    def pass_ms(self, ms: float) -> None:
        ends_at = self.now + ms
        while self.now < ends_at:
            self.now += 10.0
            for name, voter in self.voters.items():
                if self.now >= voter.next_deadline():
                    self.do(name, voter.tick(self.now))

    def leader(self) -> str:
        for _ in range(100):
            leaders = [n for n, v in self.voters.items() if v.raft.is_leader and n not in self.cut]
            if leaders:
                return leaders[0]
            self.pass_ms(100.0)
        raise AssertionError("no leader within 10 s")

    def ask(self, request, name: str = ""):
        self.answers.clear()
        name = name or self.leader()
        self.do(name, self.voters[name].request(request, "asker", self.now))
        self.pass_ms(60.0)
        return self.answers[0] if self.answers else None

    def acquire(self, holder: LeaseHolder, task: str) -> bool:
        request_id = holder.start_request(self.now, task)
        reply = self.ask(AcquireLease(request_id, task, holder.name, holder.incarnation, DURATION_MS))
        assert isinstance(reply, LeaseAcquired)
        return holder.record_grant(request_id, task, reply.outcome.number, self.now)

    def renew(self, holder: LeaseHolder) -> None:
        request_id, held_digest = holder.start_renewal(self.now)
        reply = self.ask(RenewLeases(request_id, holder.name, holder.incarnation, held_digest))
        if isinstance(reply, LeasesRenewed):
            holder.record_renewal(request_id, reply.numbers, self.now, reply.unchanged)


def test_task_is_granted_again_only_after_its_lease_expired_at_the_holder_and_at_the_leader():
    council, holder, other_holder = (
        Council(),
        LeaseHolder("x", 1, DURATION_MS, DRIFT),
        LeaseHolder("y", 1, DURATION_MS, DRIFT),
    )
    assert council.acquire(holder, "t") and not council.acquire(other_holder, "t")
    number = holder.fencing_number("t", council.now)
    expires_at = holder.held["t"].expires_at
    while council.voters[council.leader()].state_machine.leases.leases:
        council.pass_ms(10.0)
    assert council.now > expires_at + SEND_MARGIN_MS  # the holder stopped before the leader ended the lease
    assert not holder.fencing_number("t", council.now)
    assert council.acquire(other_holder, "t") and other_holder.fencing_number("t", council.now) > number


def test_one_renewal_extends_all_leases_of_an_incarnation_and_writes_no_log_entry():
    council, holder = Council(), LeaseHolder("x", 1, DURATION_MS, DRIFT)
    for task in range(50):
        assert council.acquire(holder, f"t{task}")
    before = council.voters[council.leader()].raft.log.last_index
    for _ in range(10):
        council.pass_ms(1000.0)
        council.renew(holder)
    request_id, held_digest = holder.start_renewal(council.now)
    reply = council.ask(RenewLeases(request_id, "x", 1, held_digest))
    assert isinstance(reply, LeasesRenewed) and reply.unchanged and not reply.numbers
    assert len(holder.held) == 50 and council.voters[council.leader()].raft.log.last_index == before
    assert all(holder.fencing_number(f"t{task}", council.now) for task in range(50))


def test_deposed_leader_renews_no_lease():
    council, holder = Council(), LeaseHolder("x", 1, DURATION_MS, DRIFT)
    assert council.acquire(holder, "t")
    old_leader = council.leader()
    council.cut = {old_leader}
    council.answers.clear()
    council.do(
        old_leader,
        council.voters[old_leader].request(
            RenewLeases(holder.start_request(council.now), "x", 1), "asker", council.now
        ),
    )
    council.pass_ms(2000.0)
    assert not any(isinstance(reply, LeasesRenewed) for reply in council.answers)
    assert isinstance(council.answers[0], NotLeader)


def test_new_leader_counts_the_full_duration_of_each_lease_from_the_start_of_its_leadership():
    # The old leader may have renewed a lease right before; the new one does not know of it.
    council, holder = Council(), LeaseHolder("x", 1, DURATION_MS, DRIFT)
    assert council.acquire(holder, "t")
    council.pass_ms(2500.0)
    council.renew(holder)  # the old leader replies at 2.5 s
    expires_at = holder.held["t"].expires_at
    council.cut = {council.leader()}
    council.leader()
    while council.voters[council.leader()].state_machine.leases.leases:
        council.pass_ms(10.0)
    assert council.now > expires_at + SEND_MARGIN_MS


def test_repeated_request_is_granted_once_and_its_lease_counts_from_the_first_request():
    council, holder = Council(), LeaseHolder("x", 1, DURATION_MS, DRIFT)
    request_id = holder.start_request(council.now)
    request = AcquireLease(request_id, "t", "x", 1, DURATION_MS)
    first = council.ask(request)  # this reply is lost
    council.pass_ms(1000.0)
    again = council.ask(request)
    assert (
        isinstance(first, LeaseAcquired)
        and isinstance(again, LeaseAcquired)
        and first.outcome.number == again.outcome.number
    )
    requested_at = holder.requested_at[request_id]
    assert holder.record_grant(request_id, "t", again.outcome.number, council.now)
    assert holder.held["t"].expires_at == requested_at + DURATION_MS * (1.0 - DRIFT) - SEND_MARGIN_MS


def test_new_incarnation_does_not_take_over_leases_of_the_previous_one():
    council, old, new = (
        Council(),
        LeaseHolder("x", 1, DURATION_MS, DRIFT),
        LeaseHolder("x", 2, DURATION_MS, DRIFT),
    )
    assert council.acquire(old, "t") and not council.acquire(new, "t")
    council.renew(new)
    assert council.voters[council.leader()].state_machine.leases.numbers_of("x", 1)


def test_lease_is_not_released_while_an_order_is_in_flight():
    council, holder, other_holder = (
        Council(),
        LeaseHolder("x", 1, DURATION_MS, DRIFT),
        LeaseHolder("y", 1, DURATION_MS, DRIFT),
    )
    assert council.acquire(holder, "t")
    number = holder.fencing_number("t", council.now)
    holder.track_order("t", number, 1)
    assert holder.release("t") == 0
    holder.track_order("t", number, -1)
    assert holder.release("t") == number
    council.ask(ReleaseLease(holder.start_request(council.now), "t", number))
    assert council.acquire(other_holder, "t")


def test_lease_that_the_council_records_but_its_holder_does_not_hold_is_released():
    # The leader renews all leases of an incarnation at once, also one that has expired at the holder
    # or whose grant never reached it. Without a release nobody would do those tasks while others are renewed.
    council, holder, other_holder = (
        Council(),
        LeaseHolder("x", 1, DURATION_MS, DRIFT),
        LeaseHolder("y", 1, DURATION_MS, DRIFT),
    )
    assert council.acquire(holder, "lapsed")
    late_request_id = holder.start_request(council.now, "unheard")
    lost_grant = council.ask(AcquireLease(late_request_id, "unheard", "x", 1, DURATION_MS))
    council.pass_ms(2900.0)
    assert council.acquire(holder, "kept")
    council.pass_ms(60.0)
    holder.tick(council.now)
    assert [*holder.held] == ["kept"]
    council.renew(holder)
    assert {*holder.unheld} == {"lapsed", "unheard"}
    assert isinstance(lost_grant, LeaseAcquired)
    # The reply that grants the lease arrives after all, but too late.
    assert not holder.record_grant(late_request_id, "unheard", lost_grant.outcome.number, council.now)
    for task, number in holder.unheld.items():
        council.ask(ReleaseLease(holder.start_request(council.now), task, number))
        assert council.acquire(other_holder, task)


def test_backoff_of_a_task_doubles_with_each_failure_and_the_refusal_names_the_reason():
    table = LeaseTable()
    backoffs_ms, at = [], 0.0
    for attempt in range(4):
        number = 10 * attempt + 1
        assert table.apply(number, Acquire(at, f"i{attempt}", "t", "x", 1, DURATION_MS)).number == number
        table.apply(number + 1, Release(at, "t", number, "its node is silent"))
        refused = table.apply(number + 2, Acquire(at, f"j{attempt}", "t", "y", 1, DURATION_MS))
        assert not refused.number and "its node is silent" in refused.refusal
        backoffs_ms.append(refused.retry_after_ms)
        at += refused.retry_after_ms
    assert backoffs_ms == [1000.0, 2000.0, 4000.0, 8000.0]
    assert table.apply(99, Acquire(at, "k", "t", "y", 1, DURATION_MS)).number == 99
    table.apply(100, Release(at, "t", 99))
    assert not table.failed_tasks  # a release without a failure ends the backoff


def test_leader_shows_leases_and_voters_and_another_voter_names_the_leader():
    council, holder = Council(), LeaseHolder("x", 1, DURATION_MS, DRIFT)
    assert council.acquire(holder, "t")
    shown = council.ask(ShowCouncil("s"))
    assert isinstance(shown, CouncilStatus) and shown.leases[0][:2] == ("t", "x") and len(shown.voters) == 3
    other = next(name for name in NAMES if name != council.leader())
    refused = council.ask(ShowCouncil("s"), other)
    assert isinstance(refused, NotLeader) and refused.leader == council.leader()


def test_lease_outlasts_a_snapshot_and_a_restart_of_all_voters():
    council, holder = Council(), LeaseHolder("x", 1, DURATION_MS, DRIFT)
    for task in range(300):
        assert council.acquire(holder, f"t{task}")
        council.renew(holder)
        if task != 150:
            number = holder.release(f"t{task}")
            council.ask(ReleaseLease(holder.start_request(council.now), f"t{task}", number))
    leader = council.leader()
    assert council.disks[leader].snapshot.index > 0
    for name in NAMES:
        council.restart(name)
    council.leader()
    council.pass_ms(200.0)
    assert [*council.voters[council.leader()].state_machine.leases.leases] == ["t150"]


def test_voter_with_a_new_store_replaces_the_voter_of_its_name_and_a_stranger_is_not_added():
    council = Council()
    council.leader()
    lost = next(name for name in NAMES if name != council.leader())
    council.disks[lost] = PersistentState()
    council.voters[lost] = Voter(f"{lost}/9", PersistentState(), NAMES, 1, council.now, DRIFT)
    for _ in range(20):
        leader = council.leader()
        council.do(leader, council.voters[leader].admit(f"{lost}/9", council.now))
        council.pass_ms(100.0)
    expected = sorted(f"{name}/{9 if name == lost else 0}" for name in NAMES)
    assert sorted(council.voters[council.leader()].raft.voters) == expected
    last_leader = council.leader()
    council.do(last_leader, council.voters[last_leader].admit("stranger/1", council.now))
    council.pass_ms(500.0)
    assert len(council.voters[council.leader()].raft.voters) == 3


def test_tasks_are_spread_over_living_members_and_those_of_a_failed_one_over_many():
    living = [f"d{number}" for number in range(20)]
    tasks = [f"warm/n{number}" for number in range(400)]
    owners = {task: min(living, key=lambda name: rendezvous_rank(task, living, name)) for task in tasks}
    counts = [sum(owner == name for owner in owners.values()) for name in living]
    assert min(counts) >= 8 and max(counts) <= 36
    remaining = [name for name in living if name != "d3"]
    new_owners = {
        task: min(remaining, key=lambda name: rendezvous_rank(task, remaining, name)) for task in tasks
    }
    moved = [task for task in tasks if new_owners[task] != owners[task]]
    assert {owners[task] for task in moved} == {"d3"} and len({new_owners[task] for task in moved}) >= 8


class LeaseScenario(RuleBasedStateMachine):
    """Three voters, three holders whose clocks run at different rates, and two tasks.

    Hypothesis takes random steps in any order. After each step at most one holder may act for a task, and
    fencing numbers never decrease.
    """

    def __init__(self) -> None:
        super().__init__()
        self.council = Council()
        self.clock_rates = {"x": 1.0 - 0.9 * DRIFT, "y": 1.0, "z": 1.0 + 0.9 * DRIFT}
        self.holders = {name: LeaseHolder(name, 1, DURATION_MS, DRIFT) for name in self.clock_rates}
        self.highest_numbers: dict[str, int] = {}

    def clock_of(self, name: str) -> float:
        return self.council.now * self.clock_rates[name]

    def request_any_leader(self, request) -> object:
        """Send a request to every voter that considers itself the leader, partitioned off or not."""
        self.council.answers.clear()
        for name, voter in self.council.voters.items():
            if voter.raft.is_leader:
                self.council.do(name, voter.request(request, "asker", self.council.now))
        self.council.pass_ms(50.0)
        return next((reply for reply in self.council.answers if not isinstance(reply, NotLeader)), None)

    @rule(name=st.sampled_from("xyz"), task=st.sampled_from("tu"), lost=st.booleans(), late=st.booleans())
    def acquire(self, name: str, task: str, lost: bool, late: bool) -> None:
        holder = self.holders[name]
        request_id = holder.start_request(self.clock_of(name), task)
        reply = self.request_any_leader(AcquireLease(request_id, task, name, holder.incarnation, DURATION_MS))
        self.council.pass_ms(1500.0 * late)
        if isinstance(reply, LeaseAcquired) and not lost:
            holder.record_grant(request_id, task, reply.outcome.number, self.clock_of(name))

    @rule(name=st.sampled_from("xyz"), late=st.booleans())
    def renew(self, name: str, late: bool) -> None:
        holder = self.holders[name]
        request_id, held_digest = holder.start_renewal(self.clock_of(name))
        reply = self.request_any_leader(RenewLeases(request_id, name, holder.incarnation, held_digest))
        self.council.pass_ms(1500.0 * late)
        if isinstance(reply, LeasesRenewed):
            holder.record_renewal(request_id, reply.numbers, self.clock_of(name), reply.unchanged)
        unheld, holder.unheld = holder.unheld, {}
        for task, number in unheld.items():
            self.request_any_leader(ReleaseLease(holder.start_request(self.clock_of(name)), task, number))

    @rule(name=st.sampled_from("xyz"), task=st.sampled_from("tu"))
    def release(self, name: str, task: str) -> None:
        if number := self.holders[name].release(task):
            self.request_any_leader(
                ReleaseLease(self.holders[name].start_request(self.clock_of(name)), task, number)
            )

    @rule(ms=st.sampled_from([100.0, 700.0, 1500.0, 3100.0]))
    def wait(self, ms: float) -> None:
        self.council.pass_ms(ms)

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=2))
    def partition(self, names: set[str]) -> None:
        self.council.cut = names

    @rule(name=st.sampled_from(NAMES))
    def restart_voter(self, name: str) -> None:
        self.council.restart(name)

    @rule(name=st.sampled_from("xyz"))
    def restart_holder(self, name: str) -> None:
        self.holders[name] = LeaseHolder(name, self.holders[name].incarnation + 1, DURATION_MS, DRIFT)

    @invariant()
    def at_most_one_holder_acts(self) -> None:
        for task in "tu":
            numbers = [
                active_number
                for name, holder in self.holders.items()
                if (active_number := holder.fencing_number(task, self.clock_of(name)))
            ]
            assert len(numbers) <= 1
            for number in numbers:
                assert number >= self.highest_numbers.get(task, 0)
                self.highest_numbers[task] = number


TestLeaseScenario = LeaseScenario.TestCase
TestLeaseScenario.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def test_polls_are_rare_while_nothing_changes_and_frequent_after_a_member_failed():
    client, living, now = LeaseClient("a", 1, 0.0), ["a", "b", "c"], 0.0
    for index in range(40):
        client.add_task(f"t{index}")
    poll_counts = {"early": 0, "idle": 0, "late": 0}
    while now < 100_000.0:
        now += 50.0
        part = "early" if now < 15_000.0 else "idle" if now < 80_000.0 else "late"
        polled = client.poll(now, living if now < 80_000.0 else ["a", "b"], set())
        poll_counts[part] += bool(polled)
        client.tasks_to_acquire(polled, [], living, now)
    assert poll_counts["idle"] <= 65_000 / 3000 and poll_counts["late"] >= 30 and poll_counts["early"] >= 30
    first = next(task for task in client.tasks if client.rank(task, ["a", "b"]) == 0)
    second = next(task for task in client.tasks if client.rank(task, ["a", "b"]) == 1)
    assert client.tasks_to_acquire([first, second], [first, second], ["a", "b"], now) == [first]
    # The member of rank 0 left the task free, so that this one acquires it.
    assert client.tasks_to_acquire([second], [second], ["a", "b"], now) == [second]
    client.poll(now + 10_000.0, ["a", "b"], {first, second})
    assert not client.times_seen_free  # a task that is held here does not keep polls frequent

"""Leases: granted by the council's log, renewed by its leader's memory, ended by two clocks."""

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
TTL, DRIFT = 3000.0, 0.005


class Council:
    """Three voters in one process; words arrive at once unless their sender or hearer is cut off."""

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

    def do(self, name: str, does) -> None:
        disk = self.disks[name]
        for step in does.raft_effects:
            if step.term_and_vote is not None:
                disk.term, disk.vote = step.term_and_vote
            if step.snapshot is not None:
                drop = step.snapshot.index - disk.snapshot.index
                disk.snapshot, disk.entries = step.snapshot, disk.entries[drop:]
            if step.first_index:
                disk.entries = disk.entries[: step.first_index - disk.snapshot.index - 1] + step.entries
        self.answers += [answer for _, answer in does.replies]
        for to, word in does.messages:
            near = to.partition("/")[0]
            if not {name, near} & self.cut:
                self.do(near, self.voters[near].receive(word, self.now))

    def pass_ms(self, ms: float) -> None:
        ends = self.now + ms
        while self.now < ends:
            self.now += 10.0
            for name, voter in self.voters.items():
                if self.now >= voter.next_deadline():
                    self.do(name, voter.tick(self.now))

    def leader(self) -> str:
        for _ in range(100):
            found = [n for n, v in self.voters.items() if v.raft.is_leader and n not in self.cut]
            if found:
                return found[0]
            self.pass_ms(100.0)
        raise AssertionError("nobody leads")

    def ask(self, ask, name: str = ""):
        self.answers.clear()
        name = name or self.leader()
        self.do(name, self.voters[name].request(ask, "asker", self.now))
        self.pass_ms(60.0)
        return self.answers[0] if self.answers else None

    def take(self, holding: LeaseHolder, task: str) -> bool:
        asked = holding.start_request(self.now, task)
        answer = self.ask(AcquireLease(asked, task, holding.name, holding.incarnation, TTL))
        assert isinstance(answer, LeaseAcquired)
        return holding.record_grant(asked, task, answer.outcome.number, self.now)

    def renew(self, holding: LeaseHolder) -> None:
        asked, same = holding.start_renewal(self.now)
        answer = self.ask(RenewLeases(asked, holding.name, holding.incarnation, same))
        if isinstance(answer, LeasesRenewed):
            holding.record_renewal(asked, answer.numbers, self.now, answer.unchanged)


def test_one_holds_a_task_and_the_next_one_once_its_time_is_counted_out_by_both():
    council, one, two = Council(), LeaseHolder("x", 1, TTL, DRIFT), LeaseHolder("y", 1, TTL, DRIFT)
    assert council.take(one, "t") and not council.take(two, "t")
    number = one.fencing_number("t", council.now)
    ends = one.held["t"].expires_at
    while council.voters[council.leader()].state_machine.leases.leases:
        council.pass_ms(10.0)
    assert council.now > ends + SEND_MARGIN_MS  # it stopped before it was freed
    assert not one.fencing_number("t", council.now)
    assert council.take(two, "t") and two.fencing_number("t", council.now) > number


def test_renewals_write_nothing_and_hold_all_of_a_lifes_leases():
    council, one = Council(), LeaseHolder("x", 1, TTL, DRIFT)
    for at in range(50):
        assert council.take(one, f"t{at}")
    before = council.voters[council.leader()].raft.log.last_index
    for _ in range(10):
        council.pass_ms(1000.0)
        council.renew(one)
    asked, same = one.start_renewal(council.now)
    short = council.ask(RenewLeases(asked, "x", 1, same))
    assert isinstance(short, LeasesRenewed) and short.unchanged and not short.numbers
    assert len(one.held) == 50 and council.voters[council.leader()].raft.log.last_index == before
    assert all(one.fencing_number(f"t{at}", council.now) for at in range(50))


def test_a_leader_that_was_deposed_renews_nothing():
    council, one = Council(), LeaseHolder("x", 1, TTL, DRIFT)
    assert council.take(one, "t")
    old = council.leader()
    council.cut = {old}
    council.answers.clear()
    council.do(
        old,
        council.voters[old].request(
            RenewLeases(one.start_request(council.now), "x", 1), "asker", council.now
        ),
    )
    council.pass_ms(2000.0)
    assert not any(isinstance(answer, LeasesRenewed) for answer in council.answers)
    assert isinstance(council.answers[0], NotLeader)


def test_a_new_leader_counts_anew_what_the_old_one_may_have_renewed_last():
    council, one = Council(), LeaseHolder("x", 1, TTL, DRIFT)
    assert council.take(one, "t")
    council.pass_ms(2500.0)
    council.renew(one)  # answered by the old leader at 2.5 s
    ends = one.held["t"].expires_at
    council.cut = {council.leader()}
    council.leader()
    while council.voters[council.leader()].state_machine.leases.leases:
        council.pass_ms(10.0)
    assert council.now > ends + SEND_MARGIN_MS


def test_an_ask_put_again_counts_from_its_first_time_and_is_done_once():
    council, one = Council(), LeaseHolder("x", 1, TTL, DRIFT)
    asked = one.start_request(council.now)
    ask = AcquireLease(asked, "t", "x", 1, TTL)
    first = council.ask(ask)  # and its answer is lost
    council.pass_ms(1000.0)
    again = council.ask(ask)
    assert (
        isinstance(first, LeaseAcquired)
        and isinstance(again, LeaseAcquired)
        and first.outcome.number == again.outcome.number
    )
    begun = one.requested_at[asked]
    assert one.record_grant(asked, "t", again.outcome.number, council.now)
    assert one.held["t"].expires_at == begun + TTL * (1.0 - DRIFT) - SEND_MARGIN_MS


def test_another_life_of_the_holder_is_another_holder():
    council, old, new = Council(), LeaseHolder("x", 1, TTL, DRIFT), LeaseHolder("x", 2, TTL, DRIFT)
    assert council.take(old, "t") and not council.take(new, "t")
    council.renew(new)
    assert council.voters[council.leader()].state_machine.leases.numbers_of("x", 1)


def test_a_task_is_not_given_back_while_an_order_is_out():
    council, one, two = Council(), LeaseHolder("x", 1, TTL, DRIFT), LeaseHolder("y", 1, TTL, DRIFT)
    assert council.take(one, "t")
    number = one.fencing_number("t", council.now)
    one.track_order("t", number, 1)
    assert one.release("t") == 0
    one.track_order("t", number, -1)
    assert one.release("t") == number
    council.ask(ReleaseLease(one.start_request(council.now), "t", number))
    assert council.take(two, "t")


def test_what_lapsed_or_was_never_heard_of_goes_back_though_its_life_renews_others():
    # A leader died; two of three leases of a life were over before the next one led, the third was renewed,
    # and with it, at the leader, the two that nobody did any more.
    council, one, two = Council(), LeaseHolder("x", 1, TTL, DRIFT), LeaseHolder("y", 1, TTL, DRIFT)
    assert council.take(one, "lapsed")
    late = one.start_request(council.now, "unheard")
    unheard = council.ask(AcquireLease(late, "unheard", "x", 1, TTL))
    council.pass_ms(2900.0)
    assert council.take(one, "kept")
    council.pass_ms(60.0)
    one.tick(council.now)
    assert [*one.held] == ["kept"]
    council.renew(one)
    assert {*one.unheld} == {"lapsed", "unheard"}
    assert isinstance(unheard, LeaseAcquired)
    assert not one.record_grant(
        late, "unheard", unheard.outcome.number, council.now
    )  # it comes after all: too late
    for task, number in one.unheld.items():
        council.ask(ReleaseLease(one.start_request(council.now), task, number))
        assert council.take(two, task)


def test_a_task_that_fails_again_and_again_rests_longer_and_is_shown():
    grants = LeaseTable()
    rests, at = [], 0.0
    for turn_ in range(4):
        number = 10 * turn_ + 1
        assert grants.apply(number, Acquire(at, f"i{turn_}", "t", "x", 1, TTL)).number == number
        grants.apply(number + 1, Release(at, "t", number, "its node is silent"))
        told = grants.apply(number + 2, Acquire(at, f"j{turn_}", "t", "y", 1, TTL))
        assert not told.number and "its node is silent" in told.refusal
        rests.append(told.retry_after_ms)
        at += told.retry_after_ms
    assert rests == [1000.0, 2000.0, 4000.0, 8000.0]
    assert grants.apply(99, Acquire(at, "k", "t", "y", 1, TTL)).number == 99
    grants.apply(100, Release(at, "t", 99))
    assert not grants.failed_tasks  # done at last


def test_a_leader_shows_who_holds_what():
    council, one = Council(), LeaseHolder("x", 1, TTL, DRIFT)
    assert council.take(one, "t")
    shown = council.ask(ShowCouncil("s"))
    assert isinstance(shown, CouncilStatus) and shown.leases[0][:2] == ("t", "x") and len(shown.voters) == 3
    other = next(name for name in NAMES if name != council.leader())
    told = council.ask(ShowCouncil("s"), other)
    assert isinstance(told, NotLeader) and told.leader == council.leader()


def test_what_was_granted_is_there_after_all_have_restarted_and_after_a_snapshot():
    council, one = Council(), LeaseHolder("x", 1, TTL, DRIFT)
    for at in range(300):
        assert council.take(one, f"t{at}")
        council.renew(one)
        if at != 150:
            number = one.release(f"t{at}")
            council.ask(ReleaseLease(one.start_request(council.now), f"t{at}", number))
    leader = council.leader()
    assert council.disks[leader].snapshot.index > 0
    for name in NAMES:
        council.restart(name)
    council.leader()
    council.pass_ms(200.0)
    assert [*council.voters[council.leader()].state_machine.leases.leases] == ["t150"]


def test_a_voter_that_lost_its_store_is_let_in_and_takes_its_old_marks_place():
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
    stranger = council.leader()
    council.do(stranger, council.voters[stranger].admit("stranger/1", council.now))
    council.pass_ms(500.0)
    assert len(council.voters[council.leader()].raft.voters) == 3


def test_tasks_are_spread_over_the_living_and_a_dead_ones_go_to_many():
    living = [f"d{at}" for at in range(20)]
    tasks = [f"warm/n{at}" for at in range(400)]
    first = {task: min(living, key=lambda name: rendezvous_rank(task, living, name)) for task in tasks}
    counts = [sum(one == name for one in first.values()) for name in living]
    assert min(counts) >= 8 and max(counts) <= 36
    rest = [name for name in living if name != "d3"]
    after = {task: min(rest, key=lambda name: rendezvous_rank(task, rest, name)) for task in tasks}
    moved = [task for task in tasks if after[task] != first[task]]
    assert {first[task] for task in moved} == {"d3"} and len({after[task] for task in moved}) >= 8


class Days(RuleBasedStateMachine):
    """Three voters, three holders with clocks of their own pace, two tasks; whatever happens, in any
    order."""

    def __init__(self) -> None:
        super().__init__()
        self.council = Council()
        self.paces = {"x": 1.0 - 0.9 * DRIFT, "y": 1.0, "z": 1.0 + 0.9 * DRIFT}
        self.holdings = {name: LeaseHolder(name, 1, TTL, DRIFT) for name in self.paces}
        self.numbers: dict[str, int] = {}

    def at(self, name: str) -> float:
        return self.council.now * self.paces[name]

    def put(self, ask) -> object:
        """To whoever takes itself for the leader, cut off or not."""
        self.council.answers.clear()
        for name, voter in self.council.voters.items():
            if voter.raft.is_leader:
                self.council.do(name, voter.request(ask, "asker", self.council.now))
        self.council.pass_ms(50.0)
        return next((one for one in self.council.answers if not isinstance(one, NotLeader)), None)

    @rule(name=st.sampled_from("xyz"), task=st.sampled_from("tu"), lost=st.booleans(), late=st.booleans())
    def take(self, name: str, task: str, lost: bool, late: bool) -> None:
        holding = self.holdings[name]
        asked = holding.start_request(self.at(name), task)
        answer = self.put(AcquireLease(asked, task, name, holding.incarnation, TTL))
        self.council.pass_ms(1500.0 * late)
        if isinstance(answer, LeaseAcquired) and not lost:
            holding.record_grant(asked, task, answer.outcome.number, self.at(name))

    @rule(name=st.sampled_from("xyz"), late=st.booleans())
    def renew(self, name: str, late: bool) -> None:
        holding = self.holdings[name]
        asked, same = holding.start_renewal(self.at(name))
        answer = self.put(RenewLeases(asked, name, holding.incarnation, same))
        self.council.pass_ms(1500.0 * late)
        if isinstance(answer, LeasesRenewed):
            holding.record_renewal(asked, answer.numbers, self.at(name), answer.unchanged)
        strays, holding.unheld = holding.unheld, {}
        for task, number in strays.items():
            self.put(ReleaseLease(holding.start_request(self.at(name)), task, number))

    @rule(name=st.sampled_from("xyz"), task=st.sampled_from("tu"))
    def give(self, name: str, task: str) -> None:
        if number := self.holdings[name].release(task):
            self.put(ReleaseLease(self.holdings[name].start_request(self.at(name)), task, number))

    @rule(ms=st.sampled_from([100.0, 700.0, 1500.0, 3100.0]))
    def wait(self, ms: float) -> None:
        self.council.pass_ms(ms)

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=2))
    def cut(self, names: set[str]) -> None:
        self.council.cut = names

    @rule(name=st.sampled_from(NAMES))
    def restart_voter(self, name: str) -> None:
        self.council.restart(name)

    @rule(name=st.sampled_from("xyz"))
    def restart_holder(self, name: str) -> None:
        self.holdings[name] = LeaseHolder(name, self.holdings[name].incarnation + 1, TTL, DRIFT)

    @invariant()
    def one_at_most(self) -> None:
        for task in "tu":
            may = [n for name, one in self.holdings.items() if (n := one.fencing_number(task, self.at(name)))]
            assert len(may) <= 1
            for number in may:
                assert number >= self.numbers.get(task, 0)
                self.numbers[task] = number


TestDays = Days.TestCase
TestDays.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)


def test_asking_rests_while_nothing_changes_and_is_quick_once_somebody_died():
    wanting, living, now = LeaseClient("a", 1, 0.0), ["a", "b", "c"], 0.0
    for at in range(40):
        wanting.add_task(f"t{at}")
    asked = {"early": 0, "rest": 0, "late": 0}
    while now < 100_000.0:
        now += 50.0
        part = "early" if now < 15_000.0 else "rest" if now < 80_000.0 else "late"
        some = wanting.poll(now, living if now < 80_000.0 else ["a", "b"], set())
        asked[part] += bool(some)
        wanting.tasks_to_acquire(some, [], living, now)
    assert asked["rest"] <= 65_000 / 3000 and asked["late"] >= 30 and asked["early"] >= 30
    first = next(task for task in wanting.tasks if wanting.rank(task, ["a", "b"]) == 0)
    second = next(task for task in wanting.tasks if wanting.rank(task, ["a", "b"]) == 1)
    assert wanting.tasks_to_acquire([first, second], [first, second], ["a", "b"], now) == [first]
    assert wanting.tasks_to_acquire([second], [second], ["a", "b"], now) == [second]  # first did not
    wanting.poll(now + 10_000.0, ["a", "b"], {first, second})
    assert not wanting.times_seen_free  # else it would ask quickly for good

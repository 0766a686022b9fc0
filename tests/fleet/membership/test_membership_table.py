"""The roll's laws, its bounds, and what follows from it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.fleet.membership import load_aggregators, seat_claims
from cherrygrade.fleet.membership.failure_detector import FINAL_PROBES, FailureDetector, ProbeEffects
from cherrygrade.fleet.membership.load_aggregators import LoadAggregators
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.membership_state import MembershipSettings
from cherrygrade.fleet.membership.messages import Probe
from cherrygrade.fleet.membership.partition import RULES_BY_STATE, PartitionState, partition_state
from cherrygrade.fleet.membership.table import (
    MemberInfo,
    MemberRecord,
    MembershipTable,
    MemberState,
    merge_records,
)

ME = MemberRecord("me", 1000, 0, MemberState.ALIVE, MemberInfo("10.0.0.1:1", seat=0))
NAMES = ("a", "b", "c")


def facts_of(name: str, birth: int, turn: int) -> MemberInfo:
    """What a member told under a turn: one thing only."""
    return MemberInfo(f"10.0.0.{ord(name)}:{birth}", seat=ord(name) % 7 if turn < 2 else -1)


claims = st.builds(
    lambda name, birth, turn, standing, whole: MemberRecord(
        name, birth, turn, standing, facts_of(name, birth, turn) if whole else None
    ),
    st.sampled_from(NAMES),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from([*MemberState]),
    st.booleans(),
)


def roll_of(some: list[MemberRecord], **more) -> MembershipTable:
    """All three are known to begin with, so that what the dead leave out does not matter."""
    roll = MembershipTable(ME, 0.0, more.get("most", 64), 1e9)
    for name in NAMES:
        roll.merge(MemberRecord(name, 0, 0, MemberState.ALIVE, facts_of(name, 0, 0)), 0.0, name)
    for claim in some:
        roll.merge(claim, 1.0, "x")
    return roll


def told(roll: MembershipTable) -> dict[str, object]:
    return {one.name: (one.key, one.info_refutations, one.info) for one in roll}


@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_neither_order_nor_repetition_of_claims_matters(some, chance):
    shuffled = [*some, *some[: len(some) // 2]]
    chance.shuffle(shuffled)
    one, other = roll_of(some), roll_of(shuffled)
    assert {name: key for name, (key, _, _) in told(one).items()} == {
        name: key for name, (key, _, _) in told(other).items()
    }
    twice = roll_of([*some, *some])
    assert told(twice) == told(one) and twice.digest == one.digest


@given(st.lists(claims, max_size=8), st.lists(claims, max_size=8), st.lists(claims, max_size=8))
def test_claims_are_joined_by_a_join(one, other, third):
    def keys(found):
        return {name: claim.key for name, claim in found.items()}

    first = merge_records(merge_records(one, other).values(), third)
    second = merge_records(one, [*merge_records(other, third).values()])
    assert keys(first) == keys(second) == keys(merge_records([*third, *other], one))
    assert keys(merge_records(one, one)) == keys(merge_records(one, []))


@given(st.lists(claims, max_size=12))
def test_whoever_exchanged_whole_rolls_holds_the_same_of_the_living(some):
    one, other = roll_of(some[::2]), roll_of(some[1::2])
    for _ in range(2):
        ours, theirs = [m.record() for m in one], [m.record() for m in other]
        for claim in theirs:
            one.merge(claim, 2.0, "y")
        for claim in ours:
            other.merge(claim, 2.0, "y")
    assert {m.name: m.key for m in one} == {m.name: m.key for m in other}


def test_a_later_birth_beats_all_words_of_an_earlier_one():
    roll = roll_of(
        [
            MemberRecord("a", 1, 9, MemberState.LEFT),
            MemberRecord("a", 2, 0, MemberState.ALIVE, facts_of("a", 2, 0)),
        ]
    )
    roll.merge(MemberRecord("a", 1, 99, MemberState.FAILED), 3.0, "b")
    assert roll.members["a"].key == (2, False, 0, MemberState.ALIVE)


def test_who_left_is_not_called_failed_nor_brought_back_by_others():
    roll = roll_of([MemberRecord("a", 1, 1, MemberState.LEFT)])
    for standing in MemberState:
        roll.merge(MemberRecord("a", 1, 7, standing), 3.0, "b")
    assert roll.members["a"].state is MemberState.LEFT


def test_the_long_dead_are_forgotten_and_no_slow_word_brings_them_back():
    roll = MembershipTable(ME, 0.0, 64, retain_dead_ms=1000.0)
    alive = MemberRecord("a", 5, 3, MemberState.ALIVE, facts_of("a", 5, 0))
    roll.merge(alive, 0.0, "a")
    roll.merge(MemberRecord("a", 5, 3, MemberState.FAILED), 10.0, "b")
    assert roll.forget(900.0) == [] and roll.forget(1010.0) == ["a"]
    for word in (alive, MemberRecord("a", 4, 9, MemberState.ALIVE, facts_of("a", 4, 0))):
        assert not roll.merge(word, 1020.0, "b")
    assert "a" not in roll.members
    assert roll.merge(
        MemberRecord("a", 5, 4, MemberState.ALIVE, facts_of("a", 5, 0)), 1030.0, "a"
    )  # its own word
    assert roll.merge(MemberRecord("a", 6, 0, MemberState.ALIVE, facts_of("a", 6, 0)), 1040.0, "b")


def test_names_made_up_push_nobody_out_who_lives():
    roll = roll_of([], most=6)
    for number in range(500):
        roll.merge(
            MemberRecord(f"made-up-{number}", 1, 0, MemberState.ALIVE, MemberInfo("10.9.9.9:9")), 2.0, "liar"
        )
    assert len(roll.members) == 6 and {*NAMES, "me"} <= {*roll.members} and roll.dropped > 400
    for name in NAMES:
        roll.merge(MemberRecord(name, 0, 0, MemberState.FAILED), 3.0, "liar")
    for number in range(500):
        roll.merge(
            MemberRecord(f"other-{number}", 1, 0, MemberState.ALIVE, MemberInfo("10.9.9.9:9")), 4.0, "liar"
        )
    assert len(roll.members) == 6 and len(roll.forgotten) <= 4096


def test_whoever_goes_nobodys_part_grows():
    # The whole table: parts are dealt out by the fleet of record on every side.
    assert {row.parts for row in RULES_BY_STATE.values()} == {"the fleet of record"} and {
        *RULES_BY_STATE
    } == {*PartitionState}
    core = Membership(MembershipSettings("d0", 1, MemberInfo("10.0.0.1:1", seat=0), 5, [], 1), 0.0)
    for number in range(1, 5):
        core.table.merge(
            MemberRecord(f"d{number}", 1, 0, 0, MemberInfo(f"10.0.0.{number}:1", seat=number)), 0.0, "x"
        )
    for number in range(1, 5):
        core.table.merge(MemberRecord(f"d{number}", 1, 0, MemberState.FAILED), 1.0, "x")
    assert core.fleet_size == 5 and len(core.table.living()) == 1


def test_sides_by_who_is_heard_and_since_when():
    assert (
        partition_state(5, 5, 0.0, 0) is PartitionState.MAJORITY
        and partition_state(5, 3, 0.0, 0) is PartitionState.MAJORITY
    )
    assert (
        partition_state(5, 2, 0.0, 0) is PartitionState.MINORITY
        and partition_state(4, 2, 0.0, 0) is PartitionState.MINORITY
    )
    assert (
        partition_state(5, 1, 0.0, 0) is PartitionState.ISOLATED
        and partition_state(5, 5, 5000.0, 0) is PartitionState.ISOLATED
    )
    assert (
        partition_state(5, 5, 0.0, 8) is PartitionState.OVERLOADED
        and partition_state(1, 1, 1e9, 0) is PartitionState.MAJORITY
    )


def test_keepers_follow_the_living_and_nothing_else_moves():
    fleet = LoadAggregators(range(20))
    before = {node: fleet.aggregator_seat(node) for node in range(400)}
    assert max([*before.values()].count(seat) for seat in range(20)) <= 40
    assert fleet.update_seats((seat for seat in range(20) if seat != 7), 1000.0)
    after = {node: fleet.aggregator_seat(node) for node in range(400)}
    moved = {node for node in before if before[node] != after[node]}
    assert moved == {node for node in before if before[node] == 7} and 7 not in after.values()
    # Whoever comes to a node listens before it tells; who kept it all along goes on.
    assert all(fleet.settled(node, 1500.0) == (node not in moved) for node in before)
    assert all(fleet.settled(node, 1000.0 + load_aggregators.SETTLE_MS) for node in before)
    assert LoadAggregators([]).aggregator_seat(3) == -1


def test_of_two_that_claim_a_seat_the_later_born_holds_it_and_the_other_yields_at_once():
    older = Membership(MembershipSettings("old", 10, MemberInfo("10.0.0.1:1", seat=3), 5, [], 1), 0.0)
    newer = Membership(MembershipSettings("new", 20, MemberInfo("10.0.0.2:1", seat=3), 5, [], 2), 0.0)
    assert not older.forfeits_seat and not newer.forfeits_seat  # until they hear, both use it
    older.merge_table(newer.all_records(), "new", 100.0)
    newer.merge_table(older.all_records(), "old", 100.0)
    assert older.forfeits_seat and older.seat_yielded_to == "new" and not newer.forfeits_seat
    assert older.table.own.seat == -1 and seat_claims.holder(newer.table, 3).name == "new"
    assert seat_claims.contested(newer.table) == {}


def test_a_name_taken_by_one_born_later_elsewhere_silences_this_one_and_its_own_past_does_not():
    one = Membership(MembershipSettings("d0", 10, MemberInfo("10.0.0.1:1", seat=0), 5, [], 1), 0.0)
    one.merge_table(
        [MemberRecord("d0", 20, 0, MemberState.ALIVE, MemberInfo("10.0.0.9:1", seat=0))], "d3", 5.0
    )
    assert one.silent and one.forfeits_seat and one.next_tick_ms() > 1e14
    again = Membership(MembershipSettings("d0", 10, MemberInfo("10.0.0.1:1", seat=0), 5, [], 1), 0.0)
    again.merge_table(
        [MemberRecord("d0", 20, 4, MemberState.FAILED, MemberInfo("10.0.0.1:1", seat=0))], "d3", 5.0
    )
    assert not again.silent and again.table.own.key == (21, False, 0, MemberState.ALIVE)


def test_a_suspect_that_was_lifted_has_a_last_call_again_when_it_is_suspect_anew():
    # Found by rereading: the mark of the first call stayed, and the second suspicion ended unasked.
    roll = MembershipTable(MemberRecord("a", 1, 0, MemberState.ALIVE, MemberInfo("10.0.0.1:1")), 0.0, 64, 1e6)
    roll.merge(MemberRecord("b", 1, 0, MemberState.ALIVE, MemberInfo("10.0.0.2:1")), 0.0, "b")
    probing = FailureDetector(roll, 1, 0.0)
    for turn, now in ((0, 0.0), (1, 100_000.0)):
        suspect = MemberRecord("b", 1, turn, MemberState.SUSPECT, accuser="c")
        assert roll.merge(suspect, now, "c")
        probing.record_merged(suspect, now)
        does = ProbeEffects()
        for call in range(FINAL_PROBES):
            probing._declare_failures(now + 50_000.0 + 10_000.0 * call, does)
        assert [member.name for member, _ in does.probes] == ["b"] * FINAL_PROBES and not probing.deaths
        alive = MemberRecord("b", 1, turn + 1, MemberState.ALIVE, MemberInfo("10.0.0.2:1"))
        assert roll.merge(alive, now, "b")
        probing.record_merged(alive, now)


def test_one_that_starts_anew_while_its_contacts_are_dead_is_let_in_by_who_probes_it():
    # Others knew its new life by then, so they took it for no stranger; it left the exchange to those that
    # asked, and stayed alone for good.
    facts = [MemberInfo(f"10.0.0.{at}:1", seat=at) for at in (0, 1)]
    other = Membership(MembershipSettings("b", 1001, facts[1], 5, [], 1), 0.0)
    alone, began = Membership(MembershipSettings("a", 2000, facts[0], 5, ["10.0.0.9:1"], 1), 0.0), False
    other.merge_table([alone.table.own.record()], "a", 0.0)
    for turn in range(8):
        now = 100.0 + 400.0 * turn
        probe = Probe(other.name, other.incarnation, turn, other.table.digest, [])
        mail = alone.receive(probe, "10.0.0.1:1", now)
        began = began or any(name == "b" for name, _ in mail.table_exchanges)
    assert began

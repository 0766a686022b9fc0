"""The membership table: merging of records, limits of its size, and the decisions derived from it.

Guards against tables that differ after the same records arrived in another order, against made-up or outdated
records that remove living members or revive dead ones, and against quotas that grow while members are
missing.
"""

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


def info_of(name: str, incarnation: int, refutations: int) -> MemberInfo:
    """The info that a member announces: always the same for one incarnation and refutation counter."""
    return MemberInfo(f"10.0.0.{ord(name)}:{incarnation}", seat=ord(name) % 7 if refutations < 2 else -1)


member_records = st.builds(
    lambda name, incarnation, refutations, state, with_info: MemberRecord(
        name, incarnation, refutations, state, info_of(name, incarnation, refutations) if with_info else None
    ),
    st.sampled_from(NAMES),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from([*MemberState]),
    st.booleans(),
)


def table_with(records: list[MemberRecord], **options) -> MembershipTable:
    """A table that merged the records.

    It knows all three members from the start, because a table ignores the death of an unknown member.
    """
    table = MembershipTable(ME, 0.0, options.get("max_members", 64), 1e9)
    for name in NAMES:
        table.merge(MemberRecord(name, 0, 0, MemberState.ALIVE, info_of(name, 0, 0)), 0.0, name)
    for record in records:
        table.merge(record, 1.0, "x")
    return table


def entries_of(table: MembershipTable) -> dict[str, object]:
    return {member.name: (member.key, member.info_refutations, member.info) for member in table}


@given(st.lists(member_records, max_size=12), st.randoms(use_true_random=False))
def test_neither_order_nor_repetition_of_records_matters(records, rng):
    shuffled = [*records, *records[: len(records) // 2]]
    rng.shuffle(shuffled)
    one, other = table_with(records), table_with(shuffled)
    assert {name: key for name, (key, _, _) in entries_of(one).items()} == {
        name: key for name, (key, _, _) in entries_of(other).items()
    }
    repeated = table_with([*records, *records])
    assert entries_of(repeated) == entries_of(one) and repeated.digest == one.digest


@given(
    st.lists(member_records, max_size=8),
    st.lists(member_records, max_size=8),
    st.lists(member_records, max_size=8),
)
def test_merge_of_record_sets_is_associative_commutative_and_idempotent(one, other, third):
    def keys(merged):
        return {name: record.key for name, record in merged.items()}

    first = merge_records(merge_records(one, other).values(), third)
    second = merge_records(one, [*merge_records(other, third).values()])
    assert keys(first) == keys(second) == keys(merge_records([*third, *other], one))
    assert keys(merge_records(one, one)) == keys(merge_records(one, []))


@given(st.lists(member_records, max_size=12))
def test_two_tables_agree_after_an_exchange(records):
    one, other = table_with(records[::2]), table_with(records[1::2])
    for _ in range(2):
        records_of_one, records_of_other = [m.record() for m in one], [m.record() for m in other]
        for record in records_of_other:
            one.merge(record, 2.0, "y")
        for record in records_of_one:
            other.merge(record, 2.0, "y")
    assert {m.name: m.key for m in one} == {m.name: m.key for m in other}


def test_later_incarnation_wins_over_all_records_of_an_earlier_one():
    table = table_with(
        [
            MemberRecord("a", 1, 9, MemberState.LEFT),
            MemberRecord("a", 2, 0, MemberState.ALIVE, info_of("a", 2, 0)),
        ]
    )
    table.merge(MemberRecord("a", 1, 99, MemberState.FAILED), 3.0, "b")
    assert table.members["a"].key == (2, False, 0, MemberState.ALIVE)


def test_member_that_left_is_neither_declared_failed_nor_revived_by_others():
    table = table_with([MemberRecord("a", 1, 1, MemberState.LEFT)])
    for state in MemberState:
        table.merge(MemberRecord("a", 1, 7, state), 3.0, "b")
    assert table.members["a"].state is MemberState.LEFT


def test_dead_members_are_dropped_after_a_time_and_not_revived_by_delayed_records():
    table = MembershipTable(ME, 0.0, 64, retain_dead_ms=1000.0)
    alive = MemberRecord("a", 5, 3, MemberState.ALIVE, info_of("a", 5, 0))
    table.merge(alive, 0.0, "a")
    table.merge(MemberRecord("a", 5, 3, MemberState.FAILED), 10.0, "b")
    assert table.forget(900.0) == [] and table.forget(1010.0) == ["a"]
    for delayed in (alive, MemberRecord("a", 4, 9, MemberState.ALIVE, info_of("a", 4, 0))):
        assert not table.merge(delayed, 1020.0, "b")
    assert "a" not in table.members
    assert table.merge(
        MemberRecord("a", 5, 4, MemberState.ALIVE, info_of("a", 5, 0)), 1030.0, "a"
    )  # sent by the member itself
    assert table.merge(MemberRecord("a", 6, 0, MemberState.ALIVE, info_of("a", 6, 0)), 1040.0, "b")


def test_records_of_made_up_members_do_not_displace_living_members():
    table = table_with([], max_members=6)
    for number in range(500):
        table.merge(
            MemberRecord(f"made-up-{number}", 1, 0, MemberState.ALIVE, MemberInfo("10.9.9.9:9")), 2.0, "liar"
        )
    assert len(table.members) == 6 and {*NAMES, "me"} <= {*table.members} and table.dropped > 400
    for name in NAMES:
        table.merge(MemberRecord(name, 0, 0, MemberState.FAILED), 3.0, "liar")
    for number in range(500):
        table.merge(
            MemberRecord(f"other-{number}", 1, 0, MemberState.ALIVE, MemberInfo("10.9.9.9:9")), 4.0, "liar"
        )
    assert len(table.members) == 6 and len(table.forgotten) <= 4096


def test_quota_shares_do_not_grow_when_members_fail():
    # In each partition state quotas are divided by the number of dispatchers in the settings.
    assert {rules.parts for rules in RULES_BY_STATE.values()} == {"the fleet of record"} and {
        *RULES_BY_STATE
    } == {*PartitionState}
    membership = Membership(MembershipSettings("d0", 1, MemberInfo("10.0.0.1:1", seat=0), 5, [], 1), 0.0)
    for number in range(1, 5):
        membership.table.merge(
            MemberRecord(f"d{number}", 1, 0, 0, MemberInfo(f"10.0.0.{number}:1", seat=number)), 0.0, "x"
        )
    for number in range(1, 5):
        membership.table.merge(MemberRecord(f"d{number}", 1, 0, MemberState.FAILED), 1.0, "x")
    assert membership.fleet_size == 5 and len(membership.table.living()) == 1


def test_partition_state_follows_living_members_silence_and_self_doubt():
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


def test_only_the_nodes_of_a_failed_aggregator_move():
    aggregators = LoadAggregators(range(20))
    before = {node_hash: aggregators.aggregator_seat(node_hash) for node_hash in range(400)}
    assert max([*before.values()].count(seat) for seat in range(20)) <= 40
    assert aggregators.update_seats((seat for seat in range(20) if seat != 7), 1000.0)
    after = {node_hash: aggregators.aggregator_seat(node_hash) for node_hash in range(400)}
    moved = {node_hash for node_hash in before if before[node_hash] != after[node_hash]}
    assert moved == {node_hash for node_hash in before if before[node_hash] == 7} and 7 not in after.values()
    # A node's new aggregator only receives for a while; an aggregator that had its node before continues.
    assert all(aggregators.settled(node_hash, 1500.0) == (node_hash not in moved) for node_hash in before)
    assert all(aggregators.settled(node_hash, 1000.0 + load_aggregators.SETTLE_MS) for node_hash in before)
    assert LoadAggregators([]).aggregator_seat(3) == -1


def test_member_with_the_earlier_incarnation_yields_a_contested_seat_as_soon_as_it_learns_of_the_claim():
    earlier = Membership(MembershipSettings("old", 10, MemberInfo("10.0.0.1:1", seat=3), 5, [], 1), 0.0)
    later = Membership(MembershipSettings("new", 20, MemberInfo("10.0.0.2:1", seat=3), 5, [], 2), 0.0)
    assert not earlier.forfeits_seat and not later.forfeits_seat  # they do not know of each other yet
    earlier.merge_table(later.all_records(), "new", 100.0)
    later.merge_table(earlier.all_records(), "old", 100.0)
    assert earlier.forfeits_seat and earlier.seat_yielded_to == "new" and not later.forfeits_seat
    assert earlier.table.own.seat == -1 and seat_claims.holder(later.table, 3).name == "new"
    assert seat_claims.contested(later.table) == {}


def test_later_process_of_the_name_at_another_address_silences_this_one_but_a_former_process_does_not():
    superseded = Membership(MembershipSettings("d0", 10, MemberInfo("10.0.0.1:1", seat=0), 5, [], 1), 0.0)
    superseded.merge_table(
        [MemberRecord("d0", 20, 0, MemberState.ALIVE, MemberInfo("10.0.0.9:1", seat=0))], "d3", 5.0
    )
    assert superseded.silent and superseded.forfeits_seat and superseded.next_tick_ms() > 1e14
    restarted = Membership(MembershipSettings("d0", 10, MemberInfo("10.0.0.1:1", seat=0), 5, [], 1), 0.0)
    restarted.merge_table(
        [MemberRecord("d0", 20, 4, MemberState.FAILED, MemberInfo("10.0.0.1:1", seat=0))], "d3", 5.0
    )
    assert not restarted.silent and restarted.table.own.key == (21, False, 0, MemberState.ALIVE)


def test_member_that_is_suspected_again_after_a_refutation_gets_final_probes_again():
    # If the count of final probes outlived the first suspicion, the second one would end without any.
    table = MembershipTable(
        MemberRecord("a", 1, 0, MemberState.ALIVE, MemberInfo("10.0.0.1:1")), 0.0, 64, 1e6
    )
    table.merge(MemberRecord("b", 1, 0, MemberState.ALIVE, MemberInfo("10.0.0.2:1")), 0.0, "b")
    detector = FailureDetector(table, 1, 0.0)
    for refutations, now in ((0, 0.0), (1, 100_000.0)):
        suspicion = MemberRecord("b", 1, refutations, MemberState.SUSPECT, accuser="c")
        assert table.merge(suspicion, now, "c")
        detector.record_merged(suspicion, now)
        effects = ProbeEffects()
        for attempt in range(FINAL_PROBES):
            detector._declare_failures(now + 50_000.0 + 10_000.0 * attempt, effects)
        assert [member.name for member, _ in effects.probes] == ["b"] * FINAL_PROBES and not detector.deaths
        refutation = MemberRecord("b", 1, refutations + 1, MemberState.ALIVE, MemberInfo("10.0.0.2:1"))
        assert table.merge(refutation, now, "b")
        detector.record_merged(refutation, now)


def test_restarted_member_whose_contact_points_are_dead_exchanges_tables_with_a_member_that_probes_it():
    # The other members knew its new incarnation already and so began no exchange. If the restarted member
    # left the exchange to them as well, it would stay isolated.
    infos = [MemberInfo(f"10.0.0.{seat}:1", seat=seat) for seat in (0, 1)]
    other = Membership(MembershipSettings("b", 1001, infos[1], 5, [], 1), 0.0)
    restarted, exchange_began = (
        Membership(MembershipSettings("a", 2000, infos[0], 5, ["10.0.0.9:1"], 1), 0.0),
        False,
    )
    other.merge_table([restarted.table.own.record()], "a", 0.0)
    for number in range(8):
        now = 100.0 + 400.0 * number
        probe = Probe(other.name, other.incarnation, number, other.table.digest, [])
        effects = restarted.receive(probe, "10.0.0.1:1", now)
        exchange_began = exchange_began or any(name == "b" for name, _ in effects.table_exchanges)
    assert exchange_began

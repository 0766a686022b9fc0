"""Fleets of replicas in virtual time, without sockets and processes.

The tests guard against a version that reaches some members late or never, also with faults while it spreads,
and against too many queries, fetches and bytes. Processes are measured by benchmarks/fleet_config.py.
"""

import pytest

from cherrygrade.cli import app
from cherrygrade.fleet.config.replica_messages import StoredConfig
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.lab.virtual.spread import Spread

TEXT = "".join(f"plans: p{plan}: limit_rate: {plan}\n" for plan in range(400))


def changed(number: int) -> str:
    """Return the text with one line changed."""
    return TEXT.replace("rate: 7\n", f"rate: {1000 + number}\n")


def settled_fleet(count: int = 60, seed: int = 3) -> Spread:
    """Return a fleet whose members all have version 1 in force, and that has become quiet."""
    fleet = Spread(count, seed)
    fleet.run(1000.0)
    fleet.put(TEXT)
    assert fleet.run(10_000.0, fleet.all_on(1))
    fleet.run(3000.0)
    return fleet


def last_ms(fleet: Spread, number: int) -> float:
    """Return the time in ms from the put of a version until the last member has it in force."""
    return max(fleet.in_force_at[number].values()) - fleet.put_at[number]


def stages_never_decreased(fleet: Spread) -> bool:
    return all(stages == sorted(stages) for stages in fleet.stages)


def test_580_members_with_80_ms_between_regions_and_5_percent_loss() -> None:
    """All members have the version within 6 s. Voters get few queries, few members fetch across regions, and
    most fetch a difference."""
    fleet = settled_fleet(580)
    for number in (2, 3):
        queries, served = fleet.asked.copy(), fleet.served.copy()
        far_fetches, fetches = fleet.far_fetches, fleet.fetches
        sent = sum(sum(second.values()) for second in fleet.bytes.values())
        assert fleet.put(changed(number)) == number
        assert fleet.run(15_000.0, fleet.all_on(number))
        assert last_ms(fleet, number) < 6000.0
        assert max(fleet.asked[member] - queries[member] for member in fleet.voters) <= 80
        assert max(fleet.asked[member] - queries[member] for member in range(5, 580)) <= 20
        assert fleet.fetches - fetches <= 620 and fleet.far_fetches - far_fetches <= 80
        assert max(fleet.served[member] - served[member] for member in range(580)) <= 30
        fleet.run(3000.0)
        sent = sum(sum(second.values()) for second in fleet.bytes.values()) - sent
        assert sent / 580 < 3500.0  # bytes sent per member and change, without probes
    assert stages_never_decreased(fleet)


def test_a_quiet_fleet_sends_no_queries_and_fetches() -> None:
    fleet = settled_fleet()
    fleet.run(5000.0)
    messages, fetches = fleet.pages.copy(), fleet.fetches
    fleet.run(60_000.0)
    sent = fleet.pages - messages
    assert {*sent} == {"probe", "answer"} and fleet.fetches == fetches


def test_twenty_changes_in_a_minute_come_into_force_or_are_skipped() -> None:
    fleet = settled_fleet()
    for number in range(2, 22):
        fleet.put(changed(number))
        fleet.run(3000.0)
    assert fleet.run(6000.0, fleet.all_on(21)) and stages_never_decreased(fleet)


def test_of_a_hundred_changes_at_once_the_newest_comes_into_force() -> None:
    fleet = settled_fleet()
    for number in range(2, 102):
        fleet.put(changed(number))
        fleet.run(20.0)
    assert fleet.run(6000.0, fleet.all_on(101)) and stages_never_decreased(fleet)
    assert fleet.fetches < 60 * 40


def test_a_partitioned_region_has_the_newest_version_within_6_s_of_the_heal() -> None:
    fleet = settled_fleet()
    fleet.cut = {member for member in range(60) if member % 2}  # a region with two of the five voters
    fleet.killed = {1, 3}
    for number in range(2, 42):
        fleet.put(changed(number))
        fleet.run(100.0)
    fleet.run(60_000.0)
    assert not {*fleet.on(2)} & fleet.cut
    assert {*fleet.on(41)} == {member for member in range(60) if member % 2 == 0}
    queries = sum(fleet.asked.values())
    fleet.cut = set()
    assert fleet.run(6000.0, fleet.all_on(41)) and stages_never_decreased(fleet)
    assert sum(fleet.asked.values()) - queries < 60 * 12


def test_a_single_informed_member_in_a_partition_is_not_believed_and_not_overloaded() -> None:
    """A single member is not enough as a witness, and the members that receive its adverts query it less
    and less often."""
    fleet = settled_fleet()
    fleet.cut = {member for member in range(60) if member % 2}
    fleet.killed = {1, 3}
    fleet.put(changed(2))
    assert fleet.run(6000.0, lambda: len(fleet.on(2)) == 30)
    fleet.cut = fleet.cut | {10}
    before = fleet.asked[10]
    fleet.run(20_000.0)
    assert len(fleet.on(2)) == 30
    before, queries = fleet.asked[10], fleet.asked
    fleet.run(20_000.0)
    assert queries[10] - before < 20 * 29
    fleet.cut = fleet.cut - {10}
    fleet.cut = set()
    assert fleet.run(6000.0, fleet.all_on(2))


def test_false_adverts_of_one_member_are_not_followed_and_delay_no_other() -> None:
    fleet = settled_fleet()
    fleet.lies[9] = (999, 12345)
    fleet.run(10_000.0)
    assert not fleet.fetches - 55
    fleet.put(changed(2))
    others = {member for member in range(60) if member != 9}
    assert fleet.run(6000.0, lambda: others <= {*fleet.on(2)})
    assert all(replica.believed[0] <= 5 for replica in fleet.replicas)
    queries = fleet.asked.copy()
    fleet.run(60_000.0)
    # The false adverts cause few queries per member and minute.
    assert max((fleet.asked - queries).values()) < 60 * 60


def test_a_member_whose_streams_are_refused_reports_it_and_the_others_go_on() -> None:
    fleet = settled_fleet()
    fleet.deaf = {20}
    fleet.put(changed(2))
    fleet.run(6000.0)
    assert len(fleet.on(2)) == 59
    assert fleet.replicas[20].status().startswith("can't fetch: ")
    fleet.deaf = set()
    assert fleet.run(6000.0, fleet.all_on(2)) and fleet.replicas[20].status() == ""


def test_members_that_refuse_a_version_stay_and_the_others_go_on() -> None:
    fleet = settled_fleet()
    fleet.refuses = {(20, 2): "lines.most", (2, 2): "lines.most"}  # the second is a voter
    fleet.put(changed(2))
    fleet.run(6000.0)
    assert len(fleet.on(2)) == 58 and fleet.replicas[20].status() == "refused: lines.most"
    fleet.put(changed(3))
    assert fleet.run(6000.0, fleet.all_on(3))


def test_a_restart_with_an_old_version_has_the_newest_within_6_s() -> None:
    fleet = settled_fleet()
    first = fleet.replicas[30].version
    assert first is not None
    for number in range(2, 12):
        fleet.put(changed(number))
        fleet.run(2000.0)
    fleet.restart(30, StoredConfig(3, first))
    assert fleet.replicas[30].stage == 3 and fleet.replicas[30].is_certain
    assert fleet.run(6000.0, fleet.all_on(11))


def test_a_restart_without_a_stored_version_is_uncertain_until_it_has_the_newest_within_6_s() -> None:
    fleet = settled_fleet()
    fleet.restart(30, None)
    assert not fleet.replicas[30].is_certain
    assert fleet.run(6000.0, fleet.all_on(1)) and fleet.replicas[30].is_certain


@pytest.mark.parametrize("count", [9, 60])
def test_a_fleet_without_stored_versions_becomes_certain_once_its_leader_is(count: int) -> None:
    fleet = Spread(count, 5, kept=False)
    fleet.run(3000.0)
    assert not any(replica.is_certain for replica in fleet.replicas)
    fleet._do(0, fleet.replicas[0].learn_committed(None, 0, fleet.now, leader_confirmed=True))
    assert fleet.run(8000.0, lambda: all(replica.is_certain for replica in fleet.replicas))
    fleet.put(TEXT)
    assert fleet.run(6000.0, fleet.all_on(1))


def test_a_version_spreads_if_the_leader_fails_right_after_the_commit() -> None:
    """The other voters have the version in their logs, and advertise it."""
    fleet = settled_fleet()
    fleet.killed = {0}
    fleet.put(changed(2))
    assert fleet.run(6000.0, fleet.all_on(2))


def test_a_version_is_settled_without_another_fetch() -> None:
    fleet = settled_fleet()
    fleet.put(changed(2), QuotaDivisors(72))
    assert fleet.run(6000.0, fleet.all_on(2))
    assert {replica.stage for replica in fleet.replicas} == {4}
    fetches = fleet.fetches
    fleet.settle()
    assert fleet.run(6000.0, lambda: {replica.stage for replica in fleet.replicas} == {5})
    assert fleet.fetches == fetches and stages_never_decreased(fleet)


def test_all_members_learn_that_all_seats_are_on_the_stage() -> None:
    fleet = settled_fleet()
    fleet.put(changed(2))
    assert fleet.run(6000.0, fleet.all_on(2))
    assert fleet.run(
        8000.0, lambda: all(replica.seats.has(seat) for replica in fleet.replicas for seat in range(60))
    )
    fleet.run(15_000.0)
    assert {replica.own_advert().bits for replica in fleet.replicas} == {b""}


def test_the_same_seed_gives_the_same_run() -> None:
    runs = []
    for _ in range(2):
        fleet = settled_fleet(30, 11)
        fleet.put(changed(2))
        fleet.run(5000.0)
        runs.append((fleet.in_force_at, fleet.pages, fleet.bytes))
    assert runs[0] == runs[1]


def test_the_command_prints_its_figures(capsys: pytest.CaptureFixture[str]) -> None:
    assert app(["lab", "spread", "--members", "40", "--changes", "3"], result_action="return_value") == 0
    output = capsys.readouterr().out
    assert (
        output.startswith("40 members, 5% lost: 3 changes: to the last after ") and "bytes a member" in output
    )

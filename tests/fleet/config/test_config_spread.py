"""Fleets of replicas in virtual time, by decisions alone: how long a version takes to the last, and at what
cost; faults while it spreads. Figures of processes are benchmarks/fleet_config.py's matter."""

import pytest

from cherrygrade.cli import app
from cherrygrade.fleet.config.replica_messages import StoredConfig
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.lab.virtual.spread import Spread

TEXT = "".join(f"plans: p{at}: limit_rate: {at}\n" for at in range(400))


def changed(number: int) -> str:
    return TEXT.replace("rate: 7\n", f"rate: {1000 + number}\n")


def resting(count: int = 60, seed: int = 3) -> Spread:
    """A fleet that is on version 1."""
    fleet = Spread(count, seed)
    fleet.run(1000.0)
    fleet.put(TEXT)
    assert fleet.run(10_000.0, fleet.all_on(1))
    fleet.run(3000.0)
    return fleet


def last_ms(fleet: Spread, number: int) -> float:
    return max(fleet.in_force_at[number].values()) - fleet.put_at[number]


def no_stage_went_back(fleet: Spread) -> bool:
    return all(stages == sorted(stages) for stages in fleet.stages)


def test_580_with_80_ms_between_regions_and_5_percent_lost() -> None:
    """All have it within 6 s; voters are asked by few; across regions it is fetched by few; most fetch a
    difference."""
    fleet = resting(580)
    for number in (2, 3):
        asked, served = fleet.asked.copy(), fleet.served.copy()
        far, fetches = fleet.far_fetches, fleet.fetches
        sent = sum(sum(one.values()) for one in fleet.bytes.values())
        assert fleet.put(changed(number)) == number
        assert fleet.run(15_000.0, fleet.all_on(number))
        assert last_ms(fleet, number) < 6000.0
        assert max(fleet.asked[at] - asked[at] for at in fleet.voters) <= 80
        assert max(fleet.asked[at] - asked[at] for at in range(5, 580)) <= 20
        assert fleet.fetches - fetches <= 620 and fleet.far_fetches - far <= 80
        assert max(fleet.served[at] - served[at] for at in range(580)) <= 30
        fleet.run(3000.0)
        sent = sum(sum(one.values()) for one in fleet.bytes.values()) - sent
        assert sent / 580 < 3500.0  # bytes a member for one change, beside probes that go anyway
    assert no_stage_went_back(fleet)


def test_at_rest_nothing_is_asked_or_fetched() -> None:
    fleet = resting()
    fleet.run(5000.0)
    pages, fetches = fleet.pages.copy(), fleet.fetches
    fleet.run(60_000.0)
    spent = fleet.pages - pages
    assert {*spent} == {"probe", "answer"} and fleet.fetches == fetches


def test_twenty_in_a_minute_all_come_into_force_or_are_passed_over() -> None:
    fleet = resting()
    for number in range(2, 22):
        fleet.put(changed(number))
        fleet.run(3000.0)
    assert fleet.run(6000.0, fleet.all_on(21)) and no_stage_went_back(fleet)


def test_a_hundred_at_once_are_passed_over_to_the_newest() -> None:
    fleet = resting()
    for number in range(2, 102):
        fleet.put(changed(number))
        fleet.run(20.0)
    assert fleet.run(6000.0, fleet.all_on(101)) and no_stage_went_back(fleet)
    assert fleet.fetches < 60 * 40


def test_the_other_side_of_a_cut_has_it_within_6_s_of_the_heal() -> None:
    fleet = resting()
    fleet.cut = {at for at in range(60) if at % 2}  # a region; two voters of five are there
    fleet.killed = {1, 3}
    for number in range(2, 42):
        fleet.put(changed(number))
        fleet.run(100.0)
    fleet.run(60_000.0)
    assert not {*fleet.on(2)} & fleet.cut
    assert {*fleet.on(41)} == {at for at in range(60) if at % 2 == 0}
    asked = sum(fleet.asked.values())
    fleet.cut = set()
    assert fleet.run(6000.0, fleet.all_on(41)) and no_stage_went_back(fleet)
    assert sum(fleet.asked.values()) - asked < 60 * 12


def test_one_that_knows_it_on_the_wrong_side_of_a_cut_is_not_believed_and_not_run_over() -> None:
    """A single member's word is not enough; those that hear it ask less and less often."""
    fleet = resting()
    fleet.cut = {at for at in range(60) if at % 2}
    fleet.killed = {1, 3}
    fleet.put(changed(2))
    assert fleet.run(6000.0, lambda: len(fleet.on(2)) == 30)
    fleet.cut = fleet.cut | {10}
    before = fleet.asked[10]
    fleet.run(20_000.0)
    assert len(fleet.on(2)) == 30
    before, fleet_now = fleet.asked[10], fleet.asked
    fleet.run(20_000.0)
    assert fleet_now[10] - before < 20 * 29
    fleet.cut = fleet.cut - {10}
    fleet.cut = set()
    assert fleet.run(6000.0, fleet.all_on(2))


def test_a_lying_member_is_followed_by_nobody_and_holds_up_nobody() -> None:
    fleet = resting()
    fleet.lies[9] = (999, 12345)
    fleet.run(10_000.0)
    assert not fleet.fetches - 55
    fleet.put(changed(2))
    others = {at for at in range(60) if at != 9}
    assert fleet.run(6000.0, lambda: others <= {*fleet.on(2)})
    assert all(one.believed[0] <= 5 for one in fleet.replicas)
    asked = fleet.asked.copy()
    fleet.run(60_000.0)
    assert max((fleet.asked - asked).values()) < 60 * 60  # a minute's questions that one lie costs a voter


def test_a_member_whose_streams_are_refused_says_so_and_the_others_go_on() -> None:
    fleet = resting()
    fleet.deaf = {20}
    fleet.put(changed(2))
    fleet.run(6000.0)
    assert len(fleet.on(2)) == 59
    assert fleet.replicas[20].status().startswith("can't fetch: ")
    fleet.deaf = set()
    assert fleet.run(6000.0, fleet.all_on(2)) and fleet.replicas[20].status() == ""


def test_who_refuses_it_stays_where_it_is_and_the_others_go_on() -> None:
    fleet = resting()
    fleet.refuses = {(20, 2): "lines.most", (2, 2): "lines.most"}  # a voter too
    fleet.put(changed(2))
    fleet.run(6000.0)
    assert len(fleet.on(2)) == 58 and fleet.replicas[20].status() == "refused: lines.most"
    fleet.put(changed(3))
    assert fleet.run(6000.0, fleet.all_on(3))


def test_one_that_starts_with_last_weeks_version_has_the_newest_within_6_s() -> None:
    fleet = resting()
    first = fleet.replicas[30].version
    assert first is not None
    for number in range(2, 12):
        fleet.put(changed(number))
        fleet.run(2000.0)
    fleet.restart(30, StoredConfig(3, first))
    assert fleet.replicas[30].stage == 3 and fleet.replicas[30].is_certain
    assert fleet.run(6000.0, fleet.all_on(11))


def test_one_that_starts_with_nothing_has_the_newest_within_6_s_and_no_part_before() -> None:
    fleet = resting()
    fleet.restart(30, None)
    assert not fleet.replicas[30].is_certain
    assert fleet.run(6000.0, fleet.all_on(1)) and fleet.replicas[30].is_certain


@pytest.mark.parametrize("count", [9, 60])
def test_a_fleet_that_starts_with_nothing_is_sure_once_its_leader_is(count: int) -> None:
    fleet = Spread(count, 5, kept=False)
    fleet.run(3000.0)
    assert not any(one.is_certain for one in fleet.replicas)
    fleet._do(0, fleet.replicas[0].learn_committed(None, 0, fleet.now, leader_confirmed=True))
    assert fleet.run(8000.0, lambda: all(one.is_certain for one in fleet.replicas))
    fleet.put(TEXT)
    assert fleet.run(6000.0, fleet.all_on(1))


def test_the_leader_dies_between_agreement_and_its_first_word() -> None:
    """The others of the council have it in their log and tell it."""
    fleet = resting()
    fleet.killed = {0}
    fleet.put(changed(2))
    assert fleet.run(6000.0, fleet.all_on(2))


def test_joint_then_settled_by_stage_alone() -> None:
    fleet = resting()
    fleet.put(changed(2), QuotaDivisors(72))
    assert fleet.run(6000.0, fleet.all_on(2))
    assert {one.stage for one in fleet.replicas} == {4}
    fetches = fleet.fetches
    fleet.settle()
    assert fleet.run(6000.0, lambda: {one.stage for one in fleet.replicas} == {5})
    assert fleet.fetches == fetches and no_stage_went_back(fleet)


def test_all_are_known_to_be_on_it() -> None:
    fleet = resting()
    fleet.put(changed(2))
    assert fleet.run(6000.0, fleet.all_on(2))
    assert fleet.run(8000.0, lambda: all(one.seats.has(seat) for one in fleet.replicas for seat in range(60)))
    fleet.run(15_000.0)
    assert {one.own_advert().bits for one in fleet.replicas} == {b""}


def test_the_same_seed_gives_the_same_day() -> None:
    days = []
    for _ in range(2):
        fleet = resting(30, 11)
        fleet.put(changed(2))
        fleet.run(5000.0)
        days.append((fleet.in_force_at, fleet.pages, fleet.bytes))
    assert days[0] == days[1]


def test_the_command_tells_its_figures(capsys: pytest.CaptureFixture[str]) -> None:
    assert app(["lab", "spread", "--members", "40", "--changes", "3"], result_action="return_value") == 0
    told = capsys.readouterr().out
    assert told.startswith("40 members, 5% lost: 3 changes: to the last after ") and "bytes a member" in told

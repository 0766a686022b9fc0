"""Simulated fleets of hundreds and thousands of members.

Guards against costs and detection times that grow with the size of the fleet.
"""

from cherrygrade.lab.virtual.many import Many, death
from cherrygrade.virtual.datagrams import DatagramConditions

ROUGH = DatagramConditions(loss_probability=0.05, jitter_ms=2.0)


def test_detection_time_and_traffic_without_changes_do_not_grow_from_fifty_members_to_a_thousand():
    small, large = death(50, 1, ROUGH), death(1000, 1, ROUGH)
    assert small.last_ms < 5000.0 and large.last_ms < 5000.0
    assert large.rest_bytes < 1.1 * small.rest_bytes < 2048.0
    assert not small.wrongly_dead and not large.wrongly_dead


def test_death_of_seven_in_ten_members_at_once_is_known_within_nine_seconds():
    found = death(200, 2, ROUGH, dead=140)
    assert found.last_ms < 9000.0 and not found.wrongly_dead


def test_simulation_is_reproducible_from_its_seed():
    assert death(50, 3, ROUGH) == death(50, 3, ROUGH)
    assert death(50, 3, ROUGH) != death(50, 4, ROUGH)


def test_two_hundred_members_agree_again_after_a_partition_into_halves_heals():
    many = Many(200, 1, ROUGH)
    many.run(2000.0)
    many.cut = {*range(0, 200, 2)}
    many.run(12_000.0)
    assert all(many.cores[at].table.is_living("d1") is (at % 2 == 1) for at in range(200))
    many.cut = set()
    assert many.run(5000.0, many.whole)

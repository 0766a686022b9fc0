"""Fleet agents in virtual time, with crashes, stalls, partitions and lost datagrams.

Guards against members that are not detected as failed in time, against living members that are declared
failed, and against a fleet that does not agree again after a partition heals. The agents and streams are the
product's own; the network is simulated, and its faults derive from a seed.
"""

from __future__ import annotations

import asyncio

import pytest

from cherrygrade.fleet.membership.partition import PartitionState
from cherrygrade.fleet.membership.table import MemberState
from cherrygrade.lab.virtual.virtual_fleet import VirtualFleet, play
from cherrygrade.virtual.datagrams import DatagramConditions

MAX_DETECTION_MS = 5000.0  # all members know of a failure within this time
MAX_RECOVERY_MS = 5000.0  # all members agree again within this time after a partition heals
ROUGH = DatagramConditions(loss_probability=0.05, duplicate_probability=0.05, delay_ms=0.2, jitter_ms=5.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_members_learn_of_a_failure_and_of_a_restart_under_the_same_name(seed):
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        await asyncio.sleep(1.0)
        killed = virtual_fleet.kill(7)
        await virtual_fleet.until(
            lambda: virtual_fleet.called("d7", MemberState.FAILED) == {*virtual_fleet.agents},
            MAX_DETECTION_MS,
        )
        assert not any(7 in membership.aggregators.seats for membership in virtual_fleet.cores().values())
        incarnation = (await virtual_fleet.start(7)).membership.incarnation
        assert incarnation > killed.membership.incarnation
        await virtual_fleet.until(
            lambda: virtual_fleet.called("d7", MemberState.ALIVE, incarnation) == {*virtual_fleet.agents},
            3000.0,
        )
        await virtual_fleet.until(virtual_fleet.equal, 3000.0)

    play(scenario, 20, seed, ROUGH)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_member_that_stalls_for_two_seconds_or_loses_one_datagram_in_twenty_is_not_declared_failed(seed):
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        for repetition in range(3):
            stalled = [virtual_fleet.agents[number][0] for number in range(repetition, 20, 10)]
            for process in stalled:
                process.pause()
            await asyncio.sleep(2.0)
            for process in stalled:
                process.resume()
            await asyncio.sleep(4.0)
        assert (
            sum(membership.failure_detector.accusations for membership in virtual_fleet.cores().values()) > 0
        )  # otherwise the stalls had no effect and the test shows nothing
        assert sum(membership.failure_detector.deaths for membership in virtual_fleet.cores().values()) == 0
        await virtual_fleet.until(virtual_fleet.equal, 3000.0)

    play(scenario, 20, seed, ROUGH)


@pytest.mark.parametrize("seed", [1, 2])
def test_parts_of_a_partitioned_fleet_declare_each_other_failed_and_agree_again_after_it_heals(seed):
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        minority = set(range(6))
        virtual_fleet.cut(minority)
        await asyncio.sleep(12.0)
        for number, membership in virtual_fleet.cores().items():
            assert membership.partition_state is (
                PartitionState.MINORITY if number in minority else PartitionState.MAJORITY
            )
            assert len(membership.table.living()) == (6 if number in minority else 14)
        virtual_fleet.heal()
        await virtual_fleet.until(virtual_fleet.equal, MAX_RECOVERY_MS)
        assert all(
            membership.partition_state is PartitionState.MAJORITY and not membership.forfeits_seat
            for membership in virtual_fleet.cores().values()
        )

    play(scenario, 20, seed, ROUGH)


def test_members_that_were_cut_off_until_they_were_dropped_return_after_the_partition_heals():
    """Each part has dropped the other's members, so that no member knows of a death that it has to refute."""

    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        virtual_fleet.cut({1, 4})
        await asyncio.sleep(20.0)
        assert all(
            "d4" not in membership.table.members
            for number, membership in virtual_fleet.cores().items()
            if number not in (1, 4)
        )
        virtual_fleet.heal()
        # One contact point is in the other part and is probed every ten seconds.
        await virtual_fleet.until(virtual_fleet.equal, 12500.0 + MAX_RECOVERY_MS)

    play(scenario, 7, 1, ROUGH, keep_ms=6000.0)


def test_member_whose_datagrams_are_lost_learns_that_it_is_declared_failed_and_returns_after_the_heal():
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        virtual_fleet.cut({4}, one_way=True)
        await asyncio.sleep(8.0)
        assert virtual_fleet.called("d4", MemberState.FAILED) >= {*virtual_fleet.agents} - {4}
        # It learns that it was declared failed, but its refutations do not arrive.
        assert virtual_fleet.cores()[4].refuted_accusations > 0
        virtual_fleet.heal()
        await virtual_fleet.until(virtual_fleet.equal, MAX_RECOVERY_MS)

    play(scenario, 12, 1, ROUGH)


def test_seven_in_ten_members_killed_at_once_are_detected_and_their_nodes_get_new_aggregators():
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        for number in range(30):
            if number % 10 < 7:
                virtual_fleet.kill(number)
        # Each of nine living members probes 30 members in turn, which takes longer than for one failure.
        await virtual_fleet.until(virtual_fleet.equal, 12000.0)
        seats = {*virtual_fleet.agents}
        for membership in virtual_fleet.cores().values():
            assert {membership.aggregators.aggregator_seat(node_hash) for node_hash in range(300)} <= seats
            assert membership.fleet_size == 30

    play(scenario, 30, 2, ROUGH)


def test_one_of_two_processes_with_the_same_seat_yields_it_once_they_can_reach_each_other():
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        virtual_fleet.cut({3})
        await asyncio.sleep(7.0)
        await virtual_fleet.start(8, name="d3b", seat=3)  # an operator replaced the member that was cut off
        await asyncio.sleep(2.0)
        # The member that is cut off can't know of its replacement: both use the seat's quotas until the heal.
        assert not virtual_fleet.cores()[3].forfeits_seat
        virtual_fleet.heal()
        await virtual_fleet.until(lambda: virtual_fleet.cores()[3].forfeits_seat, MAX_RECOVERY_MS)
        assert not virtual_fleet.cores()[8].forfeits_seat

    play(scenario, 8, 1, ROUGH)


def test_later_process_of_a_name_silences_the_earlier_one():
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        later = await virtual_fleet.start(9, name="d2", seat=2)
        await virtual_fleet.until(lambda: virtual_fleet.cores()[2].silent, 3000.0)
        assert not later.membership.silent and virtual_fleet.cores()[2].forfeits_seat

    play(scenario, 8, 1, ROUGH)


def test_scheduler_messages_reach_the_member_with_the_seat_or_all_living_members():
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        virtual_fleet.agents[1][1].send_scheduler_message(4, b"to one")
        virtual_fleet.agents[2][1].send_scheduler_message(None, b"to all")
        await asyncio.sleep(0.1)
        to_all = [(number, 2, b"to all") for number in range(6) if number != 2]
        assert sorted(virtual_fleet.words) == sorted([(4, 1, b"to one"), *to_all])

    play(scenario, 6)


def test_member_of_another_fleet_at_the_same_contact_point_is_not_added():
    async def scenario(virtual_fleet: VirtualFleet) -> None:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 8000.0)
        agent = virtual_fleet.agents[0][1]
        other_codec = type(agent.codec)("another")
        from cherrygrade.fleet.membership.messages import Probe

        agent.datagram_received(other_codec.write(Probe("x0", 1, 1, 1)), ("10.0.0.99", 7500))
        assert agent.codec.rejected == {"another fleet": 1} and len(agent.membership.table.living()) == 4

    play(scenario, 4)


def test_scenario_of_faults_is_reproducible_from_its_seed():
    async def scenario(virtual_fleet: VirtualFleet) -> list[object]:
        await virtual_fleet.all_start()
        await asyncio.sleep(3.0)
        virtual_fleet.kill(2)
        virtual_fleet.cut({4, 5})
        await asyncio.sleep(6.0)
        virtual_fleet.heal()
        await asyncio.sleep(3.0)
        digests = [membership.table.digest for membership in virtual_fleet.cores().values()]
        return [virtual_fleet.network.datagrams_sent, virtual_fleet.network.datagram_bytes, *digests]

    assert play(scenario, 10, 5, ROUGH) == play(scenario, 10, 5, ROUGH) != play(scenario, 10, 6, ROUGH)

"""Slow peers are stepped down and cut; nobody else is, nor anybody for a fault of our own."""

from __future__ import annotations

import asyncio
import socket
import time

from hypothesis import given
from hypothesis import strategies as st
from support.gateway_site import GatewaySite, run

from cherrygrade.client import Errored, Ok, Rejected
from cherrygrade.peers.slow_peer_escalation import (
    RecentCuts,
    SlowPeerEscalation,
    Step,
    is_network_slow,
    keeps_connection,
    limit_scarcity_rise,
    min_rate,
    min_rate_for_occupancy,
    scarcity,
)
from cherrygrade.peers.transfer_rate import TransferRate
from cherrygrade.settings import ExtentSettings, FlowControlSettings
from cherrygrade.wire.frames import encode
from cherrygrade.wire.messages import VERSION, Hello, ReadRpc, WriteRpc

QUICK = FlowControlSettings(floor=20_000.0, top=200_000.0, short_ms=200.0, long_ms=500.0, grace_ms=200.0)


def walk(
    rates: list[float], least: float = 100.0, grace: float = 300.0, everybody: bool = False
) -> list[Step]:
    """A peer that moves so much in each 100 ms."""
    rate, ladder, steps = TransferRate(200.0, 1000.0), SlowPeerEscalation(grace), []
    for per_s in rates:
        rate.record(int(per_s / 10.0), 100.0)
        steps.append(ladder.update(rate.bytes_per_second(), least, 100.0, everybody))
    return steps


def test_a_peer_goes_down_step_by_step_and_is_cut_within_three_graces_and_a_span():
    steps = walk([0.0] * 30)
    assert [steps.index(step) for step in (Step.HELD, Step.NARROW, Step.CUT)] == [2, 5, 8]


def test_a_peer_that_gets_better_comes_back_and_does_not_flap_on_the_line():
    steps = walk([0.0] * 4 + [120.0] * 20 + [1000.0] * 20)
    assert steps[6] is not Step.FREE and len(set(steps[6:15])) == 1  # just above: four graces for a step back
    assert steps[6:] == sorted(steps[6:], reverse=True) and steps[-1] is Step.FREE


def test_one_that_alternates_by_the_spans_length_is_judged_by_the_longer():
    assert Step.CUT not in walk(([1000.0] * 2 + [0.0] * 2) * 20)  # 500 a second in the mean
    assert Step.CUT in walk(([300.0] * 1 + [0.0] * 9) * 10)  # 30 a second in the mean


def test_where_everybody_is_slow_nobody_is_cut():
    assert max(walk([0.0] * 100, everybody=True)) is Step.NARROW
    assert is_network_slow(9, 16, 5000.0, 5000.0) and not is_network_slow(8, 16, 5000.0, 5000.0)
    assert not is_network_slow(5, 5, 5000.0, 5000.0) and not is_network_slow(100, 100, 400.0, 5000.0)


@given(st.lists(st.floats(0.0, 1000.0), min_size=1, max_size=80), st.floats(10.0, 900.0))
def test_above_the_least_rate_nobody_is_stepped_on_below_it_everybody_is_cut_in_time(rates, least):
    above = [max(rate, least + 20.0) for rate in rates]
    assert set(walk(above, least)) == {Step.FREE}
    below = walk([min(rate, least - 10.0) for rate in rates] + [0.0] * 12, least)
    assert below[-1] is Step.CUT


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.floats(0.0, 2e9), st.floats(1.0, 1e9))
def test_the_least_rate_rises_with_what_is_used_between_floor_and_top(floor, more, used, room):
    least = min_rate(floor, floor + more, scarcity(used, room))
    assert floor <= least <= (floor + more) * (1.0 + 1e-9)
    assert least <= min_rate(floor, floor + more, scarcity(used + room, room)) * (1.0 + 1e-9)
    assert used > room / 2.0 or least == floor


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.floats(0.0, 1.0), st.floats(0.0, 1e9))
def test_what_a_peer_occupies_raises_its_least_rate_but_never_over_the_top(floor, more, scarce, occupied):
    top = floor + more
    least = min_rate(floor, top, scarce)
    asked = min_rate_for_occupancy(least, top, scarce, occupied, 2000.0)
    assert least <= asked <= max(least, top) and asked <= min_rate_for_occupancy(
        least, top, scarce, occupied * 2.0, 2000.0
    )
    assert min_rate_for_occupancy(least, top, 0.0, occupied, 2000.0) == least


def test_what_is_asked_rises_no_faster_than_a_rate_can_follow_and_falls_at_once():
    assert (
        limit_scarcity_rise(0.0, 1.0, 100.0, 1000.0) == 0.1
        and limit_scarcity_rise(0.95, 1.0, 100.0, 1000.0) == 1.0
    )
    assert limit_scarcity_rise(1.0, 0.2, 100.0, 1000.0) == 0.2


def test_one_just_above_the_least_rate_that_occupies_much_pays_for_it_when_room_is_short():
    least = min_rate(100.0, 100_000.0, 0.01)
    rates = [least + 100.0] * 40
    assert set(walk(rates, min_rate_for_occupancy(least, 100_000.0, 0.01, 10_000.0, 4000.0))) == {Step.FREE}
    assert walk(rates, min_rate_for_occupancy(least, 100_000.0, 0.01, 1_000_000.0, 4000.0))[-1] is Step.CUT
    assert set(walk(rates, min_rate_for_occupancy(100.0, 100_000.0, 0.0, 1_000_000.0, 4000.0))) == {
        Step.FREE
    }  # plenty


def test_a_slow_network_spares_everybody_until_room_is_short_and_then_goes_one_by_one():
    assert keeps_connection(True, 0.0, True, 1e9, 100.0) and keeps_connection(True, 0.5, False, 1e9, 100.0)
    assert keeps_connection(True, 0.5, True, 99.0, 100.0) and not keeps_connection(
        True, 0.5, True, 100.0, 100.0
    )
    assert not keeps_connection(False, 0.0, False, 0.0, 100.0)


@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0.0, 50.0)), max_size=80))
def test_who_was_cut_is_remembered_for_its_time_in_bounded_room(cuts):
    memory, now, last = RecentCuts(100.0, most=8), 0.0, {}
    for peer, gap in cuts:
        now += gap
        memory.cut(("a", str(peer)), now)
        last[peer] = now
        assert memory.grace(("a", str(peer)), now, 8.0) == 4.0 and len(memory._cut) <= 8
    assert all(memory.grace(("a", str(peer)), at + 100.1, 8.0) == 8.0 for peer, at in last.items())


async def big_volume(house: GatewaySite, **more) -> None:
    for shard in range(2):
        await house.node(shard=shard)
    house.volume(extents=64, extent_bytes=256 * 1024)
    house.client(await house.gateway(cuts=ExtentSettings(hold_part=0.0), **more), "good")
    assert isinstance(await house.clients[0].read("read", "v", offset=0, length=1, deadline_ms=1400), Ok)


async def slow_reader(house: GatewaySite, per_s: float) -> asyncio.StreamWriter:
    """Asks for all there is and takes so many bytes a second of it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)  # a large one takes lumps of half a second
    sock.setblocking(False)
    host, port = house.gateways[0].address.split(":")
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=2048)
    writer.write(encode(Hello(VERSION, "client", "slow", ["parts"])))
    for id_ in range(1, 5):
        writer.write(encode(ReadRpc(id_, "export", "v", "", -1, 0, 16 * 1024 * 1024, 4900.0)))

    async def sip() -> None:
        while per_s and not writer.is_closing():
            if not await reader.read(int(per_s / 50.0)):
                return
            await asyncio.sleep(0.02)

    task = asyncio.create_task(sip())
    writer.sipping = task  # type: ignore[attr-defined]
    while not any(session.name == "slow" for session in house.gateways[0].sessions):
        await asyncio.sleep(0.005)
    return writer


async def until_cut(house: GatewaySite, patience: float = 4.0) -> bool:
    for _ in range(int(patience / 0.02)):
        if not any(session.name == "slow" for session in house.gateways[0].sessions):
            return True
        await asyncio.sleep(0.02)
    return False


def test_a_client_that_reads_nothing_is_cut_and_the_good_one_sees_no_harm():
    async def story(house: GatewaySite) -> None:
        await big_volume(house, pace=QUICK)
        writer = await slow_reader(house, 0.0)
        task = asyncio.create_task(until_cut(house))
        while not task.done():
            answer = await house.clients[0].read("read", "v", offset=0, length=4096, deadline_ms=1400)
            assert isinstance(answer, Ok)
        assert await task
        steps = [facts["step"] for event, facts in house.logs if event == "slow peer"]
        assert steps[:3] == ["held", "narrow", "cut"]
        assert not any(session.name == "slow" for session in house.gateways[0].sessions)
        assert set(house.gateways[0].open_requests) <= set()
        writer.transport.abort()

    run(story)


def test_a_cut_client_that_comes_back_has_half_the_grace():
    async def story(house: GatewaySite) -> None:
        await big_volume(house, pace=QUICK)
        took = []
        for _ in range(2):
            begun = time.monotonic()
            writer = await slow_reader(house, 0.0)
            cuts = len(took) + 1
            while sum(facts.get("step") == "cut" for _, facts in house.logs) < cuts:
                await asyncio.sleep(0.01)
            took.append(time.monotonic() - begun)
            assert await until_cut(house)
            writer.transport.abort()
        assert took[1] < took[0] - 0.15

    run(story)


def test_a_body_that_trickles_in_is_cut_in_its_middle_and_nothing_of_it_is_written():
    async def story(house: GatewaySite) -> None:
        await big_volume(house, pace=QUICK)
        _, writer = await asyncio.open_connection(*house.gateways[0].address.split(":"))
        writer.write(encode(Hello(VERSION, "client", "slow")))
        writer.write(encode(WriteRpc(1, "write", "v", "k", -1, 0, 4900.0), 100_000))
        for _ in range(200):
            if writer.is_closing() or not any(one.name in ("slow", "") for one in house.gateways[0].sessions):
                break
            writer.write(b"x" * 20)
            await asyncio.sleep(0.02)
        assert await until_cut(house)
        assert not any(("v", "k") in node.bytes for node in house.nodes)
        writer.transport.abort()

    run(story)


def test_an_answer_that_trickles_from_a_node_is_given_up_and_the_read_answered():
    async def story(house: GatewaySite) -> None:
        await big_volume(house, pace=QUICK)
        good = house.clients[0]
        house.nodes[0].trickle = 10
        slow = asyncio.create_task(good.read("export", "v", offset=0, length=60_000, deadline_ms=4500))
        for _ in range(10):
            answer = await good.read("read", "v", offset=256 * 1024, length=4096, deadline_ms=1400)
            assert isinstance(answer, Ok)  # of the other node
            await asyncio.sleep(0.02)
        assert isinstance(await slow, Rejected | Errored | Ok)
        assert any(event == "line lost" and "too slow" in facts["why"] for event, facts in house.logs)

    run(story)


def test_a_dispatcher_that_stood_still_cuts_nobody_for_it():
    async def story(house: GatewaySite) -> None:
        await big_volume(house, pace=QUICK)
        _, writer = await asyncio.open_connection(*house.gateways[0].address.split(":"))
        writer.write(encode(Hello(VERSION, "client", "slow")))
        writer.write(encode(WriteRpc(1, "write", "v", "k", -1, 0, 4900.0), 3000) + b"x" * 1000)
        await asyncio.sleep(0.05)
        time.sleep(1.2)  # longer than the way from the first step to the last
        writer.write(b"x" * 2000)
        await asyncio.sleep(0.2)
        assert any(session.name == "slow" for session in house.gateways[0].sessions)
        assert not [facts for event, facts in house.logs if event == "slow peer"]
        writer.close()

    run(story)


def test_a_peer_above_the_least_rate_is_left_alone():
    async def story(house: GatewaySite) -> None:
        await big_volume(house, pace=QUICK)
        writer = await slow_reader(house, 400_000.0)
        assert not await until_cut(house, 1.5)
        assert not [facts for event, facts in house.logs if event == "slow peer" and facts["step"] == "cut"]
        writer.transport.abort()

    run(story)

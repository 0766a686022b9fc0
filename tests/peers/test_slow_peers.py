"""Slow peers are escalated step by step and cut, and no other peer is.

A slow peer makes its data occupy memory that other requests need. A wrong decision would close the
connections of good peers: if the network is slow, if this process was stalled, or because of how data arrives
in bursts.
"""

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


def steps_at(
    rates: list[float], least: float = 100.0, grace_ms: float = 300.0, network_slow: bool = False
) -> list[Step]:
    """Return the step after each interval of 100 ms, given the peer's transfer rate in each, bytes/s."""
    rate, escalation, steps = TransferRate(200.0, 1000.0), SlowPeerEscalation(grace_ms), []
    for per_s in rates:
        rate.record(int(per_s / 10.0), 100.0)
        steps.append(escalation.update(rate.bytes_per_second(), least, 100.0, network_slow))
    return steps


def test_stalled_peer_is_escalated_step_by_step_and_cut_after_three_grace_periods_and_a_window():
    steps = steps_at([0.0] * 30)
    assert [steps.index(step) for step in (Step.HELD, Step.NARROW, Step.CUT)] == [2, 5, 8]


def test_recovering_peer_steps_back_without_oscillating_near_the_minimum_rate():
    steps = steps_at([0.0] * 4 + [120.0] * 20 + [1000.0] * 20)
    # Near the minimum, a step back takes four grace periods.
    assert steps[6] is not Step.FREE and len(set(steps[6:15])) == 1
    assert steps[6:] == sorted(steps[6:], reverse=True) and steps[-1] is Step.FREE


def test_peer_that_pauses_for_the_short_window_is_judged_by_the_long_window():
    assert Step.CUT not in steps_at(([1000.0] * 2 + [0.0] * 2) * 20)  # 500 bytes/s on average
    assert Step.CUT in steps_at(([300.0] * 1 + [0.0] * 9) * 10)  # 30 bytes/s on average


def test_no_peer_is_cut_while_the_network_is_slow():
    assert max(steps_at([0.0] * 100, network_slow=True)) is Step.NARROW
    assert is_network_slow(9, 16, 5000.0, 5000.0) and not is_network_slow(8, 16, 5000.0, 5000.0)
    assert not is_network_slow(5, 5, 5000.0, 5000.0) and not is_network_slow(100, 100, 400.0, 5000.0)


@given(st.lists(st.floats(0.0, 1000.0), min_size=1, max_size=80), st.floats(10.0, 900.0))
def test_peer_above_the_minimum_rate_is_left_alone_and_peer_below_it_is_cut(rates, least):
    above = [max(rate, least + 20.0) for rate in rates]
    assert set(steps_at(above, least)) == {Step.FREE}
    below = steps_at([min(rate, least - 10.0) for rate in rates] + [0.0] * 12, least)
    assert below[-1] is Step.CUT


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.floats(0.0, 2e9), st.floats(1.0, 1e9))
def test_minimum_rate_rises_with_used_memory_from_floor_to_top(floor, more, used, room):
    least = min_rate(floor, floor + more, scarcity(used, room))
    assert floor <= least <= (floor + more) * (1.0 + 1e-9)
    assert least <= min_rate(floor, floor + more, scarcity(used + room, room)) * (1.0 + 1e-9)
    assert used > room / 2.0 or least == floor


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.floats(0.0, 1.0), st.floats(0.0, 1e9))
def test_occupied_memory_raises_the_minimum_rate_up_to_the_top(floor, more, scarce, occupied):
    top = floor + more
    least = min_rate(floor, top, scarce)
    asked = min_rate_for_occupancy(least, top, scarce, occupied, 2000.0)
    assert least <= asked <= max(least, top) and asked <= min_rate_for_occupancy(
        least, top, scarce, occupied * 2.0, 2000.0
    )
    assert min_rate_for_occupancy(least, top, 0.0, occupied, 2000.0) == least


def test_scarcity_rises_no_faster_than_a_measured_rate_can_follow_and_falls_at_once():
    assert (
        limit_scarcity_rise(0.0, 1.0, 100.0, 1000.0) == 0.1
        and limit_scarcity_rise(0.95, 1.0, 100.0, 1000.0) == 1.0
    )
    assert limit_scarcity_rise(1.0, 0.2, 100.0, 1000.0) == 0.2


def test_peer_that_occupies_much_memory_needs_a_higher_rate_when_memory_is_scarce():
    least = min_rate(100.0, 100_000.0, 0.01)
    rates = [least + 100.0] * 40
    assert set(steps_at(rates, min_rate_for_occupancy(least, 100_000.0, 0.01, 10_000.0, 4000.0))) == {
        Step.FREE
    }
    assert (
        steps_at(rates, min_rate_for_occupancy(least, 100_000.0, 0.01, 1_000_000.0, 4000.0))[-1] is Step.CUT
    )
    assert set(steps_at(rates, min_rate_for_occupancy(100.0, 100_000.0, 0.0, 1_000_000.0, 4000.0))) == {
        Step.FREE
    }  # memory is plentiful


def test_slow_network_spares_peers_until_memory_is_scarce_then_cuts_one_per_grace_period():
    assert keeps_connection(True, 0.0, True, 1e9, 100.0) and keeps_connection(True, 0.5, False, 1e9, 100.0)
    assert keeps_connection(True, 0.5, True, 99.0, 100.0) and not keeps_connection(
        True, 0.5, True, 100.0, 100.0
    )
    assert not keeps_connection(False, 0.0, False, 0.0, 100.0)


@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0.0, 50.0)), max_size=80))
def test_recent_cuts_are_remembered_for_the_retention_time_in_a_bounded_table(cuts):
    recent, now, last_cut = RecentCuts(100.0, max_entries=8), 0.0, {}
    for peer, gap in cuts:
        now += gap
        recent.cut(("a", str(peer)), now)
        last_cut[peer] = now
        assert recent.grace(("a", str(peer)), now, 8.0) == 4.0 and len(recent._cut_at_ms) <= 8
    assert all(recent.grace(("a", str(peer)), at + 100.1, 8.0) == 8.0 for peer, at in last_cut.items())


async def start_big_volume(site: GatewaySite, **more) -> None:
    for shard in range(2):
        await site.node(shard=shard)
    site.volume(extents=64, extent_bytes=256 * 1024)
    site.client(await site.gateway(cuts=ExtentSettings(hold_part=0.0), **more), "good")
    assert isinstance(await site.clients[0].read("read", "v", offset=0, length=1, deadline_ms=1400), Ok)


async def connect_slow_reader(site: GatewaySite, per_s: float) -> asyncio.StreamWriter:
    """Connect a client that reads the whole volume, but takes only `per_s` bytes/s of the answers."""
    sock = socket.socket()
    # A large buffer would take bursts every half second.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.setblocking(False)
    host, port = site.gateways[0].address.split(":")
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=2048)
    writer.write(encode(Hello(VERSION, "client", "slow", ["parts"])))
    for id_ in range(1, 5):
        writer.write(encode(ReadRpc(id_, "export", "v", "", -1, 0, 16 * 1024 * 1024, 4900.0)))

    async def read_slowly() -> None:
        while per_s and not writer.is_closing():
            if not await reader.read(int(per_s / 50.0)):
                return
            await asyncio.sleep(0.02)

    task = asyncio.create_task(read_slowly())
    writer.sipping = task  # type: ignore[attr-defined]
    while not any(session.name == "slow" for session in site.gateways[0].sessions):
        await asyncio.sleep(0.005)
    return writer


async def wait_until_cut(site: GatewaySite, timeout_s: float = 4.0) -> bool:
    for _ in range(int(timeout_s / 0.02)):
        if not any(session.name == "slow" for session in site.gateways[0].sessions):
            return True
        await asyncio.sleep(0.02)
    return False


def test_client_that_reads_nothing_is_cut_and_good_client_is_not_affected():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        writer = await connect_slow_reader(site, 0.0)
        task = asyncio.create_task(wait_until_cut(site))
        while not task.done():
            answer = await site.clients[0].read("read", "v", offset=0, length=4096, deadline_ms=1400)
            assert isinstance(answer, Ok)
        assert await task
        steps = [facts["step"] for event, facts in site.logs if event == "slow peer"]
        assert steps[:3] == ["held", "narrow", "cut"]
        assert not any(session.name == "slow" for session in site.gateways[0].sessions)
        assert set(site.gateways[0].open_requests) <= set()
        writer.transport.abort()

    run(scenario)


def test_cut_client_that_reconnects_has_half_the_grace_period():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        took = []
        for _ in range(2):
            begun = time.monotonic()
            writer = await connect_slow_reader(site, 0.0)
            cuts = len(took) + 1
            while sum(facts.get("step") == "cut" for _, facts in site.logs) < cuts:
                await asyncio.sleep(0.01)
            took.append(time.monotonic() - begun)
            assert await wait_until_cut(site)
            writer.transport.abort()
        assert took[1] < took[0] - 0.15

    run(scenario)


def test_client_that_trickles_a_body_is_cut_and_nothing_is_written():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        _, writer = await asyncio.open_connection(*site.gateways[0].address.split(":"))
        writer.write(encode(Hello(VERSION, "client", "slow")))
        writer.write(encode(WriteRpc(1, "write", "v", "k", -1, 0, 4900.0), 100_000))
        for _ in range(200):
            if writer.is_closing() or not any(one.name in ("slow", "") for one in site.gateways[0].sessions):
                break
            writer.write(b"x" * 20)
            await asyncio.sleep(0.02)
        assert await wait_until_cut(site)
        assert not any(("v", "k") in node.bytes for node in site.nodes)
        writer.transport.abort()

    run(scenario)


def test_node_that_trickles_an_answer_is_cut_and_the_read_is_answered():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        good = site.clients[0]
        site.nodes[0].trickle = 10
        slow = asyncio.create_task(good.read("export", "v", offset=0, length=60_000, deadline_ms=4500))
        for _ in range(10):
            answer = await good.read("read", "v", offset=256 * 1024, length=4096, deadline_ms=1400)
            assert isinstance(answer, Ok)  # its extent is on the other node
            await asyncio.sleep(0.02)
        assert isinstance(await slow, Rejected | Errored | Ok)
        assert any(event == "line lost" and "too slow" in facts["why"] for event, facts in site.logs)

    run(scenario)


def test_stalled_dispatcher_cuts_no_peer_for_its_own_stall():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        _, writer = await asyncio.open_connection(*site.gateways[0].address.split(":"))
        writer.write(encode(Hello(VERSION, "client", "slow")))
        writer.write(encode(WriteRpc(1, "write", "v", "k", -1, 0, 4900.0), 3000) + b"x" * 1000)
        await asyncio.sleep(0.05)
        time.sleep(1.2)  # longer than the escalation to the last step takes
        writer.write(b"x" * 2000)
        await asyncio.sleep(0.2)
        assert any(session.name == "slow" for session in site.gateways[0].sessions)
        assert not [facts for event, facts in site.logs if event == "slow peer"]
        writer.close()

    run(scenario)


def test_client_above_the_minimum_rate_is_not_cut():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        writer = await connect_slow_reader(site, 400_000.0)
        assert not await wait_until_cut(site, 1.5)
        assert not [facts for event, facts in site.logs if event == "slow peer" and facts["step"] == "cut"]
        writer.transport.abort()

    run(scenario)

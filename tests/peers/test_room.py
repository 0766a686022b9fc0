"""Memory for bodies, from client connection to node connection.

If bodies were received without limit, slow peers would make the process run out of memory. These tests check
that bodies wait for memory, that clients are told when none becomes available, and that pressed work keeps
its part.
"""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace

from support.gateway_site import TRADE, GatewaySite, run

from cherrygrade.client import Ok, Rejected
from cherrygrade.peers.slow_peer_escalation import Step
from cherrygrade.scheduling.model import SlowStartSettings
from cherrygrade.settings import ExtentSettings, FlowControlSettings, LimitSettings, NodeConnectionSettings
from cherrygrade.standin.node import Build, Node
from cherrygrade.wire.frames import encode
from cherrygrade.wire.messages import VERSION, Hello, ReadRpc, WriteRpc

K = 1024
SMALL = FlowControlSettings(
    room=256 * K, batch_room=128 * K, most_peer=200 * K, most_slow=64 * K, floor=1.0, top=2.0
)
SMALL_BODIES = LimitSettings(most_body=128 * K)
QUICK = FlowControlSettings(
    room=6144 * K, batch_room=4096 * K, most_peer=1024 * K, most_slow=2048 * K,
    floor=20_000.0, top=200_000.0, short_ms=200.0, long_ms=500.0, grace_ms=200.0,
)  # fmt: skip


async def connect_deaf(site: GatewaySite, name: str, *frames: bytes, buffer: int = 4096) -> socket.socket:
    """Connect a client that sends frames and never reads."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    sock.setblocking(False)
    host, port = site.gateways[0].address.split(":")
    await loop.sock_connect(sock, (host, int(port)))
    await loop.sock_sendall(sock, encode(Hello(VERSION, "client", name, ["parts"])) + b"".join(frames))
    return sock


async def until(condition, timeout_s: float = 4.0) -> bool:
    for _ in range(int(timeout_s / 0.01)):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


async def start_big_volume(
    site: GatewaySite, nodes: int = 2, extents: int = 32, extent: int = 64 * K, **more
):
    for shard in range(nodes):
        await site.node(shard=shard, build=more.pop("build", None) if not shard else None)
    site.volume(extents=extents, extent_bytes=extent)
    client = site.client(await site.gateway(cuts=ExtentSettings(hold_part=0.0), **more), "good")
    assert isinstance(await client.read("read", "v", offset=0, length=1, deadline_ms=1400), Ok)
    return client


async def fill_with_writes(site: GatewaySite, stall_ms: float) -> tuple[Node, list[asyncio.Task]]:
    """Fill a small memory budget with two writes to a node that stalls for `stall_ms`."""
    node = await site.node(shard=0)
    client = site.client(await site.gateway(pace=SMALL, bounds=SMALL_BODIES))
    node.act("still", {"for_ms": stall_ms})
    writes = [
        asyncio.create_task(
            client.write("write", "v", f"k{index}", b"a" * 100 * K, shard=0, deadline_ms=1400)
        )
        for index in range(2)
    ]
    assert await until(lambda: site.gateways[0].rooms.budget.used_bytes == 200 * K)
    return node, writes


def test_body_waits_for_memory_and_is_written_completely():
    async def scenario(site: GatewaySite) -> None:
        node, first_writes = await fill_with_writes(site, 40.0)
        late = site.client(site.gateways[0], "late")
        answer = await late.write("write", "v", "late", b"b" * 100 * K, shard=0, deadline_ms=1400)
        assert isinstance(answer, Ok) and bytes(node.bytes[("v", "late")]) == b"b" * 100 * K
        assert site.gateways[0].rooms.waited == 1
        assert all(isinstance(one, Ok) for one in await asyncio.gather(*first_writes))

    run(scenario)


def test_body_that_gets_no_memory_in_time_is_rejected_and_the_connection_goes_on():
    async def scenario(site: GatewaySite) -> None:
        node, first_writes = await fill_with_writes(site, 150.0)
        late, begun = site.client(site.gateways[0], "late"), time.monotonic()
        answer = await late.write("write", "v", "late", b"b" * 100 * K, shard=0, deadline_ms=1400)
        assert isinstance(answer, Rejected) and answer.come_back_ms == 500.0 and "room" in answer.reason
        assert time.monotonic() - begun < 0.3  # a body may wait for a quarter of its latency objective, 75 ms
        await asyncio.gather(*first_writes)
        small = await late.write("write", "v", "late", b"c" * 10, shard=0, deadline_ms=1400)
        assert isinstance(small, Ok) and bytes(node.bytes[("v", "late")]) == b"c" * 10

    run(scenario)


def test_discarded_body_is_never_acknowledged_even_if_memory_is_free_by_its_end():
    async def scenario(site: GatewaySite) -> None:
        node = await site.node(shard=0)
        client = site.client(await site.gateway(bounds=LimitSettings(most_held=1)))
        node.act("still", {"for_ms": 100.0})
        first = asyncio.create_task(client.read("read", "v", "k", shard=0, length=10, deadline_ms=1400))
        await asyncio.sleep(0.03)
        reader, writer = await asyncio.open_connection(*site.gateways[0].address.split(":"))
        writer.write(encode(Hello(VERSION, "client", "late")))
        writer.write(encode(WriteRpc(1, "write", "v", "late", 0, 0, 1400.0), 3000) + b"x" * 1000)
        assert isinstance(await first, Ok)
        await asyncio.sleep(0.02)
        writer.write(b"x" * 2000)
        answers = await asyncio.wait_for(reader.read(4096), 1.0)
        await asyncio.sleep(0.05)
        answers += await asyncio.wait_for(reader.read(4096), 1.0) if b"no room" not in answers else b""
        assert b"no room" in answers and ("v", "late") not in node.bytes
        writer.close()

    run(scenario)


def test_client_that_disconnects_while_its_body_waits_leaves_no_reservation():
    async def scenario(site: GatewaySite) -> None:
        node, first_writes = await fill_with_writes(site, 200.0)
        sock = await connect_deaf(
            site, "gone", encode(WriteRpc(1, "write", "v", "gone", 0, 0, 1400.0), 100 * K) + b"x" * K
        )
        rooms = site.gateways[0].rooms
        assert await until(lambda: rooms.budget.waiting_count == 1)
        sock.close()
        assert await until(lambda: rooms.budget.waiting_count == 0)
        assert all(isinstance(one, Ok) for one in await asyncio.gather(*first_writes))
        assert ("v", "gone") not in node.bytes

    run(scenario)


def test_write_keeps_its_memory_after_its_client_disconnects_until_its_attempt_ends():
    async def scenario(site: GatewaySite) -> None:
        node = await site.node(shard=0)
        gateway = await site.gateway(pace=SMALL, bounds=SMALL_BODIES)
        client = site.client(gateway)  # its read opens the connection to the node
        assert isinstance(await client.read("read", "v", "r", shard=0, length=10, deadline_ms=1400), Ok)
        budget = gateway.rooms.budget
        # The prepaid credit of the read is returned by a periodic check.
        assert await until(lambda: budget.used_bytes == 0)
        node.silent = True
        sock = await connect_deaf(
            site, "gone", encode(WriteRpc(1, "write", "v", "k", 0, 0, 600.0), 100 * K) + b"x" * 100 * K
        )
        assert await until(lambda: any(line[1] == "silent" for line in node.record.lines))
        sock.close()
        assert await until(lambda: all(one.name != "gone" for one in gateway.sessions))
        assert budget.used_bytes == 100 * K  # the frame may be in the connection's buffer, or be sent again
        assert await until(lambda: budget.used_bytes == 0)

    run(scenario)


def test_writes_to_a_cold_node_fill_the_batch_part_and_pressed_reads_still_get_memory():
    async def scenario(site: GatewaySite) -> None:
        await site.node(shard=0)
        cold = await site.node(shard=1, listed=False)
        site.register.set(cold.address, "z", 1, "live", 1, 0.0)
        slow = FlowControlSettings(room=256 * K, batch_room=128 * K, most_peer=256 * K, wait_part=0.05)
        client = site.client(
            await site.gateway(
                pace=slow,
                bounds=SMALL_BODIES,
                cold=SlowStartSettings(
                    base_units=1.0,
                    cold_capacity=1.0,
                    overload_multiple=1.0,
                    window_ms=5000.0,
                    warm_up_ms=60000.0,
                ),
            )
        )
        while len(site.gateways[0].nodes.by_address) < 2:
            await asyncio.sleep(0.005)
        writes = [
            asyncio.create_task(
                client.write("once", "v", f"k{index}", b"x" * 30 * K, shard=1, deadline_ms=1400)
            )
            for index in range(12)
        ]
        await asyncio.sleep(0.1)
        budget = site.gateways[0].rooms.budget
        assert budget.batch_bytes > 90 * K and budget.batch_bytes <= 128 * K
        for index in range(10):
            answer = await client.read("read", "v", f"r{index}", shard=0, length=8 * K, deadline_ms=1400)
            assert isinstance(answer, Ok)
        answers = await asyncio.gather(*writes)
        assert not any(isinstance(one, Ok) for one in answers[4:])
        assert all(isinstance(one, Rejected) and one.come_back_ms > 0.0 for one in answers[4:])
        assert budget.used_bytes == 0

    run(scenario)


def test_five_hundred_slow_clients_leave_memory_for_pressed_reads():
    async def scenario(site: GatewaySite) -> None:
        good = await start_big_volume(
            site, pace=QUICK, bounds=LimitSettings(most_body=2048 * K, most_silent=600)
        )
        budget, highest = site.gateways[0].rooms.budget, 0
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks, taken = [], []
        for index in range(500):
            socks.append(await connect_deaf(site, f"slow{index}", ask))
            if index % 10 == 0:
                begun = time.monotonic()
                answer = await good.read("read", "v", offset=index * 100, length=4096, deadline_ms=1400)
                taken.append(time.monotonic() - begun)
                assert isinstance(answer, Ok)
            highest = max(highest, budget.used_bytes)
            assert (
                budget.used_bytes <= budget.capacity_bytes
                and budget.batch_bytes <= budget.batch_capacity_bytes
            )
        assert highest > 3072 * K  # the slow clients did fill their part
        cut = [facts["step"] for event, facts in site.logs if event == "slow peer"].count
        await until(lambda: cut("cut") > 10, 3.0)
        for _ in range(20):
            assert isinstance(await good.read("read", "v", offset=4096, length=4096, deadline_ms=1400), Ok)
            assert budget.used_bytes <= budget.capacity_bytes
        assert all(facts["name"] != "good" for event, facts in site.logs if event == "slow peer")
        for sock in socks:
            sock.close()

    run(scenario)


def test_part_of_a_coalesced_read_for_a_slow_client_does_not_retain_the_whole_body():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, nodes=1, pace=QUICK, build=Build(unit_ms=1.0, put_off=0.0))
        gateway, node = site.gateways[0], site.nodes[0]
        exports = encode(ReadRpc(1, "export", "v", "", -1, 0, 1024 * K, 4900.0))
        sock = await connect_deaf(site, "slow", exports)
        assert await until(lambda: any(one.conn.waiting for one in gateway.sessions))
        slow = next(one for one in gateway.sessions if one.name == "slow")
        node.act("still", {"for_ms": 50.0})
        loop, good = asyncio.get_running_loop(), site.clients[0]
        blocked = [
            asyncio.create_task(good.read("read", "v", f"b{index}", shard=0, length=10, deadline_ms=1400))
            for index in range(8)
        ]
        await asyncio.sleep(0.01)
        await loop.sock_sendall(sock, encode(ReadRpc(2, "read", "v", "", -1, 4 * K, 4 * K, 1400.0)))
        answers = await asyncio.gather(
            *(good.read("read", "v", offset=at * 4 * K, length=4 * K, deadline_ms=1400) for at in (0, 2, 3)),
            *blocked,
        )
        assert all(isinstance(answer, Ok) for answer in answers)
        shared = [line for line in node.record.lines if line[1] == "recv" and "slow:2" in str(line)]
        assert shared
        views = [piece for piece in slow.conn._unsent if isinstance(piece, memoryview)]
        assert all(len(view) == memoryview(view.obj).nbytes for view in views if len(view) <= 4 * K)
        sock.close()

    run(scenario)


def test_export_over_ten_nodes_of_which_one_trickles_ends_without_harm_to_others():
    async def scenario(site: GatewaySite) -> None:
        good = await start_big_volume(
            site, nodes=10, extents=40, pace=QUICK, lines=NodeConnectionSettings(most=2)
        )
        site.nodes[7].trickle = 10
        export = asyncio.create_task(good.read("export", "v", offset=0, length=40 * 64 * K, deadline_ms=4500))
        other = site.client(site.gateways[0], "other")
        for turn in range(30):
            at = (turn % 7) * 64 * K
            assert isinstance(await other.read("read", "v", offset=at, length=4096, deadline_ms=1400), Ok)
        begun = time.monotonic()
        await export
        assert time.monotonic() - begun < 4.5
        lost = [facts for event, facts in site.logs if event == "line lost"]
        assert lost and {facts["node"] for facts in lost} == {site.nodes[7].address}

    run(scenario)


def test_clients_are_not_escalated_for_a_node_that_does_not_answer():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        site.nodes[0].silent = True
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 4096, 4900.0))  # the extent is on the silent node
        socks = [await connect_deaf(site, f"waits{index}", ask) for index in range(5)]
        await asyncio.sleep(1.2)  # more than three grace periods
        assert not [facts for event, facts in site.logs if event == "slow peer" and facts["name"]]
        for sock in socks:
            sock.close()

    run(scenario)


def test_slow_clients_and_a_trickling_node_are_each_cut_for_their_own_slowness():
    async def scenario(site: GatewaySite) -> None:
        good = await start_big_volume(site, pace=QUICK)
        gateway, node = site.gateways[0], site.nodes[0]
        first = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await connect_deaf(site, f"sips{index}", first) for index in range(3)]
        assert await until(lambda: gateway.rooms.budget.used_bytes > 512 * K)
        node.trickle = 10
        again = encode(ReadRpc(2, "export", "v", "", -1, 0, 64 * K, 4900.0))  # an extent of this node
        for sock in socks:
            await asyncio.get_running_loop().sock_sendall(sock, again)

        def cut() -> int:
            return sum(facts.get("step") == "cut" for event, facts in site.logs if event == "slow peer")

        def lost() -> list[str]:
            return [facts["node"] for event, facts in site.logs if event == "line lost"]

        while cut() < 3 or not lost():
            answer = await good.read("read", "v", offset=64 * K, length=4096, deadline_ms=1400)
            assert isinstance(answer, Ok)  # its extent is on the other node
        assert set(lost()) == {node.address}
        assert await until(lambda: gateway.rooms.budget.used_bytes == 0)
        for sock in socks:
            sock.close()

    run(scenario)


def test_no_client_is_cut_if_all_clients_are_slow():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(
            site, pace=replace(QUICK, grace_ms=500.0, room=64 * 1024 * K, batch_room=64 * 1024 * K)
        )
        site.clients[0].close()
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await connect_deaf(site, f"c{index}", ask) for index in range(12)]
        await asyncio.sleep(2.4)  # the socket buffers fill, then three grace periods pass
        steps = {facts["step"] for event, facts in site.logs if event == "slow peer"}
        assert steps == {"held", "narrow"} and len(site.gateways[0].sessions) >= 12
        for sock in socks:
            sock.close()

    run(scenario)


def test_if_the_network_is_slow_and_memory_scarce_the_heaviest_clients_are_cut_one_by_one():
    async def scenario(site: GatewaySite) -> None:
        # Three grace periods have to be longer than the window without a good transfer by which a slow
        # network is recognized, because the operating system decides when, and in which order, socket
        # buffers fill.
        pace = replace(QUICK, grace_ms=400.0)
        await start_big_volume(site, pace=pace, bounds=LimitSettings(most_body=2048 * K))
        site.clients[0].close()
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await connect_deaf(site, f"c{index}", ask) for index in range(12)]
        cuts: list[float] = []
        while len(cuts) < 3:
            await asyncio.sleep(0.02)
            seen = sum(facts.get("step") == "cut" for event, facts in site.logs if event == "slow peer")
            cuts += [time.monotonic()] * (seen - len(cuts))
        assert cuts[2] - cuts[0] >= 2 * 0.4 - 0.1  # at least a grace period apart
        for sock in socks:
            sock.close()

    run(scenario)


def test_half_closed_client_and_client_that_reads_one_byte_are_cut_and_free_their_memory():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK)
        gateway = site.gateways[0]
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        half, sips = await connect_deaf(site, "half", ask), await connect_deaf(site, "sips", ask)
        assert await until(lambda: gateway.rooms.budget.used_bytes > 0)
        half.shutdown(socket.SHUT_WR)
        await asyncio.get_running_loop().sock_recv(sips, 1)
        assert await until(lambda: all(one.name == "good" for one in gateway.sessions))
        assert gateway.rooms.budget.used_bytes == 0
        half.close()
        sips.close()

    run(scenario)


def test_connections_without_hello_do_not_lock_out_a_client():
    async def scenario(site: GatewaySite) -> None:
        await site.node(shard=0)
        gateway = await site.gateway(bounds=LimitSettings(most_clients=20, most_silent=5, hello_ms=5000.0))
        host, port = gateway.address.split(":")
        crowd = [await asyncio.open_connection(host, int(port)) for _ in range(60)]
        client = site.client(gateway)
        answer = await client.read("read", "v", "k", shard=0, length=10, deadline_ms=1400)
        assert isinstance(answer, Ok) and len(gateway.sessions) <= 6
        for _, writer in crowd:
            writer.close()

    run(scenario)


def test_memory_of_slow_clients_counts_towards_the_limit_of_slow_peers():
    async def scenario(site: GatewaySite) -> None:
        await start_big_volume(site, pace=QUICK, trade=TRADE)
        gateway = site.gateways[0]
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await connect_deaf(site, f"slow{index}", ask) for index in range(4)]
        held = [one for one in gateway.sessions if one.name.startswith("slow")]
        assert await until(lambda: any(one.slow is Step.HELD for one in held))
        budget = gateway.rooms.budget
        assert budget.slow_bytes == sum(one.account.used_bytes for one in gateway.sessions if one.slow)
        for sock in socks:
            sock.close()
        assert await until(lambda: budget.used_bytes == 0 and budget.slow_bytes == 0)

    run(scenario)

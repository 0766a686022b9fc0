"""Room for bodies between sockets: what is short of it waits, is told, and pressed work keeps its own."""

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


async def raw(house: GatewaySite, name: str, *frames: bytes, buffer: int = 4096) -> socket.socket:
    """A client that speaks and never listens."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    sock.setblocking(False)
    host, port = house.gateways[0].address.split(":")
    await loop.sock_connect(sock, (host, int(port)))
    await loop.sock_sendall(sock, encode(Hello(VERSION, "client", name, ["parts"])) + b"".join(frames))
    return sock


async def until(true, patience: float = 4.0) -> bool:
    for _ in range(int(patience / 0.01)):
        if true():
            return True
        await asyncio.sleep(0.01)
    return False


async def big(house: GatewaySite, nodes: int = 2, extents: int = 32, extent: int = 64 * K, **more):
    for shard in range(nodes):
        await house.node(shard=shard, build=more.pop("build", None) if not shard else None)
    house.volume(extents=extents, extent_bytes=extent)
    client = house.client(await house.gateway(cuts=ExtentSettings(hold_part=0.0), **more), "good")
    assert isinstance(await client.read("read", "v", offset=0, length=1, deadline_ms=1400), Ok)
    return client


async def full_of_writes(house: GatewaySite, still_ms: float) -> tuple[Node, list[asyncio.Task]]:
    """A small store, full of two writes to a node that stands still for a while."""
    node = await house.node(shard=0)
    client = house.client(await house.gateway(pace=SMALL, bounds=SMALL_BODIES))
    node.act("still", {"for_ms": still_ms})
    writes = [
        asyncio.create_task(
            client.write("write", "v", f"k{index}", b"a" * 100 * K, shard=0, deadline_ms=1400)
        )
        for index in range(2)
    ]
    assert await until(lambda: house.gateways[0].rooms.budget.used_bytes == 200 * K)
    return node, writes


def test_a_body_that_finds_no_room_waits_and_is_written_whole_once_there_is():
    async def story(house: GatewaySite) -> None:
        node, first = await full_of_writes(house, 40.0)
        late = house.client(house.gateways[0], "late")
        answer = await late.write("write", "v", "late", b"b" * 100 * K, shard=0, deadline_ms=1400)
        assert isinstance(answer, Ok) and bytes(node.bytes[("v", "late")]) == b"b" * 100 * K
        assert house.gateways[0].rooms.waited == 1
        assert all(isinstance(one, Ok) for one in await asyncio.gather(*first))

    run(story)


def test_a_body_that_finds_no_room_in_time_is_told_when_to_come_back_and_the_line_goes_on():
    async def story(house: GatewaySite) -> None:
        node, first = await full_of_writes(house, 150.0)
        late, begun = house.client(house.gateways[0], "late"), time.monotonic()
        answer = await late.write("write", "v", "late", b"b" * 100 * K, shard=0, deadline_ms=1400)
        assert isinstance(answer, Rejected) and answer.come_back_ms == 500.0 and "room" in answer.reason
        assert time.monotonic() - begun < 0.3  # a quarter of its soft deadline is 75 ms
        await asyncio.gather(*first)
        small = await late.write("write", "v", "late", b"c" * 10, shard=0, deadline_ms=1400)
        assert isinstance(small, Ok) and bytes(node.bytes[("v", "late")]) == b"c" * 10

    run(story)


def test_a_body_dropped_for_a_full_house_is_never_acknowledged_though_the_house_empties_meanwhile():
    async def story(house: GatewaySite) -> None:
        node = await house.node(shard=0)
        client = house.client(await house.gateway(bounds=LimitSettings(most_held=1)))
        node.act("still", {"for_ms": 100.0})
        first = asyncio.create_task(client.read("read", "v", "k", shard=0, length=10, deadline_ms=1400))
        await asyncio.sleep(0.03)
        reader, writer = await asyncio.open_connection(*house.gateways[0].address.split(":"))
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

    run(story)


def test_a_client_that_goes_while_its_body_waits_leaves_nothing_behind():
    async def story(house: GatewaySite) -> None:
        node, first = await full_of_writes(house, 200.0)
        sock = await raw(
            house, "gone", encode(WriteRpc(1, "write", "v", "gone", 0, 0, 1400.0), 100 * K) + b"x" * K
        )
        rooms = house.gateways[0].rooms
        assert await until(lambda: rooms.budget.waiting_count == 1)
        sock.close()
        assert await until(lambda: rooms.budget.waiting_count == 0)
        assert all(isinstance(one, Ok) for one in await asyncio.gather(*first))
        assert ("v", "gone") not in node.bytes

    run(story)


def test_a_write_whose_client_is_gone_holds_its_room_while_its_send_is_out():
    async def story(house: GatewaySite) -> None:
        node = await house.node(shard=0)
        gateway = await house.gateway(pace=SMALL, bounds=SMALL_BODIES)
        client = house.client(gateway)  # brings a line to the node
        assert isinstance(await client.read("read", "v", "r", shard=0, length=10, deadline_ms=1400), Ok)
        store = gateway.rooms.budget
        assert await until(lambda: store.used_bytes == 0)  # the read's purse is given back now and then
        node.silent = True
        sock = await raw(
            house, "gone", encode(WriteRpc(1, "write", "v", "k", 0, 0, 600.0), 100 * K) + b"x" * 100 * K
        )
        assert await until(lambda: any(line[1] == "silent" for line in node.record.lines))
        sock.close()
        assert await until(lambda: all(one.name != "gone" for one in gateway.sessions))
        assert store.used_bytes == 100 * K  # its frame may have to go again, or stands in the node's line
        assert await until(lambda: store.used_bytes == 0)

    run(story)


def test_writes_that_wait_for_a_cold_node_fill_their_part_and_pressed_reads_still_come_in():
    async def story(house: GatewaySite) -> None:
        await house.node(shard=0)
        cold = await house.node(shard=1, listed=False)
        house.register.set(cold.address, "z", 1, "live", 1, 0.0)
        slow = FlowControlSettings(room=256 * K, batch_room=128 * K, most_peer=256 * K, wait_part=0.05)
        client = house.client(
            await house.gateway(
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
        while len(house.gateways[0].nodes.by_address) < 2:
            await asyncio.sleep(0.005)
        writes = [
            asyncio.create_task(
                client.write("once", "v", f"k{index}", b"x" * 30 * K, shard=1, deadline_ms=1400)
            )
            for index in range(12)
        ]
        await asyncio.sleep(0.1)
        store = house.gateways[0].rooms.budget
        assert store.batch_bytes > 90 * K and store.batch_bytes <= 128 * K
        for index in range(10):
            answer = await client.read("read", "v", f"r{index}", shard=0, length=8 * K, deadline_ms=1400)
            assert isinstance(answer, Ok)
        answers = await asyncio.gather(*writes)
        assert not any(isinstance(one, Ok) for one in answers[4:])
        assert all(isinstance(one, Rejected) and one.come_back_ms > 0.0 for one in answers[4:])
        assert store.used_bytes == 0

    run(story)


def test_five_hundred_slow_clients_in_a_second_leave_pressed_reads_their_room():
    async def story(house: GatewaySite) -> None:
        good = await big(house, pace=QUICK, bounds=LimitSettings(most_body=2048 * K, most_silent=600))
        store, highest = house.gateways[0].rooms.budget, 0
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks, taken = [], []
        for index in range(500):
            socks.append(await raw(house, f"slow{index}", ask))
            if index % 10 == 0:
                begun = time.monotonic()
                answer = await good.read("read", "v", offset=index * 100, length=4096, deadline_ms=1400)
                taken.append(time.monotonic() - begun)
                assert isinstance(answer, Ok)
            highest = max(highest, store.used_bytes)
            assert (
                store.used_bytes <= store.capacity_bytes and store.batch_bytes <= store.batch_capacity_bytes
            )
        assert highest > 3072 * K  # they did fill what they may
        cut = [facts["step"] for event, facts in house.logs if event == "slow peer"].count
        await until(lambda: cut("cut") > 10, 3.0)
        for _ in range(20):
            assert isinstance(await good.read("read", "v", offset=4096, length=4096, deadline_ms=1400), Ok)
            assert store.used_bytes <= store.capacity_bytes
        assert all(facts["name"] != "good" for event, facts in house.logs if event == "slow peer")
        for sock in socks:
            sock.close()

    run(story)


def test_a_part_of_a_shared_send_for_a_slow_client_does_not_keep_all_of_it():
    async def story(house: GatewaySite) -> None:
        await big(house, nodes=1, pace=QUICK, build=Build(unit_ms=1.0, put_off=0.0))
        gateway, node = house.gateways[0], house.nodes[0]
        exports = encode(ReadRpc(1, "export", "v", "", -1, 0, 1024 * K, 4900.0))
        sock = await raw(house, "slow", exports)
        assert await until(lambda: any(one.conn.waiting for one in gateway.sessions))
        slow = next(one for one in gateway.sessions if one.name == "slow")
        node.act("still", {"for_ms": 50.0})
        loop, good = asyncio.get_running_loop(), house.clients[0]
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
        views = [piece for piece in slow.conn._pieces if isinstance(piece, memoryview)]
        assert all(len(view) == memoryview(view.obj).nbytes for view in views if len(view) <= 4 * K)
        sock.close()

    run(story)


def test_an_export_over_ten_nodes_with_one_that_trickles_ends_once_and_hurts_nobody():
    async def story(house: GatewaySite) -> None:
        good = await big(house, nodes=10, extents=40, pace=QUICK, lines=NodeConnectionSettings(most=2))
        house.nodes[7].trickle = 10
        export = asyncio.create_task(good.read("export", "v", offset=0, length=40 * 64 * K, deadline_ms=4500))
        other = house.client(house.gateways[0], "other")
        for turn in range(30):
            at = (turn % 7) * 64 * K
            assert isinstance(await other.read("read", "v", offset=at, length=4096, deadline_ms=1400), Ok)
        begun = time.monotonic()
        await export
        assert time.monotonic() - begun < 4.5
        lost = [facts for event, facts in house.logs if event == "line lost"]
        assert lost and {facts["node"] for facts in lost} == {house.nodes[7].address}

    run(story)


def test_slow_clients_are_not_charged_for_a_slow_node_that_holds_what_they_asked_for():
    async def story(house: GatewaySite) -> None:
        await big(house, pace=QUICK)
        house.nodes[0].silent = True
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 4096, 4900.0))  # of the silent node alone
        socks = [await raw(house, f"waits{index}", ask) for index in range(5)]
        await asyncio.sleep(1.2)  # three graces and more
        assert not [facts for event, facts in house.logs if event == "slow peer" and facts["name"]]
        for sock in socks:
            sock.close()

    run(story)


def test_slow_clients_and_a_node_that_trickles_on_one_extent_each_answer_for_themselves():
    async def story(house: GatewaySite) -> None:
        good = await big(house, pace=QUICK)
        gateway, node = house.gateways[0], house.nodes[0]
        first = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await raw(house, f"sips{index}", first) for index in range(3)]
        assert await until(lambda: gateway.rooms.budget.used_bytes > 512 * K)
        node.trickle = 10
        again = encode(ReadRpc(2, "export", "v", "", -1, 0, 64 * K, 4900.0))  # the node's own extent
        for sock in socks:
            await asyncio.get_running_loop().sock_sendall(sock, again)

        def cut() -> int:
            return sum(facts.get("step") == "cut" for event, facts in house.logs if event == "slow peer")

        def lost() -> list[str]:
            return [facts["node"] for event, facts in house.logs if event == "line lost"]

        while cut() < 3 or not lost():
            answer = await good.read("read", "v", offset=64 * K, length=4096, deadline_ms=1400)
            assert isinstance(answer, Ok)  # of the other node
        assert set(lost()) == {node.address}
        assert await until(lambda: gateway.rooms.budget.used_bytes == 0)
        for sock in socks:
            sock.close()

    run(story)


def test_where_the_whole_network_slows_nobody_is_cut():
    async def story(house: GatewaySite) -> None:
        await big(house, pace=replace(QUICK, grace_ms=500.0, room=64 * 1024 * K, batch_room=64 * 1024 * K))
        house.clients[0].close()
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await raw(house, f"c{index}", ask) for index in range(12)]
        await asyncio.sleep(2.4)  # the socket buffers fill, then three graces
        steps = {facts["step"] for event, facts in house.logs if event == "slow peer"}
        assert steps == {"held", "narrow"} and len(house.gateways[0].sessions) >= 12
        for sock in socks:
            sock.close()

    run(story)


def test_in_a_slow_network_short_of_room_the_heaviest_go_one_by_one():
    async def story(house: GatewaySite) -> None:
        # Three graces are longer than the span in which nobody may have moved bytes well: how soon
        # sockets' buffers fill, and whose last, is the system's matter.
        pace = replace(QUICK, grace_ms=400.0)
        await big(house, pace=pace, bounds=LimitSettings(most_body=2048 * K))
        house.clients[0].close()
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await raw(house, f"c{index}", ask) for index in range(12)]
        cuts: list[float] = []
        while len(cuts) < 3:
            await asyncio.sleep(0.02)
            seen = sum(facts.get("step") == "cut" for event, facts in house.logs if event == "slow peer")
            cuts += [time.monotonic()] * (seen - len(cuts))
        assert cuts[2] - cuts[0] >= 2 * 0.4 - 0.1  # a grace apart
        for sock in socks:
            sock.close()

    run(story)


def test_a_client_that_says_no_more_and_one_that_sips_a_byte_a_second_hold_nothing_for_long():
    async def story(house: GatewaySite) -> None:
        await big(house, pace=QUICK)
        gateway = house.gateways[0]
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        half, sips = await raw(house, "half", ask), await raw(house, "sips", ask)
        assert await until(lambda: gateway.rooms.budget.used_bytes > 0)
        half.shutdown(socket.SHUT_WR)
        await asyncio.get_running_loop().sock_recv(sips, 1)
        assert await until(lambda: all(one.name == "good" for one in gateway.sessions))
        assert gateway.rooms.budget.used_bytes == 0
        half.close()
        sips.close()

    run(story)


def test_a_crowd_that_never_speaks_shuts_out_nobody_who_does():
    async def story(house: GatewaySite) -> None:
        await house.node(shard=0)
        gateway = await house.gateway(bounds=LimitSettings(most_clients=20, most_silent=5, hello_ms=5000.0))
        host, port = gateway.address.split(":")
        crowd = [await asyncio.open_connection(host, int(port)) for _ in range(60)]
        client = house.client(gateway)
        answer = await client.read("read", "v", "k", shard=0, length=10, deadline_ms=1400)
        assert isinstance(answer, Ok) and len(gateway.sessions) <= 6
        for _, writer in crowd:
            writer.close()

    run(story)


def test_what_a_slow_client_has_counts_to_the_most_of_all_slow_ones():
    async def story(house: GatewaySite) -> None:
        await big(house, pace=QUICK, trade=TRADE)
        gateway = house.gateways[0]
        ask = encode(ReadRpc(1, "export", "v", "", -1, 0, 2048 * K, 4900.0))
        socks = [await raw(house, f"slow{index}", ask) for index in range(4)]
        held = [one for one in gateway.sessions if one.name.startswith("slow")]
        assert await until(lambda: any(one.slow is Step.HELD for one in held))
        store = gateway.rooms.budget
        assert store.slow_bytes == sum(one.account.used_bytes for one in gateway.sessions if one.slow)
        for sock in socks:
            sock.close()
        assert await until(lambda: store.used_bytes == 0 and store.slow_bytes == 0)

    run(story)

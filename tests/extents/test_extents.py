"""Ranges: merged, split, moved, failing in part; each client gets exactly the bytes that it asked for."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.fake_host import READ as FAKE_READ
from support.fake_host import FakeHost
from support.gateway_site import PERMITS, GatewaySite, run

from cherrygrade.client import Client, Errored, Ok, Rejected
from cherrygrade.extents.coalescing_predictor import Company
from cherrygrade.extents.extent_map import NOWHERE, ExtentMap
from cherrygrade.extents.piece_tracker import End, Parent
from cherrygrade.scheduling.model import Outcome, SitePolicy
from cherrygrade.settings import ExtentSettings
from cherrygrade.standin.node import Build

K = 1024
NO_HOLD = ExtentSettings(hold_part=0.0)


def pattern(length: int, seed: int = 1) -> bytes:
    return bytes((seed + at * 7 + at // 251) % 256 for at in range(length))


async def filled(
    house: GatewaySite,
    *,
    nodes: int = 2,
    cuts: ExtentSettings = NO_HOLD,
    build: Build | None = None,
    extents: int = 8,
    **more,
) -> tuple[Client, bytes]:
    """A volume full of a pattern; the client's first read has brought the map."""
    for shard in range(nodes):
        await house.node(shard=shard, build=build)
    house.volume(extents=extents, extent_bytes=16 * K)
    data = pattern(extents * 16 * K)
    for node in house.nodes:
        for volume, key in node.versions:
            extent = int(key[1:])
            node.bytes[(volume, key)] = bytearray(data[extent * 16 * K : (extent + 1) * 16 * K])
    client = house.client(await house.gateway(cuts=cuts, **more))
    assert isinstance(await client.read("read", "v", offset=0, length=1, deadline_ms=1400), Ok)
    return client, data


def sends(house: GatewaySite, key: str | None = None) -> list:
    """Frames that reached nodes: a shared one has units, those that it carries have none."""
    return [
        line
        for node in house.nodes
        for line in node.record.lines
        if line[1] == "recv" and line[8] > 0.0 and key in (None, line[7])
    ]


async def reads(client: Client, ranges, workload: str = "read", deadline: float = 1400.0):
    return await asyncio.gather(
        *(client.read(workload, "v", offset=at, length=length, deadline_ms=deadline) for at, length in ranges)
    )


def right(answers, ranges, data: bytes) -> bool:
    return all(
        isinstance(answer, Ok) and bytes(answer.body) == data[at : at + length]
        for answer, (at, length) in zip(answers, ranges, strict=True)
    )


def test_adjacent_reads_that_wait_share_sends():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house)
        before = len(sends(house))
        ranges = [(at * 512, 512) for at in range(32)]  # one extent
        assert right(await reads(client, ranges), ranges, data)
        assert len(sends(house)) - before <= 8

    run(story)


def test_all_clients_that_ask_for_the_same_range_at_once_are_read_for_once_or_little_more():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house)
        clients = [client, *(house.client(house.gateways[0], f"c{n}") for n in range(9))]
        await asyncio.gather(*(reads(one, [(0, 1)]) for one in clients))
        before = len(sends(house))
        found = await asyncio.gather(*(reads(one, [(4096, 8192)] * 5) for one in clients))
        assert all(right(answers, [(4096, 8192)] * 5, data) for answers in found)
        assert len(sends(house)) - before <= 12  # of 50

    run(story)


def test_a_thousand_one_byte_reads_come_right():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house)
        ranges = [(at, 1) for at in range(1000)]
        assert right(await reads(client, ranges, "export"), ranges, data)  # a slow machine needs the time
        assert len(sends(house)) < 200

    run(story)


def test_unmerged_service_sends_each_by_itself():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house, cuts=ExtentSettings(merge=False, hold_part=0.0))
        before = len(sends(house))
        ranges = [(at * 512, 512) for at in range(32)]
        assert right(await reads(client, ranges), ranges, data)
        assert len(sends(house)) - before == 32

    run(story)


@pytest.mark.parametrize(
    ("offset", "length"),
    [
        (0, 0),
        (8 * 16 * K, 0),
        (8 * 16 * K - 1, 1),
        (8 * 16 * K - 5000, 5000),
        (16 * K - 1, 2),
        (0, 8 * 16 * K),
        (16 * K, 16 * K),
        (4096, 4096),
        (1, 16 * K),
        (4095, 4098),
    ],
)
def test_ranges_at_the_ends_of_volume_extents_and_pieces(offset, length):
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house, cuts=ExtentSettings(most_piece=4096))
        answers = await reads(client, [(offset, length)], "export", 4000.0)
        assert right(answers, [(offset, length)], data)

    run(story)


def test_a_range_beyond_the_end_is_errored_and_names_the_end():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house)
        answers = await reads(client, [(8 * 16 * K - 1, 2)])
        assert isinstance(answers[0], Errored) and str(8 * 16 * K) in answers[0].reason
        assert data

    run(story)


def test_a_shared_send_of_which_one_part_fails_errs_that_part_alone():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house, build=Build(cores=1, unit_ms=20.0, put_off=0.0), nodes=1)
        house.nodes[0].bad = [("v", "e0", 2048, 2100)]
        ranges = [(at * 1024, 1024) for at in range(8)]
        answers = await reads(client, ranges)
        bad = [n for n, answer in enumerate(answers) if not isinstance(answer, Ok)]
        assert bad == [2]
        good = [n for n in range(8) if n != 2]
        assert right([answers[n] for n in good], [ranges[n] for n in good], data)
        again = [line for line in sends(house, "e0") if line[4] > 0]
        assert again and all(line[3].startswith("c:") for line in again)  # it went again, as its own RPC

    run(story)


def test_a_client_that_leaves_takes_its_part_out_and_the_rest_go_on():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house, nodes=1, build=Build(cores=1, unit_ms=30.0, put_off=0.0))
        other = house.client(house.gateways[0], "other")
        await reads(other, [(0, 1)])
        ranges = [(at * 1024, 1024) for at in range(6)]
        leaving = [
            asyncio.create_task(
                other.read("read", "v", offset=at * 1024 + 512, length=1024, deadline_ms=1400)
            )
            for at in range(6)
        ]
        staying = asyncio.create_task(reads(client, ranges))
        await asyncio.sleep(0.015)
        for task in leaving:
            task.cancel()
        assert right(await staying, ranges, data)
        await asyncio.sleep(0.1)
        assert not house.gateways[0].open_requests

    run(story)


def test_an_export_over_forty_extents_with_a_dead_node_has_one_answer_and_drops_the_rest():
    async def story(house: GatewaySite) -> None:
        client, _ = await filled(house, nodes=4, extents=40)
        house.nodes[3].crash()
        answers = await reads(client, [(0, 40 * 16 * K)], "export", 4000.0)
        assert isinstance(answers[0], Rejected | Errored)
        count = len(sends(house))
        await asyncio.sleep(0.15)
        assert len(sends(house)) == count  # nothing is sent for it any more
        assert not house.gateways[0].open_requests

    run(story)


def test_pieces_of_one_rpc_are_bounded_in_all_and_for_a_node():
    async def story(house: GatewaySite) -> None:
        most = {"all": 0, "one": 0}
        cuts = ExtentSettings(most_piece=4096, pieces=5, pieces_a_shard=2)
        client, data = await filled(house, nodes=4, cuts=cuts, build=Build(cores=4, unit_ms=3.0, put_off=0.0))
        task = asyncio.create_task(reads(client, [(0, 8 * 16 * K)], "export", 4000.0))
        while not task.done():
            out = [len(door.works) for node in house.nodes for door in node.doors]
            most["all"], most["one"] = max(most["all"], sum(out)), max(most["one"], *out)
            await asyncio.sleep(0.001)
        assert right(await task, [(0, 8 * 16 * K)], data)
        assert 2 <= most["all"] <= 5 and most["one"] <= 2

    run(story)


@pytest.mark.parametrize("told", [True, False])
def test_an_extent_that_moved_is_found_whether_the_register_or_the_node_tells(told):
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house)
        house.move(2, 1, told=told)
        ranges = [(2 * 16 * K + 100, 2000)]
        assert right(await reads(client, ranges), ranges, data)
        assert not house.gateways[0].ranges.astray

    run(story)


def test_a_split_read_whose_extent_moves_midway_mixes_no_two_versions():
    async def story(house: GatewaySite) -> None:
        cuts = ExtentSettings(most_piece=1024, pieces=2, pieces_a_shard=1, hold_part=0.0)
        client, data = await filled(house, nodes=3, cuts=cuts, build=Build(cores=1, unit_ms=6.0, put_off=0.0))
        task = asyncio.create_task(reads(client, [(0, 32 * K)], "export", 4500.0))
        await asyncio.sleep(0.03)
        house.move(0, 1, told=False)
        fresh = bytes(16 * K)  # the new home holds other bytes: old pieces may not stand beside them
        house.nodes[1].bytes[("v", "e0")][:] = fresh
        house.move(0, 2, told=False)
        answers = await task
        assert right(answers, [(0, 32 * K)], fresh + data[16 * K :])

    run(story)


def test_an_extent_that_moves_to_a_node_that_drains_is_rejected_in_time():
    async def story(house: GatewaySite) -> None:
        client, _ = await filled(house)
        house.list(house.nodes[1], "draining")
        house.move(0, 1, told=False)
        answers = await reads(client, [(0, 100)], deadline=600.0)
        assert isinstance(answers[0], Rejected)
        assert not [line for line in house.nodes[1].record.lines if line[1] == "recv" and line[7] == "e0"]

    run(story)


def test_many_that_wait_for_one_stale_entry_ask_once():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house)
        asked = house.register.asked
        house.move(0, 1, told=False)
        ranges = [(at * 100, 50) for at in range(40)]
        assert right(await reads(client, ranges), ranges, data)
        assert house.register.asked - asked <= 3

    run(story)


def test_writes_that_touch_share_a_send_and_a_read_after_the_answer_sees_them():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house, nodes=1, build=Build(cores=1, unit_ms=10.0, put_off=0.0))
        before = len(sends(house))
        writes = [
            client.write("write", "v", "", bytes([at + 1]) * 512, offset=at * 512, deadline_ms=1400)
            for at in range(16)
        ]
        assert all(isinstance(answer, Ok) for answer in await asyncio.gather(*writes))
        expected = b"".join(bytes([at + 1]) * 512 for at in range(16))
        assert len(sends(house)) - before < 12
        assert right(await reads(client, [(0, 9000)]), [(0, 9000)], expected + data[8192:])

    run(story)


def test_tokened_non_idempotent_and_ordered_writes_never_share():
    async def story(house: GatewaySite) -> None:
        client, _ = await filled(house, nodes=1, build=Build(cores=1, unit_ms=5.0, put_off=0.0))
        before = len(sends(house))
        writes = [
            client.write(workload, "v", "", b"x" * 64, offset=at * 64, token=bytes([at]), deadline_ms=1400)
            for at, workload in enumerate(["marked", "once", "ordered"] * 4)
        ]
        assert all(isinstance(answer, Ok) for answer in await asyncio.gather(*writes))
        assert len(sends(house)) - before == 12

    run(story)


def test_a_split_write_of_which_a_piece_fails_is_errored():
    async def story(house: GatewaySite) -> None:
        client, data = await filled(house, cuts=ExtentSettings(most_piece=4096))
        house.nodes[1].bad = [("v", "e1", 0, 10)]
        answer = await client.write("write", "v", "", bytes(40 * K), offset=0, deadline_ms=1400)
        assert isinstance(answer, Errored) and "new bytes or old" in answer.reason
        house.nodes[1].bad = []
        assert isinstance(
            await client.write("write", "v", "", data[: 40 * K], offset=0, deadline_ms=1400), Ok
        )
        assert right(await reads(client, [(0, 60 * K)], "export", 4000.0), [(0, 60 * K)], data)

    run(story)


def test_a_map_that_comes_late_is_waited_for_within_the_deadline():
    async def story(house: GatewaySite) -> None:
        await house.node()
        house.register.silent = True
        client = house.client(await house.gateway(listed=False))
        never = await client.read("read", "v", offset=0, length=10, deadline_ms=300)
        assert isinstance(never, Rejected)
        house.register.silent = False
        house.volume()
        for door in [*house.register.doors]:
            door.push = True
            house.register.tell_whole(door)
        answer = await client.read("read", "v", offset=0, length=10, deadline_ms=1400)
        assert isinstance(answer, Ok)

    run(story)


def test_an_ordered_range_over_two_extents_is_errored_though_the_map_comes_after_it():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        house.register.silent = True
        gateway = await house.gateway(listed=False)
        client = house.client(gateway)
        write = asyncio.create_task(
            client.write("ordered", "v", "", b"x" * 32 * K, offset=0, deadline_ms=1400)
        )
        while not gateway.open_requests:
            await asyncio.sleep(0.005)
        house.register.silent = False
        house.volume()
        for door in [*house.register.doors]:
            door.push = True
            house.register.tell_whole(door)
        answer = await write
        assert isinstance(answer, Errored) and "keeps an order" in answer.reason
        assert not [line for line in node.record.lines if line[1] == "recv"]

    run(story)


def test_a_client_that_does_not_read_its_export_stops_its_pieces():
    async def story(house: GatewaySite) -> None:
        from cherrygrade.wire.frames import encode
        from cherrygrade.wire.messages import VERSION, Hello, ReadRpc

        await filled(house, extents=400)
        gateway = house.gateways[0]
        _, writer = await asyncio.open_connection(*gateway.address.split(":"), limit=1024)
        writer.transport.pause_reading()
        writer.write(encode(Hello(VERSION, "client", "slow", ["parts"])))
        for id_ in range(1, 9):
            writer.write(encode(ReadRpc(id_, "export", "v", "", -1, 0, 400 * 16 * K, 4900.0)))
        await asyncio.sleep(1.0)
        slow = next(session for session in gateway.sessions if session.name == "slow")
        assert slow.conn.full and slow.conn.waiting <= slow.conn.high + 8 * 8 * 65536
        count = len(sends(house))
        await asyncio.sleep(0.2)
        assert len(sends(house)) == count
        writer.transport.abort()

    run(story)


ranges_ = st.tuples(st.integers(0, 8 * 512), st.integers(0, 2500))
steps = st.lists(
    st.one_of(
        st.tuples(st.just("read"), st.lists(ranges_, min_size=1, max_size=8)),
        st.tuples(st.just("write"), ranges_, st.integers(0, 255)),
        st.tuples(st.just("leave"), ranges_),
        st.tuples(st.just("move"), st.integers(0, 7), st.integers(0, 2), st.booleans()),
        st.tuples(st.just("bad"), st.integers(0, 2), st.integers(0, 7), st.integers(0, 511)),
        st.tuples(st.just("resets"), st.integers(0, 2)),
    ),
    min_size=3,
    max_size=14,
)


@given(steps, st.booleans(), st.sampled_from([128, 512, 4096]))
@settings(max_examples=25, deadline=None)
def test_whatever_happens_the_bytes_are_those_of_a_plain_volume(steps, merge, most_piece):
    """Against a plain model: ok answers have its bytes, each RPC one answer, failed writes hold or not."""

    async def story(house: GatewaySite) -> None:
        for shard in range(3):
            await house.node(shard=shard, build=Build(cores=2, unit_ms=0.3, put_off=0.0))
        house.volume(extents=8, extent_bytes=512)
        cuts = ExtentSettings(merge=merge, most_piece=most_piece, pieces=3, pieces_a_shard=2)
        gateway = await house.gateway(cuts=cuts)
        client = house.client(gateway)
        answered: dict[int, int] = {}
        client._told = lambda event, id_, **_: (
            answered.update({id_: answered.get(id_, 0) + 1}) if event == "answer" else None
        )
        model: list[set[int]] = [{0} for _ in range(8 * 512)]
        for step in steps:
            if step[0] == "read":
                found = await reads(client, step[1], "export", 2000.0)
                for answer, (at, length) in zip(found, step[1], strict=True):
                    if at + length > len(model):
                        assert isinstance(answer, Errored)
                    elif isinstance(answer, Ok):
                        assert len(answer.body) == length
                        assert all(byte in model[at + n] for n, byte in enumerate(bytes(answer.body)))
            elif step[0] == "write":
                (at, length), byte = step[1], step[2]
                answer = await client.write(
                    "write", "v", "", bytes([byte]) * length, offset=at, deadline_ms=1400
                )
                for n in range(at, min(len(model), at + length)) if at + length <= len(model) else ():
                    if isinstance(answer, Ok):
                        model[n] = {byte}
                    elif isinstance(answer, Errored):
                        model[n] = model[n] | {byte}
            elif step[0] == "leave":
                task = asyncio.create_task(
                    client.read("read", "v", offset=step[1][0], length=step[1][1], deadline_ms=1400)
                )
                await asyncio.sleep(0)
                task.cancel()
            elif step[0] == "move":
                house.move(step[1], step[2], told=step[3])
            elif step[0] == "bad":
                house.nodes[step[1]].bad = [("v", f"e{step[2]}", step[3], step[3] + 20)]
            else:
                house.nodes[step[1]].resets = 1
        await asyncio.sleep(0.02)
        assert all(count == 1 for count in answered.values()) and not gateway.open_requests

    run(story)


words = st.lists(
    st.tuples(st.integers(1, 2), st.integers(0, 3), st.integers(0, 5), st.integers(1, 4)), max_size=30
)


@given(words)
def test_an_older_word_never_replaces_a_newer_one_in_the_map(heard):
    known = ExtentMap()
    best: dict[int, tuple[int, int]] = {}
    epoch_seen = 0
    for epoch, extent, shard, version in heard:
        known.hear("v", epoch, 400, 100, extent, [(shard, version)])
        if epoch > epoch_seen:
            epoch_seen, best = epoch, {}
        if epoch == epoch_seen and version > best.get(extent, (0, 0))[1]:
            best[extent] = (shard, version)
        for at, home in best.items():
            assert known.home("v", at) == home


@given(st.integers(1, 300), st.integers(1, 5000), st.integers(0, 3000), st.integers(0, 3000))
def test_stretches_cover_the_range_once_within_extents_and_the_most(most, extent_bytes, offset, length):
    known = ExtentMap()
    known.hear("v", 1, 6000, extent_bytes, 0, [])
    at = offset
    for stretch in known.stretches("v", offset, length, most):
        assert stretch.extent * extent_bytes + stretch.start == at and stretch.at == at - offset
        assert 0 < stretch.length <= most and stretch.start + stretch.length <= extent_bytes
        at += stretch.length
    assert at == offset + length


@given(st.data(), st.booleans())
def test_a_parent_ends_once_and_ok_only_with_all_pieces_of_one_version(data, writes):
    known = ExtentMap()
    known.hear("v", 1, 1000, 200, 0, [(n % 3, 1) for n in range(5)])
    parent = Parent(known.stretches("v", 50, 800, 60), 800, writes, 4, 2)
    versions = dict.fromkeys(range(5), 1)
    read: dict[int, dict[int, int]] = {}
    turns = 0
    while parent.end is None:
        turns += 1
        taken = parent.more(lambda extent: (extent % 3, versions[extent]))
        assert taken or parent.out
        assert len(parent.out) <= 4
        for shard in range(3):
            assert sum(1 for piece in parent.out if piece.shard == shard) <= 2
        piece = data.draw(st.sampled_from(list(parent.out)))
        what = (
            data.draw(st.sampled_from(["ok"] * 30 + ["errored", "rejected", "move", "move"]))
            if turns < 60
            else "ok"
        )
        if what == "move":
            versions[piece.stretch.extent] += 1
        elif what == "ok":
            read.setdefault(piece.stretch.extent, {})[piece.stretch.start] = piece.version
            parent.ok(piece, piece.version)
        elif what == "errored":
            parent.errored(piece)
        else:
            parent.rejected(piece, 5.0)
    if parent.end is End.OK:
        if not writes:
            assert all(len(set(found.values())) == 1 for found in read.values())
        assert sum(len(found) for found in read.values()) == len(list(known.stretches("v", 50, 800, 60)))
    if parent.end is End.REJECTED:
        assert not writes or not read


def test_company_is_waited_for_only_where_it_comes_and_no_more_where_it_earned_nothing():
    company = Company(0.02)
    assert [company.hold("v", 0, 0, 9, now, 250.0) for now in (0.0, 1000.0, 2000.0)] == [0.0] * 3
    strangers = [company.hold("v", 2, now * 100, now * 100 + 50, now * 1.0, 250.0) for now in range(30)]
    assert strangers == [0.0] * 30  # of one extent, but they cannot share a send
    held = [company.hold("v", 1, now * 10, now * 10 + 10, now * 1.0, 250.0) for now in range(10)]
    assert held[0] == 0.0 and held[-1] == 5.0
    for turn in range(12):
        company.met("v", 1, 10.0 + turn, 1)
    assert company.hold("v", 1, 0, 9, 23.0, 250.0) == 0.0
    later = [company.hold("v", 1, now * 10, now * 10 + 10, 9216.0 + now, 250.0) for now in range(10)]
    assert later[-1] == 5.0  # tried again after its rest


@given(st.lists(st.tuples(st.integers(0, 50), st.floats(0.0, 400.0)), max_size=200))
def test_a_hold_is_never_over_its_part_of_the_slack_and_the_table_is_bounded(seen):
    company, now = Company(0.02, most=16), 0.0
    for extent, gap in seen:
        now += gap
        assert 0.0 <= company.hold("v", extent, 0, 9, now, 300.0) <= 6.0
        assert len(company._sights) <= 16


JOINS = SitePolicy(max_attempts=4, max_retry_after_ms=500.0, max_coalesced_bytes=65536, bytes_per_unit=4096.0)


def joining(host: FakeHost, start: int, **more):
    rpc = host.make_request(more.pop("workload", FAKE_READ), key="e1", units=1.0, **more)
    rpc.offset, rpc.length, rpc.coalescable = start, 4096, True
    return rpc


def test_what_shares_a_send_holds_one_slot_and_is_outlived_by_no_table():
    host = FakeHost(policy=JOINS)
    host.submit(*(joining(host, at * 4096) for at in range(6)))
    lane = host.dispatcher.node_queues[host.nodes[0]]
    assert len(host.sent) == 6 and lane.busy == 1 and host.sent[0].coalesced == host.sent[1:]
    assert host.sent[0].coalesced_units == 6.0 and all(
        send.carried_by is host.sent[0] for send in host.sent[1:]
    )
    host.now += 12.0
    for send in [*host.sent]:
        host.answer(send, (send.carried_by and Outcome.FAILED) or Outcome.OK)
    assert len(host.sent) > 6  # those whose part failed go again, as their own
    while left := [send for send in host.sent if send.outcome is None]:
        host.answer(left[0])
    host.pass_time(100.0)
    assert lane.busy == 0 and not lane.attempts


def test_company_that_would_make_a_pressed_rpc_late_stays_behind():
    host = FakeHost(policy=JOINS)
    lane = host.dispatcher.node_queues[host.nodes[0]]
    lane.latency.unit_ms, lane.limit.window = 45.0, 1.0
    host.submit(*(joining(host, at * 4096) for at in range(10)))
    assert host.sent[0].coalesced and all(send.coalesced_units * 45.0 <= 200.0 for send in host.sent)


def test_a_node_in_trouble_gets_its_trial_alone():
    host = FakeHost(policy=JOINS)
    lane = host.dispatcher.node_queues[host.nodes[0]]
    lane.health.consecutive_failures = 1
    host.submit(*(joining(host, at * 4096) for at in range(6)))
    assert len(host.sent) == 1


def test_sharing_changes_nothing_where_it_is_off():
    host = FakeHost(policy=replace(PERMITS, max_coalesced_bytes=0))
    host.submit(*(joining(host, at * 4096) for at in range(6)))
    assert not any(send.coalesced or send.carried_by for send in host.sent)


def test_an_unknown_place_is_no_nodes():
    assert ExtentMap().home("v", 3) == (NOWHERE, -1)

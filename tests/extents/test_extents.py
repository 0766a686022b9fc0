"""Byte ranges that are coalesced, split, relocated or fail in part.

Whatever happens to the attempts, each request must get one answer, and each successful read
exactly the bytes that it asked for. Errors here would return bytes of the wrong place, or mix old
and new contents of an extent.
"""

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
from cherrygrade.extents.coalescing_predictor import CoalescingPredictor
from cherrygrade.extents.extent_map import UNKNOWN_SHARD, ExtentMap
from cherrygrade.extents.piece_tracker import PieceTracker, Result
from cherrygrade.scheduling.model import Outcome, SitePolicy
from cherrygrade.settings import ExtentSettings
from cherrygrade.standin.node import Build

K = 1024
NO_HOLD = ExtentSettings(hold_part=0.0)


def pattern(length: int, seed: int = 1) -> bytes:
    return bytes((seed + at * 7 + at // 251) % 256 for at in range(length))


async def start_filled_site(
    site: GatewaySite,
    *,
    nodes: int = 2,
    cuts: ExtentSettings = NO_HOLD,
    build: Build | None = None,
    extents: int = 8,
    **more,
) -> tuple[Client, bytes]:
    """Start a site with a volume full of a pattern, and make the gateway query the map by a read."""
    for shard in range(nodes):
        await site.node(shard=shard, build=build)
    site.volume(extents=extents, extent_bytes=16 * K)
    data = pattern(extents * 16 * K)
    for node in site.nodes:
        for volume, key in node.versions:
            extent = int(key[1:])
            node.bytes[(volume, key)] = bytearray(data[extent * 16 * K : (extent + 1) * 16 * K])
    client = site.client(await site.gateway(cuts=cuts, **more))
    assert isinstance(await client.read("read", "v", offset=0, length=1, deadline_ms=1400), Ok)
    return client, data


def frames_at_nodes(site: GatewaySite, key: str | None = None) -> list:
    """Return the frames that nodes received; requests coalesced into another one's frame have no units."""
    return [
        line
        for node in site.nodes
        for line in node.record.lines
        if line[1] == "recv" and line[8] > 0.0 and key in (None, line[7])
    ]


async def read_all(client: Client, ranges, workload: str = "read", deadline: float = 1400.0):
    return await asyncio.gather(
        *(client.read(workload, "v", offset=at, length=length, deadline_ms=deadline) for at, length in ranges)
    )


def are_correct(answers, ranges, data: bytes) -> bool:
    return all(
        isinstance(answer, Ok) and bytes(answer.body) == data[at : at + length]
        for answer, (at, length) in zip(answers, ranges, strict=True)
    )


def test_adjacent_reads_that_wait_are_coalesced():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site)
        before = len(frames_at_nodes(site))
        ranges = [(at * 512, 512) for at in range(32)]  # one extent
        assert are_correct(await read_all(client, ranges), ranges, data)
        assert len(frames_at_nodes(site)) - before <= 8

    run(scenario)


def test_reads_of_the_same_range_by_many_clients_are_coalesced():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site)
        clients = [client, *(site.client(site.gateways[0], f"c{n}") for n in range(9))]
        await asyncio.gather(*(read_all(one, [(0, 1)]) for one in clients))
        before = len(frames_at_nodes(site))
        found = await asyncio.gather(*(read_all(one, [(4096, 8192)] * 5) for one in clients))
        assert all(are_correct(answers, [(4096, 8192)] * 5, data) for answers in found)
        assert len(frames_at_nodes(site)) - before <= 12  # of 50

    run(scenario)


def test_thousand_one_byte_reads_return_their_bytes():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site)
        ranges = [(at, 1) for at in range(1000)]
        assert are_correct(
            await read_all(client, ranges, "export"), ranges, data
        )  # exports, whose deadline suits a slow machine
        assert len(frames_at_nodes(site)) < 200

    run(scenario)


def test_without_merge_each_read_has_an_attempt_of_its_own():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site, cuts=ExtentSettings(merge=False, hold_part=0.0))
        before = len(frames_at_nodes(site))
        ranges = [(at * 512, 512) for at in range(32)]
        assert are_correct(await read_all(client, ranges), ranges, data)
        assert len(frames_at_nodes(site)) - before == 32

    run(scenario)


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
def test_ranges_at_boundaries_of_volume_extents_and_pieces(offset, length):
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site, cuts=ExtentSettings(most_piece=4096))
        answers = await read_all(client, [(offset, length)], "export", 4000.0)
        assert are_correct(answers, [(offset, length)], data)

    run(scenario)


def test_range_beyond_the_end_is_errored_and_the_reason_names_the_size():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site)
        answers = await read_all(client, [(8 * 16 * K - 1, 2)])
        assert isinstance(answers[0], Errored) and str(8 * 16 * K) in answers[0].reason
        assert data

    run(scenario)


def test_failed_part_of_a_coalesced_read_fails_only_its_own_rpc():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site, build=Build(cores=1, unit_ms=20.0, put_off=0.0), nodes=1)
        site.nodes[0].failing_ranges = [("v", "e0", 2048, 2100)]
        ranges = [(at * 1024, 1024) for at in range(8)]
        answers = await read_all(client, ranges)
        bad = [n for n, answer in enumerate(answers) if not isinstance(answer, Ok)]
        assert bad == [2]
        good = [n for n in range(8) if n != 2]
        assert are_correct([answers[n] for n in good], [ranges[n] for n in good], data)
        again = [line for line in frames_at_nodes(site, "e0") if line[4] > 0]
        assert again and all(line[3].startswith("c:") for line in again)  # it was sent again, by itself

    run(scenario)


def test_cancelled_reads_leave_a_coalesced_read_and_the_others_go_on():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site, nodes=1, build=Build(cores=1, unit_ms=30.0, put_off=0.0))
        other = site.client(site.gateways[0], "other")
        await read_all(other, [(0, 1)])
        ranges = [(at * 1024, 1024) for at in range(6)]
        leaving = [
            asyncio.create_task(
                other.read("read", "v", offset=at * 1024 + 512, length=1024, deadline_ms=1400)
            )
            for at in range(6)
        ]
        staying = asyncio.create_task(read_all(client, ranges))
        await asyncio.sleep(0.015)
        for task in leaving:
            task.cancel()
        assert are_correct(await staying, ranges, data)
        await asyncio.sleep(0.1)
        assert not site.gateways[0].open_requests

    run(scenario)


def test_export_with_a_crashed_node_has_one_answer_and_starts_no_more_pieces():
    async def scenario(site: GatewaySite) -> None:
        client, _ = await start_filled_site(site, nodes=4, extents=40)
        site.nodes[3].crash()
        answers = await read_all(client, [(0, 40 * 16 * K)], "export", 4000.0)
        assert isinstance(answers[0], Rejected | Errored)
        count = len(frames_at_nodes(site))
        await asyncio.sleep(0.15)
        assert len(frames_at_nodes(site)) == count  # nothing more is sent for the export
        assert not site.gateways[0].open_requests

    run(scenario)


def test_pieces_in_flight_of_one_rpc_are_limited_in_total_and_per_node():
    async def scenario(site: GatewaySite) -> None:
        most = {"all": 0, "one": 0}
        cuts = ExtentSettings(most_piece=4096, pieces=5, pieces_a_shard=2)
        client, data = await start_filled_site(
            site, nodes=4, cuts=cuts, build=Build(cores=4, unit_ms=3.0, put_off=0.0)
        )
        task = asyncio.create_task(read_all(client, [(0, 8 * 16 * K)], "export", 4000.0))
        while not task.done():
            out = [len(door.open_requests) for node in site.nodes for door in node.connections]
            most["all"], most["one"] = max(most["all"], sum(out)), max(most["one"], *out)
            await asyncio.sleep(0.001)
        assert are_correct(await task, [(0, 8 * 16 * K)], data)
        assert 2 <= most["all"] <= 5 and most["one"] <= 2

    run(scenario)


@pytest.mark.parametrize("told", [True, False])
def test_moved_extent_is_found_whether_the_register_or_the_node_reports_it(told):
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site)
        site.move(2, 1, told=told)
        ranges = [(2 * 16 * K + 100, 2000)]
        assert are_correct(await read_all(client, ranges), ranges, data)
        assert not site.gateways[0].ranges.unlocated

    run(scenario)


def test_split_read_of_an_extent_that_moves_meanwhile_does_not_mix_versions():
    async def scenario(site: GatewaySite) -> None:
        cuts = ExtentSettings(most_piece=1024, pieces=2, pieces_a_shard=1, hold_part=0.0)
        client, data = await start_filled_site(
            site, nodes=3, cuts=cuts, build=Build(cores=1, unit_ms=6.0, put_off=0.0)
        )
        task = asyncio.create_task(read_all(client, [(0, 32 * K)], "export", 4500.0))
        await asyncio.sleep(0.03)
        site.move(0, 1, told=False)
        fresh = bytes(16 * K)  # the new node has other bytes, which must not be mixed with old ones
        site.nodes[1].bytes[("v", "e0")][:] = fresh
        site.move(0, 2, told=False)
        answers = await task
        assert are_correct(answers, [(0, 32 * K)], fresh + data[16 * K :])

    run(scenario)


def test_read_of_an_extent_that_moved_to_a_draining_node_is_rejected_in_time():
    async def scenario(site: GatewaySite) -> None:
        client, _ = await start_filled_site(site)
        site.list(site.nodes[1], "draining")
        site.move(0, 1, told=False)
        answers = await read_all(client, [(0, 100)], deadline=600.0)
        assert isinstance(answers[0], Rejected)
        assert not [line for line in site.nodes[1].record.lines if line[1] == "recv" and line[7] == "e0"]

    run(scenario)


def test_reads_that_wait_for_the_same_outdated_entry_share_one_query():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site)
        asked = site.register.map_requests
        site.move(0, 1, told=False)
        ranges = [(at * 100, 50) for at in range(40)]
        assert are_correct(await read_all(client, ranges), ranges, data)
        assert site.register.map_requests - asked <= 3

    run(scenario)


def test_adjacent_writes_are_coalesced_and_visible_to_a_later_read():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site, nodes=1, build=Build(cores=1, unit_ms=10.0, put_off=0.0))
        before = len(frames_at_nodes(site))
        writes = [
            client.write("write", "v", "", bytes([at + 1]) * 512, offset=at * 512, deadline_ms=1400)
            for at in range(16)
        ]
        assert all(isinstance(answer, Ok) for answer in await asyncio.gather(*writes))
        expected = b"".join(bytes([at + 1]) * 512 for at in range(16))
        assert len(frames_at_nodes(site)) - before < 12
        assert are_correct(await read_all(client, [(0, 9000)]), [(0, 9000)], expected + data[8192:])

    run(scenario)


def test_writes_with_token_or_not_idempotent_or_ordered_are_never_coalesced():
    async def scenario(site: GatewaySite) -> None:
        client, _ = await start_filled_site(site, nodes=1, build=Build(cores=1, unit_ms=5.0, put_off=0.0))
        before = len(frames_at_nodes(site))
        writes = [
            client.write(workload, "v", "", b"x" * 64, offset=at * 64, token=bytes([at]), deadline_ms=1400)
            for at, workload in enumerate(["marked", "once", "ordered"] * 4)
        ]
        assert all(isinstance(answer, Ok) for answer in await asyncio.gather(*writes))
        assert len(frames_at_nodes(site)) - before == 12

    run(scenario)


def test_split_write_of_which_a_piece_fails_is_errored():
    async def scenario(site: GatewaySite) -> None:
        client, data = await start_filled_site(site, cuts=ExtentSettings(most_piece=4096))
        site.nodes[1].failing_ranges = [("v", "e1", 0, 10)]
        answer = await client.write("write", "v", "", bytes(40 * K), offset=0, deadline_ms=1400)
        assert isinstance(answer, Errored) and "new bytes or old" in answer.reason
        site.nodes[1].failing_ranges = []
        assert isinstance(
            await client.write("write", "v", "", data[: 40 * K], offset=0, deadline_ms=1400), Ok
        )
        assert are_correct(await read_all(client, [(0, 60 * K)], "export", 4000.0), [(0, 60 * K)], data)

    run(scenario)


def test_late_map_is_waited_for_until_the_deadline():
    async def scenario(site: GatewaySite) -> None:
        await site.node()
        site.register.silent = True
        client = site.client(await site.gateway(listed=False))
        never = await client.read("read", "v", offset=0, length=10, deadline_ms=300)
        assert isinstance(never, Rejected)
        site.register.silent = False
        site.volume()
        for door in [*site.register.connections]:
            door.push = True
            site.register.send_full_list(door)
        answer = await client.read("read", "v", offset=0, length=10, deadline_ms=1400)
        assert isinstance(answer, Ok)

    run(scenario)


def test_ordered_range_over_two_extents_is_errored_even_if_the_map_is_received_later():
    async def scenario(site: GatewaySite) -> None:
        node = await site.node()
        site.register.silent = True
        gateway = await site.gateway(listed=False)
        client = site.client(gateway)
        write = asyncio.create_task(
            client.write("ordered", "v", "", b"x" * 32 * K, offset=0, deadline_ms=1400)
        )
        while not gateway.open_requests:
            await asyncio.sleep(0.005)
        site.register.silent = False
        site.volume()
        for door in [*site.register.connections]:
            door.push = True
            site.register.send_full_list(door)
        answer = await write
        assert isinstance(answer, Errored) and "keeps an order" in answer.reason
        assert not [line for line in node.record.lines if line[1] == "recv"]

    run(scenario)


def test_no_more_pieces_are_started_for_a_client_that_does_not_read():
    async def scenario(site: GatewaySite) -> None:
        from cherrygrade.wire.frames import encode
        from cherrygrade.wire.messages import VERSION, Hello, ReadRpc

        await start_filled_site(site, extents=400)
        gateway = site.gateways[0]
        _, writer = await asyncio.open_connection(*gateway.address.split(":"), limit=1024)
        writer.transport.pause_reading()
        writer.write(encode(Hello(VERSION, "client", "slow", ["parts"])))
        for id_ in range(1, 9):
            writer.write(encode(ReadRpc(id_, "export", "v", "", -1, 0, 400 * 16 * K, 4900.0)))
        await asyncio.sleep(1.0)
        slow = next(session for session in gateway.sessions if session.name == "slow")
        assert slow.conn.full and slow.conn.waiting <= slow.conn.high + 8 * 8 * 65536
        count = len(frames_at_nodes(site))
        await asyncio.sleep(0.2)
        assert len(frames_at_nodes(site)) == count
        writer.transport.abort()

    run(scenario)


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
def test_random_operations_and_faults_agree_with_a_simple_model(steps, merge, most_piece):
    """Compare with a model that lists the possible values of each byte; a failed write may have taken effect.

    Each request must have exactly one answer.
    """

    async def scenario(site: GatewaySite) -> None:
        for shard in range(3):
            await site.node(shard=shard, build=Build(cores=2, unit_ms=0.3, put_off=0.0))
        site.volume(extents=8, extent_bytes=512)
        cuts = ExtentSettings(merge=merge, most_piece=most_piece, pieces=3, pieces_a_shard=2)
        gateway = await site.gateway(cuts=cuts)
        client = site.client(gateway)
        answered: dict[int, int] = {}
        client._told = lambda event, id_, **_: (
            answered.update({id_: answered.get(id_, 0) + 1}) if event == "answer" else None
        )
        model: list[set[int]] = [{0} for _ in range(8 * 512)]
        for step in steps:
            if step[0] == "read":
                found = await read_all(client, step[1], "export", 2000.0)
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
                site.move(step[1], step[2], told=step[3])
            elif step[0] == "bad":
                site.nodes[step[1]].failing_ranges = [("v", f"e{step[2]}", step[3], step[3] + 20)]
            else:
                site.nodes[step[1]].resets = 1
        await asyncio.sleep(0.02)
        assert all(count == 1 for count in answered.values()) and not gateway.open_requests

    run(scenario)


messages = st.lists(
    st.tuples(st.integers(1, 2), st.integers(0, 3), st.integers(0, 5), st.integers(1, 4)), max_size=30
)


@given(messages)
def test_older_message_never_replaces_a_newer_map_entry(received):
    known = ExtentMap()
    best: dict[int, tuple[int, int]] = {}
    epoch_seen = 0
    for epoch, extent, shard, version in received:
        known.update("v", epoch, 400, 100, extent, [(shard, version)])
        if epoch > epoch_seen:
            epoch_seen, best = epoch, {}
        if epoch == epoch_seen and version > best.get(extent, (0, 0))[1]:
            best[extent] = (shard, version)
        for at, home in best.items():
            assert known.location("v", at) == home


@given(st.integers(1, 300), st.integers(1, 5000), st.integers(0, 3000), st.integers(0, 3000))
def test_slices_cover_the_range_once_within_extents_and_the_maximum_size(most, extent_bytes, offset, length):
    known = ExtentMap()
    known.update("v", 1, 6000, extent_bytes, 0, [])
    at = offset
    for part in known.slices("v", offset, length, most):
        assert part.extent * extent_bytes + part.start == at and part.range_offset == at - offset
        assert 0 < part.length <= most and part.start + part.length <= extent_bytes
        at += part.length
    assert at == offset + length


@given(st.data(), st.booleans())
def test_split_rpc_succeeds_only_with_all_pieces_of_one_version(data, writes):
    known = ExtentMap()
    known.update("v", 1, 1000, 200, 0, [(n % 3, 1) for n in range(5)])
    tracker = PieceTracker(known.slices("v", 50, 800, 60), 800, writes, 4, 2)
    versions = dict.fromkeys(range(5), 1)
    read: dict[int, dict[int, int]] = {}
    turns = 0
    while tracker.result is None:
        turns += 1
        taken = tracker.start(lambda extent: (extent % 3, versions[extent]))
        assert taken or tracker.in_flight
        assert len(tracker.in_flight) <= 4
        for shard in range(3):
            assert sum(1 for piece in tracker.in_flight if piece.shard == shard) <= 2
        piece = data.draw(st.sampled_from(list(tracker.in_flight)))
        what = (
            data.draw(st.sampled_from(["ok"] * 30 + ["errored", "rejected", "move", "move"]))
            if turns < 60
            else "ok"
        )
        if what == "move":
            versions[piece.slice.extent] += 1
        elif what == "ok":
            read.setdefault(piece.slice.extent, {})[piece.slice.start] = piece.version
            tracker.ok(piece, piece.version)
        elif what == "errored":
            tracker.errored(piece)
        else:
            tracker.rejected(piece, 5.0)
    if tracker.result is Result.OK:
        if not writes:
            assert all(len(set(found.values())) == 1 for found in read.values())
        assert sum(len(found) for found in read.values()) == len(list(known.slices("v", 50, 800, 60)))
    if tracker.result is Result.REJECTED:
        assert not writes or not read


def test_rpcs_wait_only_where_adjacent_ones_follow_and_waiting_succeeds():
    predictor = CoalescingPredictor(0.02)
    assert [predictor.wait_ms("v", 0, 0, 9, now, 250.0) for now in (0.0, 1000.0, 2000.0)] == [0.0] * 3
    not_adjacent = [
        predictor.wait_ms("v", 2, now * 100, now * 100 + 50, now * 1.0, 250.0) for now in range(30)
    ]
    assert not_adjacent == [0.0] * 30  # of one extent, but not adjacent
    adjacent = [predictor.wait_ms("v", 1, now * 10, now * 10 + 10, now * 1.0, 250.0) for now in range(10)]
    assert adjacent[0] == 0.0 and adjacent[-1] == 5.0
    for turn in range(12):
        predictor.record_wait("v", 1, 10.0 + turn, 1)
    assert predictor.wait_ms("v", 1, 0, 9, 23.0, 250.0) == 0.0
    later = [predictor.wait_ms("v", 1, now * 10, now * 10 + 10, 9216.0 + now, 250.0) for now in range(10)]
    assert later[-1] == 5.0  # tried again after the backoff


@given(st.lists(st.tuples(st.integers(0, 50), st.floats(0.0, 400.0)), max_size=200))
def test_waiting_time_never_exceeds_its_fraction_of_the_slack_and_the_table_is_bounded(seen):
    predictor, now = CoalescingPredictor(0.02, max_extents=16), 0.0
    for extent, gap in seen:
        now += gap
        assert 0.0 <= predictor.wait_ms("v", extent, 0, 9, now, 300.0) <= 6.0
        assert len(predictor._stats) <= 16


COALESCING = SitePolicy(
    max_attempts=4, max_retry_after_ms=500.0, max_coalesced_bytes=65536, bytes_per_unit=4096.0
)


def adjacent_request(host: FakeHost, start: int, **more):
    rpc = host.make_request(more.pop("workload", FAKE_READ), key="e1", units=1.0, **more)
    rpc.offset, rpc.length, rpc.coalescable = start, 4096, True
    return rpc


def test_coalesced_attempts_use_one_slot_and_leave_nothing_behind():
    host = FakeHost(policy=COALESCING)
    host.submit(*(adjacent_request(host, at * 4096) for at in range(6)))
    queue = host.dispatcher.node_queues[host.nodes[0]]
    assert len(host.sent) == 6 and queue.busy == 1 and host.sent[0].coalesced == host.sent[1:]
    assert host.sent[0].coalesced_units == 6.0 and all(
        send.carried_by is host.sent[0] for send in host.sent[1:]
    )
    host.now += 12.0
    for send in [*host.sent]:
        host.answer(send, (send.carried_by and Outcome.FAILED) or Outcome.OK)
    assert len(host.sent) > 6  # requests whose part failed are sent again, by themselves
    while left := [send for send in host.sent if send.outcome is None]:
        host.answer(left[0])
    host.pass_time(100.0)
    assert queue.busy == 0 and not queue.attempts


def test_requests_that_would_make_a_pressed_one_late_are_not_coalesced():
    host = FakeHost(policy=COALESCING)
    queue = host.dispatcher.node_queues[host.nodes[0]]
    queue.latency.unit_ms, queue.limit.window = 45.0, 1.0
    host.submit(*(adjacent_request(host, at * 4096) for at in range(10)))
    assert host.sent[0].coalesced and all(send.coalesced_units * 45.0 <= 200.0 for send in host.sent)


def test_trial_request_to_a_failing_node_is_not_coalesced():
    host = FakeHost(policy=COALESCING)
    queue = host.dispatcher.node_queues[host.nodes[0]]
    queue.health.consecutive_failures = 1
    host.submit(*(adjacent_request(host, at * 4096) for at in range(6)))
    assert len(host.sent) == 1


def test_nothing_is_coalesced_if_coalescing_is_disabled():
    host = FakeHost(policy=replace(PERMITS, max_coalesced_bytes=0))
    host.submit(*(adjacent_request(host, at * 4096) for at in range(6)))
    assert not any(send.coalesced or send.carried_by for send in host.sent)


def test_unknown_extent_has_no_node():
    assert ExtentMap().location("v", 3) == (UNKNOWN_SHARD, -1)

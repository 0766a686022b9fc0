"""Tests of the shortest path: a client writes and reads through one dispatcher and one node."""

from __future__ import annotations

from support.gateway_site import GatewaySite, run

from cherrygrade.client import Ok, Rejected


def test_write_and_read_pass_through_the_scheduler():
    async def case(site: GatewaySite) -> None:
        node = await site.node(shard=3)
        client = site.client(await site.gateway())
        write_answer = await client.write("write", "v", "seatmap", b"x" * 5000, shard=-1, deadline_ms=1500)
        assert write_answer == Ok(b"", 3)
        read_answer = await client.read(
            "read", "v", "seatmap", shard=3, offset=4990, length=20, deadline_ms=1500
        )
        assert isinstance(read_answer, Ok) and bytes(read_answer.body) == b"x" * 10 + bytes(10)
        assert bytes(node.bytes[("v", "seatmap")]) == b"x" * 5000

    run(case)


def test_workload_or_volume_unknown_to_the_settings_is_rejected_by_name():
    async def case(site: GatewaySite) -> None:
        await site.node()
        client = site.client(await site.gateway())
        answer = await client.read("nonesuch", "v", "k", shard=0, length=1, deadline_ms=500)
        assert isinstance(answer, Rejected) and "nonesuch" in answer.reason
        answer = await client.read("read", "w", "k", shard=0, length=1, deadline_ms=500)
        assert isinstance(answer, Rejected) and "'w'" in answer.reason

    run(case)

"""Gossip connections between dispatchers on loopback, and the settings that allow them.

Guards against garbage, strangers or floods that disturb a dispatcher, against lost gossip that costs an
answer, and against settings in which only part of gossip is switched on.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest
from support.gateway_site import PERMITS, GatewaySite, run

from cherrygrade.client import Ok
from cherrygrade.records.load import RecordError, read_site
from cherrygrade.wire.frames import encode
from cherrygrade.wire.messages import Hello, Word

EXAMPLE = Path(__file__).parents[2] / "deploy" / "example.rec"


async def start_two(site: GatewaySite, addresses: list[str]):
    permits = replace(PERMITS, allows_gossip=True)
    return [
        await site.gateway(number=number, dispatchers=2, permits=permits, places=addresses)
        for number in range(2)
    ]


async def write_keys(client, rounds: int) -> None:
    for index in range(rounds):
        assert isinstance(await client.write("write", "v", f"k{index}", b"x" * 4096, deadline_ms=1500), Ok)


async def wait_until(condition, seconds: float = 3.0) -> None:
    for _ in range(int(seconds / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not hold in time")


def test_load_reports_reach_the_aggregator_and_come_back():
    async def case(site: GatewaySite) -> None:
        node = await site.node()
        gateways = await start_two(site, site.reserve(2))
        schedulers = [gateway.rounds.scheduler for gateway in gateways]
        node_queue = next(iter(schedulers[0].node_queues.values()))
        aggregator = node_queue.node_hash % 2
        client = site.client(gateways[1 - aggregator])
        for _ in range(20):  # messages sent before the connection is open are lost
            await write_keys(client, 5)
            if schedulers[aggregator].load_gossip.aggregators:
                break
        node_load = next(iter(schedulers[aggregator].load_gossip.aggregators.values()))
        await wait_until(lambda: node_load.unit_ms > 0.0)
        other = schedulers[1 - aggregator]
        for _ in range(80):  # the connection back is opened by the first message, which is lost
            await write_keys(client, 5)
            if any(one.latency.reported_at_ms > 0.0 for one in other.node_queues.values()):
                break
            await asyncio.sleep(0.05)
        assert any(one.latency.reported_at_ms > 0.0 for one in other.node_queues.values())
        assert node.address == node_queue.node.address

    run(case)


def test_garbage_closes_only_its_own_gossip_connection():
    async def case(site: GatewaySite) -> None:
        await site.node()
        addresses = site.reserve(2)
        gateways = await start_two(site, addresses)
        host, _, port = addresses[0].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 8)
        await asyncio.wait_for(reader.read(), 3.0)
        await write_keys(site.client(gateways[0]), 3)
        assert not gateways[0].done.done()
        writer.close()
        await wait_until(lambda: not [one for one in gateways[0].peer_messaging.receivers if one.seat < 0])

    run(case)


async def send_and_read(address: str, *messages) -> bytes:
    """Send messages to a gossip address; return the bytes received until the connection closed."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for message in messages:
        writer.write(encode(message, 0))
    received = await asyncio.wait_for(reader.read(), 4.0)
    writer.close()
    return received


def test_strangers_get_the_reason_why_they_are_closed():
    async def case(site: GatewaySite) -> None:
        await site.node()
        addresses = site.reserve(2)
        gateways = await start_two(site, addresses)
        assert b"another fleet" in await send_and_read(addresses[0], Hello(1, "peer", "x", ["1/3"]))
        # Seat 0 is the receiver itself.
        assert b"another fleet" in await send_and_read(addresses[0], Hello(1, "peer", "x", ["0/2"]))
        assert b"only dispatchers' words" in await send_and_read(addresses[0], Word(b"\x03" * 6))
        assert b"only dispatchers' words" in await send_and_read(addresses[0], Hello(1, "client", "x"))
        # None of these messages reached the scheduler.
        assert gateways[0].rounds.scheduler.load_gossip.malformed == 0
        await write_keys(site.client(gateways[0]), 3)

    run(case)


def test_flood_is_dropped_and_malformed_messages_are_counted():
    async def case(site: GatewaySite) -> None:
        await site.node()
        addresses = site.reserve(2)
        gateways = await start_two(site, addresses)
        client = site.client(gateways[0])
        host, _, port = addresses[0].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode(Hello(1, "peer", "x", ["1/2"]), 0) + encode(Word(b"\xff" * 7), 0) * 5000)
        messaging, scheduler = gateways[0].peer_messaging, gateways[0].rounds.scheduler
        await wait_until(lambda: messaging.dropped > 3000 and scheduler.load_gossip.malformed > 100)
        assert not any(
            node_queue.latency.reported_at_ms > 0.0 for node_queue in scheduler.node_queues.values()
        )  # no RPC was sent yet, so no load was reported
        await write_keys(client, 5)
        writer.close()

    run(case)


def test_unreachable_dispatcher_loses_messages_but_no_answers():
    async def case(site: GatewaySite) -> None:
        await site.node()
        gateways = await start_two(site, site.reserve(2))
        gateways[1]._end(0)
        await write_keys(site.client(gateways[0]), 10)
        messaging = gateways[0].peer_messaging
        assert messaging.sent + messaging.lost > 0 or gateways[0].rounds.scheduler.load_gossip.aggregators

    run(case)


def test_settings_without_gossip_open_no_connection():
    async def case(site: GatewaySite) -> None:
        await site.node()
        gateway = await site.gateway()
        await write_keys(site.client(gateway), 3)
        assert gateway.peer_messaging is None and not gateway.rounds.scheduler.load_gossip.aggregators

    run(case)
    site = read_site(EXAMPLE)
    permits = site.bearings.permits
    assert not (permits.allows_gossip or permits.clients_mark_retries or site.words.places)


NEW = """
permits: {peers: true, marks_repeats: true, copies: true}
earnings: tells_elsewhere: false
words: places: ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
"""


def test_example_file_with_gossip_settings_is_valid():
    site = read_site(EXAMPLE, NEW)
    assert site.bearings.permits.allows_gossip and len(site.words.places) == 3


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (NEW.replace("peers: true", "peers: false"), "words.places"),
        (NEW.replace(', "127.0.0.1:3"', ""), "words.places"),
        (NEW.replace("127.0.0.1:3", "127.0.0.1:1"), "words.places"),
        (NEW.replace("tells_elsewhere: false", "tells_elsewhere: true"), "earnings.tells_elsewhere"),
        ("permits: peers: true\nearnings: tells_elsewhere: false", "words.places"),
        ('words: places: ["here"]', "words.places"),
        ("permits: marks_repeats: 3", "permits.marks_repeats"),
        ("plans: standard: limit_rate: 30", "plans.standard.limit_depth"),
    ],
)
def test_contradictory_gossip_settings_are_refused_with_the_key(text, key):
    with pytest.raises(RecordError) as raised:
        read_site(EXAMPLE, text)
    # The fault names the file and line before the key.
    assert any(key in fault and ":" in fault.split(key)[0] for fault in raised.value.faults)

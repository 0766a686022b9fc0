"""Words between dispatchers on loopback: the way of a word, what breaks it, and what settings allow it."""

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


async def pair(house: GatewaySite, places: list[str]):
    permits = replace(PERMITS, allows_gossip=True)
    return [
        await house.gateway(number=number, dispatchers=2, permits=permits, places=places)
        for number in range(2)
    ]


async def use(client, rounds: int) -> None:
    for index in range(rounds):
        assert isinstance(await client.write("write", "v", f"k{index}", b"x" * 4096, deadline_ms=1500), Ok)


async def until(seen, seconds: float = 3.0) -> None:
    for _ in range(int(seconds / 0.01)):
        if seen():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("not seen in time")


def test_what_one_dispatcher_sends_is_told_to_the_one_that_keeps_the_node():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        gateways = await pair(house, house.reserve(2))
        modules = [gateway.rounds.scheduler for gateway in gateways]
        lane = next(iter(modules[0].node_queues.values()))
        keeper = lane.node_hash % 2
        client = house.client(gateways[1 - keeper])
        for _ in range(20):  # words before the connection stands are lost
            await use(client, 5)
            if modules[keeper].load_gossip.aggregators:
                break
        kept = next(iter(modules[keeper].load_gossip.aggregators.values()))
        await until(lambda: kept.unit_ms > 0.0)
        other = modules[1 - keeper]
        for _ in range(80):  # the way back is made by the first word, which is lost
            await use(client, 5)
            if any(one.latency.reported_at_ms > 0.0 for one in other.node_queues.values()):
                break
            await asyncio.sleep(0.05)
        assert any(one.latency.reported_at_ms > 0.0 for one in other.node_queues.values())
        assert node.address == lane.node.address

    run(story)


def test_nonsense_at_the_words_place_ends_that_connection_only():
    async def story(house: GatewaySite) -> None:
        await house.node()
        places = house.reserve(2)
        gateways = await pair(house, places)
        host, _, port = places[0].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 8)
        await asyncio.wait_for(reader.read(), 3.0)
        await use(house.client(gateways[0]), 3)
        assert not gateways[0].done.done()
        writer.close()
        await until(lambda: not [one for one in gateways[0].peer_messaging.receivers if one.seat < 0])

    run(story)


async def knock(place: str, *messages) -> bytes:
    """Say these at a words place; gives what came back until it closed."""
    host, _, port = place.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for message in messages:
        writer.write(encode(message, 0))
    said = await asyncio.wait_for(reader.read(), 4.0)
    writer.close()
    return said


def test_a_dispatcher_of_another_fleet_and_one_that_does_not_say_hello_are_told_why():
    async def story(house: GatewaySite) -> None:
        await house.node()
        places = house.reserve(2)
        gateways = await pair(house, places)
        assert b"another fleet" in await knock(places[0], Hello(1, "peer", "x", ["1/3"]))
        assert b"another fleet" in await knock(places[0], Hello(1, "peer", "x", ["0/2"]))  # it is itself 0
        assert b"only dispatchers' gossip" in await knock(places[0], Word(b"\x03" * 6))
        assert b"only dispatchers' gossip" in await knock(places[0], Hello(1, "client", "x"))
        assert gateways[0].rounds.scheduler.load_gossip.malformed == 0  # none of it came that far
        await use(house.client(gateways[0]), 3)

    run(story)


def test_a_flood_of_words_is_dropped_and_nonsense_counted_and_nobody_is_hurt():
    async def story(house: GatewaySite) -> None:
        await house.node()
        places = house.reserve(2)
        gateways = await pair(house, places)
        client = house.client(gateways[0])
        host, _, port = places[0].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode(Hello(1, "peer", "x", ["1/2"]), 0) + encode(Word(b"\xff" * 7), 0) * 5000)
        words, module = gateways[0].peer_messaging, gateways[0].rounds.scheduler
        await until(lambda: words.dropped > 3000 and module.load_gossip.malformed > 100)
        assert not any(
            lane.latency.reported_at_ms > 0.0 for lane in module.node_queues.values()
        )  # no RPC yet, so no true word
        await use(client, 5)
        writer.close()

    run(story)


def test_a_dispatcher_that_is_away_costs_words_and_no_answer():
    async def story(house: GatewaySite) -> None:
        await house.node()
        gateways = await pair(house, house.reserve(2))
        gateways[1]._end(0)
        await use(house.client(gateways[0]), 10)
        words = gateways[0].peer_messaging
        assert words.sent + words.lost > 0 or gateways[0].rounds.scheduler.load_gossip.aggregators

    run(story)


def test_settings_as_they_were_open_no_way_and_tell_nobody():
    async def story(house: GatewaySite) -> None:
        await house.node()
        gateway = await house.gateway()
        await use(house.client(gateway), 3)
        assert gateway.peer_messaging is None and not gateway.rounds.scheduler.load_gossip.aggregators

    run(story)
    site = read_site(EXAMPLE)
    permits = site.bearings.permits
    assert not (permits.allows_gossip or permits.clients_mark_retries or site.words.places)


NEW = """
permits: {peers: true, marks_repeats: true, copies: true}
earnings: tells_elsewhere: false
words: places: ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
"""


def test_the_same_file_serves_the_new_shape_by_its_settings_alone():
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
def test_settings_of_two_shapes_at_once_are_refused_with_the_key(text, key):
    with pytest.raises(RecordError) as told:
        read_site(EXAMPLE, text)
    assert any(key in fault and ":" in fault.split(key)[0] for fault in told.value.faults)  # and its place

"""Rules 4 and 7 between processes while the fleet's configuration changes under load: sums are judged from
what the nodes' stand-ins recorded. Rigs of the greedy kind, in one process: test_parts_in_force.py."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any

import pytest
from support.configured_fleet import Fleet
from support.gateway_site import GatewaySite, run

from cherrygrade.client import Client
from cherrygrade.standin.node import Build, Node

pytestmark = pytest.mark.few

SLACK_MS = 150.0  # by which what was sent apart may be seen together: a busy machine
COLD_UNITS, SPAN_MS, WARM_MS, SHARE = 18.0, 1000.0, 60_000.0, 0.5


def text(dispatchers: int, rate: float, depth: float = 24.0) -> str:
    """`v` is limited, `u` is not."""
    return f"""
place: dispatchers: {dispatchers}
plans: plan: {{usual_rate: 1000, limit_rate: {rate}, limit_depth: {depth}}}
plans: free: usual_rate: 1000
volumes: v: hosts: {dispatchers}
volumes: u: {{plan: plans.free, hosts: {dispatchers}}}
cold: {{units: {COLD_UNITS}, share: {SHARE}, multiple: 1, span_ms: {SPAN_MS}, warm_ms: {WARM_MS}}}
"""


class Loaded(Fleet):
    """With load at the limit on each dispatcher: `v` at shard 0, and `u` at shard 1, which is cold."""

    def __init__(self, folder: Path, house: GatewaySite, count: int) -> None:
        super().__init__(folder, house.register.address, count)
        self.house = house
        self.clients: dict[int, Client] = {}
        self.tasks: dict[int, list[asyncio.Task[None]]] = {}

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    def load(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            address = self.log_lines(number, "listening")[-1]["address"]
            client = self.clients[number] = Client(address, f"c{number}")
            asks = [("v", 0)] * 4 + [("u", 1)] * 2
            self.tasks[number] = [asyncio.create_task(self._ask(client, *one)) for one in asks]

    async def _ask(self, client: Client, volume: str, shard: int) -> None:
        count = 0
        while True:
            count += 1
            await client.write("write", volume, f"k{count % 50}", b"x", shard=shard, deadline_ms=500.0)
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        for task in [task for tasks in self.tasks.values() for task in tasks]:
            task.cancel()
        for client in self.clients.values():
            client.close()
        await super().close()

    def cut(self, *numbers: int) -> None:
        """Between these and the others, both ways; their nodes and clients are reached as before."""
        self.ways.act("cut", {"on": " ".join(map(str, numbers))})

    def heal(self, *numbers: int) -> None:
        self.ways.act("heal", {"on": " ".join(map(str, numbers))})

    async def settled(self, number: int, within_s: float = 8.0) -> None:
        async def holds() -> bool:
            told = await asyncio.gather(*(self.status(one) for one in self.running))
            return all(one["number"] == number and one["settled"] for one in told)

        await self.wait_until(holds, within_s)

    async def on(self, number: int, *numbers: int) -> None:
        async def holds() -> bool:
            told = await asyncio.gather(*(self.status(one) for one in numbers))
            return all(one["number"] == number for one in told)

        await self.wait_until(holds, 6.0)


def play(story: Callable[[Loaded], Coroutine[Any, Any, None]], folder: Path, count: int, begins: int) -> None:
    async def whole(house: GatewaySite) -> None:
        await house.node(0, Build(unit_ms=3.0, put_off=0.0))
        await house.node(1, Build(unit_ms=40.0, put_off=0.0))
        await house.register.start()
        fleet = Loaded(folder, house, count)
        try:
            fleet.count = begins  # that the own files know, at first
            await fleet.open()
            fleet.count = count
            await story(fleet)
            fleet.assert_stages_never_decrease()
        finally:
            await fleet.close()

    run(whole, 90.0)


def sends(node: Node, volume: str, since: float, until: float) -> list[tuple[float, float]]:
    return [
        (line[0], line[8])
        for line in node.record.lines
        if line[1] == "recv" and line[6] == volume and since <= line[0] <= until
    ]


def over_limit(came: list[tuple[float, float]], rate: float, depth: float) -> float:
    """By how many units they passed the limit at most: a store that holds what slack may bring together."""
    deep = depth + rate * SLACK_MS / 1000.0
    store, last, worst = deep, came[0][0], -deep
    for at, units in came:
        store = min(deep, store + rate * (at - last) / 1000.0) - units
        last, worst = at, max(worst, -store)
    return worst


def most_cold(came: list[tuple[float, float]], born: float) -> float:
    """The largest part of what rule 4 lets a cold node bear that came within a span of it."""
    first, total, worst = 0, 0.0, 0.0
    for at, units in came:
        total += units
        while came[first][0] < at - SPAN_MS + SLACK_MS:
            total -= came[first][1]
            first += 1
        age = max(0.0, at - born - SPAN_MS / 2.0)
        worst = max(worst, total / (COLD_UNITS * (1.0 + (1.0 / SHARE - 1.0) * age / WARM_MS)))
    return worst


def test_a_limit_is_lowered_while_a_third_is_cut_off(tmp_path):
    async def story(fleet: Loaded) -> None:
        assert await fleet.put(text(9, 270.0)) == 1
        await fleet.settled(1)
        fleet.load(range(9))
        await asyncio.sleep(1.0)
        fleet.cut(6, 7, 8)
        begun = fleet.now
        assert await fleet.put(text(9, 60.0)) == 2
        await fleet.on(2, *range(6))
        both = fleet.now
        await asyncio.sleep(4.0)
        assert set((await fleet.version_numbers()).values()) == {1, 2}
        healed = fleet.now
        fleet.heal(6, 7, 8)
        await fleet.wait_for_version(2)
        lowered = fleet.now
        await asyncio.sleep(3.0)
        node = fleet.house.nodes[0]
        came = sends(node, "v", begun, lowered)
        assert over_limit(came, 270.0, 24.0) <= 0.0
        halves = sum(units for _, units in sends(node, "v", both + 500.0, healed))
        within_s = (healed - both - 500.0) / 1000.0
        # A third by the old one, two thirds by the new: load was at the limit on both sides.
        assert 0.7 < halves / within_s / (270.0 / 3.0 + 60.0 * 2.0 / 3.0) < 1.1
        after = sends(node, "v", lowered + SLACK_MS, fleet.now)
        assert over_limit(after, 60.0, 24.0) <= 0.0
        assert sum(units for _, units in after) > 60.0 * 2.0

    play(story, tmp_path, 9, 9)


def test_a_limit_raised_then_lowered_with_words_arriving_in_the_wrong_order(tmp_path):
    async def story(fleet: Loaded) -> None:
        assert await fleet.put(text(9, 60.0)) == 1
        await fleet.settled(1)
        fleet.load(range(9))
        fleet.ways.all.jitter_ms, fleet.ways.all.doubled = 350.0, 0.3
        begun = fleet.now
        assert await fleet.put(text(9, 300.0)) == 2
        assert await fleet.put(text(9, 30.0)) == 3
        await fleet.wait_for_version(3, 12.0)  # slower than the goal, with words that are so late
        lowered = fleet.now
        await asyncio.sleep(4.0)  # words of version 2 still come
        assert {*(await fleet.version_numbers()).values()} == {3}
        node = fleet.house.nodes[0]
        assert over_limit(sends(node, "v", begun, lowered), 300.0, 24.0) <= 0.0
        after = sends(node, "v", lowered + SLACK_MS, fleet.now)
        assert over_limit(after, 30.0, 24.0) <= 0.0
        assert sum(units for _, units in after) > 30.0 * 2.0

    play(story, tmp_path, 9, 9)


def test_the_number_of_dispatchers_is_raised_from_9_to_12_and_back_under_load(tmp_path):
    async def story(fleet: Loaded) -> None:
        assert await fleet.put(text(9, 90.0)) == 1
        await fleet.settled(1)
        register, (node, cold) = fleet.house.register, fleet.house.nodes
        register.set(cold.address, "z", 1, "live", 2, 0.0)  # it is young from here to the end
        born = begun = fleet.now
        fleet.load(range(9))
        for number in (9, 10, 11):  # their own files know twelve
            await fleet.start(number)
        await fleet.settled(1)
        fleet.load((9, 10, 11))
        await asyncio.sleep(1.0)
        fleet.cut(5, 6, 7, 8)
        assert await fleet.put(text(12, 90.0)) == 2
        await fleet.on(2, *(one for one in range(12) if one not in (5, 6, 7, 8)))
        await asyncio.sleep(4.0)  # four go by nine, five by the smaller of both, three not yet
        assert not (await fleet.status(0))["settled"]
        assert not doors(node, "v", begun, fleet.now) & {f"d{at}" for at in (9, 10, 11)}
        fleet.heal(5, 6, 7, 8)
        await fleet.settled(2)
        await asyncio.sleep(2.5)
        assert doors(node, "v", fleet.now - 2000.0, fleet.now) == {f"d{at}" for at in range(12)}
        fleet.cut(9, 10, 11)
        assert await fleet.put(text(9, 90.0)) == 3
        await fleet.on(3, *range(9))
        await asyncio.sleep(4.0)  # three go on by twelve, nine by the smaller of both
        assert not (await fleet.status(0))["settled"]
        fleet.heal(9, 10, 11)
        await fleet.settled(3)
        settled = fleet.now
        await asyncio.sleep(2.5)
        assert doors(node, "v", settled + SLACK_MS, fleet.now) == {f"d{at}" for at in range(9)}
        came = sends(node, "v", begun, fleet.now)
        assert over_limit(came, 90.0, 24.0) <= 0.0
        assert sum(units for _, units in came) > 0.6 * 90.0 * (fleet.now - begun) / 1000.0
        young = sends(cold, "u", begun + 2.0 * SPAN_MS, fleet.now)
        assert most_cold(young, born) <= 1.0
        assert len(young) > 0.3 * COLD_UNITS * (fleet.now - begun) / SPAN_MS

    play(story, tmp_path, 12, 9)


def doors(node: Node, volume: str, since: float, until: float) -> set[str]:
    """Dispatchers that sent it."""
    lines = [line for line in node.record.lines if line[1] == "recv" and since <= line[0] <= until]
    return {line[2] for line in lines if line[6] == volume}

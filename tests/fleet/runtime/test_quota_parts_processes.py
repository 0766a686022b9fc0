"""Quotas of limits and cold nodes between dispatcher processes, while the configuration changes under load.

At no time may all dispatchers together send a limited volume's requests above its limit, or a cold node more
than it may get, also while some of them are cut off and use other quotas. The tests sum up what the storage
nodes' stand-ins recorded. tests/gateway/test_quota_parts_in_force.py tests the same within one process.
"""

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

SLACK_MS = 150.0  # on a busy machine, requests sent at times this far apart may be recorded as one burst
COLD_UNITS, SPAN_MS, WARM_MS, SHARE = 18.0, 1000.0, 60_000.0, 0.5


def config_text(dispatchers: int, rate: float, depth: float = 24.0) -> str:
    """Return a version's text, in which volume `v` is limited and volume `u` is not."""
    return f"""
place: dispatchers: {dispatchers}
plans: plan: {{usual_rate: 1000, limit_rate: {rate}, limit_depth: {depth}}}
plans: free: usual_rate: 1000
volumes: v: hosts: {dispatchers}
volumes: u: {{plan: plans.free, hosts: {dispatchers}}}
cold: {{units: {COLD_UNITS}, share: {SHARE}, multiple: 1, span_ms: {SPAN_MS}, warm_ms: {WARM_MS}}}
"""


class LoadedFleet(Fleet):
    """A fleet with load at the limit on each dispatcher: `v` at shard 0, `u` at shard 1, which is cold."""

    def __init__(self, folder: Path, gateway_site: GatewaySite, count: int) -> None:
        super().__init__(folder, gateway_site.register.address, count)
        self.gateway_site = gateway_site
        self.clients: dict[int, Client] = {}
        self.tasks: dict[int, list[asyncio.Task[None]]] = {}

    @property
    def now_ms(self) -> float:
        """The event loop's time, ms; the stand-ins record it too."""
        return asyncio.get_running_loop().time() * 1000.0

    def start_load(self, numbers: Iterable[int]) -> None:
        """Start four writers of `v` and two of `u` at each of these dispatchers."""
        for number in numbers:
            address = self.log_lines(number, "listening")[-1]["address"]
            client = self.clients[number] = Client(address, f"c{number}")
            targets = [("v", 0)] * 4 + [("u", 1)] * 2
            self.tasks[number] = [asyncio.create_task(self._write(client, *target)) for target in targets]

    async def _write(self, client: Client, volume: str, shard: int) -> None:
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
        """Cut these dispatchers off from the others, both ways; nodes and clients still reach them."""
        self.ways.act("cut", {"on": " ".join(map(str, numbers))})

    def heal(self, *numbers: int) -> None:
        """Connect these dispatchers to the others again."""
        self.ways.act("heal", {"on": " ".join(map(str, numbers))})

    async def wait_until_settled(self, number: int, within_s: float = 8.0) -> None:
        """Wait until version `number` is in force and settled at all dispatchers."""

        async def holds() -> bool:
            statuses = await asyncio.gather(*(self.status(seat) for seat in self.running))
            return all(status["number"] == number and status["settled"] for status in statuses)

        await self.wait_until(holds, within_s)

    async def wait_until_in_force(self, number: int, *seats: int) -> None:
        """Wait until version `number` is in force at the dispatchers with these seats."""

        async def holds() -> bool:
            statuses = await asyncio.gather(*(self.status(seat) for seat in seats))
            return all(status["number"] == number for status in statuses)

        await self.wait_until(holds, 6.0)


def run_scenario(
    scenario: Callable[[LoadedFleet], Coroutine[Any, Any, None]], folder: Path, count: int, initial_count: int
) -> None:
    """Run a scenario with two storage nodes and a fleet, within 90 s.

    Args:
        scenario: The scenario.
        folder: For the files of the processes.
        count: How many dispatchers the files of later processes name.
        initial_count: How many dispatchers are started, and are named by their own files.
    """

    async def with_fleet(gateway_site: GatewaySite) -> None:
        await gateway_site.node(0, Build(unit_ms=3.0, put_off=0.0))
        await gateway_site.node(1, Build(unit_ms=40.0, put_off=0.0))
        await gateway_site.register.start()
        fleet = LoadedFleet(folder, gateway_site, count)
        try:
            fleet.count = initial_count
            await fleet.open()
            fleet.count = count
            await scenario(fleet)
            fleet.assert_stages_never_decrease()
        finally:
            await fleet.close()

    run(with_fleet, 90.0)


def received(node: Node, volume: str, since: float, until: float) -> list[tuple[float, float]]:
    """Return the time (ms) and units of each request for a volume that a node received between two times."""
    return [
        (line[0], line[8])
        for line in node.record.lines
        if line[1] == "recv" and line[6] == volume and since <= line[0] <= until
    ]


def max_units_over_limit(requests: list[tuple[float, float]], rate: float, depth: float) -> float:
    """Return by how many units the requests exceeded a limit at most; negative where they never did.

    The limit is a token bucket, deeper by the tokens of SLACK_MS, since requests may be recorded as a burst.
    """
    capacity = depth + rate * SLACK_MS / 1000.0
    tokens, last_ms, worst = capacity, requests[0][0], -capacity
    for time_ms, units in requests:
        tokens = min(capacity, tokens + rate * (time_ms - last_ms) / 1000.0) - units
        last_ms, worst = time_ms, max(worst, -tokens)
    return worst


def max_cold_load(requests: list[tuple[float, float]], listed_ms: float) -> float:
    """Return the largest load of a cold node within SPAN_MS, as a ratio to the load that it may get.

    The load that it may get grows from COLD_UNITS to COLD_UNITS / SHARE within WARM_MS of the time at which
    the node was listed.
    """
    first, total, worst = 0, 0.0, 0.0
    for time_ms, units in requests:
        total += units
        while requests[first][0] < time_ms - SPAN_MS + SLACK_MS:
            total -= requests[first][1]
            first += 1
        age_ms = max(0.0, time_ms - listed_ms - SPAN_MS / 2.0)
        worst = max(worst, total / (COLD_UNITS * (1.0 + (1.0 / SHARE - 1.0) * age_ms / WARM_MS)))
    return worst


def test_limit_holds_while_lowered_with_a_third_of_the_dispatchers_cut_off(tmp_path):
    async def scenario(fleet: LoadedFleet) -> None:
        assert await fleet.put(config_text(9, 270.0)) == 1
        await fleet.wait_until_settled(1)
        fleet.start_load(range(9))
        await asyncio.sleep(1.0)
        fleet.cut(6, 7, 8)
        started = fleet.now_ms
        assert await fleet.put(config_text(9, 60.0)) == 2
        await fleet.wait_until_in_force(2, *range(6))
        lowered_majority = fleet.now_ms
        await asyncio.sleep(4.0)
        assert set((await fleet.version_numbers()).values()) == {1, 2}
        healed = fleet.now_ms
        fleet.heal(6, 7, 8)
        await fleet.wait_for_version(2)
        lowered = fleet.now_ms
        await asyncio.sleep(3.0)
        node = fleet.gateway_site.nodes[0]
        requests = received(node, "v", started, lowered)
        assert max_units_over_limit(requests, 270.0, 24.0) <= 0.0
        cut_units = sum(units for _, units in received(node, "v", lowered_majority + 500.0, healed))
        within_s = (healed - lowered_majority - 500.0) / 1000.0
        # A third of the dispatchers use the old limit, two thirds the new one, all with load at their quota.
        assert 0.7 < cut_units / within_s / (270.0 / 3.0 + 60.0 * 2.0 / 3.0) < 1.1
        after = received(node, "v", lowered + SLACK_MS, fleet.now_ms)
        assert max_units_over_limit(after, 60.0, 24.0) <= 0.0
        assert sum(units for _, units in after) > 60.0 * 2.0

    run_scenario(scenario, tmp_path, 9, 9)


def test_limit_holds_when_raised_then_lowered_with_reordered_datagrams(tmp_path):
    async def scenario(fleet: LoadedFleet) -> None:
        assert await fleet.put(config_text(9, 60.0)) == 1
        await fleet.wait_until_settled(1)
        fleet.start_load(range(9))
        fleet.ways.default_faults.jitter_ms, fleet.ways.default_faults.doubled = 350.0, 0.3
        started = fleet.now_ms
        assert await fleet.put(config_text(9, 300.0)) == 2
        assert await fleet.put(config_text(9, 30.0)) == 3
        await fleet.wait_for_version(3, 12.0)  # longer than the target, since datagrams are up to 350 ms late
        lowered = fleet.now_ms
        await asyncio.sleep(4.0)  # datagrams about version 2 still arrive
        assert {*(await fleet.version_numbers()).values()} == {3}
        node = fleet.gateway_site.nodes[0]
        assert max_units_over_limit(received(node, "v", started, lowered), 300.0, 24.0) <= 0.0
        after = received(node, "v", lowered + SLACK_MS, fleet.now_ms)
        assert max_units_over_limit(after, 30.0, 24.0) <= 0.0
        assert sum(units for _, units in after) > 30.0 * 2.0

    run_scenario(scenario, tmp_path, 9, 9)


def test_limits_hold_while_dispatchers_grow_from_9_to_12_and_back_under_load(tmp_path):
    async def scenario(fleet: LoadedFleet) -> None:
        assert await fleet.put(config_text(9, 90.0)) == 1
        await fleet.wait_until_settled(1)
        register, (node, cold) = fleet.gateway_site.register, fleet.gateway_site.nodes
        register.set(cold.address, "z", 1, "live", 2, 0.0)  # the node is cold from here to the end
        listed = started = fleet.now_ms
        fleet.start_load(range(9))
        for number in (9, 10, 11):  # their own files name twelve dispatchers
            await fleet.start(number)
        await fleet.wait_until_settled(1)
        fleet.start_load((9, 10, 11))
        await asyncio.sleep(1.0)
        fleet.cut(5, 6, 7, 8)
        assert await fleet.put(config_text(12, 90.0)) == 2
        await fleet.wait_until_in_force(2, *(other for other in range(12) if other not in (5, 6, 7, 8)))
        await asyncio.sleep(4.0)  # quotas: four by 9, five by the smaller of both quotas, three none yet
        assert not (await fleet.status(0))["settled"]
        assert not senders(node, "v", started, fleet.now_ms) & {f"d{seat}" for seat in (9, 10, 11)}
        fleet.heal(5, 6, 7, 8)
        await fleet.wait_until_settled(2)
        await asyncio.sleep(2.5)
        assert senders(node, "v", fleet.now_ms - 2000.0, fleet.now_ms) == {f"d{seat}" for seat in range(12)}
        fleet.cut(9, 10, 11)
        assert await fleet.put(config_text(9, 90.0)) == 3
        await fleet.wait_until_in_force(3, *range(9))
        await asyncio.sleep(4.0)  # quotas: three by 12, nine by the smaller of both quotas
        assert not (await fleet.status(0))["settled"]
        fleet.heal(9, 10, 11)
        await fleet.wait_until_settled(3)
        settled = fleet.now_ms
        await asyncio.sleep(2.5)
        assert senders(node, "v", settled + SLACK_MS, fleet.now_ms) == {f"d{seat}" for seat in range(9)}
        requests = received(node, "v", started, fleet.now_ms)
        assert max_units_over_limit(requests, 90.0, 24.0) <= 0.0
        assert sum(units for _, units in requests) > 0.6 * 90.0 * (fleet.now_ms - started) / 1000.0
        cold_requests = received(cold, "u", started + 2.0 * SPAN_MS, fleet.now_ms)
        assert max_cold_load(cold_requests, listed) <= 1.0
        assert len(cold_requests) > 0.3 * COLD_UNITS * (fleet.now_ms - started) / SPAN_MS

    run_scenario(scenario, tmp_path, 12, 9)


def senders(node: Node, volume: str, since: float, until: float) -> set[str]:
    """Return the names of the dispatchers whose requests for a volume a node received between two times."""
    lines = [line for line in node.record.lines if line[1] == "recv" and since <= line[0] <= until]
    return {line[2] for line in lines if line[6] == volume}

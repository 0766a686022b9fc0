"""A fleet of agents in virtual time: the product's own code on a network that does what it is told."""

from __future__ import annotations

import asyncio
from typing import Any

from cherrygrade.fleet.membership.table import MemberState
from cherrygrade.fleet.runtime.fleet_agent import FleetAgent
from cherrygrade.settings import FleetSettings, StartReference
from cherrygrade.virtual.datagrams import DatagramConditions
from cherrygrade.virtual.guard import guarded
from cherrygrade.virtual.loop import Process, VirtualLoop
from cherrygrade.virtual.network import Network

PORT = 7500


class VirtualFleet:
    def __init__(self, network: Network, count: int, seed: int, keep_ms: float = 600_000.0) -> None:
        self.network, self.count, self.seed, self.keep_ms = network, count, seed, keep_ms
        self.agents: dict[int, tuple[Process, FleetAgent]] = {}
        self.births = 0
        self.words: list[tuple[int, int, bytes]] = []

    def now(self) -> float:
        return self.network.now_ms()

    async def start(self, number: int, name: str = "", host: str = "", seat: int | None = None) -> FleetAgent:
        self.births += 1000
        process = Process(f"d{number}")
        place = f"{host or f'10.0.0.{number}'}:{PORT}"
        contacts = [f"10.0.0.{at}:{PORT}" for at in (0, 1)]
        made: list[FleetAgent] = []

        async def begin() -> None:
            loop = asyncio.get_running_loop()
            agent = FleetAgent(
                FleetSettings(
                    "virtual_fleet", place, contacts=contacts, zone=f"z{number % 3}", keep_ms=self.keep_ms
                ),
                name or f"d{number}",
                number if seat is None else seat,
                self.count,
                self.seed * 1000 + number,
                StartReference(1_700_000_000_000 + self.births, "1", "s"),
                lambda: loop.time() * 1000.0,
                lambda peer, word: self.words.append((number, peer, word)),
                lambda event, **facts: None,
            )
            made.append(agent)
            await agent.start()

        await asyncio.get_running_loop().create_task(begin(), context=process.context())
        self.agents[number] = (process, made[0])
        return made[0]

    async def all_start(self) -> None:
        for number in range(self.count):
            await self.start(number)

    def kill(self, number: int) -> FleetAgent:
        process, agent = self.agents.pop(number)
        self.network.kill(process)
        return agent

    def cut(self, some: set[int], one_way: bool = False) -> None:
        for one in some:
            for other in self.agents.keys() - some:
                self.network.blocked_datagram_paths.add((f"d{one}", f"d{other}"))
                if not one_way:
                    self.network.blocked_datagram_paths.add((f"d{other}", f"d{one}"))

    def heal(self) -> None:
        self.network.blocked_datagram_paths.clear()

    def cores(self) -> dict[int, Any]:
        return {number: agent.membership for number, (_, agent) in self.agents.items()}

    def equal(self) -> bool:
        cores = self.cores().values()
        whole = all(len(core.table.living()) == len(self.agents) for core in cores)
        return whole and len({core.table.digest for core in cores}) == 1

    def called(self, name: str, standing: MemberState, birth: int | None = None) -> set[int]:
        """Who holds it for that."""
        found = set()
        for number, core in self.cores().items():
            member = core.table.members.get(name)
            if member is not None and member.state is standing and birth in (None, member.incarnation):
                found.add(number)
        return found

    async def until(self, holds: Any, within_ms: float, step_ms: float = 20.0) -> float:
        """How long it took; fails where it took longer."""
        begun = self.now()
        while not holds():
            assert self.now() - begun < within_ms, f"not within {within_ms:.0f} ms"
            await asyncio.sleep(step_ms / 1000.0)
        return self.now() - begun


def play(
    story: Any, count: int, seed: int = 1, rain: DatagramConditions | None = None, keep_ms: float = 600_000.0
) -> Any:
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        network = Network(loop, seed)
        network.datagram_conditions = rain
        with guarded():
            return loop.run_until_complete(story(VirtualFleet(network, count, seed, keep_ms)))
    finally:
        asyncio.set_event_loop(None)
        loop.close()

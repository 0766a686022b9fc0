"""One process of the scale run: hollow dispatchers on one event loop, led by lines on standard input.

A hollow dispatcher is the product's own `FleetAgent` with whatever it starts by its settings (members, the
council's asker, leases), on sockets of its own address, without a decision module and without clients.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from cherrygrade.fleet.membership.table import MemberInfo, MemberRecord, MemberState
from cherrygrade.fleet.runtime.fleet_agent import FleetAgent
from cherrygrade.lab.scale.follow import Follow
from cherrygrade.lab.scale.follow import state as followed
from cherrygrade.lab.scale.holdback import COUNTS, Between, HeldLoop
from cherrygrade.lab.scale.plan import Scale, Ways, address_of, seats
from cherrygrade.settings import CouncilSettings, FleetSettings, StartReference

TICK_S = 0.02  # of what tells how late the event loop is
FLEET = "lab"
VERSION, SETTINGS = "scale", "scale"

_claims = msgspec.msgpack.Decoder(list[MemberRecord])


class Told(msgspec.Struct):
    """What one process of the run is told, by file."""

    scale: Scale
    index: int
    numbers: list[int]
    port: int
    born: int
    """Unix ms; member n of the first lives is born so many ms after it."""
    receiver: str
    log: str
    result: str
    breaks: str = ""


def fleet_of(scale: Scale, number: int, zone: int, port: int, receiver: str) -> FleetSettings:
    """As the settings file of a real dispatcher would have it."""
    contacts = [f"{address_of(at)}:{port}" for at in contacts_of(scale)]
    council = None
    if scale.voters:
        names = [f"d{voter}" for voter in range(scale.voters)]
        drills = [f"drill/{task}" for task in range(scale.drills)]
        council = CouncilSettings(names, "", scale.lease_ms, 0.005, drills, receiver)
    return FleetSettings(FLEET, f"{address_of(number)}:{port}", "", contacts, f"z{zone}", council=council)


def contacts_of(scale: Scale) -> list[int]:
    """A few real and a few hollow ones."""
    found = [0, scale.real, 1, scale.dispatchers - 1]
    return sorted({at for at in found if 0 <= at < scale.dispatchers})


def waited_ms() -> float:
    """How long this process was ready to run and no core was free, in all; as Linux counts it."""
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0


class Lateness:
    """How late the loop called what was due, ms; by whole second."""

    def __init__(self) -> None:
        self.second: list[float] = []

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due = max(due + TICK_S, loop.time())
            await asyncio.sleep(due - loop.time())
            self.second.append(max(0.0, (loop.time() - due) * 1000.0))


class Host:
    def __init__(self, told: Told, between: Between, base_kib: int) -> None:
        self.told, self.between, self.base_kib = told, between, base_kib
        self.scale = told.scale
        self.zones = [one.zone for one in seats(told.scale)]
        self.members: dict[int, FleetAgent] = {}
        self.lives: dict[int, int] = {}
        self.samples: list[dict[str, Any]] = []
        self.lateness = Lateness()
        self.follow = Follow(self.now, told.breaks)
        self._ghosts: list[FleetAgent] = []
        self._process = psutil.Process()

    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    def _make(self, number: int, birth: int) -> FleetAgent:
        scale, told = self.scale, self.told
        fleet = fleet_of(scale, number, self.zones[number], told.port, told.receiver)
        life = self.lives[number] = self.lives.get(number, 0) + 1
        return FleetAgent(
            fleet,
            f"d{number}",
            number,
            scale.dispatchers,
            scale.seed * 10007 + number * 10 + life,
            StartReference(birth, VERSION, SETTINGS),
            self.now,
            lambda peer, word: None,
            lambda event, **facts: None,
            self.follow.taker(number, life),
        )

    def _first_claims(self) -> bytes:
        """What all hollow members claim at their start: the rolls of hundreds would take long to be made by
        words, and no figure is of that."""
        scale, found = self.scale, []
        for number in range(scale.real, scale.dispatchers):
            place = f"{address_of(number)}:{self.told.port}"
            facts = MemberInfo(place, f"z{self.zones[number]}", VERSION, SETTINGS, number)
            found.append(MemberRecord(f"d{number}", self.told.born + number, 0, MemberState.ALIVE, facts))
        return msgspec.msgpack.encode(found)

    async def start(self) -> None:
        known = self._first_claims()
        for number in self.told.numbers:
            agent = self.members[number] = self._make(number, self.told.born + number)
            agent.membership.merge_table(_claims.decode(known), "", self.now())  # each its own copy of it
            await agent.start()
        self.follow.broken(self.members[self.told.numbers[0]])
        gc.collect()
        gc.freeze()  # what stands for the whole run is not looked through again, by forty at once

    def kill(self, numbers: list[int]) -> None:
        """As a process that is killed: nothing more is said, all sockets are gone."""
        for number in numbers:
            agent = self.members.pop(number, None)
            if agent is None:
                continue
            if self.told.breaks == "answers for the dead":
                self._ghosts.append(agent)
                continue
            end(agent)

    async def back(self, numbers: list[int]) -> None:
        for number in numbers:
            agent = self.members[number] = self._make(number, int(time.time() * 1000.0))
            await agent.start()

    def state(self) -> dict[str, Any]:
        """What members take themselves for; for pacing the run and for sides."""
        found: dict[str, Any] = {}
        for number, agent in self.members.items():
            core = agent.membership
            found[str(number)] = {
                "digest": f"{core.table.digest:016x}",
                "living": len(core.table.living()),
                "side": core.partition_state.value,
                "entries": len(core.table.members),
                "held": len(agent.lease_tasks.holder.held) if agent.lease_tasks is not None else 0,
                **followed(agent),
            }
        return found

    def sample(self) -> None:
        """A second's end: counters as they stand, and how late the loop was."""
        waited = waited_ms()
        late, self.lateness.second = sorted(self.lateness.second), []
        counts = {number: list(self.between.counts.get(number, [0] * len(COUNTS))) for number in self.members}
        for number, agent in self.members.items():
            tasks, council_server = agent.lease_tasks, agent.council_server
            counts[number].append(council_server.sent_bytes if council_server is not None else 0)
            counts[number].append(len(tasks.holder.held) if tasks is not None else 0)
            self.follow.look(number, self.lives[number], agent)
        self.samples.append(
            {
                "at": self.now(),
                "cpu_s": time.process_time(),
                "waited_ms": waited,
                "machinery_s": self.between.machinery_s,
                "late": [round(one, 2) for one in late],
                "rss_kib": self._process.memory_info().rss // 1024,
                "fds": self._process.num_fds(),
                "counts": counts,
            }
        )

    async def sampling(self) -> None:
        loop = asyncio.get_running_loop()
        at = float(int(loop.time()) + 1)
        while True:
            await asyncio.sleep(at - loop.time())
            self.sample()
            at = max(at + 1.0, float(int(loop.time()) + 1))

    def result(self) -> dict[str, Any]:
        return {
            "index": self.told.index,
            "base_kib": self.base_kib,
            "samples": self.samples,
            "forced": self.follow.rows,
        }

    async def act(self, line: dict[str, Any]) -> Any:
        do, numbers = line["do"], [number for number in line.get("on", ()) if number in self.told.numbers]
        if do == "start":
            await self.start()
        elif do == "kill":
            self.kill(numbers)
        elif do == "back":
            await self.back(numbers)
        elif do == "cut":
            self.between.ways.cuts[str(line["name"])] = frozenset(line["on"])
        elif do == "heal":
            if self.told.breaks != "heals never":
                self.between.ways.cuts.pop(str(line["name"]), None)
        elif do == "round":  # those of the first were shuffled before real members were known
            for agent in self.members.values():
                agent.membership.failure_detector.round_order.clear()
        elif do == "state":
            return self.state()
        else:
            raise ValueError(f"no such line: {do}")
        return None


def end(agent: FleetAgent) -> None:
    for stream in [*agent.streams]:
        stream.conn.abort("killed")
    if agent.council_server is not None:
        for connection in [
            *agent.council_server.voter_connections.values(),
            *agent.council_server.client_connections,
        ]:
            connection.conn.abort("killed")
    agent.close()


async def serve(told: Told, base_kib: int, loop: HeldLoop) -> None:
    with Path(told.log).open("wb", buffering=1 << 18) as log:
        loop.between = Between(Ways(told.scale, f"host {told.index}"), told.scale.real, log)
        host = Host(told, loop.between, base_kib)
        reader = asyncio.StreamReader(limit=1 << 20)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        tasks = [loop.create_task(host.sampling()), loop.create_task(host.lateness.run())]
        say: Callable[[Any], None] = lambda value: print(json.dumps(value), flush=True)  # noqa: E731
        say("ready")
        while data := await reader.readline():  # its end is the run's end, however that came
            line = json.loads(data)
            if line["do"] == "end":
                break
            say(await host.act(line))
        for task in tasks:
            task.cancel()
        Path(told.result).write_bytes(msgspec.msgpack.encode(host.result()))
        for agent in [*host.members.values(), *host._ghosts]:
            end(agent)


def main() -> None:
    told = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Told)
    base_kib = psutil.Process().memory_info().rss // 1024
    loop = HeldLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(serve(told, base_kib, loop))
    finally:
        loop.close()


if __name__ == "__main__":
    main()

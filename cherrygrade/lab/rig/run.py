"""Plays a scenario with real processes on loopback: register, nodes, dispatchers, load, and its troubles.

The laboratory ends only processes that it started itself.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import psutil

from cherrygrade.fleet.runtime.voter_store import create_founding_store
from cherrygrade.lab.rig.scenario import Scenario, Trouble, read_scenario, write_site
from cherrygrade.standin.control import Controller
from cherrygrade.standin.emulated_network import (
    ANNOUNCED_NET,
    BOUND_NET,
    CLIENT_NET,
    CLIENTS_NUMBER,
    FIRST_NODE_NUMBER,
    FLEET,
    NODE_NET,
    REGISTER_HOST,
    REGISTER_NUMBER,
    host,
    numbers_of_far_end,
)
from cherrygrade.standin.record import Record

ON_NODES = frozenset(
    {"crash", "silent", "refuse", "resets", "slow", "still", "errors", "untold", "trickle", "drain", "move"}
)
ON_REGISTER = frozenset({"lag", "past", "quiet", "drop"})
ON_DISPATCHERS = frozenset({"stop", "kill", "leave", "end"})
ON_WAYS = {
    "cut": "cut",
    "deafen": "deafen",
    "slow_way": "slow",
    "lossy": "lost",
    "doubling": "doubled",
    "bridge": "heal",
    "noise": "noise",
    "lies": "lies",
    "reset_ways": "reset",
}
USE_MS = (6000.0, 1000.0)  # before a day's end dispatchers' use is looked at
START_WAVE = 16  # processes that start at once
DRAIN_MS = 800.0  # from being listed as draining to dying, where the trouble does not say


class Child:
    """One process, its ports as it told them, its log in the day's folder."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder
        self.ports: list[int] = []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *parts: str, wait: str = "listening") -> Child:
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *parts,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        await self.said(wait)
        return self

    async def said(self, word: str) -> None:
        assert self.process is not None and self.process.stdout is not None
        while True:
            line = (await self.process.stdout.readline()).decode()
            if not line:
                raise RuntimeError(
                    f"{self.name} ended at its start; see {self.folder / (self.name + '.log')}"
                )
            if line.startswith(word):
                self.ports = [int(part) for part in line.split()[1:] if part.isdigit()]
                return

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int = signal.SIGTERM, patience_s: float = 15.0) -> int:
        """Signal it and wait; a process that does not end is killed. Gives its exit code."""
        if self.process is None:
            return 0
        self.send_signal(number)
        try:
            async with asyncio.timeout(patience_s):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


def free_places(count: int, on: str = "127.0.0.1") -> list[str]:
    """Ports that nobody has, bound together so that they differ."""
    holds = [socket.create_server((on, 0)) for _ in range(count)]
    places = [f"127.0.0.1:{hold.getsockname()[1]}" for hold in holds]
    for hold in holds:
        hold.close()
    return places


class Day:
    def __init__(
        self,
        scenario: Scenario,
        file: Path,
        given: str,
        folder: Path,
        program: Sequence[str],
        told: Callable[[str, float], None],
    ) -> None:
        self.scenario, self.file, self.given, self.folder = scenario, file, given, folder
        self.program, self.told = [*program], told
        self.note = Record(folder / "day.jsonl")
        self.nodes: list[tuple[Child, Controller]] = []
        self.dispatchers: list[Child] = []
        self.lives: list[int] = [1] * scenario.dispatchers
        self.addresses: list[str] = []  # of nodes, as they are now
        self.starts: list[int] = []
        self.codes: list[list[object]] = []
        self.register = Child("register", folder)
        self.listed = Controller("")
        self.places = free_places(scenario.dispatchers) if scenario.words else []
        self.ways = Child("ways", folder)
        self.wayed = Controller("")
        self.fleet_ports = (0, 0)
        self.far_port = ""
        self.told_places: list[str] = []  # of nodes, where ways stand before them
        self.moves: dict[int, int] = {}
        self.receiver = Child("receiver", folder)

    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    async def play(self) -> None:
        loads: list[Child] = []
        try:
            await self._start()
            for index in range(self.scenario.loaders):
                loads.append(Child(f"load-{index}", self.folder))
            addresses = [f"127.0.0.1:{child.ports[0]}" for child in self.dispatchers]
            if self.far_port:
                addresses = [
                    f"{host(CLIENT_NET, number)}:{self.far_port}" for number in range(len(addresses))
                ]
            await asyncio.gather(
                *(
                    child.start(
                        "cherrygrade",
                        "lab",
                        "load",
                        str(self.file),
                        "--index",
                        str(index),
                        "--folder",
                        str(self.folder),
                        *(["--with", self.given] if self.given else []),
                        *addresses,
                        wait="ready",
                    )
                    for index, child in enumerate(loads)
                )
            )
            start = self.now() + 200.0
            self.note.note("day", round(start, 3))
            for child in loads:
                assert child.process is not None and child.process.stdin is not None
                child.process.stdin.write(f"go {start}\n".encode())
            troubles = asyncio.gather(*(self._trouble(trouble, start) for trouble in self.scenario.troubles))
            uses = asyncio.gather(*(self._use(start + self.scenario.length_ms - left) for left in USE_MS))
            ends = asyncio.gather(*(child.process.wait() for child in loads if child.process))
            while not ends.done():
                await asyncio.wait([ends], timeout=0.25)
                self.told("day", min(1.0, (self.now() - start) / self.scenario.length_ms))
            await troubles
            await uses
            if any(ends.result()):
                raise RuntimeError(f"a load process failed; see {self.folder}")
        finally:
            await self._end(loads)

    async def _start(self) -> None:
        scenario, folder = self.scenario, self.folder
        self.told("processes", 0.0)
        await self.register.start(
            "cherrygrade", "standin", "register", "--record", str(folder / "register.jsonl")
        )
        self.listed = Controller(f"127.0.0.1:{self.register.ports[1]}")
        await self.listed.connect()

        async def node(index: int) -> tuple[Child, Controller]:
            child = Child(f"node-{index}", folder)
            build = json.dumps(
                {
                    name: getattr(scenario.nodes[index].build, name)
                    for name in scenario.nodes[index].build.__slots__
                }
            )
            await child.start(
                "cherrygrade",
                "standin",
                "node",
                "--record",
                str(folder / f"node-{index}.jsonl"),
                "--build",
                build,
                "--seed",
                str(scenario.seed * 100 + index),
            )
            control = Controller(f"127.0.0.1:{child.ports[1]}")
            await control.connect()
            return child, control

        self.nodes = [*await asyncio.gather(*(node(index) for index in range(len(scenario.nodes))))]
        self.addresses = [f"127.0.0.1:{child.ports[0]}" for child, _ in self.nodes]
        if scenario.fleet:
            await self._start_ways()
        await self._list_all()
        if scenario.council is not None:
            await self._start_council()
        self.dispatchers = [Child(f"dispatcher-{number}", folder) for number in range(scenario.dispatchers)]
        for first in range(0, scenario.dispatchers, START_WAVE):
            wave = range(first, min(scenario.dispatchers, first + START_WAVE))
            await asyncio.gather(*(self._launch(number) for number in wave))

    async def _start_council(self) -> None:
        sitting = self.scenario.council
        assert sitting is not None
        numbered = "--numbered" if sitting.numbered else "--no-numbered"
        record = str(self.folder / "receiver.jsonl")
        await self.receiver.start("cherrygrade", "standin", "receiver", record, numbered, wait="receiver")
        voters = [f"d{number}" for number in range(sitting.voters)]
        for name in voters:
            create_founding_store(self.folder / f"council-{name}", FLEET, name, voters)

    def _council(self, number: int) -> dict[str, object]:
        sitting = self.scenario.council
        if sitting is None:
            return {}
        council = {
            "voters": [f"d{voter}" for voter in range(sitting.voters)],
            "folder": str(self.folder / f"council-d{number}"),
            "lease_ms": sitting.lease_ms,
            "drills": [f"drill/{task}" for task in range(sitting.tasks)],
            "receiver": f"127.0.0.1:{self.receiver.ports[0]}",
        }
        return {"council": council}

    async def _start_ways(self) -> None:
        """Two ports that nobody has on any address of loopback: one told, one bound."""
        told, bound = (int(place.rpartition(":")[2]) for place in free_places(2, "0.0.0.0"))
        self.fleet_ports = (told, bound)
        await self.ways.start(
            "cherrygrade", "standin", "ways",
            "--count", str(self.scenario.dispatchers), "--port", str(told), "--bound", str(bound),
            "--fleet", FLEET, "--seed", str(self.scenario.seed), "--record", str(self.folder / "ways.log"),
        )  # fmt: skip
        self.wayed = Controller(f"127.0.0.1:{self.ways.ports[0]}")
        await self.wayed.connect()
        if self.scenario.ways:
            self.far_port = await self.wayed.say("port")
            await self._place(REGISTER_HOST, REGISTER_NUMBER, f"127.0.0.1:{self.register.ports[0]}")
            self.told_places = ["" for _ in self.nodes]
            for index in range(len(self.nodes)):
                await self._place_node(index)

    async def _place(self, at: str, number: int, to: str) -> None:
        """A told host of the ways' for somebody who is no dispatcher."""
        await self.wayed.say("place", host=at, number=float(number), to=to)

    async def _place_node(self, index: int) -> None:
        """At another told host for each address that it had."""
        self.moves[index] = self.moves.get(index, -1) + 1
        at = f"{NODE_NET}.{self.moves[index]}.{index + 1}"
        await self._place(at, FIRST_NODE_NUMBER + index, self.addresses[index])
        self.told_places[index] = f"{at}:{self.far_port}"
        self.note.note("placed", index, self.addresses[index], self.told_places[index])

    def _told(self, index: int) -> str:
        return self.told_places[index] if self.far_port else self.addresses[index]

    def _fleet(self, number: int) -> dict[str, object] | None:
        """What the dispatcher is told of its fleet: a few contacts, its own two places."""
        if not self.scenario.fleet:
            return None
        told, bound = self.fleet_ports
        contacts = [f"{host(ANNOUNCED_NET, at)}:{told}" for at in range(min(3, self.scenario.dispatchers))]
        return {
            "name": FLEET,
            "place": f"{host(ANNOUNCED_NET, number)}:{told}",
            "bind": f"{host(BOUND_NET, number)}:{bound}",
            "contacts": contacts,
            "zone": f"z{number % 3}",
            **self._council(number),
        }

    async def _list_all(self) -> None:
        """What the register and the nodes have to know before the day."""
        scenario = self.scenario
        self.starts = [1] * len(self.nodes)
        for index in range(len(self.nodes)):
            await self._list(index, "live", age_ms=1e7)
        await self.listed.say("lag", value=scenario.lag_ms)
        for name, volume in scenario.ranges.items():
            await self.listed.say(
                "volume",
                name=name,
                size=float(volume.extents * volume.extent_bytes),
                extent_bytes=float(volume.extent_bytes),
                shards=float(len(self.nodes)),
            )
            for index, (_, control) in enumerate(self.nodes):
                await control.say(
                    "extents",
                    volume=name,
                    first=float(index),
                    step=float(len(self.nodes)),
                    count=float(volume.extents),
                )

    async def _launch(self, number: int) -> None:
        child = self.dispatchers[number]
        listen = f"127.0.0.1:{child.ports[0] if child.ports else 0}"
        file = write_site(
            self.scenario,
            self.folder,
            number,
            self.lives[number],
            listen,
            f"{REGISTER_HOST}:{self.far_port}" if self.far_port else f"127.0.0.1:{self.register.ports[0]}",
            self.places,
            self._fleet(number),
            host(BOUND_NET, number) if self.far_port else "",
        )
        await child.start(*self.program, str(file))
        if self.far_port:
            await self._place(host(CLIENT_NET, number), number, f"127.0.0.1:{child.ports[0]}")
        self.note.note("life", number, self.lives[number])

    async def _list(self, index: int, standing: str, age_ms: float = 0.0, address: str = "") -> None:
        await self.listed.say(
            "set",
            address=address or self._told(index),
            zone=self.scenario.nodes[index].zone,
            shard=float(index),
            standing=standing,
            start=float(self.starts[index]),
            age_ms=age_ms,
        )

    async def _use(self, at: float) -> None:
        """What dispatchers used by then, as the system counts it: seconds of a core, KiB in memory."""
        await asyncio.sleep(max(0.0, (at - self.now()) / 1000.0))
        for number, child in enumerate(self.dispatchers):
            if child.process is not None and child.process.returncode is None:
                try:
                    seen = psutil.Process(child.process.pid)
                    times, memory = seen.cpu_times(), seen.memory_info()
                except psutil.Error:
                    continue
                seconds = times.user + times.system
                self.note.note("use", number, self.lives[number], seconds, memory.rss // 1024)

    async def _trouble(self, trouble: Trouble, start: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep((start + trouble.at_ms) / 1000.0 - loop.time())
        self.note.note("trouble", trouble.kind, trouble.on, trouble.for_ms, trouble.size)
        if trouble.kind in ON_NODES:
            on = trouble.on or range(len(self.nodes))
            await asyncio.gather(
                *(self._node_trouble(trouble, index) for index in on if index < len(self.nodes))
            )
        elif trouble.kind in ON_REGISTER:
            command = "silent" if trouble.kind == "quiet" else trouble.kind
            await self.listed.say(
                command, value=trouble.size, for_ms=trouble.for_ms, usual=self.scenario.lag_ms
            )
        elif trouble.kind in ON_WAYS:
            await self._way_trouble(trouble)
        elif trouble.kind in ON_DISPATCHERS:
            await asyncio.gather(
                *(
                    self._dispatcher_trouble(trouble, number)
                    for number in trouble.on
                    if number < self.scenario.dispatchers
                )
            )

    async def _way_trouble(self, trouble: Trouble) -> None:
        """On ways between these dispatchers and the others, or on all ways."""
        on, command = " ".join(str(number) for number in trouble.on), ON_WAYS[trouble.kind]
        numbers = [number for name in trouble.far for number in numbers_of_far_end(name, len(self.nodes))]
        if trouble.far and not self.far_port:
            return
        far, shuts, here = " ".join(map(str, numbers)), command in ("cut", "deafen"), not trouble.far
        if command == "reset" and self.far_port:  # clients' streams too: what was under way there is lost
            self.note.note("shut", trouble.on or [*range(self.scenario.dispatchers)], 0.0)
        if shuts and here:
            self.note.note("cut", trouble.on)
        elif shuts and CLIENTS_NUMBER in numbers:
            self.note.note("shut", trouble.on, trouble.for_ms)
        elif trouble.for_ms and here:
            self.note.note("rough", trouble.for_ms, trouble.kind, trouble.size)
        told = await self.wayed.say(command, on=on, far=far, size=trouble.size)
        if command == "lies":
            self.note.note("lied", [int(part) for part in told.split()])
        if trouble.for_ms:
            await asyncio.sleep(trouble.for_ms / 1000.0)
            await self.wayed.say("heal" if shuts else command, on=on, far=far, size=0.0)
            if shuts and here:
                self.note.note("healed", trouble.on)

    async def _node_trouble(self, trouble: Trouble, index: int) -> None:
        _, control = self.nodes[index]
        kind, for_ms = trouble.kind, trouble.for_ms
        if kind in ("crash", "drain", "move"):
            if kind != "crash":
                await self._list(index, "draining")
                await asyncio.sleep(DRAIN_MS / 1000.0)
            old = self._told(index)
            await control.say("move" if kind == "move" else "crash")
            await asyncio.sleep(self.scenario.notice_ms / 1000.0)
            await self._list(index, "gone", address=old)
            if kind != "move":
                await asyncio.sleep(max(0.0, for_ms - self.scenario.notice_ms) / 1000.0)
                await control.say("start")
            await asyncio.sleep(0.05)
            self.addresses[index], start = (await control.say("address")).split()
            self.starts[index] = int(start)
            if self.far_port and kind == "move":
                await self._place_node(index)
            await self._list(index, "live", age_ms=50.0)
            return
        command = {"slow": "speed"}.get(kind, kind)
        value = 1.0 / trouble.size if kind == "slow" else trouble.size
        await control.say(command, value=value, for_ms=for_ms)

    async def _dispatcher_trouble(self, trouble: Trouble, number: int) -> None:
        child = self.dispatchers[number]
        if trouble.kind == "stop":
            self.note.note("stopped", number)
            child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(trouble.for_ms / 1000.0)
            child.send_signal(signal.SIGCONT)
            self.note.note("continued", number)
            return
        if trouble.kind in ("kill", "end"):
            self.note.note("killed", number, self.lives[number])
            code = await child.end(signal.SIGKILL)
            self.note.note("gone", number, self.lives[number])
        else:
            self.note.note("told to leave", number, self.lives[number])
            code = await child.end(signal.SIGTERM)
        if trouble.kind == "end":  # it stays dead
            return
        self.codes.append([child.name, self.lives[number], trouble.kind, code])
        await asyncio.sleep(trouble.for_ms / 1000.0)
        self.lives[number] += 1
        await self._launch(number)

    async def _end(self, loads: list[Child]) -> None:
        await asyncio.gather(*(child.end(signal.SIGKILL) for child in loads))
        self.note.note("ended")
        if self.scenario.fleet:
            await self.ways.end(signal.SIGTERM, 30.0)
        codes = await asyncio.gather(*(child.end() for child in self.dispatchers))
        for number, code in enumerate(codes):
            if code == -signal.SIGKILL:
                continue  # ended for good by the day
            self.codes.append([f"dispatcher-{number}", self.lives[number], "end", code])
        others = [self.register, self.receiver]
        await asyncio.gather(*(child.end() for child in [*(child for child, _ in self.nodes), *others]))
        self.note.note("codes", self.codes)
        self.note.flush()


def empty(folder: Path) -> None:
    """Make it, and take out what a day before left there."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        if old.is_file():
            old.unlink()
        elif old.name.startswith("council-"):
            shutil.rmtree(old)


def play(
    file: Path,
    folder: Path,
    given: str = "",
    program: Sequence[str] = ("cherrygrade", "serve"),
    told: Callable[[str, float], None] = lambda what, part: None,
) -> Scenario:
    """Play the day into `folder`. RecordError: a wrong scenario; RuntimeError: it broke off."""
    scenario = read_scenario(file, given)
    empty(folder)
    asyncio.run(Day(scenario, file, given, folder, program, told).play())
    return scenario

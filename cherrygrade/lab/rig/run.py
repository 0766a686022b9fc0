"""Runs a scenario with real processes on loopback: registry, nodes, dispatchers and load.

The faults of the scenario are injected while the load runs. Only processes that the laboratory started itself
are signalled.
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
from cherrygrade.standin.record import Record
from cherrygrade.standin.ways import (
    BOUND,
    CLIENT,
    CLIENTS,
    FLEET,
    NODE,
    NODES,
    REGISTER,
    THE_REGISTER,
    TOLD,
    far_number,
    host,
)

# Kinds of faults by what they hit. Other kinds change the load and are applied by load processes.
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
"""Command for the network between dispatchers, by the kind of fault."""
USAGE_SAMPLES_MS = (6000.0, 1000.0)  # before the end of the run, when dispatchers' resource usage is sampled
MAX_CONCURRENT_STARTS = 16  # dispatchers started at once
DRAIN_MS = 800.0  # from a node's listing as draining to its end


class Child:
    """One process of a scenario run; its standard error goes to a log file in the run's folder.

    Attributes:
        name: Name of the process and of its log.
        folder: Folder of the run.
        ports: Ports that the process printed at its start.
        process: The process, once started.
    """

    def __init__(self, name: str, folder: Path) -> None:
        """Describes a process that `start` will start."""
        self.name, self.folder = name, folder
        self.ports: list[int] = []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *parts: str, wait: str = "listening") -> Child:
        """Starts `python -m PARTS` and waits for the line that begins with `wait`.

        Raises:
            RuntimeError: The process ended before that line.
        """
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
        """Waits for a line of output that begins with `word`, and takes the ports from it.

        Raises:
            RuntimeError: The process ended before that line.
        """
        assert self.process is not None and self.process.stdout is not None
        while True:
            line = (await self.process.stdout.readline()).decode()
            if not line:
                raise RuntimeError(
                    f"{self.name} ended during its start; see {self.folder / (self.name + '.log')}"
                )
            if line.startswith(word):
                self.ports = [int(part) for part in line.split()[1:] if part.isdigit()]
                return

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int = signal.SIGTERM, patience_s: float = 15.0) -> int:
        """Signals the process and waits for its end; after `patience_s` seconds it is killed.

        Returns:
            The exit code; 0 if the process was never started.
        """
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
    """Returns `count` addresses 127.0.0.1:PORT with different ports that are free on the address `on`."""
    sockets = [socket.create_server((on, 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Day:
    """One run of a scenario.

    Attributes:
        scenario: Scenario that is run.
        file: Scenario file, which load processes read again.
        given: Text of a record with further values of the scenario.
        folder: Folder for records, settings files and logs.
        program: Module and arguments that start a dispatcher; the settings file is appended.
        told: Called with the phase of the run and the completed part of it, 0 to 1.
        note: Record of the run's events.
        nodes: Process and control connection of each node.
        dispatchers: Process of each dispatcher.
        lives: Number of the current process of each dispatcher, from 1.
        addresses: Current address of each node.
        starts: Number of starts of each node.
        codes: Name, process number, cause and exit code of each dispatcher process that ended.
        register: Process of the registry stand-in.
        listed: Control connection of the registry stand-in.
        places: Addresses at which dispatchers receive load reports; none if they do not exchange any.
        ways: Process of the network between dispatchers.
        network_control: Control connection of that network.
        fleet_ports: Port at which dispatchers are announced, and port to which they are bound.
        forwarding_port: Port at which the network forwards connections to others than dispatchers; empty if
            it forwards none.
        listed_addresses: Address of each node as listed, where the network stands before it.
        moves: Number of address changes of each node, by index.
        receiver: Process that receives the orders of lease holders.
    """

    def __init__(
        self,
        scenario: Scenario,
        file: Path,
        given: str,
        folder: Path,
        program: Sequence[str],
        told: Callable[[str, float], None],
    ) -> None:
        """Prepares the run; `play` starts it."""
        self.scenario, self.file, self.given, self.folder = scenario, file, given, folder
        self.program, self.told = [*program], told
        self.note = Record(folder / "day.jsonl")
        self.nodes: list[tuple[Child, Controller]] = []
        self.dispatchers: list[Child] = []
        self.lives: list[int] = [1] * scenario.dispatchers
        self.addresses: list[str] = []
        self.starts: list[int] = []
        self.codes: list[list[object]] = []
        self.register = Child("register", folder)
        self.listed = Controller("")
        self.places = free_places(scenario.dispatchers) if scenario.words else []
        self.ways = Child("ways", folder)
        self.network_control = Controller("")
        self.fleet_ports = (0, 0)
        self.forwarding_port = ""
        self.listed_addresses: list[str] = []
        self.moves: dict[int, int] = {}
        self.receiver = Child("receiver", folder)

    def now(self) -> float:
        """Returns the event loop's time, ms."""
        return asyncio.get_running_loop().time() * 1000.0

    async def play(self) -> None:
        """Starts all processes, runs the scenario and ends all processes.

        Raises:
            RuntimeError: A process ended during its start, or a load process failed.
        """
        loads: list[Child] = []
        try:
            await self._start()
            for index in range(self.scenario.loaders):
                loads.append(Child(f"load-{index}", self.folder))
            addresses = [f"127.0.0.1:{child.ports[0]}" for child in self.dispatchers]
            if self.forwarding_port:
                addresses = [
                    f"{host(CLIENT, number)}:{self.forwarding_port}" for number in range(len(addresses))
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
            usage_samples = asyncio.gather(
                *(
                    self._record_usage(start + self.scenario.length_ms - before_end_ms)
                    for before_end_ms in USAGE_SAMPLES_MS
                )
            )
            load_ends = asyncio.gather(*(child.process.wait() for child in loads if child.process))
            while not load_ends.done():
                await asyncio.wait([load_ends], timeout=0.25)
                self.told("day", min(1.0, (self.now() - start) / self.scenario.length_ms))
            await troubles
            await usage_samples
            if any(load_ends.result()):
                raise RuntimeError(f"a load process failed; see its log in {self.folder}")
        finally:
            await self._end(loads)

    async def _start(self) -> None:
        """Starts all processes but the load, and gives them the state before the run."""
        scenario, folder = self.scenario, self.folder
        self.told("processes", 0.0)
        await self.register.start(
            "cherrygrade", "standin", "register", "--record", str(folder / "register.jsonl")
        )
        self.listed = Controller(f"127.0.0.1:{self.register.ports[1]}")
        await self.listed.connect()

        async def start_node(index: int) -> tuple[Child, Controller]:
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

        self.nodes = [*await asyncio.gather(*(start_node(index) for index in range(len(scenario.nodes))))]
        self.addresses = [f"127.0.0.1:{child.ports[0]}" for child, _ in self.nodes]
        if scenario.fleet:
            await self._start_network()
        await self._list_all()
        if scenario.council is not None:
            await self._start_council()
        self.dispatchers = [Child(f"dispatcher-{number}", folder) for number in range(scenario.dispatchers)]
        for first in range(0, scenario.dispatchers, MAX_CONCURRENT_STARTS):
            batch = range(first, min(scenario.dispatchers, first + MAX_CONCURRENT_STARTS))
            await asyncio.gather(*(self._launch(number) for number in batch))

    async def _start_council(self) -> None:
        """Starts the receiver of orders and creates the stores of the council's founding members."""
        council_settings = self.scenario.council
        assert council_settings is not None
        numbered = "--numbered" if council_settings.numbered else "--no-numbered"
        record = str(self.folder / "receiver.jsonl")
        await self.receiver.start("cherrygrade", "standin", "receiver", record, numbered, wait="receiver")
        voters = [f"d{number}" for number in range(council_settings.voters)]
        for name in voters:
            create_founding_store(self.folder / f"council-{name}", FLEET, name, voters)

    def _council(self, number: int) -> dict[str, object]:
        """Returns the council settings of a dispatcher; empty if the scenario has no council."""
        council_settings = self.scenario.council
        if council_settings is None:
            return {}
        council = {
            "voters": [f"d{voter}" for voter in range(council_settings.voters)],
            "folder": str(self.folder / f"council-d{number}"),
            "lease_ms": council_settings.lease_ms,
            "drills": [f"drill/{task}" for task in range(council_settings.tasks)],
            "receiver": f"127.0.0.1:{self.receiver.ports[0]}",
        }
        return {"council": council}

    async def _start_network(self) -> None:
        """Starts the network between dispatchers, on two ports that are free on all addresses."""
        announced, bound = (int(address.rpartition(":")[2]) for address in free_places(2, "0.0.0.0"))
        self.fleet_ports = (announced, bound)
        await self.ways.start(
            "cherrygrade", "standin", "ways",
            "--count", str(self.scenario.dispatchers), "--port", str(announced), "--bound", str(bound),
            "--fleet", FLEET, "--seed", str(self.scenario.seed), "--record", str(self.folder / "ways.log"),
        )  # fmt: skip
        self.network_control = Controller(f"127.0.0.1:{self.ways.ports[0]}")
        await self.network_control.connect()
        if self.scenario.ways:
            self.forwarding_port = await self.network_control.say("port")
            await self._forward(REGISTER, THE_REGISTER, f"127.0.0.1:{self.register.ports[0]}")
            self.listed_addresses = ["" for _ in self.nodes]
            for index in range(len(self.nodes)):
                await self._forward_to_node(index)

    async def _forward(self, at: str, number: int, to: str) -> None:
        """Has the network forward connections from the address `at` to `to`.

        Args:
            at: Address that the other processes connect to.
            number: Number of the target in the network, `NODES + index`, `THE_REGISTER` or a dispatcher's.
            to: host:port at which the target listens.
        """
        await self.network_control.say("place", host=at, number=float(number), to=to)

    async def _forward_to_node(self, index: int) -> None:
        """Gives the node, after each change of its address, a new address from which the network forwards."""
        self.moves[index] = self.moves.get(index, -1) + 1
        at = f"{NODE}.{self.moves[index]}.{index + 1}"
        await self._forward(at, NODES + index, self.addresses[index])
        self.listed_addresses[index] = f"{at}:{self.forwarding_port}"
        self.note.note("placed", index, self.addresses[index], self.listed_addresses[index])

    def _listed_address(self, index: int) -> str:
        """Returns the address under which the registry lists the node."""
        return self.listed_addresses[index] if self.forwarding_port else self.addresses[index]

    def _fleet(self, number: int) -> dict[str, object] | None:
        """Returns the fleet settings of a dispatcher: contacts, and the announced and the bound address."""
        if not self.scenario.fleet:
            return None
        announced, bound = self.fleet_ports
        contacts = [f"{host(TOLD, at)}:{announced}" for at in range(min(3, self.scenario.dispatchers))]
        return {
            "name": FLEET,
            "place": f"{host(TOLD, number)}:{announced}",
            "bind": f"{host(BOUND, number)}:{bound}",
            "contacts": contacts,
            "zone": f"z{number % 3}",
            **self._council(number),
        }

    async def _list_all(self) -> None:
        """Gives the registry and the nodes their state before the run."""
        scenario = self.scenario
        self.starts = [1] * len(self.nodes)
        for index in range(len(self.nodes)):
            await self._set_node_state(index, "live", age_ms=1e7)
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
        """Starts the next process of a dispatcher, at its former port if it had one."""
        child = self.dispatchers[number]
        listen = f"127.0.0.1:{child.ports[0] if child.ports else 0}"
        file = write_site(
            self.scenario,
            self.folder,
            number,
            self.lives[number],
            listen,
            f"{REGISTER}:{self.forwarding_port}"
            if self.forwarding_port
            else f"127.0.0.1:{self.register.ports[0]}",
            self.places,
            self._fleet(number),
            host(BOUND, number) if self.forwarding_port else "",
        )
        await child.start(*self.program, str(file))
        if self.forwarding_port:
            await self._forward(host(CLIENT, number), number, f"127.0.0.1:{child.ports[0]}")
        self.note.note("life", number, self.lives[number])

    async def _set_node_state(self, index: int, state: str, age_ms: float = 0.0, address: str = "") -> None:
        """Has the registry list a node with this state, and as started `age_ms` ago."""
        await self.listed.say(
            "set",
            address=address or self._listed_address(index),
            zone=self.scenario.nodes[index].zone,
            shard=float(index),
            standing=state,
            start=float(self.starts[index]),
            age_ms=age_ms,
        )

    async def _record_usage(self, at: float) -> None:
        """Records processor time (s) and memory (KiB) of the dispatchers at `at` (ms), as psutil has them."""
        await asyncio.sleep(max(0.0, (at - self.now()) / 1000.0))
        for number, child in enumerate(self.dispatchers):
            if child.process is not None and child.process.returncode is None:
                try:
                    process = psutil.Process(child.process.pid)
                    times, memory = process.cpu_times(), process.memory_info()
                except psutil.Error:
                    continue
                seconds = times.user + times.system
                self.note.note("use", number, self.lives[number], seconds, memory.rss // 1024)

    async def _trouble(self, trouble: Trouble, start: float) -> None:
        """Injects a fault when it is scheduled; the run starts at `start` (ms)."""
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
            await self._network_trouble(trouble)
        elif trouble.kind in ON_DISPATCHERS:
            await asyncio.gather(
                *(
                    self._dispatcher_trouble(trouble, number)
                    for number in trouble.on
                    if number < self.scenario.dispatchers
                )
            )

    async def _network_trouble(self, trouble: Trouble) -> None:
        """Injects a network fault between the dispatchers `on` and the others or `far`.

        An empty `on` means all network paths.
        """
        on, command = " ".join(str(number) for number in trouble.on), ON_WAYS[trouble.kind]
        numbers = [number for name in trouble.far for number in far_number(name, len(self.nodes))]
        if trouble.far and not self.forwarding_port:
            return
        far, is_cut, among_dispatchers = (
            " ".join(map(str, numbers)),
            command in ("cut", "deafen"),
            not trouble.far,
        )
        # A reset breaks connections of clients, too, and what is in flight on them is lost.
        if command == "reset" and self.forwarding_port:
            self.note.note("shut", trouble.on or [*range(self.scenario.dispatchers)], 0.0)
        if is_cut and among_dispatchers:
            self.note.note("cut", trouble.on)
        elif is_cut and CLIENTS in numbers:
            self.note.note("shut", trouble.on, trouble.for_ms)
        elif trouble.for_ms and among_dispatchers:
            self.note.note("rough", trouble.for_ms, trouble.kind, trouble.size)
        reply = await self.network_control.say(command, on=on, far=far, size=trouble.size)
        if command == "lies":
            self.note.note("lied", [int(part) for part in reply.split()])
        if trouble.for_ms:
            await asyncio.sleep(trouble.for_ms / 1000.0)
            await self.network_control.say("heal" if is_cut else command, on=on, far=far, size=0.0)
            if is_cut and among_dispatchers:
                self.note.note("healed", trouble.on)

    async def _node_trouble(self, trouble: Trouble, index: int) -> None:
        """Injects a fault of a node; a node that ends is listed as gone, started again and listed as live."""
        _, control = self.nodes[index]
        kind, for_ms = trouble.kind, trouble.for_ms
        if kind in ("crash", "drain", "move"):
            if kind != "crash":
                await self._set_node_state(index, "draining")
                await asyncio.sleep(DRAIN_MS / 1000.0)
            old = self._listed_address(index)
            await control.say("move" if kind == "move" else "crash")
            await asyncio.sleep(self.scenario.notice_ms / 1000.0)
            await self._set_node_state(index, "gone", address=old)
            if kind != "move":
                await asyncio.sleep(max(0.0, for_ms - self.scenario.notice_ms) / 1000.0)
                await control.say("start")
            await asyncio.sleep(0.05)
            self.addresses[index], start = (await control.say("address")).split()
            self.starts[index] = int(start)
            if self.forwarding_port and kind == "move":
                await self._forward_to_node(index)
            await self._set_node_state(index, "live", age_ms=50.0)
            return
        command = {"slow": "speed"}.get(kind, kind)
        value = 1.0 / trouble.size if kind == "slow" else trouble.size
        await control.say(command, value=value, for_ms=for_ms)

    async def _dispatcher_trouble(self, trouble: Trouble, number: int) -> None:
        """Stops a dispatcher for a time by a signal, or ends it and (but for kind "end") starts it again."""
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
        if trouble.kind == "end":  # the process is not started again
            return
        self.codes.append([child.name, self.lives[number], trouble.kind, code])
        await asyncio.sleep(trouble.for_ms / 1000.0)
        self.lives[number] += 1
        await self._launch(number)

    async def _end(self, loads: list[Child]) -> None:
        """Ends all processes and records the exit codes of the dispatchers."""
        await asyncio.gather(*(child.end(signal.SIGKILL) for child in loads))
        self.note.note("ended")
        if self.scenario.fleet:
            await self.ways.end(signal.SIGTERM, 30.0)
        codes = await asyncio.gather(*(child.end() for child in self.dispatchers))
        for number, code in enumerate(codes):
            if code == -signal.SIGKILL:
                continue  # killed by the scenario and not started again
            self.codes.append([f"dispatcher-{number}", self.lives[number], "end", code])
        others = [self.register, self.receiver]
        await asyncio.gather(*(child.end() for child in [*(child for child, _ in self.nodes), *others]))
        self.note.note("codes", self.codes)
        self.note.flush()


def empty(folder: Path) -> None:
    """Creates the folder if needed, and deletes the files of an earlier run from it."""
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
    """Runs a scenario and leaves its records in `folder`.

    Args:
        file: Scenario file.
        folder: Folder for records, settings files and logs; emptied first.
        given: Text of a record with further values of the scenario.
        program: Module and arguments that start a dispatcher.
        told: Called with the phase of the run and the completed part of it, 0 to 1.

    Returns:
        The scenario as read.

    Raises:
        RecordError: The scenario is invalid.
        RuntimeError: A process ended during its start, or a load process failed.
    """
    scenario = read_scenario(file, given)
    empty(folder)
    asyncio.run(Day(scenario, file, given, folder, program, told).play())
    return scenario

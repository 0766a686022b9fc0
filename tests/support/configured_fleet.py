"""A fleet of dispatchers as processes that take one configuration, all ways between them through the test's
own, which lose, cut and rewrite as a story says."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
from fleet.runtime.test_fleet_processes import ROOT
from support.gateway_site import GatewaySite, run

from cherrygrade.fleet.errors import ConfigUnreachableError
from cherrygrade.fleet.membership.messages import ConfigAdvert
from cherrygrade.fleet.runtime.admin_client import send_admin_request
from cherrygrade.fleet.runtime.admin_messages import MissingRequest, PutRequest, ShowRequest
from cherrygrade.fleet.runtime.operator_commands import new_request_id
from cherrygrade.fleet.runtime.status_query import query_status
from cherrygrade.fleet.runtime.voter_store import create_founding_store
from cherrygrade.standin.ways import BOUND, TOLD, Ways, host, number_of

VOTERS = ["d0", "d1", "d2"]
FLEET = "configured"
MAX_SPREAD_S = 6.0  # the goal, and what stories hold it to
SITE = """
place: {{name: "d{n}", listen: "127.0.0.1:0", register: "{register}", number: {n}, dispatchers: {count}}}
workloads: {{
	read: {{soft_ms: 900, deadline_ms: 1500}}
	write: {{soft_ms: 900, deadline_ms: 1500, writes: true}}
}}
plans: plan: {{usual_rate: 1000, limit_rate: 1000, limit_depth: 100}}
volumes: v: {{plan: plans.plan, hosts: {count}}}
permits: peers: true
earnings: tells_elsewhere: false
fleet: {{
	name: "{fleet}", place: "{place}", bind: "{bind}", contacts: {contacts}, zone: "z{zone}"
	config_file: "{folder}/kept"
	council: {{voters: {voters}, folder: "{folder}"}}
}}
"""


def limit_text(rate: int) -> str:
    """A version's text."""
    return f"plans: plan: {{usual_rate: 1000, limit_rate: {rate}, limit_depth: 100}}\n"


def free_ports(count: int) -> list[int]:
    """That nobody has on any address of loopback, for streams and datagrams alike, bound together so that
    they differ."""
    holds, found = list[socket.socket](), list[int]()
    while len(found) < count:
        stream = socket.create_server(("0.0.0.0", 0))
        word = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        holds += [stream, word]
        port = int(stream.getsockname()[1])
        try:
            word.bind(("0.0.0.0", port))
        except OSError:
            continue
        found.append(port)
    for hold in holds:
        hold.close()
    return found


class FaultyNetwork(Ways):
    """What passes between the dispatchers, by number. `datagrams_lost_from`: whose datagrams all are lost;
    `streams_refused_from`: whose streams are broken off at once; `advert_rewriters`: what they say of their
    configuration is replaced."""

    def __init__(self, count: int, port: int, bound: int) -> None:
        super().__init__(count, port, bound, FLEET, 1, None)
        self.datagrams_lost_from: set[int] = set()
        self.streams_refused_from: set[int] = set()
        self.advert_rewriters: dict[int, Callable[[ConfigAdvert], ConfigAdvert]] = {}
        self.bytes_of: dict[int, int] = {}

    def _came(self, data: bytes, source: int, to: int) -> None:
        self.bytes_of[source] = self.bytes_of.get(source, 0) + len(data)
        if source in self.datagrams_lost_from:
            return
        lies = self.advert_rewriters.get(source)
        if lies is not None:
            page = self.book.read(data)
            config = getattr(page, "config", None)
            if page is not None and config is not None:
                data = self.book.write(msgspec.structs.replace(page, config=lies(config)))
        super()._came(data, source, to)

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if number_of(writer.get_extra_info("peername")[0]) in self.streams_refused_from:
            writer.transport.abort()
            return
        await super()._stream(reader, writer)


class Fleet:
    """`running` by number; ended by id."""

    def __init__(self, folder: Path, register: str, count: int) -> None:
        self.folder, self.register, self.count = folder, register, count
        ports = free_ports(2)
        self.port, self.bound = ports
        self.ways = FaultyNetwork(count, *ports)
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.code_before_start: dict[
            int, str
        ] = {}  # of those that run another one: Python text before the command

    async def open(self) -> None:
        await self.ways.start("127.0.0.1:0")
        for name in VOTERS:
            create_founding_store(self.folder / name, FLEET, name, VOTERS)
        await asyncio.gather(*(self.start(number) for number in range(self.count)))
        await self.wait_for_leader()

    async def start(self, number: int) -> None:
        contacts = [f"{host(TOLD, at)}:{self.port}" for at in (0, 1)]
        text = SITE.format(
            n=number,
            count=self.count,
            fleet=FLEET,
            register=self.register,
            place=f"{host(TOLD, number)}:{self.port}",
            bind=f"{host(BOUND, number)}:{self.bound}",
            contacts=json.dumps(contacts),
            voters=json.dumps(VOTERS),
            folder=self.folder / f"d{number}",
            zone=number % 3,
        )
        file = self.folder / f"d{number}.rec"
        file.write_text(text)
        program = ("-m", "cherrygrade")
        if number in self.code_before_start:
            program = ("-c", self.code_before_start[number] + "\nfrom cherrygrade.cli import main\nmain()\n")
        with (self.folder / f"d{number}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *program, "serve", str(file),
                cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=log,
            )  # fmt: skip
        assert process.stdout is not None
        self.running[number] = process
        assert b"listening" in await process.stdout.readline(), (self.folder / f"d{number}.log").read_text()

    async def kill(self, number: int) -> None:
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    def signal(self, number: int, what: signal.Signals) -> None:
        self.running[number].send_signal(what)

    async def close(self) -> None:
        for process in self.running.values():
            process.kill()
            await process.wait()
        self.ways.close()

    # What an operator does.

    def admin_address(self, number: int) -> str:
        """Where people reach it: past the ways."""
        return f"{host(BOUND, number)}:{self.bound}"

    async def put(self, text: str, via: int = 0, based_on: int = -1, within_s: float = 10.0) -> int:
        """Asked again under its id while the council elects somebody: a machine that is busy costs elections.
        ConfigUnreached where nobody leads for all that time."""
        loop, request = asyncio.get_running_loop(), PutRequest(new_request_id(), text, "a story", based_on)
        ends = loop.time() + within_s
        while True:
            try:
                number: int = (await send_admin_request(self.admin_address(via), request, 5.0))["number"]
                return number
            except ConfigUnreachableError:
                if loop.time() > ends:
                    raise
                await asyncio.sleep(0.1)

    async def show(self, number: int = 0, via: int = 0) -> dict[str, Any]:
        return await send_admin_request(self.admin_address(via), ShowRequest(number), 5.0)

    async def missing(self, number: int, via: int = 0) -> dict[str, str]:
        told = await send_admin_request(self.admin_address(via), MissingRequest(number), 5.0)
        return {one["name"] or f"seat {one['seat']}": one["why"] for one in told["missing"]}

    # What is seen of it.

    async def status(self, number: int) -> dict[str, Any]:
        found: dict[str, Any] = (await query_status(self.admin_address(number)))["config"]
        return found

    async def version_numbers(self, *excluding: int) -> dict[int, int]:
        """Which version is in force at each that runs."""
        on = [number for number in self.running if number not in excluding]
        told = await asyncio.gather(*(self.status(number) for number in on))
        return {number: one["number"] for number, one in zip(on, told, strict=True)}

    async def wait_for_version(
        self, number: int, within_s: float = MAX_SPREAD_S, excluding: tuple[int, ...] = ()
    ) -> float:
        """Seconds until it is in force at all others that run, with one digest."""
        loop = asyncio.get_running_loop()
        begun = loop.time()

        async def holds() -> bool:
            on = [one for one in self.running if one not in excluding]
            told = await asyncio.gather(*(self.status(one) for one in on))
            digests = {one["digest"] for one in told}
            return {one["number"] for one in told} == {number} and len(digests) == 1

        await self.wait_until(holds, within_s)
        return loop.time() - begun

    async def has_leader(self) -> bool:
        return await self._leader() >= 0

    async def wait_for_leader(self) -> int:
        """By what the voters say; waits for an election's end."""
        await self.wait_until(self.has_leader, 10.0)
        return await self._leader()

    async def _leader(self) -> int:
        told = [
            (await query_status(self.admin_address(number)))["council"]
            for number in self.running
            if number < len(VOTERS)
        ]
        named = {one["leader"] for one in told}
        return int(named.pop()[1:]) if len(named) == 1 and named != {""} else -1

    async def wait_until(self, holds: Callable[[], Coroutine[Any, Any, bool]], within_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + within_s
        while not await holds():
            assert loop.time() < ends, f"not within {within_s} s\n{await self._told()}"
            await asyncio.sleep(0.05)

    async def _told(self) -> str:
        lines = []
        for number in self.running:
            try:
                lines.append(f"d{number}: {await asyncio.wait_for(self.status(number), 1.0)}")
            except (OSError, TimeoutError) as wrong:
                lines.append(f"d{number}: {wrong!r}")
        return "\n".join(lines)

    def log_lines(self, number: int, event: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"d{number}.log").read_text().splitlines()
        read = [json.loads(line) for line in lines if line.startswith("{")]
        return [one for one in read if one["event"] == event]

    def stages_in_force(self, number: int) -> list[int]:
        """Stages that came into force there, over all its lives; a start puts the kept one in force again."""
        return [one["stage"] for one in self.log_lines(number, "configuration in force")]

    def assert_stages_never_decrease(self) -> None:
        for number in range(self.count):
            stages = self.stages_in_force(number)
            assert stages == sorted(stages), (number, stages)


def run_scenario(
    story: Callable[[Fleet], Coroutine[Any, Any, None]],
    folder: Path,
    count: int = 5,
    code_before_start: dict[int, str] | None = None,
) -> None:
    async def whole(house: GatewaySite) -> None:
        await house.node(0)
        await house.register.start()
        fleet = Fleet(folder, house.register.address, count)
        fleet.code_before_start |= code_before_start or {}
        try:
            await fleet.open()
            await story(fleet)
            fleet.assert_stages_never_decrease()
        finally:
            await fleet.close()

    run(whole, 90.0)

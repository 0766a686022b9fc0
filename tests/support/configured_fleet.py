"""A fleet of dispatcher processes with a shared configuration.

All traffic between them passes through a network of the test, which drops, cuts or rewrites it as
a scenario asks.
"""

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
from cherrygrade.standin.emulated_network import ANNOUNCED_NET, BOUND_NET, EmulatedNetwork, host, number_of

VOTERS = ["d0", "d1", "d2"]
FLEET = "configured"
MAX_SPREAD_S = 6.0  # the objective for a version to be in force at all members, and the scenarios' bound
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
    """Return the text of a version that sets a volume's limit."""
    return f"plans: plan: {{usual_rate: 1000, limit_rate: {rate}, limit_depth: 100}}\n"


def free_ports(count: int) -> list[int]:
    """Return ports that are free on all loopback addresses, for TCP and UDP alike.

    All sockets are bound at the same time, so that the ports differ.
    """
    sockets, found = list[socket.socket](), list[int]()
    while len(found) < count:
        stream = socket.create_server(("0.0.0.0", 0))
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [stream, datagrams]
        port = int(stream.getsockname()[1])
        try:
            datagrams.bind(("0.0.0.0", port))
        except OSError:
            continue
        found.append(port)
    for bound in sockets:
        bound.close()
    return found


class FaultyNetwork(EmulatedNetwork):
    """The network between the dispatchers, which are named by their numbers.

    Attributes:
        datagrams_lost_from: The dispatchers whose datagrams are all lost.
        streams_refused_from: The dispatchers whose streams are reset at once.
        advert_rewriters: By dispatcher, the function that replaces the configuration adverts
            in its datagrams.
        bytes_of: By dispatcher, the bytes of the datagrams that it has sent.
    """

    def __init__(self, count: int, port: int, bound: int) -> None:
        super().__init__(count, port, bound, FLEET, 1, None)
        self.datagrams_lost_from: set[int] = set()
        self.streams_refused_from: set[int] = set()
        self.advert_rewriters: dict[int, Callable[[ConfigAdvert], ConfigAdvert]] = {}
        self.bytes_of: dict[int, int] = {}

    def _datagram_received(self, data: bytes, source: int, to: int) -> None:
        self.bytes_of[source] = self.bytes_of.get(source, 0) + len(data)
        if source in self.datagrams_lost_from:
            return
        rewrite = self.advert_rewriters.get(source)
        if rewrite is not None:
            message = self.codec.read(data)
            config = getattr(message, "config", None)
            if message is not None and config is not None:
                data = self.codec.write(msgspec.structs.replace(message, config=rewrite(config)))
        super()._datagram_received(data, source, to)

    async def _dispatcher_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if number_of(writer.get_extra_info("peername")[0]) in self.streams_refused_from:
            writer.transport.abort()
            return
        await super()._dispatcher_stream(reader, writer)


class Fleet:
    """A fleet of dispatcher processes, which are named by their numbers.

    Attributes:
        folder: Where each dispatcher's files and log are.
        register: The address of the discovery service.
        count: The number of dispatchers.
        port: The port of the addresses that dispatchers announce to each other; they lead to `ways`.
        bound: The port that dispatchers listen on.
        ways: The network between the dispatchers.
        running: The running processes by number.
        code_before_start: By number, Python code that a dispatcher runs before the program starts; it stands
            for another version of the program.
    """

    def __init__(self, folder: Path, register: str, count: int) -> None:
        self.folder, self.register, self.count = folder, register, count
        ports = free_ports(2)
        self.port, self.bound = ports
        self.ways = FaultyNetwork(count, *ports)
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.code_before_start: dict[int, str] = {}

    async def open(self) -> None:
        """Start all dispatchers, and wait until the council has a leader."""
        await self.ways.start("127.0.0.1:0")
        for name in VOTERS:
            create_founding_store(self.folder / name, FLEET, name, VOTERS)
        await asyncio.gather(*(self.start(number) for number in range(self.count)))
        await self.wait_for_leader()

    async def start(self, number: int) -> None:
        """Start a dispatcher, and wait until it listens."""
        contacts = [f"{host(ANNOUNCED_NET, at)}:{self.port}" for at in (0, 1)]
        text = SITE.format(
            n=number,
            count=self.count,
            fleet=FLEET,
            register=self.register,
            place=f"{host(ANNOUNCED_NET, number)}:{self.port}",
            bind=f"{host(BOUND_NET, number)}:{self.bound}",
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
        """Kill a dispatcher with SIGKILL."""
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    def signal(self, number: int, sent: signal.Signals) -> None:
        """Send a signal to a dispatcher."""
        self.running[number].send_signal(sent)

    async def close(self) -> None:
        """Kill all dispatchers that run, and close the network."""
        for process in self.running.values():
            process.kill()
            await process.wait()
        self.ways.close()

    # Requests of an operator.

    def admin_address(self, number: int) -> str:
        """Return the address at which operators reach a dispatcher; it bypasses the test's network."""
        return f"{host(BOUND_NET, number)}:{self.bound}"

    async def put(self, text: str, via: int = 0, based_on: int = -1, within_s: float = 10.0) -> int:
        """Put a version, and return its number.

        The request is repeated with the same id while the council has no leader: on a busy machine, elections
        occur during the test.

        Args:
            text: The text of the version.
            via: The dispatcher that the request is sent to.
            based_on: The number of the version that the text is a change of; -1 for the newest.
            within_s: How long the request is repeated.

        Raises:
            ConfigUnreachableError: No dispatcher led the council for `within_s`.
        """
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
        """Return what `fleet config show` shows: the versions, and the text of one of them."""
        return await send_admin_request(self.admin_address(via), ShowRequest(number), 5.0)

    async def missing(self, number: int, via: int = 0) -> dict[str, str]:
        """Return the members (or seats) that do not have a version in force, each with the reason."""
        answer = await send_admin_request(self.admin_address(via), MissingRequest(number), 5.0)
        return {one["name"] or f"seat {one['seat']}": one["why"] for one in answer["missing"]}

    # Observations.

    async def status(self, number: int) -> dict[str, Any]:
        """Return the configuration's part of a dispatcher's status."""
        found: dict[str, Any] = (await query_status(self.admin_address(number)))["config"]
        return found

    async def version_numbers(self, *excluding: int) -> dict[int, int]:
        """Return, by dispatcher that runs, the number of the version in force there."""
        numbers = [number for number in self.running if number not in excluding]
        statuses = await asyncio.gather(*(self.status(number) for number in numbers))
        return {number: one["number"] for number, one in zip(numbers, statuses, strict=True)}

    async def wait_for_version(
        self, number: int, within_s: float = MAX_SPREAD_S, excluding: tuple[int, ...] = ()
    ) -> float:
        """Wait until a version is in force, with the same digest, at all dispatchers that run.

        Args:
            number: The number of the version.
            within_s: The longest wait before the assertion fails.
            excluding: The dispatchers that are left out.

        Returns:
            The seconds that it took.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()

        async def in_force() -> bool:
            dispatchers = [one for one in self.running if one not in excluding]
            statuses = await asyncio.gather(*(self.status(one) for one in dispatchers))
            digests = {one["digest"] for one in statuses}
            return {one["number"] for one in statuses} == {number} and len(digests) == 1

        await self.wait_until(in_force, within_s)
        return loop.time() - started

    async def has_leader(self) -> bool:
        """Return whether all running voters name the same leader."""
        return await self._leader() >= 0

    async def wait_for_leader(self) -> int:
        """Wait until all running voters name the same leader, and return its number."""
        await self.wait_until(self.has_leader, 10.0)
        return await self._leader()

    async def _leader(self) -> int:
        """Return the number of the leader; -1 if the running voters do not agree on one."""
        councils = [
            (await query_status(self.admin_address(number)))["council"]
            for number in self.running
            if number < len(VOTERS)
        ]
        leaders = {one["leader"] for one in councils}
        return int(leaders.pop()[1:]) if len(leaders) == 1 and leaders != {""} else -1

    async def wait_until(self, condition: Callable[[], Coroutine[Any, Any, bool]], within_s: float) -> None:
        """Wait until a condition holds; the assertion fails if it does not within `within_s`."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + within_s
        while not await condition():
            assert loop.time() < ends, f"not within {within_s} s\n{await self._statuses()}"
            await asyncio.sleep(0.05)

    async def _statuses(self) -> str:
        lines = []
        for number in self.running:
            try:
                lines.append(f"d{number}: {await asyncio.wait_for(self.status(number), 1.0)}")
            except (OSError, TimeoutError) as error:
                lines.append(f"d{number}: {error!r}")
        return "\n".join(lines)

    def log_lines(self, number: int, event: str) -> list[dict[str, Any]]:
        """Return a dispatcher's log lines of one event."""
        lines = (self.folder / f"d{number}.log").read_text().splitlines()
        parsed = [json.loads(line) for line in lines if line.startswith("{")]
        return [one for one in parsed if one["event"] == event]

    def stages_in_force(self, number: int) -> list[int]:
        """Return the stages that came into force at a dispatcher, over all its incarnations.

        A start puts the stored stage in force again.
        """
        return [one["stage"] for one in self.log_lines(number, "configuration in force")]

    def assert_stages_never_decrease(self) -> None:
        """Assert that at no dispatcher a stage came into force after a higher one."""
        for number in range(self.count):
            stages = self.stages_in_force(number)
            assert stages == sorted(stages), (number, stages)


def run_scenario(
    scenario: Callable[[Fleet], Coroutine[Any, Any, None]],
    folder: Path,
    count: int = 5,
    code_before_start: dict[int, str] | None = None,
) -> None:
    """Run a scenario with a fleet, and check that no stage decreased.

    Args:
        scenario: The test, which gets the fleet once its council has a leader.
        folder: Where the dispatchers' files are.
        count: The number of dispatchers.
        code_before_start: By number, Python code that a dispatcher runs before the program starts.
    """

    async def with_site(site: GatewaySite) -> None:
        await site.node(0)
        await site.register.start()
        fleet = Fleet(folder, site.register.address, count)
        fleet.code_before_start |= code_before_start or {}
        try:
            await fleet.open()
            await scenario(fleet)
            fleet.assert_stages_never_decrease()
        finally:
            await fleet.close()

    run(with_site, 90.0)

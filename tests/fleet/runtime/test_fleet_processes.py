"""A fleet of dispatcher processes that are killed, paused, restarted or alone.

Members must declare a killed process failed and must not declare a shortly paused one failed, and requests of
clients must never wait for the fleet.
"""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from support.gateway_site import GatewaySite, run
from support.port_reservation import release, reserve

from cherrygrade.client import Client, Ok
from cherrygrade.fleet.runtime.status_query import query_status

pytestmark = pytest.mark.alone

ROOT = Path(__file__).parents[3]
DISPATCHER_COUNT = 5
SITE = """
place: {{name: "{name}", listen: "{listen}", register: "{register}", number: {seat}, dispatchers: {count}}}
workloads: {{
	read: {{soft_ms: 900, deadline_ms: 1500}}
	write: {{soft_ms: 900, deadline_ms: 1500, writes: true}}
}}
plans: plan: usual_rate: 1000
volumes: v: plan: plans.plan
permits: peers: true
earnings: tells_elsewhere: false
"""
FLEET = """
fleet: {{name: "processes", place: "{place}", contacts: {contacts}, zone: "z{seat}"}}
"""


class FleetProcesses:
    """Dispatcher processes, by seat; `close` kills those that still run."""

    def __init__(
        self, folder: Path, register: str, count: int = DISPATCHER_COUNT, fleet: bool = True
    ) -> None:
        self.folder, self.register, self.count, self.fleet = folder, register, count, fleet
        self.client_addresses, self.fleet_addresses = reserve(count), reserve(count)
        self.running: dict[int, asyncio.subprocess.Process] = {}

    async def start(self, number: int, *flags: str) -> None:
        fields = {"name": f"d{number}", "listen": self.client_addresses[number], "seat": number}
        text = SITE.format(**fields, register=self.register, count=self.count)
        if self.fleet:
            contacts = json.dumps(self.fleet_addresses[:2])
            text += FLEET.format(place=self.fleet_addresses[number], contacts=contacts, seat=number)
            text += self.extra_settings(number)
        else:
            text = text.replace("peers: true", "peers: false")
        file = self.folder / f"d{number}.rec"
        file.write_text(text)
        with (self.folder / f"d{number}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *flags, "-m", "cherrygrade", "serve", str(file),
                cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=log,
            )  # fmt: skip
        self.running[number] = process  # before it listens: `close` also kills one that fails to start
        assert process.stdout is not None
        assert b"listening" in await process.stdout.readline()

    def extra_settings(self, number: int) -> str:
        """Return record text that is appended to a dispatcher's settings file."""
        return ""

    async def start_all(self) -> None:
        starts = [self.start(number) for number in range(self.count)]
        for error in filter(None, await asyncio.gather(*starts, return_exceptions=True)):
            raise error

    async def kill(self, number: int) -> None:
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    async def statuses(self) -> list[dict[str, Any]]:
        """Return the status answers of all running processes."""
        return [
            *await asyncio.gather(*(query_status(self.fleet_addresses[number]) for number in self.running))
        ]

    async def has_converged(self) -> bool:
        """Return whether all have the same membership table, and as many living members as processes run."""
        statuses = await self.statuses()
        return len({status["digest"] for status in statuses}) == 1 and statuses[0]["living"] == len(
            self.running
        )

    async def states_of(self, name: str) -> set[str]:
        """Return the states that the running processes have the member in."""
        states = set()
        for status in await self.statuses():
            states |= {member["standing"] for member in status["members"] if member["name"] == name}
        return states

    async def wait_until(self, holds: Callable[[], Coroutine[Any, Any, bool]], within_s: float) -> None:
        """Wait until a condition holds; fail after `within_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        while not await holds():
            assert loop.time() < deadline, f"condition does not hold within {within_s} s"
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        release(*self.client_addresses, *self.fleet_addresses)


def run_scenario(
    scenario: Callable[[GatewaySite, FleetProcesses], Coroutine[Any, Any, None]], folder: Path, **options: Any
) -> None:
    """Run a scenario with a storage node, an endpoint list and the processes of a fleet, within 40 s."""

    async def with_processes(gateway_site: GatewaySite) -> None:
        await gateway_site.node(0)
        await gateway_site.register.start()
        processes = FleetProcesses(folder, gateway_site.register.address, **options)
        try:
            await scenario(gateway_site, processes)
        finally:
            await processes.close()

    run(with_processes, 40.0)


def test_killed_process_is_declared_failed_and_alive_after_its_restart(tmp_path):
    async def scenario(gateway_site: GatewaySite, processes: FleetProcesses) -> None:
        await processes.start_all()
        await processes.wait_until(processes.has_converged, 8.0)
        await processes.kill(3)

        async def is_failed() -> bool:
            return await processes.states_of("d3") == {"failed"}

        await processes.wait_until(is_failed, 7.0)
        await processes.start(3)
        await processes.wait_until(processes.has_converged, 4.0)
        # A process that is terminated leaves the fleet, and is not declared failed.
        process = processes.running.pop(2)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert await processes.states_of("d2") == {"left"}

    run_scenario(scenario, tmp_path)


def test_process_paused_for_two_seconds_is_suspected_and_not_declared_failed(tmp_path):
    async def scenario(gateway_site: GatewaySite, processes: FleetProcesses) -> None:
        await processes.start_all()
        await processes.wait_until(processes.has_converged, 8.0)
        process = processes.running[1]
        others = {number: other for number, other in processes.running.items() if number != 1}
        processes.running, states = others, set()
        for _ in range(5):  # the order of probes varies: a pause may end before a probe notices it
            process.send_signal(signal.SIGSTOP)
            for _ in range(20):
                states |= await processes.states_of("d1")
                await asyncio.sleep(0.1)
            process.send_signal(signal.SIGCONT)
            for _ in range(10):
                states |= await processes.states_of("d1")
                await asyncio.sleep(0.1)
            if "suspect" in states:
                break
        processes.running = others | {1: process}  # before an assertion can fail: `close` kills it too
        assert "suspect" in states and "failed" not in states
        await processes.wait_until(processes.has_converged, 4.0)

    run_scenario(scenario, tmp_path)


def test_requests_do_not_wait_for_a_fleet_that_does_not_answer(tmp_path):
    # The only process of the fleet: neither its start nor its answers may wait for the other members.
    async def scenario(gateway_site: GatewaySite, processes: FleetProcesses) -> None:
        await processes.start(2)
        client = Client(processes.client_addresses[2], "c")
        durations_s = []
        for index in range(20):
            started = asyncio.get_running_loop().time()
            answer = await client.write("write", "v", f"k{index}", b"x" * 64, shard=0, deadline_ms=1500)
            assert isinstance(answer, Ok)
            durations_s.append(asyncio.get_running_loop().time() - started)
        client.close()
        assert sorted(durations_s)[10] < 0.2
        assert (await query_status(processes.fleet_addresses[2]))["side"] == "alone"

    run_scenario(scenario, tmp_path)


def test_fleet_modules_are_not_imported_without_a_fleet(tmp_path):
    async def scenario(gateway_site: GatewaySite, processes: FleetProcesses) -> None:
        await processes.start(0, "-X", "importtime")
        log = (tmp_path / "d0.log").read_text()
        assert "cherrygrade.gateway.process" in log and "cherrygrade.fleet" not in log

    run_scenario(scenario, tmp_path, fleet=False)


def test_status_command_shows_the_fleet_and_gives_an_exit_code(tmp_path):
    async def scenario(gateway_site: GatewaySite, processes: FleetProcesses) -> None:
        await processes.start_all()
        await processes.wait_until(processes.has_converged, 8.0)

        def status(*options: str) -> subprocess.CompletedProcess[str]:
            command = [
                sys.executable,
                "-m",
                "cherrygrade",
                "fleet",
                "status",
                processes.fleet_addresses[0],
                *options,
            ]
            return subprocess.run(command, cwd=ROOT, capture_output=True, text=True)

        shown = await asyncio.to_thread(status)
        assert shown.returncode == 0
        assert "among the most, 5 of 5 live" in shown.stdout and "d4" in shown.stdout
        assert json.loads((await asyncio.to_thread(status, "--json")).stdout)["living"] == 5
        await processes.kill(4)
        assert (await asyncio.to_thread(status)).returncode in (0, 1)
        await asyncio.sleep(4.5)
        assert (await asyncio.to_thread(status)).returncode == 1
        await processes.kill(0)
        assert (await asyncio.to_thread(status)).returncode == 3

    run_scenario(scenario, tmp_path)

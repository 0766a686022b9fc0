"""The fleet's promises kept by processes of the program: killed, stopped, restarted, deaf."""

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
COUNT = 5
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


class Company:
    """Processes of the program, by number; ended by id."""

    def __init__(self, folder: Path, register: str, count: int = COUNT, fleet: bool = True) -> None:
        self.folder, self.register, self.count, self.fleet = folder, register, count, fleet
        self.listens, self.places = reserve(count), reserve(count)
        self.running: dict[int, asyncio.subprocess.Process] = {}

    async def start(self, number: int, *flags: str) -> None:
        place = {"name": f"d{number}", "listen": self.listens[number], "seat": number}
        text = SITE.format(**place, register=self.register, count=self.count)
        if self.fleet:
            contacts = json.dumps(self.places[:2])
            text += FLEET.format(place=self.places[number], contacts=contacts, seat=number)
            text += self.more(number)
        else:
            text = text.replace("peers: true", "peers: false")
        file = self.folder / f"d{number}.rec"
        file.write_text(text)
        with (self.folder / f"d{number}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *flags, "-m", "cherrygrade", "serve", str(file),
                cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=log,
            )  # fmt: skip
        self.running[number] = process  # also of one that fails at its start: none is left behind
        assert process.stdout is not None
        assert b"listening" in await process.stdout.readline()

    def more(self, number: int) -> str:
        return ""

    async def all_start(self) -> None:
        starts = [self.start(number) for number in range(self.count)]
        for failed in filter(None, await asyncio.gather(*starts, return_exceptions=True)):
            raise failed

    async def kill(self, number: int) -> None:
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    async def told(self) -> list[dict[str, Any]]:
        return [*await asyncio.gather(*(query_status(self.places[number]) for number in self.running))]

    async def equal(self) -> bool:
        told = await self.told()
        return len({one["digest"] for one in told}) == 1 and told[0]["living"] == len(self.running)

    async def standings(self, name: str) -> set[str]:
        found = set()
        for told in await self.told():
            found |= {one["standing"] for one in told["members"] if one["name"] == name}
        return found

    async def until(self, holds: Callable[[], Coroutine[Any, Any, bool]], within_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + within_s
        while not await holds():
            assert loop.time() < ends, f"not within {within_s} s"
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        release(*self.listens, *self.places)


def play(
    story: Callable[[GatewaySite, Company], Coroutine[Any, Any, None]], folder: Path, **more: Any
) -> None:
    async def whole(house: GatewaySite) -> None:
        await house.node(0)
        await house.register.start()
        company = Company(folder, house.register.address, **more)
        try:
            await story(house, company)
        finally:
            await company.close()

    run(whole, 40.0)


def test_a_killed_process_is_known_dead_and_back_after_its_restart(tmp_path):
    async def story(house: GatewaySite, company: Company) -> None:
        await company.all_start()
        await company.until(company.equal, 8.0)
        await company.kill(3)

        async def known() -> bool:
            return await company.standings("d3") == {"failed"}

        await company.until(known, 7.0)
        await company.start(3)
        await company.until(company.equal, 4.0)
        # One that leaves by its own will has not failed.
        process = company.running.pop(2)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert await company.standings("d2") == {"left"}

    play(story, tmp_path)


def test_a_process_that_stands_still_two_seconds_is_not_called_dead(tmp_path):
    async def story(house: GatewaySite, company: Company) -> None:
        await company.all_start()
        await company.until(company.equal, 8.0)
        process = company.running[1]
        others = {number: one for number, one in company.running.items() if number != 1}
        company.running, seen = others, set()
        for _ in range(5):  # whom a probe meets is up to its order: not each stop is noticed
            process.send_signal(signal.SIGSTOP)
            for _ in range(20):
                seen |= await company.standings("d1")
                await asyncio.sleep(0.1)
            process.send_signal(signal.SIGCONT)
            for _ in range(10):
                seen |= await company.standings("d1")
                await asyncio.sleep(0.1)
            if "suspect" in seen:
                break
        company.running = others | {1: process}  # before the story may end: it is ended with the others
        assert "suspect" in seen and "failed" not in seen
        await company.until(company.equal, 4.0)

    play(story, tmp_path)


def test_no_rpc_waits_for_a_fleet_that_is_deaf(tmp_path):
    # The first process finds nobody: neither its start nor its answers take notice.
    async def story(house: GatewaySite, company: Company) -> None:
        await company.start(2)
        client = Client(company.listens[2], "c")
        took = []
        for index in range(20):
            begun = asyncio.get_running_loop().time()
            answer = await client.write("write", "v", f"k{index}", b"x" * 64, shard=0, deadline_ms=1500)
            assert isinstance(answer, Ok)
            took.append(asyncio.get_running_loop().time() - begun)
        client.close()
        assert sorted(took)[10] < 0.2
        assert (await query_status(company.places[2]))["side"] == "alone"

    play(story, tmp_path)


def test_where_no_fleet_is_named_none_of_it_is_loaded(tmp_path):
    async def story(house: GatewaySite, company: Company) -> None:
        await company.start(0, "-X", "importtime")
        loaded = (tmp_path / "d0.log").read_text()
        assert "cherrygrade.gateway.process" in loaded and "cherrygrade.fleet" not in loaded

    play(story, tmp_path, fleet=False)


def test_a_person_is_shown_the_fleet_with_an_exit_code_for_scripts(tmp_path):
    async def story(house: GatewaySite, company: Company) -> None:
        await company.all_start()
        await company.until(company.equal, 8.0)

        def status(*more: str) -> subprocess.CompletedProcess[str]:
            line = [sys.executable, "-m", "cherrygrade", "fleet", "status", company.places[0], *more]
            return subprocess.run(line, cwd=ROOT, capture_output=True, text=True)

        shown = await asyncio.to_thread(status)
        assert shown.returncode == 0
        assert "among the most, 5 of 5 live" in shown.stdout and "d4" in shown.stdout
        assert json.loads((await asyncio.to_thread(status, "--json")).stdout)["living"] == 5
        await company.kill(4)
        assert (await asyncio.to_thread(status)).returncode in (0, 1)
        await asyncio.sleep(4.5)
        assert (await asyncio.to_thread(status)).returncode == 1
        await company.kill(0)
        assert (await asyncio.to_thread(status)).returncode == 3

    play(story, tmp_path)

"""The council and its leases kept by processes of the program; judged by the receiver's record alone."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from fleet.runtime.test_fleet_processes import ROOT, Company
from support.gateway_site import GatewaySite, run

from cherrygrade.fleet.runtime.voter_store import create_founding_store
from cherrygrade.standin.receiver import judge

pytestmark = pytest.mark.alone

LEASE_MS = 1500.0
VOTERS = ["d0", "d1", "d2"]
TASKS = [f"t{at}" for at in range(12)]


class CouncilServer(Company):
    """Five dispatchers, three of them voters, twelve drills, one receiver, each a process."""

    numbered = True

    async def open(self) -> None:
        self.record = self.folder / "receiver.jsonl"
        numbered = [] if self.numbered else ["--no-numbered"]
        self.receiver = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cherrygrade", "standin", "receiver", str(self.record), *numbered,
            cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.receiver.stdout is not None
        self.place = (await self.receiver.stdout.readline()).decode().split()[1]
        for name in VOTERS:
            create_founding_store(self.folder / name, "processes", name, VOTERS)
        await self.all_start()

    def more(self, number: int) -> str:
        council = {
            "voters": VOTERS,
            "folder": str(self.folder / f"d{number}"),
            "lease_ms": LEASE_MS,
            "drills": TASKS,
            "receiver": self.place,
        }
        return f"fleet: council: {json.dumps(council)}\n"

    def orders(self) -> list[list[Any]]:
        return [json.loads(line) for line in self.record.read_text().splitlines()]

    def holders(self, after: float = 0.0) -> dict[str, str]:
        """Who did each task last, as the receiver has it."""
        return {one[1]: one[3] for one in self.orders() if one[6] and one[0] > after}

    async def all_done(self, after: float, within_s: float, but: str = "") -> None:
        async def holds() -> bool:
            found_ = self.holders(after)
            return len(found_) == len(TASKS) and but not in found_.values()

        await self.until(holds, within_s)

    def log(self, number: int, event: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"d{number}.log").read_text().splitlines()
        return [one for one in map(json.loads, lines) if one["event"] == event]

    def leader(self) -> int:
        """By what they say of themselves; only to choose whom to hurt."""
        told = [(one["term"], one["leader"]) for n in self.running for one in self.log(n, "council leader")]
        return int(max(told)[1][1:] or 0)

    async def close(self) -> None:
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
        await super().close()
        self.receiver.kill()
        await self.receiver.wait()


def now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0


def play(
    story: Callable[[CouncilServer], Coroutine[Any, Any, None]], folder: Path, numbered: bool = True
) -> None:
    async def whole(house: GatewaySite) -> None:
        await house.node(0)
        await house.register.start()
        council_server = CouncilServer(folder, house.register.address)
        council_server.numbered = numbered
        try:
            await council_server.open()
            await council_server.all_done(0.0, 10.0)
            await story(council_server)
            assert not judge(council_server.record)
        finally:
            await council_server.close()

    run(whole, 60.0)


def test_a_killed_holders_tasks_are_done_by_others_within_its_lease_and_a_second(tmp_path):
    async def story(council_server: CouncilServer) -> None:
        holders = council_server.holders()
        assert len({*holders.values()}) >= 3  # spread
        victim = next(name for name in ("d3", "d4") if name in holders.values())
        await council_server.kill(int(victim[1:]))
        killed = now_ms()
        await council_server.all_done(killed, 10.0, but=victim)
        first = {}
        for at, task, _, holder, _, _, done in council_server.orders():
            if done and at > killed and holder != victim and holders[task] == victim:
                first.setdefault(task, at)
        assert max(first.values()) - killed < LEASE_MS * 1.01 + 2500.0
        assert len({council_server.holders(killed)[task] for task in first}) >= 1

    play(story, tmp_path)


def test_a_leader_that_is_killed_costs_no_task_and_its_restart_neither(tmp_path):
    async def story(council_server: CouncilServer) -> None:
        leader = council_server.leader()
        await council_server.kill(leader)
        killed = now_ms()
        await council_server.all_done(killed, 10.0, but=f"d{leader}")
        await council_server.start(leader)
        back = now_ms()
        await council_server.all_done(back + 500.0, 6.0)

    play(story, tmp_path)


def test_a_holder_paused_past_its_lease_goes_on_with_nothing(tmp_path):
    async def story(council_server: CouncilServer) -> None:
        victim = next(name for name in ("d4", "d3") if name in council_server.holders().values())
        number = int(victim[1:])
        process = council_server.running[number]
        for _ in range(3):  # it may stand anywhere: between the look and the write too
            process.send_signal(signal.SIGSTOP)
            paused = now_ms()
            await council_server.all_done(paused + 200.0, 12.0, but=victim)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)

    play(story, tmp_path)


def test_a_majority_that_is_gone_ends_all_tasks_and_brings_them_back_with_it(tmp_path):
    async def story(council_server: CouncilServer) -> None:
        for number in (0, 1):
            await council_server.kill(number)
        await asyncio.sleep(LEASE_MS / 1000.0 * 1.1)
        quiet = now_ms()
        await asyncio.sleep(1.0)
        assert not council_server.holders(quiet)  # holders stopped by themselves
        await council_server.start(0)
        await council_server.all_done(quiet, 10.0)

    play(story, tmp_path)


def test_a_voter_whose_store_is_lost_is_let_in_again(tmp_path):
    async def story(council_server: CouncilServer) -> None:
        await council_server.kill(1)
        for file in (council_server.folder / "d1").iterdir():
            file.unlink()
        await council_server.start(1)

        async def let_in() -> bool:
            told = [one["council"] for one in await council_server.told()]
            voters = next((one["voters"] for one in told if one["leader"] and one.get("me")), [])
            return len(voters) == 3 and "d1/0" not in voters

        await council_server.until(let_in, 10.0)
        await council_server.kill(2 if council_server.leader() != 2 else 0)  # it has to count now
        killed = now_ms()
        await council_server.all_done(killed, 12.0)

    play(story, tmp_path)

"""The council and its leases between dispatcher processes that are killed, paused or lose their store.

Each exercise task must go on at another holder, and no two holders may act for a task at the same time. The
tests judge both from the orders that the receiver recorded.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from fleet.runtime.test_fleet_processes import ROOT, FleetProcesses
from support.gateway_site import GatewaySite, run

from cherrygrade.fleet.runtime.voter_store import create_founding_store
from cherrygrade.standin.receiver import judge

pytestmark = pytest.mark.alone

LEASE_MS = 1500.0
VOTERS = ["d0", "d1", "d2"]
TASKS = [f"t{index}" for index in range(12)]


class CouncilProcesses(FleetProcesses):
    """Five dispatcher processes, three of them voters, with twelve exercise tasks, and a receiver process.

    Attributes:
        numbered: Whether the receiver refuses orders with an older lease number.
    """

    numbered = True

    async def open(self) -> None:
        self.record = self.folder / "receiver.jsonl"
        options = [] if self.numbered else ["--no-numbered"]
        self.receiver = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cherrygrade", "standin", "receiver", str(self.record), *options,
            cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.receiver.stdout is not None
        self.receiver_address = (await self.receiver.stdout.readline()).decode().split()[1]
        for name in VOTERS:
            create_founding_store(self.folder / name, "processes", name, VOTERS)
        await self.start_all()

    def extra_settings(self, number: int) -> str:
        council = {
            "voters": VOTERS,
            "folder": str(self.folder / f"d{number}"),
            "lease_ms": LEASE_MS,
            "drills": TASKS,
            "receiver": self.receiver_address,
        }
        return f"fleet: council: {json.dumps(council)}\n"

    def orders(self) -> list[list[Any]]:
        """Return the receiver's record, one list for each order."""
        return [json.loads(line) for line in self.record.read_text().splitlines()]

    def holders(self, after: float = 0.0) -> dict[str, str]:
        """Return the holder of each task's last order that was carried out later than `after` (ms)."""
        return {order[1]: order[3] for order in self.orders() if order[6] and order[0] > after}

    async def wait_for_all_tasks(self, after: float, within_s: float, excluded: str = "") -> None:
        """Wait until each task was done after `after` (ms), none of them last by the holder `excluded`."""

        async def holds() -> bool:
            holders = self.holders(after)
            return len(holders) == len(TASKS) and excluded not in holders.values()

        await self.wait_until(holds, within_s)

    def log_lines(self, number: int, event: str) -> list[dict[str, Any]]:
        """Return the log lines of a dispatcher that have this event."""
        lines = (self.folder / f"d{number}.log").read_text().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == event]

    def leader(self) -> int:
        """Return the leader of the highest term that was logged; used only to choose the process to kill."""
        logged = [
            (line["term"], line["leader"])
            for n in self.running
            for line in self.log_lines(n, "council leader")
        ]
        return int(max(logged)[1][1:] or 0)

    async def close(self) -> None:
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
        await super().close()
        self.receiver.kill()
        await self.receiver.wait()


def now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0


def run_scenario(
    scenario: Callable[[CouncilProcesses], Coroutine[Any, Any, None]], folder: Path, numbered: bool = True
) -> None:
    """Run a scenario once all tasks are held, within 60 s, and judge the receiver's record after it."""

    async def with_processes(gateway_site: GatewaySite) -> None:
        await gateway_site.node(0)
        await gateway_site.register.start()
        processes = CouncilProcesses(folder, gateway_site.register.address)
        processes.numbered = numbered
        try:
            await processes.open()
            await processes.wait_for_all_tasks(0.0, 10.0)
            await scenario(processes)
            assert not judge(processes.record)
        finally:
            await processes.close()

    run(with_processes, 60.0)


def test_killed_holders_tasks_are_taken_over_within_its_lease_and_two_and_a_half_seconds(tmp_path):
    async def scenario(processes: CouncilProcesses) -> None:
        holders = processes.holders()
        assert len({*holders.values()}) >= 3  # the tasks are spread over the members
        victim = next(name for name in ("d3", "d4") if name in holders.values())
        await processes.kill(int(victim[1:]))
        killed = now_ms()
        await processes.wait_for_all_tasks(killed, 10.0, excluded=victim)
        taken_over_ms = {}
        for order_ms, task, _, holder, _, _, done in processes.orders():
            if done and order_ms > killed and holder != victim and holders[task] == victim:
                taken_over_ms.setdefault(task, order_ms)
        assert max(taken_over_ms.values()) - killed < LEASE_MS * 1.01 + 2500.0
        assert len({processes.holders(killed)[task] for task in taken_over_ms}) >= 1

    run_scenario(scenario, tmp_path)


def test_all_tasks_go_on_after_the_leader_is_killed_and_restarted(tmp_path):
    async def scenario(processes: CouncilProcesses) -> None:
        leader = processes.leader()
        await processes.kill(leader)
        killed = now_ms()
        await processes.wait_for_all_tasks(killed, 10.0, excluded=f"d{leader}")
        await processes.start(leader)
        restarted = now_ms()
        await processes.wait_for_all_tasks(restarted + 500.0, 6.0)

    run_scenario(scenario, tmp_path)


def test_holder_paused_past_its_lease_does_no_task_after_the_pause(tmp_path):
    async def scenario(processes: CouncilProcesses) -> None:
        victim = next(name for name in ("d4", "d3") if name in processes.holders().values())
        number = int(victim[1:])
        process = processes.running[number]
        for _ in range(3):  # a pause may also fall between the check of the lease and the write of the order
            process.send_signal(signal.SIGSTOP)
            paused = now_ms()
            await processes.wait_for_all_tasks(paused + 200.0, 12.0, excluded=victim)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)

    run_scenario(scenario, tmp_path)


def test_tasks_stop_without_a_majority_of_voters_and_go_on_with_it(tmp_path):
    async def scenario(processes: CouncilProcesses) -> None:
        for number in (0, 1):
            await processes.kill(number)
        await asyncio.sleep(LEASE_MS / 1000.0 * 1.1)
        expired = now_ms()
        await asyncio.sleep(1.0)
        assert not processes.holders(expired)  # the holders stopped by themselves as their leases expired
        await processes.start(0)
        await processes.wait_for_all_tasks(expired, 10.0)

    run_scenario(scenario, tmp_path)


def test_voter_that_lost_its_store_is_admitted_again(tmp_path):
    async def scenario(processes: CouncilProcesses) -> None:
        await processes.kill(1)
        for file in (processes.folder / "d1").iterdir():
            file.unlink()
        await processes.start(1)

        async def is_admitted() -> bool:
            councils = [status["council"] for status in await processes.statuses()]
            voters = next(
                (council["voters"] for council in councils if council["leader"] and council.get("me")), []
            )
            return len(voters) == 3 and "d1/0" not in voters

        await processes.wait_until(is_admitted, 10.0)
        await processes.kill(2 if processes.leader() != 2 else 0)  # d1 is now needed for a majority
        killed = now_ms()
        await processes.wait_for_all_tasks(killed, 12.0)

    run_scenario(scenario, tmp_path)

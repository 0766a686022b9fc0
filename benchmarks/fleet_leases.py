"""What leases cost at rest, however many there are, and how soon a killed holder's tasks are done again.

Processes of the program: quick with 7 dispatchers and a council of three, in full with 200 and a council of
five. Take-over is read from the receiver's record. Every figure is of this run; exit code 0 only if all bars
hold.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import psutil
from bench import ROOT

from cherrygrade.fleet.leases.lease_client import RECENT_CHANGE_MS
from cherrygrade.fleet.runtime.status_query import query_status
from cherrygrade.fleet.runtime.voter_store import create_founding_store
from cherrygrade.standin.receiver import find_conflicting_orders

LEASE_MS = 2000.0
TAKE_OVER_MS = LEASE_MS + 1000.0  # worst, from the kill to the first order of another for the last task
FLAT = 1.6  # what ten times the leases may cost at rest, as a part of what the fewer cost
SITE = {
    "workloads": {"read": {"soft_ms": 400, "deadline_ms": 2000}},
    "plans": {"plan": {"usual_rate": 300}},
    "volumes": {"open": {"plan": {"name": "plan", "usual_rate": 300}}},
    "permits": {"peers": True},
    "earnings": {"tells_elsewhere": False},
}


class Fleet:
    """Ended by id; `place` by number."""

    def __init__(self, count: int, voters: int, tasks: int, orders: bool) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="cherrygrade-leases-"))
        self.count, self.voters = count, [f"d{at}" for at in range(voters)]
        self.tasks = [f"t{at}" for at in range(tasks)]
        self.record = self.folder / "receiver.jsonl"
        self.running: dict[int, subprocess.Popen[str]] = {}
        self.others: list[subprocess.Popen[str]] = []
        self.receiver = ""
        if orders:
            told = self._other("receiver", str(self.record))
            self.receiver = told.split()[1]
        self.register = f"127.0.0.1:{self._other('register').split()[1]}"
        for name in self.voters:
            create_founding_store(self.folder / name, "bench", name, self.voters)

    def _other(self, *parts: str) -> str:
        line = [sys.executable, "-m", "cherrygrade", "standin", *parts]
        process = subprocess.Popen(line, stdout=subprocess.PIPE, text=True, cwd=ROOT)
        self.others.append(process)
        assert process.stdout is not None
        return process.stdout.readline()

    def place(self, number: int) -> str:
        return f"127.77.{number // 250}.{number % 250 + 1}:7500"

    def start(self, number: int) -> None:
        host = self.place(number).rpartition(":")[0]
        name = f"d{number}"
        council = {
            "voters": self.voters,
            "folder": str(self.folder / name),
            "lease_ms": LEASE_MS,
            "drills": self.tasks,
            "receiver": self.receiver,
        }
        fleet = {
            "name": "bench",
            "place": self.place(number),
            "contacts": [self.place(0), self.place(1)],
            "council": council,
        }
        place = {"name": name, "listen": f"{host}:7400", "register": self.register, "number": number}
        told = SITE | {"place": place | {"dispatchers": self.count}, "fleet": fleet}
        file = self.folder / f"{name}.rec"
        file.write_text(json.dumps(told))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[number] = subprocess.Popen(
                [sys.executable, "-m", "cherrygrade", "serve", str(file)],
                stdout=subprocess.DEVNULL, stderr=log, text=True, cwd=ROOT,
            )  # fmt: skip

    def kill(self, number: int) -> None:
        process = self.running.pop(number)
        process.kill()
        process.wait()

    def close(self) -> None:
        for process in [*self.running.values(), *self.others]:
            process.kill()
            process.wait()

    async def told(self, numbers: list[int]) -> list[dict[str, Any]]:
        return [*await asyncio.gather(*(query_status(self.place(number)) for number in numbers))]

    async def all_held(self, within_s: float) -> None:
        ends = time.monotonic() + within_s
        while time.monotonic() < ends:
            try:
                told = await self.told([int(name[1:]) for name in self.voters])
                if max(len(one["council"]["leases"]) for one in told) == len(self.tasks):
                    return
            except (OSError, EOFError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.2)
        raise SystemExit(f"not all of {len(self.tasks)} tasks are held after {within_s} s")

    def orders(self) -> list[list[Any]]:
        return [json.loads(line) for line in self.record.read_text().splitlines() if line.endswith("]")]

    def cpu_s(self) -> float:
        times = [psutil.Process(process.pid).cpu_times() for process in self.running.values()]
        return sum(one.user + one.system for one in times)


async def rest(count: int, voters: int, tasks: int, seconds: float) -> dict[str, float]:
    fleet = Fleet(count, voters, tasks, orders=False)
    try:
        for number in range(count):
            fleet.start(number)
        await fleet.all_held(30.0 + tasks / 50.0 + count / 4.0)
        await asyncio.sleep((RECENT_CHANGE_MS + 2000.0) / 1000.0)  # till the start is no news any more
        numbers = [*range(count)]
        before, cpu, at = await fleet.told(numbers), fleet.cpu_s(), time.monotonic()
        await asyncio.sleep(seconds)
        after, took = await fleet.told(numbers), time.monotonic() - at

        def gone(key: str) -> float:
            pairs = zip(before, after, strict=True)
            return sum(b["council"][key] - a["council"][key] for a, b in pairs) / took

        return {
            "bytes_s": gone("said_bytes"),
            "writes_s": gone("writes"),
            "core_permille": (fleet.cpu_s() - cpu) / took / count * 1000.0,
        }
    finally:
        fleet.close()


async def take_over(count: int, voters: int, tasks: int, kills: int) -> tuple[list[float], list[str]]:
    fleet = Fleet(count, voters, tasks, orders=True)
    worst: list[float] = []
    try:
        for number in range(count):
            fleet.start(number)
        await fleet.all_held(30.0 + tasks / 20.0 + count / 4.0)
        for turn in range(kills):
            await asyncio.sleep(1.0)
            last = {one[1]: one[3] for one in fleet.orders() if one[6]}
            holders = [int(name[1:]) for name in last.values() if int(name[1:]) in fleet.running]
            victim = holders[turn % len(holders)]
            lost = {task for task, name in last.items() if name == f"d{victim}"}
            fleet.kill(victim)
            killed = time.monotonic() * 1000.0
            await asyncio.sleep((TAKE_OVER_MS + 2500.0) / 1000.0)
            first: dict[str, float] = {}
            for at, task, _, holder, *_, done in fleet.orders():
                if done and at > killed and task in lost and holder != f"d{victim}":
                    first.setdefault(task, at - killed)
            worst.append(max((first.get(task, 1e9) for task in lost), default=0.0))
            fleet.start(victim)
        return worst, find_conflicting_orders(fleet.record)
    finally:
        fleet.close()


def main() -> int:
    quick = "--quick" in sys.argv
    count, voters, kills = (7, 3, 3) if quick else (200, 5, 100)
    sizes = (20, 200) if quick else (10, 1000, 10_000)
    costs = {size: asyncio.run(rest(count, voters, size, 4.0 if quick else 20.0)) for size in sizes}
    for size, cost in costs.items():
        print(
            f"{size} leases at rest, {count} dispatchers: {cost['bytes_s']:.0f} bytes/s of words, "
            f"{cost['writes_s']:.2f} disk writes/s, {cost['core_permille']:.1f} thousandths of a core each"
        )
    worst, wrong = asyncio.run(take_over(count, voters, 20 if quick else 200, kills))
    print(f"killed holders: tasks done again after {', '.join(f'{ms:.0f}' for ms in worst)} ms at the latest")
    fewer, more = costs[sizes[-2]], costs[sizes[-1]]
    bars = [
        (f"words at rest, {sizes[-1]} over {sizes[-2]}", more["bytes_s"] / fewer["bytes_s"], FLAT),
        ("disk writes a second at rest", more["writes_s"], 0.2),
        ("worst take-over, ms", max(worst), TAKE_OVER_MS),
        ("orders that no single holder could have made", float(len(wrong)), 0.0),
    ]
    held = True
    for name, value, most in bars:
        print(f"{'held' if value <= most else 'NOT HELD'}: {name} {value:.2f}, at most {most:.2f}")
        held = held and value <= most
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())

"""From a change of the configuration to the last member that has it in force, and what it costs.

Processes of the program, all ways between them through one that delays and loses as told: two regions of
three zones, 80 ms between regions (40 one way at least, 80 at most), 5% of datagrams lost (none while at
rest: what is asked for again would make the part that the configuration adds look smaller). Changes one after
the other; some with the leader killed as soon as the change is agreed; heals of a half that was cut off and
missed changes; a minute of twenty changes; rest before the first version and on one; RPCs of clients with
twenty changes a minute and with none. When a version came into
force is each member's own clock, which all processes of a machine share. In full at 580 members the scale
run does it, with hollow ones beside.

Options: --quick, --members N, --changes N, --seed N, --report FILE. Every figure is of this run; exit code 0
only if all promises held.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import mean, median, pstdev
from typing import Any

import psutil
from bench import ROOT

from cherrygrade.client import Client, Ok
from cherrygrade.fleet.errors import ConfigRefusedError, ConfigUnreachableError
from cherrygrade.fleet.membership.messages import message_tag
from cherrygrade.fleet.runtime.admin_client import send_admin_request
from cherrygrade.fleet.runtime.admin_messages import PutRequest
from cherrygrade.fleet.runtime.operator_commands import new_request_id
from cherrygrade.fleet.runtime.status_query import query_status
from cherrygrade.fleet.runtime.voter_store import create_founding_store
from cherrygrade.lab.rig.run import Child, free_places
from cherrygrade.standin.control import Controller
from cherrygrade.standin.emulated_network import ANNOUNCED_NET, BOUND_NET, ENTRY_HEADER, FLEET, host

WORST_MS, P99_MS, HEAL_MS, AT_REST, SERVICE = 6000.0, 3000.0, 6000.0, 0.05, 0.01
VOTERS = [f"d{at}" for at in range(5)]
ONE_WAY_MS, LOST = 40.0, 0.05
A_DAY = 740.0
LOSSY = "at rest, on a version, 5% lost"
PATIENCE_S = 30.0  # past that a change counts as never there
SITE = {
    "workloads": {"write": {"soft_ms": 400, "deadline_ms": 2000, "writes": True}},
    "permits": {"peers": True},
    "earnings": {"tells_elsewhere": False},
}
PLAN = {"name": "plan", "usual_rate": 300, "limit_rate": 300, "limit_depth": 30}


def text(rate: int) -> str:
    return f"volumes: open: plan: limit_rate: {rate}\n"


class Sample:
    """Of one member at one time: bytes that it sent and got of the fleet's, and its processor time."""

    def __init__(self, told: dict[str, Any], process: psutil.Process) -> None:
        counts, config, council = told["counts"], told["config"] or {}, told["council"] or {}
        self.sent = counts["sent_bytes"] + config.get("given_bytes", 0) + council.get("said_bytes", 0)
        self.got = counts["got_bytes"] + config.get("fetched_bytes", 0)
        self.pages = counts["sent_bytes"]
        used = process.cpu_times()
        self.cpu_ms = 1000.0 * (used.user + used.system)


class Fleet:
    """Ended by id."""

    def __init__(self, count: int, seed: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="cherrygrade-config-"))
        self.count, self.seed = count, seed
        self.told, self.bound = (int(place.rpartition(":")[2]) for place in free_places(2, "0.0.0.0"))
        self.ways, self.register = Child("ways", self.folder), Child("register", self.folder)
        self.node = Child("node", self.folder)
        self.members = [Child(f"d{at}", self.folder) for at in range(count)]
        self.dead: set[int] = set()
        self.number = 0
        self.rate = 300

    async def open(self) -> None:
        await self.register.start("cherrygrade", "standin", "register")
        await self.node.start("cherrygrade", "standin", "node", "--build", '{"unit_ms": 2, "put_off": 0}')
        listed = Controller(f"127.0.0.1:{self.register.ports[1]}")
        await listed.connect()
        node = f"127.0.0.1:{self.node.ports[0]}"
        await listed.say("set", address=node, zone="z", shard=0, standing="live", start=1, age_ms=1e6)
        await self.ways.start(
            "cherrygrade", "standin", "ways", "--count", str(self.count), "--port", str(self.told),
            "--bound", str(self.bound), "--fleet", FLEET, "--seed", str(self.seed),
            "--record", str(self.folder / "ways.log"),
        )  # fmt: skip
        self.control = Controller(f"127.0.0.1:{self.ways.ports[0]}")
        await self.control.connect()
        far = {at for at in range(self.count) if at % 2}
        await self.control.say("slow", on=" ".join(map(str, sorted(far))), size=ONE_WAY_MS)
        for name in VOTERS:
            create_founding_store(self.folder / name, FLEET, name, VOTERS)
        for at in range(0, self.count, 8):
            await asyncio.gather(*(self.start(one) for one in range(at, min(at + 8, self.count))))
        await self.until(self._whole)

    async def start(self, number: int) -> None:
        site = {
            **SITE,
            "place": {
                "name": f"d{number}",
                "listen": "127.0.0.1:0",
                "register": f"127.0.0.1:{self.register.ports[0]}",
                "number": number,
                "dispatchers": self.count,
                "seed": self.seed * 1000 + number,
            },
            "volumes": {"open": {"plan": PLAN, "hosts": self.count}},
            "fleet": {
                "name": FLEET,
                "place": f"{host(ANNOUNCED_NET, number)}:{self.told}",
                "bind": self.at(number),
                "contacts": [f"{host(ANNOUNCED_NET, at)}:{self.told}" for at in range(3)],
                "zone": f"z{number % 6}",
                "config_file": str(self.folder / f"d{number}" / "kept"),
                "council": {"voters": VOTERS, "folder": str(self.folder / f"d{number}")},
            },
        }
        file = self.folder / f"d{number}.rec"
        file.write_text(json.dumps(site))
        await self.members[number].start("cherrygrade", "serve", str(file))
        self.dead.discard(number)

    def at(self, number: int) -> str:
        return f"{host(BOUND_NET, number)}:{self.bound}"

    async def close(self) -> None:
        await asyncio.gather(*(one.end(9) for one in [*self.members, self.register, self.node]))
        await self.ways.end()  # by its signal: it writes its record then

    def pair(self, begun: float, ended: float) -> float:
        """Bytes of a probe and its answer in the mean, of those that passed between these times."""
        data, at = (self.folder / "ways.log").read_bytes(), 0
        lengths: dict[bytes, list[int]] = {b"p": [], b"a": []}
        while at < len(data):
            when, _, _, _, length = ENTRY_HEADER.unpack_from(data, at)
            at += ENTRY_HEADER.size + length
            kind = message_tag(data[at - length : at])
            if begun <= when < ended and kind in lengths:
                lengths[kind].append(length)
        return sum(mean(some) for some in lengths.values())

    # What it does.

    async def put(self) -> float:
        """One change, asked of whoever answers; when it was asked for, ms of the machine's clock."""
        loop, turn = asyncio.get_running_loop(), 0
        self.rate += 1
        asked = loop.time() * 1000.0
        while True:
            turn += 1
            through = [at for at in range(self.count) if at not in self.dead][-1 - turn % 3]
            try:
                told = await send_admin_request(
                    self.at(through), PutRequest(new_request_id(), text(self.rate), "the benchmark"), 5.0
                )
                self.number = told["number"]
                return asked
            except (ConfigUnreachableError, ConfigRefusedError):
                if turn > 40:
                    raise
                await asyncio.sleep(0.05)

    async def statuses(self) -> dict[int, dict[str, Any]]:
        on = [at for at in range(self.count) if at not in self.dead]
        told = await asyncio.gather(*(query_status(self.at(at)) for at in on))
        return dict(zip(on, told, strict=True))

    async def _whole(self) -> bool:
        told = await self.statuses()
        return all(one["living"] == self.count for one in told.values()) and bool(self._leader(told) >= 0)

    @staticmethod
    def _leader(told: dict[int, dict[str, Any]]) -> int:
        named = {one["council"]["leader"] for at, one in told.items() if at < len(VOTERS)}
        return int(named.pop()[1:]) if len(named) == 1 and named != {""} else -1

    async def leader(self) -> int:
        return self._leader(await self.statuses())

    async def last(self, since: float, but: frozenset[int] = frozenset()) -> float:
        """Ms from then until the newest version was in force at the last."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + PATIENCE_S
        while loop.time() < ends:
            told = {at: one["config"] for at, one in (await self.statuses()).items() if at not in but}
            if all(one["number"] == self.number for one in told.values()):
                return max(one["since"] for one in told.values()) - since
            await asyncio.sleep(0.2)
        return float("inf")

    async def until(self, holds: Any) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + 60.0
        while not await holds():
            if loop.time() > ends:
                raise RuntimeError("the fleet did not come up: not measured")
            await asyncio.sleep(0.2)

    async def sampled(self, seconds: int, changes: int = 0) -> list[dict[int, Sample]]:
        """One sample a second of each; so many changes are put meanwhile, evenly."""
        loop, found_ = asyncio.get_running_loop(), []
        pids = {at: one.process.pid for at, one in enumerate(self.members) if one.process is not None}
        processes = {at: psutil.Process(pid) for at, pid in pids.items() if at not in self.dead}
        begun, put = loop.time(), 0
        for second in range(seconds + 1):
            await asyncio.sleep(max(0.0, begun + second - loop.time()))
            told = await self.statuses()
            found_.append({at: Sample(one, processes[at]) for at, one in told.items()})
            while put < changes * (second + 1) // (seconds + 1):
                put += 1
                await self.put()
        return found_


def now() -> float:
    """Ms of the machine's clock."""
    return asyncio.get_running_loop().time() * 1000.0


async def served(fleet: Fleet, seconds: float, changes: int) -> tuple[float, float]:
    """Of writes through three members: the part that was answered, and p99 of those in ms."""
    loop, took, asked = asyncio.get_running_loop(), list[float](), 0
    clients = [Client(f"127.0.0.1:{fleet.members[at].ports[0]}", f"c{at}") for at in (5, 6, 7)]

    async def one(client: Client, key: str) -> None:
        begun = loop.time()
        answer = await client.write("write", "open", key, b"x" * 64, shard=0, deadline_ms=2000)
        if isinstance(answer, Ok):
            took.append((loop.time() - begun) * 1000.0)

    async def put() -> None:
        for _ in range(changes):
            await fleet.put()
            await asyncio.sleep(seconds / max(1, changes) - 0.1)

    puts = loop.create_task(put())
    ends, tasks = loop.time() + seconds, list[asyncio.Task[None]]()
    while loop.time() < ends:
        for client in clients:
            asked += 1
            tasks.append(loop.create_task(one(client, f"k{asked}")))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks, puts)
    for client in clients:
        client.close()
    took.sort()
    return len(took) / asked, took[int(0.99 * len(took))] if took else float("inf")


def spread(samples: list[dict[int, Sample]], roles: dict[int, str], when: str) -> list[dict[str, Any]]:
    """By role, a second: mean over members and time, the worst second of any member, and how means differ."""
    rows = []
    for role in dict.fromkeys(roles.values()):
        on = [at for at, one in roles.items() if one == role and at in samples[0]]
        for what, unit in (("sent", "bytes/s"), ("got", "bytes/s"), ("cpu_ms", "ms/s"), ("pages", "bytes/s")):
            rates = {
                at: [
                    getattr(after[at], what) - getattr(before[at], what)
                    for before, after in itertools.pairwise(samples)
                ]
                for at in on
            }
            means = [mean(some) for some in rates.values()]
            rows.append(
                {
                    "role": role,
                    "what": {"cpu_ms": "processor time", "pages": "pages sent"}.get(what, what),
                    "unit": unit,
                    "when": when,
                    "mean": round(mean(means), 2),
                    "worst_second": round(max(max(some) for some in rates.values()), 2),
                    "spread": round(pstdev(means), 2),
                }
            )
    return rows


def times(role: str, when: str, found_: list[float]) -> dict[str, Any]:
    ordered = sorted(found_)
    at99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return {
        "role": role,
        "what": f"from then to the last in force; median {median(ordered):.0f}, p99 {at99:.0f}",
        "unit": "ms",
        "when": when,
        "mean": round(mean(ordered), 1),
        "worst_second": round(ordered[-1], 1),
        "spread": round(pstdev(ordered), 1),
    }


def a_day(rows: list[dict[str, Any]], role: str) -> dict[str, Any]:
    """Of 740 changes a day in the mean, from the minute of twenty over rest."""
    held = {(one["when"], one["what"]): one["mean"] for one in rows if one["role"] == role}
    rest, much = LOSSY, "twenty changes in a minute"
    each = {
        what: 60.0 / 20.0 * (held[(much, what)] - held[(rest, what)])
        for what in ("sent", "got", "processor time")
    }
    told = f"a change: {each['sent']:.0f} bytes sent, {each['got']:.0f} got, {each['processor time']:.1f} ms"
    return {
        "role": role,
        "what": f"processor time of 740 changes a day ({told})",
        "unit": "ms/s",
        "when": "a day",
        "mean": round(A_DAY / 86400.0 * each["processor time"], 4),
        "worst_second": None,
        "spread": None,
    }


async def measure(count: int, changes: int, kills: int, heals: int, rest_s: int, seed: int) -> dict[str, Any]:
    fleet = Fleet(count, seed)
    figures: list[dict[str, Any]] = []
    promises: list[dict[str, Any]] = []

    def promise(what: str, bound: float, seen: float) -> None:
        promises.append({"what": what, "bound": bound, "seen": round(seen, 3), "held": seen <= bound})

    try:
        await fleet.open()
        leader = await fleet.leader()
        roles = {
            at: "leader" if at == leader else "voter" if at < len(VOTERS) else "dispatcher"
            for at in range(count)
        }
        await asyncio.sleep(3.0)
        resting = [now()]
        figures += spread(await fleet.sampled(rest_s), roles, "at rest, no version yet")
        resting.append(now())
        await fleet.last(await fleet.put())
        await asyncio.sleep(8.0)
        resting.append(now())
        figures += spread(await fleet.sampled(rest_s), roles, "at rest, on a version")
        resting.append(now())
        await fleet.control.say("lost", size=LOST)
        await asyncio.sleep(3.0)
        figures += spread(await fleet.sampled(rest_s), roles, LOSSY)
        figures += spread(await fleet.sampled(60, 20), roles, "twenty changes in a minute")
        figures += [a_day(figures, role) for role in dict.fromkeys(roles.values())]
        await served(fleet, 3.0, 0)  # until the node is taken for warm
        service = {changes_: await served(fleet, 2.0 * rest_s, changes_) for changes_ in (0, 2 * rest_s // 3)}
        for changes_, (part, p99) in service.items():
            when = "twenty changes a minute" if changes_ else "no change"
            for what, unit, value in (("service", "part", part), ("p99 of RPCs", "ms", p99)):
                row = {"role": "client", "what": what, "unit": unit, "when": when, "mean": round(value, 4)}
                figures.append({**row, "worst_second": None, "spread": None})
        plain = [await fleet.last(await fleet.put()) for _ in range(changes)]
        figures.append(times("fleet", "one change after the other", plain))
        killed = []
        for _ in range(kills):
            asked = await fleet.put()
            victim = await fleet.leader()
            if victim < 0:
                continue
            await fleet.members[victim].end(9)
            fleet.dead.add(victim)
            killed.append(await fleet.last(asked))
            await fleet.start(victim)
            await fleet.until(fleet._whole)
        figures.append(times("fleet", "the leader killed right after it was agreed", killed))
        healed = []
        half = [at for at in range(count) if at % 2]
        if sum(at < len(VOTERS) for at in half) > len(VOTERS) // 2:
            half = [at for at in range(count) if at % 2 == 0]
        for _ in range(heals):
            await fleet.control.say("cut", on=" ".join(map(str, half)))
            await asyncio.sleep(4.0)
            whole, fleet.dead = fleet.dead, {*half}  # not asked, while they can't know
            for _ in range(5):
                await fleet.put()
            fleet.dead = whole
            await asyncio.sleep(8.0)
            mended = asyncio.get_running_loop().time() * 1000.0
            await fleet.control.say("heal", on=" ".join(map(str, half)))
            healed.append(await fleet.last(mended))
            await fleet.until(fleet._whole)
        figures.append(times("fleet", "a half that was cut off for 12 s and missed 5 changes", healed))
        ordered = sorted(plain)
        promise("worst of one change, ms", WORST_MS, ordered[-1])
        promise("p99 of one change, ms", P99_MS, ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))])
        promise("worst with the leader killed, ms", WORST_MS, max(killed, default=float("inf")))
        promise("worst after a heal, ms", HEAL_MS, max(healed, default=float("inf")))
        lost = 1.0 - min(part for part, _ in service.values()) / service[0][0]
        promise("service lost with twenty changes a minute over none, part", SERVICE, lost)
        await fleet.close()
        none, one = fleet.pair(*resting[:2]), fleet.pair(*resting[2:])
        for when, value in (("at rest, no version yet", none), ("at rest, on a version", one)):
            row = {"role": "dispatcher", "what": "a probe and its answer", "unit": "bytes", "when": when}
            figures.append({**row, "mean": round(value, 2), "worst_second": None, "spread": None})
        promise("bytes of a probe and its answer over none, part", AT_REST, one / none - 1.0)
    finally:
        await fleet.close()
        shutil.rmtree(fleet.folder, ignore_errors=True)
    size = {"members": count, "voters": len(VOTERS), "changes": changes, "kills": kills, "heals": heals}
    return {"seed": seed, "size": size, "measured": True, "figures": figures, "promises": promises}


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--members", type=int, default=0)
    parser.add_argument("--changes", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", type=Path)
    given = parser.parse_args()
    members = given.members or (9 if given.quick else 40)
    changes = given.changes or (20 if given.quick else 200)
    kills, heals, rest_s = (3, 2, 10) if given.quick else (10, 5, 30)
    found_ = asyncio.run(measure(members, changes, kills, heals, rest_s, given.seed))
    commit = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True)
    told = " ".join(["python benchmarks/fleet_config.py", *sys.argv[1:]])
    report = {"command": told, "commit": commit.stdout.strip(), **found_}
    for one in report["figures"]:
        told = f"{one['when']}: {one['role']} {one['what']}: {one['mean']} {one['unit']}"
        print(told, *([f"worst {one['worst_second']}"] if one["worst_second"] is not None else []))
    for one in report["promises"]:
        print(f"{one['what']}: {one['seen']} (bound {one['bound']}) {'held' if one['held'] else 'BROKEN'}")
    if given.report:
        given.report.parent.mkdir(parents=True, exist_ok=True)
        given.report.write_text(json.dumps(report, indent=1) + "\n")
    return 0 if all(one["held"] for one in report["promises"]) else 1


if __name__ == "__main__":
    sys.exit(main())

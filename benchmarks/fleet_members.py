"""What knowing each other costs and brings: members that die, stall, are cut off, and rest.

Processes by the rig (`lab fleet`), at 5 quick, at 5, 50 and 200 in full; false deaths in virtual time, in
which the same code runs a member-hour in seconds. Every figure is of this run; the exit code is 0 only if
all bars hold.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

from bench import ROOT

from cherrygrade.lab.audits import fleetaudit
from cherrygrade.lab.audits.audit import judge
from cherrygrade.lab.rig import report
from cherrygrade.lab.rig.run import play as play_day
from cherrygrade.lab.virtual.many import death
from cherrygrade.lab.virtual.virtual_fleet import VirtualFleet, play
from cherrygrade.virtual.datagrams import DatagramConditions

DEATH_MS, HEAL_MS, REST_BYTES, CORE_PERMILLE, SERVICE = 5000.0, 5000.0, 2048.0, 5.0, 0.99
AGREE_MS, AGREE_BYTES = 1000.0, 0.25  # between processes and the same decisions on a queue of events
SITE = {
    "workloads": {"read": {"soft_ms": 400, "deadline_ms": 2000, "value": 3}},
    "volumes": {"open": {"plan": {"name": "open", "usual_rate": 300}, "hosts": 4}},
    "earnings": {"in_share": 0.5, "beyond": 0.1, "largest_units": 4},
    "bounds": {"answer_ms": 60},
}


def day(count: int, fleet: bool, length_ms: float, troubles: list[dict[str, Any]], per_s: float) -> Path:
    told = {
        "name": "members",
        "length_ms": length_ms,
        "dispatchers": count,
        "fleet": fleet,
        "nodes": [{"build": {"cores": 2, "unit_ms": 4}} for _ in range(3)],
        "traffic": [{"workload": "read", "verb": "read", "volumes": ["open"], "per_s": per_s, "keys": 30}],
        "troubles": troubles,
        "site": SITE,
    }
    file = Path(tempfile.mkdtemp(prefix=f"{ROOT.name}-bench-")) / "day.rec"
    file.write_text(json.dumps(told))
    return file


def faults(count: int, cut: bool = True) -> list[dict[str, Any]]:
    """One dies, a third is cut off and comes back, seven in ten die."""
    some = [number for number in range(count) if number % 3 == 0 and number != 1]
    found = [
        {"at_ms": 0, "kind": "lossy", "size": 0.05},
        {"at_ms": 6000, "kind": "end", "on": [1]},
        {"at_ms": 14000, "kind": "cut", "on": some, "for_ms": 8000},
    ]
    return found if cut else found[:2]


def played(file: Path, name: str, *broken: str) -> tuple[dict[str, float], float, float, bool]:
    """Figures of the fleet, service, p99 in ms, and whether every rule and promise held."""
    folder = file.parent / name
    scenario = play_day(file, folder, program=broken or ("cherrygrade", "serve"))
    verdicts, evidence = judge(scenario, folder)
    figures = fleetaudit.figures(folder)
    if scenario.fleet and not broken:
        verdicts += fleetaudit.judge(folder)
    services = report.service(evidence)
    for verdict in verdicts:
        for text in verdict.evidence:
            print(f"  broken: {text}")
    held = not any(verdict.broken for verdict in verdicts)
    return figures, report.total(services), max(one.p99_ms for one in services), held


def false_deaths(count: int, seconds: int) -> tuple[float, int, int]:
    """Member-hours, accusations, deaths: 5% of datagrams lost, every tenth member standing still for 2 s
    in turn."""

    async def story(virtual_fleet: VirtualFleet) -> tuple[float, int, int]:
        await virtual_fleet.all_start()
        await virtual_fleet.until(virtual_fleet.equal, 20000.0)
        begun, turn = virtual_fleet.now(), 0
        while virtual_fleet.now() - begun < seconds * 1000.0:
            turn += 1
            still = [virtual_fleet.agents[number][0] for number in range(turn % 10, count, 10)]
            for process in still:
                process.pause()
            await asyncio.sleep(2.0)
            for process in still:
                process.resume()
            await asyncio.sleep(2.0)
        probings = [core.failure_detector for core in virtual_fleet.cores().values()]
        hours = count * (virtual_fleet.now() - begun) / 3_600_000.0
        return hours, sum(one.accusations for one in probings), sum(one.deaths for one in probings)

    found: tuple[float, int, int] = play(
        story, count, 1, DatagramConditions(loss_probability=0.05, jitter_ms=2.0)
    )
    return found


def keepers(seed: int) -> tuple[float, float]:
    """Service with keepers that follow the living, and with those that stay with the dead; seven of ten die
    early, three go on before nodes that are slow in turn."""
    slow = [
        {"at_ms": 9000 + 3000 * at, "kind": "slow", "on": [at % 3], "for_ms": 2500, "size": 4}
        for at in range(4)
    ]
    dead = [{"at_ms": 2000, "kind": "end", "on": [0, 1, 2, 4, 5, 7, 8]}]
    found = []
    for program in ((), ("cherrygrade.lab.audits.broken", "16")):
        file = day(10, True, 21000.0, dead + slow, 200.0)
        file.write_text(json.dumps({**json.loads(file.read_text()), "seed": seed}))
        found.append(played(file, "keepers", *program)[1])
        shutil.rmtree(file.parent)
    return found[0], found[1]


def main(quick: bool) -> int:
    held = True
    hours, accusations, deaths = false_deaths(20, 180) if quick else false_deaths(50, 1800)
    print(f"virtual time: {hours:.1f} member-hours, {accusations} accusations, {deaths} false deaths (bar 0)")
    held = held and not deaths and accusations > 0
    for count in (5,) if quick else (5, 50, 200):
        file = day(count, True, 34000.0 if count < 100 else 44000.0, faults(count), 30.0)
        figures, _, _, right = played(file, "on")
        told = ", ".join(f"{name} {value:.0f}" for name, value in figures.items())
        print(f"{count} processes: {told}; rules and promises {'held' if right else 'BROKEN'}")
        same = death(count, 1, DatagramConditions(loss_probability=0.05, jitter_ms=2.0))
        apart, part = same.last_ms - figures["death_last_ms"], same.rest_bytes / figures["rest_bytes_s"] - 1.0
        print(f"  by the decisions alone: death {same.last_ms:.0f}, at rest {same.rest_bytes:.0f}: ", end="")
        print(f"{apart:+.0f} ms (bar {AGREE_MS:.0f} either way), {part:+.0%} (bar {AGREE_BYTES:.0%})")
        held = held and abs(apart) <= AGREE_MS and abs(part) <= AGREE_BYTES
        held = held and right and figures["death_last_ms"] <= DEATH_MS
        held = held and figures["heal_last_ms"] <= HEAL_MS and figures["rest_bytes_s"] <= REST_BYTES
        shutil.rmtree(file.parent)
    print(f"  bars: death {DEATH_MS:.0f} ms, heal {HEAL_MS:.0f} ms, at rest {REST_BYTES:.0f} bytes a second")
    count, service, core = 5 if quick else 20, {}, {}
    for fleet in (True, False):
        file = day(count, fleet, 12000.0, [], 150.0)
        _, service[fleet], p99, right = played(file, "pair")
        told = f"service {service[fleet]:.4f}, p99 {p99:.1f} ms"
        print(f"{count} processes, fleet {'on' if fleet else 'off'}: {told}")
        shutil.rmtree(file.parent)
        file = day(count, fleet, 10000.0, [], 1.0)
        figures, _, _, calm = played(file, "rest")
        core[fleet] = figures["core_permille"]
        print(f"  at rest {core[fleet]:.2f} thousandths of a core, {figures['memory_kib'] / 1024.0:.1f} MiB")
        held = held and right and calm
        shutil.rmtree(file.parent)
    ratio, more = service[True] / service[False], core[True] - core[False]
    print(f"service with the fleet over without (bar {SERVICE}): {ratio:.4f}")
    print(f"its cost at rest, thousandths of a core a member (bar {CORE_PERMILLE}): {more:.2f}")
    if not quick:
        pairs = [keepers(seed) for seed in (1, 2)]
        told = ", ".join(f"{follows:.3f} against {stays:.3f}" for follows, stays in pairs)
        print(f"seven of ten killed, keepers that follow the living against those that do not: {told}")
    return 0 if held and ratio >= SERVICE and more <= CORE_PERMILLE else 1


if __name__ == "__main__":
    sys.exit(main("--quick" in sys.argv))

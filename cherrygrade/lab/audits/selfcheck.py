"""Checks the audit itself: it must find no breach of a correct dispatcher, and each planted fault.

The faults are those of `broken.py`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path

from cherrygrade.lab.audits import fleetaudit
from cherrygrade.lab.audits.audit import RULES, Verdict, judge
from cherrygrade.lab.rig.run import Day, empty
from cherrygrade.lab.rig.scenario import read_scenario

MAX_CONCURRENT_RUNS = 3  # more processes at once would delay each other


def check(
    file: Path, folder: Path, ways: Sequence[int], report: Callable[[int, bool, list[Verdict]], None]
) -> bool:
    """Plays the scenario once for each of `ways` and compares the verdicts with the planted faults.

    Args:
        file: Scenario file.
        folder: Folder for the records, one subfolder for each run.
        ways: Numbers of the rules to break; 0 plays with the correct dispatcher.
        report: Called after each run with its number in `ways`, whether the verdicts are as expected, and the
            verdicts.

    Returns:
        Whether the verdicts of all runs are as expected.
    """
    scenario = read_scenario(file)

    async def run_way(way: int, slots: asyncio.Semaphore) -> bool:
        run_folder = folder / f"way-{way}"
        empty(run_folder)
        module = ["cherrygrade", "serve"] if not way else ["cherrygrade.lab.audits.broken", str(way)]
        async with slots:
            await Day(scenario, file, "", run_folder, module, lambda phase, fraction: None).play()
        verdicts, _ = judge(scenario, run_folder)
        verdicts += fleetaudit.judge(run_folder) if scenario.fleet else []
        broken = {verdict.rule for verdict in verdicts if verdict.broken}
        as_expected = way in broken if way else not broken
        report(way, as_expected, verdicts)
        return as_expected

    async def all_ways() -> bool:
        slots = asyncio.Semaphore(MAX_CONCURRENT_RUNS)
        return all(await asyncio.gather(*(run_way(way, slots) for way in ways)))

    return asyncio.run(all_ways())


def describe(way: int, as_expected: bool, verdicts: list[Verdict]) -> str:
    """Returns the text that is printed for one run: the rules found broken, and the first breach."""
    broken = ", ".join(RULES[verdict.rule] for verdict in verdicts if verdict.broken) or "nothing"
    name = f"broken in '{RULES[way]}'" if way else "sound"
    first = next((verdict.evidence[0] for verdict in verdicts if verdict.broken and verdict.rule == way), "")
    return f"{'ok  ' if as_expected else 'FAIL'} {name}: found broken: {broken}" + (
        f"\n       {first}" if first else ""
    )

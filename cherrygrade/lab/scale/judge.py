"""The fleet's promises in a scale run, judged from what passed, the process table and the receiver's record.

The rules are those of `lab/audits/fleetaudit.py`; what differs is that the ways' notes were thinned by those
who held the words back (`watch.py`), so nothing is counted in them.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from cherrygrade.fleet.membership.partition import PartitionState
from cherrygrade.lab.audits import fleetaudit
from cherrygrade.lab.audits.audit import lines
from cherrygrade.lab.audits.fleetaudit import (
    DIGEST_INTERVAL_MS,
    MAX_MASS_FAILURE_DETECTION_MS,
    MAX_RECONVERGENCE_MS,
    MAX_REPORT_DELAY_MS,
    ExpectedDigest,
    FleetHistory,
)
from cherrygrade.lab.scale import changes
from cherrygrade.lab.scale.plan import Scale, Seat, Step, seats
from cherrygrade.lab.scale.sums import NEVER, TASKS, Phase, Promise
from cherrygrade.standin.receiver import carried_out
from cherrygrade.standin.receiver import judge as one_holder
from cherrygrade.standin.ways import ENTRY

CUT = "half cut"
CUTS = {CUT, changes.MISSED}
EDGE_MS = 3000.0  # at a part's end, in which each drill is to be done


def merge(folder: Path, logs: Iterable[Path]) -> None:
    """All hosts' notes in one, in order."""
    streams = [fleetaudit.datagrams(one) for one in logs]
    with (folder / "ways.log").open("wb") as out:
        for at, source, to, lost, data in heapq.merge(*streams, key=lambda one: one[0]):
            out.write(ENTRY.pack(at, source, to, lost, len(data)) + data)


def judge(folder: Path, scale: Scale, steps: Iterable[Step], phases: dict[str, Phase]) -> list[Promise]:
    """Of the parts that were played."""
    story = fleetaudit.read(folder)
    truth, found = ExpectedDigest(story), list[Promise]()
    for step in steps:
        phase = phases.get(step.when)
        if phase is None:
            continue
        begun, what, bound = phase.begun, "all rolls equal", MAX_RECONVERGENCE_MS
        if step.kind == "kill":
            what, bound = "known to all that live", story.max_detection_ms(begun) + MAX_REPORT_DELAY_MS
        elif step.kind in ("back", "restart"):
            what += " after the last start"
            lives = [one.started_ms for number in step.on for one in story.process_runs[number]]
            begun = max((at for at in lives if at <= phase.ended), default=begun)
        elif step.kind != "heal":
            continue
        seen = last_true(story, truth, begun, phase.ended, scale.real)
        found.append(Promise(what, step.when, bound, seen, "ms"))
    for verdict in fleetaudit.judge_by(story, truth, (12, 14)):
        what = {12: "living members called dead", 14: "old lives that came back"}[verdict.rule]
        found.append(Promise(what, "", 0, verdict.broken, "members"))
    record = folder / "receiver.jsonl"
    if record.exists():
        found += leases(record, scale.drills, phases)
    notes = [facts for _, event, *facts in lines(folder / "day.jsonl") if event == "sides"]
    for when in CUTS & phases.keys():
        # A part shorter than that may end before members have detected the failures.
        if phases[when].ended - phases[when].begun < MAX_MASS_FAILURE_DETECTION_MS:
            notes = [facts for facts in notes if facts[0] != when]
    return found + sides(scale, notes)


def last_true(story: FleetHistory, truth: ExpectedDigest, after: float, ends: float, real: int) -> float:
    """Ms until the last of who lives at the part's end showed the true roll; NEVER where one did not."""
    latest, after = 0.0, after + DIGEST_INTERVAL_MS
    for number in story.living(ends - 1.0):
        took = fleetaudit.ms_to_expected_digest(story, truth, number, after)
        if after + took > ends:
            return NEVER
        if number < real:
            took = _last_wrong(story, number, after, after + took)
        latest = max(latest, took + DIGEST_INTERVAL_MS)
    return latest


def _last_wrong(story: FleetHistory, number: int, after: float, until: float) -> float:
    """Of a real member only words to hollow ones are seen: until when it was seen without the true roll."""
    seen = [page.at for page in story.by_sender[number] if page.digest and after <= page.at < until]
    return max(seen, default=after) - after


def leases(record: Path, drills: int, phases: dict[str, Phase]) -> list[Promise]:
    """Two never act for one task; and each is done at the end of each part in which the most can speak."""
    found = [
        Promise("orders that no single holder could have given", "", 0, len(one_holder(record)), "orders")
    ]
    orders = carried_out(record)
    for when, phase in phases.items():
        if when not in CUTS:
            done = {task for at, task, *_ in orders if phase.ended - EDGE_MS < at <= phase.ended}
            found.append(Promise("tasks with leases not done at its end", when, 0, drills - len(done), TASKS))
    return found


def sides(scale: Scale, notes: Iterable[list[Any]]) -> list[Promise]:
    """What members took themselves for: as `sides.py` has it for how many live on their side. Told by the
    members themselves: no word that passes tells it."""
    found, placed = [], seats(scale)
    for when, told in notes:
        wrong, most = 0, set[int]()
        for number, side in told.items():
            seat = placed[int(number)]
            wrong += side != expected(scale, placed, seat, when in CUTS).value
            if side == PartitionState.MAJORITY.value:
                most.add(seat.region if when in CUTS else 0)
        found.append(Promise("members on another side than theirs at its end", when, 0, wrong, "members"))
        if when in CUTS:
            found.append(Promise("sides among the most, beyond one", when, 0, max(0, len(most) - 1), "sides"))
    return found


def expected(scale: Scale, placed: list[Seat], seat: Seat, cut: bool) -> PartitionState:
    if not cut:
        return PartitionState.MAJORITY
    here = sum((one.region == scale.regions - 1) == (seat.region == scale.regions - 1) for one in placed)
    return PartitionState.MAJORITY if 2 * here > scale.dispatchers else PartitionState.MINORITY

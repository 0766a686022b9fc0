"""Changes of the configuration in a scale run: which parts there are, when each is put, what came of them.

Free of I/O and clock: what hosts and logs noted in, the report's entries out. Times are ms of the machine's
one clock.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from cherrygrade.lab.scale.plan import Scale, Step, seats
from cherrygrade.lab.scale.rows import Row
from cherrygrade.lab.scale.sums import NEVER, Phase, Promise, part_of

CONFIGURED, CHANGES, KILLED = "rest, configured", "changes", "changes, leader killed"
MISSED, HEALED = "half cut, changes put", "heal, changes missed"
KINDS = {"changes", "changes killed", "missed"}  # of steps in which changes are put
TAIL_MS = 6000.0  # of a part, after its last put
CALM_MS = 16_000.0  # after a change, until nothing more is said because of it
KILL_FIRST, KILL_EVERY, KILL_BACK_MS = 2, 6, 4000.0  # puts before the leader is killed; until it is back
WORST_MS, P99_MS, HEAL_MS, AT_REST = 6000.0, 3000.0, 6000.0, 5.0
"""Goals: of a change, from its agreement to the last in force; of a heal; per cent of the layer's bytes."""


@dataclass(frozen=True, slots=True)
class Put:
    """One change: asked for, and agreed as its asker heard; `agreed` NEVER: it was not. `but`: who was dead
    or cut off from the council then."""

    part: str
    begun: float
    agreed: float
    number: int = 0
    mark: str = ""
    but: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Gap:
    """A member that was killed, and began anew."""

    member: int
    killed: float
    back: float


@dataclass(slots=True)
class Story:
    """What a run came to. `agreed`: each version's mark as the council told it; `states`: by part, what
    hollow members told of themselves at its two ends."""

    puts: list[Put] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    agreed: dict[int, str] = field(default_factory=dict)
    states: dict[str, list[dict[str, dict[str, Any]]]] = field(default_factory=dict)


# The plan.


def count(scale: Scale, for_ms: float) -> int:
    """Changes that a part of this length has, the last one TAIL_MS before its end."""
    return int(max(0.0, for_ms - TAIL_MS) // scale.change_every_ms)


def steps(scale: Scale, quick: bool) -> list[Step]:
    """Those that the scenario has; none where there is no council."""
    if not scale.voters:
        return []
    spans = scale.quick if quick else scale.spans
    half = tuple(seat.number for seat in seats(scale) if seat.region == scale.regions - 1)
    pace = f"one each {scale.change_every_ms / 1000.0:g} s"

    def note(for_ms: float) -> str:
        return f"{count(scale, for_ms)} changes, {pace}"

    found = [
        Step(CONFIGURED, "configured", (), spans.configured),
        Step(CHANGES, "changes", (), spans.changes, note(spans.changes)),
        Step(KILLED, "changes killed", (), spans.changes_killed, note(spans.changes_killed)),
        Step(MISSED, "missed", half, spans.missed, note(spans.missed)),
        Step(HEALED, "heal", half, spans.missed_heal if spans.missed > 0.0 else 0.0),
    ]
    return [step for step in found if step.for_ms > 0.0]


def kills(index: int) -> bool:
    """Whether the leader is killed behind a part's put of this index."""
    return index % KILL_EVERY == KILL_FIRST


def text(number: int) -> str:
    """The record text of a run's change of this number: each differs from the one before in one limit."""
    return f"volumes: open: plan: {{limit_rate: {1000 + number}, limit_depth: 100}}\n"


# What it came to.


@dataclass(frozen=True, slots=True)
class Came:
    """One change: ms to the last member that had it, or a later one, in force; NEVER where one never did.
    `passed_over`: members that never were on it, only on a later one."""

    put: Put
    last: float
    last_of_begun: float
    each: tuple[float, ...]
    passed_over: int

    def told(self) -> dict[str, Any]:
        return {
            "part": self.put.part,
            "number": self.put.number,
            "agreed_ms": _ms(self.put.agreed - self.put.begun),
            "last_ms": _ms(self.last),
            "last_of_begun_ms": _ms(self.last_of_begun),
            "members": len(self.each),
            "passed_over": self.passed_over,
        }


def _ms(value: float) -> float | str:
    return round(value, 1) if value < NEVER / 2.0 else "not within the run"


def came(story: Story, members: int) -> list[Came]:
    """Of each change that was agreed. A member that was killed before it had it is left out of that one, and
    so is one that was dead or cut off as it was put."""
    by_member: dict[int, list[Row]] = defaultdict(list)
    for row in sorted(story.rows, key=lambda one: one.at):
        by_member[row.member].append(row)
    gaps: dict[int, list[Gap]] = defaultdict(list)
    for gap in story.gaps:
        gaps[gap.member].append(gap)
    found = []
    for put in story.puts:
        if put.agreed >= NEVER:
            continue
        each, passed = [], 0
        for member in range(members):
            if member in put.but:
                continue
            rows = [row for row in by_member[member] if row.at >= put.begun and row.stage // 2 >= put.number]
            at = rows[0].at if rows else NEVER
            if any(gap.killed < at and gap.back > put.begun for gap in gaps[member]):
                continue
            each.append(max(0.0, at - put.agreed) if rows else NEVER)
            passed += bool(rows) and all(row.stage // 2 != put.number for row in rows)
        last = max(each, default=NEVER)
        begun = last + put.agreed - put.begun if last < NEVER else NEVER
        found.append(Came(put, last, begun, tuple(each), passed))
    return found


def strange(story: Story) -> list[Row]:
    """Rows of versions that the council did not agree on."""
    return [row for row in story.rows if row.stage and story.agreed.get(row.stage // 2) != row.mark]


def gone_back(story: Story) -> list[Row]:
    """Rows of a lower stage than the same life of that member had before."""
    highest: dict[tuple[int, int], int] = {}
    found = []
    for row in sorted(story.rows, key=lambda one: one.at):
        key = (row.member, row.life)
        if row.stage < highest.get(key, 0):
            found.append(row)
        highest[key] = max(row.stage, highest.get(key, 0))
    return found


def healed(story: Story, phase: Phase, members: int) -> float:
    """Ms from a heal until the newest version was in force at the last that lived through it."""
    newest = max((put.number for put in story.puts if put.begun < phase.begun), default=0)
    dead = {gap.member for gap in story.gaps if gap.back > phase.begun}
    first: dict[int, float] = {}
    for row in sorted(story.rows, key=lambda one: one.at):
        if row.stage // 2 >= newest and row.at <= phase.ended:
            first.setdefault(row.member, row.at)
    wanted = [member for member in range(members) if member not in dead]
    if any(member not in first for member in wanted):
        return NEVER
    return max((max(0.0, first[member] - phase.begun) for member in wanted), default=NEVER)


def promises(story: Story, phases: Mapping[str, Phase], members: int) -> list[Promise]:
    """Of the parts that were played."""
    found = []
    all_came = came(story, members)
    for part in (CHANGES, KILLED):
        if part not in phases:
            continue
        lasts = sorted(one.last for one in all_came if one.put.part == part)
        found += [
            Promise("from agreement to the last in force, worst", part, WORST_MS, _worst(lasts), "ms"),
            Promise("from agreement to the last in force, p99", part, P99_MS, _p99(lasts), "ms"),
        ]
    if HEALED in phases:
        took = healed(story, phases[HEALED], members)
        found.append(Promise("the newest version in force at all", HEALED, HEAL_MS, took, "ms"))
    if story.puts:
        lost = sum(put.agreed >= NEVER for put in story.puts)
        wrong = {row.member for row in strange(story)}
        back = {row.member for row in gone_back(story)}
        found += [
            Promise("changes that were not agreed", "", 0, lost, "changes"),
            Promise("members on a version that the council had not agreed on", "", 0, len(wrong), "members"),
            Promise("members whose stage went back", "", 0, len(back), "members"),
        ]
    return found


def _worst(lasts: Sequence[float]) -> float:
    return lasts[-1] if lasts else NEVER


def _p99(lasts: Sequence[float]) -> float:
    return part_of(lasts, 0.99) if lasts else NEVER


def told(story: Story, phases: Iterable[Phase], late: Mapping[str, Any], members: int) -> dict[str, Any]:
    """The report's `configuration`: by part of the run in which changes were put."""
    all_came, found = came(story, members), {}
    for phase in phases:
        mine = [one for one in all_came if one.put.part == phase.when]
        if not mine:
            continue
        part: dict[str, Any] = {
            "measured": late[phase.when]["measured"],
            "changes": len(mine),
            "agreed": _three([one.put.agreed - one.put.begun for one in mine]),
            "last_of_agreed": _three([one.last for one in mine]),
            "last_of_begun": _three([one.last_of_begun for one in mine]),
            "all_members": _three([value for one in mine for value in one.each]),
            "changes_passed_over": sum(one.passed_over > 0 for one in mine),
            "members_passed_over": sum(one.passed_over for one in mine),
            "leader_killed": sum(phase.begun <= gap.killed <= phase.ended for gap in story.gaps),
        }
        states = story.states.get(phase.when, [])
        if len(states) == 2:
            part |= spent(states[0], states[1], len(mine))
        found[phase.when] = part
    return found


def _three(values: Sequence[float]) -> dict[str, Any]:
    ordered = sorted(values)
    return {
        "median_ms": _ms(part_of(ordered, 0.5)),
        "p99_ms": _ms(part_of(ordered, 0.99)),
        "worst_ms": _ms(ordered[-1]),
    }


SPENT = {
    "asked_voters": "asks that voters got from hollow members, a change",
    "asked_members": "asks that other members got from hollow members, a change",
    "fetched_bytes": "content bytes fetched by a hollow member, a change",
    "given_bytes": "content bytes given by a hollow member, a change",
}


def spent(
    before: Mapping[str, Mapping[str, Any]], after: Mapping[str, Mapping[str, Any]], changes: int
) -> dict[str, Any]:
    """What hollow members counted between a part's ends: by change of all together for asks; by change and
    member (mean, most) for bytes."""
    found: dict[str, Any] = {}
    for what, name in SPENT.items():
        moved = [one[what] - before[number][what] for number, one in after.items() if number in before]
        if not moved or min(moved) < 0:  # another life
            continue
        if what.startswith("asked"):
            found[name] = round(sum(moved) / changes, 2)
        else:
            found[name] = [round(sum(moved) / len(moved) / changes, 1), round(max(moved) / changes, 1)]
    return found


def at_rest(report: Mapping[str, Any]) -> Promise | None:
    """What members sent at rest on a version, over none; None where either part was not measured."""
    sent = {
        one["when"]: one["mean"]
        for one in report["figures"]
        if one["role"] == "dispatcher control" and one["what"] == "bytes sent"
    }
    none, on = sent.get("rest"), sent.get(CONFIGURED)
    if not none or on is None:
        return None
    what = "bytes sent on a version over bytes sent on none, more by"
    return Promise(what, CONFIGURED, AT_REST, 100.0 * (on / none - 1.0), "%")


def show(report: Mapping[str, Any]) -> None:
    """For a person."""
    for when, one in report.get("configuration", {}).items():
        last = one["last_of_agreed"]
        print(
            f"  {when}: {one['changes']} changes; from agreement to the last in force: median "
            f"{last['median_ms']} ms, p99 {last['p99_ms']}, worst {last['worst_ms']}"
        )

"""A scale run's report: one JSON object, small, as `docs/scale-run.md` describes it."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Protocol

import psutil

from cherrygrade.lab.scale import changes, sums
from cherrygrade.lab.scale.plan import Need, Scale, Step, need
from cherrygrade.lab.scale.sums import Figure, HostResult, Part, Phase, Promise, Seen

MIB = 1024 * 1024


class Named(Protocol):
    name: str


class Run(Protocol):
    """What a run came to, as far as it is reported; by moment, member or process where it is a dict."""

    scale: Scale
    steps: list[Step]
    phases: dict[str, Phase]
    asked: dict[str, dict[str, dict[str, Any]]]
    facts: dict[str, Any]
    seen: dict[str, list[Seen]]
    most: Need
    cut_short: str

    @property
    def bare(self) -> Sequence[Named]:
        """Processes of dispatchers without a fleet."""


def made(
    run: Run,
    command: str,
    commit: str,
    results: list[HostResult],
    late: dict[str, Any],
    promises: list[Promise],
) -> dict[str, Any]:
    scale = run.scale
    figures: list[Figure] = []
    played = [phase for phase in run.phases.values() if late["parts"][phase.when]["measured"] is True]
    for phase in played:
        if phase.when == "back":
            continue
        figures += sums.members(results, phase)
        figures += council(run, phase)
    rest, loaded = run.phases.get("rest"), run.phases.get(sums.LOADED)
    if rest in played and rest is not None:
        figures += at_rest(run, rest)
    if loaded in played and loaded is not None:
        figures += under_load(run, loaded)
    judged = sums.judged(promises, late)
    missed = [step.when for step in run.steps if step.when not in run.phases]
    notes = {step.when: step.note for step in run.steps if step.note}
    notes |= {when: "not run" for when in missed}
    whole = sums.measured(late)
    if missed:
        why = f"not run: {', '.join(missed)}" + (f" ({run.cut_short})" if run.cut_short else "")
        whole = why if whole is True else f"{whole}; {why}"
    return {
        "command": command,
        "commit": commit,
        "seed": scale.seed,
        "size": {
            "dispatchers": scale.dispatchers,
            "real": scale.real,
            "nodes": scale.nodes,
            "processes": run.most.processes,
        },
        "machine": {"cores": psutil.cpu_count(), "memory_mb": psutil.virtual_memory().total // MIB},
        "taken": {"memory_mb": round(run.most.memory_mb), "reckoned_mb": round(need(scale).memory_mb)},
        "measured": whole,
        "lateness": late,
        "parts": notes,
        "hollow_against_real": compared(run, results, rest) if rest in played else "not measured",
        "load": run.facts.get("load", {}),
        "figures": [one.told() for one in figures],
        "promises": [one.told() for one in promises if one in judged],
        "promises_not_measured": [one.told() for one in promises if one not in judged],
    }


def write(report: dict[str, Any], file: Path) -> None:
    file.parent.mkdir(parents=True, exist_ok=True)
    lines = []
    for key, value in report.items():
        if isinstance(value, list):
            rows = ",\n".join("  " + json.dumps(one) for one in value)
            lines.append(f' "{key}": [\n{rows}\n ]')
        else:
            lines.append(f' "{key}": {json.dumps(value)}')
    file.write_text("{\n" + ",\n".join(lines) + "\n}\n")


def _between(run: Run, when: str, number: str) -> tuple[dict[str, Any], dict[str, Any], float] | None:
    """What a real member said at a part's two ends, and the seconds between."""
    first = run.asked.get(f"{when} begins", {}).get(number)
    last = run.asked.get(f"{when} ends", {}).get(number)
    if first is None or last is None or last["at"] <= first["at"]:
        return None
    if last["counts"]["sent"] < first["counts"]["sent"]:  # another life of it
        return None
    return first, last, (last["at"] - first["at"]) / 1000.0


def _leader(run: Run, when: str) -> str:
    return leader(run.asked.get(f"{when} ends", {}), run.scale.voters)


def leader(told: dict[str, dict[str, Any]], voters: int) -> str:
    """Its number, as most voters name it; who does not vote may not have asked anybody yet. "" for none."""
    words = [told[str(number)]["council"] for number in range(voters) if str(number) in told]
    named = [word["leader"] for word in words if word and word["leader"]]
    return max(sorted({*named}), key=named.count).removeprefix("d") if named else ""


def council(run: Run, phase: Phase) -> list[Figure]:
    """Of voters and of their leader: what the system counts, and the words that they sent as such."""
    found: list[Figure] = []
    leads = _leader(run, phase.when)
    voters = [str(number) for number in range(run.scale.voters)]
    for role, names in (
        ("council leader", [one for one in voters if one == leads]),
        ("council voter", [one for one in voters if one != leads]),
    ):
        seen = [run.seen.get(f"dispatcher-{name}", []) for name in names]
        found += sums.processes(role, seen, phase, disk=True)
        said = []
        for name in names:
            between = _between(run, phase.when, name)
            if between is not None and between[0].get("council") and between[1].get("council"):
                first, last, took = between
                said.append((last["council"]["said_bytes"] - first["council"]["said_bytes"]) / took)
        if said:
            low, high, mean = min(said), max(said), sum(said) / len(said)
            # Asked at the part's ends only: its worst second is not known.
            found.append(Figure(role, "bytes sent", "B/s", phase.when, mean, mean, (low, high)))
    return found


def _even(role: str, what: str, unit: str, values: list[float], when: str = "rest") -> Figure:
    mean = sum(values) / len(values) if values else 0.0
    low, high = (min(values), max(values)) if values else (0.0, 0.0)
    return Figure(role, what, unit, when, mean, high, (low, high))


def at_rest(run: Run, phase: Phase) -> list[Figure]:
    """Of roles that have their state at rest, without clients."""
    scale, facts = run.scale, run.facts
    sockets: dict[str, int] = facts.get("rest sockets", {})
    found = [_even("dispatcher control", "state entries", "members", [float(n) for n in facts["entries"]])]
    idle = [f"dispatcher-{number}" for number in range(scale.voters, scale.real)]
    found += sums.processes("dispatcher idle", [run.seen.get(name, []) for name in idle], phase)
    found += sums.processes(
        "dispatcher without fleet", [run.seen.get(one.name, []) for one in run.bare], phase
    )
    found += sums.processes("register", [run.seen.get("register", [])], phase)
    found.append(_even("register", "state entries", "nodes", [float(scale.nodes)]))
    found.append(_even("register", "connections", "connections", [float(sockets.get("register", 0))]))
    leads = _leader(run, "rest")
    voters = [str(number) for number in range(scale.voters)]
    asked = run.asked.get("rest ends", {})
    for role, names in (
        ("council voter", [name for name in voters if name != leads]),
        ("council leader", [name for name in voters if name == leads]),
    ):
        names = [name for name in names if name in asked]
        if names:
            counts = [float(sockets.get(f"dispatcher-{name}", 0)) for name in names]
            found.append(_even(role, "connections", "connections", counts))
            held = [float(len(asked[name]["council"]["leases"])) for name in names]
            found.append(_even(role, "state entries", "leases", held))
    return found


def under_load(run: Run, phase: Phase) -> list[Figure]:
    """Of those that clients come to, and of nodes as they load them."""
    scale, facts, when = run.scale, run.facts, phase.when
    sockets: dict[str, int] = facts.get("loaded sockets", {})
    first = scale.real - min(scale.loaded, scale.real)
    names = [f"dispatcher-{number}" for number in range(first, scale.real)]
    found = sums.processes("dispatcher serving", [run.seen.get(name, []) for name in names], phase)
    counts = [float(sockets.get(name, 0)) for name in names]
    found.append(_even("dispatcher serving", "connections", "connections", counts, when))
    connections = [float(one) for one in facts.get("node_connections", [])]
    found.append(_even("storage node", "connections", "connections", connections, when))
    took = (phase.ended - phase.begun) / 1000.0
    received = [one / took for one in facts.get("node_received", [])]
    found.append(_even("storage node", "messages received", "messages/s", received, when))
    return found


def compared(run: Run, results: list[HostResult], phase: Phase | None) -> Any:
    """Hollow members against real ones that do not vote, over the rest: the same part."""
    scale = run.scale
    if phase is None:
        return "not run"
    idle = [str(number) for number in range(scale.voters, scale.real)]
    parts = [found for name in idle if (found := _between(run, "rest", name)) is not None]
    hollow = {one.what: one for one in sums.members(results, phase) if one.role == "dispatcher control"}
    if not parts or not hollow:
        return "not run: no real member of the same part"
    plain = sums.datagrams(results, phase)

    def rate(what: str) -> float:
        rates = [(last["counts"][what] - first["counts"][what]) / took for first, last, took in parts]
        return float(sum(rates) / len(rates))

    def system(names: list[str], what: str) -> float:
        seen = [run.seen.get(name, []) for name in names]
        return next((one.mean for one in sums.processes("", seen, phase) if one.what == what), 0.0)

    bare = [child.name for child in run.bare]
    names = [f"dispatcher-{name}" for name in idle]
    real = Part(
        rate("sent"), rate("sent_bytes"), rate("got"), rate("got_bytes"),
        system(names, "cpu"), system(names, "memory"),
    )  # fmt: skip
    one = Part(*plain, hollow["cpu"].mean, hollow["memory"].mean)
    return {
        "hollow": scale.hollow,
        "real": len(parts),
        "bare": len(bare),
        "rows": sums.against(one, real, system(bare, "cpu"), system(bare, "memory")),
    }


def show(report: dict[str, Any]) -> int:
    """For a person; gives the exit code."""
    size, held = report["size"], True
    print(
        f"{size['dispatchers']} dispatchers, {size['real']} of them real, {size['nodes']} nodes, "
        f"{size['processes']} processes, {report['taken']['memory_mb']} MiB"
    )
    for when, one in report["lateness"]["parts"].items():
        mark = "measured" if one["measured"] is True else f"NOT MEASURED: {one['measured']}"
        print(
            f"  {when}: late {one['p99_ms']} ms (99 in 100), {one['worst_ms']} at most; "
            f"disk {one['disk_worst_ms']}; cores taken {one['machine']:.2f}, by this run {one['ours']:.2f}; "
            f"fullest host {one['busiest_host']:.2f}: {mark}"
        )
    for one in report["figures"]:
        if one["role"] == "dispatcher control" and one["what"] in ("bytes sent", "messages sent", "cpu"):
            low, high = one["spread"]
            print(
                f"  {one['when']}: {one['what']} {one['mean']} {one['unit']}, "
                f"worst second {one['worst_second']}, members {low} to {high}"
            )
    against = report["hollow_against_real"]
    if isinstance(against, dict):
        for one in against["rows"]:
            print(f"  hollow over real: {one['what']} {one['hollow']} / {one['real']} = {one['factor']}")
    for one in report["promises"]:
        held = held and one["held"]
        mark = "held" if one["held"] else "BROKEN"
        print(f"  {mark}: {one['what']}: {one['seen']} (bound {one['bound']:.0f} {one['unit']})")
    for one in report["promises_not_measured"]:
        print(f"  not measured: {one['what']}: {one['seen']} (bound {one['bound']:.0f} {one['unit']})")
    changes.show(report)
    if not held:
        return 1
    return 0 if report["measured"] is True else 3

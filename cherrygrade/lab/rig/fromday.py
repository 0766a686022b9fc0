"""Turns a bench day into a scenario for the real dispatcher, scaled to one machine.

A bench day names its troubles, its workloads and plans, and how full its nodes are; the kind, order, share
and relative size of them move over. What cannot is named, never dropped silently.
Day files use the bench's own words; they are known here only.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any

MOST_NODES, MOST_DISPATCHERS, MOST_MS = 6, 3, 24_000.0
UNIT_MS, CORES, UNIT_BYTES = 5.0, 2, 4096
MOST_REPEATS = 12  # of a trouble that comes again and again
LEAST_MS, MOST_UNITS = 40.0, 16.0
EFFECTS = {"safe": "idempotent", "keyed": "tokened", "unsafe": "non-idempotent"}

Change = dict[str, Any]


class _Day:
    """The day file with its sizes scaled: `part` of its time, of its nodes, of its dispatchers."""

    def __init__(self, day: dict[str, Any]) -> None:
        self.day = day
        self.servers, self.hosts = len(day["servers"]), len(day["balancers"])
        self.nodes = max(2, min(MOST_NODES, self.servers))
        self.dispatchers = max(1, min(MOST_DISPATCHERS, self.hosts))
        length = float(day["length"]) / 1000.0
        self.pace = min(1.0, MOST_MS / length)
        self.length_ms = length * self.pace
        self.classes: list[dict[str, Any]] = day["classes"]
        self.tenants: list[dict[str, Any]] = day["tenants"]
        self.lacking: list[str] = []

    def ms(self, micros: float) -> float:
        """A time of the day, at the scenario's pace."""
        return round(micros / 1000.0 * self.pace, 1)

    def some_of(self, on: list[int], there: int, here: int) -> list[int]:
        """As large a part of ours as these were of theirs, at least one where there was one."""
        if not on:
            return []
        count = max(1, min(here, round(len(on) / there * here)))
        first = on[0] % here
        return sorted((first + step) % here for step in range(count))


def _plain(
    kind: str, sized: Callable[[Change], float] = lambda trouble: 1.0
) -> Callable[[_Day, Change], list[Change]]:
    def carry(day: _Day, trouble: Change) -> list[Change]:
        on = day.some_of(trouble["on"], day.servers, day.nodes)
        lasts = max(LEAST_MS, day.ms(trouble["len"]))
        return [
            {"at_ms": day.ms(trouble["at"]), "for_ms": lasts, "kind": kind, "on": on, "size": sized(trouble)}
        ]

    return carry


def _again(kind: str, dispatchers: bool) -> Callable[[_Day, Change], list[Change]]:
    """Comes each `extra` seconds or so, `size` ms long: those times are real ones and keep their length."""

    def carry(day: _Day, trouble: Change) -> list[Change]:
        there, here = (day.hosts, day.dispatchers) if dispatchers else (day.servers, day.nodes)
        on = day.some_of(trouble["on"], there, here)
        begin, length = day.ms(trouble["at"]), day.ms(trouble["len"])
        gap = max(trouble["extra"] * 1000.0, trouble["size"] + 200.0)
        count = max(1, min(MOST_REPEATS, int(length / gap)))
        return [
            {"at_ms": round(begin + gap * turn, 1), "for_ms": trouble["size"], "kind": kind, "on": on}
            for turn in range(count)
        ]

    return carry


def _streams(kind: str, chosen: str) -> Callable[[_Day, Change], list[Change]]:
    """A trouble of traffic: of all streams, of one workload's, or of one plan's."""

    def carry(day: _Day, trouble: Change) -> list[Change]:
        width, which = len(day.tenants), trouble["which"]
        on: list[int] = []
        if chosen == "plan":
            on = [index * width + which % width for index in range(len(day.classes))]
        elif chosen == "workload":
            first = which % len(day.classes) * width
            on = list(range(first, first + width))
        size = min(trouble["size"], MOST_UNITS) if kind == "heavy" else trouble["size"]
        return [
            {
                "at_ms": day.ms(trouble["at"]),
                "for_ms": max(LEAST_MS, day.ms(trouble["len"])),
                "kind": kind,
                "on": on,
                "size": size,
            }
        ]

    return carry


def _steps(day: _Day, trouble: Change) -> list[Change]:
    """Nodes that are told to go, one after another, each with another in its place."""
    return [
        {"at_ms": day.ms(step["at"]), "kind": "move", "on": day.some_of(step["stop"], day.servers, day.nodes)}
        for step in trouble["steps"]
        if step["stop"]
    ]


CARRIED: dict[str, Callable[[_Day, Change], list[Change]]] = {
    "crash": _plain("crash"),
    "mass_restart": _plain("crash"),
    "vanish": _plain("silent"),
    "fast_errors": _plain("errors", lambda trouble: trouble["size"]),
    "report_late": _plain("untold"),
    "slow": _plain("slow", lambda trouble: max(1.0, trouble["size"])),
    "neighbour": _plain("slow", lambda trouble: 1.0 / max(0.1, 1.0 - trouble["size"])),
    "discovery_stale": _plain("lag", lambda trouble: 1000.0 * trouble["size"]),
    "pauses": _again("still", dispatchers=False),
    "balancer_stall": _again("stop", dispatchers=True),
    "burst": _streams("surge", "all"),
    "tenant_burst": _streams("surge", "plan"),
    "heavy_tail": _streams("heavy", "workload"),
    "hot_key": _streams("hot", "all"),
    "preempt": _steps,
}


def convert_day(day: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """A scenario's record, and what of the day could not be carried over. ValueError: no day file."""
    try:
        return _convert(_Day(day))
    except (KeyError, TypeError, IndexError) as trouble:
        raise ValueError(f"not a day file: {type(trouble).__name__} {trouble}") from trouble


def _convert(day: _Day) -> tuple[dict[str, Any], list[str]]:
    source = day.day
    troubles: list[Change] = []
    for trouble in source["troubles"]:
        carry = CARRIED.get(trouble["kind"])
        if carry is None:
            day.lacking.append(f"trouble '{trouble['kind']}': the stand-ins have nothing like it")
            continue
        made = [one for one in carry(day, trouble) if one["at_ms"] < day.length_ms]
        if not made:
            day.lacking.append(f"trouble '{trouble['kind']}': nothing of it falls within the scaled day")
        troubles += made
    troubles.sort(key=lambda one: float(one["at_ms"]))
    least = min(one["work"] for one in day.classes)
    units = {one["name"]: min(MOST_UNITS, max(1.0, round(one["work"] / least))) for one in day.classes}
    share = sum(one["share"] for one in day.classes) or 1.0
    mean = sum(one["share"] * units[one["name"]] for one in day.classes) / share
    rate = source["traffic"]["load"] * 0.9 * day.nodes * CORES / UNIT_MS * 1000.0 / mean
    plans = source["fam"]["plans"]
    dues = sum(one.get("traffic", one["share"]) for one in day.tenants) or 1.0
    traffic, workloads, volumes = [], {}, {}
    for one in day.classes:
        workloads[one["name"]] = {
            "soft_ms": one["aim"] / 1000.0,
            "deadline_ms": one["deadline"] / 1000.0,
            "value": one["worth"],
            "late_part": one["late_worth"],
            "effect": EFFECTS.get(one["effect"], "non-idempotent"),
            "group": "cell" if one["effect"] == "keyed" else "all",
            "writes": one["write"],
            "token_ms": one["window"] / 1000.0 if one["effect"] == "keyed" else 0,
        }
        for tenant in day.tenants:
            part = one["share"] / share * tenant.get("traffic", tenant["share"]) / dues
            verb = "read" if not one["write"] else ("new" if one["effect"] == "safe" else "append")
            traffic.append(
                {
                    "workload": one["name"],
                    "verb": verb,
                    "volumes": [f"volume-{tenant['name']}"],
                    "per_s": round(rate * part, 3),
                    "length": int(units[one["name"]] * UNIT_BYTES),
                    "keys": 12,
                    "honour": source["clients"]["honour"],
                    "retries": math.ceil(source["clients"]["retries"]),
                }
            )
    per_unit = rate * mean / max(1e-9, sum(plan["rate"] for plan in plans))
    for tenant, plan in zip(day.tenants, plans, strict=False):
        scaled = {
            name: round(plan[old] * per_unit, 3)
            for name, old in (
                ("usual_rate", "rate"),
                ("reserve_rate", "reserve"),
                ("limit_rate", "limit"),
                ("limit_depth", "limit_burst"),
                ("limit_slack", "slack"),
            )
        }
        volumes[f"volume-{tenant['name']}"] = {
            "plan": {"name": tenant["name"], "weight": plan["weight"], "price": plan["price"], **scaled},
            "hosts": day.dispatchers,
        }
    if day.pace < 1.0:
        day.lacking.append(f"the day's length: at {day.pace:.2f} of its pace; pauses and stalls keep theirs")
    if (day.servers, day.hosts) != (day.nodes, day.dispatchers):
        day.lacking.append(
            f"its size: {day.nodes} of {day.servers} nodes, {day.dispatchers} of {day.hosts} "
            f"dispatchers, by the same parts"
        )
    day.lacking.append("the network's delays, and the spread of work within a workload but for heavy RPCs")
    cold = {"units": 30, "share": 0.3, "multiple": 3, "span_ms": 1000, "warm_ms": 4000}
    build = {
        "cores": CORES,
        "unit_ms": UNIT_MS,
        "cold_share": 0.3,
        "warm_ms": 4000,
        "fall_span_ms": 1000,
        "fall_units": 30,
    }
    return {
        "name": f"{source['site']} {source['kind']}",
        "seed": source["noise"] % 100_000,
        "length_ms": round(day.length_ms, 1),
        "dispatchers": day.dispatchers,
        "loaders": 2,
        "lag_ms": day.ms(source["discovery"]["add"]),
        "grace_ms": source["drain_grace"] / 1000.0,
        "nodes": [
            {"zone": f"z{index % max(1, len(source['zones']))}", "build": build} for index in range(day.nodes)
        ],
        "traffic": traffic,
        "troubles": troubles,
        "site": {
            "workloads": workloads,
            "volumes": volumes,
            "cold": cold,
            "earnings": {"in_share": 0.5, "beyond": 0.1, "largest_units": max(units.values())},
            "permits": {
                "most_sends": source["allow"]["max_attempts"],
                "come_back_ms": source["clients"]["max_retry_after"] / 1000.0,
            },
            "bounds": {"answer_ms": 60},
        },
    }, day.lacking


def text_of(record: dict[str, Any], lacking: list[str]) -> str:
    """The record's text; JSON is within what records can say."""
    notes = "".join(f"// Not carried over: {one}\n" for one in lacking)
    return f"{notes}{json.dumps(record, indent=1)[1:-1].strip()}\n"

"""Converts a day file of the bench into a scenario for real dispatchers, scaled to one machine.

A day file describes faults, workloads, service plans and the load of the nodes. Kind, order, share and
relative size of these are kept. Whatever can't be converted is listed in the result. Only this module knows
the keys of day files.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any

MAX_NODES, MAX_DISPATCHERS, MAX_LENGTH_MS = 6, 3, 24_000.0  # size of a scenario that one machine can run
UNIT_MS, CORES, UNIT_BYTES = 5.0, 2, 4096  # of a node: time per unit of work, cores, bytes per unit of work
MAX_REPEATS = 12  # of a repeated fault
MIN_DURATION_MS, MAX_UNITS = 40.0, 16.0  # shortest fault; largest request
EFFECTS = {"safe": "idempotent", "keyed": "tokened", "unsafe": "non-idempotent"}

Change = dict[str, Any]
"""One fault or change of load, as day files and scenarios describe it."""


class _Day:
    """A day file, with the sizes of the scenario that it becomes.

    Attributes:
        day: The file's content.
        servers: Number of nodes in the file.
        hosts: Number of dispatchers in the file.
        nodes: Number of nodes in the scenario.
        dispatchers: Number of dispatchers in the scenario.
        pace: Duration of the scenario as a part of the day's, at most 1.
        length_ms: Duration of the scenario, ms.
        classes: Workloads in the file.
        tenants: Tenants in the file.
        lacking: Descriptions of what can't be converted.
    """

    def __init__(self, day: dict[str, Any]) -> None:
        self.day = day
        self.servers, self.hosts = len(day["servers"]), len(day["balancers"])
        self.nodes = max(2, min(MAX_NODES, self.servers))
        self.dispatchers = max(1, min(MAX_DISPATCHERS, self.hosts))
        length = float(day["length"]) / 1000.0
        self.pace = min(1.0, MAX_LENGTH_MS / length)
        self.length_ms = length * self.pace
        self.classes: list[dict[str, Any]] = day["classes"]
        self.tenants: list[dict[str, Any]] = day["tenants"]
        self.lacking: list[str] = []

    def ms(self, micros: float) -> float:
        """Returns a time of the day file (microseconds) as a time of the scenario (ms)."""
        return round(micros / 1000.0 * self.pace, 1)

    def select_scaled(self, on: list[int], there: int, here: int) -> list[int]:
        """Selects the same fraction of `here` items as `on` is of `there`, at least one if `on` has any."""
        if not on:
            return []
        count = max(1, min(here, round(len(on) / there * here)))
        first = on[0] % here
        return sorted((first + step) % here for step in range(count))


def _node_fault(
    kind: str, sized: Callable[[Change], float] = lambda trouble: 1.0
) -> Callable[[_Day, Change], list[Change]]:
    """Returns a converter for a single fault of nodes or the registry; `sized` gives the fault's size."""

    def convert(day: _Day, trouble: Change) -> list[Change]:
        on = day.select_scaled(trouble["on"], day.servers, day.nodes)
        duration_ms = max(MIN_DURATION_MS, day.ms(trouble["len"]))
        return [
            {
                "at_ms": day.ms(trouble["at"]),
                "for_ms": duration_ms,
                "kind": kind,
                "on": on,
                "size": sized(trouble),
            }
        ]

    return convert


def _repeated_fault(kind: str, dispatchers: bool) -> Callable[[_Day, Change], list[Change]]:
    """Returns a converter for a fault that repeats every `extra` s and lasts `size` ms, both unscaled."""

    def convert(day: _Day, trouble: Change) -> list[Change]:
        there, here = (day.hosts, day.dispatchers) if dispatchers else (day.servers, day.nodes)
        on = day.select_scaled(trouble["on"], there, here)
        begin, length = day.ms(trouble["at"]), day.ms(trouble["len"])
        gap = max(trouble["extra"] * 1000.0, trouble["size"] + 200.0)
        count = max(1, min(MAX_REPEATS, int(length / gap)))
        return [
            {"at_ms": round(begin + gap * repeat, 1), "for_ms": trouble["size"], "kind": kind, "on": on}
            for repeat in range(count)
        ]

    return convert


def _load_change(kind: str, scope: str) -> Callable[[_Day, Change], list[Change]]:
    """Returns a converter for a change of load: of all streams, or of those of one workload or plan."""

    def convert(day: _Day, trouble: Change) -> list[Change]:
        width, which = len(day.tenants), trouble["which"]
        on: list[int] = []
        if scope == "plan":
            on = [index * width + which % width for index in range(len(day.classes))]
        elif scope == "workload":
            first = which % len(day.classes) * width
            on = list(range(first, first + width))
        size = min(trouble["size"], MAX_UNITS) if kind == "heavy" else trouble["size"]
        return [
            {
                "at_ms": day.ms(trouble["at"]),
                "for_ms": max(MIN_DURATION_MS, day.ms(trouble["len"])),
                "kind": kind,
                "on": on,
                "size": size,
            }
        ]

    return convert


def _replacements(day: _Day, trouble: Change) -> list[Change]:
    """Converts a sequence of nodes that are drained and replaced, one step after another."""
    return [
        {
            "at_ms": day.ms(step["at"]),
            "kind": "move",
            "on": day.select_scaled(step["stop"], day.servers, day.nodes),
        }
        for step in trouble["steps"]
        if step["stop"]
    ]


CARRIED: dict[str, Callable[[_Day, Change], list[Change]]] = {
    "crash": _node_fault("crash"),
    "mass_restart": _node_fault("crash"),
    "vanish": _node_fault("silent"),
    "fast_errors": _node_fault("errors", lambda trouble: trouble["size"]),
    "report_late": _node_fault("untold"),
    "slow": _node_fault("slow", lambda trouble: max(1.0, trouble["size"])),
    "neighbour": _node_fault("slow", lambda trouble: 1.0 / max(0.1, 1.0 - trouble["size"])),
    "discovery_stale": _node_fault("lag", lambda trouble: 1000.0 * trouble["size"]),
    "pauses": _repeated_fault("still", dispatchers=False),
    "balancer_stall": _repeated_fault("stop", dispatchers=True),
    "burst": _load_change("surge", "all"),
    "tenant_burst": _load_change("surge", "plan"),
    "heavy_tail": _load_change("heavy", "workload"),
    "hot_key": _load_change("hot", "all"),
    "preempt": _replacements,
}
"""Converter by the kind of fault in a day file; each returns the faults of the scenario."""


def convert_day(day: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Converts the content of a day file.

    Returns:
        The scenario's record, and a description of everything that could not be converted.

    Raises:
        ValueError: The content is not that of a day file.
    """
    try:
        return _convert(_Day(day))
    except (KeyError, TypeError, IndexError) as trouble:
        raise ValueError(f"not a day file: {type(trouble).__name__} {trouble}") from trouble


def _convert(day: _Day) -> tuple[dict[str, Any], list[str]]:
    source = day.day
    troubles: list[Change] = []
    for trouble in source["troubles"]:
        convert = CARRIED.get(trouble["kind"])
        if convert is None:
            day.lacking.append(f"trouble '{trouble['kind']}': the stand-ins can't cause it")
            continue
        converted = [one for one in convert(day, trouble) if one["at_ms"] < day.length_ms]
        if not converted:
            day.lacking.append(f"trouble '{trouble['kind']}': it is outside the scaled duration")
        troubles += converted
    troubles.sort(key=lambda one: float(one["at_ms"]))
    min_work = min(one["work"] for one in day.classes)
    units = {one["name"]: min(MAX_UNITS, max(1.0, round(one["work"] / min_work))) for one in day.classes}
    share = sum(one["share"] for one in day.classes) or 1.0
    mean_units = sum(one["share"] * units[one["name"]] for one in day.classes) / share
    rate = source["traffic"]["load"] * 0.9 * day.nodes * CORES / UNIT_MS * 1000.0 / mean_units
    plans = source["fam"]["plans"]
    total_traffic = sum(one.get("traffic", one["share"]) for one in day.tenants) or 1.0
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
            part = one["share"] / share * tenant.get("traffic", tenant["share"]) / total_traffic
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
    per_unit = rate * mean_units / max(1e-9, sum(plan["rate"] for plan in plans))
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
        day.lacking.append(f"the day's length: scaled to {day.pace:.2f}; pauses and stalls keep their length")
    if (day.servers, day.hosts) != (day.nodes, day.dispatchers):
        day.lacking.append(
            f"the day's size: {day.nodes} of {day.servers} nodes, {day.dispatchers} of {day.hosts} "
            f"dispatchers, faults in the same proportion"
        )
    day.lacking.append("the network's delays, and the spread of work within a workload except heavy requests")
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
    """Returns the text of the record file, which is JSON, after comments on what could not be converted."""
    notes = "".join(f"// Not carried over: {one}\n" for one in lacking)
    return f"{notes}{json.dumps(record, indent=1)[1:-1].strip()}\n"

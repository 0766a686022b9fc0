"""The fleet for a person on call: `cherrygrade fleet status` and `watch`."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table
from rich.text import Text

from cherrygrade.fleet.runtime.status_query import ask

ALL_WELL, NOT_ALL, NOBODY = 0, 1, 3
COLUMNS = ("member", "standing", "for", "by", "heard", "seat", "zone", "version", "settings", "place")
COLOURS = {"alive": "green", "suspect": "yellow", "failed": "red", "left": "dim"}


def code(told: dict[str, Any]) -> int:
    """For scripts: the whole fleet of record lives, nobody is in doubt, no seat is given up, settings are
    one."""
    living = [one for one in told["members"] if one["standing"] in ("alive", "suspect")]
    doubtful = any(one["standing"] == "suspect" for one in living)
    whole = told["living"] == told["record"] and not doubtful and not told["yields"]
    same = len({one["settings"] for one in living}) <= 1
    return ALL_WELL if whole and same else NOT_ALL


def span(ms: float | None) -> str:
    if ms is None:
        return "never"
    if ms < 1000.0:
        return f"{ms:.0f} ms"
    return f"{ms / 1000.0:.1f} s" if ms < 60000.0 else f"{ms / 60000.0:.0f} min"


def draw(told: dict[str, Any]) -> RenderableType:
    head = Text(f"{told['name']} of fleet {told['fleet']}: {told['side']}, ")
    head.append(f"{told['living']} of {told['record']} live, roll {told['digest']}, doubt {told['doubt']}")
    if told["yields"]:
        head.append(f"\nits seat is of {told['yields']}: ", style="bold red")
        head.append("it uses no part of cold nodes and limits", style="bold red")
    seats: dict[int, int] = {}
    settings: dict[str, int] = {}
    table = Table(box=None, pad_edge=False)
    for name in COLUMNS:
        table.add_column(name, no_wrap=True)
    for one in told["members"]:
        lives = one["standing"] in ("alive", "suspect")
        if lives:
            settings[one["settings"]] = settings.get(one["settings"], 0) + 1
            seats[one["seat"]] = seats.get(one["seat"], 0) + (one["seat"] >= 0)
        own = one["name"] == told["name"]
        table.add_row(
            one["name"],
            Text(one["standing"], style=COLOURS[one["standing"]]),
            span(one["for_ms"]),
            one["by"],
            "-" if own else span(one["heard_ms_ago"]),
            str(one["seat"]) if one["seat"] >= 0 else "none",
            one["zone"],
            one["version"],
            one["settings"],
            one["place"],
        )
    parts: list[RenderableType] = [head, table]
    if len(settings) > 1:
        told_of = ", ".join(f"{mark} at {count}" for mark, count in sorted(settings.items()))
        parts.append(Text(f"settings differ: {told_of}", style="bold yellow"))
    if told["nodes"]:
        nodes = Table(box=None, pad_edge=False)
        for name in ("node in trouble", "it", "for members", "zones", "for us since"):
            nodes.add_column(name, no_wrap=True)
        for one in told["nodes"]:
            part, ours = f"{one['trouble_at']} of {one['tried_by']}", one["ours_ms"]
            since = span(ours) if ours is not None else "no trouble here"
            nodes.add_row(one["node"], one["view"], part, " ".join(one["zones"]), since)
        parts.append(nodes)
    doubled = sorted(seat for seat, count in seats.items() if count > 1)
    if doubled:
        parts.append(Text(f"seats claimed twice: {doubled}", style="bold red"))
    return Group(*parts)


def status(place: str, as_json: bool) -> int:
    try:
        told = asyncio.run(ask(place))
    except (OSError, TimeoutError) as trouble:
        Console(stderr=True).print(f"{place}: {trouble or 'no answer in time'}")
        return NOBODY
    if as_json:
        print(json.dumps(told, indent=1))
    else:
        Console(width=150).print(draw(told))
    return code(told)


def watch(place: str, every_s: float, times: int) -> int:
    found = NOBODY
    try:
        with Live(console=Console(width=150), auto_refresh=False) as live:
            while True:
                try:
                    told = asyncio.run(ask(place))
                    found = code(told)
                    live.update(draw(told), refresh=True)
                except (OSError, TimeoutError) as trouble:
                    found = NOBODY
                    live.update(Text(f"{place}: {trouble or 'no answer in time'}", style="red"), refresh=True)
                times -= 1
                if times == 0:
                    return found
                time.sleep(every_s)
    except KeyboardInterrupt:
        return found

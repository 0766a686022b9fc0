"""The fleet for an operator: `cherrygrade fleet status` and `cherrygrade fleet watch`."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, Final

from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table
from rich.text import Text

from cherrygrade.fleet.runtime.status_query import query_status

EXIT_HEALTHY: Final = 0
EXIT_DEGRADED: Final = 1
EXIT_UNREACHABLE: Final = 3

WIDTH = 150  # columns of the terminal
MEMBER_COLUMNS = (
    "member",
    "standing",
    "for",
    "by",
    "heard",
    "seat",
    "zone",
    "version",
    "settings",
    "place",
)
NODE_COLUMNS = ("node in trouble", "it", "for members", "zones", "for us since")
STANDING_COLOURS = {"alive": "green", "suspect": "yellow", "failed": "red", "left": "dim"}
LIVING_STANDINGS = ("alive", "suspect")
MS_PER_S = 1000.0
MS_PER_MIN = 60000.0


def exit_code(status: dict[str, Any]) -> int:
    """Return the exit code for scripts.

    The fleet is healthy where all of the fleet of record live, nobody is suspect, this dispatcher did not
    give up its seat, and all run on the same settings.
    """
    living = [member for member in status["members"] if member["standing"] in LIVING_STANDINGS]
    any_suspect = any(member["standing"] == "suspect" for member in living)
    complete = status["living"] == status["record"] and not any_suspect and not status["yields"]
    same_settings = len({member["settings"] for member in living}) <= 1
    return EXIT_HEALTHY if complete and same_settings else EXIT_DEGRADED


def format_duration(ms: float | None) -> str:
    """Return a duration for people; None is one that never began."""
    if ms is None:
        return "never"
    if ms < MS_PER_S:
        return f"{ms:.0f} ms"
    return f"{ms / MS_PER_S:.1f} s" if ms < MS_PER_MIN else f"{ms / MS_PER_MIN:.0f} min"


def render_status(status: dict[str, Any]) -> RenderableType:
    """Return the fleet as one dispatcher knows it: a head, its members, warnings and nodes in trouble."""
    parts: list[RenderableType] = [_head(status), _member_table(status)]
    living = [member for member in status["members"] if member["standing"] in LIVING_STANDINGS]
    settings = _count([member["settings"] for member in living])
    if len(settings) > 1:
        by_settings = ", ".join(f"{mark} at {count}" for mark, count in sorted(settings.items()))
        parts.append(Text(f"settings differ: {by_settings}", style="bold yellow"))
    if status["nodes"]:
        parts.append(_node_table(status["nodes"]))
    seats = _count([member["seat"] for member in living if member["seat"] >= 0])
    doubled = sorted(seat for seat, count in seats.items() if count > 1)
    if doubled:
        parts.append(Text(f"seats claimed twice: {doubled}", style="bold red"))
    return Group(*parts)


def _count(values: list[Any]) -> dict[Any, int]:
    counts: dict[Any, int] = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts


def _head(status: dict[str, Any]) -> Text:
    head = Text(f"{status['name']} of fleet {status['fleet']}: {status['side']}, ")
    head.append(f"{status['living']} of {status['record']} live, ")
    head.append(f"roll {status['digest']}, doubt {status['doubt']}")
    if status["yields"]:
        head.append(f"\nits seat is of {status['yields']}: ", style="bold red")
        head.append("it uses no part of cold nodes and limits", style="bold red")
    return head


def _member_table(status: dict[str, Any]) -> Table:
    table = Table(box=None, pad_edge=False)
    for name in MEMBER_COLUMNS:
        table.add_column(name, no_wrap=True)
    for member in status["members"]:
        is_own = member["name"] == status["name"]
        table.add_row(
            member["name"],
            Text(member["standing"], style=STANDING_COLOURS[member["standing"]]),
            format_duration(member["for_ms"]),
            member["by"],
            "-" if is_own else format_duration(member["heard_ms_ago"]),
            str(member["seat"]) if member["seat"] >= 0 else "none",
            member["zone"],
            member["version"],
            member["settings"],
            member["place"],
        )
    return table


def _node_table(nodes: list[dict[str, Any]]) -> Table:
    table = Table(box=None, pad_edge=False)
    for name in NODE_COLUMNS:
        table.add_column(name, no_wrap=True)
    for node in nodes:
        part = f"{node['trouble_at']} of {node['tried_by']}"
        ours = node["ours_ms"]
        since = format_duration(ours) if ours is not None else "no trouble here"
        table.add_row(node["node"], node["view"], part, " ".join(node["zones"]), since)
    return table


def show_status(place: str, as_json: bool) -> int:
    """Print the fleet as the dispatcher at `place` (IP:PORT) knows it; return the exit code."""
    try:
        status = asyncio.run(query_status(place))
    except (OSError, TimeoutError) as error:
        Console(stderr=True).print(f"{place}: {error or 'no answer in time'}")
        return EXIT_UNREACHABLE
    if as_json:
        print(json.dumps(status, indent=1))
    else:
        Console(width=WIDTH).print(render_status(status))
    return exit_code(status)


def watch_status(place: str, every_s: float, times: int) -> int:
    """Print it again and again, `times` times or (0) until interrupted; return the last exit code."""
    code = EXIT_UNREACHABLE
    try:
        with Live(console=Console(width=WIDTH), auto_refresh=False) as live:
            while True:
                try:
                    status = asyncio.run(query_status(place))
                    code = exit_code(status)
                    live.update(render_status(status), refresh=True)
                except (OSError, TimeoutError) as error:
                    code = EXIT_UNREACHABLE
                    live.update(Text(f"{place}: {error or 'no answer in time'}", style="red"), refresh=True)
                times -= 1
                if times == 0:
                    return code
                time.sleep(every_s)
    except KeyboardInterrupt:
        return code

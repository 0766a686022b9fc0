"""Shows the fleet to operators: `cherrygrade fleet status` and `cherrygrade fleet watch`."""

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

WIDTH = 150  # characters in a line
MEMBER_COLUMNS = (
    "member",
    "state",
    "for",
    "reported by",
    "last message",
    "seat",
    "zone",
    "version",
    "settings",
    "address",
)
NODE_COLUMNS = ("unreachable node", "view", "failing at", "zones", "failing here for")
STATE_COLOURS = {"alive": "green", "suspect": "yellow", "failed": "red", "left": "dim"}
LIVING_STATES = ("alive", "suspect")
MS_PER_S = 1000.0
MS_PER_MIN = 60000.0


def exit_code(status: dict[str, Any]) -> int:
    """Return the exit code for scripts.

    The fleet is healthy where all configured dispatchers live, none of them is suspect, this dispatcher did
    not yield its seat to another one, and all have the same settings.
    """
    living = [member for member in status["members"] if member["standing"] in LIVING_STATES]
    any_suspect = any(member["standing"] == "suspect" for member in living)
    complete = status["living"] == status["record"] and not any_suspect and not status["yields"]
    same_settings = len({member["settings"] for member in living}) <= 1
    return EXIT_HEALTHY if complete and same_settings else EXIT_DEGRADED


def format_duration(ms: float | None) -> str:
    """Return a duration of `ms` as text; None, for an event that never happened, gives "never"."""
    if ms is None:
        return "never"
    if ms < MS_PER_S:
        return f"{ms:.0f} ms"
    return f"{ms / MS_PER_S:.1f} s" if ms < MS_PER_MIN else f"{ms / MS_PER_MIN:.0f} min"


def render_status(status: dict[str, Any]) -> RenderableType:
    """Render a status: a summary, the members, warnings, and the storage nodes that members can't reach."""
    parts: list[RenderableType] = [_summary(status), _member_table(status)]
    living = [member for member in status["members"] if member["standing"] in LIVING_STATES]
    settings = _count([member["settings"] for member in living])
    if len(settings) > 1:
        by_settings = ", ".join(f"{digest} at {count}" for digest, count in sorted(settings.items()))
        parts.append(Text(f"members have different settings: {by_settings}", style="bold yellow"))
    if status["nodes"]:
        parts.append(_node_table(status["nodes"]))
    seats = _count([member["seat"] for member in living if member["seat"] >= 0])
    duplicates = sorted(seat for seat, count in seats.items() if count > 1)
    if duplicates:
        parts.append(Text(f"seats claimed by several living members: {duplicates}", style="bold red"))
    return Group(*parts)


def _count(values: list[Any]) -> dict[Any, int]:
    counts: dict[Any, int] = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts


def _summary(status: dict[str, Any]) -> Text:
    summary = Text(f"{status['name']} of fleet {status['fleet']}: {status['side']}, ")
    summary.append(f"{status['living']} of {status['record']} live, ")
    summary.append(f"table digest {status['digest']}, self-doubt {status['doubt']}")
    if status["yields"]:
        summary.append(f"\nits seat belongs to {status['yields']}: ", style="bold red")
        summary.append("it uses no quota of cold nodes and limits", style="bold red")
    return summary


def _member_table(status: dict[str, Any]) -> Table:
    table = Table(box=None, pad_edge=False)
    for name in MEMBER_COLUMNS:
        table.add_column(name, no_wrap=True)
    for member in status["members"]:
        is_own = member["name"] == status["name"]
        table.add_row(
            member["name"],
            Text(member["standing"], style=STATE_COLOURS[member["standing"]]),
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
        failing = f"{node['trouble_at']} of {node['tried_by']} members"
        own_ms = node["ours_ms"]
        duration = format_duration(own_ms) if own_ms is not None else "not failing here"
        table.add_row(node["node"], node["view"], failing, " ".join(node["zones"]), duration)
    return table


def show_status(address: str, as_json: bool) -> int:
    """Print the fleet as the dispatcher at `address` (IP:PORT) knows it; return the exit code."""
    try:
        status = asyncio.run(query_status(address))
    except (OSError, TimeoutError) as error:
        Console(stderr=True).print(f"{address}: {error or 'no answer in time'}")
        return EXIT_UNREACHABLE
    if as_json:
        print(json.dumps(status, indent=1))
    else:
        Console(width=WIDTH).print(render_status(status))
    return exit_code(status)


def watch_status(address: str, every_s: float, times: int) -> int:
    """Show the fleet as the dispatcher at `address` (IP:PORT) knows it, again and again.

    Args:
        address: The dispatcher's address.
        every_s: Seconds between two queries.
        times: How many queries; 0 for no limit, until the command is interrupted.

    Returns:
        The exit code of the last query.
    """
    code = EXIT_UNREACHABLE
    try:
        with Live(console=Console(width=WIDTH), auto_refresh=False) as live:
            while True:
                try:
                    status = asyncio.run(query_status(address))
                    code = exit_code(status)
                    live.update(render_status(status), refresh=True)
                except (OSError, TimeoutError) as error:
                    code = EXIT_UNREACHABLE
                    live.update(Text(f"{address}: {error or 'no answer in time'}", style="red"), refresh=True)
                times -= 1
                if times == 0:
                    return code
                time.sleep(every_s)
    except KeyboardInterrupt:
        return code

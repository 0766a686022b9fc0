"""A person's word on the configuration, over a stream to any dispatcher: `cherrygrade fleet config`.

The dispatcher asks the council for whoever came to it; the command prints what came of it. Exit codes: 0 as
asked; 1 refused, or not all have it in time; 2 the arguments or the file are wrong, nobody was asked; 3
nobody could tell: no dispatcher at the place, or no majority of the council.
"""

from __future__ import annotations

import asyncio
import getpass
import os
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from cherrygrade.fleet.config.versions import MOST_TEXT
from cherrygrade.fleet.errors import (
    ConfigNotFoundError,
    ConfigRefusedError,
    ConfigUnreachableError,
)
from cherrygrade.fleet.runtime.admin_client import visit
from cherrygrade.fleet.runtime.admin_messages import MissingRequest, PutRequest, ShowRequest
from cherrygrade.records.grammar import RecordSyntaxError, parse

DONE, REFUSED, WRONG, NOBODY = 0, 1, 2, 3


def told(doing: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a command's part; its exit code."""
    try:
        return asyncio.run(doing())
    except ConfigUnreachableError as trouble:
        print(trouble, file=sys.stderr)
        return NOBODY
    except ConfigRefusedError as trouble:
        print(trouble, file=sys.stderr)
        return REFUSED
    except ConfigNotFoundError as trouble:
        print(trouble, file=sys.stderr)
        return WRONG


def who() -> str:
    """Who asks, and when by this machine's clock: for people."""
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = str(os.getuid())
    return f"{name} {time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime())}"


def fresh_id() -> str:
    return f"{os.getpid()}/{time.time_ns()}"


def put(file: Path, place: str) -> int:
    async def doing() -> int:
        try:
            text = file.read_text()
            parse(text, str(file))
        except (OSError, UnicodeDecodeError, RecordSyntaxError) as wrong:
            raise ConfigNotFoundError(
                f"{file}: {wrong}" if isinstance(wrong, OSError) else str(wrong)
            ) from wrong
        if len(text.encode()) > MOST_TEXT:
            raise ConfigNotFoundError(f"{file} has more than {MOST_TEXT} bytes")
        return await _put(text, place)

    return told(doing)


async def _put(text: str, place: str) -> int:
    found = await visit(place, PutRequest(fresh_id(), text, who()))
    moves = "" if found["stage"] % 2 else "; parts move: it is settled once all of record have said so"
    print(f"version {found['number']} {found['mark']}: agreed{moves}")
    print(f"`cherrygrade fleet config wait {found['number']}` tells when it is in force everywhere")
    return DONE


def back(number: int, place: str) -> int:
    async def doing() -> int:
        found = await visit(place, ShowRequest(number))
        return await _put(found["text"], place)

    return told(doing)


def show(number: int, place: str) -> int:
    async def doing() -> int:
        found = await visit(place, ShowRequest(number))
        if number:
            print(found["text"], end="" if found["text"].endswith("\n") else "\n")
            return DONE
        here = found["here"]
        for one in found["lines"]:
            marks = [name for name in ("settled", "moving") if found[name] == one["number"]]
            print(f"{one['number']:>6} {one['digest'][:16]} {one['length']:>7} bytes  {one['by']}", *marks)
        if found["council"]:
            print(f"the council: {found['council']}", file=sys.stderr)
        in_force = f"version {here['number']} {here['digest'][:16]}" if here["number"] else "its own file"
        trouble = f"; {here['trouble']}" if here["trouble"] else ""
        print(f"in force at {place}: {in_force}{'' if here['settled'] else ', not settled'}{trouble}")
        return NOBODY if found["council"] else DONE

    return told(doing)


def wait(number: int, place: str, within_s: float, every_s: float = 0.3) -> int:
    async def doing() -> int:
        loop = asyncio.get_running_loop()
        ends, before = loop.time() + within_s, ""
        while True:
            found = await visit(place, MissingRequest(number))
            lacking = [one for one in found["missing"] if one["lives"]]
            if found["settled"] and not lacking:
                for one in found["missing"]:
                    print(f"  not there: {one['name'] or 'nobody'} (seat {one['seat']}): {one['why']}")
                print(f"version {number} is in force at all that live, and settled")
                return DONE
            named = [(one["name"] or f"seat {one['seat']}", one["why"]) for one in found["missing"]]
            lines = [f"  {name}: {why}" for name, why in named]
            if not found["settled"]:
                lines.append(f"  not settled as {place} knows it")
            text = "\n".join([f"version {number}: waits for", *lines])
            if loop.time() >= ends:
                raise ConfigRefusedError(
                    text,
                    "Those named serve on with what they have.",
                    "Bring dead ones back; mend what refuses by its key, or put another version.",
                )
            names = " ".join(sorted(one["name"] for one in found["missing"])) + str(found["settled"])
            if names != before:
                before = names
                print(text, flush=True)
            await asyncio.sleep(every_s)

    return told(doing)

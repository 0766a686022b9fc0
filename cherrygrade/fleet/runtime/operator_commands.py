"""`cherrygrade fleet config`: an operator's commands on the fleet's configuration.

Each asks one dispatcher, which asks the council, and prints the answer. Exit codes: 0 as asked; 1 refused, or
not all have it in time; 2 the arguments or the file are wrong, nobody was asked; 3 nobody could tell: no
dispatcher at the address, or no majority of the council.
"""

from __future__ import annotations

import asyncio
import getpass
import os
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final

from cherrygrade.fleet.config.versions import MAX_TEXT_BYTES
from cherrygrade.fleet.errors import ConfigNotFoundError, ConfigRefusedError, ConfigUnreachableError
from cherrygrade.fleet.runtime.admin_client import send_admin_request
from cherrygrade.fleet.runtime.admin_messages import MissingRequest, PutRequest, ShowRequest
from cherrygrade.records.grammar import RecordSyntaxError, parse

EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 1
EXIT_WRONG_ARGUMENTS: Final = 2
EXIT_UNREACHABLE: Final = 3

WAIT_INTERVAL_S = 0.3  # between two looks at who is missing


def run_command(command: Coroutine[Any, Any, int]) -> int:
    """Run a command; print its error to standard error and return the exit code."""
    try:
        return asyncio.run(command)
    except ConfigUnreachableError as error:
        print(error, file=sys.stderr)
        return EXIT_UNREACHABLE
    except ConfigRefusedError as error:
        print(error, file=sys.stderr)
        return EXIT_REFUSED
    except ConfigNotFoundError as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG_ARGUMENTS


def requester() -> str:
    """Return who asks, and when by this machine's clock: for people."""
    try:
        name = getpass.getuser()
    except (KeyError, OSError):  # a user id without a name, as in containers
        name = str(os.getuid())
    return f"{name} {time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime())}"


def new_request_id() -> str:
    """Return an id that no other command uses."""
    return f"{os.getpid()}/{time.time_ns()}"


def put_config(file: Path, place: str) -> int:
    """Make the record text in `file` the fleet's configuration; return the exit code."""
    return run_command(_put_file(file, place))


async def _put_file(file: Path, place: str) -> int:
    return await _put_text(_read_config(file), place)


def _read_config(file: Path) -> str:
    """Return a file's text, where it can be parsed and is not too long.

    Raises:
        ConfigNotFoundError: It can't be read or parsed, or is too long.
    """
    try:
        text = file.read_text()
        parse(text, str(file))
    except OSError as error:
        raise ConfigNotFoundError(f"{file}: {error}") from error
    except (UnicodeDecodeError, RecordSyntaxError) as error:
        raise ConfigNotFoundError(str(error)) from error
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ConfigNotFoundError(f"{file} has more than {MAX_TEXT_BYTES} bytes")
    return text


async def _put_text(text: str, place: str) -> int:
    answer = await send_admin_request(place, PutRequest(new_request_id(), text, requester()))
    moves = "" if answer["stage"] % 2 else "; parts move: it is settled once all of record have said so"
    print(f"version {answer['number']} {answer['mark']}: agreed{moves}")
    print(f"`cherrygrade fleet config wait {answer['number']}` tells when it is in force everywhere")
    return EXIT_DONE


def put_version_again(number: int, place: str) -> int:
    """Put the text of an older version again, as a new version; return the exit code."""
    return run_command(_put_version_again(number, place))


async def _put_version_again(number: int, place: str) -> int:
    answer = await send_admin_request(place, ShowRequest(number))
    return await _put_text(answer["text"], place)


def show_config(number: int, place: str) -> int:
    """Print the versions that are kept, or with a number other than 0 its text; return the exit code."""
    return run_command(_show_config(number, place))


async def _show_config(number: int, place: str) -> int:
    answer = await send_admin_request(place, ShowRequest(number))
    if number:
        print(answer["text"], end="" if answer["text"].endswith("\n") else "\n")
        return EXIT_DONE
    for line in answer["lines"]:
        states = [name for name in ("settled", "moving") if answer[name] == line["number"]]
        print(f"{line['number']:>6} {line['digest'][:16]} {line['length']:>7} bytes  {line['by']}", *states)
    if answer["council"]:
        print(f"the council: {answer['council']}", file=sys.stderr)
    here = answer["here"]
    in_force = f"version {here['number']} {here['digest'][:16]}" if here["number"] else "its own file"
    trouble = f"; {here['trouble']}" if here["trouble"] else ""
    print(f"in force at {place}: {in_force}{'' if here['settled'] else ', not settled'}{trouble}")
    return EXIT_UNREACHABLE if answer["council"] else EXIT_DONE


def wait_for_version(number: int, place: str, within_s: float, every_s: float = WAIT_INTERVAL_S) -> int:
    """Wait until a version or a later one is in force at all that live, and settled; return the exit code."""
    return run_command(_wait_for_version(number, place, within_s, every_s))


async def _wait_for_version(number: int, place: str, within_s: float, every_s: float) -> int:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    printed = ""
    while True:
        answer = await send_admin_request(place, MissingRequest(number))
        missing = answer["missing"]
        if answer["settled"] and not any(member["lives"] for member in missing):
            for member in missing:
                print(f"  not there: {member['name'] or 'nobody'} (seat {member['seat']}): {member['why']}")
            print(f"version {number} is in force at all that live, and settled")
            return EXIT_DONE
        text = _waiting_text(number, place, answer)
        if loop.time() >= deadline:
            raise ConfigRefusedError(
                text,
                "Those named serve on with what they have.",
                "Bring dead ones back; mend what refuses by its key, or put another version.",
            )
        # Reasons change with each look (how long somebody is dead); only a change of names is news.
        names = " ".join(sorted(member["name"] for member in missing)) + str(answer["settled"])
        if names != printed:
            printed = names
            print(text, flush=True)
        await asyncio.sleep(every_s)


def _waiting_text(number: int, place: str, answer: dict[str, Any]) -> str:
    lines = [f"version {number}: waits for"]
    for member in answer["missing"]:
        name = member["name"] or f"seat {member['seat']}"
        lines.append(f"  {name}: {member['why']}")
    if not answer["settled"]:
        lines.append(f"  not settled as {place} knows it")
    return "\n".join(lines)

"""`cherrygrade fleet config`: an operator's commands on the fleet's configuration.

Each command sends a request to one dispatcher, which sends requests to the council, and prints the answer.
Exit codes: 0 where the command did what it was to do; 1 where it was refused, or not all members have the
version in time; 2 where the arguments or the file are wrong, and no request was sent; 3 where no dispatcher
at the address, or no majority of the council, answered.
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

WAIT_INTERVAL_S = 0.3  # between two queries for the members that lack a version


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
    """Return the user's name and the time by this machine's clock, as the author of a version."""
    try:
        name = getpass.getuser()
    except (KeyError, OSError):  # containers may have no name for the user id
        name = str(os.getuid())
    return f"{name} {time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime())}"


def new_request_id() -> str:
    """Return a request id that no other command uses."""
    return f"{os.getpid()}/{time.time_ns()}"


def put_config(file: Path, address: str) -> int:
    """Make the record text in `file` the fleet's configuration; return the exit code."""
    return run_command(_put_file(file, address))


async def _put_file(file: Path, address: str) -> int:
    return await _put_text(_read_config(file), address)


def _read_config(file: Path) -> str:
    """Return a file's text.

    Raises:
        ConfigNotFoundError: The file can't be read or parsed, or is longer than MAX_TEXT_BYTES.
    """
    try:
        text = file.read_text()
        parse(text, str(file))
    except OSError as error:
        raise ConfigNotFoundError(f"{file}: {error}") from error
    except (UnicodeDecodeError, RecordSyntaxError) as error:
        raise ConfigNotFoundError(str(error)) from error
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ConfigNotFoundError(f"{file} is too long: expected at most {MAX_TEXT_BYTES} bytes")
    return text


async def _put_text(text: str, address: str) -> int:
    answer = await send_admin_request(address, PutRequest(new_request_id(), text, requester()))
    joint = (
        "" if answer["stage"] % 2 else "; quotas change: it is settled once all dispatchers have confirmed it"
    )
    print(f"version {answer['number']} {answer['mark']}: agreed{joint}")
    print(f"`cherrygrade fleet config wait {answer['number']}` waits until it is in force everywhere")
    return EXIT_DONE


def put_version_again(number: int, address: str) -> int:
    """Put the text of an older version again, as a new version; return the exit code."""
    return run_command(_put_version_again(number, address))


async def _put_version_again(number: int, address: str) -> int:
    answer = await send_admin_request(address, ShowRequest(number))
    return await _put_text(answer["text"], address)


def show_config(number: int, address: str) -> int:
    """Print the stored versions, or the text of version `number` where it is not 0; return the exit code."""
    return run_command(_show_config(number, address))


async def _show_config(number: int, address: str) -> int:
    answer = await send_admin_request(address, ShowRequest(number))
    if number:
        print(answer["text"], end="" if answer["text"].endswith("\n") else "\n")
        return EXIT_DONE
    for version in answer["lines"]:
        states = [name for name in ("settled", "moving") if answer[name] == version["number"]]
        print(
            f"{version['number']:>6} {version['digest'][:16]} {version['length']:>7} bytes  {version['by']}",
            *states,
        )
    if answer["council"]:
        print(f"the council: {answer['council']}", file=sys.stderr)
    here = answer["here"]
    in_force = f"version {here['number']} {here['digest'][:16]}" if here["number"] else "its own file"
    fault = f"; {here['trouble']}" if here["trouble"] else ""
    print(f"in force at {address}: {in_force}{'' if here['settled'] else ', not settled'}{fault}")
    return EXIT_UNREACHABLE if answer["council"] else EXIT_DONE


def wait_for_version(number: int, address: str, within_s: float, every_s: float = WAIT_INTERVAL_S) -> int:
    """Wait until a version or a later one is settled, and in force at all living members.

    Args:
        number: The version's number.
        address: IP:PORT of the dispatcher that is queried.
        within_s: Seconds to wait at most.
        every_s: Seconds between two queries.

    Returns:
        The exit code.
    """
    return run_command(_wait_for_version(number, address, within_s, every_s))


async def _wait_for_version(number: int, address: str, within_s: float, every_s: float) -> int:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    printed = ""
    while True:
        answer = await send_admin_request(address, MissingRequest(number))
        missing = answer["missing"]
        if answer["settled"] and not any(member["lives"] for member in missing):
            for member in missing:
                print(f"  not there: {member['name'] or 'unknown'} (seat {member['seat']}): {member['why']}")
            print(f"version {number} is in force at all living members, and settled")
            return EXIT_DONE
        text = _waiting_text(number, address, answer)
        if loop.time() >= deadline:
            raise ConfigRefusedError(
                text,
                "The members named there continue with their present configuration.",
                "Restart dead members; correct the keys that members refuse, or put another version.",
            )
        # Reasons change with each query (how long a member is dead); only a change of names is printed.
        names = " ".join(sorted(member["name"] for member in missing)) + str(answer["settled"])
        if names != printed:
            printed = names
            print(text, flush=True)
        await asyncio.sleep(every_s)


def _waiting_text(number: int, address: str, answer: dict[str, Any]) -> str:
    lines = [f"version {number}: waiting for"]
    for member in answer["missing"]:
        name = member["name"] or f"seat {member['seat']}"
        lines.append(f"  {name}: {member['why']}")
    if not answer["settled"]:
        lines.append(f"  not settled, as {address} knows it")
    return "\n".join(lines)

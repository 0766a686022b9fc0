"""A person's word on the configuration, over a stream to any dispatcher: `cherrygrade fleet config`.

The dispatcher asks the council for whoever came to it; the command prints what came of it. Exit codes: 0 as
asked; 1 refused, or not all have it in time; 2 the arguments or the file are wrong, nobody was asked; 3
nobody could tell: no dispatcher at the place, or no majority of the council.
"""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from cherrygrade.errors import OperatorError
from cherrygrade.fleet.config.versions import MOST_TEXT
from cherrygrade.fleet.consensus.voter import ConfigPut, ConfigStatus, PutConfig, ShowConfig
from cherrygrade.fleet.errors import (
    ConfigNotFoundError,
    ConfigRefusedError,
    ConfigUnreachableError,
    CouncilUnreachableError,
)
from cherrygrade.fleet.runtime.addresses import address
from cherrygrade.fleet.runtime.config_exchange import ConfigExchange, FramedConnection
from cherrygrade.fleet.runtime.council_server import CouncilServer
from cherrygrade.records.grammar import RecordSyntaxError, parse
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

DONE, REFUSED, WRONG, NOBODY = 0, 1, 2, 3
COUNCIL_S = 0.7  # for each of at most two asks of the council: `put` is told within 2 s in all
PATIENCE_S = 1.7  # of the command, for one word
MOST_OPERATORS = 8  # at once, at one dispatcher
JUDGE_S = 30.0  # that a text may take to be judged, while a majority goes on answering
LEAVE_S = 40.0  # in which a person's stream has to end


class AdminRequest(msgspec.Struct, frozen=True, tag_field="do", tag="Request"):
    """What a person asks."""


class PutRequest(AdminRequest, frozen=True, tag="put"):
    """`based_on` -1: whatever is the newest. `id`: the command's own; asked again, nothing is done twice."""

    id: str
    text: str
    by: str
    based_on: int = -1


class ShowRequest(AdminRequest, frozen=True, tag="show"):
    number: int = 0


class MissingRequest(AdminRequest, frozen=True, tag="missing"):
    number: int


_request = msgspec.json.Decoder(PutRequest | ShowRequest | MissingRequest)


# At the dispatcher.


class AdminServer(FramedConnection):
    """One person's stream; the agent's stream hands its frames on."""

    def __init__(
        self,
        config: ConfigExchange,
        council_server: CouncilServer,
        conn: Connection,
        gone: Callable[[], object],
    ) -> None:
        super().__init__(conn)
        self.config, self.council_server, self._gone = config, council_server, gone
        self.task: asyncio.Task[None] | None = None
        self._timer = asyncio.get_running_loop().call_later(LEAVE_S, conn.abort, "a person in no hurry")

    def word(self, data: bytes) -> None:
        request = _request.decode(data)
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: PutRequest | ShowRequest | MissingRequest) -> None:
        try:
            if isinstance(request, PutRequest):
                told = await self._put(request)
            elif isinstance(request, ShowRequest):
                told = await self._show(request.number)
            else:
                told = await self._missing(request.number)
        except OperatorError as trouble:
            told = {"what": trouble.what, "means": trouble.means, "do": trouble.do}
            told["nobody"] = isinstance(trouble, ConfigUnreachableError)
        self.say(json.dumps(told).encode())
        self.conn.close("told")

    async def _shown(self, ask_id: str, number: int = 0) -> ConfigStatus:
        try:
            found = await self.council_server.ask(ShowConfig(ask_id, number), COUNCIL_S)
        except CouncilUnreachableError as trouble:
            raise ConfigUnreachableError(trouble.what) from trouble
        assert isinstance(found, ConfigStatus)
        return found

    async def _put(self, request: PutRequest) -> dict[str, Any]:
        based_on = request.based_on
        if based_on < 0:
            shown = await self._shown(f"{request.id}/newest")
            based_on = shown.lines[-1].number if shown.lines else 0
        ask = PutConfig(request.id, request.text, based_on, request.by)
        asking = asyncio.get_running_loop().create_task(self.council_server.ask(ask, JUDGE_S))
        try:
            while not (await asyncio.wait({asking}, timeout=COUNCIL_S))[0]:
                await self._shown(f"{request.id}/leads")  # a long text: does it still lead?
                self.say(b"{}")
            found = asking.result()
        except (CouncilUnreachableError, ConfigUnreachableError) as trouble:
            raise ConfigUnreachableError(
                trouble.what,
                "It may yet have become a version; all dispatchers serve on with what they have.",
                "See `cherrygrade fleet config show` once more than half of the voters live, then put again.",
            ) from trouble
        finally:
            asking.cancel()
        assert isinstance(found, ConfigPut)
        if found.told.waits:
            raise ConfigRefusedError(found.told.waits)
        return {"number": found.told.number, "stage": found.told.stage, "mark": f"{found.told.mark:016x}"}

    async def _show(self, number: int) -> dict[str, Any]:
        here = self.config.status()
        try:
            shown = await self._shown(
                f"{self.council_server.name}/{self.council_server.birth}/show/{id(self)}", number
            )
        except ConfigUnreachableError as trouble:
            if number:
                raise
            return {"here": here, "council": trouble.what, "lines": []}
        if number and shown.text is None:
            kept = [one.number for one in shown.lines]
            told = f"{kept[0]} to {kept[-1]}" if kept else "none yet"
            raise ConfigNotFoundError(f"version {number} is not kept: {told}")
        return {
            "here": here,
            "council": "",
            "text": shown.text,
            "settled": shown.settled,
            "moving": shown.moving,
            "lines": [msgspec.structs.asdict(one) for one in shown.lines],
        }

    async def _missing(self, number: int) -> dict[str, Any]:
        config = self.config
        found = await config.missing(number)
        here = config.status()
        replica = config.replica
        settled = replica is not None and replica.stage > 2 * number and bool(replica.stage % 2)
        return {"here": here, "settled": settled, "missing": found, "record": config.core.fleet_size}

    def closed(self, conn: Connection, why: str) -> None:
        self._gone()
        self._timer.cancel()
        if self.task is not None and not self.task.done():
            self.task.cancel()


# At the command.


class AdminClient(FramedConnection):
    def __init__(self, request: AdminRequest) -> None:
        super().__init__()
        self._request = request
        self._words: asyncio.Queue[dict[str, Any] | str] = asyncio.Queue()

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "operator", "cherrygrade fleet config"))
        self.say(msgspec.json.encode(self._request))

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Bye):
            self._words.put_nowait(message.reason)
        elif isinstance(message, Members):
            self.part(message)
        elif not isinstance(message, Welcome):
            conn.close(f"unexpected {type(message).__name__}")

    def word(self, data: bytes) -> None:
        self._words.put_nowait(json.loads(data))

    def closed(self, conn: Connection, why: str) -> None:
        self._words.put_nowait(why)

    async def answer(self, within_s: float) -> dict[str, Any]:
        """Each word in that time; an empty one says that it goes on."""
        while True:
            async with asyncio.timeout(within_s):
                told = await self._words.get()
            if isinstance(told, str):
                raise ConnectionError(told)
            if told:
                return told


async def visit(place: str, request: AdminRequest, within_s: float = PATIENCE_S) -> dict[str, Any]:
    """What the dispatcher at this place says to that. ConfigRefused, ConfigUnreached, NoConfig."""
    to = address(place)
    if to is None:
        do = "Give --at a dispatcher's fleet.place."
        raise ConfigNotFoundError(f"{place} is no HOST:PORT", "Nobody was asked.", do)
    try:
        held = AdminClient(request)
        async with asyncio.timeout(within_s):
            await asyncio.get_running_loop().create_connection(lambda: held.conn, *to)
        try:
            told = await held.answer(within_s)
        finally:
            held.conn.close("told")
    except OSError as wrong:  # TimeoutError among them
        why = str(wrong) or f"no answer within {within_s:g} s"
        do = "Give --at another dispatcher."
        raise ConfigUnreachableError(f"{place} does not answer: {why}", "", do) from wrong
    if "what" in told:
        kind = ConfigUnreachableError if told["nobody"] else ConfigRefusedError
        raise kind(told["what"], told["means"], told["do"])
    return told


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

"""Puts a scale run's changes at its real dispatchers, kills the council's leader between them, and gathers
what all came to. What is put when stands in `changes.py`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Protocol

from cherrygrade.fleet.errors import ConfigRefusedError, ConfigUnreachableError
from cherrygrade.fleet.runtime.admin_client import send_admin_request
from cherrygrade.fleet.runtime.admin_messages import PutRequest as AskedPut
from cherrygrade.fleet.runtime.admin_messages import ShowRequest
from cherrygrade.fleet.runtime.operator_commands import new_request_id
from cherrygrade.fleet.runtime.status_query import query_status
from cherrygrade.lab.scale import changes
from cherrygrade.lab.scale.changes import Gap, Put, Story
from cherrygrade.lab.scale.plan import Scale, Step, address_of, seats
from cherrygrade.lab.scale.rows import Row
from cherrygrade.lab.scale.sums import NEVER, HostResult

PUT_S = 10.0  # that a change is asked for anew, before it counts as not agreed
AGAIN_S = 0.1
PATIENCE_S = 5.0


class Run(Protocol):
    """What it needs of the run."""

    scale: Scale
    port: int
    dead: set[int]
    told: Any

    def now(self) -> float: ...

    async def killed(self, number: int) -> None: ...

    async def launched(self, number: int) -> None: ...


class Putting:
    def __init__(self, run: Run) -> None:
        self.run, self.story = run, Story()
        self.cut: frozenset[int] = frozenset()
        self._count = 0
        self._killing: asyncio.Task[None] | None = None

    def _at(self, turn: int) -> str:
        """A real one's place; by turns, voters only where nobody else is."""
        scale, dead = self.run.scale, self.run.dead
        living = [number for number in range(scale.real) if number not in dead]
        asked = [number for number in living if number >= scale.voters] or living
        return f"{address_of(asked[turn % len(asked)])}:{self.run.port}"

    async def put(self, part: str) -> Put:
        """One change, until it is agreed."""
        run, name = self.run, new_request_id()
        self._count += 1
        begun = run.now()
        but = frozenset({*run.dead, *self.cut})
        request = AskedPut(name, changes.text(self._count), "the scale run")
        found, turn = Put(part, begun, NEVER, but=but), self._count
        while found.agreed >= NEVER and run.now() - begun < PUT_S * 1000.0:
            try:
                told = await send_admin_request(self._at(turn), request, PATIENCE_S)
                found = Put(part, begun, run.now(), int(told["number"]), str(told["mark"]), but)
                self.story.agreed[found.number] = found.mark
            except (ConfigRefusedError, ConfigUnreachableError) as trouble:
                run.told(f"put: {trouble.what}")
                turn += 1
                await asyncio.sleep(AGAIN_S)
        self.story.puts.append(found)
        return found

    async def configured(self) -> None:
        """A first version, and calm after it."""
        await self.put("")
        await asyncio.sleep(changes.CALM_MS / 1000.0)

    async def play(self, step: Step, begun: float) -> None:
        """All puts of a part, by its pace."""
        run = self.run
        if step.kind == "missed":
            self.cut = frozenset(one.number for one in seats(run.scale) if one.number in step.on)
        for index in range(changes.count(run.scale, step.for_ms)):
            due = begun + index * run.scale.change_every_ms
            await asyncio.sleep(max(0.0, (due - run.now()) / 1000.0))
            await self.put(step.when)
            if step.kind == "changes killed" and changes.kills(index):
                await self._done()
                self._killing = asyncio.create_task(self._kill(run.scale.change_every_ms / 2000.0))
        await self._done()

    async def _done(self) -> None:
        if self._killing is not None:
            await self._killing
            self._killing = None

    async def _kill(self, after_s: float) -> None:
        """The leader, and back."""
        await asyncio.sleep(after_s)
        run = self.run
        told = await query_status(self._at(0))
        number = int(told["council"]["leader"].removeprefix("d").partition("/")[0] or -1)
        if not 0 <= number < run.scale.voters or number in run.dead:
            run.told("no leader is known, none was killed")
            return
        killed = run.now()
        await run.killed(number)
        await asyncio.sleep(changes.KILL_BACK_MS / 1000.0)
        await run.launched(number)
        self.story.gaps.append(Gap(number, killed, run.now()))

    async def agreed(self) -> None:
        """Versions as the council has them."""
        try:
            shown = await send_admin_request(self._at(0), ShowRequest(), PATIENCE_S)
        except ConfigUnreachableError:
            return
        for line in shown["lines"]:
            self.story.agreed.setdefault(line["number"], line["digest"][:16])

    def gather(self, folder: Path, results: Iterable[HostResult]) -> Story:
        """With what hosts noted and what real members' logs tell."""
        story = self.story
        for host in results:
            story.rows += host.forced
        for number in range(self.run.scale.real):
            story.rows += logged(folder / f"dispatcher-{number}.log", number)
        return story


def logged(file: Path, member: int) -> list[Row]:
    """Of a real member: all its lives are one, it keeps its configuration."""
    found = []
    for line in file.read_text().splitlines() if file.exists() else ():
        if '"configuration in force"' in line:
            told = json.loads(line)
            found.append(Row(told["since"], member, 0, told["stage"], told["digest"]))
    return found

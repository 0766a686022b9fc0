"""Plays a scenario in virtual time: the gateway, client, register and node code unchanged, all in one loop.

The day's records are those of a day on sockets, so the same audit and report read them.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from cherrygrade.gateway.process import Gateway
from cherrygrade.lab.rig.load import Loader
from cherrygrade.lab.rig.roles import write_bytes
from cherrygrade.lab.rig.run import Day
from cherrygrade.lab.rig.scenario import Scenario, Trouble, read_scenario, site_of, write_site
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.settings import DispatcherIdentity, SiteSettings
from cherrygrade.standin.node import Node
from cherrygrade.standin.record import Record
from cherrygrade.standin.register import Register
from cherrygrade.virtual.guard import guarded
from cherrygrade.virtual.loop import Process, VirtualLoop
from cherrygrade.virtual.network import LinkConditions, Network

LEFT_TO_END_S, LONGEST_S = 15.0, 120.0


class DayNotOverError(RuntimeError):
    """The day went on and on."""


class Hand:
    """The laboratory's hand on a stand-in, in place of a control connection."""

    def __init__(self, process: Process, act: Callable[[str, dict[str, Any]], str]) -> None:
        self.process, self._act = process, act

    async def say(self, command: str, **values: float | str) -> str:
        return self.process.context().run(self._act, command, dict(values))


class VirtualDay(Day):
    """A day whose processes are contexts of one loop."""

    def __init__(
        self, scenario: Scenario, folder: Path, loop: VirtualLoop, network: Network, make: type[Scheduler]
    ) -> None:
        super().__init__(scenario, folder, "", folder, (), lambda what, part: None)
        self.loop, self.network, self.make = loop, network, make
        self.site: SiteSettings | None = None
        self.stands: list[tuple[Process, Node]] = []
        self.lists: Register | None = None
        self.gateways: list[tuple[Process, Gateway]] = []
        self.ports: list[str] = []
        self.records: list[Record] = [self.note]
        self.logs: list[tuple[float, str, str, dict[str, Any]]] = []
        self._broken: list[BaseException] = []

    def record(self, name: str) -> Record:
        made = Record(self.folder / name)
        self.records.append(made)
        return made

    async def within(self, process: Process, work: Coroutine[Any, Any, Any]) -> Any:
        return await self.loop.create_task(work, context=process.context())

    async def play(self) -> None:
        scenario = self.scenario
        self.loop.set_exception_handler(self._trouble_of_ours)
        await self._start()
        loaders = []
        for index in range(scenario.loaders):
            assert self.site is not None
            record = self.record(f"load-{index}.jsonl")
            process = Process(f"load-{index}")
            make = process.context().run
            loaders.append((process, make(Loader, scenario, self.site.trade, index, self.ports, record)))
        await asyncio.gather(*(self.within(process, loader.prepare()) for process, loader in loaders))
        start = self.now() + 200.0
        self.note.note("day", round(start, 3))
        troubles = asyncio.gather(*(self._trouble(trouble, start) for trouble in scenario.troubles))
        await asyncio.gather(*(self.within(process, loader.run(start)) for process, loader in loaders))
        await troubles
        await self._leave()
        if self._broken:
            raise self._broken[0]

    def _trouble_of_ours(self, loop: asyncio.AbstractEventLoop, told: dict[str, Any]) -> None:
        trouble = told.get("exception")
        self._broken.append(trouble if trouble is not None else RuntimeError(str(told.get("message"))))

    async def _start(self) -> None:
        scenario = self.scenario
        process = Process("register")
        self.lists = process.context().run(Register, "127.0.0.1:0", 1, self.record("register.jsonl"))
        await self.within(process, self.lists.start())
        self.listed = Hand(process, self.lists.act)  # type: ignore[assignment]
        for index, role in enumerate(scenario.nodes):
            process = Process(f"node-{index}")
            node = process.context().run(
                Node,
                "127.0.0.1:0",
                role.build,
                scenario.seed * 100 + index,
                self.record(f"node-{index}.jsonl"),
            )
            await self.within(process, node.start())
            self.stands.append((process, node))
            self.nodes.append((None, Hand(process, node.act)))  # type: ignore[arg-type]
        self.addresses = [node.address for _, node in self.stands]
        await self._list_all()
        self.ports = [f"127.0.0.1:{10000 + number}" for number in range(scenario.dispatchers)]
        for number in range(scenario.dispatchers):
            await self._launch(number)

    def _site(self, number: int) -> SiteSettings:
        """Read once; what differs between dispatchers is their place."""
        assert self.lists is not None
        if self.site is None:
            places = [f"127.0.0.1:{15000 + at}" for at in range(self.scenario.dispatchers)]
            write_site(self.scenario, self.folder, 0, 1, self.ports[0], self.lists.address, places)
            self.site = site_of(self.folder)
        life = self.lives[number]
        place = DispatcherIdentity(
            f"d{number}.{life}",
            self.ports[number],
            self.lists.address,
            number,
            self.scenario.dispatchers,
            self.scenario.seed * 1000 + number * 10 + life,
        )
        return replace(self.site, place=place)

    async def _launch(self, number: int) -> None:
        site = self._site(number)
        name = site.place.name
        process = Process(f"dispatcher-{number}")

        def log(event: str, **facts: Any) -> None:
            self.logs.append((round(self.now(), 3), name, event, facts))

        def made() -> Gateway:
            return Gateway(
                site.place,
                site.trade,
                site.bearings,
                site.bounds,
                site.lines,
                log,
                self.make,
                site.cuts,
                site.pace,
                site.words.places,
            )

        gateway = process.context().run(made)
        await self.within(process, gateway.start())
        if number < len(self.gateways):
            self.gateways[number] = (process, gateway)
        else:
            self.gateways.append((process, gateway))
        self.note.note("life", number, self.lives[number])

    async def _dispatcher_trouble(self, trouble: Trouble, number: int) -> None:
        process, gateway = self.gateways[number]
        if trouble.kind == "stop":
            self.note.note("stopped", number)
            process.pause()
            await asyncio.sleep(trouble.for_ms / 1000.0)
            process.resume()
            self.note.note("continued", number)
            return
        code: int = -9
        if trouble.kind == "kill":
            self.note.note("killed", number, self.lives[number])
            self.network.kill(process)
        else:
            self.note.note("told to leave", number, self.lives[number])
            code = await self._told_to_leave(process, gateway)
        self.codes.append([f"dispatcher-{number}", self.lives[number], trouble.kind, code])
        await asyncio.sleep(trouble.for_ms / 1000.0)
        self.lives[number] += 1
        await self._launch(number)

    async def _told_to_leave(self, process: Process, gateway: Gateway) -> int:
        process.resume()
        process.context().run(gateway.leave)
        try:
            async with asyncio.timeout(LEFT_TO_END_S):
                code: int = await asyncio.shield(gateway.done)
        except TimeoutError:
            code = -9
        await asyncio.sleep(0.01)
        self.network.kill(process)
        return code

    async def _leave(self) -> None:
        codes = await asyncio.gather(*(self._told_to_leave(*each) for each in self.gateways))
        for number, code in enumerate(codes):
            self.codes.append([f"dispatcher-{number}", self.lives[number], "end", code])
        for index, (process, node) in enumerate(self.stands):
            write_bytes(node, self.folder / f"node-{index}.jsonl")
            process.context().run(node.close)
        self.note.note("codes", self.codes)
        with (self.folder / "dispatchers.log").open("w") as log:
            for at, name, event, facts in self.logs:
                log.write(json.dumps([at, name, event, facts], default=str) + "\n")
        for record in self.records:
            record.close()


def play(
    file: Path,
    folder: Path,
    given: str = "",
    air: LinkConditions | None = None,
    make: type[Scheduler] = Scheduler,
) -> tuple[Scenario, VirtualLoop]:
    """Play the day into `folder`. RecordError: a wrong scenario; RealWorldError: not virtual after all."""
    scenario = read_scenario(file, given)
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        if old.is_file():
            old.unlink()
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        network = Network(loop, scenario.seed, air)

        async def day() -> None:
            try:
                async with asyncio.timeout(scenario.length_ms / 1000.0 + LONGEST_S):
                    await VirtualDay(scenario, folder, loop, network, make).play()
            except TimeoutError as trouble:  # somebody waits for what never comes, while timers go on
                why = f"not over {LONGEST_S:.0f} s after its length; see {folder}"
                raise DayNotOverError(why) from trouble

        with guarded():
            loop.run_until_complete(day())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    return scenario, loop

"""Runs one case: record, temporary folder, verdict and exit code."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins_2.client import Call, Client, new_call
from review.standins_2.discovery import Discovery
from review.standins_2.native import Room
from review.standins_2.platform import CannotRunError, Dispatcher
from review.standins_2.record import Record
from review.standins_2.server import StorageServer

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 115.0


class Case:
    """What a case has started, and what it has seen."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        """Whether the disruption is played."""
        self.breaks: list[str] = []
        """What broke the rule; empty if it held."""
        self.dispatchers: list[Dispatcher] = []
        self.servers: list[StorageServer] = []
        self.agents: list[Discovery] = []
        self.clients: list[Client] = []
        self.rooms: list[Room] = []

    def room(self) -> Room:
        """Return a machine room of the native protocol that is yet to be opened."""
        room = Room(self.record, self.folder)
        self.rooms.append(room)
        return room

    async def server(self, name: str, shard: int, work_s: float = 0.03) -> StorageServer:
        """Start a storage server."""
        server = StorageServer(self.record, name, shard, work_s)
        await server.open()
        self.servers.append(server)
        return server

    async def agent(self, name: str = "agent") -> Discovery:
        """Start a discovery agent."""
        agent = Discovery(self.record, name)
        await agent.open()
        self.agents.append(agent)
        return agent

    def client(self, dispatcher: Dispatcher) -> Client:
        """Return a new client of a dispatcher."""
        client = Client(self.record, dispatcher.port)
        self.clients.append(client)
        return client

    async def call(self, dispatcher: Dispatcher, budget_s: float, **parts: str | bytes | None) -> Call:
        """Send one request on a connection of its own."""
        client = self.client(dispatcher)
        call = await client.call(new_call(budget_s), **parts)  # type: ignore[arg-type]
        client.close()
        return call

    def broken(self, text: str) -> None:
        """Note a break of the rule."""
        self.breaks.append(text)
        self.record.write("BROKEN", what=f"'{text}'")

    async def end(self) -> None:
        """End all that the case has started."""
        for client in self.clients:
            client.close()
        for dispatcher in self.dispatchers:
            await dispatcher.kill()
        for room in self.rooms:
            await room.close()
        for server in self.servers:
            server.close()
        for agent in self.agents:
            agent.close()


async def _play(case: Case, play: Callable[[Case], Awaitable[None]]) -> int:
    try:
        async with asyncio.timeout(MAX_RUN_S):
            await play(case)
    except (CannotRunError, OSError, TimeoutError) as error:
        case.record.say(f"the case could not run: {error or type(error).__name__}")
        return NOT_RUN
    finally:
        with contextlib.suppress(ProcessLookupError):
            await case.end()
    return BROKEN if case.breaks else HELD


def main(play: Callable[[Case], Awaitable[None]], folder: Path) -> None:
    """Run a case whose script and record are in `folder`, and exit with its verdict."""
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        case = Case(record, Path(temporary))
        record.write("case", folder=folder.name, trouble=case.trouble)
        try:
            code = asyncio.run(_play(case, play))
        except Exception:
            record.say(traceback.format_exc())
            code = NOT_RUN
        for line in case.breaks[:5]:
            record.say(f"broken: {line}")
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no verdict"}[code]
        record.say(verdict)
    record.close()
    sys.exit(code)

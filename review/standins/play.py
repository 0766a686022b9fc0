"""Plays a case: a temporary folder, a time limit, the end of all that was started, and the exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.discovery import Discovery
from standins.dispatchers import CannotRun, Dispatcher
from standins.record import Record
from standins.servers import StorageServer

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_LIMIT_S = 110.0


class Deployment:
    """Everything that a case has started.

    Attributes:
        record: the record of the case.
        trouble: whether the disruption is played; `TROUBLE=0` turns it off.
        discovery: the stand-in of discovery.
        servers: the stand-ins of storage servers.
        dispatchers: the real processes.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        """Create a deployment of nothing; `folder` is empty."""
        self.record, self._folder = record, folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.discovery = Discovery(record)
        self.servers: list[StorageServer] = []
        self.dispatchers: list[Dispatcher] = []

    async def start(self, servers: list[StorageServer], dispatchers: int, settings: dict[str, Any]) -> None:
        """Start discovery, the servers and the dispatchers, and wait until all are ready."""
        await self.discovery.open()
        self.servers = servers
        for server in servers:
            await server.open()
        self.discovery.publish(*(server.entry() for server in servers))
        for number in range(dispatchers):
            dispatcher = Dispatcher(f"n{number}", self._folder, self.record)
            self.dispatchers.append(dispatcher)
            own = {**settings, "balancers": dispatchers, "ordinal": number}
            dispatcher.write_config(self.discovery.dial, own, self.discovery.whole())
        await asyncio.gather(*(dispatcher.start() for dispatcher in self.dispatchers))

    async def end(self) -> None:
        """End all that was started."""
        for dispatcher in self.dispatchers:
            await dispatcher.kill()
        for server in self.servers:
            server.close()
        self.discovery.close()


def play(case: Callable[[Deployment], Awaitable[list[str]]], record_path: Path) -> int:
    """Play a case, which returns one line for each break of its rule.

    Returns:
        The exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(record_path)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # so that what was started is ended
    try:
        with tempfile.TemporaryDirectory() as folder:
            breaks = asyncio.run(_play(case, record, Path(folder)))
    except Exception as error:  # whatever stopped the case, it has told nothing of the rule
        traceback.print_exc()
        record.write("case", "could not run", error=str(error))
        return COULD_NOT_RUN
    finally:
        record.close()
    for line in breaks:
        print(line)
    print(f"{'BROKEN' if breaks else 'held'}: {len(breaks)} breaks; see {record_path.name}")
    return BROKEN if breaks else HELD


async def _play(
    case: Callable[[Deployment], Awaitable[list[str]]], record: Record, folder: Path
) -> list[str]:
    deployment = Deployment(record, folder)
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            breaks = await case(deployment)
        for dispatcher in deployment.dispatchers:
            for line in dispatcher.log_path.read_text(errors="replace").splitlines():
                record.write(f"{dispatcher.name} log", line)
        for line in breaks:
            record.write("check", "broken", what=line)
        return breaks
    finally:
        await deployment.end()


def main(case: Callable[[Deployment], Awaitable[list[str]]], record_path: Path) -> None:
    """Play a case and end the process with its exit code."""
    sys.exit(play(case, record_path))


__all__ = ["CannotRun", "Deployment", "main", "play"]

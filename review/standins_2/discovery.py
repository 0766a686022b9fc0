"""The stand-in of the discovery agent on the dispatcher's machine."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from review.standins_2.record import Record

KEEP_ALIVE_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class Watch:
    """An open watch of a dispatcher."""

    def __init__(self, writer: asyncio.StreamWriter, number: int) -> None:
        self.writer = writer
        self.number = number
        self.has_list = False

    def write(self, text: str) -> None:
        """Send one chunk, unless the watch is closed."""
        if not self.writer.is_closing():
            data = text.encode()
            self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Discovery:
    """Tells the list of storage servers: the whole list first, then changes; an empty line every 2 s."""

    def __init__(self, record: Record, name: str = "agent") -> None:
        self.record = record
        self.name = name
        self.version = 40
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: list[Watch] = []
        self.address = ""
        self.requests = 0
        """Number of requests for the list so far."""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        task = asyncio.get_running_loop().create_task(self._keep_alive())
        self._tasks.add(task)

    def close(self) -> None:
        """Stop listening and close all watches."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for watch in self.watches:
            watch.writer.transport.abort()

    def message(self, hosts: list[dict[str, Any]], whole: bool) -> str:
        """Return a message of discovery as one line."""
        return json.dumps({"seq": self.version, "whole": whole, "hosts": hosts}) + "\n"

    def publish(self, *entries: dict[str, Any]) -> None:
        """Take changed entries in, and tell them to all watches that have the list."""
        self.version += 1
        for entry in entries:
            self.hosts[entry["host"]] = entry
            self.changes.append((self.version, entry))
        text = self.message([*entries], whole=False)
        for watch in self.watches:
            if watch.has_list:
                watch.write(text)
                self.record.write("discovery-told", watch=watch.number, text=text.strip())

    async def _keep_alive(self) -> None:
        while True:
            await asyncio.sleep(KEEP_ALIVE_S)
            for watch in self.watches:
                if watch.has_list:
                    watch.write("\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            watch = Watch(writer, self.requests)
            self.watches.append(watch)
            line = head.split(b"\r\n", 1)[0].decode()
            self.record.write("discovery-asked", agent=self.name, watch=watch.number, line=f"'{line}'")
            try:
                await self._answer(watch, line)
                await reader.read(1)  # the dispatcher's close
            finally:
                self.watches.remove(watch)
                self.record.write("discovery-watch-closed", agent=self.name, watch=watch.number)
                writer.transport.abort()

    async def _answer(self, watch: Watch, line: str) -> None:
        if watch.writer.is_closing():
            return
        since = -1
        if "since=" in line:
            since = int(line.split("since=")[1].split(" ", maxsplit=1)[0].split("&", maxsplit=1)[0])
        if since >= 0:
            changed = {entry["host"]: entry for version, entry in self.changes if version > since}
            text = self.message([*changed.values()], whole=False)
        else:
            text = self.message([*self.hosts.values()], whole=True)
        watch.writer.write(HEAD)
        watch.write(text)
        watch.has_list = True
        self.record.write("discovery-answered", watch=watch.number, text=text.strip()[:2000])


def entry(host: str, dial: str, block: int, health: str = "in_service", born_ms: int = 0) -> dict[str, Any]:
    """Return the entry of a storage server in discovery's list."""
    return {"host": host, "dial": dial, "site": "macon-1", "class": "small-2c", "block": block} | {
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }

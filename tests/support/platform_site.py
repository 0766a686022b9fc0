"""The platform on loopback, in one event loop: discovery, nodes, a dispatcher, raw clients."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from cherrygrade.http.reader import BodyBudget, Message, MessageReader
from cherrygrade.platform.config import read_config
from cherrygrade.platform.process import PlatformDispatcher
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.standin.web import WebDiscovery, WebNode

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ordinal": 0,
    "classes": [
        {"name": "read", "objectiveS": 0.2, "hardLimitS": 2.0, "importance": 3.0, "effect": "retryable"},
        {"name": "write", "objectiveS": 0.3, "hardLimitS": 1.5, "importance": 3.0, "effect": "retryable"},
        {"name": "once", "objectiveS": 0.3, "hardLimitS": 1.5, "importance": 3.0, "effect": "fragile"},
    ],
    "extra": {"writes": [False, True, True], "meanUnits": 1.0, "largest": 6, "saysOthers": True},
    "grades": [{"name": "plan", "usualRate": 1000.0}],
    "limits": {"maxAttempts": 4, "connIdleS": 15.0, "connectTimeoutS": 0.25, "retryAfter": True}
    | {"maxRetryAfterS": 1.0, "mayCancel": True, "secondCopies": True},
    "guarantees": {"drainGraceS": 0.25},
    "membershipMode": "push",
}
_CALL_IDS = iter(range(1, 10**9))


def client_request(
    target: str = "/api/00000000000000aa/00000000000000bb",
    method: str = "GET",
    body: bytes = b"",
    **fields: str | None,
) -> bytes:
    """An RPC as a client writes it; a field given as None is left out."""
    told: dict[str, str | None] = {
        "X-Call-Id": f"{next(_CALL_IDS):016x}",
        "X-Call-Class": "read" if method == "GET" else "write",
        "X-Storage-Class": "plan",
        "X-Budget-Ms": "1000",
        "X-Extent": "units=1,shard=0,hosts=1",
        "Content-Length": str(len(body)) if method != "GET" else None,
    }
    told |= {name.replace("_", "-"): value for name, value in fields.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in told.items() if value is not None)
    return f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\n{lines}\r\n".encode() + body


class RawClient:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer, self._stream, self._reader = (
            writer,
            reader,
            MessageReader(responses=True, budget=BodyBudget(10**9)),
        )
        self._found: list[Message] = []

    async def read_answer(self) -> Message | None:
        """The next answer; None where the connection ended instead."""
        while not self._found:
            try:
                data = await asyncio.wait_for(self._stream.read(65536), 4.0)
            except ConnectionError:
                return None
            if not data:
                return None
            self._reader.feed(data)
            self._found, self._reader.messages = self._reader.messages, []
        return self._found.pop(0)

    async def exchange(self, data: bytes) -> Message | None:
        self.writer.write(data)
        return await self.read_answer()


class PlatformSite:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = WebDiscovery()
        self.nodes: list[WebNode] = []
        self.logs: list[tuple[str, dict[str, Any]]] = []
        self._clients: list[RawClient] = []
        self.platform: PlatformDispatcher | None = None
        self.env = {"BALANCER_CONFIG": str(folder / "config.json")}

    async def add_node(self, **build: Any) -> WebNode:
        build.setdefault("shard", len(self.nodes))
        node = WebNode(f"s-{len(self.nodes)}", **build)
        await node.open()
        self.nodes.append(node)
        self.discovery.tell(node.entry())
        return node

    def write_config(self, **other: Any) -> None:
        """The configuration file, as the platform writes it."""
        told: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 256},
            "known": {"seq": 1, "whole": True, "hosts": [node.entry() for node in self.nodes]},
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_text(json.dumps(told | other))

    async def start(self, make: Callable[..., Any] = Scheduler, **other: Any) -> PlatformDispatcher:
        platform = await self.start_before_endpoints(make, **other)
        await self.wait_until(lambda: platform.endpoints_known)
        return platform

    async def start_before_endpoints(
        self, make: Callable[..., Any] = Scheduler, **other: Any
    ) -> PlatformDispatcher:
        """Without waiting for the first list."""
        await self.discovery.open()
        self.write_config(**other)

        def log(event: str, **facts: Any) -> None:
            self.logs.append((event, facts))

        self.platform = PlatformDispatcher(read_config(self.env), log, make, self.env)
        self.port = await self.platform.start()
        return self.platform

    async def connect_client(self) -> RawClient:
        caller = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
        self._clients.append(caller)
        return caller

    async def wait_until(self, holds: Callable[[], Any], ms: float = 2000.0) -> None:
        for _ in range(int(ms / 5.0)):
            if holds():
                return
            await asyncio.sleep(0.005)
        assert holds()

    async def close(self) -> None:
        for caller in self._clients:
            caller.writer.close()
        if self.platform is not None and not self.platform.done.done():
            self.platform.leave()
            self.platform.leave()
        for web in (self.discovery, *self.nodes):
            web.close()
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        await asyncio.sleep(0.02)


def run_case(folder: Path, story: Callable[[PlatformSite], Coroutine[Any, Any, None]]) -> None:
    async def whole() -> None:
        site = PlatformSite(folder)
        try:
            await story(site)
        finally:
            await site.close()

    asyncio.run(asyncio.wait_for(whole(), 20.0))

"""Runs discovery, nodes, a dispatcher of the platform and raw clients on loopback in one event loop."""

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
from cherrygrade.scheduling.model import Outcome
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
TARGET = b"/api/00000000000000aa/00000000000000bb"
_CALL_IDS = iter(range(1, 10**9))


def client_request(
    target: str = TARGET.decode(),
    method: str = "GET",
    body: bytes = b"",
    **fields: str | None,
) -> bytes:
    """Encode a valid request of a client.

    Args:
        target: The request target.
        method: GET for a read, PUT for a write.
        body: The body of a write.
        fields: Fields that replace or extend the usual ones, with "_" for "-"; None leaves a field out.
    """
    values: dict[str, str | None] = {
        "X-Call-Id": f"{next(_CALL_IDS):016x}",
        "X-Call-Class": "read" if method == "GET" else "write",
        "X-Storage-Class": "plan",
        "X-Budget-Ms": "1000",
        "X-Extent": "units=1,shard=0,hosts=1",
        "Content-Length": str(len(body)) if method != "GET" else None,
    }
    values |= {name.replace("_", "-"): value for name, value in fields.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in values.items() if value is not None)
    return f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\n{lines}\r\n".encode() + body


class OutcomeRecorder(Scheduler):
    """A scheduler that records the outcomes of attempts."""

    outcomes: list[Outcome | None]

    def decide(self, now, writer, **inputs):
        self.outcomes = getattr(self, "outcomes", []) + [attempt.outcome for attempt in inputs["outcomes"]]
        super().decide(now, writer, **inputs)


class RawClient:
    """A client's connection that writes any bytes and parses the answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer, self._stream, self._reader = (
            writer,
            reader,
            MessageReader(responses=True, budget=BodyBudget(10**9)),
        )
        self._answers: list[Message] = []

    async def read_answer(self) -> Message | None:
        """Return the next answer; None if the connection ends before it."""
        while not self._answers:
            try:
                data = await asyncio.wait_for(self._stream.read(65536), 4.0)
            except ConnectionError:
                return None
            if not data:
                return None
            self._reader.feed(data)
            self._answers, self._reader.messages = self._reader.messages, []
        return self._answers.pop(0)

    async def exchange(self, data: bytes) -> Message | None:
        """Write `data` and return the next answer; None if the connection ends before it."""
        self.writer.write(data)
        return await self.read_answer()


class PlatformSite:
    """Discovery, nodes, a dispatcher and its clients, in a folder for the configuration file."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = WebDiscovery()
        self.nodes: list[WebNode] = []
        self.logs: list[tuple[str, dict[str, Any]]] = []
        self._clients: list[RawClient] = []
        self.dispatcher: PlatformDispatcher | None = None
        self.env = {"BALANCER_CONFIG": str(folder / "config.json")}

    async def add_node(self, **build: Any) -> WebNode:
        """Start a node, given the arguments of `WebNode`, and add it to discovery's list."""
        build.setdefault("shard", len(self.nodes))
        node = WebNode(f"s-{len(self.nodes)}", **build)
        await node.open()
        self.nodes.append(node)
        self.discovery.publish(node.entry())
        return node

    def write_config(self, **other: Any) -> None:
        """Write the configuration file; `other` replaces keys of it."""
        content: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 256},
            "known": {"seq": 1, "whole": True, "hosts": [node.entry() for node in self.nodes]},
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_text(json.dumps(content | other))

    async def start(self, make: Callable[..., Any] = Scheduler, **other: Any) -> PlatformDispatcher:
        """Start the dispatcher, and wait until it has a list of endpoints."""
        dispatcher = await self.start_before_endpoints(make, **other)
        await self.wait_until(lambda: dispatcher.endpoints_known)
        return dispatcher

    async def start_before_endpoints(
        self, make: Callable[..., Any] = Scheduler, **other: Any
    ) -> PlatformDispatcher:
        """Start the dispatcher without waiting for a list of endpoints.

        Args:
            make: Makes the scheduler.
            other: Keys of the configuration file.
        """
        await self.discovery.open()
        self.write_config(**other)

        def log(event: str, **facts: Any) -> None:
            self.logs.append((event, facts))

        self.dispatcher = PlatformDispatcher(read_config(self.env), log, make, self.env)
        self.port = await self.dispatcher.start()
        return self.dispatcher

    async def connect_client(self) -> RawClient:
        client = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
        self._clients.append(client)
        return client

    async def wait_until(self, condition: Callable[[], Any], timeout_ms: float = 2000.0) -> None:
        """Poll the condition every 5 ms; fail if it is not true in time."""
        for _ in range(int(timeout_ms / 5.0)):
            if condition():
                return
            await asyncio.sleep(0.005)
        assert condition()

    async def close(self) -> None:
        """Close all clients, end the dispatcher at once, and close discovery and nodes."""
        for client in self._clients:
            client.writer.close()
        if self.dispatcher is not None and not self.dispatcher.done.done():
            self.dispatcher.leave()
            self.dispatcher.leave()
        for web in (self.discovery, *self.nodes):
            web.close()
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        await asyncio.sleep(0.02)


def run_case(folder: Path, case: Callable[[PlatformSite], Coroutine[Any, Any, None]]) -> None:
    """Run a test case with a new `PlatformSite`, which is closed afterwards."""

    async def run() -> None:
        site = PlatformSite(folder)
        try:
            await case(site)
        finally:
            await site.close()

    asyncio.run(asyncio.wait_for(run(), 20.0))

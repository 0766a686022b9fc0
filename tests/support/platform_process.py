"""A dispatcher of the platform as a process under its own limits, discovery and a node beside the test."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import psutil
from support.platform_site import SETTINGS, RawClient, client_request
from support.port_reservation import release, reserve

from cherrygrade.standin.web import WebDiscovery, WebNode

ROOT = Path(__file__).parents[2]
SOCKETS = 128


class PlatformProcess:
    """One dispatcher by itself, with a node and discovery in this process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery, self.node = WebDiscovery(breath_s=0.5), WebNode("s-0", 0)
        self.clients: list[RawClient] = []

    async def start(self) -> None:
        await self.discovery.open()
        await self.node.open()
        self.discovery.tell(self.node.entry())
        self.address = reserve(1)[0]
        self.port = int(self.address.rpartition(":")[2])
        config = self.folder / "config.json"
        told = {"name": "n0", "listen": self.address, "discovery": self.discovery.address}
        told |= {"seed": "1", "limits": {"sockets": SOCKETS, "memory_mb": 64}, "settings": SETTINGS}
        config.write_text(json.dumps(told))
        self.log = (self.folder / "log").open("w+b")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "cherrygrade", "platform"),
            env={"BALANCER_CONFIG": str(config), "PATH": "", "PYTHONPATH": str(ROOT)},
            cwd=ROOT,
            stderr=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)),
        )
        self.process_info = psutil.Process(self.process.pid)
        await self.wait_until(self.ready)

    async def wait_until(self, holds: Callable[[], Awaitable[bool]], s: float = 15.0) -> None:
        end = asyncio.get_running_loop().time() + s
        while not await holds():
            assert asyncio.get_running_loop().time() < end, self.read_log()
            await asyncio.sleep(0.02)

    async def ready(self) -> bool:
        try:
            caller = await self.connect_client()
        except ConnectionError:
            return False
        answered = await caller.exchange(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        caller.writer.close()
        return answered is not None and answered.status == 200

    async def connect_client(self) -> RawClient:
        caller = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(caller)
        return caller

    async def status_on_new_connection(self, target: str = "/api/00000000000000aa/00000000000000bb") -> int:
        """The status that a client gets that comes just now; 0 where its connection ended instead."""
        caller = await self.connect_client()
        answered = await caller.exchange(client_request(target))
        caller.writer.close()
        return answered.status if answered is not None else 0

    def read_log(self) -> str:
        self.log.seek(0)
        return self.log.read().decode()

    async def stop(self) -> int:
        for caller in self.clients:
            caller.writer.close()
        self.process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(self.process.wait(), 10.0)
        release(self.address)
        self.discovery.close()
        self.node.close()
        return code

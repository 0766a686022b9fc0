"""A process of the platform under its own limit of descriptors: a crowd that rests or says nothing, and
discovery down. Judged from outside: the process table, what fresh clients and nodes see.
"""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import psutil
import pytest
from square import SETTINGS, Caller, ask

from cherrygrade.standin.web import WebDiscovery, WebNode

ROOT = Path(__file__).parent.parent
SOCKETS = 128


class Started:
    """One dispatcher by itself, with a node and discovery in this process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery, self.node = WebDiscovery(breath_s=0.5), WebNode("s-0", 0)
        self.callers: list[Caller] = []

    async def start(self) -> None:
        await self.discovery.open()
        await self.node.open()
        self.discovery.tell(self.node.entry())
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        config = self.folder / "config.json"
        told = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery.address}
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
        self.seen = psutil.Process(self.process.pid)
        await self.until(self.ready)

    async def until(self, holds: Callable[[], Awaitable[bool]], s: float = 15.0) -> None:
        end = asyncio.get_running_loop().time() + s
        while not await holds():
            assert asyncio.get_running_loop().time() < end, self.told()
            await asyncio.sleep(0.02)

    async def ready(self) -> bool:
        try:
            caller = await self.caller()
        except ConnectionError:
            return False
        answered = await caller.call(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        caller.writer.close()
        return answered is not None and answered.status == 200

    async def caller(self) -> Caller:
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.port))
        self.callers.append(caller)
        return caller

    async def fresh(self) -> int:
        """The status that a client gets that comes just now; 0 where its connection ended instead."""
        caller = await self.caller()
        answered = await caller.call(ask())
        caller.writer.close()
        return answered.status if answered is not None else 0

    def told(self) -> str:
        self.log.seek(0)
        return self.log.read().decode()

    async def end(self) -> int:
        for caller in self.callers:
            caller.writer.close()
        self.process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(self.process.wait(), 10.0)
        self.discovery.close()
        self.node.close()
        return code


@pytest.mark.parametrize("crowd", ["rests", "is silent", "sends half"])
def test_a_crowd_that_fills_every_place_while_discovery_is_down_shuts_nobody_out(tmp_path, crowd):
    async def story() -> None:
        one = Started(tmp_path)
        await one.start()
        try:
            one.discovery.down = True
            one.discovery.hush()
            most = 0
            for number in range(3 * SOCKETS):
                try:
                    caller = await one.caller()
                    if crowd == "rests":
                        await caller.call(ask())
                    elif crowd == "sends half":
                        caller.writer.write(ask()[:-7])
                except ConnectionError:
                    pass
                if not number % 16:
                    assert await one.fresh() == 200
                    most = max(most, one.seen.num_fds())
            assert most <= SOCKETS - 8  # never near the limit, so that no accept and no connect fails for it
            before = sum(one.seen.cpu_times()[:2])
            await asyncio.sleep(1.0)
            assert sum(one.seen.cpu_times()[:2]) - before < 0.5  # and nothing spins

            # Discovery is back: its watch and the connections to nodes had their places all along.
            one.discovery.down = False

            async def watched() -> bool:
                return len(one.discovery.asked) > asked and len(one.discovery.peers) == 1

            asked = len(one.discovery.asked)
            await one.until(watched, 4.0)
            one.discovery.tell(one.node.entry("terminating"))

            async def drained() -> bool:
                return await one.fresh() == 503

            await one.until(drained, 6.0)
            assert not one.discovery.late(one.node)
            told = one.told()
            assert "Traceback" not in told and "Too many open files" not in told
            assert "out of system resource" not in told
        finally:
            code = await one.end()
        assert code == 0

    asyncio.run(asyncio.wait_for(story(), 60.0))

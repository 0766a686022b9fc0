"""A dispatcher of the platform as a process with limited file descriptors, beside stand-ins in the test."""

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
    """A dispatcher process; its node and its discovery service run in the test's process."""

    def __init__(self, folder: Path, sockets: int = SOCKETS, memory_mb: int = 64) -> None:
        """Prepare a process.

        Args:
            folder: Folder for the configuration file and the log.
            sockets: Limit on file descriptors.
            memory_mb: Limit on memory that the configuration names, MiB; nothing enforces it.
        """
        self.folder, self.sockets, self.memory_mb = folder, sockets, memory_mb
        self.discovery, self.node = WebDiscovery(keepalive_interval_s=0.5), WebNode("s-0", 0)
        self.clients: list[RawClient] = []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, output: int | None = None) -> None:
        """Start the process and wait until it is ready; `output` is a descriptor in place of the log."""
        await self.discovery.open()
        await self.node.open()
        self.discovery.publish(self.node.entry())
        self.address = reserve(1)[0]
        self.port = int(self.address.rpartition(":")[2])
        config_path = self.folder / "config.json"
        config = {"name": "n0", "listen": self.address, "discovery": self.discovery.address}
        config |= {"seed": "1", "limits": {"sockets": self.sockets, "memory_mb": self.memory_mb}}
        config |= {"settings": SETTINGS}
        config_path.write_text(json.dumps(config))
        self.log = (self.folder / "log").open("w+b")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "cherrygrade", "platform"),
            env={"BALANCER_CONFIG": str(config_path), "PATH": "", "PYTHONPATH": str(ROOT)},
            cwd=ROOT,
            stdout=self.log if output is None else output,
            stderr=self.log if output is None else output,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
        )
        self.process_info = psutil.Process(self.process.pid)
        await self.wait_until(self.ready)

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], timeout_s: float = 15.0) -> None:
        """Poll the condition; fail with the process's log if it is not true in time."""
        end = asyncio.get_running_loop().time() + timeout_s
        while not await condition():
            assert asyncio.get_running_loop().time() < end, self.read_log()
            await asyncio.sleep(0.02)

    async def ready(self) -> bool:
        """Return whether the process answers `GET /ready` with 200."""
        try:
            client = await self.connect_client()
        except ConnectionError:
            return False
        answer = await client.exchange(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        client.writer.close()
        return answer is not None and answer.status == 200

    async def connect_client(self) -> RawClient:
        client = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(client)
        return client

    async def status_on_new_connection(
        self, target: str = "/api/00000000000000aa/00000000000000bb", **fields: str
    ) -> int:
        """Return the status that a new client gets; 0 if its connection ends without an answer."""
        client = await self.connect_client()
        answer = await client.exchange(client_request(target, **fields))
        client.writer.close()
        return answer.status if answer is not None else 0

    def kill(self) -> None:
        """Kill the process if it runs, as at the end of a test that has failed."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    @property
    def peak_mib(self) -> float:
        """The most memory that the process has had resident, MiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024.0

    def read_log(self) -> str:
        """Return everything that the process has logged."""
        self.log.seek(0)
        return self.log.read().decode()

    async def stop(self) -> int:
        """Close all clients, stop the process by SIGTERM, and return its exit code."""
        for client in self.clients:
            client.writer.close()
        self.process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(self.process.wait(), 10.0)
        release(self.address)
        self.discovery.close()
        self.node.close()
        return code


async def run_process(
    folder: Path,
    sockets: int,
    memory_mb: int,
    case: Callable[[PlatformProcess], Awaitable[None]],
    output: int | None = None,
) -> None:
    """Start a process, run a test case with it, and kill the process if the case has not stopped it."""
    process = PlatformProcess(folder, sockets, memory_mb)
    try:
        await asyncio.wait_for(process.start(output), 30.0)
        await asyncio.wait_for(case(process), 60.0)
    finally:
        process.kill()

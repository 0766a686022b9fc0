"""The stand-in of the platform: it starts, signals and ends dispatchers by the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from review.standins_2.record import Record

ROOT = Path(__file__).resolve().parents[2]
START_LIMIT_S = 30.0  # STANDING: a dispatcher that takes over 30 s to be ready has failed


class CannotRunError(Exception):
    """The case could not run, so that it has no verdict."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Dispatcher:
    """A dispatcher as the platform runs it: `run` of the deploy file, in a process of its own."""

    def __init__(
        self, record: Record, folder: Path, name: str, discovery: str, settings: dict[str, Any], **config: Any
    ) -> None:
        self.record = record
        self.name = name
        self.port = free_port()
        self.folder = folder
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": settings,
        } | config
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process's id."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process by `run`, and wait until `GET /ready` is answered with 200."""
        await self.launch()
        end = self.record.now() + START_LIMIT_S
        while not await self.is_ready():
            if self.record.now() > end or not self.is_running:
                raise CannotRunError(f"{self.name} did not get ready; its log is in {self.folder}")
            await asyncio.sleep(0.05)
        self.record.write("dispatcher-ready", name=self.name, pid=self.pid)

    async def launch(self) -> None:
        """Start the process by `run`."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        temporary = self.folder / f"{self.name}-tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        sockets = self.config["limits"]["sockets"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", run),
                env=environment,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self.record.write("dispatcher-started", name=self.name, pid=self.pid)

    async def is_ready(self) -> bool:
        """Return whether `GET /ready` is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
            return line.split(b" ")[1:2] == [b"200"]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if self.is_running:
            os.kill(self.pid, number)
            self.record.write("signal", name=self.name, number=number.name)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running:
            assert self.process is not None
            self.signal(signal.SIGKILL)
            await self.process.wait()

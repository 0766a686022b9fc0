"""Starts real dispatchers by `run` of the deploy file, as the platform does, and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_LIMIT_S = 30.0


class CannotRun(Exception):  # noqa: N818
    """The case could not be played, so it tells nothing."""


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Dispatcher:
    """One process that `run` started.

    Attributes:
        name: its name in the configuration.
        listen: the address for clients.
    """

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        """Create a dispatcher that is not started yet; its files stand in `folder`."""
        self.name, self.listen = name, free_address()
        self._folder, self._record = folder, record
        self._config: dict[str, Any] = {}
        self.process: asyncio.subprocess.Process | None = None

    @property
    def config_path(self) -> Path:
        """Path of the configuration file."""
        return self._folder / f"{self.name}.json"

    @property
    def log_path(self) -> Path:
        """Path of the dispatcher's log."""
        return self._folder / f"{self.name}.log"

    def write_config(self, discovery: str, settings: dict[str, Any], known: dict[str, Any]) -> None:
        """Write the configuration file."""
        self._config = {
            "name": self.name,
            "listen": self.listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        self.config_path.write_text(json.dumps(self._config))

    async def start(self) -> None:
        """Start the process by `run` and wait until it says that it is ready.

        Raises:
            CannotRun: It is not ready in time.
        """
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.listen,
            "BALANCER_DISCOVERY": self._config["discovery"],
            "BALANCER_CONFIG": str(self.config_path),
        }
        environment.pop("PYTHONPATH", None)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(self.name, "started", pid=self.process.pid)
        for _ in range(int(READY_LIMIT_S / 0.05)):
            if await self._is_ready():
                self._record.write(self.name, "ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {self.log_path.read_text()[-2000:]}")

    async def _is_ready(self) -> bool:
        host, _, port = self.listen.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return b" 200 " in answer.partition(b"\r\n")[0]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self._record.write(self.name, number.name)
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself or by a signal."""
        return self.process is None or self.process.returncode is not None

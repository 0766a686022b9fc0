"""The migration to gossip and its rollback by docs/migration.md, with three dispatchers as processes.

Guards against dispatchers with old and new settings that cannot serve side by side.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

from support.gateway_site import GatewaySite, run
from support.port_reservation import release, reserve

from cherrygrade.client import Client, Ok

ROOT = Path(__file__).parents[2]

OLD = """
place: {{name: "d{number}", listen: "{listen}", register: "{register}", number: {number}, dispatchers: 3}}
workloads: write: {{soft_ms: 900, deadline_ms: 1500, writes: true}}
plans: plan: usual_rate: 1000
volumes: v: plan: plans.plan
"""
NEW = """
permits: peers: true
earnings: tells_elsewhere: false
words: places: {places}
"""


class Dispatchers:
    def __init__(self, folder: Path, register: str) -> None:
        self.listen_addresses, self.gossip_addresses, self.folder, self.register = (
            reserve(3),
            reserve(3),
            folder,
            register,
        )
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.logs: list[str] = []

    def file(self, number: int, new: bool) -> Path:
        text = OLD.format(number=number, listen=self.listen_addresses[number], register=self.register)
        text += NEW.format(places=json.dumps(self.gossip_addresses)) if new else ""
        path = self.folder / f"d{number}.{'new' if new else 'old'}.rec"
        path.write_text(text)
        return path

    async def start(self, number: int, new: bool) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrygrade",
            "serve",
            str(self.file(number, new)),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        assert b"listening" in await process.stdout.readline()
        self.running[number] = process

    async def stop(self, number: int) -> None:
        process = self.running.pop(number)
        process.send_signal(signal.SIGTERM)
        _, log = await process.communicate()
        self.logs.append(log.decode())
        assert process.returncode == 0

    async def write_through_all(self) -> None:
        """Write through each dispatcher; all must answer OK, with old and new settings side by side."""
        for number in self.running:
            client = Client(self.listen_addresses[number], f"c{number}")
            for index in range(15):
                answer = await client.write("write", "v", f"k{index}", b"x" * 512, deadline_ms=1500)
                assert isinstance(answer, Ok)
            client.close()

    def gossip_log_lines(self) -> list[dict[str, int]]:
        lines = [json.loads(line) for log in self.logs for line in log.splitlines() if line.startswith("{")]
        return [line for line in lines if line.get("event") == "gossip messages"]


def test_migration_and_rollback_one_dispatcher_at_a_time(tmp_path):
    async def case(site: GatewaySite) -> None:
        for shard in range(3):
            await site.node(shard)
        await site.register.start()
        dispatchers = Dispatchers(tmp_path, site.register.address)
        try:
            await asyncio.gather(*[dispatchers.start(number, False) for number in range(3)])
            await asyncio.sleep(0.2)
            await dispatchers.write_through_all()
            for new in (True, False):
                for number in range(3):
                    await dispatchers.stop(number)
                    await dispatchers.start(number, new)
                    await asyncio.sleep(0.1)
                    await dispatchers.write_through_all()
                if new:
                    assert not dispatchers.gossip_log_lines()  # dispatchers without gossip write no such line
            assert sum(line["said"] for line in dispatchers.gossip_log_lines()) > 0
            assert all(
                line["nonsense"] == 0 and line["dropped"] == 0 for line in dispatchers.gossip_log_lines()
            )
        finally:
            for process in dispatchers.running.values():
                process.kill()
                await process.wait()
            release(*dispatchers.listen_addresses, *dispatchers.gossip_addresses)

    run(case, 40.0)

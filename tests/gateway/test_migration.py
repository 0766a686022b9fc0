"""docs/migration.md followed on stand-ins: three dispatchers as processes, forward and back, in turn."""

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


class Fleet:
    def __init__(self, folder: Path, register: str) -> None:
        self.listens, self.places, self.folder, self.register = reserve(3), reserve(3), folder, register
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.logs: list[str] = []

    def file(self, number: int, new: bool) -> Path:
        text = OLD.format(number=number, listen=self.listens[number], register=self.register)
        text += NEW.format(places=json.dumps(self.places)) if new else ""
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

    async def end(self, number: int) -> None:
        process = self.running.pop(number)
        process.send_signal(signal.SIGTERM)
        _, log = await process.communicate()
        self.logs.append(log.decode())
        assert process.returncode == 0

    async def use(self) -> None:
        """Every dispatcher answers ok, whichever shape it and its neighbours are of."""
        for number in self.running:
            client = Client(self.listens[number], f"c{number}")
            for index in range(15):
                answer = await client.write("write", "v", f"k{index}", b"x" * 512, deadline_ms=1500)
                assert isinstance(answer, Ok)
            client.close()

    def words(self) -> list[dict[str, int]]:
        lines = [json.loads(line) for log in self.logs for line in log.splitlines() if line.startswith("{")]
        return [line for line in lines if line.get("event") == "gossip messages"]


def test_the_move_goes_forward_and_back_one_dispatcher_at_a_time(tmp_path):
    async def story(house: GatewaySite) -> None:
        for shard in range(3):
            await house.node(shard)
        await house.register.start()
        fleet = Fleet(tmp_path, house.register.address)
        try:
            await asyncio.gather(*[fleet.start(number, False) for number in range(3)])
            await asyncio.sleep(0.2)
            await fleet.use()
            for new in (True, False):
                for number in range(3):
                    await fleet.end(number)
                    await fleet.start(number, new)
                    await asyncio.sleep(0.1)
                    await fleet.use()
                if new:
                    assert not fleet.words()  # who shares nothing has no such line
            assert sum(line["said"] for line in fleet.words()) > 0
            assert all(line["nonsense"] == 0 and line["dropped"] == 0 for line in fleet.words())
        finally:
            for process in fleet.running.values():
                process.kill()
                await process.wait()
            release(*fleet.listens, *fleet.places)

    run(story, 40.0)

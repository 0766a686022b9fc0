"""The stand-ins as processes of their own, driven over their control connections."""

from __future__ import annotations

import asyncio
import base64
import json
import signal
import zlib
from pathlib import Path

from cherrygrade.standin.emulated_network import EmulatedNetwork
from cherrygrade.standin.node import Build, Node
from cherrygrade.standin.record import Record
from cherrygrade.standin.register import Register


async def _until_told() -> None:
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    await told.wait()


async def run_node(listen: str, control: str, build: Build, seed: int, record: Path | None) -> None:
    """Print 'listening PORT CONTROL-PORT'; on SIGTERM write beside the record what bytes are held."""
    note = Record(record)
    node = Node(listen, build, seed, note)
    port = await node.start(control)
    print(f"listening {port} {node.control_port}", flush=True)
    await _until_told()
    if record is not None:
        write_bytes(node, record)
    note.flush()
    node.close()


def write_bytes(node: Node, record: Path) -> None:
    """Beside its record, what bytes the node holds."""
    held = [
        [
            volume,
            key,
            len(data),
            zlib.crc32(data),
            base64.b64encode(data).decode() if len(data) <= 64 * 1024 else "",
        ]
        for (volume, key), data in node.bytes.items()
    ]
    record.with_suffix(".bytes.json").write_text(json.dumps(held))


async def run_ways(count: int, port: int, bound: int, fleet: str, seed: int, record: Path | None) -> None:
    ways = EmulatedNetwork(count, port, bound, fleet, seed, record)
    control = await ways.start("127.0.0.1:0")
    print(f"listening {control}", flush=True)
    await _until_told()
    ways.close()


async def run_register(listen: str, control: str, record: Path | None) -> None:
    note = Record(record)
    register = Register(listen, 1, note)
    port = await register.start(control)
    print(f"listening {port} {register.control_port}", flush=True)
    await _until_told()
    note.flush()
    register.close()

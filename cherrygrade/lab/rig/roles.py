"""Runs the stand-ins (node, registry, fault-injecting network) as processes of their own.

The laboratory drives them over their control connections. Each runs until SIGTERM or SIGINT.
"""

from __future__ import annotations

import asyncio
import base64
import json
import signal
import zlib
from pathlib import Path

from cherrygrade.standin.node import Build, Node
from cherrygrade.standin.record import Record
from cherrygrade.standin.register import Register
from cherrygrade.standin.ways import Ways


async def _wait_for_end_signal() -> None:
    signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled.set)
    await signalled.wait()


async def run_node(listen: str, control: str, build: Build, seed: int, record: Path | None) -> None:
    """Runs a storage node stand-in and prints "listening PORT CONTROL-PORT".

    On a signal to end, the stored bytes are written to a file beside the record.

    Args:
        listen: host:port for dispatchers.
        control: host:port for the control connection.
        build: Capacity and timing of the node.
        seed: Seed of its random source.
        record: Record file; None records nothing.
    """
    recorder = Record(record)
    node = Node(listen, build, seed, recorder)
    port = await node.start(control)
    print(f"listening {port} {node.control_port}", flush=True)
    await _wait_for_end_signal()
    if record is not None:
        write_bytes(node, record)
    recorder.flush()
    node.close()


def write_bytes(node: Node, record: Path) -> None:
    """Writes the bytes that the node stores to "NAME.bytes.json" beside its record.

    Each entry has volume, key, length, CRC-32 and the bytes in base64 (empty above 64 KiB).
    """
    stored = [
        [
            volume,
            key,
            len(data),
            zlib.crc32(data),
            base64.b64encode(data).decode() if len(data) <= 64 * 1024 else "",
        ]
        for (volume, key), data in node.bytes.items()
    ]
    record.with_suffix(".bytes.json").write_text(json.dumps(stored))


async def run_ways(count: int, port: int, bound: int, fleet: str, seed: int, record: Path | None) -> None:
    """Runs the network between dispatchers, with injected faults, and prints "listening CONTROL-PORT".

    Args:
        count: Number of dispatchers.
        port: Port at which dispatchers are announced; the network receives there.
        bound: Port to which dispatchers are bound.
        fleet: Name of the fleet.
        seed: Seed of the random source of the faults.
        record: File for the log of datagrams; None logs nothing.
    """
    ways = Ways(count, port, bound, fleet, seed, record)
    control = await ways.start("127.0.0.1:0")
    print(f"listening {control}", flush=True)
    await _wait_for_end_signal()
    ways.close()


async def run_register(listen: str, control: str, record: Path | None) -> None:
    """Runs the registry stand-in and prints "listening PORT CONTROL-PORT".

    Args:
        listen: host:port for dispatchers.
        control: host:port for the control connection.
        record: Record file; None records nothing.
    """
    recorder = Record(record)
    register = Register(listen, 1, recorder)
    port = await register.start(control)
    print(f"listening {port} {register.control_port}", flush=True)
    await _wait_for_end_signal()
    recorder.flush()
    register.close()

"""Places of loopback for processes and servers that have to come back where they were, or be told of
beforehand: nobody else gets them, whatever runs beside, until they are given back.

They lie below what the system hands out by itself. A socket that is bound and never listens holds the port;
as it allows reuse, the one that the place is for can listen there (as asyncio's servers and the program's own
door do), and whoever looks for a place by this module, in whichever process, passes over it.
"""

from __future__ import annotations

import os
import socket
from pathlib import Path

SPAN = 12_000
HOST = "127.0.0.1"
_holds: dict[int, socket.socket] = {}
_next = os.getpid() * 131


def reserve(count: int) -> list[str]:
    """Places, `host:port`, free for streams and datagrams alike; this process's until `release`."""
    global _next
    low = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    found: list[str] = []
    for _ in range(SPAN):
        if len(found) == count:
            return found
        _next += 1
        port = low - SPAN + _next % SPAN
        if _hold(port):
            found.append(f"{HOST}:{port}")
    raise AssertionError(f"no {count} free places between {low - SPAN} and {low}")


def release(*places: str) -> None:
    for place in places:
        _holds.pop(int(place.rpartition(":")[2])).close()


def _hold(port: int) -> bool:
    hold = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as word:
        try:
            hold.bind((HOST, port))  # without reuse: refused where anybody is bound
            word.bind((HOST, port))
        except OSError:
            hold.close()
            return False
    hold.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _holds[port] = hold
    return True

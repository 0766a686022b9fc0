"""Reservation of loopback ports for processes and servers under test.

Some tests must know an address before a server starts, or start a server again at the same address. A
reserved port is given to no other user of this module, in any process, until it is released.

The ports lie below the range from which the system assigns ports by itself. A reservation is a socket that is
bound and never listens. Since the socket allows reuse, a server that allows it too can listen at the port, as
asyncio's servers and the program's own listener do.
"""

from __future__ import annotations

import os
import socket
from pathlib import Path

PORT_COUNT = 12_000
"""Number of ports below the system's range that reservations are taken from."""
HOST = "127.0.0.1"
"""The loopback address of all reserved ports."""
_sockets: dict[int, socket.socket] = {}  # by reserved port
_next_offset = os.getpid() * 131  # processes start at different ports


def reserve(count: int) -> list[str]:
    """Reserve ports that are free for TCP and UDP.

    Returns:
        An address `host:port` for each port; it is reserved until `release`.
    """
    global _next_offset
    first_system_port = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    addresses: list[str] = []
    for _ in range(PORT_COUNT):
        if len(addresses) == count:
            return addresses
        _next_offset += 1
        port = first_system_port - PORT_COUNT + _next_offset % PORT_COUNT
        if _reserve_port(port):
            addresses.append(f"{HOST}:{port}")
    raise AssertionError(
        f"no {count} free ports between {first_system_port - PORT_COUNT} and {first_system_port}"
    )


def release(*addresses: str) -> None:
    """End the reservations of these addresses."""
    for address in addresses:
        _sockets.pop(int(address.rpartition(":")[2])).close()


def _reserve_port(port: int) -> bool:
    """Reserve a port if it is free, and return whether it was."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_check:
        try:
            reservation.bind(
                (HOST, port)
            )  # fails if any socket is bound there, because reuse is not allowed yet
            udp_check.bind((HOST, port))
        except OSError:
            reservation.close()
            return False
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _sockets[port] = reservation
    return True

"""Passes received datagrams to the fleet agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class DatagramReceiver(asyncio.DatagramProtocol):
    """The asyncio protocol of the agent's UDP socket."""

    def __init__(self, on_datagram: Callable[[bytes, tuple[str, int]], None]) -> None:
        """Take the function that is called with each datagram and its sender's IP address and port."""
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by asyncio with each datagram; `addr` begins with the sender's IP address and port."""
        self._on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio where a member's port is closed; the failure detector notices that."""

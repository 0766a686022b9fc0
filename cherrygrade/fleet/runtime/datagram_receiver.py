"""Hands received datagrams to the fleet agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.fleet_agent import FleetAgent


class DatagramReceiver(asyncio.DatagramProtocol):
    """The asyncio protocol of the agent's UDP socket."""

    def __init__(self, agent: FleetAgent) -> None:
        self.agent = agent

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by asyncio with each datagram; `addr` begins with the sender's IP address and port."""
        self.agent.datagram_received(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio where nobody listens at a member's address: its silence is noticed anyway."""

"""Hands received datagrams to the fleet agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.fleet_agent import FleetAgent


class DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, agent: FleetAgent) -> None:
        self.agent = agent

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.agent.came(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        pass  # a place where nobody listens: found out by silence, as everywhere

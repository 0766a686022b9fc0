"""Datagrams of a virtual loop: lost, late, doubled and out of order, as they are told to be."""

from __future__ import annotations

import asyncio
from contextvars import copy_context
from dataclasses import dataclass
from typing import Any, Protocol

from cherrygrade.virtual.loop import CURRENT, VirtualLoop


@dataclass(frozen=True, slots=True)
class DatagramConditions:
    """What becomes of datagrams: parts lost and doubled; ms of way, each drawn anew, so that they
    overtake."""

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    delay_ms: float = 0.1
    jitter_ms: float = 0.5


class DatagramNetwork(Protocol):
    """The network, as a datagram needs it."""

    datagrams: dict[tuple[str, int], Any]
    datagrams_sent: int
    datagram_bytes: int

    @property
    def loop(self) -> VirtualLoop: ...

    @property
    def random_streams(self) -> Any: ...

    def is_partitioned(self, one: str, other: str) -> bool: ...


class VirtualDatagrams(asyncio.DatagramTransport):
    """One bound place. What comes to a process that stands still waits for it, as in a socket's queue."""

    def __init__(
        self, network: DatagramNetwork, rain: DatagramConditions, place: tuple[str, int], protocol: Any
    ) -> None:
        super().__init__({"sockname": place})
        self.network, self.rain, self.place, self.protocol = network, rain, place, protocol
        self.process, self.context = CURRENT.get(), copy_context()
        self._closed = False
        self.network.datagrams[place] = self

    def sendto(self, data: Any, addr: Any = None) -> None:
        if self._closed:
            return
        network = self.network
        network.datagrams_sent += 1
        network.datagram_bytes += len(data)
        there = network.datagrams.get(addr)
        ours = self.process.name if self.process else ""
        theirs = there.process.name if there is not None and there.process else ""
        if there is None or network.is_partitioned(ours, theirs):
            return
        draw = network.random_streams.part(f"{self.place}>")
        times = (
            0
            if draw.random() < self.rain.loss_probability
            else 1 + (draw.random() < self.rain.duplicate_probability)
        )
        for _ in range(times):
            after = self.rain.delay_ms + self.rain.jitter_ms * float(draw.random())
            at, landed = network.loop.time() + after / 1000.0, there.landed
            network.loop.call_at(at, landed, bytes(data), self.place, context=there.context)

    def landed(self, data: bytes, source: tuple[str, int]) -> None:
        if not self._closed:
            self.protocol.datagram_received(data, source)

    def is_closing(self) -> bool:
        return self._closed

    def close(self) -> None:
        self._closed = True
        if self.network.datagrams.get(self.place) is self:
            del self.network.datagrams[self.place]

    abort = close

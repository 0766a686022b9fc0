"""Datagrams on a virtual loop: they may be lost, delayed, duplicated and reordered."""

from __future__ import annotations

import asyncio
from contextvars import copy_context
from dataclasses import dataclass
from typing import Any, Protocol

from cherrygrade.virtual.loop import CURRENT, VirtualLoop


@dataclass(frozen=True, slots=True)
class DatagramConditions:
    """Loss, duplication and delay of datagrams.

    Each datagram, and each duplicate, draws a delay of its own, so datagrams overtake each other.

    Attributes:
        loss_probability: Part of the datagrams that do not arrive, 0 to 1.
        duplicate_probability: Part of those that are not lost that arrive twice, 0 to 1.
        delay_ms: Least delay, ms.
        jitter_ms: Greatest random delay that is added to it, ms.
    """

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    delay_ms: float = 0.1
    jitter_ms: float = 0.5


class DatagramNetwork(Protocol):
    """The part of the network that datagram transports use.

    Attributes:
        datagrams: Open transport for each address.
        datagrams_sent: Number of datagrams sent, lost ones included.
        datagram_bytes: Number of bytes in them.
    """

    datagrams: dict[tuple[str, int], Any]
    datagrams_sent: int
    datagram_bytes: int

    @property
    def loop(self) -> VirtualLoop:
        """The event loop that datagrams are delivered on."""
        ...

    @property
    def random_streams(self) -> Any:
        """The network's `RandomStreams`."""
        ...

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Return whether datagrams from one process to the other are dropped."""
        ...


class VirtualDatagrams(asyncio.DatagramTransport):
    """A datagram socket that is bound to an address.

    Datagrams for a process that is paused are delivered when it resumes, as from a socket's receive queue.
    """

    def __init__(
        self,
        network: DatagramNetwork,
        conditions: DatagramConditions,
        address: tuple[str, int],
        protocol: Any,
    ) -> None:
        super().__init__({"sockname": address})
        self.network, self.conditions, self.address, self.protocol = network, conditions, address, protocol
        self.process, self.context = CURRENT.get(), copy_context()
        self._closed = False
        self.network.datagrams[address] = self

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram; it is dropped if nothing is bound to the address or a partition is in between."""
        if self._closed:
            return
        network = self.network
        network.datagrams_sent += 1
        network.datagram_bytes += len(data)
        receiver = network.datagrams.get(addr)
        sender_name = self.process.name if self.process else ""
        receiver_name = receiver.process.name if receiver is not None and receiver.process else ""
        if receiver is None or network.is_partitioned(sender_name, receiver_name):
            return
        rng = network.random_streams.generator(f"{self.address}>")
        copies = (
            0
            if rng.random() < self.conditions.loss_probability
            else 1 + (rng.random() < self.conditions.duplicate_probability)
        )
        for _ in range(copies):
            delay_ms = self.conditions.delay_ms + self.conditions.jitter_ms * float(rng.random())
            at_s, receive = network.loop.time() + delay_ms / 1000.0, receiver.receive
            network.loop.call_at(at_s, receive, bytes(data), self.address, context=receiver.context)

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Deliver a datagram to the protocol, unless this transport was closed meanwhile."""
        if not self._closed:
            self.protocol.datagram_received(data, source)

    def is_closing(self) -> bool:
        """Return whether this transport is closed."""
        return self._closed

    def close(self) -> None:
        """Close the transport and free its address."""
        self._closed = True
        if self.network.datagrams.get(self.address) is self:
            del self.network.datagrams[self.address]

    abort = close

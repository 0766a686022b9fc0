"""Kernel memory of the queues of sockets; free of I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class SocketQueues(NamedTuple):
    """Kernel memory of the queues of a socket or of several, in bytes."""

    receive_bytes: int = 0
    """Memory of bytes that this process has not read yet."""
    send_bytes: int = 0
    """Memory of bytes that the peer has not acknowledged yet."""

    @property
    def total_bytes(self) -> int:
        """Memory of both queues."""
        return self.receive_bytes + self.send_bytes

    @classmethod
    def sum_of(cls, queues: Iterable[SocketQueues]) -> SocketQueues:
        """Return the memory of the queues of several sockets together."""
        receive_bytes = send_bytes = 0
        for one in queues:
            receive_bytes += one.receive_bytes
            send_bytes += one.send_bytes
        return cls(receive_bytes, send_bytes)

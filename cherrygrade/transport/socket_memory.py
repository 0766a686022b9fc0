"""The kernel's memory of TCP sockets: limits on their queues, and what the queues hold."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

from cherrygrade.peers.socket_queues import SocketQueues

SO_MEMINFO = 55
"""Linux, `asm-generic/socket.h`; the socket module has no name for it."""
MEMINFO = struct.Struct("=6I")
"""The first values: receive queue, its limit, packets being sent, send limit, reserve, send queue; bytes."""
RECEIVE_QUEUE_FIELD = 0
SEND_QUEUE_FIELD = 5
BUFFER_FACTOR = 2
"""Linux doubles the size that a program sets, since a queue's own structures count too."""
UNREAD_TIMEOUT_MS = 3000
"""Time that a peer has to take bytes which the kernel still has when the connection is closed."""


@dataclass(frozen=True, slots=True)
class SocketBuffers:
    """Limits on the kernel's memory of the queues of one socket.

    A fixed limit also ends the kernel's own adjustment, by which a queue may grow to several MiB.
    """

    receive_bytes: int
    """Memory of bytes that this process has not read yet; Linux takes at least about 2 KiB."""
    send_bytes: int
    """Memory of bytes that the peer has not acknowledged yet; Linux takes at least about 4.5 KiB."""

    def apply(self, sock: socket.socket) -> None:
        """Set the limits before the socket connects or listens; accepted sockets inherit them."""
        for option, size in (
            (socket.SO_RCVBUF, self.receive_bytes),
            (socket.SO_SNDBUF, self.send_bytes),
        ):
            with contextlib.suppress(OSError):  # the kernel's own limits hold then
                sock.setsockopt(socket.SOL_SOCKET, option, size // BUFFER_FACTOR)


DEFAULT_BUFFERS = SocketBuffers(receive_bytes=128 * 1024, send_bytes=128 * 1024)
"""For processes that are not told how much memory they may use."""


def _socket_of(transport: asyncio.BaseTransport | None) -> socket.socket | None:
    sock: socket.socket | None = transport.get_extra_info("socket") if transport is not None else None
    return sock


def socket_queues(transport: asyncio.BaseTransport | None) -> SocketQueues:
    """Return the memory of the queues of a connection; zeros if it is closed or the kernel does not tell."""
    sock = _socket_of(transport)
    if sock is None:
        return SocketQueues()
    try:
        values = MEMINFO.unpack(sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size))
    except (OSError, struct.error):
        return SocketQueues()
    return SocketQueues(values[RECEIVE_QUEUE_FIELD], values[SEND_QUEUE_FIELD])


def limit_unread_time(transport: asyncio.BaseTransport | None) -> None:
    """Let the kernel drop what the peer has not taken UNREAD_TIMEOUT_MS after it was sent.

    Otherwise the kernel keeps the send queue of a closed connection for minutes.
    """
    sock = _socket_of(transport)
    if sock is not None:
        with contextlib.suppress(OSError):  # the connection has ended, or the kernel has no such option
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_TIMEOUT_MS)

"""Outgoing TCP connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from cherrygrade.transport.socket_memory import SocketBuffers


async def connect(
    factory: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    buffers: SocketBuffers,
    local_address: tuple[str, int] | None = None,
) -> None:
    """Connect to a TCP address.

    Args:
        factory: Makes the protocol of the connection.
        host: Host to connect to.
        port: Port to connect to.
        buffers: Limits on the kernel's memory of the socket. They are set before the connect, because the
            peer may send as much as the receive window that the handshake tells.
        local_address: Host and port to connect from; None for the system's choice.

    Raises:
        OSError: The connection cannot be established.
    """
    loop = asyncio.get_running_loop()
    simulated: Any = getattr(loop, "listen", None)
    if simulated is not None:  # a simulated event loop, which has no sockets
        await loop.create_connection(factory, host, port)
        return
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setblocking(False)
        buffers.apply(sock)
        if local_address is not None:
            sock.bind(local_address)
        await loop.sock_connect(sock, (host, port))
        await loop.create_connection(factory, sock=sock)
    except BaseException:  # a cancelled connect has to close its socket too
        sock.close()
        raise

"""Listening sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from cherrygrade.transport.socket_memory import SocketBuffers


async def listen(
    factory: Callable[[], Any],
    address: str,
    backlog: int,
    accepts_per_iteration: int = 100,
    buffers: SocketBuffers | None = None,
) -> asyncio.Server:
    """Listen on a TCP address.

    asyncio takes one number both for the backlog and for the connections accepted at once; here they differ.

    Args:
        factory: Makes the protocol of each accepted connection.
        address: host:port to listen on.
        backlog: Maximum number of connections that wait to be accepted.
        accepts_per_iteration: Maximum number of connections accepted in one iteration of the event loop.
        buffers: Limits on the kernel's memory of each connection, from before it is accepted; None for the
            kernel's own.

    Returns:
        The server, which is listening.
    """
    host, _, port = address.rpartition(":")
    loop_listen = getattr(asyncio.get_running_loop(), "listen", None)
    if loop_listen is not None:  # a simulated event loop, which has no sockets
        simulated: asyncio.Server = await loop_listen(factory, host, int(port))
        return simulated
    # IPPROTO_TCP is given because asyncio sets TCP_NODELAY only on sockets with this protocol number.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if buffers is not None:
        buffers.apply(sock)
    sock.bind((host, int(port)))
    sock.listen(backlog)
    sock.setblocking(False)
    server = await asyncio.get_running_loop().create_server(factory, sock=sock, backlog=accepts_per_iteration)
    sock.listen(backlog)  # create_server has listened with its own backlog
    return server

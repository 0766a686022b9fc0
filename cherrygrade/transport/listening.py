"""Listening: one way for every door of the program."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any


async def listen(
    factory: Callable[[], Any], address: str, backlog: int, abreast: int = 100
) -> asyncio.Server:
    """A queue of `backlog` at the door, `abreast` accepted in one turn: asyncio takes one figure for both."""
    host, _, port = address.rpartition(":")
    own = getattr(asyncio.get_running_loop(), "listen", None)
    if own is not None:  # a loop without sockets
        made: asyncio.Server = await own(factory, host, int(port))
        return made
    # The protocol is named: asyncio lets small writes go at once (TCP_NODELAY) only where it reads so.
    door = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    door.bind((host, int(port)))
    door.listen(backlog)
    door.setblocking(False)
    server = await asyncio.get_running_loop().create_server(factory, sock=door, backlog=abreast)
    door.listen(backlog)
    return server

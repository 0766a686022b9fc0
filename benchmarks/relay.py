"""A bare relay on the product's own transport and protocol: client to node and back, deciding nothing.

`relay.py PORT...`: a node each, by shard.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import (
    VERSION,
    Answer,
    Errored,
    Hello,
    Ok,
    ReadRpc,
    ReadSend,
    Welcome,
    WriteRpc,
    WriteSend,
)

MOST = 1 << 26


class Upstream:
    """One connection to the node; matches answers to whom they go back to."""

    def __init__(self) -> None:
        self.conn = Connection(self, MOST, high=1 << 30)
        self.out: dict[int, tuple[Client, int]] = {}
        self.last = 0

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "dispatcher", "relay"))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray:
        return bytearray(length)

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        if isinstance(message, Answer):
            client, id_ = self.out.pop(message.id)
            client.conn.send(Errored(id_) if message.code else Ok(id_, 0), body)

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        pass


class Client:
    def __init__(self, ups: list[list[Upstream]]) -> None:
        self.conn = Connection(self, MOST, high=1 << 30)
        self.ups = ups

    def connected(self, conn: Connection) -> None:
        pass

    def body_buffer(self, conn: Connection, message: Any, length: int) -> bytearray:
        return bytearray(length)

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        if isinstance(message, Hello):
            conn.send(Welcome(VERSION, "relay", [], MOST, 1 << 20))
            return
        if not isinstance(message, ReadRpc | WriteRpc):
            return
        up = min(self.ups[max(0, message.shard)], key=lambda one: len(one.out))
        up.last += 1
        up.out[up.last] = (self, message.id)
        m = message
        if isinstance(m, ReadRpc):
            up.conn.send(ReadSend(up.last, "r:1", m.volume, m.key, m.offset, m.length, 1.0, m.left_ms, 0))
        else:
            up.conn.send(WriteSend(up.last, "r:1", m.volume, m.key, m.offset, 1.0, m.left_ms, 0), body)

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        pass


async def main() -> None:
    loop = asyncio.get_running_loop()
    ups = [[Upstream() for _ in range(4)] for _ in sys.argv[1:]]
    for node, port in zip(ups, sys.argv[1:], strict=True):
        for up in node:
            await loop.create_connection(lambda up=up: up.conn, "127.0.0.1", int(port))
    server = await loop.create_server(lambda: Client(ups).conn, "127.0.0.1", 0)
    print("listening", server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())

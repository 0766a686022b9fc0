"""Client sessions: ids become objects here, and only here; each RPC taken gets its one final answer here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from cherrygrade.gateway.held import Held
from cherrygrade.gateway.transit import Transit
from cherrygrade.peers.ladder import Step
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import (
    VERSION,
    Bye,
    Errored,
    Hello,
    Leave,
    Ok,
    ReadRpc,
    Rejected,
    Welcome,
    WriteRpc,
)

if TYPE_CHECKING:
    from cherrygrade.extents.carrier import Range
    from cherrygrade.gateway.process import Gateway


class Session:
    """One client's connection. `rpcs` is emptied by final answers and by the connection's end."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.conn = Connection(self, gateway.most_body)
        self.name = ""
        self.rpcs: dict[int, Held | Range] = {}
        self.features: list[str] = []
        self.flying = 0  # bytes of pieces that are out for this client
        self.hungry: dict[Range, None] = {}  # wait for room here; emptied by it and by their ends
        self.slow = Step.FREE
        self.transit = Transit()
        self._greeting: asyncio.TimerHandle | None = None

    def connected(self, conn: Connection) -> None:
        if not self.gateway.enter(self):
            conn.close("too many clients", self.gateway.come_back_ms)
            return
        conn.show_slowness()
        wait = self.gateway.hello_ms / 1000.0
        self._greeting = asyncio.get_running_loop().call_later(wait, conn.close, "no hello in time")

    def room(self, conn: Connection, message: Any, length: int) -> bytearray | None:
        """A write that would not be taken is read off and dropped: it costs no memory."""
        if isinstance(message, WriteRpc) and self.name and not self.gateway.full:
            return bytearray(length)
        return None

    def frame(self, conn: Connection, message: Any, body: bytearray | memoryview | None) -> None:
        if isinstance(message, (ReadRpc, WriteRpc)) and self.name:
            self._take(message, body)
        elif isinstance(message, Leave) and self.name:
            left = self.rpcs.pop(message.id, None)
            if left is not None:
                self.gateway.left(left)
        elif isinstance(message, Hello) and not self.name:
            self._greet(message)
        elif isinstance(message, Bye):
            conn.close("client left")
        else:
            conn.close(f"unexpected {type(message).__name__}" + ("" if self.name else " before a hello"))

    def _greet(self, hello: Hello) -> None:
        if hello.version < 1 or hello.role != "client" or not hello.name:
            self.conn.close(
                f"hello of version {hello.version} as '{hello.role}': "
                f"versions from 1 as 'client', with a name, are taken"
            )
            return
        assert self._greeting is not None
        self._greeting.cancel()
        self.name, self.features = hello.name, hello.features
        gateway = self.gateway
        self.conn.send(
            Welcome(min(VERSION, hello.version), gateway.name, [], gateway.most_body, gateway.most_open)
        )

    def _take(self, ask: ReadRpc | WriteRpc, body: bytearray | memoryview | None) -> None:
        if ask.id in self.rpcs:
            self.conn.close(f"two RPCs with the id {ask.id}")
            return
        if isinstance(ask, ReadRpc) and (ask.length > self.gateway.most_body or body is not None):
            # Nothing was taken: an answer of this length cannot be carried.
            self.conn.send(Errored(ask.id, f"a read of {ask.length} bytes; at most {self.gateway.most_body}"))
            return
        if len(self.rpcs) >= self.gateway.most_open or self.gateway.full:
            reason = "leaving" if self.gateway.leaving else "more held than there is room for"
            self.conn.send(Rejected(ask.id, self.gateway.come_back_ms, reason))
            return
        gateway = self.gateway
        taken = gateway.take(self, ask, body) if ask.key else gateway.ranges.take(self, ask, body)
        if taken is not None:
            self.rpcs[ask.id] = taken
            gateway.held[taken] = None

    def answer(self, message: Ok | Rejected | Errored, body: bytearray | memoryview | None = None) -> None:
        """The final answer; nothing where the client went away meanwhile."""
        if self.rpcs.pop(message.id, None) is not None:
            self.conn.send(message, body)
            if self.conn.full:  # it does not read its answers: no more of its RPCs are read either
                self.conn.hold_reading(True)

    def writable(self, conn: Connection) -> None:
        conn.hold_reading(self.slow >= Step.HELD)
        self.feed_hungry()

    def feed_hungry(self) -> None:
        for range_ in [*self.hungry]:
            range_.feed()

    def closed(self, conn: Connection, why: str) -> None:
        if self._greeting is not None:
            self._greeting.cancel()
        rpcs, self.rpcs = self.rpcs, {}
        for held in rpcs.values():
            self.gateway.left(held)
        self.gateway.exit(self, why)

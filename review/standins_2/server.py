"""The stand-in of a storage server."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.standins_2.record import Record


@dataclass
class ServerRequest:
    """A request that has come to a storage server."""

    line: str
    fields: dict[str, str]
    body: bytes
    at_s: float
    server: str

    @property
    def call_id(self) -> str:
        """Return the request's id."""
        return self.fields.get("x-call-id", "")


@dataclass
class Answer:
    """What a storage server answers."""

    status: int = 200
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        lines = [f"HTTP/1.1 {self.status} -", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


Work = Callable[[ServerRequest], Awaitable[Answer | None]]


class StorageServer:
    """Answers each request after some work; `work` may be replaced by a case."""

    def __init__(self, record: Record, name: str, shard: int, work_s: float = 0.03) -> None:
        self.record = record
        self.name = name
        self.shard = shard
        self.work_s = work_s
        self.work: Work = self.usual_work
        """Returns the answer to a request; None leaves it without one."""
        self.address = ""
        self.received: list[ServerRequest] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def usual_work(self, request: ServerRequest) -> Answer | None:
        """Answer with bytes that name the request, after the usual time."""
        await asyncio.sleep(self.work_s)
        return Answer(200, f"{self.name} {request.line} {request.call_id}".encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    request = await self._read(reader)
                    answer = await self.work(request)
                    if answer is None:
                        await reader.read(1)  # nothing comes back; the dispatcher closes when it gives up
                        return
                    self.record.write(
                        "server-answered", server=self.name, id=request.call_id, status=answer.status
                    )
                    writer.write(answer.encode())
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> ServerRequest:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, separator, value = line.partition(":")
            if separator:
                fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        request = ServerRequest(head[0], fields, body, self.record.now(), self.name)
        self.received.append(request)
        facts = {"server": self.name, "id": request.call_id, "budget": fields.get("x-budget-ms")}
        self.record.write("server-got", **facts, line=f"'{head[0]}'")
        return request

"""Discovery: the list of storage servers, and watches that tell its changes."""

from __future__ import annotations

import asyncio
import json
import re
from contextlib import suppress

from standins.http_text import read_message
from standins.record import Record

EMPTY_LINE_INTERVAL_S = 2.0


class Discovery:
    """The agent of discovery on the dispatcher's machine.

    Attributes:
        dial: host:port, once it listens.
        version: the version of the list.
    """

    def __init__(self, record: Record) -> None:
        """Create discovery with an empty list."""
        self.dial, self.version = "", 1
        self._entries: dict[str, dict[str, object]] = {}
        self._changed_at: dict[str, int] = {}
        self._watches: set[asyncio.StreamWriter] = set()
        self._record = record
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.dial = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and end all watches."""
        if self._server is not None:
            self._server.close()
        for writer in [*self._watches]:
            writer.transport.abort()

    def publish(self, *entries: dict[str, object]) -> None:
        """Put entries into the list under one new version, and tell all watches."""
        self.version += 1
        for entry in entries:
            self._entries[str(entry["host"])] = entry
            self._changed_at[str(entry["host"])] = self.version
        self._record.write("discovery", "published", version=self.version, entries=entries)
        for writer in self._watches:
            self._tell(writer, False, [*entries])

    def whole(self) -> dict[str, object]:
        """Return the whole list, in the form of the key `known` of the configuration."""
        return {"seq": self.version, "whole": True, "hosts": [*self._entries.values()]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            since = re.search(r"[?&]since=(\d+)", request.start[1])
            if "follow=1" not in request.start[1]:
                self._tell(writer, True, [*self._entries.values()])
                writer.write(b"0\r\n\r\n")
                return
            if since is None:
                self._tell(writer, True, [*self._entries.values()])
            else:
                changed = [e for n, e in self._entries.items() if self._changed_at[n] > int(since[1])]
                self._tell(writer, False, changed)
            self._watches.add(writer)
            while True:
                await asyncio.sleep(EMPTY_LINE_INTERVAL_S)
                self._chunk(writer, b"\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    def _tell(self, writer: asyncio.StreamWriter, whole: bool, entries: list[dict[str, object]]) -> None:
        line = {"seq": self.version, "whole": whole, "hosts": entries}
        self._chunk(writer, json.dumps(line).encode() + b"\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        with suppress(ConnectionError):
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

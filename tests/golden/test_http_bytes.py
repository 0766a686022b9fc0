"""HTTP in and out of the platform's dispatcher, byte by byte, between raw sockets."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

import pytest
from support import golden
from support.platform_site import PlatformSite, run_case

from cherrygrade.standin.web import WebNode

RECORDED = golden.load("http")


def settled(data: bytes) -> str:
    """Bytes as text, without what differs by run: ports and the time left."""
    text = re.sub(r"127\.0\.0\.1:\d+", "127.0.0.1:PORT", data.decode("latin-1"))
    return re.sub(r"X-Budget-Ms: \d+", "X-Budget-Ms: LEFT", text)


class RawNode(WebNode):
    """Answers with given bytes and keeps the bytes that came."""

    raw_bytes = b""
    first_request = b""
    """Of what came for one exchange; further attempts depend on time."""
    reply = b""

    async def open(self) -> None:
        async def served(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                self.raw_bytes += data
                length = re.search(rb"Content-Length: (\d+)", self.raw_bytes)
                _, end, body = self.raw_bytes.partition(b"\r\n\r\n")
                if end and len(body) >= (int(length[1]) if length else 0):
                    self.first_request = self.first_request or self.raw_bytes
                    writer.write(self.reply)
            writer.close()

        self._server = await asyncio.start_server(served, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"


def complete(answer: bytes) -> bool:
    """Whether head and body of one answer are there."""
    head, end, body = answer.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    return bool(end) and len(body) >= (int(length[1]) if length else 0)


async def exchange(square: PlatformSite, node: RawNode, request: bytes, reply: bytes) -> dict[str, str]:
    node.raw_bytes, node.first_request, node.reply = b"", b"", reply
    reader, writer = await asyncio.open_connection("127.0.0.1", square.port)
    writer.write(request)
    answer = b""
    try:
        async with asyncio.timeout(3.0):
            while not complete(answer) and (data := await reader.read(65536)):
                answer += data
    finally:
        writer.close()
    return {"node_request": settled(node.first_request), "answer": settled(answer)}


def exchanges(folder: Path, cases: list[dict[str, str]]) -> list[dict[str, str]]:
    found: list[dict[str, str]] = []

    async def story(square: PlatformSite) -> None:
        node = RawNode("s-0", 0)
        await node.open()
        square.nodes.append(node)
        square.discovery.tell(node.entry())
        await square.start()
        for one in cases:
            request, reply = one["request"].encode("latin-1"), one["reply"].encode("latin-1")
            found.append(await exchange(square, node, request, reply))
            await asyncio.sleep(0.03)
        found.append({"discovery": square.discovery.asked[0].decode()})  # type: ignore[dict-item]

    run_case(folder, story)
    return found


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> list[dict[str, Any]]:
    return exchanges(tmp_path_factory.mktemp("http"), RECORDED["cases"])


@pytest.mark.parametrize(
    "index", range(len(RECORDED["cases"])), ids=[one["case"] for one in RECORDED["cases"]]
)
def test_exchange_has_the_recorded_bytes(played, index):
    assert played[index] == RECORDED["exchanges"][index]


def test_discovery_is_asked_as_recorded(played):
    assert played[-1] == RECORDED["exchanges"][-1]

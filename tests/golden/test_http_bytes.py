"""HTTP requests and answers of the platform's dispatcher have the recorded bytes, on raw sockets."""

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


def normalized(data: bytes) -> str:
    """Return bytes as text, with ports and remaining times, which differ between runs, replaced."""
    text = re.sub(r"127\.0\.0\.1:\d+", "127.0.0.1:PORT", data.decode("latin-1"))
    return re.sub(r"X-Budget-Ms: \d+", "X-Budget-Ms: LEFT", text)


class RawNode(WebNode):
    """A node that answers with given bytes, and stores the bytes that it received.

    Attributes:
        raw_bytes: all bytes received in this exchange.
        first_request: the first request of the exchange; whether retries follow depends on time.
        reply: the bytes of the answer.
    """

    raw_bytes = b""
    first_request = b""
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


def is_complete(answer: bytes) -> bool:
    """Whether head and body of an answer were received completely."""
    head, end, body = answer.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    return bool(end) and len(body) >= (int(length[1]) if length else 0)


async def exchange(site: PlatformSite, node: RawNode, request: bytes, reply: bytes) -> dict[str, str]:
    """Send a request to the dispatcher; return what the node received and what the dispatcher answered."""
    node.raw_bytes, node.first_request, node.reply = b"", b"", reply
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(request)
    answer = b""
    try:
        async with asyncio.timeout(3.0):
            while not is_complete(answer) and (data := await reader.read(65536)):
                answer += data
    finally:
        writer.close()
    return {"node_request": normalized(node.first_request), "answer": normalized(answer)}


def exchanges(folder: Path, cases: list[dict[str, str]]) -> list[dict[str, str]]:
    """Run all exchanges against a dispatcher, and add the request that it sent to discovery."""
    found: list[dict[str, str]] = []

    async def scenario(site: PlatformSite) -> None:
        node = RawNode("s-0", 0)
        await node.open()
        site.nodes.append(node)
        site.discovery.tell(node.entry())
        await site.start()
        for case in cases:
            request, reply = case["request"].encode("latin-1"), case["reply"].encode("latin-1")
            found.append(await exchange(site, node, request, reply))
            await asyncio.sleep(0.03)
        found.append({"discovery": site.discovery.asked[0].decode()})  # type: ignore[dict-item]

    run_case(folder, scenario)
    return found


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> list[dict[str, Any]]:
    return exchanges(tmp_path_factory.mktemp("http"), RECORDED["cases"])


@pytest.mark.parametrize(
    "index", range(len(RECORDED["cases"])), ids=[case["case"] for case in RECORDED["cases"]]
)
def test_exchange_has_the_recorded_bytes(results, index):
    assert results[index] == RECORDED["exchanges"][index]


def test_request_to_discovery_has_the_recorded_bytes(results):
    assert results[-1] == RECORDED["exchanges"][-1]

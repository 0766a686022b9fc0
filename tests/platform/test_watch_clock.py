"""The list's one clock, in virtual time: in whatever order watches fall silent, are reset or refused and
discovery is down, a change is acted on well within 6 s after discovery had it and could be reached.
"""

from __future__ import annotations

import asyncio
import json
from zlib import crc32

import pytest

from cherrygrade.http.reader import MessageReader
from cherrygrade.platform.discovery import DiscoveryClient
from cherrygrade.platform.endpoint_list import EndpointList
from cherrygrade.scheduling.model import NodeState
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.virtual.loop import VirtualLoop
from cherrygrade.virtual.network import Network

TOLD_S, MARGIN_S = 6.0, 0.7  # grace, slack and a loop that runs late are not to be needed
MOVED_S = 4.0


class Peer(asyncio.BufferedProtocol):
    def __init__(self, agent: Agent) -> None:
        self.agent, self.reader, self.silent, self.asked = agent, MessageReader(responses=False), False, False
        self.page = bytearray(4096)

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.agent.peers.append(self)

    def get_buffer(self, sizehint):
        return memoryview(self.page)

    def buffer_updated(self, nbytes):
        self.reader.feed(bytes(self.page[:nbytes]))
        if self.reader.messages:
            self.asked = True
            self.agent.answer(self)

    def connection_lost(self, exc):
        self.agent.peers.remove(self)

    def tell(self, line: bytes) -> None:
        self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class Agent:
    """Discovery's agent. `trouble`: none; "silent": it takes connections and says nothing; "refused":
    nobody listens; "reset": it resets whoever asks. What it holds back it tells at its return, if `keeps`."""

    def __init__(self, port: int, keeps: bool = True) -> None:
        self.port, self.keeps = port, keeps
        self.peers: list[Peer] = []
        self.trouble: str | None = None
        self.version, self.health = 1, "in_service"
        self.server = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Peer(self), "127.0.0.1", self.port)

    def answer(self, peer: Peer) -> None:
        if self.trouble == "reset":
            peer.transport.abort()
        elif self.trouble is None and not peer.silent:
            peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.tell(peer)
            self.breathe(peer)

    def tell(self, peer: Peer) -> None:
        entry = {"host": "s", "dial": "127.0.0.1:9", "block": 0, "health": self.health, "share": 1.0}
        told = {"seq": self.version, "whole": True, "hosts": [entry | {"born_ms": 0}]}
        peer.tell(json.dumps(told).encode() + b"\n")

    def breathe(self, peer: Peer) -> None:
        if peer in self.peers and not peer.silent and self.trouble is None:
            peer.tell(b"\n")
            asyncio.get_running_loop().call_later(2.0, self.breathe, peer)

    def change(self) -> None:
        self.version += 1
        self.health = "terminating" if self.health == "in_service" else "in_service"
        if self.trouble is None:
            for peer in [*self.peers]:
                if peer.asked and not peer.silent:
                    self.tell(peer)

    def hush(self) -> None:
        for peer in self.peers:
            peer.silent = True

    def reset(self) -> None:
        for peer in [*self.peers]:
            peer.transport.abort()

    async def down(self, how: str) -> None:
        self.hush()
        self.trouble = how
        if how == "refused":
            self.server.close()
        if how != "silent":
            self.reset()

    async def back(self) -> None:
        if self.trouble == "refused":
            await self.open()
        self.trouble = None
        for peer in self.peers:
            if peer.asked and self.keeps and peer is self.peers[-1]:
                peer.silent = False
                self.answer(peer)


class Watched:
    """A follower and the agents that it follows; `late` tells how long each change took to be known."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.loop, self.agent = loop, Agent(8500)
        self.endpoint_list = EndpointList(NodeTable(), lambda unix: unix)
        self.register_watch = DiscoveryClient(
            "127.0.0.1:8500",
            "n0",
            self.endpoint_list,
            lambda: loop.time() * 1000.0,
            lambda nodes: None,
            self.log,
        )
        self.events: list[str] = []

    def log(self, event: str, **facts: object) -> None:
        self.events.append(event)

    @property
    def known(self) -> str:
        standing = next(iter(self.endpoint_list.addresses)).state if self.endpoint_list.addresses else None
        return {NodeState.LIVE: "in_service", NodeState.DRAINING: "terminating", None: ""}[standing]

    async def learns(self, within_s: float) -> float:
        began = self.loop.time()
        while self.known != self.agent.health:
            await asyncio.sleep(0.01)
            assert self.loop.time() - began <= within_s, f"not known after {within_s} s: {self.events}"
        return self.loop.time() - began


def play(story) -> None:
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)

    async def whole() -> None:
        watched = Watched()
        await watched.agent.open()
        watched.register_watch.start()
        await watched.learns(1.0)
        await asyncio.sleep(3.1)
        await story(watched)
        watched.register_watch.close()

    try:
        Network(loop, 1)
        loop.run_until_complete(whole())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


@pytest.mark.parametrize("after_s", [0.0, 0.001, 1.0, 1.999, 2.0, 2.5, 2.999, 3.0, 3.001, 5.9])
def test_change_right_after_watches_fall_silent_is_known_in_time(after_s):
    async def story(watched: Watched) -> None:
        watched.agent.hush()
        await asyncio.sleep(after_s)
        watched.agent.change()
        # What a silent watch missed counts 6 s after it fell silent.
        await watched.learns(max(0.05, TOLD_S - MARGIN_S - after_s))

    play(story)


@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.5, 3.0])
def test_change_after_watches_are_reset_is_known_in_time(after_s):
    async def story(watched: Watched) -> None:
        watched.agent.reset()
        await asyncio.sleep(after_s)
        watched.agent.change()
        await watched.learns(1.0)

    play(story)


@pytest.mark.parametrize("keeps", [True, False])
@pytest.mark.parametrize("how", ["silent", "refused", "reset"])
@pytest.mark.parametrize("down_s", [0.3, 1.0, 2.9, 3.0, 4.2, 8.0, 30.1])
def test_change_during_or_after_an_outage_is_known_in_time(how, down_s, keeps):
    async def story(watched: Watched) -> None:
        watched.agent.keeps = keeps
        await watched.agent.down(how)
        await asyncio.sleep(down_s / 2.0)
        watched.agent.change()
        await asyncio.sleep(down_s / 2.0)
        await watched.agent.back()
        await watched.learns(TOLD_S - MARGIN_S)
        watched.agent.change()
        await watched.learns(TOLD_S - MARGIN_S)

    play(story)


@pytest.mark.parametrize("how, moment_s", [("silent", 1.1), ("refused", 0.3), ("reset", 0.3)])
@pytest.mark.parametrize("down_s", [3.3, 5.0, 8.13, 20.7])
def test_change_is_known_though_discovery_is_up_for_a_moment_only(how, moment_s, down_s):
    async def story(watched: Watched) -> None:
        watched.agent.keeps = False  # it answers only who asks while it is there
        await watched.agent.down(how)
        watched.agent.change()
        await asyncio.sleep(down_s)
        await watched.agent.back()
        await asyncio.sleep(moment_s)
        await watched.agent.down(how)
        await watched.learns(TOLD_S - MARGIN_S - moment_s)

    play(story)


@pytest.mark.parametrize("gone", ["silent", "refused"])
@pytest.mark.parametrize("late_s", [0.0, 0.4, 1.5])
def test_change_is_known_though_discovery_moves_during_an_outage(gone, late_s):
    async def story(watched: Watched) -> None:
        await watched.agent.down(gone)
        await asyncio.sleep(2.7)
        moved = Agent(8600)
        moved.version, moved.health = watched.agent.version + 1, "terminating"
        watched.agent = moved
        watched.register_watch.change_address("127.0.0.1:8600")
        await asyncio.sleep(late_s)
        await moved.open()
        await watched.learns(MOVED_S - MARGIN_S - late_s)

    play(story)


@pytest.mark.parametrize("seed", range(60))
def test_changes_are_known_in_time_in_any_order_of_faults(seed):
    """Drawn: troubles of each kind and length, and changes among them; each is known in time."""

    async def story(watched: Watched) -> None:
        agent, count = watched.agent, 0

        def draw(most: int) -> int:
            nonlocal count
            count += 1
            return crc32(f"{seed}:{count}".encode()) % most

        for _ in range(12):
            kind = draw(6)
            agent.keeps = draw(2) == 0
            if kind < 3:
                await agent.down(("silent", "refused", "reset")[kind])
                await asyncio.sleep(draw(9000) / 1000.0)
                if draw(3):
                    agent.change()
                await asyncio.sleep(draw(3000) / 1000.0)
                await agent.back()
                reached = watched.loop.time()
            elif kind == 3:
                agent.reset()
                reached = watched.loop.time()
            else:
                agent.hush()
                reached = watched.loop.time()
            await asyncio.sleep(draw(2500) / 1000.0)
            if draw(2):
                agent.change()
                if kind < 4:
                    reached = watched.loop.time()
            # A silent watch counts from its silence, all else from when discovery could be reached.
            await watched.learns(max(0.05, TOLD_S - MARGIN_S - (watched.loop.time() - reached)))
            await asyncio.sleep(draw(4000) / 1000.0)

    play(story)

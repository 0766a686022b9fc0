"""Virtual time: what the loop and the network promise, and days that repeat byte for byte."""

from __future__ import annotations

import asyncio
import hashlib
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from cherrygrade.virtual.guard import RealWorldError, guarded
from cherrygrade.virtual.link import Link
from cherrygrade.virtual.loop import NoPendingEventsError, Process, VirtualLoop
from cherrygrade.virtual.network import LinkConditions, Network

ROOT = Path(__file__).parents[2]


def play(story, air: LinkConditions | None = None, seed: int = 1):
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(story(Network(loop, seed, air)))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


class Ear(asyncio.BufferedProtocol):
    """Writes down what it hears, in the pieces that it came in."""

    def __init__(self, size: int = 1 << 16) -> None:
        self.page, self.pieces, self.said = bytearray(size), [], []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.said.append("made")

    def get_buffer(self, sizehint):
        return memoryview(self.page)

    def buffer_updated(self, nbytes):
        self.pieces.append(bytes(self.page[:nbytes]))

    def eof_received(self):
        self.said.append("eof")
        return False

    def pause_writing(self):
        self.said.append("full")

    def resume_writing(self):
        self.said.append("free")

    def connection_lost(self, exc):
        self.said.append("lost" if exc is None else type(exc).__name__)

    @property
    def heard(self) -> bytes:
        return b"".join(self.pieces)


async def pair(network: Network, one=None, other=None, size: int = 1 << 16):
    loop, ears = asyncio.get_running_loop(), []

    def made() -> Ear:
        ears.append(Ear(size))
        return ears[-1]

    async def listening():
        return await loop.create_server(made, "127.0.0.1", 0)

    async def connecting():
        return await loop.create_connection(Ear, "127.0.0.1", server.sockets[0].getsockname()[1])

    server = await (loop.create_task(listening(), context=other.context()) if other else listening())
    _, near = await (loop.create_task(connecting(), context=one.context()) if one else connecting())
    await asyncio.sleep(0.01)
    return near, ears[0]


def test_an_hour_of_waiting_takes_no_time():
    async def story(network):
        loop, before = asyncio.get_running_loop(), time.monotonic()
        at = loop.time()
        await asyncio.gather(*(asyncio.sleep(3600.0 - one) for one in range(50)))
        assert loop.time() - at == pytest.approx(3600.0) and time.monotonic() - before < 2.0

    play(story)


def test_when_everybody_waits_for_nothing_the_run_says_so():
    async def story(network):
        await asyncio.get_running_loop().create_future()

    with pytest.raises(NoPendingEventsError):
        play(story)


@pytest.mark.parametrize(
    "air",
    [
        LinkConditions(partial_read_probability=0.0),
        LinkConditions(partial_read_probability=0.9, jitter_ms=5.0),
        LinkConditions(loss_probability=0.3, bytes_per_ms=1000.0),
    ],
)
def test_bytes_come_whole_and_in_order_however_they_are_cut_and_delayed(air):
    async def story(network):
        near, far = await pair(network, size=700)
        sent = bytes(range(256)) * 1000
        for at in range(0, len(sent), 1777):
            near.transport.write(sent[at : at + 1777])
            await asyncio.sleep(0.0003)
        await asyncio.sleep(60.0)
        assert far.heard == sent
        assert (max(map(len, far.pieces)) <= 700) and (
            len({*map(len, far.pieces)}) > 3 or not air.partial_read_probability
        )

    play(story, air)


def test_a_reader_that_stops_fills_the_way_and_the_writer_is_told():
    async def story(network):
        near, far = await pair(network)
        far.transport.pause_reading()
        near.transport.write(bytes(1 << 20))
        await asyncio.sleep(1.0)
        assert (
            "full" in near.said
            and near.transport.get_write_buffer_size() == (1 << 20) - network.link_conditions.buffer_bytes
        )
        far.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert near.said[-1] == "free" and len(far.heard) == 1 << 20

    play(story)


def test_closing_sends_all_first_and_aborting_what_had_left():
    async def story(network):
        near, far = await pair(network)
        near.transport.write(b"x" * 400000)
        near.transport.close()
        await asyncio.sleep(1.0)
        assert len(far.heard) == 400000 and far.said[-2:] == ["eof", "lost"] and near.said[-1] == "lost"
        near, far = await pair(network)
        near.transport.write(b"x" * 1000)
        near.transport.abort()
        await asyncio.sleep(1.0)
        assert far.heard in (b"", b"x" * 1000) and far.said[-1] == "ConnectionResetError"

    play(story)


def test_writing_to_who_has_gone_ends_in_a_reset():
    async def story(network):
        one, other = Process("one"), Process("other")
        near, _ = await pair(network, one, other)
        network.kill(other)
        await asyncio.sleep(1.0)
        assert near.said[-1] == "ConnectionResetError"
        with pytest.raises(ConnectionRefusedError):
            await asyncio.get_running_loop().create_connection(Ear, "127.0.0.1", 20001)

    play(story)


def test_a_process_that_stands_still_finds_all_that_came_in_order():
    async def story(network):
        one, other = Process("one"), Process("other")
        near, far = await pair(network, one, other)
        other.pause()
        for word in (b"a", b"b", b"c"):
            near.transport.write(word)
            await asyncio.sleep(0.1)
        assert far.heard == b""
        other.resume()
        await asyncio.sleep(0.1)
        assert far.heard == b"abc"

    play(story)


def test_a_timer_called_off_while_its_process_stood_still_does_not_run():
    async def story(network):
        loop, ran = asyncio.get_running_loop(), []
        still = Process("still")

        def begin() -> None:
            late = loop.call_later(0.2, ran.append, "late")
            loop.call_later(0.1, late.cancel)

        still.context().run(begin)
        still.pause()
        await asyncio.sleep(1.0)
        still.resume()
        await asyncio.sleep(1.0)
        assert ran == []

    play(story)


def test_over_a_cut_nothing_moves_and_all_comes_once_it_is_mended():
    async def story(network):
        one, other = Process("one"), Process("other")
        near, far = await pair(network, one, other)
        near.transport.write(b"before")
        network.partition("one", "other")
        near.transport.write(b" and during")
        await asyncio.sleep(30.0)
        assert far.heard == b""
        network.heal("one", "other")
        await asyncio.sleep(0.1)
        assert far.heard == b"before and during"

    play(story)


@pytest.mark.parametrize("reach", [time.time, time.monotonic, lambda: os.urandom(4)])
def test_a_simulated_process_that_reaches_for_what_is_real_fails_the_run(reach):
    name = {time.time: "time", time.monotonic: "monotonic"}.get(reach, "urandom")

    async def story(network):
        process = Process("curious")

        async def work() -> None:
            getattr(os if name == "urandom" else time, name)(*([4] if name == "urandom" else []))

        await asyncio.get_running_loop().create_task(work(), context=process.context())

    with guarded() as reached, pytest.raises(RealWorldError, match=f"curious reached for .*{name}"):
        play(story)
    assert reached and time.time() > 0.0  # given back


def test_a_way_keeps_its_count():
    way = Link(bytes_per_ms=10.0, capacity_bytes=100)
    way.write(b"x" * 250)
    first = way.next_piece(0.0, 1.0)
    assert first is not None and (first[0], len(first[1])) == (11.0, 100)
    assert way.next_piece(0.0, 1.0) is None and (way.waiting_bytes, way.unread_bytes) == (150, 100)
    way.read(60)
    second = way.next_piece(20.0, 0.0)
    assert second is not None and (second[0], len(second[1])) == (26.0, 60)
    way.drop()
    assert way.waiting_bytes == 0 and way.next_piece(30.0, 0.0) is None


DAY = """
import sys
from pathlib import Path
from cherrygrade.lab.virtual.virtual import play
play(Path("scenarios/selfcheck.rec"), Path(sys.argv[1]), sys.argv[2])
"""


def hash_of(folder: Path) -> str:
    made = hashlib.sha256()
    for file in sorted(folder.iterdir()):
        made.update(file.name.encode() + file.read_bytes())
    return made.hexdigest()


def test_a_day_repeats_byte_for_byte_in_another_process_and_with_another_hash_seed(tmp_path):
    found = []
    for at, (hashes, seed) in enumerate([("1", "seed: 4"), ("2", "seed: 4"), ("2", "seed: 5")]):
        folder = tmp_path / str(at)
        subprocess.run(
            [sys.executable, "-c", DAY, str(folder), seed],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hashes, "PYTHONPATH": str(ROOT)},
            check=True,
        )
        found.append(hash_of(folder))
    assert found[0] == found[1] != found[2]

"""Load: open-loop clients that read, write and check bytes, and record what passed on their own side.

Arrivals do not wait for answers. Each operation is one first try and, where the client's habit and its
effect allow, further tries; service counts the first try once, whatever came later.
"""

from __future__ import annotations

import asyncio
import contextvars
import hashlib
import random
import sys
from pathlib import Path
from typing import Any

from cherrygrade.client import Answer, Client, Errored, Ok, Rejected
from cherrygrade.lab.rig.scenario import Scenario, Stream, read_scenario
from cherrygrade.records.load import checked_value, read_vertex, site_from_value
from cherrygrade.scheduling.model import Idempotency, Workload
from cherrygrade.settings import TrafficSettings
from cherrygrade.standin.record import Record
from cherrygrade.wire.messages import Ok as WireOk
from cherrygrade.wire.messages import ReadRpc
from cherrygrade.wire.messages import Rejected as WireRejected

STAMP = 16
LEAST_MS = 20.0  # with less time left no answer can come: a client does not try again
_op: contextvars.ContextVar[str] = contextvars.ContextVar("op", default="")


def content(name: str, length: int) -> bytes:
    """Bytes that tell whose they are: any reader can work them out again."""
    one = hashlib.blake2b(name.encode(), digest_size=STAMP).digest()
    return (one * (length // STAMP + 1))[:length]


class Loader:
    """One load process: a client a dispatcher, and the streams' part that falls to it."""

    def __init__(
        self, scenario: Scenario, trade: TrafficSettings, index: int, addresses: list[str], record: Record
    ) -> None:
        self.scenario, self.trade, self.index, self.record = scenario, trade, index, record
        self.chance = random.Random(f"{scenario.seed}:{index}")
        self.clients = [
            Client(address, f"load{index}-{number}", told=self._teller(f"load{index}-{number}"))
            for number, address in enumerate(addresses)
        ]
        self.homes: dict[tuple[str, str], int] = {}  # (volume, key) to shard
        self.count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def _teller(self, name: str) -> Any:
        def told(event: str, id_: int, **facts: Any) -> None:
            if event == "sent":
                message = facts["message"]
                verb = "read" if isinstance(message, ReadRpc) else ("append" if message.append else "write")
                self.record.note(
                    "sent",
                    name,
                    id_,
                    _op.get(),
                    message.workload,
                    message.volume,
                    verb,
                    message.key,
                    round(facts["until"], 3),
                    len(facts["body"] or b""),
                )
            elif event == "answer":
                message = facts["message"]
                kind = type(message).__name__.lower()
                extra = (
                    message.shard
                    if isinstance(message, WireOk)
                    else (message.come_back_ms if isinstance(message, WireRejected) else message.reason)
                )
                self.record.note("answer", name, id_, kind, extra)
            else:
                self.record.note(event, name, id_)

        return told

    def client(self, volume: str) -> Client:
        """A volume's clients lean to one dispatcher and come through all it may."""
        hosts = min(self.trade.volumes[volume].hosts, len(self.clients))
        return self.clients[(hash_of(volume) + self.chance.randrange(hosts)) % len(self.clients)]

    async def prepare(self) -> None:
        """Write the objects that streams will read."""
        wanted = []
        for number, stream in enumerate(self.scenario.traffic):
            if stream.verb in ("new", "run"):
                continue
            for volume in stream.volumes:
                for index in range(stream.keys):
                    if index % self.scenario.loaders == self.index:
                        wanted.append((stream, volume, f"s{number}-{index}"))
        slots = asyncio.Semaphore(16)
        ranged = {
            (volume, block): stream
            for stream in self.scenario.traffic
            if stream.verb == "run"
            for volume in stream.volumes
            for block in range(self._blocks(volume, stream))
            if block % self.scenario.loaders == self.index
        }

        async def one(stream: Stream, volume: str, key: str) -> None:
            async with slots:
                deadline = self.trade.workloads[stream.workload].deadline_ms
                body = content(f"{volume}/{key}", max(STAMP, stream.length)) if stream.verb == "read" else b""
                for _ in range(50):
                    answer = await self.client(volume).write(
                        stream.workload, volume, key, body, shard=-1, deadline_ms=deadline
                    )
                    if isinstance(answer, Ok):
                        self.homes[(volume, key)] = answer.shard
                        return
                    await asyncio.sleep(0.05)
                raise SystemExit(f"{volume}/{key} could not be prepared: {answer}")

        await asyncio.gather(*(one(*each) for each in wanted))

        async def block(stream: Stream, volume: str, number: int) -> None:
            body = content(f"{volume}/{number}", stream.length)
            for _ in range(50):
                async with slots:
                    answer = await self.client(volume).write(
                        stream.workload,
                        volume,
                        "",
                        body,
                        offset=number * stream.length,
                        deadline_ms=self.trade.workloads[stream.workload].deadline_ms,
                    )
                if isinstance(answer, Ok):
                    return
                await asyncio.sleep(0.05)
            raise SystemExit(f"{volume}, block {number} could not be prepared: {answer}")

        await asyncio.gather(*(block(stream, volume, number) for (volume, number), stream in ranged.items()))

    def _blocks(self, volume: str, stream: Stream) -> int:
        ranges = self.scenario.ranges[volume]
        return min(stream.keys, ranges.extents * ranges.extent_bytes // stream.length)

    async def run(self, start: float) -> None:
        """The day; `start` is the event loop's time, ms."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(start / 1000.0 - loop.time())
        await asyncio.gather(
            *(self._stream(number, stream, start) for number, stream in enumerate(self.scenario.traffic))
        )
        if self.tasks:
            await asyncio.wait(self.tasks)
        for client in self.clients:
            client.close()

    async def _stream(self, number: int, stream: Stream, start: float) -> None:
        loop, at = asyncio.get_running_loop(), 0.0
        keys = [(volume, key) for volume, key in self.homes if key.startswith(f"s{number}-")]
        while True:
            rate = stream.per_s / self.scenario.loaders * self._surge(number, at)
            at += self.chance.expovariate(rate) * 1000.0
            if at >= self.scenario.length_ms:
                return
            wait = (start + at) / 1000.0 - loop.time()
            if wait > 0.0:
                await asyncio.sleep(wait)
            volume = self.chance.choice(stream.volumes)
            first = self.chance.randrange(self._blocks(volume, stream)) if stream.verb == "run" else 0
            for step in range(stream.run):
                block = (volume, str(first + step)) if stream.verb == "run" else None
                if block is not None and first + step >= self._blocks(volume, stream):
                    break
                task = loop.create_task(self._operation(number, stream, at, keys, block))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def _surge(self, number: int, at: float) -> float:
        factor = 1.0
        for trouble in self.scenario.troubles:
            if trouble.kind == "surge" and trouble.lasts(at) and (not trouble.on or number in trouble.on):
                factor *= trouble.size
        return factor

    async def _operation(
        self,
        number: int,
        stream: Stream,
        at: float,
        keys: list[tuple[str, str]],
        block: tuple[str, str] | None = None,
    ) -> None:
        loop, chance = asyncio.get_running_loop(), self.chance
        self.count += 1
        op = f"{self.index}.{self.count}"
        _op.set(op)
        length = stream.length
        hot = False
        for trouble in self.scenario.troubles:
            if trouble.lasts(at) and (not trouble.on or number in trouble.on):
                if trouble.kind == "heavy" and chance.random() < 0.02:
                    length = int(length * trouble.size)
                hot = hot or (trouble.kind == "hot" and chance.random() < trouble.size)
        if block is not None:
            volume, key = block
        elif stream.verb == "new":
            volume, key = chance.choice(stream.volumes), f"n{op}"
        else:
            volume, key = keys[0] if hot else chance.choice(keys)
        workload = self.trade.workloads[stream.workload]
        begun = loop.time() * 1000.0
        until = begun + workload.deadline_ms
        self.record.note("first", op, stream.workload, volume, stream.verb, key, length)
        answer: Answer = Errored("not sent")
        for number_ in range(stream.retries + 1):
            left = until - loop.time() * 1000.0
            if left <= LEAST_MS:
                break
            answer = await self._try(stream, workload, volume, key, op, length, left, number_ > 0)
            if isinstance(answer, Ok) or not self._again(workload, answer):
                break
            heeds = chance.random() < stream.honour
            wait = answer.come_back_ms if isinstance(answer, Rejected) and heeds else 50.0
            await asyncio.sleep(min(wait, max(0.0, until - loop.time() * 1000.0)) / 1000.0)
        took = loop.time() * 1000.0 - begun
        self.record.note("done", op, type(answer).__name__.lower(), round(took, 3))

    def _again(self, workload: Workload, answer: Answer) -> bool:
        """What a client may try again without harm."""
        return isinstance(answer, Rejected) or workload.idempotency is Idempotency.IDEMPOTENT

    async def _try(
        self,
        stream: Stream,
        workload: Workload,
        volume: str,
        key: str,
        op: str,
        length: int,
        left: float,
        repeat: bool,
    ) -> Answer:
        client = self.client(volume)
        if stream.verb == "run":
            answer = await client.read(
                stream.workload,
                volume,
                offset=int(key) * stream.length,
                length=stream.length,
                deadline_ms=left,
                repeat=repeat,
            )
            if isinstance(answer, Ok) and bytes(answer.body) != content(f"{volume}/{key}", stream.length):
                self.record.note("wrong bytes", op, volume, key)
            return answer
        shard = self.homes.get((volume, key), -1)
        if stream.verb == "read":
            answer = await client.read(
                stream.workload, volume, key, shard=shard, length=length, deadline_ms=left, repeat=repeat
            )
            if isinstance(answer, Ok):
                most = min(length, max(STAMP, stream.length))
                if bytes(answer.body[:most]) != content(f"{volume}/{key}", most):
                    self.record.note("wrong bytes", op, volume, key)
            return answer
        append = stream.verb == "append"
        # An append carries one stamp, so that its effects can be counted from the bytes that nodes hold.
        body = content(op, STAMP if append else max(STAMP, length))
        token = op.encode() if workload.idempotency is Idempotency.IDEMPOTENT_WITH_KEY else b""
        return await client.write(
            stream.workload,
            volume,
            key,
            body,
            shard=shard,
            append=append,
            token=token,
            deadline_ms=left,
            repeat=repeat,
        )


def hash_of(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


async def load(file: Path, given: str, index: int, addresses: list[str], folder: Path) -> None:
    """One load process: prepares, says 'ready', waits for 'go TIME' on standard input, plays its day."""
    scenario = read_scenario(file, given)
    place = {"name": "load", "register": "x:1", "dispatchers": scenario.dispatchers}
    holder = folder / f"load-{index}.site.rec"
    import json

    holder.write_text(json.dumps({"place": place, **scenario.site}))
    trade = site_from_value(checked_value(read_vertex(holder, "site.rec"))).trade
    record = Record(folder / f"load-{index}.jsonl")
    loader = Loader(scenario, trade, index, addresses, record)
    await loader.prepare()
    print("ready", flush=True)
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    await loader.run(float(line.split()[1]))
    record.flush()

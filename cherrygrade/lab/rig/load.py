"""Load process: open-loop clients that read, write and check bytes, and record requests and answers.

Arrivals do not wait for answers. Each operation is a first request and, where the stream's settings and the
workload's idempotency allow it, retries by the client. The service counts each operation once.
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
"""Length in bytes of the pattern that identifies an operation or object in stored bytes."""

MIN_REMAINING_MS = 20.0  # with less time no answer can arrive, so the client does not retry
_op: contextvars.ContextVar[str] = contextvars.ContextVar("op", default="")


def content(name: str, length: int) -> bytes:
    """Returns `length` bytes that repeat a hash of `name`, so that a reader can verify them by the name."""
    digest = hashlib.blake2b(name.encode(), digest_size=STAMP).digest()
    return (digest * (length // STAMP + 1))[:length]


class Loader:
    """One load process, with one client for each dispatcher and its share of each stream's arrivals.

    Attributes:
        scenario: Scenario that is run.
        trade: Workloads and volumes.
        index: Number of the load process, from 0.
        record: Record file of requests and operations.
        rng: Random source, seeded by the scenario's seed and `index`.
        clients: Clients by the number of the dispatcher.
        shards: Shard of each prepared object, by volume and key.
        count: Number of operations so far.
        tasks: Operations in progress.
    """

    def __init__(
        self, scenario: Scenario, trade: TrafficSettings, index: int, addresses: list[str], record: Record
    ) -> None:
        """Creates the clients; `addresses` has host:port of each dispatcher, by number."""
        self.scenario, self.trade, self.index, self.record = scenario, trade, index, record
        self.rng = random.Random(f"{scenario.seed}:{index}")
        self.clients = [
            Client(address, f"load{index}-{number}", told=self._recorder(f"load{index}-{number}"))
            for number, address in enumerate(addresses)
        ]
        self.shards: dict[tuple[str, str], int] = {}
        self.count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def _recorder(self, name: str) -> Any:
        def record_event(event: str, id_: int, **facts: Any) -> None:
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
                detail = (
                    message.shard
                    if isinstance(message, WireOk)
                    else (message.come_back_ms if isinstance(message, WireRejected) else message.reason)
                )
                self.record.note("answer", name, id_, kind, detail)
            else:
                self.record.note(event, name, id_)

        return record_event

    def client(self, volume: str) -> Client:
        """Returns the client for the next request of a volume.

        The dispatcher is drawn among as many as the volume may use, which follow each other from one that
        depends on the volume's name.
        """
        hosts = min(self.trade.volumes[volume].hosts, len(self.clients))
        return self.clients[(hash_of(volume) + self.rng.randrange(hosts)) % len(self.clients)]

    async def prepare(self) -> None:
        """Writes the objects and blocks that streams will read, append to or overwrite.

        Raises:
            SystemExit: An object or block could not be written in 50 attempts.
        """
        objects = []
        for number, stream in enumerate(self.scenario.traffic):
            if stream.verb in ("new", "run"):
                continue
            for volume in stream.volumes:
                for index in range(stream.keys):
                    if index % self.scenario.loaders == self.index:
                        objects.append((stream, volume, f"s{number}-{index}"))
        slots = asyncio.Semaphore(16)
        blocks = {
            (volume, block): stream
            for stream in self.scenario.traffic
            if stream.verb == "run"
            for volume in stream.volumes
            for block in range(self._blocks(volume, stream))
            if block % self.scenario.loaders == self.index
        }

        async def write_object(stream: Stream, volume: str, key: str) -> None:
            async with slots:
                deadline = self.trade.workloads[stream.workload].deadline_ms
                body = content(f"{volume}/{key}", max(STAMP, stream.length)) if stream.verb == "read" else b""
                for _ in range(50):
                    answer = await self.client(volume).write(
                        stream.workload, volume, key, body, shard=-1, deadline_ms=deadline
                    )
                    if isinstance(answer, Ok):
                        self.shards[(volume, key)] = answer.shard
                        return
                    await asyncio.sleep(0.05)
                raise SystemExit(f"{volume}/{key} could not be written before the run: {answer}")

        await asyncio.gather(*(write_object(*each) for each in objects))

        async def write_block(stream: Stream, volume: str, number: int) -> None:
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
            raise SystemExit(f"{volume}, block {number} could not be written before the run: {answer}")

        await asyncio.gather(
            *(write_block(stream, volume, number) for (volume, number), stream in blocks.items())
        )

    def _blocks(self, volume: str, stream: Stream) -> int:
        ranges = self.scenario.ranges[volume]
        return min(stream.keys, ranges.extents * ranges.extent_bytes // stream.length)

    async def run(self, start: float) -> None:
        """Sends the load of all streams from `start` on (event loop time, ms) and waits for its end."""
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
        keys = [(volume, key) for volume, key in self.shards if key.startswith(f"s{number}-")]
        while True:
            rate = stream.per_s / self.scenario.loaders * self._surge_factor(number, at)
            at += self.rng.expovariate(rate) * 1000.0
            if at >= self.scenario.length_ms:
                return
            wait = (start + at) / 1000.0 - loop.time()
            if wait > 0.0:
                await asyncio.sleep(wait)
            volume = self.rng.choice(stream.volumes)
            first = self.rng.randrange(self._blocks(volume, stream)) if stream.verb == "run" else 0
            for step in range(stream.run):
                block = (volume, str(first + step)) if stream.verb == "run" else None
                if block is not None and first + step >= self._blocks(volume, stream):
                    break
                task = loop.create_task(self._operation(number, stream, at, keys, block))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def _surge_factor(self, number: int, at: float) -> float:
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
        loop, rng = asyncio.get_running_loop(), self.rng
        self.count += 1
        op = f"{self.index}.{self.count}"
        _op.set(op)
        length = stream.length
        hot = False
        for trouble in self.scenario.troubles:
            if trouble.lasts(at) and (not trouble.on or number in trouble.on):
                if trouble.kind == "heavy" and rng.random() < 0.02:
                    length = int(length * trouble.size)
                hot = hot or (trouble.kind == "hot" and rng.random() < trouble.size)
        if block is not None:
            volume, key = block
        elif stream.verb == "new":
            volume, key = rng.choice(stream.volumes), f"n{op}"
        else:
            volume, key = keys[0] if hot else rng.choice(keys)
        workload = self.trade.workloads[stream.workload]
        started_ms = loop.time() * 1000.0
        deadline_ms = started_ms + workload.deadline_ms
        self.record.note("first", op, stream.workload, volume, stream.verb, key, length)
        answer: Answer = Errored("not sent")
        for retry in range(stream.retries + 1):
            remaining_ms = deadline_ms - loop.time() * 1000.0
            if remaining_ms <= MIN_REMAINING_MS:
                break
            answer = await self._send(stream, workload, volume, key, op, length, remaining_ms, retry > 0)
            if isinstance(answer, Ok) or not self._may_retry(workload, answer):
                break
            honours_delay = rng.random() < stream.honour
            wait = answer.come_back_ms if isinstance(answer, Rejected) and honours_delay else 50.0
            await asyncio.sleep(min(wait, max(0.0, deadline_ms - loop.time() * 1000.0)) / 1000.0)
        took_ms = loop.time() * 1000.0 - started_ms
        self.record.note("done", op, type(answer).__name__.lower(), round(took_ms, 3))

    def _may_retry(self, workload: Workload, answer: Answer) -> bool:
        """Whether the client may retry: a rejected request was not executed, an idempotent one may repeat."""
        return isinstance(answer, Rejected) or workload.idempotency is Idempotency.IDEMPOTENT

    async def _send(
        self,
        stream: Stream,
        workload: Workload,
        volume: str,
        key: str,
        op: str,
        length: int,
        remaining_ms: float,
        repeat: bool,
    ) -> Answer:
        client = self.client(volume)
        if stream.verb == "run":
            answer = await client.read(
                stream.workload,
                volume,
                offset=int(key) * stream.length,
                length=stream.length,
                deadline_ms=remaining_ms,
                repeat=repeat,
            )
            if isinstance(answer, Ok) and bytes(answer.body) != content(f"{volume}/{key}", stream.length):
                self.record.note("wrong bytes", op, volume, key)
            return answer
        shard = self.shards.get((volume, key), -1)
        if stream.verb == "read":
            answer = await client.read(
                stream.workload,
                volume,
                key,
                shard=shard,
                length=length,
                deadline_ms=remaining_ms,
                repeat=repeat,
            )
            if isinstance(answer, Ok):
                checked_bytes = min(length, max(STAMP, stream.length))
                if bytes(answer.body[:checked_bytes]) != content(f"{volume}/{key}", checked_bytes):
                    self.record.note("wrong bytes", op, volume, key)
            return answer
        append = stream.verb == "append"
        # An append writes one pattern, so that its effects can be counted in the bytes that nodes store.
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
            deadline_ms=remaining_ms,
            repeat=repeat,
        )


def hash_of(text: str) -> int:
    """Returns a hash of 32 bits."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


async def load(file: Path, given: str, index: int, addresses: list[str], folder: Path) -> None:
    """Runs one load process.

    The process writes the objects, prints "ready", waits for "go TIME" (event loop time, ms) on standard
    input, and sends the load.

    Args:
        file: Scenario file.
        given: Text of a record with further values of the scenario.
        index: Number of the load process, from 0.
        addresses: host:port of each dispatcher, by number.
        folder: Folder for the records.
    """
    scenario = read_scenario(file, given)
    place = {"name": "load", "register": "x:1", "dispatchers": scenario.dispatchers}
    settings_file = folder / f"load-{index}.site.rec"
    import json

    settings_file.write_text(json.dumps({"place": place, **scenario.site}))
    trade = site_from_value(checked_value(read_vertex(settings_file, "site.rec"))).trade
    record = Record(folder / f"load-{index}.jsonl")
    loader = Loader(scenario, trade, index, addresses, record)
    await loader.prepare()
    print("ready", flush=True)
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    await loader.run(float(line.split()[1]))
    record.flush()

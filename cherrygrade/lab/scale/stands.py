"""The run's other processes: hollow nodes, many addresses in one; the register with all of them in its list;
a light load. Each ends when its standard input does.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from cherrygrade.client import Client, Ok
from cherrygrade.lab.scale.plan import Lots, node_address
from cherrygrade.standin.node import Build, Node
from cherrygrade.standin.record import Record
from cherrygrade.standin.register import Register
from cherrygrade.wire.messages import Entry

AGE_MS = 1e7  # of nodes at the start: long warm
LENGTH, DEADLINE_MS = 4096, 2000.0


class Unrecorded(Record):
    """The scale run's figures are counts; what each node saw is not kept."""

    def note(self, event: str, *facts: Any) -> None:
        pass


async def lines(act: Any) -> None:
    """An answer to each line, until there are no more."""
    reader = asyncio.StreamReader(limit=1 << 20)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while data := await reader.readline():
        line = json.loads(data)
        if line["do"] == "end":
            return
        print(json.dumps(act(line)), flush=True)


async def nodes(first: int, count: int) -> None:
    """Nodes from `first` on, each at an address of its own. Tells their places."""
    held = [Node(f"{node_address(first + at)}:0", Build(), first + at, Unrecorded()) for at in range(count)]
    for node in held:
        await node.start()
    print(json.dumps([node.address for node in held]), flush=True)

    def act(line: dict[str, Any]) -> Any:
        return {
            "received": [node.received for node in held],
            "connections": [len(node.connections) for node in held],
        }

    await lines(act)
    for node in held:
        node.close()


async def register(places: list[str]) -> None:
    """All nodes live from the start. Tells its port; answers what it told and to how many."""
    made = Register("127.0.0.1:0", 1, Unrecorded())
    now = asyncio.get_running_loop().time() * 1000.0
    for at, place in enumerate(places):
        made.true[place] = Entry(place, f"z{at % 3}", "hollow", at, "live", 1.0, 1, 0.0)
        made.born[(place, 1)] = now - AGE_MS
    made.lists.append(dict(made.true))
    port = await made.start()
    print(json.dumps(port), flush=True)

    def act(line: dict[str, Any]) -> Any:
        return {
            "followers": len(made.connections),
            "moved": sum(door.conn.moved for door in made.connections),
        }

    await lines(act)
    made.close()


async def load(addresses: list[str], nodes: int, per_s: float, seed: int) -> None:
    """Reads of any shard, open loop, through these dispatchers in turn."""
    clients = [Client(address, f"load-{at}") for at, address in enumerate(addresses)]
    lots, done = Lots(f"{seed}:load"), {"asked": 0, "ok": 0, "took_ms": 0.0}
    tasks: set[asyncio.Task[None]] = set()
    loop = asyncio.get_running_loop()

    async def one(client: Client, shard: int) -> None:
        begun = loop.time()
        answer = await client.read(
            "read", "open", f"k{shard}", shard=shard, length=LENGTH, deadline_ms=DEADLINE_MS
        )
        done["ok"] += isinstance(answer, Ok)
        done["took_ms"] += (loop.time() - begun) * 1000.0

    async def run() -> None:
        at, count = loop.time(), 0
        while True:
            at = max(at + 1.0 / per_s, loop.time() - 1.0)
            await asyncio.sleep(at - loop.time())
            count += 1
            done["asked"] += 1
            task = loop.create_task(one(clients[count % len(clients)], int(lots.part() * nodes)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    running = loop.create_task(run())
    print(json.dumps("ready"), flush=True)
    await lines(lambda line: done)
    running.cancel()
    for task in tasks:
        task.cancel()
    for client in clients:
        client.close()


def main() -> None:
    told = json.loads(sys.argv[2])
    roles: dict[str, Any] = {"nodes": nodes, "register": register, "load": load}
    asyncio.run(roles[sys.argv[1]](**told))


if __name__ == "__main__":
    main()

"""What changes of the fleet's configuration cost the RPCs that go on meanwhile: service and p99, in pairs of
windows side by side, one with twenty changes a minute and one with none.

Three dispatchers, all of them voters: the leader judges each text and takes it, the others only take it. Each
has 100 volumes, and each text names 100 plans anew. Reads at 517 a second, the mean of a dispatcher of the
fleet that the design is for. Prints a line a pair, and the mean p99 by window; no bar.
"""

from __future__ import annotations

import asyncio
import json
import socket
import statistics
import subprocess
import sys
from typing import Any

from bench import SITE, Rig, Tally, cpu_s, open_loop, read_rpc

from cherrygrade.fleet.runtime.admin_client import send_admin_request
from cherrygrade.fleet.runtime.admin_messages import PutRequest
from cherrygrade.fleet.runtime.operator_commands import new_request_id
from cherrygrade.fleet.runtime.status_query import query_status
from cherrygrade.fleet.runtime.voter_store import create_founding_store

NAMES = ["d0", "d1", "d2"]
PER_S, EVERY_S, VOLUMES, NODES = 517.0, 3.0, 100, 3


class Pair(Rig):
    """Three of one fleet, before the same nodes. No core is anybody's: a reader's thread takes one more, and
    where other rigs hold the same cores, windows with no change at all lost RPCs in thousands."""

    pinned = False

    def fleet(self) -> list[tuple[str, int, subprocess.Popen[str], str]]:
        """Name, port, process, place of each."""
        place = {}
        for name in NAMES:
            with socket.create_server(("127.0.0.1", 0)) as free:
                place[name] = f"127.0.0.1:{free.getsockname()[1]}"
        for name in NAMES:
            create_founding_store(self.folder / name, "bench", name, NAMES)
        made = []
        plans = {f"p{at}": {"usual_rate": 1000, "limit_rate": 0} for at in range(VOLUMES)}
        volumes = {
            f"v{at}": {"plan": {"name": f"p{at}"} | plans[f"p{at}"], "hosts": 3} for at in range(VOLUMES)
        }
        for number, name in enumerate(place):
            site = SITE | {
                "place": {
                    "name": name, "listen": "127.0.0.1:0", "register": f"127.0.0.1:{self.register[0]}",
                    "number": number, "dispatchers": 3,
                },
                "volumes": SITE["volumes"] | volumes,
                "fleet": {
                    "name": "bench", "place": place[name], "contacts": [*place.values()],
                    "config_file": str(self.folder / f"kept-{name}"),
                    "council": {"voters": NAMES, "folder": str(self.folder / name)},
                },
            }  # fmt: skip
            file = self.folder / f"{name}.rec"
            file.write_text(json.dumps(site))
            log = (self.folder / f"{name}.log").open("wb")
            port = self._start(["-m", "cherrygrade", "serve", str(file)], 4 + number, log.fileno())[0]
            made.append((name, port, self.processes[-1], place[name]))
        return made


def text(turn: int) -> str:
    """A change of each volume's plan."""
    volumes = {
        f"v{at}": {"plan": {"name": f"p{at}", "usual_rate": 1000 + turn}, "hosts": 3} for at in range(VOLUMES)
    }
    return json.dumps({"volumes": volumes})


class Changes:
    """Twenty a minute, until stopped."""

    def __init__(self, place: str) -> None:
        self.place, self.turn, self.made, self.failed = place, 0, 0, 0
        self.goes = False

    async def run(self) -> None:
        while True:
            if self.goes:
                self.turn += 1
                try:
                    await send_admin_request(
                        self.place, PutRequest(new_request_id(), text(self.turn), "benchmark"), 5.0
                    )
                    self.made += 1
                except Exception as wrong:  # counted, told, and the window goes on
                    self.failed += 1
                    print(f"not put: {wrong}")
            await asyncio.sleep(EVERY_S)


async def whole(place: str, number: int) -> dict[str, Any]:
    """Once it knows the others and a leader, and has this version in force."""
    for _ in range(200):
        told = await query_status(place)
        if told["living"] == 3 and told["council"]["leader"] and told["config"]["number"] >= number:
            return told
        await asyncio.sleep(0.1)
    raise SystemExit(f"{place} is alone, or late: {told}")


async def main(quick: bool) -> int:
    seconds, pairs = (15.0, 2) if quick else (60.0, 5)
    rig = Pair(nodes=NODES)
    lost = 0
    try:
        fleet = rig.fleet()
        await rig.list_nodes()
        led = [(await whole(place, 0))["council"]["leader"] for *_, place in fleet][-1]
        leads = next(one for one in fleet if one[0] == led)
        follows = next(one for one in fleet if one[0] != led)
        await send_admin_request(leads[3], PutRequest(new_request_id(), text(0), "benchmark"), 5.0)
        for *_, place in fleet:
            await whole(place, 1)
        changes = Changes(leads[3])
        task = asyncio.get_running_loop().create_task(changes.run())
        for name, (_, port, process, place) in (("leader", leads), ("member", follows)):
            p99s: dict[bool, list[float]] = {False: [], True: []}
            for turn in range(pairs):
                line = []
                for goes in (False, True) if turn % 2 == 0 else (True, False):
                    changes.goes, before = goes, (cpu_s(process), changes.made)
                    tally: Tally = await open_loop(port, read_rpc(4096, nodes=NODES), PER_S, seconds)
                    changes.goes = False
                    lost += tally.other
                    p99s[goes].append(tally.at(0.99))
                    core = (cpu_s(process) - before[0]) / seconds
                    line.append(
                        f"{changes.made - before[1]:2d} changes: p50 {tally.at(0.5):.2f} "
                        f"p99 {tally.at(0.99):.2f} most {tally.at(1.0):.1f} ms, "
                        f"{tally.other} not ok, {core:.3f} of a core"
                    )
                    await asyncio.sleep(1.0)
                print(f"{name} {turn + 1}: " + "; ".join(line), flush=True)
            mean = {goes: statistics.mean(found) for goes, found in p99s.items()}
            print(f"{name}: p99 {mean[True]:.2f} ms with changes, {mean[False]:.2f} with none", flush=True)
            status = (await query_status(place))["config"]
            print(
                f"{name}: on version {status['number']} of {1 + changes.made}, {status['trouble'] or 'well'}"
            )
        task.cancel()
        print(f"{changes.made} changes, {changes.failed} not put")
    finally:
        rig.close()
    return 1 if lost or changes.failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--quick" in sys.argv)))

"""Latency that the dispatcher adds at a tenth of its full rate, beside the client straight to the node.

Prints p50 and p99 of both; the figure is the p50 added, in ms; bar 1 ms. Shared machines make p99 swing by
several ms from run to run, so it is printed and not judged.
"""

from __future__ import annotations

import asyncio
import sys

from bench import Rig, closed_loop, open_loop, read_rpc

from cherrygrade.wire import messages as wire

BAR_MS, NODES = 1.0, 5


def to_node(id_: int) -> wire.Message:
    return wire.ReadSend(id_, "bench:1", "v", f"k{id_ % 1000}", 0, 4096, 1.0, 4900.0, 0)


async def main(quick: bool) -> int:
    rig = Rig(nodes=NODES)
    try:
        port = rig.dispatcher()
        await rig.list_nodes()
        full = (await closed_loop(port, read_rpc(4096, nodes=NODES), 64, 4.0)).per_s
        seconds = 5.0 if quick else 20.0
        through = await open_loop(port, read_rpc(4096, nodes=NODES), full / 10.0, seconds)
        straight = await open_loop(rig.node[0], to_node, full / 10.0, seconds)
    finally:
        rig.close()
    print(f"rate {full / 10.0:.0f} RPCs/s")
    for name, tally in (("through the dispatcher", through), ("straight to the node", straight)):
        print(f"{name}: p50 {tally.at(0.5):.3f} ms, p99 {tally.at(0.99):.3f} ms, {tally.other} not ok")
    added = through.at(0.5) - straight.at(0.5)
    print(f"p99 added: {through.at(0.99) - straight.at(0.99):.3f} ms")
    print(f"p50 added, ms (bar {BAR_MS}): {added:.3f}")
    return 0 if added <= BAR_MS and not through.other else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--quick" in sys.argv)))

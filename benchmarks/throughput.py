"""4 KiB reads a second through one dispatcher on one core, beside the bare relay; bar: half of its rate.


Both run in turn, several times, before the same nodes; the figure is the ratio of medians. Prints the rates.
"""

from __future__ import annotations

import asyncio
import statistics
import sys

from bench import Rig, closed_loop, read_rpc

BAR, NODES, DEPTH = 0.5, 5, 64


async def main(quick: bool) -> int:
    rig = Rig(nodes=NODES)
    try:
        ports = {"dispatcher": rig.dispatcher(), "relay": rig.relay()}
        await rig.list_nodes()
        rates: dict[str, list[float]] = {name: [] for name in ports}
        for port in ports.values():  # windows open by a slot a second
            await closed_loop(port, read_rpc(4096, nodes=NODES), DEPTH, 5.0)
        for _ in range(3 if quick else 7):
            for name, port in ports.items():
                tally = await closed_loop(port, read_rpc(4096, nodes=NODES), DEPTH, 2.5 if quick else 6.0)
                rates[name].append(tally.per_s)
                if tally.other > len(tally.ok) * 0.01:
                    print(f"{name}: {tally.other} of {len(tally.ok) + tally.other} not ok")
                    return 1
    finally:
        rig.close()
    for name, found in rates.items():
        spread = (max(found) - min(found)) / statistics.median(found)
        print(f"{name}: {statistics.median(found):.0f} RPCs/s (runs differ by {spread:.0%})")
    ratio = statistics.median(rates["dispatcher"]) / statistics.median(rates["relay"])
    print(f"throughput over relay (bar {BAR}): {ratio:.3f}")
    return 0 if ratio >= BAR else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--quick" in sys.argv)))

"""4 KiB reads a second through one dispatcher on one core, beside the bare relay; bar: half of its rate.

Both run in turn on the same core before the same nodes, and each pair of windows gives a ratio: the figure
is the median of pairs. A machine's pace that changes between pairs falls out of it. Beside it, by the same
pairs, the ratio of the CPU that an RPC takes: where it is as that of the rates, the figure is the code's on
this machine; where it is not, something else held one of the two back.
"""

from __future__ import annotations

import asyncio
import statistics
import sys

from bench import Rig, closed_loop, cpu_us, read_rpc

BAR, NODES, DEPTH = 0.5, 5, 64


async def main(quick: bool) -> int:
    rig = Rig(nodes=NODES)
    try:
        ports = {"dispatcher": rig.dispatcher(), "relay": rig.relay()}
        await rig.list_nodes()
        serving = {"dispatcher": rig.serving, "relay": rig.processes[-1]}
        for port in ports.values():  # windows open by a slot a second
            await closed_loop(port, read_rpc(4096, nodes=NODES), DEPTH, 5.0)
        rates: dict[str, list[float]] = {name: [] for name in ports}
        costs: dict[str, list[float]] = {name: [] for name in ports}
        for _ in range(7 if quick else 15):
            for name, port in ports.items():
                rpc = read_rpc(4096, nodes=NODES)
                us, tally = await cpu_us(port, serving[name], rpc, DEPTH, 1.2 if quick else 4.0)
                rates[name].append(tally.per_s)
                costs[name].append(us)
                if tally.other > len(tally.ok) * 0.01:
                    print(f"{name}: {tally.other} of {len(tally.ok) + tally.other} not ok")
                    return 1
    finally:
        rig.close()
    for name, found in rates.items():
        spread = (max(found) - min(found)) / statistics.median(found)
        print(f"{name}: {statistics.median(found):.0f} RPCs/s (runs differ by {spread:.0%})", end=", ")
        print(f"CPU an RPC {statistics.median(costs[name]):.1f} us")
    ratios = sorted(ours / bare for ours, bare in zip(rates["dispatcher"], rates["relay"], strict=True))
    cheap = statistics.median(b / o for o, b in zip(costs["dispatcher"], costs["relay"], strict=True))
    ratio = statistics.median(ratios)
    print(f"CPU an RPC, relay over dispatcher: {cheap:.3f}")
    print(f"throughput over relay (bar {BAR}): {ratio:.3f}, pairs {ratios[0]:.3f} to {ratios[-1]:.3f}")
    return 0 if ratio >= BAR else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--quick" in sys.argv)))

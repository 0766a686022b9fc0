"""1 MiB reads: bytes a second against the bare relay (bar 0.8), and peak memory at 10 and at 200 at once.

Memory must be bounded by what is out: bodies are held from the node's answer until the client took them, and
at most as many are out as the module's windows allow. Bar: at 200 at once, under 1.5 MiB an export held more
than at 10.
"""

from __future__ import annotations

import asyncio
import statistics
import sys

from bench import Rig, closed_loop, peak_mib, read_rpc

BAR, NODES, MIB = 0.8, 3, 1 << 20


async def main(quick: bool) -> int:
    rig = Rig(nodes=NODES)
    seconds = 2.5 if quick else 8.0
    make = read_rpc(MIB, "export", NODES)
    try:
        ports = {"dispatcher": rig.dispatcher(), "relay": rig.relay()}
        own = rig.processes[-2]
        await rig.list_nodes()
        idle = peak_mib(own)
        await closed_loop(ports["dispatcher"], make, 10, 2.0, peers=2)
        at_10 = peak_mib(own)
        rates: dict[str, list[float]] = {name: [] for name in ports}
        for _ in range(3):
            for name, port in ports.items():
                tally = await closed_loop(port, make, 16, seconds)
                rates[name].append(tally.per_s)
        await closed_loop(ports["dispatcher"], make, 200, 3.0, peers=20)
        at_200 = peak_mib(own)
    finally:
        rig.close()
    for name, found in rates.items():
        print(f"{name}: {statistics.median(found):.0f} MiB/s ({', '.join(f'{one:.0f}' for one in found)})")
    print(f"peak memory: idle {idle:.0f} MiB, 10 exports at once {at_10:.0f}, 200 at once {at_200:.0f}")
    ratio = statistics.median(rates["dispatcher"]) / statistics.median(rates["relay"])
    bounded = at_200 - at_10 <= 1.5 * 200
    print(f"bytes a second over relay (bar {BAR}): {ratio:.3f}")
    return 0 if ratio >= BAR and bounded else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--quick" in sys.argv)))

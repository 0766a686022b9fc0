"""Memory an RPC held: 10,000 reads wait for a node that is silent. Bar: 4 KiB each."""

from __future__ import annotations

import asyncio
import sys

from bench import SITE, Peer, Rig, Tally, now_mib, read_rpc

from cherrygrade.standin.control import Controller

BAR_KIB, HELD = 4.0, 10_000


async def main(quick: bool) -> int:
    rig = Rig({"unit_ms": 100_000, "queue": 100_000})
    site = {**SITE, "workloads": {"read": {"soft_ms": 60_000, "deadline_ms": 120_000, "value": 3}}}
    try:
        port = rig.dispatcher(site)
        own = rig.processes[-1]
        await rig.list_nodes()
        control = Controller(f"127.0.0.1:{rig.node[1]}")
        await control.connect()
        peer = Peer(lambda id_: _long(id_), 0, Tally([]))
        await asyncio.get_running_loop().create_connection(lambda: peer.conn, "127.0.0.1", port)
        await peer.ready
        for _ in range(100):
            peer.send()
        await asyncio.sleep(0.5)
        before = now_mib(own)
        for _ in range(HELD):
            peer.send()
        await asyncio.sleep(4.0 if quick else 10.0)
        after = now_mib(own)
        answered = HELD + 100 - len(peer.begun)
    finally:
        rig.close()
    if answered > HELD // 100:
        print(f"{answered} were answered: not {HELD} held")
        return 1
    each = (after - before) * 1024.0 / HELD
    print(f"resident: {before:.1f} MiB with 100 held, {after:.1f} MiB with {HELD + 100}")
    print(f"KiB an RPC held (bar {BAR_KIB}): {each:.2f}")
    return 0 if each <= BAR_KIB else 1


def _long(id_: int):  # type: ignore[no-untyped-def]
    message = read_rpc(4096)(id_)
    message.left_ms = 119_000.0  # type: ignore[attr-defined]
    return message


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--quick" in sys.argv)))

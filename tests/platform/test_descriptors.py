"""A process of the platform under its own limit of descriptors: a crowd that rests or says nothing, and
discovery down. Judged from outside: the process table, what fresh clients and nodes see.
"""

from __future__ import annotations

import asyncio

import pytest
from support.platform_process import SOCKETS, PlatformProcess
from support.platform_site import client_request


@pytest.mark.parametrize("crowd", ["rests", "is silent", "sends half"])
def test_silent_clients_filling_all_places_while_discovery_is_down_lock_out_no_other(tmp_path, crowd):
    async def story() -> None:
        one = PlatformProcess(tmp_path)
        await one.start()
        try:
            one.discovery.down = True
            one.discovery.hush()
            most = 0
            for number in range(3 * SOCKETS):
                try:
                    caller = await one.connect_client()
                    if crowd == "rests":
                        await caller.exchange(client_request())
                    elif crowd == "sends half":
                        caller.writer.write(client_request()[:-7])
                except ConnectionError:
                    pass
                if not number % 16:
                    assert await one.status_on_new_connection() == 200
                    most = max(most, one.process_info.num_fds())
            assert most <= SOCKETS - 8  # never near the limit, so that no accept and no connect fails for it
            before = sum(one.process_info.cpu_times()[:2])
            await asyncio.sleep(1.0)
            assert sum(one.process_info.cpu_times()[:2]) - before < 0.5  # and nothing spins

            # Discovery is back: its watch and the connections to nodes had their places all along.
            one.discovery.down = False

            async def watched() -> bool:
                return len(one.discovery.asked) > asked and len(one.discovery.peers) == 1

            asked = len(one.discovery.asked)
            await one.wait_until(watched, 4.0)
            one.discovery.tell(one.node.entry("terminating"))

            async def drained() -> bool:
                return await one.status_on_new_connection() == 503

            await one.wait_until(drained, 6.0)
            assert not one.discovery.late(one.node)
            told = one.read_log()
            assert "Traceback" not in told and "Too many open files" not in told
            assert "out of system resource" not in told
        finally:
            code = await one.stop()
        assert code == 0

    asyncio.run(asyncio.wait_for(story(), 60.0))

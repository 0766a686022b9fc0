"""Tests that idle or silent clients do not use up the file descriptors of a dispatcher process.

The process runs under its own descriptor limit, with discovery down. It is checked from outside: by the
process table, and by the answers that new clients get.
"""

from __future__ import annotations

import asyncio

import pytest
from support.platform_process import SOCKETS, PlatformProcess
from support.platform_site import client_request


@pytest.mark.parametrize("crowd", ["is idle", "is silent", "sends half a request"])
def test_new_clients_are_served_while_silent_clients_fill_all_places_and_discovery_is_down(tmp_path, crowd):
    async def case() -> None:
        process = PlatformProcess(tmp_path)
        await process.start()
        try:
            process.discovery.down = True
            process.discovery.silence_watches()
            max_descriptors = 0
            for number in range(3 * SOCKETS):
                try:
                    client = await process.connect_client()
                    if crowd == "is idle":
                        await client.exchange(client_request())
                    elif crowd == "sends half a request":
                        client.writer.write(client_request()[:-7])
                except ConnectionError:
                    pass
                if not number % 16:
                    assert await process.status_on_new_connection() == 200
                    max_descriptors = max(max_descriptors, process.process_info.num_fds())
            # The process stays below the limit, so that neither an accept nor a connect fails because of it.
            assert max_descriptors <= SOCKETS - 8
            cpu_s = sum(process.process_info.cpu_times()[:2])
            await asyncio.sleep(1.0)
            assert sum(process.process_info.cpu_times()[:2]) - cpu_s < 0.5  # no task is in a busy loop

            # After discovery's return there are descriptors left for its watch and for connections to nodes.
            process.discovery.down = False

            async def has_new_watch() -> bool:
                return (
                    len(process.discovery.watch_targets) > watches_before
                    and len(process.discovery.peers) == 1
                )

            watches_before = len(process.discovery.watch_targets)
            await process.wait_until(has_new_watch, 4.0)
            process.discovery.publish(process.node.entry("terminating"))

            async def is_drained() -> bool:
                return await process.status_on_new_connection() == 503

            await process.wait_until(is_drained, 6.0)
            assert not process.discovery.late_requests_s(process.node)
            log = process.read_log()
            assert "Traceback" not in log and "Too many open files" not in log
            assert "out of system resource" not in log
        finally:
            code = await process.stop()
        assert code == 0

    asyncio.run(asyncio.wait_for(case(), 60.0))

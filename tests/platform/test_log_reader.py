"""Tests of a dispatcher process whose standard output nobody reads: it goes on, and drops log lines."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal

import pytest
from support.platform_process import PlatformProcess, run_process

pytestmark = pytest.mark.few

SOCKETS = 128
MEMORY_MB = 64


# Guards against a process that ends by itself, with exit code 1, when the reader of its log has gone.
@pytest.mark.parametrize("reader_is_there", [False, True], ids=["gone", "stuck"])
def test_process_serves_and_ends_in_order_though_nobody_reads_its_log(tmp_path, reader_is_there):
    read_end, write_end = os.pipe()

    async def case(process: PlatformProcess) -> None:
        if reader_is_there:
            os.set_blocking(write_end, False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    os.write(write_end, b"x" * 512)
            os.set_blocking(write_end, True)
        else:
            os.close(read_end)
        for _ in range(3):  # each is logged
            process.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            assert await process.status_on_new_connection() == 200
        assert process.process.returncode is None
        assert await process.stop() == 0

    try:
        asyncio.run(run_process(tmp_path, SOCKETS, MEMORY_MB, case, output=write_end))
    finally:
        os.close(write_end)
        if reader_is_there:
            os.close(read_end)

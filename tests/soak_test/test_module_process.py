"""Tests of the soak test's child processes: start, failed start, and exit."""

import asyncio

import pytest

from soak.errors import ProcessStartError
from soak.module_process import ModuleProcess

SILENT_MODULE = "soak.errors"  # exits without output
RUNNING_S = 0.5  # the process has to run at least this long while its input is open
FINISH_TIMEOUT_S = 60.0  # far longer than an exit takes on a busy machine


def test_process_that_ends_without_a_line_is_an_error():
    async def start():
        process = await ModuleProcess.start(SILENT_MODULE)
        try:
            await process.read_line()
        finally:
            await process.clean_up()

    with pytest.raises(ProcessStartError, match=SILENT_MODULE):
        asyncio.run(start())


def test_process_prints_its_port_and_stops_listening_after_clean_up():
    async def start_and_clean_up():
        process = await ModuleProcess.start("soak.worker", "0.0")
        try:
            port = int(await process.read_line())
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
        finally:
            await process.clean_up()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)

    asyncio.run(start_and_clean_up())


def test_process_exits_after_its_input_is_closed(tmp_path):
    async def start_and_finish():
        process = await ModuleProcess.start("soak.clients", "1", "1", "1", str(tmp_path / "clients.jsonl"))
        try:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(process.read_line(), RUNNING_S)
            # `finish` kills the process after its timeout, so an exit in half of that is the process's own.
            status = await asyncio.wait_for(process.finish(FINISH_TIMEOUT_S), FINISH_TIMEOUT_S / 2)
            assert status == 0
        finally:
            await process.clean_up()

    asyncio.run(start_and_finish())

"""Tests of the soak test's proxy: forwarding, recording, and injection of faults."""

import asyncio
import contextlib

import pytest

from function_router.net.codecs import worker_frames as frames
from soak.commands import ProxyCommand
from soak.proxy import Proxy
from soak.records import AttemptSeen, Recorder, StartOrderSeen, WorkerAnswerSeen, read_records

ROUTER = 0
WORKER = 0
EXCHANGE_ID = b"12345678"
RUN = frames.encode_run(EXCHANGE_ID, "view", "f", 500.0, "", b"body")
START_ORDER = frames.encode_ensure_instances(EXCHANGE_ID, "f", 2)
ANSWER = frames.encode(frames.OK, EXCHANGE_ID, "", b"answer", frames.FROM_WORKER)
READ_TIMEOUT_S = 5.0


class FixedAnswerWorker:
    """A worker that answers each read with `ANSWER`, and stores the data that it has read."""

    def __init__(self):
        self.port = 0
        self.received = b""

    async def serve(self, reader, writer):
        """Serve one connection until it ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                self.received += data
                writer.write(ANSWER)
        writer.close()


class ProxyHarness:
    """A proxy for one router and one worker, and the connections of the router."""

    def __init__(self, proxy, worker):
        self.proxy = proxy
        self.worker = worker
        self.resources = contextlib.AsyncExitStack()

    async def command(self, target_port=0, **options):
        """Apply a command; it forwards to the worker unless `target_port` is another port or None."""
        port = self.worker.port if target_port == 0 else target_port
        await self.proxy.apply(ProxyCommand(WORKER, port, **options))

    async def connect(self):
        """Connect as the router."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.ports[ROUTER][WORKER])
        self.resources.callback(writer.close)
        return reader, writer

    async def exchange(self, data):
        """Send data on a new connection, and return the result of the first read."""
        reader, writer = await self.connect()
        writer.write(data)
        return await asyncio.wait_for(reader.read(65_536), READ_TIMEOUT_S)


@pytest.fixture
def with_proxy(tmp_path):
    """Return a function that runs a scenario with a proxy, and returns its result and the records."""

    async def run_in_loop(scenario):
        recorder = Recorder(tmp_path / "proxy.jsonl")
        worker = FixedAnswerWorker()
        harness = ProxyHarness(Proxy(1, 1, recorder), worker)
        async with harness.resources:
            server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
            harness.resources.callback(server.close)
            worker.port = server.sockets[0].getsockname()[1]
            await harness.proxy.listen()
            await harness.command()
            harness.resources.push_async_callback(harness.command, None)
            result = await scenario(harness)
        recorder.close()
        return result

    def run(scenario):
        result = asyncio.run(run_in_loop(scenario))
        return result, list(read_records(tmp_path / "proxy.jsonl"))

    return run


def test_frames_are_forwarded_and_recorded_in_both_directions(with_proxy):
    async def scenario(harness):
        answer = await harness.exchange(RUN)
        return answer, harness.worker.received

    (answer, received), records = with_proxy(scenario)

    assert (answer, received) == (ANSWER, RUN)
    assert [type(record) for record in records] == [AttemptSeen, WorkerAnswerSeen]
    assert (records[0].request_id, records[0].timeout_ms) == (EXCHANGE_ID.hex(), 500.0)
    assert (records[1].request_id, records[1].code) == (EXCHANGE_ID.hex(), frames.OK)


def test_start_order_is_recorded_with_its_instances(with_proxy):
    _, records = with_proxy(lambda harness: harness.exchange(START_ORDER))

    assert isinstance(records[0], StartOrderSeen)
    assert records[0].instances == 2


def test_command_without_a_target_resets_connections_and_refuses_new_ones(with_proxy):
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(RUN)
        await asyncio.wait_for(reader.read(65_536), READ_TIMEOUT_S)
        await harness.command(None)
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), READ_TIMEOUT_S)
        with pytest.raises(ConnectionRefusedError):
            await harness.connect()
        await harness.command()
        return await harness.exchange(RUN)

    answer, _ = with_proxy(scenario)

    assert answer == ANSWER


def test_reset_of_connections_leaves_the_proxy_listening(with_proxy):
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(RUN)
        await asyncio.wait_for(reader.read(65_536), READ_TIMEOUT_S)
        await harness.command(reset_connections=True)
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), READ_TIMEOUT_S)
        return await harness.exchange(RUN)

    answer, _ = with_proxy(scenario)

    assert answer == ANSWER


def test_corrupted_answer_is_recorded_as_the_worker_sent_it(with_proxy):
    async def scenario(harness):
        await harness.command(corrupted_share=1.0)
        return await harness.exchange(RUN)

    answer, records = with_proxy(scenario)

    assert answer != ANSWER
    assert records[1].code == frames.OK

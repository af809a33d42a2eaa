"""Tests that workers which fill the router's memory get no more than their share."""

import struct

import pytest
from helpers.exchanges import attempt
from helpers.fake_worker import FakeWorker

from function_router.net.codecs import worker_frames
from function_router.net.memory_budget import MemoryOwner, MemoryShare
from function_router.net.used_exchange_ids import ID_BYTES

WORKERS = 20
PARTIAL_BODY_BYTES = 60_000
STATED_BODY_BYTES = 250_000


@pytest.fixture
def workers():
    return [FakeWorker(f"s-{number}", instances=None) for number in range(WORKERS)]


@pytest.fixture
def harness(start_router, workers):
    """A router with little memory."""
    return start_router(*workers, limits={"memory_mb": 32, "sockets": 256})


# Guards against answers in part, whose size grew with the number of connections, whatever the memory limit.
def test_partial_answers_of_many_workers_stay_within_their_share(harness, workers, results):
    memory = harness.router_process.memory
    for worker in workers:
        harness.deliver_attempt(worker, results)
    header = struct.pack(
        ">BBHI8s", worker_frames.FROM_WORKER, worker_frames.OK, 0, STATED_BODY_BYTES, b"12345678"
    )
    small = workers[0].requests[0]

    for worker in workers[1:]:
        worker.requests[0].connection.sock.sendall(header + b"x" * PARTIAL_BODY_BYTES)
    for _ in range(20):
        harness.router_process.loop.run_once(0.001)
    workers[0].answer(small, body=b"served")
    harness.run_until(lambda: any(outcome.name == "OK" for outcome, _ in results), "one attempt is answered")

    assert not memory.worker_input.is_exceeded


# Guards against ids of past exchanges, whose number grew with that of the connections.
def test_ids_of_past_exchanges_stay_within_their_share(harness, workers):
    memory = harness.router_process.memory
    memory.ids = MemoryShare(MemoryOwner.IDS, 50 * ID_BYTES, max_holders=50)
    results = []

    for number in range(100):
        worker = workers[number % 4]
        count = len(worker.requests)
        harness.pool.send(attempt(worker.worker_id, results, exchange_id=b"%08d" % number))
        harness.run_until(
            lambda worker=worker, count=count: len(worker.requests) > count, "the attempt arrives"
        )
        worker.answer(worker.requests[-1], code=worker_frames.QUEUE_FULL)
        harness.run_until(lambda number=number: len(results) > number, "the attempt ends")

    assert not memory.ids.is_exceeded

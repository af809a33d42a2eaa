"""Tests of `worker_connection`."""

import time
from unittest import mock

import pytest
from helpers.exchanges import attempt
from helpers.fake_worker import FakeWorker

from function_router.decisions.types import Outcome
from function_router.net import connection_set
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames
from function_router.net.event_loop import WRITE

# Codes of answers, as literals, so that a change of the codec's constants fails the tests.
NOT_LOADED = 2
QUEUE_FULL = 3
INVALID_FRAME = b"HTTP/1.1 200 OK\r\n\r\n"
MAX_EXCHANGES = 32  # the default limit for one connection
READ_PAUSE_S = 0.4  # how long a worker does not read


@pytest.fixture
def worker(worker):
    """A worker whose requests, start orders and probes the test answers."""
    worker.instances = None
    return worker


# --- frames that are invalid, incomplete or duplicate


def test_invalid_frame_closes_only_its_connection(start_router):
    first = FakeWorker("s-1")
    second = FakeWorker("s-2")
    harness = start_router(first, second)
    first_results = []
    second_results = []
    harness.pool.send(attempt(first.worker_id, first_results))
    harness.pool.send(attempt(second.worker_id, second_results))
    harness.run_until(lambda: first.requests and second.requests, "both workers have their attempts")

    first.requests[0].connection.sock.sendall(INVALID_FRAME)
    harness.run_until(lambda: first_results, "the first attempt finishes")
    second.answer(second.requests[0])
    harness.run_until(lambda: second_results, "the second attempt finishes")

    assert first_results == [(CloseReason.PROTOCOL_ERROR, True)]
    assert second_results == [(Outcome.OK, True)]


def test_invalid_frame_does_not_affect_requests_on_other_connections_to_the_worker(
    harness, pool, worker, results
):
    worker_id = worker.worker_id
    for number in range(3):
        pool.send(attempt(worker_id, results, exchange_id=b"%08d" % number))
        connections = pool.workers[worker_id].connections
        harness.run_until(
            lambda number=number, connections=connections: (
                [connection.is_connected for connection in connections] == [True] * (number + 2)
            ),
            "a spare connection is established",
        )
        harness.run_until(
            lambda number=number: len(worker.requests) > number, "the attempt reaches the worker"
        )

    worker.requests[1].connection.sock.sendall(INVALID_FRAME)
    harness.run_until(lambda: results, "one attempt finishes")
    for request in (worker.requests[0], worker.requests[2]):
        worker.answer(request)
    harness.run_until(lambda: len(results) == 3, "the other attempts are answered")

    assert results == [(CloseReason.PROTOCOL_ERROR, True)] + [(Outcome.OK, True)] * 2


def test_incomplete_frame_times_out_its_connection(harness, worker, results):
    harness.deliver_attempt(worker, results)
    peer, request = worker.requests[0]
    answer = worker_frames.encode(0, request.exchange_id, body=b"x" * 50, direction=worker_frames.FROM_WORKER)

    peer.sock.sendall(answer[:40])
    harness.run_until(lambda: results, "the attempt finishes")

    assert results == [(CloseReason.READ_TIMEOUT, True)]


def test_duplicate_answer_does_not_end_a_retry(harness, pool, worker, results):
    with mock.patch.object(connection_set, "CONNECTIONS_BEFORE_SHARING", 1):
        harness.deliver_attempt(worker, results)
        worker.answer(worker.requests[0], QUEUE_FULL, "")
        harness.run_until(lambda: results, "the worker's queue is full")
        pool.send(attempt(worker.worker_id, results))
        worker.answer(worker.requests[0], QUEUE_FULL, "")
        harness.run_until(lambda: len(worker.requests) == 2, "the retry reaches the worker")

    worker.answer(worker.requests[1])
    harness.run_until(lambda: len(results) == 2, "the attempt is answered")

    assert [result for result, _ in results] == [Outcome.QUEUE_FULL, Outcome.OK]


# --- ids and timeouts of exchanges


def test_connection_limits_its_exchanges_and_carries_no_id_twice(harness, pool, worker, results):
    worker_id = worker.worker_id

    for number in range(MAX_EXCHANGES + 1):
        pool.send(attempt(worker_id, results, exchange_id=b"%08d" % number))
    pool.send(attempt(worker_id, results, exchange_id=b"%08d" % 0))
    harness.run_until(lambda: len(worker.requests) == MAX_EXCHANGES + 2, "all attempts reach the worker")

    for connection in worker.connections:
        ids = [frame.exchange_id for peer, frame in worker.requests if peer is connection]
        assert len(ids) <= MAX_EXCHANGES
        assert len(ids) == len(set(ids))


def test_id_of_a_cancelled_attempt_is_not_reused_on_its_connection(harness, pool, worker):
    worker_id = worker.worker_id
    first_results = []
    second_results = []
    first_attempt = attempt(worker_id, first_results)
    pool.send(first_attempt)
    harness.run_until(lambda: worker.requests, "the attempt reaches the worker")

    pool.cancel(first_attempt)
    pool.send(attempt(worker_id, second_results))
    harness.run_until(lambda: len(worker.requests) == 2, "the second attempt reaches the worker")
    worker.answer(worker.requests[0], body=b"of the first")

    assert worker.requests[0].connection is not worker.requests[1].connection

    worker.answer(worker.requests[1], NOT_LOADED, "")
    harness.run_until(lambda: second_results, "the second attempt finishes")

    assert first_results == [(CloseReason.CANCELLED, True)]
    assert second_results == [(Outcome.NOT_LOADED, True)]


def test_encoded_timeout_is_computed_when_the_first_byte_is_written(harness, pool, worker, results):
    harness.deliver_attempt(worker, results)
    late = attempt(worker.worker_id, results, exchange_id=b"abcdefgh", timeout_ms=5_000.0)
    with mock.patch.object(connection_set, "CONNECTIONS_BEFORE_SHARING", 1):
        pool.send(late)
    connection = late.holder.connection

    connection.writer.is_blocked = True  # as if the worker did not read
    time.sleep(READ_PAUSE_S)
    connection._on_ready(WRITE)
    harness.run_until(lambda: len(worker.requests) == 2, "the attempt reaches the worker")

    stated_ms = float(worker.requests[1].frame.fields["ms"])
    assert stated_ms <= late.deadline_ms - monotonic_ms() + 100.0

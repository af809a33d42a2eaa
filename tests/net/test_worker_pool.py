"""Tests of `worker_pool`."""

import msgspec
import pytest
from helpers.exchanges import attempt, start_order
from helpers.fake_worker import FakeWorker
from helpers.process_harness import UNLISTED_WORKER_ID

from function_router.decisions.types import WorkerState
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames
from function_router.net.not_sent_reason import NotSentReason

OTHER_ADDRESS = ("127.0.0.1", 1)  # nothing listens on this address


@pytest.fixture
def worker(worker):
    """A worker whose requests, start orders and probes the test answers."""
    worker.instances = None
    return worker


# --- workers in the endpoint list


def test_worker_without_an_address_is_not_added(pool, worker):
    pool.update_endpoint(UNLISTED_WORKER_ID, None, WorkerState.READY, 0.0)

    assert list(pool.workers) == [worker.worker_id]


def test_workers_at_an_address_are_those_that_are_not_removed(harness, pool, worker, results):
    worker_id = worker.worker_id
    harness.deliver_attempt(worker, results)  # an exchange in flight keeps the removed worker in the pool
    pool.update_endpoint(UNLISTED_WORKER_ID, worker.address, WorkerState.DRAINING, 0.0)
    assert pool.workers_at(worker.address) == [worker_id, UNLISTED_WORKER_ID]

    pool.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)

    assert pool.workers_at(worker.address) == [UNLISTED_WORKER_ID]
    assert worker_id in pool.workers


def test_removed_worker_leaves_the_pool_once_its_last_exchange_is_finished(harness, pool, worker, results):
    worker_id = worker.worker_id
    harness.deliver_attempt(worker, results)

    pool.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)

    assert list(pool.workers) == [worker_id]

    worker.answer(worker.requests[0])
    harness.run_until(lambda: results, "the attempt is answered")

    assert list(pool.workers) == []


def test_complete_list_removes_the_workers_that_it_does_not_name(pool, worker):
    pool.update_endpoint(UNLISTED_WORKER_ID, OTHER_ADDRESS, WorkerState.READY, 0.0)
    assert list(pool.workers) == [worker.worker_id, UNLISTED_WORKER_ID]

    pool.remove_all_except({UNLISTED_WORKER_ID})

    assert list(pool.workers) == [UNLISTED_WORKER_ID]


# --- exchanges


def test_exchange_for_an_unknown_worker_is_not_sent(pool, results):
    unknown = attempt(UNLISTED_WORKER_ID, results)

    pool.send(unknown)

    assert results == [(CloseReason.NOT_SENT, False)]
    assert unknown.not_sent_reason is NotSentReason.WORKER_UNKNOWN


def test_attempt_past_its_deadline_is_not_sent(pool, worker, results):
    late = attempt(worker.worker_id, results, timeout_ms=-1.0)

    pool.send(late)

    assert results == [(CloseReason.NOT_SENT, False)]
    assert late.not_sent_reason is NotSentReason.DEADLINE_PASSED


def test_start_orders_have_unique_ids(harness, pool, worker):
    for _ in range(3):
        pool.ensure_instances(start_order(worker.worker_id, []))
    harness.run_until(lambda: len(worker.frames) == 3, "all start orders arrive")

    ids = {frame.exchange_id for _, frame in worker.received(worker_frames.ENSURE_INSTANCES)}

    assert len(ids) == 3


def test_exchange_is_cancelled_as_unsent_only_before_its_first_byte(harness, pool, worker, results):
    started = attempt(worker.worker_id, results)
    unsent = attempt(worker.worker_id, results, exchange_id=b"abcdefgh")
    pool.send(started)
    harness.run_until(lambda: worker.requests, "the attempt reaches the worker")
    pool.send(unsent)

    pool.cancel_if_unsent(started)
    pool.cancel_if_unsent(unsent)

    assert results == [(CloseReason.NOT_SENT, False)]
    assert unsent.not_sent_reason is NotSentReason.REQUEST_FINISHED
    assert not started.is_done


# --- timeouts


def test_attempts_start_orders_and_connects_time_out(harness, pool, worker, results, unreachable_address):
    worker_id = worker.worker_id
    pool.ensure_instances(start_order(worker_id, [], instances=0))
    harness.run_until(lambda: worker.frames, "a connection is established")
    resources = pool._resources
    resources.transport = msgspec.structs.replace(
        resources.transport, start_order_timeout_ms=500.0, connect_timeout_ms=60.0
    )
    pool.update_endpoint(UNLISTED_WORKER_ID, unreachable_address(), WorkerState.READY, 0.0)

    pool.send(attempt(worker_id, results, timeout_ms=500.0))
    harness.run_until(lambda: results, "the attempt finishes")
    pool.ensure_instances(start_order(worker_id, results))
    harness.run_until(lambda: len(results) == 2, "the start order finishes")
    pool.send(attempt(UNLISTED_WORKER_ID, results))
    harness.run_until(lambda: len(results) == 3, "the connect times out")

    assert results == [(CloseReason.DEADLINE_EXCEEDED, True)] * 2 + [(CloseReason.CONNECT_TIMEOUT, False)]


def test_idle_connections_are_closed_and_those_in_use_stay(start_router, results):
    busy = FakeWorker("s-1", instances=None)
    idle = FakeWorker("s-2")
    harness = start_router(busy, idle, settings={"bounds": {"keepalive": 0.0}})
    for worker in (busy, idle):
        harness.pool.ensure_instances(start_order(worker.worker_id, results))
    harness.run_until(lambda: results and busy.frames, "one order is answered and the other one has arrived")

    harness.run_until(lambda: idle.connections[0].is_closed, "the idle connection is closed")

    assert not busy.connections[0].is_closed

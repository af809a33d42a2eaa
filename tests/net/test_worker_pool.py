"""Tests of `worker_pool`."""

import msgspec
import pytest
from helpers.configuration import endpoint_event
from helpers.exchanges import attempt, start_order
from helpers.fake_worker import FakeWorker
from helpers.process_harness import UNLISTED_WORKER_ID

from function_router.decisions.types import Outcome, WorkerState
from function_router.net import connection_set
from function_router.net.close_reason import CloseReason

# --- workers that drain, are removed, move or restart


@pytest.mark.parametrize("is_connected", [False, True], ids=["connecting", "connected"])
@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.REMOVED])
def test_unsent_exchanges_of_a_worker_that_goes_are_returned(start_router, state, is_connected):
    worker = FakeWorker(instances=None)
    harness = start_router(worker)
    pool = harness.pool
    worker_id = worker.worker_id
    if is_connected:
        pool.ensure_instances(start_order(worker_id, []))
        harness.run_until(lambda: worker.frames, "a connection is established")
    frames_before = len(worker.frames)
    results = []
    pool.send(attempt(worker_id, results))
    pool.ensure_instances(start_order(worker_id, results))

    pool.update_endpoint(worker_id, None, state, 0.0)

    assert results == [(CloseReason.DRAINING, False)] * 2
    harness.round_trip(harness.connect_client())
    assert len(worker.frames) == frames_before


def test_draining_worker_gets_probes_but_no_new_work(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    pool = harness.pool
    worker_id = worker.worker_id
    results = []
    pool.update_endpoint(worker_id, None, WorkerState.DRAINING, 0.0)

    pool.send(attempt(worker_id, results))
    pool.ensure_instances(start_order(worker_id, results))

    assert results == [(CloseReason.NOT_SENT, False)] * 2

    pool.ensure_instances(start_order(worker_id, results, instances=0))
    harness.run_until(lambda: len(results) == 3, "the probe is answered")

    assert results[2] == (Outcome.OK, True)


def test_drain_in_the_endpoint_log_leaves_running_requests_alone(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.run_request(worker)

    harness.endpoint_log.send_line(endpoint_event(2, worker.record("terminating")))
    harness.run_until(lambda: harness.router_process.endpoint_watch.last_sequence == 2, "the drain is read")
    worker.answer(worker.requests[0], body=b"done")
    harness.run_until(lambda: client.answers, "it is answered")

    assert client.answer_kinds() == {1: "answer"}


def test_new_worker_at_the_address_of_a_removed_one_gets_its_own_connections(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker)
    pool = harness.pool
    worker_id = worker.worker_id
    results = []
    harness.run_attempt(worker, results)
    address = pool.workers[worker_id].address

    pool.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)
    pool.update_endpoint(77, address, WorkerState.READY, 0.0)
    pool.send(attempt(77, results, exchange_id=b"abcdefgh"))
    harness.run_until(lambda: len(worker.requests) == 2, "the new one runs it")

    assert worker.requests[0].connection is not worker.requests[1].connection
    assert results == []


def test_connection_established_after_its_worker_is_removed_is_closed(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    pool = harness.pool
    worker_id = worker.worker_id
    pool.send(attempt(worker_id, []))
    [connection] = pool.workers[worker_id].connections

    pool.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)
    harness.run_until(lambda: connection.connection.is_connected, "it is established")

    assert connection.connection.is_closed
    assert not pool.workers


def test_restart_retires_the_connections_to_the_process_before(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    pool = harness.pool
    worker_id = worker.worker_id
    results = []
    harness.run_attempt(worker, results)

    pool.update_endpoint(worker_id, None, WorkerState.READY, 5.0)
    harness.run_attempt(worker, results, exchange_id=b"abcdefgh")

    assert worker.requests[0].connection is not worker.requests[1].connection


@pytest.mark.parametrize("has_moved", [True, False], ids=["moved", "restarted"])
def test_exchange_that_waits_for_a_connection_to_the_old_process_goes_to_the_new_one(
    start_router, unreachable_address, has_moved
):
    worker = FakeWorker("s-9", instances=None)
    harness = start_router()
    harness.add_listener(worker)
    pool = harness.pool
    old_address = unreachable_address() if has_moved else worker.address
    results = []
    pool.update_endpoint(UNLISTED_WORKER_ID, old_address, WorkerState.READY, 0.0)
    pool.send(attempt(UNLISTED_WORKER_ID, results))
    [old_connection] = pool.workers[UNLISTED_WORKER_ID].connections

    pool.update_endpoint(UNLISTED_WORKER_ID, worker.address, WorkerState.READY, 5.0)
    old_connection.connection.close(CloseReason.CONNECT_TIMEOUT)
    harness.run_until(lambda: worker.requests, "it runs")

    assert results == []


def test_connection_to_the_process_before_carries_nothing_new_once_established(start_router):
    worker = FakeWorker("s-9", instances=None)
    harness = start_router(worker)
    pool = harness.pool
    results = []
    pool.update_endpoint(UNLISTED_WORKER_ID, worker.address, WorkerState.READY, 0.0)
    pool.send(attempt(UNLISTED_WORKER_ID, results))
    [old_connection] = pool.workers[UNLISTED_WORKER_ID].connections

    pool.update_endpoint(UNLISTED_WORKER_ID, None, WorkerState.READY, 5.0)
    harness.run_until(lambda: worker.requests, "it runs")

    assert old_connection.connection.is_closed
    assert (len(worker.requests), results) == (1, [])


def test_exchanges_on_retired_connections_do_not_use_up_the_limit_of_the_new_process(start_router):
    worker = FakeWorker("s-9", instances=None)
    harness = start_router(worker, settings={"bounds": {"streams_per_conn": 1}})
    pool = harness.pool
    results = []
    pool.update_endpoint(UNLISTED_WORKER_ID, worker.address, WorkerState.READY, 0.0)
    for number in range(connection_set.MAX_CONNECTIONS):
        pool.send(attempt(UNLISTED_WORKER_ID, results, exchange_id=b"%08d" % number))
        harness.run_until(lambda number=number: len(worker.requests) > number, "it runs")

    pool.update_endpoint(UNLISTED_WORKER_ID, None, WorkerState.READY, 5.0)
    pool.send(attempt(UNLISTED_WORKER_ID, results, exchange_id=b"abcdefgh"))
    harness.run_until(
        lambda: len(worker.requests) > connection_set.MAX_CONNECTIONS or results, "the next one runs"
    )

    assert results == []


# --- timeouts


def test_attempts_start_orders_and_connects_time_out(start_router, unreachable_address):
    worker = FakeWorker(instances=None)
    harness = start_router(worker)
    pool = harness.pool
    worker_id = worker.worker_id
    results = []
    pool.ensure_instances(start_order(worker_id, [], instances=0))
    harness.run_until(lambda: worker.frames, "a connection is established")
    resources = pool._resources
    resources.wire = msgspec.structs.replace(
        resources.wire, start_order_timeout_ms=500.0, connect_timeout_ms=60.0
    )
    pool.update_endpoint(UNLISTED_WORKER_ID, unreachable_address(), WorkerState.READY, 0.0)

    pool.send(attempt(worker_id, results, within_ms=500.0))
    harness.run_until(lambda: results, "the attempt ends")
    pool.ensure_instances(start_order(worker_id, results))
    harness.run_until(lambda: len(results) == 2, "the order ends")
    pool.send(attempt(UNLISTED_WORKER_ID, results))
    harness.run_until(lambda: len(results) == 3, "the connect ends")

    assert results == [(CloseReason.DEADLINE_EXCEEDED, True)] * 2 + [(CloseReason.CONNECT_TIMEOUT, False)]


def test_idle_connections_are_closed_and_those_in_use_stay(start_router):
    busy, idle = FakeWorker("s-1", instances=None), FakeWorker("s-2")
    harness = start_router(busy, idle, settings={"bounds": {"keepalive": 0.0}})
    results = []
    for worker in (busy, idle):
        harness.pool.ensure_instances(start_order(worker.worker_id, results))
    harness.run_until(lambda: results and busy.frames, "one is answered")

    harness.run_until(lambda: idle.connections[0].is_closed, "the idle one is closed")

    assert not busy.connections[0].is_closed

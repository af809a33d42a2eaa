"""Tests of `pooled_worker` for workers that drain, are removed, move or restart."""

import pytest
from helpers.configuration import endpoint_event
from helpers.exchanges import attempt, start_order
from helpers.fake_worker import FakeWorker
from helpers.process_harness import UNLISTED_WORKER_ID

from function_router.decisions.types import Outcome, WorkerState
from function_router.net import connection_set
from function_router.net.close_reason import CloseReason

OTHER_WORKER_ID = 77
OTHER_EXCHANGE_ID = b"abcdefgh"
LATER_START_MS = 5.0  # later than the initial start time, which is unknown and counts as 0


@pytest.fixture
def worker(worker):
    """A worker whose requests, start orders and probes the test answers."""
    worker.instances = None
    return worker


@pytest.fixture
def unlisted_worker():
    """A worker that the router's endpoint list does not name."""
    return FakeWorker("s-9", instances=None)


# --- draining and removal


@pytest.mark.parametrize("is_connected", [False, True], ids=["connecting", "connected"])
@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.REMOVED])
def test_unsent_exchanges_are_aborted_when_their_worker_drains_or_is_removed(
    harness, pool, worker, results, state, is_connected
):
    worker_id = worker.worker_id
    if is_connected:
        pool.ensure_instances(start_order(worker_id, []))
        harness.run_until(lambda: worker.frames, "a connection is established")
    frames_before = len(worker.frames)
    pool.send(attempt(worker_id, results))
    pool.ensure_instances(start_order(worker_id, results))

    pool.update_endpoint(worker_id, None, state, 0.0)

    assert results == [(CloseReason.DRAINING, False)] * 2
    harness.round_trip(harness.connect_client())
    assert len(worker.frames) == frames_before


def test_draining_worker_gets_probes_but_no_new_work(harness, pool, worker, results):
    worker.instances = 1
    worker_id = worker.worker_id
    pool.update_endpoint(worker_id, None, WorkerState.DRAINING, 0.0)

    pool.send(attempt(worker_id, results))
    pool.ensure_instances(start_order(worker_id, results))

    assert results == [(CloseReason.NOT_SENT, False)] * 2

    pool.ensure_instances(start_order(worker_id, results, instances=0))
    harness.run_until(lambda: len(results) == 3, "the probe is answered")

    assert results[2] == (Outcome.OK, True)


def test_drain_in_the_endpoint_log_does_not_affect_running_requests(harness, worker):
    worker.instances = 1
    client = harness.deliver_request(worker)

    harness.endpoint_log.send_line(endpoint_event(2, worker.record("terminating")))
    harness.run_until(
        lambda: harness.router_process.endpoint_watch.last_sequence == 2, "the drain is applied"
    )
    worker.answer(worker.requests[0], body=b"done")
    harness.run_until(lambda: client.answers, "the request is answered")

    assert client.answer_kinds() == {1: "answer"}


def test_new_worker_at_the_address_of_a_removed_one_gets_its_own_connections(harness, pool, worker, results):
    worker_id = worker.worker_id
    harness.deliver_attempt(worker, results)
    address = pool.workers[worker_id].address

    pool.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)
    pool.update_endpoint(OTHER_WORKER_ID, address, WorkerState.READY, 0.0)
    pool.send(attempt(OTHER_WORKER_ID, results, exchange_id=OTHER_EXCHANGE_ID))
    harness.run_until(lambda: len(worker.requests) == 2, "the attempt reaches the new worker")

    assert worker.requests[0].connection is not worker.requests[1].connection
    assert results == []


def test_connection_established_after_its_worker_is_removed_is_closed(harness, pool, worker):
    worker_id = worker.worker_id
    pool.send(attempt(worker_id, []))
    [connection] = pool.workers[worker_id].connections

    pool.update_endpoint(worker_id, None, WorkerState.REMOVED, 0.0)
    harness.run_until(lambda: connection.connection.is_connected, "the connection is established")

    assert connection.connection.is_closed
    assert not pool.workers


# --- a new process in place of an earlier one


def test_restart_retires_the_connections_to_the_earlier_process(harness, pool, worker, results):
    harness.deliver_attempt(worker, results)

    pool.update_endpoint(worker.worker_id, None, WorkerState.READY, LATER_START_MS)
    harness.deliver_attempt(worker, results, exchange_id=OTHER_EXCHANGE_ID)

    assert worker.requests[0].connection is not worker.requests[1].connection


@pytest.mark.parametrize("has_moved", [True, False], ids=["moved", "restarted"])
def test_exchange_queued_for_a_connection_to_the_earlier_process_goes_to_the_new_one(
    start_router, unreachable_address, unlisted_worker, results, has_moved
):
    harness = start_router()
    harness.add_listener(unlisted_worker)
    pool = harness.pool
    old_address = unreachable_address() if has_moved else unlisted_worker.address
    pool.update_endpoint(UNLISTED_WORKER_ID, old_address, WorkerState.READY, 0.0)
    pool.send(attempt(UNLISTED_WORKER_ID, results))
    [old_connection] = pool.workers[UNLISTED_WORKER_ID].connections

    pool.update_endpoint(UNLISTED_WORKER_ID, unlisted_worker.address, WorkerState.READY, LATER_START_MS)
    old_connection.connection.close(CloseReason.CONNECT_TIMEOUT)
    harness.run_until(lambda: unlisted_worker.requests, "the attempt reaches the worker")

    assert results == []


def test_connection_to_the_earlier_process_gets_no_exchange_once_established(
    start_router, unlisted_worker, results
):
    harness = start_router(unlisted_worker)
    pool = harness.pool
    pool.update_endpoint(UNLISTED_WORKER_ID, unlisted_worker.address, WorkerState.READY, 0.0)
    pool.send(attempt(UNLISTED_WORKER_ID, results))
    [old_connection] = pool.workers[UNLISTED_WORKER_ID].connections

    pool.update_endpoint(UNLISTED_WORKER_ID, None, WorkerState.READY, LATER_START_MS)
    harness.run_until(lambda: unlisted_worker.requests, "the attempt reaches the worker")

    assert old_connection.connection.is_closed
    assert (len(unlisted_worker.requests), results) == (1, [])


def test_exchanges_on_retired_connections_do_not_use_up_the_limit_of_the_new_process(
    start_router, unlisted_worker, results
):
    harness = start_router(unlisted_worker, settings={"bounds": {"streams_per_conn": 1}})
    pool = harness.pool
    pool.update_endpoint(UNLISTED_WORKER_ID, unlisted_worker.address, WorkerState.READY, 0.0)
    for number in range(connection_set.MAX_CONNECTIONS):
        pool.send(attempt(UNLISTED_WORKER_ID, results, exchange_id=b"%08d" % number))
        harness.run_until(
            lambda number=number: len(unlisted_worker.requests) > number, "the attempt reaches the worker"
        )

    pool.update_endpoint(UNLISTED_WORKER_ID, None, WorkerState.READY, LATER_START_MS)
    pool.send(attempt(UNLISTED_WORKER_ID, results, exchange_id=OTHER_EXCHANGE_ID))
    harness.run_until(
        lambda: len(unlisted_worker.requests) > connection_set.MAX_CONNECTIONS or results,
        "the next attempt reaches the worker or finishes",
    )

    assert results == []

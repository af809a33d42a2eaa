"""Tests of `connection_set` and `connection_activity`."""

import socket
from unittest import mock

from helpers.exchanges import attempt, start_order
from helpers.fake_worker import FakeWorker
from helpers.sockets import wait_readable

from function_router.decisions.types import Outcome
from function_router.net import connection_activity
from function_router.net.close_reason import CloseReason

LINGER_ON_FOR_0_S = b"\1\0\0\0\0\0\0\0"  # closing then resets the connection

# --- choosing a connection


def start_with_two_idle_connections(start_router):
    """A router that has sent a start order, its worker, and the results, first the one of that order."""
    worker = FakeWorker()
    harness = start_router(worker)
    results = []
    harness.pool.ensure_instances(start_order(worker.worker_id, results))
    harness.run_until(lambda: results and len(worker.connections) == 2, "two connections are idle")
    return harness, worker, results


def test_connection_that_the_worker_just_closed_is_not_used(start_router):
    harness, worker, results = start_with_two_idle_connections(start_router)
    pool = harness.pool
    worker_id = worker.worker_id
    connections = list(pool.workers[worker_id].connections)
    for peer, connection in zip(worker.connections, connections, strict=True):
        peer.sock.shutdown(socket.SHUT_WR)
        assert wait_readable(connection.connection._sock)

    pool.send(attempt(worker_id, results))  # before the loop has read that they are closed
    for connection in pool.workers[worker_id].connections:
        connection.connection.flush()
    harness.run_until(lambda: worker.requests, "it runs")

    assert results == [(Outcome.OK, True)]


def test_connection_that_went_stale_while_idle_keeps_others_as_idle_from_use(start_router):
    harness, worker, results = start_with_two_idle_connections(start_router)
    pool = harness.pool
    worker_id = worker.worker_id
    used, spare = pool.workers[worker_id].connections
    harness.run_until(lambda: min(used.idle_ms(), spare.idle_ms()) > 100.0, "both are idle for long")
    worker.instances = None
    pool.ensure_instances(start_order(worker_id, results))
    with mock.patch.object(connection_activity, "STALE_RESET_MS", 60_000.0):
        harness.run_until(lambda: len(worker.frames) == 2, "one is used again")
        peer_socket = worker.frames[1].connection.sock
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_FOR_0_S)
        peer_socket.close()
        harness.run_until(lambda: len(results) == 2, "it is reset")
    assert results[1] == (CloseReason.RESET_BY_PEER, True)

    pool.send(attempt(worker_id, results))
    harness.run_until(lambda: worker.requests, "a request runs")

    assert worker.requests[0].connection not in worker.connections[:2]


def test_unresponsive_connection_gets_nothing_new(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker)
    results = []
    harness.run_attempt(worker, results)

    with mock.patch.object(connection_activity, "UNRESPONSIVE_AFTER_MS", -1.0):
        harness.run_attempt(worker, results, exchange_id=b"abcdefgh")

    assert worker.requests[0].connection is not worker.requests[1].connection


# --- opening connections


def test_spare_connection_that_is_charged_for_is_opened_only_once_requests_share_one(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker, settings={"costs": {"handshake": 0.08}})
    pool = harness.pool
    connects = []

    for number in range(3):
        pool.send(attempt(worker.worker_id, [], exchange_id=b"%08d" % number))
        harness.run_until(lambda number=number: len(worker.requests) > number, "it runs")
        connects.append(harness.router_process.telemetry.counters["connects"])

    assert connects == [1, 2, 2]

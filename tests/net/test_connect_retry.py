"""Tests of `connect_retry`."""

import errno
import socket
from unittest import mock

import pytest
from helpers.exchanges import attempt
from helpers.fake_clock import FakeMonotonicClock
from helpers.fake_worker import FakeWorker
from helpers.process_harness import UNLISTED_WORKER_ID

from function_router.decisions.types import Outcome, WorkerState
from function_router.net import connect_retry
from function_router.net.close_reason import CloseReason, outcome_without_answer
from function_router.net.connect_retry import MAX_RETRY_DURATION_MS, RETRY_INTERVAL_MS, ConnectRetry
from function_router.net.timer_wheel import TICK_MS, TimerWheel

LOCAL_ERRORS = [errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ENFILE]


@pytest.fixture
def clock(monkeypatch):
    """A fake clock for the retries and their timers."""
    clock = FakeMonotonicClock()
    monkeypatch.setattr(connect_retry, "monotonic_ms", clock.read_ms)
    return clock


@pytest.fixture
def timers(clock):
    return TimerWheel(clock.read_ms)


@pytest.fixture
def retry(timers):
    return ConnectRetry(timers)


def pass_interval(clock, timers):
    """Advance the clock to the next retry."""
    clock.advance(RETRY_INTERVAL_MS + TICK_MS)
    timers.advance()


def do_nothing():
    """Take the place of the callback of a retry."""


# --- unit tests


def test_failure_at_the_worker_is_not_retried(retry):
    is_retried = retry.schedule_after(CloseReason.CONNECTION_REFUSED, do_nothing)

    assert not is_retried
    assert not retry.is_scheduled


@pytest.mark.parametrize(
    "reason", [CloseReason.LOCAL_FAILURE, CloseReason.NO_FILE_DESCRIPTOR, CloseReason.CONNECTION_LIMIT]
)
def test_local_failure_is_retried_once_after_an_interval(clock, timers, retry, reason):
    retries = []
    is_retried = [retry.schedule_after(reason, lambda: retries.append(clock.now_ms)) for _ in range(3)]
    assert is_retried == [True] * 3
    assert retry.is_scheduled

    pass_interval(clock, timers)

    assert len(retries) == 1
    assert retries[0] >= RETRY_INTERVAL_MS
    assert not retry.is_scheduled


def test_local_failures_are_retried_for_a_limited_time(clock, timers, retry):
    count = 0

    while retry.schedule_after(CloseReason.LOCAL_FAILURE, do_nothing):
        pass_interval(clock, timers)
        count += 1

    assert clock.now_ms >= MAX_RETRY_DURATION_MS
    assert 1 < count <= MAX_RETRY_DURATION_MS / RETRY_INTERVAL_MS
    assert not retry.is_scheduled


def test_established_connection_resets_the_time_limit_of_retries(clock, retry):
    retry.schedule_after(CloseReason.LOCAL_FAILURE, do_nothing)
    clock.advance(MAX_RETRY_DURATION_MS)

    retry.on_connected()

    assert retry.schedule_after(CloseReason.LOCAL_FAILURE, do_nothing)


# --- tests in a router


def test_refused_connection_proves_that_the_attempt_did_not_run(start_router):
    results = []
    worker = FakeWorker("s-9")
    worker.close()
    harness = start_router()
    harness.pool.update_endpoint(UNLISTED_WORKER_ID, worker.address, WorkerState.READY, 0.0)

    harness.pool.send(attempt(UNLISTED_WORKER_ID, results))
    harness.run_until(lambda: results, "the attempt finishes")

    assert results == [(CloseReason.CONNECTION_REFUSED, False)]


def test_transient_local_connect_failure_is_retried_while_the_exchange_waits(
    start_router,
):
    worker = FakeWorker("s-9", instances=None)
    harness = start_router()
    harness.add_unlisted_worker(worker)
    results = []
    failures = list(LOCAL_ERRORS)
    connect = socket.socket.connect_ex

    def fail_at_first(sock, address):
        return failures.pop() if failures else connect(sock, address)

    with mock.patch.object(socket.socket, "connect_ex", fail_at_first):
        harness.pool.send(attempt(UNLISTED_WORKER_ID, results))
        harness.run_until(lambda: results or worker.requests, "the attempt reaches the worker")

    assert (failures, results, len(worker.requests)) == ([], [], 1)


def test_persistent_local_connect_failure_proves_that_the_attempt_did_not_run(start_router):
    worker = FakeWorker("s-9", instances=None)
    harness = start_router()
    harness.add_unlisted_worker(worker)
    results = []

    with mock.patch.object(socket.socket, "connect_ex", return_value=errno.ENETUNREACH) as connect:
        harness.pool.send(attempt(UNLISTED_WORKER_ID, results))
        harness.run_until(lambda: results, "the attempt finishes")

    assert results == [(CloseReason.LOCAL_FAILURE, False)]
    assert outcome_without_answer(CloseReason.LOCAL_FAILURE, is_started=False) is Outcome.NOT_SENT
    assert 2 <= connect.call_count <= 12

"""Tests of the run-time checks: an invariant that a test violates on purpose has to be counted."""

import pytest
from helpers.exchanges import attempt
from helpers.fake_worker import FakeWorker
from helpers.process_harness import UNLISTED_WORKER_ID

from function_router.decisions.types import WorkerState
from function_router.net.client_request import Failed
from function_router.net.close_reason import CloseReason
from function_router.net.invariants import Invariant


@pytest.fixture
def worker():
    """A worker whose requests the test answers."""
    return FakeWorker("s-9")


@pytest.fixture
def harness(start_router, worker):
    """A router whose decision module does not know the worker."""
    harness = start_router()
    harness.add_unlisted_worker(worker)
    harness.probe()
    harness.run_until(lambda: worker.frames, "the worker is connected")
    return harness


def violations(harness):
    """Return the violations counted so far."""
    return dict(harness.router_process.telemetry.invariants.violations)


def test_regular_attempt_and_answer_violate_no_invariant(harness, worker):
    results = []

    harness.pool.send(attempt(UNLISTED_WORKER_ID, results))
    harness.run_until(lambda: worker.requests, "the attempt reaches the worker")
    worker.answer(worker.requests[0])
    harness.run_until(lambda: results, "the attempt is answered")

    assert violations(harness) == {}


def test_first_byte_to_a_draining_worker_is_counted(harness, worker):
    harness.pool.send(attempt(UNLISTED_WORKER_ID, []))
    harness.pool.workers[UNLISTED_WORKER_ID].state = WorkerState.DRAINING  # without an abort of exchanges

    harness.run_until(lambda: worker.requests, "the attempt reaches the worker")

    assert violations(harness) == {Invariant.SENT_ONLY_WHILE_ALLOWED: 1}
    assert any("WORKER_DRAINING" in line for line in harness.log_lines)


def test_timeout_beyond_the_deadline_of_the_client_is_counted(harness, worker):
    late = attempt(UNLISTED_WORKER_ID, [])
    harness.pool.send(late)

    late.encoded_timeout_ms += 1_000.0
    harness.run_until(lambda: worker.requests, "the attempt reaches the worker")

    assert violations(harness) == {Invariant.TIMEOUT_WITHIN_DEADLINE: 1}


@pytest.fixture
def late_answer(harness):
    """A client whose request is answered after its deadline, and that request."""
    client = harness.connect_client()
    client.send_request()
    harness.run_until(lambda: harness.table.pending, "the request is admitted")
    [request] = harness.table.pending.values()
    request.deadline_ms -= 60_000.0
    harness.table._finish(request.key, Failed())
    return client, request


def test_late_answer_is_counted(harness, late_answer):
    client, _ = late_answer

    harness.run_until(lambda: client.answers, "the request is answered")

    assert violations(harness) == {Invariant.ANSWERED_IN_TIME: 1}
    assert client.answer_kinds() == {1: "broken"}


def test_second_answer_is_counted_and_not_sent(harness, late_answer):
    client, request = late_answer

    request.client_request.reply(Failed())
    harness.run_until(lambda: client.answers, "the request is answered")

    assert violations(harness) == {Invariant.ANSWERED_IN_TIME: 1, Invariant.ONE_ANSWER: 1}
    assert client.answer_kinds() == {1: "broken"}
    assert len(client.answers) == 1


def test_close_without_answers_is_counted(harness, late_answer):
    client, request = late_answer
    request.client_request.reply(Failed())
    harness.run_until(lambda: client.answers, "the request is answered")
    client.send_request()
    harness.run_until(lambda: harness.table.pending, "another request is admitted")

    harness.only_client_connection().connection.close(CloseReason.IDLE)

    assert violations(harness) == {
        Invariant.ANSWERED_IN_TIME: 1,
        Invariant.ONE_ANSWER: 1,
        Invariant.ANSWERED_BEFORE_CLOSE: 1,
    }
    assert client.answer_kinds() == {1: "broken"}


def test_violations_are_included_in_the_counters_line(harness):
    telemetry = harness.router_process.telemetry

    telemetry.invariants.record(Invariant.ONE_ANSWER, "by the test")

    assert "invariants violated 1" in telemetry.take_counters()
    assert "invariants violated 1" in telemetry.take_counters()

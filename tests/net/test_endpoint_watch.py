"""Tests of `endpoint_watch` for the order of events, over a real connection to a fake endpoint log."""

from unittest import mock

import pytest
from helpers.configuration import endpoint_event
from helpers.fake_worker import FakeWorker

from function_router.decisions.types import WorkerState
from function_router.net import endpoint_registry

INVALID_LINES = [
    b"{",
    b"\xff\xfe",
    b"[" * 100_000,
    b'"text"',
    b"[1]",
    b'{"seq":"x"}',
    b"true",
    b'{"seq":2,"fleet":{"members":5}}',
    b'{"seq":99999999999,"fleet":{"members":[]}}',
]


def wait_for_sequence(harness, sequence):
    watch = harness.router_process.endpoint_watch
    harness.run_until(lambda: watch.last_sequence == sequence, f"event {sequence} is applied")


def wait_for_requests(harness, count):
    harness.run_until(lambda: len(harness.endpoint_log.requests()) == count, f"{count} requests are made")


def wait_for_state(harness, worker, state):
    harness.run_until(lambda: state_of(harness, worker) is state, f"{worker.name} is {state.name}")


def state_of(harness, worker):
    pooled = harness.pool.workers.get(worker.worker_id)
    return pooled and pooled.state


# --- order and repetition of events


def test_events_received_twice_or_out_of_date_are_ignored(harness):
    with mock.patch.object(harness.router_process.endpoint_watch, "_on_endpoints") as on_endpoints:
        for sequence in (2, 2, 1, 3):
            harness.endpoint_log.send_line(endpoint_event(sequence))
        wait_for_sequence(harness, 3)

    assert on_endpoints.call_count == 2


# --- missing events


@pytest.mark.parametrize("line", [b"4", b'{"seq":4,"fleet":{"members":[]}}'], ids=["announced", "event"])
def test_missing_events_are_requested_again(harness, line):
    harness.endpoint_log.send_line(line)
    wait_for_requests(harness, 2)

    assert harness.endpoint_log.requests()[1] == ["since", "1"]


def test_heartbeat_object_does_not_replace_a_missing_event(harness, worker):
    harness.endpoint_log.send_line({"seq": 2})
    wait_for_requests(harness, 2)
    harness.endpoint_log.send_line(endpoint_event(2, worker.record("terminating")))

    wait_for_state(harness, worker, WorkerState.DRAINING)


def test_persistent_gap_of_any_size_is_skipped_in_one_step(harness, worker):
    harness.endpoint_log.send_line(endpoint_event(500, worker.record("terminating")))
    wait_for_requests(harness, 2)
    harness.endpoint_log.send_line(endpoint_event(500, worker.record("terminating")))
    wait_for_state(harness, worker, WorkerState.DRAINING)
    harness.endpoint_log.send_line(endpoint_event(501, worker.record("in_service")))
    wait_for_state(harness, worker, WorkerState.READY)

    assert len(harness.endpoint_log.requests()) == 2
    assert harness.router_process.endpoint_watch.last_sequence == 501


# --- invalid lines


@pytest.mark.parametrize("line", INVALID_LINES, ids=lambda line: line[:16].decode("latin-1"))
def test_invalid_line_is_requested_again_and_then_skipped(harness, worker, line):
    harness.endpoint_log.send_line(line)
    wait_for_requests(harness, 2)
    harness.endpoint_log.send_line(line)
    harness.endpoint_log.send_line(endpoint_event(3, worker.record("terminating")))
    wait_for_sequence(harness, 3)

    assert state_of(harness, worker) == WorkerState.DRAINING


def test_invalid_line_after_the_log_was_caught_up_is_requested_again(harness):
    watch = harness.router_process.endpoint_watch

    for request_count in (2, 3):
        harness.endpoint_log.send_line(b"{")
        wait_for_requests(harness, request_count)
        harness.endpoint_log.send_line(b"1")
        harness.run_until(lambda: not watch._tracker.awaits_repeat, "the watch has caught up again")


@pytest.mark.parametrize("is_announced", [True, False])
def test_repeated_invalid_line_while_no_event_is_due_does_not_hide_the_next_event(
    harness, worker, is_announced
):
    harness.endpoint_log.send_line(b"noise")
    wait_for_requests(harness, 2)
    harness.endpoint_log.send_line(b"noise")
    if is_announced:
        harness.endpoint_log.send_line(b"1")
    harness.endpoint_log.send_line(endpoint_event(2, worker.record("terminating")))

    wait_for_state(harness, worker, WorkerState.DRAINING)


# --- complete snapshots


def test_worker_that_a_complete_list_leaves_out_is_removed(start_router):
    old = FakeWorker("s-1")
    new = FakeWorker("s-2")
    harness = start_router(old)

    harness.endpoint_log.send_line(endpoint_event(2, new.record(), complete=True))
    wait_for_sequence(harness, 2)

    assert list(harness.pool.workers) == [endpoint_registry.worker_id_of("s-2")]


def test_snapshot_after_a_gap_is_applied_as_it_replaces_all_events_before(start_router):
    worker = FakeWorker("s-1")
    new = FakeWorker("s-2")
    harness = start_router(worker)

    harness.endpoint_log.send_line(endpoint_event(40, new.record(), complete=True))
    harness.endpoint_log.send_line(endpoint_event(41, new.record("terminating")))
    wait_for_state(harness, new, WorkerState.DRAINING)
    harness.endpoint_log.send_line(b"41")
    harness.round_trip(harness.connect_client())

    assert len(harness.endpoint_log.requests()) == 1
    assert harness.router_process.endpoint_watch.last_sequence == 41
    assert state_of(harness, worker) is None


def test_snapshot_with_a_number_that_the_log_has_not_reached_hides_no_event(harness, worker):
    harness.endpoint_log.send_line(endpoint_event(99_999_999, worker.record(), complete=True))
    harness.endpoint_log.send_line(endpoint_event(2, worker.record("terminating")))
    harness.endpoint_log.send_line(b"2")
    wait_for_requests(harness, 2)

    assert harness.endpoint_log.requests()[1] == ["since", "1"]
    harness.endpoint_log.send_line(endpoint_event(2, worker.record("terminating")))
    wait_for_state(harness, worker, WorkerState.DRAINING)

"""Tests of `endpoint_watch` and its `endpoint_log_client`, over a real connection to a fake endpoint log."""

import json
from unittest import mock

import pytest
from helpers.configuration import endpoint_event
from helpers.fake_endpoint_log import FakeEndpointLog
from helpers.fake_worker import FakeWorker

from function_router.decisions.types import WorkerState
from function_router.net import clock, endpoint_log_client, endpoint_registry

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


class RepeatingEndpointLog(FakeEndpointLog):
    """An endpoint log that sends the same lines on every connection, as soon as it has a request."""

    def __init__(self, *lines):
        super().__init__()
        self.lines = lines
        self.served = set()  # indexes of the connections that have the lines

    def receive(self):
        """Read requests and answer each new one."""
        super().receive()
        for index, connection in enumerate(self.connections):
            if connection.data.endswith(b"\n") and index not in self.served and not connection.is_closed:
                self.served.add(index)
                for line in self.lines:
                    self.send_line(line, index)


def wait_for_sequence(harness, sequence):
    watch = harness.router_process.endpoint_watch
    harness.run_until(lambda: watch.last_sequence == sequence, f"event {sequence} is applied")


def last_sequence(harness):
    return harness.router_process.endpoint_watch.last_sequence


def wait_for_requests(harness, count):
    harness.run_until(lambda: len(harness.endpoint_log.requests()) == count, f"{count} requests are made")


def wait_for_state(harness, worker, state):
    harness.run_until(lambda: state_of(harness, worker) is state, f"{worker.name} is {state.name}")


def state_of(harness, worker):
    pooled = harness.pool.workers.get(worker.worker_id)
    return pooled and pooled.state


def start_moved_log(harness, log=None):
    """A second endpoint log, which the harness serves too."""
    moved = log or FakeEndpointLog()
    harness.add_listener(moved)
    return moved


# --- order, repeats and silence


def test_events_received_twice_or_out_of_date_are_ignored(harness):
    with mock.patch.object(harness.router_process.endpoint_watch, "_on_endpoints") as on_endpoints:
        for sequence in (2, 2, 1, 3):
            harness.endpoint_log.send_line(endpoint_event(sequence))
        wait_for_sequence(harness, 3)

    assert on_endpoints.call_count == 2


def test_silent_log_is_requested_again_from_the_last_event(harness):
    harness.endpoint_log.send_line(endpoint_event(2))
    wait_for_sequence(harness, 2)

    with mock.patch.object(endpoint_log_client, "SILENCE_TIMEOUT_MS", -1.0):
        wait_for_requests(harness, 2)

    assert harness.endpoint_log.requests() == [["since", "1"], ["since", "2"]]


def test_silence_timeout_starts_when_the_connection_is_up(harness):
    client = harness.router_process.endpoint_watch.client
    client._last_line_ms -= endpoint_log_client.SILENCE_TIMEOUT_MS + 1  # connecting took that long
    before = client._connection

    client.on_connected()
    client.check_timeouts()

    assert client._connection is before


# --- missing events


@pytest.mark.parametrize("line", [b"4", b'{"seq":4,"fleet":{"members":[]}}'], ids=["announced", "event"])
def test_missing_events_are_requested_again(harness, line):
    harness.endpoint_log.send_line(line)
    wait_for_requests(harness, 2)

    assert harness.endpoint_log.requests()[1] == ["since", "1"]


def test_gap_that_stays_is_skipped_at_once_however_large_it_is(harness, worker):
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
        harness.run_until(lambda: not watch._tracker.awaits_repeat, "the log is caught up again")


@pytest.mark.parametrize("is_announced", [True, False])
def test_noise_received_twice_while_no_event_is_due_does_not_hide_the_next_event(
    harness, worker, is_announced
):
    harness.endpoint_log.send_line(b"noise")
    wait_for_requests(harness, 2)
    harness.endpoint_log.send_line(b"noise")
    if is_announced:
        harness.endpoint_log.send_line(b"1")
    harness.endpoint_log.send_line(endpoint_event(2, worker.record("terminating")))

    wait_for_state(harness, worker, WorkerState.DRAINING)


@pytest.mark.parametrize("line", [b"9", b"noise", b'{"seq":9,"fleet":5}'])
def test_log_that_sends_nothing_valid_is_not_requested_in_a_busy_loop(harness, line):
    log = start_moved_log(harness, RepeatingEndpointLog(line, line, line))
    elapsed = []
    started_ms = clock.monotonic_ms()

    harness.router_process.endpoint_watch.move_to(log.address)
    wait_ms = 4 * endpoint_log_client.RECONNECT_DELAY_MS
    harness.router_process.loop.timers.call_later(wait_ms, lambda: elapsed.append(True))
    harness.run_until(lambda: elapsed and len(log.connections) > 1, "some time passes")

    delays = (clock.monotonic_ms() - started_ms) / endpoint_log_client.RECONNECT_DELAY_MS
    assert len(log.connections) <= 1 + delays
    log.lines = (b'{"seq":2,"fleet":{"members":[]}}', b"2")
    wait_for_sequence(harness, 2)


def test_event_that_is_nested_too_deeply_is_skipped_like_any_other_invalid_one(harness):
    nested = b'{"seq":2,"fleet":{"members":' + b"[" * 900 + b"]" * 900 + b"}}"
    log = start_moved_log(harness, RepeatingEndpointLog(nested, b'{"seq":3,"fleet":{"members":[]}}', b"3"))

    harness.router_process.endpoint_watch.move_to(log.address)
    harness.run_until(lambda: len(log.connections) > 3 or last_sequence(harness) == 3, "event 3 is applied")

    assert last_sequence(harness) == 3
    assert len(log.connections) == 2


def test_line_that_keeps_coming_is_waited_for_however_slow_the_log_is(harness, worker):
    line = json.dumps(endpoint_event(2, worker.record("terminating"))).encode()
    elapsed = []

    with mock.patch.object(endpoint_log_client, "SILENCE_TIMEOUT_MS", 300.0):
        for start in range(0, len(line), len(line) // 8 + 1):
            harness.endpoint_log.connections[-1].sock.sendall(line[start : start + len(line) // 8 + 1])
            harness.router_process.loop.timers.call_later(100.0, lambda: elapsed.append(True))
            harness.run_until(lambda: elapsed, "some time passes")
            elapsed.clear()
        harness.endpoint_log.connections[-1].sock.sendall(b"\n")
        wait_for_state(harness, worker, WorkerState.DRAINING)

    assert len(harness.endpoint_log.requests()) == 1


# --- complete snapshots


def test_worker_that_a_complete_list_leaves_out_is_removed(start_router):
    old = FakeWorker("s-1")
    new = FakeWorker("s-2")
    harness = start_router(old)

    harness.endpoint_log.send_line(endpoint_event(2, new.record(), complete=True))
    wait_for_sequence(harness, 2)

    assert list(harness.pool.workers) == [endpoint_registry.worker_id_of("s-2")]


def test_snapshot_ahead_of_a_gap_is_applied_as_it_replaces_all_events_before(start_router):
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


# --- a move to another address


@pytest.mark.parametrize("is_broken", [False, True])
def test_move_leaves_one_connection_and_no_late_reconnect(harness, is_broken):
    watch = harness.router_process.endpoint_watch
    moved = FakeEndpointLog()
    elapsed = []

    with mock.patch.object(endpoint_log_client, "RECONNECT_DELAY_MS", 30.0):
        harness.endpoint_log.send_line(endpoint_event(2))
        wait_for_sequence(harness, 2)
        if is_broken:  # the reconnect to the old address is scheduled already
            harness.endpoint_log.connections[0].close()
            harness.run_until(lambda: watch.client._connection is None, "the connection breaks")
        watch.move_to(moved.address)
    harness.router_process.loop.timers.call_later(60.0, lambda: elapsed.append(True))
    start_moved_log(harness, moved)
    harness.run_until(lambda: elapsed and moved.requests(), "the new log has a request")

    assert moved.requests() == [["since", "2"]]
    assert len(moved.connections) == 1
    assert [connection.is_closed for connection in harness.endpoint_log.connections] == [True]


@pytest.mark.parametrize("is_line_half_read", [False, True], ids=["connecting", "half a line"])
def test_move_while_connecting_or_inside_a_line_leaves_one_connection(start_router, is_line_half_read):
    harness = start_router(FakeWorker(), start=is_line_half_read)
    moved = start_moved_log(harness)
    watch = harness.router_process.endpoint_watch
    if is_line_half_read:
        harness.endpoint_log.connections[0].sock.sendall(b'{"seq":2,"fl')
        harness.run_until(lambda: watch.client._partial_line, "half a line is read")
    assert watch.client._connection.is_connected == is_line_half_read

    watch.move_to(moved.address)
    harness.run_until(moved.requests, "the new log has a request")
    moved.send_line(endpoint_event(2))
    wait_for_sequence(harness, 2)

    assert moved.requests() == [["since", "1"]]
    assert len(moved.connections) == 1

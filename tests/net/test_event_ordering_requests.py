"""Tests of `function_router.net.request_table`: attempts that must not start, and reused request ids.

In most tests, events reach the router in an unfavorable order. For example, a connection to a worker is
established, or an attempt is about to be sent, before the router reads that the client has disconnected.
"""

from unittest import mock

import pytest
from helpers.configuration import SETTINGS
from helpers.fake_worker import FakeWorker
from helpers.process_harness import OTHER_UNLISTED_WORKER_ID, UNLISTED_WORKER_ID
from helpers.sockets import wait_readable

from function_router.decisions.actions import CancelAttempt, SendRequest
from function_router.decisions.events import AttemptEnded
from function_router.decisions.types import Outcome, WorkerState
from function_router.net import connection
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames
from function_router.net.event_loop import READ, WRITE

CANCEL_FORBIDDEN = {"bounds": {**SETTINGS["bounds"], "cancel": False}}
CANCEL_ALLOWED = {}
LONG_WINDOW_CLASS = {
    "name": "save",
    "effect": "deduplicated",
    "give_up": 9000.0,
    "dedup_window": 60_000.0,
}
REPEATED_ID = "ab" * 8

UNKNOWN_CODE = 99  # code of a worker's answer after which the request may have run

with_both_cancel_settings = pytest.mark.parametrize(
    "settings", [CANCEL_FORBIDDEN, CANCEL_ALLOWED], ids=["cancel_forbidden", "cancel_allowed"]
)


def close_client_unread(client, client_connection):
    """Close a client, and wait until the close has arrived at the router, which has not read it yet."""
    client.close()
    assert wait_readable(client_connection.connection._sock)


def send_pending(harness, worker_id=UNLISTED_WORKER_ID):
    """Send the only pending request to an unlisted worker; return the connections to that worker."""
    [key] = harness.table.pending
    harness.table.send(SendRequest(key, worker_id))
    return harness.connections_to(worker_id)


# --- no attempt starts for a client that has disconnected, wherever its request is queued -----------


def admit_request(start_router, settings, *, connect_worker=False):
    """Admit a request that the decision module does not send, and add an unlisted worker to send it to.

    Returns the harness, the worker, the client and the router's connection to the client.
    """
    harness = start_router(FakeWorker(instances=None), settings=settings)
    worker = FakeWorker("s-9")
    harness.add_unlisted_worker(worker)
    if connect_worker:
        harness.probe()
        harness.run_until(lambda: worker.frames, "the worker is connected")
    client = harness.connect_client()
    client.send_request()
    harness.run_until(lambda: harness.table.pending, "the request is admitted")
    [client_connection] = harness.router_process.listener.connections
    return harness, worker, client, client_connection


def assert_no_attempt_arrives(harness, worker, worker_connection):
    """Assert that a probe sent now arrives, and that no attempt arrives before it."""
    harness.run_until(lambda: worker_connection.is_connected, "the worker is connected")
    harness.probe()
    frame_count = len(worker.frames)
    harness.run_until(lambda: len(worker.frames) > frame_count, "the probe arrives")
    assert (worker.requests, harness.table.pending, harness.table.attempts.by_key) == ([], {}, {})


def test_attempt_waiting_for_a_connection_is_dropped_even_if_cancel_is_forbidden(start_router):
    harness, worker, client, client_connection = admit_request(start_router, CANCEL_FORBIDDEN)
    [worker_connection] = send_pending(harness)

    close_client_unread(client, client_connection)
    client_connection.connection._on_ready(READ)

    assert harness.table.attempts.by_key == {}
    assert_no_attempt_arrives(harness, worker, worker_connection)


@with_both_cancel_settings
def test_new_connection_sends_no_attempt_for_a_client_whose_close_is_unread(start_router, settings):
    harness, worker, client, client_connection = admit_request(start_router, settings)
    [worker_connection] = send_pending(harness)

    close_client_unread(client, client_connection)
    worker_connection.connection._on_ready(WRITE)
    harness.router_process.loop._run_turn([], harness.router_process.loop.clock.now_ms())

    assert_no_attempt_arrives(harness, worker, worker_connection)


@with_both_cancel_settings
def test_attempt_moved_off_a_reset_connection_is_dropped_with_its_client(start_router, settings):
    harness, worker, client, client_connection = admit_request(start_router, settings, connect_worker=True)
    worker_connections = send_pending(harness)
    busy_connection = next(candidate for candidate in worker_connections if candidate.exchanges)
    for candidate in [candidate for candidate in worker_connections if candidate is not busy_connection]:
        candidate.connection.close(CloseReason.IDLE)
    busy_connection.connection.close(CloseReason.RESET_BY_PEER)  # before any byte of the attempt is written
    [worker_connection] = harness.connections_to()

    close_client_unread(client, client_connection)
    client_connection.connection._on_ready(READ)

    assert_no_attempt_arrives(harness, worker, worker_connection)


def test_unsent_attempt_does_not_start_once_another_one_was_served(start_router):
    harness, worker, client, _ = admit_request(start_router, CANCEL_FORBIDDEN, connect_worker=True)
    other = FakeWorker("s-10")
    harness.add_unlisted_worker(other, OTHER_UNLISTED_WORKER_ID)
    send_pending(harness)
    harness.run_until(lambda: worker.requests, "the first attempt runs")
    [other_connection] = send_pending(harness, OTHER_UNLISTED_WORKER_ID)

    worker.answer(worker.requests[0], body=b"served")
    busy_connection = next(candidate for candidate in harness.connections_to() if candidate.exchanges)
    assert wait_readable(busy_connection.connection._sock)
    busy_connection.connection._on_ready(READ)
    harness.run_until(
        lambda: client.answers and other_connection.is_connected,
        "the request is served and the other worker is connected",
    )
    harness.probe(OTHER_UNLISTED_WORKER_ID)
    harness.run_until(lambda: other.frames, "the probe arrives")

    assert (other.requests, harness.table.attempts.by_key) == ([], {})


def test_send_of_a_request_that_has_just_finished_is_reported_as_not_sent(start_router):
    harness, _, client, client_connection = admit_request(start_router, CANCEL_ALLOWED)
    [key] = harness.table.pending
    close_client_unread(client, client_connection)
    client_connection.connection._on_ready(READ)

    with mock.patch.object(harness.router_process.loop, "submit") as submit:
        harness.table.send(SendRequest(key, UNLISTED_WORKER_ID))

    expected = AttemptEnded(key, 0, UNLISTED_WORKER_ID, Outcome.NOT_SENT, 0.0, is_answered=True)
    assert submit.call_args_list == [mock.call(expected)]
    assert harness.table.attempts.by_key == {}


# --- request ids ----------------------------------------------------------------------------------


def test_id_of_a_pending_request_is_not_admitted_again_from_any_client(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker)
    first = harness.connect_client()
    second = harness.connect_client()
    first.send_request(call=REPEATED_ID)
    harness.run_until(lambda: harness.table.pending, "the first request is admitted")

    for seqid in range(2, 32):
        first.send_request(call=REPEATED_ID, seqid=seqid)
    second.send_request(call=REPEATED_ID, body=b"another")
    harness.run_until(lambda: len(first.answers) == 30 and second.answers, "all other requests are answered")

    assert set(first.answer_kinds().values()) | set(second.answer_kinds().values()) == {"exception"}
    assert (len(harness.table.pending), len(harness.router_process.router.fleet.arrivals.recent)) == (1, 1)


def test_id_is_free_again_after_its_request_finished_or_its_client_closed(start_router):
    harness = start_router(FakeWorker(instances=None))
    first = harness.connect_client()
    second = harness.connect_client()
    third = harness.connect_client()
    seqid = first.send_request(call=REPEATED_ID)
    harness.run_until(lambda: harness.table.pending, "the first request is admitted")
    first.cancel(seqid)
    harness.run_until(lambda: not harness.table.pending, "the request is cancelled")
    second.send_request(call=REPEATED_ID)
    harness.run_until(lambda: harness.table.pending, "the second request is admitted")
    connections = harness.router_process.listener.connections
    [second_connection] = [candidate for candidate in connections if candidate.session.pending]

    close_client_unread(second, second_connection)
    [third_connection] = [
        candidate for candidate in connections if not candidate.messages.has_received_message
    ]
    third.send_request(call=REPEATED_ID)
    assert wait_readable(third_connection.connection._sock)
    third_connection.connection._on_ready(READ)  # before the close of the second client is read
    harness.router_process.loop.input.run_turn()

    assert second_connection.connection.is_closed
    assert list(third_connection.session.pending) == [1]


def test_client_that_repeats_an_id_and_closes_leaves_nothing_pending(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    harness.round_trip(client)
    [client_connection] = harness.router_process.listener.connections

    client.send_request(call=REPEATED_ID, seqid=1)
    client.send_request(call=REPEATED_ID, seqid=2)
    close_client_unread(client, client_connection)
    with mock.patch.object(connection, "MAX_READS_PER_TURN", 1):
        client_connection.connection._on_ready(READ)
    harness.router_process.loop.input.run_turn()

    assert (harness.table.pending, harness.table._requests._keys_by_client_request_id) == ({}, {})


# --- idempotency window ---------------------------------------------------------------------------


def test_attempt_cancelled_before_its_first_byte_opens_no_idempotency_window(
    start_router, unreachable_address
):
    harness = start_router(FakeWorker(instances=None))
    harness.connect_client().send_request("save")
    harness.run_until(lambda: harness.table.pending, "the request is admitted")
    [(key, request)] = harness.table.pending.items()
    harness.pool.update_endpoint(UNLISTED_WORKER_ID, unreachable_address(), WorkerState.READY, 0.0)

    harness.table.send(SendRequest(key, UNLISTED_WORKER_ID))
    harness.table.cancel_attempt(CancelAttempt(key, 0))

    assert request.first_run is None


@pytest.mark.parametrize(
    ("code", "opens_window"),
    [(worker_frames.QUEUE_FULL, False), (worker_frames.NOT_LOADED, False), (UNKNOWN_CODE, True)],
)
def test_only_an_attempt_that_may_have_run_opens_the_idempotency_window(start_router, code, opens_window):
    worker = FakeWorker("s-9")
    harness = start_router(FakeWorker(instances=None))
    harness.add_unlisted_worker(worker)
    harness.connect_client().send_request("save")
    harness.run_until(lambda: harness.table.pending, "the request is admitted")
    [request] = harness.table.pending.values()
    send_pending(harness)
    harness.run_until(lambda: worker.requests, "the request runs")

    worker.answer(worker.requests[0], code=code)
    harness.run_until(lambda: not harness.table.attempts.by_key, "the attempt ends")

    assert (request.first_run is not None) == opens_window


@pytest.mark.parametrize(
    ("connect_ms", "repeat_count"),
    [(0.0, 1), (LONG_WINDOW_CLASS["dedup_window"], 0)],
    ids=["inside_window", "past_window"],
)
def test_repeat_is_sent_only_if_its_connection_is_up_inside_the_idempotency_window(
    start_router, connect_ms, repeat_count
):
    first = FakeWorker("s-9", instances=None)
    second = FakeWorker("s-10", instances=None)
    harness = start_router(FakeWorker(instances=None), settings={"classes": [LONG_WINDOW_CLASS]})
    harness.add_unlisted_worker(first)
    harness.add_unlisted_worker(second, OTHER_UNLISTED_WORKER_ID)
    harness.connect_client().send_request("save")
    harness.run_until(lambda: harness.table.pending, "the request is admitted")
    send_pending(harness)
    harness.run_until(lambda: first.requests, "the first attempt runs")
    [second_connection] = send_pending(harness, OTHER_UNLISTED_WORKER_ID)
    assert not second_connection.is_connected
    [started] = [candidate for candidate in harness.table.attempts.by_key.values() if candidate.is_started]

    started.created_at_ms -= connect_ms  # as if connecting to the second worker took that long
    harness.run_until(lambda: second_connection.is_connected, "the second worker is connected")
    harness.probe(OTHER_UNLISTED_WORKER_ID)
    harness.run_until(lambda: second.received(worker_frames.ENSURE_INSTANCES), "the probe arrives")

    assert len(second.requests) == repeat_count

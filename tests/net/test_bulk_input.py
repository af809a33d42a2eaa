"""Tests of clients that send hundreds of messages at once; they must not delay the answers to others."""

import time
from unittest import mock

import pytest
from helpers.client_messages import (
    REQUEST_FIELDS,
    encode_cancellation,
    encode_request,
    encode_status_request,
)
from helpers.fake_worker import FakeWorker

from function_router.decisions.events import RequestArrived
from function_router.net import input_scheduler

BULK_CLIENTS = 20
BULK_REQUESTS = 200
# Maximum number of events that one batch passes to the decision module: the messages that a turn handles, and
# a few events of timers and workers.
MAX_BATCH_EVENTS = 100
STATUS_SEQID = 10_000  # of the first status request in a row of them


def encode_withdrawn_requests(count):
    """Encode requests that are each followed by their cancellation."""
    return b"".join(
        encode_request(seqid, REQUEST_FIELDS | {"call": f"{seqid:016x}"}) + encode_cancellation(seqid, 99)
        for seqid in range(1, count + 1)
    )


def encode_status_requests(count):
    """Encode status requests, which the router answers at once."""
    return b"".join(encode_status_request(STATUS_SEQID + number) for number in range(count))


def record_batches(harness):
    """Record the batches of events that the decision module handles from now on."""
    batches = []
    handle = harness.router_process.router.handle

    def record(now_ms, events):
        batches.append(list(events))
        return handle(now_ms, events)

    harness.router_process.router.handle = record
    return batches


def run_turn(harness):
    """Run one turn of the router, which does not wait for a socket or a timer."""
    harness.router_process.loop.run_once(0)


@pytest.fixture
def worker():
    return FakeWorker(instances=8)


# Guards against clients that withdraw hundreds of requests at once and keep the router from answering others.
def test_requests_that_are_withdrawn_at_once_cost_no_decision_and_no_long_turn(start_router, worker):
    harness = start_router(worker)
    usual = harness.connect_accepted_client()
    bulk_clients = [harness.connect_accepted_client() for _ in range(BULK_CLIENTS)]
    batches = record_batches(harness)

    for client in bulk_clients:
        client.sock.sendall(encode_withdrawn_requests(BULK_REQUESTS))
    usual.send_request(seqid=1)
    harness.run_until(lambda: worker.requests, "the usual request is sent")
    for client in bulk_clients:
        harness.round_trip(client)

    arrivals = [event for batch in batches for event in batch if isinstance(event, RequestArrived)]
    assert max(len(batch) for batch in batches) <= MAX_BATCH_EVENTS
    # A request may be read without the cancellation behind it.
    assert len(arrivals) <= BULK_CLIENTS * BULK_REQUESTS / 10


def test_turn_handles_a_limited_number_of_requests(start_router):
    harness = start_router(FakeWorker(instances=None))
    clients = [harness.connect_accepted_client() for _ in range(10)]
    batches = record_batches(harness)

    for number, client in enumerate(clients):
        for seqid in range(1, 31):
            client.send_request(seqid=seqid, call=f"{number:04x}{seqid:012x}")
    harness.run_until(lambda: len(harness.table.pending) == 300, "all requests are admitted")

    assert max(len(batch) for batch in batches) <= MAX_BATCH_EVENTS


def test_request_is_handled_while_the_messages_of_others_still_wait(start_router):
    harness = start_router(FakeWorker(instances=None))
    bulk, usual = harness.connect_accepted_client(), harness.connect_accepted_client()
    bulk.sock.sendall(encode_status_requests(10 * input_scheduler.MAX_MESSAGES_PER_TURN))
    run_turn(harness)

    usual.send_request(seqid=1)
    run_turn(harness)

    assert len(harness.table.pending) == 1
    assert harness.router_process.loop.input.has_input()


def test_cancellation_does_not_wait_for_the_messages_before_it(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_accepted_client()
    client.send_request(seqid=1)
    harness.run_until(lambda: harness.table.pending, "the request is admitted")

    client.sock.sendall(
        encode_status_requests(10 * input_scheduler.MAX_MESSAGES_PER_TURN) + encode_cancellation(1, 99)
    )
    harness.run_until(lambda: not harness.table.pending, "the cancellation is handled")

    assert harness.router_process.loop.input.has_input()


def test_second_request_under_an_open_number_is_detected_though_it_is_withdrawn(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_accepted_client()

    request = encode_request(1, REQUEST_FIELDS)
    client.sock.sendall(request + request + encode_cancellation(1, 99))
    harness.run_until(lambda: client.is_closed, "the connection is closed")

    assert client.answer_kinds()[1] == "broken"
    assert harness.table.pending == {}


def test_request_that_waits_to_be_handled_has_less_time_left(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_accepted_client()
    wait_ms = 200.0
    status_requests = encode_status_requests(3 * input_scheduler.MAX_MESSAGES_PER_TURN)

    client.sock.sendall(status_requests + encode_request(1, REQUEST_FIELDS | {"ttl": "8000"}))
    run_turn(harness)
    assert harness.table.pending == {}
    time.sleep(wait_ms / 1000)
    harness.run_until(lambda: harness.table.pending, "the request is admitted")

    [request] = harness.table.pending.values()
    assert request.client_request.timeout_ms <= 8000.0 - wait_ms


def test_connection_with_messages_to_handle_is_neither_idle_nor_fully_read(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_accepted_client()
    served = harness.only_client_connection()
    client.sock.sendall(encode_status_requests(2 * input_scheduler.MAX_MESSAGES_PER_TURN))
    run_turn(harness)

    is_idle = served.is_idle()
    has_unread_data = served.has_unread_data()
    with mock.patch.object(served.connection, "last_used_ms", 0.0):
        harness.router_process.listener.check_timeouts()

    assert (is_idle, has_unread_data, served.connection.is_closed) == (False, True, False)


def test_reading_pauses_while_too_many_messages_wait_and_then_goes_on(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_accepted_client()
    served = harness.only_client_connection()
    count = 8_000

    client.sock.sendall(encode_status_requests(count))
    run_turn(harness)
    is_reading = served.connection._is_reading
    harness.run_until(lambda: len(client.answers) > count, "all messages are answered")

    assert not is_reading
    assert served.connection._is_reading

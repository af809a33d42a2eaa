"""Tests of one client connection: its close, its limits, its timeouts, and reads after a stall."""

import gc
import socket
import time
import weakref
from unittest import mock

import pytest
from helpers.client_messages import encode_request
from helpers.configuration import SETTINGS
from helpers.fake_worker import FakeWorker
from helpers.sockets import wait_readable

from function_router.decisions.actions import SendRequest
from function_router.net import (
    client_connection,
    client_messages,
    clock,
    connection,
    router_process,
    socket_reader,
)
from function_router.net.event_loop import READ
from function_router.net.sockets import PeekResult

WITHOUT_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}

# A client that sends nothing, or stops after fewer than MIN_STEADY_CHUNKS chunks of its first message, has to
# be answered or disconnected within this time of connecting.
ANSWER_LIMIT_MS = 3000.0


def connect_accepted_client(harness):
    """Connect a new client; return it and the router's side of its connection."""
    connections = harness.router_process.listener.connections
    known_connections = set(connections)
    client = harness.connect_client()
    harness.run_until(lambda: len(connections) > len(known_connections), "the client is accepted")
    [served] = set(connections) - known_connections
    return client, served


def start_with_warm_instances(start_router, **options):
    """Start a router that knows a warm instance, so that it sends a request in the turn that reads it."""
    worker = FakeWorker(instances=8)
    harness = start_router(worker, **options)
    client = harness.deliver_request(worker)
    worker.answer(worker.requests[0])
    harness.run_until(lambda: client.answers, "the first request is answered")
    return harness, worker


def read_in_one_turn(harness, served):
    """Read the data that has arrived on a connection, and run the rest of a turn."""
    assert wait_readable(served.connection._sock)
    served.connection._on_ready(READ)
    harness.router_process.loop._run_turn([], harness.router_process.loop.clock.now_ms())


def is_overdue(served, now_ms):
    """Return whether the next message of the connection is overdue at `now_ms`."""
    return served.messages.is_overdue(now_ms, served.connection.last_received_ms)


# --- close of a connection ----------------------------------------------------------------------


def test_closed_connection_is_freed_at_once_without_a_collection(harness, exit_stack):
    client = harness.connect_client()
    harness.round_trip(client)
    [served] = harness.router_process.listener.connections
    reference = weakref.ref(served.connection)
    gc.disable()
    exit_stack.callback(gc.enable)
    del served

    client.close()
    harness.run_until(lambda: not harness.router_process.listener.connections, "the connection is closed")

    assert reference() is None


@pytest.mark.parametrize("settings", [WITHOUT_CANCEL, {}], ids=["without cancel", "with cancel"])
@pytest.mark.parametrize("unread", [b"", b"x" * 500], ids=["nothing unread", "unread bytes"])
def test_request_is_not_sent_once_its_client_has_closed(start_router, settings, unread):
    harness, worker = start_with_warm_instances(start_router, settings=settings)
    client, served = connect_accepted_client(harness)
    client.send_request()
    request_size = len(client.last_frame)
    client.sock.sendall(unread)  # between the request and the close
    client.close()

    with (
        mock.patch.object(socket_reader, "MAX_READ_BYTES", request_size),
        mock.patch.object(connection, "MAX_READS_PER_TURN", 1),
    ):
        read_in_one_turn(harness, served)
    harness.round_trip(harness.connect_client())

    assert (len(worker.requests), harness.table.pending) == (1, {})


def test_cancellation_far_behind_its_request_is_read_before_anything_is_sent(start_router):
    harness, worker = start_with_warm_instances(start_router, settings=WITHOUT_CANCEL)
    client, served = connect_accepted_client(harness)
    for seqid in range(1, 11):
        client.send_request(seqid=seqid, body=b"x" * 12_000)
    for seqid in range(1, 11):
        client.cancel(seqid)

    read_in_one_turn(harness, served)
    harness.round_trip(harness.connect_client())

    assert (len(worker.requests), harness.table.pending) == (1, {})


# --- clients that do not read -------------------------------------------------------------------


def test_client_that_does_not_read_is_not_read_from_and_then_disconnected(harness):
    client = harness.connect_client()
    harness.round_trip(client)
    [served] = harness.router_process.listener.connections

    with mock.patch.object(client_connection, "MAX_UNWRITTEN_BYTES", 8 * 1024 * 1024):
        served.connection.write(b"x" * 7_000_000)
        harness.router_process.loop.run_once(0)
        harness.router_process.loop.run_once(0)
        assert not served.connection._is_reading
    served.connection.write(b"x" * 9_000_000)
    harness.router_process.loop.run_once(0)

    assert served.connection.is_closed


@pytest.mark.parametrize("disconnects", [False, True], ids=["cancels", "disconnects"])
def test_client_that_does_not_read_can_still_cancel_or_disconnect(queueing_harness, disconnects):
    client, served = connect_accepted_client(queueing_harness)
    seqid = client.send_request()
    queueing_harness.run_until(lambda: queueing_harness.table.pending, "the request is admitted")
    client.receive = lambda: None  # the client stops reading
    queueing_harness.router_process.memory.client_output.capacity_bytes = 16 * 1024 * 1024

    with mock.patch.object(client_connection, "MAX_UNWRITTEN_BYTES", 16 * 1024 * 1024):
        served.connection.write(b"x" * 12_000_000)
        queueing_harness.router_process.loop.run_once(0)
        assert served.connection.pending_bytes > client_connection.HIGH_WATER_BYTES
        if disconnects:
            client.sock.shutdown(socket.SHUT_WR)
        else:
            client.cancel(seqid)
        assert wait_readable(served.connection._sock)
        queueing_harness.router_process.loop.run_once(0)

        assert not queueing_harness.table.pending


# --- timeouts -----------------------------------------------------------------------------------


def test_silent_clients_and_partial_messages_time_out_but_served_clients_do_not(harness):
    silent, partial, served, partial_after_message = (harness.connect_client() for _ in range(4))
    partial.sock.sendall(encode_request(1, {})[:9])
    served.request_status(1)
    partial_after_message.request_status(1)
    harness.run_until(lambda: served.answers and partial_after_message.answers, "two clients are answered")
    partial_after_message.sock.sendall(encode_request(2, {})[:9])

    with mock.patch.object(client_messages, "MESSAGE_TIMEOUT_MS", 0.0):
        harness.run_until(
            lambda: all(client.is_closed for client in (silent, partial, partial_after_message)),
            "three clients are disconnected",
        )

    assert not served.is_closed


@pytest.mark.parametrize("after_a_message", [False, True], ids=["first message", "later message"])
def test_request_is_admitted_as_long_as_its_chunks_keep_arriving(queueing_harness, after_a_message):
    client = queueing_harness.connect_client()
    if after_a_message:
        queueing_harness.round_trip(client)
    served = queueing_harness.only_client_connection()

    client.send_request(unsent_size=50)
    for _ in range(5):
        queueing_harness.run_until(lambda: served.connection.peek() is PeekResult.NOTHING, "a chunk is read")
        served.messages._waiting_since_ms -= client_messages.MESSAGE_TIMEOUT_MS
        queueing_harness.router_process.listener.check_timeouts()
        client.send_unsent(10)

    queueing_harness.run_until(lambda: queueing_harness.table.pending, "the request is admitted")


def test_longer_pause_is_allowed_in_a_message_of_several_chunks(queueing_harness):
    client = queueing_harness.connect_client()
    client.send_request(unsent_size=50)
    served = queueing_harness.only_client_connection()

    overdue = []
    for _ in range(3):
        queueing_harness.run_until(lambda: served.connection.peek() is PeekResult.NOTHING, "a chunk is read")
        last_received_ms = served.connection.last_received_ms
        overdue.append(is_overdue(served, last_received_ms + client_messages.MESSAGE_TIMEOUT_MS))
        served.messages._waiting_since_ms = last_received_ms - client_messages.MESSAGE_TIMEOUT_MS
        client.send_unsent(10)

    assert overdue == [True, True, False]


def test_partial_request_that_stops_is_overdue_within_the_limit(queueing_harness):
    client = queueing_harness.connect_client()
    served = queueing_harness.only_client_connection()

    client.send_request(unsent_size=50)
    queueing_harness.run_until(lambda: served.messages.has_partial_message, "the first part is read")
    now_ms = clock.monotonic_ms()

    assert not is_overdue(served, now_ms)
    assert is_overdue(
        served, served.messages._waiting_since_ms + ANSWER_LIMIT_MS - router_process.TIMEOUT_CHECK_INTERVAL_MS
    )


# --- stalls of the process ------------------------------------------------------------------------


def test_requests_read_together_after_a_stall_have_no_more_time_than_their_clients_left(queueing_harness):
    client, served = connect_accepted_client(queueing_harness)
    queueing_harness.round_trip(client)
    stall_ms = 400.0

    client.send_request(call="aa" * 8)
    time.sleep(stall_ms / 1000)
    client.send_request(call="bb" * 8)
    assert wait_readable(served.connection._sock)
    queueing_harness.router_process.loop.run_once(0)

    first, second = queueing_harness.table.pending.values()
    assert first.client_request.timeout_ms <= 8000.0 - stall_ms + 50.0
    assert second.client_request.timeout_ms > 8000.0 - 100.0


def test_client_that_cancels_during_a_long_turn_gets_no_attempt(start_router):
    harness, worker = start_with_warm_instances(start_router)
    client, _ = connect_accepted_client(harness)
    handle = harness.router_process.router.handle

    def arrivals():
        return harness.router_process.router.fleet.arrivals.count

    def handle_slowly(now_ms, events):
        actions = handle(now_ms, events)
        if any(isinstance(action, SendRequest) for action in actions):
            client.cancel(1)
            time.sleep(0.15)
        return actions

    with mock.patch.object(harness.router_process.router, "handle", handle_slowly):
        client.send_request(call="cc" * 8)
        harness.run_until(
            lambda: arrivals() == 2 and not harness.table.pending, "the request arrives and is cancelled"
        )
    harness.round_trip(harness.connect_client())

    assert [request.frame.exchange_id for request in worker.requests[1:]] == []

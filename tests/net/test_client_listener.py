"""Tests of `client_listener`: accepting clients, the limit on their connections, and the idle timeout."""

import errno
from unittest import mock

import pytest
from helpers.fake_worker import FakeWorker
from helpers.function_calls import count_calls
from helpers.sockets import wait_readable

from function_router.net import client_connection, client_listener, connection, router_process

MAX_SOCKETS = 32
FEW_SOCKETS = {"sockets": MAX_SOCKETS}


def connect_and_request_status(harness, what):
    client = harness.connect_client()
    client.request_status()
    harness.run_until(lambda: client.answers, what)
    return client


def test_first_request_that_has_arrived_is_read_however_many_clients_connect_after_it(start_router):
    worker = FakeWorker()
    harness = start_router(worker, limits=FEW_SOCKETS)
    first = harness.connect_client()
    first.send_request()
    silent_clients = [harness.connect_client() for _ in range(40)]

    harness.run_until(lambda: worker.requests, "the first request is sent to the worker")
    worker.answer(worker.requests[0])
    harness.run_until(lambda: first.answers, "the first request is answered")
    connect_and_request_status(harness, "a late client is served in place of silent ones")

    assert sum(client.is_closed for client in silent_clients) > 20


def test_connections_stay_within_the_clients_share_of_file_descriptors(start_router):
    harness = start_router(FakeWorker(instances=None), limits=FEW_SOCKETS)
    first = harness.connect_client()
    first.send_request()
    harness.run_until(lambda: harness.table.pending, "the first request is pending")

    for _ in range(30):
        connect_and_request_status(harness, "each client is answered")
        assert len(harness.router_process.listener.connections) <= MAX_SOCKETS * router_process.CLIENT_SHARE

    assert not first.is_closed


def test_connection_with_a_partial_message_is_evicted_after_silent_ones(start_router):
    harness = start_router(FakeWorker(instances=None), limits=FEW_SOCKETS)
    client = harness.connect_client()
    client.send_request(unsent_size=9)
    served = harness.only_client_connection()
    harness.run_until(lambda: served.messages.has_partial_message, "the first part is read")
    served.connection.last_used_ms -= 10 * client_listener.FIRST_BYTE_GRACE_MS

    for _ in range(30):
        connect_and_request_status(harness, "each client is answered")
    client.send_unsent()

    harness.run_until(lambda: harness.table.pending, "the request is admitted")


def test_request_that_arrives_as_its_idle_connection_times_out_is_admitted(queueing_harness):
    client = queueing_harness.connect_client()
    queueing_harness.round_trip(client)
    served = queueing_harness.only_client_connection()
    client.send_request()
    assert wait_readable(served.connection._sock)

    with mock.patch.object(client_connection, "IDLE_TIMEOUT_MS", -1.0):
        queueing_harness.router_process.listener.check_timeouts()  # before the request is read
        queueing_harness.run_until(lambda: queueing_harness.table.pending, "the request is admitted")

    assert not served.connection.is_closed


def test_connection_and_listener_that_cannot_be_registered_are_served_later(queueing_harness):
    loop = queueing_harness.router_process.loop
    register = loop.register
    failures = [errno.ENOMEM, errno.ENOMEM, errno.ENOSPC]

    def register_later(*arguments):
        if failures:
            raise OSError(failures.pop(), "epoll_ctl")
        register(*arguments)

    with mock.patch.object(loop, "register", register_later):
        client = queueing_harness.connect_client()
        client.send_request()
        queueing_harness.run_until(lambda: queueing_harness.table.pending, "the request is admitted")
        connect_and_request_status(queueing_harness, "another client is served")

    assert failures == []
    assert not client.is_closed


def test_request_that_arrives_during_an_idle_close_is_left_unread(queueing_harness):
    client = queueing_harness.connect_client()
    queueing_harness.round_trip(client)
    served = queueing_harness.only_client_connection()
    sock = served.connection._sock
    peek = served.connection.peek

    def peek_just_before_the_request():
        found = peek()
        client.send_request()
        assert wait_readable(sock)
        return found

    with mock.patch.object(connection.Connection, "peek", side_effect=peek_just_before_the_request):
        assert served.close_unless_data_arrived()

    # As the request is unread, the close resets the connection, which tells the client that its request was
    # not accepted.
    with pytest.raises(ConnectionResetError):
        client.sock.recv(1)


# Guards against accepts at the connection limit that cost the square of the number of connections.
def test_cost_of_an_accept_at_the_limit_grows_in_proportion_to_the_connections(start_router):
    calls = []
    for count in (20, 80):
        harness = start_router(limits={"sockets": 1024})
        listener = harness.router_process.listener
        clients = [harness.connect_accepted_client() for _ in range(count)]
        listener._max_connections = count
        for client in clients:
            client.sock.sendall(b"\0")  # unread, so that no connection may be closed
        calls.append(count_calls(lambda listener=listener: listener.ensure_capacity(0)))

    assert calls[1] < 1.5 * (80 / 20) * calls[0]

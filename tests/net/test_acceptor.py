"""Tests of `acceptor`: the number of accepted connections, and pauses while no connection can be served."""

import errno
import socket
from unittest import mock

import pytest

from function_router.net import acceptor as acceptor_module
from function_router.net.acceptor import Acceptor
from function_router.net.input_scheduler import MAX_MESSAGES_PER_TURN
from function_router.net.telemetry import Telemetry

MAX_CONNECTIONS = 4


class FakeOwner:
    """Records the sockets that it serves; the first `failures` calls fail."""

    def __init__(self):
        self.has_capacity = True
        self.failures = 0
        self.served = []
        self.deferred_counts = []

    def ensure_capacity(self, deferred_count):
        """Record the call; return whether the test allows another connection."""
        self.deferred_counts.append(deferred_count)
        return self.has_capacity

    def serve(self, accepted):
        """Record the socket, or fail as epoll does for lack of memory."""
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOMEM, "epoll_ctl")
        self.served.append(accepted)


@pytest.fixture
def owner(exit_stack):
    owner = FakeOwner()
    exit_stack.callback(lambda: [accepted.sock.close() for accepted in owner.served])
    return owner


@pytest.fixture
def acceptor(loop, owner, log_lines, exit_stack):
    telemetry = Telemetry(lambda text, _source="": log_lines.append(text))
    acceptor = Acceptor(loop, ("127.0.0.1", 0), owner, MAX_CONNECTIONS, telemetry)
    exit_stack.callback(acceptor.close)
    return acceptor


@pytest.fixture
def connect(acceptor, exit_stack):
    """Connect clients that the acceptor has not accepted yet."""

    def connect_clients(count):
        for _ in range(count):
            exit_stack.callback(socket.create_connection(acceptor.address).close)

    return connect_clients


def test_at_most_half_of_the_connections_are_accepted_in_one_turn(loop, owner, connect):
    connect(3)

    loop.run_once(0)
    served_in_first_turn = len(owner.served)
    loop.run_once(0)

    assert served_in_first_turn == MAX_CONNECTIONS // 2
    assert len(owner.served) == 3


def test_accepting_pauses_without_capacity_and_goes_on_by_itself(loop, run_until, acceptor, owner, connect):
    owner.has_capacity = False
    connect(1)

    loop.run_once(0)
    was_paused = acceptor.is_paused
    served_without_capacity = list(owner.served)
    owner.has_capacity = True
    run_until(lambda: owner.served)

    assert was_paused
    assert served_without_capacity == []
    assert not acceptor.is_paused


def test_socket_that_cannot_be_served_is_deferred_and_served_later(
    loop, run_until, owner, connect, log_lines
):
    owner.failures = 2
    connect(1)

    loop.run_once(0)
    run_until(lambda: owner.served)
    connect(1)
    run_until(lambda: len(owner.served) == 2)

    assert [line.startswith("cannot serve accepted connection: ") for line in log_lines] == [True, True]
    assert set(owner.deferred_counts) == {0}


def test_deferred_socket_counts_against_the_capacity(loop, acceptor, owner, connect):
    owner.failures = 1
    connect(1)
    loop.run_once(0)

    acceptor.accept_pending()

    assert owner.deferred_counts == [0, 1]


def test_accept_without_a_file_descriptor_is_retried_and_not_logged(
    loop, run_until, acceptor, owner, connect, log_lines
):
    connect(1)
    no_descriptor = OSError(errno.EMFILE, "accept")

    with mock.patch.object(acceptor_module.socket.socket, "accept", side_effect=no_descriptor):
        loop.run_once(0)
    was_paused = acceptor.is_paused
    run_until(lambda: owner.served)

    assert was_paused
    assert log_lines == []


def test_closed_acceptor_closes_its_sockets(loop, acceptor, owner, connect):
    owner.failures = 1
    connect(1)
    loop.run_once(0)
    [deferred] = acceptor._deferred_sockets
    address = acceptor.address

    acceptor.close()

    assert deferred.sock.fileno() == -1
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


# Guards against clients that connect again and again and thereby fill each turn of the event loop.
def test_turn_accepts_far_fewer_connections_than_it_handles_messages(harness):
    connections = harness.router_process.listener.connections
    for _ in range(MAX_MESSAGES_PER_TURN):
        harness.connect_client()

    harness.router_process.loop.run_once(0.0)

    assert 0 < len(connections) <= MAX_MESSAGES_PER_TURN / 4

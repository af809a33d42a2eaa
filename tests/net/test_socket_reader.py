"""Tests of `socket_reader`, over loopback."""

import errno
import time
from unittest import mock

import pytest
from helpers.sockets import WAIT_TIMEOUT_S, wait_readable
from helpers.tcp_connections import RecordingHandler, TransientErrorSocket

from function_router.net import clock, event_loop, socket_reader
from function_router.net.close_reason import CloseReason
from function_router.net.socket_reader import SocketReader


@pytest.fixture
def handler():
    return RecordingHandler()


@pytest.fixture
def open_reader(loop, accept_socket):
    """Create readers of accepted sockets, each with its socket and peer; `wrap` may replace the socket."""

    def make(wrap=lambda sock: sock):
        sock, peer = accept_socket()
        sock.setblocking(False)
        return SocketReader(loop, wrap(sock), clock.monotonic_ms()), sock, peer

    return make


def test_read_that_finds_nothing_returns_none(open_reader):
    reader, _, _ = open_reader()

    assert reader.receive() is None


def test_read_returns_none_after_a_transient_error_and_the_bytes_on_retry(open_reader):
    reader, sock, peer = open_reader(lambda sock: TransientErrorSocket(sock, errno.ENOMEM))
    peer.sock.send(b"request")
    assert wait_readable(sock)

    assert reader.receive() is None
    assert reader.receive() == b"request"


def test_end_of_the_stream_and_a_broken_connection_differ(open_reader):
    ended, ended_sock, ended_peer = open_reader()
    broken, _, _ = open_reader(lambda sock: TransientErrorSocket(sock, errno.ECONNRESET))

    ended_peer.sock.close()
    assert wait_readable(ended_sock)

    assert ended.receive() is CloseReason.CLOSED_BY_PEER
    assert broken.receive() is CloseReason.RESET_BY_PEER


def test_only_a_full_read_is_followed_by_another_in_the_same_turn(open_reader):
    reader, _, _ = open_reader()

    with mock.patch.object(socket_reader, "MAX_READ_BYTES", 4):
        assert reader.should_read_again(b"full")
        assert not reader.should_read_again(b"not")


def test_delay_before_a_read_is_measured(accept, run_until, handler):
    connection, peer = accept(handler)
    peer.sock.send(b"request")
    time.sleep(0.03)

    run_until(lambda: handler.data)

    assert 30.0 <= connection.reader.receive_delay_ms < WAIT_TIMEOUT_S * 1000.0


def test_step_of_the_wall_clock_is_not_taken_for_a_delay(accept, loop, handler):
    step_ms = 5_000.0
    connection, peer = accept(handler)
    loop.run_once(0)
    loop.run_once(0)
    started_ms = clock.monotonic_ms()
    peer.sock.send(b"request")

    with mock.patch.object(event_loop, "unix_ms", side_effect=lambda: clock.unix_ms() + step_ms):
        loop.run_once(1.0)

    assert handler.data == b"request"
    assert 0.0 <= connection.reader.receive_delay_ms <= clock.monotonic_ms() - started_ms + 50.0

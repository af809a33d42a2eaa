"""Tests of `connection`, over loopback."""

import contextlib
import errno
import socket
import time
from unittest import mock

import pytest
from helpers.tcp_connections import RecordingHandler, TransientErrorSocket

from function_router.net import connection as connection_module
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection
from function_router.net.sockets import PeekResult
from function_router.net.write_queue import MAX_WRITES_PER_CALL

LARGER_THAN_SOCKET_BUFFER = 16 * 1024 * 1024
CONNECT_TIMEOUT_MS = 5_000.0


class FailingHandler(RecordingHandler):
    """Raises an exception when it receives bytes."""

    def on_data(self, data):
        """Raise an exception."""
        raise KeyError(data)


@pytest.fixture
def handler():
    return RecordingHandler()


# --- writing --------------------------------------------------------------------------------------


def test_partial_writes_arrive_whole_and_in_order(accept, loop, run_until, handler):
    connection, peer = accept(handler)
    large = bytes(range(256)) * (LARGER_THAN_SOCKET_BUFFER // 256)
    first = connection.write(large)
    last = connection.write(b"end")

    loop.run_once(0)
    written_at_first = first.written
    pending_at_first = connection.pending_bytes
    run_until(lambda: len(peer.data) == len(large) + 3, peer)

    assert 0 < written_at_first < len(large)
    assert pending_at_first == len(large) + 3 - written_at_first
    assert bytes(peer.data) == large + b"end"
    assert (first.written, last.written, connection.pending_bytes) == (len(large), 3, 0)


def test_more_writes_than_one_system_call_takes_arrive_in_order(accept, run_until, handler):
    connection, peer = accept(handler)
    expected = b""
    for number in range(3 * MAX_WRITES_PER_CALL):
        expected += b"%d," % number
        connection.write(b"%d," % number)

    run_until(lambda: len(peer.data) >= len(expected), peer)

    assert bytes(peer.data) == expected


def test_write_that_was_not_begun_can_be_cancelled(accept, run_until, handler):
    connection, peer = accept(handler)
    connection.write(b"first")
    unwanted = connection.write(b"unwanted")
    connection.write(b"last")

    is_cancelled = connection.cancel_write(unwanted)
    pending_bytes = connection.pending_bytes
    run_until(lambda: peer.data.endswith(b"last"), peer)

    assert is_cancelled
    assert pending_bytes == len(b"firstlast")
    assert bytes(peer.data) == b"firstlast"


def test_write_that_was_begun_cannot_be_cancelled(accept, loop, handler):
    connection, _ = accept(handler)
    large = connection.write(bytes(LARGER_THAN_SOCKET_BUFFER))
    loop.run_once(0)

    is_cancelled = connection.cancel_write(large)

    assert not is_cancelled
    assert connection.pending_bytes == LARGER_THAN_SOCKET_BUFFER - large.written


def test_write_that_is_complete_cannot_be_cancelled(accept, run_until, handler):
    connection, peer = accept(handler)
    complete = connection.write(b"complete")
    run_until(lambda: peer.data, peer)

    assert not connection.cancel_write(complete)


def test_blocked_connection_with_nothing_left_to_write_is_not_watched_for_writing(accept, loop, handler):
    connection, _ = accept(handler)
    cancelled = connection.write(b"cancelled")
    connection.writer.is_blocked = True  # the socket's buffer is full
    connection._update_mask()
    connection.cancel_write(cancelled)
    turns = 0
    end_s = time.monotonic() + 0.1

    while time.monotonic() < end_s:
        loop.run_once(0.05)
        turns += 1

    assert turns < 10


# --- reading --------------------------------------------------------------------------------------


def test_read_and_write_are_retried_after_transient_errors(accept, run_until, handler):
    connection, peer = accept(
        handler, lambda sock: TransientErrorSocket(sock, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)
    )
    connection.write(b"reply")
    peer.sock.send(b"request")

    run_until(lambda: handler.close_reasons or (peer.data and handler.data), peer)

    assert (handler.data, bytes(peer.data), handler.close_reasons) == (b"request", b"reply", [])
    assert (connection._sock.remaining_errors["recvmsg"], connection._sock.remaining_errors["sendmsg"]) == (
        [],
        [],
    )


def test_exception_in_on_data_closes_only_that_connection(accept, run_until, log_lines):
    failing = FailingHandler()
    other = RecordingHandler()
    failing_connection, failing_peer = accept(failing)
    other_connection, other_peer = accept(other)

    failing_peer.sock.send(b"boom")
    run_until(lambda: failing_connection.is_closed)
    other_peer.sock.send(b"request")
    run_until(lambda: other.data)

    assert failing.close_reasons == [CloseReason.PROTOCOL_ERROR]
    assert (other.data, other.close_reasons, other_connection.is_closed) == (b"request", [], False)
    assert ["boom" in line for line in log_lines] == [True]


def test_close_by_the_peer_is_detected_behind_unread_bytes(accept, handler):
    connection, peer = accept(handler)
    before = (connection.peek(), connection.has_peer_closed())

    peer.sock.send(b"unread")
    peer.sock.shutdown(socket.SHUT_WR)

    assert before == (PeekResult.NOTHING, False)
    assert connection.peek() is PeekResult.DATA
    assert connection.has_peer_closed()


def test_transient_peek_error_does_not_count_as_a_close_by_the_peer(accept, handler):
    connection, peer = accept(handler, lambda sock: TransientErrorSocket(sock, errno.ENOMEM, errno.ENOBUFS))
    closes_detected = [
        connection.has_peer_closed(),
        connection.has_peer_closed(),
        connection.has_peer_closed(),
    ]

    peer.sock.close()

    assert closes_detected == [False, False, False]
    assert connection._sock.remaining_errors["recv"] == []
    assert connection.has_peer_closed()


# --- closing --------------------------------------------------------------------------------------


def test_close_after_flush_writes_what_is_queued_and_discards_what_comes(accept, run_until, handler):
    connection, peer = accept(handler)
    connection.write(b"reply")

    connection.close_after_flush(CloseReason.PROTOCOL_ERROR)
    peer.sock.send(b"another request")
    run_until(lambda: peer.has_received_eof, peer)
    was_closed_before_peer = connection.is_closed
    peer.sock.close()
    run_until(lambda: connection.is_closed)

    assert connection.is_closing
    assert bytes(peer.data) == b"reply"
    assert not was_closed_before_peer
    assert handler.data == b""
    assert handler.close_reasons == [CloseReason.CLOSED_BY_PEER]


def test_close_after_flush_closes_by_itself_where_the_peer_does_not(accept, run_until, handler):
    connection, _ = accept(handler)

    with mock.patch.object(connection_module, "LINGER_MS", 20.0):
        connection.close_after_flush(CloseReason.WRITE_BUFFER_FULL)
    run_until(lambda: connection.is_closed)

    assert handler.close_reasons == [CloseReason.WRITE_BUFFER_FULL]


def test_handler_is_notified_of_a_close_once_and_of_nothing_after(accept, loop, handler):
    connection, peer = accept(handler)
    connection.write(b"dropped")
    peer.sock.send(b"unread")

    connection.close(CloseReason.IDLE)
    connection.close(CloseReason.SHUTDOWN)
    connection.write(b"after")
    loop.run_once(0)

    with pytest.raises(ConnectionResetError):  # because the bytes that the peer sent are unread
        peer.receive()
    assert handler.close_reasons == [CloseReason.IDLE]
    assert (handler.data, bytes(peer.data)) == (b"", b"")
    assert connection.pending_bytes == 0


# --- connecting -----------------------------------------------------------------------------------


def connect_interrupted(sock, address):
    """Connect like an interrupted connect(2): it fails with EINTR but continues in the background."""
    with contextlib.suppress(BlockingIOError):
        sock.connect(address)
    return errno.EINTR


def test_connect_notifies_the_handler(loop, listener, run_until, handler):
    connection = Connection.connect(loop, listener.getsockname(), handler, CONNECT_TIMEOUT_MS)
    was_connected_at_once = connection.is_connected
    run_until(lambda: handler.is_connected)
    connection.close(CloseReason.SHUTDOWN)

    assert not was_connected_at_once
    assert connection.is_connected
    assert handler.close_reasons == [CloseReason.SHUTDOWN]


def test_refused_connect_closes_the_connection(loop, listener, run_until, handler):
    address = listener.getsockname()
    listener.close()

    connection = Connection.connect(loop, address, handler, CONNECT_TIMEOUT_MS)
    run_until(lambda: handler.close_reasons)

    assert handler.close_reasons == [CloseReason.CONNECTION_REFUSED]
    assert (connection.is_closed, connection.is_connected) == (True, False)


def test_connect_that_takes_too_long_closes_the_connection(loop, unreachable_address, run_until, handler):
    Connection.connect(loop, unreachable_address(), handler, 20.0)
    run_until(lambda: handler.close_reasons)

    assert handler.close_reasons == [CloseReason.CONNECT_TIMEOUT]


def test_connect_that_fails_at_once_returns_the_reason(loop, handler):
    no_descriptor = OSError(errno.EMFILE, "socket")

    with mock.patch.object(connection_module.socket, "socket", side_effect=no_descriptor):
        result = Connection.connect(loop, ("127.0.0.1", 9), handler, CONNECT_TIMEOUT_MS)

    assert result is CloseReason.NO_FILE_DESCRIPTOR
    assert handler.close_reasons == []


def test_connect_that_cannot_be_registered_returns_the_reason(loop, listener, handler):
    register = loop.register

    with mock.patch.object(loop, "register", side_effect=OSError(errno.ENOMEM, "epoll_ctl")):
        result = Connection.connect(loop, listener.getsockname(), handler, CONNECT_TIMEOUT_MS)

    assert register == loop.register
    assert result is CloseReason.LOCAL_FAILURE
    assert handler.close_reasons == []


def test_connect_interrupted_by_a_signal_succeeds(loop, listener, run_until, handler):
    with mock.patch.object(connection_module.socket.socket, "connect_ex", connect_interrupted):
        Connection.connect(loop, listener.getsockname(), handler, CONNECT_TIMEOUT_MS)
    run_until(lambda: handler.is_connected)

    assert handler.close_reasons == []

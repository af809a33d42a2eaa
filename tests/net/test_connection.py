"""Tests of `connection`, on loopback."""

import contextlib
import errno
import socket
import time
from unittest import mock

import pytest

from function_router.net import clock, event_loop
from function_router.net import connection as connection_module
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection, Unread
from function_router.net.event_loop import EventLoop
from function_router.net.receive_timestamps import enable_receive_timestamps
from function_router.net.write_queue import MAX_WRITES_PER_FLUSH

PATIENCE_S = 20.0
MORE_THAN_SOCKETS_BUFFER = 16 * 1024 * 1024


class RecordingHandler:
    """Keeps what it is notified of."""

    def __init__(self):
        self.is_connected = False
        self.data = b""
        self.close_reasons = []

    def on_connected(self):
        """The connection is established."""
        self.is_connected = True

    def on_data(self, data):
        """Bytes were received."""
        self.data += data

    def on_flushed(self):
        """The turn's write is done."""

    def on_write_delayed(self):
        """The peer takes bytes again."""

    def on_closed(self, reason):
        """The connection is closed."""
        self.close_reasons.append(reason)


class FailingHandler(RecordingHandler):
    """Raises an exception at the first bytes."""

    def on_data(self, data):
        """Bytes were received."""
        raise KeyError(data)


class FailingAtFirstSocket:
    """A socket whose reads and writes fail at first, once with each of some errors."""

    def __init__(self, sock, *error_numbers):
        self.left = {name: list(error_numbers) for name in ("recv", "recvmsg", "sendmsg")}
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def recv(self, *arguments):
        """Look at or read bytes, once all failures have been."""
        self._fail("recv")
        return self._sock.recv(*arguments)

    def recvmsg(self, *arguments):
        """Read, once all failures have been."""
        self._fail("recvmsg")
        return self._sock.recvmsg(*arguments)

    def sendmsg(self, *arguments):
        """Write, once all failures have been."""
        self._fail("sendmsg")
        return self._sock.sendmsg(*arguments)

    def _fail(self, name):
        if self.left[name]:
            raise OSError(self.left[name].pop(), name)


class Peer:
    """The other end of a connection, driven from the test."""

    def __init__(self, sock):
        self.sock = sock
        self.data = bytearray()
        self.has_received_end = False

    def receive(self):
        """Receive all that has come."""
        try:
            while not self.has_received_end:
                data = self.sock.recv(1024 * 1024)
                self.data += data
                self.has_received_end = not data
        except BlockingIOError:
            pass


@pytest.fixture
def log_lines():
    return []


@pytest.fixture
def loop(log_lines, cleanups):
    loop = EventLoop(lambda _now_ms, _events: None, log_lines.append)
    cleanups.callback(loop.close)
    return loop


@pytest.fixture
def run_until(loop):
    """Run turns of the loop until a condition holds; the peers receive after each turn."""

    def run(condition, *peers):
        give_up_at = time.monotonic() + PATIENCE_S
        while not condition():
            assert time.monotonic() < give_up_at, "timed out waiting for the condition"
            loop.run_once(0.005)
            for peer in peers:
                peer.receive()

    return run


@pytest.fixture
def listener(cleanups):
    listener = socket.socket()
    cleanups.callback(listener.close)
    enable_receive_timestamps(listener)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


@pytest.fixture
def accept(loop, listener, cleanups):
    """Make accepted connections, each with its peer."""

    def make(handler):
        peer = Peer(socket.create_connection(listener.getsockname()))
        peer.sock.setblocking(False)
        sock, _ = listener.accept()
        cleanups.callback(sock.close)
        cleanups.callback(peer.sock.close)
        return Connection.accepted(loop, sock, handler), peer

    return make


def test_partial_writes_arrive_whole_and_in_order(accept, loop, run_until):
    connection, peer = accept(RecordingHandler())
    large = bytes(range(256)) * (MORE_THAN_SOCKETS_BUFFER // 256)
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


def test_more_writes_than_one_system_call_takes_arrive_in_order(accept, run_until):
    connection, peer = accept(RecordingHandler())
    expected = b""
    for number in range(3 * MAX_WRITES_PER_FLUSH):
        expected += b"%d," % number
        connection.write(b"%d," % number)

    run_until(lambda: len(peer.data) >= len(expected), peer)

    assert bytes(peer.data) == expected


def test_write_that_was_not_begun_can_be_cancelled(accept, run_until):
    connection, peer = accept(RecordingHandler())
    connection.write(b"first")
    unwanted = connection.write(b"unwanted")
    connection.write(b"last")

    is_cancelled = connection.cancel_write(unwanted)
    pending_bytes = connection.pending_bytes
    run_until(lambda: peer.data.endswith(b"last"), peer)

    assert is_cancelled
    assert pending_bytes == len(b"firstlast")
    assert bytes(peer.data) == b"firstlast"


def test_write_that_was_begun_cannot_be_cancelled(accept, loop):
    connection, _ = accept(RecordingHandler())
    large = connection.write(bytes(MORE_THAN_SOCKETS_BUFFER))
    loop.run_once(0)

    is_cancelled = connection.cancel_write(large)

    assert not is_cancelled
    assert connection.pending_bytes == MORE_THAN_SOCKETS_BUFFER - large.written


def test_write_that_is_complete_cannot_be_cancelled(accept, run_until):
    connection, peer = accept(RecordingHandler())
    complete = connection.write(b"complete")
    run_until(lambda: peer.data, peer)

    assert not connection.cancel_write(complete)


def test_close_after_flush_writes_what_is_queued_and_discards_what_comes(accept, run_until):
    handler = RecordingHandler()
    connection, peer = accept(handler)
    connection.write(b"reply")

    connection.close_after_flush(CloseReason.PROTOCOL_ERROR)
    peer.sock.send(b"another request")
    run_until(lambda: peer.has_received_end, peer)
    was_closed_before_peer = connection.is_closed
    peer.sock.close()
    run_until(lambda: connection.is_closed)

    assert connection.is_finishing
    assert bytes(peer.data) == b"reply"
    assert not was_closed_before_peer
    assert handler.data == b""
    assert handler.close_reasons == [CloseReason.CLOSED_BY_PEER]


def test_close_after_flush_closes_by_itself_where_the_peer_does_not(accept, run_until):
    handler = RecordingHandler()
    connection, _ = accept(handler)

    with mock.patch.object(connection_module, "LINGER_MS", 20.0):
        connection.close_after_flush(CloseReason.WRITE_BUFFER_FULL)
    run_until(lambda: connection.is_closed)

    assert handler.close_reasons == [CloseReason.WRITE_BUFFER_FULL]


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


def test_handler_is_notified_of_a_close_once_and_of_nothing_after(accept, loop):
    handler = RecordingHandler()
    connection, peer = accept(handler)
    connection.write(b"dropped")
    peer.sock.send(b"unread")

    connection.close(CloseReason.IDLE)
    connection.close(CloseReason.SHUTDOWN)
    connection.write(b"after")
    loop.run_once(0)

    with pytest.raises(ConnectionResetError):  # what it sent is unread
        peer.receive()
    assert handler.close_reasons == [CloseReason.IDLE]
    assert (handler.data, bytes(peer.data)) == (b"", b"")
    assert connection.pending_bytes == 0


def test_close_by_the_peer_is_seen_behind_unread_bytes(accept):
    connection, peer = accept(RecordingHandler())
    before = (connection.peek(), connection.has_peer_closed())

    peer.sock.send(b"unread")
    peer.sock.shutdown(socket.SHUT_WR)

    assert before == (Unread.NOTHING, False)
    assert connection.peek() is Unread.DATA
    assert connection.has_peer_closed()


def test_delay_before_a_read_is_measured(accept, run_until):
    handler = RecordingHandler()
    connection, peer = accept(handler)
    peer.sock.send(b"request")
    time.sleep(0.03)

    run_until(lambda: handler.data)

    assert 30.0 <= connection.receive_delay_ms < PATIENCE_S * 1000.0


def test_connect_notifies_the_handler(loop, listener, run_until):
    handler = RecordingHandler()

    connection = Connection.connect(loop, listener.getsockname(), handler, 5000.0)
    was_connected_at_once = connection.is_connected
    run_until(lambda: handler.is_connected)
    connection.close(CloseReason.SHUTDOWN)

    assert not was_connected_at_once
    assert connection.is_connected
    assert handler.close_reasons == [CloseReason.SHUTDOWN]


def test_refused_connect_closes_the_connection(loop, listener, run_until):
    handler = RecordingHandler()
    address = listener.getsockname()
    listener.close()

    connection = Connection.connect(loop, address, handler, 5000.0)
    run_until(lambda: handler.close_reasons)

    assert handler.close_reasons == [CloseReason.CONNECTION_REFUSED]
    assert (connection.is_closed, connection.is_connected) == (True, False)


def test_connect_that_takes_too_long_closes_the_connection(loop, unreachable_address, run_until):
    handler = RecordingHandler()

    Connection.connect(loop, unreachable_address(), handler, 20.0)
    run_until(lambda: handler.close_reasons)

    assert handler.close_reasons == [CloseReason.CONNECT_TIMEOUT]


def test_connect_that_fails_at_once_returns_the_reason(loop):
    handler = RecordingHandler()
    no_descriptor = OSError(errno.EMFILE, "socket")

    with mock.patch.object(connection_module.socket, "socket", side_effect=no_descriptor):
        result = Connection.connect(loop, ("127.0.0.1", 9), handler, 5000.0)

    assert result is CloseReason.NO_FILE_DESCRIPTOR
    assert handler.close_reasons == []


def test_read_and_write_that_fail_for_a_moment_are_tried_again(accept, run_until):
    handler = RecordingHandler()
    connection, peer = accept(handler)
    failing = FailingAtFirstSocket(connection._sock, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)
    connection._sock = failing
    connection.write(b"reply")
    peer.sock.send(b"request")

    run_until(lambda: handler.close_reasons or (peer.data and handler.data), peer)

    assert (handler.data, bytes(peer.data), handler.close_reasons) == (b"request", b"reply", [])
    assert (failing.left["recvmsg"], failing.left["sendmsg"]) == ([], [])


def test_connect_that_cannot_be_watched_or_is_interrupted_harms_nobody(loop, listener, run_until):
    handler = RecordingHandler()
    register = loop.register

    with mock.patch.object(loop, "register", side_effect=OSError(errno.ENOMEM, "epoll_ctl")):
        not_watched = Connection.connect(loop, listener.getsockname(), handler, 5000.0)
    with mock.patch.object(connection_module.socket.socket, "connect_ex", connect_interrupted):
        Connection.connect(loop, listener.getsockname(), handler, 5000.0)
    run_until(lambda: handler.is_connected)

    assert register == loop.register
    assert not_watched is CloseReason.LOCAL_FAILURE
    assert handler.close_reasons == []


def connect_interrupted(sock, address):
    """Connect as connect(2) does where a signal comes in between: the connection comes up all the same."""
    with contextlib.suppress(BlockingIOError):
        sock.connect(address)
    return errno.EINTR


def test_step_of_the_wall_clock_is_not_taken_for_a_delay(accept, loop):
    step_ms = 5_000.0
    handler = RecordingHandler()
    connection, peer = accept(handler)
    loop.run_once(0)
    loop.run_once(0)
    started_ms = clock.monotonic_ms()
    peer.sock.send(b"request")

    with mock.patch.object(event_loop, "unix_ms", side_effect=lambda: clock.unix_ms() + step_ms):
        loop.run_once(1.0)

    assert handler.data == b"request"
    assert 0.0 <= connection.receive_delay_ms <= clock.monotonic_ms() - started_ms + 50.0


def test_look_that_fails_for_a_moment_is_no_end_of_the_connection(accept):
    connection, peer = accept(RecordingHandler())
    failing = FailingAtFirstSocket(connection._sock, errno.ENOMEM, errno.ENOBUFS)
    connection._sock = failing
    ends_seen = [connection.has_peer_closed(), connection.has_peer_closed(), connection.has_peer_closed()]

    peer.sock.close()

    assert ends_seen == [False, False, False]
    assert failing.left["recv"] == []
    assert connection.has_peer_closed()


def test_connection_that_is_blocked_with_nothing_left_to_write_is_not_watched_for_writing(accept, loop):
    connection, _ = accept(RecordingHandler())
    cancelled = connection.write(b"cancelled")
    connection._blocked = True  # the socket's buffer is full
    connection._update_mask()
    connection.cancel_write(cancelled)
    turns = 0
    end_s = time.monotonic() + 0.1

    while time.monotonic() < end_s:
        loop.run_once(0.05)
        turns += 1

    assert turns < 10

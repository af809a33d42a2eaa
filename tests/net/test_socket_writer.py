"""Tests of `socket_writer`, over loopback."""

import errno

import pytest
from helpers.tcp_connections import TransientErrorSocket

from function_router.net.close_reason import CloseReason
from function_router.net.socket_writer import SocketWriter
from function_router.net.write_queue import PendingWrite

LARGER_THAN_SOCKET_BUFFER = 16 * 1024 * 1024


@pytest.fixture
def open_writer(accept_socket):
    """Create writers to accepted sockets, whose operations fail once with each of the given errors."""

    def make(*error_numbers):
        sock, _ = accept_socket()
        sock.setblocking(False)
        return SocketWriter(TransientErrorSocket(sock, *error_numbers))

    return make


def test_partial_write_blocks_the_writer(open_writer):
    writer = open_writer()
    write = PendingWrite(bytes(LARGER_THAN_SOCKET_BUFFER))
    writer.queue.append(write)

    reason = writer.flush()

    assert reason is None
    assert writer.is_blocked
    assert 0 < write.written < LARGER_THAN_SOCKET_BUFFER


def test_write_stays_queued_after_a_transient_error(open_writer):
    writer = open_writer(errno.ENOBUFS)
    writer.queue.append(PendingWrite(b"reply"))

    first_reason = writer.flush()
    was_blocked = writer.is_blocked
    second_reason = writer.flush()

    assert (first_reason, was_blocked) == (None, True)
    assert (second_reason, writer.is_blocked, writer.queue.pending_bytes) == (None, False, 0)


def test_write_to_a_broken_connection_returns_the_reason(open_writer):
    writer = open_writer(errno.EPIPE)
    writer.queue.append(PendingWrite(b"reply"))

    assert writer.flush() is CloseReason.RESET_BY_PEER

"""Tests of `sockets`, over loopback."""

import errno
import socket

import pytest
from helpers.sockets import wait_readable
from helpers.tcp_connections import TransientErrorSocket

from function_router.net.sockets import PeekResult, address_family, begin_connect, has_peer_closed, peek


@pytest.fixture
def open_socket(accept_socket):
    """Create a non-blocking accepted socket and the socket of its peer."""

    def make():
        sock, peer = accept_socket()
        sock.setblocking(False)
        return sock, peer.sock

    return make


@pytest.mark.parametrize(
    ("host", "family"), [("127.0.0.1", socket.AF_INET), ("::1", socket.AF_INET6), ("::", socket.AF_INET6)]
)
def test_family_of_a_numeric_address(host, family):
    assert address_family((host, 80)) is family


def test_peek_leaves_the_data_unread(open_socket):
    sock, peer = open_socket()
    before = peek(sock)

    peer.send(b"x")
    assert wait_readable(sock)

    assert before is PeekResult.NOTHING
    assert [peek(sock), peek(sock)] == [PeekResult.DATA, PeekResult.DATA]
    assert not has_peer_closed(sock)


def test_peek_finds_the_end_of_the_stream(open_socket):
    sock, peer = open_socket()

    peer.close()
    assert wait_readable(sock)

    assert peek(sock) is PeekResult.END
    assert has_peer_closed(sock)


def test_close_behind_unread_data_is_detected(open_socket):
    sock, peer = open_socket()

    peer.send(b"unread")
    peer.shutdown(socket.SHUT_WR)
    assert wait_readable(sock)

    assert peek(sock) is PeekResult.DATA
    assert has_peer_closed(sock)


@pytest.mark.parametrize(
    ("error_number", "unread"), [(errno.ENOMEM, PeekResult.UNKNOWN), (errno.ECONNRESET, PeekResult.END)]
)
def test_peek_error_counts_as_the_end_unless_it_is_transient(open_socket, error_number, unread):
    sock, _ = open_socket()

    assert peek(TransientErrorSocket(sock, error_number)) is unread


def test_connecting_socket_is_non_blocking(listener, exit_stack):
    sock = begin_connect(listener.getsockname())
    exit_stack.callback(sock.close)

    assert not sock.getblocking()
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
